//! A cluster of control planes with a simulated key-value service, engines and injected faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshore_core::Time;
use skylarkshore_core::catalogue::{Document, Model};
use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::control::Control;
use skylarkshore_core::cx::Counters;
use skylarkshore_core::effect::Effect;
use skylarkshore_core::id::{Digest, HostId, Incarnation, StoreEra, StoreRevision, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::{RuleOutcome, Rules, ServiceOrder};
use skylarkshore_core::store::{
    Key, Record, StoreCache, StoreCall, StoreFailure, StoreResult, Versioned, WriteQueue,
};
use skylarkshore_core::units::{Capacity, Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamChanges, UpstreamKind, UpstreamList, UpstreamStatus,
    WeightCopies,
};

use crate::process::{ACTIVE_WATTS, FakeEngines, Inbound, Process, SLEEP_WATTS};
use crate::store::Store;

pub const STEP: Duration = Duration::from_millis(50);
pub const SITE: &str = "site";

pub fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("'{text}' is a name"))
}

/// Injected faults; the numbers are probabilities in percent.
#[derive(Default)]
pub struct Faults {
    pub lost_calls: u32,
    pub lost_answers: u32,
    pub lost_messages: u32,
    /// Writes whose call fails although they reach the key-value service much later.
    pub delayed_writes: u32,
    /// How late they reach it; random if not set.
    pub write_delay: Option<Duration>,
    /// Whether the key-value service is unreachable for all processes.
    pub outage: bool,
}

/// Several processes with their store, engines and faults.
pub struct Cluster {
    pub now: Time,
    pub store: Store,
    pub processes: BTreeMap<HostId, Process>,
    pub engines: BTreeMap<UpstreamId, Upstream>,
    pub faults: Faults,
    rng: SmallRng,
    killed_incarnations: BTreeSet<(HostId, Incarnation)>,
    delayed_calls: Vec<(Time, StoreCall)>,
}

pub fn config(host: &str, incarnation: u64, seed: u64) -> NodeConfig {
    let address = "127.0.0.1:1".parse().unwrap_or_else(|_| unreachable!());
    NodeConfig {
        host: name(host),
        incarnation: Incarnation(incarnation),
        data_centre: name("dc-a"),
        caller_address: address,
        peer_address: address,
        fingerprint: Digest([0; 32]),
        seed: seed.wrapping_add(host.bytes().map(u64::from).sum()),
        timings: Timings::default(),
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::default(),
        capacity: Capacity::default(),
        is_first_start: false,
    }
}

