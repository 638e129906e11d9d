//! On which engines each model may be loaded.
//!
//! A replica is only loaded at a home, so that the number of homes bounds the
//! number of replicas. A home is only given up by the engine's owner, which
//! knows that the model isn't there.

mod plan;

use std::time::Duration;

use plan::{ModelReview, Plan, limits};

use super::context::ReviewContext;
use super::hashing::HashedHosts;
use super::inventory::{EngineInventory, KnownEngine};
use super::ownership::Ownership;
use super::placement::Placement;
use crate::authority::{EngineUse, HomeWish};
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{ModelName, StoreRevision, UpstreamId};
use crate::store::{Expect, HomesRecord, Key, Record, WriteOutcome, WriteRequest};
use crate::time::Time;

/// How long the write of a homes record is tried.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// How long a model's homes are left alone after a write that failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How many homes records one process writes at a time.
const MAX_PENDING_WRITES: usize = 16;
/// How often all models are looked at; what is wished for or has changed is looked at sooner.
const FULL_REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// How often the limits of all models are worked out, which change with the time of day.
const LIMITS_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// How long the process that should look after a model is given before the next one does.
const RANK_DELAY: Duration = Duration::from_secs(10);

/// A model's homes as they stand, and as the rules limit them.
#[derive(Clone, Debug)]
struct ModelHomes {
    /// Since when this process knows the engines.
    since: Time,
    revision: StoreRevision,
    engines: Vec<UpstreamId>,
    /// How many of the engines, the first ones first, may have a replica.
    replicas_max: usize,
    /// How many homes the model should have at least.
    min_homes: usize,
}

impl ModelHomes {
    fn allows_replica(&self, engine: &UpstreamId) -> bool {
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
    Unconfirmed {
        retry_at: Time,
    },
    /// The doubt is being settled.
    Rewriting,
    /// Nothing has happened; the model is left alone for a while.
    BackingOff {
        until: Time,
    },
}

/// The homes of all models, as far as this process decides on them.
#[derive(Debug, Default)]
pub(super) struct Homes {
    current: OrderedMap<ModelName, ModelHomes>,
    pending: OrderedMap<ModelName, Pending>,
    /// Since when models are without a home, or lack one.
    lacking_since: OrderedMap<ModelName, Time>,
    /// Models that no engine can hold.
    unplaceable: OrderedSet<ModelName>,
    /// Models whose homes have changed since they were last looked at.
    changed_models: OrderedSet<ModelName>,
    /// When all models are looked at again.
    next_full_review: Time,
    /// When the limits of all models are worked out again.
    next_limits_update: Time,
}

impl Homes {
    /// Tells whether the model may be loaded on an engine that this process owns since `acquired`.
    ///
    /// A former owner that was paused may have a write under way that gives the
    /// home up. Once the record was written after the engine changed hands, that
    /// write fails; before, the model could be loaded here and at its next home.
    pub(super) fn is_home(
        &self,
        engine: &UpstreamId,
        model: &ModelName,
        acquired_revision: StoreRevision,
    ) -> bool {
        let closing = self.pending.get(model).is_some_and(|pending| pending.closing.contains(engine));
        let Some(current) = self.current.get(model) else { return false };
        !closing && current.revision > acquired_revision && current.allows_replica(engine)
    }

    /// Tells whether the rules or the record leave no room for the model on the engine.
    pub(super) fn is_excluded(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        self.current.get(model).is_none_or(|current| !current.allows_replica(engine))
    }

    /// Returns how many homes are known, and how many writes aren't settled.
    pub(super) fn counts(&self) -> HomeCounts {
        HomeCounts {
            homes: self.current.values().map(|current| current.engines.len()).sum(),
            pending: self.pending.len(),
            unplaceable: self.unplaceable.len(),
        }
    }

    /// Returns since when a model's homes are as they are.
    pub(super) fn since(&self, model: &ModelName) -> Option<Time> {
        self.current.get(model).map(|current| current.since)
    }

    /// Returns the models whose first or further homes are lacking, and since when.
    pub(super) const fn lacking_since(&self) -> &OrderedMap<ModelName, Time> {
        &self.lacking_since
    }

    /// Takes note of a change of a model's homes.
    pub(super) fn on_change(&mut self, cx: &Cx<'_>, inventory: &EngineInventory, model: &ModelName) {
        let revision = revision_of(cx, model);
        if self.pending.get(model).is_some_and(|pending| pending.based_on < revision) {
            self.pending.remove(model);
        }
        self.changed_models.insert(model.clone());
        self.update_model(cx, inventory, model);
    }

