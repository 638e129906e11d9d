//! Execution of the processes' effects, with injected faults applied.

use std::collections::VecDeque;
use std::time::Duration;

use skylarkshore_core::effect::Effect;
use skylarkshore_core::event::{AttemptOutcome, Event, Rejection, Target};
use skylarkshore_core::id::{AttemptId, CallId, HostId, Incarnation, RequestId, StoreRevision, UpstreamId};
use skylarkshore_core::peer::Envelope;
use skylarkshore_core::store::{RecordedAnswer, StoreFailure, StoreResult};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::OrderAnswer;

use super::callers::{FinalAnswer, Framing, RequestKey};
use super::engine::{Engine, Run};
use super::fault::Strike;
use super::schedule::{RunId, Sender, SentCall, SentOrder, SentRequest, Task};
use super::store::StoreMode;
use super::{HostNote, LATENCY, World};

/// How long an engine stays down after a crash caused by a fault or a request.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);
/// Timeout of a report request to an engine that is down.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the requests in an engine, as a multiple of its concurrency.
pub(crate) const REQUEST_LIMIT_FACTOR: usize = 4;
/// Number of concurrent loads that the weight store serves at full speed.
const LOADS_AT_FULL_SPEED: u32 = 4;
/// Load time of a model that is missing from the document.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(5);
/// Time to first token.
const FIRST_TOKEN: Duration = Duration::from_millis(50);

/// Returns the outcome of a run whose upstream or answer is lost.
pub(crate) const fn lost_outcome(run: &Run, died: bool) -> AttemptOutcome {
    AttemptOutcome::Lost { passed_on: run.started && !run.sent.hold, died }
}

impl World {
    pub(crate) fn execute_all(&mut self, h: usize, effects: Vec<Effect>) {
        let effects = self.faults.rewrite(&self.hosts[h].id, effects);
        let mut pending = VecDeque::from(effects);
        while let Some(effect) = pending.pop_front() {
            let fault = self.next_fault(h, &effect);
            match fault {
                Strike::KillBefore => return self.kill(h),
                Strike::Freeze(d) => {
                    pending.push_front(effect);
                    self.freeze(h, d);
                    return self.hosts[h].defer(pending);
                }
                Strike::CutStore(d) => self.cut_store(h, self.now.after(d)),
                Strike::CutPeers(d) => self.cut_peers(h, self.now.after(d)),
                Strike::StoreDown(d) => {
                    self.set_store_mode(StoreMode::Hanging);
                    self.schedule.add(self.now.after(d), Task::StoreUp);
                }
                _ => {}
            }
            self.execute(h, effect, fault);
            if fault == Strike::KillAfter {
                return self.kill(h);
            }
        }
    }

    fn next_fault(&mut self, h: usize, effect: &Effect) -> Strike {
        if matches!(effect, Effect::LogEvent(_)) || self.hosts[h].is_frozen() {
            return Strike::None;
        }
        self.serial += 1;
        self.faults.strike(self.serial, &self.hosts[h].id, effect)
    }

