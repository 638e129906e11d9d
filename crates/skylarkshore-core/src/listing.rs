//! Which upstreams the host list names, and which of them an outage may have hidden.

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::id::UpstreamId;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamChanges, UpstreamList, UpstreamStatus};

/// What is known of the way to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// It has answered since this time.
    Answering { since: Time },
    /// Its last answer was missing.
    Silent,
}

/// Upstreams that the list lost lately.
///
/// Upstreams keep themselves on the list; while the service that holds it is
/// away, they can't, and the first list after an outage lacks upstreams that
/// live. If that were believed at once, every request would be refused for the
/// second or two until they are back. Whoever is missing for longer is gone.
#[derive(Debug)]
pub(crate) struct Listing {
    source: Source,
    missing: OrderedSet<UpstreamId>,
}

impl Listing {
    /// Makes the state of a process that has heard nothing yet.
    pub(crate) const fn new() -> Self {
        Self { source: Source::Answering { since: Time::START }, missing: OrderedSet::new() }
    }

    /// Takes note that the list's source didn't answer.
    pub(crate) fn silent(&mut self) {
        self.source = Source::Silent;
    }

    /// Takes note that the list's source answered.
    pub(crate) fn answered(&mut self, now: Time) {
        if self.source == Source::Silent {
            self.source = Source::Answering { since: now };
        }
    }

    /// Returns what a list that was read whole changes of what was counted on before.
    pub(crate) fn compare(
        &mut self,
        now: Time,
        grace: Duration,
        list: Vec<Upstream>,
        before: &UpstreamList,
    ) -> UpstreamChanges {
        let listed: OrderedSet<&UpstreamId> = list.iter().map(|upstream| &upstream.id).collect();
        let gone = before.iter().map(|upstream| &upstream.id).filter(|id| !listed.contains(id));
        let gone = gone.cloned().collect();
        self.weigh(now, grace, UpstreamChanges { changed: list, gone }, before)
    }

    /// Returns which changes count, given what was counted on before.
    pub(crate) fn weigh(
        &mut self,
        now: Time,
        grace: Duration,
        mut changes: UpstreamChanges,
        before: &UpstreamList,
    ) -> UpstreamChanges {
        for upstream in &changes.changed {
            self.missing.remove(&upstream.id);
        }
        let is_in_doubt = self.is_in_doubt(now, grace);
        changes.gone.retain(|id| {
            let is_live = before.get(id).is_some_and(|known| known.status == UpstreamStatus::Live);
            let is_hidden = is_in_doubt && is_live;
            if is_hidden {
                self.missing.insert(id.clone());
            } else {
                self.missing.remove(id);
            }
            !is_hidden
        });
        changes
    }

    /// Returns the upstreams that have been missing for too long, once.
    pub(crate) fn take_gone(&mut self, now: Time, grace: Duration) -> OrderedSet<UpstreamId> {
        if self.missing.is_empty() || self.is_in_doubt(now, grace) {
            return OrderedSet::new();
        }
        std::mem::take(&mut self.missing)
    }

    fn is_in_doubt(&self, now: Time, grace: Duration) -> bool {
        match self.source {
            Source::Silent => !grace.is_zero(),
            Source::Answering { since } => since != Time::START && !since.after(grace).is_due(now),
        }
    }
}
