//! The lease of the stored records of idempotency keys.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, LeaseId};
use crate::store::{StoreAnswer, StoreCall, StoreResult};
use crate::time::Time;

/// How long a record is stored.
pub(super) const KEPT: Duration = Duration::from_hours(48);
/// How long a lease is used for new records, so that each is stored for nearly [`RECORD_TTL`].
const USED: Duration = Duration::from_hours(1);
/// Mean pause after a failed grant.
const PAUSE: Duration = Duration::from_millis(500);
/// How long the answer to a grant is awaited.
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Granted {
    lease: LeaseId,
    renew_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
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
    asked: Option<Asked>,
    pause_until: Time,
}

impl OnceLease {
    /// Returns the lease for new records.
    pub(super) fn current(&self) -> Option<LeaseId> {
        self.granted.map(|granted| granted.lease)
    }

    /// Requests a lease if there is none or the current one is old.
    pub(super) fn want(&mut self, cx: &mut Cx<'_>) {
        let fresh = self.granted.is_some_and(|granted| !granted.renew_at.is_due(cx.now));
        let asked = self.asked.is_some_and(|asked| !asked.until.is_due(cx.now));
        if fresh || asked || !self.pause_until.is_due(cx.now) {
            return;
        }
        let call = cx.next_call();
        self.asked = Some(Asked { call, until: cx.now.after(PATIENCE) });
        cx.push(Effect::Store { call, request: StoreCall::GrantLease { ttl: KEPT } });
    }

    /// Keeps a lease ready if a service has calls that may run only once.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let needed = cx.document.catalogue.services.values().any(|service| !service.once_paths.is_empty());
        if needed {
            self.want(cx);
        }
    }

    /// Handles the result of a call; reports whether it concerned the lease.
    pub(super) fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) -> bool {
        if self.asked.is_none_or(|asked| asked.call != call) {
            return false;
        }
        self.asked = None;
        if let Ok(StoreAnswer::Lease { lease, .. }) = result {
            self.granted = Some(Granted { lease: *lease, renew_at: cx.now.after(USED) });
        } else {
            self.pause_until = cx.now.after(cx.jitter(PAUSE));
        }
        true
    }

    /// Discards a lease that the store may no longer have.
    pub(super) fn drop_current(&mut self, lease: LeaseId) {
        if self.current() == Some(lease) {
            self.granted = None;
        }
    }
}
