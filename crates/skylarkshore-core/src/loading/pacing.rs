//! The share of the weight store that each load needs, kept by one process for all.
//!
//! Passing the weight store's rate makes loads slow but breaks nothing, so the
//! gate is soft: the process that rendezvous hashing picks among the live
//! members keeps it in memory, and whoever gets no answer from it goes on with
//! a small fixed share of its own.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::{HostId, UpstreamId};
use crate::loading::gate::{Gate, LoadKey, QUEUE_LIFE, Urgency, rate};
use crate::peer::PeerMessage;
use crate::time::Time;

/// How often a waiting load asks again.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// After how long without the gate's word the fixed share is used.
const GATE_SILENT: Duration = Duration::from_millis(300);
/// For how long the gate's word on one load is believed for others.
const GATE_BELIEVED: Duration = Duration::from_secs(1);
/// How often a running load renews its slot.
const RENEW_EVERY: Duration = Duration::from_secs(10);
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
#[derive(Clone, Copy, Debug)]
struct Ask {
    since: Time,
    /// When the caller last wanted it.
    wanted: Time,
    next: Time,
    /// When the gate was last heard of.
    heard: Option<Time>,
    /// When the gate is expected to grant it.
    granted_by: Time,
    share: Share,
    /// Whether the load has begun.
    started: bool,
    urgency: Urgency,
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
    gate: Gate,
}

impl Pacing {
    /// Asks for a slot, or learns whether it has been granted.
    pub(crate) fn request(&mut self, cx: &mut Cx<'_>, key: &LoadKey, urgency: Urgency) -> Slot {
        let now = cx.now;
        let ask = self.asks.entry(key.clone()).or_insert(Ask {
            since: now,
            wanted: now,
            next: now,
            heard: None,
            granted_by: now,
            share: Share::None,
            started: false,
            urgency,
        });
        ask.wanted = now;
        ask.urgency = urgency;
        if ask.share != Share::None {
            return Slot::Granted;
        }
        if ask.heard.unwrap_or(ask.since).after(GATE_SILENT).is_due(now) && self.take_local(cx, key) {
            return Slot::Granted;
        }
        self.ask_gate(cx, key);
        Slot::Waiting
    }

    /// Takes note that a load has begun.
    pub(crate) fn started(&mut self, key: &LoadKey) {
        if let Some(ask) = self.asks.get_mut(key) {
            ask.started = true;
        }
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
            let heard =
                ask.heard.map_or_else(|| "never".to_owned(), |at| now.since(at).as_millis().to_string());
            let detail = format!("asked_for_ms={} heard_ms_ago={heard}", now.since(ask.since).as_millis());
            cx.note("store_gate_silent", format!("{}@{}", key.model, key.engine), detail);
        }
        true
    }

    fn ask_gate(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let Some(ask) = self.asks.get_mut(key).filter(|ask| ask.next.is_due(cx.now)) else { return };
        ask.next = cx.now.after(if ask.share == Share::None { ASK_EVERY } else { RENEW_EVERY });
        let Some(gate) = gate_host(cx) else { return };
        let wanted = PeerMessage::LoadSlotWanted {
            upstream: key.engine.clone(),
            model: key.model.clone(),
            order: ask.urgency.order,
            patience: ask.urgency.patience,
        };
        cx.tell(&gate, wanted);
    }

    /// Gives a slot back, or leaves the queue.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if self.asks.remove(key).is_none() {
            return;
        }
        if let Some(gate) = gate_host(cx) {
            let returned =
                PeerMessage::LoadSlotReturned { upstream: key.engine.clone(), model: key.model.clone() };
            cx.tell(&gate, returned);
        }
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
                (true, true) => self.ask_gate_to_renew(cx, &key),
                (true, false) => self.release(cx, &key),
                (false, _) if stale => self.release(cx, &key),
                (false, _) => {}
            }
        }
        self.gate.look_at_running(cx);
        self.gate.grant_due(cx);
    }

    fn ask_gate_to_renew(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if self.asks.get(key).is_some_and(|ask| ask.share == Share::Gate) {
            self.ask_gate(cx, key);
        }
    }

    /// Takes a peer's message about slots.
    pub(crate) fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        match message {
            PeerMessage::LoadSlotWanted { upstream, model, order, patience } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.wanted(cx, from, &key, Urgency { order: *order, patience: *patience });
            }
            PeerMessage::LoadSlotReturned { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.returned(cx, from, &key);
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
                    ask.heard = Some(cx.now);
                    ask.granted_by = cx.now.after(*wait);
                }
            }
            _ => {}
        }
    }

    fn on_granted(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey) {
        let Some(ask) = self.asks.get_mut(key) else {
            // The load isn't wanted any more; others could use the slot.
            let returned =
                PeerMessage::LoadSlotReturned { upstream: key.engine.clone(), model: key.model.clone() };
            cx.tell(from, returned);
            return;
        };
        ask.heard = Some(cx.now);
        if ask.share == Share::None {
            ask.share = Share::Gate;
            ask.next = cx.now.after(RENEW_EVERY);
        }
    }
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

/// Returns the process that keeps the gate: the same at every process that knows the same members.
fn gate_host(cx: &Cx<'_>) -> Option<HostId> {
    let staying = cx.cache.members().filter(|(_, member)| !member.leaving);
    let gate =
        staying.max_by_key(|(host, _)| FixedState::default().hash_one(("weight-store", host.as_str())));
    gate.map(|(host, _)| host.clone())
}
