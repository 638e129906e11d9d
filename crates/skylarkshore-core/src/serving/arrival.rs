//! How requests come in, wait and get their turn.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::{Arrival, Target};
use crate::id::{RequestId, UpstreamId};
use crate::rules::{RuleInput, ServiceOrder};
use crate::serving::Serving;
use crate::serving::budget::Destination;
use crate::serving::decide::Step;
use crate::serving::once::{Here, Learnt};
use crate::serving::queue::{Overflow, Urgency};
use crate::serving::request::{Company, Due, Past, Request, State};
use crate::serving::routing::{Prospect, Wish};
use crate::serving::suspect::Standing;
use crate::store::{OnceRecord, OnceState};

/// How much longer than estimated a wait may be.
///
/// Requests that are let in up to the last moment are answered around their
/// deadline, many of them just after it, and the work on those is lost.
const ESTIMATE_MARGIN: f64 = 1.5;
/// When to come back after the queue was full.
const QUEUE_RETRY: Duration = Duration::from_secs(1);
/// When to ask again for the answer of a request in progress.
const PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// When to come back after the key-value service couldn't be reached.
const STORE_RETRY: Duration = Duration::from_secs(2);

impl Serving {
    /// Takes a request in.
    pub(super) fn arrive(&mut self, cx: &mut Cx<'_>, id: RequestId, arrival: Arrival) {
        if self.requests.contains_key(&id) {
            self.tally.late += 1;
            return;
        }
        self.tally.arrived += 1;
        self.budget.earn(cx.now, &destination(cx, &arrival.target));
        let idle_for = match &arrival.target {
            Target::Model(target) => self.wants.count_arrival(cx.now, target),
            Target::Service(_) => None,
        };
        let verdict = self.judge(cx, &arrival, idle_for);
        let (deadline, begins_by) = (arrival.deadline, arrival.policy.first_byte_deadline);
        let order = verdict.as_ref().map_or(ServiceOrder::default(), |order| *order);
        let order = ServiceOrder(order.0.saturating_add_signed(arrival.policy.order_offset));
        self.requests.insert(id, Request::new(arrival, order, cx.now));
        self.timers.insert(Due { at: deadline, request: id });
        self.timers.insert(Due { at: begins_by, request: id });
        match verdict {
            Ok(_) if deadline.is_due(cx.now) => self.refuse_late(cx, id),
            Ok(_) => self.ask_credit(cx, id),
            Err(reason) => self.advance(cx, id, Step::Refuse { reason, retry_after: None }),
        }
    }

    /// Finds the order of service for a request, or why it is refused.
    fn judge(
        &self,
        cx: &Cx<'_>,
        arrival: &Arrival,
        idle_for: Option<Duration>,
    ) -> Result<ServiceOrder, RefusalReason> {
        if self.suspects.standing(arrival.digest) == Standing::Convicted {
            return Err(RefusalReason::CrashesUpstreams);
        }
        let mut facts = RuleInput {
            caller: Some(&arrival.caller),
            data_centre: Some(&cx.cfg.data_centre),
            at: Some(cx.at),
            idle_for,
            queue: Some(self.queue.len_of(&arrival.target)),
            ..RuleInput::default()
        };
        match &arrival.target {
            Target::Model(target) => {
                facts.model = Some(&target.model);
                facts.adapter = target.adapter.as_ref();
            }
            Target::Service(service) => facts.service = Some(service),
        }
        let outcome = cx.document.rules.decide(&facts).outcome;
        outcome.refuse.clone().map_or(Ok(outcome.order), |words| Err(RefusalReason::Rule(words)))
    }

    /// Takes in a request that no rule and no limit refuses.
    pub(super) fn admit(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(key) = request.once_key() else { return self.enqueue(cx, id) };
        let digest = request.arrival.digest;
        match self.once.here(key, digest) {
            Here::Unknown => {}
            Here::SameRequest => {
                request.past = Past::Elsewhere;
                let step =
                    Step::Refuse { reason: RefusalReason::KeyInProgress, retry_after: Some(PROGRESS_RETRY) };
                return self.advance(cx, id, step);
            }
            Here::OtherRequest => {
                let step = Step::Refuse { reason: RefusalReason::KeyConflict, retry_after: None };
                return self.advance(cx, id, step);
            }
        }
        self.once.begin(key, digest, id);
        if self.is_next(cx, id) {
            return self.enqueue(cx, id);
        }
        // It has to wait. If its key was used before, it needn't, and must not
        // be refused as not run later on.
        if let Some(request) = self.requests.get_mut(&id) {
            request.enter(State::LookingUp, cx.now);
            self.once.look_up(cx, key);
        }
    }

