//! Room for adapters on engines that hold only so many.

use crate::authority::Permit;
use crate::cx::Cx;
use crate::id::{AdapterName, ModelName};
use crate::loading::demand::Demand;
use crate::loading::engine::Engine;
use crate::time::Time;
use crate::upstream::Order;

/// Tells whether one more adapter fits, and else begins to make room for it.
///
/// An engine that is ordered to load more adapters than it has places for
/// crashes, and takes every request on it along. So those on their way count,
/// and so does one whose unload isn't settled.
pub(crate) fn make_room(cx: &mut Cx<'_>, engine: &mut Engine, demand: &Demand, permit: Permit) -> bool {
    let Some(slots) = engine.spec.as_ref().and_then(|spec| spec.adapter_slots) else { return true };
    let held = held(engine);
    if held.len() < usize::try_from(slots).unwrap_or(usize::MAX) {
        return true;
    }
    if !engine.is_free_for_adapter_orders() {
        return false;
    }
    let last_use = |held: &(ModelName, AdapterName)| -> Time {
        engine.adapter_uses.get(held).copied().unwrap_or(Time::START)
    };
    let unwanted = held.iter().filter(|(model, adapter)| !demand.adapters(model).contains(adapter));
    let Some((model, adapter)) = unwanted.min_by_key(|held| last_use(held)).cloned() else { return false };
    if engine.ledger.find(&model, |order| matches!(order, Order::UnloadAdapter { .. })).is_some() {
        return false;
    }
    cx.log_event("adapter_closing", format!("{model}/{adapter}@{}", engine.id), "its place is needed");
    engine.send(cx, permit, None, Order::UnloadAdapter { model, adapter });
    false
}

/// Returns the adapters on the engine, those on their way included.
fn held(engine: &Engine) -> Vec<(ModelName, AdapterName)> {
    let models = engine.report().map_or(&[][..], |report| &report.models);
    let shown = models
        .iter()
        .flat_map(|seen| seen.adapters.iter().map(|adapter| (seen.model.clone(), adapter.adapter.clone())));
    let mut held: Vec<(ModelName, AdapterName)> = shown.chain(engine.ledger.adapters_loading()).collect();
    held.sort_unstable();
    held.dedup();
    held
}
