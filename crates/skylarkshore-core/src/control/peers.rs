//! Failure detector: heartbeats, probes, and what they show about the other processes.
//!
//! Start reading at [`Peers`].

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
use crate::id::{Digest, HostId, Incarnation, StoreRevision};
use crate::peer::PeerMessage;
use crate::store::{Key, MemberRecord};
use crate::time::Time;

/// Number of ring successors that receive every heartbeat.
const RING_SUCCESSORS: usize = 5;
/// How long a member that needs to know this process's state receives heartbeats.
const TEMPORARY_RECEIVER_TTL: Duration = Duration::from_secs(5);
/// How long a former member is remembered.
const FORGET_PEER_AFTER: Duration = Duration::from_mins(10);
/// Time window in which deleted member keys count as one mass expiry.
const MASS_EXPIRY_WINDOW: Duration = Duration::from_secs(15);
/// Minimum number of deleted keys in that window before a store outage is suspected.
const MASS_EXPIRY_MIN_MEMBERS: usize = 2;
/// Minimum interval between two probes of the same process.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    incarnation: Incarnation,
    at: Time,
}

#[derive(Clone, Copy, Debug)]
struct LastRegistration {
    incarnation: Incarnation,
    /// Tells two starts with the same number apart.
    fingerprint: Digest,
    /// The first revision at which it was read.
    revision: StoreRevision,
    address: SocketAddr,
}

/// What is known about another process.
///
/// The starts of a host are in the order of their registrations, which the key-value service decides. Their
/// numbers are times of day, which may go back between two starts; they tell the order only until the
/// later one is registered.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    last_heartbeat: Option<LastHeartbeat>,
    registration: Option<LastRegistration>,
    /// The incarnation taken for the latest one.
    latest: Incarnation,
    /// The highest incarnation that the registered one has replaced.
    replaced_upto: Incarnation,
    /// The incarnation whose address was found closed, or used by another one.
    refused: Option<Incarnation>,
    next_probe: Time,
    /// When it registered, or last reported that it reaches the key-value service.
    store_reached_at: Time,
    /// When it last sent a message, refused a connection or had its member key changed.
    last_seen: Time,
}

impl Peer {
    fn is_registered(&self, incarnation: Incarnation) -> bool {
        self.registration.is_some_and(|registration| registration.incarnation == incarnation)
    }

    /// Reports whether an incarnation has definitely ended, which a record named at a revision.
    fn has_ended(&self, incarnation: Incarnation, named_at: StoreRevision) -> bool {
        if self.refused == Some(incarnation) {
            return true;
        }
        let Some(registration) = self.registration else { return incarnation < self.latest };
        if registration.incarnation == incarnation {
            return incarnation < self.latest;
        }
        registration.revision > named_at
    }

    /// Reports whether a process may be the latest one by its number.
    fn may_be_latest(&self, incarnation: Incarnation) -> bool {
        incarnation == self.latest || incarnation > self.latest.max(self.replaced_upto)
    }

    /// Takes over a registration; reports whether it is that of another process than the one before.
    fn register(&mut self, revision: StoreRevision, member: &MemberRecord) -> bool {
        let known = self.registration.filter(|known| {
            known.incarnation == member.incarnation && known.fingerprint == member.fingerprint
        });
        let former = self.registration.map(|known| known.incarnation);
        self.registration = Some(LastRegistration {
            incarnation: member.incarnation,
            fingerprint: member.fingerprint,
            revision: known.map_or(revision, |known| known.revision),
            address: member.caller_address,
        });
        if known.is_some() {
            return false;
        }
        let replaced = former.into_iter().chain(self.refused).chain([self.latest]);
        let replaced = replaced.filter(|replaced| *replaced != member.incarnation).max();
        self.replaced_upto = self.replaced_upto.max(replaced.unwrap_or_default());
        self.latest = member.incarnation;
        self.refused = None;
        true
    }
}

/// State of this process that its heartbeats carry.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalStatus {
    /// The revision up to which it knows the shared keys.
    pub(super) frontier: StoreRevision,
    pub(super) is_store_reachable: bool,
    pub(super) is_watching: bool,
    pub(super) is_leaving: bool,
}

/// What is known about the other processes.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_host: OrderedMap<HostId, Peer>,
    /// When member keys were recently deleted.
    recent_expiries: VecDeque<Time>,
    next_heartbeat: Time,
    /// Members that receive heartbeats in addition to those on the ring, and until when.
    temporary_receivers: OrderedMap<HostId, Time>,
    /// The other members in hash ring order, starting after this process.
    ring: Vec<HostId>,
    /// The version of the members from which the ring was built.
    ring_members_version: Option<u64>,
}

