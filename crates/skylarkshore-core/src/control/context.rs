//! Input that the reviews of ownership, homes and power share.
//!
//! Start reading at [`ReviewContext`].

use super::inventory::EngineInventory;
use super::membership::Membership;
use super::peers::Peers;
use super::store_sync::StoreSync;
use crate::cx::Cx;
use crate::id::{HostId, StoreEra};
use crate::time::Time;

/// Number of engines that each host owns in a cluster with more than [`MAX_ENGINES_ALL_OWNED`] engines.
const OWNED_ENGINES_PER_HOST: usize = 4;
/// Up to this number, all engines are owned, however few the hosts.
const MAX_ENGINES_ALL_OWNED: usize = 512;

/// State that a review of ownership, homes or power reads in addition to [`Cx`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ReviewContext<'a> {
    pub(super) membership: &'a Membership,
    pub(super) peers: &'a Peers,
    pub(super) store_sync: &'a StoreSync,
    /// The era of the key-value service.
    pub(super) era: StoreEra,
    pub(super) inventory: &'a EngineInventory,
    /// The live members that may become owners.
    pub(super) eligible: &'a [HostId],
    /// When `eligible` last changed.
    pub(super) eligible_since: Time,
    /// Whether members, engines or records have changed since the last review.
    pub(super) has_changed: bool,
}

impl ReviewContext<'_> {
    /// Reports whether there are more engines than the hosts own together.
    ///
    /// The limits are [`MAX_ENGINES_ALL_OWNED`] and [`Self::ownership_capacity`]; the
    /// number of engines must exceed both.
    pub(super) fn exceeds_ownership_capacity(&self, cx: &Cx<'_>) -> bool {
        let engines = cx.upstreams.engines();
        engines > MAX_ENGINES_ALL_OWNED && engines > self.ownership_capacity()
    }

    /// Returns how many engines the hosts own together at least, if there are more than [`MAX_ENGINES_ALL_OWNED`].
    pub(super) fn ownership_capacity(&self) -> usize {
        self.eligible.len() * OWNED_ENGINES_PER_HOST
    }

    /// Reports whether this process may write decisions now.
    ///
    /// The shared keys must be in sync and the own lease valid. Otherwise the process
    /// would start hand-overs whose completion it cannot observe.
    pub(super) fn may_decide(&self, cx: &Cx<'_>) -> bool {
        self.store_sync.is_synced() && self.membership.is_lease_valid(cx.cfg, cx.now)
    }
}
