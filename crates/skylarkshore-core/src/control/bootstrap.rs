//! Initial synchronisation of a process with the shared keys.
//!
//! If all processes of a large cluster start together and read everything, or even all members, the
//! key-value service's link is busy for longer than callers wait, and every read times out. What a
//! process reads before it knows how many others there are is therefore a single key, the
//! [`RelayRootRecord`] of its data centre:
//!
//! - It names a small cluster: the process reads the shared keys itself.
//! - There is none: the process claims it, waits until others are registered, and reads for them.
//! - Otherwise it waits for a heartbeat of a process that knows the shared keys and requests them
//!   there. If the record stays the same for too long meanwhile, it claims it.
//!
//! So at most one process of a data centre begins to read in [`ROOT_TIMEOUT`], and no wait is without
//! an end. Start reading at [`Bootstrap`].

use std::time::Duration;

use super::backoff::Backoff;
use super::peers::Peers;
use super::relay_root::MAX_READING_MEMBERS;
use super::store_sync::StoreSync;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, HostId, StoreRevision};
use crate::peer::PeerMessage;
use crate::store::{
    Expect, Key, Record, RelayRootRecord, StoreAnswer, StoreCall, StoreResult, Versioned, WriteOutcome,
    WriteRequest,
};
use crate::time::Time;

/// Delay before a claimed root reads, so that processes that start at the same time are registered.
const REGISTRATION_WAIT: Duration = Duration::from_millis(700);
/// Interval between two reads of the root's record.
const ROOT_READ_INTERVAL: Duration = Duration::from_secs(1);
/// How long a root may take before another process claims its record.
const ROOT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long offers are taken up, from the first, before the root's record is read again.
const OFFERS_TIMEOUT: Duration = ROOT_TIMEOUT;
/// Deadline of the write of the root's record.
const CLAIM_DEADLINE: Duration = Duration::from_secs(2);
/// How long a member that was asked may take to announce the state.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a part of the announced state after which another member is asked.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Stage {
    /// Reading the root's record.
    ReadingRoot { call: CallId, deadline: Time },
    /// Writing the root's record.
    Claiming,
    /// Waiting until other starting processes are registered, as the root.
    AwaitingRegistrations { until: Time },
    /// Reading the shared keys, as the root.
    ReadingAll,
    /// Reading the shared keys, as every process of a small cluster does.
    ReadingAlone,
    /// Waiting for the heartbeat of a member that knows the shared keys.
    AwaitingOffer { next_root_read: Time },
    /// Waiting for the state from a member.
    AwaitingState { from: HostId, until: Time },
}

impl Stage {
    /// Returns the stage's name for the log.
    const fn name(&self) -> &'static str {
        match self {
            Self::ReadingRoot { .. } => "reading_root",
            Self::Claiming => "claiming_root",
            Self::AwaitingRegistrations { .. } => "awaiting_registrations",
            Self::ReadingAll => "reading_for_others",
            Self::ReadingAlone => "reading_alone",
            Self::AwaitingOffer { .. } => "awaiting_offer",
            Self::AwaitingState { .. } => "awaiting_state",
        }
    }

    /// Returns the stage's number for the metrics; 0 stands for a start that has ended.
    const fn number(&self) -> u8 {
        match self {
            Self::ReadingRoot { .. } => 1,
            Self::Claiming => 2,
            Self::AwaitingRegistrations { .. } => 3,
            Self::ReadingAll => 4,
            Self::ReadingAlone => 5,
            Self::AwaitingOffer { .. } => 6,
            Self::AwaitingState { .. } => 7,
        }
    }
}

/// The root's record as it was first read.
#[derive(Clone, Copy, Debug)]
struct SeenRoot {
    revision: StoreRevision,
    since: Time,
}

/// Progress of the initial synchronisation.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    stage: Option<Stage>,
    stage_since: Time,
    started_at: Time,
    /// When this process knew the shared keys.
    ended_at: Option<Time>,
    seen_root: Option<SeenRoot>,
    /// Until when offers are taken up; none before the first since the root's record was read.
    offers_until: Option<Time>,
    backoff: Backoff,
}

impl Bootstrap {
    /// Starts the initial synchronisation.
    pub(super) fn start(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync) {
        if cx.cfg.watchers != Watchers::Relayed {
            return sync.read(cx);
        }
        self.started_at = cx.now;
        sync.await_peer_state(cx);
        self.read_root(cx);
    }