    pub(crate) fn execute(&mut self, h: usize, effect: Effect, fault: Strike) {
        let from = self.hosts[h].sender();
        if self.metered {
            self.hosts[h].meter.count(&effect);
        }
        match effect {
            Effect::Store { call, request } => {
                let answer_lost = fault == Strike::LoseAnswer;
                let sent = SentCall { from, call, request, answer_lost };
                self.schedule_store_timeout(&sent);
                self.send(fault, Task::Store(sent));
            }
            Effect::Watch { from: revision } => self.watch(h, revision, fault),
            Effect::Unwatch => self.store.unwatch(h),
            Effect::Peer(envelope) => self.send_to_peer(h, envelope, fault),
            Effect::Probe { host, incarnation, .. } => self.probe(from, host, incarnation),
            Effect::Order { upstream, order, fence, not_after, action, .. } => {
                if not_after < self.now || self.hosts[h].link_loss(self.now).is_some() {
                    let event = Event::Order { upstream, order, answer: OrderAnswer::NotSent };
                    return self.send_event(from, event);
                }
                let answer_lost = fault == Strike::LoseAnswer;
                let sent = SentOrder { from, engine: upstream.clone(), order, fence, action, answer_lost };
                if fault == Strike::Lose {
                    let event = Event::Order { upstream: upstream.clone(), order, answer: OrderAnswer::Lost };
                    self.send_event(from, event);
                }
                self.send(fault, Task::Order(sent));
                self.crash_upstream_if_planned(&upstream, fault);
            }
            Effect::RequestReport { upstream, via } if !self.has_path(h, via.as_ref()) => {
                let event = Event::Report { upstream, asked: self.now, report: None };
                self.schedule.add(self.now.after(REPORT_TIMEOUT), Task::Event { to: from, event });
            }
            Effect::ProbeUpstream { upstream } => self.probe_upstream(h, upstream),
            Effect::RequestReport { upstream, .. } => {
                self.send(fault, Task::ReportRequest { from, engine: upstream, asked: self.now });
            }
            Effect::Send { request, attempt, upstream, deadline, hold, via, .. } => {
                let answer_lost = fault == Strike::LoseAnswer;
                let listed = self.hosts[h].node.as_ref().and_then(|node| node.upstreams().get(&upstream));
                let incarnation = listed.map(|listed| listed.incarnation);
                let sent = SentRequest {
                    from,
                    request,
                    attempt,
                    upstream: upstream.clone(),
                    incarnation,
                    hold,
                    answer_lost,
                };
                self.schedule.add(deadline, Task::AttemptTimeout { from, attempt });
                self.attempts
                    .insert(AttemptKey::new(from, attempt), OpenAttempt { request, delivered: false });
                if let Some(failure) = self.send_failure(h, via.as_ref()) {
                    let at = self.now.after(failure.after);
                    self.schedule.add(at, Task::AttemptFails { from, attempt, end: failure.end });
                } else if fault == Strike::Lose {
                    let end = AttemptOutcome::Lost { passed_on: false, died: false };
                    self.attempt_ended(from, attempt, end);
                } else {
                    self.send(fault, Task::StartRun(sent));
                }
                self.crash_upstream_if_planned(&upstream, fault);
            }
            Effect::Cancel { attempt } => {
                self.attempts.remove(&AttemptKey::new(from, attempt));
                self.stop_runs(from, attempt);
            }
            Effect::Answer { request, answer } => {
                self.callers.record_stored_answer(&request_key(from, request), &answer.body, self.now);
            }
            Effect::Refuse { request, refusal } => {
                self.callers.record_end(&request_key(from, request), FinalAnswer::Refused(refusal), self.now);
            }
            Effect::Abort { request, refusal } => {
                self.callers.record_end(&request_key(from, request), FinalAnswer::Aborted(refusal), self.now);
            }
            Effect::LogEvent(note) => {
                let host = self.hosts[h].id.clone();
                self.notes.push(HostNote { at: self.now, host, note });
            }
            // Not simulated: upstreams here never answer with a failure, first events aren't withheld, and the
            // hosts that callers connect to don't change.
            Effect::ForwardHeldAnswer { .. }
            | Effect::ForwardAnswer { .. }
            | Effect::CloseIntake
            | Effect::Decision(_)
            | Effect::ApplyNews(_)
            | Effect::ApplyStatePart(_)
            | Effect::ExtendStateWait
            | Effect::ReadMissedNews
            | Effect::SendState { .. }
            | Effect::ReadNewsForOthers(_) => {}
            Effect::Exit => {
                self.hosts[h].exited = true;
                self.kill_without_restart(h);
            }
        }
    }

    pub(crate) fn stop_runs(&mut self, from: Sender, attempt: AttemptId) -> Vec<Run> {
        let now = self.now;
        let stopped =
            self.engines.values_mut().flat_map(|engine| engine.cancel(from, attempt, now)).collect();
        self.end_silent_replicas(|sent| sent.from == from && sent.attempt == attempt);
        stopped
    }

    /// Ends an attempt without a complete answer at its deadline, as the host runtime does.
    pub(crate) fn time_out(&mut self, from: Sender, attempt: AttemptId) {
        let passed_on = self.stop_runs(from, attempt).iter().any(|run| run.started && !run.sent.hold);
        self.attempt_ended(from, attempt, AttemptOutcome::Lost { passed_on, died: false });
    }

    fn send(&mut self, fault: Strike, task: Task) {
        let at = self.now.after(LATENCY);
        match fault {
            Strike::Lose => {}
            Strike::Delay(d) => self.schedule.add(at.after(d), task),
            Strike::Double => {
                self.schedule.add(at, task.clone());
                self.schedule.add(at.after(LATENCY), task);
            }
            _ => self.schedule.add(at, task),
        }
    }

