//! Loads: memory, power, the weight store's share and the order to the engine.

use std::time::Duration;

use crate::authority::Permit;
use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{AdapterName, ModelName};
use crate::loading::Beside;
use crate::loading::adapters;
use crate::loading::close;
use crate::loading::engine::Engine;
use crate::loading::gate::{LoadKey, Urgency};
use crate::loading::pacing::Slot;
use crate::loading::stages::{Failures, LoadProgress};
use crate::loading::tally::Tally;
use crate::loading::turnaround;
use crate::loading::wants::{Cause, Want};
use crate::units::Mebibytes;
use crate::upstream::{LoadState, Order};

/// How long to wait before an order whose answer was lost is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// Half of how long to wait after the first failed load.
const FIRST_RETRY: Duration = Duration::from_millis(500);
/// How long after the last look at a load its end may be noticed for its length to count.
const MEASURABLE_GAP: Duration = Duration::from_secs(2);
/// How often that wait is doubled at most.
const MAX_DOUBLINGS: u32 = 7;
/// For which part of its load's time a model that came from the weight store stays at least.
///
/// Callers who couldn't wait for it were told to come back about now, and hosts
/// that wait for it may not have said so here. Unloaded at once, it has kept an
/// engine and the store busy for nobody: of 40 such loads in a day 13 were
/// undone within a second and 24 never used.
const STAY_PART: u32 = 4;

/// Begins the loads that are wanted and possible, the most urgent first.
pub(crate) fn step(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    beside: &mut Beside<'_>,
    permit: Permit,
    wants: &[Want],
) {
    // Memory that a more urgent load waits for isn't given to a less urgent one.
    let mut spoken_for = Mebibytes(0);
    // On an engine that takes one order at a time, only the most urgent load makes room.
    let mut is_turn_taken = false;
    let mut crowded = OrderedSet::new();
    for want in wants {
        if engine.model(&want.model).is_some() {
            crowded.remove(&want.model);
            load_adapters(cx, engine, beside, permit, want);
            continue;
        }
        if resend(cx, engine, permit, &want.model) || !may_begin(cx, engine, beside, want) {
            continue;
        }
        let Some(model) = cx.document.catalogue.models.get(&want.model) else { continue };
        let memory = model.footprint();
        let behind = turnaround::room(engine, cx.now).filter(|_| engine.has_copy(&want.model));
        let free = engine.free_for(cx, &want.model) + behind.unwrap_or_default();
        let free = free.saturating_sub(spoken_for);
        let missing = memory.saturating_sub(free);
        let is_open = engine.is_free_for_orders() || behind.is_some();
        let is_in_turn = !engine.is_one_by_one() || !is_turn_taken && is_open;
        let needs_room = is_in_turn && missing > Mebibytes(0);
        if needs_room && !close::can_make_room(cx, engine, beside, want, missing) {
            crowded.insert(want.model.clone());
            beside.pacing.forgo(cx, &LoadKey { engine: engine.id.clone(), model: want.model.clone() });
        } else if needs_room && !has_share(cx, engine, beside, want) {
            // What is loaded stays in use until the load can begin.
            continue;
        }
        spoken_for += memory;
        if !is_in_turn {
            continue;
        }
        if needs_room {
            is_turn_taken |= close::make_room(cx, engine, beside, want, missing);
            continue;
        }
        let load = Order::Load { model: want.model.clone(), version: model.version.clone(), memory };
        is_turn_taken |= begin(cx, engine, beside, permit, want, load) == Begun::Yes;
    }
    engine.crowded = crowded;
}

/// Sends an order of unknown outcome again; tells whether an order for the model is unsettled.
fn resend(cx: &mut Cx<'_>, engine: &mut Engine, permit: Permit, model: &ModelName) -> bool {
    let Some(unsettled) = engine.ledger.find(model, |_| true) else { return false };
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
    let Some(unsettled) = engine.ledger.find_adapter(model, adapter) else { return false };
    if unsettled.resend && unsettled.sent.after(RESEND_AFTER).is_due(cx.now) {
        let (id, action) = (unsettled.id, unsettled.action.clone());
        engine.send(cx, permit, Some(id), action);
    }
    true
}

fn may_begin(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, want: &Want) -> bool {
    let failed = engine.failures.get(&want.model).is_some_and(|failures| !failures.retry.is_due(cx.now));
    !failed && !engine.is_leaving() && has_power(engine, beside)
}

/// Tells whether the engine may draw what it draws with something loaded.
pub(crate) fn has_power(engine: &Engine, beside: &Beside<'_>) -> bool {
    engine.spec.as_ref().is_some_and(|spec| beside.authority.granted_power(&engine.id) >= spec.active_watts)
}

