//! When to try again after a failure.

use std::time::Duration;

use crate::cx::Cx;
use crate::time::Time;

const INITIAL_DELAY: Duration = Duration::from_millis(200);
/// The longest rest before jitter.
///
/// Upstreams that say that they leave are gone two seconds later. A process that
/// came back to the service after that would have gone on sending requests to them.
const MAX_DELAY: Duration = Duration::from_millis(800);
const MAX_DOUBLINGS: u32 = 6;

/// Jittered, doubling rests between tries.
///
/// Without jitter, every process would come back to a key-value service at the
/// same moment after an outage, and knock it over again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    retry_at: Time,
}

impl Backoff {
    /// Tells whether the next try may be made.
    pub(super) const fn is_ready(&self, now: Time) -> bool {
        self.retry_at.is_due(now)
    }

    /// Takes note of a failure.
    pub(super) fn record_failure(&mut self, cx: &mut Cx<'_>) {
        let delay = INITIAL_DELAY.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = cx.now.after(cx.jitter(delay));
    }

    /// Takes note of a success.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Holds the next try back until `time`, without counting a failure.
    pub(super) fn delay_until(&mut self, time: Time) {
        self.retry_at = time;
    }
}
