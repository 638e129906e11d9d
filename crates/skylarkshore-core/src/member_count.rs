//! Number of processes that share a fleet-wide limit, held in a [`MemberCount`].

use std::time::Duration;

use crate::time::Time;

/// How long the largest observed count stays in effect.
///
/// In an outage the members' keys may expire while all processes live. If each
/// process then claimed the whole limit, together they would exceed it.
const PEAK_LIFETIME: Duration = Duration::from_secs(30);

/// The largest number of processes observed recently.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberCount {
    peak: u64,
    observed_at: Time,
}

impl MemberCount {
    /// Count of a process that knows no other.
    pub(crate) const ALONE: Self = Self { peak: 1, observed_at: Time::START };

    /// Records an observed count.
    pub(crate) fn record(&mut self, now: Time, hosts: usize) {
        let hosts = u64::try_from(hosts).unwrap_or(u64::MAX).max(1);
        if hosts >= self.peak || self.observed_at.after(PEAK_LIFETIME).is_due(now) {
            *self = Self { peak: hosts, observed_at: now };
        }
    }

    /// Returns the count, at least one.
    pub(crate) const fn get(self) -> u64 {
        self.peak
    }
}
