//! Unloads: which models leave an engine, and when nobody uses them any more.

use std::cmp::Reverse;
use std::time::Duration;

use crate::authority::Permit;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::Beside;
use crate::loading::engine::{Engine, memory_of};
use crate::loading::policy::{self, Stay};
use crate::loading::replicas;
use crate::loading::shortage::Margin;
use crate::loading::stages::{CloseReason, Closing};
use crate::loading::wants::{self, Cause, Want};
use crate::rules::{IdleAfter, RuleOutcome, ServiceOrder};
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{LoadState, Order, ReportedModel};

/// After how long room that nobody asks for any more is given back.
const ROOM_LIFE: Duration = Duration::from_secs(1);
/// How long a model has to be unused to make way for a copy that nobody waits for yet.
const COPY_PATIENCE: Duration = Duration::from_secs(2);
/// How long an engine that was just used keeps its power, whoever calls for it.
const BURST_PAUSE: Duration = Duration::from_secs(5);
/// How long to wait before an unload whose answer was lost is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(500);

/// Decides which models are to leave, and takes back what is needed after all.
pub(crate) fn decide(cx: &mut Cx<'_>, engine: &mut Engine, beside: &Beside<'_>, wants: &[Want]) {
    let Some(report) = engine.report() else { return };
    let ready: Vec<ReportedModel> =
        report.models.iter().filter(|seen| seen.state == LoadState::Ready).cloned().collect();
    engine.closing.retain(|model, _| ready.iter().any(|seen| seen.model == *model));
    for seen in &ready {
        let known = engine.closing.get(&seen.model).copied();
        let wanted = wants.iter().any(|want| want.model == seen.model);
        match (reason(cx, engine, beside, seen, wanted), known) {
            (Some(reason), None) => close(cx, engine, &seen.model, reason, None),
            (None, Some(closing)) if may_reopen(cx, engine, beside, &seen.model, &closing) => {
                engine.closing.remove(&seen.model);
            }
            _ => {}
        }
    }
}

fn close(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    model: &ModelName,
    reason: CloseReason,
    room_for: Option<ServiceOrder>,
) {
    cx.log_event("model_closing", format!("{model}@{}", engine.id), format!("reason={reason}"));
    engine.closing.insert(model.clone(), Closing { since: cx.now, reason, room_for, needed: cx.now });
}

/// Returns why a ready model has to leave, apart from others that need its memory.
fn reason(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    seen: &ReportedModel,
    wanted: bool,
) -> Option<CloseReason> {
    let Some(known) = cx.document.catalogue.models.get(&seen.model) else {
        return Some(CloseReason::NoHome);
    };
    // Where engines hold models from before, the first homes are yet to be written.
    // Were those models taken for surplus, a fresh deployment would begin empty.
    let is_placed = !engine.is_one_by_one() || cx.cache.homes(&seen.model).is_some();
    if !is_placed {
        return None;
    }
    // A home that is only unconfirmed isn't lost. After an engine has changed
    // hands its homes are written anew one by one; were its models taken for
    // homeless meanwhile, each take-over would empty the engine.
    if beside.authority.must_unload(&engine.id, &seen.model) && !may_become_home(cx, engine, beside, seen) {
        return Some(CloseReason::Surplus);
    }
    if seen.version != known.version {
        return Some(CloseReason::Version);
    }
    let is_used = wanted || seen.running > 0 || beside.demand.of_model(&seen.model).is_some();
    (!is_used && engine.unneeded.contains(&seen.model)).then_some(CloseReason::Idle)
}

/// Tells whether the engine holds the model from before and is about to become its home.
fn may_become_home(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, seen: &ReportedModel) -> bool {
    let holds = cx.upstreams.get(&engine.id).is_some_and(|listed| listed.is_live_holder(&seen.model));
    let Some((_, homes)) = cx.cache.homes(&seen.model) else { return false };
    let most = wants::rule(cx, engine, beside, &seen.model).replicas_max as usize;
    engine.is_one_by_one() && holds && !homes.evicted_from.contains(&engine.id) && homes.engines.len() < most
}

