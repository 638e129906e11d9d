//! One idempotency key in use at this process.

use std::time::Duration;

use crate::id::{CallId, Digest, LeaseId, RequestId, StoreRevision};
use crate::serving::once::calls::SETTLE;
use crate::time::Time;

/// The first pause before a claim in doubt is looked up.
const FIRST_LOOK: Duration = Duration::from_millis(500);

/// How far a claim has come.
#[derive(Debug)]
pub(super) enum Step {
    /// The request waits for an upstream, and nothing has been written.
    Queued,
    /// The key is being read before the request is queued.
    LookingUp { call: CallId, until: Time },
    /// There is no lease yet under which to write.
    AwaitingLease { until: Time },
    /// The claim is being written.
    Writing { lease: LeaseId },
    /// The claim stands, and its request may be sent.
    Held(Claimed),
    /// The outcome is being recorded; the claim is settled.
    Recording,
    /// The claim is being deleted: nothing ran under it.
    Releasing,
    /// The claim's outcome is unknown; nothing ran under it, and it is deleted if it turns up.
    Doubtful(Doubt),
}

/// A claim that may turn up after it was given up.
#[derive(Debug)]
pub(super) struct Doubt {
    /// When to look for it next.
    pub(super) look_at: Time,
    /// How long the next pause is.
    pub(super) pause: Duration,
    /// When to stop looking.
    pub(super) until: Time,
    /// The read in progress.
    pub(super) call: Option<CallId>,
}

/// A claim that stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claimed {
    /// The revision at which it was written.
    pub(super) revision: StoreRevision,
    /// The lease under which it was written.
    pub(super) lease: LeaseId,
}

/// One key in use at this process.
#[derive(Debug)]
pub(super) struct Claim {
    /// The digest of the request.
    pub(super) digest: Digest,
    /// The request that waits for the claim, unless it was given up.
    pub(super) user: Option<RequestId>,
    /// How far it has come.
    pub(super) step: Step,
    /// Whether an earlier claim of this process, under which nothing ran, may turn up.
    pub(super) leftover: bool,
}

impl Step {
    /// Begins to look for a claim that may turn up.
    pub(super) fn doubtful(now: Time) -> Self {
        let look_at = now.after(FIRST_LOOK);
        Self::Doubtful(Doubt { look_at, pause: FIRST_LOOK, until: now.after(SETTLE), call: None })
    }
}
