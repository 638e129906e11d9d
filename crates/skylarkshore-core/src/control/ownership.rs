//! Which engines this process owns: taking over, handing over, and leave to act.

mod handover;

use std::time::Duration;

use super::hashing::HashedHosts;
use super::holdings::{Holding, Phase};
use super::knowledge::Knowledge;
use super::membership::Membership;
use super::roster::Roster;
use super::shares::Shares;
use super::vacancy::{self, Former, Vacancies, Vacant};
use crate::authority::{EngineUse, OwnershipChange, Permit};
use crate::collections::{OrderedMap, OrderedSet};
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::id::{Fence, HostId, Incarnation, StoreRevision, UpstreamId};
use crate::store::{Expect, Key, OwnerRecord, Record, WriteOutcome, WriteRequest};
use crate::time::Time;
use crate::upstream::FenceCheck;

/// How long the write of an owner record is tried.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// How long a write of unknown outcome rests before it is made again.
const DOUBT_REST: Duration = Duration::from_secs(1);

/// How often at most all engines are looked at.
const SCAN_EVERY: Duration = Duration::from_millis(250);
/// The same where there are many.
const SCAN_LARGE_EVERY: Duration = Duration::from_secs(1);
/// How often a process looks at engines that others should take.
const OTHERS_EVERY: Duration = Duration::from_secs(1);

/// A take-over that was written, and may have taken effect.
#[derive(Clone, Copy, Debug)]
struct Intent {
    fence: Fence,
    based_on: StoreRevision,
    late_orders_until: Time,
    /// Whether nobody or an earlier life of this host owned the engine before.
    from_same_host: bool,
}

/// The engines of this process.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    holdings: OrderedMap<UpstreamId, Holding>,
    intents: OrderedMap<UpstreamId, Intent>,
    /// Engines whose owner record this process is writing.
    writing: OrderedSet<UpstreamId>,
    /// Engines that are left alone for a while after a failed write.
    resting: OrderedMap<UpstreamId, Time>,
    vacancies: Vacancies,
    shares: Shares,
    /// Engines that had no live owner when all were last looked at.
    open: Vec<UpstreamId>,
    is_scan_due: bool,
    next_scan: Time,
    next_others: Time,
    next_handover: Time,
    changes: Vec<OwnershipChange>,
    retired: bool,
}

impl Ownership {
    /// Returns the changes of ownership since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the engines that this process owns.
    pub(super) const fn holdings(&self) -> &OrderedMap<UpstreamId, Holding> {
        &self.holdings
    }

    /// Returns an engine that this process owns and isn't about to hand over.
    pub(super) fn held(&self, engine: &UpstreamId) -> Option<&Holding> {
        self.holdings.get(engine).filter(|holding| holding.is_held())
    }

    /// Returns since when an engine's owner has been gone.
    pub(super) fn vacant_since(&self, engine: &UpstreamId) -> Option<Time> {
        self.vacancies.since(engine)
    }

    /// Returns how many engines have no live owner.
    pub(super) fn vacant(&self) -> usize {
        self.vacancies.len()
    }

    /// Returns the lives of processes whose end would allow a take-over at once.
    pub(super) fn take_probes(&mut self) -> OrderedMap<HostId, Incarnation> {
        self.vacancies.take_probes()
    }

    /// Tells whether nothing is left that could be handed over.
    pub(super) fn has_given_up(&self, eligible: &[HostId]) -> bool {
        self.retired || self.holdings.is_empty() || eligible.is_empty()
    }

    /// Gives everything up for good.
    pub(super) fn retire(&mut self) {
        self.retired = true;
        for engine in std::mem::take(&mut self.holdings).into_keys() {
            self.changes.push(OwnershipChange::Lost { engine });
        }
        self.intents.clear();
        self.open.clear();
        self.vacancies.clear();
    }

    /// Returns leave to give orders to the engine now, if there is any.
    pub(super) fn permit(
        &self,
        cfg: &NodeConfig,
        membership: &Membership,
        roster: &Roster,
        now: Time,
        engine: &UpstreamId,
    ) -> Option<Permit> {
        let holding = self.held(engine)?;
        if roster.fence_check(engine) == FenceCheck::Refuses {
            return Some(Permit { fence: holding.fence, not_after: Time::NEVER });
        }
        // A successor that saw the member key vanish counts from then. If the key
        // was written again since, only a record written after it makes the
        // successor's write fail; before, both could act on the engine.
        let registered = membership.registered_at()?;
        let not_after = membership.holds_until(cfg)?;
        // The engine's former owner, on another host, may have given an order a moment
        // ago; its orders and this process's have to be apart.
        let is_apart = holding.orders_from.is_due(now);
        let safe = holding.revision > registered && is_apart && !not_after.is_due(now);
        safe.then_some(Permit { fence: holding.fence, not_after })
    }

