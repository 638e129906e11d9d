//! How a process that starts learns all that the key-value service holds.
//!
//! Where all processes start together, the service would send everything to each
//! of them, and its link would be busy with that for longer than callers wait.
//! In a large fleet a process reads only who the members are, and asks one of
//! them for the rest; where nobody answers it reads for itself.

use std::time::Duration;

use rand::Rng;

use super::feed::Feed;
use super::peers::neighbours;
use super::relay::are_members_many;
use super::tree::Tree;
use crate::collections::OrderedMap;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, HostId, StoreRevision};
use crate::peer::{PeerMessage, StatePart};
use crate::store::{StoreAnswer, StoreCall, StoreResult};
use crate::time::Time;

/// How long a process waits before it reads the members again, so that others that start with it are registered.
const REGISTERED_WITHIN: Duration = Duration::from_millis(700);
/// How often at most the members are read because an unknown process has connected.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// How many times the time-out of a call the members are waited for, which come in several.
const LOST_AFTER_TIMEOUTS: u32 = 8;
/// How many times the parent is asked before anybody else is.
const ASKS_OF_PARENT: u32 = 3;
/// After how long without an answer another member is asked.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// After how long a member is told everything again that asks for it again.
const TELL_AGAIN_AFTER: Duration = Duration::from_secs(4);
/// How many members are asked, and how often it is waited for one of them to know more itself.
const MOST_ASKS: u32 = 6;

#[derive(Clone, Debug)]
enum Stage {
    /// The members are being read; their keys may be those of former processes.
    ReadingMembers { call: CallId },
    /// They are to be read again.
    Waiting { until: Time },
    /// They are being read again.
    ReadingAgain { call: CallId, lost_at: Time },
    /// Somebody is to be asked.
    Resting { until: Time },
}

/// How far this process has come with learning everything, and who waits for it.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    stage: Option<Stage>,
    asks: u32,
    next_look: Time,
    /// Members that asked before this process knew everything itself.
    waiting: Vec<HostId>,
    /// When members were told everything.
    told: OrderedMap<HostId, Time>,
}

impl CatchUp {
    /// Begins to learn everything.
    pub(super) fn start(&mut self, cx: &mut Cx<'_>, feed: &mut Feed) {
        if cx.cfg.watchers != Watchers::Relayed {
            return feed.read(cx);
        }
        let call = cx.next_call();
        self.stage = Some(Stage::ReadingMembers { call });
        cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
    }

    /// Takes the result of a call if it is one of this part.
    pub(super) fn on_store(&mut self, cx: &mut Cx<'_>, feed: &mut Feed, call: CallId, result: &StoreResult) {
        match self.stage.clone() {
            Some(Stage::ReadingMembers { call: own }) if own == call => {
                let is_known = matches!(result, Ok(StoreAnswer::Members(_)));
                if !is_known || !are_members_many(cx) {
                    self.stage = None;
                    return feed.read(cx);
                }
                self.stage = Some(Stage::Waiting { until: cx.now.after(cx.jitter(REGISTERED_WITHIN)) });
            }
            Some(Stage::ReadingAgain { call: own, .. }) if own == call => self.on_members(cx, feed),
            _ => {}
        }
    }

    /// Begins to ask, unless it is this process that reads for the others.
    fn on_members(&mut self, cx: &mut Cx<'_>, feed: &mut Feed) {
        if Tree::of(cx).is_root {
            self.stage = None;
            return feed.read(cx);
        }
        feed.await_state(cx);
        self.ask(cx, feed);
    }

    /// Reads who the members are, since a process has connected that isn't known as one.
    pub(super) fn on_unknown_peer(&mut self, cx: &mut Cx<'_>) {
        if cx.cfg.watchers == Watchers::Relayed && self.next_look.is_due(cx.now) {
            self.next_look = cx.now.after(LOOK_EVERY);
            let call = cx.next_call();
            cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
        }
    }

