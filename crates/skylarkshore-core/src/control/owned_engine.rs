//! One engine that this process owns.

use crate::id::{Fence, HostId, StoreRevision};
use crate::time::Time;

/// How far the hand-over of an engine has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The engine is kept.
    Held,
    /// No orders are begun any more; those in progress are waited for.
    Draining { to: HostId, until: Time },
    /// The record that names the next owner may have been written.
    Transferring {
        to: HostId,
        /// The revision of the record that it replaces.
        based_on: StoreRevision,
        /// When to write again if the outcome isn't known.
        retry_at: Time,
    },
}

/// An engine that this process owns.
#[derive(Clone, Debug)]
pub(super) struct OwnedEngine {
    pub(super) fence: Fence,
    pub(super) since: Time,
    /// From when on orders may be given.
    pub(super) orders_allowed_from: Time,
    /// The revision at which this process became owner.
    pub(super) acquired_revision: StoreRevision,
    /// The revision of the present record.
    pub(super) revision: StoreRevision,
    pub(super) phase: Phase,
}

impl OwnedEngine {
    /// Tells whether the engine isn't being handed over.
    pub(super) fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Takes note that the record was written anew with the same owner and fence.
    pub(super) fn renew(&mut self, revision: StoreRevision) {
        self.revision = revision;
        // A hand-over that was based on the earlier record can't take effect any more.
        if matches!(self.phase, Phase::Transferring { based_on, .. } if based_on < revision) {
            self.phase = Phase::Held;
        }
    }
}
