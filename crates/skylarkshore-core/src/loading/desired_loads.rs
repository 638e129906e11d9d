//! Which models ought to be loaded on an engine, the most urgent first.

use derive_more::Display;

use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::Engine;
use crate::loading::policy::{self, ModelUse};
use crate::loading::replicas;
use crate::loading::{DecisionContext, demand::ModelDemand};
use crate::rules::{Outcome, Percent, ServiceOrder};
use crate::time::Time;
use crate::units::Watts;

/// How many requests may wait for each slot of a replica before one more replica helps.
const WAITING_PER_SLOT: u32 = 2;

/// From how many requests on a model is loaded before those that fewer wait for.
const MANY_WAITING: u32 = 4;

/// Whether few wait, and the order of service: what decides first whose load goes first.
type Precedence = (bool, ServiceOrder);

/// Returns when it is the turn of a model that so many wait for.
fn precedence(waiting: u32, order: ServiceOrder) -> Precedence {
    (waiting < MANY_WAITING, order)
}

/// Why a model ought to be loaded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LoadCause {
    /// It is asked for so often that its few replicas can't keep up.
    #[display("scarce")]
    UnderReplicated,
    /// Requests wait for it.
    #[display("waiting")]
    Waiting,
    /// The rules keep it loaded.
    #[display("kept")]
    Pinned,
    /// It is asked for so often that one replica is too few.
    #[display("spread")]
    Spread,
    /// A request is expected soon.
    #[display("ahead")]
    Prewarm,
    /// The engine is to keep a copy of its weights, so that later loads are fast.
    #[display("copy")]
    Copy,
}

/// The order of service of loads that nobody waits for yet.
const LAST_ORDER: ServiceOrder = ServiceOrder(u16::MAX);
/// The order of service of loads without which many will wait.
const FIRST_ORDER: ServiceOrder = ServiceOrder(0);

/// A model that ought to be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DesiredLoad {
    /// Why.
    pub cause: LoadCause,
    /// The model.
    pub model: ModelName,
    /// The order of service of those who wait, or of the rule that keeps it loaded.
    pub order: ServiceOrder,
    /// When the most patient of those who wait gives up; never when nobody waits.
    pub deadline: Time,
    /// By when those who wait are best served, if that can still be done.
    pub aim: Option<Time>,
    /// How many requests wait.
    pub waiting: u32,
}

impl DesiredLoad {
    /// Returns what decides which want goes first.
    ///
    /// A model that many wait for is asked for often, and more will come while it
    /// isn't there. Its load takes the engine a second or two; were those who are
    /// served first let past one by one, a steady trickle of them would keep it
    /// out for good, and hundreds would run into their deadlines behind it.
    /// Those who can still be served with full value go before those who can't;
    /// the others lose nothing more by waiting a little longer.
    pub(crate) fn rank(&self) -> (LoadCause, Rank) {
        (self.cause, rank(self.waiting, self.order, self.aim, self.deadline))
    }
}

/// What decides which of two models that requests wait for is loaded first.
pub(crate) type Rank = (Precedence, bool, Time);

fn rank(waiting: u32, order: ServiceOrder, aim: Option<Time>, deadline: Time) -> Rank {
    (precedence(waiting, order), aim.is_none(), aim.unwrap_or(deadline))
}

/// Returns the rank of a model that requests wait for on an engine.
pub(crate) fn rank_of(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    need: &ModelDemand,
) -> Rank {
    rank(need.waiting, need.order, attainable(cx, engine, context, model, need.aim), need.deadline)
}

/// Returns the time by which those who wait are best served, if a load that begins now ends by then.
fn attainable(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    aim: Time,
) -> Option<Time> {
    let ready = cx.now.after(context.load_times.expected_on(cx, engine, model));
    (ready <= aim && aim != Time::NEVER).then_some(aim)
}

/// Lists the models that ought to be loaded on an engine, the most urgent first.
pub(crate) fn collect(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>) -> Vec<DesiredLoad> {
    let mut models = context.demand.models();
    models.extend(engine.pinned.iter().cloned());
    models.extend(engine.prewarm.iter().cloned());
    models.extend(engine.hot.iter().cloned());
    models.extend(engine.missing_copies.iter().cloned());
    let mut desired_loads: Vec<DesiredLoad> =
        models.into_iter().filter_map(|model| desired_load(cx, engine, context, model)).collect();
    desired_loads.sort_by_key(DesiredLoad::rank);
    desired_loads
}

fn desired_load(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: ModelName,
) -> Option<DesiredLoad> {
    let (_, homes) = cx.cache.homes(&model)?;
    let is_listed = cx.document.catalogue.models.contains_key(&model);
    if !is_listed || !homes.engines.contains(&engine.id) || !context.authority.is_home(&engine.id, &model) {
        return None;
    }
    let outcome = rule_outcome(cx, engine, context, &model);
    if let Some(need) = context.demand.of_model(&model)
        && context.owned_engines.position(&engine.id, &model, homes) < replicas_needed(engine, &need, outcome)
    {
        let aim = attainable(cx, engine, context, &model, need.aim);
        let ModelDemand { order, deadline, waiting, .. } = need;
        return Some(DesiredLoad { cause: LoadCause::Waiting, model, order, deadline, aim, waiting });
    }
    let (cause, order) = if engine.under_replicated.contains(&model) {
        (LoadCause::UnderReplicated, FIRST_ORDER)
    } else if engine.pinned.contains(&model) {
        (LoadCause::Pinned, outcome.order)
    } else if engine.hot.contains(&model) {
        (LoadCause::Spread, outcome.order)
    } else if engine.prewarm.contains(&model) {
        (LoadCause::Prewarm, LAST_ORDER)
    } else if engine.missing_copies.contains(&model) {
        (LoadCause::Copy, LAST_ORDER)
    } else {
        return None;
    };
    Some(DesiredLoad { cause, model, order, deadline: Time::NEVER, aim: None, waiting: 0 })
}