    /// Asks the next member when that is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, feed: &mut Feed) {
        if feed.is_synced() || !feed.is_store_reachable() {
            self.stage = None;
            return;
        }
        match &self.stage {
            Some(Stage::Waiting { until }) if until.is_due(cx.now) => self.read_again(cx),
            Some(Stage::ReadingAgain { lost_at, .. }) if lost_at.is_due(cx.now) => self.on_members(cx, feed),
            Some(Stage::Resting { until }) if until.is_due(cx.now) => self.ask(cx, feed),
            _ => {}
        }
    }

    fn read_again(&mut self, cx: &mut Cx<'_>) {
        let call = cx.next_call();
        let lost_at = cx.now.after(cx.cfg.timings.store_timeout * LOST_AFTER_TIMEOUTS);
        self.stage = Some(Stage::ReadingAgain { call, lost_at });
        cx.push(Effect::Store { call, request: StoreCall::ReadMembers });
    }

    /// Asks a member, or reads everything where enough have been asked.
    fn ask(&mut self, cx: &mut Cx<'_>, feed: &mut Feed) {
        let host = self.next_to_ask(cx).filter(|_| self.asks < MOST_ASKS);
        let Some(host) = host else {
            self.stage = None;
            return feed.read(cx);
        };
        self.asks += 1;
        cx.push(Effect::ExtendStateWait);
        cx.send(&host, PeerMessage::StateWanted);
        self.stage = Some(Stage::Resting { until: cx.now.after(ASK_AGAIN_AFTER) });
    }

    /// Returns whom to ask: the parent, which may have to learn of this process first, then anybody near.
    fn next_to_ask(&self, cx: &mut Cx<'_>) -> Option<HostId> {
        if self.asks < ASKS_OF_PARENT
            && let Some(parent) = Tree::of(cx).parent
        {
            return Some(parent);
        }
        let near: Vec<HostId> = neighbours(cx).collect();
        (!near.is_empty()).then(|| near[cx.rng.random_range(0..near.len())].clone())
    }

    /// Takes a peer's message, where it concerns this part.
    pub(super) fn on_peer(&mut self, cx: &mut Cx<'_>, feed: &Feed, from: &HostId, message: &PeerMessage) {
        match message {
            PeerMessage::StateWanted => {
                if !self.waiting.contains(from) && !self.is_being_told(cx.now, from) {
                    self.waiting.push(from.clone());
                }
                cx.send(from, PeerMessage::StateComing);
                self.on_synced(cx, feed);
            }
            PeerMessage::StateComing => {
                if let Some(Stage::Resting { until }) = &mut self.stage {
                    *until = cx.now.after(ASK_AGAIN_AFTER * 2);
                    cx.push(Effect::ExtendStateWait);
                }
            }
            PeerMessage::State(part) => self.on_part(cx, part),
            _ => {}
        }
    }

    /// Takes a part of the state, and gives the next ones time to come.
    fn on_part(&mut self, cx: &mut Cx<'_>, part: &StatePart) {
        if let Some(Stage::Resting { until }) = &mut self.stage {
            *until = cx.now.after(ASK_AGAIN_AFTER);
        }
        cx.push(Effect::ApplyStatePart(part.clone()));
    }

    /// Tells those who have waited, now that everything is known.
    pub(super) fn on_synced(&mut self, cx: &mut Cx<'_>, feed: &Feed) {
        if !feed.is_synced() || self.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        self.told.retain(|_, at| !at.after(TELL_AGAIN_AFTER).is_due(cx.now));
        self.told.extend(waiting.iter().map(|host| (host.clone(), cx.now)));
        tell_state(cx, feed, waiting);
    }

    /// Tells whether everything is probably on its way to a process that asks for it again.
    fn is_being_told(&self, now: Time, host: &HostId) -> bool {
        self.told.get(host).is_some_and(|at| !at.after(TELL_AGAIN_AFTER).is_due(now))
    }
}

fn tell_state(cx: &mut Cx<'_>, feed: &Feed, to: Vec<HostId>) {
    let everything = cx.cache.changes_after(StoreRevision(0));
    let records = everything.filter(|entry| entry.record.is_some()).cloned().collect();
    let series = cx.rng.random();
    cx.push(Effect::SendState { to, series, upto: feed.frontier(), records });
}
