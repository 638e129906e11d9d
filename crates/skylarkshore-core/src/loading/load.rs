//! Starts loads: checks memory, power and the load slot, and sends the order. Start
//! with [`start_loads`].

use std::time::Duration;

use crate::authority::Permit;
use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{AdapterName, ModelName};
use crate::loading::DecisionContext;
use crate::loading::adapters;
use crate::loading::desired_loads::{DesiredLoad, LoadCause};
use crate::loading::engine::Engine;
use crate::loading::engine_state::{Failures, LoadProgress};
use crate::loading::gate::{LoadKey, Urgency};
use crate::loading::load_metrics::LoadMetrics;
use crate::loading::load_slots::SlotStatus;
use crate::loading::pipelining;
use crate::loading::unload;
use crate::units::Mebibytes;
use crate::upstream::{LoadState, Order};

/// Delay before an order whose answer was lost is resent.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// Half the retry delay after the first failed load.
const RETRY_BASE: Duration = Duration::from_millis(500);
/// Longest time between two checks of a load for its measured length to be valid.
const MAX_CHECK_GAP: Duration = Duration::from_secs(2);
/// How often the retry delay is doubled at most.
const MAX_RETRY_DOUBLINGS: u32 = 7;
/// A model from the weight store is retained for at least its load time divided by this.
///
/// Callers with short timeouts were told to retry about now, and hosts with waiting
/// requests may not have reported them to this owner. Of 40 such loads in a day, 13
/// were unloaded within a second and 24 were never used.
const RETAIN_DIVISOR: u32 = 4;

/// Starts the desired loads that are possible, the most urgent first.
pub(crate) fn start_loads(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
    permit: Permit,
    desired_loads: &[DesiredLoad],
) {
    // Memory reserved for a more urgent load is not given to a less urgent one.
    let mut reserved = Mebibytes(0);
    // On a sequential engine, only the most urgent load evicts models.
    let mut is_order_chosen = false;
    let mut memory_blocked = OrderedSet::new();
    for desired in desired_loads {
        if engine.model(&desired.model).is_some() {
            memory_blocked.remove(&desired.model);
            load_adapters(cx, engine, context, permit, desired);
            continue;
        }
        if resend(cx, engine, permit, &desired.model) || !may_start(cx, engine, context, desired) {
            continue;
        }
        let Some(model) = cx.document.catalogue.models.get(&desired.model) else { continue };
        let memory = model.footprint();
        let freed_by_unload =
            pipelining::memory_freed_by_unload(engine, cx.now).filter(|_| engine.has_copy(&desired.model));
        let free = engine.free_memory_for(cx, &desired.model) + freed_by_unload.unwrap_or_default();
        let free = free.saturating_sub(reserved);
        let missing = memory.saturating_sub(free);
        let accepts_load = engine.is_free_for_orders() || freed_by_unload.is_some();
        let may_order = !engine.is_sequential() || !is_order_chosen && accepts_load;
        let needs_room = may_order && missing > Mebibytes(0);
        if needs_room && !unload::can_make_room(cx, engine, context, desired, missing) {
            memory_blocked.insert(desired.model.clone());
            context
                .load_slots
                .release_unstarted(cx, &LoadKey { engine: engine.id.clone(), model: desired.model.clone() });
        } else if needs_room && !ensure_load_slot(cx, engine, context, desired) {
            // Loaded models stay in use until the load has its slot.
            continue;
        }
        reserved += memory;
        if !may_order {
            continue;
        }
        if needs_room {
            is_order_chosen |= unload::make_room(cx, engine, context, desired, missing);
            continue;
        }
        let load = Order::Load { model: desired.model.clone(), version: model.version.clone(), memory };
        is_order_chosen |= start_load(cx, engine, context, permit, desired, load) == Started::Yes;
    }
    engine.memory_blocked = memory_blocked;
}

/// Resends an order whose answer was lost. Reports whether an order for the model is pending.
fn resend(cx: &mut Cx<'_>, engine: &mut Engine, permit: Permit, model: &ModelName) -> bool {
    let Some(pending) = engine.pending_orders.find(model, |_| true) else { return false };
    if pending.resend && pending.sent.after(RESEND_AFTER).is_due(cx.now) {
        let (id, action) = (pending.id, pending.action.clone());
        engine.send(cx, permit, Some(id), action);
    }
    true
}

/// Resends an adapter order whose answer was lost. Reports whether an order for the
/// adapter is pending.
fn resend_adapter(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    permit: Permit,
    model: &ModelName,
    adapter: &AdapterName,
) -> bool {
    let Some(pending) = engine.pending_orders.find_adapter(model, adapter) else { return false };
    if pending.resend && pending.sent.after(RESEND_AFTER).is_due(cx.now) {
        let (id, action) = (pending.id, pending.action.clone());
        engine.send(cx, permit, Some(id), action);
    }
    true
}

fn may_start(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, desired: &DesiredLoad) -> bool {
    let failed = engine.failures.get(&desired.model).is_some_and(|failures| !failures.retry.is_due(cx.now));
    !failed && !engine.is_leaving() && has_power(engine, context)
}

