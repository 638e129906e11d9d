//! Forwarding of store changes and broadcasts along the relay tree.
//!
//! If every process polled the key-value service, each change would cost one call per
//! process. With the relay, the root of a data centre's tree reads the changes and each
//! process forwards them to its children. A process that receives nothing for a while
//! reads the service itself and forwards the result, so that a failed parent delays its
//! children only for that time. Start reading at [`Relay`].

use std::time::Duration;

use super::peers::Peers;
use super::relay_tree::{RelayTree, root_of, roots};
use crate::collections::OrderedMap;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{HostId, Incarnation, StoreRevision};
use crate::peer::{News, PeerMessage};
use crate::time::Time;

/// Interval between two computations of the tree.
const TREE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval for a process that has just started, which learns of most members in that time.
const TREE_UPDATE_INTERVAL_AT_START: Duration = Duration::from_millis(200);
/// How long a process counts as just started.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of members that contact each other and the key-value service directly.
pub(super) const MAX_DIRECT_MEMBERS: u32 = 64;

/// How long a process that requested the state receives news in addition to the children.
///
/// The requester regards this process as its parent, although other members may not know it yet.
const TEMPORARY_CHILD_TTL: Duration = Duration::from_secs(5);

/// This process's position in the relay tree and its forwarding state.
#[derive(Debug, Default)]
pub(super) struct Relay {
    tree: RelayTree,
    started_at: Option<Time>,
    next_tree_update: Time,
    updated_at: Time,
    /// The version of the members from which the tree was computed.
    members_version: u64,
    /// The incarnations of the members that were sent heartbeats because they had registered.
    offered: OrderedMap<HostId, Incarnation>,
    /// The revision up to which news was forwarded.
    relayed_upto: StoreRevision,
    /// Processes that recently requested the state, and until when each receives news.
    temporary_children: OrderedMap<HostId, Time>,
}

impl Relay {
    /// Recomputes the position in the tree when that is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, peers: &mut Peers) {
        if cx.cfg.watchers != Watchers::Relayed || !self.is_update_due(cx) {
            return;
        }
        self.members_version = cx.cache.members_version();
        self.updated_at = cx.now;
        let started_at = *self.started_at.get_or_insert(cx.now);
        let is_starting = !started_at.after(STARTUP_PERIOD).is_due(cx.now);
        self.next_tree_update =
            cx.now.after(if is_starting { TREE_UPDATE_INTERVAL_AT_START } else { TREE_UPDATE_INTERVAL });
        let previous = std::mem::replace(&mut self.tree, RelayTree::of(cx));
        if self.tree.is_root != previous.is_root {
            cx.push(Effect::ReadNewsForOthers(self.tree.is_root));
        }
        if self.tree.is_root != previous.is_root || self.tree.parent != previous.parent {
            self.log_position(cx);
        }
        self.offer_state(cx, peers);
    }

    /// Reports whether the tree is computed again: regularly, and soon after the members have changed.
    fn is_update_due(&self, cx: &Cx<'_>) -> bool {
        let has_changed = self.members_version != cx.cache.members_version();
        self.next_tree_update.is_due(cx.now)
            || has_changed && self.updated_at.after(TREE_UPDATE_INTERVAL_AT_START).is_due(cx.now)
    }

    /// Sends heartbeats to children that have just registered, by which they know whom to ask for the state.
    fn offer_state(&mut self, cx: &Cx<'_>, peers: &mut Peers) {
        let incarnation = |host: &HostId| cx.cache.member(host).map(|member| member.incarnation);
        let own_root = root_of(cx, &cx.cfg.data_centre);
        for host in self.tree.children.iter().chain(&own_root) {
            let current = incarnation(host);
            if current.is_some() && self.offered.get(host).copied() != current {
                peers.send_heartbeats_to(cx.now, host);
                self.offered.extend(current.map(|current| (host.clone(), current)));
            }
        }
        self.offered.retain(|host, _| incarnation(host).is_some());
    }

    /// Reports whether this process reads the key-value service for the others of its data centre.
    pub(super) const fn is_root(&self) -> bool {
        self.tree.is_root
    }

    fn log_position(&self, cx: &mut Cx<'_>) {
        let parent = self.tree.parent.as_ref().map_or_else(|| "none".to_owned(), HostId::to_string);
        let detail = format!("root={} children={}", self.tree.is_root, self.tree.children.len());
        cx.log_event("relay_position", parent, detail);
    }

    /// Forwards news that this process has read itself or that a complete state has brought.
    pub(super) fn on_own_news(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.send_to_children(cx, news);
    }

    /// Forwards news from a peer.
    ///
    /// While two processes know different members, each may regard itself as the
    /// other's parent. News is therefore forwarded only once, except from the parent,
    /// where it also shows the children that nothing has changed.
    pub(super) fn on_news(&mut self, cx: &mut Cx<'_>, from: &HostId, news: &News) {
        if news.upto > self.relayed_upto || self.is_parent(from) {
            self.send_to_children(cx, news);
        }
    }

    pub(super) fn add_temporary_child(&mut self, now: Time, from: &HostId) {
        self.temporary_children.insert(from.clone(), now.after(TEMPORARY_CHILD_TTL));
    }

    /// Forwards a broadcast to the children.
    pub(super) fn relay_spread(&self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        if self.tree.is_root || self.is_parent(from) {
            for child in &self.tree.children {
                cx.send(child, message.clone());
            }
        }
    }

    pub(super) fn request_state_from_parent(&self, cx: &mut Cx<'_>) {
        if let Some(parent) = &self.tree.parent {
            cx.log_event("state_requested", parent, "news from peers has a lasting gap");
            cx.send(parent, PeerMessage::StateWanted);
        }
    }

    fn is_parent(&self, host: &HostId) -> bool {
        self.tree.parent.as_ref() == Some(host)
    }

    fn send_to_children(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.relayed_upto = self.relayed_upto.max(news.upto);
        self.temporary_children.retain(|_, until| !until.is_due(cx.now));
        let temporary_children =
            self.temporary_children.keys().filter(|child| !self.tree.children.contains(child));
        for host in self.tree.children.iter().chain(temporary_children) {
            cx.send(host, PeerMessage::News(news.clone()));
        }
    }
}

