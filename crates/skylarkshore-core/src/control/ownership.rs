//! Engine ownership: take-over, confirmation, hand-over, and permission to send orders.
//!
//! Start reading at [`Ownership`].

mod handover;

use std::time::Duration;

use super::assignment::Assignment;
use super::context::ReviewContext;
use super::hashing::HashedHosts;
use super::inventory::EngineInventory;
use super::membership::Membership;
use super::owned_engine::{OwnedEngine, Phase};
use super::vacancy::{self, FormerOwner, Vacancies, Vacant};
use crate::authority::{EngineUse, OwnershipChange, Permit};
use crate::collections::{OrderedMap, OrderedSet};
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::id::{Fence, HostId, Incarnation, StoreEra, StoreRevision, UpstreamId};
use crate::store::{Expect, Key, OwnerRecord, Record, WriteOutcome, WriteRequest};
use crate::time::Time;
use crate::upstream::FenceCheck;

/// Deadline of one write of an owner record.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// Delay before a failed or unconfirmed write is repeated, before jitter.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Minimum interval between two scans of all engines.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between two scans if there are more engines than the hosts own together.
const SCAN_INTERVAL_OVER_CAPACITY: Duration = Duration::from_secs(1);
/// Interval between two checks of vacant engines that are assigned to other processes.
///
/// This process takes such an engine over if the assignee, and then each process that
/// ranks before this one, has let its turn pass (see [`vacancy`]).
const FALLBACK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A take-over whose owner record was sent to the key-value service and may have been written.
#[derive(Clone, Copy, Debug)]
struct TakeOver {
    fence: Fence,
    based_on: StoreRevision,
    late_orders_until: Time,
    /// Whether the engine had no owner before, or its former owner ran on this host.
    needs_no_order_gap: bool,
}

/// The engines that this process owns or tries to take over.
///
/// An engine is *held* if it is owned and no hand-over of it is in progress, and *vacant*
/// if it has no live owner. Its *assignee* is the member that should own it.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    owned_engines: OrderedMap<UpstreamId, OwnedEngine>,
    take_overs: OrderedMap<UpstreamId, TakeOver>,
    /// Engines whose owner record is being written.
    writes_in_flight: OrderedSet<UpstreamId>,
    /// Engines whose last write failed, and when they may be written again.
    backing_off: OrderedMap<UpstreamId, Time>,
    vacancies: Vacancies,
    assignment: Assignment,
    /// Engines without a live owner as of the last scan.
    vacant_engines: Vec<UpstreamId>,
    is_scan_due: bool,
    next_scan: Time,
    next_fallback_check: Time,
    next_handover: Time,
    changes: Vec<OwnershipChange>,
    retired: bool,
    /// The era that this process was told of last; its records may not have arrived yet.
    era: StoreEra,
}

