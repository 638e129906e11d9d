//! Adapter slots: some engines can hold only a limited number of adapters.

use crate::authority::Permit;
use crate::cx::Cx;
use crate::id::{AdapterName, ModelName};
use crate::loading::demand::Demand;
use crate::loading::engine::Engine;
use crate::time::Time;
use crate::upstream::Order;

/// Reports whether one more adapter fits. If not, starts to unload the least recently used one.
///
/// An engine ordered to load more adapters than it has slots crashes with all its
/// requests. Adapters whose load or unload is pending therefore count.
pub(crate) fn ensure_slot(cx: &mut Cx<'_>, engine: &mut Engine, demand: &Demand, permit: Permit) -> bool {
    let Some(slots) = engine.spec.as_ref().and_then(|spec| spec.adapter_slots) else { return true };
    let held = held_adapters(engine);
    if held.len() < usize::try_from(slots).unwrap_or(usize::MAX) {
        return true;
    }
    if !engine.is_free_for_adapter_orders() {
        return false;
    }
    let last_use = |held: &(ModelName, AdapterName)| -> Time {
        engine.adapter_last_used.get(held).copied().unwrap_or(Time::START)
    };
    let unwanted = held.iter().filter(|(model, adapter)| !demand.adapters(model).contains(adapter));
    let Some((model, adapter)) = unwanted.min_by_key(|held| last_use(held)).cloned() else { return false };
    if engine.pending_orders.find(&model, |order| matches!(order, Order::UnloadAdapter { .. })).is_some() {
        return false;
    }
    cx.log_event("adapter_closing", format!("{model}/{adapter}@{}", engine.id), "its place is needed");
    engine.send(cx, permit, None, Order::UnloadAdapter { model, adapter });
    false
}

/// Returns the adapters on the engine, including those being loaded.
fn held_adapters(engine: &Engine) -> Vec<(ModelName, AdapterName)> {
    let models = engine.report().map_or(&[][..], |report| &report.models);
    let shown =
        models.iter().flat_map(|base| base.adapters.iter().map(|a| (base.model.clone(), a.adapter.clone())));
    let mut held: Vec<(ModelName, AdapterName)> =
        shown.chain(engine.pending_orders.adapters_loading()).collect();
    held.sort_unstable();
    held.dedup();
    held
}
