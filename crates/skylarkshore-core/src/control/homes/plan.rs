//! What should stand in a model's homes record.

use super::{Homes, is_own_turn};
use crate::authority::{EngineUse, HomeWish};
use crate::control::context::ReviewContext;
use crate::control::hashing::HashedHosts;
use crate::control::inventory::EngineInventory;
use crate::control::ownership::Ownership;
use crate::control::placement::Placement;
use crate::cx::Cx;
use crate::id::{ModelName, StoreRevision, UpstreamId};
use crate::rules::Facts;

/// For how many of a model's adapters one home is enough.
const ADAPTERS_PER_HOME: usize = 4;
/// How many of the engines that a model left for want of memory are remembered.
const MAX_LEFT_ENGINES: usize = 16;

/// What is to stand in a model's record.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) engines: Vec<UpstreamId>,
    /// The engines that the model left for want of memory.
    pub(super) left: Vec<UpstreamId>,
    pub(super) closing: Vec<UpstreamId>,
    pub(super) changed: bool,
}

/// What the plan for one model looks at.
#[derive(Clone, Copy)]
pub(super) struct ModelReview<'a> {
    pub(super) context: &'a ReviewContext<'a>,
    pub(super) ownership: &'a Ownership,
    pub(super) engines: &'a dyn EngineUse,
    pub(super) wishes: &'a [HomeWish],
    /// The members that share the work out among themselves.
    pub(super) hosts: &'a HashedHosts<'a>,
    pub(super) model: &'a ModelName,
}

impl ModelReview<'_> {
    /// Tells whether this process may take the home from the engine.
    fn may_close(&self, engine: &UpstreamId) -> bool {
        self.ownership.held(engine).is_some() && self.engines.is_free_of(engine, self.model)
    }

    /// Tells whether the engine is gone for good, and it is up to this process to say so.
    fn is_gone(&self, cx: &Cx<'_>, engine: &UpstreamId) -> bool {
        if let Some(owned) = self.ownership.held(engine) {
            return self.context.inventory.is_gone(cx, engine, Some(owned.since));
        }
        let unowned = cx.cache.owner(engine).is_none();
        unowned
            && self.context.inventory.is_gone(cx, engine, None)
            && is_own_turn(cx, self.hosts, self.model, cx.now)
    }

    /// Tells whether the record is older than this process's ownership of the engine.
    fn is_unconfirmed(&self, engine: &UpstreamId, record: StoreRevision) -> bool {
        self.ownership.held(engine).is_some_and(|owned| owned.acquired_revision > record)
    }

    fn has_move_request(&self, engine: &UpstreamId) -> bool {
        self.wishes.iter().any(|wish| wish.model == *self.model && wish.leave.as_ref() == Some(engine))
    }
}

impl Homes {
    pub(super) fn plan(
        &mut self,
        cx: &mut Cx<'_>,
        review: &ModelReview<'_>,
        placement: &mut Placement<'_>,
    ) -> Plan {
        let Some((revision, homes)) = cx.cache.homes(review.model) else {
            return self.first_homes(cx, review, placement);
        };
        if revision > review.context.store_sync.frontier() {
            // A process that lost an engine without knowing it yet must not write on
            // the new owner's record. It knows of every loss up to its frontier.
            return Plan::default();
        }
        let mut plan = Plan { engines: homes.engines.clone(), left: homes.left.clone(), ..Plan::default() };
        let Some(limits) = limits(cx, review.context.inventory, review.model, &plan.engines) else {
            drop_removed_model(cx, review, &mut plan);
            return plan;
        };
        drop_surplus(review, &mut plan, limits.max_homes);
        replace_departing(cx, review, &mut plan, placement, limits.max_homes);
        adopt_holders(cx, review, &mut plan, &limits);
        self.add_missing_home(cx, review, &mut plan, placement, &limits);
        plan.changed |= plan.engines.iter().any(|home| review.is_unconfirmed(home, revision));
        plan
    }

