//! Retries that refused callers are expected to make.

use std::time::Duration;

use crate::peer::MIN_EXPECTED_RETRIES;
use crate::rules::ServiceOrder;
use crate::time::Time;

/// How much later than told a caller may retry.
const RETRY_GRACE: Duration = Duration::from_secs(1);

/// Requests for one target that were refused because its model will be ready too late for them.
///
/// They still count as waiting. Otherwise, once all were refused, no demand would remain to
/// load the model for, and each retry would find it as far from ready as before and be refused
/// again.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedRetries {
    pub(super) count: u32,
    pub(super) order: ServiceOrder,
    /// Until when the retries are expected.
    pub(super) until: Time,
}

impl Default for ExpectedRetries {
    fn default() -> Self {
        Self { count: 0, order: ServiceOrder(u16::MAX), until: Time::START }
    }
}

impl ExpectedRetries {
    /// Adds a request whose caller was told to retry after some time.
    pub(super) fn add(&mut self, now: Time, order: ServiceOrder, after: Duration) {
        if self.until.is_due(now) {
            *self = Self::default();
        }
        self.count = self.count.saturating_add(1);
        self.order = self.order.min(order);
        self.until = self.until.max(now.after(after.saturating_add(RETRY_GRACE)));
    }

    /// Returns the expected retries, if there are enough of them.
    pub(super) fn at(self, now: Time) -> Option<Self> {
        (!self.until.is_due(now) && self.count >= MIN_EXPECTED_RETRIES).then_some(self)
    }

    /// Returns the expected retries, if there are too few of them to count at this process alone.
    pub(super) fn too_few_at(self, now: Time) -> Option<Self> {
        let range = 1..MIN_EXPECTED_RETRIES;
        (!self.until.is_due(now) && range.contains(&self.count)).then_some(self)
    }
}
