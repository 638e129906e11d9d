//! Loads: memory, power, the weight store's share and the order to the engine.

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

/// How long to wait before an order whose answer was lost is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// Half of how long to wait after the first failed load.
const RETRY_BASE: Duration = Duration::from_millis(500);
/// How long after the last look at a load its end may be noticed for its length to count.
const MAX_CHECK_GAP: Duration = Duration::from_secs(2);
/// How often that wait is doubled at most.
const MAX_RETRY_DOUBLINGS: u32 = 7;
/// For which part of its load's time a model that came from the weight store stays at least.
///
/// Callers who couldn't wait for it were told to come back about now, and hosts
/// that wait for it may not have said so here. Unloaded at once, it has kept an
/// engine and the store busy for nobody: of 40 such loads in a day 13 were
/// undone within a second and 24 never used.
const RETAIN_DIVISOR: u32 = 4;

/// Begins the loads that are wanted and possible, the most urgent first.
pub(crate) fn start_loads(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
    permit: Permit,
    desired_loads: &[DesiredLoad],
) {
    // Memory that a more urgent load waits for isn't given to a less urgent one.
    let mut reserved = Mebibytes(0);
    // On an engine that takes one order at a time, only the most urgent load makes room.
    let mut is_turn_used = false;
    let mut memory_blocked = OrderedSet::new();
    for desired in desired_loads {
        if engine.model(&desired.model).is_some() {
            memory_blocked.remove(&desired.model);
            load_adapters(cx, engine, context, permit, desired);
            continue;
        }
        if resend(cx, engine, permit, &desired.model) || !may_begin(cx, engine, context, desired) {
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
        let may_order = !engine.is_sequential() || !is_turn_used && accepts_load;
        let needs_room = may_order && missing > Mebibytes(0);
        if needs_room && !unload::can_make_room(cx, engine, context, desired, missing) {
            memory_blocked.insert(desired.model.clone());
            context
                .load_slots
                .release_unstarted(cx, &LoadKey { engine: engine.id.clone(), model: desired.model.clone() });
        } else if needs_room && !has_store_slot(cx, engine, context, desired) {
            // What is loaded stays in use until the load can begin.
            continue;
        }
        reserved += memory;
        if !may_order {
            continue;
        }
        if needs_room {
            is_turn_used |= unload::make_room(cx, engine, context, desired, missing);
            continue;
        }
        let load = Order::Load { model: desired.model.clone(), version: model.version.clone(), memory };
        is_turn_used |= start_load(cx, engine, context, permit, desired, load) == Started::Yes;
    }
    engine.memory_blocked = memory_blocked;
}

/// Sends an order of unknown outcome again; tells whether an order for the model is unsettled.
fn resend(cx: &mut Cx<'_>, engine: &mut Engine, permit: Permit, model: &ModelName) -> bool {
    let Some(unsettled) = engine.pending_orders.find(model, |_| true) else { return false };
    if unsettled.resend && unsettled.sent.after(RESEND_AFTER).is_due(cx.now) {
        let (id, action) = (unsettled.id, unsettled.action.clone());
        engine.send(cx, permit, Some(id), action);
    }
    true
}

/// Sends an adapter's order of unknown outcome again; tells whether one for it is unsettled.
fn resend_adapter(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    permit: Permit,
    model: &ModelName,
    adapter: &AdapterName,
) -> bool {
    let Some(unsettled) = engine.pending_orders.find_adapter(model, adapter) else { return false };
    if unsettled.resend && unsettled.sent.after(RESEND_AFTER).is_due(cx.now) {
        let (id, action) = (unsettled.id, unsettled.action.clone());
        engine.send(cx, permit, Some(id), action);
    }
    true
}

fn may_begin(cx: &Cx<'_>, engine: &Engine, context: &DecisionContext<'_>, desired: &DesiredLoad) -> bool {
    let failed = engine.failures.get(&desired.model).is_some_and(|failures| !failures.retry.is_due(cx.now));
    !failed && !engine.is_leaving() && has_power(engine, context)
}

/// Tells whether the engine may draw what it draws with something loaded.
pub(crate) fn has_power(engine: &Engine, context: &DecisionContext<'_>) -> bool {
    engine.spec.as_ref().is_some_and(|spec| context.authority.granted(&engine.id) >= spec.active_watts)
}

fn load_adapters(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
    permit: Permit,
    desired: &DesiredLoad,
) {
    let is_held_up = !engine.is_sequential() && resend(cx, engine, permit, &desired.model);
    if !engine.is_ready(&desired.model) || is_held_up {
        return;
    }
    let Some(model) = cx.document.catalogue.models.get(&desired.model) else { return };
    for adapter in context.demand.adapters(&desired.model) {
        let Some(&memory) = model.adapters.get(&adapter) else { continue };
        if has_adapter(engine, &desired.model, &adapter) || !may_begin(cx, engine, context, desired) {
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

/// Tells whether a load of a model needs a share of the weight store.
fn needs_store_slot(engine: &Engine, desired: &DesiredLoad) -> bool {
    !engine.is_sequential() || !engine.has_copy(&desired.model)
}

/// Tells whether a load of a model may begin as far as the weight store goes, and asks for its share.
fn has_store_slot(
    cx: &mut Cx<'_>,
    engine: &Engine,
    context: &mut DecisionContext<'_>,
    desired: &DesiredLoad,
) -> bool {
    if !needs_store_slot(engine, desired) {
        return true;
    }
    let key = LoadKey { engine: engine.id.clone(), model: desired.model.clone() };
    let urgency = Urgency { order: desired.order, patience: desired.deadline.remaining(cx.now) };
    context.load_slots.request(cx, &key, urgency) == SlotStatus::Granted
}

/// Sends a load once the weight store has a share for it and no other load is unanswered.
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
    let uses_store_slot =
        !engine.is_sequential() || matches!(load, Order::Load { .. }) && needs_store_slot(engine, desired);
    if uses_store_slot && !has_store_slot(cx, engine, context, desired) {
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
                is_from_store: uses_store_slot,
            },
        );
    }
    if engine.pending_orders.accepted_unload().is_none() {
        log_started(cx, engine, desired, &load);
    }
    engine.send(cx, permit, None, load);
    if uses_store_slot {
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
    cx.note(
        "load_started",
        format!("{what}@{}", engine.id),
        format!("cause={} order={} waiting={} copy={copy}", desired.cause, desired.order, desired.waiting),
    );
}

/// Takes note that a load has begun, which it may do some time after it was ordered first.
pub(crate) fn on_accepted(cx: &Cx<'_>, engine: &mut Engine, model: &ModelName) {
    let Some(load) = engine.loads.get_mut(model) else { return };
    load.expected_end = cx.now.after(load.expected_end.since(load.begins));
    load.begins = cx.now;
}

/// Takes note of loads that have ended, as the engine's report shows them.
///
/// Returns the models that can be used since now.
pub(crate) fn record_ended(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    context: &mut DecisionContext<'_>,
) -> Vec<ModelName> {
    let mut served = Vec::new();
    let Some(report) = engine.report() else { return served };
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
            served.push(model.clone());
        }
        if let Some(need) = context.demand.of_model(&model) {
            context.history.record_cold_start(&model, need.waiting);
        }
        // A process that was paused in the middle notices the end late. Were that
        // taken for the load's length, callers would be refused for want of time
        // although the model loads as fast as ever.
        if cx.now.since(load.last_checked) <= MAX_CHECK_GAP && load.is_from_store {
            context.load_times.record_load(&model, took);
        }
        if engine.is_sequential() && load.is_from_store {
            engine.retain_until.insert(model.clone(), cx.now.after(took / RETAIN_DIVISOR));
        }
        let source = if load.is_from_store { "store" } else { "copy" };
        let waiting = context.demand.of_model(&model).map_or(0, |need| need.waiting);
        let detail = format!("took_ms={} source={source} waiting={waiting}", took.as_millis());
        cx.note("load_ended", format!("{model}@{}", engine.id), detail);
    }
    for load in engine.loads.values_mut() {
        load.last_checked = cx.now;
    }
    let gone: Vec<ModelName> = engine.loads.keys().cloned().collect();
    for model in gone {
        if engine.model(&model).is_none() && !engine.pending_orders.concerns(&model) {
            record_failure(cx, engine, context.load_metrics, &model, "the engine doesn't show it any more");
        }
    }
    served
}

