//! Callers that were told when to come back.

use std::time::Duration;

use crate::rules::ServiceOrder;
use crate::time::Time;

/// From how many on they count as waiting.
///
/// Single ones often go to another host, and the load would be for nobody.
const LEAST_COUNT: u32 = 3;
/// How much later than told they may come back.
const GRACE: Duration = Duration::from_secs(1);

/// Requests for one target that were refused because its model comes too late for them.
///
/// They still count as waiting. Otherwise nothing would be left to load the
/// model for as soon as all were refused; each would find it as far away as
/// before, and be refused again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Returning {
    /// How many.
    pub(super) count: u32,
    /// The most urgent order of service among them.
    pub(super) order: ServiceOrder,
    /// Until when they are expected.
    pub(super) until: Time,
}

impl Default for Returning {
    fn default() -> Self {
        Self { count: 0, order: ServiceOrder(u16::MAX), until: Time::START }
    }
}

impl Returning {
    /// Adds one that was told to come back after some time.
    pub(super) fn add(&mut self, now: Time, order: ServiceOrder, after: Duration) {
        if self.until.is_due(now) {
            *self = Self::default();
        }
        self.count = self.count.saturating_add(1);
        self.order = self.order.min(order);
        self.until = self.until.max(now.after(after.saturating_add(GRACE)));
    }

    /// Returns those that are expected now, if they are enough to count.
    pub(super) fn at(self, now: Time) -> Option<Self> {
        (!self.until.is_due(now) && self.count >= LEAST_COUNT).then_some(self)
    }
}
