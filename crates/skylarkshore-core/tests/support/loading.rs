//! One process's loads with a fake engine, driven in given time.

#[path = "fake_engine.rs"]
mod fake_engine;

use std::net::SocketAddr;
use std::time::Duration;

use fake_engine::FakeEngine;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use skylarkshore_core::authority::{Authority, OwnershipChange, Permit};
use skylarkshore_core::catalogue::{CopyLoadTimes, Document, Model, ModelTarget};
use skylarkshore_core::collections::{OrderedMap, OrderedSet};
use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::cx::{Counters, Cx};
use skylarkshore_core::effect::{Effect, LogEvent};
use skylarkshore_core::id::{
    CallId, DataCentre, Digest, Fence, HostId, Incarnation, ModelName, OrderId, StoreRevision, UpstreamId,
};
use skylarkshore_core::loading::Loading;
use skylarkshore_core::peer::{Envelope, PeerMessage};
use skylarkshore_core::rules::{IdleAfter, MinuteOfDay, Rules, ServiceOrder};
use skylarkshore_core::store::{
    HomesRecord, Key, MemberRecord, OwnerRecord, Record, StoreCache, Versioned, Writer,
};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::{Capacity, Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineReport, EngineSpec, FenceCheck, Order, OrderAnswer, OrderMode, Upstream, UpstreamKind,
    UpstreamList, UpstreamStatus, WeightCopies,
};
use skylarkshore_core::view::Readiness;

/// How far apart ticks are.
pub const TICK: Duration = Duration::from_millis(50);
/// How long the fake engine takes for a load.
pub const LOAD_TIME: Duration = Duration::from_secs(4);
/// How long a request runs that needn't wait.
const RUN_TIME: Duration = Duration::from_millis(400);
/// What an engine draws with something loaded.
pub const ACTIVE: Watts = Watts(700);
/// The host whose process is under test.
pub const OWN: &str = "entry-1";
/// The engine that it owns.
pub const ENGINE: &str = "engine-a";

/// Parses a name that the test wrote itself.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("a test's own name is valid")
}

/// Names a model, or with a slash a model and its adapter.
pub fn target(s: &str) -> ModelTarget {
    match s.split_once('/') {
        Some((model, adapter)) => ModelTarget { model: name(model), adapter: Some(name(adapter)) },
        None => ModelTarget { model: name(s), adapter: None },
    }
}

/// What happens to an order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives, and so does its answer.
    Arrives,
    /// It arrives, but its answer doesn't.
    AnswerLost,
    /// It is held up; the sender gives it up for lost.
    Held,
}

/// What the process under test may do.
#[derive(Debug)]
pub struct FakeAuthority {
    /// Whether it may give orders.
    pub permitted: bool,
    /// What its engine may draw.
    pub granted: Watts,
    /// The models whose home the engine is.
    pub homes: OrderedSet<ModelName>,
    /// The models that may not stay, as other engines are their homes.
    pub surplus: OrderedSet<ModelName>,
}

impl Authority for FakeAuthority {
    fn permit(&self, now: Time, _engine: &UpstreamId) -> Option<Permit> {
        self.permitted.then(|| Permit { fence: Fence(7), not_after: now.after(Duration::from_secs(1)) })
    }

    fn is_home(&self, _engine: &UpstreamId, model: &ModelName) -> bool {
        self.homes.contains(model)
    }

    fn must_unload(&self, _engine: &UpstreamId, model: &ModelName) -> bool {
        self.surplus.contains(model)
    }

    fn granted_power(&self, _engine: &UpstreamId) -> Watts {
        self.granted
    }
}

