//! One idempotency key in use at this process.

use std::time::Duration;

use crate::id::{CallId, Digest, LeaseId, RequestId, StoreRevision};
use crate::serving::once::store_calls::SETTLE;
use crate::time::Time;

/// First pause before an unconfirmed claim is looked up.
const FIRST_LOOK: Duration = Duration::from_millis(500);

/// The state of a claim.
#[derive(Debug)]
pub(super) enum Step {
    /// The request waits for an upstream, and nothing has been written.
    Queued,
    /// The key is being read before the request is queued.
    LookingUp { call: CallId, until: Time },
    /// There is no lease for the record yet.
    AwaitingLease { until: Time },
    /// The claim is being written.
    Writing { lease: LeaseId },
    /// The claim is held, and its request may be sent.
    Held(Claimed),
    /// The answer is being recorded.
    Recording,
    /// The claim is being deleted: nothing ran under it.
    Releasing,
    /// The outcome of the write is unknown; nothing ran under the claim, and it is deleted
    /// if it is found.
    Doubtful(Doubt),
}

/// A claim that may take effect after it was released.
#[derive(Debug)]
pub(super) struct Doubt {
    /// When to look it up next.
    pub(super) look_at: Time,
    /// Pause before the next lookup.
    pub(super) pause: Duration,
    /// When to stop looking it up.
    pub(super) until: Time,
    /// The read in progress.
    pub(super) call: Option<CallId>,
}

/// A claim that is held.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claimed {
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
    pub(super) user: Option<RequestId>,
    pub(super) step: Step,
    /// Whether an orphaned claim of this process, under which nothing ran, may be found.
    pub(super) leftover: bool,
}

impl Step {
    /// Starts looking up a claim whose write has an unknown outcome.
    pub(super) fn doubtful(now: Time) -> Self {
        let look_at = now.after(FIRST_LOOK);
        Self::Doubtful(Doubt { look_at, pause: FIRST_LOOK, until: now.after(SETTLE), call: None })
    }
}
