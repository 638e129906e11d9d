//! News of the key-value service that one process of a data centre reads and passes on to the others.
//!
//! Where every process looks for news itself, each change costs as many calls
//! as there are processes. With the relay the root of a tree reads, and each
//! process passes on what it hears to its children; whoever hears nothing for a
//! while reads for itself and passes that on, so that nobody depends on another
//! one for longer than that.

use std::time::Duration;

use super::tree::{Tree, roots};
use crate::collections::OrderedMap;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{HostId, StoreRevision};
use crate::peer::{News, PeerMessage};
use crate::time::Time;

/// How often the tree is worked out anew.
const REVIEW_EVERY: Duration = Duration::from_secs(1);
/// How often a process that has just started does so, which learns of most members then.
const REVIEW_EARLY: Duration = Duration::from_millis(200);
/// For how long a process has just started.
const EARLY: Duration = Duration::from_secs(5);
/// Up to how many members are few.
const FEW_MEMBERS: usize = 64;

/// For how long a process that asked for everything is told news beside the children.
///
/// It takes this process for its parent, which other members may not do yet.
const GUEST_FOR: Duration = Duration::from_secs(5);

/// This process's part in passing news on.
#[derive(Debug, Default)]
pub(super) struct Relay {
    tree: Tree,
    started: Option<Time>,
    due: Time,
    /// Up to where news has been passed on.
    passed: StoreRevision,
    /// Who has asked for everything lately, and until when each is told news.
    guests: OrderedMap<HostId, Time>,
}

impl Relay {
    /// Finds out now and then which place this process has.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if cx.cfg.watchers != Watchers::Relayed || !self.due.is_due(cx.now) {
            return;
        }
        let started = *self.started.get_or_insert(cx.now);
        let is_early = !started.after(EARLY).is_due(cx.now);
        self.due = cx.now.after(if is_early { REVIEW_EARLY } else { REVIEW_EVERY });
        let was_root = self.tree.is_root;
        self.tree = Tree::of(cx);
        if self.tree.is_root != was_root {
            cx.push(Effect::ReadNewsForOthers(self.tree.is_root));
        }
    }

    /// Passes on what this process has read.
    pub(super) fn on_read(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.tell_children(cx, news);
    }

    /// Passes on what a peer has told.
    ///
    /// While two processes know different members, each may take itself for the
    /// other's parent. So nothing is passed on twice, unless it comes from the
    /// parent: then it shows the children that nothing has changed.
    pub(super) fn on_news(&mut self, cx: &mut Cx<'_>, from: &HostId, news: &News) {
        if news.upto > self.passed || self.is_parent(from) {
            self.tell_children(cx, news);
        }
    }

    /// Takes note that a process has asked for everything.
    pub(super) fn note_asked(&mut self, now: Time, from: &HostId) {
        self.guests.insert(from.clone(), now.after(GUEST_FOR));
    }

    /// Passes on what all processes are to hear.
    pub(super) fn on_spread(&self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        if self.tree.is_root || self.is_parent(from) {
            for child in &self.tree.children {
                cx.send(child, message.clone());
            }
        }
    }

    /// Asks the parent for everything.
    pub(super) fn ask_parent(&self, cx: &mut Cx<'_>) {
        if let Some(parent) = &self.tree.parent {
            cx.send(parent, PeerMessage::StateWanted);
        }
    }

    fn is_parent(&self, host: &HostId) -> bool {
        self.tree.parent.as_ref() == Some(host)
    }

    fn tell_children(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.passed = self.passed.max(news.upto);
        self.guests.retain(|_, until| !until.is_due(cx.now));
        let guests = self.guests.keys().filter(|guest| !self.tree.children.contains(guest));
        for host in self.tree.children.iter().chain(guests) {
            cx.send(host, PeerMessage::News(news.clone()));
        }
    }
}

/// Tells whether the members are so many that what all of them do at once is too much for anyone.
pub(super) fn are_members_many(cx: &Cx<'_>) -> bool {
    cx.cache.members().nth(FEW_MEMBERS).is_some()
}

/// Sends a message to every other live member, by way of the trees where there are many.
pub(crate) fn broadcast_via_relay(cx: &mut Cx<'_>, message: &PeerMessage) {
    if cx.cfg.watchers != Watchers::Relayed || !are_members_many(cx) {
        return cx.broadcast(message);
    }
    let spread = PeerMessage::Spread { origin: cx.cfg.host.clone(), message: Box::new(message.clone()) };
    for root in roots(cx) {
        cx.send(&root, spread.clone());
    }
}