/// A process's loads, its surroundings and one engine.
#[derive(Debug)]
pub struct Rig {
    /// The time.
    pub now: Time,
    /// What is under test.
    pub loading: Loading,
    /// What it may do.
    pub authority: FakeAuthority,
    /// The engine.
    pub engine: FakeEngine,
    /// The operators' document.
    pub document: Document,
    /// What happens to the next loads and unloads; then all arrive.
    pub fates: Vec<Fate>,
    /// How many orders each order says that the engine must have accepted before.
    pub numbers: Vec<Option<u64>>,
    /// Orders that were held up.
    pub held: Vec<(OrderId, Order)>,
    /// Messages to other hosts and to the own router.
    pub told: Vec<Envelope>,
    /// Notes for the operators.
    pub notes: Vec<LogEvent>,
    /// How many reports were asked for.
    pub reports_asked: usize,
    /// Whether the engine's reports get lost.
    pub reports_away: bool,
    /// Whether messages to the weight-store gate get lost.
    pub gate_away: bool,
    cfg: NodeConfig,
    cache: StoreCache,
    upstreams: UpstreamList,
    counters: Counters,
    rng: SmallRng,
    revision: u64,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn config() -> NodeConfig {
    NodeConfig {
        host: name(OWN),
        incarnation: Incarnation(1),
        data_centre: name("bern-a"),
        caller_address: address(1),
        peer_address: address(2),
        fingerprint: Digest([0; 32]),
        seed: 1,
        timings: Timings::default(),
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::default(),
        capacity: Capacity::default(),
    }
}

fn engine_upstream(memory: Mebibytes) -> Upstream {
    let spec = EngineSpec {
        memory,
        sleep_watts: Watts(80),
        active_watts: ACTIVE,
        fence_check: FenceCheck::Refuses,
        concurrency: 4,
        order_mode: OrderMode::Parallel,
        pool: None,
        adapter_slots: None,
    };
    Upstream {
        id: name(ENGINE),
        address: address(3),
        data_centre: name::<DataCentre>("bern-a"),
        site: name("bern"),
        kind: UpstreamKind::Engine(spec),
        status: UpstreamStatus::Live,
        incarnation: Incarnation::default(),
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}

/// Describes a model of the given size; a tenth of it is KV cache.
pub fn model(memory: u64) -> Model {
    Model {
        version: name("v1"),
        weights: Mebibytes(memory - memory / 10),
        kv_cache: Mebibytes(memory / 10),
        load_time: LOAD_TIME,
        copy_load_times: None,
        pool: None,
        adapters: OrderedMap::new(),
    }
}

impl Rig {
    /// Makes a process that has just acquired an engine of 1000 MiB.
    pub fn new(models: &[(&str, u64)]) -> Self {
        Self::taking_over(models, Time::START)
    }

    /// Makes a process that has just acquired an engine whose former owner may act until `late_orders_until`.
    pub fn taking_over(models: &[(&str, u64)], late_orders_until: Time) -> Self {
        let memory = Mebibytes(1000);
        let cfg = config();
        let mut rig = Self {
            now: Time::from_millis(1000),
            loading: Loading::new(&cfg),
            authority: FakeAuthority {
                permitted: true,
                granted: ACTIVE,
                homes: OrderedSet::new(),
                surplus: OrderedSet::new(),
            },
            engine: FakeEngine::new(memory),
            document: Document::default(),
            fates: Vec::new(),
            numbers: Vec::new(),
            held: Vec::new(),
            told: Vec::new(),
            notes: Vec::new(),
            reports_asked: 0,
            reports_away: false,
            gate_away: false,
            cfg,
            cache: StoreCache::default(),
            upstreams: std::iter::once(engine_upstream(memory)).collect(),
            counters: Counters::default(),
            rng: SmallRng::seed_from_u64(1),
            revision: 0,
        };
        rig.add_member(OWN);
        rig.put(
            Key::Owner(name(ENGINE)),
            Record::Owner(OwnerRecord { host: name(OWN), incarnation: Incarnation(1), fence: Fence(7) }),
        );
        for (model_name, memory) in models {
            rig.document.catalogue.models.insert(name(model_name), model(*memory));
            rig.authority.homes.insert(name(model_name));
            let homes = HomesRecord { engines: vec![name(ENGINE)], evicted_from: Vec::new() };
            rig.put(Key::Homes(name(model_name)), Record::Homes(homes));
        }
        let change = OwnershipChange::Acquired { engine: name(ENGINE), fence: Fence(7), late_orders_until };
        rig.with(|loading, cx, _| loading.on_ownership(cx, &change));
        rig
    }

    /// Makes a process that has just acquired an engine which numbers its orders and takes one at a time.
    pub fn one_by_one(models: &[(&str, u64)]) -> Self {
        let mut rig = Self::new(models);
        rig.engine.accepted = Some(0);
        rig.upstreams.change(&name(ENGINE), |engine| {
            if let UpstreamKind::Engine(spec) = &mut engine.kind {
                spec.order_mode = OrderMode::Sequential;
            }
        });
        rig
    }

    /// Makes the same with a copy of every model on the engine's disk, from which loads take `takes`.
    pub fn with_copies(models: &[(&str, u64)], takes: Duration) -> Self {
        let mut rig = Self::one_by_one(models);
        for (model, _) in models {
            let model: ModelName = name(model);
            let known = rig.document.catalogue.models.get_mut(&model).expect("the model is listed");
            known.copy_load_times = Some(CopyLoadTimes { from_memory: takes, from_disk: takes });
            rig.engine.copies.on_disk.insert(model);
        }
        rig.engine.copy_load_time = takes;
        rig.document.rules.otherwise.idle_after = IdleAfter::Never;
        rig
    }

    /// Returns the last that a router was told of a model, if that is that it comes.
    pub fn remaining(&self, router: &str, model: &str) -> Option<Duration> {
        let views = self.told.iter().rev().filter(|e| e.to.as_str() == router);
        let mut seen = views.filter_map(|e| match &e.message {
            PeerMessage::View(view) => view.models.iter().find(|seen| seen.model.as_str() == model),
            _ => None,
        });
        match seen.next()?.readiness {
            Readiness::Loading { remaining } => Some(remaining),
            _ => None,
        }
    }

    /// Names the homes of a model, of which the engine may be one.
    pub fn set_homes(&mut self, model: &str, engines: &[&str]) {
        let homes = HomesRecord {
            engines: engines.iter().map(|engine| name(engine)).collect(),
            evicted_from: Vec::new(),
        };
        self.put(Key::Homes(name(model)), Record::Homes(homes));
    }

    /// Takes a model's homes away, as before they have been written.
    pub fn clear_homes(&mut self, model: &str) {
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        self.cache.apply(Versioned { key: Key::Homes(name(model)), revision, writer: None, record: None });
    }

    /// Has the list say that an engine holds a model.
    pub fn set_held(&mut self, engine: &str, model: &str) {
        let memory = Mebibytes(1000);
        let id: UpstreamId = name(engine);
        if !self.upstreams.contains(&id) {
            self.upstreams.insert(Upstream { id: id.clone(), ..engine_upstream(memory) });
        }
        self.upstreams.change(&id, |listed| listed.holds.push(name(model)));
    }

    /// Has the list speak of another life of the engine.
    pub fn set_listed_life(&mut self, life: Incarnation) {
        self.upstreams.change(&name(ENGINE), |listed| listed.incarnation = life);
    }

    /// Returns what the process believes of the kind, each as its subject and state.
    pub fn dump_entries(&mut self, kind: &str) -> Vec<String> {
        let mut beliefs = Vec::new();
        self.with(|loading, cx, _| beliefs = loading.dump(cx));
        let of_kind = beliefs.into_iter().filter(|belief| belief.kind == kind);
        of_kind.map(|belief| format!("{}: {}", belief.subject, belief.state)).collect()
    }

    /// Hands a report over that was asked for just now.
    pub fn report(&mut self, report: &EngineReport) {
        let asked = self.now;
        self.with(|loading, cx, authority| {
            loading.on_report(cx, authority, &name(ENGINE), asked, Some(report));
        });
    }

    /// Has the list name another engine, which a live process owns.
    pub fn add_engine(&mut self, engine: &str, owner: &str) {
        let memory = Mebibytes(1000);
        self.upstreams.insert(Upstream { id: name(engine), ..engine_upstream(memory) });
        self.add_member(owner);
        let record = OwnerRecord { host: name(owner), incarnation: Incarnation(1), fence: Fence(7) };
        self.put(Key::Owner(name(engine)), Record::Owner(record));
    }

    /// Adds a live process.
    pub fn add_member(&mut self, host: &str) {
        let member = MemberRecord {
            incarnation: Incarnation(1),
            caller_address: address(1),
            peer_address: address(2),
            data_centre: name("bern-a"),
            fingerprint: Digest([0; 32]),
            leaving: false,
            capacity: Capacity::default(),
        };
        self.put(Key::Member(name(host)), Record::Member(member));
    }

    pub fn remove_member(&mut self, host: &str) {
        self.revision += 1;
        let key = Key::Member(name(host));
        let revision = StoreRevision(self.revision);
        self.cache.apply(Versioned { key, revision, writer: None, record: None });
    }

    fn put(&mut self, key: Key, record: Record) {
        self.revision += 1;
        let writer = Writer { host: name(OWN), incarnation: Incarnation(1), call: CallId(self.revision) };
        let revision = StoreRevision(self.revision);
        self.cache.apply(Versioned { key, revision, writer: Some(writer), record: Some(record) });
    }

    /// Adds an adapter of 10 MiB to a model.
    pub fn add_adapter(&mut self, model: &str, adapter: &str) {
        let model = self.document.catalogue.models.get_mut(&name(model)).expect("the model is listed");
        model.adapters.insert(name(adapter), Mebibytes(10));
    }

    /// Says on a router's behalf that requests wait.
    pub fn want(&mut self, router: &str, wanted: &str, waiting: u32) {
        self.want_with(router, wanted, waiting, ServiceOrder::default(), Duration::from_mins(1));
    }

    /// Says on a router's behalf that requests of an order of service wait.
    pub fn want_with(
        &mut self,
        router: &str,
        wanted: &str,
        waiting: u32,
        order: ServiceOrder,
        patience: Duration,
    ) {
        let message = PeerMessage::Wanted {
            target: target(wanted),
            waiting,
            order,
            max_wait: patience,
            soft_deadline: None,
        };
        self.hear(&name(router), &message);
    }

    /// Says on a router's behalf how many requests have arrived that needn't wait.
    pub fn arrive(&mut self, router: &str, model: &str, arrived: u32) {
        self.arrive_for(router, model, arrived, RUN_TIME);
    }

    /// Says the same where engines began to answer some of them late.
    pub fn arrive_late(&mut self, router: &str, model: &str, arrived: u32, late: u32) {
        let (target, run_time) = (target(model), RUN_TIME * arrived);
        let message = PeerMessage::Used { target, arrived, late, run_time, waited_for: false };
        self.hear(&name(router), &message);
    }

    /// Says the same of requests that run for a given time each.
    pub fn arrive_for(&mut self, router: &str, model: &str, arrived: u32, run: Duration) {
        let (target, run_time) = (target(model), run * arrived);
        let message = PeerMessage::Used { target, arrived, late: 0, run_time, waited_for: false };
        self.hear(&name(router), &message);
    }

    /// Hands a peer's message over.
    pub fn hear(&mut self, from: &HostId, message: &PeerMessage) {
        self.with(|loading, cx, authority| loading.on_peer(cx, authority, from, message));
    }

    /// Lets time pass.
    pub fn run(&mut self, d: Duration) {
        let end = self.now.after(d);
        while self.now < end {
            self.now = self.now.after(TICK);
            self.with(Loading::on_tick);
        }
    }

    /// Lets time pass until something holds; fails after two minutes.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now.after(Duration::from_mins(2));
        while !holds(self) {
            assert!(self.now < end, "not within two minutes: {what}\n{:#?}", self.notes);
            self.run(TICK);
        }
    }

    /// Keeps a router asking while time passes.
    pub fn run_wanting(&mut self, d: Duration, router: &str, wanted: &str, waiting: u32) {
        let end = self.now.after(d);
        while self.now < end {
            self.want(router, wanted, waiting);
            self.run(Duration::from_millis(500));
        }
    }

    /// Lets an order that was held up arrive at last.
    pub fn release_held(&mut self) {
        for (order, action) in std::mem::take(&mut self.held) {
            self.engine.execute(self.now, order, &action);
        }
    }

    /// Tells whether the last view that a router got shows the model in this state.
    pub fn shows(&self, router: &str, model: &str, readiness: &str) -> bool {
        let views = self.told.iter().rev().filter(|e| e.to.as_str() == router);
        let mut views = views.filter_map(|e| match &e.message {
            PeerMessage::View(view) => Some(view),
            _ => None,
        });
        let Some(view) = views.next() else { return false };
        view.models
            .iter()
            .any(|m| m.model.as_str() == model && format!("{:?}", m.readiness).starts_with(readiness))
    }

    /// Counts the views that routers were sent.
    pub fn views_told(&self) -> usize {
        self.told.iter().filter(|e| matches!(e.message, PeerMessage::View(_))).count()
    }

    /// Counts the views that a router was sent.
    pub fn views_told_to(&self, router: &str) -> usize {
        let to_it = self.told.iter().filter(|e| e.to.as_str() == router);
        to_it.filter(|e| matches!(e.message, PeerMessage::View(_))).count()
    }

    /// Lists the refusals that routers were given.
    pub fn refusals(&self) -> Vec<String> {
        let refusal = |e: &Envelope| match &e.message {
            PeerMessage::CannotLoad { target, reason, .. } => Some(format!("{} {reason:?}", target.model)),
            _ => None,
        };
        self.told.iter().filter_map(refusal).collect()
    }

    /// Calls the process's loads and carries out what they want.
    pub fn with(&mut self, f: impl FnOnce(&mut Loading, &mut Cx<'_>, &dyn Authority)) {
        let mut effects = Vec::new();
        self.call(&mut effects, f);
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                self.act(&mut effects, effect);
            }
        }
    }