/// Reports whether the granted power covers the engine's active power.
pub(crate) fn has_power(engine: &Engine, context: &DecisionContext<'_>) -> bool {
    engine.spec.as_ref().is_some_and(|spec| context.authority.granted_power(&engine.id) >= spec.active_watts)
}

fn load_adapters(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
    permit: Permit,
    desired: &DesiredLoad,
) {
    let is_blocked = !engine.is_sequential() && resend(cx, engine, permit, &desired.model);
    if !engine.is_ready(&desired.model) || is_blocked {
        return;
    }
    let Some(model) = cx.document.catalogue.models.get(&desired.model) else { return };
    for adapter in context.demand.adapters(&desired.model) {
        let Some(&memory) = model.adapters.get(&adapter) else { continue };
        if has_adapter(engine, &desired.model, &adapter) || !may_start(cx, engine, context, desired) {
            continue;
        }
        if resend_adapter(cx, engine, permit, &desired.model, &adapter) {
            continue;
        }
        let free = engine.free_memory_for(cx, &desired.model);
        if memory > free {
            unload::make_room(cx, engine, context, desired, memory.saturating_sub(free));
            continue;
        }
        if !adapters::ensure_slot(cx, engine, context.demand, permit) {
            continue;
        }
        let load = Order::LoadAdapter { model: desired.model.clone(), adapter, memory };
        start_load(cx, engine, context, permit, desired, load);
    }
}

/// Whether an order was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Started {
    Yes,
    No,
}

fn has_adapter(engine: &Engine, model: &ModelName, adapter: &AdapterName) -> bool {
    engine.model(model).is_some_and(|reported| reported.adapters.iter().any(|a| a.adapter == *adapter))
}

/// Reports whether a load of the model needs a load slot; on other than sequential
/// engines every load does.
fn needs_load_slot(engine: &Engine, desired: &DesiredLoad) -> bool {
    !engine.is_sequential() || !engine.has_copy(&desired.model)
}

/// Reports whether a load has its load slot or needs none, and requests the slot otherwise.
fn ensure_load_slot(
    cx: &mut Cx<'_>,
    engine: &Engine,
    context: &mut DecisionContext<'_>,
    desired: &DesiredLoad,
) -> bool {
    if !needs_load_slot(engine, desired) {
        return true;
    }
    let key = LoadKey { engine: engine.id.clone(), model: desired.model.clone() };
    let urgency =
        Urgency { service_order: desired.service_order, max_wait: desired.deadline.remaining(cx.now) };
    context.load_slots.request(cx, &key, urgency) == SlotStatus::Granted
}

/// Sends a load if it has its slot and no other load is unanswered.
fn start_load(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
    permit: Permit,
    desired: &DesiredLoad,
    load: Order,
) -> Started {
    let is_free = match load {
        Order::LoadAdapter { .. } => engine.is_free_for_adapter_orders(),
        _ => engine.is_free_for_orders() || pipelining::memory_freed_by_unload(engine, cx.now).is_some(),
    };
    if engine.pending_orders.has_unanswered_load() || !is_free {
        return Started::No;
    }
    let uses_load_slot =
        !engine.is_sequential() || matches!(load, Order::Load { .. }) && needs_load_slot(engine, desired);
    if uses_load_slot && !ensure_load_slot(cx, engine, context, desired) {
        return Started::No;
    }
    let begins = cx.now.after(pipelining::unload_remaining(engine, cx.now, context.load_times));
    let expected_end = begins.after(context.load_times.expected_on(cx, engine, &desired.model));
    if desired.cause == LoadCause::Prewarm
        && let Some(last) = context.history.last(&desired.model)
    {
        engine.prewarmed.insert(desired.model.clone(), last);
    }
    if matches!(load, Order::Load { .. }) {
        engine.last_load_at = cx.now;
        engine.loads.insert(
            desired.model.clone(),
            LoadProgress {
                ordered: cx.now,
                begins,
                expected_end,
                last_checked: cx.now,
                is_from_store: uses_load_slot,
            },
        );
    }
    if engine.pending_orders.accepted_unload().is_none() {
        log_started(cx, engine, desired, &load);
    }
    engine.send(cx, permit, None, load);
    if uses_load_slot {
        context
            .load_slots
            .record_started(&LoadKey { engine: engine.id.clone(), model: desired.model.clone() });
    }
    context.load_metrics.loads += 1;
    Started::Yes
}

fn log_started(cx: &mut Cx<'_>, engine: &Engine, desired: &DesiredLoad, load: &Order) {
    let what = match load {
        Order::LoadAdapter { model, adapter, .. } => format!("{model}/{adapter}"),
        _ => desired.model.to_string(),
    };
    let copy = if engine.has_copy(&desired.model) { "here" } else { "none" };
    cx.log_event(
        "load_started",
        format!("{what}@{}", engine.id),
        format!(
            "cause={} order={} waiting={} copy={copy}",
            desired.cause, desired.service_order, desired.waiting
        ),
    );
}