    pub(crate) fn send_event(&mut self, to: Sender, event: Event) {
        self.schedule.add(self.now.after(LATENCY), Task::Event { to, event });
    }

    fn crash_upstream_if_planned(&mut self, upstream: &UpstreamId, fault: Strike) {
        if fault == Strike::CrashUpstream {
            let engine = upstream.clone();
            self.schedule.add(self.now.after(LATENCY * 2), Task::Crash { engine });
        }
    }

    pub(crate) fn crash_and_restart(&mut self, id: &UpstreamId) {
        self.crash_engine(id, Some(CRASH_DOWNTIME));
        self.crash_replica(id);
    }

    fn watch(&mut self, h: usize, from: StoreRevision, fault: Strike) {
        let reachable = self.store.mode == StoreMode::Up && self.hosts[h].store_unreachable_until <= self.now;
        if !reachable || fault == Strike::Lose {
            let to = self.hosts[h].sender();
            let at = self.now.after(self.setup.timings.store_timeout);
            return self.schedule.add(at, Task::Event { to, event: Event::WatchBroken });
        }
        self.store.watch(h, from);
        self.notify_watchers();
    }

    fn send_to_peer(&mut self, h: usize, envelope: Envelope, fault: Strike) {
        let Some(to) = self.hosts.iter().position(|host| host.id == envelope.to) else { return };
        let cut = self.hosts[h].peers_unreachable_until > self.now
            || self.hosts[to].peers_unreachable_until > self.now;
        if cut || !self.hosts[to].is_up() {
            return;
        }
        let event = Event::Peer { from: self.hosts[h].id.clone(), message: envelope.message };
        let to = self.hosts[to].sender();
        self.send(fault, Task::Event { to, event });
    }

    fn probe(&mut self, from: Sender, host: HostId, incarnation: Incarnation) {
        let Some(found) = self.hosts.iter().find(|h| h.id == host) else { return };
        let ended = !found.is_up() || found.incarnation() > incarnation;
        if ended {
            self.send_event(from, Event::PeerConnectionRefused { host, incarnation });
        }
    }

    /// Schedules a call to end with an unknown result unless it is answered before the timeout.
    fn schedule_store_timeout(&mut self, sent: &SentCall) {
        self.open_calls.insert(CallKey { from: sent.from, call: sent.call });
        let at = self.now.after(self.setup.timings.store_timeout);
        self.schedule.add(at, Task::StoreTimeout { from: sent.from, call: sent.call });
    }

    pub(crate) fn handle_store_call(&mut self, sent: SentCall) {
        let cut = self.hosts[sent.from.host].store_unreachable_until > self.now;
        let mode = if cut { StoreMode::Hanging } else { self.store.mode };
        if mode == StoreMode::Refusing {
            return self.store_answered(sent.from, sent.call, Err(StoreFailure::NotDone));
        }
        if mode == StoreMode::Hanging {
            return;
        }
        let answer = self.store.call(sent.request, self.now);
        self.notify_watchers();
        if mode == StoreMode::Up && !sent.answer_lost {
            self.store_answered(sent.from, sent.call, Ok(answer));
        }
    }

    pub(crate) fn store_answered(&mut self, from: Sender, call: CallId, result: StoreResult) {
        if self.open_calls.remove(&CallKey { from, call }) {
            self.send_event(from, Event::Store { call, result });
        }
    }

    pub(crate) fn handle_order(&mut self, sent: &SentOrder) {
        let now = self.now;
        let loading: u32 = self.engines.values().map(Engine::loading_count).sum();
        let Some(engine) = self.engines.get_mut(&sent.engine).filter(|engine| engine.up) else {
            let event = Event::Order {
                upstream: sent.engine.clone(),
                order: sent.order,
                answer: OrderAnswer::NotSent,
            };
            return self.send_event(sent.from, event);
        };
        let order_result = engine.handle_order(sent.order, sent.fence, &sent.action, now);
        if let Some(started_load) = order_result.started_load {
            let models = &self.setup.document.catalogue.models;
            let load_time =
                models.get(&started_load.model).map_or(DEFAULT_LOAD_TIME, |model| model.load_time);
            let concurrent_loads = (loading + 1).max(LOADS_AT_FULL_SPEED);
            let at = now.after(load_time * concurrent_loads / LOADS_AT_FULL_SPEED);
            let engine = sent.engine.clone();
            self.schedule.add(
                at,
                Task::LoadDone { engine, incarnation: started_load.incarnation, model: started_load.model },
            );
        }
        for run in order_result.interrupted {
            self.end_run(&run, lost_outcome(&run, false));
        }
        let answer = if sent.answer_lost { OrderAnswer::Lost } else { order_result.answer };
        self.send_event(sent.from, Event::Order { upstream: sent.engine.clone(), order: sent.order, answer });
    }