    /// Returns the name of the current stage; none once this process knows the shared keys.
    pub(super) fn stage_name(&self) -> Option<&'static str> {
        self.stage.as_ref().map(Stage::name)
    }

    /// Returns the number of the current stage; 0 once this process knows the shared keys.
    pub(super) fn stage_number(&self) -> u8 {
        self.stage.as_ref().map_or(0, Stage::number)
    }

    /// Returns when the current stage began, or when the start ended.
    ///
    /// Returns `None` where a process doesn't go through the stages.
    pub(super) fn since(&self) -> Option<Time> {
        if self.stage.is_some() { Some(self.stage_since) } else { self.ended_at }
    }

    /// Returns how long the start has taken so far, or took; `None` where a process doesn't go through
    /// the stages.
    pub(super) fn duration(&self, now: Time) -> Option<Duration> {
        let until = if self.stage.is_some() { Some(now) } else { self.ended_at };
        until.map(|until| until.since(self.started_at))
    }

    /// Handles the result of a store call, which may belong to another part of the process.
    pub(super) fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        sync: &mut StoreSync,
        call: CallId,
        result: &StoreResult,
    ) {
        let Some(Stage::ReadingRoot { call: own, .. }) = self.stage else { return };
        if own != call {
            return;
        }
        match result {
            Ok(StoreAnswer::One(found)) => self.on_root(cx, sync, found),
            _ => self.retry_root(cx, "the service didn't answer"),
        }
    }

    /// Handles the outcome of a write of the root's record.
    pub(super) fn on_write(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync, outcome: &WriteOutcome) {
        if !matches!(self.stage, Some(Stage::Claiming)) {
            return;
        }
        match outcome {
            WriteOutcome::Done(_) => {
                let until = cx.now.after(cx.jitter(REGISTRATION_WAIT));
                self.enter(cx, Stage::AwaitingRegistrations { until }, "this process reads for the others");
            }
            WriteOutcome::Conflict(found) => self.on_root(cx, sync, found),
            WriteOutcome::NotDone | WriteOutcome::Unknown => self.retry_root(cx, "the claim wasn't written"),
        }
    }

    /// Decides by the root's record who reads the shared keys.
    fn on_root(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync, found: &Versioned) {
        let Some(Record::RelayRoot(root)) = &found.record else {
            return self.claim(cx, Expect::Absent, "there is no root");
        };
        if root.members.is_some_and(|members| members <= MAX_READING_MEMBERS) {
            self.enter(cx, Stage::ReadingAlone, "the cluster is small");
            return sync.read(cx);
        }
        if root.host == cx.cfg.host {
            return self.claim(cx, Expect::At(found.revision), "the record names this host");
        }
        let seen = self.seen_root.filter(|seen| seen.revision == found.revision);
        let seen =
            *self.seen_root.insert(seen.unwrap_or(SeenRoot { revision: found.revision, since: cx.now }));
        if seen.since.after(ROOT_TIMEOUT).is_due(cx.now) {
            return self.claim(cx, Expect::At(found.revision), "the root takes too long");
        }
        self.offers_until = None;
        self.backoff.reset();
        self.await_offer(cx, &format!("{} reads for the others", root.host));
    }

    fn claim(&mut self, cx: &mut Cx<'_>, expect: Expect, why: &str) {
        let record =
            RelayRootRecord { host: cx.cfg.host.clone(), incarnation: cx.cfg.incarnation, members: None };
        cx.write(WriteRequest {
            key: root_key(cx),
            expect,
            record: Some(Record::RelayRoot(record)),
            lease: None,
            deadline: cx.now.after(CLAIM_DEADLINE),
        });
        self.enter(cx, Stage::Claiming, why);
    }

    fn read_root(&mut self, cx: &mut Cx<'_>) {
        let call = cx.next_call();
        let deadline = cx.now.after(cx.cfg.timings.store_timeout * 2);
        self.set_stage(cx, Stage::ReadingRoot { call, deadline });
        cx.push(Effect::Store { call, request: StoreCall::Read(root_key(cx)) });
    }

    /// Reads the root's record again after a pause that grows with each failure.
    fn retry_root(&mut self, cx: &mut Cx<'_>, why: &str) {
        self.backoff.record_failure(cx);
        self.offers_until = None;
        self.enter(cx, Stage::AwaitingOffer { next_root_read: self.backoff.retry_at() }, why);
    }

    fn await_offer(&mut self, cx: &mut Cx<'_>, why: &str) {
        let next_root_read = cx.now.after(cx.jitter(ROOT_READ_INTERVAL));
        self.enter(cx, Stage::AwaitingOffer { next_root_read }, why);
    }

    fn enter(&mut self, cx: &mut Cx<'_>, stage: Stage, why: &str) {
        let name = stage.name();
        if self.set_stage(cx, stage) {
            let waited_ms = cx.now.since(self.started_at).as_millis();
            cx.log_event("start_stage", name, format!("{why}; after_ms={waited_ms}"));
        }
    }

    /// Sets the stage; reports whether it differs from the one before by more than its deadline.
    fn set_stage(&mut self, cx: &Cx<'_>, stage: Stage) -> bool {
        let is_new = self.stage_name() != Some(stage.name());
        if is_new {
            self.stage_since = cx.now;
        }
        self.stage = Some(stage);
        is_new
    }

    /// Goes on when a wait has ended.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, sync: &mut StoreSync, peers: &mut Peers) {
        if self.stage.is_none() {
            return;
        }
        if sync.is_synced() {
            return self.finish(cx, sync, peers);
        }
        match &self.stage {
            Some(Stage::ReadingRoot { deadline, .. }) if deadline.is_due(cx.now) => {
                self.retry_root(cx, "the service didn't answer");
            }
            Some(Stage::AwaitingRegistrations { until }) if until.is_due(cx.now) => {
                self.enter(cx, Stage::ReadingAll, "others are registered");
                sync.read(cx);
            }
            // The record may have changed meanwhile: another process has claimed it, or the cluster has grown.
            Some(Stage::ReadingAll | Stage::ReadingAlone) if sync.has_failed_read() => {
                sync.await_peer_state(cx);
                self.retry_root(cx, "the shared keys weren't read");
            }
            Some(Stage::AwaitingOffer { next_root_read })
                if next_root_read.is_due(cx.now) || self.have_offers_failed(cx.now) =>
            {
                self.read_root(cx);
            }
            Some(Stage::AwaitingState { from, until }) if until.is_due(cx.now) => {
                let why = format!("{from} doesn't send the state");
                self.await_offer(cx, &why);
            }
            _ => {}
        }
    }

    fn finish(&mut self, cx: &mut Cx<'_>, sync: &StoreSync, peers: &mut Peers) {
        // The sender may have others waiting.
        if let Some(Stage::AwaitingState { from, .. }) = &self.stage {
            peers.send_heartbeats_to(cx.now, from);
        }
        let stage = self.stage_name().unwrap_or("none");
        self.stage = None;
        self.ended_at = Some(cx.now);
        let after_ms = cx.now.since(self.started_at).as_millis();
        let revision = sync.frontier();
        cx.log_event("start_synchronised", stage, format!("revision={revision} after_ms={after_ms}"));
    }

    /// Handles a peer message.
    pub(super) fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        match message {
            PeerMessage::Heartbeat { store, .. } if *store > StoreRevision(0) => self.on_offer(cx, from),
            PeerMessage::StateComing => self.extend_wait(cx, from),
            PeerMessage::State(part) => {
                self.extend_wait(cx, from);
                cx.push(Effect::ApplyStatePart(part.clone()));
            }
            _ => {}
        }
    }

    /// Requests the state from a member that knows it.
    fn on_offer(&mut self, cx: &mut Cx<'_>, from: &HostId) {
        let is_waiting = matches!(
            self.stage,
            Some(
                Stage::ReadingRoot { .. } | Stage::AwaitingRegistrations { .. } | Stage::AwaitingOffer { .. }
            )
        );
        if !is_waiting || self.have_offers_failed(cx.now) {
            return;
        }
        self.offers_until.get_or_insert(cx.now.after(OFFERS_TIMEOUT));
        cx.send(from, PeerMessage::StateWanted);
        let until = cx.now.after(ANNOUNCEMENT_TIMEOUT);
        self.enter(cx, Stage::AwaitingState { from: from.clone(), until }, &format!("asks {from}"));
    }

    /// Reports whether no offer has brought the state in time.
    ///
    /// Peers may go on to offer a state that they can't send, and each offer ends the wait for the
    /// next read of the root's record.
    fn have_offers_failed(&self, now: Time) -> bool {
        self.offers_until.is_some_and(|until| until.is_due(now))
    }

    /// Extends the time for the next part of the state.
    fn extend_wait(&mut self, cx: &Cx<'_>, from: &HostId) {
        if let Some(Stage::AwaitingState { from: asked, until }) = &mut self.stage
            && asked == from
        {
            *until = cx.now.after(STATE_TIMEOUT);
        }
    }
}

fn root_key(cx: &Cx<'_>) -> Key {
    Key::RelayRoot(cx.cfg.data_centre.clone())
}
