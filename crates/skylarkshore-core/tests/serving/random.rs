//! Random events at two processes, with a key-value service that loses answers.

mod op;

use std::time::Duration;

use proptest::prelude::*;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::effect::{Effect, RefusalOutcome};
use skylarkshore_core::event::{Arrival, AttemptOutcome, Rejection, Repeat, Target};
use skylarkshore_core::id::{AttemptId, CallId, Digest, Fence, RequestId, UpstreamId};
use skylarkshore_core::peer::{CannotLoad, PeerMessage};
use skylarkshore_core::store::{RecordedAnswer, StoreCall, StoreFailure};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::UpstreamStatus;
use skylarkshore_core::view::{Readiness, ViewVersion};

use crate::support::serving::*;

use op::{CallOutcome, ENGINES, HOSTS, Op, RequestKind, UPSTREAMS, op};

const CONCURRENCY: usize = 2;
/// How long after its deadline a request may end: peers are notified and a claim is released
/// first, each within a time-out.
const GRACE: Duration = Duration::from_millis(750);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessLocal<T> {
    at: usize,
    id: T,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    Running,
    /// The upstream did nothing.
    NotRun,
    MayHaveRun,
    Cancelled,
}

#[derive(Debug)]
struct TrackedRequest {
    arrival: Arrival,
    finals: u32,
    gone: bool,
    passed_on: bool,
    started: bool,
}

#[derive(Debug)]
struct TrackedAttempt {
    request: ProcessLocal<RequestId>,
    upstream: UpstreamId,
    run_state: RunState,
}

struct World {
    store: Store,
    processes: Vec<Process>,
    calls: Vec<(ProcessLocal<CallId>, StoreCall)>,
    late: Vec<StoreCall>,
    requests: OrderedMap<ProcessLocal<RequestId>, TrackedRequest>,
    attempts: OrderedMap<ProcessLocal<AttemptId>, TrackedAttempt>,
    /// The key and the request digest that an answer belongs to.
    answers: OrderedMap<Vec<u8>, (Digest, Digest)>,
    leaving: Vec<(usize, UpstreamId)>,
    next: u64,
}

impl World {
    fn new() -> Self {
        Self {
            store: Store::default(),
            processes: HOSTS.iter().map(|host| Process::new(host, 7)).collect(),
            calls: Vec::new(),
            late: Vec::new(),
            requests: OrderedMap::new(),
            attempts: OrderedMap::new(),
            answers: OrderedMap::new(),
            leaving: Vec::new(),
            next: 0,
        }
    }

