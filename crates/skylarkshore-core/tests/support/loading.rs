//! Test rig: the loading state of one process with a fake engine and a simulated clock.

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
use skylarkshore_core::list_knowledge::ListKnowledge;
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

/// The interval between ticks.
pub const TICK: Duration = Duration::from_millis(50);
/// How long the fake engine takes for a load.
pub const LOAD_TIME: Duration = Duration::from_secs(4);
/// How long a request runs that does not have to wait.
const RUN_TIME: Duration = Duration::from_millis(400);
/// The power of an engine with models loaded.
pub const ACTIVE: Watts = Watts(700);
/// The host of the process under test.
pub const OWN_HOST: &str = "entry-1";
/// The engine that the process owns.
pub const ENGINE: &str = "engine-a";

/// Parses a name from a test.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("names in tests are valid")
}

/// Parses a target: `model` or `model/adapter`.
pub fn target(s: &str) -> ModelTarget {
    match s.split_once('/') {
        Some((model, adapter)) => ModelTarget { model: name(model), adapter: Some(name(adapter)) },
        None => ModelTarget { model: name(s), adapter: None },
    }
}

/// How an order and its answer are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Both arrive.
    Delivered,
    /// The order arrives, but its answer is lost.
    AnswerLost,
    /// The order is delayed, and its sender gives it up as lost.
    Delayed,
}

/// The permissions of the process under test.
#[derive(Debug)]
pub struct FakeAuthority {
    /// Whether orders are permitted.
    pub permitted: bool,
    /// The power granted to the engine.
    pub granted: Watts,
    /// The models whose home the engine is.
    pub homes: OrderedSet<ModelName>,
    /// The models that must be unloaded because other engines are their homes.
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

/// The loading state of a process, its environment and one engine.
#[derive(Debug)]
pub struct Rig {
    /// The simulated time.
    pub now: Time,
    /// The state under test.
    pub loading: Loading,
    /// Its permissions.
    pub authority: FakeAuthority,
    /// The engine.
    pub engine: FakeEngine,
    /// The operators' document.
    pub document: Document,
    /// Deliveries of the next loads and unloads; later ones all arrive.
    pub deliveries: Vec<Delivery>,
    /// The accepted count that each order expects.
    pub expected_counts: Vec<Option<u64>>,
    /// Orders that were delayed.
    pub delayed: Vec<(OrderId, Order)>,
    /// Messages to other hosts and to the process's own router.
    pub sent: Vec<Envelope>,
    /// Log events.
    pub notes: Vec<LogEvent>,
    /// Number of report requests.
    pub report_requests: usize,
    /// Whether the engine's reports are lost.
    pub drop_reports: bool,
    /// Whether messages to the weight-store gate are lost.
    pub drop_gate_messages: bool,
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
        host: name(OWN_HOST),
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
        is_first_start: false,
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
        software: None,
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}

/// Creates a model of the given size, a tenth of which is KV cache.
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
    /// Creates a process that has just acquired an engine of 1000 MiB.
    pub fn new(models: &[(&str, u64)]) -> Self {
        Self::taking_over(models, Time::START)
    }

