//! An engine that this process owns, with the phase of its hand-over.

use crate::id::{Fence, HostId, StoreRevision};
use crate::time::Time;

/// Phase of an engine's hand-over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No hand-over is in progress.
    Held,
    /// New orders are blocked until those in progress have ended.
    Draining { to: HostId, until: Time },
    /// The record that names the next owner may have been written.
    Transferring {
        to: HostId,
        /// The revision of the record that it replaces.
        based_on: StoreRevision,
        /// When to repeat the write; [`Time::NEVER`] until an attempt ends with an unknown outcome.
        retry_at: Time,
    },
}

#[derive(Clone, Debug)]
pub(super) struct OwnedEngine {
    pub(super) fence: Fence,
    pub(super) since: Time,
    /// When orders may first be sent, after the order gap.
    pub(super) orders_allowed_from: Time,
    /// The revision at which this process became the owner.
    pub(super) acquired_revision: StoreRevision,
    /// The revision of the current owner record.
    pub(super) revision: StoreRevision,
    pub(super) phase: Phase,
}

impl OwnedEngine {
    /// Reports whether no hand-over is in progress.
    pub(super) fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Records that the owner record was rewritten with the same owner and fence.
    pub(super) fn renew(&mut self, revision: StoreRevision) {
        self.revision = revision;
        // A hand-over based on an earlier revision can no longer take effect.
        if matches!(self.phase, Phase::Transferring { based_on, .. } if based_on < revision) {
            self.phase = Phase::Held;
        }
    }
}
