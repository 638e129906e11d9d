//! Engines without a live owner, and when this process may take them over.
//!
//! Start reading at [`Vacancies`].

use std::time::Duration;

use super::context::ReviewContext;
use super::hashing::HashedHosts;
use crate::collections::{HashSet, OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{HostId, Incarnation, StoreRevision, UpstreamId};
use crate::store::{Key, OwnerRecord, StoreCall};
use crate::time::Time;
use crate::upstream::FenceCheck;

/// How long a live member whose key was deleted may take to register again.
const RETURN_GRACE: Duration = Duration::from_secs(15);
/// Delay between the turns of two processes that may take an engine over, the assignee first.
const RANK_DELAY: Duration = Duration::from_secs(5);
/// How long the members must stay the same before engines that were never owned are assigned.
///
/// When all hosts start together, the first one sees no others. If it took every engine
/// at once, they would have to be handed over one by one.
const MEMBERSHIP_QUIET_PERIOD: Duration = Duration::from_millis(1500);
/// How long a new engine waits for stable membership at most.
const MAX_QUIET_WAIT: Duration = Duration::from_secs(5);
/// Interval between two reads of an uncertain member key, before jitter.
const MEMBER_READ_INTERVAL: Duration = Duration::from_secs(2);

/// State of an engine's owner, as far as this process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerState {
    Live,
    /// Its record was written in an earlier era of the key-value service; a later one may have been lost.
    OfEarlierEra,
    /// Its member key was absent, or named another incarnation, at a revision after the owner record was written.
    Deregistered,
    /// Its incarnation has definitely ended.
    Ended,
    /// Its member key was absent, or named another incarnation, only at revisions before the owner record was
    /// written.
    Uncertain,
}

/// An engine whose recorded owner is gone, as of `record_revision`.
#[derive(Clone, Debug)]
struct Vacancy {
    host: HostId,
    incarnation: Incarnation,
    record_revision: StoreRevision,
    since: Time,
    takeable_from: Time,
}

/// An engine that this process may take over now.
#[derive(Clone, Debug)]
pub(super) struct Vacant {
    pub(super) engine: UpstreamId,
    pub(super) former: Option<FormerOwner>,
}

/// The owner record that a take-over replaces.
#[derive(Clone, Debug)]
pub(super) struct FormerOwner {
    pub(super) revision: StoreRevision,
    pub(super) owner: OwnerRecord,
    /// Whether that incarnation has definitely ended.
    pub(super) ended: bool,
}

/// The engines without a live owner.
#[derive(Debug, Default)]
pub(super) struct Vacancies {
    /// Engines whose recorded owner is gone.
    orphaned: OrderedMap<UpstreamId, Vacancy>,
    /// Engines that never had an owner, and when each became known.
    never_owned: OrderedMap<UpstreamId, Time>,
    /// When each uncertain member key may be read again.
    reads: OrderedMap<HostId, Time>,
    /// The incarnations to probe.
    probes: OrderedMap<HostId, Incarnation>,
}

impl Vacancies {
    /// Returns when an engine's owner was found gone.
    pub(super) fn since(&self, engine: &UpstreamId) -> Option<Time> {
        self.orphaned.get(engine).map(|vacancy| vacancy.since)
    }

    pub(super) fn len(&self) -> usize {
        self.orphaned.len() + self.never_owned.len()
    }

    /// Removes an engine that has an owner again.
    pub(super) fn forget(&mut self, engine: &UpstreamId) {
        self.orphaned.remove(engine);
        self.never_owned.remove(engine);
    }

    /// Removes the engines that are no longer known.
    pub(super) fn retain(&mut self, engines: &OrderedSet<UpstreamId>) {
        self.orphaned.retain(|engine, _| engines.contains(engine));
        self.never_owned.retain(|engine, _| engines.contains(engine));
    }

