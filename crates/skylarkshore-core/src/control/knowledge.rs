//! What the decisions of this part share with one another.

use super::feed::Feed;
use super::membership::Membership;
use super::peers::Peers;
use super::roster::Roster;
use crate::cx::Cx;
use crate::id::HostId;
use crate::time::Time;

/// What the decisions on ownership, homes and power look at beside [`Cx`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Knowledge<'a> {
    pub(super) membership: &'a Membership,
    pub(super) peers: &'a Peers,
    pub(super) feed: &'a Feed,
    pub(super) roster: &'a Roster,
    /// The live members that may own something and keep it.
    pub(super) eligible: &'a [HostId],
    /// When they last changed.
    pub(super) eligible_since: Time,
}

impl Knowledge<'_> {
    /// Tells whether this process may write decisions now.
    ///
    /// It has to know the shared keys, and its own member key has to stand:
    /// otherwise it would begin hand-overs whose end it can't see.
    pub(super) fn may_decide(&self, cx: &Cx<'_>) -> bool {
        self.feed.is_synced() && self.membership.is_certain(cx.cfg, cx.now)
    }
}
