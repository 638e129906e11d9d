//! One idempotency key in use at this process.

use std::time::Duration;

use crate::id::{CallId, Digest, LeaseId, RequestId, StoreRevision};
use crate::serving::once::store_calls::SETTLE_TIMEOUT;
use crate::time::Time;

/// First pause before an unconfirmed claim is looked up.
const MIN_LOOKUP_PAUSE: Duration = Duration::from_millis(500);

/// The state of a claim.
#[derive(Debug)]
pub(super) enum ClaimState {
    /// The request waits for an upstream, and nothing has been written.
    Queued,
    /// The key is being read before the request is queued.
    LookingUp { call: CallId, until: Time },
    /// There is no lease for the record yet.
    AwaitingLease { until: Time },
    /// The claim is being written.
    Writing { lease: LeaseId },
    /// The claim is held, and its request may be sent.
    Held(HeldClaim),
    /// The answer is being recorded.
    Recording,
    /// The claim is being deleted: nothing ran under it.
    Releasing,
    /// The outcome of the write is unknown; nothing ran under the claim, and it is deleted
    /// if it is found.
    Unconfirmed(UnconfirmedClaim),
}

/// A claim of which it is unknown whether it took, or will take, effect.
#[derive(Debug)]
pub(super) struct UnconfirmedClaim {
    /// When to look it up next.
    pub(super) lookup_at: Time,
    /// Pause before the next lookup.
    pub(super) pause: Duration,
    /// When to stop looking it up.
    pub(super) until: Time,
    /// The read in progress.
    pub(super) call: Option<CallId>,
}

/// A claim that is held.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldClaim {
    /// The revision at which it was written.
    pub(super) revision: StoreRevision,
    /// The lease that it was written with.
    pub(super) lease: LeaseId,
}

/// One key in use at this process.
#[derive(Debug)]
pub(super) struct Claim {
    /// The digest of the request.
    pub(super) digest: Digest,
    /// The request that waits for the claim, unless the claim was released.
    pub(super) waiter: Option<RequestId>,
    pub(super) state: ClaimState,
    /// Whether an orphaned claim of this process may be found: one that stayed or took effect after
    /// its request was refused, so that nothing ran under it.
    pub(super) may_be_orphaned: bool,
}

impl ClaimState {
    /// Starts looking up a claim whose write has an unknown outcome.
    pub(super) fn unconfirmed(now: Time) -> Self {
        let lookup_at = now.after(MIN_LOOKUP_PAUSE);
        Self::Unconfirmed(UnconfirmedClaim {
            lookup_at,
            pause: MIN_LOOKUP_PAUSE,
            until: now.after(SETTLE_TIMEOUT),
            call: None,
        })
    }
}
