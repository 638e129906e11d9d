//! [`Serving`] of one or more processes with a key-value service, driven by hand.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use skylarkshore_core::catalogue::{Catalogue, Document, Model, ModelTarget, Service};
use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::cx::{Counters, Cx};
use skylarkshore_core::effect::{Effect, Refusal};
use skylarkshore_core::event::{Arrival, AttemptOutcome, Repeat, RequestPolicy, Target};
use skylarkshore_core::id::{
    AttemptId, CallId, Digest, Fence, HostId, Incarnation, LeaseId, RequestId, StoreRevision, UpstreamId,
};
use skylarkshore_core::list_knowledge::ListKnowledge;
use skylarkshore_core::peer::{KnownNotices, NoticeMessage, PeerMessage};
use skylarkshore_core::rules::{MinuteOfDay, Rules};
use skylarkshore_core::serving::Serving;
use skylarkshore_core::store::{
    Expect, HomesRecord, Key, MemberRecord, OwnerRecord, Record, StoreAnswer, StoreCache, StoreCall,
    StoreResult, Versioned, WriteQueue, WriteRequest,
};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::{Capacity, Mebibytes};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamKind, UpstreamList, UpstreamStatus, WeightCopies,
};
use skylarkshore_core::view::{EngineView, ModelView, Readiness, ViewVersion};

pub fn name<T: std::str::FromStr>(s: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    s.parse().unwrap()
}

pub fn digest(n: u8) -> Digest {
    Digest([n; 32])
}

pub fn model(s: &str) -> Target {
    Target::Model(ModelTarget { model: name(s), adapter: None })
}

pub fn service(s: &str) -> Target {
    Target::Service(name(s))
}

/// A key-value service that executes calls on request.
#[derive(Debug, Default)]
pub struct Store {
    records: OrderedMap<Key, Versioned>,
    revision: StoreRevision,
    leases: u64,
}

impl Store {
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)?.record.as_ref()
    }

    pub fn execute(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Read(key) => StoreAnswer::One(self.read(key)),
            StoreCall::Write { key, expect, record, writer, .. } => {
                let found = self.read(key);
                let as_expected = match expect {
                    Expect::Absent => found.record.is_none(),
                    Expect::At(revision) => found.record.is_some() && found.revision == *revision,
                };
                if !as_expected {
                    return StoreAnswer::Conflict(found);
                }
                self.revision = self.revision.next();
                let revision = self.revision;
                let writer = record.is_some().then(|| writer.clone());
                let written = Versioned { key: key.clone(), revision, writer, record: record.clone() };
                self.records.insert(key.clone(), written);
                StoreAnswer::Written(revision)
            }
            StoreCall::GrantLease { ttl } => {
                self.leases += 1;
                StoreAnswer::Lease { lease: LeaseId(self.leases), ttl: *ttl }
            }
            StoreCall::ReadShared | StoreCall::RenewLease(_) | StoreCall::RevokeLease(_) => {
                StoreAnswer::LeaseGone
            }
        }
    }

    fn read(&self, key: &Key) -> Versioned {
        let absent = Versioned { key: key.clone(), revision: self.revision, writer: None, record: None };
        self.records.get(key).filter(|found| found.record.is_some()).cloned().unwrap_or(absent)
    }
}

/// The [`Serving`] of one process with everything it depends on.
#[derive(Debug)]
pub struct Process {
    pub now: Time,
    pub cfg: NodeConfig,
    pub document: Document,
    pub cache: StoreCache,
    pub upstreams: UpstreamList,
    /// Up to when the host list is known; tests of processes that were frozen or cut off leave it behind.
    pub list: ListKnowledge,
    pub serving: Serving,
    /// The effects since they were last taken.
    pub effects: Vec<Effect>,
    writes: WriteQueue,
    counters: Counters,
    rng: SmallRng,
    cache_revision: u64,
}

impl Process {
    /// Creates a process on `host` in a deployment of three hosts, three engines and a
    /// service.
    ///
    /// Engine `e1` belongs to host `b`, `e2` to `c` and `e3` to `a`; model `m` has its
    /// homes on `e1` and `e2`, model `n` on `e2`.
    pub fn new(host: &str, seed: u64) -> Self {
        Self::with_limits(host, seed, Limits::default())
    }

