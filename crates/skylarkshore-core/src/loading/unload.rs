//! Selects models to unload, evicts idle models for more urgent loads, and sends unload orders.
//!
//! A model is closed first, so that routers send no more requests to it, and unloaded
//! once none runs. A sequential engine itself waits for running requests.

use std::cmp::Reverse;
use std::time::Duration;

use crate::authority::Permit;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::DecisionContext;
use crate::loading::desired_loads::{self, DesiredLoad, LoadCause};
use crate::loading::engine::{Engine, memory_of};
use crate::loading::engine_state::{CloseReason, Closing};
use crate::loading::policy::{self, IdleModel};
use crate::loading::power_shortage::Margin;
use crate::loading::replicas;
use crate::rules::{IdleAfter, RuleOutcome, ServiceOrder};
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{LoadState, Order, ReportedModel};

/// Time without a load that needs its memory after which a closing model may be reopened.
const ROOM_REQUEST_TTL: Duration = Duration::from_secs(1);
/// How long a model must be idle before it is evicted for a copy that no request waits for.
const COPY_EVICTION_IDLE: Duration = Duration::from_secs(2);
/// How long after its last use an engine keeps its power despite a shortage.
const RECENT_USE: Duration = Duration::from_secs(5);
/// Delay before an unload whose answer was lost is resent.
const RESEND_AFTER: Duration = Duration::from_millis(500);

/// Starts closing models that have to leave, and reopens models that are needed again.
pub(crate) fn decide(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &DecisionContext<'_>,
    desired_loads: &[DesiredLoad],
) {
    let Some(report) = engine.report() else { return };
    let ready: Vec<ReportedModel> =
        report.models.iter().filter(|reported| reported.state == LoadState::Ready).cloned().collect();
    engine.closing.retain(|model, _| ready.iter().any(|reported| reported.model == *model));
    for reported in &ready {
        let known = engine.closing.get(&reported.model).copied();
        let is_desired = desired_loads.iter().any(|desired| desired.model == reported.model);
        match (close_reason(cx, engine, context, reported, is_desired), known) {
            (Some(reason), None) => start_closing(cx, engine, &reported.model, reason, None),
            (None, Some(closing)) if may_reopen(cx, engine, context, &reported.model, &closing) => {
                engine.closing.remove(&reported.model);
            }
            _ => {}
        }
    }
}

fn start_closing(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    model: &ModelName,
    reason: CloseReason,
    for_service_order: Option<ServiceOrder>,
) {
    cx.log_event("model_closing", format!("{model}@{}", engine.id), format!("reason={reason}"));
    engine
        .closing
        .insert(model.clone(), Closing { since: cx.now, reason, for_service_order, last_needed: cx.now });
}

/// Returns why a ready model has to leave, other than for memory.
fn close_reason(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    reported: &ReportedModel,
    is_desired: bool,
) -> Option<CloseReason> {
    let Some(known) = cx.document.catalogue.models.get(&reported.model) else {
        return Some(CloseReason::NoHome);
    };
    // Engines may hold models before any homes are written. If those models counted
    // as surplus, a new deployment would unload everything first.
    let has_homes = !engine.is_sequential() || cx.cache.homes(&reported.model).is_some();
    if !has_homes {
        return None;
    }
    // An unconfirmed home is not a lost one. After a takeover the homes are
    // rewritten one by one; if their models counted as surplus meanwhile, each
    // takeover would empty the engine.
    if context.authority.must_unload(&engine.id, &reported.model)
        && !may_become_home(cx, engine, context, reported)
    {
        return Some(CloseReason::Surplus);
    }
    if reported.version != known.version {
        return Some(CloseReason::Version);
    }
    let is_used = is_desired || reported.running > 0 || context.demand.of_model(&reported.model).is_some();
    (!is_used && engine.unneeded.contains(&reported.model)).then_some(CloseReason::Idle)
}

/// Reports whether the engine already holds the model and may still become its home.
fn may_become_home(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    reported: &ReportedModel,
) -> bool {
    let holds = cx.upstreams.get(&engine.id).is_some_and(|listed| listed.is_live_holder(&reported.model));
    let Some((_, homes)) = cx.cache.homes(&reported.model) else { return false };
    let max_replicas =
        desired_loads::rule_outcome(cx, engine, context, &reported.model).replicas_max as usize;
    engine.is_sequential()
        && holds
        && !homes.evicted_from.contains(&engine.id)
        && homes.engines.len() < max_replicas
}

