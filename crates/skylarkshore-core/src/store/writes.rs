//! Writes to the key-value service that are retried until their outcome is known; see [`WriteQueue`].

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::{HashMap, OrderedMap};
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, LeaseId, StoreRevision};
use crate::store::{
    Expect, Key, Record, StoreAnswer, StoreCall, StoreFailure, StoreResult, Versioned, Writer,
};
use crate::time::Time;

/// A write that a component of the process requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// The key.
    pub key: Key,
    /// The precondition.
    pub expect: Expect,
    /// The new value; none deletes the key.
    pub record: Option<Record>,
    /// The lease that the key is attached to.
    pub lease: Option<LeaseId>,
    /// When the write is abandoned.
    pub deadline: Time,
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect; this is the key's state now.
    Done(Versioned),
    /// Its precondition didn't hold; this was found.
    Conflict(Versioned),
    /// It was abandoned before it could have taken effect.
    NotDone,
    /// It was abandoned, and may have taken effect or may still do so.
    Unknown,
}

#[derive(Debug)]
enum Step {
    Writing,
    ReadingBack,
    BackingOff { until: Time },
}

#[derive(Debug)]
struct Pending {
    req: WriteRequest,
    writer: Writer,
    step: Step,
    /// Whether a write may have reached the service without its answer being known.
    may_have_taken_effect: bool,
    failures: u32,
}

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The writes in progress, at most one for each key, and those queued behind them.
#[derive(Debug, Default)]
pub struct WriteQueue {
    pending: OrderedMap<Key, Pending>,
    queued: VecDeque<WriteRequest>,
    calls: HashMap<CallId, Key>,
}

impl WriteQueue {
    /// Starts a write, or queues it behind one of the same key.
    ///
    /// The outcome is returned by [`on_result`](Self::on_result) or [`on_tick`](Self::on_tick).
    pub fn begin(&mut self, cx: &mut Cx<'_>, req: WriteRequest) {
        if self.pending.contains_key(&req.key) {
            self.queued.push_back(req);
            return;
        }
        let call = cx.next_call();
        let writer = Writer { host: cx.cfg.host.clone(), incarnation: cx.cfg.incarnation, call };
        let key = req.key.clone();
        let pending = Pending { req, writer, step: Step::Writing, may_have_taken_effect: false, failures: 0 };
        cx.push(Effect::Store { call, request: pending.write() });
        self.calls.insert(call, key.clone());
        self.pending.insert(key, pending);
    }

    fn begin_queued(&mut self, cx: &mut Cx<'_>) {
        for req in std::mem::take(&mut self.queued) {
            self.begin(cx, req);
        }
    }

    /// Handles the result of a call; returns the write's key and outcome if that ended it.
    pub fn on_result(
        &mut self,
        cx: &mut Cx<'_>,
        call: CallId,
        result: &StoreResult,
    ) -> Option<(Key, WriteOutcome)> {
        let key = self.calls.remove(&call)?;
        let pending = self.pending.get_mut(&key)?;
        let outcome = pending.on_result(cx.now, result);
        if let Some(outcome) = outcome {
            self.pending.remove(&key);
            self.begin_queued(cx);
            return Some((key, outcome));
        }
        if matches!(pending.step, Step::Writing | Step::ReadingBack) {
            let call = pending.send(cx);
            self.calls.insert(call, key);
        }
        None
    }

    /// Abandons the writes of shared keys, which another process decides by now.
    pub fn discard_shared(&mut self) {
        self.pending.retain(|key, _| matches!(key, Key::Once(_)));
        self.queued.retain(|req| matches!(req.key, Key::Once(_)));
        self.calls.retain(|_, key| self.pending.contains_key(key));
    }

    /// Retries writes whose backoff has elapsed, and abandons those past their deadline.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<(Key, WriteOutcome)> {
        let now = cx.now;
        let due: Vec<Key> = self
            .pending
            .iter()
            .filter(|(_, p)| p.req.deadline.is_due(now))
            .map(|(key, _)| key.clone())
            .collect();
        let ended = due
            .into_iter()
            .filter_map(|key| self.pending.remove(&key).map(|p| (key, p.outcome_when_abandoned())))
            .collect();
        self.calls.retain(|_, key| self.pending.contains_key(key));
        for (key, pending) in &mut self.pending {
            if matches!(pending.step, Step::BackingOff { until } if until.is_due(now)) {
                pending.step = if pending.may_have_taken_effect { Step::ReadingBack } else { Step::Writing };
                let call = pending.send(cx);
                self.calls.insert(call, key.clone());
            }
        }
        self.begin_queued(cx);
        ended
    }
}

impl Pending {
    fn write(&self) -> StoreCall {
        StoreCall::Write {
            key: self.req.key.clone(),
            expect: self.req.expect,
            record: self.req.record.clone(),
            writer: self.writer.clone(),
            lease: self.req.lease,
        }
    }

    fn send(&self, cx: &mut Cx<'_>) -> CallId {
        let call = cx.next_call();
        let request = match self.step {
            Step::ReadingBack => StoreCall::Read(self.req.key.clone()),
            Step::Writing | Step::BackingOff { .. } => self.write(),
        };
        cx.push(Effect::Store { call, request });
        call
    }

    fn on_result(&mut self, now: Time, result: &StoreResult) -> Option<WriteOutcome> {
        match result {
            Ok(StoreAnswer::Written(revision)) => Some(WriteOutcome::Done(self.written(*revision))),
            Ok(StoreAnswer::Conflict(found) | StoreAnswer::One(found)) => self.on_read_back(found),
            Ok(_) => {
                self.back_off(now);
                None
            }
            Err(failure) => {
                // A write whose answer was lost may have taken effect. Writing again
                // would find this process's own value and look like a conflict, and the
                // owner of an engine would give it up. The key is therefore read back first.
                self.may_have_taken_effect |=
                    *failure == StoreFailure::Unknown && matches!(self.step, Step::Writing);
                self.back_off(now);
                None
            }
        }
    }

    fn on_read_back(&mut self, found: &Versioned) -> Option<WriteOutcome> {
        if found.writer.as_ref() == Some(&self.writer) {
            return Some(WriteOutcome::Done(found.clone()));
        }
        let unchanged = match self.req.expect {
            Expect::Absent => found.record.is_none(),
            Expect::At(revision) => found.record.is_some() && found.revision == revision,
        };
        if unchanged {
            // The lost write may still be in flight. Sending it again is safe: both have
            // the same precondition, so only one of them takes effect.
            self.step = Step::Writing;
            return None;
        }
        if self.req.record.is_none() && found.record.is_none() {
            return Some(WriteOutcome::Done(found.clone()));
        }
        Some(WriteOutcome::Conflict(found.clone()))
    }

    fn written(&self, revision: StoreRevision) -> Versioned {
        Versioned {
            key: self.req.key.clone(),
            revision,
            writer: self.req.record.is_some().then(|| self.writer.clone()),
            record: self.req.record.clone(),
        }
    }

    fn back_off(&mut self, now: Time) {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures += 1;
        self.step = Step::BackingOff { until: now.after(backoff) };
    }

    fn outcome_when_abandoned(&self) -> WriteOutcome {
        let no_call_in_flight = matches!(self.step, Step::BackingOff { .. });
        if no_call_in_flight && !self.may_have_taken_effect {
            WriteOutcome::NotDone
        } else {
            WriteOutcome::Unknown
        }
    }
}
