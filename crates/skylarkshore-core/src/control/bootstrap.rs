//! Initial synchronisation of a process with the shared keys.
//!
//! If all processes of a large cluster start together and read everything, the key-value
//! service's link is busy for longer than callers wait. A process of a large cluster
//! therefore reads only the members and requests the rest from one of them; it reads
//! everything itself if none answers. Start reading at [`Bootstrap`].

use std::time::Duration;

use rand::Rng;

use super::peers::data_centre_peers;
use super::relay::has_many_members;
use super::relay_tree::RelayTree;
use super::store_sync::StoreSync;
use crate::collections::OrderedMap;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, HostId, StoreRevision};
use crate::peer::{PeerMessage, StatePart};
use crate::store::{StoreAnswer, StoreCall, StoreResult};
use crate::time::Time;

/// Delay before the members are read again, so that processes that start at the same time are registered.
const REGISTRATION_WAIT: Duration = Duration::from_millis(700);
/// Minimum interval between two reads of the members caused by unknown peers.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the read of the members, which takes several calls, as a multiple of `store_timeout`.
const MEMBERS_READ_TIMEOUT_FACTOR: u32 = 8;
/// Number of requests to the parent before another member is asked.
const MAX_PARENT_REQUESTS: u32 = 3;
/// How long to wait for an answer before another member is asked.
const STATE_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// How soon the state is sent again to a member that repeats its request.
const STATE_RESEND_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum number of requests, including repeats to a member that is not in sync itself.
const MAX_STATE_REQUESTS: u32 = 6;

#[derive(Clone, Debug)]
enum Stage {
    /// Reading the members; the keys may belong to processes that no longer run.
    ReadingMembers { call: CallId },
    /// Waiting until other starting processes are registered.
    AwaitingRegistrations { until: Time },
    /// Reading the members again.
    Rereading { call: CallId, deadline: Time },
    /// Waiting for the state from a member.
    AwaitingState { until: Time },
}

/// Progress of the initial synchronisation, and the members that wait for this process.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    stage: Option<Stage>,
    state_requests: u32,
    next_members_read: Time,
    /// Members that requested the state before this process was in sync.
    pending_requesters: Vec<HostId>,
    /// When the state was last sent to each member.
    state_sent_at: OrderedMap<HostId, Time>,
}

impl Bootstrap {
    /// Starts the initial synchronisation.
    pub(super) fn start(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync) {
        if cx.cfg.watchers != Watchers::Relayed {
            return sync.read(cx);
        }
        let call = cx.next_call();
        self.stage = Some(Stage::ReadingMembers { call });
        cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
    }

