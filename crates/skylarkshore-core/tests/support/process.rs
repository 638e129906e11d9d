//! Control state of one simulated process with its cache and fake engines. [`Process`] is the type to start
//! with.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use rand::rngs::SmallRng;
use skylarkshore_core::Time;
use skylarkshore_core::authority::{Authority, EngineUse, HomeRequest, OwnershipChange};
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::config::NodeConfig;
use skylarkshore_core::control::Control;
use skylarkshore_core::cx::{Counters, Cx};
use skylarkshore_core::effect::Effect;
use skylarkshore_core::id::{CallId, HostId, Incarnation, ModelName, StoreRevision, UpstreamId};
use skylarkshore_core::list_knowledge::ListKnowledge;
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::{MinuteOfDay, ServiceOrder};
use skylarkshore_core::store::{
    Key, Record, StoreAnswer, StoreCache, StoreResult, Versioned, WriteOutcome, WriteQueue,
};
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::UpstreamList;

/// Power of an engine with nothing loaded.
pub const SLEEP_WATTS: Watts = Watts(50);
/// Power of an engine with a model loaded.
pub const ACTIVE_WATTS: Watts = Watts(400);

/// Fake of the loading subsystem of one process.
#[derive(Debug, Default)]
pub struct FakeEngines {
    /// Loaded models with their engines, which therefore draw active power.
    pub loaded: BTreeSet<(UpstreamId, ModelName)>,
    /// Engines with waiting requests, which lack power for a load while nothing is loaded.
    pub short_of_power: BTreeSet<UpstreamId>,
    pub open_order_engines: BTreeSet<UpstreamId>,
    pub home_requests: Vec<HomeRequest>,
}

impl EngineUse for FakeEngines {
    fn is_unused_by(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        !self.loaded.contains(&(engine.clone(), model.clone()))
    }

    fn has_no_open_orders(&self, engine: &UpstreamId) -> bool {
        !self.open_order_engines.contains(engine)
    }

    fn power_draw(&self, engine: &UpstreamId) -> Watts {
        let is_active = self.loaded.iter().any(|(loaded, _)| loaded == engine);
        if is_active { ACTIVE_WATTS } else { SLEEP_WATTS }
    }

    fn power_shortfall(&self, engine: &UpstreamId) -> Option<(Watts, ServiceOrder)> {
        let is_short = self.short_of_power.contains(engine) && self.power_draw(engine) == SLEEP_WATTS;
        is_short.then(|| (ACTIVE_WATTS.saturating_sub(SLEEP_WATTS), ServiceOrder::default()))
    }

    fn free_memory(&self, _engine: &UpstreamId) -> Mebibytes {
        Mebibytes(0)
    }

    fn home_requests(&self) -> Vec<HomeRequest> {
        self.home_requests.clone()
    }
}

/// One simulated process.
pub struct Process {
    pub cfg: NodeConfig,
    pub control: Control,
    pub engines: FakeEngines,
    pub cache: StoreCache,
    pub document: Arc<Document>,
    pub upstreams: UpstreamList,
    pub changes: Vec<OwnershipChange>,
    /// Logged events with their subjects.
    pub notes: Vec<(&'static str, String)>,
    pub writes: WriteQueue,
    pub counters: Counters,
    pub rng: SmallRng,
    /// Revision up to which the watch has delivered changes, if the process watches.
    pub watched: Option<StoreRevision>,
    /// The process is paused; messages to it are delayed.
    pub frozen: bool,
    /// The process can't reach the key-value service.
    pub store_unreachable: bool,
    /// The process receives neither watch events nor peer messages, but its calls are answered.
    pub inbound_cut: bool,
    pub inbox: VecDeque<Inbound>,
}

/// Input to a process.
pub enum Inbound {
    Result(CallId, StoreResult),
    Watched(Vec<Versioned>, StoreRevision),
    Peer(HostId, PeerMessage),
    Refused(HostId, Incarnation),
}

impl Process {
    /// Runs one step of the process and starts the writes that it requests.
    pub fn with<T>(
        &mut self,
        now: Time,
        effects: &mut Vec<Effect>,
        f: impl FnOnce(&mut Cx<'_>, Parts<'_>) -> T,
    ) -> T {
        let mut write_requests = Vec::new();
        let mut cx = Cx {
            now,
            at: MinuteOfDay::default(),
            cfg: &self.cfg,
            document: &self.document,
            cache: &self.cache,
            upstreams: &self.upstreams,
            list: ListKnowledge::default(),
            effects,
            writes: &mut write_requests,
            counters: &mut self.counters,
            rng: &mut self.rng,
        };
        let parts = Parts { control: &mut self.control, writes: &mut self.writes, engines: &self.engines };
        let value = f(&mut cx, parts);
        for req in std::mem::take(cx.writes) {
            self.writes.begin(&mut cx, req);
        }
        self.changes.extend(self.control.take_changes());
        if let Some(incarnation) = self.control.raised_incarnation(self.cfg.incarnation) {
            self.cfg.incarnation = incarnation;
            self.control.configure(&self.cfg);
        }
        value
    }

