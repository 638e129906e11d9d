//! Model homes: the engines on which each model may be loaded.
//!
//! A replica is loaded only at a home, so the number of homes limits the number of
//! replicas. Only the engine's owner gives a home up, since it knows that the model is
//! not loaded there. Start reading at [`Homes`].

mod plan;

use std::time::Duration;

use plan::{ModelReview, Plan, limits};

use super::context::ReviewContext;
use super::hashing::HashedHosts;
use super::inventory::{EngineInventory, KnownEngine};
use super::ownership::Ownership;
use super::placement::Placement;
use crate::authority::{EngineUse, HomeRequest};
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{ModelName, StoreRevision, UpstreamId};
use crate::store::{Expect, HomesRecord, Key, Record, WriteOutcome, WriteRequest};
use crate::time::Time;

/// Deadline of one write of a homes record.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// Delay before a model's homes are changed again after a failed write, before jitter.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of homes records that one process writes at the same time.
const MAX_PENDING_WRITES: usize = 16;
/// Interval between two reviews of all models; requested and changed models are reviewed sooner.
const FULL_REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two evaluations of the limits of all models, which depend on the time of day.
const LIMITS_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between two processes of the ranking that try to add a missing home.
const RANK_DELAY: Duration = Duration::from_secs(10);

/// A model's recorded homes and the limits that the rules set.
#[derive(Clone, Debug)]
struct ModelHomes {
    /// When this process first read this list of engines.
    since: Time,
    revision: StoreRevision,
    engines: Vec<UpstreamId>,
    /// How many of the engines, in order, may have a replica.
    replicas_max: usize,
    /// The minimum number of homes.
    min_homes: usize,
}

impl ModelHomes {
    fn allows_replica(&self, engine: &UpstreamId) -> bool {
        self.engines.iter().take(self.replicas_max).any(|home| home == engine)
    }
}

/// A write of a model's homes that is not settled yet.
#[derive(Clone, Debug)]
struct Pending {
    /// The key that is written.
    key: Key,
    based_on: StoreRevision,
    /// The engines that lose the home with this write.
    closing: Vec<UpstreamId>,
    state: PendingState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingState {
    Writing,
    /// The outcome is unknown; the current record is written again to settle it.
    Unconfirmed {
        retry_at: Time,
    },
    /// The current record is being written again.
    Rewriting,
    /// The write had no effect; the next attempt is delayed.
    BackingOff {
        until: Time,
    },
}

/// The homes of all models.
#[derive(Debug, Default)]
pub(super) struct Homes {
    current: OrderedMap<ModelName, ModelHomes>,
    pending: OrderedMap<ModelName, Pending>,
    /// Models that have no home or too few, and since when.
    lacking_since: OrderedMap<ModelName, Time>,
    /// Models that fit no engine.
    unplaceable: OrderedSet<ModelName>,
    /// Models whose homes changed since the last review.
    changed_models: OrderedSet<ModelName>,
    next_full_review: Time,
    next_limits_update: Time,
}

impl Homes {
    /// Reports whether the model may be loaded on an engine that this process has owned
    /// since `acquired_revision`.
    ///
    /// A paused former owner may have a write in flight that gives the home up. That
    /// write fails once the record has been written after the engine changed owners.
    /// Until then the model could be loaded both here and at its next home.
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

    /// Reports whether the rules or the record exclude the model from the engine.
    pub(super) fn is_excluded(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        self.current.get(model).is_none_or(|current| !current.allows_replica(engine))
    }

    pub(super) fn counts(&self) -> HomeCounts {
        HomeCounts {
            homes: self.current.values().map(|current| current.engines.len()).sum(),
            pending: self.pending.len(),
            unplaceable: self.unplaceable.len(),
        }
    }

    /// Returns since when a model's homes have been unchanged.
    pub(super) fn since(&self, model: &ModelName) -> Option<Time> {
        self.current.get(model).map(|current| current.since)
    }

    /// Returns the models that have no home or too few, and since when.
    pub(super) const fn lacking_since(&self) -> &OrderedMap<ModelName, Time> {
        &self.lacking_since
    }

    /// Handles a change of a model's homes record.
    pub(super) fn on_change(&mut self, cx: &Cx<'_>, inventory: &EngineInventory, model: &ModelName) {
        let revision = revision_of(cx, model);
        if self.pending.get(model).is_some_and(|pending| pending.based_on < revision) {
            self.pending.remove(model);
        }
        self.changed_models.insert(model.clone());
        self.update_model(cx, inventory, model);
    }

