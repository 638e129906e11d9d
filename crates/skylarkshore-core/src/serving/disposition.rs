//! Sends, refuses and finishes requests.
//!
//! [`Serving::apply_disposition`] is the only place that decides between sending and refusing.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::{Effect, Refusal, RefusalOutcome, RefusalReason};
use crate::event::{Repeat, StreamPart};
use crate::evidence::{Admission, Suspects};
use crate::id::{RequestId, UpstreamId};
use crate::serving::Serving;
use crate::serving::queue::QueuePosition;
use crate::serving::request::{Caller, Due, Isolation, Run, RunHistory, State};
use crate::store::RecordedAnswer;

/// Retry delay after all attempts have failed, or without an upstream.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a refusal waits for its claim to be released.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// What to do with a request next.
#[derive(Clone, Debug)]
pub(super) enum Disposition {
    /// Send it to an upstream.
    Send {
        /// The upstream, whose slot the request occupies.
        upstream: UpstreamId,
        /// Whether other requests may run there at the same time.
        isolation: Isolation,
    },
    /// Refuse it for good.
    Refuse {
        /// The reason given to the caller.
        reason: RefusalReason,
        /// When the caller should retry, if a retry can help.
        retry_after: Option<Duration>,
    },
}

impl Serving {
    /// Sends a request or refuses it; a request that must not run again is refused in either case.
    ///
    /// If this were decided in two places, a deadline that passes while a claim's answer is
    /// in flight could refuse a request as not run, and the answer could then send it: a
    /// booking would be made after its caller was told that it was not.
    pub(super) fn apply_disposition(&mut self, cx: &mut Cx<'_>, id: RequestId, disposition: Disposition) {
        let Some(request) = self.requests.get(&id) else { return };
        match disposition {
            Disposition::Send { upstream, isolation } if request.may_be_sent() => {
                self.send_if_admitted(cx, id, upstream, isolation);
            }
            Disposition::Send { .. } => self.refuse(cx, id, RefusalReason::UpstreamLost, None),
            Disposition::Refuse { reason, retry_after } => self.refuse(cx, id, reason, retry_after),
        }
    }

    fn send_if_admitted(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        upstream: UpstreamId,
        isolation: Isolation,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.passed_on && !self.can_finish(cx, request) {
            return self.refuse_leaving(cx, id);
        }
        let suspects = Suspects::from(&request.arrival);
        match self.evidence.admission(cx, suspects) {
            Admission::Free => self.send(cx, id, upstream, isolation, false),
            Admission::Trial if !self.links.is_sound(&upstream) => {
                cx.log_decision(id, "trial_put_off", format!("upstream={upstream} its link is doubtful"));
                let reason = RefusalReason::MayCrashUpstreams;
                self.refuse(cx, id, reason, Some(RETRY_AFTER));
            }
            Admission::Trial => {
                self.evidence.begin_trial(cx, suspects, &upstream);
                self.send(cx, id, upstream, isolation, true);
            }
            Admission::HeldBack(held) => {
                let disposition = self.refusal_of(cx, held);
                self.apply_disposition(cx, id, disposition);
            }
        }
    }

    fn send(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        upstream: UpstreamId,
        isolation: Isolation,
        is_trial: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.occupied_upstream() != Some(&upstream) {
            self.routes.occupy_slot(&upstream);
        }
        if let Some(destination) = request.unsent_retry.take() {
            self.budget.record_sent(&destination);
        }
        let attempt = cx.next_attempt();
        let waited = cx.now.since(request.arrived).as_millis();
        let load = self.routes.load_summary(cx, &upstream);
        let detail = format!(
            "upstream={upstream} attempt={attempt} runs={} account={} waited_ms={waited} queued_ms={} {load}",
            request.runs,
            request.account(),
            cx.now.since(request.since).as_millis()
        );
        cx.log_decision(id, "request_sent", detail);
        cx.push(Effect::Send {
            request: id,
            attempt,
            upstream: upstream.clone(),
            deadline: request.arrival.deadline,
            order: request.order,
            resume: request.passed_on,
            hold: request.idempotency_key().is_some(),
            once: request.arrival.repeat != Repeat::Allowed,
            keep_failure: request.arrival.repeat == Repeat::Allowed
                && !request.passed_on
                && request.runs + 1 < request.arrival.policy.max_runs.min(cx.cfg.limits.attempts),
            withhold: matches!(request.arrival.stream, Some(StreamPart::Whole(_))) && !request.passed_on,
            via: None,
        });
        let listed = cx.upstreams.get(&upstream);
        let incarnation = listed.map(|listed| listed.incarnation);
        let software = listed.and_then(|listed| listed.software.clone());
        let run = Run { attempt, upstream, incarnation, software, isolation, is_trial, sent: cx.now };
        request.set_state(State::Sent(run), cx.now);
        self.attempts.insert(attempt, id);
        self.waits.record_sent(cx.now, &request.arrival.target);
        self.counters.sent += 1;
    }