    fn execute(&mut self, op: Op) {
        match op {
            Op::Arrive { at, kind, body, caller, timeout } => {
                self.arrive(at, &kind, body, caller, timeout);
            }
            Op::Started { at, which } => {
                if let Some(attempt) = self.attempt(at, which) {
                    let request = self.attempts[&attempt].request;
                    let live = self.attempts[&attempt].run_state == RunState::Running;
                    self.requests.get_mut(&request).unwrap().started |= live;
                    self.processes[at].with(|serving, cx| serving.on_answer_started(cx, attempt.id));
                }
            }
            Op::End { at, which, end } => self.end(at, which, end),
            Op::Disconnect { at, which } => {
                let own: Vec<_> = self.requests.keys().filter(|r| r.at == at).copied().collect();
                if let Some(request) = own.get(which % own.len().max(1)) {
                    self.requests.get_mut(request).unwrap().gone = true;
                    self.processes[at].with(|serving, cx| serving.on_caller_gone(cx, request.id));
                }
            }
            Op::Advance { ms } => self.processes.iter_mut().for_each(|p| p.advance(ms)),
            Op::Store { which, outcome } => self.answer_call(which, outcome),
            Op::DeliverLate { which } => {
                if !self.late.is_empty() {
                    let call = self.late.remove(which % self.late.len());
                    self.store.execute(&call);
                }
            }
            Op::View { at, engine, number, state, running } => self.view(at, engine, number, state, running),
            Op::CannotLoad { at, from, model, ms } => {
                let Target::Model(target) = target_of(model) else { return };
                let retry_after = Duration::from_millis(ms);
                let message = PeerMessage::CannotLoad { target, reason: CannotLoad::Memory, retry_after };
                self.processes[at].peer(["a", "b", "c"][from], &message);
            }
            Op::Suspects { at, body, alone } => {
                let requests = vec![digest(body)];
                let message =
                    PeerMessage::Suspects { upstream: name("e9"), incarnation: None, requests, alone };
                self.processes[at].peer("c", &message);
            }
            Op::Noted { at, from } => {
                let requests = (0..4).map(digest).collect();
                self.processes[at].peer(["a", "b", "c"][from], &PeerMessage::SuspectsNoted { requests });
            }
            Op::Cleared { at, body } => {
                self.processes[at].peer("c", &PeerMessage::Cleared { request: digest(body) });
            }
            Op::Leaving { at, upstream } => {
                let upstream: UpstreamId = name(UPSTREAMS[upstream]);
                self.leaving.push((at, upstream.clone()));
                self.processes[at].peer("c", &PeerMessage::UpstreamLeaving { upstream });
            }
            Op::Listed { at, upstream, live } => {
                let p = &mut self.processes[at];
                let status = if live { UpstreamStatus::Live } else { UpstreamStatus::Leaving };
                p.change_listed(UPSTREAMS[upstream], |listed| listed.status = status);
            }
        }
    }

    fn arrive(&mut self, at: usize, kind: &RequestKind, body: u8, caller: usize, timeout: u64) {
        self.next += 1;
        let p = &mut self.processes[at];
        let target = match kind {
            RequestKind::Model(model) => target_of(*model),
            RequestKind::Call | RequestKind::Booking { .. } => service("booking"),
        };
        let mut arrival = arrival(p, target, body);
        if let RequestKind::Booking { key } = kind {
            arrival.repeat = Repeat::Once { key: digest(*key) };
        }
        arrival.caller = name(["orchard", "harvest"][caller]);
        arrival.deadline = p.now.after(Duration::from_millis(timeout));
        let request = ProcessLocal { at, id: RequestId(self.next) };
        let tracked = TrackedRequest {
            arrival: arrival.clone(),
            finals: 0,
            gone: false,
            passed_on: false,
            started: false,
        };
        self.requests.insert(request, tracked);
        p.arrive(self.next, arrival);
    }

    fn attempt(&self, at: usize, which: usize) -> Option<ProcessLocal<AttemptId>> {
        let own: Vec<_> = self.attempts.keys().filter(|a| a.at == at).copied().collect();
        // Mostly the newest attempts, and sometimes an old one, as a late event.
        own.iter().rev().nth(which % 8).or(own.last()).copied()
    }

    fn end(&mut self, at: usize, which: usize, end: usize) {
        let Some(name) = self.attempt(at, which) else { return };
        let tracked_attempt = self.attempts.get_mut(&name).unwrap();
        let live = tracked_attempt.run_state == RunState::Running;
        let tracked = self.requests.get_mut(&tracked_attempt.request).unwrap();
        let once = match tracked.arrival.repeat {
            Repeat::Once { key } => Some(key),
            Repeat::Allowed | Repeat::AtMostOnce => None,
        };
        let (end, run_state) = match end {
            0..=2 => (completed(name, once.is_some()), RunState::MayHaveRun),
            3 if once.is_some() => (AttemptOutcome::CompletedTooLarge, RunState::MayHaveRun),
            3 | 4 => (AttemptOutcome::NotSent, RunState::NotRun),
            5 => (AttemptOutcome::Rejected(Rejection::Busy), RunState::NotRun),
            6 => (AttemptOutcome::Rejected(Rejection::NotLoaded), RunState::NotRun),
            7 => (AttemptOutcome::Lost { passed_on: once.is_none(), died: false }, RunState::MayHaveRun),
            8 => (AttemptOutcome::Lost { passed_on: false, died: true }, RunState::MayHaveRun),
            _ => (AttemptOutcome::Lost { passed_on: false, died: false }, RunState::MayHaveRun),
        };
        if live {
            tracked_attempt.run_state = run_state;
            match &end {
                AttemptOutcome::Completed { held: Some(answer) } => {
                    self.answers.insert(answer.body.clone(), (once.unwrap(), tracked.arrival.digest));
                }
                AttemptOutcome::Completed { held: None } | AttemptOutcome::CompletedTooLarge => {
                    tracked.finals += 1;
                }
                AttemptOutcome::Lost { passed_on, .. } => {
                    tracked.passed_on |= *passed_on;
                    tracked.started = false;
                }
                _ => {}
            }
        }
        self.processes[at].end(name.id, end);
    }