    fn first_homes(
        &mut self,
        cx: &mut Cx<'_>,
        review: &ModelReview<'_>,
        placement: &mut Placement<'_>,
    ) -> Plan {
        // Every process works out every first home in the same order and from the
        // same knowledge, and writes only its own part. Were each to look at its own
        // part alone, all would choose the same empty engines.
        let limits = limits(cx, review.context.inventory, review.model, &[]);
        let (min_homes, max_homes) = limits.map_or((1, 1), |limits| (limits.min_homes, limits.max_homes));
        // Replicas that are there already are all kept; were only the least number
        // of homes written, the others would be unloaded while callers need them.
        let max_homes = max_homes.min(max_first_homes(cx, review)).max(min_homes);
        let target_count = placement.holders(review.model).clamp(min_homes, max_homes);
        let mut homes: Vec<UpstreamId> = Vec::new();
        while homes.len() < target_count
            && let Some(home) = placement.place(review.model, &homes, &[])
        {
            homes.push(home);
        }
        if !self.is_own_turn(cx, review.hosts, review.model) {
            return Plan::default();
        }
        if homes.is_empty() {
            self.report_unplaceable(cx, review);
            return Plan::default();
        }
        self.unplaceable.remove(review.model);
        Plan { engines: homes, changed: true, ..Plan::default() }
    }

    fn add_missing_home(
        &mut self,
        cx: &mut Cx<'_>,
        review: &ModelReview<'_>,
        plan: &mut Plan,
        placement: &mut Placement<'_>,
        limits: &Limits,
    ) {
        let is_requested =
            review.wishes.iter().any(|wish| wish.model == *review.model && wish.leave.is_none());
        let owns_home = plan.engines.iter().any(|home| review.ownership.held(home).is_some());
        let too_few = plan.engines.len() < limits.min_homes;
        let needs_home =
            (is_requested && owns_home) || (too_few && self.is_own_turn(cx, review.hosts, review.model));
        if !too_few {
            self.lacking_since.remove(review.model);
        }
        if !needs_home || plan.engines.len() >= limits.max_homes {
            return;
        }
        if let Some(home) = placement.place(review.model, &plan.engines, &plan.left) {
            plan.engines.push(home);
            plan.changed = true;
        }
    }

    /// Tells whether it is up to this process to give the model a home that it lacks.
    pub(super) fn is_own_turn(&mut self, cx: &Cx<'_>, hosts: &HashedHosts<'_>, model: &ModelName) -> bool {
        let since = *self.lacking_since.entry(model.clone()).or_insert(cx.now);
        is_own_turn(cx, hosts, model, since)
    }

    fn report_unplaceable(&mut self, cx: &mut Cx<'_>, review: &ModelReview<'_>) {
        let any = review.context.inventory.iter().any(|(_, engine)| engine.is_live());
        if any && self.unplaceable.insert(review.model.clone()) {
            cx.note("model_fits_nowhere", review.model.clone(), "no live engine has as much memory");
        }
    }
}

/// Returns how many homes a model gets at first at most.
///
/// A home makes its engine one that somebody looks after. Where there are many
/// more engines than that is worth for, a model gets its part of those that are
/// looked after, and room for its adapters; the others that hold it serve as well.
fn max_first_homes(cx: &Cx<'_>, review: &ModelReview<'_>) -> usize {
    if !review.context.has_spare_engines(cx) {
        return usize::MAX;
    }
    let models = &cx.document.catalogue.models;
    let part = review.context.ownership_capacity() / models.len().max(1);
    let adapters = models.get(review.model).map_or(0, |model| model.adapters.len());
    part.max(adapters.div_ceil(ADAPTERS_PER_HOME))
}

/// How many homes a model may and should have.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// How many replicas the rules allow.
    pub(super) max_replicas: usize,
    /// How many homes are kept at least; one stays even where no replica is allowed.
    pub(super) min_homes: usize,
    /// How many homes are kept at most.
    max_homes: usize,
}