    /// Handles the outcome of a write of a model's homes record.
    pub(super) fn on_write(
        &mut self,
        cx: &mut Cx<'_>,
        inventory: &EngineInventory,
        key: &Key,
        outcome: &WriteOutcome,
    ) {
        let Key::Homes(named) = key else { return };
        let written = self.pending.iter().find(|(_, pending)| pending.key == *key);
        let model = &written.map_or_else(|| cx.cache.model_at(named), |(model, _)| model).clone();
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

    /// Reapplies the limits of every model, since the rules or the time of day changed.
    pub(super) fn update_all(&mut self, cx: &Cx<'_>, inventory: &EngineInventory) {
        let models: Vec<ModelName> = cx.cache.all_homes().map(|(model, _)| model.clone()).collect();
        for model in models {
            self.update_model(cx, inventory, &model);
        }
    }

    /// Runs what is due: first homes, further homes, removals and moves.
    pub(super) fn review(
        &mut self,
        cx: &mut Cx<'_>,
        context: &ReviewContext<'_>,
        ownership: &Ownership,
        engine_use: &dyn EngineUse,
    ) {
        let is_full = self.next_full_review.is_due(cx.now);
        if is_full {
            self.next_full_review = cx.now.after(FULL_REVIEW_INTERVAL);
        }
        if self.next_limits_update.is_due(cx.now) {
            self.next_limits_update = cx.now.after(LIMITS_UPDATE_INTERVAL);
            self.update_all(cx, context.inventory);
        }
        if !context.may_decide(cx) || !cx.document.is_configured() {
            return;
        }
        self.resolve_unconfirmed(cx);
        self.expire_backoffs(cx.now);
        let requests = engine_use.home_requests();
        let mut models = self.urgent_models(&requests);
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
            let review = ModelReview {
                context,
                ownership,
                engine_use,
                requests: &requests,
                hosts: &hosts,
                model: &model,
            };
            let plan = self.plan(cx, &review, &mut placement);
            if plan.changed {
                self.write(cx, &model, plan);
            }
        }
    }

    /// Reports whether it is this process's turn to assign the first homes of any model.
    ///
    /// First homes are computed for all models together, which is skipped if this
    /// process writes none of them.
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

    /// Returns the models that are reviewed before the next full review.
    fn urgent_models(&mut self, requests: &[HomeRequest]) -> OrderedSet<ModelName> {
        let mut models = std::mem::take(&mut self.changed_models);
        models.extend(requests.iter().map(|request| request.model.clone()));
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
            cx.log_event("homes_changing", model.clone(), format!("to [{}]", names.join(" ")));
        }
        self.lacking_since.remove(model);
        let key = cx.cache.homes_key(&cx.document.catalogue, model);
        let state = PendingState::Writing;
        self.pending
            .insert(model.clone(), Pending { key: key.clone(), based_on, closing: plan.closing, state });
        let record = (!plan.engines.is_empty())
            .then_some(Record::Homes(HomesRecord { engines: plan.engines, evicted_from: plan.evicted_from }));
        write_homes(cx, key, expect, record);
    }

    /// Rewrites the current record if an earlier write may still take effect.
    ///
    /// Until that is settled, the engines that would lose the home may not load the
    /// model, since another engine may have become its home. Whichever of the two
    /// writes is executed first makes the other fail.
    fn resolve_unconfirmed(&mut self, cx: &mut Cx<'_>) {
        for (model, pending) in &mut self.pending {
            if !matches!(pending.state, PendingState::Unconfirmed { retry_at } if retry_at.is_due(cx.now)) {
                continue;
            }
            pending.state = PendingState::Rewriting;
            match cx.cache.homes(model) {
                Some((revision, homes)) => {
                    let record = Record::Homes(homes.clone());
                    pending.key = cx.cache.homes_key(&cx.document.catalogue, model);
                    write_homes(cx, pending.key.clone(), Expect::At(revision), Some(record));
                }
                // The first homes of a model take none away, so nothing has to be settled.
                None => pending.state = PendingState::BackingOff { until: cx.now },
            }
        }
    }

    fn expire_backoffs(&mut self, now: Time) {
        self.pending
            .retain(|_, p| !matches!(p.state, PendingState::BackingOff { until } if until.is_due(now)));
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct HomeCounts {
    pub(super) homes: usize,
    pub(super) pending: usize,
    pub(super) unplaceable: usize,
}

/// Reports whether it is this process's turn to add a home that the model has lacked since `since`.
fn is_own_turn(cx: &Cx<'_>, hosts: &HashedHosts<'_>, model: &ModelName, since: Time) -> bool {
    let key = format!("homes/{}", model.as_str());
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
    let key = cx.cache.homes_key(&cx.document.catalogue, model);
    cx.cache.get(&key).map_or(StoreRevision(0), |entry| entry.revision)
}

fn write_homes(cx: &mut Cx<'_>, key: Key, expect: Expect, record: Option<Record>) {
    let deadline = cx.now.after(WRITE_DEADLINE);
    cx.write(WriteRequest { key, expect, record, lease: None, deadline });
}