    /// Removes the engines that have an owner again.
    pub(super) fn retain_vacant(&mut self, vacant_engines: &[UpstreamId]) {
        let vacant_engines: HashSet<&UpstreamId> = vacant_engines.iter().collect();
        self.orphaned.retain(|engine, _| vacant_engines.contains(engine));
        self.never_owned.retain(|engine, _| vacant_engines.contains(engine));
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the vacancy if this process may take the engine over now.
    pub(super) fn check(
        &mut self,
        cx: &mut Cx<'_>,
        context: &ReviewContext<'_>,
        hosts: &HashedHosts<'_>,
        engine: &UpstreamId,
        assignee: Option<&HostId>,
    ) -> Option<Vacant> {
        let Some((revision, owner)) = cx.cache.owner(engine) else {
            let since = *self.never_owned.entry(engine.clone()).or_insert(cx.now);
            let quiet =
                context.eligible_since.after(MEMBERSHIP_QUIET_PERIOD).min(since.after(MAX_QUIET_WAIT));
            if !quiet.is_due(cx.now) {
                return None;
            }
            let vacant = Vacant { engine: engine.clone(), former: None };
            return is_own_turn(cx, hosts, engine, assignee, since).then_some(vacant);
        };
        self.never_owned.remove(engine);
        let owner = owner.clone();
        let state = owner_state(cx, context, revision, &owner);
        match state {
            OwnerState::Live => {
                self.orphaned.remove(engine);
                return None;
            }
            OwnerState::Uncertain => {
                self.read_member(cx, &owner.host);
                return None;
            }
            OwnerState::Deregistered => {
                // Others would learn by the probe what they can't use before it is their turn.
                let found = self.since(engine).unwrap_or(cx.now);
                if is_own_turn(cx, hosts, engine, assignee, found) {
                    self.request_probe(context, engine, &owner);
                }
            }
            OwnerState::Ended | OwnerState::OfEarlierEra => {}
        }
        let ended = state == OwnerState::Ended;
        let since = self.record_vacancy(cx, context, engine, revision, &owner, ended)?;
        let vacant = Vacant { engine: engine.clone(), former: Some(FormerOwner { revision, owner, ended }) };
        is_own_turn(cx, hosts, engine, assignee, since).then_some(vacant)
    }

    /// Records the vacancy, and returns since when the engine may be taken over, if that time has come.
    fn record_vacancy(
        &mut self,
        cx: &Cx<'_>,
        context: &ReviewContext<'_>,
        engine: &UpstreamId,
        record_revision: StoreRevision,
        owner: &OwnerRecord,
        ended: bool,
    ) -> Option<Time> {
        let known = self.orphaned.get(engine);
        let is_unchanged = known.is_some_and(|known| {
            known.record_revision == record_revision
                && known.host == owner.host
                && known.incarnation == owner.incarnation
        });
        if !is_unchanged {
            let vacancy = Vacancy {
                host: owner.host.clone(),
                incarnation: owner.incarnation,
                record_revision,
                since: cx.now,
                takeable_from: takeable_at(cx, context, engine, owner),
            };
            self.orphaned.insert(engine.clone(), vacancy);
        }
        let vacancy = self.orphaned.get_mut(engine)?;
        if ended {
            vacancy.takeable_from = vacancy.takeable_from.min(cx.now);
        }
        vacancy.takeable_from.is_due(cx.now).then_some(vacancy.takeable_from)
    }

    /// Returns the incarnations whose confirmed end would allow an immediate take-over.
    pub(super) fn take_probes(&mut self) -> OrderedMap<HostId, Incarnation> {
        std::mem::take(&mut self.probes)
    }

    fn request_probe(&mut self, context: &ReviewContext<'_>, engine: &UpstreamId, owner: &OwnerRecord) {
        if context.inventory.fence_check(engine) == FenceCheck::Ignores {
            self.probes.insert(owner.host.clone(), owner.incarnation);
        }
    }

    fn read_member(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        let next = self.reads.entry(host.clone()).or_default();
        if !next.is_due(cx.now) {
            return;
        }
        *next = cx.now.after(cx.jitter(MEMBER_READ_INTERVAL));
        let call = cx.next_call();
        cx.push(Effect::Store { call, request: StoreCall::Read(Key::Member(host.clone())) });
    }
}

/// Reports whether an engine's owner is live, as far as this process knows.
pub(super) fn has_live_owner(cx: &Cx<'_>, context: &ReviewContext<'_>, engine: &UpstreamId) -> bool {
    let owner = cx.cache.owner(engine);
    owner.is_some_and(|(revision, owner)| owner_state(cx, context, revision, owner) == OwnerState::Live)
}

fn owner_state(
    cx: &Cx<'_>,
    context: &ReviewContext<'_>,
    record_revision: StoreRevision,
    owner: &OwnerRecord,
) -> OwnerState {
    if !owner.is_of_era(context.era) {
        return OwnerState::OfEarlierEra;
    }
    if context.peers.has_ended(&owner.host, owner.incarnation, record_revision) {
        return OwnerState::Ended;
    }
    let key = Key::Member(owner.host.clone());
    let entry = cx.cache.get(&key);
    let registered = cx.cache.member(&owner.host).map(|member| member.incarnation);
    if registered == Some(owner.incarnation) {
        return OwnerState::Live;
    }
    // A record that names an incarnation after another one has registered: it was handed over late.
    if registered.is_some() {
        let is_known = context.store_sync.frontier() >= record_revision;
        return if is_known { OwnerState::Deregistered } else { OwnerState::Uncertain };
    }
    // A member key that was absent before the owner record was written may exist again:
    // the owner lost its lease, registered again and confirmed the record. A take-over
    // now would give an engine that ignores fences two owners.
    let deregistered_at = entry.map(|entry| entry.revision).max(context.store_sync.last_snapshot());
    if deregistered_at.is_some_and(|deregistered_at| deregistered_at > record_revision) {
        OwnerState::Deregistered
    } else {
        OwnerState::Uncertain
    }
}

fn takeable_at(cx: &Cx<'_>, context: &ReviewContext<'_>, engine: &UpstreamId, owner: &OwnerRecord) -> Time {
    let timings = &cx.cfg.timings;
    // The former owner may rely on its lease, and send orders, for `hold` after a renewal.
    let hold = match context.inventory.fence_check(engine) {
        FenceCheck::Refuses => Duration::ZERO,
        FenceCheck::Ignores => timings.hold + timings.hold_margin,
    };
    if !owner.is_of_era(context.era) {
        return cx.now.after(hold);
    }
    // An owner that has probably lost only its lease gets time to register again: this
    // process lost its own lease recently too, the owner still sends heartbeats, or many
    // leases expired at once.
    let has_re_registered =
        context.membership.re_registered_at().is_some_and(|at| !at.after(RETURN_GRACE).is_due(cx.now));
    let may_return = has_re_registered
        || context.peers.has_recent_heartbeat(cx, &owner.host, owner.incarnation)
        || context.peers.is_mass_expiry(cx);
    let grace = if may_return { RETURN_GRACE } else { Duration::ZERO };
    cx.now.after(hold.max(grace))
}

/// Reports whether it is this process's turn to take over an engine that has been available since `since`.
fn is_own_turn(
    cx: &Cx<'_>,
    hosts: &HashedHosts<'_>,
    engine: &UpstreamId,
    assignee: Option<&HostId>,
    since: Time,
) -> bool {
    let own = &cx.cfg.host;
    if assignee == Some(own) {
        return true;
    }
    // The process whose turn it is may be cut off or superseded. The next one in the
    // ranking takes over after a delay, so that the engine does not stay without an owner.
    if !since.after(RANK_DELAY).is_due(cx.now) {
        return false;
    }
    let Some(rank) = hosts.rank_excluding(engine.as_str(), own, assignee) else { return false };
    let turns = u32::try_from(rank + 1).unwrap_or(u32::MAX);
    since.after(RANK_DELAY.saturating_mul(turns)).is_due(cx.now)
}
