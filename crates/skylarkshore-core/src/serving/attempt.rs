//! The end of an attempt: retry, refusal or answer.

use std::time::Duration;

use crate::config::SuspectPolicy;
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::effect::{Effect, RefusalReason};
use crate::event::{AttemptOutcome, Rejection, Target};
use crate::evidence::{SentTo, Suspects};
use crate::id::{AttemptId, Digest, HostId, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::Serving;
use crate::serving::budget::Destination;
use crate::serving::budget::destination;
use crate::serving::disposition::{Disposition, RETRY_AFTER};
use crate::serving::request::{Caller, Due, Isolation, Run, RunHistory, State};
use crate::serving::routing::Availability;
use crate::serving::suspect::SuspectStatus;
use crate::store::RecordedAnswer;

/// Longest time that an answer is withheld from its caller until it is recorded under its
/// idempotency key.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);

/// What another attempt costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryCost {
    /// Nothing under any budget: no upstream received the request.
    Unsent,
    /// Nothing: the upstream stated that it did nothing, and why.
    Free,
    /// One retry from the budget.
    Retry,
}

impl Serving {
    /// Handles the end of an attempt.
    ///
    /// An attempt that was cancelled, or whose end is reported twice, is no longer in the
    /// table, so a late answer can't reach another request's caller.
    pub(super) fn end_attempt(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, end: AttemptOutcome) {
        let Some(id) = self.attempts.remove(&attempt) else {
            self.counters.late_events += 1;
            return;
        };
        let Some(request) = self.requests.get(&id) else { return };
        let Some(run) = request.run().cloned() else { return };
        if matches!(end, AttemptOutcome::Lost { died: false, .. }) {
            self.routes.notices.slots.on_cancelled(cx.now, &run.upstream);
        }
        self.routes.release_slot(cx.now, &run.upstream);
        let never_ran =
            matches!(end, AttemptOutcome::NotSent | AttemptOutcome::NoPath | AttemptOutcome::Rejected(_));
        if !never_ran {
            self.routes.notices.slots.on_run_ended(cx.now, &run.upstream, cx.now.since(run.sent));
        }
        if !matches!(
            end,
            AttemptOutcome::Completed { .. }
                | AttemptOutcome::CompletedUnframed
                | AttemptOutcome::ForwardedFailure
                | AttemptOutcome::CompletedTooLarge
        ) {
            let after = cx.now.since(run.sent).as_millis();
            let incarnation = run.incarnation.map_or_else(|| "unknown".to_owned(), |own| own.to_string());
            let detail = format!(
                "upstream={} incarnation={incarnation} after_ms={after} end={} digest={} parts={}",
                run.upstream,
                end.label(),
                request.arrival.digest,
                request.arrival.part_labels()
            );
            cx.log_decision(id, "request_not_answered", detail);
        }
        let answered = matches!(
            end,
            AttemptOutcome::Completed { .. }
                | AttemptOutcome::CompletedUnframed
                | AttemptOutcome::ForwardedFailure
                | AttemptOutcome::CompletedTooLarge
                | AttemptOutcome::CompletedWithFailure
        );
        self.waits.record_ended(cx.now, &request.arrival.target, answered.then(|| cx.now.since(run.sent)));
        if answered {
            let destination = destination(cx, &request.arrival.target);
            self.run_times.record(cx.now, destination, cx.now.since(run.sent));
            self.evidence.on_alive(cx, &SentTo::from(&run));
        }
        self.record_answer(cx, id, &run, &end);
        match end {
            AttemptOutcome::Completed { held } => self.on_completed(cx, id, &run.upstream, held),
            AttemptOutcome::CompletedUnframed
            | AttemptOutcome::ForwardedFailure
            | AttemptOutcome::CompletedTooLarge => {
                self.on_completed(cx, id, &run.upstream, None);
            }
            AttemptOutcome::CompletedWithFailure => self.on_failure_answer(cx, id, &run.upstream),
            AttemptOutcome::NotSent => {
                self.end_unsent_trial(id, &run);
                self.on_not_sent(cx, id, &run.upstream);
            }
            AttemptOutcome::NoPath => {
                self.end_unsent_trial(id, &run);
                self.on_no_path(cx, id);
            }
            AttemptOutcome::Rejected(rejection) => self.on_rejected(cx, id, &run.upstream, rejection),
            AttemptOutcome::Lost { passed_on, died } => self.on_lost(cx, id, &run, passed_on, died),
        }
    }

