//! Requests that may run at most once, under the claims of their idempotency keys.

mod calls;
mod claim;
mod unsettled;

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::{CallId, Digest, LeaseId, RequestId};
use crate::serving::lease::OnceLease;
use crate::serving::once::calls::{SETTLE, delete, is_own_claim, once_record, read};
use crate::serving::once::claim::{Claim, Claimed, Step};
use crate::serving::once::unsettled::Unsettled;
use crate::store::{
    Expect, Key, OnceRecord, OnceState, Record, RecordedAnswer, StoreAnswer, StoreResult, Versioned,
    WriteOutcome, WriteRequest,
};
use crate::time::Time;

/// How long a claim may take before the request is refused.
const CLAIM_PATIENCE: Duration = Duration::from_secs(1);
/// The same, while calls to the key-value service fail.
const CLAIM_PATIENCE_FAILING: Duration = Duration::from_millis(200);
/// What a request learns of its claim.
#[derive(Debug)]
pub(super) enum Learnt {
    /// The key isn't used yet.
    Unused(RequestId),
    /// The claim stands: the request may be sent.
    Claimed(RequestId),
    /// The key was used before.
    Used {
        /// The request.
        request: RequestId,
        /// What is known of the earlier one.
        found: OnceRecord,
    },
    /// The service can't be reached, and the claim doesn't stand for all that is known.
    Unreachable(RequestId),
    /// The outcome is recorded, or won't be.
    Recorded(RequestId),
    /// The claim is given up, or won't be for now.
    Released(RequestId),
}

/// How a key stands at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Here {
    /// Nothing is known of it.
    Unknown,
    /// The same request is in progress.
    SameRequest,
    /// Another request is in progress under it.
    OtherRequest,
}

/// The claims of a process.
#[derive(Debug, Default)]
pub(super) struct Once {
    claims: OrderedMap<Digest, Claim>,
    unsettled: Unsettled,
    lease: OnceLease,
    failing: bool,
    /// How many claims were left without a known outcome.
    pub(super) in_doubt: u64,
}

impl Once {
    /// Tells how a key stands at this process.
    pub(super) fn here(&self, key: Digest, digest: Digest) -> Here {
        match self.claims.get(&key) {
            None => Here::Unknown,
            Some(claim) if matches!(claim.step, Step::Doubtful(_)) => Here::Unknown,
            Some(claim) if claim.digest == digest => Here::SameRequest,
            Some(_) => Here::OtherRequest,
        }
    }

    /// Takes a request's key in, so that no other request of this process uses it.
    pub(super) fn begin(&mut self, key: Digest, digest: Digest, user: RequestId) {
        let leftover = self.claims.get(&key).is_some_and(|claim| claim.leftover);
        self.claims.insert(key, Claim { digest, user: Some(user), step: Step::Queued, leftover });
    }

    /// Reads a key, so that a request that has run isn't queued.
    pub(super) fn look_up(&mut self, cx: &mut Cx<'_>, key: Digest) {
        let until = cx.now.after(self.patience());
        let Some(claim) = self.claims.get_mut(&key) else { return };
        claim.step = Step::LookingUp { call: read(cx, key), until };
    }

    /// Claims a key for its request.
    pub(super) fn claim(&mut self, cx: &mut Cx<'_>, key: Digest) {
        let until = cx.now.after(self.patience());
        let Some(claim) = self.claims.get_mut(&key) else { return };
        claim.step = Step::AwaitingLease { until };
        self.lease.want(cx);
        self.write_waiting(cx);
    }

    /// Tells whether a key's claim stands, so that its request may be sent.
    pub(super) fn holds(&self, key: Digest) -> bool {
        matches!(self.claims.get(&key), Some(Claim { step: Step::Held(_), .. }))
    }

    /// Tells whether nothing is being written any more.
    pub(super) fn is_idle(&self) -> bool {
        self.claims.values().all(|claim| matches!(claim.step, Step::Queued | Step::Doubtful(_)))
    }

    /// Records how a request ended; it has run.
    pub(super) fn record(&mut self, cx: &mut Cx<'_>, key: Digest, answer: Option<RecordedAnswer>) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        let Step::Held(held) = claim.step else { return };
        let kept = answer.filter(|answer| answer.body.len() <= cx.cfg.limits.recorded_answer);
        let state = kept.map_or(OnceState::AnswerNotKept, OnceState::Answered);
        let record = Record::Once(once_record(cx, claim.digest, state));
        claim.step = Step::Recording;
        cx.write(WriteRequest {
            key: Key::Once(key),
            expect: Expect::At(held.revision),
            record: Some(record),
            lease: Some(held.lease),
            deadline: cx.now.after(SETTLE),
        });
    }