    /// Takes the outcome of a write of a model's homes.
    pub(super) fn on_write(
        &mut self,
        cx: &mut Cx<'_>,
        inventory: &EngineInventory,
        model: &ModelName,
        outcome: &WriteOutcome,
    ) {
        let next_try = cx.now.after(cx.jitter(RETRY_DELAY));
        if let Some(pending) = self.pending.get_mut(model) {
            match (outcome, pending.state) {
                (WriteOutcome::Done(_) | WriteOutcome::Conflict(_), _) => {
                    self.pending.remove(model);
                }
                (WriteOutcome::NotDone, PendingState::Writing) => {
                    pending.closing.clear();
                    pending.state = PendingState::BackingOff { until: next_try };
                }
                (WriteOutcome::Unknown | WriteOutcome::NotDone, _) => {
                    pending.state = PendingState::Unconfirmed { retry_at: next_try };
                }
            }
        }
        self.changed_models.insert(model.clone());
        self.update_model(cx, inventory, model);
    }

    /// Looks at every model again, since the rules or the time of day changed.
    pub(super) fn update_all(&mut self, cx: &Cx<'_>, inventory: &EngineInventory) {
        let models: Vec<ModelName> = cx.cache.all_homes().map(|(model, _)| model.clone()).collect();
        for model in models {
            self.update_model(cx, inventory, &model);
        }
    }

    /// Does what is due: first homes, more, fewer, and moves.
    pub(super) fn review(
        &mut self,
        cx: &mut Cx<'_>,
        context: &ReviewContext<'_>,
        ownership: &Ownership,
        engines: &dyn EngineUse,
    ) {
        let is_full = self.next_full_review.is_due(cx.now);
        if is_full {
            self.next_full_review = cx.now.after(FULL_REVIEW_INTERVAL);
        }
        if self.next_limits_update.is_due(cx.now) {
            self.next_limits_update = cx.now.after(LIMITS_UPDATE_INTERVAL);
            self.update_all(cx, context.inventory);
        }
        if !context.may_decide(cx) || !cx.document.is_known() {
            return;
        }
        self.resolve_unconfirmed(cx);
        self.expire_backoffs(cx.now);
        let wishes = engines.home_wishes();
        let mut models = self.urgent_models(&wishes);
        if is_full {
            models.extend(self.affected_models(cx, context, ownership));
            self.lacking_since.retain(|model, _| models.contains(model));
        }
        let hosts = HashedHosts::new(context.eligible);
        let places_first = is_full && self.has_first_homes_to_place(cx, context, &hosts, &models);
        let mut placement = Placement::new(cx, context.inventory);
        for model in models {
            let is_skipped = !places_first && !self.current.contains_key(&model);
            if is_skipped || self.pending.contains_key(&model) || self.pending.len() >= MAX_PENDING_WRITES {
                continue;
            }
            let review =
                ModelReview { context, ownership, engines, wishes: &wishes, hosts: &hosts, model: &model };
            let plan = self.plan(cx, &review, &mut placement);
            if plan.changed {
                self.write(cx, &model, plan);
            }
        }
    }

    /// Tells whether it is up to this process to give some model its first homes.
    ///
    /// Those are worked out for all models together; a process that has none to
    /// give is spared that.
    fn has_first_homes_to_place(
        &mut self,
        cx: &Cx<'_>,
        context: &ReviewContext<'_>,
        hosts: &HashedHosts<'_>,
        models: &OrderedSet<ModelName>,
    ) -> bool {
        if !context.inventory.is_stable(cx.now) {
            return false;
        }
        let mut must = false;
        for model in models {
            if !self.current.contains_key(model) && !self.pending.contains_key(model) {
                must |= self.is_own_turn(cx, hosts, model);
            }
        }
        must
    }

    /// Returns the models whose homes this process may have to change.
    fn affected_models(
        &self,
        cx: &Cx<'_>,
        context: &ReviewContext<'_>,
        ownership: &Ownership,
    ) -> OrderedSet<ModelName> {
        let catalogue = &cx.document.catalogue.models;
        let is_affected = |model: &ModelName, homes: &HomesRecord| {
            let is_below_minimum =
                self.current.get(model).is_none_or(|known| homes.engines.len() < known.min_homes);
            let is_own = |home: &UpstreamId| ownership.owned_engines().contains_key(home);
            let is_not_live =
                |home: &UpstreamId| !context.inventory.get(home).is_some_and(KnownEngine::is_live);
            let needs_review = |home: &UpstreamId| is_own(home) || is_not_live(home);
            is_below_minimum || !catalogue.contains_key(model) || homes.engines.iter().any(needs_review)
        };
        let held = ownership.owned_engines().keys().filter_map(|engine| cx.upstreams.get(engine));
        let held = held.flat_map(|listed| &listed.holds).filter(|model| catalogue.contains_key(*model));
        let homeless = catalogue.keys().filter(|model| cx.cache.homes(model).is_none());
        let affected = cx.cache.all_homes().filter(|(model, homes)| is_affected(model, homes));
        homeless.chain(held).chain(affected.map(|(model, _)| model)).cloned().collect()
    }

