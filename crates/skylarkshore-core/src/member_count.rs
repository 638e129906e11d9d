//! How many processes share what is allowed to all of them together.

use std::time::Duration;

use crate::time::Time;

/// How long the largest number that was seen is believed.
///
/// In an outage the members' keys may vanish while every process lives. If each
/// then took the whole for itself, all together would pass it.
const BELIEVED: Duration = Duration::from_secs(30);

/// The largest number of processes seen lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberCount {
    most: u64,
    seen: Time,
}

impl MemberCount {
    /// Nobody else is known.
    pub(crate) const ALONE: Self = Self { most: 1, seen: Time::START };

    /// Takes note of a number that was seen.
    pub(crate) fn record(&mut self, now: Time, hosts: usize) {
        let hosts = u64::try_from(hosts).unwrap_or(u64::MAX).max(1);
        if hosts >= self.most || self.seen.after(BELIEVED).is_due(now) {
            *self = Self { most: hosts, seen: now };
        }
    }

    /// Returns the number, one at least.
    pub(crate) const fn get(self) -> u64 {
        self.most
    }
}