fn load_adapters(cx: &mut Cx<'_>, engine: &mut Engine, beside: &mut Beside<'_>, permit: Permit, want: &Want) {
    let is_held_up = !engine.is_one_by_one() && resend(cx, engine, permit, &want.model);
    if !engine.is_ready(&want.model) || is_held_up {
        return;
    }
    let Some(model) = cx.document.catalogue.models.get(&want.model) else { return };
    for adapter in beside.demand.adapters(&want.model) {
        let Some(&memory) = model.adapters.get(&adapter) else { continue };
        if has_adapter(engine, &want.model, &adapter) || !may_begin(cx, engine, beside, want) {
            continue;
        }
        if resend_adapter(cx, engine, permit, &want.model, &adapter) {
            continue;
        }
        let free = engine.free_for(cx, &want.model);
        if memory > free {
            close::make_room(cx, engine, beside, want, memory.saturating_sub(free));
            continue;
        }
        if !adapters::make_room(cx, engine, beside.demand, permit) {
            continue;
        }
        let load = Order::LoadAdapter { model: want.model.clone(), adapter, memory };
        begin(cx, engine, beside, permit, want, load);
    }
}

/// Whether an order was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begun {
    Yes,
    No,
}

fn has_adapter(engine: &Engine, model: &ModelName, adapter: &AdapterName) -> bool {
    engine.model(model).is_some_and(|seen| seen.adapters.iter().any(|a| a.adapter == *adapter))
}

/// Tells whether a load of a model needs a share of the weight store.
fn needs_share(engine: &Engine, want: &Want) -> bool {
    !engine.is_one_by_one() || !engine.has_copy(&want.model)
}

/// Tells whether a load of a model may begin as far as the weight store goes, and asks for its share.
fn has_share(cx: &mut Cx<'_>, engine: &Engine, beside: &mut Beside<'_>, want: &Want) -> bool {
    if !needs_share(engine, want) {
        return true;
    }
    let key = LoadKey { engine: engine.id.clone(), model: want.model.clone() };
    let urgency = Urgency { order: want.order, patience: want.deadline.remaining(cx.now) };
    beside.pacing.request(cx, &key, urgency) == Slot::Granted
}

/// Sends a load once the weight store has a share for it and no other load is unanswered.
fn begin(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    beside: &mut Beside<'_>,
    permit: Permit,
    want: &Want,
    load: Order,
) -> Begun {
    let is_free = match load {
        Order::LoadAdapter { .. } => engine.is_free_for_adapter_orders(),
        _ => engine.is_free_for_orders() || turnaround::room(engine, cx.now).is_some(),
    };
    if engine.ledger.awaits_answer() || !is_free {
        return Begun::No;
    }
    let is_paced = !engine.is_one_by_one() || matches!(load, Order::Load { .. }) && needs_share(engine, want);
    if is_paced && !has_share(cx, engine, beside, want) {
        return Begun::No;
    }
    let begins = cx.now.after(turnaround::unload_remaining(engine, cx.now, beside.load_times));
    let expected = begins.after(beside.load_times.on(cx, engine, &want.model));
    if want.cause == Cause::Ahead
        && let Some(last) = beside.history.last(&want.model)
    {
        engine.prewarmed.insert(want.model.clone(), last);
    }
    if matches!(load, Order::Load { .. }) {
        engine.last_load = cx.now;
        engine.loads.insert(
            want.model.clone(),
            LoadProgress { started: cx.now, begins, expected, checked: cx.now, is_from_store: is_paced },
        );
    }
    if engine.ledger.accepted_unload().is_none() {
        note_started(cx, engine, want, &load);
    }
    engine.send(cx, permit, None, load);
    if is_paced {
        beside.pacing.started(&LoadKey { engine: engine.id.clone(), model: want.model.clone() });
    }
    beside.tally.loads += 1;
    Begun::Yes
}

fn note_started(cx: &mut Cx<'_>, engine: &Engine, want: &Want, load: &Order) {
    let what = match load {
        Order::LoadAdapter { model, adapter, .. } => format!("{model}/{adapter}"),
        _ => want.model.to_string(),
    };
    let copy = if engine.has_copy(&want.model) { "here" } else { "none" };
    cx.log_event(
        "load_started",
        format!("{what}@{}", engine.id),
        format!("cause={} order={} waiting={} copy={copy}", want.cause, want.order, want.waiting),
    );
}

/// Takes note that a load has begun, which it may do some time after it was ordered first.
pub(crate) fn note_accepted(cx: &Cx<'_>, engine: &mut Engine, model: &ModelName) {
    let Some(load) = engine.loads.get_mut(model) else { return };
    load.expected = cx.now.after(load.expected.since(load.begins));
    load.begins = cx.now;
}

