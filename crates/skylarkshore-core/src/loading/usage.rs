//! How often each model is asked for, as the routers tell.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::ModelName;
use crate::time::Time;

/// How far back the mean goes.
///
/// Demand moves to other models within seconds; a mean over minutes would keep
/// replicas of yesterday's models while today's callers wait.
const MEMORY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at: Time,
}

/// How often each model is asked for.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    rates: OrderedMap<ModelName, Rate>,
}

impl Usage {
    /// Counts requests that arrived at a router.
    pub(crate) fn count(&mut self, now: Time, model: &ModelName, requests: u32) {
        let per_second = self.per_second(now, model) + f64::from(requests) / MEMORY.as_secs_f64();
        self.rates.insert(model.clone(), Rate { per_second, at: now });
    }

    /// Returns how many requests for the model arrive in a second.
    pub(crate) fn per_second(&self, now: Time, model: &ModelName) -> f64 {
        let Some(rate) = self.rates.get(model) else { return 0.0 };
        let age = now.since(rate.at).as_secs_f64() / MEMORY.as_secs_f64();
        rate.per_second * (-age).exp()
    }

    /// Returns the models that are asked for at least as often as this.
    pub(crate) fn above(&self, now: Time, per_second: f64) -> impl Iterator<Item = &ModelName> {
        self.rates.keys().filter(move |model| self.per_second(now, model) >= per_second)
    }
}