    /// Gives a claim up under which nothing ran; tells whether there is one to be waited for.
    pub(super) fn release(&mut self, cx: &mut Cx<'_>, key: Digest, user: RequestId) -> bool {
        let Some(claim) = self.claims.get_mut(&key).filter(|claim| claim.user == Some(user)) else {
            return false;
        };
        match claim.step {
            Step::Held(held) => {
                claim.step = Step::Releasing;
                delete(cx, key, held.revision);
                return true;
            }
            // Its outcome is still to come; it is deleted when it does.
            Step::Writing { .. } => claim.user = None,
            Step::Queued | Step::LookingUp { .. } | Step::AwaitingLease { .. } if claim.leftover => {
                claim.user = None;
                claim.step = Step::doubtful(cx.now);
            }
            Step::Queued | Step::LookingUp { .. } | Step::AwaitingLease { .. } => {
                self.claims.remove(&key);
            }
            Step::Recording | Step::Releasing | Step::Doubtful(_) => {}
        }
        false
    }

    /// Leaves a claim as it is: its request may have run, and nobody may run it again.
    pub(super) fn leave_in_doubt(&mut self, cx: &mut Cx<'_>, key: Digest, user: RequestId) {
        if self.claims.get(&key).is_none_or(|claim| claim.user != Some(user)) {
            return;
        }
        self.claims.remove(&key);
        self.unsettled.insert(cx.now, key);
        self.in_doubt += 1;
        cx.log_event("once_in_doubt", key, "the request may have run; its key stays claimed");
    }

    /// Forgets the keys whose records have ended.
    pub(super) fn forget_old(&mut self, now: Time) {
        self.unsettled.forget_old(now);
    }

