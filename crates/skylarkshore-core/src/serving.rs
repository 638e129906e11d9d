//! The requests in progress at this process, from arrival to their one final answer.

mod alone;
mod arrival;
mod attempt;
mod budget;
mod credit;
mod decide;
mod lease;
mod load;
mod once;
mod pace;
mod queue;
mod report;
mod request;
mod returning;
mod routing;
mod supply;
mod suspect;
mod tally;
mod views;
mod wanted;

use std::time::Duration;

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::effect::RefusalReason;
use crate::event::{Arrival, AttemptOutcome, ReportedLoad, Target};
use crate::id::{AttemptId, CallId, HostId, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::quota::Quota;
use crate::store::{Key, StoreResult, WriteOutcome};
use crate::time::Time;

use budget::RetryBudget;
use decide::Step;
use once::Once;
use pace::Paces;
use queue::Queue;
use request::{Caller, Due, Past, Request, State};
use routing::Routes;
use suspect::Suspects;
use tally::Tally;
use wanted::Wants;

/// How often what is remembered is looked through.
const HOUSEKEEPING_EVERY: Duration = Duration::from_secs(1);

/// The requests, queues and routes of one process.
#[derive(Debug)]
pub struct Serving {
    requests: OrderedMap<RequestId, Request>,
    attempts: HashMap<AttemptId, RequestId>,
    timers: OrderedSet<Due>,
    queue: Queue,
    routes: Routes,
    wants: Wants,
    once: Once,
    suspects: Suspects,
    budget: RetryBudget,
    paces: Paces,
    quota: Quota,
    tally: Tally,
    house_due: Time,
    /// Callers have been sent elsewhere, and nothing more may wait.
    is_closed: bool,
}

impl Serving {
    /// Makes the state of a process without requests.
    pub fn new(cfg: &NodeConfig) -> Self {
        Self {
            requests: OrderedMap::new(),
            attempts: HashMap::default(),
            timers: OrderedSet::new(),
            queue: Queue::default(),
            routes: Routes::default(),
            wants: Wants::default(),
            once: Once::default(),
            suspects: Suspects::new(cfg.limits.suspects),
            budget: RetryBudget::new(cfg.limits.retries),
            paces: Paces::default(),
            quota: Quota::new(),
            tally: Tally::default(),
            house_due: Time::START,
            is_closed: false,
        }
    }

    /// Takes a caller's request.
    pub fn on_arrived(&mut self, cx: &mut Cx<'_>, request: RequestId, arrival: Arrival) {
        self.arrive(cx, request, arrival);
    }

    /// Takes note that the caller went away.
    ///
    /// A request that may not be repeated runs on once it was sent, since its
    /// caller will ask for the answer with the same key.
    pub fn on_caller_gone(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(gone) = self.requests.get_mut(&request) else { return };
        gone.caller = Caller::Gone;
        let runs_for_record = gone.once_key().is_some()
            && (gone.run().is_some() || matches!(gone.state, State::Recording { .. }));
        if !runs_for_record {
            let step = Step::Refuse { reason: RefusalReason::CallerGone, retry_after: None };
            self.advance(cx, request, step);
            self.pump(cx);
        }
    }

    /// Takes note that an answer has begun.
    pub fn on_answer_started(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let Some(id) = self.attempts.get(&attempt) else {
            self.tally.late += 1;
            return;
        };
        let Some(request) = self.requests.get_mut(id) else { return };
        if let State::Sent(run) = request.state.clone() {
            let is_late = request.arrival.policy.soft_deadline.is_due(cx.now);
            let waited = run.sent.since(request.arrived);
            let by_engine = is_late && waited * 2 < cx.now.since(request.arrived);
            if let Target::Model(target) = &request.arrival.target
                && by_engine
            {
                self.wants.count_late(target);
            }
            request.enter(State::Answering(run), cx.now);
        }
    }

    /// Takes note of how much an upstream told that it had to do.
    pub fn on_load_reported(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, load: ReportedLoad) {
        self.routes.note_load(cx.now, upstream, load);
    }

    /// Takes the end of an attempt.
    pub fn on_attempt_ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, end: AttemptOutcome) {
        let upstream = self.upstream_of(attempt);
        self.end_attempt(cx, attempt, end);
        if let Some(upstream) = upstream {
            self.pump_at(cx, &upstream);
        }
    }

    fn upstream_of(&self, attempt: AttemptId) -> Option<UpstreamId> {
        let request = self.requests.get(self.attempts.get(&attempt)?)?;
        request.run().map(|run| run.upstream.clone())
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.keep_house(cx);
        for verdict in self.quota.on_tick(cx) {
            self.on_ruling(cx, verdict);
        }
        for learnt in self.once.on_tick(cx) {
            self.on_learnt(cx, learnt);
        }
        for id in self.suspects.on_tick(cx) {
            self.after_loss(cx, id);
        }
        while let Some(due) = self.timers.first().copied().filter(|due| due.at.is_due(cx.now)) {
            self.timers.remove(&due);
            self.on_due(cx, due.request);
        }
        self.wants.forget_silence(&self.waiting_models(cx));
        self.review_all(cx);
        self.pump(cx);
        if self.is_closed {
            self.refuse_waiting(cx);
        }
    }

    /// Does what needn't be done at every tick, since it looks at all that is remembered.
    fn keep_house(&mut self, cx: &mut Cx<'_>) {
        if !self.house_due.is_due(cx.now) {
            return;
        }
        self.house_due = cx.now.after(HOUSEKEEPING_EVERY);
        self.routes.forget_old(cx.now);
        self.routes.review_listed(cx);
        self.once.forget_old(cx.now);
        self.suspects.forget_old(cx);
        self.wants.renew(cx, &mut self.paces);
        self.budget.note_hosts(cx.now, cx.cache.members().count());
    }

    /// Takes note that upstreams of the host list have changed.
    pub fn on_host_list(&mut self, cx: &mut Cx<'_>, touched: &[UpstreamId]) {
        self.routes.on_host_list(cx, touched);
        self.suspects.on_host_list(cx);
        self.refuse_convicted(cx);
        self.review_all(cx);
        self.pump(cx);
    }

    /// Takes note that a shared key has changed in the cache.
    pub fn on_change(&mut self, cx: &mut Cx<'_>, key: &Key) {
        match key {
            Key::Document | Key::Catalogue => {
                self.refuse_withdrawn(cx);
                self.routes.review_listed(cx);
                self.pump(cx);
            }
            Key::Owner(_) | Key::Homes(_) => self.ask_again(cx, key),
            Key::Member(_) | Key::Power(_) | Key::Once(_) => {}
        }
    }

    /// Takes the result of a call that isn't a write.
    pub fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) {
        if let Some(learnt) = self.once.on_store(cx, call, result) {
            self.on_learnt(cx, learnt);
            self.pump(cx);
        }
    }

    /// Takes the outcome of a write of a [`Key::Once`].
    pub fn on_write(&mut self, cx: &mut Cx<'_>, key: &Key, outcome: &WriteOutcome) {
        let Key::Once(key) = key else { return };
        if let Some(learnt) = self.once.on_write(cx, *key, outcome) {
            self.on_learnt(cx, learnt);
            self.pump(cx);
        }
    }

    /// Takes a peer's message, where it concerns this part.
    pub fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        self.suspects.heard_from(cx.now, from);
        match message {
            PeerMessage::Credit(message) => {
                if let Some(verdict) = self.quota.on_peer(cx, from, message) {
                    self.on_ruling(cx, verdict);
                }
            }
            PeerMessage::View(view) => self.on_view(cx, view),
            PeerMessage::CannotLoad { target, reason, retry_after } => {
                self.on_cannot_load(cx, from, target, reason, *retry_after);
            }
            PeerMessage::Suspects { upstream, incarnation, requests, alone } => {
                self.on_suspects(cx, from, upstream, *incarnation, requests, *alone);
            }
            PeerMessage::SuspectsNoted { requests } => {
                for id in self.suspects.on_noted(from, requests) {
                    self.after_loss(cx, id);
                }
                self.pump(cx);
            }
            PeerMessage::Cleared { request } if self.suspects.clear(*request) => {
                self.requeue_cleared(cx, *request);
            }
            PeerMessage::UpstreamLeaving { upstream } => {
                self.routes.note_leaving(cx.now, upstream);
            }
            _ => {}
        }
    }

    /// Takes note that the process is about to end; requests in progress go on.
    ///
    /// New ones are still taken, since callers keep the answer to the question
    /// which hosts to use for a while.
    pub fn on_shutdown(&mut self, cx: &mut Cx<'_>) {
        self.quota.on_shutdown(cx);
        cx.log_event("serving_drains", self.requests.len(), "requests in progress go on to their end");
    }

    /// Takes note that callers have been sent elsewhere and the process ends soon.
    ///
    /// A request that still waits, for a load perhaps, may wait for longer than
    /// the process is given; its caller would see the connection break and could
    /// not tell whether it had run. Refused now, it is served by another host.
    pub fn on_intake_closed(&mut self, cx: &mut Cx<'_>) {
        self.is_closed = true;
        self.refuse_waiting(cx);
    }

    /// Tells whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.once.is_idle()
    }

    /// Tells what is believed.
    pub fn dump(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        self.dump_entries(cx)
    }

    /// Returns the numbers for the metrics.
    pub fn gauges(&self, _cx: &Cx<'_>) -> Vec<Gauge> {
        self.numbers()
    }

    fn on_due(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let passed = request.arrival.deadline.is_due(cx.now);
        match request.state.clone() {
            State::Recording { until, answer } if passed || until.is_due(cx.now) => {
                self.answer(cx, id, answer);
            }
            State::Releasing { until, refusal } if passed || until.is_due(cx.now) => {
                self.conclude(cx, id, refusal);
            }
            // The peers hear of a suspect before its caller does; that takes but a moment.
            State::Recording { .. } | State::Releasing { .. } | State::TellingPeers => {}
            _ if passed => self.refuse_late(cx, id),
            State::AwaitingCredit { not_before: Some(not_before) } => {
                self.on_credit_due(cx, id, not_before);
            }
            State::Queued | State::QueuedAlone if request.waits_until().is_due(cx.now) => {
                self.refuse_late(cx, id);
            }
            _ => {}
        }
    }

    /// Refuses a request whose deadline has passed.
    fn refuse_late(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let reason = if request.run().is_some() {
            RefusalReason::DeadlinePassedRunning
        } else if request.past == Past::Clean {
            RefusalReason::DeadlinePassed
        } else {
            RefusalReason::UpstreamLost
        };
        self.advance(cx, id, Step::Refuse { reason, retry_after: None });
    }

    /// Removes a request and whatever it holds.
    fn forget(&mut self, cx: &mut Cx<'_>, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.timers.remove(&Due { at: request.arrival.deadline, request: id });
        self.timers.remove(&Due { at: request.arrival.policy.first_byte_deadline, request: id });
        self.suspects.waiting.remove(&queue::Urgency::of(id, &request));
        self.end_alone(cx, id);
        self.settle_credit(cx, id, &request);
        Some(request)
    }
}
