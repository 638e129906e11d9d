//! Planning of one model's homes record.
//!
//! Start reading at [`Plan`].

use super::{Homes, is_own_turn};
use crate::authority::{EngineUse, HomeRequest};
use crate::control::context::ReviewContext;
use crate::control::hashing::HashedHosts;
use crate::control::inventory::EngineInventory;
use crate::control::ownership::Ownership;
use crate::control::placement::Placement;
use crate::cx::Cx;
use crate::id::{ModelName, StoreRevision, UpstreamId};
use crate::rules::RuleInput;

/// Number of a model's adapters for which one home is sufficient.
const ADAPTERS_PER_HOME: usize = 4;
/// How many engines that evicted a model for lack of memory are remembered.
const MAX_EVICTED_FROM: usize = 16;

/// The desired content of a model's record.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) engines: Vec<UpstreamId>,
    /// The engines that the model was moved away from for lack of memory.
    pub(super) evicted_from: Vec<UpstreamId>,
    /// The engines that lose the home.
    pub(super) closing: Vec<UpstreamId>,
    pub(super) changed: bool,
}

/// Input of the plan for one model.
#[derive(Clone, Copy)]
pub(super) struct ModelReview<'a> {
    pub(super) context: &'a ReviewContext<'a>,
    pub(super) ownership: &'a Ownership,
    pub(super) engine_use: &'a dyn EngineUse,
    pub(super) requests: &'a [HomeRequest],
    /// The members among which the work is distributed.
    pub(super) hosts: &'a HashedHosts<'a>,
    pub(super) model: &'a ModelName,
}

impl ModelReview<'_> {
    /// Reports whether this process may remove the home from the engine.
    fn may_close(&self, engine: &UpstreamId) -> bool {
        self.ownership.held(engine).is_some() && self.engine_use.is_unused_by(engine, self.model)
    }

    /// Reports whether the engine is gone and it is this process's turn to remove it.
    fn is_gone(&self, cx: &Cx<'_>, engine: &UpstreamId) -> bool {
        if let Some(owned) = self.ownership.held(engine) {
            return self.context.inventory.is_gone(cx, engine, Some(owned.since));
        }
        let unowned = cx.cache.owner(engine).is_none();
        unowned
            && self.context.inventory.is_gone(cx, engine, None)
            && is_own_turn(cx, self.hosts, self.model, cx.now)
    }

    /// Reports whether the record is older than this process's ownership of the engine.
    fn is_unconfirmed(&self, engine: &UpstreamId, record: StoreRevision) -> bool {
        self.ownership.held(engine).is_some_and(|owned| owned.acquired_revision > record)
    }

    fn has_move_request(&self, engine: &UpstreamId) -> bool {
        self.requests
            .iter()
            .any(|request| request.model == *self.model && request.move_from.as_ref() == Some(engine))
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
            // A process that lost an engine without noticing must not overwrite the new
            // owner's record. It knows of every loss up to its frontier.
            return Plan::default();
        }
        let mut plan = Plan {
            engines: homes.engines.clone(),
            evicted_from: homes.evicted_from.clone(),
            ..Plan::default()
        };
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
        // Every process computes all first homes in the same order and from the same
        // state, and writes only its own part. If each computed only its own part, all
        // would choose the same empty engines.
        let limits = limits(cx, review.context.inventory, review.model, &[]);
        let (min_homes, max_homes) = limits.map_or((1, 1), |limits| (limits.min_homes, limits.max_homes));
        // All existing replicas are kept. If only the minimum number of homes were
        // written, the others would be unloaded while callers need them.
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
        let is_requested = review
            .requests
            .iter()
            .any(|request| request.model == *review.model && request.move_from.is_none());
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
        if let Some(home) = placement.place(review.model, &plan.engines, &plan.evicted_from) {
            plan.engines.push(home);
            plan.changed = true;
        }
    }

    /// Reports whether it is this process's turn to add a home that the model lacks.
    pub(super) fn is_own_turn(&mut self, cx: &Cx<'_>, hosts: &HashedHosts<'_>, model: &ModelName) -> bool {
        let since = *self.lacking_since.entry(model.clone()).or_insert(cx.now);
        is_own_turn(cx, hosts, model, since)
    }

    fn report_unplaceable(&mut self, cx: &mut Cx<'_>, review: &ModelReview<'_>) {
        let any = review.context.inventory.iter().any(|(_, engine)| engine.is_live());
        if any && self.unplaceable.insert(review.model.clone()) {
            cx.log_event("model_fits_nowhere", review.model.clone(), "no live engine has enough memory");
        }
    }
}

