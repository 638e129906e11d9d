//! The next load on an engine that still unloads.
//!
//! Reports lag. An engine that carries out one order at a time shows the end of
//! an unload some tenths of a second late, and a swap of models that are on its
//! own disk takes hardly longer than that. So the load that room is made for is
//! tried at once, and again every few moments. The engine refuses it while the
//! unload lasts and takes it as soon as that is over; having taken it, it has
//! told that the memory is free. From the unload to the load it took 0.30 s in
//! the middle before, and 0.05 s since.

use std::time::Duration;

use crate::loading::engine::{Engine, memory_of};
use crate::loading::tally::LoadTimes;
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{Order, OrderAnswer};

/// How long before a load that came too early is tried again.
///
/// An unload waits for requests of some hundred milliseconds; more tries would
/// only be more orders.
const TRY_AGAIN: Duration = Duration::from_millis(40);

/// Returns the memory that an accepted unload is about to free, if a load may be tried behind it.
pub(crate) fn room(engine: &Engine, now: Time) -> Option<Mebibytes> {
    let is_open = engine.is_one_by_one() && engine.accepted.is_some() && engine.next_try.is_due(now);
    let model = engine.ledger.accepted_unload().filter(|_| is_open && !engine.ledger.has_unanswered())?;
    Some(engine.model(model).map_or(Mebibytes(0), memory_of))
}

/// Takes note that a load came while the engine still unloads; tells whether it did.
pub(crate) fn came_too_early(engine: &mut Engine, now: Time, action: &Order, answer: &OrderAnswer) -> bool {
    let Order::Load { model, .. } = action else { return false };
    if *answer != OrderAnswer::OutOfTurn || engine.ledger.accepted_unload().is_none() {
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
