//! On which engines each model may be loaded.
//!
//! A replica is only loaded at a home, so that the number of homes bounds the
//! number of replicas. A home is only given up by the engine's owner, which
//! knows that the model isn't there.

use std::time::Duration;

use super::hashing;
use super::ownership::Ownership;
use super::placement::Placement;
use super::roster::Roster;
use super::scene::Scene;
use crate::authority::{EngineUse, HomeWish};
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{ModelName, StoreRevision, UpstreamId};
use crate::rules::Facts;
use crate::store::{Expect, HomesRecord, Key, Record, WriteOutcome, WriteRequest};
use crate::time::Time;

/// How long the write of a homes record is tried.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// How long a model's homes are left alone after a write that failed.
const REST: Duration = Duration::from_secs(1);
/// How many homes records one process writes at a time.
const WRITES_AT_ONCE: usize = 16;
/// How long the process that should look after a model is given before the next one does.
const NEXT_IN_RANK: Duration = Duration::from_secs(10);

/// A model's homes as they stand, and as the rules limit them.
#[derive(Clone, Debug)]
struct Allowed {
    revision: StoreRevision,
    engines: Vec<UpstreamId>,
    /// How many of the engines, the first ones first, may have a replica.
    replicas_max: usize,
}

impl Allowed {
    fn admits(&self, engine: &UpstreamId) -> bool {
        self.engines.iter().take(self.replicas_max).any(|home| home == engine)
    }
}

/// A write of a model's homes that isn't settled.
#[derive(Clone, Debug)]
struct Pending {
    based_on: StoreRevision,
    /// The engines that the write takes the home from.
    closing: Vec<UpstreamId>,
    state: PendingState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingState {
    Writing,
    /// A write of unknown outcome rests; it is settled by writing again.
    Doubtful {
        again: Time,
    },
    /// The doubt is being settled.
    Settling,
    /// Nothing has happened; the model is left alone for a while.
    Resting {
        until: Time,
    },
}

/// The homes of all models, as far as this process decides on them.
#[derive(Debug, Default)]
pub(super) struct Homes {
    allowed: OrderedMap<ModelName, Allowed>,
    pending: OrderedMap<ModelName, Pending>,
    /// Since when models are without a home, or lack one.
    lacking: OrderedMap<ModelName, Time>,
    /// Models that no engine can hold.
    unplaceable: OrderedSet<ModelName>,
}

/// What is to stand in a model's record.
#[derive(Debug, Default)]
struct Plan {
    engines: Vec<UpstreamId>,
    closing: Vec<UpstreamId>,
    changed: bool,
}

impl Homes {
    /// Tells whether the model may be loaded on an engine that this process owns since `acquired`.
    ///
    /// A former owner that was paused may have a write under way that gives the
    /// home up. Once the record was written after the engine changed hands, that
    /// write fails; before, the model could be loaded here and at its next home.
    pub(super) fn is_home(&self, engine: &UpstreamId, model: &ModelName, acquired: StoreRevision) -> bool {
        let closing = self.pending.get(model).is_some_and(|pending| pending.closing.contains(engine));
        let Some(allowed) = self.allowed.get(model) else { return false };
        !closing && allowed.revision > acquired && allowed.admits(engine)
    }

    /// Tells whether the rules or the record leave no room for the model on the engine.
    pub(super) fn is_excluded(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        self.allowed.get(model).is_none_or(|allowed| !allowed.admits(engine))
    }

    /// Returns how many homes are known, and how many writes aren't settled.
    pub(super) fn counts(&self) -> Counts {
        Counts {
            homes: self.allowed.values().map(|allowed| allowed.engines.len()).sum(),
            pending: self.pending.len(),
            unplaceable: self.unplaceable.len(),
        }
    }

    /// Returns the models whose first or further homes are lacking, and since when.
    pub(super) const fn lacking(&self) -> &OrderedMap<ModelName, Time> {
        &self.lacking
    }

    /// Takes note of a change of a model's homes.
    pub(super) fn on_change(&mut self, cx: &Cx<'_>, roster: &Roster, model: &ModelName) {
        let revision = revision_of(cx, model);
        if self.pending.get(model).is_some_and(|pending| pending.based_on < revision) {
            self.pending.remove(model);
        }
        self.update(cx, roster, model);
    }

