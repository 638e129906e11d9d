//! What should stand in a model's homes record.

use super::{Homes, is_own_turn};
use crate::authority::{EngineUse, HomeRequest};
use crate::control::hashing::HashedHosts;
use crate::control::knowledge::Knowledge;
use crate::control::ownership::Ownership;
use crate::control::placement::Placement;
use crate::control::roster::Roster;
use crate::cx::Cx;
use crate::id::{ModelName, StoreRevision, UpstreamId};
use crate::rules::RuleInput;

/// For how many of a model's adapters one home is enough.
const ADAPTERS_PER_HOME: usize = 4;
/// How many of the engines that a model left for want of memory are remembered.
const LEFT_KEPT: usize = 16;

/// What is to stand in a model's record.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) engines: Vec<UpstreamId>,
    /// The engines that the model left for want of memory.
    pub(super) evicted_from: Vec<UpstreamId>,
    pub(super) closing: Vec<UpstreamId>,
    pub(super) changed: bool,
}

/// What the plan for one model looks at.
#[derive(Clone, Copy)]
pub(super) struct Review<'a> {
    pub(super) knowledge: &'a Knowledge<'a>,
    pub(super) ownership: &'a Ownership,
    pub(super) engines: &'a dyn EngineUse,
    pub(super) wishes: &'a [HomeRequest],
    /// The members that share the work out among themselves.
    pub(super) hosts: &'a HashedHosts<'a>,
    pub(super) model: &'a ModelName,
}

impl Review<'_> {
    /// Tells whether this process may take the home from the engine.
    fn may_close(&self, engine: &UpstreamId) -> bool {
        self.ownership.held(engine).is_some() && self.engines.is_unused_by(engine, self.model)
    }

    /// Tells whether the engine is gone for good, and it is up to this process to say so.
    fn is_gone(&self, cx: &Cx<'_>, engine: &UpstreamId) -> bool {
        if let Some(holding) = self.ownership.held(engine) {
            return self.knowledge.roster.is_gone(cx, engine, Some(holding.since));
        }
        let unowned = cx.cache.owner(engine).is_none();
        unowned
            && self.knowledge.roster.is_gone(cx, engine, None)
            && is_own_turn(cx, self.hosts, self.model, cx.now)
    }

    /// Tells whether the record is older than this process's ownership of the engine.
    fn is_unconfirmed(&self, engine: &UpstreamId, record: StoreRevision) -> bool {
        self.ownership.held(engine).is_some_and(|holding| holding.acquired > record)
    }

    fn wants_to_leave(&self, engine: &UpstreamId) -> bool {
        self.wishes.iter().any(|wish| wish.model == *self.model && wish.move_from.as_ref() == Some(engine))
    }
}

impl Homes {
    pub(super) fn plan(
        &mut self,
        cx: &mut Cx<'_>,
        review: &Review<'_>,
        placement: &mut Placement<'_>,
    ) -> Plan {
        let Some((revision, homes)) = cx.cache.homes(review.model) else {
            return self.first_home(cx, review, placement);
        };
        if revision > review.knowledge.feed.frontier() {
            // A process that lost an engine without knowing it yet must not write on
            // the new owner's record. It knows of every loss up to its frontier.
            return Plan::default();
        }
        let mut plan = Plan {
            engines: homes.engines.clone(),
            evicted_from: homes.evicted_from.clone(),
            ..Plan::default()
        };
        let Some(limits) = limits(cx, review.knowledge.roster, review.model, &plan.engines) else {
            drop_removed_model(cx, review, &mut plan);
            return plan;
        };
        drop_surplus(review, &mut plan, limits.homes_most);
        replace_left(cx, review, &mut plan, placement, limits.homes_most);
        join_holders(cx, review, &mut plan, &limits);
        self.add_lacking(cx, review, &mut plan, placement, &limits);
        plan.changed |= plan.engines.iter().any(|home| review.is_unconfirmed(home, revision));
        plan
    }

    fn first_home(&mut self, cx: &mut Cx<'_>, review: &Review<'_>, placement: &mut Placement<'_>) -> Plan {
        // Every process works out every first home in the same order and from the
        // same knowledge, and writes only its own part. Were each to look at its own
        // part alone, all would choose the same empty engines.
        let limits = limits(cx, review.knowledge.roster, review.model, &[]);
        let (least, most) = limits.map_or((1, 1), |limits| (limits.homes_least, limits.homes_most));
        // Replicas that are there already are all kept; were only the least number
        // of homes written, the others would be unloaded while callers need them.
        let most = most.min(first_homes_most(cx, review)).max(least);
        let wanted = placement.holders(review.model).clamp(least, most);
        let mut homes: Vec<UpstreamId> = Vec::new();
        while homes.len() < wanted
            && let Some(home) = placement.place(review.model, &homes, &[])
        {
            homes.push(home);
        }
        if !self.is_own_turn(cx, review.hosts, review.model) {
            return Plan::default();
        }
        if homes.is_empty() {
            self.note_unplaceable(cx, review);
            return Plan::default();
        }
        self.unplaceable.remove(review.model);
        Plan { engines: homes, changed: true, ..Plan::default() }
    }

