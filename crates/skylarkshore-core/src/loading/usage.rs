//! How often each model is asked for and how much work that is, as the routers tell.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::ModelName;
use crate::time::Time;

/// How far back the means go.
///
/// Demand moves to other models within seconds; a mean over minutes would keep
/// replicas of yesterday's models while today's callers wait.
const MEMORY: Duration = Duration::from_secs(5);

/// One model's use.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Requests that arrive in a second.
    requests: f64,
    /// Requests that run at a time.
    running: f64,
    at: Time,
}

impl Rate {
    fn at(self, now: Time) -> Self {
        let age = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let left = (-age).exp();
        Self { requests: self.requests * left, running: self.running * left, at: now }
    }
}

/// How much each model is used.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    rates: OrderedMap<ModelName, Rate>,
}

impl Usage {
    /// Counts requests that arrived at a router, and for how long its requests ran.
    pub(crate) fn count(&mut self, now: Time, model: &ModelName, requests: u32, worked: Duration) {
        let mut rate = self.rate(now, model);
        rate.requests += f64::from(requests) / MEMORY.as_secs_f64();
        rate.running += worked.as_secs_f64() / MEMORY.as_secs_f64();
        self.rates.insert(model.clone(), rate);
    }

    /// Returns how many requests for the model arrive in a second.
    pub(crate) fn per_second(&self, now: Time, model: &ModelName) -> f64 {
        self.rate(now, model).requests
    }

    /// Returns how many requests for the model run at a time.
    pub(crate) fn running(&self, now: Time, model: &ModelName) -> f64 {
        self.rate(now, model).running
    }

    /// Returns the models that are asked for at least as often as this.
    pub(crate) fn above(&self, now: Time, per_second: f64) -> impl Iterator<Item = &ModelName> {
        self.rates.keys().filter(move |model| self.per_second(now, model) >= per_second)
    }

    fn rate(&self, now: Time, model: &ModelName) -> Rate {
        self.rates.get(model).copied().unwrap_or_default().at(now)
    }
}