    /// Compares an engine's record with what this process holds.
    pub(super) fn refresh(&mut self, cx: &mut Cx<'_>, roster: &Roster, engine: &UpstreamId) {
        let record = cx.cache.owner(engine);
        let named = record
            .filter(|(_, owner)| owner.host == cx.cfg.host && owner.incarnation == cx.cfg.incarnation)
            .filter(|_| !self.retired)
            .map(|(revision, owner)| Named { revision, fence: owner.fence });
        let held = self.holdings.get_mut(engine);
        match (named, held) {
            (Some(named), Some(holding)) if holding.fence == named.fence => holding.renew(named.revision),
            (Some(named), Some(_)) => {
                self.lose(cx, engine);
                self.acquire(cx, roster, engine, named);
            }
            (Some(named), None) => self.acquire(cx, roster, engine, named),
            (None, Some(_)) => self.lose(cx, engine),
            (None, None) => {}
        }
        let present = record_revision(cx, engine);
        if self.intents.get(engine).is_some_and(|intent| intent.based_on < present) {
            self.intents.remove(engine);
        }
    }

    /// Takes the outcome of a write of an owner record.
    pub(super) fn on_write(
        &mut self,
        cx: &mut Cx<'_>,
        roster: &Roster,
        engine: &UpstreamId,
        outcome: &WriteOutcome,
    ) {
        self.writing.remove(engine);
        self.refresh(cx, roster, engine);
        let rest = cx.now.after(cx.jitter(DOUBT_REST));
        if !matches!(outcome, WriteOutcome::Done(_)) {
            self.resting.insert(engine.clone(), rest);
        }
        let Some(holding) = self.holdings.get_mut(engine) else { return };
        let Phase::Giving { again, .. } = &mut holding.phase else { return };
        match outcome {
            WriteOutcome::Unknown => *again = rest,
            // A lost earlier try may still be on its way, so that only a record
            // that is seen to be newer ends the doubt.
            WriteOutcome::NotDone if *again != Time::NEVER => *again = rest,
            WriteOutcome::NotDone => holding.phase = Phase::Held,
            WriteOutcome::Done(_) | WriteOutcome::Conflict(_) => {}
        }
    }

    /// Does what is due: takes over, confirms and hands over.
    pub(super) fn review(&mut self, cx: &mut Cx<'_>, knowledge: &Knowledge<'_>, engines: &dyn EngineUse) {
        if self.retired {
            return;
        }
        self.resting.retain(|_, until| !until.is_due(cx.now));
        if knowledge.has_changed {
            self.is_scan_due = true;
        }
        if self.is_scan_due && self.next_scan.is_due(cx.now) {
            self.is_scan_due = false;
            let is_large = knowledge.has_spare_engines(cx);
            self.next_scan = cx.now.after(if is_large { SCAN_LARGE_EVERY } else { SCAN_EVERY });
            self.scan(cx, knowledge);
        }
        self.settle_handovers(cx, knowledge, engines);
        if !knowledge.may_decide(cx) {
            return;
        }
        self.confirm_records(cx, knowledge);
        self.forget_gone(cx, knowledge);
        if !knowledge.membership.is_leaving() {
            self.take_vacant(cx, knowledge);
        }
        self.begin_handovers(cx, knowledge);
    }

    fn acquire(&mut self, cx: &mut Cx<'_>, roster: &Roster, engine: &UpstreamId, named: Named) {
        let late_orders_until = self.late_orders_until(cx, roster, engine, named.fence);
        let gap = if self.is_own_again(cx, engine) { Duration::ZERO } else { cx.cfg.timings.order_gap };
        let holding = Holding {
            orders_from: cx.now.after(gap),
            fence: named.fence,
            since: cx.now,
            acquired: named.revision,
            revision: named.revision,
            phase: Phase::Held,
        };
        self.holdings.insert(engine.clone(), holding);
        self.vacancies.forget(engine);
        cx.log_event("engine_acquired", engine.clone(), format!("fence {}", named.fence));
        let fence = named.fence;
        self.changes.push(OwnershipChange::Acquired { engine: engine.clone(), fence, late_orders_until });
    }