    /// Records what the end of an answer says of its request's suspects.
    fn record_answer(&mut self, cx: &mut Cx<'_>, id: RequestId, run: &Run, end: &AttemptOutcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let suspects = Suspects::from(&request.arrival);
        match end {
            AttemptOutcome::Completed { .. } | AttemptOutcome::CompletedTooLarge => {
                self.evidence.on_answered(cx, suspects);
            }
            AttemptOutcome::CompletedUnframed => {
                self.evidence.on_answered_unframed(cx.now, suspects, &SentTo::from(run));
            }
            _ => {}
        }
    }

    fn on_completed(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        upstream: &UpstreamId,
        held_answer: Option<RecordedAnswer>,
    ) {
        self.routes.clear_backoff(upstream);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let digest = request.arrival.digest;
        let key = request.idempotency_key();
        let cleared = self.suspects.clear(digest);
        if let Some(key) = key {
            self.once_claims.record(cx, key, held_answer.clone());
        }
        match (key, held_answer) {
            (Some(_), Some(answer)) => {
                let timeout_at = cx.now.after(RECORD_TIMEOUT);
                request.set_state(State::RecordingAnswer { timeout_at, answer }, cx.now);
                self.timers.insert(Due { at: timeout_at, request: id });
                self.end_isolation(cx, id);
            }
            _ => self.finish_forwarded(cx, id),
        }
        if cleared {
            broadcast_via_relay(cx, &PeerMessage::Cleared { request: digest });
            self.requeue_cleared(cx, digest);
        }
    }

    /// Retries a request whose upstream returned a failure, or forwards the failure.
    fn on_failure_answer(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        request.holds_failure = true;
        request.history = RunHistory::MayHaveRun;
        self.record_failure(cx, id, upstream);
        self.retry(cx, id, RetryCost::Retry);
    }

    /// Sends a request again that a peer didn't relay; the next one is sent through another.
    fn on_no_path(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        self.end_isolation(cx, id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.set_state(State::Queued, cx.now);
        }
        self.retry(cx, id, RetryCost::Unsent);
    }

    fn on_not_sent(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        self.routes.back_off(cx, upstream);
        if let Some(owner) = owner_of(cx, upstream) {
            cx.send(&owner, PeerMessage::UpstreamUnreachable { upstream: upstream.clone() });
        }
        let is_model = self.requests.get(&id).is_some_and(|r| matches!(r.arrival.target, Target::Model(_)));
        if is_model {
            // The engine backs off here, and its owner will publish the state of
            // the model. If this counted as a failure, a restarting engine would
            // exhaust the attempts of a request within moments although its
            // deadline is far away.
            self.reset_for_retry(cx, id, upstream);
            return self.retry(cx, id, RetryCost::Free);
        }
        self.record_failure(cx, id, upstream);
        self.retry(cx, id, RetryCost::Retry);
    }

