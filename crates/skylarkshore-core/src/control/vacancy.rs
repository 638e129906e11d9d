//! When an engine whose owner is gone may be taken over.

use std::time::Duration;

use super::hashing::HashedHosts;
use super::knowledge::Knowledge;
use crate::collections::{HashSet, OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{HostId, Incarnation, StoreRevision, UpstreamId};
use crate::store::{Key, OwnerRecord, StoreCall};
use crate::time::Time;
use crate::upstream::FenceCheck;

/// How long a member that lives but lost its key is given to register again.
const RETURN_GRACE: Duration = Duration::from_secs(15);
/// How long the process that should take an engine is given before the next one tries.
const NEXT_IN_RANK: Duration = Duration::from_secs(5);
/// How long the members have to stay the same before new engines are shared out.
///
/// When all hosts start together, the first one sees no other. If it took every
/// engine at once, they would have to be handed over one after the other.
const QUIET_FOR: Duration = Duration::from_millis(1500);
/// How long new engines wait at most for that.
const QUIET_AT_LAST: Duration = Duration::from_secs(5);
/// How often an uncertain member key is read.
const READ_EVERY: Duration = Duration::from_secs(2);

/// Where an engine's owner stands, as far as this process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerState {
    Present,
    /// Its member key was absent after it became owner.
    Absent,
    /// Its life has ended for certain.
    Ended,
    /// The key was absent before it became owner; the news is too old to tell.
    Uncertain,
}

/// An engine without a live owner.
#[derive(Clone, Debug)]
struct Vacancy {
    host: HostId,
    incarnation: Incarnation,
    record: StoreRevision,
    since: Time,
    ready: Time,
}

/// An engine that may be taken over now.
#[derive(Clone, Debug)]
pub(super) struct Vacant {
    pub(super) engine: UpstreamId,
    pub(super) former: Option<Former>,
}

/// The record of the former owner.
#[derive(Clone, Debug)]
pub(super) struct Former {
    pub(super) revision: StoreRevision,
    pub(super) owner: OwnerRecord,
    /// Whether its life has ended for certain.
    pub(super) ended: bool,
}

/// The engines whose owners are gone.
#[derive(Debug, Default)]
pub(super) struct Vacancies {
    absent: OrderedMap<UpstreamId, Vacancy>,
    /// Engines that nobody has owned yet, and since when they are known.
    unowned: OrderedMap<UpstreamId, Time>,
    reads: OrderedMap<HostId, Time>,
    probes: OrderedMap<HostId, Incarnation>,
}

impl Vacancies {
    /// Returns since when an engine's owner has been gone.
    pub(super) fn since(&self, engine: &UpstreamId) -> Option<Time> {
        self.absent.get(engine).map(|vacancy| vacancy.since)
    }

    /// Returns how many engines have no live owner.
    pub(super) fn len(&self) -> usize {
        self.absent.len() + self.unowned.len()
    }

    /// Forgets an engine that has an owner again.
    pub(super) fn forget(&mut self, engine: &UpstreamId) {
        self.absent.remove(engine);
        self.unowned.remove(engine);
    }

    /// Forgets the engines that are no longer known.
    pub(super) fn retain(&mut self, engines: &OrderedSet<UpstreamId>) {
        self.absent.retain(|engine, _| engines.contains(engine));
        self.unowned.retain(|engine, _| engines.contains(engine));
    }

