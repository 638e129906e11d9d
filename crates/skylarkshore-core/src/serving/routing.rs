//! Which upstreams can take a request, and which of them gets it.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;
use rand::Rng;

use crate::catalogue::ModelTarget;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::event::{ReportedLoad, Target};
use crate::id::{Digest, ServiceName, UpstreamId};
use crate::serving::load::{Millis, OthersLoad};
use crate::serving::views::{News, Views};
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamStatus};
use crate::view::EngineView;

/// How much fuller an upstream may be than the emptiest, in thousandths, to
/// get a request whose prompt's beginning it probably has in its cache.
const PREFIX_SLACK: u64 = 400;
/// By how many requests it may be fuller at most.
///
/// An engine that runs many at a time reads their prompts one after the other
/// between the steps of all; a few more of them than elsewhere are felt by every
/// stream on it.
const PREFIX_SLACK_REQUESTS: u64 = 6;
/// How full an engine may be, in thousandths of what it runs at a time, to get
/// a request with a prompt's beginning.
///
/// When every engine is full, a request that takes whichever place becomes free
/// seldom finds its prompt in the cache, just when the time it saves is needed most.
const CROWDED: u64 = 1400;
/// What being in another data centre weighs, in thousandths of an upstream's load.
const FAR: u64 = 60;
/// How long an upstream stays out of use after it said that it was about to go.
const LEAVING: Duration = Duration::from_mins(5);
/// The first pause of an upstream that can't be reached or is busy.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause of an upstream.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// An upstream that gets nothing for a while.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Time,
    failures: u32,
}

/// A model or adapter on an engine that turned out not to be there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    upstream: UpstreamId,
    target: ModelTarget,
}

/// An upstream that could take a request.
#[derive(Clone, Debug)]
struct Candidate {
    upstream: UpstreamId,
    /// Its expected load in thousandths of what it takes, distance included.
    cost: u64,
    room: Room,
    /// How many requests it runs at a time.
    concurrency: u32,
}

impl Candidate {
    /// Returns what some requests weigh, in thousandths of what the upstream takes.
    fn of_requests(&self, requests: u64) -> u64 {
        requests * 1000 / u64::from(self.concurrency.max(1))
    }
}

/// How much room an upstream seems to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// Fewer requests than it runs at a time.
    Free,
    /// A few more than it runs at a time, so that another one waits inside it for a little.
    Crowded,
    /// No more may be sent.
    Full,
}

/// What can be expected for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Prospect {
    /// An upstream has it, be it busy or not.
    Ready,
    /// An engine is loading it.
    Loading {
        /// When it will probably be ready.
        ready_at: Time,
    },
    /// Nothing is known of it.
    None,
}

impl Prospect {
    /// Tells it in a few words, for the log.
    pub(super) fn describe(self, now: Time) -> String {
        match self {
            Self::Ready => "ready".to_owned(),
            Self::Loading { ready_at } => format!("loading_for_{}ms", ready_at.remaining(now).as_millis()),
            Self::None => "none".to_owned(),
        }
    }
}

/// What one request asks of routing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wish<'a> {
    /// What it is for.
    pub(super) target: &'a Target,
    /// The digest of the prompt's beginning.
    pub(super) prefix: Option<Digest>,
    /// Where it was tried in vain.
    pub(super) tried: &'a OrderedSet<UpstreamId>,
}

/// What a process knows of the upstreams and has in progress there.
#[derive(Debug, Default)]
pub(super) struct Routes {
    /// The engines as their owners see them.
    pub(super) views: Views,
    in_flight: OrderedMap<UpstreamId, u32>,
    leaving: OrderedMap<UpstreamId, Time>,
    paused: OrderedMap<UpstreamId, Pause>,
    missing: OrderedMap<Place, Time>,
    /// What others have in progress, as the upstreams' answers told.
    told: OrderedMap<UpstreamId, OthersLoad>,
    /// Engines on which a suspect of this process runs or is about to run alone.
    kept_free: OrderedSet<UpstreamId>,
}

impl Routes {
    /// Tells whether requests for the target may run at the upstream.
    pub(super) fn concerns(&self, cx: &Cx<'_>, upstream: &UpstreamId, target: &Target) -> bool {
        match target {
            Target::Model(model) => self.views.mentions(upstream, model),
            Target::Service(name) => cx.upstreams.get(upstream).and_then(Upstream::service) == Some(name),
        }
    }

