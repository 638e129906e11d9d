//! The lease under which the records of idempotency keys live.

use std::time::Duration;

use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, LeaseId};
use crate::store::{StoreAnswer, StoreCall, StoreResult};
use crate::time::Time;

/// How long a record is kept.
pub(super) const KEPT: Duration = Duration::from_hours(48);
/// How long a lease is used for new records, so that each is kept nearly as long as promised.
const USED: Duration = Duration::from_hours(1);
/// The pause after a failed grant.
const PAUSE: Duration = Duration::from_millis(500);
/// How long a grant's answer is awaited.
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
/// The records have to outlive the process, so it is never renewed or revoked;
/// a new one takes its place every hour.
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

    /// Asks for a lease if there is none or the present one is old.
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

    /// Keeps a lease at hand where a service has calls that may not be repeated.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let needed = cx.document.catalogue.services.values().any(|service| !service.once_paths.is_empty());
        if needed {
            self.want(cx);
        }
    }

    /// Takes the result of a call; tells whether it was about the lease.
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

    /// Stops using a lease that the service may not know any more.
    pub(super) fn drop_current(&mut self, lease: LeaseId) {
        if self.current() == Some(lease) {
            self.granted = None;
        }
    }
}