    fn call(&mut self, effects: &mut Vec<Effect>, f: impl FnOnce(&mut Loading, &mut Cx<'_>, &dyn Authority)) {
        let mut cx = Cx {
            now: self.now,
            at: MinuteOfDay::default(),
            cfg: &self.cfg,
            document: &self.document,
            cache: &self.cache,
            upstreams: &self.upstreams,
            effects,
            writes: &mut Vec::new(),
            counters: &mut self.counters,
            rng: &mut self.rng,
        };
        f(&mut self.loading, &mut cx, &self.authority);
    }

    fn act(&mut self, effects: &mut Vec<Effect>, effect: Effect) {
        match effect {
            Effect::Order { order, action, after, .. } => {
                self.numbers.push(after);
                let differs =
                    self.engine.accepted.zip(after).is_some_and(|(accepted, after)| accepted != after);
                if (differs || self.engine.refuses_orders(self.now)) && self.engine.up {
                    return self.answer(effects, order, &OrderAnswer::OrderConflict);
                }
                self.carry(effects, order, &action);
            }
            Effect::RequestReport { .. } => {
                self.reports_asked += 1;
                let is_heard = self.engine.up && !self.reports_away;
                let report = is_heard.then(|| self.engine.report(self.now));
                let asked = self.now;
                self.call(effects, |loading, cx, authority| {
                    loading.on_report(cx, authority, &name(ENGINE), asked, report.as_ref());
                });
            }
            Effect::Peer(envelope) => self.deliver(effects, envelope),
            Effect::LogEvent(note) => self.notes.push(note),
            other => panic!("loading has no business with {other:?}"),
        }
    }

    fn deliver(&mut self, effects: &mut Vec<Effect>, envelope: Envelope) {
        let is_slot = matches!(
            envelope.message,
            PeerMessage::LoadSlotWanted { .. }
                | PeerMessage::LoadSlotHeld { .. }
                | PeerMessage::LoadSlotReturned { .. }
        );
        if is_slot && self.gate_away {
            return;
        }
        if envelope.to.as_str() == OWN {
            let message = envelope.message.clone();
            self.call(effects, |loading, cx, authority| {
                loading.on_peer(cx, authority, &name(OWN), &message);
            });
        }
        self.told.push(envelope);
    }

    fn carry(&mut self, effects: &mut Vec<Effect>, order: OrderId, action: &Order) {
        let fate = if *action == Order::RaiseFence || self.fates.is_empty() {
            Fate::Arrives
        } else {
            self.fates.remove(0)
        };
        if !self.engine.up {
            self.answer(effects, order, &OrderAnswer::NotSent);
            return;
        }
        match fate {
            Fate::Arrives => {
                self.engine.execute(self.now, order, action);
                self.answer(effects, order, &OrderAnswer::Accepted);
            }
            Fate::AnswerLost => {
                self.engine.execute(self.now, order, action);
                self.answer(effects, order, &OrderAnswer::Lost);
            }
            Fate::Held => {
                self.held.push((order, action.clone()));
                self.answer(effects, order, &OrderAnswer::Lost);
            }
        }
    }

    fn answer(&mut self, effects: &mut Vec<Effect>, order: OrderId, answer: &OrderAnswer) {
        self.call(effects, |loading, cx, authority| {
            loading.on_order(cx, authority, &name(ENGINE), order, answer);
        });
    }
}
