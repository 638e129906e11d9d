//! The share of a limit that belongs to a subset of the hosts.

use crate::units::{CreditRate, Credits};

/// A number of hosts out of all hosts.
///
/// Each host either registers an equal share of a limit with the account's coordinator or
/// spends it itself. The shares therefore never add up to more than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Share {
    /// The hosts that this share belongs to.
    pub(super) hosts: u64,
    /// The number of all hosts.
    pub(super) total_hosts: u64,
}

impl Share {
    pub(super) fn rate(self, whole: CreditRate) -> CreditRate {
        CreditRate(self.portion(whole.0))
    }

    pub(super) fn credits(self, whole: Credits) -> Credits {
        Credits(self.portion(whole.0))
    }

    fn portion(self, whole: u64) -> u64 {
        let total_hosts = self.total_hosts.max(1);
        let portion = u128::from(whole) * u128::from(self.hosts.min(total_hosts)) / u128::from(total_hosts);
        u64::try_from(portion).unwrap_or(whole)
    }
}