    /// Handles the result of a store call, which may belong to another part of the process.
    pub(super) fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        sync: &mut StoreSync,
        call: CallId,
        result: &StoreResult,
    ) {
        match self.stage.clone() {
            Some(Stage::ReadingMembers { call: own }) if own == call => {
                let is_known = matches!(result, Ok(StoreAnswer::Members(_)));
                if !is_known || !has_many_members(cx) {
                    self.stage = None;
                    return sync.read(cx);
                }
                self.stage =
                    Some(Stage::AwaitingRegistrations { until: cx.now.after(cx.jitter(REGISTRATION_WAIT)) });
            }
            Some(Stage::Rereading { call: own, .. }) if own == call => self.on_members(cx, sync),
            _ => {}
        }
    }

    /// Requests the state from a member, or reads it if this process is the root of the relay tree.
    fn on_members(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync) {
        if RelayTree::of(cx).is_root {
            self.stage = None;
            return sync.read(cx);
        }
        sync.await_peer_state(cx);
        self.request_state(cx, sync);
    }

    /// Reads the members after a connection from a process that is not a known member.
    pub(super) fn on_unknown_peer(&mut self, cx: &mut Cx<'_>) {
        if cx.cfg.watchers == Watchers::Relayed && self.next_members_read.is_due(cx.now) {
            self.next_members_read = cx.now.after(MEMBERS_READ_INTERVAL);
            let call = cx.next_call();
            cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
        }
    }

    /// Requests the state from the next member when that is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync) {
        // The state has arrived, or this process is reading it from the key-value service.
        if sync.is_synced() || !sync.has_no_pending_read() {
            self.stage = None;
            return;
        }
        match &self.stage {
            Some(Stage::AwaitingRegistrations { until }) if until.is_due(cx.now) => self.reread_members(cx),
            Some(Stage::Rereading { deadline, .. }) if deadline.is_due(cx.now) => self.on_members(cx, sync),
            Some(Stage::AwaitingState { until }) if until.is_due(cx.now) => self.request_state(cx, sync),
            _ => {}
        }
    }

    fn reread_members(&mut self, cx: &mut Cx<'_>) {
        let call = cx.next_call();
        let deadline = cx.now.after(cx.cfg.timings.store_timeout * MEMBERS_READ_TIMEOUT_FACTOR);
        self.stage = Some(Stage::Rereading { call, deadline });
        cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
    }

    /// Requests the state from a member, or reads it from the key-value service after enough requests.
    fn request_state(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync) {
        let host = self.next_provider(cx).filter(|_| self.state_requests < MAX_STATE_REQUESTS);
        let Some(host) = host else {
            self.stage = None;
            return sync.read(cx);
        };
        self.state_requests += 1;
        cx.push(Effect::ExtendStateWait);
        cx.send(&host, PeerMessage::StateWanted);
        self.stage = Some(Stage::AwaitingState { until: cx.now.after(STATE_REQUEST_TIMEOUT) });
    }

    /// Returns the member to ask: first the parent, which may not know this process
    /// yet, then a random one of the data centre.
    fn next_provider(&self, cx: &mut Cx<'_>) -> Option<HostId> {
        if self.state_requests < MAX_PARENT_REQUESTS
            && let Some(parent) = RelayTree::of(cx).parent
        {
            return Some(parent);
        }
        let local_peers: Vec<HostId> = data_centre_peers(cx).collect();
        (!local_peers.is_empty()).then(|| local_peers[cx.rng.random_range(0..local_peers.len())].clone())
    }

    /// Handles a peer message.
    pub(super) fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        sync: &StoreSync,
        from: &HostId,
        message: &PeerMessage,
    ) {
        match message {
            PeerMessage::StateWanted => {
                if !self.pending_requesters.contains(from) && !self.was_sent_recently(cx.now, from) {
                    self.pending_requesters.push(from.clone());
                }
                cx.send(from, PeerMessage::StateComing);
                self.send_pending_state(cx, sync);
            }
            PeerMessage::StateComing => {
                if let Some(Stage::AwaitingState { until }) = &mut self.stage {
                    *until = cx.now.after(STATE_REQUEST_TIMEOUT * 2);
                    cx.push(Effect::ExtendStateWait);
                }
            }
            PeerMessage::State(part) => self.on_state_part(cx, part),
            _ => {}
        }
    }

    /// Applies a part of the state, and extends the timeout for the next one.
    fn on_state_part(&mut self, cx: &mut Cx<'_>, part: &StatePart) {
        if let Some(Stage::AwaitingState { until }) = &mut self.stage {
            *until = cx.now.after(STATE_REQUEST_TIMEOUT);
        }
        cx.push(Effect::ApplyStatePart(part.clone()));
    }

    /// Sends the state to all members that wait for it, once this process is in sync.
    pub(super) fn send_pending_state(&mut self, cx: &mut Cx<'_>, sync: &StoreSync) {
        if !sync.is_synced() || self.pending_requesters.is_empty() {
            return;
        }
        let pending_requesters = std::mem::take(&mut self.pending_requesters);
        self.state_sent_at.retain(|_, at| !at.after(STATE_RESEND_INTERVAL).is_due(cx.now));
        self.state_sent_at.extend(pending_requesters.iter().map(|host| (host.clone(), cx.now)));
        send_state(cx, sync, pending_requesters);
    }

    /// Reports whether the state was sent so recently that it is probably still in transit.
    fn was_sent_recently(&self, now: Time, host: &HostId) -> bool {
        self.state_sent_at.get(host).is_some_and(|at| !at.after(STATE_RESEND_INTERVAL).is_due(now))
    }
}

fn send_state(cx: &mut Cx<'_>, sync: &StoreSync, to: Vec<HostId>) {
    let all_entries = cx.cache.changes_after(StoreRevision(0));
    let records = all_entries.filter(|entry| entry.record.is_some()).cloned().collect();
    let series = cx.rng.random();
    cx.push(Effect::SendState { to, series, upto: sync.frontier(), records });
}