    /// Tells whether a request would be started at once.
    fn is_next(&self, cx: &mut Cx<'_>, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        self.queue.len_of(&request.arrival.target) == 0 && self.routes.choose(cx, wish(request)).is_some()
    }

    /// Queues a request, unless there is no room or no prospect for it.
    pub(super) fn enqueue(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let urgency = Urgency::of(id, request);
        match self.queue.overflow(&cx.cfg.limits, &request.arrival.caller, urgency) {
            None => {}
            Some(Overflow::Itself) => return self.refuse_for_room(cx, id),
            Some(Overflow::Shed(other)) => self.refuse_for_room(cx, other),
        }
        if let Some(wait) = self.too_long(cx, id) {
            let step = Step::Refuse { reason: RefusalReason::QueueFull, retry_after: Some(wait) };
            return self.advance(cx, id, step);
        }
        self.wait(cx, id);
    }

    /// Returns how long a request would have to wait, if that is past its deadline.
    fn too_long(&self, cx: &Cx<'_>, id: RequestId) -> Option<Duration> {
        let request = self.requests.get(&id)?;
        let target = &request.arrival.target;
        let ahead = self.queue.ahead_of(target, Urgency::of(id, request));
        if ahead == 0 {
            return None;
        }
        let wait = self.paces.estimate(target, ahead)?;
        let at_worst = wait.mul_f64(ESTIMATE_MARGIN);
        (cx.now.after(at_worst) > request.waits_until()).then_some(wait)
    }

    /// Queues a request that was let in before.
    pub(super) fn wait(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let target = request.arrival.target.clone();
        if self.suspects.standing(request.arrival.digest) == Standing::Suspect {
            request.enter(State::QueuedAlone, cx.now);
            self.suspects.waiting.insert(Urgency::of(id, request));
        } else {
            request.enter(State::Queued, cx.now);
            self.queue.push(id, request);
        }
        if self.routes.prospect(cx, &target) != Prospect::Ready {
            let prospect = self.routes.prospect(cx, &target);
            cx.log_decision(
                id,
                "request_waits",
                format!("for {} supply={}", target, prospect.describe(cx.now)),
            );
        }
        self.review(cx, &target);
        self.pump_target(cx, &target);
        self.pump_alone(cx);
    }

    fn refuse_for_room(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let step = Step::Refuse { reason: RefusalReason::QueueFull, retry_after: Some(QUEUE_RETRY) };
        self.advance(cx, id, step);
    }

    /// Gives every waiting request its turn for which there is room.
    pub(super) fn pump(&mut self, cx: &mut Cx<'_>) {
        for target in self.queue.targets() {
            self.pump_target(cx, &target);
        }
        self.pump_alone(cx);
        // A suspect's model goes with the engine that died. Were only the queue's
        // targets asked for, nobody would load it again, and the suspect would wait
        // until its time-out although it may be innocent.
        for target in self.alone_targets() {
            self.ask_for(cx, &target);
        }
        for target in self.returning_targets(cx) {
            self.ask_for(cx, &target);
        }
    }

    /// Sends the waiting requests that a change at one upstream concerns.
    ///
    /// Looking at every target at each message or end of a request took a tenth of
    /// a core when a hundred models were asked for at once; the tick looks at all.
    pub(super) fn pump_at(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        for target in self.queue.targets() {
            if self.routes.concerns(cx, upstream, &target) {
                self.pump_target(cx, &target);
            }
        }
        self.pump_alone(cx);
    }

    fn pump_target(&mut self, cx: &mut Cx<'_>, target: &Target) {
        while let Some(id) = self.queue.first(target) {
            let Some(request) = self.requests.get(&id) else { break };
            let Some(upstream) = self.routes.choose(cx, wish(request)) else { break };
            let id = self.best_fit(cx, id, &upstream);
            let Some(request) = self.requests.get(&id) else { break };
            self.queue.take(id, request);
            self.start(cx, id, upstream, Company::Others);
        }
        self.ask_for(cx, target);
    }

    /// Finds among the next requests one whose prompt's beginning the free upstream probably knows.
    fn best_fit(&self, cx: &Cx<'_>, first: RequestId, upstream: &UpstreamId) -> RequestId {
        let Some(request) = self.requests.get(&first) else { return first };
        if request.arrival.prefix.is_none() || self.prefers(cx, first, upstream) {
            return first;
        }
        let others = self.queue.may_go_first(&request.arrival.target);
        others.into_iter().find(|id| self.prefers(cx, *id, upstream)).unwrap_or(first)
    }

