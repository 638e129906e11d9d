//! What the decisions of this part share with one another.

use super::inventory::EngineInventory;
use super::membership::Membership;
use super::peers::Peers;
use super::store_sync::StoreSync;
use crate::cx::Cx;
use crate::id::HostId;
use crate::time::Time;

/// How many engines a host looks after at least, where there are as many.
const OWNED_ENGINES_PER_HOST: usize = 4;
/// Up to how many engines all are looked after, however few the hosts.
const MAX_ENGINES_ALL_OWNED: usize = 512;

/// What the decisions on ownership, homes and power look at beside [`Cx`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ReviewContext<'a> {
    pub(super) membership: &'a Membership,
    pub(super) peers: &'a Peers,
    pub(super) store_sync: &'a StoreSync,
    pub(super) inventory: &'a EngineInventory,
    /// The live members that may own something and keep it.
    pub(super) eligible: &'a [HostId],
    /// When they last changed.
    pub(super) eligible_since: Time,
    /// Whether members, engines or records have changed since the last review.
    pub(super) has_changed: bool,
}

impl ReviewContext<'_> {
    /// Tells whether there are more engines than the hosts can look after, and need to.
    pub(super) fn has_spare_engines(&self, cx: &Cx<'_>) -> bool {
        let engines = cx.upstreams.engines();
        engines > MAX_ENGINES_ALL_OWNED && engines > self.ownership_capacity()
    }

    /// Returns how many engines the hosts look after at least, where there are as many.
    pub(super) fn ownership_capacity(&self) -> usize {
        self.eligible.len() * OWNED_ENGINES_PER_HOST
    }

    /// Tells whether this process may write decisions now.
    ///
    /// It has to know the shared keys, and its own member key has to stand:
    /// otherwise it would begin hand-overs whose end it can't see.
    pub(super) fn may_decide(&self, cx: &Cx<'_>) -> bool {
        self.store_sync.is_synced() && self.membership.is_lease_valid(cx.cfg, cx.now)
    }
}