    /// Returns the models that can't wait until all are looked at.
    fn urgent_models(&mut self, wishes: &[HomeWish]) -> OrderedSet<ModelName> {
        let mut models = std::mem::take(&mut self.changed_models);
        models.extend(wishes.iter().map(|wish| wish.model.clone()));
        models
    }

    fn update_model(&mut self, cx: &Cx<'_>, inventory: &EngineInventory, model: &ModelName) {
        let Some((revision, homes)) = cx.cache.homes(model) else {
            self.current.remove(model);
            return;
        };
        let limits = limits(cx, inventory, model, &homes.engines);
        let replicas_max = limits.map_or(0, |limits| limits.max_replicas);
        let min_homes = limits.map_or(0, |limits| limits.min_homes);
        if let Some(known) = self.current.get_mut(model).filter(|known| known.engines == homes.engines) {
            known.revision = revision;
            known.replicas_max = replicas_max;
            known.min_homes = min_homes;
            return;
        }
        let current =
            ModelHomes { since: cx.now, revision, engines: homes.engines.clone(), replicas_max, min_homes };
        self.current.insert(model.clone(), current);
    }

    fn write(&mut self, cx: &mut Cx<'_>, model: &ModelName, plan: Plan) {
        let known = cx.cache.homes(model);
        let based_on = known.map_or_else(|| revision_of(cx, model), |(revision, _)| revision);
        let expect = known.map_or(Expect::Absent, |(revision, _)| Expect::At(revision));
        if known.is_none_or(|(_, homes)| homes.engines != plan.engines) {
            let names: Vec<&str> = plan.engines.iter().map(UpstreamId::as_str).collect();
            cx.note("homes_changing", model.clone(), format!("to [{}]", names.join(" ")));
        }
        self.lacking_since.remove(model);
        self.pending
            .insert(model.clone(), Pending { based_on, closing: plan.closing, state: PendingState::Writing });
        let record = (!plan.engines.is_empty())
            .then_some(Record::Homes(HomesRecord { engines: plan.engines, left: plan.left }));
        write_homes(cx, model, expect, record);
    }

    /// Writes a record anew as it stands where an earlier write may still take effect.
    ///
    /// Until the doubt is over, the closing engines may not load the model, since
    /// another engine may have become its home. Whichever of the two writes comes
    /// first, the other one fails.
    fn resolve_unconfirmed(&mut self, cx: &mut Cx<'_>) {
        for (model, pending) in &mut self.pending {
            if !matches!(pending.state, PendingState::Unconfirmed { retry_at } if retry_at.is_due(cx.now)) {
                continue;
            }
            pending.state = PendingState::Rewriting;
            match cx.cache.homes(model) {
                Some((revision, homes)) => {
                    let record = Record::Homes(homes.clone());
                    write_homes(cx, model, Expect::At(revision), Some(record));
                }
                // The first home of a model closes nothing, so that nothing is in doubt.
                None => pending.state = PendingState::BackingOff { until: cx.now },
            }
        }
    }

    fn expire_backoffs(&mut self, now: Time) {
        self.pending
            .retain(|_, p| !matches!(p.state, PendingState::BackingOff { until } if until.is_due(now)));
    }
}

/// How many homes and writes there are.
#[derive(Clone, Copy, Debug)]
pub(super) struct HomeCounts {
    pub(super) homes: usize,
    pub(super) pending: usize,
    pub(super) unplaceable: usize,
}

/// Tells whether it is up to this process to look after a model that has needed it `since`.
fn is_own_turn(cx: &Cx<'_>, hosts: &HashedHosts<'_>, model: &ModelName, since: Time) -> bool {
    let key = format!("homes/{model}");
    if hosts.winner(&key) == Some(&cx.cfg.host) {
        return true;
    }
    if !since.after(RANK_DELAY).is_due(cx.now) {
        return false;
    }
    let Some(rank) = hosts.rank(&key, &cx.cfg.host) else { return false };
    since.after(RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))).is_due(cx.now)
}

fn revision_of(cx: &Cx<'_>, model: &ModelName) -> StoreRevision {
    cx.cache.get(&Key::Homes(model.clone())).map_or(StoreRevision(0), |entry| entry.revision)
}

fn write_homes(cx: &mut Cx<'_>, model: &ModelName, expect: Expect, record: Option<Record>) {
    let key = Key::Homes(model.clone());
    let deadline = cx.now.after(WRITE_DEADLINE);
    cx.write(WriteRequest { key, expect, record, lease: None, deadline });
}
