//! Computes how many replicas a model in constant use, a hot model, needs, and on
//! which of its homes. See [`review_hot`].

use crate::cx::Cx;
use crate::id::{ModelName, UpstreamId};
use crate::loading::DecisionContext;
use crate::loading::engine::Engine;
use crate::store::HomesRecord;
use crate::units::Mebibytes;
use crate::upstream::UpstreamStatus;

/// Requests per second from which a model is hot and gets a second replica.
///
/// From this rate on, the requests that would wait for a load after the loss of the
/// only replica outweigh the memory of a second one.
const HOT_RATE: f64 = 1.0;
/// Minimum number of replicas of a hot model.
const HOT_REPLICAS: u32 = 2;
/// A model with fewer than its required replicas divided by this is under-replicated.
const UNDER_REPLICATED_DIVISOR: u32 = 2;
/// A hot model whose weights are on fewer engines than this is under-replicated.
const MIN_COPIES: usize = 2;
/// Share of late answers above which a model needs one more replica.
const LATE_SHARE: f64 = 0.15;
/// Share of late answers above which a model is under-replicated.
const CRITICAL_LATE_SHARE: f64 = 0.4;
/// Utilization of a replica's concurrency above which one more replica is needed.
///
/// Concurrent requests slow each other down, and prefill interrupts the decoding of
/// all. Utilization is measured in request time, so that models with slow generation
/// get enough replicas.
const TARGET_UTILIZATION: f64 = 0.4;
/// Divisor of the engine memory available to hot models.
///
/// If they could use all of it, the rarely used models whose home is this engine
/// could never be loaded.
const HOT_MEMORY_DIVISOR: u64 = 2;

/// Updates the hot models that this engine has to hold, and which are under-replicated.
pub(crate) fn review_hot(cx: &Cx<'_>, engine: &mut Engine, context: &DecisionContext<'_>) {
    engine.hot.clear();
    engine.under_replicated.clear();
    if !engine.is_sequential() {
        return;
    }
    let mut frequent: Vec<(f64, ModelName)> = context
        .usage
        .models_above(cx.now, HOT_RATE)
        .map(|model| (context.usage.request_rate(cx.now, model), model.clone()))
        .collect();
    frequent.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let mut room = Mebibytes(engine.memory().0 / HOT_MEMORY_DIVISOR);
    for (_, model) in frequent {
        let Some(known) = cx.document.catalogue.models.get(&model) else { continue };
        let Some((_, homes)) = cx.cache.homes(&model) else { continue };
        let wanted = replicas_for(cx, engine, context, &model, homes);
        let is_within_wanted = usable_homes_before(cx, engine, homes).is_some_and(|before| before < wanted);
        let fits = engine.hot.is_empty() || known.footprint() <= room;
        if homes.engines.contains(&engine.id) && is_within_wanted && fits {
            room = room.saturating_sub(known.footprint());
            if is_under_replicated(cx, engine, context, &model, homes) {
                engine.under_replicated.insert(model.clone());
            }
            engine.hot.insert(model);
        }
    }
}

/// Reports whether the next replica of a hot model has to be loaded before all else.
///
/// If one engine holds a model in constant use and no other has a copy, all callers
/// wait for the weight store when that engine leaves. During a rolling replacement,
/// where new engines served single callers first, 42 callers a second waited for six
/// seconds.
fn is_under_replicated(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    homes: &HomesRecord,
) -> bool {
    cx.upstreams.engines_with_weights(model).take(MIN_COPIES).count() < MIN_COPIES
        || context.usage.late_share(cx.now, model) > CRITICAL_LATE_SHARE
        || holders(cx, model, homes) * UNDER_REPLICATED_DIVISOR
            < replicas_by_use(cx, engine, context, model, homes)
}

