//! How a process that starts learns all that the key-value service holds.
//!
//! Where all processes start together, the service would send everything to each
//! of them, and its link would be busy with that for longer than callers wait.
//! In a large fleet a process reads only who the members are, and asks one of
//! them for the rest; where nobody answers it reads for itself.

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

/// How long a process waits before it reads the members again, so that others that start with it are registered.
const REGISTRATION_WAIT: Duration = Duration::from_millis(700);
/// How often at most the members are read because an unknown process has connected.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(1);
/// How many times the time-out of a call the members are waited for, which come in several.
const MEMBERS_READ_TIMEOUT_FACTOR: u32 = 8;
/// How many times the parent is asked before anybody else is.
const MAX_PARENT_REQUESTS: u32 = 3;
/// After how long without an answer another member is asked.
const STATE_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// After how long a member is told everything again that asks for it again.
const STATE_RESEND_INTERVAL: Duration = Duration::from_secs(4);
/// How many members are asked, and how often it is waited for one of them to know more itself.
const MAX_STATE_REQUESTS: u32 = 6;

#[derive(Clone, Debug)]
enum Stage {
    /// The members are being read; their keys may be those of former processes.
    ReadingMembers { call: CallId },
    /// They are to be read again.
    AwaitingRegistrations { until: Time },
    /// They are being read again.
    RereadingMembers { call: CallId, timeout_at: Time },
    /// Somebody is to be asked.
    AwaitingState { until: Time },
}

/// How far this process has come with learning everything, and who waits for it.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    stage: Option<Stage>,
    state_requests: u32,
    next_members_read: Time,
    /// Members that asked before this process knew everything itself.
    pending_requesters: Vec<HostId>,
    /// When members were told everything.
    state_sent_at: OrderedMap<HostId, Time>,
}

impl Bootstrap {
    /// Begins to learn everything.
    pub(super) fn start(&mut self, cx: &mut Cx<'_>, store_sync: &mut StoreSync) {
        if cx.cfg.watchers != Watchers::Relayed {
            return store_sync.read(cx);
        }
        let call = cx.next_call();
        self.stage = Some(Stage::ReadingMembers { call });
        cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
    }