    fn prefers(&self, cx: &Cx<'_>, id: RequestId, upstream: &UpstreamId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let untried = !request.tried.contains(upstream);
        untried && self.routes.preferred(cx, wish(request)).as_ref() == Some(upstream)
    }

    /// Sends a request, after its key is claimed if it may not be repeated.
    pub(super) fn start(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: UpstreamId, company: Company) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.once_key() {
            Some(key) if !self.once.holds(key) => {
                self.routes.occupy(&upstream);
                request.enter(State::Claiming { run: upstream, company }, cx.now);
                self.once.claim(cx, key);
            }
            _ => self.advance(cx, id, Step::Send { upstream, company }),
        }
    }

    /// Takes what a request has learnt of its idempotency key.
    pub(super) fn on_learnt(&mut self, cx: &mut Cx<'_>, learnt: Learnt) {
        match learnt {
            Learnt::Unused(id) => self.enqueue(cx, id),
            Learnt::Claimed(id) => self.on_claimed(cx, id),
            Learnt::Used { request, found } => self.on_used(cx, request, found),
            Learnt::Unreachable(id) => {
                let reason = RefusalReason::StoreUnreachable;
                self.advance(cx, id, Step::Refuse { reason, retry_after: Some(STORE_RETRY) });
            }
            Learnt::Recorded(id) => {
                if let Some(State::Recording { answer, .. }) = self.requests.get(&id).map(|r| r.state.clone())
                {
                    self.answer(cx, id, answer);
                }
            }
            Learnt::Released(id) => {
                if let Some(State::Releasing { refusal, .. }) =
                    self.requests.get(&id).map(|r| r.state.clone())
                {
                    self.conclude(cx, id, refusal);
                }
            }
        }
    }

    fn on_claimed(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let State::Claiming { run, company } = request.state.clone() else { return };
        if request.arrival.deadline.is_due(cx.now) {
            return self.refuse_late(cx, id);
        }
        let suspect = self.suspects.standing(request.arrival.digest);
        let goes_on = match suspect {
            Standing::Free => self.routes.fits(cx, &request.arrival.target, &run),
            Standing::Suspect => {
                let kept = self.suspects.alone.as_ref().is_some_and(|alone| alone.request == id);
                kept && self.routes.fits_alone(cx, &request.arrival.target, &run)
            }
            Standing::Convicted => {
                let reason = RefusalReason::CrashesUpstreams;
                return self.advance(cx, id, Step::Refuse { reason, retry_after: None });
            }
        };
        if goes_on {
            return self.advance(cx, id, Step::Send { upstream: run, company });
        }
        self.routes.free(&run);
        self.end_alone(cx, id);
        self.wait(cx, id);
    }

    fn on_used(&mut self, cx: &mut Cx<'_>, id: RequestId, found: OnceRecord) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(place) = request.place() {
            self.routes.free(&place.clone());
            request.enter(State::LookingUp, cx.now);
        }
        if found.request != request.arrival.digest {
            let step = Step::Refuse { reason: RefusalReason::KeyConflict, retry_after: None };
            return self.advance(cx, id, step);
        }
        request.past = Past::Elsewhere;
        let own = found.host == cx.cfg.host;
        let alive = cx.cache.member(&found.host).is_some_and(|m| m.incarnation == found.incarnation);
        let (reason, retry_after) = match found.state {
            OnceState::Answered(answer) => return self.answer(cx, id, answer),
            OnceState::AnswerNotKept => (RefusalReason::AnswerNotKept, None),
            OnceState::Claimed if alive && !own => (RefusalReason::KeyInProgress, Some(PROGRESS_RETRY)),
            OnceState::Claimed => (RefusalReason::KeyInDoubt, None),
        };
        self.advance(cx, id, Step::Refuse { reason, retry_after });
    }
}

/// Returns whose budget retries of a target draw on.
pub(super) fn destination(cx: &Cx<'_>, target: &Target) -> Destination {
    match target {
        Target::Service(service) => Some(service.clone()),
        Target::Model(target) => cx.document.catalogue.models.get(&target.model)?.pool.clone(),
    }
}

/// Returns what a request asks of routing.
const fn wish(request: &Request) -> Wish<'_> {
    Wish { target: &request.arrival.target, prefix: request.arrival.prefix, tried: &request.tried }
}
