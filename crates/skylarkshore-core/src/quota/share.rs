//! Parts of a limit that belong to some of the hosts.

use crate::units::{CreditRate, Credits};

/// So many of all hosts.
///
/// Every host brings an equal part of each limit to the keeper it signs on
/// with, or keeps it. So all parts together are never more than the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Share {
    /// The hosts that this part belongs to.
    pub(super) hosts: u64,
    /// All hosts.
    pub(super) of: u64,
}

impl Share {
    pub(super) fn rate(self, whole: CreditRate) -> CreditRate {
        CreditRate(self.part(whole.0))
    }

    pub(super) fn credits(self, whole: Credits) -> Credits {
        Credits(self.part(whole.0))
    }

    fn part(self, whole: u64) -> u64 {
        let of = self.of.max(1);
        let part = u128::from(whole) * u128::from(self.hosts.min(of)) / u128::from(of);
        u64::try_from(part).unwrap_or(whole)
    }
}
