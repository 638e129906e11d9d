//! Estimates when a model becomes ready on an engine, and whether waiting requests
//! can be served in time.
//!
//! See [`Assessment`] and [`assess`].

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

/// Upper estimate of the time until an engine's first report.
const SURVEY_TIME: Duration = Duration::from_secs(1);
/// Estimated time until an engine without enough memory or power gets it.
const BLOCKED_DELAY: Duration = Duration::from_secs(10);
/// Retry delay while memory, power or ownership is unavailable.
const SHORT_RETRY: Duration = Duration::from_secs(5);
/// Minimum remaining time of an overdue load, as a fraction of its load time.
const OVERDUE_DIVISOR: u32 = 10;

/// Delay assumed for an engine that cannot load anything.
const UNAVAILABLE_DELAY: Duration = Duration::from_secs(30);
/// Consecutive failures after which the load is expected never to succeed.
const MAX_FAILURES: u32 = 5;

/// Whether an engine can serve the requests that wait at a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Assessment {
    /// The model is ready before the last of them times out.
    InTime,
    /// The model is not ready in time.
    Unavailable {
        /// The reason sent to the router.
        reason: CannotLoad,
        /// When the router may ask again.
        retry_after: Duration,
    },
}

/// Assesses whether an engine will serve a router's waiting requests in time.
pub(crate) fn assess(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    wait_report: &WaitReport<'_>,
) -> Assessment {
    let model = &wait_report.target.model;
    if wait_report.waiting == 0 || is_usable(cx, engine, wait_report) {
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
        load_remaining(cx, engine, context, wait_report)
    } else {
        load_time + store_wait(cx, engine, context, model)
    };
    if let Some(failures) = engine.failures.get(model) {
        let retry = failures.retry.remaining(cx.now);
        let load_or_never = if failures.count < MAX_FAILURES { load } else { Duration::MAX };
        return assess_wait(
            wait_report,
            load_or_never.saturating_add(retry),
            CannotLoad::EngineRefuses,
            retry,
        );
    }
    let takes = load + start_delay(cx, engine, context, model);
    if engine.report().is_some() && !load::has_power(engine, context) {
        return assess_wait(wait_report, takes, CannotLoad::Power, SHORT_RETRY);
    }
    if engine.memory_blocked.contains(model) {
        return assess_wait(wait_report, takes, CannotLoad::Memory, SHORT_RETRY);
    }
    assess_wait(wait_report, takes, CannotLoad::TooSlow, takes)
}

/// Estimates the time until a model is ready on a sequential engine.
///
/// Loads with a higher rank count, loads with a lower rank do not. If all waiting
/// loads counted, every model would seem as far away as the last one, and requests
/// that could be served would be refused. The estimate uses measured load and unload
/// times: when every load was assumed to wait for a request that runs for 2.5 s,
/// although requests ran for 0.4 s, two of three refusals were wrong.
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

/// Estimates the time until a model is ready on an engine, plus the cost of its load
/// to other models.
///
/// A load from the weight store blocks the engine for seconds, in which it could
/// make ten swaps from its disk. If two engines would be ready at about the same
/// time, the one with a copy is preferred.
pub(crate) fn placement_cost(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    need: &ModelDemand,
) -> Duration {
    let ready = time_to_ready(cx, engine, context, model, need);
    let is_present = engine.model(model).is_some() || engine.loads.contains_key(model);
    if is_present || engine.has_copy(model) {
        ready
    } else {
        ready + context.load_times.expected_from_store(cx, model)
    }
}

/// Returns how long a load has to wait for a load slot.
fn store_wait(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> Duration {
    if engine.is_sequential() && engine.has_copy(model) {
        return Duration::ZERO;
    }
    let key = LoadKey { engine: engine.id.clone(), model: model.clone() };
    context.load_slots.expected_wait(cx, &key)
}

/// Returns the expected remaining time of the order in progress.
fn current_order_remaining(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>) -> Duration {
    let load = engine.loads.values().map(|load| load.remaining(cx.now)).max();
    load.unwrap_or_else(|| pipelining::unload_remaining(engine, cx.now, context.load_times))
}

/// Returns the expected time to free memory for a model.
fn eviction_time(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> Duration {
    let Some(known) = cx.document.catalogue.models.get(model) else { return Duration::ZERO };
    let is_free = known.footprint() <= engine.free_memory();
    if is_free { Duration::ZERO } else { context.load_times.expected_unload() }
}

/// Returns the expected delay before a load can start, apart from the load slot.
fn start_delay(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> Duration {
    if engine.report().is_none() {
        return SURVEY_TIME;
    }
    if !load::has_power(engine, context) || engine.memory_blocked.contains(model) {
        return BLOCKED_DELAY;
    }
    // Routers get a grace period before the evicted model is unloaded.
    if engine.closing.is_empty() { Duration::ZERO } else { cx.cfg.timings.close_grace }
}

/// Updates the expected ready times of models that requests wait for; they are published in views.
///
/// A router that gets no view of a model for some seconds assumes that no owner
/// handles it, and refuses its requests.
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
            let soft_deadline = desired.soft_deadline.unwrap_or(Time::NEVER);
            let DesiredLoad { service_order, deadline, waiting, .. } = *desired;
            time_to_ready(
                cx,
                engine,
                context,
                model,
                &ModelDemand { service_order, deadline, soft_deadline, waiting },
            )
        } else {
            context.load_times.expected_on(cx, engine, model)
                + store_wait(cx, engine, context, model)
                + start_delay(cx, engine, context, model)
        };
        planned.insert(model.clone(), cx.now.after(takes));
    }
    engine.planned = planned;
}

fn is_usable(cx: &Cx<'_>, engine: &Engine, wait_report: &WaitReport<'_>) -> bool {
    let model = &wait_report.target.model;
    engine.is_ready(model)
        && wait_report
            .target
            .adapter
            .as_ref()
            .is_none_or(|adapter| engine.has_adapter(cx.now, model, adapter))
}

/// Returns the expected remaining time of a load in progress.
fn load_remaining(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    wait_report: &WaitReport<'_>,
) -> Duration {
    let minimum = context.load_times.expected_on(cx, engine, &wait_report.target.model) / OVERDUE_DIVISOR;
    let load = engine.loads.get(&wait_report.target.model);
    load.map_or(minimum, |load| load.remaining(cx.now).max(minimum))
}

fn assess_wait(
    wait_report: &WaitReport<'_>,
    takes: Duration,
    reason: CannotLoad,
    retry_after: Duration,
) -> Assessment {
    if takes <= wait_report.max_wait {
        Assessment::InTime
    } else {
        Assessment::Unavailable { reason, retry_after }
    }
}

/// Returns the refusal for a router, or none if an engine can serve its requests in time.
pub(crate) fn refusal(assessments: &[Assessment], wait_report: &WaitReport<'_>) -> Option<PeerMessage> {
    let mut refusal = (CannotLoad::NotOwner, Duration::ZERO);
    for assessment in assessments {
        match assessment {
            Assessment::InTime => return None,
            Assessment::Unavailable { reason, retry_after } => refusal = (reason.clone(), *retry_after),
        }
    }
    let (reason, retry_after) = refusal;
    Some(PeerMessage::CannotLoad { target: wait_report.target.clone(), reason, retry_after })
}
