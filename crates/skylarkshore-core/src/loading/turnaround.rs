//! Orders that follow on one another without waiting for a report.
//!
//! Reports lag. An engine that carries out one order at a time shows the end of
//! an unload some tenths of a second late, and a swap of models that are on its
//! own disk takes hardly longer than that. So the load that room is made for is
//! tried at once, and again every few moments. The engine refuses it while the
//! unload lasts and takes it as soon as that is over; having taken it, it has
//! told that the memory is free. From the unload to the load it took 0.30 s in
//! the middle before, and 0.10 s since.
//!
//! A load from a copy takes as long as is listed. It is taken to have ended by
//! then; what a report tells later corrects how far the listed time is relied on.

use std::time::Duration;

use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::{Engine, memory_of};
use crate::loading::load_times::LoadTimes;
use crate::loading::stages::{LoadProgress, TakenForEnded};
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{EngineReport, LoadState, Order, OrderAnswer, ReportedModel};

/// How long before a load that came too early is tried again.
///
/// An unload waits for requests of some hundred milliseconds; more tries would
/// only be more orders.
const TRY_AGAIN: Duration = Duration::from_millis(40);

/// Returns the memory that an accepted unload is about to free, if a load may be tried behind it.
pub(crate) fn room(engine: &Engine, now: Time) -> Option<Mebibytes> {
    let is_open = engine.is_one_by_one() && engine.accepted.is_some() && engine.next_try.is_due(now);
    let (model, _) =
        engine.ledger.accepted_unload().filter(|_| is_open && !engine.ledger.has_unanswered())?;
    Some(engine.model(model).map_or(Mebibytes(0), memory_of))
}

/// Returns how long an unload that is in progress is expected to last yet.
pub(crate) fn unload_remaining(engine: &Engine, now: Time, times: &LoadTimes) -> Duration {
    let unload = engine.ledger.accepted_unload();
    unload.map_or(Duration::ZERO, |(_, sent)| sent.after(times.unload()).remaining(now))
}

/// Takes note that a load came while the engine still unloads; tells whether it did.
pub(crate) fn came_too_early(engine: &mut Engine, now: Time, action: &Order, answer: &OrderAnswer) -> bool {
    let Order::Load { model, .. } = action else { return false };
    if *answer != OrderAnswer::OrderConflict || engine.ledger.accepted_unload().is_none() {
        return false;
    }
    engine.loads.remove(model);
    engine.next_try = now.after(TRY_AGAIN);
    true
}

/// Takes note that the engine took a load, so that the unload before it is over; tells whether there was one.
pub(crate) fn unloaded(engine: &mut Engine, now: Time, times: &mut LoadTimes) -> bool {
    if !engine.is_one_by_one() {
        return false;
    }
    let unloads = engine.ledger.finish_unloads();
    for (model, sent) in &unloads {
        times.unloaded(now.since(*sent));
        engine.closing.remove(model);
        engine.drop_model(model);
    }
    !unloads.is_empty()
}

/// Takes the loads from copies whose time is over to have ended, and shows their models as ready; tells
/// whether there were any.
///
/// Were their ends only noticed with a report, callers would wait 0.15 s longer
/// for a swap of 0.65 s, and the engine be idle for as long.
pub(crate) fn end_due_loads(cx: &Cx<'_>, engine: &mut Engine) -> bool {
    if !engine.is_one_by_one() {
        return false;
    }
    let is_due = |(model, load): (&ModelName, &LoadProgress)| {
        let is_accepted = engine.ledger.has_accepted_load(model);
        let is_over = is_accepted && !load.is_from_store && load.expected.is_due(cx.now);
        is_over.then(|| model.clone())
    };
    let due: Vec<ModelName> = engine.loads.iter().filter_map(is_due).collect();
    for model in due.iter().cloned() {
        if let Some(Order::Load { version, memory, .. }) = engine.ledger.finish_load(&model) {
            engine.ended = Some(TakenForEnded { model: model.clone(), at: cx.now });
            let adapters = Vec::new();
            engine.show_model(ReportedModel {
                model,
                version,
                state: LoadState::Ready,
                memory,
                adapters,
                running: 0,
            });
        }
    }
    !due.is_empty()
}

/// Compares a report with the load that was last taken to have ended.
pub(crate) fn check_end(engine: &mut Engine, asked: Time, report: &EngineReport, times: &mut LoadTimes) {
    let is_told = |ended: &mut TakenForEnded| asked >= ended.at.after(report.lag);
    let Some(ended) = engine.ended.take_if(is_told) else { return };
    if report.models.iter().any(|seen| seen.model == ended.model) {
        times.ended_as_taken();
    } else if report.busy {
        times.ended_later();
    }
}