    fn notify_changed_keys(&mut self, now: Time, changed: &[Key], effects: &mut Vec<Effect>) {
        for key in changed {
            if let Some(Record::Document(document)) =
                self.cache.get(&Key::Document).and_then(|entry| entry.record.as_ref())
                && document.revision > self.document.revision
            {
                self.document = Arc::clone(document);
            }
            self.with(now, effects, |cx, parts| parts.control.on_key_change(cx, key));
        }
    }

    pub fn take_records(&mut self, now: Time, records: Vec<Versioned>, effects: &mut Vec<Effect>) {
        let keys: Vec<Key> = records
            .into_iter()
            .filter_map(|record| {
                let key = record.key.clone();
                self.cache.apply(record).then_some(key)
            })
            .collect();
        self.notify_changed_keys(now, &keys, effects);
    }

    pub fn take_written(&mut self, now: Time, ended: Option<(Key, WriteOutcome)>, effects: &mut Vec<Effect>) {
        let Some((key, outcome)) = ended else { return };
        if let WriteOutcome::Done(found) | WriteOutcome::Conflict(found) = &outcome {
            self.take_records(now, vec![found.clone()], effects);
        }
        self.with(now, effects, |cx, parts| parts.control.on_write_outcome(cx, &key, &outcome));
    }

    /// Handles one input of the process.
    pub fn take(&mut self, now: Time, inbound: Inbound, effects: &mut Vec<Effect>) {
        match inbound {
            Inbound::Result(call, result) => {
                if let Ok(StoreAnswer::Shared { revision, records }) = &result {
                    let changed = self.cache.apply_snapshot(*revision, records.clone());
                    self.notify_changed_keys(now, &changed, effects);
                }
                if let Ok(StoreAnswer::One(found)) = &result {
                    self.take_records(now, vec![found.clone()], effects);
                }
                let ended = self.with(now, effects, |cx, parts| {
                    parts.control.on_store_result(cx, call, &result);
                    parts.writes.on_result(cx, call, &result)
                });
                self.take_written(now, ended, effects);
            }
            Inbound::Watched(changes, upto) => {
                self.take_records(now, changes.clone(), effects);
                self.with(now, effects, |cx, parts| parts.control.on_watched(cx, changes, upto));
            }
            Inbound::Peer(from, PeerMessage::Records(batch)) => {
                if batch.after.is_some() {
                    self.take_records(now, batch.records, effects);
                } else {
                    let changed = self.cache.apply_snapshot(batch.upto, batch.records);
                    self.notify_changed_keys(now, &changed, effects);
                }
                self.with(now, effects, |cx, parts| {
                    parts.control.on_records(cx, &from, batch.after, batch.upto);
                });
            }
            Inbound::Peer(from, message) => {
                self.with(now, effects, |cx, parts| parts.control.on_peer(cx, &from, &message));
            }
            Inbound::Refused(host, incarnation) => {
                self.with(now, effects, |cx, parts| {
                    parts.control.on_peer_connection_refused(cx, &host, incarnation);
                });
            }
        }
    }

    pub fn holds(&self, now: Time, engine: &UpstreamId) -> bool {
        self.control.permit(now, engine).is_some_and(|permit| !permit.not_after.is_due(now))
    }

    /// Reports whether the answer to a lease call is in the inbox.
    pub fn has_lease_answer(&self) -> bool {
        self.inbox.iter().any(|inbound| matches!(inbound, Inbound::Result(_, Ok(StoreAnswer::Lease { .. }))))
    }

    /// Returns the state dump, one line per entry.
    pub fn dump_entries(&mut self, now: Time) -> String {
        let entries = self.with(now, &mut Vec::new(), |cx, parts| parts.control.dump(cx));
        let lines: Vec<String> = entries
            .iter()
            .map(|entry| format!("{} {}: {}", entry.kind, entry.subject, entry.state))
            .collect();
        lines.join("\n")
    }

    pub fn is_watching(&self) -> bool {
        self.watched.is_some()
    }

    pub fn event_count(&self, event: &str) -> usize {
        self.notes.iter().filter(|(name, _)| *name == event).count()
    }
}

/// Subsystems that a step of the process may access.
pub struct Parts<'a> {
    pub control: &'a mut Control,
    pub writes: &'a mut WriteQueue,
    pub engines: &'a FakeEngines,
}
