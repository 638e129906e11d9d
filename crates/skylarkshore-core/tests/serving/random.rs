//! Events in any order at two processes, with a key-value service that loses answers.

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

use op::{Asked, ENGINES, Fate, HOSTS, Op, UPSTREAMS, op};

const CONCURRENCY: usize = 2;
/// How long after its deadline a request may still be without its end: peers
/// are told and a claim is given up first, each for a bounded time.
const GRACE: Duration = Duration::from_millis(750);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Name<T> {
    at: usize,
    id: T,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Truth {
    Running,
    /// The upstream did nothing.
    NotRun,
    MayHaveRun,
    Cancelled,
}

#[derive(Debug)]
struct Asking {
    arrival: Arrival,
    finals: u32,
    gone: bool,
    passed_on: bool,
    started: bool,
}

#[derive(Debug)]
struct Tried {
    request: Name<RequestId>,
    upstream: UpstreamId,
    truth: Truth,
}

struct World {
    store: Store,
    processes: Vec<Process>,
    calls: Vec<(Name<CallId>, StoreCall)>,
    late: Vec<StoreCall>,
    requests: OrderedMap<Name<RequestId>, Asking>,
    attempts: OrderedMap<Name<AttemptId>, Tried>,
    /// Which key and body an answer belongs to.
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

    fn carry_out(&mut self, op: Op) {
        match op {
            Op::Arrive { at, asked, body, caller, patience } => {
                self.arrive(at, &asked, body, caller, patience);
            }
            Op::Started { at, which } => {
                if let Some(attempt) = self.attempt(at, which) {
                    let request = self.attempts[&attempt].request;
                    let live = self.attempts[&attempt].truth == Truth::Running;
                    self.requests.get_mut(&request).unwrap().started |= live;
                    self.processes[at].with(|serving, cx| serving.on_answer_started(cx, attempt.id));
                }
            }
            Op::End { at, which, end } => self.end(at, which, end),
            Op::Gone { at, which } => {
                let own: Vec<_> = self.requests.keys().filter(|r| r.at == at).copied().collect();
                if let Some(request) = own.get(which % own.len().max(1)) {
                    self.requests.get_mut(request).unwrap().gone = true;
                    self.processes[at].with(|serving, cx| serving.on_caller_gone(cx, request.id));
                }
            }
            Op::Pass { ms } => self.processes.iter_mut().for_each(|p| p.pass(ms)),
            Op::Store { which, fate } => self.answer_call(which, fate),
            Op::Arrives { which } => {
                if !self.late.is_empty() {
                    let call = self.late.remove(which % self.late.len());
                    self.store.carry_out(&call);
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

    fn arrive(&mut self, at: usize, asked: &Asked, body: u8, caller: usize, patience: u64) {
        self.next += 1;
        let p = &mut self.processes[at];
        let target = match asked {
            Asked::Model(model) => target_of(*model),
            Asked::Call | Asked::Booking { .. } => service("booking"),
        };
        let mut arrival = arrival(p, target, body);
        if let Asked::Booking { key } = asked {
            arrival.repeat = Repeat::Once { key: digest(*key) };
        }
        arrival.caller = name(["orchard", "harvest"][caller]);
        arrival.deadline = p.now.after(Duration::from_millis(patience));
        let request = Name { at, id: RequestId(self.next) };
        let asking =
            Asking { arrival: arrival.clone(), finals: 0, gone: false, passed_on: false, started: false };
        self.requests.insert(request, asking);
        p.arrive(self.next, arrival);
    }

    fn attempt(&self, at: usize, which: usize) -> Option<Name<AttemptId>> {
        let own: Vec<_> = self.attempts.keys().filter(|a| a.at == at).copied().collect();
        // The newest ones are tried most, and old ones now and then, as late events.
        own.iter().rev().nth(which % 8).or(own.last()).copied()
    }

    fn end(&mut self, at: usize, which: usize, end: usize) {
        let Some(name) = self.attempt(at, which) else { return };
        let tried = self.attempts.get_mut(&name).unwrap();
        let live = tried.truth == Truth::Running;
        let asking = self.requests.get_mut(&tried.request).unwrap();
        let once = match asking.arrival.repeat {
            Repeat::Once { key } => Some(key),
            Repeat::Allowed | Repeat::AtMostOnce => None,
        };
        let (end, truth) = match end {
            0..=2 => (whole(name, once.is_some()), Truth::MayHaveRun),
            3 if once.is_some() => (AttemptOutcome::CompletedTooLarge, Truth::MayHaveRun),
            3 | 4 => (AttemptOutcome::NotSent, Truth::NotRun),
            5 => (AttemptOutcome::Rejected(Rejection::Busy), Truth::NotRun),
            6 => (AttemptOutcome::Rejected(Rejection::NotLoaded), Truth::NotRun),
            7 => (AttemptOutcome::Lost { passed_on: once.is_none(), died: false }, Truth::MayHaveRun),
            8 => (AttemptOutcome::Lost { passed_on: false, died: true }, Truth::MayHaveRun),
            _ => (AttemptOutcome::Lost { passed_on: false, died: false }, Truth::MayHaveRun),
        };
        if live {
            tried.truth = truth;
            match &end {
                AttemptOutcome::Completed { held: Some(answer) } => {
                    self.answers.insert(answer.body.clone(), (once.unwrap(), asking.arrival.digest));
                }
                AttemptOutcome::Completed { held: None } | AttemptOutcome::CompletedTooLarge => {
                    asking.finals += 1;
                }
                AttemptOutcome::Lost { passed_on, .. } => {
                    asking.passed_on |= *passed_on;
                    asking.started = false;
                }
                _ => {}
            }
        }
        self.processes[at].end(name.id, end);
    }

    fn answer_call(&mut self, which: usize, fate: Fate) {
        if self.calls.is_empty() {
            return;
        }
        let (call, request) = self.calls.remove(which % self.calls.len());
        let result = match fate {
            Fate::Done => Ok(self.store.carry_out(&request)),
            Fate::NotDone => Err(StoreFailure::NotDone),
            Fate::Vanished => Err(StoreFailure::Unknown),
            Fate::AnswerLost => {
                self.store.carry_out(&request);
                Err(StoreFailure::Unknown)
            }
            Fate::Late => {
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

    /// Looks at what the processes want done.
    fn absorb(&mut self) {
        for at in 0..HOSTS.len() {
            for effect in self.processes[at].take() {
                self.check(at, effect);
            }
        }
    }

    fn check(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Store { call, request } => self.calls.push((Name { at, id: call }, request)),
            Effect::Send { request, attempt, upstream, resume, .. } => {
                let request = Name { at, id: request };
                let asking = &self.requests[&request];
                assert_eq!(asking.finals, 0, "sent after its end: {request:?}");
                assert_eq!(resume, asking.passed_on, "resumes what the caller has a part of: {request:?}");
                assert!(!self.leaving.contains(&(at, upstream.clone())), "sent to a leaving upstream");
                let live =
                    self.processes[at].upstreams.get(&upstream).unwrap().status == UpstreamStatus::Live;
                assert!(live, "sent to an upstream that the host list calls leaving");
                let tried = Tried { request, upstream: upstream.clone(), truth: Truth::Running };
                self.attempts.insert(Name { at, id: attempt }, tried);
                self.check_running(at, request, &upstream);
                self.check_once(request);
            }
            Effect::Cancel { attempt } => {
                let tried = self.attempts.get_mut(&Name { at, id: attempt }).unwrap();
                assert_eq!(tried.truth, Truth::Running, "cancelled after its end");
                tried.truth = Truth::Cancelled;
            }
            Effect::Answer { request, answer } => {
                let request = Name { at, id: request };
                let asking = &self.requests[&request];
                let Repeat::Once { key } = asking.arrival.repeat else {
                    panic!("kept answer for {request:?}")
                };
                assert_eq!(self.answers[&answer.body], (key, asking.arrival.digest), "another's answer");
                self.final_effect(request);
            }
            Effect::Refuse { request, refusal } => {
                let request = Name { at, id: request };
                if refusal.outcome == RefusalOutcome::NotRun {
                    let ran = |t: &&Tried| t.request == request && t.truth != Truth::NotRun;
                    assert!(!self.attempts.values().any(|t| ran(&t)), "not_run is untrue: {request:?}");
                }
                assert!(!self.requests[&request].passed_on, "refused after a part of the answer");
                self.final_effect(request);
            }
            Effect::Abort { request, refusal } => {
                let request = Name { at, id: request };
                assert_ne!(refusal.outcome, RefusalOutcome::NotRun, "a part was passed on");
                let asking = &self.requests[&request];
                assert!(asking.passed_on || asking.started, "aborted without a part of an answer");
                self.final_effect(request);
            }
            _ => {}
        }
    }

    fn check_running(&self, at: usize, request: Name<RequestId>, upstream: &UpstreamId) {
        let running = |t: &&Tried| t.truth == Truth::Running;
        let of_request = self.attempts.values().filter(running).filter(|t| t.request == request).count();
        assert_eq!(of_request, 1, "two attempts of a request at once: {request:?}");
        let here = self.attempts.iter().filter(|(name, t)| name.at == at && running(t));
        let there = here.filter(|(_, t)| t.upstream == *upstream).count();
        assert!(there <= CONCURRENCY, "{there} at once at {upstream}");
    }

    /// Checks that a key was run at most once, as far as upstreams may have run it.
    fn check_once(&self, request: Name<RequestId>) {
        let Repeat::Once { key } = self.requests[&request].arrival.repeat else { return };
        let same = |t: &&Tried| self.requests[&t.request].arrival.repeat == Repeat::Once { key };
        let runs = self.attempts.values().filter(same).filter(|t| t.truth != Truth::NotRun).count();
        assert!(runs <= 1, "{runs} runs under the key {key}");
    }

    fn final_effect(&mut self, request: Name<RequestId>) {
        let asking = self.requests.get_mut(&request).unwrap();
        asking.finals += 1;
        assert_eq!(asking.finals, 1, "two ends: {request:?}");
    }

    /// Checks that no request is kept past its deadline.
    fn check_ends(&self) {
        for (name, asking) in &self.requests {
            let now: Time = self.processes[name.at].now;
            let late = asking.arrival.deadline.after(GRACE) < now;
            assert!(!late || asking.gone || asking.finals == 1, "no end: {name:?} {asking:?}");
        }
    }
}

fn target_of(n: usize) -> Target {
    model(["m", "n"][n])
}

fn whole(attempt: Name<AttemptId>, held: bool) -> AttemptOutcome {
    let body = format!("{attempt:?}").into_bytes();
    let answer = RecordedAnswer { status: 200, content_type: None, body };
    AttemptOutcome::Completed { held: held.then_some(answer) }
}

proptest! {
    // `PROPTEST_CASES` asks for more than these.
    #![proptest_config(ProptestConfig {
        cases: ProptestConfig::default().cases.max(400),
        max_shrink_iters: 20_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_ends_once_and_truly_whatever_the_order_of_events(
        ops in prop::collection::vec(op(), 1..120)
    ) {
        let mut world = World::new();
        for op in ops {
            world.carry_out(op);
            world.absorb();
            world.check_ends();
        }
        for _ in 0..20 {
            world.carry_out(Op::Pass { ms: 1000 });
            world.absorb();
        }
        world.check_ends();
        for (name, asking) in &world.requests {
            prop_assert!(asking.gone || asking.finals == 1, "{:?} has {} ends", name, asking.finals);
        }
    }
}
