//! The software versions that the upstreams of each service or pool have run lately.
//!
//! Open [`ServedVersions`] first.

use std::time::Duration;

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::serving::budget::Destination;
use crate::time::Time;
use crate::upstream::{StatedVersion, Upstream, UpstreamKind};

/// The greatest age of a stream that a caller takes up, and how long a version is remembered that nothing
/// runs any more.
///
/// The time that a caller states and a route's time-out, which may have been changed, prove no lower age.
pub(super) const MAX_STREAM_AGE: Duration = Duration::from_hours(1);

/// The version that an upstream runs, and whom it serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Service {
    destination: Destination,
    software: StatedVersion,
}

impl From<&Upstream> for Service {
    fn from(listed: &Upstream) -> Self {
        let destination = match &listed.kind {
            UpstreamKind::Engine(spec) => spec.pool.clone(),
            UpstreamKind::Service(service) => Some(service.clone()),
        };
        Self { destination, software: listed.software.clone() }
    }
}

/// How many upstreams run a version, or since when none does.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    upstreams: usize,
    ended_at: Option<Time>,
}

/// The versions on the host list, now and lately.
#[derive(Debug, Default)]
pub(super) struct ServedVersions {
    listed: HashMap<UpstreamId, Service>,
    uses: OrderedMap<Service, Use>,
}

impl ServedVersions {
    /// Applies changes of the host list.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        for id in touched {
            let after = cx.upstreams.get(id).map(Service::from);
            if self.listed.get(id) == after.as_ref() {
                continue;
            }
            if let Some(before) = self.listed.remove(id) {
                self.end_use(cx.now, &before);
            }
            if let Some(after) = after {
                let used = self.uses.entry(after.clone()).or_default();
                used.upstreams += 1;
                used.ended_at = None;
                self.listed.insert(id.clone(), after);
            }
        }
    }

    fn end_use(&mut self, now: Time, service: &Service) {
        let Some(used) = self.uses.get_mut(service) else { return };
        used.upstreams = used.upstreams.saturating_sub(1);
        if used.upstreams == 0 {
            used.ended_at = Some(now);
        }
    }

    /// Returns the versions that have served a destination while a stream can have begun, as far as this
    /// process knows.
    pub(super) fn seen(&self, now: Time, destination: &Destination) -> OrderedSet<StatedVersion> {
        let has_served = |used: &Use| used.ended_at.is_none_or(|at| !at.after(MAX_STREAM_AGE).is_due(now));
        let served = self
            .uses
            .iter()
            .filter(|(service, used)| service.destination == *destination && has_served(used));
        served.map(|(service, _)| service.software.clone()).collect()
    }

    /// Forgets versions that nothing has run for long.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.uses.retain(|_, used| used.ended_at.is_none_or(|at| !at.after(MAX_STREAM_AGE).is_due(now)));
    }
}

/// Reports whether this process has missed no version that has served while a stream can have begun.
pub(super) fn is_complete(cx: &Cx<'_>) -> bool {
    cx.list.coverage().is_some_and(|coverage| coverage.covers(cx.now, MAX_STREAM_AGE))
}
