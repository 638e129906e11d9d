//! How many retries a process allows itself.

use std::time::Duration;

use crate::time::Time;

/// A thousandth of a retry, so that a tenth of a request can be counted.
const WHOLE_RETRY: u64 = 1000;
/// What each request adds: a tenth of a retry.
const PER_REQUEST: u64 = 100;
/// What each second adds, so that a quiet process may retry at all.
const PER_SECOND: u64 = WHOLE_RETRY;
/// The most that is saved up.
const MOST: u64 = 20 * WHOLE_RETRY;

/// A token bucket for retries.
///
/// When many upstreams fail at once, retrying every request would send the
/// survivors several times their usual load and take them down too. One would
/// see the request rate at the upstreams rise during an outage. The bucket
/// holds retries to a tenth of the requests and a few more.
#[derive(Debug)]
pub(super) struct RetryBudget {
    saved: u64,
    filled: Time,
}

impl RetryBudget {
    /// Makes a full bucket.
    pub(super) const fn new() -> Self {
        Self { saved: MOST, filled: Time::START }
    }

    /// Counts a request.
    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + PER_REQUEST).min(MOST);
    }

    /// Takes one retry, if there is one.
    pub(super) fn spend(&mut self, now: Time) -> bool {
        self.fill(now);
        if self.saved < WHOLE_RETRY {
            return false;
        }
        self.saved -= WHOLE_RETRY;
        true
    }

    fn fill(&mut self, now: Time) {
        let secs = now.since(self.filled).as_secs();
        if secs == 0 {
            return;
        }
        self.filled = self.filled.after(Duration::from_secs(secs));
        self.saved = self.saved.saturating_add(secs.saturating_mul(PER_SECOND)).min(MOST);
    }
}
