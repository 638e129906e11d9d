//! Selection of the upstream for a request, by load, distance and cached prompt prefix.
//!
//! Open [`Routes`] first. A request for a model goes to an engine, one for a service to a replica;
//! both are upstreams. Load is the number of requests at an upstream, not the loading of a model.

mod candidates;

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;
use rand::Rng;

use crate::catalogue::ModelTarget;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::event::Target;
use crate::id::{Digest, Incarnation, ServiceName, UpstreamId};
use crate::notice::UpstreamNotice;
use crate::serving::notices::Notices;
use crate::serving::published_views::{Freshness, PublishedViews};
use crate::serving::slot_leases::{SlotCandidate, Waiters};
use crate::serving::version_pin::VersionPin;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamStatus};
use crate::view::EngineView;

use candidates::{Candidate, Room};

/// Largest load above the least loaded upstream, in thousandths of the concurrency, at which an
/// upstream is still chosen because it probably has the prompt prefix cached.
const PREFIX_LOAD_SLACK: u64 = 400;
/// The same limit as a number of requests.
///
/// An engine that batches requests processes their prompts one at a time between the decoding steps
/// of the whole batch, so a few requests more than on other engines slow every stream on it.
const PREFIX_REQUEST_SLACK: u64 = 6;
/// First backoff of an upstream that is busy or can't be reached.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Keeps requests away from an upstream until a time.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Time,
    failures: u32,
}

/// A model or adapter on one engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EngineTarget {
    upstream: UpstreamId,
    target: ModelTarget,
}

/// Whether a target is available or will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// An upstream serves it, whether it has room or not. An upstream in backoff doesn't count.
    Ready,
    /// An engine is loading it.
    Loading {
        /// When loading is expected to finish.
        ready_at: Time,
    },
    /// The upstreams that serve it are at rest, and none is expected to serve it sooner.
    Resting {
        /// When the first rest ends.
        until: Time,
    },
    /// No upstream serves it. No engine is known to load it either, or it is an adapter whose base
    /// model is ready on an engine.
    None,
}

impl Availability {
    /// Returns the text for the log.
    pub(super) fn describe(self, now: Time) -> String {
        match self {
            Self::Ready => "ready".to_owned(),
            Self::Loading { ready_at } => format!("loading_for_{}ms", ready_at.remaining(now).as_millis()),
            Self::Resting { until } => format!("resting_for_{}ms", until.remaining(now).as_millis()),
            Self::None => "none".to_owned(),
        }
    }
}

/// What routing needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteQuery<'a> {
    pub(super) target: &'a Target,
    /// The digest of the prompt prefix.
    pub(super) prefix: Option<Digest>,
    /// Upstreams on which an attempt has failed.
    pub(super) tried: &'a OrderedSet<UpstreamId>,
    /// The software versions that may serve it.
    pub(super) pin: &'a VersionPin,
}

/// The known state of the upstreams, and the requests of this process on them.
#[derive(Debug, Default)]
pub(super) struct Routes {
    /// The engine views that owners have published.
    pub(super) views: PublishedViews,
    in_flight: OrderedMap<UpstreamId, u32>,
    backoffs: OrderedMap<UpstreamId, Backoff>,
    /// Targets that an engine rejected as not loaded although its view listed them, and until when
    /// no more requests for them are sent there.
    missing: OrderedMap<EngineTarget, Time>,
    /// What the upstreams say of themselves.
    pub(super) notices: Notices,
    /// Upstreams on which a suspect of this process runs, or will run, in isolation: this process
    /// sends them nothing else. To keep other hosts away too, an engine's owner has to reserve it,
    /// which its view shows (`reserved_for`).
    held_for_suspect: OrderedSet<UpstreamId>,
}

impl Routes {
    /// Reports whether an upstream is a replica of the service, or has the model in any state
    /// according to its view. Nothing else is checked.
    pub(super) fn offers(&self, cx: &Cx<'_>, upstream: &UpstreamId, target: &Target) -> bool {
        match target {
            Target::Model(model) => self.views.lists_model(upstream, model),
            Target::Service(name) => cx.upstreams.get(upstream).and_then(Upstream::service) == Some(name),
        }
    }

    /// Stores the view of an engine that its owner published; reports whether it is current.
    pub(super) fn apply_view(&mut self, now: Time, view: EngineView) -> bool {
        let upstream = view.upstream.clone();
        let own = self.in_flight(&upstream);
        let freshness = self.views.apply(now, view, own);
        if freshness == Freshness::Newer {
            // A newer view corrects what an older one got wrong.
            self.missing.retain(|target_on_engine, _| target_on_engine.upstream != upstream);
        }
        freshness != Freshness::Stale
    }