    /// Creates a process that has just acquired an engine whose former owner may act
    /// until `late_orders_until`.
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
            deliveries: Vec::new(),
            expected_counts: Vec::new(),
            delayed: Vec::new(),
            sent: Vec::new(),
            notes: Vec::new(),
            report_requests: 0,
            drop_reports: false,
            drop_gate_messages: false,
            cfg,
            cache: StoreCache::default(),
            upstreams: std::iter::once(engine_upstream(memory)).collect(),
            counters: Counters::default(),
            rng: SmallRng::seed_from_u64(1),
            revision: 0,
        };
        rig.add_member(OWN_HOST);
        rig.put(
            Key::Owner(name(ENGINE)),
            Record::Owner(OwnerRecord { host: name(OWN_HOST), incarnation: Incarnation(1), fence: Fence(7) }),
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

    /// Creates a process that has just acquired a sequential engine.
    pub fn sequential(models: &[(&str, u64)]) -> Self {
        let mut rig = Self::new(models);
        rig.engine.accepted = Some(0);
        rig.upstreams.change(&name(ENGINE), |engine| {
            if let UpstreamKind::Engine(spec) = &mut engine.kind {
                spec.order_mode = OrderMode::Sequential;
            }
        });
        rig
    }

    /// Creates the same with a copy of every model on disk, from which a load takes `takes`.
    pub fn with_copies(models: &[(&str, u64)], takes: Duration) -> Self {
        let mut rig = Self::sequential(models);
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

    /// Returns the remaining time in the last view that a router received of a
    /// model, if it is loading.
    pub fn remaining(&self, router: &str, model: &str) -> Option<Duration> {
        let views = self.sent.iter().rev().filter(|e| e.to.as_str() == router);
        let mut seen = views.filter_map(|e| match &e.message {
            PeerMessage::View(view) => view.models.iter().find(|seen| seen.model.as_str() == model),
            _ => None,
        });
        match seen.next()?.readiness {
            Readiness::Loading { remaining } => Some(remaining),
            _ => None,
        }
    }

    /// Sets the homes of a model.
    pub fn set_homes(&mut self, model: &str, engines: &[&str]) {
        let homes = HomesRecord {
            engines: engines.iter().map(|engine| name(engine)).collect(),
            evicted_from: Vec::new(),
        };
        self.put(Key::Homes(name(model)), Record::Homes(homes));
    }

    /// Removes a model's homes, as before they are first written.
    pub fn clear_homes(&mut self, model: &str) {
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        self.cache.apply(Versioned { key: Key::Homes(name(model)), revision, writer: None, record: None });
    }

    /// Lists a model as held by an engine in the host list.
    pub fn set_listed_model(&mut self, engine: &str, model: &str) {
        let memory = Mebibytes(1000);
        let id: UpstreamId = name(engine);
        if !self.upstreams.contains(&id) {
            self.upstreams.insert(Upstream { id: id.clone(), ..engine_upstream(memory) });
        }
        self.upstreams.change(&id, |listed| listed.holds.push(name(model)));
    }

    /// Lists another incarnation of the engine in the host list.
    pub fn set_listed_incarnation(&mut self, incarnation: Incarnation) {
        self.upstreams.change(&name(ENGINE), |listed| listed.incarnation = incarnation);
    }

    /// Returns the state-dump entries of a kind, each as its subject and state.
    pub fn dump_entries(&mut self, kind: &str) -> Vec<String> {
        let mut beliefs = Vec::new();
        self.with(|loading, cx, _| beliefs = loading.dump(cx));
        let of_kind = beliefs.into_iter().filter(|belief| belief.kind == kind);
        of_kind.map(|belief| format!("{}: {}", belief.subject, belief.state)).collect()
    }

    /// Delivers a report that was requested at the current time.
    pub fn receive_report(&mut self, report: &EngineReport) {
        let asked = self.now;
        self.with(|loading, cx, authority| {
            loading.on_report(cx, authority, &name(ENGINE), asked, Some(report));
        });
    }

    /// Lists another engine in the host list, owned by a live process.
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
        let writer =
            Writer { host: name(OWN_HOST), incarnation: Incarnation(1), call: CallId(self.revision) };
        let revision = StoreRevision(self.revision);
        self.cache.apply(Versioned { key, revision, writer: Some(writer), record: Some(record) });
    }

    /// Adds an adapter of 10 MiB to a model.
    pub fn add_adapter(&mut self, model: &str, adapter: &str) {
        let model = self.document.catalogue.models.get_mut(&name(model)).expect("the model is listed");
        model.adapters.insert(name(adapter), Mebibytes(10));
    }

    /// Reports waiting requests on behalf of a router.
    pub fn demand(&mut self, router: &str, wanted: &str, waiting: u32) {
        self.demand_with(router, wanted, waiting, ServiceOrder::default(), Duration::from_mins(1));
    }

    /// Reports waiting requests with a service order and a wait limit on behalf of a router.
    pub fn demand_with(
        &mut self,
        router: &str,
        wanted: &str,
        waiting: u32,
        order: ServiceOrder,
        max_wait: Duration,
    ) {
        self.send_demand(router, wanted, waiting, order, max_wait, false);
    }

    /// Reports callers on behalf of a router that refused them and expects them to retry in time.
    pub fn refuse(&mut self, router: &str, wanted: &str, count: u32, retry_within: Duration) {
        self.send_demand(router, wanted, count, ServiceOrder::default(), retry_within, true);
    }

    fn send_demand(
        &mut self,
        router: &str,
        wanted: &str,
        waiting: u32,
        order: ServiceOrder,
        max_wait: Duration,
        refused: bool,
    ) {
        let target = target(wanted);
        let message = PeerMessage::Wanted { target, waiting, order, max_wait, soft_deadline: None, refused };
        self.receive(&name(router), &message);
    }

    /// Reports requests that did not wait on behalf of a router.
    pub fn report_use(&mut self, router: &str, model: &str, arrived: u32) {
        self.report_use_for(router, model, arrived, RUN_TIME);
    }

    /// Reports such requests, of which some were answered late.
    pub fn report_late_use(&mut self, router: &str, model: &str, arrived: u32, late: u32) {
        let (target, run_time) = (target(model), RUN_TIME * arrived);
        let message = PeerMessage::Used { target, arrived, late, run_time, waited_for: false };
        self.receive(&name(router), &message);
    }

    /// Reports such requests with a given running time each.
    pub fn report_use_for(&mut self, router: &str, model: &str, arrived: u32, run: Duration) {
        let (target, run_time) = (target(model), run * arrived);
        let message = PeerMessage::Used { target, arrived, late: 0, run_time, waited_for: false };
        self.receive(&name(router), &message);
    }

    /// Delivers a peer's message.
    pub fn receive(&mut self, from: &HostId, message: &PeerMessage) {
        self.with(|loading, cx, authority| loading.on_peer(cx, authority, from, message));
    }

    /// Advances the time.
    pub fn run(&mut self, d: Duration) {
        let end = self.now.after(d);
        while self.now < end {
            self.now = self.now.after(TICK);
            self.with(Loading::on_tick);
        }
    }

    /// Advances the time until a condition holds; fails after two minutes.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now.after(Duration::from_mins(2));
        while !holds(self) {
            assert!(self.now < end, "not within two minutes: {what}\n{:#?}", self.notes);
            self.run(TICK);
        }
    }

    /// Advances the time while a router keeps reporting waiting requests.
    pub fn run_with_demand(&mut self, d: Duration, router: &str, wanted: &str, waiting: u32) {
        let end = self.now.after(d);
        while self.now < end {
            self.demand(router, wanted, waiting);
            self.run(Duration::from_millis(500));
        }
    }

    /// Delivers the delayed orders.
    pub fn deliver_delayed(&mut self) {
        for (order, action) in std::mem::take(&mut self.delayed) {
            self.engine.execute(self.now, order, &action);
        }
    }

    /// Reports whether the last view that a router received shows the model in this state.
    pub fn shows(&self, router: &str, model: &str, readiness: &str) -> bool {
        let views = self.sent.iter().rev().filter(|e| e.to.as_str() == router);
        let mut views = views.filter_map(|e| match &e.message {
            PeerMessage::View(view) => Some(view),
            _ => None,
        });
        let Some(view) = views.next() else { return false };
        view.models
            .iter()
            .any(|m| m.model.as_str() == model && format!("{:?}", m.readiness).starts_with(readiness))
    }

    /// Returns the number of views sent.
    pub fn views_sent(&self) -> usize {
        self.sent.iter().filter(|e| matches!(e.message, PeerMessage::View(_))).count()
    }

    /// Returns the number of views sent to a router.
    pub fn views_sent_to(&self, router: &str) -> usize {
        let to_it = self.sent.iter().filter(|e| e.to.as_str() == router);
        to_it.filter(|e| matches!(e.message, PeerMessage::View(_))).count()
    }

    /// Returns the refusals sent to routers.
    pub fn refusals(&self) -> Vec<String> {
        let refusal = |e: &Envelope| match &e.message {
            PeerMessage::CannotLoad { target, reason, .. } => Some(format!("{} {reason:?}", target.model)),
            _ => None,
        };
        self.sent.iter().filter_map(refusal).collect()
    }

    /// Calls the loading state and applies the resulting effects.
    pub fn with(&mut self, f: impl FnOnce(&mut Loading, &mut Cx<'_>, &dyn Authority)) {
        let mut effects = Vec::new();
        self.call(&mut effects, f);
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                self.apply_effect(&mut effects, effect);
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
            list: ListKnowledge::default(),
            effects,
            writes: &mut Vec::new(),
            counters: &mut self.counters,
            rng: &mut self.rng,
        };
        f(&mut self.loading, &mut cx, &self.authority);
    }

    fn apply_effect(&mut self, effects: &mut Vec<Effect>, effect: Effect) {
        match effect {
            Effect::Order { order, action, after, .. } => {
                self.expected_counts.push(after);
                let differs =
                    self.engine.accepted.zip(after).is_some_and(|(accepted, after)| accepted != after);
                if (differs || self.engine.refuses_orders(self.now)) && self.engine.up {
                    return self.answer_order(effects, order, &OrderAnswer::OrderConflict);
                }
                self.deliver_order(effects, order, &action);
            }
            Effect::RequestReport { .. } => {
                self.report_requests += 1;
                let is_heard = self.engine.up && !self.drop_reports;
                let report = is_heard.then(|| self.engine.report(self.now));
                let asked = self.now;
                self.call(effects, |loading, cx, authority| {
                    loading.on_report(cx, authority, &name(ENGINE), asked, report.as_ref());
                });
            }
            Effect::Peer(envelope) => self.deliver_message(effects, envelope),
            Effect::LogEvent(note) => self.notes.push(note),
            other => panic!("unexpected effect: {other:?}"),
        }
    }

    fn deliver_message(&mut self, effects: &mut Vec<Effect>, envelope: Envelope) {
        let is_slot = matches!(
            envelope.message,
            PeerMessage::LoadSlotWanted { .. }
                | PeerMessage::LoadSlotHeld { .. }
                | PeerMessage::LoadSlotReturned { .. }
        );
        if is_slot && self.drop_gate_messages {
            return;
        }
        if envelope.to.as_str() == OWN_HOST {
            let message = envelope.message.clone();
            self.call(effects, |loading, cx, authority| {
                loading.on_peer(cx, authority, &name(OWN_HOST), &message);
            });
        }
        self.sent.push(envelope);
    }

    fn deliver_order(&mut self, effects: &mut Vec<Effect>, order: OrderId, action: &Order) {
        let delivery = if *action == Order::RaiseFence || self.deliveries.is_empty() {
            Delivery::Delivered
        } else {
            self.deliveries.remove(0)
        };
        if !self.engine.up {
            self.answer_order(effects, order, &OrderAnswer::NotSent);
            return;
        }
        match delivery {
            Delivery::Delivered => {
                self.engine.execute(self.now, order, action);
                self.answer_order(effects, order, &OrderAnswer::Accepted);
            }
            Delivery::AnswerLost => {
                self.engine.execute(self.now, order, action);
                self.answer_order(effects, order, &OrderAnswer::Lost);
            }
            Delivery::Delayed => {
                self.delayed.push((order, action.clone()));
                self.answer_order(effects, order, &OrderAnswer::Lost);
            }
        }
    }

    fn answer_order(&mut self, effects: &mut Vec<Effect>, order: OrderId, answer: &OrderAnswer) {
        self.call(effects, |loading, cx, authority| {
            loading.on_order(cx, authority, &name(ENGINE), order, answer);
        });
    }
}
