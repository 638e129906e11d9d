//! Load slots of this process. Start with [`LoadSlots`].
//!
//! A load slot is the permission for one load from the weight store. Slots are
//! granted by the weight-store gate, which limits the concurrent loads of all
//! processes. Every process can host the gate; rendezvous hashing over the live
//! members picks the one that does. Where a gate is named here, it is by its host.
//!
//! Too many loads slow each other down but break nothing. The gate's state is
//! therefore kept only in its host's memory, and a new host may grant too many slots
//! at first. If a gate does not answer, the next host in hash order is asked. If
//! none answers, the process grants itself slots, its local share: one at a time, at
//! intervals that grow with the number of members.
//!
//! The local share is small for one host, but not if all use it. A former version
//! counted a gate as silent if it had not been asked for a while: eighty hosts used
//! their local share, forty-four loads ran concurrently on a store that sustains
//! one, and in a day only two of them ended. A gate therefore counts as silent only
//! after repeated requests without an answer.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{HostId, UpstreamId};
use crate::loading::gate::{Gate, LoadKey, QUEUE_TTL, RENEW_INTERVAL, Urgency, rate};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::time::Time;

/// How often a waiting load repeats its request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// How long repeated requests may go unanswered before a gate counts as silent.
const GATE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a silent gate is not asked. Paused hosts stay paused for some seconds.
const GATE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// How many hosts, the first in hash order, are tried as gates before the local share is used.
///
/// If all are down, callers of an unloaded model wait [`GATE_TIMEOUT`] for each.
const MAX_GATES: usize = 2;
/// How long the gate's wait estimate for one load is applied to loads without one.
const ESTIMATE_TTL: Duration = Duration::from_secs(1);
/// Minimum interval between loads on the local share.
const MIN_LOCAL_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a load may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotStatus {
    /// The load may start.
    Granted,
    /// The load has to wait.
    Waiting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotSource {
    None,
    /// Granted by the gate.
    Gate,
    /// Granted from the process's local share.
    Local,
}

/// The slot request of one load; kept until the load has ended.
#[derive(Clone, Debug)]
struct SlotRequest {
    /// When `LoadSlots::request` was last called for the load.
    last_requested: Time,
    next_message: Time,
    /// The gate that was last asked for the slot, granted it or was notified of the load.
    gate: Option<HostId>,
    /// When the gate was last asked.
    last_asked: Option<Time>,
    /// Start of the current series of unanswered requests.
    unanswered_since: Option<Time>,
    /// When the gate is expected to grant the slot.
    expected_grant: Time,
    source: SlotSource,
    /// Whether the load has started.
    started: bool,
    urgency: Urgency,
}

impl SlotRequest {
    const fn new(now: Time, urgency: Urgency) -> Self {
        Self {
            last_requested: now,
            next_message: now,
            gate: None,
            last_asked: None,
            unanswered_since: None,
            expected_grant: now,
            source: SlotSource::None,
            started: false,
            urgency,
        }
    }
}

/// Slot requests of this process, and the gate's state, used while it hosts the gate.
#[derive(Debug, Default)]
pub(crate) struct LoadSlots {
    requests: OrderedMap<LoadKey, SlotRequest>,
    last_local_grant: Option<Time>,
    /// The grant time that the gate last estimated for any load; used for loads
    /// without an estimate of their own.
    latest_expected_grant: Time,
    /// Until when `latest_expected_grant` applies.
    estimate_valid_until: Time,
    /// Gates that did not answer, and until when they are not asked.
    silent_gates: OrderedMap<HostId, Time>,
    gate: Gate,
}

impl LoadSlots {
    /// Requests a slot unless it has been granted, and returns its status.
    pub(crate) fn request(&mut self, cx: &mut Cx<'_>, key: &LoadKey, urgency: Urgency) -> SlotStatus {
        let now = cx.now;
        let request = self.requests.entry(key.clone()).or_insert_with(|| SlotRequest::new(now, urgency));
        request.last_requested = now;
        request.urgency = urgency;
        if request.source != SlotSource::None {
            return SlotStatus::Granted;
        }
        self.request_from_gate(cx, key);
        if self.fail_over(cx, key) && self.grant_local(cx, key) {
            return SlotStatus::Granted;
        }
        SlotStatus::Waiting
    }

    /// Marks a gate that timed out as silent and asks the next one. Reports whether
    /// all gates that may be tried are silent, or no member is known.
    fn fail_over(&mut self, cx: &mut Cx<'_>, key: &LoadKey) -> bool {
        let now = cx.now;
        let Some(request) = self.requests.get_mut(key) else { return false };
        if request.unanswered_since.is_some_and(|since| since.after(GATE_TIMEOUT).is_due(now)) {
            request.unanswered_since = None;
            request.next_message = now;
            if let Some(gate) = request.gate.clone() {
                cx.log_event("store_gate_silent", &gate, format!("asked for {key}"));
                self.silent_gates.insert(gate, now.after(GATE_RETRY_AFTER));
            }
            self.request_from_gate(cx, key);
        }
        let are_gates_responsive = self.silent_gates.is_empty() && cx.cache.members().next().is_some();
        !are_gates_responsive && self.gate_host(cx).is_none()
    }

    /// Records that the load of a granted slot has started.
    pub(crate) fn record_started(&mut self, key: &LoadKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.started = true;
        }
    }

    /// Adds a granted request for a running load that has none.
    ///
    /// A resent order of unknown outcome may be accepted after its slot was released.
    /// The load occupies the weight store all the same, and the gate has to count it.
    pub(crate) fn restore_running(&mut self, now: Time, key: &LoadKey) {
        if self.requests.contains_key(key) {
            return;
        }
        let urgency = Urgency { service_order: ServiceOrder::default(), max_wait: Duration::ZERO };
        let request =
            SlotRequest { source: SlotSource::Gate, started: true, ..SlotRequest::new(now, urgency) };
        self.requests.insert(key.clone(), request);
    }

    /// Returns the host of the gate: the first in hash order that is not silent, among
    /// the first [`MAX_GATES`] members that are not leaving.
    ///
    /// Processes with the same member list choose the same host.
    fn gate_host(&self, cx: &Cx<'_>) -> Option<HostId> {
        let members = cx.cache.members().filter(|(_, member)| !member.leaving).map(|(host, _)| host);
        let mut ranked: Vec<(u64, &HostId)> = members
            .map(|host| (FixedState::default().hash_one(("weight-store", host.as_str())), host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let is_responsive = |host: &&HostId| !self.silent_gates.contains_key(*host);
        ranked.into_iter().take(MAX_GATES).map(|(_, host)| host).find(is_responsive).cloned()
    }

    /// Grants a slot on the local share if it is free. Reports whether it was.
    fn grant_local(&mut self, cx: &mut Cx<'_>, key: &LoadKey) -> bool {
        let now = cx.now;
        let interval = local_interval(cx);
        let is_taken = self.requests.values().any(|request| request.source == SlotSource::Local);
        let is_early = self.last_local_grant.is_some_and(|last| !last.after(interval).is_due(now));
        if is_taken || is_early {
            return false;
        }
        self.last_local_grant = Some(now);
        if let Some(request) = self.requests.get_mut(key) {
            request.source = SlotSource::Local;
        }
        cx.log_event("store_gates_away", key, "no gate answers; the load starts on the local share");
        true
    }

    /// Reports whether a message to the gate is due. If so, gates that have been silent
    /// for long enough may be asked again.
    fn is_message_due(&mut self, now: Time, key: &LoadKey) -> bool {
        if self.requests.get(key).is_none_or(|request| !request.next_message.is_due(now)) {
            return false;
        }
        self.silent_gates.retain(|_, until| !until.is_due(now));
        true
    }

    /// Requests a slot from the gate if a message is due.
    fn request_from_gate(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let now = cx.now;
        if !self.is_message_due(now, key) {
            return;
        }
        let gate = self.gate_host(cx);
        let Some(request) = self.requests.get_mut(key) else { return };
        request.next_message = now.after(REQUEST_INTERVAL);
        let Some(gate) = gate else { return };
        // After a gap in this process's own requests, the series of unanswered ones
        // starts anew: while the engine is busy with another order, none is sent.
        let is_repeated = request.last_asked.is_some_and(|asked| !asked.after(GATE_TIMEOUT).is_due(now));
        if !is_repeated || request.gate.as_ref() != Some(&gate) {
            request.unanswered_since = None;
        }
        request.unanswered_since.get_or_insert(now);
        request.last_asked = Some(now);
        request.gate = Some(gate.clone());
        let wanted = PeerMessage::LoadSlotWanted {
            upstream: key.engine.clone(),
            model: key.model.clone(),
            order: request.urgency.service_order,
            max_wait: request.urgency.max_wait,
        };
        cx.send(&gate, wanted);
    }

    /// Releases a slot that a load cannot use, unless the load has started.
    pub(crate) fn release_unstarted(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if self.requests.get(key).is_some_and(|request| !request.started) {
            self.release(cx, key);
        }
    }

    /// Releases a slot, or leaves the queue.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        let Some(request) = self.requests.remove(key) else { return };
        if let Some(gate) = request.gate {
            cx.send(&gate, slot_returned(key));
        }
    }

    /// Returns this process's slot requests, and the gate's slots if it hosts the gate.
    pub(crate) fn dump_entries(&self) -> impl Iterator<Item = DumpEntry> {
        let requests = self.requests.iter().map(|(key, request)| {
            let gate = request.gate.as_ref().map_or("none", HostId::as_str);
            let status = match (request.source, request.started) {
                (SlotSource::None, _) => "waits",
                (_, false) => "may begin",
                (_, true) => "in progress",
            };
            let state = format!("{status}; gate={gate}");
            DumpEntry { kind: "load_slot", subject: key.to_string(), state, since: request.last_asked }
        });
        requests.chain(self.gate.dump_entries())
    }

    /// Releases all slots of an engine.
    pub(crate) fn release_engine(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        let keys: Vec<LoadKey> = self.requests.keys().filter(|key| key.engine == *engine).cloned().collect();
        for key in keys {
            self.release(cx, &key);
        }
    }

    /// Returns how long a load has to wait for its slot, according to the gate.
    ///
    /// A load without a request gets the estimate for another load, unless that is
    /// older than [`ESTIMATE_TTL`]. Client requests whose expected wait is too long
    /// are refused. If an estimate outlived the loads that it was made for, all of
    /// them would be refused, and no new load would ask the gate for a lower one.
    pub(crate) fn expected_wait(&self, cx: &Cx<'_>, key: &LoadKey) -> Duration {
        match self.requests.get(key) {
            Some(request) if request.source == SlotSource::None => request.expected_grant.remaining(cx.now),
            Some(_) => Duration::ZERO,
            None if self.estimate_valid_until.is_due(cx.now) => Duration::ZERO,
            None => self.latest_expected_grant.remaining(cx.now),
        }
    }

    /// Renews the slots of running loads, and drops requests that are no longer
    /// wanted. The gate, if this process hosts it, grants the slots that are free.
    ///
    /// `is_running` reports whether a started load is still in progress.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, is_running: impl Fn(&LoadKey) -> bool) {
        let keys: Vec<LoadKey> = self.requests.keys().cloned().collect();
        for key in keys {
            let Some(request) = self.requests.get(&key) else { continue };
            let stale = request.last_requested.after(QUEUE_TTL).is_due(cx.now);
            match (request.started, is_running(&key)) {
                (true, true) => self.renew(cx, &key),
                (true, false) => self.release(cx, &key),
                (false, _) if stale => self.release(cx, &key),
                (false, _) => {}
            }
        }
        self.gate.update_concurrency_limit(cx);
        self.gate.grant_due(cx);
    }

    /// Reports a load in progress to the current gate, if a message is due.
    ///
    /// Without this message, a gate on another host than the one that granted the
    /// slots would not know of the running loads. It would grant as many slots again,
    /// and all loads would slow down.
    fn renew(&mut self, cx: &mut Cx<'_>, key: &LoadKey) {
        if !self.is_message_due(cx.now, key) {
            return;
        }
        let gate = self.gate_host(cx);
        let Some(request) = self.requests.get_mut(key) else { return };
        request.next_message = cx.now.after(RENEW_INTERVAL);
        let Some(gate) = gate else { return };
        let former = request.gate.replace(gate.clone()).filter(|former| *former != gate);
        if let Some(former) = former {
            cx.send(&former, slot_returned(key));
        }
        cx.send(&gate, slot_held(key));
    }

    /// Handles a peer's message about load slots.
    pub(crate) fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        match message {
            PeerMessage::LoadSlotWanted { upstream, model, order, max_wait } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.request(cx, from, &key, Urgency { service_order: *order, max_wait: *max_wait });
            }
            PeerMessage::LoadSlotReturned { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.release(cx, from, &key);
            }
            PeerMessage::LoadSlotHeld { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.gate.renew(cx, from, &key);
            }
            PeerMessage::LoadSlotGranted { upstream, model } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.on_granted(cx, from, &key);
            }
            PeerMessage::LoadSlotQueued { upstream, model, wait } => {
                let key = LoadKey { engine: upstream.clone(), model: model.clone() };
                self.latest_expected_grant = cx.now.after(*wait);
                self.estimate_valid_until = cx.now.after(ESTIMATE_TTL);
                if let Some(request) = self.requests.get_mut(&key) {
                    request.unanswered_since = None;
                    request.expected_grant = cx.now.after(*wait);
                }
            }
            _ => {}
        }
    }

    fn on_granted(&mut self, cx: &mut Cx<'_>, from: &HostId, key: &LoadKey) {
        let Some(request) = self.requests.get_mut(key) else {
            // The load is no longer wanted; release the slot for others.
            cx.send(from, slot_returned(key));
            return;
        };
        request.unanswered_since = None;
        if request.source == SlotSource::None {
            request.source = SlotSource::Gate;
            request.gate = Some(from.clone());
            request.next_message = cx.now.after(RENEW_INTERVAL);
        } else if request.gate.as_ref() != Some(from) {
            // The load has a slot already, and its end will be reported to the gate of
            // that slot only.
            cx.send(from, slot_returned(key));
        }
    }
}

fn slot_returned(key: &LoadKey) -> PeerMessage {
    PeerMessage::LoadSlotReturned { upstream: key.engine.clone(), model: key.model.clone() }
}

fn slot_held(key: &LoadKey) -> PeerMessage {
    PeerMessage::LoadSlotHeld { upstream: key.engine.clone(), model: key.model.clone() }
}

/// Returns the interval between loads on the local share.
///
/// All processes may lose the gate at the same time. Each waits until every other
/// could have started a load, so that together they keep to the store's rate.
fn local_interval(cx: &Cx<'_>) -> Duration {
    let (span, starts) = rate(cx).window();
    let hosts = u32::try_from(cx.cache.members().count()).unwrap_or(u32::MAX).max(1);
    let starts = u32::try_from(starts).unwrap_or(u32::MAX).max(1);
    (span * hosts / starts).max(MIN_LOCAL_INTERVAL)
}
