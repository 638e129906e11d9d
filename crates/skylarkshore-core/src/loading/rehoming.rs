//! Determines which models need an additional or a different home.

use std::time::Duration;

use crate::authority::HomeRequest;
use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::DecisionContext;
use crate::loading::desired_loads::DesiredLoad;
use crate::loading::engine::Engine;
use crate::loading::replicas;
use crate::time::Time;

/// How long replicas must be saturated before another home is requested.
const SATURATED_FOR: Duration = Duration::from_millis(500);
/// How long memory must be unavailable before a home is moved.
const MEMORY_BLOCKED_FOR: Duration = Duration::from_secs(1);

/// Updates the requests for homes of the models on an engine.
pub(crate) fn review(
    cx: &Cx<'_>,
    engine: &mut Engine,
    context: &DecisionContext<'_>,
    desired_loads: &[DesiredLoad],
) {
    let waiting = |desired: &&DesiredLoad| desired.waiting > 0;
    let mut saturated: Vec<&ModelName> = desired_loads
        .iter()
        .filter(waiting)
        .filter(|desired| is_saturated(cx, engine, desired))
        .map(|desired| &desired.model)
        .collect();
    let frequent = context.usage.models_above(cx.now, f64::MIN_POSITIVE).filter(|_| engine.is_sequential());
    saturated.extend(frequent.filter(|model| has_too_few_homes(cx, engine, context, model)));
    let memory_blocked: Vec<&ModelName> = desired_loads
        .iter()
        .filter(waiting)
        .filter(|desired| engine.memory_blocked.contains(&desired.model) && !engine.is_sequential())
        .map(|desired| &desired.model)
        .collect();
    update_since(cx.now, &mut engine.rehoming.saturated, &saturated);
    update_since(cx.now, &mut engine.rehoming.memory_blocked, &memory_blocked);
    let is_home = |model: &ModelName| context.authority.is_home(&engine.id, model);
    let spread = lasting(cx.now, &engine.rehoming.saturated, SATURATED_FOR)
        .map(|model| HomeRequest { model: model.clone(), move_from: None });
    let moves = lasting(cx.now, &engine.rehoming.memory_blocked, MEMORY_BLOCKED_FOR)
        .filter(|model| is_home(model))
        .map(|model| HomeRequest { model: model.clone(), move_from: Some(engine.id.clone()) });
    engine.rehoming.due = spread.chain(moves).collect();
}

/// Reports whether the last home's replica is saturated while requests wait.
///
/// Only the last home decides, because routers use it only when the earlier ones are
/// full. Otherwise every owner would request another home at the same time.
fn is_saturated(cx: &Cx<'_>, engine: &Engine, desired: &DesiredLoad) -> bool {
    let is_last =
        cx.cache.homes(&desired.model).is_some_and(|(_, homes)| homes.engines.last() == Some(&engine.id));
    let request_slots = engine.concurrency();
    is_last
        && engine.is_ready(&desired.model)
        && desired.waiting >= request_slots
        && engine.report().is_some_and(|report| report.running >= request_slots)
}

/// Reports whether this is a model's last home and its demand exceeds its homes.
fn has_too_few_homes(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> bool {
    let Some((_, homes)) = cx.cache.homes(model) else { return false };
    let wanted = replicas::replicas_for(cx, engine, context, model, homes);
    // The last home that can load decides: a home on a lost engine would never request another one.
    replicas::is_last(cx, engine, homes) && homes.engines.len() < wanted as usize
}

fn update_since(now: Time, since: &mut OrderedMap<ModelName, Time>, models: &[&ModelName]) {
    since.retain(|model, _| models.contains(&model));
    for model in models {
        since.entry((*model).clone()).or_insert(now);
    }
}

fn lasting(now: Time, since: &OrderedMap<ModelName, Time>, d: Duration) -> impl Iterator<Item = &ModelName> {
    since.iter().filter(move |(_, since)| since.after(d).is_due(now)).map(|(model, _)| model)
}