    /// Takes an owner's account of an engine over; tells whether it counts.
    pub(super) fn take_view(&mut self, now: Time, view: EngineView) -> bool {
        let upstream = view.upstream.clone();
        let own = self.in_flight(&upstream);
        let news = self.views.take(now, view, own);
        if news == News::Newer {
            // The newer account settles what an older one got wrong.
            self.missing.retain(|place, _| place.upstream != upstream);
        }
        news != News::Late
    }

    /// Takes over what has changed on the host list, and forgets what it no longer names.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        self.views.on_host_list(cx, touched);
        for id in touched.iter().filter(|id| !cx.upstreams.contains(id)) {
            self.told.remove(id);
            self.leaving.remove(id);
            self.paused.remove(id);
        }
    }

    /// Looks again at what the host list tells of engines, as far as that depends on time or catalogue.
    pub(super) fn review_listed(&mut self, cx: &Cx<'_>) {
        self.views.review_listed(cx);
    }

    /// Forgets pauses that are long over.
    pub(super) fn forget_old(&mut self, now: Time) {
        self.leaving.retain(|_, until| !until.is_due(now));
        self.paused.retain(|_, pause| !pause.until.after(LONGEST_PAUSE).is_due(now));
        self.missing.retain(|_, until| !until.is_due(now));
    }

    /// Returns how many requests of this process an upstream has.
    pub(super) fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.in_flight.get(upstream).copied().unwrap_or(0)
    }

    /// Returns the upstreams that have requests of this process, with their number.
    pub(super) fn used(&self) -> impl Iterator<Item = (&UpstreamId, u32)> {
        self.in_flight.iter().map(|(upstream, n)| (upstream, *n))
    }

    /// Takes up a place at an upstream.
    pub(super) fn occupy(&mut self, upstream: &UpstreamId) {
        *self.in_flight.entry(upstream.clone()).or_default() += 1;
    }

    /// Gives a place at an upstream back.
    pub(super) fn free(&mut self, upstream: &UpstreamId) {
        let Some(n) = self.in_flight.get_mut(upstream) else { return };
        *n = n.saturating_sub(1);
        if *n == 0 {
            self.in_flight.remove(upstream);
        }
    }

    /// Takes note of how much an upstream told that it had to do.
    pub(super) fn note_load(&mut self, now: Time, upstream: &UpstreamId, load: ReportedLoad) {
        let others = (load.running + load.waiting).saturating_sub(self.in_flight(upstream));
        let told = self
            .told
            .get(upstream)
            .map_or_else(|| OthersLoad::new(now, others), |told| told.with(now, others));
        self.told.insert(upstream.clone(), told);
    }

    /// Takes note that an upstream is about to go; tells whether that was news.
    pub(super) fn note_leaving(&mut self, now: Time, upstream: &UpstreamId) -> bool {
        self.leaving.insert(upstream.clone(), now.after(LEAVING)).is_none()
    }

    /// Takes note that an upstream couldn't be reached, died or was too busy.
    pub(super) fn note_trouble(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let failures = self.paused.get(upstream).map_or(0, |pause| pause.failures);
        let pause = FIRST_PAUSE.saturating_mul(1 << failures.min(6)).min(LONGEST_PAUSE);
        let until = cx.now.after(cx.jitter(pause));
        self.paused.insert(upstream.clone(), Pause { until, failures: failures + 1 });
    }

    /// Takes note that an upstream answered.
    pub(super) fn note_health(&mut self, upstream: &UpstreamId) {
        self.paused.remove(upstream);
    }

    /// Takes note that a model isn't where its owner's last account said.
    pub(super) fn note_missing(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, target: &ModelTarget) {
        let until = cx.now.after(cx.jitter(LONGEST_PAUSE));
        self.missing.insert(Place { upstream: upstream.clone(), target: target.clone() }, until);
    }

    /// Keeps an engine free for a suspect.
    pub(super) fn keep_free(&mut self, upstream: &UpstreamId) {
        self.kept_free.insert(upstream.clone());
    }

    /// Opens an engine to all requests again.
    pub(super) fn open(&mut self, upstream: &UpstreamId) {
        self.kept_free.remove(upstream);
    }

    /// Chooses an upstream with room for a request.
    pub(super) fn choose(&self, cx: &mut Cx<'_>, wish: Wish<'_>) -> Option<UpstreamId> {
        let mut free: Vec<Candidate> = self.candidates(cx, wish.target);
        free.retain(|c| c.room == Room::Free || (c.room == Room::Crowded && wish.prefix.is_some()));
        if free.iter().any(|c| !wish.tried.contains(&c.upstream)) {
            free.retain(|c| !wish.tried.contains(&c.upstream));
        }
        let least = free.iter().map(|c| c.cost).min()?;
        if let Some(prefix) = wish.prefix {
            free.retain(|c| c.cost <= least + PREFIX_SLACK.min(c.of_requests(PREFIX_SLACK_REQUESTS)));
            return free.iter().max_by_key(|c| affinity(prefix, &c.upstream)).map(|c| c.upstream.clone());
        }
        free.retain(|c| c.cost == least);
        let chosen = cx.rng.random_range(0..free.len());
        free.get(chosen).map(|c| c.upstream.clone())
    }

    /// Returns the upstream that most probably has a prompt's beginning in its cache, be it full or not.
    pub(super) fn preferred(&self, cx: &Cx<'_>, wish: Wish<'_>) -> Option<UpstreamId> {
        let prefix = wish.prefix?;
        let candidates = self.candidates(cx, wish.target);
        candidates.into_iter().map(|c| c.upstream).max_by_key(|upstream| affinity(prefix, upstream))
    }

    /// Tells whether a request for a target may still be sent to an upstream.
    pub(super) fn fits(&self, cx: &Cx<'_>, target: &Target, upstream: &UpstreamId) -> bool {
        self.candidates(cx, target).iter().any(|c| c.upstream == *upstream)
    }

    /// Tells the same for a suspect, for which the upstream is kept free.
    pub(super) fn fits_alone(&self, cx: &Cx<'_>, target: &Target, upstream: &UpstreamId) -> bool {
        match target {
            Target::Model(target) => self.ready_engines(cx, target).contains(upstream),
            Target::Service(_) => self.usable(cx, upstream),
        }
    }

    /// Returns the engines on which a suspect may run alone, once they are free.
    pub(super) fn ready_engines(&self, cx: &Cx<'_>, target: &ModelTarget) -> Vec<UpstreamId> {
        let usable = self.views.ready(cx, target).filter(|known| {
            let other = known.view.reserved_for.as_ref().is_some_and(|host| *host != cx.cfg.host);
            !other
                && self.usable(cx, &known.view.upstream)
                && !self.is_missing(cx, &known.view.upstream, target)
        });
        usable.map(|known| known.view.upstream.clone()).collect()
    }

    /// Returns the replicas on which a suspect call of a service may run.
    pub(super) fn idle_replicas(&self, cx: &Cx<'_>, service: &ServiceName) -> Vec<UpstreamId> {
        let replicas = self.replicas(cx, service);
        replicas.filter(|id| self.in_flight(id) == 0).cloned().collect()
    }

    /// Tells whether an engine is reserved for this host and runs nothing.
    pub(super) fn is_ours_alone(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        let reserved = self.views.get(upstream).is_some_and(|known| known.is_ours_alone(cx));
        reserved && self.in_flight(upstream) == 0
    }

    /// Tells whether an engine was idle by its owner's last account and runs nothing from here.
    pub(super) fn seems_idle(&self, upstream: &UpstreamId) -> bool {
        let idle = self.views.get(upstream).is_some_and(|known| known.view.running == 0);
        idle && self.in_flight(upstream) == 0
    }

    /// Tells whether an upstream is known to be about to go.
    pub(super) fn is_going(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        let listed = cx.upstreams.get(upstream).is_some_and(|u| u.status == UpstreamStatus::Live);
        let says_so = self.views.get(upstream).is_some_and(|known| known.view.leaving);
        !listed || says_so || self.leaving.contains_key(upstream)
    }

    /// Tells what is known of an upstream's load, for the log.
    pub(super) fn seen(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> String {
        let own = self.in_flight(upstream);
        let view = self.views.get(upstream);
        let others = self.told.get(upstream).or(view.map(|known| &known.others));
        let others = others.map_or(0, |others| others.mean(cx.now).0 / 1000);
        let age = view.map(|known| cx.now.since(known.taken).as_millis());
        let age = age.map_or_else(|| "none".to_owned(), |age| age.to_string());
        format!("own={own} others={others} view_age_ms={age}")
    }

    /// Tells in a few words how an upstream is used, for the state dump.
    pub(super) fn describe(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> &'static str {
        if self.is_going(cx, upstream) {
            "about to go"
        } else if self.kept_free.contains(upstream) {
            "kept for a suspect"
        } else if self.usable(cx, upstream) {
            "in use"
        } else {
            "passed over for a moment"
        }
    }

    /// Tells what can be expected for a target.
    pub(super) fn prospect(&self, cx: &Cx<'_>, target: &Target) -> Prospect {
        if !self.candidates(cx, target).is_empty() {
            return Prospect::Ready;
        }
        let Target::Model(target) = target else { return Prospect::None };
        if self.lacks_only_adapter(cx, target) {
            return Prospect::None;
        }
        let ready_at = self.views.loading(cx, target).min();
        ready_at.map_or(Prospect::None, |ready_at| Prospect::Loading { ready_at })
    }

    /// Tells whether a target is an adapter whose base is ready on an engine.
    ///
    /// It takes that engine a hundredth of a second. If the load of the base on one
    /// more engine counted, callers of the adapter would be refused on arrival for
    /// as long as that lasts, and nobody would be asked for the adapter.
    fn lacks_only_adapter(&self, cx: &Cx<'_>, target: &ModelTarget) -> bool {
        let base = ModelTarget { model: target.model.clone(), adapter: None };
        let mut ready = self.views.ready(cx, &base).map(|known| &known.view.upstream);
        target.adapter.is_some() && ready.any(|engine| self.usable(cx, engine))
    }

    /// Tells whether the host list names a live replica of a service, be it paused or not.
    pub(super) fn has_replica(&self, cx: &Cx<'_>, service: &ServiceName) -> bool {
        let mut live = cx.upstreams.replicas(service).filter(|u| u.status == UpstreamStatus::Live);
        live.any(|u| !self.leaving.contains_key(&u.id))
    }

    fn candidates(&self, cx: &Cx<'_>, target: &Target) -> Vec<Candidate> {
        match target {
            Target::Model(target) => self.engine_candidates(cx, target),
            Target::Service(service) => self.replica_candidates(cx, service),
        }
    }

    fn engine_candidates(&self, cx: &Cx<'_>, target: &ModelTarget) -> Vec<Candidate> {
        self.views
            .ready(cx, target)
            .filter(|known| known.view.reserved_for.is_none())
            .filter(|known| !self.kept_free.contains(&known.view.upstream))
            .filter(|known| self.usable(cx, &known.view.upstream))
            .filter(|known| !self.is_missing(cx, &known.view.upstream, target))
            .map(|known| {
                let others = self.told.get(&known.view.upstream).unwrap_or(&known.others);
                self.candidate(cx, &known.view.upstream, Some(others), known.view.concurrency)
            })
            .collect()
    }

    fn replica_candidates(&self, cx: &Cx<'_>, service: &ServiceName) -> Vec<Candidate> {
        let concurrency = cx.document.catalogue.services.get(service).map_or(0, |s| s.concurrency);
        let candidate = |id: &UpstreamId| {
            let own = cx.upstreams.get(id).and_then(|upstream| upstream.concurrency);
            self.candidate(cx, id, self.told.get(id), own.unwrap_or(concurrency))
        };
        self.replicas(cx, service).map(candidate).collect()
    }

    fn replicas<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        service: &ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamId> + use<'a> {
        let ids = cx.upstreams.replicas(service).map(|u| &u.id);
        ids.filter(|id| self.usable(cx, id) && !self.kept_free.contains(*id))
    }

    fn usable(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        let live = cx.upstreams.get(upstream).is_some_and(|u| u.status == UpstreamStatus::Live);
        let paused = self.paused.get(upstream).is_some_and(|pause| !pause.until.is_due(cx.now));
        live && !paused && !self.leaving.contains_key(upstream)
    }

    fn candidate(
        &self,
        cx: &Cx<'_>,
        upstream: &UpstreamId,
        others: Option<&OthersLoad>,
        concurrency: u32,
    ) -> Candidate {
        let near = cx.upstreams.get(upstream).is_some_and(|u| u.data_centre == cx.cfg.data_centre);
        let distance = if near { 0 } else { FAR };
        let own = self.in_flight(upstream);
        let share = |others: Millis| (Millis::of(own).0 + others.0) / u64::from(concurrency.max(1));
        let others_mean = others.map_or(Millis::default(), |others| others.mean(cx.now));
        let others_left = others.map_or(Millis::default(), |others| others.left(cx.now));
        let room = match share(others_left) {
            _ if own >= concurrency => Room::Full,
            0..1000 => Room::Free,
            1000..CROWDED => Room::Crowded,
            _ => Room::Full,
        };
        Candidate { upstream: upstream.clone(), cost: share(others_mean) + distance, room, concurrency }
    }

    fn is_missing(&self, cx: &Cx<'_>, upstream: &UpstreamId, target: &ModelTarget) -> bool {
        let place = Place { upstream: upstream.clone(), target: target.clone() };
        self.missing.get(&place).is_some_and(|until| !until.is_due(cx.now))
    }
}

/// Ranks the upstreams for a prompt's beginning, the same at every process.
fn affinity(prefix: Digest, upstream: &UpstreamId) -> u64 {
    FixedState::default().hash_one((prefix, upstream))
}
