//! Exclusive reservation of an engine by a router that runs a suspect request alone.

use std::time::Duration;

use crate::cx::Cx;
use crate::id::HostId;
use crate::time::Time;

/// The longest duration of one reservation.
const MAX_RESERVATION: Duration = Duration::from_mins(5);

/// The current reservation of an engine, if any.
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
    /// Reserves the engine for a router unless another one holds it. The refused router
    /// repeats its request.
    pub(crate) fn reserve(&mut self, now: Time, from: &HostId, max_wait: Duration) {
        if self.held.as_ref().is_some_and(|held| held.by != *from) {
            return;
        }
        self.held = Some(Holder { by: from.clone(), until: now.after(max_wait.min(MAX_RESERVATION)) });
    }

    /// Ends the router's reservation.
    pub(crate) fn release(&mut self, from: &HostId) {
        self.held.take_if(|held| held.by == *from);
    }

    /// Ends the reservation when it expires or its holder is no longer a member.
    pub(crate) fn expire(&mut self, cx: &Cx<'_>) {
        self.held.take_if(|held| held.until.is_due(cx.now) || cx.cache.member(&held.by).is_none());
    }

    /// Returns the router that holds the reservation.
    pub(crate) fn holder(&self) -> Option<&HostId> {
        self.held.as_ref().map(|held| &held.by)
    }
}