/// Returns the maximum number of first homes of a model.
///
/// Each home gives its engine an owner. If there are more engines than the hosts own
/// together, a model gets its share of the ownership capacity, and enough homes for its
/// adapters. Other engines that have the model loaded serve requests as well.
fn max_first_homes(cx: &Cx<'_>, review: &ModelReview<'_>) -> usize {
    if !review.context.exceeds_ownership_capacity(cx) {
        return usize::MAX;
    }
    let models = &cx.document.catalogue.models;
    let part = review.context.ownership_capacity() / models.len().max(1);
    let adapters = models.get(review.model).map_or(0, |model| model.adapters.len());
    part.max(adapters.div_ceil(ADAPTERS_PER_HOME))
}

/// The allowed numbers of homes and replicas of a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Maximum number of replicas.
    pub(super) max_replicas: usize,
    /// Minimum number of homes; one remains even if no replica is allowed.
    pub(super) min_homes: usize,
    /// Maximum number of homes.
    max_homes: usize,
}

/// Evaluates the rules; returns `None` for a model that the document does not contain.
///
/// All processes must reach the same result, or one would add the homes that another
/// removes. Therefore the data centre is that of the first home and not that of the
/// process, and conditions on local information are evaluated as unknown.
pub(super) fn limits(
    cx: &Cx<'_>,
    inventory: &EngineInventory,
    model: &ModelName,
    homes: &[UpstreamId],
) -> Option<Limits> {
    cx.document.catalogue.models.get(model)?;
    let first = homes.first().and_then(|home| inventory.get(home));
    let data_centre = first.map(|engine| &engine.data_centre);
    let facts = RuleInput { model: Some(model), data_centre, at: Some(cx.at), ..RuleInput::default() };
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

/// Adds engines of this process that have the model loaded as homes.
///
/// In a large cluster some engines are listed only after the first homes were
/// assigned. If their models counted as surplus, they would be unloaded although no
/// other engine may hold them.
fn adopt_holders(cx: &Cx<'_>, review: &ModelReview<'_>, plan: &mut Plan, limits: &Limits) {
    if review.context.exceeds_ownership_capacity(cx) {
        return;
    }
    for engine in review.ownership.owned_engines().keys() {
        let holds = cx.upstreams.get(engine).is_some_and(|listed| listed.is_live_holder(review.model));
        let is_new = !plan.engines.contains(engine) && !plan.evicted_from.contains(engine);
        let is_held = review.ownership.held(engine).is_some();
        if holds && is_new && is_held && plan.engines.len() < limits.max_replicas {
            plan.engines.push(engine.clone());
            plan.changed = true;
        }
    }
}

/// Moves homes away from engines that are gone, leaving or short of memory.
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
        // Listed but not live: the engine has announced that it leaves.
        let leaving = known.is_some_and(|engine| engine.is_listed() && !engine.is_live());
        let is_move_requested = review.has_move_request(&home);
        let may_leave = (leaving || is_move_requested) && review.may_close(&home);
        if !may_leave && !review.is_gone(cx, &home) {
            continue;
        }
        if is_move_requested {
            plan.evicted_from.push(home.clone());
            let surplus = plan.evicted_from.len().saturating_sub(MAX_EVICTED_FROM);
            plan.evicted_from.drain(..surplus);
        }
        let next = placement.place(review.model, &plan.engines, &plan.evicted_from);
        match next {
            Some(next) if plan.engines.len() <= max_homes => plan.engines[rank] = next,
            None if plan.engines.len() == 1 => continue,
            _ => drop(plan.engines.remove(rank)),
        }
        plan.closing.push(home);
        plan.changed = true;
    }
}
