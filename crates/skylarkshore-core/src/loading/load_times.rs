//! How long loads and unloads take.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::Engine;

/// How long an unload is taken to last before one was seen.
const DEFAULT_UNLOAD_TIME: Duration = Duration::from_millis(300);
/// How much longer than listed a load from a copy is taken to last at least.
///
/// The order's answer is on its way for a few milliseconds.
const MIN_LISTED_MARGIN: Duration = Duration::from_millis(20);
/// How much longer than listed it is taken to last at most; a report tells before.
const MAX_LISTED_MARGIN: Duration = Duration::from_secs(2);
/// By which share the time beyond the listed one shrinks at each load that had ended in time.
const MARGIN_DECAY: f64 = 0.05;
/// The share of a newly measured time in the mean.
const NEW_SAMPLE_WEIGHT: f64 = 0.2;

/// How long loads and unloads have taken.
#[derive(Debug)]
pub(crate) struct LoadTimes {
    measured: OrderedMap<ModelName, Duration>,
    /// How much longer than listed a load from a copy is taken to last.
    listed_margin: Duration,
    /// How long it takes from an unload's order until the next one is taken.
    unload: Duration,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self { measured: OrderedMap::new(), listed_margin: MIN_LISTED_MARGIN, unload: DEFAULT_UNLOAD_TIME }
    }
}

impl LoadTimes {
    /// Returns how long a load of the model on an engine is expected to take.
    pub(crate) fn expected_on(&self, cx: &Cx<'_>, engine: &Engine, model: &ModelName) -> Duration {
        let known = cx.document.catalogue.models.get(model);
        let times = known.and_then(|known| known.copy_load_times);
        match (times, engine.report()) {
            (Some(times), Some(_)) if engine.is_in_memory(model) => times.from_memory + self.listed_margin,
            (Some(times), Some(report)) if report.copies.has(model) => times.from_disk + self.listed_margin,
            _ => self.expected_from_store(cx, model),
        }
    }

    /// Returns how long a load of the model from the weight store is expected to take.
    pub(crate) fn expected_from_store(&self, cx: &Cx<'_>, model: &ModelName) -> Duration {
        let listed = || cx.document.catalogue.models.get(model).map(|known| known.load_time);
        self.measured.get(model).copied().or_else(listed).unwrap_or_default()
    }

    /// Returns how long an unload is expected to take.
    pub(crate) const fn expected_unload(&self) -> Duration {
        self.unload
    }

    /// Takes the length of an unload into account.
    pub(crate) fn record_unload(&mut self, took: Duration) {
        self.unload = mean(self.unload, took);
    }

    /// Takes note that a load from a copy had ended when it was taken to have.
    pub(crate) fn record_on_time(&mut self) {
        let shorter = self.listed_margin.mul_f64(1.0 - MARGIN_DECAY);
        self.listed_margin = shorter.max(MIN_LISTED_MARGIN);
    }

    /// Takes note that a load from a copy was still in progress when it was taken to have ended.
    pub(crate) fn record_late(&mut self) {
        self.listed_margin = (self.listed_margin * 2).min(MAX_LISTED_MARGIN);
    }

    /// Takes a measured load into account; it counts as much as all earlier ones.
    pub(crate) fn record_load(&mut self, model: &ModelName, took: Duration) {
        self.measured.entry(model.clone()).and_modify(|known| *known = (*known + took) / 2).or_insert(took);
    }
}

fn mean(known: Duration, newest: Duration) -> Duration {
    known.mul_f64(1.0 - NEW_SAMPLE_WEIGHT) + newest.mul_f64(NEW_SAMPLE_WEIGHT)
}
