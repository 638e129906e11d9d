//! Requests of simulated callers and their results. Start with [`Callers`].

use std::time::Duration;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::effect::{Refusal, RefusalOutcome};
use skylarkshore_core::event::{Arrival, Repeat, RequestPolicy, StreamPart, Target};
use skylarkshore_core::id::{CallerId, Digest, RequestId};
use skylarkshore_core::time::Time;

use super::schedule::{Sender, SentRequest};
use super::violation::Violation;

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length or its last chunk.
    Framed,
    /// With its connection.
    Unframed,
}

/// A request to be sent by a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The caller.
    pub caller: CallerId,
    /// The model or service requested.
    pub target: Target,
    /// Whether the request may be run more than once.
    pub repeat: Repeat,
    /// Digest of the request, which its answer repeats.
    pub digest: Digest,
    /// Digests of the prompt's parts that other requests share.
    pub parts: Vec<Digest>,
    /// Digest of the prompt's prefix.
    pub prefix: Option<Digest>,
    /// Time from arrival to the deadline.
    pub timeout: Duration,
    /// Time that an upstream takes to run it.
    pub run_time: Duration,
    /// Whether the request crashes the upstream that runs it.
    pub crashes: bool,
    /// Whether the replica that runs it goes silent, and ends as soon as the request is cancelled.
    pub silences: bool,
    /// How its answer ends.
    pub framing: Framing,
    /// Whether its caller was refused before and comes again.
    pub is_repeat: bool,
    /// The part of a stream that it asks for, if its answer may be resumed.
    pub stream: Option<StreamPart>,
}

/// Identifies a request across all hosts and process incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// Index of the host that received it.
    pub host: usize,
    /// Incarnation of the host's process.
    pub life: u64,
    /// Request number on that host.
    pub request: RequestId,
}

impl RequestKey {
    pub(crate) const fn of(sent: &SentRequest) -> Self {
        Self { host: sent.from.host, life: sent.from.life, request: sent.request }
    }
}

/// A request's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A complete answer.
    Answered,
    /// A refusal.
    Refused(Refusal),
    /// An answer aborted after it had started.
    Aborted(Refusal),
}

/// The history of a request.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// The request.
    pub ask: Ask,
    /// Arrival time.
    pub arrived: Time,
    /// Whether the host that received it was in touch.
    pub is_in_touch: bool,
    /// Time by which the final answer is due.
    pub deadline: Time,
    /// Number of runs started by upstreams.
    pub runs: u32,
    /// Time at which the answer started.
    pub started: Option<Time>,
    /// The final answer and its time.
    pub ended: Option<TimedAnswer>,
    /// Whether the host's process ended or the caller disconnected.
    pub abandoned: bool,
}

/// A final answer with its time.
#[derive(Clone, Debug)]
pub struct TimedAnswer {
    /// Time of the final answer.
    pub at: Time,
    /// The final answer.
    pub with: FinalAnswer,
}

impl RequestLog {
    /// Reports whether the request got a complete answer.
    pub fn is_answered(&self) -> bool {
        self.ended.as_ref().is_some_and(|ended| ended.with == FinalAnswer::Answered)
    }

    /// Returns the refusal if the request was refused or its answer aborted.
    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.ended.as_ref()?.with {
            FinalAnswer::Answered => None,
            FinalAnswer::Refused(refusal) | FinalAnswer::Aborted(refusal) => Some(refusal),
        }
    }

    fn was_refused_as_not_run(&self) -> bool {
        self.refusal().is_some_and(|refusal| refusal.outcome == RefusalOutcome::NotRun)
    }
}

/// All requests with their results.
#[derive(Debug, Default)]
pub struct Callers {
    /// Every request sent so far.
    pub requests: OrderedMap<RequestKey, RequestLog>,
    /// Number of runs for each idempotency key.
    pub runs_by_key: OrderedMap<Digest, u32>,
    pub(crate) violations: Vec<Violation>,
}

impl Callers {
    pub(crate) fn record_arrival(
        &mut self,
        key: RequestKey,
        ask: &Ask,
        now: Time,
        is_in_touch: bool,
    ) -> (RequestKey, Arrival) {
        let deadline = now.after(ask.timeout);
        let is_resumable = ask.stream.is_some() || matches!(ask.target, Target::Model(_));
        let arrival = Arrival {
            caller: ask.caller.clone(),
            target: ask.target.clone(),
            repeat: ask.repeat.clone(),
            digest: ask.digest,
            parts: ask.parts.clone(),
            prefix: ask.prefix,
            deadline,
            policy: RequestPolicy::plain(deadline, is_resumable),
            charge: None,
            stream: ask.stream,
        };
        let log = RequestLog {
            ask: ask.clone(),
            arrived: now,
            is_in_touch,
            deadline,
            runs: 0,
            started: None,
            ended: None,
            abandoned: false,
        };
        self.requests.insert(key, log);
        (key, arrival)
    }

    pub(crate) fn mark_abandoned(&mut self, key: &RequestKey, _now: Time) {
        if let Some(log) = self.requests.get_mut(key) {
            log.abandoned = true;
        }
    }

    pub(crate) fn abandon_unreachable(&mut self, key: &RequestKey, now: Time) {
        self.mark_abandoned(key, now);
    }

    pub(crate) fn abandon_from(&mut self, sender: Sender, _now: Time) {
        for (key, log) in &mut self.requests {
            if key.host == sender.host && key.life == sender.life && log.ended.is_none() {
                log.abandoned = true;
            }
        }
    }

    /// Records that an upstream starts to run a request.
    pub(crate) fn record_run(&mut self, key: &RequestKey, now: Time) {
        let Some(log) = self.requests.get_mut(key) else { return };
        log.runs += 1;
        if log.was_refused_as_not_run() {
            self.violations
                .push(Violation::new(now, format!("{key:?} runs after it was refused as not run")));
        }
        if let Repeat::Once { key: once } = log.ask.repeat {
            let runs = self.runs_by_key.entry(once).or_default();
            *runs += 1;
            if *runs > 1 {
                self.violations
                    .push(Violation::new(now, format!("{key:?} runs a second time under its key")));
            }
        }
    }

    pub(crate) fn record_answer_start(&mut self, key: &RequestKey, now: Time) {
        if let Some(log) = self.requests.get_mut(key) {
            log.started.get_or_insert(now);
        }
    }

    pub(crate) fn is_refused(&self, key: &RequestKey) -> bool {
        let ended = self.requests.get(key).and_then(|log| log.ended.as_ref());
        ended.is_some_and(|ended| ended.with != FinalAnswer::Answered)
    }

    pub(crate) fn record_end(&mut self, key: &RequestKey, with: FinalAnswer, now: Time) {
        let Some(log) = self.requests.get_mut(key) else { return };
        if let Some(ended) = &log.ended {
            let text = format!("{key:?} gets a second final answer {with:?} after {:?}", ended.with);
            self.violations.push(Violation::new(now, text));
            return;
        }
        log.ended = Some(TimedAnswer { at: now, with });
        if log.was_refused_as_not_run() && log.runs > 0 {
            self.violations.push(Violation::new(now, format!("{key:?} was run but refused as not run")));
        }
    }

    /// Records a stored answer, which must belong to this request.
    pub(crate) fn record_stored_answer(&mut self, key: &RequestKey, body: &[u8], now: Time) {
        if self.requests.get(key).is_some_and(|log| log.ask.digest.0 != *body) {
            self.violations.push(Violation::new(now, format!("{key:?} gets another request's answer")));
        }
        self.record_end(key, FinalAnswer::Answered, now);
    }
}
