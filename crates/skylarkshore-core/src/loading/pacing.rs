//! The share of the weight store that each load needs, kept by one process for all.
//!
//! Passing the weight store's rate makes loads slow but breaks nothing, so the
//! gate is soft: the process that rendezvous hashing picks among the live
//! members keeps it in memory. Whoever gets no answer from it asks the next one
//! of the hash's order, and after a few goes on with a small fixed share of its own.
//!
//! A share of its own is small for one host and far too much for all: where
//! eighty hosts each took one, forty-four loads ran beside each other on a store
//! that carries one at full speed, and two of them ended in a day. So a gate counts
//! as silent only once questions that are repeated have had no answer.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{HostId, UpstreamId};
use crate::loading::gate::{Gate, LoadKey, QUEUE_LIFE, RENEW_EVERY, Urgency, rate};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::time::Time;

/// How often a waiting load asks again.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// After how long without an answer to repeated questions a gate counts as silent.
const GATE_SILENT: Duration = Duration::from_millis(300);
/// How long a silent gate isn't asked again; hosts are paused for some seconds.
const GATE_AVOIDED: Duration = Duration::from_secs(5);
/// How many gates are asked before the fixed share is used.
///
/// Callers of a cold model wait for as many times [`GATE_SILENT`] where all are away.
const GATES: usize = 2;
/// For how long the gate's word on one load is believed for others.
const GATE_BELIEVED: Duration = Duration::from_secs(1);
/// How far apart loads of the fixed share start at least.
const LOCAL_SPACING: Duration = Duration::from_secs(1);

/// Whether a load may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Slot {
    /// It may.
    Granted,
    /// It has to wait.
    Waiting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Share {
    None,
    /// Of the gate.
    Gate,
    /// Of the process's own fixed share.
    Local,
}

/// One load of this process.
#[derive(Clone, Debug)]
struct Ask {
    /// When the caller last wanted it.
    wanted: Time,
    next: Time,
    /// The gate that was asked last, or granted the share.
    gate: Option<HostId>,
    /// When it was asked last.
    asked: Option<Time>,
    /// Since when questions to it have had no answer.
    unanswered: Option<Time>,
    /// When the gate is expected to grant it.
    granted_by: Time,
    share: Share,
    /// Whether the load has begun.
    started: bool,
    urgency: Urgency,
}

impl Ask {
    const fn new(now: Time, urgency: Urgency) -> Self {
        Self {
            wanted: now,
            next: now,
            gate: None,
            asked: None,
            unanswered: None,
            granted_by: now,
            share: Share::None,
            started: false,
            urgency,
        }
    }
}

/// What the process asks of the gate, and the gate itself.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    asks: OrderedMap<LoadKey, Ask>,
    last_local: Option<Time>,
    /// Until when the weight store is taken, as the gate last told.
    busy_until: Time,
    /// Until when that is believed.
    believed_until: Time,
    /// The gates that gave no answer, and until when they aren't asked.
    silent: OrderedMap<HostId, Time>,
    gate: Gate,
}

impl Pacing {
    /// Asks for a slot, or learns whether it has been granted.
    pub(crate) fn request(&mut self, cx: &mut Cx<'_>, key: &LoadKey, urgency: Urgency) -> Slot {
        let now = cx.now;
        let ask = self.asks.entry(key.clone()).or_insert_with(|| Ask::new(now, urgency));
        ask.wanted = now;
        ask.urgency = urgency;
        if ask.share != Share::None {
            return Slot::Granted;
        }
        self.ask_gate(cx, key);
        if self.is_gate_silent(cx, key) && self.take_local(cx, key) {
            return Slot::Granted;
        }
        Slot::Waiting
    }

    /// Tells whether no gate answers; if only the last one doesn't, the next one is asked.
    fn is_gate_silent(&mut self, cx: &mut Cx<'_>, key: &LoadKey) -> bool {
        let now = cx.now;
        let Some(ask) = self.asks.get_mut(key) else { return false };
        if ask.unanswered.is_some_and(|since| since.after(GATE_SILENT).is_due(now)) {
            ask.unanswered = None;
            ask.next = now;
            if let Some(gate) = ask.gate.clone() {
                cx.log_event("store_gate_silent", &gate, format!("asked for {key}"));
                self.silent.insert(gate, now.after(GATE_AVOIDED));
            }
            self.ask_gate(cx, key);
        }
        let is_one_heard = self.silent.is_empty() && cx.cache.members().next().is_some();
        !is_one_heard && self.gate_host(cx).is_none()
    }

