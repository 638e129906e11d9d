//! Retry delays after failures.

use std::time::Duration;

use crate::cx::Cx;
use crate::time::Time;

const INITIAL_DELAY: Duration = Duration::from_millis(200);
/// The longest delay before jitter.
///
/// An upstream is gone two seconds after it announces that it leaves. A process that
/// reconnects to the key-value service later than that would keep sending requests to it.
const MAX_DELAY: Duration = Duration::from_millis(800);
const MAX_DOUBLINGS: u32 = 6;

/// Exponential backoff with jitter.
///
/// Without jitter, every process would reconnect to the key-value service at the same
/// moment after an outage and overload it again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    retry_at: Time,
}

impl Backoff {
    /// Reports whether the next attempt is allowed.
    pub(super) const fn is_ready(&self, now: Time) -> bool {
        self.retry_at.is_due(now)
    }

    pub(super) fn record_failure(&mut self, cx: &mut Cx<'_>) {
        let delay = INITIAL_DELAY.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = cx.now.after(cx.jitter(delay));
    }

    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns when the next attempt is allowed.
    pub(super) const fn retry_at(&self) -> Time {
        self.retry_at
    }

    /// Delays the next attempt until `time` without counting a failure.
    pub(super) fn delay_until(&mut self, time: Time) {
        self.retry_at = time;
    }
}
