//! What is believed of engines and models, in words and numbers.

use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::id::ModelName;
use crate::loading::Loading;
use crate::loading::engine::Engine;
use crate::loading::load;
use crate::loading::stages::{LateOrders, Phase};
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{LoadState, ReportedModel};

/// Tells what is believed of every engine and every model on it.
pub(crate) fn dump(loading: &Loading, cx: &Cx<'_>) -> Vec<DumpEntry> {
    let mut beliefs = Vec::new();
    for engine in loading.engines.values() {
        beliefs.push(engine_belief(cx, engine));
        beliefs.extend(engine.ledger.dump_entries(&engine.id));
        let shown = engine.report().into_iter().flat_map(|report| &report.models);
        beliefs.extend(shown.map(|seen| model_belief(engine, seen)));
        let hidden = engine.loads.iter().filter(|(model, _)| engine.model(model).is_none());
        beliefs.extend(hidden.map(|(model, progress)| {
            belief(engine, model, "load ordered, not seen yet".to_owned(), Some(progress.started))
        }));
    }
    beliefs.extend(loading.pacing.dump_entries());
    beliefs
}

fn engine_belief(cx: &Cx<'_>, engine: &Engine) -> DumpEntry {
    let phase = match engine.phase {
        Phase::RaisingFence { .. } => "raising the fence",
        Phase::FenceRaised { .. } => "waiting for its first report",
        Phase::Known if engine.is_silent(cx.now, cx.cfg.timings.engine_timeout) => "silent",
        Phase::Known => "known",
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
    DumpEntry { kind: "engine", subject: engine.id.to_string(), state, since: Some(engine.acquired) }
}

fn model_belief(engine: &Engine, seen: &ReportedModel) -> DumpEntry {
    if let Some(closing) = engine.closing.get(&seen.model) {
        let text = format!("closing for {}; running={}", closing.reason, seen.running);
        return belief(engine, &seen.model, text, Some(closing.since));
    }
    let adapters: Vec<&str> = seen.adapters.iter().map(|a| a.adapter.as_str()).collect();
    let (stage, since) = match seen.state {
        LoadState::Loading => ("loading", engine.loads.get(&seen.model).map(|load| load.started)),
        LoadState::Ready => ("ready", engine.ready_since.get(&seen.model).copied()),
        LoadState::Unloading => ("unloading", None),
    };
    let text = format!(
        "{stage}; version={} running={} adapters=[{}]",
        seen.version,
        seen.running,
        adapters.join(" ")
    );
    belief(engine, &seen.model, text, since)
}

fn belief(engine: &Engine, model: &ModelName, state: String, since: Option<Time>) -> DumpEntry {
    DumpEntry { kind: "model", subject: format!("{model}@{}", engine.id), state, since }
}

/// Returns the numbers for the metrics.
pub(crate) fn gauges(loading: &Loading) -> Vec<Gauge> {
    let engines = || loading.engines.values();
    let in_progress: usize = engines().map(loads_in_progress).sum();
    let reserved: Mebibytes = engines().map(reserved).sum();
    vec![
        gauge("loads_in_progress", count(in_progress)),
        gauge("memory_reserved_mebibytes", count(reserved.0)),
        gauge("accelerator_idle_seconds_total", loading.tally.idle.as_secs_f64()),
        gauge("loads_total", count(loading.tally.loads)),
        gauge("unloads_total", count(loading.tally.unloads)),
        gauge("unloads_unused_total", count(loading.tally.unused)),
        gauge("loads_failed_total", count(loading.tally.failed)),
        gauge("models_unserved", count(loading.unserved.len())),
    ]
}

fn loads_in_progress(engine: &Engine) -> usize {
    let shown = engine.report().into_iter().flat_map(|report| &report.models).map(|seen| &seen.model);
    let hidden = engine.loads.keys().filter(|model| engine.model(model).is_none());
    shown.chain(hidden).filter(|model| load::is_running(engine, model)).count()
}

fn reserved(engine: &Engine) -> Mebibytes {
    engine.ledger.reserved(engine.report(), None) + engine.late_orders_memory
}

const fn gauge(name: &'static str, value: f64) -> Gauge {
    Gauge { name, value }
}

/// Makes a metric's value of a count; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "no count comes near 2^53")]
fn count(n: impl TryInto<u64>) -> f64 {
    n.try_into().unwrap_or(u64::MAX) as f64
}
