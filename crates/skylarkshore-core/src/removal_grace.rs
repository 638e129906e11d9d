//! Grace period for upstreams that disappear from the host list around an outage of its source.
//!
//! [`RemovalGrace`] filters changes of the host list before they are applied.

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::id::UpstreamId;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamChanges, UpstreamList, UpstreamStatus};

/// Availability of the source of the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Calls have succeeded since this time; `Time::START` if none has failed yet.
    Available { since: Time },
    /// The last call failed.
    Unavailable,
}

/// Upstreams that are missing from the host list but kept for a grace period.
///
/// Upstreams register themselves on the list and can't renew their entries
/// while the service that holds it is down, so the first list after an outage
/// lacks live upstreams. Removing them at once would refuse every request for
/// the second or two until they are registered again. An upstream that is still
/// missing after the grace period is removed.
#[derive(Debug)]
pub(crate) struct RemovalGrace {
    source: Source,
    missing: OrderedSet<UpstreamId>,
}

impl RemovalGrace {
    /// Creates the state of a process that has not read the list yet.
    pub(crate) const fn new() -> Self {
        Self { source: Source::Available { since: Time::START }, missing: OrderedSet::new() }
    }

    /// Records a failed call to the source of the list.
    pub(crate) fn record_failure(&mut self) {
        self.source = Source::Unavailable;
    }

    /// Records a successful call to the source of the list.
    pub(crate) fn record_success(&mut self, now: Time) {
        if self.source == Source::Unavailable {
            self.source = Source::Available { since: now };
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

    /// Returns the changes to apply, holding back removals of live upstreams during the grace period.
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
            let is_live = current.get(id).is_some_and(|known| known.status == UpstreamStatus::Live);
            let is_held_back = is_grace_active && is_live;
            if is_held_back {
                self.missing.insert(id.clone());
            } else {
                self.missing.remove(id);
            }
            !is_held_back
        });
        changes
    }

    /// Removes and returns the missing upstreams when the grace period has passed.
    pub(crate) fn take_expired(&mut self, now: Time, grace: Duration) -> OrderedSet<UpstreamId> {
        if self.missing.is_empty() || self.is_grace_active(now, grace) {
            return OrderedSet::new();
        }
        std::mem::take(&mut self.missing)
    }

    fn is_grace_active(&self, now: Time, grace: Duration) -> bool {
        match self.source {
            Source::Unavailable => !grace.is_zero(),
            Source::Available { since } => since != Time::START && !since.after(grace).is_due(now),
        }
    }
}
