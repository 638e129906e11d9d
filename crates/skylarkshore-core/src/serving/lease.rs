//! The lease of the stored records of idempotency keys.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, LeaseId};
use crate::store::{StoreAnswer, StoreCall, StoreResult};
use crate::time::Time;

/// How long a record is stored.
pub(super) const RECORD_TTL: Duration = Duration::from_hours(48);
/// How long a lease is used for new records, so that each is stored for nearly [`RECORD_TTL`].
const LEASE_USE_TIME: Duration = Duration::from_hours(1);
/// Mean pause after a failed grant.
const GRANT_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long the answer to a grant is awaited.
const GRANT_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Granted {
    lease: LeaseId,
    replace_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct PendingGrant {
    call: CallId,
    until: Time,
}

/// The lease of one process's records.
///
/// The records must outlive the process, so the lease is never renewed or revoked; a new one
/// replaces it every hour.
#[derive(Debug, Default)]
pub(super) struct OnceLease {
    granted: Option<Granted>,
    pending: Option<PendingGrant>,
    pause_until: Time,
}

impl OnceLease {
    /// Returns the lease for new records.
    pub(super) fn current(&self) -> Option<LeaseId> {
        self.granted.map(|granted| granted.lease)
    }

    /// Requests a lease if there is none or the current one is old.
    pub(super) fn request_if_needed(&mut self, cx: &mut Cx<'_>) {
        let fresh = self.granted.is_some_and(|granted| !granted.replace_at.is_due(cx.now));
        let pending = self.pending.is_some_and(|pending| !pending.until.is_due(cx.now));
        if fresh || pending || !self.pause_until.is_due(cx.now) {
            return;
        }
        let call = cx.next_call();
        self.pending = Some(PendingGrant { call, until: cx.now.after(GRANT_TIMEOUT) });
        cx.push(Effect::Store { call, request: StoreCall::GrantLease { ttl: RECORD_TTL } });
    }

    /// Keeps a lease ready if a service has requests that may run only once.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let needed = cx.document.catalogue.services.values().any(|service| !service.once_paths.is_empty());
        if needed {
            self.request_if_needed(cx);
        }
    }

    /// Handles the result of a call; reports whether it concerned the lease.
    pub(super) fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) -> bool {
        if self.pending.is_none_or(|pending| pending.call != call) {
            return false;
        }
        self.pending = None;
        if let Ok(StoreAnswer::Lease { lease, .. }) = result {
            self.granted = Some(Granted { lease: *lease, replace_at: cx.now.after(LEASE_USE_TIME) });
        } else {
            self.pause_until = cx.now.after(cx.jitter(GRANT_RETRY_PAUSE));
        }
        true
    }

    /// Discards a lease that the store may no longer have.
    pub(super) fn discard(&mut self, lease: LeaseId) {
        if self.current() == Some(lease) {
            self.granted = None;
        }
    }
}