/// Corrects the start and the expected end of a load when the engine accepts it.
pub(crate) fn on_accepted(cx: &Cx<'_>, engine: &mut Engine, model: &ModelName) {
    let Some(load) = engine.loads.get_mut(model) else { return };
    load.expected_end = cx.now.after(load.expected_end.since(load.begins));
    load.begins = cx.now;
}

/// Records loads that have ended according to the engine's report.
///
/// Returns the models of a sequential engine that have become ready.
pub(crate) fn record_ended_loads(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
) -> Vec<ModelName> {
    let mut newly_ready = Vec::new();
    let Some(report) = engine.report() else { return newly_ready };
    let ready: Vec<ModelName> =
        report.models.iter().filter(|m| m.state == LoadState::Ready).map(|m| m.model.clone()).collect();
    engine.ready_since.retain(|model, _| ready.contains(model));
    engine.retain_until.retain(|model, until| ready.contains(model) && !until.is_due(cx.now));
    for model in ready {
        engine.failures.remove(&model);
        engine.ready_since.entry(model.clone()).or_insert(cx.now);
        let Some(load) = engine.loads.remove(&model) else { continue };
        let took = cx.now.since(load.ordered);
        if engine.is_sequential() {
            newly_ready.push(model.clone());
        }
        if let Some(need) = context.demand.of_model(&model) {
            context.history.record_cold_start(&model, need.waiting);
        }
        // After a pause of this process, the end is noticed late. If that counted as
        // the load's length, later requests would be refused as too late.
        if cx.now.since(load.last_checked) <= MAX_CHECK_GAP && load.is_from_store {
            context.load_times.record_load(&model, took);
        }
        if engine.is_sequential() && load.is_from_store {
            engine.retain_until.insert(model.clone(), cx.now.after(took / RETAIN_DIVISOR));
        }
        let source = if load.is_from_store { "store" } else { "copy" };
        let waiting = context.demand.of_model(&model).map_or(0, |need| need.waiting);
        let detail = format!("took_ms={} source={source} waiting={waiting}", took.as_millis());
        cx.log_event("load_ended", format!("{model}@{}", engine.id), detail);
    }
    for load in engine.loads.values_mut() {
        load.last_checked = cx.now;
    }
    let absent: Vec<ModelName> = engine.loads.keys().cloned().collect();
    for model in absent {
        if engine.model(&model).is_none() && !engine.pending_orders.concerns(&model) {
            record_failure(cx, engine, context.load_metrics, &model, "the engine doesn't show it any more");
        }
    }
    newly_ready
}

/// Records a failed load. The retry delay doubles with every failure.
pub(crate) fn record_failure(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    load_metrics: &mut LoadMetrics,
    model: &ModelName,
    reason: &str,
) {
    engine.loads.remove(model);
    load_metrics.failed += 1;
    let count = engine.failures.get(model).map_or(0, |failures| failures.count).saturating_add(1);
    let delay = RETRY_BASE.saturating_mul(1 << count.min(MAX_RETRY_DOUBLINGS));
    engine.failures.insert(model.clone(), Failures { count, retry: cx.now.after(delay) });
    cx.log_event("load_failed", format!("{model}@{}", engine.id), format!("count={count} reason={reason}"));
}

/// Reports whether the engine is, or may be, loading the model or its adapters.
pub(crate) fn is_load_pending(engine: &Engine, model: &ModelName) -> bool {
    let loading = |order: &Order| matches!(order, Order::Load { .. } | Order::LoadAdapter { .. });
    is_shown_loading(engine, model)
        || engine.loads.contains_key(model)
        || engine.pending_orders.find(model, loading).is_some()
}

/// Reports whether a load of the model or its adapters is running, or probably so.
/// Its load slot, if it has one, is kept that long.
///
/// An order in doubt counts only while the engine reports that it is busy. It may
/// never have arrived, and stays in doubt while the engine is unreachable or nobody
/// requests the model. If it kept its slot on a store that runs one load at a time,
/// no host could fetch a model although every engine is idle.
pub(crate) fn is_load_running(engine: &Engine, model: &ModelName) -> bool {
    let may_be_loading =
        || engine.report().is_some_and(|report| report.busy) && is_load_pending(engine, model);
    is_shown_loading(engine, model) || engine.pending_orders.is_loading(model) || may_be_loading()
}

/// Returns the models that the engine is loading with a load slot.
pub(crate) fn running_store_loads(engine: &Engine) -> impl Iterator<Item = &ModelName> {
    let loads = engine.loads.iter().filter(|(_, load)| load.is_from_store);
    loads.map(|(model, _)| model).filter(|model| is_load_running(engine, model))
}

fn is_shown_loading(engine: &Engine, model: &ModelName) -> bool {
    engine.model(model).is_some_and(|reported| {
        reported.state == LoadState::Loading || reported.adapters.iter().any(|adapter| !adapter.ready)
    })
}
