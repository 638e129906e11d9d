//! Admission and queueing of requests, and their dispatch to upstreams.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::{Arrival, Target};
use crate::evidence::{Admission, Suspects};
use crate::id::{RequestId, UpstreamId};
use crate::rules::{RuleInput, ServiceOrder};
use crate::serving::Serving;
use crate::serving::budget::destination;
use crate::serving::disposition::{Disposition, RETRY_AFTER};
use crate::serving::once::{ClaimProgress, LocalUse};
use crate::serving::queue::{Overflow, QueuePosition};
use crate::serving::request::{Due, Isolation, Request, RunHistory, State};
use crate::serving::routing::{Availability, RouteQuery};
use crate::serving::slot_leases::Waiters;
use crate::serving::suspect::SuspectStatus;
use crate::serving::version_pin::VersionPin;
use crate::store::{OnceRecord, OnceState};

/// Factor by which an estimated wait may be exceeded.
///
/// Without a margin, requests are admitted whose answers come around their deadline, many of
/// them just after it, and the work on those is wasted.
const WAIT_ESTIMATE_MARGIN: f64 = 1.5;
/// Retry delay when the queue is full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay for the answer of a request in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay when the key-value service can't be reached.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Serving {
    /// Registers a request and admits or refuses it.
    pub(super) fn arrive(&mut self, cx: &mut Cx<'_>, id: RequestId, arrival: Arrival) {
        if self.requests.contains_key(&id) {
            self.counters.late_events += 1;
            return;
        }
        self.counters.arrived += 1;
        self.budget.record_request(cx.now, &destination(cx, &arrival.target));
        let idle_for = match &arrival.target {
            Target::Model(target) => self.demand.count_arrival(cx.now, target),
            Target::Service(_) => None,
        };
        let rules_result = self.apply_rules(cx, &arrival, idle_for);
        let (deadline, first_byte_deadline) = (arrival.deadline, arrival.policy.first_byte_deadline);
        let order = rules_result.as_ref().map_or(ServiceOrder::default(), |order| *order);
        let order = ServiceOrder(order.0.saturating_add_signed(arrival.policy.order_offset));
        let admission = self.evidence.admission(cx, Suspects::from(&arrival));
        let request = Request::new(arrival, order, cx.now);
        let is_too_late = self.refuses_arrival(cx, &request);
        self.requests.insert(id, request);
        self.timers.insert(Due { at: deadline, request: id });
        self.timers.insert(Due { at: first_byte_deadline, request: id });
        match rules_result {
            Ok(_) if deadline.is_due(cx.now) => self.refuse_late(cx, id),
            Ok(_) if self.is_on_standby => self.refuse_on_arrival(cx, id, RefusalReason::Standby),
            Ok(_) if is_too_late => self.refuse_leaving(cx, id),
            Ok(_) if self.is_stranded => self.refuse_on_arrival(cx, id, RefusalReason::NoUpstream),
            Ok(_) => match admission {
                Admission::Free | Admission::Trial => self.request_credit(cx, id),
                Admission::HeldBack(held) => {
                    let disposition = self.refusal_of(cx, held);
                    self.apply_disposition(cx, id, disposition);
                }
            },
            Err(reason) => {
                self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
            }
        }
    }

    fn refuse_on_arrival(&mut self, cx: &mut Cx<'_>, id: RequestId, reason: RefusalReason) {
        let disposition = Disposition::Refuse { reason, retry_after: Some(RETRY_AFTER) };
        self.apply_disposition(cx, id, disposition);
    }

    /// Returns the order of service for a request, or why the rules refuse it.
    fn apply_rules(
        &self,
        cx: &Cx<'_>,
        arrival: &Arrival,
        idle_for: Option<Duration>,
    ) -> Result<ServiceOrder, RefusalReason> {
        if self.suspects.status(arrival.digest) == SuspectStatus::Convicted {
            return Err(RefusalReason::CrashesUpstreams);
        }
        let mut input = RuleInput {
            caller: Some(&arrival.caller),
            data_centre: Some(&cx.cfg.data_centre),
            at: Some(cx.at),
            idle_for,
            queue: Some(self.queue.len_of(&arrival.target)),
            ..RuleInput::default()
        };
        match &arrival.target {
            Target::Model(target) => {
                input.model = Some(&target.model);
                input.adapter = target.adapter.as_ref();
            }
            Target::Service(service) => input.service = Some(service),
        }
        let outcome = cx.document.rules.decide(&input).outcome;
        outcome.refuse.clone().map_or(Ok(outcome.order), |text| Err(RefusalReason::Rule(text)))
    }

    /// Queues a request that no rule and no limit refuses, after checking its idempotency
    /// key.
    pub(super) fn admit(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        if !self.find_origin(cx, id) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(key) = request.idempotency_key() else { return self.enqueue(cx, id) };
        let digest = request.arrival.digest;
        match self.once_claims.local_use(key, digest) {
            LocalUse::Unknown => {}
            LocalUse::SameRequest => {
                request.history = RunHistory::MayHaveRunElsewhere;
                let disposition = Disposition::Refuse {
                    reason: RefusalReason::KeyInProgress,
                    retry_after: Some(IN_PROGRESS_RETRY_AFTER),
                };
                return self.apply_disposition(cx, id, disposition);
            }
            LocalUse::OtherRequest => {
                let disposition =
                    Disposition::Refuse { reason: RefusalReason::KeyConflict, retry_after: None };
                return self.apply_disposition(cx, id, disposition);
            }
        }
        self.once_claims.register(key, digest, id);
        if self.would_dispatch_now(cx, id) {
            return self.enqueue(cx, id);
        }
        // The request has to wait, so its key is looked up first. If the key was used
        // before, the request ends now, and is not refused as not run later.
        if let Some(request) = self.requests.get_mut(&id) {
            request.set_state(State::LookingUp, cx.now);
            self.once_claims.start_lookup(cx, key);
        }
    }

    /// Reports whether a request would be dispatched immediately.
    fn would_dispatch_now(&self, cx: &mut Cx<'_>, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        self.queue.len_of(&request.arrival.target) == 0
            && self.routes.choose(cx, self.route_query(request)).is_some()
    }

    /// Queues a request, unless the queue is full or the wait would be too long.
    pub(super) fn enqueue(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let position = QueuePosition::of(id, request);
        match self.queue.overflow(&cx.cfg.limits, &request.arrival.caller, position) {
            None => {}
            Some(Overflow::Rejected) => return self.refuse_queue_full(cx, id),
            Some(Overflow::Shed(other)) => self.refuse_queue_full(cx, other),
        }
        if let Some(wait) = self.wait_past_deadline(cx, id) {
            let disposition =
                Disposition::Refuse { reason: RefusalReason::QueueFull, retry_after: Some(wait) };
            return self.apply_disposition(cx, id, disposition);
        }
        self.push_to_queue(cx, id);
    }

    /// Returns the estimated wait if it exceeds the request's deadline.
    fn wait_past_deadline(&self, cx: &Cx<'_>, id: RequestId) -> Option<Duration> {
        let request = self.requests.get(&id)?;
        let target = &request.arrival.target;
        let ahead = self.queue.ahead_of(target, QueuePosition::of(id, request));
        if ahead == 0 {
            return None;
        }
        let wait = self.waits.estimate(target, ahead)?;
        let at_worst = wait.mul_f64(WAIT_ESTIMATE_MARGIN);
        (cx.now.after(at_worst) > request.queue_deadline()).then_some(wait)
    }

    /// Queues a request that has passed admission.
    pub(super) fn push_to_queue(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let target = request.arrival.target.clone();
        if self.suspects.status(request.arrival.digest) == SuspectStatus::Suspect {
            request.set_state(State::QueuedForIsolation, cx.now);
            self.suspects.waiting.insert(QueuePosition::of(id, request));
        } else if request.pin == VersionPin::Any {
            request.set_state(State::Queued, cx.now);
            self.queue.push(id, request);
        } else {
            request.set_state(State::Queued, cx.now);
            self.pinned.insert(QueuePosition::of(id, request));
            self.refuse_unservable_pinned(cx);
            if !self.requests.contains_key(&id) {
                return;
            }
        }
        if self.routes.availability(cx, &target) != Availability::Ready {
            let availability = self.routes.availability(cx, &target);
            cx.log_decision(
                id,
                "request_waits",
                format!("for {} supply={}", target, availability.describe(cx.now)),
            );
        }
        self.refuse_unservable(cx, &target);
        self.dispatch_pinned(cx);
        self.dispatch_target(cx, &target);
        self.dispatch_suspects(cx);
    }

    fn refuse_queue_full(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let disposition = Disposition::Refuse {
            reason: RefusalReason::QueueFull,
            retry_after: Some(QUEUE_FULL_RETRY_AFTER),
        };
        self.apply_disposition(cx, id, disposition);
    }

    /// Dispatches waiting requests to all upstreams with room.
    pub(super) fn dispatch_waiting(&mut self, cx: &mut Cx<'_>) {
        self.dispatch_pinned(cx);
        for target in self.queue.targets() {
            self.dispatch_target(cx, &target);
        }
        self.dispatch_suspects(cx);
        // A suspect's model is lost with the engine that died. If only the queue's
        // targets were requested, nobody would load it again, and the suspect would
        // wait until its time-out although it may be innocent.
        for target in self.suspect_targets() {
            self.ask_owners_for(cx, &target);
        }
        for target in self.pinned_targets().into_iter().chain(self.targets_expecting_retries(cx)) {
            self.ask_owners_for(cx, &target);
        }
        self.request_room_for_bound(cx);
    }

    /// Requests room for the requests that wait outside the queue: suspects, and pinned requests.
    fn request_room_for_bound(&mut self, cx: &mut Cx<'_>) {
        let mut targets = self.suspect_targets();
        targets.extend(self.pinned_targets());
        targets.extend(self.routes.notices.slots.bound_targets());
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            let suspects = self.suspect_targets().iter().filter(|waiting| **waiting == target).count();
            let positions: Vec<RequestId> = self.pinned_for(&target).map(|p| p.due.request).collect();
            let pins: Vec<VersionPin> =
                positions.iter().filter_map(|id| self.requests.get(id)).map(|r| r.pin.clone()).collect();
            let waiting = u32::try_from(suspects + pins.len()).unwrap_or(u32::MAX);
            self.routes.request_room(cx, &Waiters::Bound(target), waiting, |cx, upstream| {
                suspects > 0 || pins.iter().any(|pin| pin.allows_listed(cx, upstream))
            });
        }
    }

    /// Dispatches the waiting requests that a change at one upstream affects.
    ///
    /// Checking every target at each message and each end of a request took a tenth of a
    /// core with a hundred models in demand; the tick checks all of them.
    pub(super) fn dispatch_for_upstream(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        self.dispatch_pinned(cx);
        for target in self.queue.targets() {
            if self.routes.offers(cx, upstream, &target) {
                self.dispatch_target(cx, &target);
            }
        }
        self.dispatch_suspects(cx);
    }

    fn dispatch_target(&mut self, cx: &mut Cx<'_>, target: &Target) {
        while let Some(id) = self.queue.first(target) {
            let Some(request) = self.requests.get(&id) else { break };
            if self.has_waited_too_long(cx, request) {
                self.refuse_queue_full(cx, id);
                continue;
            }
            let Some(upstream) = self.routes.choose(cx, self.route_query(request)) else { break };
            let id = self.best_fit(cx, id, &upstream);
            let Some(request) = self.requests.get(&id) else { break };
            self.queue.take(id, request);
            self.claim_or_send(cx, id, upstream, Isolation::Shared);
        }
        let waiting = self.queue.len_of(target);
        self.routes.request_room(cx, &Waiters::Queued(target.clone()), waiting, |_, _| true);
        self.ask_owners_for(cx, target);
    }

    /// Reports whether waiting has left a request less time than an answer takes.
    ///
    /// The most urgent request is sent first. If one was sent that can't be answered in time, the next one
    /// would wait meanwhile until the same is true of it, and a full service would answer nobody.
    fn has_waited_too_long(&self, cx: &Cx<'_>, request: &Request) -> bool {
        let is_plain =
            matches!(request.arrival.target, Target::Service(_)) && request.arrival.stream.is_none();
        let left = request.arrival.deadline.remaining(cx.now);
        let is_short = || self.waits.mean_time(&request.arrival.target).is_some_and(|mean| left < mean);
        is_plain && !request.passed_on && cx.now.since(request.arrived) > left && is_short()
    }

    /// Builds the routing query for a request.
    ///
    /// A request that was lost before is distributed by its own digest. By their common prefix, all that were
    /// lost with an upstream would go to the same one again, among them the one that crashed it.
    pub(super) fn route_query<'a>(&self, request: &'a Request) -> RouteQuery<'a> {
        let Arrival { target, digest, prefix, .. } = &request.arrival;
        let prefix = prefix.map(|prefix| if self.evidence.has_losses(*digest) { *digest } else { prefix });
        RouteQuery { target, prefix, tried: &request.tried, pin: &request.pin }
    }

    /// Returns one of the next requests whose prompt prefix the upstream probably has
    /// cached, or the first.
    fn best_fit(&self, cx: &Cx<'_>, first: RequestId, upstream: &UpstreamId) -> RequestId {
        let Some(request) = self.requests.get(&first) else { return first };
        if request.arrival.prefix.is_none() || self.is_preferred(cx, first, upstream) {
            return first;
        }
        let others = self.queue.lookahead(&request.arrival.target);
        others.into_iter().find(|id| self.is_preferred(cx, *id, upstream)).unwrap_or(first)
    }

    fn is_preferred(&self, cx: &Cx<'_>, id: RequestId, upstream: &UpstreamId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let untried = !request.tried.contains(upstream);
        untried && self.routes.preferred(cx, self.route_query(request)).as_ref() == Some(upstream)
    }

    /// Sends a request, after claiming its key if it may run only once.
    pub(super) fn claim_or_send(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        upstream: UpstreamId,
        isolation: Isolation,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.routes.notices.limits.use_permit(cx.now, &upstream);
        match request.idempotency_key() {
            Some(key) if !self.once_claims.holds(key) => {
                self.routes.occupy_slot(&upstream);
                request.set_state(State::Claiming { upstream, isolation }, cx.now);
                self.once_claims.claim(cx, key);
            }
            _ => self.apply_disposition(cx, id, Disposition::Send { upstream, isolation }),
        }
    }

    /// Continues or refuses a request according to the progress of its idempotency key's claim.
    pub(super) fn on_claim_progress(&mut self, cx: &mut Cx<'_>, progress: ClaimProgress) {
        match progress {
            ClaimProgress::Unused(id) => self.enqueue(cx, id),
            ClaimProgress::Claimed(id) => self.on_claimed(cx, id),
            ClaimProgress::Used { request, found } => self.on_used(cx, request, found),
            ClaimProgress::Unreachable(id) => {
                let reason = RefusalReason::StoreUnreachable;
                self.apply_disposition(
                    cx,
                    id,
                    Disposition::Refuse { reason, retry_after: Some(STORE_RETRY_AFTER) },
                );
            }
            ClaimProgress::Recorded(id) => {
                if let Some(State::RecordingAnswer { answer, .. }) =
                    self.requests.get(&id).map(|r| r.state.clone())
                {
                    self.finish_with_answer(cx, id, answer);
                }
            }
            ClaimProgress::Released(id) => {
                if let Some(State::ReleasingClaim { refusal, .. }) =
                    self.requests.get(&id).map(|r| r.state.clone())
                {
                    self.finish_refused(cx, id, refusal);
                }
            }
        }
    }

    fn on_claimed(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let State::Claiming { upstream, isolation } = request.state.clone() else { return };
        if request.arrival.deadline.is_due(cx.now) {
            return self.refuse_late(cx, id);
        }
        let suspect = self.suspects.status(request.arrival.digest);
        let can_proceed = match suspect {
            SuspectStatus::Unsuspected => self.routes.is_candidate(cx, &request.arrival.target, &upstream),
            SuspectStatus::Suspect => {
                let still_held = self.suspects.isolated.as_ref().is_some_and(|run| run.request == id);
                still_held && self.routes.is_isolation_candidate(cx, &request.arrival.target, &upstream)
            }
            SuspectStatus::Convicted => {
                let reason = RefusalReason::CrashesUpstreams;
                return self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
            }
        };
        if can_proceed {
            return self.apply_disposition(cx, id, Disposition::Send { upstream, isolation });
        }
        self.routes.release_slot(cx.now, &upstream);
        self.end_isolation(cx, id);
        self.push_to_queue(cx, id);
    }

    fn on_used(&mut self, cx: &mut Cx<'_>, id: RequestId, found: OnceRecord) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(upstream) = request.occupied_upstream() {
            self.routes.release_slot(cx.now, &upstream.clone());
            request.set_state(State::LookingUp, cx.now);
        }
        if found.request != request.arrival.digest {
            let disposition = Disposition::Refuse { reason: RefusalReason::KeyConflict, retry_after: None };
            return self.apply_disposition(cx, id, disposition);
        }
        request.history = RunHistory::MayHaveRunElsewhere;
        let own = found.host == cx.cfg.host;
        let alive = cx.cache.member(&found.host).is_some_and(|m| m.incarnation == found.incarnation);
        let (reason, retry_after) = match found.state {
            OnceState::Answered(answer) => return self.finish_with_answer(cx, id, answer),
            OnceState::AnswerNotKept => (RefusalReason::AnswerNotKept, None),
            OnceState::Claimed if alive && !own => {
                (RefusalReason::KeyInProgress, Some(IN_PROGRESS_RETRY_AFTER))
            }
            // The process that claimed the key has ended, or is this one, where no request
            // with this key is in progress.
            OnceState::Claimed => (RefusalReason::KeyInDoubt, None),
        };
        self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after });
    }
}
