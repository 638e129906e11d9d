//! What is counted for the metrics, and how long loads take.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::Engine;

/// What the process has done with its engines so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Loads that were ordered.
    pub loads: u64,
    /// Unloads that were ordered.
    pub unloads: u64,
    /// Loads that failed.
    pub failed: u64,
    /// How long engines had something loaded and ran nothing.
    pub idle: Duration,
}

/// How long loads have taken.
#[derive(Debug, Default)]
pub(crate) struct LoadTimes {
    measured: OrderedMap<ModelName, Duration>,
}

impl LoadTimes {
    /// Returns how long a load of the model on an engine is expected to take.
    pub(crate) fn on(&self, cx: &Cx<'_>, engine: &Engine, model: &ModelName) -> Duration {
        let known = cx.document.catalogue.models.get(model);
        let times = known.and_then(|known| known.copy_load_times);
        match (times, engine.report()) {
            (Some(times), Some(report)) if report.copies.in_memory.contains(model) => times.from_memory,
            (Some(times), Some(report)) if report.copies.on_disk.contains(model) => times.from_disk,
            _ => self.of(cx, model),
        }
    }

    /// Returns how long a load of the model from the weight store is expected to take.
    pub(crate) fn of(&self, cx: &Cx<'_>, model: &ModelName) -> Duration {
        let listed = || cx.document.catalogue.models.get(model).map(|known| known.load_time);
        self.measured.get(model).copied().or_else(listed).unwrap_or_default()
    }

    /// Takes a measured load into account; it counts as much as all earlier ones.
    pub(crate) fn measured(&mut self, model: &ModelName, took: Duration) {
        self.measured.entry(model.clone()).and_modify(|known| *known = (*known + took) / 2).or_insert(took);
    }
}
