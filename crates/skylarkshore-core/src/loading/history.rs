//! Use history per model: last use, gaps between uses and burst sizes. See [`History`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::ModelName;
use crate::loading::inter_arrival::{InterArrivalDistribution, InterArrivalHistogram};
use crate::time::Time;

/// Uses closer together than this belong to the same burst.
const MIN_GAP: Duration = Duration::from_secs(2);
/// Minimum weight of all models' gaps to stand in for a model's missing history.
const MIN_COMMON_WEIGHT: f32 = 8.0;
/// Weight of the common gaps, in gaps of the model's own.
const PRIOR_WEIGHT: f32 = 1.5;
/// Minimum weight of a model's own gaps to be used without common ones.
const MIN_OWN_WEIGHT: f32 = 3.0;
/// Weight of a new burst size in the moving average.
const BURST_WEIGHT: f64 = 0.2;

/// Use history of one model.
#[derive(Clone, Debug)]
struct ModelHistory {
    last: Time,
    gaps: InterArrivalHistogram,
    /// Average number of requests that wait when a load ends.
    burst: f64,
}

/// Use history of all models.
#[derive(Debug, Default)]
pub(crate) struct History {
    models: OrderedMap<ModelName, ModelHistory>,
    /// The gaps of all models together.
    common: InterArrivalHistogram,
}

impl History {
    /// Records that a model is in use or requested.
    pub(crate) fn record_use(&mut self, now: Time, model: &ModelName) {
        let Some(history) = self.models.get_mut(model) else {
            self.models.insert(
                model.clone(),
                ModelHistory { last: now, gaps: InterArrivalHistogram::default(), burst: 1.0 },
            );
            return;
        };
        let gap = now.since(history.last);
        history.last = history.last.max(now);
        if gap >= MIN_GAP {
            history.gaps.add(gap);
            self.common.add(gap);
        }
    }

    /// Records how many requests waited for a cold start.
    pub(crate) fn record_cold_start(&mut self, model: &ModelName, requests: u32) {
        if let Some(history) = self.models.get_mut(model) {
            history.burst += (f64::from(requests.max(1)) - history.burst) * BURST_WEIGHT;
        }
    }

    /// Returns when the model was last used.
    pub(crate) fn last(&self, model: &ModelName) -> Option<Time> {
        self.models.get(model).map(|history| history.last)
    }

    /// Returns the average number of requests that wait for a cold start of the model.
    pub(crate) fn burst(&self, model: &ModelName) -> f64 {
        self.models.get(model).map_or(1.0, |history| history.burst)
    }

    /// Returns the distribution of the model's gaps, or none without enough history.
    pub(crate) fn gap_distribution(&self, model: &ModelName) -> Option<InterArrivalDistribution> {
        let none = InterArrivalHistogram::default();
        let own = self.models.get(model).map_or(&none, |history| &history.gaps);
        if self.common.weight() >= MIN_COMMON_WEIGHT {
            return Some(InterArrivalDistribution::new(own, &self.common, PRIOR_WEIGHT));
        }
        (own.weight() >= MIN_OWN_WEIGHT).then(|| InterArrivalDistribution::new(own, &none, 0.0))
    }

    /// Returns the distribution of the model's gaps, or none without enough of its own.
    pub(crate) fn own_gap_distribution(&self, model: &ModelName) -> Option<InterArrivalDistribution> {
        let history = self.models.get(model).filter(|history| history.gaps.weight() >= MIN_OWN_WEIGHT)?;
        Some(InterArrivalDistribution::new(&history.gaps, &self.common, PRIOR_WEIGHT))
    }
}