    pub(crate) fn handle_report_request(&mut self, from: Sender, id: &UpstreamId, asked: Time) {
        let report = self.engines.get(id).and_then(Engine::report);
        let delay = if report.is_some() { LATENCY } else { REPORT_TIMEOUT };
        let event = Event::Report { upstream: id.clone(), asked, report };
        self.schedule.add(self.now.after(delay), Task::Event { to: from, event });
    }

    pub(crate) fn start_run(&mut self, sent: SentRequest) {
        let Some(attempt) = self.attempts.get_mut(&AttemptKey::new(sent.from, sent.attempt)) else { return };
        // An attempt is one request on one connection, which delivers it at most once;
        // the HTTP client's own retries are disabled.
        if std::mem::replace(&mut attempt.delivered, true) {
            return;
        }
        let request = request_key(sent.from, sent.request);
        let Some(log) = self.callers.requests.get(&request) else { return };
        let (target, run_time) = (log.ask.target.clone(), log.ask.run_time);
        let rejection = self.rejection(&sent, &target).or_else(|| self.brittle_rejection(&sent));
        self.report_brittle_state(&sent);
        if rejection != Some(AttemptOutcome::NotSent) {
            self.retries.record_arrival(self.now, request, &target);
            self.record_crashing_arrival(&sent, &request);
        }
        if let Some(end) = rejection {
            return self.attempt_ended(sent.from, sent.attempt, end);
        }
        self.checks.check_new_work(&sent.upstream, self.now);
        self.callers.record_run(&request, self.now);
        self.runs += 1;
        let id = RunId(self.runs);
        let upstream = sent.upstream.clone();
        let model = match target {
            Target::Model(target) => Some(target.model),
            Target::Service(_) => None,
        };
        let run = Run { id, sent, model, started: false };
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.add_run(run, self.now);
        } else if let Some(service) = self.services.get_mut(&upstream) {
            service.runs.insert(id, run);
        }
        let first = FIRST_TOKEN.min(run_time);
        self.schedule.add(self.now.after(first), Task::RunStarted { upstream: upstream.clone(), run: id });
        self.schedule.add(self.now.after(run_time), Task::RunDone { upstream, run: id });
    }

    fn rejection(&self, sent: &SentRequest, target: &Target) -> Option<AttemptOutcome> {
        if self.overloaded.contains(&sent.upstream) {
            return Some(AttemptOutcome::Rejected(Rejection::Busy));
        }
        match target {
            Target::Model(target) => {
                let Some(engine) = self.engines.get(&sent.upstream).filter(|engine| engine.up) else {
                    return Some(AttemptOutcome::NotSent);
                };
                if !engine.holds(&target.model, target.adapter.as_ref()) {
                    return Some(AttemptOutcome::Rejected(Rejection::NotLoaded));
                }
                let most = engine.spec.concurrency as usize * REQUEST_LIMIT_FACTOR;
                (engine.run_count() >= most).then_some(AttemptOutcome::Rejected(Rejection::Busy))
            }
            Target::Service(name) => {
                let replica = self.services.get(&sent.upstream).filter(|replica| replica.up);
                let Some(replica) = replica.filter(|replica| replica.service == *name) else {
                    return Some(AttemptOutcome::NotSent);
                };
                let is_other = sent.incarnation.is_some_and(|expected| expected != replica.incarnation);
                (is_other && self.termination_listed_after.is_some())
                    .then_some(AttemptOutcome::Rejected(Rejection::Replaced))
            }
        }
    }

    pub(crate) fn run_started(&mut self, upstream: &UpstreamId, id: RunId) {
        let is_silent = self.is_silent(upstream);
        let run = match self.engines.get_mut(upstream) {
            Some(engine) => engine.run_mut(id),
            None => self.services.get_mut(upstream).and_then(|service| service.runs.get_mut(&id)),
        };
        let Some(run) = run else { return };
        let sent = run.sent.clone();
        let request = request_key(sent.from, sent.request);
        let Some(ask) = self.callers.requests.get(&request).map(|log| &log.ask) else { return };
        if ask.crashes {
            self.crashes.record_crash(self.now, ask.digest);
            return self.crash_and_restart(upstream);
        }
        if let Some((part, at)) = self.parts.fatal_of(&ask.parts) {
            return self.begin_fatal_answer(upstream, id, part, at);
        }
        if ask.silences {
            return self.silence(upstream);
        }
        if is_silent {
            return;
        }
        run.started = true;
        if self.attempts.contains_key(&AttemptKey::new(sent.from, sent.attempt)) {
            self.callers.record_answer_start(&request, self.now);
            self.record_events(upstream, &request);
            self.send_event(sent.from, Event::AnswerStarted { attempt: sent.attempt });
        }
    }

    pub(crate) fn run_done(&mut self, upstream: &UpstreamId, id: RunId) {
        if self.is_silent(upstream) {
            return;
        }
        let run = match self.engines.get_mut(upstream) {
            Some(engine) => engine.remove_run(id, self.now),
            None => self.services.get_mut(upstream).and_then(|service| service.runs.remove(&id)),
        };
        let Some(run) = run else { return };
        if run.sent.answer_lost {
            return self.end_run(&run, lost_outcome(&run, false));
        }
        let request = request_key(run.sent.from, run.sent.request);
        let Some(log) = self.callers.requests.get(&request) else { return };
        if log.ask.framing == Framing::Unframed {
            return self.end_run(&run, AttemptOutcome::CompletedUnframed);
        }
        let body = log.ask.digest.0.to_vec();
        let held = run.sent.hold.then_some(RecordedAnswer { status: 200, content_type: None, body });
        self.end_run(&run, AttemptOutcome::Completed { held });
    }

    pub(crate) fn end_run(&mut self, run: &Run, end: AttemptOutcome) {
        self.attempt_ended(run.sent.from, run.sent.attempt, end);
    }

    pub(crate) fn attempt_ended(&mut self, from: Sender, attempt: AttemptId, end: AttemptOutcome) {
        let Some(OpenAttempt { request, .. }) = self.attempts.remove(&AttemptKey::new(from, attempt)) else {
            return;
        };
        let host = &self.hosts[from.host];
        if !host.is_up() || host.life != from.life {
            return;
        }
        let forwarded =
            matches!(end, AttemptOutcome::Completed { held: None } | AttemptOutcome::CompletedUnframed);
        let forwarded = forwarded.then(|| request_key(from, request));
        self.schedule.add(self.now.after(LATENCY), Task::AttemptEnded { from, attempt, end, forwarded });
    }

    /// Delivers the end of an attempt to its host; a whole answer goes on to the caller, unless its request
    /// was refused while the answer was on its way.
    pub(crate) fn deliver_end(
        &mut self,
        from: Sender,
        attempt: AttemptId,
        end: AttemptOutcome,
        forwarded: Option<RequestKey>,
    ) {
        if self.hosts[from.host].life != from.life {
            return;
        }
        if let Some(request) = forwarded.filter(|request| !self.callers.is_refused(request)) {
            self.callers.record_end(&request, FinalAnswer::Answered, self.now);
        }
        self.deliver(from.host, Event::AttemptEnded { attempt, end });
    }
}

const fn request_key(from: Sender, request: RequestId) -> RequestKey {
    RequestKey { host: from.host, life: from.life, request }
}

/// Identifies an attempt across all hosts and process incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    host: usize,
    life: u64,
    pub(crate) attempt: AttemptId,
}

impl AttemptKey {
    const fn new(from: Sender, attempt: AttemptId) -> Self {
        Self { host: from.host, life: from.life, attempt }
    }

    pub(crate) fn is_of(&self, sender: Sender) -> bool {
        self.host == sender.host && self.life == sender.life
    }
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenAttempt {
    request: RequestId,
    /// Whether the request has reached its upstream.
    delivered: bool,
}

/// Identifies a call to the key-value service across all hosts and process incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallKey {
    from: Sender,
    call: CallId,
}
