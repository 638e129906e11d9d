//! Writes whose answer may be lost.

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

/// A write that a part of the process wants done.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// The key.
    pub key: Key,
    /// What has to stand there.
    pub expect: Expect,
    /// The new value, or none to delete it.
    pub record: Option<Record>,
    /// The lease with which the key vanishes.
    pub lease: Option<LeaseId>,
    /// When to give up.
    pub deadline: Time,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect, and this now stands there.
    Done(Versioned),
    /// It did nothing; this stands there.
    Conflict(Versioned),
    /// It was given up before it could have had an effect.
    NotDone,
    /// It was given up, and may have had its effect or may yet have it.
    Unknown,
}

#[derive(Debug)]
enum Step {
    Writing,
    ReadingBack,
    Resting { until: Time },
}

#[derive(Debug)]
struct Pending {
    req: WriteRequest,
    writer: Writer,
    step: Step,
    /// Whether a call may have reached the service without its answer being known.
    doubtful: bool,
    failures: u32,
}

const FIRST_REST: Duration = Duration::from_millis(50);
const LONGEST_REST: Duration = Duration::from_secs(2);

/// The writes in progress, one at a time for each key.
#[derive(Debug, Default)]
pub struct WriteQueue {
    pending: OrderedMap<Key, Pending>,
    queued: VecDeque<WriteRequest>,
    calls: HashMap<CallId, Key>,
}

impl WriteQueue {
    /// Begins a write, or queues it behind one of the same key.
    ///
    /// The outcome comes from [`on_result`](Self::on_result) or [`on_tick`](Self::on_tick).
    pub fn begin(&mut self, cx: &mut Cx<'_>, req: WriteRequest) {
        if self.pending.contains_key(&req.key) {
            self.queued.push_back(req);
            return;
        }
        let call = cx.next_call();
        let writer = Writer { host: cx.cfg.host.clone(), incarnation: cx.cfg.incarnation, call };
        let key = req.key.clone();
        let pending = Pending { req, writer, step: Step::Writing, doubtful: false, failures: 0 };
        cx.push(Effect::Store { call, request: pending.write() });
        self.calls.insert(call, key.clone());
        self.pending.insert(key, pending);
    }

    fn begin_queued(&mut self, cx: &mut Cx<'_>) {
        for req in std::mem::take(&mut self.queued) {
            self.begin(cx, req);
        }
    }

    /// Takes the result of a call; returns the write's key and outcome if that ended it.
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

    /// Repeats what has rested and gives up what is due.
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
            .filter_map(|key| self.pending.remove(&key).map(|p| (key, p.given_up())))
            .collect();
        self.calls.retain(|_, key| self.pending.contains_key(key));
        for (key, pending) in &mut self.pending {
            if matches!(pending.step, Step::Resting { until } if until.is_due(now)) {
                pending.step = if pending.doubtful { Step::ReadingBack } else { Step::Writing };
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
            Step::Writing | Step::Resting { .. } => self.write(),
        };
        cx.push(Effect::Store { call, request });
        call
    }

    fn on_result(&mut self, now: Time, result: &StoreResult) -> Option<WriteOutcome> {
        match result {
            Ok(StoreAnswer::Written(revision)) => Some(WriteOutcome::Done(self.written(*revision))),
            Ok(StoreAnswer::Conflict(found) | StoreAnswer::One(found)) => self.on_found(found),
            Ok(_) => {
                self.rest(now);
                None
            }
            Err(failure) => {
                // A write whose answer is lost may have taken effect. Writing again
                // would meet our own value and look like a conflict, and the owner
                // would give up what it holds; so the key is read back first.
                self.doubtful |= *failure == StoreFailure::Unknown && matches!(self.step, Step::Writing);
                self.rest(now);
                None
            }
        }
    }

    fn on_found(&mut self, found: &Versioned) -> Option<WriteOutcome> {
        if found.writer.as_ref() == Some(&self.writer) {
            return Some(WriteOutcome::Done(found.clone()));
        }
        let unchanged = match self.req.expect {
            Expect::Absent => found.record.is_none(),
            Expect::At(revision) => found.record.is_some() && found.revision == revision,
        };
        if unchanged {
            // The lost write may still be on its way. Sending the same one again is
            // safe: both expect the same state, so only one of them takes effect.
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

    fn rest(&mut self, now: Time) {
        let rest = FIRST_REST.saturating_mul(1 << self.failures.min(8)).min(LONGEST_REST);
        self.failures += 1;
        self.step = Step::Resting { until: now.after(rest) };
    }

    fn given_up(&self) -> WriteOutcome {
        let idle = matches!(self.step, Step::Resting { .. });
        if idle && !self.doubtful { WriteOutcome::NotDone } else { WriteOutcome::Unknown }
    }
}