    /// Takes the outcome of a write of a model's homes.
    pub(super) fn on_write(
        &mut self,
        cx: &mut Cx<'_>,
        roster: &Roster,
        model: &ModelName,
        outcome: &WriteOutcome,
    ) {
        let rest = cx.now.after(cx.jitter(REST));
        if let Some(pending) = self.pending.get_mut(model) {
            match (outcome, pending.state) {
                (WriteOutcome::Done(_) | WriteOutcome::Conflict(_), _) => {
                    self.pending.remove(model);
                }
                (WriteOutcome::NotDone, PendingState::Writing) => {
                    pending.closing.clear();
                    pending.state = PendingState::Resting { until: rest };
                }
                (WriteOutcome::Unknown | WriteOutcome::NotDone, _) => {
                    pending.state = PendingState::Doubtful { again: rest };
                }
            }
        }
        self.update(cx, roster, model);
    }

    /// Looks at every model again, since the rules or the time of day changed.
    pub(super) fn update_all(&mut self, cx: &Cx<'_>, roster: &Roster) {
        let models: Vec<ModelName> = cx.cache.all_homes().map(|(model, _)| model.clone()).collect();
        for model in models {
            self.update(cx, roster, &model);
        }
    }

    /// Does what is due: first homes, more, fewer, and moves.
    pub(super) fn review(
        &mut self,
        cx: &mut Cx<'_>,
        scene: &Scene<'_>,
        ownership: &Ownership,
        engines: &dyn EngineUse,
    ) {
        self.update_all(cx, scene.roster);
        if !scene.may_decide(cx) || cx.document.revision.0 == 0 {
            return;
        }
        self.settle_doubts(cx);
        self.end_rests(cx.now);
        let wishes = engines.home_wishes();
        let mut placement = Placement::new(cx, scene.roster);
        let known = cx.cache.all_homes().map(|(model, _)| model.clone());
        let models: OrderedSet<ModelName> =
            cx.document.catalogue.models.keys().cloned().chain(known).collect();
        self.lacking.retain(|model, _| models.contains(model));
        for model in models {
            if self.pending.contains_key(&model) || self.pending.len() >= WRITES_AT_ONCE {
                continue;
            }
            let review = Review { scene, ownership, engines, wishes: &wishes, model: &model };
            let plan = self.plan(cx, &review, &mut placement);
            if plan.changed {
                self.write(cx, &model, plan);
            }
        }
    }

    fn update(&mut self, cx: &Cx<'_>, roster: &Roster, model: &ModelName) {
        let Some((revision, homes)) = cx.cache.homes(model) else {
            self.allowed.remove(model);
            return;
        };
        let engines = homes.engines.clone();
        let replicas_max = limits(cx, roster, model, &engines).map_or(0, |limits| limits.most);
        self.allowed.insert(model.clone(), Allowed { revision, engines, replicas_max });
    }

    fn plan(&mut self, cx: &mut Cx<'_>, review: &Review<'_>, placement: &mut Placement<'_>) -> Plan {
        let Some((revision, homes)) = cx.cache.homes(review.model) else {
            return self.first_home(cx, review, placement);
        };
        if revision > review.scene.feed.frontier() {
            // A process that lost an engine without knowing it yet must not write on
            // the new owner's record. It knows of every loss up to its frontier.
            return Plan::default();
        }
        let mut plan = Plan { engines: homes.engines.clone(), ..Plan::default() };
        let Some(limits) = limits(cx, review.scene.roster, review.model, &plan.engines) else {
            drop_removed_model(cx, review, &mut plan);
            return plan;
        };
        drop_surplus(review, &mut plan, limits.homes_most);
        replace_left(cx, review, &mut plan, placement, limits.homes_most);
        self.add_lacking(cx, review, &mut plan, placement, &limits);
        plan.changed |= plan.engines.iter().any(|home| review.is_unconfirmed(home, revision));
        plan
    }

    fn first_home(&mut self, cx: &mut Cx<'_>, review: &Review<'_>, placement: &mut Placement<'_>) -> Plan {
        if !self.is_own_turn(cx, review) {
            return Plan::default();
        }
        let Some(home) = placement.place(cx, review.model, &[]) else {
            self.note_unplaceable(cx, review);
            return Plan::default();
        };
        self.unplaceable.remove(review.model);
        Plan { engines: vec![home], closing: Vec::new(), changed: true }
    }