    /// Takes note that a load has begun.
    pub(crate) fn started(&mut self, key: &LoadKey) {
        if let Some(ask) = self.asks.get_mut(key) {
            ask.started = true;
        }
    }

    /// Takes note that a load is in progress, also one whose slot was given back.
    ///
    /// An order in doubt that is sent again may be taken after all.
    pub(crate) fn runs(&mut self, now: Time, key: &LoadKey) {
        if self.asks.contains_key(key) {
            return;
        }
        let urgency = Urgency { order: ServiceOrder::default(), patience: Duration::ZERO };
        let ask = Ask { share: Share::Gate, started: true, ..Ask::new(now, urgency) };
        self.asks.insert(key.clone(), ask);
    }

    /// Returns the process that keeps the gate, if one of the first in the hash's order isn't silent.
    ///
    /// It is the same at every process that knows the same members.
    fn gate_host(&self, cx: &Cx<'_>) -> Option<HostId> {
        let staying = cx.cache.members().filter(|(_, member)| !member.leaving).map(|(host, _)| host);
        let mut ranked: Vec<(u64, &HostId)> = staying
            .map(|host| (FixedState::default().hash_one(("weight-store", host.as_str())), host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let is_heard = |host: &&HostId| !self.silent.contains_key(*host);
        ranked.into_iter().take(GATES).map(|(_, host)| host).find(is_heard).cloned()
    }

    fn take_local(&mut self, cx: &mut Cx<'_>, key: &LoadKey) -> bool {
        let now = cx.now;
        let spacing = local_spacing(cx);
        let is_taken = self.asks.values().any(|ask| ask.share == Share::Local);
        let is_early = self.last_local.is_some_and(|last| !last.after(spacing).is_due(now));
        if is_taken || is_early {
            return false;
        }
        self.last_local = Some(now);
        if let Some(ask) = self.asks.get_mut(key) {
            ask.share = Share::Local;
        }
        cx.log_event("store_gates_away", key, "the load begins without a gate");
        true
    }

    /// Tells whether the gate is to hear of a load now; if so, gates that were silent long ago are asked again.
    fn is_message_due(&mut self, now: Time, key: &LoadKey) -> bool {
        if self.asks.get(key).is_none_or(|ask| !ask.next.is_due(now)) {
            return false;
        }
        self.silent.retain(|_, until| !until.is_due(now));
        true
    }

    /// Asks the gate for a slot, if that is due.
    fn ask_gate(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let now = cx.now;
        if !self.is_message_due(now, key) {
            return;
        }
        let gate = self.gate_host(cx);
        let Some(ask) = self.asks.get_mut(key) else { return };
        ask.next = now.after(ASK_EVERY);
        let Some(gate) = gate else { return };
        // What was asked before a pause tells nothing: an engine that is busy with
        // another order asks for nothing meanwhile.
        let is_repeated = ask.asked.is_some_and(|asked| !asked.after(GATE_SILENT).is_due(now));
        if !is_repeated || ask.gate.as_ref() != Some(&gate) {
            ask.unanswered = None;
        }
        ask.unanswered.get_or_insert(now);
        ask.asked = Some(now);
        ask.gate = Some(gate.clone());
        let wanted = PeerMessage::LoadSlotWanted {
            upstream: key.engine.clone(),
            model: key.model.clone(),
            order: ask.urgency.order,
            max_wait: ask.urgency.patience,
        };
        cx.send(&gate, wanted);
    }

    /// Gives a share back that a load can't use, unless it has begun.
    pub(crate) fn forgo(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if self.asks.get(key).is_some_and(|ask| !ask.started) {
            self.release(cx, key);
        }
    }

    /// Gives a slot back, or leaves the queue.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let Some(ask) = self.asks.remove(key) else { return };
        if let Some(gate) = ask.gate {
            cx.send(&gate, returned(key));
        }
    }

    /// Tells what this process asks of the gate, and what it grants where it keeps the gate itself.
    pub(crate) fn dump_entries(&self) -> impl Iterator<Item = DumpEntry> {
        let asks = self.asks.iter().map(|(key, ask)| {
            let gate = ask.gate.as_ref().map_or("none", HostId::as_str);
            let standing = match (ask.share, ask.started) {
                (Share::None, _) => "waits",
                (_, false) => "may begin",
                (_, true) => "in progress",
            };
            let state = format!("{standing}; gate={gate}");
            DumpEntry { kind: "load_slot", subject: key.to_string(), state, since: ask.asked }
        });
        asks.chain(self.gate.dump_entries())
    }

    /// Gives back every slot of an engine.
    pub(crate) fn release_engine(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        let keys: Vec<LoadKey> = self.asks.keys().filter(|key| key.engine == *engine).cloned().collect();
        for key in keys {
            self.release(cx, &key);
        }
    }

    /// Returns how long a load has to wait for its slot, as far as the gate has told.
    ///
    /// One that wasn't asked for yet waits as long at least as the last one that was,
    /// if that was just now. Were the gate's word believed for longer, callers would
    /// be refused on account of loads that nobody wants any more, and as all are
    /// refused, nobody would ask the gate anew.
    pub(crate) fn expected_wait(&self, cx: &Cx<'_>, key: &LoadKey) -> Duration {
        match self.asks.get(key) {
            Some(ask) if ask.share == Share::None => ask.granted_by.remaining(cx.now),
            Some(_) => Duration::ZERO,
            None if self.believed_until.is_due(cx.now) => Duration::ZERO,
            None => self.busy_until.remaining(cx.now),
        }
    }

    /// Renews slots, drops what isn't wanted any more and grants what can be granted.
    ///
    /// `running` names the loads that have begun.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, running: impl Fn(&LoadKey) -> bool) {
        let keys: Vec<LoadKey> = self.asks.keys().cloned().collect();
        for key in keys {
            let Some(ask) = self.asks.get(&key) else { continue };
            let stale = ask.wanted.after(QUEUE_LIFE).is_due(cx.now);
            match (ask.started, running(&key)) {
                (true, true) => self.renew(cx, &key),
                (true, false) => self.release(cx, &key),
                (false, _) if stale => self.release(cx, &key),
                (false, _) => {}
            }
        }
        self.gate.look_at_running(cx);
        self.gate.grant_due(cx);
    }