/// Reports whether unloading the model would make more callers wait than the
/// `waiting` ones, who wait now for the model that would take its place.
///
/// The first homes that hold the model keep as many replicas as it needs. Recency is
/// not sufficient: a model with forty requests a second on its only replica was
/// evicted for one with a single, slightly later request, and the forty callers of
/// the next second waited for its return.
pub(crate) fn is_needed_more(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    waiting: u32,
) -> bool {
    let rate = context.usage.request_rate(cx.now, model);
    let absence = context.load_times.expected_unload() + context.load_times.expected_on(cx, engine, model);
    if !engine.is_sequential() || rate * absence.as_secs_f64() < f64::from(waiting.max(1)) {
        return false;
    }
    let Some((_, homes)) = cx.cache.homes(model) else { return true };
    let earlier = homes.engines.iter().take_while(|home| **home != engine.id);
    let holding = earlier.filter(|home| is_holding(cx, home, model));
    u32::try_from(holding.count()).unwrap_or(u32::MAX) < replicas_by_use(cx, engine, context, model, homes)
}

/// Reports whether a live engine holds a model, according to the host list.
fn is_holding(cx: &Cx<'_>, engine: &UpstreamId, model: &ModelName) -> bool {
    let known = cx.upstreams.get(engine).filter(|known| known.status == UpstreamStatus::Live);
    known.is_some_and(|known| known.holds.contains(model))
}

/// Returns how many of a model's homes hold it.
fn holders(cx: &Cx<'_>, model: &ModelName, homes: &HomesRecord) -> u32 {
    let holding = homes.engines.iter().filter(|home| is_holding(cx, home, model));
    u32::try_from(holding.count()).unwrap_or(u32::MAX)
}

/// Returns how many replicas a model's request rate justifies.
pub(crate) fn replicas_for(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    homes: &HomesRecord,
) -> u32 {
    if context.usage.request_rate(cx.now, model) < HOT_RATE {
        return 1;
    }
    replicas_by_use(cx, engine, context, model, homes).max(HOT_REPLICAS)
}

/// Returns how many replicas a model's requests keep busy.
///
/// If engines answer late, one more replica helps whatever the measured work: long
/// prompts or other models on the same engines may be the cause.
fn replicas_by_use(
    cx: &Cx<'_>,
    engine: &Engine,
    context: &DecisionContext<'_>,
    model: &ModelName,
    homes: &HomesRecord,
) -> u32 {
    let capacity = f64::from(engine.concurrency()) * TARGET_UTILIZATION;
    let running = context.usage.running(cx.now, model);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "such numbers are small and positive"
    )]
    let replicas = (running / capacity.max(1.0)).ceil() as u32;
    let is_late = context.usage.late_share(cx.now, model) > LATE_SHARE;
    if is_late { replicas.max(holders(cx, model, homes) + 1) } else { replicas.max(1) }
}

/// Reports whether the engine is the last of a model's homes that can load it.
pub(crate) fn is_last(cx: &Cx<'_>, engine: &Engine, homes: &HomesRecord) -> bool {
    usable(cx, engine, homes).last() == Some(&engine.id)
}

/// Returns how many homes that can load the model come before the engine; none if
/// it is not a home.
pub(crate) fn usable_homes_before(cx: &Cx<'_>, engine: &Engine, homes: &HomesRecord) -> Option<u32> {
    usable(cx, engine, homes).zip(0..).find(|(home, _)| **home == engine.id).map(|(_, before)| before)
}

fn usable<'a>(
    cx: &'a Cx<'_>,
    engine: &'a Engine,
    homes: &'a HomesRecord,
) -> impl Iterator<Item = &'a UpstreamId> {
    homes.engines.iter().filter(|home| {
        let live = cx.upstreams.get(home).is_some_and(|upstream| upstream.status == UpstreamStatus::Live);
        let owned = cx.cache.owner(home).is_some_and(|(_, owner)| cx.cache.member(&owner.host).is_some());
        **home == engine.id || live && owned
    })
}
