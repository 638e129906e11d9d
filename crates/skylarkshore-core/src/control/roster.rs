//! The engines, as this process has known them from the host list and from its own questions.

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{DataCentre, ServiceName, SiteName, UpstreamId};
use crate::time::Time;
use crate::units::{Mebibytes, Watts};
use crate::upstream::{FenceCheck, Upstream, UpstreamStatus};

/// For how long no new engine is listed before the first homes are given out.
///
/// Upstreams register at their first heartbeat, about a second apart.
const SETTLED_AFTER: Duration = Duration::from_millis(1500);
/// How long they wait at most for that.
const SETTLED_AT_LAST: Duration = Duration::from_secs(4);

/// An engine of the host list, present or past.
#[derive(Clone, Debug)]
pub(super) struct KnownEngine {
    pub(super) data_centre: DataCentre,
    pub(super) site: SiteName,
    pub(super) memory: Mebibytes,
    pub(super) sleep_watts: Watts,
    pub(super) active_watts: Watts,
    pub(super) fence_check: FenceCheck,
    pub(super) pool: Option<ServiceName>,
    pub(super) status: UpstreamStatus,
    /// Since when the host list hasn't named it any more.
    unlisted: Option<Time>,
}

impl KnownEngine {
    /// Tells whether the host list names it.
    pub(super) const fn is_listed(&self) -> bool {
        self.unlisted.is_none()
    }

    /// Tells whether it may get new work, as far as the host list knows.
    pub(super) fn is_live(&self) -> bool {
        self.is_listed() && self.status == UpstreamStatus::Live
    }
}

/// The engines that this process knows.
#[derive(Debug, Default)]
pub(super) struct Roster {
    engines: OrderedMap<UpstreamId, KnownEngine>,
    /// Engines that only records name, with the time since when that is known.
    never_listed: OrderedMap<UpstreamId, Time>,
    reached: OrderedMap<UpstreamId, Time>,
    /// Since when the same engines are listed.
    listed_since: Time,
    /// When the first engine was listed.
    first_listed: Option<Time>,
}

impl Roster {
    /// Tells whether all engines that are about to be listed probably are.
    ///
    /// Engines register one after the other. If the first homes were given out at
    /// the first registration, one engine would get them all.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        let at_last = self.first_listed.map(|first| first.after(SETTLED_AT_LAST));
        let quiet = self.listed_since.after(SETTLED_AFTER);
        at_last.is_some_and(|at_last| quiet.min(at_last).is_due(now))
    }

    /// Takes over what has changed on the host list.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        for id in touched {
            match cx.upstreams.get(id) {
                Some(upstream) => self.list(cx.now, upstream),
                None => self.unlist(cx.now, id),
            }
        }
    }

    fn list(&mut self, now: Time, upstream: &Upstream) {
        let Some(spec) = upstream.engine() else { return self.unlist(now, &upstream.id) };
        if !self.engines.get(&upstream.id).is_some_and(KnownEngine::is_listed) {
            self.listed_since = now;
            self.first_listed.get_or_insert(now);
        }
        self.never_listed.remove(&upstream.id);
        let known = KnownEngine {
            data_centre: upstream.data_centre.clone(),
            site: upstream.site.clone(),
            memory: spec.memory,
            sleep_watts: spec.sleep_watts,
            active_watts: spec.active_watts,
            fence_check: spec.fence_check,
            pool: spec.pool.clone(),
            status: upstream.status,
            unlisted: None,
        };
        self.engines.insert(upstream.id.clone(), known);
    }

    fn unlist(&mut self, now: Time, id: &UpstreamId) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.unlisted.get_or_insert(now);
        }
    }

    /// Takes note of engines that records name, and forgets those that nothing names any more.
    pub(super) fn review(&mut self, cx: &Cx<'_>, named: &OrderedSet<UpstreamId>) {
        for engine in named.iter().filter(|engine| !self.engines.contains_key(engine)) {
            self.never_listed.entry(engine.clone()).or_insert(cx.now);
        }
        self.never_listed.retain(|engine, _| named.contains(engine));
        self.engines.retain(|id, engine| engine.is_listed() || named.contains(id));
        self.reached.retain(|engine, _| named.contains(engine));
    }

    /// Takes note of whether an engine answered this process.
    pub(super) fn on_report(&mut self, cx: &Cx<'_>, engine: &UpstreamId, reached: bool) {
        if reached {
            self.reached.insert(engine.clone(), cx.now);
        }
    }

    /// Returns what is known of an engine.
    pub(super) fn get(&self, engine: &UpstreamId) -> Option<&KnownEngine> {
        self.engines.get(engine)
    }

    /// Returns every engine that the host list names or has named.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &KnownEngine)> {
        self.engines.iter()
    }

    /// Returns what the engine does with old fences; the worse of the two when it isn't known.
    pub(super) fn fence_check(&self, engine: &UpstreamId) -> FenceCheck {
        self.engines.get(engine).map_or(FenceCheck::Ignores, |known| known.fence_check)
    }

    /// Tells whether the engine is gone for good.
    ///
    /// The host list lags and errs, and an engine that one process can't reach
    /// may serve others. Only when both have been against it for a long time may
    /// its replicas be counted out; before, a model could be loaded twice.
    pub(super) fn is_gone(&self, cx: &Cx<'_>, engine: &UpstreamId, owned_since: Option<Time>) -> bool {
        let unlisted = match self.engines.get(engine) {
            Some(known) => known.unlisted,
            None => self.never_listed.get(engine).copied(),
        };
        let Some(unlisted) = unlisted else { return false };
        let reached = self.reached.get(engine).copied().max(owned_since).unwrap_or(Time::START);
        unlisted.max(reached).after(cx.cfg.timings.gone_after).is_due(cx.now)
    }
}
