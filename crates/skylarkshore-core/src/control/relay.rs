//! News of the key-value service that one process of a data centre reads and passes on to the others.
//!
//! Where every process looks for news itself, each change costs as many calls
//! as there are processes. With the relay the root of a tree reads, and each
//! process passes on what it hears to its children; whoever hears nothing for a
//! while reads for itself and passes that on, so that nobody depends on another
//! one for longer than that.

use std::time::Duration;

use super::relay_tree::{RelayTree, roots};
use crate::collections::OrderedMap;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{HostId, StoreRevision};
use crate::peer::{News, PeerMessage};
use crate::time::Time;

/// How often the tree is worked out anew.
const TREE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a process that has just started does so, which learns of most members then.
const TREE_UPDATE_INTERVAL_AT_START: Duration = Duration::from_millis(200);
/// For how long a process has just started.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Up to how many members are few.
const MAX_DIRECT_MEMBERS: usize = 64;

/// For how long a process that asked for everything is told news beside the children.
///
/// It takes this process for its parent, which other members may not do yet.
const TEMPORARY_CHILD_TTL: Duration = Duration::from_secs(5);

/// This process's part in passing news on.
#[derive(Debug, Default)]
pub(super) struct Relay {
    tree: RelayTree,
    started_at: Option<Time>,
    next_tree_update: Time,
    /// Up to where news has been passed on.
    relayed_upto: StoreRevision,
    /// Who has asked for everything lately, and until when each is told news.
    temporary_children: OrderedMap<HostId, Time>,
}

impl Relay {
    /// Finds out now and then which place this process has.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if cx.cfg.watchers != Watchers::Relayed || !self.next_tree_update.is_due(cx.now) {
            return;
        }
        let started_at = *self.started_at.get_or_insert(cx.now);
        let is_starting = !started_at.after(STARTUP_PERIOD).is_due(cx.now);
        self.next_tree_update =
            cx.now.after(if is_starting { TREE_UPDATE_INTERVAL_AT_START } else { TREE_UPDATE_INTERVAL });
        let was_root = self.tree.is_root;
        self.tree = RelayTree::of(cx);
        if self.tree.is_root != was_root {
            cx.push(Effect::ReadNewsForOthers(self.tree.is_root));
        }
    }

    /// Passes on what this process has read.
    pub(super) fn on_news_read(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.send_to_children(cx, news);
    }

    /// Passes on what a peer has told.
    ///
    /// While two processes know different members, each may take itself for the
    /// other's parent. So nothing is passed on twice, unless it comes from the
    /// parent: then it shows the children that nothing has changed.
    pub(super) fn on_news(&mut self, cx: &mut Cx<'_>, from: &HostId, news: &News) {
        if news.upto > self.relayed_upto || self.is_parent(from) {
            self.send_to_children(cx, news);
        }
    }

    /// Takes note that a process has asked for everything.
    pub(super) fn add_temporary_child(&mut self, now: Time, from: &HostId) {
        self.temporary_children.insert(from.clone(), now.after(TEMPORARY_CHILD_TTL));
    }

    /// Passes on what all processes are to hear.
    pub(super) fn relay_spread(&self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        if self.tree.is_root || self.is_parent(from) {
            for child in &self.tree.children {
                cx.tell(child, message.clone());
            }
        }
    }

    /// Asks the parent for everything.
    pub(super) fn request_state_from_parent(&self, cx: &mut Cx<'_>) {
        if let Some(parent) = &self.tree.parent {
            cx.tell(parent, PeerMessage::StateWanted);
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
            cx.tell(host, PeerMessage::News(news.clone()));
        }
    }
}

/// Tells whether the members are so many that what all of them do at once is too much for anyone.
pub(super) fn has_many_members(cx: &Cx<'_>) -> bool {
    cx.cache.members().nth(MAX_DIRECT_MEMBERS).is_some()
}

/// Sends a message to every other live member, by way of the trees where there are many.
pub(crate) fn tell_everyone(cx: &mut Cx<'_>, message: &PeerMessage) {
    if cx.cfg.watchers != Watchers::Relayed || !has_many_members(cx) {
        return cx.tell_all(message);
    }
    let spread = PeerMessage::Spread { origin: cx.cfg.host.clone(), message: Box::new(message.clone()) };
    for root in roots(cx) {
        cx.tell(&root, spread.clone());
    }
}
