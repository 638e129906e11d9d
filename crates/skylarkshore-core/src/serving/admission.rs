//! Refusal, recall and trial of requests that may crash upstreams, by the evidence of all hosts.

use std::time::Duration;

use crate::config::SuspectPolicy;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::Repeat;
use crate::evidence::{Admission, HeldBack, SentTo, Suspects};
use crate::id::RequestId;
use crate::serving::Serving;
use crate::serving::disposition::Disposition;
use crate::serving::request::{Request, Run, State};

/// Shortest retry delay of a request that is held back: most are cleared by the next trial.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for a trial after which callers are told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

impl Serving {
    /// Returns the refusal of a request that is held back, and logs for which suspect.
    pub(super) fn refusal_of(&mut self, cx: &mut Cx<'_>, held: HeldBack) -> Disposition {
        self.evidence.log_held_back(cx, held);
        let wait = held.until.remaining(cx.now).max(MIN_RETRY_AFTER);
        let retry_after = (wait <= MAX_RETRY_AFTER).then_some(wait);
        Disposition::Refuse { reason: reason_of(held), retry_after }
    }

    /// Refuses the requests that are held back, also those that wait inside an upstream.
    pub(super) fn refuse_held_back(&mut self, cx: &mut Cx<'_>) {
        for (id, held) in self.held_back(cx) {
            let disposition = self.refusal_of(cx, held);
            self.apply_disposition(cx, id, disposition);
        }
        for id in self.recalled(cx) {
            let reason = RefusalReason::MayCrashUpstreams;
            self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
        }
    }

    fn held_back(&self, cx: &Cx<'_>) -> Vec<(RequestId, HeldBack)> {
        let queued = self.requests.iter().filter(|(_, request)| request.state == State::Queued);
        let held = queued.filter_map(|(id, request)| {
            match self.evidence.admission(cx, Suspects::from(&request.arrival)) {
                Admission::HeldBack(held) => Some((*id, held)),
                Admission::Free | Admission::Trial => None,
            }
        });
        held.collect()
    }

    /// Returns the requests to be recalled from upstreams that haven't begun an answer.
    ///
    /// One that may not run twice is left where it is once it was sent, and a trial is to be ended
    /// by its answer or its loss.
    fn recalled(&self, cx: &Cx<'_>) -> Vec<RequestId> {
        let may_be_recalled = |request: &Request| {
            matches!(&request.state, State::Sent(run) if !run.is_trial)
                && request.arrival.repeat == Repeat::Allowed
        };
        let recalled = self.requests.iter().filter(|(_, request)| {
            may_be_recalled(request) && self.evidence.is_to_be_recalled(cx, Suspects::from(&request.arrival))
        });
        recalled.map(|(id, _)| *id).collect()
    }

    /// Returns why a request whose attempt was just lost isn't sent again, if its suspects forbid it.
    pub(super) fn refusal_after_loss(&self, cx: &Cx<'_>, request: &Request) -> Option<RefusalReason> {
        let suspects = Suspects::from(&request.arrival);
        if self.evidence.is_one_loss_from_hold(cx, suspects) {
            return Some(RefusalReason::CrashesUpstreams);
        }
        match self.evidence.admission(cx, suspects) {
            Admission::Free => None,
            Admission::Trial => Some(RefusalReason::MayCrashUpstreams),
            Admission::HeldBack(held) => Some(reason_of(held)),
        }
    }

    /// Records the loss of a request with its upstream, here and at the peers.
    ///
    /// Over a lost link, only the host list can show whether the upstream has ended.
    pub(super) fn record_loss(&mut self, cx: &mut Cx<'_>, id: RequestId, run: &Run) {
        if self.links.explains_end(run.attempt) {
            return self.note_unfinished(cx, id, run);
        }
        if let Some(request) = self.requests.get(&id) {
            self.evidence.on_lost(cx, Suspects::from(&request.arrival), &SentTo::from(run));
        }
    }

    /// Allows another trial in place of one that reached no upstream.
    pub(super) fn end_unsent_trial(&mut self, id: RequestId, run: &Run) {
        if let Some(request) = self.requests.get(&id).filter(|_| run.is_trial) {
            self.evidence.on_trial_unsent(Suspects::from(&request.arrival));
        }
    }

    /// Remembers an attempt that ends without an answer although no connection broke.
    pub(super) fn note_unfinished(&mut self, cx: &Cx<'_>, id: RequestId, run: &Run) {
        let is_counted = cx.cfg.limits.suspects == SuspectPolicy::CountEnds;
        if !is_counted || self.routes.is_leaving(cx, &run.upstream) {
            return;
        }
        if let Some(request) = self.requests.get(&id) {
            self.evidence.on_unfinished(cx.now, Suspects::from(&request.arrival), &SentTo::from(run));
        }
    }
}

const fn reason_of(held: HeldBack) -> RefusalReason {
    if held.is_proved { RefusalReason::CrashesUpstreams } else { RefusalReason::MayCrashUpstreams }
}
