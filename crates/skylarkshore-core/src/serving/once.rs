//! Claims on idempotency keys, so that a request runs at most once under its key.
//!
//! A claim is a record under the key in the key-value service, written before the request is sent
//! and only if the key has none. When the request has run, the record holds its answer or states
//! that the answer wasn't kept.
//!
//! Open [`OnceClaims`] first.

mod claim;
mod store_calls;
mod unknown_outcomes;

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::{CallId, Digest, LeaseId, RequestId};
use crate::serving::lease::OnceLease;
use crate::serving::once::claim::{Claim, ClaimState, HeldClaim};
use crate::serving::once::store_calls::{SETTLE_TIMEOUT, delete, is_own_claim, once_record, read};
use crate::serving::once::unknown_outcomes::UnknownOutcomes;
use crate::store::{
    Expect, Key, OnceRecord, OnceState, Record, RecordedAnswer, StoreAnswer, StoreResult, Versioned,
    WriteOutcome, WriteRequest,
};
use crate::time::Time;

/// Longest time that a claim may take before the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// The same while calls to the key-value service fail.
const CLAIM_TIMEOUT_WHILE_FAILING: Duration = Duration::from_millis(200);

/// Progress of a request's claim.
#[derive(Debug)]
pub(super) enum ClaimProgress {
    /// The key is unused.
    Unused(RequestId),
    /// The claim is held: the request may be sent.
    Claimed(RequestId),
    /// The key was used before.
    Used {
        request: RequestId,
        /// The record of the earlier request.
        found: OnceRecord,
    },
    /// The key-value service can't be reached, and the claim isn't known to be held.
    Unreachable(RequestId),
    /// The answer is recorded, or won't be.
    Recorded(RequestId),
    /// The claim is released, or won't be for now.
    Released(RequestId),
}

/// The use of a key at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LocalUse {
    /// Not known to be in use.
    Unknown,
    /// The same request is in progress.
    SameRequest,
    /// Another request is in progress with the key.
    OtherRequest,
}

/// The claims that requests of this process need or hold.
#[derive(Debug, Default)]
pub(super) struct OnceClaims {
    claims: OrderedMap<Digest, Claim>,
    unknown_outcomes: UnknownOutcomes,
    lease: OnceLease,
    /// Whether the last call to the key-value service other than a write failed.
    failing: bool,
    /// Number of requests that ended with an unknown outcome, whose keys stay claimed.
    pub(super) unknown_outcome_count: u64,
}

impl OnceClaims {
    /// Returns how a key is used at this process.
    pub(super) fn local_use(&self, key: Digest, digest: Digest) -> LocalUse {
        match self.claims.get(&key) {
            None => LocalUse::Unknown,
            Some(claim) if matches!(claim.state, ClaimState::Unconfirmed(_)) => LocalUse::Unknown,
            Some(claim) if claim.digest == digest => LocalUse::SameRequest,
            Some(_) => LocalUse::OtherRequest,
        }
    }

    /// Registers a request's key, so that no other request of this process uses it.
    pub(super) fn register(&mut self, key: Digest, digest: Digest, waiter: RequestId) {
        let may_be_orphaned = self.claims.get(&key).is_some_and(|claim| claim.may_be_orphaned);
        self.claims
            .insert(key, Claim { digest, waiter: Some(waiter), state: ClaimState::Queued, may_be_orphaned });
    }

    /// Reads a key, so that a request that has run isn't queued.
    pub(super) fn start_lookup(&mut self, cx: &mut Cx<'_>, key: Digest) {
        let until = cx.now.after(self.claim_timeout());
        let Some(claim) = self.claims.get_mut(&key) else { return };
        claim.state = ClaimState::LookingUp { call: read(cx, key), until };
    }

    /// Claims a key for its request.
    pub(super) fn claim(&mut self, cx: &mut Cx<'_>, key: Digest) {
        let until = cx.now.after(self.claim_timeout());
        let Some(claim) = self.claims.get_mut(&key) else { return };
        claim.state = ClaimState::AwaitingLease { until };
        self.lease.request_if_needed(cx);
        self.write_claims(cx);
    }