/// Works out which idle models the policy would rather unload.
pub(crate) fn review_idle(cx: &Cx<'_>, engine: &mut Engine, beside: &Beside<'_>, wants: &[Want]) {
    let Some(report) = engine.report() else { return };
    let is_used = |seen: &&ReportedModel| {
        seen.state != LoadState::Ready
            || seen.running > 0
            || wants.iter().any(|want| want.model == seen.model)
            || beside.demand.of_model(&seen.model).is_some()
    };
    let is_awake_anyway = report.models.iter().any(|seen| is_used(&seen));
    let idle = report.models.iter().filter(|seen| !is_used(seen));
    let mut unneeded = OrderedSet::new();
    let mut staying = Vec::new();
    let mut must_stay = is_awake_anyway;
    for seen in idle {
        let outcome = wants::rule(cx, engine, beside, &seen.model);
        match outcome.idle_after {
            IdleAfter::Fixed(idle) if last_use(engine, beside, &seen.model).after(idle).is_due(cx.now) => {
                unneeded.insert(seen.model.clone());
            }
            IdleAfter::Fixed(_) | IdleAfter::Never => must_stay = true,
            IdleAfter::Adaptive => {
                staying.push((seen.model.clone(), stay(cx, engine, beside, &seen.model, outcome)));
            }
        }
    }
    let margin =
        engine.site.as_ref().map_or(Margin::Times(1.0), |site| beside.shortages.margin(cx.now, site));
    let stays: Vec<Stay> = staying.iter().map(|(_, stay)| stay.clone()).collect();
    if margin == Margin::Unreachable && !is_awake_anyway && !was_just_used(cx.now, engine) {
        unneeded.extend(report.models.iter().map(|seen| seen.model.clone()));
    } else if !must_stay && !policy::is_worth_staying(&stays, margin) {
        unneeded.extend(staying.into_iter().map(|(model, _)| model));
    }
    engine.unneeded = unneeded;
}

/// Tells whether more requests of a burst may still be on their way.
fn was_just_used(now: Time, engine: &Engine) -> bool {
    let ready = engine.ready_since.values();
    engine.last_busy.values().chain(ready).any(|used| !used.after(BURST_PAUSE).is_due(now))
}

fn stay(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, model: &ModelName, outcome: &RuleOutcome) -> Stay {
    let used = beside.history.last(model);
    let since = used.unwrap_or_else(|| last_use(engine, beside, model));
    let load_time = beside.load_times.on(cx, engine, model);
    Stay::new(beside.history, model, outcome, load_time, cx.now.since(since))
}

/// Returns when the model was last used here, or became ready.
fn last_use(engine: &Engine, beside: &Beside<'_>, model: &ModelName) -> Time {
    let arrived = beside.history.last(model);
    let busy = engine.last_busy.get(model).copied();
    let ready = engine.ready_since.get(model).copied();
    arrived.max(busy).max(ready).unwrap_or(engine.acquired)
}

/// Tells whether a closing model may be used again: it is wanted, and no unload is on its way.
fn may_reopen(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    closing: &Closing,
) -> bool {
    if engine.ledger.concerns(model) {
        return false;
    }
    let need = beside.demand.of_model(model);
    match (closing.reason, closing.room_for) {
        (CloseReason::Memory, Some(order)) => {
            need.is_some_and(|need| need.order <= order) || closing.needed.after(ROOM_LIFE).is_due(cx.now)
        }
        _ => true,
    }
}

/// Tells whether closing idle models would free `missing` memory.
pub(crate) fn can_make_room(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    want: &Want,
    missing: Mebibytes,
) -> bool {
    let missing = missing.saturating_sub(on_its_way(engine));
    let victims = victims(cx, engine, beside, want);
    victims.values().copied().sum::<Mebibytes>() >= missing
}

/// Closes idle models until `missing` memory will be free; tells whether that will be enough.
pub(crate) fn make_room(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    beside: &Beside<'_>,
    want: &Want,
    missing: Mebibytes,
) -> bool {
    let coming = on_its_way(engine);
    for closing in engine.closing.values_mut() {
        closing.needed = cx.now;
    }
    let mut missing = missing.saturating_sub(coming);
    if missing == Mebibytes(0) {
        return true;
    }
    let victims = victims(cx, engine, beside, want);
    if victims.values().copied().sum::<Mebibytes>() < missing {
        return false;
    }
    for (victim, memory) in victims {
        if missing == Mebibytes(0) {
            break;
        }
        missing = missing.saturating_sub(memory);
        close(cx, engine, &victim.model, CloseReason::Memory, Some(want.order));
    }
    true
}

/// Returns the memory of the models that are on their way out.
fn on_its_way(engine: &Engine) -> Mebibytes {
    let Some(report) = engine.report() else { return Mebibytes(0) };
    let leaving = report
        .models
        .iter()
        .filter(|seen| seen.state == LoadState::Unloading || engine.closing.contains_key(&seen.model));
    leaving.map(memory_of).sum()
}

/// A model that may make room, ordered by how little its callers lose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    /// Those served last come first.
    order: Reverse<ServiceOrder>,
    /// What staying saves for each gibibyte, in milliseconds of an idle accelerator.
    value: u64,
    last_use: Time,
    model: ModelName,
}

