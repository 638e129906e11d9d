//! Models that need another home.

use std::time::Duration;

use crate::authority::HomeRequest;
use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::Beside;
use crate::loading::engine::Engine;
use crate::loading::replicas;
use crate::loading::wants::Want;
use crate::time::Time;

/// How long replicas have to be full before one more home is wished for.
const FULL_FOR: Duration = Duration::from_millis(500);
/// How long no room can be made before the home is to move.
const CROWDED_FOR: Duration = Duration::from_secs(1);

/// Works out which models on an engine need another home.
pub(crate) fn review(cx: &Cx<'_>, engine: &mut Engine, beside: &Beside<'_>, wants: &[Want]) {
    let waiting = |want: &&Want| want.waiting > 0;
    let mut full: Vec<&ModelName> = wants
        .iter()
        .filter(waiting)
        .filter(|want| is_full(cx, engine, want))
        .map(|want| &want.model)
        .collect();
    let often = beside.usage.above(cx.now, f64::MIN_POSITIVE).filter(|_| engine.is_one_by_one());
    full.extend(often.filter(|model| has_too_few_homes(cx, engine, beside, model)));
    let crowded: Vec<&ModelName> = wants
        .iter()
        .filter(waiting)
        .filter(|want| engine.crowded.contains(&want.model) && !engine.is_one_by_one())
        .map(|want| &want.model)
        .collect();
    keep_since(cx.now, &mut engine.wishes.full, &full);
    keep_since(cx.now, &mut engine.wishes.crowded, &crowded);
    let is_home = |model: &ModelName| beside.authority.is_home(&engine.id, model);
    let spread = lasting(cx.now, &engine.wishes.full, FULL_FOR)
        .map(|model| HomeRequest { model: model.clone(), move_from: None });
    let moves = lasting(cx.now, &engine.wishes.crowded, CROWDED_FOR)
        .filter(|model| is_home(model))
        .map(|model| HomeRequest { model: model.clone(), move_from: Some(engine.id.clone()) });
    engine.wishes.due = spread.chain(moves).collect();
}

/// Tells whether the last home's replica has as much to do as it can, and more wait.
///
/// Only the last home speaks, since routers ask for it only once the earlier
/// ones are full; else every owner would wish for one more at once.
fn is_full(cx: &Cx<'_>, engine: &Engine, want: &Want) -> bool {
    let is_last =
        cx.cache.homes(&want.model).is_some_and(|(_, homes)| homes.engines.last() == Some(&engine.id));
    let slots = engine.concurrency();
    is_last
        && engine.is_ready(&want.model)
        && want.waiting >= slots
        && engine.report().is_some_and(|report| report.running >= slots)
}

/// Tells whether a model, of which this is the last home, is asked for more than its homes can take.
fn has_too_few_homes(cx: &Cx<'_>, engine: &Engine, beside: &Beside<'_>, model: &ModelName) -> bool {
    let Some((_, homes)) = cx.cache.homes(model) else { return false };
    let wanted = replicas::replicas_for(cx, engine, beside, model, homes);
    // The last one that can speak: one on an engine that is gone would never wish for another.
    replicas::is_last(cx, engine, homes) && homes.engines.len() < wanted as usize
}

fn keep_since(now: Time, since: &mut OrderedMap<ModelName, Time>, models: &[&ModelName]) {
    since.retain(|model, _| models.contains(&model));
    for model in models {
        since.entry((*model).clone()).or_insert(now);
    }
}

fn lasting(now: Time, since: &OrderedMap<ModelName, Time>, d: Duration) -> impl Iterator<Item = &ModelName> {
    since.iter().filter(move |(_, since)| since.after(d).is_due(now)).map(|(model, _)| model)
}