    /// Reports whether a key's claim is held, so that its request may be sent.
    pub(super) fn holds(&self, key: Digest) -> bool {
        matches!(self.claims.get(&key), Some(Claim { state: ClaimState::Held(_), .. }))
    }

    /// Reports whether no write is pending.
    pub(super) fn is_idle(&self) -> bool {
        self.claims
            .values()
            .all(|claim| matches!(claim.state, ClaimState::Queued | ClaimState::Unconfirmed(_)))
    }

    /// Records the answer of a request that has run.
    pub(super) fn record(&mut self, cx: &mut Cx<'_>, key: Digest, answer: Option<RecordedAnswer>) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        let ClaimState::Held(held) = claim.state else { return };
        let kept = answer.filter(|answer| answer.body.len() <= cx.cfg.limits.recorded_answer);
        let state = kept.map_or(OnceState::AnswerNotKept, OnceState::Answered);
        let record = Record::Once(once_record(cx, claim.digest, state));
        claim.state = ClaimState::Recording;
        cx.write(WriteRequest {
            key: Key::Once(key),
            expect: Expect::At(held.revision),
            record: Some(record),
            lease: Some(held.lease),
            deadline: cx.now.after(SETTLE_TIMEOUT),
        });
    }

    /// Gives up the lease of the records: the key-value service may have lost it.
    pub(super) fn on_new_era(&mut self) {
        self.lease = OnceLease::default();
    }

    /// Releases a claim under which nothing ran; reports whether a deletion is pending.
    pub(super) fn release(&mut self, cx: &mut Cx<'_>, key: Digest, waiter: RequestId) -> bool {
        let Some(claim) = self.claims.get_mut(&key).filter(|claim| claim.waiter == Some(waiter)) else {
            return false;
        };
        match claim.state {
            ClaimState::Held(held) => {
                claim.state = ClaimState::Releasing;
                delete(cx, key, held.revision);
                return true;
            }
            // Its outcome is still unknown; the claim is deleted when the outcome
            // arrives.
            ClaimState::Writing { .. } => claim.waiter = None,
            ClaimState::Queued | ClaimState::LookingUp { .. } | ClaimState::AwaitingLease { .. }
                if claim.may_be_orphaned =>
            {
                claim.waiter = None;
                claim.state = ClaimState::unconfirmed(cx.now);
            }
            ClaimState::Queued | ClaimState::LookingUp { .. } | ClaimState::AwaitingLease { .. } => {
                self.claims.remove(&key);
            }
            ClaimState::Recording | ClaimState::Releasing | ClaimState::Unconfirmed(_) => {}
        }
        false
    }

    /// Leaves a claim in place: its request may have run and must not run again.
    pub(super) fn leave_claimed(&mut self, cx: &mut Cx<'_>, key: Digest, waiter: RequestId) {
        if self.claims.get(&key).is_none_or(|claim| claim.waiter != Some(waiter)) {
            return;
        }
        self.claims.remove(&key);
        self.unknown_outcomes.insert(cx.now, key);
        self.unknown_outcome_count += 1;
        cx.log_event("once_in_doubt", key, "the request may have run; its key stays claimed");
    }

