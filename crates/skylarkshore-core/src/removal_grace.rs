//! Grace period for upstreams that disappear from the host list around an outage of the key-value service.
//!
//! [`RemovalGrace`] filters changes of the host list before they are applied.

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::id::UpstreamId;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamChanges, UpstreamList, UpstreamStatus};

/// Availability of the key-value service, where upstreams register themselves for the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreAvailability {
    /// Calls have succeeded since this time; [`Time::START`] if none has failed yet.
    Available { since: Time },
    /// The last call failed.
    Unavailable,
}

/// Upstreams that are missing from the host list but kept for a grace period.
///
/// Upstreams register themselves on the list and can't renew their entries
/// while the key-value service is down, so the first list after an outage
/// lacks upstreams that still run. Removing them at once would refuse every
/// request for the second or two until they are registered again. The grace
/// period starts when the service is available again; upstreams that are still
/// missing when it ends are removed.
#[derive(Debug)]
pub(crate) struct RemovalGrace {
    store: StoreAvailability,
    missing: OrderedSet<UpstreamId>,
}

impl RemovalGrace {
    /// Creates the state of a process that has not read the list yet.
    pub(crate) const fn new() -> Self {
        Self { store: StoreAvailability::Available { since: Time::START }, missing: OrderedSet::new() }
    }

    /// Records a failed call to the key-value service.
    pub(crate) fn record_store_failure(&mut self) {
        self.store = StoreAvailability::Unavailable;
    }

    /// Records a successful call to the key-value service.
    pub(crate) fn record_store_success(&mut self, now: Time) {
        if self.store == StoreAvailability::Unavailable {
            self.store = StoreAvailability::Available { since: now };
        }
    }

    /// Returns the changes to apply for a complete list.
    pub(crate) fn changes_for_list(
        &mut self,
        now: Time,
        grace: Duration,
        list: Vec<Upstream>,
        current: &UpstreamList,
    ) -> UpstreamChanges {
        let listed: OrderedSet<&UpstreamId> = list.iter().map(|upstream| &upstream.id).collect();
        let gone = current.iter().map(|upstream| &upstream.id).filter(|id| !listed.contains(id));
        let gone = gone.cloned().collect();
        self.filter_changes(now, grace, UpstreamChanges { changed: list, gone }, current)
    }

    /// Returns the changes to apply, holding back removals of upstreams that were last listed as live while
    /// the grace period is active.
    pub(crate) fn filter_changes(
        &mut self,
        now: Time,
        grace: Duration,
        mut changes: UpstreamChanges,
        current: &UpstreamList,
    ) -> UpstreamChanges {
        for upstream in &changes.changed {
            self.missing.remove(&upstream.id);
        }
        let is_grace_active = self.is_grace_active(now, grace);
        changes.gone.retain(|id| {
            let was_listed_live = current.get(id).is_some_and(|known| known.status == UpstreamStatus::Live);
            let is_held_back = is_grace_active && was_listed_live;
            if is_held_back {
                self.missing.insert(id.clone());
            } else {
                self.missing.remove(id);
            }
            !is_held_back
        });
        changes
    }

    /// Returns and forgets the missing upstreams if the grace period isn't active any more.
    pub(crate) fn take_expired(&mut self, now: Time, grace: Duration) -> OrderedSet<UpstreamId> {
        if self.missing.is_empty() || self.is_grace_active(now, grace) {
            return OrderedSet::new();
        }
        std::mem::take(&mut self.missing)
    }

    /// Reports whether removals are held back: during an outage and for `grace` after it, but not if no call
    /// has failed yet or `grace` is zero.
    fn is_grace_active(&self, now: Time, grace: Duration) -> bool {
        match self.store {
            StoreAvailability::Unavailable => !grace.is_zero(),
            StoreAvailability::Available { since } => since != Time::START && !since.after(grace).is_due(now),
        }
    }
}
