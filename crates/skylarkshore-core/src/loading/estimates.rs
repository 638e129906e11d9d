//! Whether those who wait for a model can be served in time.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::DecisionContext;
use crate::loading::demand::{ModelDemand, WaitReport};
use crate::loading::desired_loads::{self, DesiredLoad, LoadCause};
use crate::loading::engine::Engine;
use crate::loading::gate::LoadKey;
use crate::loading::load;
use crate::loading::pipelining;
use crate::peer::{CannotLoad, PeerMessage};
use crate::time::Time;
use crate::upstream::LoadState;

/// How long it takes at most to learn what an engine holds, as a rule.
const SURVEY_TIME: Duration = Duration::from_secs(1);
/// How long room and power take to become free, as a rule.
const EVICTION_TIME: Duration = Duration::from_secs(10);
/// When to ask again for what others hold.
const SHORT_RETRY: Duration = Duration::from_secs(5);
/// The share of a load time that a load is taken to last yet when it takes longer than expected.
const OVERDUE_DIVISOR: u32 = 10;

/// How long an engine counts as unable to load anything.
const UNAVAILABLE_DELAY: Duration = Duration::from_secs(30);
/// How many loads may fail in a row before nobody is left to wait for the next.
const MAX_FAILURES: u32 = 5;

/// What an engine can do for those who wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Assessment {
    /// They are served within their patience.
    InTime,
    /// They can't be served in time.
    Unavailable {
        /// Why.
        reason: CannotLoad,
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Judges whether an engine will serve those who wait at one router in time.
pub(crate) fn assess(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    wanted: &WaitReport<'_>,
) -> Assessment {
    let model = &wanted.target.model;
    if wanted.waiting == 0 || is_usable(cx, engine, wanted) {
        return Assessment::InTime;
    }
    if engine.is_silent(cx.now, cx.cfg.timings.engine_timeout) {
        return Assessment::Unavailable { reason: CannotLoad::EngineUnreachable, retry_after: SHORT_RETRY };
    }
    if context.authority.permit(cx.now, &engine.id).is_none() {
        return Assessment::Unavailable { reason: CannotLoad::OwnershipInDoubt, retry_after: SHORT_RETRY };
    }
    let load_time = context.load_times.expected_on(cx, engine, model);
    let load = if engine.model(model).is_some_and(|reported| reported.state != LoadState::Unloading) {
        load_remaining(cx, engine, context, wanted)
    } else {
        load_time + store_wait(cx, engine, context, model)
    };
    if let Some(failures) = engine.failures.get(model) {
        let retry = failures.retry.remaining(cx.now);
        let hopeless = if failures.count < MAX_FAILURES { load } else { Duration::MAX };
        return assess_wait(wanted, hopeless.saturating_add(retry), CannotLoad::EngineRefuses, retry);
    }
    let takes = load + start_delay(cx, engine, context, model);
    if engine.report().is_some() && !load::has_power(engine, context) {
        return assess_wait(wanted, takes, CannotLoad::Power, SHORT_RETRY);
    }
    if engine.memory_blocked.contains(model) {
        return assess_wait(wanted, takes, CannotLoad::Memory, SHORT_RETRY);
    }
    assess_wait(wanted, takes, CannotLoad::TooSlow, takes)
}

/// Estimates when a model could be used on an engine that takes one order at a time.
///
/// What goes before it counts, but not what it goes before itself. If all that
/// waits were counted, each model would seem as far away as the last of them,
/// and callers would be refused who could be served. The times are those that
/// loads and unloads have taken of late: with a run of 2.5 s assumed in front of
/// each load, where runs last 0.4 s, two of three refusals were wrong.
pub(crate) fn time_to_ready(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    need: &ModelDemand,
) -> Duration {
    if engine.is_silent(cx.now, cx.cfg.timings.engine_timeout)
        || engine.report().is_none()
        || engine.is_leaving()
        || context.authority.permit(cx.now, &engine.id).is_none()
    {
        return UNAVAILABLE_DELAY;
    }
    if engine.model(model).is_some() || engine.loads.contains_key(model) {
        return engine.loads.get(model).map_or(Duration::ZERO, |load| load.remaining(cx.now));
    }
    let own_rank = desired_loads::rank_of(cx, engine, context, model, need);
    let goes_first = |other: &ModelName| {
        let need = context.demand.of_model(other);
        need.is_some_and(|need| desired_loads::rank_of(cx, engine, context, other, &need) < own_rank)
    };
    let waiting = context.demand.models();
    let ahead = waiting.iter().filter(|other| {
        let is_absent =
            *other != model && engine.model(other).is_none() && !engine.loads.contains_key(*other);
        is_absent && context.authority.is_home(&engine.id, other) && goes_first(other)
    });
    let swap = |model: &ModelName| {
        context.load_times.expected_unload() + context.load_times.expected_on(cx, engine, model)
    };
    let ahead: Duration = ahead.map(swap).sum();
    (current_order_remaining(cx, engine, context) + ahead).max(store_wait(cx, engine, context, model))
        + eviction_time(cx, engine, context, model)
        + context.load_times.expected_on(cx, engine, model)
}

/// Estimates when a model could be used on an engine, and adds what its load costs others.
///
/// A load from the weight store keeps the engine from any other for seconds, in
/// which it could make ten swaps from its own disk. Of two engines on which a
/// model would be ready at about the same time, the one with a copy had better
/// load it.
pub(crate) fn placement_cost(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    need: &ModelDemand,
) -> Duration {
    let ready = time_to_ready(cx, engine, context, model, need);
    let is_there = engine.model(model).is_some() || engine.loads.contains_key(model);
    if is_there || engine.has_copy(model) {
        ready
    } else {
        ready + context.load_times.expected_from_store(cx, model)
    }
}

/// Returns how long a load has to wait until the weight store has a share for it.
fn store_wait(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> Duration {
    if engine.is_sequential() && engine.has_copy(model) {
        return Duration::ZERO;
    }
    let key = LoadKey { engine: engine.id.clone(), model: model.clone() };
    context.load_slots.expected_wait(cx, &key)
}

/// Returns how long the order in progress is expected to last yet.
fn current_order_remaining(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>) -> Duration {
    let load = engine.loads.values().map(|load| load.remaining(cx.now)).max();
    load.unwrap_or_else(|| pipelining::unload_remaining(engine, cx.now, context.load_times))
}

/// Returns how long it takes to make room for a model.
fn eviction_time(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> Duration {
    let Some(known) = cx.document.catalogue.models.get(model) else { return Duration::ZERO };
    let is_free = known.footprint() <= engine.free_memory();
    if is_free { Duration::ZERO } else { context.load_times.expected_unload() }
}

/// Returns how long a load has to wait before it begins, for all but the weight store.
fn start_delay(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> Duration {
    if engine.report().is_none() {
        return SURVEY_TIME;
    }
    if !load::has_power(engine, context) || engine.memory_blocked.contains(model) {
        return EVICTION_TIME;
    }
    // Routers are given time before what makes room is unloaded.
    if engine.closing.is_empty() { Duration::ZERO } else { cx.cfg.timings.close_grace }
}

/// Works out when the models that requests wait for should be ready, for the routers' views.
///
/// A router that hears nothing of a model for some seconds has to take it that
/// nobody looks after it, and refuses its requests.
pub(crate) fn plan_ready_times(
    cx: &Cx<'_>,
    engine: &mut Engine,
    context: &DecisionContext<'_>,
    desired_loads: &[DesiredLoad],
) {
    let mut planned = OrderedMap::new();
    for desired in desired_loads.iter().filter(|desired| desired.cause == LoadCause::Waiting) {
        let model = &desired.model;
        if engine.model(model).is_some() || engine.loads.contains_key(model) {
            continue;
        }
        let takes = if engine.is_sequential() {
            let aim = desired.aim.unwrap_or(Time::NEVER);
            let DesiredLoad { order, deadline, waiting, .. } = *desired;
            time_to_ready(cx, engine, context, model, &ModelDemand { order, deadline, aim, waiting })
        } else {
            context.load_times.expected_on(cx, engine, model)
                + store_wait(cx, engine, context, model)
                + start_delay(cx, engine, context, model)
        };
        planned.insert(model.clone(), cx.now.after(takes));
    }
    engine.planned = planned;
}

fn is_usable(cx: &Cx<'_>, engine: &Engine, wanted: &WaitReport<'_>) -> bool {
    let model = &wanted.target.model;
    engine.is_ready(model)
        && wanted.target.adapter.as_ref().is_none_or(|adapter| engine.has_adapter(cx.now, model, adapter))
}

/// Returns how long a load that has begun is expected to last yet.
fn load_remaining(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    wanted: &WaitReport<'_>,
) -> Duration {
    let least = context.load_times.expected_on(cx, engine, &wanted.target.model) / OVERDUE_DIVISOR;
    let load = engine.loads.get(&wanted.target.model);
    load.map_or(least, |load| load.remaining(cx.now).max(least))
}

fn assess_wait(
    wanted: &WaitReport<'_>,
    takes: Duration,
    reason: CannotLoad,
    retry_after: Duration,
) -> Assessment {
    if takes <= wanted.patience {
        Assessment::InTime
    } else {
        Assessment::Unavailable { reason, retry_after }
    }
}

/// Returns what a router is told when no engine here serves those who wait there.
pub(crate) fn refusal(assessments: &[Assessment], wanted: &WaitReport<'_>) -> Option<PeerMessage> {
    let mut refusal = (CannotLoad::NotOwner, Duration::ZERO);
    for assessment in assessments {
        match assessment {
            Assessment::InTime => return None,
            Assessment::Unavailable { reason, retry_after } => refusal = (reason.clone(), *retry_after),
        }
    }
    let (reason, retry_after) = refusal;
    Some(PeerMessage::CannotLoad { target: wanted.target.clone(), reason, retry_after })
}
