//! The engines known from the host list, from records and from answered report requests.
//!
//! Start reading at [`EngineInventory`].

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{DataCentre, ServiceName, SiteName, UpstreamId};
use crate::time::Time;
use crate::units::{Mebibytes, Watts};
use crate::upstream::{FenceCheck, Upstream, UpstreamStatus};

/// How long the host list must gain no engine before the first homes are assigned.
///
/// Upstreams register with their first heartbeat, about a second apart.
const LISTING_QUIET_PERIOD: Duration = Duration::from_millis(1500);
/// How long the first homes wait for that at most.
const LISTING_MAX_WAIT: Duration = Duration::from_secs(4);

/// An engine that is or was on the host list.
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
    /// When the engine disappeared from the host list.
    unlisted_since: Option<Time>,
}

impl KnownEngine {
    pub(super) const fn is_listed(&self) -> bool {
        self.unlisted_since.is_none()
    }

    /// Reports whether it is on the host list and may receive new work.
    ///
    /// An engine that is listed but not live has announced that it leaves. Whether this
    /// process reaches the engine does not matter here.
    pub(super) fn is_live(&self) -> bool {
        self.is_listed() && self.status == UpstreamStatus::Live
    }
}

/// The engines that this process knows.
#[derive(Debug, Default)]
pub(super) struct EngineInventory {
    engines: OrderedMap<UpstreamId, KnownEngine>,
    /// Engines named only by records, and since when.
    never_listed: OrderedMap<UpstreamId, Time>,
    last_reached: OrderedMap<UpstreamId, Time>,
    /// When an engine was last added.
    last_listed_at: Time,
    /// When the first engine was added.
    first_listed_at: Option<Time>,
}

impl EngineInventory {
    /// Reports whether the host list probably contains all engines that are starting.
    ///
    /// Engines register one after the other. If the first homes were assigned at the
    /// first registration, one engine would receive them all.
    pub(super) fn is_stable(&self, now: Time) -> bool {
        let latest = self.first_listed_at.map(|first| first.after(LISTING_MAX_WAIT));
        let quiet_since = self.last_listed_at.after(LISTING_QUIET_PERIOD);
        latest.is_some_and(|latest| quiet_since.min(latest).is_due(now))
    }

    /// Applies changes of the host list.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, changed_upstreams: &[UpstreamId]) {
        for id in changed_upstreams {
            match cx.upstreams.get(id) {
                Some(upstream) => self.list(cx.now, upstream),
                None => self.unlist(cx.now, id),
            }
        }
    }

    fn list(&mut self, now: Time, upstream: &Upstream) {
        let Some(spec) = upstream.engine() else { return self.unlist(now, &upstream.id) };
        if !self.engines.get(&upstream.id).is_some_and(KnownEngine::is_listed) {
            self.last_listed_at = now;
            self.first_listed_at.get_or_insert(now);
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
            unlisted_since: None,
        };
        self.engines.insert(upstream.id.clone(), known);
    }

    fn unlist(&mut self, now: Time, id: &UpstreamId) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.unlisted_since.get_or_insert(now);
        }
    }

    /// Adds engines that only records name, and removes those that neither the list nor a record names.
    pub(super) fn review(&mut self, cx: &Cx<'_>, recorded: &OrderedSet<UpstreamId>) {
        for engine in recorded.iter().filter(|engine| !self.engines.contains_key(engine)) {
            self.never_listed.entry(engine.clone()).or_insert(cx.now);
        }
        self.never_listed.retain(|engine, _| recorded.contains(engine));
        self.engines.retain(|id, engine| engine.is_listed() || recorded.contains(id));
        self.last_reached.retain(|engine, _| recorded.contains(engine));
    }

    /// Records whether an engine answered this process.
    pub(super) fn on_report(&mut self, cx: &Cx<'_>, engine: &UpstreamId, reached: bool) {
        if reached {
            self.last_reached.insert(engine.clone(), cx.now);
        }
    }

    pub(super) fn get(&self, engine: &UpstreamId) -> Option<&KnownEngine> {
        self.engines.get(engine)
    }

    /// Returns every engine that is or was on the host list.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &KnownEngine)> {
        self.engines.iter()
    }

    /// Returns whether the engine refuses outdated fences; an unknown engine counts as ignoring them.
    pub(super) fn fence_check(&self, engine: &UpstreamId) -> FenceCheck {
        self.engines.get(engine).map_or(FenceCheck::Ignores, |known| known.fence_check)
    }

    /// Reports whether the engine is gone.
    ///
    /// The host list may be late or wrong, and an engine that one process cannot reach
    /// may still serve others. Only an engine that was neither listed nor reached for a
    /// long time is counted out; its models could otherwise be loaded twice.
    pub(super) fn is_gone(&self, cx: &Cx<'_>, engine: &UpstreamId, owned_since: Option<Time>) -> bool {
        let unlisted_since = match self.engines.get(engine) {
            Some(known) => known.unlisted_since,
            None => self.never_listed.get(engine).copied(),
        };
        let Some(unlisted_since) = unlisted_since else { return false };
        let last_reached = self.last_reached.get(engine).copied().max(owned_since).unwrap_or(Time::START);
        unlisted_since.max(last_reached).after(cx.cfg.timings.gone_after).is_due(cx.now)
    }
}