/// Takes note of loads that have ended, as the engine's report shows them.
///
/// Returns the models that can be used since now.
pub(crate) fn note_ended(cx: &mut Cx<'_>, engine: &mut Engine, beside: &mut Beside<'_>) -> Vec<ModelName> {
    let mut served = Vec::new();
    let Some(report) = engine.report() else { return served };
    let ready: Vec<ModelName> =
        report.models.iter().filter(|m| m.state == LoadState::Ready).map(|m| m.model.clone()).collect();
    engine.ready_since.retain(|model, _| ready.contains(model));
    engine.stays_until.retain(|model, until| ready.contains(model) && !until.is_due(cx.now));
    for model in ready {
        engine.failures.remove(&model);
        engine.ready_since.entry(model.clone()).or_insert(cx.now);
        let Some(load) = engine.loads.remove(&model) else { continue };
        let took = cx.now.since(load.started);
        if engine.is_one_by_one() {
            served.push(model.clone());
        }
        if let Some(need) = beside.demand.of_model(&model) {
            beside.history.felt(&model, need.waiting);
        }
        // A process that was paused in the middle notices the end late. Were that
        // taken for the load's length, callers would be refused for want of time
        // although the model loads as fast as ever.
        if cx.now.since(load.checked) <= MEASURABLE_GAP && load.is_from_store {
            beside.load_times.measured(&model, took);
        }
        if engine.is_one_by_one() && load.is_from_store {
            engine.stays_until.insert(model.clone(), cx.now.after(took / STAY_PART));
        }
        let source = if load.is_from_store { "store" } else { "copy" };
        let waiting = beside.demand.of_model(&model).map_or(0, |need| need.waiting);
        let detail = format!("took_ms={} source={source} waiting={waiting}", took.as_millis());
        cx.log_event("load_ended", format!("{model}@{}", engine.id), detail);
    }
    for load in engine.loads.values_mut() {
        load.checked = cx.now;
    }
    let gone: Vec<ModelName> = engine.loads.keys().cloned().collect();
    for model in gone {
        if engine.model(&model).is_none() && !engine.ledger.concerns(&model) {
            failed(cx, engine, beside.tally, &model, "the engine doesn't show it any more");
        }
    }
    served
}

/// Takes note of a load that failed; the next try waits longer after every failure.
pub(crate) fn failed(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    tally: &mut Tally,
    model: &ModelName,
    reason: &str,
) {
    engine.loads.remove(model);
    tally.failed += 1;
    let count = engine.failures.get(model).map_or(0, |failures| failures.count).saturating_add(1);
    let pause = FIRST_RETRY.saturating_mul(1 << count.min(MAX_DOUBLINGS));
    engine.failures.insert(model.clone(), Failures { count, retry: cx.now.after(pause) });
    cx.log_event("load_failed", format!("{model}@{}", engine.id), format!("count={count} reason={reason}"));
}

/// Tells whether the engine is busy with a load of the model or of its adapters, or may be.
pub(crate) fn is_running(engine: &Engine, model: &ModelName) -> bool {
    let loading = |order: &Order| matches!(order, Order::Load { .. } | Order::LoadAdapter { .. });
    is_shown_loading(engine, model)
        || engine.loads.contains_key(model)
        || engine.ledger.find(model, loading).is_some()
}

/// Tells whether a load of the model or of its adapters uses the weight store.
///
/// An order in doubt does only while the engine says that it is busy. Otherwise it
/// may never have arrived, and it stays in doubt for as long as the engine can't be
/// reached or nobody asks for what it loads. Where the store runs one load at a
/// time, no host could fetch any model meanwhile, though every engine is idle.
pub(crate) fn uses_store(engine: &Engine, model: &ModelName) -> bool {
    let may_be_loading = || engine.report().is_some_and(|report| report.busy) && is_running(engine, model);
    is_shown_loading(engine, model) || engine.ledger.is_loading(model) || may_be_loading()
}

/// Returns the models that the engine loads from the weight store now.
pub(crate) fn from_store(engine: &Engine) -> impl Iterator<Item = &ModelName> {
    let loads = engine.loads.iter().filter(|(_, load)| load.is_from_store);
    loads.map(|(model, _)| model).filter(|model| uses_store(engine, model))
}

fn is_shown_loading(engine: &Engine, model: &ModelName) -> bool {
    engine.model(model).is_some_and(|seen| {
        seen.state == LoadState::Loading || seen.adapters.iter().any(|adapter| !adapter.ready)
    })
}