    pub fn with_limits(host: &str, seed: u64, limits: Limits) -> Self {
        let mut process = Self::just_started(host, seed, limits);
        process.learn_notices();
        process
    }

    /// Creates a process that hasn't asked its peers yet what upstreams have said.
    pub fn just_started(host: &str, seed: u64, limits: Limits) -> Self {
        let cfg = NodeConfig {
            host: name(host),
            incarnation: Incarnation(1),
            data_centre: name("bern-a"),
            caller_address: "127.0.0.1:1".parse().unwrap(),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            fingerprint: digest(0),
            seed,
            timings: Timings::default(),
            limits,
            default_rules: Rules::default(),
            watchers: Watchers::default(),
            capacity: Capacity::default(),
            is_first_start: false,
        };
        let mut process = Self {
            now: Time::from_millis(1000),
            serving: Serving::new(&cfg),
            cfg,
            document: document(),
            cache: StoreCache::default(),
            upstreams: upstreams(),
            list: ListKnowledge::default(),
            effects: Vec::new(),
            writes: WriteQueue::default(),
            counters: Counters::default(),
            rng: SmallRng::seed_from_u64(seed),
            cache_revision: 0,
        };
        process.confirm_list();
        for (engine, owner) in [("e1", "b"), ("e2", "c"), ("e3", "a")] {
            process.cache_owner(engine, owner, 1);
        }
        for host in ["a", "b", "c"] {
            process.cache_member(host, Incarnation(1));
        }
        process.cache_homes("m", &["e1", "e2"]);
        process.cache_homes("n", &["e2"]);
        process
    }

    /// Records that the host list is known up to now.
    pub fn confirm_list(&mut self) {
        self.list.on_complete(Some(self.now), self.cfg.is_first_start);
    }

    /// Ends the inquiry after the start: the process has run for a while.
    fn learn_notices(&mut self) {
        let known = KnownNotices { is_complete: true, ..KnownNotices::default() };
        self.peer("elsewhere", &PeerMessage::Notice(NoticeMessage::Known(known)));
        self.effects.clear();
    }

    pub fn cache(&mut self, key: &Key, record: Option<Record>) {
        self.cache_revision += 1;
        let revision = StoreRevision(self.cache_revision);
        self.cache.apply(Versioned { key: key.clone(), revision, writer: None, record });
        self.with(|serving, cx| serving.on_change(cx, key));
    }

    pub fn cache_owner(&mut self, engine: &str, host: &str, fence: u64) {
        let record = OwnerRecord { host: name(host), incarnation: Incarnation(1), fence: Fence(fence) };
        self.cache(&Key::Owner(name(engine)), Some(Record::Owner(record)));
    }

    pub fn cache_member(&mut self, host: &str, incarnation: Incarnation) {
        let record = MemberRecord {
            incarnation,
            caller_address: "127.0.0.1:1".parse().unwrap(),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            data_centre: name("bern-a"),
            fingerprint: digest(0),
            leaving: false,
            capacity: Capacity::default(),
        };
        self.cache(&Key::Member(name(host)), Some(Record::Member(record)));
    }

    pub fn cache_homes(&mut self, model: &str, engines: &[&str]) {
        let record =
            HomesRecord { engines: engines.iter().map(|e| name(e)).collect(), evicted_from: Vec::new() };
        self.cache(&Key::Homes(name(model)), Some(Record::Homes(record)));
    }

    /// Removes an upstream from the host list; returns it for a later incarnation.
    pub fn terminate(&mut self, upstream: &str) -> Upstream {
        let ended = self.upstreams.remove(&name::<UpstreamId>(upstream)).unwrap();
        self.list_changed(upstream);
        ended
    }

    /// Lists a new incarnation of an upstream.
    pub fn restart(&mut self, upstream: &str, incarnation: u64) {
        self.change_listed(upstream, |listed| listed.incarnation = Incarnation(incarnation));
    }

