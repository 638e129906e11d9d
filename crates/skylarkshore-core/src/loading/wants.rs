//! Which models ought to be loaded on an engine, the most urgent first.

use derive_more::Display;

use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::Engine;
use crate::loading::policy::{self, Use};
use crate::loading::replicas;
use crate::loading::{Beside, demand::Need};
use crate::rules::{Percent, RuleOutcome, ServiceOrder};
use crate::time::Time;
use crate::units::Watts;

/// How many requests may wait for each slot of a replica before one more replica helps.
const WAITING_PER_SLOT: u32 = 2;

/// From how many requests on a model is loaded before those that fewer wait for.
const MANY_WAIT: u32 = 4;

/// Whether few wait, and the order of service: what decides first whose load goes first.
type Turn = (bool, ServiceOrder);

/// Returns when it is the turn of a model that so many wait for.
fn turn(waiting: u32, order: ServiceOrder) -> Turn {
    (waiting < MANY_WAIT, order)
}

/// Why a model ought to be loaded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Cause {
    /// It is asked for so often that its few replicas can't keep up.
    #[display("scarce")]
    Scarce,
    /// Requests wait for it.
    #[display("waiting")]
    Waiting,
    /// The rules keep it loaded.
    #[display("kept")]
    Kept,
    /// It is asked for so often that one replica is too few.
    #[display("spread")]
    Spread,
    /// A request is expected soon.
    #[display("ahead")]
    Ahead,
    /// The engine is to keep a copy of its weights, so that later loads are fast.
    #[display("copy")]
    Copy,
}

/// The order of service of loads that nobody waits for yet.
const LAST: ServiceOrder = ServiceOrder(u16::MAX);
/// The order of service of loads without which many will wait.
const FIRST: ServiceOrder = ServiceOrder(0);

/// A model that ought to be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Want {
    /// Why.
    pub cause: Cause,
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

impl Want {
    /// Returns what decides which want goes first.
    ///
    /// A model that many wait for is asked for often, and more will come while it
    /// isn't there. Its load takes the engine a second or two; were those who are
    /// served first let past one by one, a steady trickle of them would keep it
    /// out for good, and hundreds would run into their deadlines behind it.
    /// Those who can still be served with full value go before those who can't;
    /// the others lose nothing more by waiting a little longer.
    pub(crate) fn rank(&self) -> (Cause, Rank) {
        (self.cause, rank(self.waiting, self.order, self.aim, self.deadline))
    }
}

/// What decides which of two models that requests wait for is loaded first.
pub(crate) type Rank = (Turn, bool, Time);

fn rank(waiting: u32, order: ServiceOrder, aim: Option<Time>, deadline: Time) -> Rank {
    (turn(waiting, order), aim.is_none(), aim.unwrap_or(deadline))
}

/// Returns the rank of a model that requests wait for on an engine.
pub(crate) fn rank_of(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    need: &Need,
) -> Rank {
    rank(need.waiting, need.order, attainable(cx, engine, beside, model, need.aim), need.deadline)
}

/// Returns the time by which those who wait are best served, if a load that begins now ends by then.
fn attainable(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    aim: Time,
) -> Option<Time> {
    let ready = cx.now.after(beside.load_times.on(cx, engine, model));
    (ready <= aim && aim != Time::NEVER).then_some(aim)
}

/// Lists the models that ought to be loaded on an engine, the most urgent first.
pub(crate) fn collect(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>) -> Vec<Want> {
    let mut models = beside.demand.models();
    models.extend(engine.kept.iter().cloned());
    models.extend(engine.expected_soon.iter().cloned());
    models.extend(engine.hot.iter().cloned());
    models.extend(engine.uncopied.iter().cloned());
    let mut wants: Vec<Want> =
        models.into_iter().filter_map(|model| want(cx, engine, beside, model)).collect();
    wants.sort_by_key(Want::rank);
    wants
}

fn want(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, model: ModelName) -> Option<Want> {
    let (_, homes) = cx.cache.homes(&model)?;
    let is_listed = cx.document.catalogue.models.contains_key(&model);
    if !is_listed || !homes.engines.contains(&engine.id) || !beside.authority.is_home(&engine.id, &model) {
        return None;
    }
    let outcome = rule(cx, engine, beside, &model);
    if let Some(need) = beside.demand.of_model(&model)
        && beside.own.place(&engine.id, &model, homes) < replicas_needed(engine, &need, outcome)
    {
        let aim = attainable(cx, engine, beside, &model, need.aim);
        let Need { order, deadline, waiting, .. } = need;
        return Some(Want { cause: Cause::Waiting, model, order, deadline, aim, waiting });
    }
    let (cause, order) = if engine.scarce.contains(&model) {
        (Cause::Scarce, FIRST)
    } else if engine.kept.contains(&model) {
        (Cause::Kept, outcome.order)
    } else if engine.hot.contains(&model) {
        (Cause::Spread, outcome.order)
    } else if engine.expected_soon.contains(&model) {
        (Cause::Ahead, LAST)
    } else if engine.uncopied.contains(&model) {
        (Cause::Copy, LAST)
    } else {
        return None;
    };
    Some(Want { cause, model, order, deadline: Time::NEVER, aim: None, waiting: 0 })
}