fn victims(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, want: &Want) -> OrderedMap<Victim, Mebibytes> {
    let Some(report) = engine.report() else { return OrderedMap::new() };
    let idle = report.models.iter().filter(|seen| {
        seen.state == LoadState::Ready
            && seen.running == 0
            && seen.model != want.model
            && !engine.closing.contains_key(&seen.model)
    });
    idle.filter_map(|seen| {
        let outcome = wants::rule(cx, engine, beside, &seen.model);
        let order = outcome.order;
        let waiting = beside.demand.of_model(&seen.model);
        let kept = engine.kept.contains(&seen.model);
        let is_weaker = match waiting {
            _ if want.cause == Cause::Ahead => false,
            _ if engine.stays_until.contains_key(&seen.model) => false,
            _ if want.cause == Cause::Copy => {
                waiting.is_none()
                    && !kept
                    && !engine.hot.contains(&seen.model)
                    && engine.has_copy(&seen.model)
                    && !is_widely_held(cx, &seen.model)
                    && last_use(engine, beside, &seen.model).after(COPY_PATIENCE).is_due(cx.now)
            }
            _ if engine.hot.contains(&seen.model) => false,
            _ if replicas::is_needed_more(cx, engine, beside, &seen.model, want.waiting) => false,
            Some(need) => want.waiting > 0 && want.order < need.order,
            None if kept => want.waiting > 0 && want.order < order,
            None => true,
        };
        let last_use = last_use(engine, beside, &seen.model);
        let memory = memory_of(seen);
        let value = value_per_gibibyte(&stay(cx, engine, beside, &seen.model, outcome), memory);
        let victim = Victim { order: Reverse(order), value, last_use, model: seen.model.clone() };
        is_weaker.then_some((victim, memory))
    })
    .collect()
}

/// Tells whether other engines hold the model as well.
///
/// Where engines come with models, those that are on several are asked for
/// often, which no process has seen yet when it starts. Were they unloaded for
/// copies of rarely used ones, the first callers of the former would all wait.
fn is_widely_held(cx: &Cx<'_>, model: &ModelName) -> bool {
    cx.upstreams.holders(model).nth(1).is_some()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "only the order of the values counts"
)]
fn value_per_gibibyte(stay: &Stay, memory: Mebibytes) -> u64 {
    const MILLIS_PER_MEBIBYTE: f64 = 1000.0 * 1024.0;
    (stay.value() * MILLIS_PER_MEBIBYTE / memory.0.max(1) as f64) as u64
}

/// Unloads closing models once routers have had time to stop and nothing runs any more.
pub(crate) fn unload_drained(cx: &mut Cx<'_>, engine: &mut Engine, beside: &mut Beside<'_>, permit: Permit) {
    let closing: Vec<(ModelName, Closing)> = engine.closing.iter().map(|(m, c)| (m.clone(), *c)).collect();
    for (model, closing) in closing {
        if let Some(unsettled) = engine.ledger.find(&model, |order| matches!(order, Order::Unload { .. })) {
            if unsettled.resend && unsettled.sent.after(RESEND_AFTER).is_due(cx.now) {
                let (id, action) = (unsettled.id, unsettled.action.clone());
                engine.send(cx, permit, Some(id), action);
            }
            continue;
        }
        if engine.ledger.concerns(&model) || !engine.is_free_for_orders() {
            continue;
        }
        if !engine.is_one_by_one() && !is_drained(cx, engine, &model, &closing) {
            continue;
        }
        engine.send(cx, permit, None, Order::Unload { model: model.clone() });
        note_unloaded(cx, engine, beside, &model, closing.reason);
    }
}

/// Notes an unload, with what shows whether the load before it was of use to anybody.
fn note_unloaded(
    cx: &mut Cx<'_>,
    engine: &Engine,
    beside: &mut Beside<'_>,
    model: &ModelName,
    reason: CloseReason,
) {
    let ready = engine.ready_since.get(model).copied();
    let is_used = beside.usage.last_worked(model).zip(ready).is_some_and(|(worked, ready)| worked >= ready);
    let ready_for = ready.map_or(Duration::ZERO, |ready| cx.now.since(ready)).as_millis();
    let waiting = beside.demand.of_model(model).map_or(0, |need| need.waiting);
    let detail = format!("reason={reason} ready_for_ms={ready_for} used={is_used} waiting={waiting}");
    cx.log_event("model_unloaded", format!("{model}@{}", engine.id), detail);
    beside.tally.unloads += 1;
    beside.tally.unused += u64::from(!is_used);
}

/// Tells whether a report, asked for after routers had time to stop, shows that nothing runs.
///
/// The report's load figures lag; one that was asked for too early would miss a
/// request that a router had sent just before it heard of the closing, and that
/// request would be cut off.
fn is_drained(cx: &Cx<'_>, engine: &Engine, model: &ModelName, closing: &Closing) -> bool {
    let Some(seen) = &engine.seen else { return false };
    let stopped = closing.since.after(cx.cfg.timings.close_grace).after(seen.report.lag);
    seen.asked >= stopped && engine.model(model).is_some_and(|seen| seen.running == 0)
}