/// Works out which models the rules keep loaded on the engine, requests or not.
pub(crate) fn review_pinned(cx: &Cx<'_>, engine: &mut Engine, context: &DecisionContext<'_>) {
    let homes = cx.cache.all_homes().filter(|(_, homes)| homes.engines.contains(&engine.id));
    let pinned = homes.filter(|(model, homes)| {
        let least = rule_outcome(cx, engine, context, model).replicas_min;
        least > 0 && replicas::position(cx, engine, homes).is_some_and(|position| position < least)
    });
    engine.pinned = pinned.map(|(model, _)| model.clone()).collect();
}

/// Works out of which models the engine is to keep a copy that it doesn't have yet.
///
/// The first load of a model comes from the weight store and takes several
/// times as long as the next one. Callers of a rarely used model would feel it
/// on every engine that loads it for the first time, so its first home loads it
/// once when nothing else is to be loaded, unless another engine has a copy. The
/// store carries few loads: when engines were replaced one after the other, the
/// new ones fetched models that others had on their disks, and the one that was
/// asked for forty times a second lost its last replica meanwhile.
pub(crate) fn review_missing_copies(cx: &Cx<'_>, engine: &mut Engine, context: &DecisionContext<'_>) {
    engine.missing_copies.clear();
    // A load from the weight store keeps the engine from any other for seconds,
    // and while requests run, the next one for another model is never far.
    let is_quiet = engine.report().is_some_and(|report| report.running == 0 && report.waiting == 0);
    if !engine.is_sequential() || !is_quiet {
        return;
    }
    for (model, homes) in cx.cache.all_homes() {
        let is_first = homes.engines.first() == Some(&engine.id);
        let is_home = is_first && context.authority.is_home(&engine.id, model);
        if is_home && !engine.has_copy(model) && !has_copy_elsewhere(cx, engine, model) {
            engine.missing_copies.insert(model.clone());
        }
    }
}

/// Tells whether an engine that stays has the model or a copy of it, as far as the list tells.
fn has_copy_elsewhere(cx: &Cx<'_>, engine: &Engine, model: &ModelName) -> bool {
    cx.upstreams.keepers(model).any(|known| known.id != engine.id)
}

/// Works out which models are better loaded ahead of their next request.
///
/// Each is loaded once in the time without requests. A prediction that failed
/// would otherwise be made again and again until the next request.
pub(crate) fn review_prewarm(cx: &Cx<'_>, engine: &mut Engine, context: &DecisionContext<'_>) {
    let mut expected = OrderedSet::new();
    for (model, homes) in cx.cache.all_homes() {
        let is_first = homes.engines.first() == Some(&engine.id);
        if !is_first || engine.model(model).is_some() || !context.authority.is_home(&engine.id, model) {
            continue;
        }
        let Some(last) = context.history.last(model) else { continue };
        if engine.prewarmed.get(model) == Some(&last) {
            continue;
        }
        let outcome = rule_outcome(cx, engine, context, model);
        let load_time = context.load_times.expected_from_store(cx, model);
        let idle = cx.now.since(last);
        if policy::is_worth_prewarming(context.history, model, outcome, load_time, idle) {
            expected.insert(model.clone());
        }
    }
    engine.prewarm = expected;
}

/// Returns how many replicas the requests that wait are worth.
fn replicas_needed(engine: &Engine, need: &ModelDemand, outcome: &Outcome) -> u32 {
    let worth = need.waiting.div_ceil(engine.concurrency() * WAITING_PER_SLOT);
    worth.clamp(1, outcome.replicas_max.max(1)).max(outcome.replicas_min)
}

/// Returns the power that is missing for the most urgent load, and its order of service.
pub(crate) fn missing_power(
    engine: &Engine,
    context: &DecisionContext<'_>,
    desired_loads: &[DesiredLoad],
) -> Option<(Watts, ServiceOrder)> {
    let needs = engine.spec.as_ref()?.active_watts;
    let granted = context.authority.granted(&engine.id);
    // A load ahead of any request isn't worth another engine's sleep.
    let needed = desired_loads.iter().filter(|desired| desired.cause != LoadCause::Prewarm);
    let unmet = needed.into_iter().find(|desired| engine.model(&desired.model).is_none())?;
    (granted < needs && !engine.is_leaving()).then(|| (needs.saturating_sub(granted), unmet.order))
}

/// Finds what the rules decide for a model on an engine.
pub(crate) fn rule_outcome<'a>(
    cx: &Cx<'a>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
) -> &'a Outcome {
    let total = engine.memory();
    let taken = total.saturating_sub(engine.free_memory());
    let usage = ModelUse {
        idle_for: context.history.last(model).map(|last| cx.now.since(last)),
        queue: context.demand.of_model(model).map_or(0, |need| need.waiting),
        memory_pressure: Percent::of(taken.0, total.0),
    };
    policy::outcome(cx, model, usage)
}
