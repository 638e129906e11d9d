//! State dump and metrics of loading.

use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::id::ModelName;
use crate::loading::Loading;
use crate::loading::engine::Engine;
use crate::loading::engine_state::{LateOrders, Phase};
use crate::loading::load;
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{LoadState, ReportedModel};

/// Returns the state of every engine, its models and its pending orders, and of the load slots.
pub(crate) fn dump(loading: &Loading, cx: &Cx<'_>) -> Vec<DumpEntry> {
    let mut entries = Vec::new();
    for engine in loading.engines.values() {
        entries.push(engine_entry(cx, engine));
        entries.extend(engine.pending_orders.dump_entries(&engine.id));
        let shown = engine.report().into_iter().flat_map(|report| &report.models);
        entries.extend(shown.map(|reported| model_entry(engine, reported)));
        let hidden = engine.loads.iter().filter(|(model, _)| engine.model(model).is_none());
        entries.extend(hidden.map(|(model, progress)| {
            entry(engine, model, "load ordered, not seen yet".to_owned(), Some(progress.ordered))
        }));
    }
    entries.extend(loading.load_slots.dump_entries());
    entries
}

fn engine_entry(cx: &Cx<'_>, engine: &Engine) -> DumpEntry {
    let phase = match engine.phase {
        Phase::RaisingFence { .. } => "raising the fence",
        Phase::FenceRaised { .. } => "waiting for its first report",
        Phase::Surveyed if engine.is_silent(cx.now, cx.cfg.timings.engine_timeout) => "silent",
        Phase::Surveyed => "known",
        Phase::Superseded => "taken over by another owner",
    };
    let late_orders = if engine.late_orders == LateOrders::None { "none" } else { "possible" };
    let state = format!(
        "{phase}; fence={} memory={} free={} reserved={} late_orders={late_orders}",
        engine.fence,
        engine.memory(),
        engine.free_memory(),
        reserved(engine),
    );
    DumpEntry { kind: "engine", subject: engine.id.to_string(), state, since: Some(engine.acquired_at) }
}

fn model_entry(engine: &Engine, reported: &ReportedModel) -> DumpEntry {
    if let Some(closing) = engine.closing.get(&reported.model) {
        let text = format!("closing for {}; running={}", closing.reason, reported.running);
        return entry(engine, &reported.model, text, Some(closing.since));
    }
    let adapters: Vec<&str> = reported.adapters.iter().map(|a| a.adapter.as_str()).collect();
    let (stage, since) = match reported.state {
        LoadState::Loading => ("loading", engine.loads.get(&reported.model).map(|load| load.ordered)),
        LoadState::Ready => ("ready", engine.ready_since.get(&reported.model).copied()),
        LoadState::Unloading => ("unloading", None),
    };
    let text = format!(
        "{stage}; version={} running={} adapters=[{}]",
        reported.version,
        reported.running,
        adapters.join(" ")
    );
    entry(engine, &reported.model, text, since)
}

fn entry(engine: &Engine, model: &ModelName, state: String, since: Option<Time>) -> DumpEntry {
    DumpEntry { kind: "model", subject: format!("{model}@{}", engine.id), state, since }
}

/// Returns the metric values.
pub(crate) fn gauges(loading: &Loading) -> Vec<Gauge> {
    let engines = || loading.engines.values();
    let in_progress: usize = engines().map(loads_in_progress).sum();
    let reserved: Mebibytes = engines().map(reserved).sum();
    vec![
        gauge("loads_in_progress", count(in_progress)),
        gauge("memory_reserved_mebibytes", count(reserved.0)),
        gauge("accelerator_idle_seconds_total", loading.load_metrics.idle.as_secs_f64()),
        gauge("loads_total", count(loading.load_metrics.loads)),
        gauge("unloads_total", count(loading.load_metrics.unloads)),
        gauge("unloads_unused_total", count(loading.load_metrics.unused)),
        gauge("loads_failed_total", count(loading.load_metrics.failed)),
        gauge("models_unserved", count(loading.unserved.len())),
    ]
}

fn loads_in_progress(engine: &Engine) -> usize {
    let shown = engine.report().into_iter().flat_map(|report| &report.models).map(|reported| &reported.model);
    let hidden = engine.loads.keys().filter(|model| engine.model(model).is_none());
    shown.chain(hidden).filter(|model| load::is_load_pending(engine, model)).count()
}

fn reserved(engine: &Engine) -> Mebibytes {
    engine.pending_orders.reserved(engine.report(), None) + engine.late_orders_memory
}

const fn gauge(name: &'static str, value: f64) -> Gauge {
    Gauge { name, value }
}

/// Converts a count to a metric value; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "no count comes near 2^53")]
fn count(n: impl TryInto<u64>) -> f64 {
    n.try_into().unwrap_or(u64::MAX) as f64
}