impl Peers {
    /// Reports whether an incarnation of a process has definitely ended, which a record named at a revision.
    pub(super) fn has_ended(&self, host: &HostId, incarnation: Incarnation, named_at: StoreRevision) -> bool {
        self.by_host.get(host).is_some_and(|peer| peer.has_ended(incarnation, named_at))
    }

    /// Reports whether the process that is registered under a host's name has definitely ended.
    fn has_registered_ended(&self, host: &HostId) -> bool {
        let peer = self.by_host.get(host);
        let registered = peer.and_then(|peer| Some((peer, peer.registration?)));
        registered.is_some_and(|(peer, known)| peer.has_ended(known.incarnation, known.revision))
    }

    /// Reports whether a heartbeat of this incarnation arrived within the peer timeout.
    pub(super) fn has_recent_heartbeat(&self, cx: &Cx<'_>, host: &HostId, incarnation: Incarnation) -> bool {
        let last_heartbeat = self.by_host.get(host).and_then(|peer| peer.last_heartbeat);
        last_heartbeat.is_some_and(|heartbeat| {
            heartbeat.incarnation == incarnation
                && !heartbeat.at.after(cx.cfg.timings.peer_timeout).is_due(cx.now)
        })
    }

    pub(super) fn last_heartbeat_at(&self, host: &HostId) -> Option<Time> {
        self.by_host.get(host).and_then(|peer| peer.last_heartbeat).map(|heartbeat| heartbeat.at)
    }

    /// Returns when a process last reported that it reaches the key-value service, or registered.
    pub(super) fn store_reached_at(&self, host: &HostId) -> Time {
        self.by_host.get(host).map_or(Time::START, |peer| peer.store_reached_at)
    }

    /// Reports whether so many members vanished within a short time that a store outage
    /// is the likely cause.
    ///
    /// After an outage every lease may have expired although all processes are alive.
    /// If each of them took over the engines of the others, all engines would change
    /// owners at once, several times.
    pub(super) fn is_mass_expiry(&self, cx: &Cx<'_>) -> bool {
        let recent =
            self.recent_expiries.iter().filter(|at| !at.after(MASS_EXPIRY_WINDOW).is_due(cx.now)).count();
        recent >= MASS_EXPIRY_MIN_MEMBERS && recent >= cx.cache.members().count()
    }

