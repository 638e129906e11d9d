//! How many replicas models in constant use are worth, and on which engines these are.

use crate::cx::Cx;
use crate::id::{ModelName, UpstreamId};
use crate::loading::Beside;
use crate::loading::engine::Engine;
use crate::store::HomesRecord;
use crate::units::Mebibytes;
use crate::upstream::UpstreamStatus;

/// From how many requests a second on a model has a second replica.
///
/// At this rate the requests that a lost replica would keep waiting for a load
/// are worth more than the memory of the second one.
const HOT_RATE: f64 = 1.0;
/// How many replicas such a model has at least.
const HOT_REPLICAS: u32 = 2;
/// The part of a model's replicas below which the others are loaded before all else, as its inverse.
const SCARCE_SHARE: u32 = 2;
/// On how many engines a model in constant use has at least a copy.
const COPIES_LEAST: usize = 2;
/// From which share of answers on that engines begin late a model has too few replicas.
const LATE_SHARE: f64 = 0.15;
/// From which share on a further replica is loaded before all else.
const SCARCE_LATE_SHARE: f64 = 0.4;
/// How full a replica may be, as a share of the requests that it runs at a time, before one more helps.
///
/// Requests that run beside each other slow each other down, and prompts are
/// read between the steps of all. Counted by the time that requests take, models
/// that make tokens slowly get as many replicas as their work needs.
const FULL_SHARE: f64 = 0.4;
/// Into how many parts an engine's memory is divided, of which one is for models that are asked for often.
///
/// Were all of it theirs, none of the rarely used models that have their home
/// there could ever be loaded.
const HOT_SHARE: u64 = 2;

/// Works out which models are asked for so often that this engine has to hold them beside others.
pub(crate) fn review_hot(cx: &Cx<'_>, engine: &mut Engine, beside: &Beside<'_>) {
    engine.hot.clear();
    engine.scarce.clear();
    if !engine.is_one_by_one() {
        return;
    }
    let mut often: Vec<(f64, ModelName)> = beside
        .usage
        .above(cx.now, HOT_RATE)
        .map(|model| (beside.usage.per_second(cx.now, model), model.clone()))
        .collect();
    often.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let mut room = Mebibytes(engine.memory().0 / HOT_SHARE);
    for (_, model) in often {
        let Some(known) = cx.document.catalogue.models.get(&model) else { continue };
        let Some((_, homes)) = cx.cache.homes(&model) else { continue };
        let wanted = replicas_for(cx, engine, beside, &model, homes);
        let is_among = place(cx, engine, homes).is_some_and(|place| place < wanted);
        let fits = engine.hot.is_empty() || known.footprint() <= room;
        if homes.engines.contains(&engine.id) && is_among && fits {
            room = room.saturating_sub(known.footprint());
            if is_scarce(cx, engine, beside, &model, homes) {
                engine.scarce.insert(model.clone());
            }
            engine.hot.insert(model);
        }
    }
}

/// Tells whether a replica more has to be loaded before all else.
///
/// Where a model in constant use is on one engine alone, and no other has a
/// copy, all its callers wait for the weight store once that engine goes: 42 a
/// second for six seconds, seen where engines were replaced one after the other
/// and the new ones loaded for single callers first.
fn is_scarce(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    homes: &HomesRecord,
) -> bool {
    cx.upstreams.engines_with_weights(model).take(COPIES_LEAST).count() < COPIES_LEAST
        || beside.usage.late_share(cx.now, model) > SCARCE_LATE_SHARE
        || holders(cx, model, homes) * SCARCE_SHARE < replicas_by_use(cx, engine, beside, model, homes)
}

/// Tells whether more callers would wait for a model's return than wait now for the one that takes its place.
///
/// The first homes that hold it keep it, as many as its requests take. What was
/// used last doesn't tell: a model with forty requests a second on its only
/// replica was unloaded for one that had a single request a moment later, and
/// the next second's forty callers waited for it to come back.
pub(crate) fn is_needed_more(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    waiting: u32,
) -> bool {
    let rate = beside.usage.per_second(cx.now, model);
    let away = beside.load_times.unload() + beside.load_times.on(cx, engine, model);
    if !engine.is_one_by_one() || rate * away.as_secs_f64() < f64::from(waiting.max(1)) {
        return false;
    }
    let Some((_, homes)) = cx.cache.homes(model) else { return true };
    let earlier = homes.engines.iter().take_while(|home| **home != engine.id);
    let holding = earlier.filter(|home| is_holding(cx, home, model));
    u32::try_from(holding.count()).unwrap_or(u32::MAX) < replicas_by_use(cx, engine, beside, model, homes)
}

/// Tells whether an engine holds a model and stays, as far as the list tells.
fn is_holding(cx: &Cx<'_>, engine: &UpstreamId, model: &ModelName) -> bool {
    let known = cx.upstreams.get(engine).filter(|known| known.status == UpstreamStatus::Live);
    known.is_some_and(|known| known.holds.contains(model))
}

/// Returns how many of a model's homes hold it.
fn holders(cx: &Cx<'_>, model: &ModelName, homes: &HomesRecord) -> u32 {
    let holding = homes.engines.iter().filter(|home| is_holding(cx, home, model));
    u32::try_from(holding.count()).unwrap_or(u32::MAX)
}

/// Returns how many replicas a model's requests are worth.
pub(crate) fn replicas_for(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    homes: &HomesRecord,
) -> u32 {
    if beside.usage.per_second(cx.now, model) < HOT_RATE {
        return 1;
    }
    replicas_by_use(cx, engine, beside, model, homes).max(HOT_REPLICAS)
}

/// Returns how many replicas a model's requests keep busy.
///
/// Where engines begin to answer late, one more than there are helps, whatever
/// the work seems to be: long prompts, or others on the same engines, may be why.
fn replicas_by_use(
    cx: &Cx<'_>,
    engine: &Engine,
    beside: &Beside<'_>,
    model: &ModelName,
    homes: &HomesRecord,
) -> u32 {
    let capacity = f64::from(engine.concurrency()) * FULL_SHARE;
    let running = beside.usage.running(cx.now, model);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "such numbers are small and positive"
    )]
    let replicas = (running / capacity.max(1.0)).ceil() as u32;
    let is_late = beside.usage.late_share(cx.now, model) > LATE_SHARE;
    if is_late { replicas.max(holders(cx, model, homes) + 1) } else { replicas.max(1) }
}

/// Tells whether an engine is the last of a model's homes that can load at all.
pub(crate) fn is_last(cx: &Cx<'_>, engine: &Engine, homes: &HomesRecord) -> bool {
    usable(cx, engine, homes).last() == Some(&engine.id)
}

/// Returns an engine's place among the homes that can load at all.
pub(crate) fn place(cx: &Cx<'_>, engine: &Engine, homes: &HomesRecord) -> Option<u32> {
    usable(cx, engine, homes).zip(0..).find(|(home, _)| **home == engine.id).map(|(_, place)| place)
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