    fn add_lacking(
        &mut self,
        cx: &mut Cx<'_>,
        review: &Review<'_>,
        plan: &mut Plan,
        placement: &mut Placement<'_>,
        limits: &Limits,
    ) {
        let wished = review.wishes.iter().any(|wish| wish.model == *review.model && wish.leave.is_none());
        let owns_home = plan.engines.iter().any(|home| review.ownership.held(home).is_some());
        let too_few = plan.engines.len() < limits.homes_least;
        let wanted = (wished && owns_home) || (too_few && self.is_own_turn(cx, review));
        if !too_few {
            self.lacking.remove(review.model);
        }
        if !wanted || plan.engines.len() >= limits.homes_most {
            return;
        }
        if let Some(home) = placement.place(cx, review.model, &plan.engines) {
            plan.engines.push(home);
            plan.changed = true;
        }
    }

    /// Tells whether it is up to this process to give the model a home that it lacks.
    fn is_own_turn(&mut self, cx: &Cx<'_>, review: &Review<'_>) -> bool {
        let since = *self.lacking.entry(review.model.clone()).or_insert(cx.now);
        is_own_turn(cx, review.scene, review.model, since)
    }

    fn note_unplaceable(&mut self, cx: &mut Cx<'_>, review: &Review<'_>) {
        let any = review.scene.roster.iter().any(|(_, engine)| engine.is_live());
        if any && self.unplaceable.insert(review.model.clone()) {
            cx.note("model_fits_nowhere", review.model.clone(), "no live engine has as much memory");
        }
    }

    fn write(&mut self, cx: &mut Cx<'_>, model: &ModelName, plan: Plan) {
        let known = cx.cache.homes(model);
        let based_on = known.map_or_else(|| revision_of(cx, model), |(revision, _)| revision);
        let expect = known.map_or(Expect::Absent, |(revision, _)| Expect::At(revision));
        if known.is_none_or(|(_, homes)| homes.engines != plan.engines) {
            let names: Vec<&str> = plan.engines.iter().map(UpstreamId::as_str).collect();
            cx.note("homes_changing", model.clone(), format!("to [{}]", names.join(" ")));
        }
        self.lacking.remove(model);
        self.pending
            .insert(model.clone(), Pending { based_on, closing: plan.closing, state: PendingState::Writing });
        let record =
            (!plan.engines.is_empty()).then_some(Record::Homes(HomesRecord { engines: plan.engines }));
        write_homes(cx, model, expect, record);
    }

    /// Writes a record anew as it stands where an earlier write may still take effect.
    ///
    /// Until the doubt is over, the closing engines may not load the model, since
    /// another engine may have become its home. Whichever of the two writes comes
    /// first, the other one fails.
    fn settle_doubts(&mut self, cx: &mut Cx<'_>) {
        for (model, pending) in &mut self.pending {
            if !matches!(pending.state, PendingState::Doubtful { again } if again.is_due(cx.now)) {
                continue;
            }
            pending.state = PendingState::Settling;
            match cx.cache.homes(model) {
                Some((revision, homes)) => {
                    let record = Record::Homes(homes.clone());
                    write_homes(cx, model, Expect::At(revision), Some(record));
                }
                // The first home of a model closes nothing, so that nothing is in doubt.
                None => pending.state = PendingState::Resting { until: cx.now },
            }
        }
    }

    fn end_rests(&mut self, now: Time) {
        self.pending.retain(|_, p| !matches!(p.state, PendingState::Resting { until } if until.is_due(now)));
    }
}

/// How many homes and writes there are.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counts {
    pub(super) homes: usize,
    pub(super) pending: usize,
    pub(super) unplaceable: usize,
}

/// What the plan for one model looks at.
#[derive(Clone, Copy)]
struct Review<'a> {
    scene: &'a Scene<'a>,
    ownership: &'a Ownership,
    engines: &'a dyn EngineUse,
    wishes: &'a [HomeWish],
    model: &'a ModelName,
}

impl Review<'_> {
    /// Tells whether this process may take the home from the engine.
    fn may_close(&self, engine: &UpstreamId) -> bool {
        self.ownership.held(engine).is_some() && self.engines.is_free_of(engine, self.model)
    }

    /// Tells whether the engine is gone for good, and it is up to this process to say so.
    fn is_gone(&self, cx: &Cx<'_>, engine: &UpstreamId) -> bool {
        if let Some(holding) = self.ownership.held(engine) {
            return self.scene.roster.is_gone(cx, engine, Some(holding.since));
        }
        let unowned = cx.cache.owner(engine).is_none();
        unowned
            && self.scene.roster.is_gone(cx, engine, None)
            && is_own_turn(cx, self.scene, self.model, cx.now)
    }

    /// Tells whether the record is older than this process's ownership of the engine.
    fn is_unconfirmed(&self, engine: &UpstreamId, record: StoreRevision) -> bool {
        self.ownership.held(engine).is_some_and(|holding| holding.acquired > record)
    }

    fn wants_to_leave(&self, engine: &UpstreamId) -> bool {
        self.wishes.iter().any(|wish| wish.model == *self.model && wish.leave.as_ref() == Some(engine))
    }
}

