//! Computes which models should be loaded on an engine, in order of priority. Start
//! with [`DesiredLoad`] and [`collect`].

use derive_more::Display;

use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::Engine;
use crate::loading::policy::{self, ModelUse};
use crate::loading::replicas;
use crate::loading::{DecisionContext, demand::ModelDemand};
use crate::rules::{Percent, RuleOutcome, ServiceOrder};
use crate::time::Time;
use crate::units::Watts;

/// Waiting requests per request slot above which one more replica is loaded.
const WAITING_PER_REQUEST_SLOT: u32 = 2;

/// A model with at least this many waiting requests is loaded before models with fewer.
const MANY_WAITING: u32 = 4;

/// First component of [`Rank`], lowest first: whether few requests wait, then the service order.
type Precedence = (bool, ServiceOrder);

fn precedence(waiting: u32, service_order: ServiceOrder) -> Precedence {
    (waiting < MANY_WAITING, service_order)
}

/// Why a model should be loaded, in order of priority.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LoadCause {
    /// It is hot and has far too few copies or replicas, or its requests are answered
    /// late. Such models are a subset of the hot ones, see `replicas`.
    #[display("scarce")]
    UnderReplicated,
    /// Requests wait for it and justify a replica on this engine, whatever else does.
    #[display("waiting")]
    Waiting,
    /// The rules require a minimum number of replicas.
    #[display("kept")]
    Pinned,
    /// It is hot, that is, its request rate requires more than one replica, but it is
    /// not under-replicated.
    #[display("spread")]
    Spread,
    /// A request is expected soon.
    #[display("ahead")]
    Prewarm,
    /// No engine has its weights. It is loaded from the weight store once, so that
    /// later loads from the copy are fast.
    #[display("copy")]
    Copy,
}

/// The service order of prewarming and copy loads.
const LAST_SERVICE_ORDER: ServiceOrder = ServiceOrder(u16::MAX);
/// The service order of loads of under-replicated models.
const FIRST_SERVICE_ORDER: ServiceOrder = ServiceOrder(0);

/// A model that should be loaded on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DesiredLoad {
    /// Why the model should be loaded.
    pub cause: LoadCause,
    /// The model.
    pub model: ModelName,
    /// The service order of the waiting requests, or of the matching rule.
    pub service_order: ServiceOrder,
    /// The latest deadline of the waiting requests: until then the load is of use to
    /// one of them. Never if none wait.
    pub deadline: Time,
    /// The earliest soft deadline, before which the load should end; none if it cannot.
    pub soft_deadline: Option<Time>,
    /// Number of waiting requests.
    pub waiting: u32,
}

impl DesiredLoad {
    /// Returns the sort key; the lowest goes first.
    ///
    /// Among loads of the same cause, a model with many waiting requests goes first,
    /// because more arrive until it is loaded. A load takes a second or two: if single
    /// requests with a better service order always went first, a steady trickle would
    /// starve that model, and hundreds of requests would miss their deadlines.
    ///
    /// An answer after the soft deadline is worth less, however late it is before
    /// the deadline. Loads that can end before the soft deadline therefore go first.
    pub(crate) fn sort_key(&self) -> (LoadCause, Rank) {
        (self.cause, rank(self.waiting, self.service_order, self.soft_deadline, self.deadline))
    }
}

/// Sort key of a model among loads of the same cause.
pub(crate) type Rank = (Precedence, bool, Time);

fn rank(waiting: u32, service_order: ServiceOrder, soft_deadline: Option<Time>, deadline: Time) -> Rank {
    (precedence(waiting, service_order), soft_deadline.is_none(), soft_deadline.unwrap_or(deadline))
}

/// Returns the rank that a model with waiting requests has on an engine.
pub(crate) fn rank_of(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    need: &ModelDemand,
) -> Rank {
    rank(
        need.waiting,
        need.service_order,
        attainable(cx, engine, context, model, need.soft_deadline),
        need.deadline,
    )
}

/// Returns `soft_deadline` if a load started now would end by then.
fn attainable(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    soft_deadline: Time,
) -> Option<Time> {
    let ready = cx.now.after(context.load_times.expected_on(cx, engine, model));
    (ready <= soft_deadline && soft_deadline != Time::NEVER).then_some(soft_deadline)
}