    /// Removes the keys with unknown outcomes whose records have expired.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.unknown_outcomes.remove_expired(now);
    }

    /// Runs what is due; returns the requests whose claim took too long.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<ClaimProgress> {
        self.lease.on_tick(cx);
        self.write_claims(cx);
        let mut late = Vec::new();
        for (key, claim) in &mut self.claims {
            match &mut claim.state {
                ClaimState::LookingUp { until, .. } | ClaimState::AwaitingLease { until }
                    if until.is_due(cx.now) =>
                {
                    late.extend(claim.waiter.map(|waiter| (*key, waiter)));
                }
                ClaimState::Unconfirmed(recheck)
                    if recheck.call.is_none() && recheck.lookup_at.is_due(cx.now) =>
                {
                    recheck.call = Some(read(cx, *key));
                }
                _ => {}
            }
        }
        let mut progress = Vec::new();
        for (key, waiter) in late {
            self.release(cx, key, waiter);
            progress.push(ClaimProgress::Unreachable(waiter));
        }
        self.claims
            .retain(|_, claim| !matches!(&claim.state, ClaimState::Unconfirmed(recheck) if recheck.until.is_due(cx.now)));
        progress
    }

    /// Handles the result of a store call that isn't a write.
    pub(super) fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        call: CallId,
        result: &StoreResult,
    ) -> Option<ClaimProgress> {
        self.failing = result.is_err();
        if self.lease.on_store(cx, call, result) {
            self.write_claims(cx);
            return None;
        }
        let asked = |claim: &Claim| match &claim.state {
            ClaimState::LookingUp { call: asked, .. } => *asked == call,
            ClaimState::Unconfirmed(recheck) => recheck.call == Some(call),
            _ => false,
        };
        let key = *self.claims.iter().find(|(_, claim)| asked(claim))?.0;
        if matches!(self.claims.get(&key)?.state, ClaimState::LookingUp { .. }) {
            return self.on_looked_up(cx, key, result);
        }
        self.on_orphan_read(cx, key, result);
        None
    }

    /// Handles the outcome of a write.
    pub(super) fn on_write(
        &mut self,
        cx: &mut Cx<'_>,
        key: Digest,
        outcome: &WriteOutcome,
    ) -> Option<ClaimProgress> {
        match self.claims.get(&key)?.state {
            ClaimState::Writing { lease } => self.on_claim_written(cx, key, lease, outcome),
            ClaimState::Recording => {
                if !matches!(outcome, WriteOutcome::Done(_)) {
                    self.unknown_outcomes.insert(cx.now, key);
                    cx.log_event(
                        "once_answer_not_recorded",
                        key,
                        "the request has run; its key stays claimed",
                    );
                }
                self.claims.remove(&key)?.waiter.map(ClaimProgress::Recorded)
            }
            ClaimState::Releasing => self.on_released(cx, key, outcome),
            _ => None,
        }
    }

    fn on_claim_written(
        &mut self,
        cx: &mut Cx<'_>,
        key: Digest,
        lease: LeaseId,
        outcome: &WriteOutcome,
    ) -> Option<ClaimProgress> {
        let claim = self.claims.get_mut(&key)?;
        match outcome {
            WriteOutcome::Done(written) => {
                claim.may_be_orphaned = false;
                if let Some(waiter) = claim.waiter {
                    claim.state = ClaimState::Held(HeldClaim { revision: written.revision, lease });
                    return Some(ClaimProgress::Claimed(waiter));
                }
                claim.state = ClaimState::Releasing;
                delete(cx, key, written.revision);
                None
            }
            WriteOutcome::Conflict(found) => self.on_conflict(cx, key, found),
            WriteOutcome::NotDone => {
                // The store may no longer have the lease.
                self.lease.discard(lease);
                claim.state = ClaimState::Queued;
                let Some(waiter) = claim.waiter else {
                    claim.state = ClaimState::unconfirmed(cx.now);
                    return None;
                };
                self.release(cx, key, waiter);
                Some(ClaimProgress::Unreachable(waiter))
            }
            WriteOutcome::Unknown => {
                claim.state = ClaimState::unconfirmed(cx.now);
                claim.may_be_orphaned = true;
                claim.waiter.take().map(ClaimProgress::Unreachable)
            }
        }
    }

    fn on_released(&mut self, cx: &Cx<'_>, key: Digest, outcome: &WriteOutcome) -> Option<ClaimProgress> {
        let claim = self.claims.get_mut(&key)?;
        let waiter = claim.waiter.take();
        if matches!(outcome, WriteOutcome::NotDone | WriteOutcome::Unknown) {
            claim.may_be_orphaned = true;
            claim.state = ClaimState::unconfirmed(cx.now);
        } else {
            self.claims.remove(&key);
        }
        waiter.map(ClaimProgress::Released)
    }

    /// Reports whether a record is an orphaned claim of this process, under which nothing
    /// ran.
    fn is_orphan(&self, cx: &Cx<'_>, key: Digest, record: &OnceRecord) -> bool {
        let may_be_orphaned = self.claims.get(&key).is_some_and(|claim| claim.may_be_orphaned);
        may_be_orphaned && is_own_claim(cx, record) && !self.unknown_outcomes.may_contain(key)
    }

    /// Handles a conflict with an existing record under a key that was to be claimed.
    fn on_conflict(&mut self, cx: &mut Cx<'_>, key: Digest, found: &Versioned) -> Option<ClaimProgress> {
        let Some(Record::Once(record)) = &found.record else {
            return self.claims.remove(&key)?.waiter.map(ClaimProgress::Unreachable);
        };
        if self.is_orphan(cx, key, record) {
            let claim = self.claims.get_mut(&key)?;
            // The claim of an earlier try took effect after it was released.
            // Nothing ran under it; if it stayed, it would block the key until its
            // lease expires.
            claim.state = ClaimState::Releasing;
            delete(cx, key, found.revision);
            return claim.waiter.take().map(ClaimProgress::Unreachable);
        }
        let request = self.claims.remove(&key)?.waiter?;
        Some(ClaimProgress::Used { request, found: record.clone() })
    }

    fn on_looked_up(&mut self, cx: &mut Cx<'_>, key: Digest, result: &StoreResult) -> Option<ClaimProgress> {
        let request = self.claims.get(&key)?.waiter?;
        let Ok(StoreAnswer::One(found)) = result else {
            self.release(cx, key, request);
            return Some(ClaimProgress::Unreachable(request));
        };
        match &found.record {
            Some(Record::Once(record)) if !self.is_orphan(cx, key, record) => {
                self.claims.remove(&key);
                Some(ClaimProgress::Used { request, found: record.clone() })
            }
            _ => {
                self.claims.get_mut(&key)?.state = ClaimState::Queued;
                Some(ClaimProgress::Unused(request))
            }
        }
    }

    /// Deletes an orphaned claim that was found, or schedules the next check.
    fn on_orphan_read(&mut self, cx: &mut Cx<'_>, key: Digest, result: &StoreResult) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        let ClaimState::Unconfirmed(recheck) = &mut claim.state else { return };
        recheck.call = None;
        recheck.pause *= 2;
        recheck.lookup_at = cx.now.after(recheck.pause);
        let Ok(StoreAnswer::One(found)) = result else { return };
        let Some(Record::Once(record)) = &found.record else { return };
        if !self.is_orphan(cx, key, record) {
            self.claims.remove(&key);
            return;
        }
        if let Some(claim) = self.claims.get_mut(&key) {
            claim.state = ClaimState::Releasing;
        }
        delete(cx, key, found.revision);
    }

    fn write_claims(&mut self, cx: &mut Cx<'_>) {
        let Some(lease) = self.lease.current() else { return };
        let claim_timeout = self.claim_timeout();
        for (key, claim) in &mut self.claims {
            if !matches!(claim.state, ClaimState::AwaitingLease { .. }) {
                continue;
            }
            claim.state = ClaimState::Writing { lease };
            let record = Record::Once(once_record(cx, claim.digest, OnceState::Claimed));
            cx.write(WriteRequest {
                key: Key::Once(*key),
                expect: Expect::Absent,
                record: Some(record),
                lease: Some(lease),
                deadline: cx.now.after(claim_timeout),
            });
        }
    }

    const fn claim_timeout(&self) -> Duration {
        if self.failing { CLAIM_TIMEOUT_WHILE_FAILING } else { CLAIM_TIMEOUT }
    }
}