/// How many homes a model may and should have.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// How many replicas the rules allow.
    most: usize,
    /// How many homes are kept at least; one stays even where no replica is allowed.
    homes_least: usize,
    /// How many homes are kept at most.
    homes_most: usize,
}

/// Decides by the rules; none where the document doesn't name the model.
///
/// Every process has to come to the same result, or one would add the homes that
/// another takes away. So the data centre is that of the first home, not that of
/// the process, and what only some processes know counts as unknown.
fn limits(cx: &Cx<'_>, roster: &Roster, model: &ModelName, homes: &[UpstreamId]) -> Option<Limits> {
    cx.document.catalogue.models.get(model)?;
    let first = homes.first().and_then(|home| roster.get(home));
    let data_centre = first.map(|engine| &engine.data_centre);
    let facts = Facts { model: Some(model), data_centre, at: Some(cx.at), ..Facts::default() };
    let outcome = cx.document.rules.decide(&facts).outcome;
    let most = usize::try_from(outcome.replicas_max).unwrap_or(usize::MAX);
    let least = usize::try_from(outcome.replicas_min).unwrap_or(usize::MAX);
    let homes_most = most.max(1);
    Some(Limits { most, homes_least: least.clamp(1, homes_most), homes_most })
}

fn drop_removed_model(cx: &Cx<'_>, review: &Review<'_>, plan: &mut Plan) {
    let (closing, kept): (Vec<UpstreamId>, Vec<UpstreamId>) = std::mem::take(&mut plan.engines)
        .into_iter()
        .partition(|home| review.may_close(home) || review.is_gone(cx, home));
    plan.changed = !closing.is_empty() || kept.is_empty();
    plan.closing = closing;
    plan.engines = kept;
}

fn drop_surplus(review: &Review<'_>, plan: &mut Plan, most: usize) {
    let mut rank = plan.engines.len();
    while rank > most {
        rank -= 1;
        if review.may_close(&plan.engines[rank]) {
            plan.closing.push(plan.engines.remove(rank));
            plan.changed = true;
        }
    }
}

/// Takes the home from engines that are gone, about to go, or crowded.
fn replace_left(
    cx: &Cx<'_>,
    review: &Review<'_>,
    plan: &mut Plan,
    placement: &mut Placement<'_>,
    most: usize,
) {
    for rank in (0..plan.engines.len()).rev() {
        let home = plan.engines[rank].clone();
        let known = review.scene.roster.get(&home);
        let leaving = known.is_some_and(|engine| engine.is_listed() && !engine.is_live());
        let leaves = (leaving || review.wants_to_leave(&home)) && review.may_close(&home);
        if !leaves && !review.is_gone(cx, &home) {
            continue;
        }
        let next = placement.place(cx, review.model, &plan.engines);
        match next {
            Some(next) if plan.engines.len() <= most => plan.engines[rank] = next,
            None if plan.engines.len() == 1 => continue,
            _ => drop(plan.engines.remove(rank)),
        }
        plan.closing.push(home);
        plan.changed = true;
    }
}

/// Tells whether it is up to this process to look after a model that has needed it `since`.
fn is_own_turn(cx: &Cx<'_>, scene: &Scene<'_>, model: &ModelName, since: Time) -> bool {
    let key = format!("homes/{model}");
    if hashing::winner(&key, scene.lasting.iter()) == Some(&cx.cfg.host) {
        return true;
    }
    if !since.after(NEXT_IN_RANK).is_due(cx.now) {
        return false;
    }
    let ranked = hashing::ranking(&key, scene.lasting.iter());
    let Some(rank) = ranked.iter().position(|host| *host == &cx.cfg.host) else { return false };
    since.after(NEXT_IN_RANK.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))).is_due(cx.now)
}

fn revision_of(cx: &Cx<'_>, model: &ModelName) -> StoreRevision {
    cx.cache.get(&Key::Homes(model.clone())).map_or(StoreRevision(0), |entry| entry.revision)
}

fn write_homes(cx: &mut Cx<'_>, model: &ModelName, expect: Expect, record: Option<Record>) {
    let key = Key::Homes(model.clone());
    let deadline = cx.now.after(WRITE_DEADLINE);
    cx.write(WriteRequest { key, expect, record, lease: None, deadline });
}
