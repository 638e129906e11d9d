//! When each model was used, as far as its owner sees it.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::ModelName;
use crate::loading::gaps::{Expectation, Gaps};
use crate::time::Time;

/// Uses that lie closer together than this belong together.
const SHORTEST_GAP: Duration = Duration::from_secs(2);
/// How many gaps of all models together make up for a model's missing history.
const COMMON_LEAST: f32 = 8.0;
/// As how many gaps of a model's own the common ones count.
const PRIOR: f32 = 1.5;
/// The fewest gaps of a model's own that count as a history without common ones.
const OWN_LEAST: f32 = 3.0;
/// How much a new burst counts against all earlier ones.
const BURST_SHARE: f64 = 0.2;

/// One model's use.
#[derive(Clone, Debug)]
struct Usage {
    last: Time,
    gaps: Gaps,
    /// Requests that wait when a load begins, on average.
    burst: f64,
}

/// Every model's use.
#[derive(Debug, Default)]
pub(crate) struct History {
    models: OrderedMap<ModelName, Usage>,
    common: Gaps,
}

impl History {
    /// Takes note that a model is in use or waited for.
    pub(crate) fn used(&mut self, now: Time, model: &ModelName) {
        let Some(usage) = self.models.get_mut(model) else {
            self.models.insert(model.clone(), Usage { last: now, gaps: Gaps::default(), burst: 1.0 });
            return;
        };
        let gap = now.since(usage.last);
        usage.last = usage.last.max(now);
        if gap >= SHORTEST_GAP {
            usage.gaps.add(gap);
            self.common.add(gap);
        }
    }

    /// Takes note of how many requests felt a cold start.
    pub(crate) fn felt(&mut self, model: &ModelName, requests: u32) {
        if let Some(usage) = self.models.get_mut(model) {
            usage.burst += (f64::from(requests.max(1)) - usage.burst) * BURST_SHARE;
        }
    }

    /// Returns when the model was last used.
    pub(crate) fn last(&self, model: &ModelName) -> Option<Time> {
        self.models.get(model).map(|usage| usage.last)
    }

    /// Returns how many requests a cold start of the model makes wait, on average.
    pub(crate) fn burst(&self, model: &ModelName) -> f64 {
        self.models.get(model).map_or(1.0, |usage| usage.burst)
    }

    /// Returns what is expected of the model's gap, if anything is known that helps.
    pub(crate) fn expectation(&self, model: &ModelName) -> Option<Expectation> {
        let none = Gaps::default();
        let own = self.models.get(model).map_or(&none, |usage| &usage.gaps);
        if self.common.weight() >= COMMON_LEAST {
            return Some(Expectation::new(own, &self.common, PRIOR));
        }
        (own.weight() >= OWN_LEAST).then(|| Expectation::new(own, &none, 0.0))
    }

    /// Returns what is expected of the model's gap from its own history alone.
    pub(crate) fn own_expectation(&self, model: &ModelName) -> Option<Expectation> {
        let usage = self.models.get(model).filter(|usage| usage.gaps.weight() >= OWN_LEAST)?;
        Some(Expectation::new(&usage.gaps, &self.common, PRIOR))
    }
}