/// Updates the idle models that the policy wants to unload.
pub(crate) fn review_idle(
    cx: &Cx<'_>,
    engine: &mut Engine,
    context: &DecisionContext<'_>,
    desired_loads: &[DesiredLoad],
) {
    let Some(report) = engine.report() else { return };
    let is_used = |reported: &&ReportedModel| {
        reported.state != LoadState::Ready
            || reported.running > 0
            || desired_loads.iter().any(|desired| desired.model == reported.model)
            || context.demand.of_model(&reported.model).is_some()
    };
    let is_awake_anyway = report.models.iter().any(|reported| is_used(&reported));
    let idle = report.models.iter().filter(|reported| !is_used(reported));
    let mut unneeded = OrderedSet::new();
    let mut adaptive = Vec::new();
    let mut must_stay = is_awake_anyway;
    for reported in idle {
        let outcome = desired_loads::rule_outcome(cx, engine, context, &reported.model);
        match outcome.idle_after {
            IdleAfter::Fixed(idle)
                if last_use(engine, context, &reported.model).after(idle).is_due(cx.now) =>
            {
                unneeded.insert(reported.model.clone());
            }
            IdleAfter::Fixed(_) | IdleAfter::Never => must_stay = true,
            IdleAfter::Adaptive => {
                adaptive.push((
                    reported.model.clone(),
                    idle_model(cx, engine, context, &reported.model, outcome),
                ));
            }
        }
    }
    let margin =
        engine.site.as_ref().map_or(Margin::Times(1.0), |site| context.power_shortages.margin(cx.now, site));
    let idle_models: Vec<IdleModel> = adaptive.iter().map(|(_, idle)| idle.clone()).collect();
    if margin == Margin::Unreachable && !is_awake_anyway && !was_recently_used(cx.now, engine) {
        unneeded.extend(report.models.iter().map(|reported| reported.model.clone()));
    } else if !must_stay && !policy::is_worth_keeping(&idle_models, margin) {
        unneeded.extend(adaptive.into_iter().map(|(model, _)| model));
    }
    engine.unneeded = unneeded;
}

/// Reports whether the engine was used so recently that a burst may not be over.
fn was_recently_used(now: Time, engine: &Engine) -> bool {
    let ready = engine.ready_since.values();
    engine.last_busy.values().chain(ready).any(|used| !used.after(RECENT_USE).is_due(now))
}

fn idle_model(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    outcome: &RuleOutcome,
) -> IdleModel {
    let used = context.history.last(model);
    let since = used.unwrap_or_else(|| last_use(engine, context, model));
    let load_time = context.load_times.expected_on(cx, engine, model);
    IdleModel::new(context.history, model, outcome, load_time, cx.now.since(since))
}

/// Returns when the model was last used or became ready on this engine.
fn last_use(engine: &Engine, context: &DecisionContext<'_>, model: &ModelName) -> Time {
    let arrived = context.history.last(model);
    let busy = engine.last_busy.get(model).copied();
    let ready = engine.ready_since.get(model).copied();
    arrived.max(busy).max(ready).unwrap_or(engine.acquired_at)
}

/// Reports whether a closing model may be used again: its unload is not pending, and
/// its memory is not needed by a more urgent load.
fn may_reopen(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    closing: &Closing,
) -> bool {
    if engine.pending_orders.concerns(model) {
        return false;
    }
    let need = context.demand.of_model(model);
    match (closing.reason, closing.for_service_order) {
        (CloseReason::Memory, Some(service_order)) => {
            need.is_some_and(|need| need.service_order <= service_order)
                || closing.last_needed.after(ROOM_REQUEST_TTL).is_due(cx.now)
        }
        _ => true,
    }
}

/// Reports whether evicting idle models would free `missing` memory.
pub(crate) fn can_make_room(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    desired: &DesiredLoad,
    missing: Mebibytes,
) -> bool {
    let missing = missing.saturating_sub(memory_being_freed(engine));
    let victims = victims(cx, engine, context, desired);
    victims.values().copied().sum::<Mebibytes>() >= missing
}

/// Starts closing idle models until `missing` memory will be free. Reports whether that suffices.
pub(crate) fn make_room(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &DecisionContext<'_>,
    desired: &DesiredLoad,
    missing: Mebibytes,
) -> bool {
    let being_freed = memory_being_freed(engine);
    for closing in engine.closing.values_mut() {
        closing.last_needed = cx.now;
    }
    let mut missing = missing.saturating_sub(being_freed);
    if missing == Mebibytes(0) {
        return true;
    }
    let victims = victims(cx, engine, context, desired);
    if victims.values().copied().sum::<Mebibytes>() < missing {
        return false;
    }
    for (victim, memory) in victims {
        if missing == Mebibytes(0) {
            break;
        }
        missing = missing.saturating_sub(memory);
        start_closing(cx, engine, &victim.model, CloseReason::Memory, Some(desired.service_order));
    }
    true
}

/// Returns the memory of models that are closing or unloading.
fn memory_being_freed(engine: &Engine) -> Mebibytes {
    let Some(report) = engine.report() else { return Mebibytes(0) };
    let leaving = report
        .models
        .iter()
        .filter(|held| held.state == LoadState::Unloading || engine.closing.contains_key(&held.model));
    leaving.map(memory_of).sum()
}

/// An eviction candidate. Candidates whose eviction costs least sort first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    /// The least urgent service order comes first.
    service_order: Reverse<ServiceOrder>,
    /// Saving per gibibyte if the model stays, in milliseconds of idle accelerator time.
    value: u64,
    last_use: Time,
    model: ModelName,
}