    fn answer_call(&mut self, which: usize, outcome: CallOutcome) {
        if self.calls.is_empty() {
            return;
        }
        let (call, request) = self.calls.remove(which % self.calls.len());
        let result = match outcome {
            CallOutcome::Done => Ok(self.store.execute(&request)),
            CallOutcome::NotDone => Err(StoreFailure::NotDone),
            CallOutcome::Vanished => Err(StoreFailure::Unknown),
            CallOutcome::AnswerLost => {
                self.store.execute(&request);
                Err(StoreFailure::Unknown)
            }
            CallOutcome::Late => {
                self.late.push(request);
                Err(StoreFailure::Unknown)
            }
        };
        self.processes[call.at].store(call.id, &result);
    }

    fn view(&mut self, at: usize, engine: usize, number: u64, state: usize, running: u32) {
        let readiness = match state {
            0..=2 => Readiness::Ready,
            3 => Readiness::Loading { remaining: Duration::from_secs(2) },
            _ => Readiness::Closing,
        };
        let mut view = view(ENGINES[engine], number, ["m", "n"][engine % 2], readiness);
        view.version = ViewVersion { fence: Fence(number / 8), number };
        view.running = running;
        self.processes[at].peer(["b", "c", "a"][engine], &PeerMessage::View(view));
    }

    /// Checks the effects of both processes.
    fn check_effects(&mut self) {
        for at in 0..HOSTS.len() {
            for effect in self.processes[at].take() {
                self.check(at, effect);
            }
        }
    }

