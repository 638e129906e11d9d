//! The callers' requests and what became of them.

use std::time::Duration;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::effect::{Refusal, RefusalOutcome};
use skylarkshore_core::event::{Arrival, Repeat, RequestPolicy, Target};
use skylarkshore_core::id::{CallerId, Digest, RequestId};
use skylarkshore_core::time::Time;

use super::agenda::Sender;
use super::violation::Violation;

/// A request that a caller makes.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Who asks.
    pub caller: CallerId,
    /// What it is for.
    pub target: Target,
    /// Whether it may run a second time.
    pub repeat: Repeat,
    /// What tells it from others.
    pub digest: Digest,
    /// The prompt's beginning.
    pub prefix: Option<Digest>,
    /// How long the caller waits.
    pub timeout: Duration,
    /// How long it runs.
    pub run_time: Duration,
    /// Whether it crashes the upstream that runs it.
    pub crashes: bool,
}

/// Names a request over all hosts and lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// The host that it was sent to.
    pub host: usize,
    /// The life of its process.
    pub life: u64,
    /// Its number there.
    pub request: RequestId,
}

/// A request's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// The whole answer.
    Answered,
    /// A refusal.
    Refused(Refusal),
    /// An answer that was broken off.
    Aborted(Refusal),
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// What was asked.
    pub ask: Ask,
    /// When it arrived.
    pub arrived: Time,
    /// By when it had to be answered.
    pub deadline: Time,
    /// How often an upstream began to run it.
    pub runs: u32,
    /// When its answer began.
    pub started: Option<Time>,
    /// When its final answer came, and what it was.
    pub ended: Option<Ended>,
    /// Whether its host's process ended, or the caller went away.
    pub abandoned: bool,
}

/// A final answer with its time.
#[derive(Clone, Debug)]
pub struct Ended {
    /// When.
    pub at: Time,
    /// What.
    pub with: Final,
}

impl RequestLog {
    /// Tells whether it was answered.
    pub fn is_answered(&self) -> bool {
        self.ended.as_ref().is_some_and(|ended| ended.with == Final::Answered)
    }

    /// Returns the refusal, if it was refused.
    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.ended.as_ref()?.with {
            Final::Answered => None,
            Final::Refused(refusal) | Final::Aborted(refusal) => Some(refusal),
        }
    }

    fn was_refused_as_not_run(&self) -> bool {
        self.refusal().is_some_and(|refusal| refusal.outcome == RefusalOutcome::NotRun)
    }
}

/// The callers' requests.
#[derive(Debug, Default)]
pub struct Callers {
    /// Every request so far.
    pub requests: OrderedMap<RequestKey, RequestLog>,
    /// How often each request that may not be repeated was run, by its key.
    pub runs_by_key: OrderedMap<Digest, u32>,
    pub(crate) violations: Vec<Violation>,
}

impl Callers {
    pub(crate) fn arrive(&mut self, key: RequestKey, ask: &Ask, now: Time) -> (RequestKey, Arrival) {
        let deadline = now.after(ask.timeout);
        let arrival = Arrival {
            caller: ask.caller.clone(),
            target: ask.target.clone(),
            repeat: ask.repeat.clone(),
            digest: ask.digest,
            prefix: ask.prefix,
            deadline,
            policy: RequestPolicy::plain(deadline, matches!(ask.target, Target::Model(_))),
            charge: None,
        };
        let log = RequestLog {
            ask: ask.clone(),
            arrived: now,
            deadline,
            runs: 0,
            started: None,
            ended: None,
            abandoned: false,
        };
        self.requests.insert(key, log);
        (key, arrival)
    }

    pub(crate) fn gone(&mut self, key: &RequestKey, _now: Time) {
        if let Some(log) = self.requests.get_mut(key) {
            log.abandoned = true;
        }
    }

    pub(crate) fn lose_host(&mut self, key: &RequestKey, now: Time) {
        self.gone(key, now);
    }

    pub(crate) fn lose_life(&mut self, sender: Sender, _now: Time) {
        for (key, log) in &mut self.requests {
            if key.host == sender.host && key.life == sender.life && log.ended.is_none() {
                log.abandoned = true;
            }
        }
    }

    /// Notes that an upstream begins to run a request.
    pub(crate) fn run(&mut self, key: &RequestKey, now: Time) {
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

    pub(crate) fn answer_started(&mut self, key: &RequestKey, now: Time) {
        if let Some(log) = self.requests.get_mut(key) {
            log.started.get_or_insert(now);
        }
    }

    pub(crate) fn end(&mut self, key: &RequestKey, with: Final, now: Time) {
        let Some(log) = self.requests.get_mut(key) else { return };
        if let Some(ended) = &log.ended {
            let text = format!("{key:?} gets a second final answer {with:?} after {:?}", ended.with);
            self.violations.push(Violation::new(now, text));
            return;
        }
        log.ended = Some(Ended { at: now, with });
        if log.was_refused_as_not_run() && log.runs > 0 {
            self.violations.push(Violation::new(now, format!("{key:?} was run but refused as not run")));
        }
    }

    /// Checks a kept answer, which must be the request's own.
    pub(crate) fn end_with_kept(&mut self, key: &RequestKey, body: &[u8], now: Time) {
        if self.requests.get(key).is_some_and(|log| log.ask.digest.0 != *body) {
            self.violations.push(Violation::new(now, format!("{key:?} gets another request's answer")));
        }
        self.end(key, Final::Answered, now);
    }
}