pub fn engine(id: &str, fence_check: FenceCheck) -> Upstream {
    let spec = EngineSpec {
        memory: Mebibytes(80_000),
        sleep_watts: SLEEP_WATTS,
        active_watts: ACTIVE_WATTS,
        fence_check,
        concurrency: 8,
        order_mode: OrderMode::Parallel,
        pool: None,
        adapter_slots: None,
    };
    Upstream {
        id: name(id),
        address: "127.0.0.1:2".parse().unwrap_or_else(|_| unreachable!()),
        data_centre: name("dc-a"),
        site: name(SITE),
        kind: UpstreamKind::Engine(spec),
        status: UpstreamStatus::Live,
        incarnation: Incarnation::default(),
        software: None,
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}

pub fn document(revision: u64, models: u32, replicas_max: u32, cap: Watts) -> Document {
    let model = Model {
        version: name("1"),
        weights: Mebibytes(10_000),
        kv_cache: Mebibytes(2000),
        load_time: Duration::from_secs(10),
        copy_load_times: None,
        pool: None,
        adapters: BTreeMap::new(),
    };
    let mut document = Document::default();
    document.revision.0 = revision;
    document.power_caps.insert(name(SITE), cap);
    document.catalogue.models = (0..models).map(|i| (name(&format!("model-{i}")), model.clone())).collect();
    document.rules =
        Rules { list: Vec::new(), otherwise: RuleOutcome { replicas_max, ..RuleOutcome::default() } };
    document
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::from_millis(1000),
            store: Store::default(),
            processes: BTreeMap::new(),
            engines: BTreeMap::new(),
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(seed),
            killed_incarnations: BTreeSet::new(),
            delayed_calls: Vec::new(),
        }
    }

    /// Creates a cluster of `hosts` and of engines named `e0`, `e1`, ….
    pub fn with_engines(
        seed: u64,
        hosts: &[&str],
        engines: usize,
        fence_check: FenceCheck,
        document: Document,
    ) -> Self {
        let mut cluster = Self::new(seed);
        cluster.store.put(Key::Document, Record::Document(Arc::new(document)));
        cluster.engines =
            (0..engines).map(|i| engine(&format!("e{i}"), fence_check)).map(|e| (e.id.clone(), e)).collect();
        for host in hosts {
            cluster.start(config(host, 1, seed));
        }
        cluster
    }

    pub fn start(&mut self, cfg: NodeConfig) {
        let host = cfg.host.clone();
        let mut process = Process {
            control: Control::new(&cfg),
            engines: FakeEngines::default(),
            cache: StoreCache::default(),
            document: Arc::default(),
            upstreams: UpstreamList::default(),
            changes: Vec::new(),
            notes: Vec::new(),
            writes: WriteQueue::default(),
            counters: Counters::default(),
            rng: SmallRng::seed_from_u64(cfg.seed),
            watched: None,
            frozen: false,
            store_unreachable: false,
            inbound_cut: false,
            inbox: VecDeque::new(),
            cfg,
        };
        let mut effects = Vec::new();
        process.with(self.now, &mut effects, |cx, parts| parts.control.start(cx));
        self.processes.insert(host.clone(), process);
        self.publish_host_list(&host);
        self.execute_effects(&host, effects);
    }

    /// Ends a process without a shutdown.
    pub fn kill(&mut self, host: &str) {
        let host: HostId = name(host);
        if let Some(process) = self.processes.remove(&host) {
            self.killed_incarnations.insert((host, process.cfg.incarnation));
        }
    }

    pub fn process(&mut self, host: &str) -> &mut Process {
        self.processes.get_mut(&name::<HostId>(host)).unwrap_or_else(|| panic!("'{host}' runs"))
    }

    pub fn publish_host_list(&mut self, host: &HostId) {
        let now = self.now;
        let list = self.engines.clone();
        let Some(process) = self.processes.get_mut(host) else { return };
        let gone = process.upstreams.iter().map(|known| known.id.clone());
        let gone = gone.filter(|id| !list.contains_key(id)).collect();
        let changes = UpstreamChanges { changed: list.into_values().collect(), gone };
        let touched = process.upstreams.apply(changes);
        let mut effects = Vec::new();
        process.with(now, &mut effects, |cx, parts| parts.control.on_host_list(cx, &touched));
    }

    /// Lets a process reach the key-value service and learn its era.
    pub fn reach_era(&mut self, host: &str, era: StoreEra) {
        let now = self.now;
        let mut effects = Vec::new();
        let process = self.process(host);
        process.store_unreachable = false;
        process.with(now, &mut effects, |cx, parts| parts.control.on_new_era(cx, era));
        self.execute_effects(&name(host), effects);
    }

    /// Breaks a process's watch as a store outage would.
    pub fn break_watch(&mut self, host: &str) {
        let now = self.now;
        let mut effects = Vec::new();
        let process = self.process(host);
        process.watched = None;
        process.with(now, &mut effects, |cx, parts| parts.control.on_watch_broken(cx));
        self.execute_effects(&name(host), effects);
    }

    pub fn shut_down(&mut self, host: &str) {
        let now = self.now;
        let mut effects = Vec::new();
        self.process(host).with(now, &mut effects, |cx, parts| parts.control.on_shutdown(cx));
    }

    pub fn finish_draining(&mut self, host: &str) {
        let now = self.now;
        let mut effects = Vec::new();
        self.process(host).with(now, &mut effects, |cx, parts| parts.control.on_drained(cx));
        self.execute_effects(&name(host), effects);
    }

    pub fn send_power_request(&mut self, to: &str, watts: Watts) {
        let order = ServiceOrder::default();
        let message = PeerMessage::PowerWanted { site: name(SITE), watts, order };
        self.deliver(&name(to), Inbound::Peer(name("z"), message));
    }

    pub fn report(&mut self, host: &HostId, engine: &UpstreamId, reached: bool) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(host) else { return };
        process.with(now, &mut Vec::new(), |cx, parts| parts.control.on_report(cx, engine, reached));
    }

    /// Returns the hosts that may send orders to an engine now.
    pub fn holders(&self, engine: &UpstreamId) -> Vec<&HostId> {
        self.processes.iter().filter(|(_, p)| p.holds(self.now, engine)).map(|(host, _)| host).collect()
    }

    /// Returns the engines that are the home of any model.
    pub fn homes(&self) -> Vec<UpstreamId> {
        let homes = self.store.records().filter_map(|record| match record {
            Record::Homes(homes) => Some(&homes.engines),
            _ => None,
        });
        let homes: BTreeSet<&UpstreamId> = homes.flatten().collect();
        homes.into_iter().cloned().collect()
    }

    pub fn run(&mut self, time: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now.after(time);
        while !end.is_due(self.now) {
            self.step();
            check(self);
        }
    }

    /// Runs until `holds` returns true and returns the elapsed time; fails after `limit`.
    pub fn run_until(
        &mut self,
        what: &str,
        limit: Duration,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now.since(start) < limit, "{what} within {limit:?}");
            self.step();
        }
        self.now.since(start)
    }

    pub fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.store.expire(self.now);
        let (due, delayed_calls) =
            std::mem::take(&mut self.delayed_calls).into_iter().partition(|(at, _)| at.is_due(self.now));
        self.delayed_calls = delayed_calls;
        let due: Vec<(Time, StoreCall)> = due;
        for (_, call) in due {
            self.store.call(self.now, call);
        }
        let hosts: Vec<HostId> = self.processes.keys().cloned().collect();
        for host in &hosts {
            self.step_process(host);
        }
    }

    fn step_process(&mut self, host: &HostId) {
        let now = self.now;
        self.deliver_watch(host);
        let Some(process) = self.processes.get_mut(host).filter(|process| !process.frozen) else { return };
        let mut effects = Vec::new();
        let inbox = std::mem::take(&mut process.inbox);
        for inbound in inbox {
            process.take(now, inbound, &mut effects);
        }
        let ended = process.with(now, &mut effects, |cx, parts| parts.writes.on_tick(cx));
        for ended in ended {
            process.take_written(now, Some(ended), &mut effects);
        }
        process.with(now, &mut effects, |cx, parts| parts.control.on_tick(cx, parts.engines));
        self.execute_effects(host, effects);
    }

    fn deliver_watch(&mut self, host: &HostId) {
        let Some(process) = self.processes.get_mut(host) else { return };
        let Some(after) = process
            .watched
            .filter(|_| !process.store_unreachable && !process.inbound_cut && !self.faults.outage)
        else {
            return;
        };
        let changes: Vec<Versioned> = self.store.log.iter().filter(|c| c.revision > after).cloned().collect();
        if !changes.is_empty() {
            process.watched = Some(self.store.revision());
            process.inbox.push_back(Inbound::Watched(changes, self.store.revision()));
        }
    }

    fn execute_effects(&mut self, host: &HostId, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store { call, request } => {
                    let result = self.call_store(host, request);
                    self.deliver(host, Inbound::Result(call, result));
                }
                Effect::Watch { from } => {
                    self.set_watched(host, Some(StoreRevision(from.0.saturating_sub(1))));
                }
                Effect::Unwatch => self.set_watched(host, None),
                Effect::Peer(envelope)
                    if envelope.to != *host && self.is_injected(self.faults.lost_messages) => {}
                Effect::Peer(envelope) => {
                    self.deliver(&envelope.to, Inbound::Peer(host.clone(), envelope.message));
                }
                Effect::Probe { host: asked, incarnation, .. } => {
                    if let Some(process) = self.processes.get_mut(host) {
                        process.notes.push(("probe", asked.to_string()));
                    }
                    let runs = self.processes.get(&asked).is_some_and(|p| p.cfg.incarnation == incarnation);
                    if !runs && self.killed_incarnations.contains(&(asked.clone(), incarnation)) {
                        self.deliver(host, Inbound::Refused(asked, incarnation));
                    }
                }
                Effect::LogEvent(note) => {
                    if let Some(process) = self.processes.get_mut(host) {
                        process.notes.push((note.event, note.subject));
                    }
                }
                _ => {}
            }
        }
    }

    fn set_watched(&mut self, host: &HostId, watched: Option<StoreRevision>) {
        if let Some(process) = self.processes.get_mut(host) {
            process.watched = watched;
        }
    }

    fn call_store(&mut self, host: &HostId, call: StoreCall) -> StoreResult {
        let cut =
            self.faults.outage || self.processes.get(host).is_some_and(|process| process.store_unreachable);
        if cut || self.is_injected(self.faults.lost_calls) {
            return Err(StoreFailure::NotDone);
        }
        if matches!(call, StoreCall::Write { .. }) && self.is_injected(self.faults.delayed_writes) {
            let random = Duration::from_millis(self.rng.random_range(100..20_000));
            self.delayed_calls.push((self.now.after(self.faults.write_delay.unwrap_or(random)), call));
            return Err(StoreFailure::Unknown);
        }
        let answer = self.store.call(self.now, call);
        if self.is_injected(self.faults.lost_answers) { Err(StoreFailure::Unknown) } else { Ok(answer) }
    }

    fn deliver(&mut self, host: &HostId, inbound: Inbound) {
        let Some(process) = self.processes.get_mut(host) else { return };
        if !process.inbound_cut || !matches!(inbound, Inbound::Peer(..)) {
            process.inbox.push_back(inbound);
        }
    }

    fn is_injected(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}

pub const UNLIMITED_POWER: Watts = Watts(1_000_000);

pub const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Creates a cluster and waits until every engine has an owner.
pub fn cluster_with_owners(seed: u64, hosts: &[&str], engines: usize, fence_check: FenceCheck) -> Cluster {
    let mut cluster =
        Cluster::with_engines(seed, hosts, engines, fence_check, document(1, 4, 2, UNLIMITED_POWER));
    cluster.run_until("every engine gets an owner", secs(30), is_every_engine_owned);
    cluster
}

pub fn is_every_engine_owned(cluster: &mut Cluster) -> bool {
    cluster.engines.keys().all(|engine| cluster.holders(engine).len() == 1)
}

/// Checks that at most one process may send orders to each engine.
pub fn assert_one_owner_each(cluster: &mut Cluster) {
    for engine in cluster.engines.keys() {
        let holders = cluster.holders(engine);
        assert!(holders.len() < 2, "{holders:?} may all give orders to {engine} at {}", cluster.now);
    }
}
