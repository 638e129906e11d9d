//! What the stand-ins count over the whole deployment.

use std::collections::BTreeMap;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{ModelName, SiteName, UpstreamId};
use skylarkshore_core::units::Watts;

use crate::lock;

/// How often something stands now, and how often it stood at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Level {
    /// Now.
    pub now: u64,
    /// The highest ever.
    pub peak: u64,
}

impl Level {
    fn set(&mut self, now: u64) {
        self.now = now;
        self.peak = self.peak.max(now);
    }
}

/// The counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Replicas of each model, loading ones included.
    pub replicas: BTreeMap<ModelName, Level>,
    /// Loads of each model that were begun.
    pub loads: BTreeMap<ModelName, u64>,
    /// The watts of each site.
    pub watts: BTreeMap<SiteName, Level>,
    /// Runs of each idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Requests that were run to their end.
    pub answered: u64,
    /// Loads that an engine had no memory for.
    pub overcommits: u64,
    /// Orders under an old fence that were refused.
    pub old_fences_refused: u64,
    /// Orders under an old fence that were carried out.
    pub old_fences_obeyed: u64,
    /// Engines that crashed.
    pub crashes: u64,
}

#[derive(Debug, Default)]
struct Inner {
    counts: Counts,
    engines: BTreeMap<SiteName, BTreeMap<UpstreamId, Watts>>,
}

/// Counts over the whole deployment, shared by its stand-ins.
#[derive(Debug, Default)]
pub struct Census {
    inner: Mutex<Inner>,
}

impl Census {
    /// Returns the counts as they stand.
    pub fn counts(&self) -> Counts {
        lock(&self.inner).counts.clone()
    }

    pub(crate) fn replica_begun(&self, model: &ModelName) {
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

    pub(crate) fn draws(&self, site: &SiteName, engine: &UpstreamId, watts: Watts) {
        let inner = &mut *lock(&self.inner);
        let engines = inner.engines.entry(site.clone()).or_default();
        engines.insert(engine.clone(), watts);
        let total = engines.values().map(|watts| watts.0).sum();
        inner.counts.watts.entry(site.clone()).or_default().set(total);
    }

    pub(crate) fn run(&self, key: &str) -> u64 {
        let counts = &mut lock(&self.inner).counts;
        let runs = counts.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    pub(crate) fn note(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut lock(&self.inner).counts);
    }
}
