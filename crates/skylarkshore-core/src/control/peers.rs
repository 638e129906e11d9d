//! Which other processes live, as far as they themselves show it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::hashing::name_hash;
use super::membership::Membership;
use crate::collections::{OrderedMap, OrderedSet};
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{HostId, Incarnation, StoreRevision};
use crate::peer::PeerMessage;
use crate::store::MemberRecord;
use crate::time::Time;

/// How many peers hear the same process's heartbeats regularly.
const RING_SUCCESSORS: usize = 5;
/// How long a former member is remembered.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Over how long members that vanish count as vanished together.
const TOGETHER: Duration = Duration::from_secs(15);
/// How many members vanish together before an outage is suspected.
const FEWEST_TOGETHER: usize = 2;
/// How often a process is probed whose life is in question.
const PROBE_EVERY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: Incarnation,
    at: Time,
}

#[derive(Clone, Copy, Debug)]
struct LastMember {
    incarnation: Incarnation,
    address: SocketAddr,
}

/// What is known of one other process.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    heard: Option<Heard>,
    member: Option<LastMember>,
    /// Every life before this one has ended for certain.
    ended_before: Incarnation,
    next_probe: Time,
    /// When it became a member, or last said that it reaches the key-value service.
    reached_store: Time,
    seen: Time,
}

/// What a process tells its peers of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnState {
    /// The revision up to which it knows the shared keys.
    pub(super) frontier: StoreRevision,
    pub(super) is_store_reachable: bool,
    pub(super) is_watching: bool,
    pub(super) is_leaving: bool,
}

/// What is known of the other processes.
#[derive(Debug, Default)]
pub(super) struct Peers {
    known: OrderedMap<HostId, Peer>,
    vanished: VecDeque<Time>,
    next_heartbeat: Time,
    /// The other members in the order in which they follow this one on the hash ring.
    ring: Vec<HostId>,
    /// The members of which the ring was made.
    ring_version: Option<u64>,
}

impl Peers {
    /// Tells whether this life of a process has ended for certain.
    pub(super) fn has_ended(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.known.get(host).is_some_and(|peer| incarnation < peer.ended_before)
    }

    /// Tells whether this life of a process was heard of lately.
    pub(super) fn is_heard(&self, cx: &Cx<'_>, host: &HostId, incarnation: Incarnation) -> bool {
        let heard = self.known.get(host).and_then(|peer| peer.heard);
        heard.is_some_and(|heard| {
            heard.incarnation == incarnation && !heard.at.after(cx.cfg.timings.peer_timeout).is_due(cx.now)
        })
    }

    /// Returns when a process was heard of last.
    pub(super) fn last_heard(&self, host: &HostId) -> Option<Time> {
        self.known.get(host).and_then(|peer| peer.heard).map(|heard| heard.at)
    }

    /// Returns when a process last said that it reaches the key-value service, or became a member.
    pub(super) fn reached_store(&self, host: &HostId) -> Time {
        self.known.get(host).map_or(Time::START, |peer| peer.reached_store)
    }

    /// Tells whether so many members vanished together that the key-value service is to blame.
    ///
    /// After an outage, every lease may have lapsed though every process lives.
    /// If each of them took the others' engines over, all engines would change
    /// hands at once, several times.
    pub(super) fn have_vanished_together(&self, cx: &Cx<'_>) -> bool {
        let lately = self.vanished.iter().filter(|at| !at.after(TOGETHER).is_due(cx.now)).count();
        lately >= FEWEST_TOGETHER && lately >= cx.cache.members().count()
    }

