//! Grace period for upstreams that disappear from the host list around an outage of the key-value service.
//!
//! [`RemovalGrace`] filters changes of the host list before they are applied.

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::id::UpstreamId;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamChanges, UpstreamList, UpstreamStatus};

/// What the grace period depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GraceTerms {
    /// How long upstreams may be missing after an outage.
    pub grace: Duration,
    /// How often upstreams renew their entries.
    ///
    /// An entry outlives two renewals that fail. An outage that is no longer than one interval can't
    /// have ended any, as there are at most two renewals between those before and after it.
    pub heartbeat: Duration,
}

/// Upstreams that are missing from the host list but kept for a grace period.
///
/// Upstreams register themselves on the list and can't renew their entries
/// while the key-value service is down, so the first list after an outage
/// lacks upstreams that still run. Removing them at once would refuse every
/// request for the second or two until they are registered again. The grace
/// period starts when the service is available again; upstreams that are still
/// missing when it ends are removed.
///
/// A failed call of this host alone is no outage of the service: as long as the
/// service answers other hosts, what it removes is gone.
#[derive(Debug)]
pub(crate) struct RemovalGrace {
    /// The latest time at which the service is known to have answered this host or another.
    answered_at: Time,
    /// Whether calls of this host have failed since then.
    has_failed: bool,
    /// When the last outage ended that may have ended entries.
    outage_ended_at: Option<Time>,
    missing: OrderedSet<UpstreamId>,
}

impl RemovalGrace {
    /// Creates the state of a process that has not read the list yet.
    pub(crate) const fn new() -> Self {
        Self {
            answered_at: Time::START,
            has_failed: false,
            outage_ended_at: None,
            missing: OrderedSet::new(),
        }
    }

    /// Records a failed call to the key-value service.
    pub(crate) const fn record_store_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records that the service answered this host or another at `at` or later.
    pub(crate) fn record_store_answer(&mut self, now: Time, at: Time, terms: GraceTerms) {
        if at <= self.answered_at {
            return;
        }
        let failed = std::mem::replace(&mut self.has_failed, false);
        if failed && now.since(self.answered_at) > terms.heartbeat {
            self.outage_ended_at = Some(now);
        }
        self.answered_at = at;
    }

    /// Begins the grace period for entries that the service has lost in another way than by an outage.
    pub(crate) const fn record_lost_entries(&mut self, now: Time) {
        self.outage_ended_at = Some(now);
    }

    /// Returns the changes to apply for a complete list.
    pub(crate) fn changes_for_list(
        &mut self,
        now: Time,
        terms: GraceTerms,
        list: Vec<Upstream>,
        current: &UpstreamList,
    ) -> UpstreamChanges {
        let listed: OrderedSet<&UpstreamId> = list.iter().map(|upstream| &upstream.id).collect();
        let gone = current.iter().map(|upstream| &upstream.id).filter(|id| !listed.contains(id));
        let gone = gone.cloned().collect();
        self.filter_changes(now, terms, UpstreamChanges { changed: list, gone }, current)
    }

    /// Returns the changes to apply, holding back removals of upstreams that were last listed as live while
    /// the grace period is active.
    pub(crate) fn filter_changes(
        &mut self,
        now: Time,
        terms: GraceTerms,
        mut changes: UpstreamChanges,
        current: &UpstreamList,
    ) -> UpstreamChanges {
        for upstream in &changes.changed {
            self.missing.remove(&upstream.id);
        }
        let is_grace_active = self.is_grace_active(now, terms.grace);
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
    pub(crate) fn take_expired(&mut self, now: Time, terms: GraceTerms) -> OrderedSet<UpstreamId> {
        if self.missing.is_empty() || self.is_grace_active(now, terms.grace) {
            return OrderedSet::new();
        }
        std::mem::take(&mut self.missing)
    }

    /// Reports whether removals are held back: while calls fail and for `grace` after an outage, but not if no
    /// call has failed yet or `grace` is zero.
    fn is_grace_active(&self, now: Time, grace: Duration) -> bool {
        let is_recent = |ended_at: Time| !ended_at.after(grace).is_due(now);
        !grace.is_zero() && (self.has_failed || self.outage_ended_at.is_some_and(is_recent))
    }
}