    /// Takes the result of a call if it is one of this part.
    pub(super) fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        store_sync: &mut StoreSync,
        call: CallId,
        result: &StoreResult,
    ) {
        match self.stage.clone() {
            Some(Stage::ReadingMembers { call: own }) if own == call => {
                let is_known = matches!(result, Ok(StoreAnswer::Members(_)));
                if !is_known || !has_many_members(cx) {
                    self.stage = None;
                    return store_sync.read(cx);
                }
                self.stage =
                    Some(Stage::AwaitingRegistrations { until: cx.now.after(cx.jitter(REGISTRATION_WAIT)) });
            }
            Some(Stage::RereadingMembers { call: own, .. }) if own == call => self.on_members(cx, store_sync),
            _ => {}
        }
    }

    /// Begins to ask, unless it is this process that reads for the others.
    fn on_members(&mut self, cx: &mut Cx<'_>, store_sync: &mut StoreSync) {
        if RelayTree::of(cx).is_root {
            self.stage = None;
            return store_sync.read(cx);
        }
        store_sync.await_peer_state(cx);
        self.request_state(cx, store_sync);
    }

    /// Reads who the members are, since a process has connected that isn't known as one.
    pub(super) fn on_unknown_peer(&mut self, cx: &mut Cx<'_>) {
        if cx.cfg.watchers == Watchers::Relayed && self.next_members_read.is_due(cx.now) {
            self.next_members_read = cx.now.after(MEMBERS_READ_INTERVAL);
            let call = cx.next_call();
            cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
        }
    }

    /// Asks the next member when that is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, store_sync: &mut StoreSync) {
        if store_sync.is_synced() || !store_sync.is_store_reachable() {
            self.stage = None;
            return;
        }
        match &self.stage {
            Some(Stage::AwaitingRegistrations { until }) if until.is_due(cx.now) => self.reread_members(cx),
            Some(Stage::RereadingMembers { timeout_at, .. }) if timeout_at.is_due(cx.now) => {
                self.on_members(cx, store_sync)
            }
            Some(Stage::AwaitingState { until }) if until.is_due(cx.now) => {
                self.request_state(cx, store_sync)
            }
            _ => {}
        }
    }

    fn reread_members(&mut self, cx: &mut Cx<'_>) {
        let call = cx.next_call();
        let timeout_at = cx.now.after(cx.cfg.timings.store_timeout * MEMBERS_READ_TIMEOUT_FACTOR);
        self.stage = Some(Stage::RereadingMembers { call, timeout_at });
        cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
    }

    /// Asks a member, or reads everything where enough have been asked.
    fn request_state(&mut self, cx: &mut Cx<'_>, store_sync: &mut StoreSync) {
        let host = self.next_provider(cx).filter(|_| self.state_requests < MAX_STATE_REQUESTS);
        let Some(host) = host else {
            self.stage = None;
            return store_sync.read(cx);
        };
        self.state_requests += 1;
        cx.push(Effect::AwaitState);
        cx.tell(&host, PeerMessage::StateWanted);
        self.stage = Some(Stage::AwaitingState { until: cx.now.after(STATE_REQUEST_TIMEOUT) });
    }

    /// Returns whom to ask: the parent, which may have to learn of this process first, then anybody near.
    fn next_provider(&self, cx: &mut Cx<'_>) -> Option<HostId> {
        if self.state_requests < MAX_PARENT_REQUESTS
            && let Some(parent) = RelayTree::of(cx).parent
        {
            return Some(parent);
        }
        let local_peers: Vec<HostId> = data_centre_peers(cx).collect();
        (!local_peers.is_empty()).then(|| local_peers[cx.rng.random_range(0..local_peers.len())].clone())
    }

    /// Takes a peer's message, where it concerns this part.
    pub(super) fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        store_sync: &StoreSync,
        from: &HostId,
        message: &PeerMessage,
    ) {
        match message {
            PeerMessage::StateWanted => {
                if !self.pending_requesters.contains(from) && !self.was_sent_recently(cx.now, from) {
                    self.pending_requesters.push(from.clone());
                }
                cx.tell(from, PeerMessage::StateComing);
                self.send_pending_state(cx, store_sync);
            }
            PeerMessage::StateComing => {
                if let Some(Stage::AwaitingState { until }) = &mut self.stage {
                    *until = cx.now.after(STATE_REQUEST_TIMEOUT * 2);
                    cx.push(Effect::AwaitState);
                }
            }
            PeerMessage::State(part) => self.on_state_part(cx, part),
            _ => {}
        }
    }

    /// Takes a part of the state, and gives the next ones time to come.
    fn on_state_part(&mut self, cx: &mut Cx<'_>, part: &StatePart) {
        if let Some(Stage::AwaitingState { until }) = &mut self.stage {
            *until = cx.now.after(STATE_REQUEST_TIMEOUT);
        }
        cx.push(Effect::TakeState(part.clone()));
    }

    /// Tells those who have waited, now that everything is known.
    pub(super) fn send_pending_state(&mut self, cx: &mut Cx<'_>, store_sync: &StoreSync) {
        if !store_sync.is_synced() || self.pending_requesters.is_empty() {
            return;
        }
        let pending_requesters = std::mem::take(&mut self.pending_requesters);
        self.state_sent_at.retain(|_, at| !at.after(STATE_RESEND_INTERVAL).is_due(cx.now));
        self.state_sent_at.extend(pending_requesters.iter().map(|host| (host.clone(), cx.now)));
        send_state(cx, store_sync, pending_requesters);
    }

    /// Tells whether everything is probably on its way to a process that asks for it again.
    fn was_sent_recently(&self, now: Time, host: &HostId) -> bool {
        self.state_sent_at.get(host).is_some_and(|at| !at.after(STATE_RESEND_INTERVAL).is_due(now))
    }
}

fn send_state(cx: &mut Cx<'_>, store_sync: &StoreSync, to: Vec<HostId>) {
    let all_entries = cx.cache.changes_after(StoreRevision(0));
    let records = all_entries.filter(|entry| entry.record.is_some()).cloned().collect();
    let series = cx.rng.random();
    cx.push(Effect::TellState { to, series, upto: store_sync.frontier(), records });
}
