//! Counters shared by all stand-ins of a deployment. Start with [`Census`].

use std::collections::BTreeMap;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{ModelName, SiteName, UpstreamId};
use skylarkshore_core::units::Watts;

use crate::lock;

/// Current and highest value of a gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Level {
    /// Current value.
    pub now: u64,
    /// Highest value so far.
    pub peak: u64,
}

impl Level {
    fn set(&mut self, now: u64) {
        self.now = now;
        self.peak = self.peak.max(now);
    }
}

/// Counts over the whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Replicas of each model, including loading ones.
    pub replicas: BTreeMap<ModelName, Level>,
    /// Loads started for each model.
    pub loads: BTreeMap<ModelName, u64>,
    /// Power draw of each site in watts.
    pub watts: BTreeMap<SiteName, Level>,
    /// Runs of each idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Requests run to completion.
    pub answered: u64,
    /// Loads refused for lack of memory.
    pub overcommits: u64,
    /// Orders with an outdated fence that were refused.
    pub old_fences_refused: u64,
    /// Orders with an outdated fence that were executed.
    pub old_fences_obeyed: u64,
    /// Engine crashes.
    pub crashes: u64,
}

#[derive(Debug, Default)]
struct Inner {
    counts: Counts,
    engines: BTreeMap<SiteName, BTreeMap<UpstreamId, Watts>>,
}

/// Thread-safe counters of a deployment.
#[derive(Debug, Default)]
pub struct Census {
    inner: Mutex<Inner>,
}

impl Census {
    /// Returns a copy of the current counts.
    pub fn counts(&self) -> Counts {
        lock(&self.inner).counts.clone()
    }

    pub(crate) fn replica_started(&self, model: &ModelName) {
        let counts = &mut lock(&self.inner).counts;
        let level = counts.replicas.entry(model.clone()).or_default();
        level.set(level.now + 1);
        *counts.loads.entry(model.clone()).or_default() += 1;
    }

    pub(crate) fn replica_ended(&self, model: &ModelName) {
        let counts = &mut lock(&self.inner).counts;
        let level = counts.replicas.entry(model.clone()).or_default();
        level.set(level.now.saturating_sub(1));
    }

    pub(crate) fn record_power_draw(&self, site: &SiteName, engine: &UpstreamId, watts: Watts) {
        let inner = &mut *lock(&self.inner);
        let engines = inner.engines.entry(site.clone()).or_default();
        engines.insert(engine.clone(), watts);
        let total = engines.values().map(|watts| watts.0).sum();
        inner.counts.watts.entry(site.clone()).or_default().set(total);
    }

    pub(crate) fn record_run(&self, key: &str) -> u64 {
        let counts = &mut lock(&self.inner).counts;
        let runs = counts.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut lock(&self.inner).counts);
    }
}