/// Decides by the rules; none where the document doesn't name the model.
///
/// Every process has to come to the same result, or one would add the homes that
/// another takes away. So the data centre is that of the first home, not that of
/// the process, and what only some processes know counts as unknown.
pub(super) fn limits(
    cx: &Cx<'_>,
    inventory: &EngineInventory,
    model: &ModelName,
    homes: &[UpstreamId],
) -> Option<Limits> {
    cx.document.catalogue.models.get(model)?;
    let first = homes.first().and_then(|home| inventory.get(home));
    let data_centre = first.map(|engine| &engine.data_centre);
    let facts = Facts { model: Some(model), data_centre, at: Some(cx.at), ..Facts::default() };
    let outcome = cx.document.rules.decide(&facts).outcome;
    let max_replicas = usize::try_from(outcome.replicas_max).unwrap_or(usize::MAX);
    let min_replicas = usize::try_from(outcome.replicas_min).unwrap_or(usize::MAX);
    let max_homes = max_replicas.max(1);
    let min_homes = min_replicas.max(cx.cfg.limits.homes_ahead).clamp(1, max_homes);
    Some(Limits { max_replicas, min_homes, max_homes })
}

fn drop_removed_model(cx: &Cx<'_>, review: &ModelReview<'_>, plan: &mut Plan) {
    let (closing, kept): (Vec<UpstreamId>, Vec<UpstreamId>) = std::mem::take(&mut plan.engines)
        .into_iter()
        .partition(|home| review.may_close(home) || review.is_gone(cx, home));
    plan.changed = !closing.is_empty() || kept.is_empty();
    plan.closing = closing;
    plan.engines = kept;
}

fn drop_surplus(review: &ModelReview<'_>, plan: &mut Plan, max_homes: usize) {
    let mut rank = plan.engines.len();
    while rank > max_homes {
        rank -= 1;
        if review.may_close(&plan.engines[rank]) {
            plan.closing.push(plan.engines.remove(rank));
            plan.changed = true;
        }
    }
}

/// Makes engines of this process homes that hold the model already.
///
/// In a large fleet some engines are listed after the first homes were given
/// out. Were what they hold taken for surplus, it would be unloaded, and may be
/// nowhere else.
fn adopt_holders(cx: &Cx<'_>, review: &ModelReview<'_>, plan: &mut Plan, limits: &Limits) {
    if review.context.has_spare_engines(cx) {
        return;
    }
    for engine in review.ownership.owned_engines().keys() {
        let holds = cx.upstreams.get(engine).is_some_and(|listed| listed.holds_live(review.model));
        let is_new = !plan.engines.contains(engine) && !plan.left.contains(engine);
        let is_held = review.ownership.held(engine).is_some();
        if holds && is_new && is_held && plan.engines.len() < limits.max_replicas {
            plan.engines.push(engine.clone());
            plan.changed = true;
        }
    }
}

/// Takes the home from engines that are gone, about to go, or crowded.
fn replace_departing(
    cx: &Cx<'_>,
    review: &ModelReview<'_>,
    plan: &mut Plan,
    placement: &mut Placement<'_>,
    max_homes: usize,
) {
    for rank in (0..plan.engines.len()).rev() {
        let home = plan.engines[rank].clone();
        let known = review.context.inventory.get(&home);
        let leaving = known.is_some_and(|engine| engine.is_listed() && !engine.is_live());
        let is_move_requested = review.has_move_request(&home);
        let may_leave = (leaving || is_move_requested) && review.may_close(&home);
        if !may_leave && !review.is_gone(cx, &home) {
            continue;
        }
        if is_move_requested {
            plan.left.push(home.clone());
            let surplus = plan.left.len().saturating_sub(MAX_LEFT_ENGINES);
            plan.left.drain(..surplus);
        }
        let next = placement.place(review.model, &plan.engines, &plan.left);
        match next {
            Some(next) if plan.engines.len() <= max_homes => plan.engines[rank] = next,
            None if plan.engines.len() == 1 => continue,
            _ => drop(plan.engines.remove(rank)),
        }
        plan.closing.push(home);
        plan.changed = true;
    }
}
