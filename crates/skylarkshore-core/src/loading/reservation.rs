//! Engines that one router has to itself, while it runs a suspect request alone.

use std::time::Duration;

use crate::cx::Cx;
use crate::id::HostId;
use crate::time::Time;

/// The longest time for which an engine is reserved at once.
const MAX_RESERVATION: Duration = Duration::from_mins(5);

/// Who has an engine to itself.
#[derive(Debug, Default)]
pub(crate) struct Reservation {
    held: Option<Holder>,
}

#[derive(Debug)]
struct Holder {
    by: HostId,
    until: Time,
}

impl Reservation {
    /// Gives the engine to a router, unless another one has it; that one asks again.
    pub(crate) fn reserve(&mut self, now: Time, from: &HostId, patience: Duration) {
        if self.held.as_ref().is_some_and(|held| held.by != *from) {
            return;
        }
        self.held = Some(Holder { by: from.clone(), until: now.after(patience.min(MAX_RESERVATION)) });
    }

    /// Opens the engine to all again.
    pub(crate) fn release(&mut self, from: &HostId) {
        self.held.take_if(|held| held.by == *from);
    }

    /// Opens the engine to all once the time is over or the router's process has ended.
    pub(crate) fn expire(&mut self, cx: &Cx<'_>) {
        self.held.take_if(|held| held.until.is_due(cx.now) || cx.cache.member(&held.by).is_none());
    }

    /// Returns who has the engine to itself.
    pub(crate) fn holder(&self) -> Option<&HostId> {
        self.held.as_ref().map(|held| &held.by)
    }
}
