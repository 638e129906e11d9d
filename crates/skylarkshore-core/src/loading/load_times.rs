//! Expected durations of loads and unloads, learned from measured ones. See [`LoadTimes`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::Engine;

/// Expected unload time before the first measurement.
const DEFAULT_UNLOAD_TIME: Duration = Duration::from_millis(300);
/// Minimum margin added to the listed time of a load from a copy.
///
/// It covers the few milliseconds until the order's answer arrives.
const MIN_LISTED_MARGIN: Duration = Duration::from_millis(20);
/// Maximum margin; a report shows the end of a load earlier than that.
const MAX_LISTED_MARGIN: Duration = Duration::from_secs(2);
/// Share by which the margin shrinks with each load that ended by its assumed end.
const MARGIN_DECAY: f64 = 0.05;
/// Weight of a new measurement in the moving average of unload times.
const NEW_SAMPLE_WEIGHT: f64 = 0.2;

/// Measured load and unload times.
#[derive(Debug)]
pub(crate) struct LoadTimes {
    measured: OrderedMap<ModelName, Duration>,
    /// Margin added to the listed time of a load from a copy.
    listed_margin: Duration,
    /// Average time from an unload order until the next order is accepted.
    unload: Duration,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self { measured: OrderedMap::new(), listed_margin: MIN_LISTED_MARGIN, unload: DEFAULT_UNLOAD_TIME }
    }
}

impl LoadTimes {
    /// Returns the expected time of a load of the model on an engine.
    pub(crate) fn expected_on(&self, cx: &Cx<'_>, engine: &Engine, model: &ModelName) -> Duration {
        let known = cx.document.catalogue.models.get(model);
        let times = known.and_then(|known| known.copy_load_times);
        match (times, engine.report()) {
            (Some(times), Some(_)) if engine.is_in_memory(model) => times.from_memory + self.listed_margin,
            (Some(times), Some(report)) if report.copies.has(model) => times.from_disk + self.listed_margin,
            _ => self.expected_from_store(cx, model),
        }
    }

    /// Returns the expected time of a load of the model from the weight store.
    pub(crate) fn expected_from_store(&self, cx: &Cx<'_>, model: &ModelName) -> Duration {
        let listed = || cx.document.catalogue.models.get(model).map(|known| known.load_time);
        self.measured.get(model).copied().or_else(listed).unwrap_or_default()
    }

    /// Returns the expected time of an unload.
    pub(crate) const fn expected_unload(&self) -> Duration {
        self.unload
    }

    /// Records a measured unload time.
    pub(crate) fn record_unload(&mut self, took: Duration) {
        self.unload = mean(self.unload, took);
    }

    /// Shrinks the margin: a load from a copy had ended when it was assumed to.
    pub(crate) fn record_on_time(&mut self) {
        let shorter = self.listed_margin.mul_f64(1.0 - MARGIN_DECAY);
        self.listed_margin = shorter.max(MIN_LISTED_MARGIN);
    }

    /// Doubles the margin: a load from a copy was still in progress when it was
    /// assumed to have ended.
    pub(crate) fn record_late(&mut self) {
        self.listed_margin = (self.listed_margin * 2).min(MAX_LISTED_MARGIN);
    }

    /// Records a measured load time; it has the same weight as all earlier ones together.
    pub(crate) fn record_load(&mut self, model: &ModelName, took: Duration) {
        self.measured.entry(model.clone()).and_modify(|known| *known = (*known + took) / 2).or_insert(took);
    }
}

fn mean(known: Duration, newest: Duration) -> Duration {
    known.mul_f64(1.0 - NEW_SAMPLE_WEIGHT) + newest.mul_f64(NEW_SAMPLE_WEIGHT)
}