    /// Changes an upstream's entry on the host list.
    pub fn change_listed(&mut self, upstream: &str, f: impl FnOnce(&mut Upstream)) {
        self.upstreams.change(&name(upstream), f);
        self.list_changed(upstream);
    }

    fn list_changed(&mut self, upstream: &str) {
        let touched = [name(upstream)];
        self.with(|serving, cx| serving.on_host_list(cx, &touched));
    }

    pub fn with<T>(&mut self, f: impl FnOnce(&mut Serving, &mut Cx<'_>) -> T) -> T {
        let mut wanted: Vec<WriteRequest> = Vec::new();
        let mut cx = Cx {
            now: self.now,
            at: MinuteOfDay::default(),
            cfg: &self.cfg,
            document: &self.document,
            cache: &self.cache,
            upstreams: &self.upstreams,
            list: self.list,
            effects: &mut self.effects,
            writes: &mut wanted,
            counters: &mut self.counters,
            rng: &mut self.rng,
        };
        let value = f(&mut self.serving, &mut cx);
        for req in std::mem::take(cx.writes) {
            self.writes.begin(&mut cx, req);
        }
        value
    }

    /// Same as [`with`](Self::with), for the writes in progress.
    fn with_writes<T>(&mut self, f: impl FnOnce(&mut WriteQueue, &mut Cx<'_>) -> T) -> T {
        let mut writes = std::mem::take(&mut self.writes);
        let value = self.with(|_, cx| f(&mut writes, cx));
        self.writes = writes;
        value
    }

    pub fn arrive(&mut self, id: u64, arrival: Arrival) {
        self.with(|serving, cx| serving.on_arrived(cx, RequestId(id), arrival));
    }

    pub fn end(&mut self, attempt: AttemptId, end: AttemptOutcome) {
        self.with(|serving, cx| serving.on_attempt_ended(cx, attempt, end));
    }

    pub fn peer(&mut self, from: &str, message: &PeerMessage) {
        let from: HostId = name(from);
        self.with(|serving, cx| serving.on_peer(cx, &from, message));
    }

    pub fn store(&mut self, call: CallId, result: &StoreResult) {
        self.with(|serving, cx| serving.on_store(cx, call, result));
        let ended = self.with_writes(|writes, cx| writes.on_result(cx, call, result));
        if let Some((key, outcome)) = ended {
            self.with(|serving, cx| serving.on_write(cx, &key, &outcome));
        }
    }

    /// Advances the time, with ticks.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.after(Duration::from_millis(ms));
        while self.now < end {
            self.now = end.min(self.now.after(Duration::from_millis(50)));
            let ended = self.with_writes(WriteQueue::on_tick);
            for (key, outcome) in ended {
                self.with(|serving, cx| serving.on_write(cx, &key, &outcome));
            }
            self.with(Serving::on_tick);
        }
    }

    /// Executes the pending calls to the key-value service until there are none.
    pub fn execute_calls(&mut self, store: &mut Store) {
        loop {
            let calls: Vec<(CallId, StoreCall)> = self.take_calls();
            if calls.is_empty() {
                return;
            }
            for (call, request) in calls {
                let answer = store.execute(&request);
                self.store(call, &Ok(answer));
            }
        }
    }

    pub fn take_calls(&mut self) -> Vec<(CallId, StoreCall)> {
        let calls = self.effects.extract_if(.., |e| matches!(e, Effect::Store { .. }));
        calls
            .filter_map(|e| match e {
                Effect::Store { call, request } => Some((call, request)),
                _ => None,
            })
            .collect()
    }

    /// Takes all effects.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the attempts that were sent.
    pub fn take_sent(&mut self) -> Vec<Sent> {
        let sends = self.effects.extract_if(.., |e| matches!(e, Effect::Send { .. }));
        sends.filter_map(Sent::from_effect).collect()
    }

    /// Takes the refusals.
    pub fn take_refused(&mut self) -> Vec<(RequestId, Refusal)> {
        let refusals = self.effects.extract_if(.., |e| matches!(e, Effect::Refuse { .. }));
        refusals
            .filter_map(|e| match e {
                Effect::Refuse { request, refusal } => Some((request, refusal)),
                _ => None,
            })
            .collect()
    }

    /// Takes the messages of one kind, with their receivers.
    pub fn take_messages(&mut self, kind: impl Fn(&PeerMessage) -> bool) -> Vec<(HostId, PeerMessage)> {
        let messages = self.effects.extract_if(.., |e| matches!(e, Effect::Peer(e) if kind(&e.message)));
        messages
            .filter_map(|e| match e {
                Effect::Peer(envelope) => Some((envelope.to, envelope.message)),
                _ => None,
            })
            .collect()
    }
}

/// An attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub upstream: UpstreamId,
    pub resume: bool,
}