/// Takes note of a load that failed; the next try waits longer after every failure.
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
    let pause = RETRY_BASE.saturating_mul(1 << count.min(MAX_RETRY_DOUBLINGS));
    engine.failures.insert(model.clone(), Failures { count, retry: cx.now.after(pause) });
    cx.note("load_failed", format!("{model}@{}", engine.id), format!("count={count} reason={reason}"));
}

/// Tells whether the engine is busy with a load of the model or of its adapters, or may be.
pub(crate) fn is_load_pending(engine: &Engine, model: &ModelName) -> bool {
    let loading = |order: &Order| matches!(order, Order::Load { .. } | Order::LoadAdapter { .. });
    is_shown_loading(engine, model)
        || engine.loads.contains_key(model)
        || engine.pending_orders.find(model, loading).is_some()
}

/// Tells whether a load of the model or of its adapters uses the weight store.
///
/// An order in doubt does only while the engine says that it is busy. Otherwise it
/// may never have arrived, and it stays in doubt for as long as the engine can't be
/// reached or nobody asks for what it loads. Where the store runs one load at a
/// time, no host could fetch any model meanwhile, though every engine is idle.
pub(crate) fn uses_store(engine: &Engine, model: &ModelName) -> bool {
    let may_be_loading =
        || engine.report().is_some_and(|report| report.busy) && is_load_pending(engine, model);
    is_shown_loading(engine, model) || engine.pending_orders.is_loading(model) || may_be_loading()
}

/// Returns the models that the engine loads from the weight store now.
pub(crate) fn loading_from_store(engine: &Engine) -> impl Iterator<Item = &ModelName> {
    let loads = engine.loads.iter().filter(|(_, load)| load.is_from_store);
    loads.map(|(model, _)| model).filter(|model| uses_store(engine, model))
}

fn is_shown_loading(engine: &Engine, model: &ModelName) -> bool {
    engine.model(model).is_some_and(|reported| {
        reported.state == LoadState::Loading || reported.adapters.iter().any(|adapter| !adapter.ready)
    })
}