impl Ownership {
    /// Returns the ownership changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    pub(super) const fn owned_engines(&self) -> &OrderedMap<UpstreamId, OwnedEngine> {
        &self.owned_engines
    }

    /// Returns the era of the key-value service, also where this process has known no earlier one.
    pub(super) fn era(&self, cx: &Cx<'_>) -> StoreEra {
        self.era.max(cx.cache.latest_revision().era())
    }

    /// Drops all engines: the copy of a new era may lack the record of a later owner.
    ///
    /// They are taken over again under fences of the new era, once the last order of any former owner must
    /// have been sent.
    pub(super) fn on_new_era(&mut self, cx: &mut Cx<'_>, era: StoreEra) {
        self.era = era;
        let owned: Vec<UpstreamId> = self.owned_engines.keys().cloned().collect();
        for engine in owned {
            self.drop_ownership(cx, &engine);
        }
        self.take_overs.clear();
        self.backing_off.clear();
        self.vacancies.clear();
        self.is_scan_due = true;
    }

    /// Returns an engine that this process owns and is not handing over.
    pub(super) fn held(&self, engine: &UpstreamId) -> Option<&OwnedEngine> {
        self.owned_engines.get(engine).filter(|owned| owned.is_held())
    }

    /// Returns when an engine lost its owner.
    pub(super) fn vacant_since(&self, engine: &UpstreamId) -> Option<Time> {
        self.vacancies.since(engine)
    }

    /// Returns the number of engines without a live owner.
    pub(super) fn vacant_count(&self) -> usize {
        self.vacancies.len()
    }

    /// Returns the incarnations whose confirmed end would allow an immediate take-over.
    pub(super) fn take_probes(&mut self) -> OrderedMap<HostId, Incarnation> {
        self.vacancies.take_probes()
    }

    /// Reports whether no engine is left to hand over, or no member could receive one.
    pub(super) fn has_released_all(&self, eligible: &[HostId]) -> bool {
        self.retired || self.owned_engines.is_empty() || eligible.is_empty()
    }

    /// Drops all engines and stops making decisions.
    pub(super) fn retire(&mut self) {
        self.retired = true;
        for engine in std::mem::take(&mut self.owned_engines).into_keys() {
            self.changes.push(OwnershipChange::Lost { engine });
        }
        self.take_overs.clear();
        self.vacant_engines.clear();
        self.vacancies.clear();
    }

    /// Returns a permit to send orders to the engine, if this process may act on it now.
    pub(super) fn permit(
        &self,
        cfg: &NodeConfig,
        membership: &Membership,
        inventory: &EngineInventory,
        now: Time,
        engine: &UpstreamId,
    ) -> Option<Permit> {
        let owned = self.held(engine)?;
        if inventory.fence_check(engine) == FenceCheck::Refuses {
            // The engine refuses orders with an older fence, so no time limit is needed.
            return Some(Permit { fence: owned.fence, not_after: Time::NEVER });
        }
        // This process may have lost its lease and registered again. Another process that
        // saw the member key deleted starts its waiting period at that moment and then
        // takes the engine over. Its write fails only if this process has rewritten the
        // owner record since it registered again. Until then both could act on the engine.
        let registered = membership.registration_revision()?;
        let not_after = membership.lease_valid_until(cfg)?;
        // A former owner on another host may have sent an order shortly before; the orders
        // of the two owners must be at least `order_gap` apart. This also applies if it is
        // not known where the former owner ran.
        let is_order_gap_over = owned.orders_allowed_from.is_due(now);
        let safe = owned.revision > registered && is_order_gap_over && !not_after.is_due(now);
        safe.then_some(Permit { fence: owned.fence, not_after })
    }

    /// Compares an engine's owner record with the local state, and acquires or drops the engine.
    pub(super) fn reconcile(&mut self, cx: &mut Cx<'_>, inventory: &EngineInventory, engine: &UpstreamId) {
        let era = self.era(cx);
        let record = cx.cache.owner(engine);
        let own = record
            .filter(|(_, owner)| owner.host == cx.cfg.host && owner.incarnation == cx.cfg.incarnation)
            .filter(|(_, owner)| !self.retired && owner.is_of_era(era))
            .map(|(revision, owner)| OwnRecord { revision, fence: owner.fence });
        let owned = self.owned_engines.get_mut(engine);
        match (own, owned) {
            (Some(own), Some(owned)) if owned.fence == own.fence => owned.renew(own.revision),
            (Some(own), Some(_)) => {
                self.drop_ownership(cx, engine);
                self.acquire(cx, inventory, engine, own);
            }
            (Some(own), None) => self.acquire(cx, inventory, engine, own),
            (None, Some(_)) => self.drop_ownership(cx, engine),
            (None, None) => {}
        }
        let present = record_revision(cx, engine);
        if self.take_overs.get(engine).is_some_and(|take_over| take_over.based_on < present) {
            self.take_overs.remove(engine);
        }
    }

    /// Handles the outcome of a write of an owner record.
    pub(super) fn on_write(
        &mut self,
        cx: &mut Cx<'_>,
        inventory: &EngineInventory,
        engine: &UpstreamId,
        outcome: &WriteOutcome,
    ) {
        self.writes_in_flight.remove(engine);
        self.reconcile(cx, inventory, engine);
        let next_try = cx.now.after(cx.jitter(WRITE_RETRY_DELAY));
        if !matches!(outcome, WriteOutcome::Done(_)) {
            self.backing_off.insert(engine.clone(), next_try);
        }
        let Some(owned) = self.owned_engines.get_mut(engine) else { return };
        let Phase::Transferring { retry_at, .. } = &mut owned.phase else { return };
        match outcome {
            WriteOutcome::Unknown => *retry_at = next_try,
            // An earlier attempt ended with an unknown outcome (otherwise `retry_at` would
            // be `NEVER`) and may still reach the key-value service, so the outcome stays
            // open until a newer record is read.
            WriteOutcome::NotDone if *retry_at != Time::NEVER => *retry_at = next_try,
            WriteOutcome::NotDone => owned.phase = Phase::Held,
            WriteOutcome::Done(_) | WriteOutcome::Conflict(_) => {}
        }
    }

    /// Runs what is due: advances hand-overs, confirms records, takes over vacant
    /// engines and starts hand-overs.
    pub(super) fn review(
        &mut self,
        cx: &mut Cx<'_>,
        context: &ReviewContext<'_>,
        engine_use: &dyn EngineUse,
    ) {
        if self.retired {
            return;
        }
        self.backing_off.retain(|_, until| !until.is_due(cx.now));
        if context.has_changed {
            self.is_scan_due = true;
        }
        if self.is_scan_due && self.next_scan.is_due(cx.now) {
            self.is_scan_due = false;
            let is_over_capacity = context.exceeds_ownership_capacity(cx);
            self.next_scan =
                cx.now.after(if is_over_capacity { SCAN_INTERVAL_OVER_CAPACITY } else { SCAN_INTERVAL });
            self.scan(cx, context);
        }
        self.advance_handovers(cx, context, engine_use);
        if !context.may_decide(cx) {
            return;
        }
        self.confirm_records(cx, context);
        self.delete_gone_engines(cx, context);
        if !context.membership.is_leaving() {
            self.take_over_vacant(cx, context);
        }
        self.begin_handovers(cx, context);
    }

    fn acquire(&mut self, cx: &mut Cx<'_>, inventory: &EngineInventory, engine: &UpstreamId, own: OwnRecord) {
        let late_orders_until = self.late_orders_until(cx, inventory, engine, own.fence);
        let gap = if self.needs_no_order_gap(cx, engine) { Duration::ZERO } else { cx.cfg.timings.order_gap };
        let owned = OwnedEngine {
            orders_allowed_from: cx.now.after(gap),
            fence: own.fence,
            since: cx.now,
            acquired_revision: own.revision,
            revision: own.revision,
            phase: Phase::Held,
        };
        self.owned_engines.insert(engine.clone(), owned);
        self.vacancies.forget(engine);
        cx.log_event("engine_acquired", engine.clone(), format!("fence {}", own.fence));
        let fence = own.fence;
        self.changes.push(OwnershipChange::Acquired { engine: engine.clone(), fence, late_orders_until });
    }

    /// Reports whether the engine is known to have had no owner before, or one on this host.
    ///
    /// This is known only if this process wrote the take-over itself; otherwise the
    /// result is `false`.
    fn needs_no_order_gap(&self, cx: &Cx<'_>, engine: &UpstreamId) -> bool {
        let entry = cx.cache.get(&Key::Owner(engine.clone()));
        let writer = entry.and_then(|entry| entry.writer.as_ref());
        let is_own = writer.is_some_and(|writer| writer.host == cx.cfg.host);
        is_own && self.take_overs.get(engine).is_some_and(|take_over| take_over.needs_no_order_gap)
    }

    /// Returns until when an order of the former owner may still reach the engine.
    ///
    /// [`Time::START`] means that no such order has to be expected: the engine checks
    /// fences, never had an owner, or was handed over after the last order had ended.
    /// [`Time::NEVER`] means that the end is unknown: the former owner's process may
    /// still run, or this process has no record of the take-over.
    fn late_orders_until(
        &self,
        cx: &Cx<'_>,
        inventory: &EngineInventory,
        engine: &UpstreamId,
        fence: Fence,
    ) -> Time {
        if inventory.fence_check(engine) == FenceCheck::Refuses {
            return Time::START;
        }
        let entry = cx.cache.get(&Key::Owner(engine.clone()));
        let writer = entry.and_then(|entry| entry.writer.as_ref());
        // A record written by another host is a hand-over by the former owner.
        let taken_over = writer.is_none_or(|writer| writer.host == cx.cfg.host);
        if !taken_over {
            return Time::START;
        }
        self.take_overs
            .get(engine)
            .filter(|take_over| take_over.fence == fence)
            .map_or(Time::NEVER, |take_over| take_over.late_orders_until)
    }

    fn drop_ownership(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        let Some(owned) = self.owned_engines.remove(engine) else { return };
        let next = cx.cache.owner(engine).map(|(_, owner)| owner.host.to_string());
        let next = next.unwrap_or_else(|| "nobody".to_owned());
        let event = if owned.is_held() { "engine_lost" } else { "engine_handed_over" };
        cx.log_event(event, engine.clone(), format!("now owned by {next}"));
        self.changes.push(OwnershipChange::Lost { engine: engine.clone() });
    }

    /// Finds the engines without a live owner and updates the assignment.
    fn scan(&mut self, cx: &Cx<'_>, context: &ReviewContext<'_>) {
        let engines = ownable_engines(cx, context);
        self.vacancies.retain(&engines);
        let others = engines.iter().filter(|engine| !self.owned_engines.contains_key(*engine));
        let vacant_engines = others.filter(|engine| !vacancy::has_live_owner(cx, context, engine));
        self.vacant_engines = vacant_engines.cloned().collect();
        self.vacancies.retain_vacant(&self.vacant_engines);
        self.assignment.update(
            context.eligible,
            engines,
            self.vacant_engines.iter().chain(self.owned_engines.keys()),
        );
    }

    fn can_write(&self, engine: &UpstreamId) -> bool {
        !self.writes_in_flight.contains(engine) && !self.backing_off.contains_key(engine)
    }

    /// Rewrites the owner records of engines that ignore fences, if they are older than
    /// the current registration.
    fn confirm_records(&mut self, cx: &mut Cx<'_>, context: &ReviewContext<'_>) {
        let Some(registered) = context.membership.registration_revision() else { return };
        let unconfirmed: Vec<UpstreamId> = self
            .owned_engines
            .iter()
            .filter(|(engine, owned)| {
                owned.is_held()
                    && owned.revision < registered
                    && context.inventory.fence_check(engine) == FenceCheck::Ignores
                    && self.can_write(engine)
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in unconfirmed {
            let Some(owned) = self.owned_engines.get(&engine) else { continue };
            let (fence, revision) = (owned.fence, owned.revision);
            self.write(cx, &engine, Expect::At(revision), Some(own_record(cx, fence)));
        }
    }

    /// Deletes the owner records of engines that are gone and not referenced by any other record.
    ///
    /// Engines come and go under new names every day. Every process would read and keep
    /// one stale record for each of them.
    fn delete_gone_engines(&mut self, cx: &mut Cx<'_>, context: &ReviewContext<'_>) {
        let gone: Vec<UpstreamId> = self
            .owned_engines
            .iter()
            .filter(|(engine, owned)| {
                owned.is_held()
                    && context.inventory.is_gone(cx, engine, Some(owned.since))
                    && self.can_write(engine)
                    && !is_in_use(cx, context, engine)
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in gone {
            let Some(owned) = self.owned_engines.get(&engine) else { continue };
            let expect = Expect::At(owned.revision);
            cx.log_event(
                "engine_gone",
                engine.clone(),
                "not listed, not reached, and without homes or power",
            );
            self.write(cx, &engine, expect, None);
        }
    }

    fn take_over_vacant(&mut self, cx: &mut Cx<'_>, context: &ReviewContext<'_>) {
        let hosts = HashedHosts::new(context.eligible);
        let is_fallback_check_due = self.next_fallback_check.is_due(cx.now);
        if is_fallback_check_due {
            self.next_fallback_check = cx.now.after(FALLBACK_CHECK_INTERVAL);
        }
        for engine in self.vacant_engines.clone() {
            let assignee = self.assignment.owner(&engine);
            let is_own = assignee == Some(&cx.cfg.host);
            if self.owned_engines.contains_key(&engine) || !is_own && !is_fallback_check_due {
                continue;
            }
            let Some(vacant) = self.vacancies.check(cx, context, &hosts, &engine, assignee) else { continue };
            if self.can_write(&engine) {
                self.take_over(cx, vacant);
            }
        }
    }

    fn take_over(&mut self, cx: &mut Cx<'_>, vacant: Vacant) {
        let Vacant { engine, former } = vacant;
        let era = self.era(cx);
        let fence = next_fence(cx, former.as_ref()).max(Fence::first_of(era));
        let based_on = former.as_ref().map_or(StoreRevision(0), |former| former.revision);
        let late_orders_until = former.as_ref().map_or(Time::START, |former| late_order_deadline(cx, former));
        let needs_no_order_gap = former
            .as_ref()
            .is_none_or(|former| former.owner.host == cx.cfg.host && former.owner.is_of_era(era));
        self.take_overs
            .insert(engine.clone(), TakeOver { fence, based_on, late_orders_until, needs_no_order_gap });
        if let Some(former) = &former {
            let why = if former.ended { "its process has ended" } else { "its member key was deleted" };
            let detail = format!("from {}, because {why}; fence {fence}", former.owner.host);
            cx.log_event("engine_taking_over", engine.clone(), detail);
        }
        let expect = former.map_or(Expect::Absent, |former| Expect::At(former.revision));
        self.write(cx, &engine, expect, Some(own_record(cx, fence)));
    }

    fn write(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId, expect: Expect, owner: Option<OwnerRecord>) {
        self.writes_in_flight.insert(engine.clone());
        cx.write(WriteRequest {
            key: Key::Owner(engine.clone()),
            expect,
            record: owner.map(Record::Owner),
            lease: None,
            deadline: cx.now.after(WRITE_DEADLINE),
        });
    }
}

/// Returns the engines that need an owner.
///
/// Each owned engine costs periodic report requests and a record that every process reads.
/// If there are more engines than the hosts own together, only homes and engines with an
/// owner record count; requests still use the models that the other engines have loaded.
fn ownable_engines(cx: &Cx<'_>, context: &ReviewContext<'_>) -> OrderedSet<UpstreamId> {
    let mut engines: OrderedSet<UpstreamId> = cx.cache.owners().map(|(engine, _)| engine.clone()).collect();
    if context.exceeds_ownership_capacity(cx) {
        let homes = cx.cache.all_homes().flat_map(|(_, homes)| &homes.engines);
        engines.extend(homes.cloned());
    } else {
        let listed = context.inventory.iter().filter(|(_, known)| known.is_listed());
        engines.extend(listed.map(|(id, _)| id.clone()));
    }
    engines
}

/// Revision and fence of an owner record that names this process.
#[derive(Clone, Copy, Debug)]
struct OwnRecord {
    revision: StoreRevision,
    fence: Fence,
}

fn own_record(cx: &Cx<'_>, fence: Fence) -> OwnerRecord {
    OwnerRecord { host: cx.cfg.host.clone(), incarnation: cx.cfg.incarnation, fence }
}

/// Reports whether a homes record or a power grant names the engine.
fn is_in_use(cx: &Cx<'_>, context: &ReviewContext<'_>, engine: &UpstreamId) -> bool {
    let site = context.inventory.get(engine).map(|known| &known.site);
    let power = site.and_then(|site| cx.cache.power(site));
    let granted = power.is_some_and(|(_, record)| record.grants.contains_key(engine));
    granted || cx.cache.all_homes().any(|(_, homes)| homes.engines.contains(engine))
}

fn record_revision(cx: &Cx<'_>, engine: &UpstreamId) -> StoreRevision {
    cx.cache.get(&Key::Owner(engine.clone())).map_or(StoreRevision(0), |entry| entry.revision)
}

/// Returns a fence above every earlier one of the engine.
///
/// The record of a gone engine is deleted, but the engine may come back and still
/// enforce its last fence. The first fence of an engine is a store revision, and each
/// further one is higher by one and comes with a new record, which raises the revision by
/// at least one. No fence therefore exceeds the revision of its own record, so a later
/// store revision is above all of them.
fn next_fence(cx: &Cx<'_>, former: Option<&FormerOwner>) -> Fence {
    former.map_or(Fence(cx.cache.latest_revision().0.max(1)), |former| former.owner.fence.next())
}

fn late_order_deadline(cx: &Cx<'_>, former: &FormerOwner) -> Time {
    if former.ended { cx.now.after(cx.cfg.timings.hold_margin) } else { Time::NEVER }
}
