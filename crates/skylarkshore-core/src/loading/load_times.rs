//! How long loads and unloads take.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::engine::Engine;

/// How long an unload is taken to last before one was seen.
const FIRST_UNLOAD: Duration = Duration::from_millis(300);
/// How much longer than listed a load from a copy is taken to last at least.
///
/// The order's answer is on its way for a few milliseconds.
const LEAST_BEYOND_LISTED: Duration = Duration::from_millis(20);
/// How much longer than listed it is taken to last at most; a report tells before.
const MOST_BEYOND_LISTED: Duration = Duration::from_secs(2);
/// By which share the time beyond the listed one shrinks at each load that had ended in time.
const TRUST_SHARE: f64 = 0.05;
/// The share of a newly measured time in the mean.
const NEWEST_SHARE: f64 = 0.2;

/// How long loads and unloads have taken.
#[derive(Debug)]
pub(crate) struct LoadTimes {
    measured: OrderedMap<ModelName, Duration>,
    /// How much longer than listed a load from a copy is taken to last.
    beyond_listed: Duration,
    /// How long it takes from an unload's order until the next one is taken.
    unload: Duration,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self { measured: OrderedMap::new(), beyond_listed: LEAST_BEYOND_LISTED, unload: FIRST_UNLOAD }
    }
}

impl LoadTimes {
    /// Returns how long a load of the model on an engine is expected to take.
    pub(crate) fn on(&self, cx: &Cx<'_>, engine: &Engine, model: &ModelName) -> Duration {
        let known = cx.document.catalogue.models.get(model);
        let times = known.and_then(|known| known.copy_load_times);
        match (times, engine.report()) {
            (Some(times), Some(_)) if engine.is_in_memory(model) => times.from_memory + self.beyond_listed,
            (Some(times), Some(report)) if report.copies.has(model) => times.from_disk + self.beyond_listed,
            _ => self.of(cx, model),
        }
    }

    /// Returns how long a load of the model from the weight store is expected to take.
    pub(crate) fn of(&self, cx: &Cx<'_>, model: &ModelName) -> Duration {
        let listed = || cx.document.catalogue.models.get(model).map(|known| known.load_time);
        self.measured.get(model).copied().or_else(listed).unwrap_or_default()
    }

    /// Returns how long an unload is expected to take.
    pub(crate) const fn unload(&self) -> Duration {
        self.unload
    }

    /// Takes the length of an unload into account.
    pub(crate) fn unloaded(&mut self, took: Duration) {
        self.unload = mean(self.unload, took);
    }

    /// Takes note that a load from a copy had ended when it was taken to have.
    pub(crate) fn ended_as_taken(&mut self) {
        let shorter = self.beyond_listed.mul_f64(1.0 - TRUST_SHARE);
        self.beyond_listed = shorter.max(LEAST_BEYOND_LISTED);
    }

    /// Takes note that a load from a copy was still in progress when it was taken to have ended.
    pub(crate) fn ended_later(&mut self) {
        self.beyond_listed = (self.beyond_listed * 2).min(MOST_BEYOND_LISTED);
    }

    /// Takes a measured load into account; it counts as much as all earlier ones.
    pub(crate) fn measured(&mut self, model: &ModelName, took: Duration) {
        self.measured.entry(model.clone()).and_modify(|known| *known = (*known + took) / 2).or_insert(took);
    }
}

fn mean(known: Duration, newest: Duration) -> Duration {
    known.mul_f64(1.0 - NEWEST_SHARE) + newest.mul_f64(NEWEST_SHARE)
}