    /// Returns the live members that may become owners: those that neither leave nor have
    /// been replaced or ended.
    pub(super) fn eligible(&self, cx: &Cx<'_>, membership: &Membership) -> Vec<HostId> {
        let leaves = |host: &HostId, member: &MemberRecord| {
            member.leaving || (*host == cx.cfg.host && membership.is_leaving())
        };
        let is_replaced = |host: &HostId, member: &MemberRecord| {
            let is_other_incarnation = *host == cx.cfg.host && member.incarnation != cx.cfg.incarnation;
            is_other_incarnation || self.has_registered_ended(host)
        };
        let members = cx.cache.members();
        members
            .filter(|(host, member)| !leaves(host, member) && !is_replaced(host, member))
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Handles a peer message.
    pub(super) fn on_peer(&mut self, cx: &Cx<'_>, from: &HostId, message: &PeerMessage) {
        let peer = self.by_host.entry(from.clone()).or_default();
        peer.last_seen = cx.now;
        if let PeerMessage::Heartbeat { incarnation, store_reachable, .. } = message {
            if !peer.may_be_latest(*incarnation) {
                return;
            }
            peer.latest = *incarnation;
            peer.last_heartbeat = Some(LastHeartbeat { incarnation: *incarnation, at: cx.now });
            if *store_reachable {
                peer.store_reached_at = cx.now;
            }
        }
    }

    /// Records that an incarnation has definitely ended.
    pub(super) fn on_connection_refused(&mut self, cx: &mut Cx<'_>, host: &HostId, incarnation: Incarnation) {
        let peer = self.by_host.entry(host.clone()).or_default();
        peer.last_seen = cx.now;
        if peer.refused == Some(incarnation) || !peer.is_registered(incarnation) {
            return;
        }
        peer.refused = Some(incarnation);
        cx.log_event("process_ended", host.clone(), format!("incarnation {incarnation} refuses connections"));
    }

    /// Handles a change of a member key.
    pub(super) fn on_member(&mut self, cx: &Cx<'_>, host: &HostId) {
        let peer = self.by_host.entry(host.clone()).or_default();
        peer.last_seen = cx.now;
        let entry = cx.cache.get(&Key::Member(host.clone()));
        let Some((revision, member)) = entry.map(|entry| entry.revision).zip(cx.cache.member(host)) else {
            self.recent_expiries.push_back(cx.now);
            return;
        };
        if peer.register(revision, member) {
            peer.store_reached_at = cx.now;
        }
    }

    /// Probes whether an incarnation has ended, at a limited rate.
    pub(super) fn probe(&mut self, cx: &mut Cx<'_>, host: &HostId, incarnation: Incarnation) {
        let Some(peer) = self.by_host.get_mut(host) else { return };
        let Some(last) = peer.registration.filter(|last| last.incarnation == incarnation) else { return };
        if !peer.next_probe.is_due(cx.now) {
            return;
        }
        peer.next_probe = cx.now.after(PROBE_INTERVAL);
        cx.push(Effect::Probe { host: host.clone(), incarnation, address: last.address });
    }

    /// Returns the next few members on the hash ring and one random other.
    ///
    /// The number does not grow with the cluster. Since every member receives
    /// heartbeats from as many senders, news still spreads within a few rounds.
    fn heartbeat_receivers(&mut self, cx: &mut Cx<'_>) -> OrderedSet<HostId> {
        let version = cx.cache.members_version();
        if self.ring_members_version != Some(version) {
            self.ring = ring(cx);
            self.ring_members_version = Some(version);
        }
        let mut receivers: OrderedSet<HostId> = self.ring.iter().take(RING_SUCCESSORS).cloned().collect();
        let rest = self.ring.get(RING_SUCCESSORS..).unwrap_or_default();
        if !rest.is_empty() {
            receivers.insert(rest[cx.rng.random_range(0..rest.len())].clone());
        }
        receivers
    }

    /// Sends heartbeats to a member for a while, by which it knows that this process has the shared keys.
    pub(super) fn send_heartbeats_to(&mut self, now: Time, host: &HostId) {
        self.temporary_receivers.insert(host.clone(), now.after(TEMPORARY_RECEIVER_TTL));
        self.next_heartbeat = now;
    }

    /// Sends the heartbeats that are due and removes processes that were last seen long ago.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, own: LocalStatus) {
        if !self.next_heartbeat.is_due(cx.now) {
            return;
        }
        let every = cx.cfg.timings.heartbeat_every;
        self.next_heartbeat = cx.now.after(every / 2 + cx.jitter(every / 2));
        self.recent_expiries.retain(|at| !at.after(MASS_EXPIRY_WINDOW).is_due(cx.now));
        self.by_host.retain(|host, peer| {
            cx.cache.member(host).is_some() || !peer.last_seen.after(FORGET_PEER_AFTER).is_due(cx.now)
        });
        let message = PeerMessage::Heartbeat {
            incarnation: cx.cfg.incarnation,
            rules: cx.document.revision,
            store: own.frontier,
            store_reachable: own.is_store_reachable,
            leaving: own.is_leaving,
        };
        self.temporary_receivers.retain(|_, until| !until.is_due(cx.now));
        let mut receivers = self.heartbeat_receivers(cx);
        receivers.extend(self.temporary_receivers.keys().filter(|host| **host != cx.cfg.host).cloned());
        // Other members monitor the watcher's heartbeats only if one process watches per data centre.
        if cx.cfg.watchers == Watchers::OnePerDataCentre && own.is_watching {
            receivers.extend(data_centre_peers(cx));
        }
        for host in receivers {
            cx.send(&host, message.clone());
        }
    }
}

/// Returns the other members in hash ring order, starting after this process.
fn ring(cx: &Cx<'_>) -> Vec<HostId> {
    let own = &cx.cfg.host;
    let own_position = name_hash(own.as_str());
    let mut others: Vec<HostId> =
        cx.cache.members().map(|(host, _)| host).filter(|host| *host != own).cloned().collect();
    others.sort_by_cached_key(|host| name_hash(host.as_str()).wrapping_sub(own_position));
    others
}

pub(super) fn data_centre_peers(cx: &Cx<'_>) -> impl Iterator<Item = HostId> {
    let own = cx.cfg;
    let in_data_centre = move |host: &HostId, member: &MemberRecord| {
        *host != own.host && member.data_centre == own.data_centre
    };
    cx.cache
        .members()
        .filter(move |(host, member)| in_data_centre(host, member))
        .map(|(host, _)| host.clone())
}