    fn on_rejected(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId, rejection: Rejection) {
        let Some(request) = self.requests.get(&id) else { return };
        match (rejection, request.arrival.target.clone()) {
            (Rejection::NotLoaded, Target::Model(target)) => {
                // The model was unloaded after its owner last published a view.
                // This is normal for rarely used models and costs no retry.
                self.routes.record_missing(cx, upstream, &target);
                self.record_failure(cx, id, upstream);
                return self.retry(cx, id, RetryCost::Free);
            }
            (Rejection::NotLoaded, Target::Service(_)) => {
                self.routes.back_off(cx, upstream);
                self.record_failure(cx, id, upstream);
            }
            // A busy upstream is back-pressure, not a failure: the request waits as
            // it would have if the upstream's load had been known.
            (Rejection::Busy, _) => {
                // A rest that the upstream has asked for takes the place of a backoff.
                if self.routes.notices.rests.end(cx.now, upstream).is_none() {
                    self.routes.back_off(cx, upstream);
                }
                self.routes.notices.slots.on_rejected(cx, upstream);
                self.reset_for_retry(cx, id, upstream);
                return self.retry(cx, id, RetryCost::Free);
            }
            // The host list will show what runs at the address now.
            (Rejection::Replaced, _) => {
                self.routes.back_off(cx, upstream);
                self.record_failure(cx, id, upstream);
                return self.retry(cx, id, RetryCost::Free);
            }
            (Rejection::Leaving, _) => {
                self.routes.notices.leaving.record(cx, upstream);
                self.record_failure(cx, id, upstream);
                return self.retry(cx, id, RetryCost::Free);
            }
        }
        self.retry(cx, id, RetryCost::Retry);
    }

    fn on_lost(&mut self, cx: &mut Cx<'_>, id: RequestId, run: &Run, passed_on: bool, died: bool) {
        if died && cx.cfg.limits.suspects == SuspectPolicy::CountEnds {
            // This comes before the check whether the upstream is leaving: the host list may
            // already have dropped an upstream that the request crashed.
            self.record_loss(cx, id, run);
        }
        if !died {
            self.note_unfinished(cx, id, run);
        }
        // A reclaimed host takes its upstream with it, which is no request's fault. If
        // all its requests became suspects, each would wait for an engine of its own.
        let crashed = died && !self.routes.is_leaving(cx, &run.upstream);
        let others = if crashed { self.digests_at(&run.upstream) } else { Vec::new() };
        let out_of_time = self.requests.get(&id).is_some_and(|r| r.arrival.deadline.is_due(cx.now));
        if crashed || !out_of_time {
            self.routes.back_off(cx, &run.upstream);
        }
        self.record_failure(cx, id, &run.upstream);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if passed_on {
            request.pin_to(run);
        }
        request.passed_on |= passed_on;
        request.runs += 1;
        request.history = if crashed && run.isolation == Isolation::Exclusive {
            RunHistory::Crashed
        } else {
            RunHistory::MayHaveRun
        };
        if !crashed || cx.cfg.limits.suspects == SuspectPolicy::CountEnds {
            return self.retry_or_refuse_lost(cx, id);
        }
        request.set_state(State::NotifyingPeers, cx.now);
        let digest = request.arrival.digest;
        if let Some(owner) = owner_of(cx, &run.upstream) {
            cx.send(&owner, PeerMessage::UpstreamUnreachable { upstream: run.upstream.clone() });
        }
        if run.isolation == Isolation::Exclusive || !self.suspects.join_notice(&run.upstream, digest, id) {
            let mut digests = others;
            digests.push(digest);
            digests.sort_unstable();
            digests.dedup();
            self.suspects.notify_peers(cx, &run.upstream, digests, run.isolation, id);
        }
        self.refuse_convicted(cx);
        self.isolate_suspects(cx);
        for notified in self.suspects.take_notified(cx.now) {
            self.retry_or_refuse_lost(cx, notified);
        }
    }

    /// Retries or refuses a request whose attempt was lost.
    ///
    /// Under `RunAlone`, a request whose upstream crashed gets here only after the peers were
    /// notified.
    pub(super) fn retry_or_refuse_lost(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let digest = request.arrival.digest;
        let convicted = self.suspects.status(digest) == SuspectStatus::Convicted;
        let refusal = if convicted {
            Some(RefusalReason::CrashesUpstreams)
        } else {
            self.refusal_after_loss(cx, request)
        };
        let Some(reason) = refusal else { return self.retry(cx, id, RetryCost::Retry) };
        self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
        self.refuse_convicted(cx);
        self.refuse_held_back(cx);
    }

