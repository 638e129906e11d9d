//! When each model was used, as far as its owner sees it.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::ModelName;
use crate::loading::inter_arrival::{InterArrivalDistribution, InterArrivalHistogram};
use crate::time::Time;

/// Uses that lie closer together than this belong together.
const MIN_GAP: Duration = Duration::from_secs(2);
/// How many gaps of all models together make up for a model's missing history.
const MIN_COMMON_WEIGHT: f32 = 8.0;
/// As how many gaps of a model's own the common ones count.
const PRIOR_WEIGHT: f32 = 1.5;
/// The fewest gaps of a model's own that count as a history without common ones.
const MIN_OWN_WEIGHT: f32 = 3.0;
/// How much a new burst counts against all earlier ones.
const BURST_WEIGHT: f64 = 0.2;

/// One model's use.
#[derive(Clone, Debug)]
struct ModelHistory {
    last: Time,
    gaps: InterArrivalHistogram,
    /// Requests that wait when a load begins, on average.
    burst: f64,
}

/// Every model's use.
#[derive(Debug, Default)]
pub(crate) struct History {
    models: OrderedMap<ModelName, ModelHistory>,
    common: InterArrivalHistogram,
}

impl History {
    /// Takes note that a model is in use or waited for.
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

    /// Takes note of how many requests felt a cold start.
    pub(crate) fn record_cold_start(&mut self, model: &ModelName, requests: u32) {
        if let Some(history) = self.models.get_mut(model) {
            history.burst += (f64::from(requests.max(1)) - history.burst) * BURST_WEIGHT;
        }
    }

    /// Returns when the model was last used.
    pub(crate) fn last(&self, model: &ModelName) -> Option<Time> {
        self.models.get(model).map(|history| history.last)
    }

    /// Returns how many requests a cold start of the model makes wait, on average.
    pub(crate) fn burst(&self, model: &ModelName) -> f64 {
        self.models.get(model).map_or(1.0, |history| history.burst)
    }

    /// Returns what is expected of the model's gap, if anything is known that helps.
    pub(crate) fn gap_distribution(&self, model: &ModelName) -> Option<InterArrivalDistribution> {
        let none = InterArrivalHistogram::default();
        let own = self.models.get(model).map_or(&none, |history| &history.gaps);
        if self.common.weight() >= MIN_COMMON_WEIGHT {
            return Some(InterArrivalDistribution::new(own, &self.common, PRIOR_WEIGHT));
        }
        (own.weight() >= MIN_OWN_WEIGHT).then(|| InterArrivalDistribution::new(own, &none, 0.0))
    }

    /// Returns what is expected of the model's gap from its own history alone.
    pub(crate) fn own_gap_distribution(&self, model: &ModelName) -> Option<InterArrivalDistribution> {
        let history = self.models.get(model).filter(|history| history.gaps.weight() >= MIN_OWN_WEIGHT)?;
        Some(InterArrivalDistribution::new(&history.gaps, &self.common, PRIOR_WEIGHT))
    }
}