    /// Tells whether no other host owned the engine before, as far as this process took part in it.
    fn is_own_again(&self, cx: &Cx<'_>, engine: &UpstreamId) -> bool {
        let entry = cx.cache.get(&Key::Owner(engine.clone()));
        let writer = entry.and_then(|entry| entry.writer.as_ref());
        let is_own = writer.is_some_and(|writer| writer.host == cx.cfg.host);
        is_own && self.intents.get(engine).is_some_and(|intent| intent.from_same_host)
    }

    /// Returns until when an order of the former owner may still reach the engine.
    fn late_orders_until(&self, cx: &Cx<'_>, roster: &Roster, engine: &UpstreamId, fence: Fence) -> Time {
        if roster.fence_check(engine) == FenceCheck::Refuses {
            return Time::START;
        }
        let entry = cx.cache.get(&Key::Owner(engine.clone()));
        let writer = entry.and_then(|entry| entry.writer.as_ref());
        let taken_over = writer.is_none_or(|writer| writer.host == cx.cfg.host);
        if !taken_over {
            return Time::START;
        }
        self.intents
            .get(engine)
            .filter(|intent| intent.fence == fence)
            .map_or(Time::NEVER, |i| i.late_orders_until)
    }

    fn lose(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        let Some(holding) = self.holdings.remove(engine) else { return };
        let next = cx.cache.owner(engine).map(|(_, owner)| owner.host.to_string());
        let next = next.unwrap_or_else(|| "nobody".to_owned());
        let event = if holding.is_held() { "engine_lost" } else { "engine_handed_over" };
        cx.log_event(event, engine.clone(), format!("now owned by {next}"));
        self.changes.push(OwnershipChange::Lost { engine: engine.clone() });
    }

    /// Looks at all engines: who should own them, and which have no live owner.
    fn scan(&mut self, cx: &Cx<'_>, knowledge: &Knowledge<'_>) {
        let engines = looked_after(cx, knowledge);
        self.vacancies.retain(&engines);
        let others = engines.iter().filter(|engine| !self.holdings.contains_key(*engine));
        let open = others.filter(|engine| !vacancy::has_owner(cx, knowledge, engine));
        self.open = open.cloned().collect();
        self.vacancies.keep_open(&self.open);
        self.shares.update(knowledge.eligible, engines, self.open.iter().chain(self.holdings.keys()));
    }

    fn is_free(&self, engine: &UpstreamId) -> bool {
        !self.writing.contains(engine) && !self.resting.contains_key(engine)
    }