/// Returns the loads an engine should make, the most urgent first.
pub(crate) fn collect(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>) -> Vec<DesiredLoad> {
    let mut models = context.demand.models();
    models.extend(engine.pinned.iter().cloned());
    models.extend(engine.prewarm.iter().cloned());
    models.extend(engine.hot.iter().cloned());
    models.extend(engine.missing_copies.iter().cloned());
    let mut desired_loads: Vec<DesiredLoad> =
        models.into_iter().filter_map(|model| desired_load(cx, engine, context, model)).collect();
    desired_loads.sort_by_key(DesiredLoad::sort_key);
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
        && context.load_abilities.homes_before(&engine.id, &model, homes)
            < replicas_needed(engine, &need, outcome)
    {
        let soft_deadline = attainable(cx, engine, context, &model, need.soft_deadline);
        let ModelDemand { service_order, deadline, waiting, .. } = need;
        return Some(DesiredLoad {
            cause: LoadCause::Waiting,
            model,
            service_order,
            deadline,
            soft_deadline,
            waiting,
        });
    }
    let (cause, service_order) = if engine.under_replicated.contains(&model) {
        (LoadCause::UnderReplicated, FIRST_SERVICE_ORDER)
    } else if engine.pinned.contains(&model) {
        (LoadCause::Pinned, outcome.order)
    } else if engine.hot.contains(&model) {
        (LoadCause::Spread, outcome.order)
    } else if engine.prewarm.contains(&model) {
        (LoadCause::Prewarm, LAST_SERVICE_ORDER)
    } else if engine.missing_copies.contains(&model) {
        (LoadCause::Copy, LAST_SERVICE_ORDER)
    } else {
        return None;
    };
    Some(DesiredLoad { cause, model, service_order, deadline: Time::NEVER, soft_deadline: None, waiting: 0 })
}

/// Updates the models that the rules keep loaded on the engine regardless of requests.
pub(crate) fn review_pinned(cx: &Cx<'_>, engine: &mut Engine, context: &DecisionContext<'_>) {
    let homes = cx.cache.all_homes().filter(|(_, homes)| homes.engines.contains(&engine.id));
    let pinned = homes.filter(|(model, homes)| {
        let min_replicas = rule_outcome(cx, engine, context, model).replicas_min;
        min_replicas > 0
            && replicas::usable_homes_before(cx, engine, homes).is_some_and(|before| before < min_replicas)
    });
    engine.pinned = pinned.map(|(model, _)| model.clone()).collect();
}

/// Updates the models that a sequential engine loads only to get a copy of their weights.
///
/// A model's first load comes from the weight store and takes several times as long
/// as a load from a copy. The first home fetches a copy in advance while the engine
/// is idle, so that callers of a rarely used model do not wait for it.
///
/// The model is skipped if another engine has its weights, because the store runs
/// few loads at a time. When all engines were replaced one after the other, the new
/// ones occupied the store with models that others had on disk, and a model with
/// forty requests a second lost its last replica meanwhile.
pub(crate) fn review_missing_copies(cx: &Cx<'_>, engine: &mut Engine, context: &DecisionContext<'_>) {
    engine.missing_copies.clear();
    // A load from the weight store occupies the engine for seconds. While requests
    // run, a request for another model is likely to follow soon.
    let is_idle = engine.report().is_some_and(|report| report.running == 0 && report.waiting == 0);
    if !engine.is_sequential() || !is_idle {
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

/// Reports whether another live engine holds the model or a copy of its weights,
/// according to the list of upstreams.
fn has_copy_elsewhere(cx: &Cx<'_>, engine: &Engine, model: &ModelName) -> bool {
    cx.upstreams.engines_with_weights(model).any(|known| known.id != engine.id)
}

/// Updates the models to load ahead of their next request.
///
/// A model is prewarmed once per idle period; a wrong prediction would otherwise
/// repeat until the next request.
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

/// Returns the number of replicas that the waiting requests justify.
fn replicas_needed(engine: &Engine, need: &ModelDemand, outcome: &RuleOutcome) -> u32 {
    let justified = need.waiting.div_ceil(engine.concurrency() * WAITING_PER_REQUEST_SLOT);
    justified.clamp(1, outcome.replicas_max.max(1)).max(outcome.replicas_min)
}

/// Returns the power that the engine lacks to become active, and the service order
/// of the most urgent load that needs it; none if nothing has to be loaded.
///
/// For a shortfall, other owners are asked to put engines to sleep.
pub(crate) fn power_shortfall(
    engine: &Engine,
    context: &DecisionContext<'_>,
    desired_loads: &[DesiredLoad],
) -> Option<(Watts, ServiceOrder)> {
    let required = engine.spec.as_ref()?.active_watts;
    let granted = context.authority.granted_power(&engine.id);
    // Prewarming does not justify that another engine is put to sleep.
    let candidates = desired_loads.iter().filter(|desired| desired.cause != LoadCause::Prewarm);
    let unmet = candidates.into_iter().find(|desired| engine.model(&desired.model).is_none())?;
    (granted < required && !engine.is_leaving())
        .then(|| (required.saturating_sub(granted), unmet.service_order))
}

/// Returns the rules' outcome for a model on an engine.
pub(crate) fn rule_outcome<'a>(
    cx: &Cx<'a>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
) -> &'a RuleOutcome {
    let total = engine.memory();
    let taken = total.saturating_sub(engine.free_memory());
    let usage = ModelUse {
        idle_for: context.history.last(model).map(|last| cx.now.since(last)),
        queue: context.demand.of_model(model).map_or(0, |need| need.waiting),
        memory_pressure: Percent::of(taken.0, total.0),
    };
    policy::outcome(cx, model, usage)
}