    /// Does what is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<Learnt> {
        self.lease.on_tick(cx);
        self.write_waiting(cx);
        let mut late = Vec::new();
        for (key, claim) in &mut self.claims {
            match &mut claim.step {
                Step::LookingUp { until, .. } | Step::AwaitingLease { until } if until.is_due(cx.now) => {
                    late.extend(claim.user.map(|user| (*key, user)));
                }
                Step::Doubtful(doubt) if doubt.call.is_none() && doubt.look_at.is_due(cx.now) => {
                    doubt.call = Some(read(cx, *key));
                }
                _ => {}
            }
        }
        let mut learnt = Vec::new();
        for (key, user) in late {
            self.release(cx, key, user);
            learnt.push(Learnt::Unreachable(user));
        }
        self.claims
            .retain(|_, claim| !matches!(&claim.step, Step::Doubtful(doubt) if doubt.until.is_due(cx.now)));
        learnt
    }

    /// Takes the result of a call that isn't a write.
    pub(super) fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) -> Option<Learnt> {
        self.failing = result.is_err();
        if self.lease.on_store(cx, call, result) {
            self.write_waiting(cx);
            return None;
        }
        let asked = |claim: &Claim| match &claim.step {
            Step::LookingUp { call: asked, .. } => *asked == call,
            Step::Doubtful(doubt) => doubt.call == Some(call),
            _ => false,
        };
        let key = *self.claims.iter().find(|(_, claim)| asked(claim))?.0;
        if matches!(self.claims.get(&key)?.step, Step::LookingUp { .. }) {
            return self.on_looked_up(cx, key, result);
        }
        self.on_leftover_read(cx, key, result);
        None
    }

    /// Takes the outcome of a write.
    pub(super) fn on_write(
        &mut self,
        cx: &mut Cx<'_>,
        key: Digest,
        outcome: &WriteOutcome,
    ) -> Option<Learnt> {
        match self.claims.get(&key)?.step {
            Step::Writing { lease } => self.on_claim_written(cx, key, lease, outcome),
            Step::Recording => {
                if !matches!(outcome, WriteOutcome::Done(_)) {
                    self.unsettled.insert(cx.now, key);
                    cx.log_event(
                        "once_answer_not_recorded",
                        key,
                        "the request has run; its key stays claimed",
                    );
                }
                self.claims.remove(&key)?.user.map(Learnt::Recorded)
            }
            Step::Releasing => self.on_released(cx, key, outcome),
            _ => None,
        }
    }

    fn on_claim_written(
        &mut self,
        cx: &mut Cx<'_>,
        key: Digest,
        lease: LeaseId,
        outcome: &WriteOutcome,
    ) -> Option<Learnt> {
        let claim = self.claims.get_mut(&key)?;
        match outcome {
            WriteOutcome::Done(written) => {
                claim.leftover = false;
                if let Some(user) = claim.user {
                    claim.step = Step::Held(Claimed { revision: written.revision, lease });
                    return Some(Learnt::Claimed(user));
                }
                claim.step = Step::Releasing;
                delete(cx, key, written.revision);
                None
            }
            WriteOutcome::Conflict(found) => self.on_taken(cx, key, found),
            WriteOutcome::NotDone => {
                // The lease may be what the service doesn't know any more.
                self.lease.drop_current(lease);
                claim.step = Step::Queued;
                let Some(user) = claim.user else {
                    claim.step = Step::doubtful(cx.now);
                    return None;
                };
                self.release(cx, key, user);
                Some(Learnt::Unreachable(user))
            }
            WriteOutcome::Unknown => {
                claim.step = Step::doubtful(cx.now);
                claim.leftover = true;
                claim.user.take().map(Learnt::Unreachable)
            }
        }
    }

    fn on_released(&mut self, cx: &Cx<'_>, key: Digest, outcome: &WriteOutcome) -> Option<Learnt> {
        let claim = self.claims.get_mut(&key)?;
        let user = claim.user.take();
        if matches!(outcome, WriteOutcome::NotDone | WriteOutcome::Unknown) {
            claim.leftover = true;
            claim.step = Step::doubtful(cx.now);
        } else {
            self.claims.remove(&key);
        }
        user.map(Learnt::Released)
    }

    /// Tells whether a record is a claim of this process under which nothing ran.
    fn is_leftover(&self, cx: &Cx<'_>, key: Digest, record: &OnceRecord) -> bool {
        let leftover = self.claims.get(&key).is_some_and(|claim| claim.leftover);
        leftover && is_own_claim(cx, record) && !self.unsettled.may_contain(key)
    }

    /// Takes note that something stands under a key that was to be claimed.
    fn on_taken(&mut self, cx: &mut Cx<'_>, key: Digest, found: &Versioned) -> Option<Learnt> {
        let Some(Record::Once(record)) = &found.record else {
            return self.claims.remove(&key)?.user.map(Learnt::Unreachable);
        };
        if self.is_leftover(cx, key, record) {
            let claim = self.claims.get_mut(&key)?;
            // The claim of an earlier try arrived after it was given up. Nothing
            // ran under it; left there, it would block the key until its lease ends.
            claim.step = Step::Releasing;
            delete(cx, key, found.revision);
            return claim.user.take().map(Learnt::Unreachable);
        }
        let request = self.claims.remove(&key)?.user?;
        Some(Learnt::Used { request, found: record.clone() })
    }

    fn on_looked_up(&mut self, cx: &mut Cx<'_>, key: Digest, result: &StoreResult) -> Option<Learnt> {
        let request = self.claims.get(&key)?.user?;
        let Ok(StoreAnswer::One(found)) = result else {
            self.release(cx, key, request);
            return Some(Learnt::Unreachable(request));
        };
        match &found.record {
            Some(Record::Once(record)) if !self.is_leftover(cx, key, record) => {
                self.claims.remove(&key);
                Some(Learnt::Used { request, found: record.clone() })
            }
            _ => {
                self.claims.get_mut(&key)?.step = Step::Queued;
                Some(Learnt::Unused(request))
            }
        }
    }

    /// Deletes a claim in doubt that has turned up, or looks again later.
    fn on_leftover_read(&mut self, cx: &mut Cx<'_>, key: Digest, result: &StoreResult) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        let Step::Doubtful(doubt) = &mut claim.step else { return };
        doubt.call = None;
        doubt.pause *= 2;
        doubt.look_at = cx.now.after(doubt.pause);
        let Ok(StoreAnswer::One(found)) = result else { return };
        let Some(Record::Once(record)) = &found.record else { return };
        if !self.is_leftover(cx, key, record) {
            self.claims.remove(&key);
            return;
        }
        if let Some(claim) = self.claims.get_mut(&key) {
            claim.step = Step::Releasing;
        }
        delete(cx, key, found.revision);
    }

    fn write_waiting(&mut self, cx: &mut Cx<'_>) {
        let Some(lease) = self.lease.current() else { return };
        let patience = self.patience();
        for (key, claim) in &mut self.claims {
            if !matches!(claim.step, Step::AwaitingLease { .. }) {
                continue;
            }
            claim.step = Step::Writing { lease };
            let record = Record::Once(once_record(cx, claim.digest, OnceState::Claimed));
            cx.write(WriteRequest {
                key: Key::Once(*key),
                expect: Expect::Absent,
                record: Some(record),
                lease: Some(lease),
                deadline: cx.now.after(patience),
            });
        }
    }

    const fn patience(&self) -> Duration {
        if self.failing { CLAIM_PATIENCE_FAILING } else { CLAIM_PATIENCE }
    }
}