    /// Tells whichever process keeps the gate now that a load is in progress, if that is due.
    ///
    /// Only the process that let it through would know of it otherwise. Its successor
    /// would let as many through beside those that still run, and all would be slow.
    fn renew(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if !self.is_message_due(cx.now, key) {
            return;
        }
        let gate = self.gate_host(cx);
        let Some(ask) = self.asks.get_mut(key) else { return };
        ask.next = cx.now.after(RENEW_EVERY);
        let Some(gate) = gate else { return };
        let former = ask.gate.replace(gate.clone()).filter(|former| *former != gate);
        if let Some(former) = former {
            cx.send(&former, returned(key));
        }
        cx.send(&gate, held(key));
    }

    /// Takes a peer's message about slots.
    pub(crate) fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        match message {
            PeerMessage::LoadSlotWanted { upstream, model, order, max_wait: patience } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.wanted(cx, from, &key, Urgency { order: *order, patience: *patience });
            }
            PeerMessage::LoadSlotReturned { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.returned(cx, from, &key);
            }
            PeerMessage::LoadSlotHeld { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.held(cx, from, &key);
            }
            PeerMessage::LoadSlotGranted { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.on_granted(cx, from, &key);
            }
            PeerMessage::LoadSlotQueued { upstream, model, wait } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.busy_until = cx.now.after(*wait);
                self.believed_until = cx.now.after(GATE_BELIEVED);
                if let Some(ask) = self.asks.get_mut(&key) {
                    ask.unanswered = None;
                    ask.granted_by = cx.now.after(*wait);
                }
            }
            _ => {}
        }
    }

    fn on_granted(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey) {
        let Some(ask) = self.asks.get_mut(key) else {
            // The load isn't wanted any more; others could use the slot.
            cx.send(from, returned(key));
            return;
        };
        ask.unanswered = None;
        if ask.share == Share::None {
            ask.share = Share::Gate;
            ask.gate = Some(from.clone());
            ask.next = cx.now.after(RENEW_EVERY);
        } else if ask.gate.as_ref() != Some(from) {
            // Another gate has let it through meanwhile, and only that one is told of its end.
            cx.send(from, returned(key));
        }
    }
}

fn returned(key: &LoadKey) -> PeerMessage {
    PeerMessage::LoadSlotReturned { upstream: key.engine.clone(), model: key.model.clone() }
}

fn held(key: &LoadKey) -> PeerMessage {
    PeerMessage::LoadSlotHeld { upstream: key.engine.clone(), model: key.model.clone() }
}

/// Returns how far apart loads begin while the gate is silent.
///
/// Every process may be without it at the same moment, and all of them together
/// have to keep to the rate.
fn local_spacing(cx: &Cx<'_>) -> Duration {
    let (span, starts) = rate(cx).window();
    let hosts = u32::try_from(cx.cache.members().count()).unwrap_or(u32::MAX).max(1);
    let starts = u32::try_from(starts).unwrap_or(u32::MAX).max(1);
    (span * hosts / starts).max(LOCAL_SPACING)
}