    /// Applies changes of the host list and removes the state of upstreams that left it.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        self.views.on_host_list(cx, touched);
        self.notices.on_host_list(cx, touched);
        for id in touched.iter().filter(|id| !cx.upstreams.contains(id)) {
            self.backoffs.remove(id);
        }
    }

    /// Applies the unchanged host list again after a change of the catalogue, and to engines whose
    /// owner's view takes precedence over the list only for a while.
    pub(super) fn reapply_host_list(&mut self, cx: &Cx<'_>) {
        self.views.reapply_host_list(cx);
    }

    /// Removes entries that have expired.
    pub(super) fn remove_expired(&mut self, now: Time) {
        // Kept for a while after its end, since the next backoff grows with its failures.
        self.backoffs.retain(|_, backoff| !backoff.until.after(MAX_BACKOFF).is_due(now));
        self.missing.retain(|_, until| !until.is_due(now));
        self.notices.remove_expired(now);
    }

    /// Returns the number of requests of this process at an upstream.
    pub(super) fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.in_flight.get(upstream).copied().unwrap_or(0)
    }

    /// Returns the upstreams with requests of this process, and how many.
    pub(super) fn upstreams_in_use(&self) -> impl Iterator<Item = (&UpstreamId, u32)> {
        self.in_flight.iter().map(|(upstream, n)| (upstream, *n))
    }

    /// Occupies a slot at an upstream.
    pub(super) fn occupy_slot(&mut self, upstream: &UpstreamId) {
        *self.in_flight.entry(upstream.clone()).or_default() += 1;
    }

    /// Releases a slot at an upstream.
    pub(super) fn release_slot(&mut self, now: Time, upstream: &UpstreamId) {
        let Some(n) = self.in_flight.get_mut(upstream) else { return };
        *n = n.saturating_sub(1);
        let left = *n;
        if left == 0 {
            self.in_flight.remove(upstream);
        }
        self.notices.slots.on_released(now, upstream, left);
    }

    /// Records what an upstream says of itself in an answer; reports whether more or fewer requests may be
    /// sent to it now.
    pub(super) fn record_notice(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        notice: &UpstreamNotice,
    ) -> bool {
        let own = self.in_flight(upstream);
        self.notices.record(cx, upstream, incarnation, notice, own)
    }

    /// Backs off from an upstream that is busy, died or can't be reached.
    pub(super) fn back_off(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let failures = self.backoffs.get(upstream).map_or(0, |backoff| backoff.failures);
        let backoff = MIN_BACKOFF.saturating_mul(1 << failures.min(6)).min(MAX_BACKOFF);
        let until = cx.now.after(cx.jitter(backoff));
        self.backoffs.insert(upstream.clone(), Backoff { until, failures: failures + 1 });
    }

    /// Ends the backoff of an upstream that answered.
    pub(super) fn clear_backoff(&mut self, upstream: &UpstreamId) {
        self.backoffs.remove(upstream);
    }

    /// Ends all backoffs.
    pub(super) fn clear_all_backoffs(&mut self) {
        self.backoffs.clear();
    }

    /// Records that a model isn't on the engine that its owner's last view named.
    pub(super) fn record_missing(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, target: &ModelTarget) {
        let until = cx.now.after(cx.jitter(MAX_BACKOFF));
        self.missing.insert(EngineTarget { upstream: upstream.clone(), target: target.clone() }, until);
    }

    /// Holds an upstream for a suspect, so that this process sends it no other requests.
    pub(super) fn hold_for_suspect(&mut self, upstream: &UpstreamId) {
        self.held_for_suspect.insert(upstream.clone());
    }

    /// Releases an upstream that was held for a suspect.
    pub(super) fn release_held(&mut self, upstream: &UpstreamId) {
        self.held_for_suspect.remove(upstream);
    }

    /// Chooses an upstream with room for a request.
    pub(super) fn choose(&self, cx: &mut Cx<'_>, query: RouteQuery<'_>) -> Option<UpstreamId> {
        let mut eligible: Vec<Candidate> = self.candidates(cx, query.target);
        eligible.retain(|c| query.pin.allows_listed(cx, &c.upstream));
        eligible.retain(|c| c.room == Room::Free || (c.room == Room::Crowded && query.prefix.is_some()));
        if eligible.iter().any(|c| !query.tried.contains(&c.upstream)) {
            eligible.retain(|c| !query.tried.contains(&c.upstream));
        }
        let least = eligible.iter().map(|c| c.cost).min()?;
        if let Some(prefix) = query.prefix {
            eligible.retain(|c| c.cost <= least + PREFIX_LOAD_SLACK.min(c.load_of(PREFIX_REQUEST_SLACK)));
            return eligible.iter().max_by_key(|c| affinity(prefix, &c.upstream)).map(|c| c.upstream.clone());
        }
        eligible.retain(|c| c.cost == least);
        let chosen = cx.rng.random_range(0..eligible.len());
        eligible.get(chosen).map(|c| c.upstream.clone())
    }

    /// Returns the upstream that most probably has a prompt prefix cached, even if it is
    /// full.
    pub(super) fn preferred(&self, cx: &Cx<'_>, query: RouteQuery<'_>) -> Option<UpstreamId> {
        let prefix = query.prefix?;
        let candidates = self.candidates(cx, query.target);
        candidates.into_iter().map(|c| c.upstream).max_by_key(|upstream| affinity(prefix, upstream))
    }

    /// Requests the permits and the slots that requests for a target need before they may be sent.
    ///
    /// Of bound requests, only the upstreams that may serve one of them are asked for.
    pub(super) fn request_room(
        &mut self,
        cx: &mut Cx<'_>,
        waiters: &Waiters,
        waiting: u32,
        may_serve: impl Fn(&Cx<'_>, &UpstreamId) -> bool,
    ) {
        if waiting == 0 && self.notices.slots.is_empty() {
            return;
        }
        let (Waiters::Queued(target) | Waiters::Bound(target)) = waiters;
        let mut candidates = self.candidates(cx, target);
        candidates.retain(|candidate| may_serve(cx, &candidate.upstream));
        if waiting > 0 {
            for candidate in &candidates {
                self.notices.limits.request_permits(cx, &candidate.upstream, waiting);
            }
        }
        let candidates: Vec<SlotCandidate> = candidates.into_iter().map(SlotCandidate::from).collect();
        self.notices.slots.want(cx, waiters, waiting, &candidates);
    }

    /// Returns slots that aren't used, and reports the use of the others to the hosts that lend them.
    pub(super) fn report_slots(&mut self, cx: &mut Cx<'_>) {
        let Self { notices, in_flight, .. } = self;
        notices.slots.report(cx, |upstream| in_flight.get(upstream).copied().unwrap_or(0));
    }

    /// Reports whether an upstream is a candidate for requests for a target, even if it is full.
    pub(super) fn is_candidate(&self, cx: &Cx<'_>, target: &Target, upstream: &UpstreamId) -> bool {
        self.candidates(cx, target).iter().any(|c| c.upstream == *upstream)
    }

    /// Reports whether a suspect may still be sent to the upstream that is held for it.
    pub(super) fn is_isolation_candidate(&self, cx: &Cx<'_>, target: &Target, upstream: &UpstreamId) -> bool {
        match target {
            Target::Model(target) => self.isolation_engines(cx, target).contains(upstream),
            Target::Service(_) => self.is_usable(cx, upstream),
        }
    }

    /// Returns the engines on which a suspect can run in isolation once they are idle.
    ///
    /// Unlike candidates for other requests, they may be reserved for this host or held.
    pub(super) fn isolation_engines(&self, cx: &Cx<'_>, target: &ModelTarget) -> Vec<UpstreamId> {
        let engines = self.views.ready(cx, target).filter(|known| {
            let reserved_for_other =
                known.view.reserved_for.as_ref().is_some_and(|host| *host != cx.cfg.host);
            !reserved_for_other
                && self.notices.limits.may_send(cx.now, &known.view.upstream)
                && self.is_usable(cx, &known.view.upstream)
                && !self.is_missing(cx, &known.view.upstream, target)
        });
        engines.map(|known| known.view.upstream.clone()).collect()
    }

    /// Returns the replicas on which a suspect request can run: those without a request of this
    /// process.
    pub(super) fn isolation_replicas(&self, cx: &Cx<'_>, service: &ServiceName) -> Vec<UpstreamId> {
        let replicas = self.replicas(cx, service);
        let is_free = |id: &&UpstreamId| {
            self.notices.inquiry.has_ended()
                && self.in_flight(id) == 0
                && self.notices.limits.may_send(cx.now, id)
                && self.notices.slots.has_free(cx.now, id, 0) != Some(false)
        };
        replicas.filter(is_free).cloned().collect()
    }

    /// Reports whether an engine is reserved for this host and runs nothing.
    pub(super) fn is_reserved_and_idle(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        let reserved = self.views.get(upstream).is_some_and(|known| known.is_reserved_and_idle(cx));
        reserved && self.in_flight(upstream) == 0
    }

    /// Reports whether an engine was idle in its owner's last view and runs nothing from
    /// here.
    pub(super) fn seems_idle(&self, upstream: &UpstreamId) -> bool {
        let idle = self.views.get(upstream).is_some_and(|known| known.view.running == 0);
        idle && self.in_flight(upstream) == 0
    }

    /// Reports whether an upstream is known to be leaving, or isn't live on the host list.
    pub(super) fn is_leaving(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        let live = cx.upstreams.get(upstream).is_some_and(|u| u.status == UpstreamStatus::Live);
        let view_leaving = self.views.get(upstream).is_some_and(|known| known.view.leaving);
        !live || view_leaving || self.notices.leaving.contains(cx, upstream)
    }

    /// Summarizes what is known of an upstream's load, for the log.
    pub(super) fn load_summary(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> String {
        let own = self.in_flight(upstream);
        let view = self.views.get(upstream);
        let others = self.notices.load(upstream).or(view.map(|known| &known.others));
        let others = others.map_or(0, |others| others.mean(cx.now).0 / 1000);
        let age = view.map(|known| cx.now.since(known.received).as_millis());
        let age = age.map_or_else(|| "none".to_owned(), |age| age.to_string());
        let lent = self.notices.slots.lent(upstream).map_or_else(String::new, |lent| format!(" lent={lent}"));
        format!("own={own} others={others} view_age_ms={age}{lent}")
    }

    /// Describes how an upstream is used, for the state dump: leaving, held for a suspect, usable or
    /// in backoff.
    pub(super) fn describe(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> &'static str {
        if self.is_leaving(cx, upstream) {
            "about to go"
        } else if self.held_for_suspect.contains(upstream) {
            "kept for a suspect"
        } else if self.is_usable(cx, upstream) {
            "in use"
        } else {
            "passed over for a moment"
        }
    }

    /// Returns whether a target is available or being loaded.
    pub(super) fn availability(&self, cx: &Cx<'_>, target: &Target) -> Availability {
        if !self.candidates(cx, target).is_empty() {
            return Availability::Ready;
        }
        let rested_at = self.first_rested_at(cx, target, |_| true);
        let resting = rested_at.map_or(Availability::None, |until| Availability::Resting { until });
        let Target::Model(target) = target else { return resting };
        if self.lacks_only_adapter(cx, target) {
            return Availability::None;
        }
        match self.views.loading(cx, target).min() {
            Some(ready_at) if rested_at.is_none_or(|rested_at| ready_at < rested_at) => {
                Availability::Loading { ready_at }
            }
            _ => resting,
        }
    }

    /// Returns when the first rest ends of the upstreams that serve a target and that a request may use;
    /// `None` if there are none, or one of them isn't at rest and may serve it sooner.
    pub(super) fn first_rested_at(
        &self,
        cx: &Cx<'_>,
        target: &Target,
        may_use: impl Fn(&UpstreamId) -> bool,
    ) -> Option<Time> {
        let serving: Vec<&UpstreamId> = match target {
            Target::Model(target) => self.views.ready(cx, target).map(|known| &known.view.upstream).collect(),
            Target::Service(service) => cx.upstreams.replicas(service).map(|listed| &listed.id).collect(),
        };
        let mut first = None;
        for id in serving.into_iter().filter(|id| may_use(id) && !self.is_leaving(cx, id)) {
            let rested_at = self.notices.rests.end(cx.now, id)?;
            first = Some(first.map_or(rested_at, |first: Time| first.min(rested_at)));
        }
        first
    }

    /// Reports whether a target is an adapter whose base model is ready on an engine.
    ///
    /// Loading the adapter there takes about ten milliseconds. If the target counted as loading
    /// because another engine loads the base model, requests that can't wait for that would be
    /// refused on arrival all the while, and no owner would be asked for the adapter.
    fn lacks_only_adapter(&self, cx: &Cx<'_>, target: &ModelTarget) -> bool {
        let base = ModelTarget { model: target.model.clone(), adapter: None };
        let mut ready = self.views.ready(cx, &base).map(|known| &known.view.upstream);
        target.adapter.is_some() && ready.any(|engine| self.is_usable(cx, engine))
    }

    /// Reports whether the host list names a live replica of a service, even one that is
    /// backed off.
    pub(super) fn has_replica(&self, cx: &Cx<'_>, service: &ServiceName) -> bool {
        let mut live = cx.upstreams.replicas(service).filter(|u| u.status == UpstreamStatus::Live);
        live.any(|u| !self.notices.leaving.contains(cx, &u.id))
    }
}

/// Ranks the upstreams for a prompt prefix, with the same result at every process.
fn affinity(prefix: Digest, upstream: &UpstreamId) -> u64 {
    FixedState::default().hash_one((prefix, upstream))
}
