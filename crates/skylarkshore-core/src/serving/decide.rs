//! The one place that decides between sent and refused, and that ends requests.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::{Effect, Refusal, RefusalOutcome, RefusalReason};
use crate::event::Repeat;
use crate::id::{RequestId, UpstreamId};
use crate::serving::Serving;
use crate::serving::request::{Caller, Company, Due, Past, Run, State};
use crate::store::RecordedAnswer;

/// How long a caller waits for a claim to be given up before it is told that nothing ran.
const RELEASE_PATIENCE: Duration = Duration::from_millis(300);

/// What becomes of a request.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// It is sent to an upstream.
    Send {
        /// The upstream, at which it takes up a place.
        upstream: UpstreamId,
        /// Who else may run there.
        company: Company,
    },
    /// It is refused for good.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to ask again, where that helps.
        retry_after: Option<Duration>,
    },
}

impl Serving {
    /// Sends a request or refuses it.
    ///
    /// Were this decided in two places, a deadline that passes while a claim's
    /// answer is on its way could refuse a request as not run, and the answer
    /// then send it. The caller would see a booking that it was told was not made.
    pub(super) fn advance(&mut self, cx: &mut Cx<'_>, id: RequestId, step: Step) {
        let Some(request) = self.requests.get(&id) else { return };
        match step {
            Step::Send { upstream, company } if request.may_be_sent() => {
                self.send(cx, id, upstream, company);
            }
            Step::Send { .. } => self.refuse(cx, id, RefusalReason::UpstreamLost, None),
            Step::Refuse { reason, retry_after } => self.refuse(cx, id, reason, retry_after),
        }
    }

    fn send(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: UpstreamId, company: Company) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.place() != Some(&upstream) {
            self.routes.occupy(&upstream);
        }
        let attempt = cx.next_attempt();
        let waited = cx.now.since(request.arrived).as_millis();
        let seen = self.routes.seen(cx, &upstream);
        let detail = format!(
            "upstream={upstream} attempt={attempt} runs={} account={} waited_ms={waited} {seen}",
            request.runs,
            request.account()
        );
        cx.log_decision(id, "request_sent", detail);
        cx.push(Effect::Send {
            request: id,
            attempt,
            upstream: upstream.clone(),
            deadline: request.arrival.deadline,
            order: request.order,
            resume: request.passed_on,
            hold: request.once_key().is_some(),
            once: request.arrival.repeat != Repeat::Allowed,
            keep_failure: request.arrival.repeat == Repeat::Allowed
                && !request.passed_on
                && request.runs + 1 < request.arrival.policy.max_runs.min(cx.cfg.limits.attempts),
        });
        let life = cx.upstreams.get(&upstream).map(|listed| listed.incarnation);
        request.enter(State::Sent(Run { attempt, upstream, life, company, sent: cx.now }), cx.now);
        self.attempts.insert(attempt, id);
        self.paces.begin(cx.now, &request.arrival.target);
        self.tally.sent += 1;
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
            "outcome={} account={} kept_ms={kept} retry_after_ms={again} state=\"{}\" reason=\"{}\"",
            refusal.outcome,
            request.account(),
            request.describe(),
            refusal.reason
        );
        cx.log_decision(id, "request_refused", detail);
        request.passed_on = request.is_partly_answered();
        if let Some(place) = request.place() {
            self.routes.free(place);
        }
        if let Some(run) = request.run() {
            cx.push(Effect::Cancel { attempt: run.attempt });
            self.attempts.remove(&run.attempt);
            self.paces.end(cx.now, &request.arrival.target, None);
            request.past = Past::Lost;
        }
        self.queue.drop_out(id, request);
        let Some(key) = request.once_key() else { return self.conclude(cx, id, refusal) };
        if refusal.outcome != RefusalOutcome::NotRun {
            self.once.leave_in_doubt(cx, key, id);
            return self.conclude(cx, id, refusal);
        }
        if !self.once.release(cx, key, id) {
            return self.conclude(cx, id, refusal);
        }
        let until = cx.now.after(RELEASE_PATIENCE);
        request.enter(State::Releasing { until, refusal }, cx.now);
        self.timers.insert(Due { at: until, request: id });
    }

    /// Tells the caller that its request is refused, and forgets the request.
    pub(super) fn conclude(&mut self, cx: &mut Cx<'_>, id: RequestId, refusal: Refusal) {
        let Some(request) = self.forget(cx, id) else { return };
        if request.caller == Caller::Gone {
            return;
        }
        self.tally.count_refusal(refusal.outcome, &refusal.reason);
        let effect = if request.passed_on {
            Effect::Abort { request: id, refusal }
        } else {
            Effect::Refuse { request: id, refusal }
        };
        cx.push(effect);
    }

    /// Gives the caller a kept answer, and forgets the request.
    pub(super) fn answer(&mut self, cx: &mut Cx<'_>, id: RequestId, answer: RecordedAnswer) {
        let Some(request) = self.forget(cx, id) else { return };
        self.tally.answered += 1;
        if request.caller == Caller::Waiting {
            cx.push(Effect::Answer { request: id, answer });
        }
    }

    /// Forgets a request whose answer was passed on whole.
    pub(super) fn finish(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        if self.forget(cx, id).is_some() {
            self.tally.answered += 1;
        }
    }
}
