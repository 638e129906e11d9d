//! How attempts end, and what becomes of their requests.

use std::time::Duration;

use crate::config::SuspectPolicy;
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::effect::{Effect, RefusalReason};
use crate::event::{AttemptOutcome, Rejection, Target};
use crate::id::{AttemptId, Digest, HostId, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::Serving;
use crate::serving::arrival::destination;
use crate::serving::decide::Step;
use crate::serving::request::{Caller, Company, Due, Past, Run, State};
use crate::serving::suspect::Standing;
use crate::store::RecordedAnswer;

/// How long a caller waits for its answer to be recorded.
const RECORD_PATIENCE: Duration = Duration::from_millis(300);
/// When to come back after every try failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What another try costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cost {
    /// Nothing: the upstream has said that it did nothing, and why.
    Free,
    /// A retry out of the budget.
    Retry,
}

impl Serving {
    /// Takes the end of an attempt.
    ///
    /// An attempt that was given up, or whose end comes twice, is unknown here,
    /// so that a late answer can't reach another request's caller.
    pub(super) fn end_attempt(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, end: AttemptOutcome) {
        let Some(id) = self.attempts.remove(&attempt) else {
            self.tally.late += 1;
            return;
        };
        let Some(request) = self.requests.get(&id) else { return };
        let Some(run) = request.run().cloned() else { return };
        self.routes.free(&run.upstream);
        if !matches!(end, AttemptOutcome::Completed { .. } | AttemptOutcome::CompletedTooLarge) {
            let after = cx.now.since(run.sent).as_millis();
            let detail = format!("upstream={} after_ms={after} end={}", run.upstream, end.label());
            cx.log_decision(id, "request_not_answered", detail);
        }
        let answered = matches!(
            end,
            AttemptOutcome::Completed { .. }
                | AttemptOutcome::CompletedTooLarge
                | AttemptOutcome::CompletedWithFailure
        );
        self.paces.end(cx.now, &request.arrival.target, answered.then(|| cx.now.since(run.sent)));
        match end {
            AttemptOutcome::Completed { held } => self.on_whole(cx, id, &run.upstream, held),
            AttemptOutcome::CompletedTooLarge => self.on_whole(cx, id, &run.upstream, None),
            AttemptOutcome::CompletedWithFailure => self.on_failed_whole(cx, id, &run.upstream),
            AttemptOutcome::NotSent => self.on_not_sent(cx, id, &run.upstream),
            AttemptOutcome::Rejected(rejection) => self.on_rejected(cx, id, &run.upstream, rejection),
            AttemptOutcome::Lost { passed_on, died } => self.on_lost(cx, id, &run, passed_on, died),
        }
    }

    fn on_whole(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        upstream: &UpstreamId,
        held: Option<RecordedAnswer>,
    ) {
        self.routes.note_health(upstream);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let digest = request.arrival.digest;
        let key = request.once_key();
        let cleared = self.suspects.clear(digest);
        if let Some(key) = key {
            self.once.record(cx, key, held.clone());
        }
        match (key, held) {
            (Some(_), Some(answer)) => {
                let until = cx.now.after(RECORD_PATIENCE);
                request.enter(State::Recording { until, answer }, cx.now);
                self.timers.insert(Due { at: until, request: id });
                self.end_alone(cx, id);
            }
            _ => self.finish(cx, id),
        }
        if cleared {
            broadcast_via_relay(cx, &PeerMessage::Cleared { request: digest });
            self.requeue_cleared(cx, digest);
        }
    }

    /// Asks another upstream where one failed, or passes its failure on.
    fn on_failed_whole(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        request.kept_failure = true;
        request.past = Past::Lost;
        self.fail_once(cx, id, upstream);
        self.retry(cx, id, Cost::Retry);
    }

    fn on_not_sent(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        self.routes.note_trouble(cx, upstream);
        if let Some(owner) = owner(cx, upstream) {
            cx.send(&owner, PeerMessage::UpstreamUnreachable { upstream: upstream.clone() });
        }
        let is_model = self.requests.get(&id).is_some_and(|r| matches!(r.arrival.target, Target::Model(_)));
        if is_model {
            // The engine is paused here, and its owner will say what has become of the
            // model. Were this counted as a failure, an engine that restarts would have
            // a patient request refused after a few tries in a moment.
            self.end_run(cx, id, upstream);
            return self.retry(cx, id, Cost::Free);
        }
        self.fail_once(cx, id, upstream);
        self.retry(cx, id, Cost::Retry);
    }