    /// Writes the records of engines that ignore fences anew after the member key was lost.
    fn confirm_records(&mut self, cx: &mut Cx<'_>, knowledge: &Knowledge<'_>) {
        let Some(registered) = knowledge.membership.registered_at() else { return };
        let stale: Vec<UpstreamId> = self
            .holdings
            .iter()
            .filter(|(engine, holding)| {
                holding.is_held()
                    && holding.revision < registered
                    && knowledge.roster.fence_check(engine) == FenceCheck::Ignores
                    && self.is_free(engine)
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in stale {
            let Some(holding) = self.holdings.get(&engine) else { continue };
            let (fence, revision) = (holding.fence, holding.revision);
            self.write(cx, &engine, Expect::At(revision), Some(own_record(cx, fence)));
        }
    }

    /// Deletes the records of engines that are gone for good and that nothing names any more.
    ///
    /// Engines come and go under new names every day. Without this, each of them
    /// would leave a record behind that every process reads and keeps.
    fn forget_gone(&mut self, cx: &mut Cx<'_>, knowledge: &Knowledge<'_>) {
        let gone: Vec<UpstreamId> = self
            .holdings
            .iter()
            .filter(|(engine, holding)| {
                holding.is_held()
                    && knowledge.roster.is_gone(cx, engine, Some(holding.since))
                    && self.is_free(engine)
                    && !is_in_use(cx, knowledge, engine)
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in gone {
            let Some(holding) = self.holdings.get(&engine) else { continue };
            let expect = Expect::At(holding.revision);
            cx.log_event(
                "engine_gone",
                engine.clone(),
                "not listed, not reached, and without homes or power",
            );
            self.write(cx, &engine, expect, None);
        }
    }

    fn take_vacant(&mut self, cx: &mut Cx<'_>, knowledge: &Knowledge<'_>) {
        let hosts = HashedHosts::new(knowledge.eligible);
        let looks_at_others = self.next_others.is_due(cx.now);
        if looks_at_others {
            self.next_others = cx.now.after(OTHERS_EVERY);
        }
        for engine in self.open.clone() {
            let share = self.shares.owner(&engine);
            let is_own = share == Some(&cx.cfg.host);
            if self.holdings.contains_key(&engine) || !is_own && !looks_at_others {
                continue;
            }
            let Some(vacant) = self.vacancies.look(cx, knowledge, &hosts, &engine, share) else { continue };
            if self.is_free(&engine) {
                self.take_over(cx, vacant);
            }
        }
    }

    fn take_over(&mut self, cx: &mut Cx<'_>, vacant: Vacant) {
        let Vacant { engine, former } = vacant;
        let fence = next_fence(cx, former.as_ref());
        let based_on = former.as_ref().map_or(StoreRevision(0), |former| former.revision);
        let late_orders_until = former.as_ref().map_or(Time::START, |former| late_orders_of(cx, former));
        let from_same_host = former.as_ref().is_none_or(|former| former.owner.host == cx.cfg.host);
        self.intents.insert(engine.clone(), Intent { fence, based_on, late_orders_until, from_same_host });
        if let Some(former) = &former {
            let why = if former.ended { "its process has ended" } else { "its member key is gone" };
            let detail = format!("from {}, since {why}; fence {fence}", former.owner.host);
            cx.log_event("engine_taking_over", engine.clone(), detail);
        }
        let expect = former.map_or(Expect::Absent, |former| Expect::At(former.revision));
        self.write(cx, &engine, expect, Some(own_record(cx, fence)));
    }

    fn write(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId, expect: Expect, owner: Option<OwnerRecord>) {
        self.writing.insert(engine.clone());
        cx.write(WriteRequest {
            key: Key::Owner(engine.clone()),
            expect,
            record: owner.map(Record::Owner),
            lease: None,
            deadline: cx.now.after(WRITE_DEADLINE),
        });
    }
}

/// Returns the engines that are to have an owner.
///
/// An owner asks its engines how they stand, and all processes hear who owns
/// which. Where there are many more engines than hosts, that is left out for
/// those on which nothing is to be loaded; requests use what they hold.
fn looked_after(cx: &Cx<'_>, knowledge: &Knowledge<'_>) -> OrderedSet<UpstreamId> {
    let mut engines: OrderedSet<UpstreamId> = cx.cache.owners().map(|(engine, _)| engine.clone()).collect();
    if knowledge.has_spare_engines(cx) {
        let homes = cx.cache.all_homes().flat_map(|(_, homes)| &homes.engines);
        engines.extend(homes.cloned());
    } else {
        let listed = knowledge.roster.iter().filter(|(_, known)| known.is_listed());
        engines.extend(listed.map(|(id, _)| id.clone()));
    }
    engines
}

/// A record that names this process.
#[derive(Clone, Copy, Debug)]
struct Named {
    revision: StoreRevision,
    fence: Fence,
}

fn own_record(cx: &Cx<'_>, fence: Fence) -> OwnerRecord {
    OwnerRecord { host: cx.cfg.host.clone(), incarnation: cx.cfg.incarnation, fence }
}

/// Tells whether a model's homes or a site's grants name the engine.
fn is_in_use(cx: &Cx<'_>, knowledge: &Knowledge<'_>, engine: &UpstreamId) -> bool {
    let site = knowledge.roster.get(engine).map(|known| &known.site);
    let power = site.and_then(|site| cx.cache.power(site));
    let granted = power.is_some_and(|(_, record)| record.grants.contains_key(engine));
    granted || cx.cache.all_homes().any(|(_, homes)| homes.engines.contains(engine))
}

fn record_revision(cx: &Cx<'_>, engine: &UpstreamId) -> StoreRevision {
    cx.cache.get(&Key::Owner(engine.clone())).map_or(StoreRevision(0), |entry| entry.revision)
}

/// Returns a fence above every earlier one of the engine.
///
/// The record of an engine that was gone for long is deleted. Should the engine
/// come back, it may still know the fence of then; no fence is ever above the
/// revision of its own record, so that a later revision is above them all.
fn next_fence(cx: &Cx<'_>, former: Option<&Former>) -> Fence {
    former.map_or(Fence(cx.cache.latest_revision().0.max(1)), |former| former.owner.fence.next())
}

fn late_orders_of(cx: &Cx<'_>, former: &Former) -> Time {
    if former.ended { cx.now.after(cx.cfg.timings.hold_margin) } else { Time::NEVER }
}