    /// Forgets the engines that have an owner again.
    pub(super) fn keep_open(&mut self, open: &[UpstreamId]) {
        let open: HashSet<&UpstreamId> = open.iter().collect();
        self.absent.retain(|engine, _| open.contains(engine));
        self.unowned.retain(|engine, _| open.contains(engine));
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Looks at an engine and tells whether this process may take it over now.
    pub(super) fn look(
        &mut self,
        cx: &mut Cx<'_>,
        knowledge: &Knowledge<'_>,
        hosts: &HashedHosts<'_>,
        engine: &UpstreamId,
        share: Option<&HostId>,
    ) -> Option<Vacant> {
        let Some((revision, owner)) = cx.cache.owner(engine) else {
            let since = *self.unowned.entry(engine.clone()).or_insert(cx.now);
            let quiet = knowledge.eligible_since.after(QUIET_FOR).min(since.after(QUIET_AT_LAST));
            if !quiet.is_due(cx.now) {
                return None;
            }
            let vacant = Vacant { engine: engine.clone(), former: None };
            return is_own_turn(cx, hosts, engine, share, since).then_some(vacant);
        };
        self.unowned.remove(engine);
        let owner = owner.clone();
        let state = owner_state(cx, knowledge, revision, &owner);
        match state {
            OwnerState::Present => {
                self.absent.remove(engine);
                return None;
            }
            OwnerState::Uncertain => {
                self.read_member(cx, &owner.host);
                return None;
            }
            OwnerState::Absent => self.want_probe(knowledge, engine, &owner),
            OwnerState::Ended => {}
        }
        let ended = state == OwnerState::Ended;
        let since = self.note(cx, knowledge, engine, revision, &owner, ended)?;
        let vacant = Vacant { engine: engine.clone(), former: Some(Former { revision, owner, ended }) };
        is_own_turn(cx, hosts, engine, share, since).then_some(vacant)
    }

    /// Takes note of the vacancy; returns since when the engine may be taken, if it may.
    fn note(
        &mut self,
        cx: &Cx<'_>,
        knowledge: &Knowledge<'_>,
        engine: &UpstreamId,
        record: StoreRevision,
        owner: &OwnerRecord,
        ended: bool,
    ) -> Option<Time> {
        let known = self.absent.get(engine);
        let same = known.is_some_and(|known| {
            known.record == record && known.host == owner.host && known.incarnation == owner.incarnation
        });
        if !same {
            let vacancy = Vacancy {
                host: owner.host.clone(),
                incarnation: owner.incarnation,
                record,
                since: cx.now,
                ready: ready_at(cx, knowledge, engine, owner),
            };
            self.absent.insert(engine.clone(), vacancy);
        }
        let vacancy = self.absent.get_mut(engine)?;
        if ended {
            vacancy.ready = vacancy.ready.min(cx.now);
        }
        vacancy.ready.is_due(cx.now).then_some(vacancy.ready)
    }

    /// Returns the lives of processes whose end would allow a take-over at once.
    pub(super) fn take_probes(&mut self) -> OrderedMap<HostId, Incarnation> {
        std::mem::take(&mut self.probes)
    }

    fn want_probe(&mut self, knowledge: &Knowledge<'_>, engine: &UpstreamId, owner: &OwnerRecord) {
        if knowledge.roster.fence_check(engine) == FenceCheck::Ignores {
            self.probes.insert(owner.host.clone(), owner.incarnation);
        }
    }

    fn read_member(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        let next = self.reads.entry(host.clone()).or_default();
        if !next.is_due(cx.now) {
            return;
        }
        *next = cx.now.after(cx.jitter(READ_EVERY));
        let call = cx.next_call();
        cx.push(Effect::Store { call, request: StoreCall::Read(Key::Member(host.clone())) });
    }
}

/// Tells whether an engine has an owner that lives, as far as this process knows.
pub(super) fn has_owner(cx: &Cx<'_>, knowledge: &Knowledge<'_>, engine: &UpstreamId) -> bool {
    let owner = cx.cache.owner(engine);
    owner.is_some_and(|(revision, owner)| owner_state(cx, knowledge, revision, owner) == OwnerState::Present)
}

fn owner_state(
    cx: &Cx<'_>,
    knowledge: &Knowledge<'_>,
    record: StoreRevision,
    owner: &OwnerRecord,
) -> OwnerState {
    if knowledge.peers.has_ended(&owner.host, owner.incarnation) {
        return OwnerState::Ended;
    }
    if owner.host == cx.cfg.host && owner.incarnation < cx.cfg.incarnation {
        return OwnerState::Ended;
    }
    let key = Key::Member(owner.host.clone());
    let entry = cx.cache.get(&key);
    if entry.is_some_and(|entry| entry.record.is_some()) {
        return OwnerState::Present;
    }
    // A member key that was seen absent before the owner's record was written may
    // stand again by now: the owner lost its lease, registered anew and confirmed
    // the record. Taking over then would set two owners on an engine that
    // ignores fences.
    let absent_at = entry.map(|entry| entry.revision).max(knowledge.feed.last_snapshot());
    if absent_at.is_some_and(|absent_at| absent_at > record) {
        OwnerState::Absent
    } else {
        OwnerState::Uncertain
    }
}

fn ready_at(cx: &Cx<'_>, knowledge: &Knowledge<'_>, engine: &UpstreamId, owner: &OwnerRecord) -> Time {
    let timings = &cx.cfg.timings;
    let hold = match knowledge.roster.fence_check(engine) {
        FenceCheck::Refuses => Duration::ZERO,
        FenceCheck::Ignores => timings.hold + timings.hold_margin,
    };
    let returned = knowledge.membership.returned().is_some_and(|at| !at.after(RETURN_GRACE).is_due(cx.now));
    let may_return = returned
        || knowledge.peers.is_heard(cx, &owner.host, owner.incarnation)
        || knowledge.peers.have_vanished_together(cx);
    let grace = if may_return { RETURN_GRACE } else { Duration::ZERO };
    cx.now.after(hold.max(grace))
}

/// Tells whether it is up to this process to take an engine that has been free `since`.
fn is_own_turn(
    cx: &Cx<'_>,
    hosts: &HashedHosts<'_>,
    engine: &UpstreamId,
    share: Option<&HostId>,
    since: Time,
) -> bool {
    let own = &cx.cfg.host;
    if share == Some(own) {
        return true;
    }
    // The process whose turn it is may be cut off or superseded; without a next
    // one, the engine would stay without an owner for as long.
    if !since.after(NEXT_IN_RANK).is_due(cx.now) {
        return false;
    }
    let Some(rank) = hosts.rank_beside(engine.as_str(), own, share) else { return false };
    let turns = u32::try_from(rank + 1).unwrap_or(u32::MAX);
    since.after(NEXT_IN_RANK.saturating_mul(turns)).is_due(cx.now)
}