impl Sent {
    fn from_effect(effect: Effect) -> Option<Self> {
        match effect {
            Effect::Send { request, attempt, upstream, resume, .. } => {
                Some(Self { request, attempt, upstream, resume })
            }
            _ => None,
        }
    }
}

/// Creates a request that may be repeated and has a deadline in ten seconds.
pub fn arrival(process: &Process, target: Target, body: u8) -> Arrival {
    let resumable = matches!(target, Target::Model(_));
    let policy = RequestPolicy::plain(process.now.after(Duration::from_secs(10)), resumable);
    Arrival {
        caller: name("orchard"),
        target,
        repeat: Repeat::Allowed,
        digest: digest(body),
        parts: Vec::new(),
        prefix: None,
        deadline: process.now.after(Duration::from_secs(10)),
        policy,
        charge: None,
        stream: None,
    }
}

/// Creates a booking with an idempotency key.
pub fn booking(process: &Process, key: u8, body: u8) -> Arrival {
    Arrival { repeat: Repeat::Once { key: digest(key) }, ..arrival(process, service("booking"), body) }
}

/// Creates an owner's view of an engine that holds one model.
pub fn view(engine: &str, number: u64, model: &str, readiness: Readiness) -> EngineView {
    EngineView {
        upstream: name(engine),
        version: ViewVersion { fence: Fence(1), number },
        incarnation: Incarnation::default(),
        models: vec![ModelView {
            model: name(model),
            version: name("v1"),
            readiness,
            adapters: Vec::new(),
            running: 0,
        }],
        concurrency: 2,
        running: 0,
        leaving: false,
        reserved_for: None,
    }
}

fn document() -> Document {
    let plain = |concurrency| Service { once_paths: vec!["/confirm".to_owned()], concurrency };
    let model = Model {
        version: name("v1"),
        weights: Mebibytes(1000),
        kv_cache: Mebibytes(100),
        load_time: Duration::from_secs(3),
        copy_load_times: None,
        pool: None,
        adapters: OrderedMap::new(),
    };
    let models = [(name("m"), model.clone()), (name("n"), model)].into_iter().collect();
    let services = [(name("booking"), plain(2))].into_iter().collect();
    Document { catalogue: Catalogue { models, services, ..Catalogue::default() }, ..Document::default() }
}

fn upstreams() -> UpstreamList {
    let engine = UpstreamKind::Engine(EngineSpec {
        memory: Mebibytes(10_000),
        sleep_watts: skylarkshore_core::units::Watts(10),
        active_watts: skylarkshore_core::units::Watts(100),
        fence_check: FenceCheck::Refuses,
        concurrency: 2,
        order_mode: OrderMode::Parallel,
        pool: None,
        adapter_slots: None,
    });
    let replica = UpstreamKind::Service(name("booking"));
    let all = [("e1", &engine), ("e2", &engine), ("e3", &engine), ("s1", &replica), ("s2", &replica)];
    all.into_iter().map(|(id, kind)| upstream(id, kind.clone())).collect()
}

fn upstream(id: &str, kind: UpstreamKind) -> Upstream {
    Upstream {
        id: name(id),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: name("bern-a"),
        site: name("bern"),
        kind,
        status: UpstreamStatus::Live,
        incarnation: Incarnation::default(),
        software: None,
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}