fn victims(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    desired: &DesiredLoad,
) -> OrderedMap<Victim, Mebibytes> {
    let Some(report) = engine.report() else { return OrderedMap::new() };
    let idle = report.models.iter().filter(|reported| {
        reported.state == LoadState::Ready
            && reported.running == 0
            && reported.model != desired.model
            && !engine.closing.contains_key(&reported.model)
    });
    idle.filter_map(|reported| {
        let outcome = desired_loads::rule_outcome(cx, engine, context, &reported.model);
        let service_order = outcome.order;
        let waiting = context.demand.of_model(&reported.model);
        let pinned = engine.pinned.contains(&reported.model);
        let is_evictable = match waiting {
            _ if desired.cause == LoadCause::Prewarm => false,
            _ if engine.retain_until.contains_key(&reported.model) => false,
            _ if desired.cause == LoadCause::Copy => {
                waiting.is_none()
                    && !pinned
                    && !engine.hot.contains(&reported.model)
                    && engine.has_copy(&reported.model)
                    && !is_widely_held(cx, &reported.model)
                    && last_use(engine, context, &reported.model).after(COPY_EVICTION_IDLE).is_due(cx.now)
            }
            _ if engine.hot.contains(&reported.model) => false,
            _ if replicas::is_needed_more(cx, engine, context, &reported.model, desired.waiting) => false,
            Some(need) => desired.waiting > 0 && desired.service_order < need.service_order,
            None if pinned => desired.waiting > 0 && desired.service_order < service_order,
            None => true,
        };
        let last_use = last_use(engine, context, &reported.model);
        let memory = memory_of(reported);
        let value = value_per_gibibyte(&idle_model(cx, engine, context, &reported.model, outcome), memory);
        let victim =
            Victim { service_order: Reverse(service_order), value, last_use, model: reported.model.clone() };
        is_evictable.then_some((victim, memory))
    })
    .collect()
}

/// Reports whether other engines hold the model as well.
///
/// If engines already hold models when the process starts, there is no usage
/// history, but models held by several engines are likely to be in frequent use.
/// Evicting them for copies of rarely used models would make their first callers
/// wait.
fn is_widely_held(cx: &Cx<'_>, model: &ModelName) -> bool {
    cx.upstreams.holders(model).nth(1).is_some()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "only the order of the values counts"
)]
fn value_per_gibibyte(idle: &IdleModel, memory: Mebibytes) -> u64 {
    const MILLIS_PER_MEBIBYTE: f64 = 1000.0 * 1024.0;
    (idle.value() * MILLIS_PER_MEBIBYTE / memory.0.max(1) as f64) as u64
}

/// Unloads closing models once routers had time to stop sending and no request runs.
pub(crate) fn unload_drained(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
    permit: Permit,
) {
    let closing: Vec<(ModelName, Closing)> = engine.closing.iter().map(|(m, c)| (m.clone(), *c)).collect();
    for (model, closing) in closing {
        if let Some(pending) =
            engine.pending_orders.find(&model, |order| matches!(order, Order::Unload { .. }))
        {
            if pending.resend && pending.sent.after(RESEND_AFTER).is_due(cx.now) {
                let (id, action) = (pending.id, pending.action.clone());
                engine.send(cx, permit, Some(id), action);
            }
            continue;
        }
        if engine.pending_orders.concerns(&model) || !engine.is_free_for_orders() {
            continue;
        }
        if !engine.is_sequential() && !is_drained(cx, engine, &model, &closing) {
            continue;
        }
        engine.send(cx, permit, None, Order::Unload { model: model.clone() });
        log_unload(cx, engine, context, &model, closing.reason);
    }
}

/// Logs an unload and whether the model was used since its load.
fn log_unload(
    cx: &mut Cx<'_>,
    engine: &Engine,
    context: &mut DecisionContext<'_>,
    model: &ModelName,
    reason: CloseReason,
) {
    let ready = engine.ready_since.get(model).copied();
    let is_used = context.usage.last_worked(model).zip(ready).is_some_and(|(worked, ready)| worked >= ready);
    let ready_for = ready.map_or(Duration::ZERO, |ready| cx.now.since(ready)).as_millis();
    let waiting = context.demand.of_model(model).map_or(0, |need| need.waiting);
    let detail = format!("reason={reason} ready_for_ms={ready_for} used={is_used} waiting={waiting}");
    cx.log_event("model_unloaded", format!("{model}@{}", engine.id), detail);
    context.load_metrics.unloads += 1;
    context.load_metrics.unused += u64::from(!is_used);
}

/// Reports whether a report requested after the grace period shows no running request.
///
/// The request counts in a report lag. An earlier report may miss a request that a router
/// sent just before it received the closing view, and the unload would abort it.
fn is_drained(cx: &Cx<'_>, engine: &Engine, model: &ModelName, closing: &Closing) -> bool {
    let Some(last) = &engine.last_report else { return false };
    let stopped = closing.since.after(cx.cfg.timings.close_grace).after(last.report.lag);
    last.requested_at >= stopped && engine.model(model).is_some_and(|reported| reported.running == 0)
}