/// Reports whether there are too many members for all of them to contact a peer or the
/// key-value service at once.
pub(super) fn has_many_members(cx: &Cx<'_>) -> bool {
    cx.cache.members().nth(MAX_DIRECT_MEMBERS as usize).is_some()
}

/// Sends a message to every other live member, through the relay trees in a large cluster.
pub(crate) fn broadcast_via_relay(cx: &mut Cx<'_>, message: &PeerMessage) {
    if cx.cfg.watchers != Watchers::Relayed || !has_many_members(cx) {
        return cx.broadcast(message);
    }
    let spread = PeerMessage::Spread { origin: cx.cfg.host.clone(), message: Box::new(message.clone()) };
    for root in roots(cx) {
        cx.send(&root, spread.clone());
    }
}

/// The processes to which this process sends a broadcast whose arrival each receiver confirms.
#[derive(Debug)]
pub(crate) struct BroadcastReceivers {
    /// Receivers of this process's own broadcasts.
    pub(crate) own: Vec<HostId>,
    /// Receivers of those that others have sent it, too.
    pub(crate) forwarded: Vec<HostId>,
    /// Whether this process tells receivers of its own broadcasts that start later what others have sent.
    ///
    /// In a large cluster only the roots do, or each new root would be told the same by every member.
    pub(crate) informs_later: bool,
}

/// Returns the next receivers of a confirmed broadcast: every other live member, or in a large
/// cluster the roots of the relay trees and this process's children.
pub(crate) fn broadcast_receivers(cx: &Cx<'_>) -> BroadcastReceivers {
    let is_other = |host: &HostId| *host != cx.cfg.host;
    if cx.cfg.watchers != Watchers::Relayed || !has_many_members(cx) {
        let members = cx.cache.members().map(|(host, _)| host.clone());
        let own = members.filter(is_other).collect();
        return BroadcastReceivers { own, forwarded: Vec::new(), informs_later: true };
    }
    let tree = RelayTree::of(cx);
    BroadcastReceivers {
        own: roots(cx).into_iter().filter(is_other).collect(),
        forwarded: tree.children,
        informs_later: tree.is_root,
    }
}