    fn check(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Store { call, request } => self.calls.push((ProcessLocal { at, id: call }, request)),
            Effect::Send { request, attempt, upstream, resume, .. } => {
                let request = ProcessLocal { at, id: request };
                let tracked = &self.requests[&request];
                assert_eq!(tracked.finals, 0, "sent after its end: {request:?}");
                assert_eq!(
                    resume, tracked.passed_on,
                    "resumes exactly if the caller has a part: {request:?}"
                );
                assert!(!self.leaving.contains(&(at, upstream.clone())), "sent to a leaving upstream");
                let live =
                    self.processes[at].upstreams.get(&upstream).unwrap().status == UpstreamStatus::Live;
                assert!(live, "sent to an upstream that is leaving on the host list");
                let tracked_attempt =
                    TrackedAttempt { request, upstream: upstream.clone(), run_state: RunState::Running };
                self.attempts.insert(ProcessLocal { at, id: attempt }, tracked_attempt);
                self.check_running(at, request, &upstream);
                self.check_once(request);
            }
            Effect::Cancel { attempt } => {
                let tracked_attempt = self.attempts.get_mut(&ProcessLocal { at, id: attempt }).unwrap();
                assert_eq!(tracked_attempt.run_state, RunState::Running, "cancelled after its end");
                tracked_attempt.run_state = RunState::Cancelled;
            }
            Effect::Answer { request, answer } => {
                let request = ProcessLocal { at, id: request };
                let tracked = &self.requests[&request];
                let Repeat::Once { key } = tracked.arrival.repeat else {
                    panic!("recorded answer for {request:?}")
                };
                assert_eq!(
                    self.answers[&answer.body],
                    (key, tracked.arrival.digest),
                    "answer of another key or request"
                );
                self.final_effect(request);
            }
            Effect::Refuse { request, refusal } => {
                let request = ProcessLocal { at, id: request };
                if refusal.outcome == RefusalOutcome::NotRun {
                    let ran = |t: &&TrackedAttempt| t.request == request && t.run_state != RunState::NotRun;
                    assert!(!self.attempts.values().any(|t| ran(&t)), "not_run is untrue: {request:?}");
                }
                assert!(!self.requests[&request].passed_on, "refused after a part of the answer");
                self.final_effect(request);
            }
            Effect::Abort { request, refusal } => {
                let request = ProcessLocal { at, id: request };
                assert_ne!(refusal.outcome, RefusalOutcome::NotRun, "aborted as not run");
                let tracked = &self.requests[&request];
                assert!(tracked.passed_on || tracked.started, "aborted without a part of an answer");
                self.final_effect(request);
            }
            _ => {}
        }
    }

    fn check_running(&self, at: usize, request: ProcessLocal<RequestId>, upstream: &UpstreamId) {
        let running = |t: &&TrackedAttempt| t.run_state == RunState::Running;
        let of_request = self.attempts.values().filter(running).filter(|t| t.request == request).count();
        assert_eq!(of_request, 1, "concurrent attempts of one request: {request:?}");
        let here = self.attempts.iter().filter(|(name, t)| name.at == at && running(t));
        let there = here.filter(|(_, t)| t.upstream == *upstream).count();
        assert!(there <= CONCURRENCY, "{there} concurrent attempts at {upstream}");
    }

    /// Checks that at most one attempt under a key may have run.
    fn check_once(&self, request: ProcessLocal<RequestId>) {
        let Repeat::Once { key } = self.requests[&request].arrival.repeat else { return };
        let same = |t: &&TrackedAttempt| self.requests[&t.request].arrival.repeat == Repeat::Once { key };
        let runs = self.attempts.values().filter(same).filter(|t| t.run_state != RunState::NotRun).count();
        assert!(runs <= 1, "{runs} runs under the key {key}");
    }

    fn final_effect(&mut self, request: ProcessLocal<RequestId>) {
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.finals += 1;
        assert_eq!(tracked.finals, 1, "two ends: {request:?}");
    }

    /// Checks that no request is unfinished after its deadline.
    fn check_ends(&self) {
        for (name, tracked) in &self.requests {
            let now: Time = self.processes[name.at].now;
            let late = tracked.arrival.deadline.after(GRACE) < now;
            assert!(!late || tracked.gone || tracked.finals == 1, "no end: {name:?} {tracked:?}");
        }
    }
}

fn target_of(n: usize) -> Target {
    model(["m", "n"][n])
}

fn completed(attempt: ProcessLocal<AttemptId>, held: bool) -> AttemptOutcome {
    let body = format!("{attempt:?}").into_bytes();
    let answer = RecordedAnswer { status: 200, content_type: None, body };
    AttemptOutcome::Completed { held: held.then_some(answer) }
}

proptest! {
    // `PROPTEST_CASES` can raise the number of cases.
    #![proptest_config(ProptestConfig {
        cases: ProptestConfig::default().cases.max(400),
        max_shrink_iters: 20_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_ends_once_with_a_true_outcome_whatever_the_order_of_events(
        ops in prop::collection::vec(op(), 1..120)
    ) {
        let mut world = World::new();
        for op in ops {
            world.execute(op);
            world.check_effects();
            world.check_ends();
        }
        for _ in 0..20 {
            world.execute(Op::Advance { ms: 1000 });
            world.check_effects();
        }
        world.check_ends();
        for (name, tracked) in &world.requests {
            prop_assert!(tracked.gone || tracked.finals == 1, "{:?} has {} ends", name, tracked.finals);
        }
    }
}
