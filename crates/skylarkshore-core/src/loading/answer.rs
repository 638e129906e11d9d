//! Whether those who wait for a model can be served in time.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::Beside;
use crate::loading::demand::{Need, Wanted};
use crate::loading::engine::Engine;
use crate::loading::gate::LoadKey;
use crate::loading::load;
use crate::loading::turnaround;
use crate::loading::wants::{self, Cause, Want};
use crate::peer::{CannotLoad, PeerMessage};
use crate::time::Time;
use crate::upstream::LoadState;

/// How long it takes at most to learn what an engine holds, as a rule.
const SURVEY_TIME: Duration = Duration::from_secs(1);
/// How long room and power take to become free, as a rule.
const MAKE_ROOM_TIME: Duration = Duration::from_secs(10);
/// When to ask again for what others hold.
const RETRY_SHORT: Duration = Duration::from_secs(5);
/// The share of a load time that a load is taken to last yet when it takes longer than expected.
const OVERDUE_SHARE: u32 = 10;

/// How long an engine counts as unable to load anything.
const UNABLE: Duration = Duration::from_secs(30);
/// How many loads may fail in a row before nobody is left to wait for the next.
const HOPELESS_FAILURES: u32 = 5;

/// What an engine can do for those who wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// They are served within their patience.
    InTime,
    /// They can't be served in time.
    Not {
        /// Why.
        reason: CannotLoad,
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Judges whether an engine will serve those who wait at one router in time.
pub(crate) fn assess(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, wanted: &Wanted<'_>) -> Verdict {
    let model = &wanted.target.model;
    if wanted.waiting == 0 || is_usable(cx, engine, wanted) {
        return Verdict::InTime;
    }
    if engine.is_silent(cx.now, cx.cfg.timings.engine_timeout) {
        return Verdict::Not { reason: CannotLoad::EngineUnreachable, retry_after: RETRY_SHORT };
    }
    if beside.authority.permit(cx.now, &engine.id).is_none() {
        return Verdict::Not { reason: CannotLoad::OwnershipInDoubt, retry_after: RETRY_SHORT };
    }
    let load_time = beside.load_times.on(cx, engine, model);
    let load = if engine.model(model).is_some_and(|seen| seen.state != LoadState::Unloading) {
        remaining(cx, engine, beside, wanted)
    } else {
        load_time + store_wait(cx, engine, beside, model)
    };
    if let Some(failures) = engine.failures.get(model) {
        let retry = failures.retry.remaining(cx.now);
        let hopeless = if failures.count < HOPELESS_FAILURES { load } else { Duration::MAX };
        return within(wanted, hopeless.saturating_add(retry), CannotLoad::EngineRefuses, retry);
    }
    let takes = load + delay(cx, engine, beside, model);
    if engine.report().is_some() && !load::has_power(engine, beside) {
        return within(wanted, takes, CannotLoad::Power, RETRY_SHORT);
    }
    if engine.crowded.contains(model) {
        return within(wanted, takes, CannotLoad::Memory, RETRY_SHORT);
    }
    within(wanted, takes, CannotLoad::TooSlow, takes)
}

/// Estimates when a model could be used on an engine that takes one order at a time.
///
/// What goes before it counts, but not what it goes before itself. If all that
/// waits were counted, each model would seem as far away as the last of them,
/// and callers would be refused who could be served. The times are those that
/// loads and unloads have taken of late: with a run of 2.5 s assumed in front of
/// each load, where runs last 0.4 s, two of three refusals were wrong.
pub(crate) fn expected(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    own: &Need,
) -> Duration {
    if engine.is_silent(cx.now, cx.cfg.timings.engine_timeout)
        || engine.report().is_none()
        || engine.is_leaving()
        || beside.authority.permit(cx.now, &engine.id).is_none()
    {
        return UNABLE;
    }
    if engine.model(model).is_some() || engine.loads.contains_key(model) {
        return engine.loads.get(model).map_or(Duration::ZERO, |load| load.remaining(cx.now));
    }
    let own = wants::rank_of(cx, engine, beside, model, own);
    let goes_first = |other: &ModelName| {
        let need = beside.demand.of_model(other);
        need.is_some_and(|need| wants::rank_of(cx, engine, beside, other, &need) < own)
    };
    let waiting = beside.demand.models();
    let ahead = waiting.iter().filter(|other| {
        let is_absent =
            *other != model && engine.model(other).is_none() && !engine.loads.contains_key(*other);
        is_absent && beside.authority.is_home(&engine.id, other) && goes_first(other)
    });
    let swap = |model: &ModelName| beside.load_times.unload() + beside.load_times.on(cx, engine, model);
    let ahead: Duration = ahead.map(swap).sum();
    (in_progress(cx, engine, beside) + ahead).max(store_wait(cx, engine, beside, model))
        + room(cx, engine, beside, model)
        + beside.load_times.on(cx, engine, model)
}

/// Estimates when a model could be used on an engine, and adds what its load costs others.
///
/// A load from the weight store keeps the engine from any other for seconds, in
/// which it could make ten swaps from its own disk. Of two engines on which a
/// model would be ready at about the same time, the one with a copy had better
/// load it.
pub(crate) fn price(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    own: &Need,
) -> Duration {
    let ready = expected(cx, engine, beside, model, own);
    let is_there = engine.model(model).is_some() || engine.loads.contains_key(model);
    if is_there || engine.has_copy(model) { ready } else { ready + beside.load_times.of(cx, model) }
}

/// Returns how long a load has to wait until the weight store has a share for it.
fn store_wait(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, model: &ModelName) -> Duration {
    if engine.is_one_by_one() && engine.has_copy(model) {
        return Duration::ZERO;
    }
    let key = LoadKey { engine: engine.id.clone(), model: model.clone() };
    beside.pacing.expected_wait(cx, &key)
}

/// Returns how long the order in progress is expected to last yet.
fn in_progress(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>) -> Duration {
    let load = engine.loads.values().map(|load| load.remaining(cx.now)).max();
    load.unwrap_or_else(|| turnaround::unload_remaining(engine, cx.now, beside.load_times))
}

/// Returns how long it takes to make room for a model.
fn room(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, model: &ModelName) -> Duration {
    let Some(known) = cx.document.catalogue.models.get(model) else { return Duration::ZERO };
    let is_free = known.footprint() <= engine.free_memory();
    if is_free { Duration::ZERO } else { beside.load_times.unload() }
}

/// Returns how long a load has to wait before it begins, for all but the weight store.
fn delay(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, model: &ModelName) -> Duration {
    if engine.report().is_none() {
        return SURVEY_TIME;
    }
    if !load::has_power(engine, beside) || engine.crowded.contains(model) {
        return MAKE_ROOM_TIME;
    }
    // Routers are given time before what makes room is unloaded.
    if engine.closing.is_empty() { Duration::ZERO } else { cx.cfg.timings.close_grace }
}

/// Works out when the models that requests wait for should be ready, for the routers' views.
///
/// A router that hears nothing of a model for some seconds has to take it that
/// nobody looks after it, and refuses its requests.
pub(crate) fn plan(cx: &Cx<'_>, engine: &mut Engine, beside: &Beside<'_>, wants: &[Want]) {
    let mut planned = OrderedMap::new();
    for want in wants.iter().filter(|want| want.cause == Cause::Waiting) {
        let model = &want.model;
        if engine.model(model).is_some() || engine.loads.contains_key(model) {
            continue;
        }
        let takes = if engine.is_one_by_one() {
            let aim = want.aim.unwrap_or(Time::NEVER);
            let Want { order, deadline, waiting, .. } = *want;
            expected(cx, engine, beside, model, &Need { order, deadline, aim, waiting })
        } else {
            beside.load_times.on(cx, engine, model)
                + store_wait(cx, engine, beside, model)
                + delay(cx, engine, beside, model)
        };
        planned.insert(model.clone(), cx.now.after(takes));
    }
    engine.planned = planned;
}

fn is_usable(cx: &Cx<'_>, engine: &Engine, wanted: &Wanted<'_>) -> bool {
    let model = &wanted.target.model;
    engine.is_ready(model)
        && wanted.target.adapter.as_ref().is_none_or(|adapter| engine.has_adapter(cx.now, model, adapter))
}

/// Returns how long a load that has begun is expected to last yet.
fn remaining(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, wanted: &Wanted<'_>) -> Duration {
    let least = beside.load_times.on(cx, engine, &wanted.target.model) / OVERDUE_SHARE;
    let load = engine.loads.get(&wanted.target.model);
    load.map_or(least, |load| load.remaining(cx.now).max(least))
}

fn within(wanted: &Wanted<'_>, takes: Duration, reason: CannotLoad, retry_after: Duration) -> Verdict {
    if takes <= wanted.patience { Verdict::InTime } else { Verdict::Not { reason, retry_after } }
}

/// Returns what a router is told when no engine here serves those who wait there.
pub(crate) fn refusal(verdicts: &[Verdict], wanted: &Wanted<'_>) -> Option<PeerMessage> {
    let mut refusal = (CannotLoad::NotOwner, Duration::ZERO);
    for verdict in verdicts {
        match verdict {
            Verdict::InTime => return None,
            Verdict::Not { reason, retry_after } => refusal = (reason.clone(), *retry_after),
        }
    }
    let (reason, retry_after) = refusal;
    Some(PeerMessage::CannotLoad { target: wanted.target.clone(), reason, retry_after })
}
