//! The software versions that the upstreams of each service or pool have run lately.
//!
//! Open [`ServedVersions`] first.

use std::time::Duration;

use crate::collections::{HashMap, OrderedMap};
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::serving::budget::Destination;
use crate::time::Time;
use crate::upstream::{StatedVersion, Upstream, UpstreamKind};

/// How long a version is remembered that nothing runs any more; longer than any stream lasts.
const USE_TTL: Duration = Duration::from_hours(1);

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
    /// When the host list was first read.
    since: Option<Time>,
    listed: HashMap<UpstreamId, Service>,
    uses: OrderedMap<Service, Use>,
}

impl ServedVersions {
    /// Applies changes of the host list.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        self.since.get_or_insert(cx.now);
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

    /// Returns the version that alone has served a destination for the last `span`, if that is known.
    pub(super) fn only_one(
        &self,
        now: Time,
        destination: &Destination,
        span: Duration,
    ) -> Option<StatedVersion> {
        if !self.since?.after(span).is_due(now) {
            return None;
        }
        let has_served = |used: &Use| used.ended_at.is_none_or(|at| !at.after(span).is_due(now));
        let mut served = self
            .uses
            .iter()
            .filter(|(service, used)| service.destination == *destination && has_served(used));
        let (first, _) = served.next()?;
        served.next().is_none().then(|| first.software.clone())
    }

    /// Forgets versions that nothing has run for long.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.uses.retain(|_, used| used.ended_at.is_none_or(|at| !at.after(USE_TTL).is_due(now)));
    }
}