/// Works out which models the rules keep loaded on the engine, requests or not.
pub(crate) fn review_kept(cx: &Cx<'_>, engine: &mut Engine, beside: &Beside<'_>) {
    let homes = cx.cache.all_homes().filter(|(_, homes)| homes.engines.contains(&engine.id));
    let kept = homes.filter(|(model, homes)| {
        let least = rule(cx, engine, beside, model).replicas_min;
        least > 0 && replicas::place(cx, engine, homes).is_some_and(|place| place < least)
    });
    engine.kept = kept.map(|(model, _)| model.clone()).collect();
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
pub(crate) fn review_uncopied(cx: &Cx<'_>, engine: &mut Engine, beside: &Beside<'_>) {
    engine.uncopied.clear();
    // A load from the weight store keeps the engine from any other for seconds,
    // and while requests run, the next one for another model is never far.
    let is_quiet = engine.report().is_some_and(|report| report.running == 0 && report.waiting == 0);
    if !engine.is_one_by_one() || !is_quiet {
        return;
    }
    for (model, homes) in cx.cache.all_homes() {
        let is_first = homes.engines.first() == Some(&engine.id);
        let is_home = is_first && beside.authority.is_home(&engine.id, model);
        if is_home && !engine.has_copy(model) && !has_copy_elsewhere(cx, engine, model) {
            engine.uncopied.insert(model.clone());
        }
    }
}

/// Tells whether an engine that stays has the model or a copy of it, as far as the list tells.
fn has_copy_elsewhere(cx: &Cx<'_>, engine: &Engine, model: &ModelName) -> bool {
    cx.upstreams.engines_with_weights(model).any(|known| known.id != engine.id)
}

/// Works out which models are better loaded ahead of their next request.
///
/// Each is loaded once in the time without requests. A prediction that failed
/// would otherwise be made again and again until the next request.
pub(crate) fn review_ahead(cx: &Cx<'_>, engine: &mut Engine, beside: &Beside<'_>) {
    let mut expected = OrderedSet::new();
    for (model, homes) in cx.cache.all_homes() {
        let is_first = homes.engines.first() == Some(&engine.id);
        if !is_first || engine.model(model).is_some() || !beside.authority.is_home(&engine.id, model) {
            continue;
        }
        let Some(last) = beside.history.last(model) else { continue };
        if engine.prewarmed.get(model) == Some(&last) {
            continue;
        }
        let outcome = rule(cx, engine, beside, model);
        let load_time = beside.load_times.of(cx, model);
        let idle = cx.now.since(last);
        if policy::is_worth_prewarming(beside.history, model, outcome, load_time, idle) {
            expected.insert(model.clone());
        }
    }
    engine.expected_soon = expected;
}

/// Returns how many replicas the requests that wait are worth.
fn replicas_needed(engine: &Engine, need: &Need, outcome: &RuleOutcome) -> u32 {
    let worth = need.waiting.div_ceil(engine.concurrency() * WAITING_PER_SLOT);
    worth.clamp(1, outcome.replicas_max.max(1)).max(outcome.replicas_min)
}

/// Returns the power that is missing for the most urgent load, and its order of service.
pub(crate) fn lacking_power(
    engine: &Engine,
    beside: &Beside<'_>,
    wants: &[Want],
) -> Option<(Watts, ServiceOrder)> {
    let needs = engine.spec.as_ref()?.active_watts;
    let granted = beside.authority.granted_power(&engine.id);
    // A load ahead of any request isn't worth another engine's sleep.
    let needed = wants.iter().filter(|want| want.cause != Cause::Ahead);
    let unmet = needed.into_iter().find(|want| engine.model(&want.model).is_none())?;
    (granted < needs && !engine.is_leaving()).then(|| (needs.saturating_sub(granted), unmet.order))
}

/// Finds what the rules decide for a model on an engine.
pub(crate) fn rule<'a>(
    cx: &Cx<'a>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
) -> &'a RuleOutcome {
    let total = engine.memory();
    let taken = total.saturating_sub(engine.free_memory());
    let usage = Use {
        idle_for: beside.history.last(model).map(|last| cx.now.since(last)),
        queue: beside.demand.of_model(model).map_or(0, |need| need.waiting),
        memory_pressure: Percent::of(taken.0, total.0),
    };
    policy::outcome(cx, model, usage)
}