    fn on_rejected(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId, rejection: Rejection) {
        let Some(request) = self.requests.get(&id) else { return };
        match (rejection, request.arrival.target.clone()) {
            (Rejection::NotLoaded, Target::Model(target)) => {
                // The model was unloaded since its engine was last heard of, which
                // is what rarely used models do; it costs no retry.
                self.routes.note_missing(cx, upstream, &target);
                self.fail_once(cx, id, upstream);
                return self.retry(cx, id, Cost::Free);
            }
            (Rejection::NotLoaded, Target::Service(_)) => {
                self.routes.note_trouble(cx, upstream);
                self.fail_once(cx, id, upstream);
            }
            // A busy upstream is back-pressure and no failure: the request
            // waits on as it would have, had the load been known.
            (Rejection::Busy, _) => {
                self.routes.note_trouble(cx, upstream);
                self.end_run(cx, id, upstream);
                return self.retry(cx, id, Cost::Free);
            }
            // The host list will tell what stands at the address now.
            (Rejection::Replaced, _) => {
                self.routes.note_trouble(cx, upstream);
                self.fail_once(cx, id, upstream);
                return self.retry(cx, id, Cost::Free);
            }
            (Rejection::Leaving, _) => {
                if self.routes.note_leaving(cx.now, upstream) {
                    broadcast_via_relay(cx, &PeerMessage::UpstreamLeaving { upstream: upstream.clone() });
                }
                self.fail_once(cx, id, upstream);
                return self.retry(cx, id, Cost::Free);
            }
        }
        self.retry(cx, id, Cost::Retry);
    }

    fn on_lost(&mut self, cx: &mut Cx<'_>, id: RequestId, run: &Run, passed_on: bool, died: bool) {
        if died && cx.cfg.limits.suspects == SuspectPolicy::CountEnds {
            // An upstream that the request has ended may have left the host list already.
            self.count_loss(cx, id, run);
        }
        // A host that is reclaimed takes its upstream with it. That is nobody's
        // fault; were all its requests suspect, each would wait for an engine of its own.
        let died = died && !self.routes.is_going(cx, &run.upstream);
        let others = if died { self.digests_at(&run.upstream) } else { Vec::new() };
        let out_of_time = self.requests.get(&id).is_some_and(|r| r.arrival.deadline.is_due(cx.now));
        if died || !out_of_time {
            self.routes.note_trouble(cx, &run.upstream);
        }
        self.fail_once(cx, id, &run.upstream);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.passed_on |= passed_on;
        request.runs += 1;
        request.past = if died && run.company == Company::Alone { Past::Crashed } else { Past::Lost };
        if !died || cx.cfg.limits.suspects == SuspectPolicy::CountEnds {
            return self.after_loss(cx, id);
        }
        request.enter(State::TellingPeers, cx.now);
        let digest = request.arrival.digest;
        if let Some(owner) = owner(cx, &run.upstream) {
            cx.send(&owner, PeerMessage::UpstreamUnreachable { upstream: run.upstream.clone() });
        }
        if run.company == Company::Alone || !self.suspects.join_telling(&run.upstream, digest, id) {
            let mut digests = others;
            digests.push(digest);
            digests.sort_unstable();
            digests.dedup();
            self.suspects.begin_telling(cx, &run.upstream, digests, run.company, id);
        }
        self.refuse_convicted(cx);
        self.set_apart(cx);
        for told in self.suspects.take_told(cx.now) {
            self.after_loss(cx, told);
        }
    }

    /// Decides what becomes of a request whose attempt was lost, once peers know what they have to.
    pub(super) fn after_loss(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let digest = request.arrival.digest;
        let convicted = self.suspects.standing(digest) == Standing::Convicted;
        if convicted || self.suspects.is_doubted(cx, digest) {
            let reason = RefusalReason::CrashesUpstreams;
            return self.advance(cx, id, Step::Refuse { reason, retry_after: None });
        }
        self.retry(cx, id, Cost::Retry);
    }

    /// Queues a request again whose attempt ended without an answer, or refuses it.
    fn retry(&mut self, cx: &mut Cx<'_>, id: RequestId, cost: Cost) {
        let Some(request) = self.requests.get(&id) else { return };
        let lost = request.past != Past::Clean;
        let destination = destination(cx, &request.arrival.target);
        let cost = if self.budget.counts_every_sending() { Cost::Retry } else { cost };
        if request.waits_until().is_due(cx.now) {
            let reason =
                if lost { RefusalReason::DeadlinePassedRunning } else { RefusalReason::DeadlinePassed };
            return self.advance(cx, id, Step::Refuse { reason, retry_after: None });
        }
        let may = request.caller == Caller::Waiting
            && request.may_be_sent()
            && (!request.passed_on || request.can_resume())
            && request.failures < cx.cfg.limits.attempts
            && request.runs < request.arrival.policy.max_runs
            && (cost == Cost::Free || self.budget.spend(cx.now, &destination));
        if may {
            self.tally.retries += 1;
            return self.wait(cx, id);
        }
        if request.kept_failure {
            cx.push(Effect::ForwardHeldAnswer { request: id });
            return self.finish(cx, id);
        }
        let reason = if lost { RefusalReason::UpstreamLost } else { RefusalReason::NoUpstream };
        let retry_after = (!lost).then_some(RETRY_AFTER);
        self.advance(cx, id, Step::Refuse { reason, retry_after });
    }

    /// Takes note that an upstream did nothing with a request.
    fn end_run(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        self.end_alone(cx, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tried.insert(upstream.clone());
        request.enter(State::Queued, cx.now);
    }

    fn fail_once(&mut self, cx: &mut Cx<'_>, id: RequestId, upstream: &UpstreamId) {
        self.end_run(cx, id, upstream);
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
pub(super) fn owner(cx: &Cx<'_>, upstream: &UpstreamId) -> Option<HostId> {
    cx.cache.owner(upstream).map(|(_, record)| record.host.clone())
}