    /// Returns the live members that may own something and keep it.
    pub(super) fn eligible(&self, cx: &Cx<'_>, membership: &Membership) -> Vec<HostId> {
        let goes = |host: &HostId, member: &MemberRecord| {
            member.leaving || (*host == cx.cfg.host && membership.is_leaving())
        };
        let ended = |host: &HostId, member: &MemberRecord| {
            let other_life = *host == cx.cfg.host && member.incarnation != cx.cfg.incarnation;
            other_life || self.has_ended(host, member.incarnation)
        };
        let members = cx.cache.members();
        members
            .filter(|(host, member)| !goes(host, member) && !ended(host, member))
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Takes note of a peer's message.
    pub(super) fn on_peer(&mut self, cx: &Cx<'_>, from: &HostId, message: &PeerMessage) {
        let peer = self.known.entry(from.clone()).or_default();
        peer.seen = cx.now;
        if let PeerMessage::Heartbeat { incarnation, store_reachable, .. } = message {
            if *incarnation < peer.ended_before {
                return;
            }
            peer.ended_before = *incarnation;
            peer.heard = Some(Heard { incarnation: *incarnation, at: cx.now });
            if *store_reachable {
                peer.reached_store = cx.now;
            }
        }
    }

    /// Takes note that a life of a process has ended for certain.
    pub(super) fn on_refused(&mut self, cx: &mut Cx<'_>, host: &HostId, incarnation: Incarnation) {
        let peer = self.known.entry(host.clone()).or_default();
        peer.seen = cx.now;
        if incarnation < peer.ended_before {
            return;
        }
        peer.ended_before = incarnation.next();
        cx.log_event("process_ended", host.clone(), format!("incarnation {incarnation} refuses connections"));
    }

    /// Takes note of a change of a member key.
    pub(super) fn on_member(&mut self, cx: &Cx<'_>, host: &HostId) {
        let peer = self.known.entry(host.clone()).or_default();
        peer.seen = cx.now;
        let Some(member) = cx.cache.member(host) else {
            self.vanished.push_back(cx.now);
            return;
        };
        peer.ended_before = peer.ended_before.max(member.incarnation);
        if peer.member.is_none_or(|known| known.incarnation != member.incarnation) {
            peer.reached_store = cx.now;
        }
        peer.member = Some(LastMember { incarnation: member.incarnation, address: member.caller_address });
    }

    /// Asks whether a life of a process has ended, now and then.
    pub(super) fn probe(&mut self, cx: &mut Cx<'_>, host: &HostId, incarnation: Incarnation) {
        let Some(peer) = self.known.get_mut(host) else { return };
        let Some(member) = peer.member.filter(|member| member.incarnation == incarnation) else { return };
        if !peer.next_probe.is_due(cx.now) {
            return;
        }
        peer.next_probe = cx.now.after(PROBE_EVERY);
        cx.push(Effect::Probe { host: host.clone(), incarnation, address: member.address });
    }

    /// Returns the next few members on the hash ring, and one more at random.
    ///
    /// The number doesn't grow with the deployment; news and signs of life still
    /// spread within a few rounds, since every member has as many senders.
    fn heartbeat_receivers(&mut self, cx: &mut Cx<'_>) -> OrderedSet<HostId> {
        let version = cx.cache.members_version();
        if self.ring_version != Some(version) {
            self.ring = ring(cx);
            self.ring_version = Some(version);
        }
        let mut receivers: OrderedSet<HostId> = self.ring.iter().take(RING_SUCCESSORS).cloned().collect();
        let rest = self.ring.get(RING_SUCCESSORS..).unwrap_or_default();
        if !rest.is_empty() {
            receivers.insert(rest[cx.rng.random_range(0..rest.len())].clone());
        }
        receivers
    }

    /// Sends the heartbeats that are due and forgets who went long ago.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, own: OwnState) {
        if !self.next_heartbeat.is_due(cx.now) {
            return;
        }
        let every = cx.cfg.timings.heartbeat_every;
        self.next_heartbeat = cx.now.after(every / 2 + cx.jitter(every / 2));
        self.vanished.retain(|at| !at.after(TOGETHER).is_due(cx.now));
        self.known.retain(|host, peer| {
            cx.cache.member(host).is_some() || !peer.seen.after(FORGET_AFTER).is_due(cx.now)
        });
        let message = PeerMessage::Heartbeat {
            incarnation: cx.cfg.incarnation,
            rules: cx.document.revision,
            store: own.frontier,
            store_reachable: own.is_store_reachable,
            leaving: own.is_leaving,
        };
        let mut receivers = self.heartbeat_receivers(cx);
        // Only where one process watches for its data centre do the others wait for its signs of life.
        if cx.cfg.watchers == Watchers::OnePerDataCentre && own.is_watching {
            receivers.extend(neighbours(cx));
        }
        for host in receivers {
            cx.send(&host, message.clone());
        }
    }
}

/// Returns the other members in the order in which they follow this one on the hash ring.
fn ring(cx: &Cx<'_>) -> Vec<HostId> {
    let own = &cx.cfg.host;
    let own_place = name_hash(own.as_str());
    let mut others: Vec<HostId> =
        cx.cache.members().map(|(host, _)| host).filter(|host| *host != own).cloned().collect();
    others.sort_by_cached_key(|host| name_hash(host.as_str()).wrapping_sub(own_place));
    others
}

/// Returns the other members of this data centre.
pub(super) fn neighbours(cx: &Cx<'_>) -> impl Iterator<Item = HostId> {
    let own = cx.cfg;
    let near = move |host: &HostId, member: &MemberRecord| {
        *host != own.host && member.data_centre == own.data_centre
    };
    cx.cache.members().filter(move |(host, member)| near(host, member)).map(|(host, _)| host.clone())
}