    fn add_lacking(
        &mut self,
        cx: &mut Cx<'_>,
        review: &Review<'_>,
        plan: &mut Plan,
        placement: &mut Placement<'_>,
        limits: &Limits,
    ) {
        let wished = review.wishes.iter().any(|wish| wish.model == *review.model && wish.move_from.is_none());
        let owns_home = plan.engines.iter().any(|home| review.ownership.held(home).is_some());
        let too_few = plan.engines.len() < limits.homes_least;
        let wanted = (wished && owns_home) || (too_few && self.is_own_turn(cx, review.hosts, review.model));
        if !too_few {
            self.lacking.remove(review.model);
        }
        if !wanted || plan.engines.len() >= limits.homes_most {
            return;
        }
        if let Some(home) = placement.place(review.model, &plan.engines, &plan.evicted_from) {
            plan.engines.push(home);
            plan.changed = true;
        }
    }

    /// Tells whether it is up to this process to give the model a home that it lacks.
    pub(super) fn is_own_turn(&mut self, cx: &Cx<'_>, hosts: &HashedHosts<'_>, model: &ModelName) -> bool {
        let since = *self.lacking.entry(model.clone()).or_insert(cx.now);
        is_own_turn(cx, hosts, model, since)
    }

    fn note_unplaceable(&mut self, cx: &mut Cx<'_>, review: &Review<'_>) {
        let any = review.knowledge.roster.iter().any(|(_, engine)| engine.is_live());
        if any && self.unplaceable.insert(review.model.clone()) {
            cx.log_event("model_fits_nowhere", review.model.clone(), "no live engine has as much memory");
        }
    }
}

/// Returns how many homes a model gets at first at most.
///
/// A home makes its engine one that somebody looks after. Where there are many
/// more engines than that is worth for, a model gets its part of those that are
/// looked after, and room for its adapters; the others that hold it serve as well.
fn first_homes_most(cx: &Cx<'_>, review: &Review<'_>) -> usize {
    if !review.knowledge.has_spare_engines(cx) {
        return usize::MAX;
    }
    let models = &cx.document.catalogue.models;
    let part = review.knowledge.engines_looked_after() / models.len().max(1);
    let adapters = models.get(review.model).map_or(0, |model| model.adapters.len());
    part.max(adapters.div_ceil(ADAPTERS_PER_HOME))
}

/// How many homes a model may and should have.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// How many replicas the rules allow.
    pub(super) most: usize,
    /// How many homes are kept at least; one stays even where no replica is allowed.
    pub(super) homes_least: usize,
    /// How many homes are kept at most.
    homes_most: usize,
}

/// Decides by the rules; none where the document doesn't name the model.
///
/// Every process has to come to the same result, or one would add the homes that
/// another takes away. So the data centre is that of the first home, not that of
/// the process, and what only some processes know counts as unknown.
pub(super) fn limits(
    cx: &Cx<'_>,
    roster: &Roster,
    model: &ModelName,
    homes: &[UpstreamId],
) -> Option<Limits> {
    cx.document.catalogue.models.get(model)?;
    let first = homes.first().and_then(|home| roster.get(home));
    let data_centre = first.map(|engine| &engine.data_centre);
    let facts = RuleInput { model: Some(model), data_centre, at: Some(cx.at), ..RuleInput::default() };
    let outcome = cx.document.rules.decide(&facts).outcome;
    let most = usize::try_from(outcome.replicas_max).unwrap_or(usize::MAX);
    let least = usize::try_from(outcome.replicas_min).unwrap_or(usize::MAX);
    let homes_most = most.max(1);
    let homes_least = least.max(cx.cfg.limits.homes_ahead).clamp(1, homes_most);
    Some(Limits { most, homes_least, homes_most })
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

/// Makes engines of this process homes that hold the model already.
///
/// In a large fleet some engines are listed after the first homes were given
/// out. Were what they hold taken for surplus, it would be unloaded, and may be
/// nowhere else.
fn join_holders(cx: &Cx<'_>, review: &Review<'_>, plan: &mut Plan, limits: &Limits) {
    if review.knowledge.has_spare_engines(cx) {
        return;
    }
    for engine in review.ownership.holdings().keys() {
        let holds = cx.upstreams.get(engine).is_some_and(|listed| listed.is_live_holder(review.model));
        let is_new = !plan.engines.contains(engine) && !plan.evicted_from.contains(engine);
        let is_held = review.ownership.held(engine).is_some();
        if holds && is_new && is_held && plan.engines.len() < limits.most {
            plan.engines.push(engine.clone());
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
        let known = review.knowledge.roster.get(&home);
        let leaving = known.is_some_and(|engine| engine.is_listed() && !engine.is_live());
        let crowded = review.wants_to_leave(&home);
        let leaves = (leaving || crowded) && review.may_close(&home);
        if !leaves && !review.is_gone(cx, &home) {
            continue;
        }
        if crowded {
            plan.evicted_from.push(home.clone());
            let surplus = plan.evicted_from.len().saturating_sub(LEFT_KEPT);
            plan.evicted_from.drain(..surplus);
        }
        let next = placement.place(review.model, &plan.engines, &plan.evicted_from);
        match next {
            Some(next) if plan.engines.len() <= most => plan.engines[rank] = next,
            None if plan.engines.len() == 1 => continue,
            _ => drop(plan.engines.remove(rank)),
        }
        plan.closing.push(home);
        plan.changed = true;
    }
}