    /// Requeues a request whose attempt ended without an answer, or refuses it.
    fn retry(&mut self, cx: &mut Cx<'_>, id: RequestId, cost: RetryCost) {
        let Some(request) = self.requests.get(&id) else { return };
        let lost = request.history != RunHistory::NeverRan;
        let holds_failure = request.holds_failure;
        let destination = destination(cx, &request.arrival.target);
        let is_charged = match cost {
            RetryCost::Unsent => false,
            RetryCost::Free => self.budget.charges_every_retry(),
            RetryCost::Retry => true,
        };
        if request.queue_deadline().is_due(cx.now) {
            let reason =
                if lost { RefusalReason::DeadlinePassedRunning } else { RefusalReason::DeadlinePassed };
            return self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
        }
        let may_retry = request.caller == Caller::Waiting
            && request.may_be_sent()
            && (!request.passed_on || request.can_resume())
            && request.failures < cx.cfg.limits.attempts
            && request.runs < request.arrival.policy.max_runs;
        if may_retry && (!is_charged || self.spend_retry(cx, id, &destination)) {
            self.counters.retries += 1;
            return self.push_to_queue(cx, id);
        }
        if holds_failure {
            cx.push(Effect::ForwardHeldAnswer { request: id });
            return self.finish_forwarded(cx, id);
        }
        let disposition = self.refusal_without_retry(cx, id, lost);
        self.apply_disposition(cx, id, disposition);
    }

    /// Returns how a request is refused that may not be sent again.
    fn refusal_without_retry(&self, cx: &Cx<'_>, id: RequestId, lost: bool) -> Disposition {
        if lost {
            return Disposition::Refuse { reason: RefusalReason::UpstreamLost, retry_after: None };
        }
        let target = self.requests.get(&id).map(|request| &request.arrival.target);
        let availability = target.map(|target| self.routes.availability(cx, target));
        if let Some(Availability::Resting { until }) = availability {
            let retry_after = Some(until.remaining(cx.now));
            return Disposition::Refuse { reason: RefusalReason::UpstreamsAtRest, retry_after };
        }
        Disposition::Refuse { reason: RefusalReason::NoUpstream, retry_after: Some(RETRY_AFTER) }
    }

    /// Takes a retry from the budget, if it allows one.
    fn spend_retry(&mut self, cx: &mut Cx<'_>, id: RequestId, destination: &Destination) -> bool {
        let is_granted = self.budget.try_spend(cx.now, destination);
        let event = if is_granted { "retry_granted" } else { "retry_denied" };
        cx.log_decision(id, event, self.budget.describe(destination));
        if is_granted && let Some(request) = self.requests.get_mut(&id) {
            request.unsent_retry = Some(destination.clone());
        }
        is_granted
    }

    /// Ends the isolation of a request whose attempt has ended, and marks the upstream as tried.
    ///
    /// The request isn't in the queue yet: [`Serving::retry`] puts it there or refuses it.
    fn reset_for_retry(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        self.end_isolation(cx, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tried.insert(upstream.clone());
        request.set_state(State::Queued, cx.now);
    }

    /// Does the same for an attempt that counts as a failure.
    fn record_failure(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        self.reset_for_retry(cx, id, upstream);
        if let Some(request) = self.requests.get_mut(&id) {
            request.failures += 1;
        }
    }

    /// Returns the digests of the requests in progress at an upstream.
    fn digests_at(&self, upstream: &UpstreamId) -> Vec<Digest> {
        let here = self.requests.values().filter(|r| r.run().is_some_and(|run| run.upstream == *upstream));
        here.map(|r| r.arrival.digest).collect()
    }
}

/// Returns the owner of an engine.
pub(super) fn owner_of(cx: &Cx<'_>, upstream: &UpstreamId) -> Option<HostId> {
    cx.cache.owner(upstream).map(|(_, record)| record.host.clone())
}