    fn refuse(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let refusal = Refusal { outcome: request.outcome(), reason, retry_after };
        let kept = cx.now.since(request.arrived).as_millis();
        let again = refusal.retry_after.map_or(0, |after| after.as_millis());
        let detail = format!(
            "outcome={} account={} kept_ms={kept} retry_after_ms={again} digest={} parts={} state=\"{}\" reason=\"{}\"",
            refusal.outcome,
            request.account(),
            request.arrival.digest.short(),
            request.arrival.part_labels(),
            request.describe(),
            refusal.reason
        );
        cx.log_decision(id, "request_refused", detail);
        request.passed_on = request.is_partly_answered();
        if let Some(run) = request.run() {
            self.routes.notices.slots.on_cancelled(cx.now, &run.upstream);
        }
        if let Some(occupied_upstream) = request.occupied_upstream() {
            self.routes.release_slot(cx.now, occupied_upstream);
        }
        let run = request.run().cloned();
        if let Some(run) = &run {
            cx.push(Effect::Cancel { attempt: run.attempt });
            self.attempts.remove(&run.attempt);
            self.waits.record_ended(cx.now, &request.arrival.target, None);
            request.history = RunHistory::MayHaveRun;
        }
        self.queue.remove_if_queued(id, request);
        self.pinned.remove(&QueuePosition::of(id, request));
        let is_recalled =
            matches!(refusal.reason, RefusalReason::CrashesUpstreams | RefusalReason::MayCrashUpstreams);
        if let Some(run) = run
            && !is_recalled
        {
            self.note_unfinished(cx, id, &run);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(key) = request.idempotency_key() else { return self.finish_refused(cx, id, refusal) };
        if refusal.outcome != RefusalOutcome::NotRun {
            self.once_claims.leave_claimed(cx, key, id);
            return self.finish_refused(cx, id, refusal);
        }
        if !self.once_claims.release(cx, key, id) {
            return self.finish_refused(cx, id, refusal);
        }
        let timeout_at = cx.now.after(RELEASE_TIMEOUT);
        request.set_state(State::ReleasingClaim { timeout_at, refusal }, cx.now);
        self.timers.insert(Due { at: timeout_at, request: id });
    }

    /// Removes the request and sends the refusal to its caller, unless it disconnected.
    pub(super) fn finish_refused(&mut self, cx: &mut Cx<'_>, id: RequestId, refusal: Refusal) {
        let Some(request) = self.remove_request(cx, id) else { return };
        if request.caller == Caller::Gone {
            return;
        }
        self.counters.count_refusal(refusal.outcome, &refusal.reason);
        let effect = if request.passed_on {
            Effect::Abort { request: id, refusal }
        } else {
            Effect::Refuse { request: id, refusal }
        };
        cx.push(effect);
    }

    /// Sends a recorded answer to the caller and removes the request.
    pub(super) fn finish_with_answer(&mut self, cx: &mut Cx<'_>, id: RequestId, answer: RecordedAnswer) {
        let Some(request) = self.remove_request(cx, id) else { return };
        self.counters.answered += 1;
        if request.caller == Caller::Waiting {
            cx.push(Effect::Answer { request: id, answer });
        }
    }

    /// Removes a request whose answer was forwarded in full.
    pub(super) fn finish_forwarded(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        if self.remove_request(cx, id).is_some() {
            self.counters.answered += 1;
        }
    }
}
