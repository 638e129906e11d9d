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
    /// Those of them that engines began to answer late.
    late: f64,
    /// Requests that run at a time.
    running: f64,
    /// When engines were last told to have worked for them.
    worked_at: Option<Time>,
    at: Time,
}

impl Rate {
    fn at(self, now: Time) -> Self {
        let age = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let left = (-age).exp();
        Self {
            requests: self.requests * left,
            late: self.late * left,
            running: self.running * left,
            at: now,
            ..self
        }
    }
}

/// What a router tells of a model's use since it last did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counted {
    /// Requests that arrived.
    pub arrived: u32,
    /// Answers that began late for the engine's sake.
    pub late: u32,
    /// For how long requests ran, added up.
    pub run_time: Duration,
}

/// How much each model is used.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    rates: OrderedMap<ModelName, Rate>,
}

impl Usage {
    /// Counts what a router tells.
    pub(crate) fn count(&mut self, now: Time, model: &ModelName, told: Counted) {
        let mut rate = self.rate(now, model);
        rate.requests += f64::from(told.arrived) / MEMORY.as_secs_f64();
        rate.late += f64::from(told.late) / MEMORY.as_secs_f64();
        rate.running += told.run_time.as_secs_f64() / MEMORY.as_secs_f64();
        if told.run_time > Duration::ZERO {
            rate.worked_at = Some(now);
        }
        self.rates.insert(model.clone(), rate);
    }

    /// Returns how many requests for the model arrive in a second.
    pub(crate) fn per_second(&self, now: Time, model: &ModelName) -> f64 {
        self.rate(now, model).requests
    }

    /// Returns when engines were last told to have worked on requests for the model.
    pub(crate) fn last_worked(&self, model: &ModelName) -> Option<Time> {
        self.rates.get(model)?.worked_at
    }

    /// Returns how many requests for the model run at a time.
    pub(crate) fn running(&self, now: Time, model: &ModelName) -> f64 {
        self.rate(now, model).running
    }

    /// Returns the share of the model's requests that engines begin to answer late.
    pub(crate) fn late_share(&self, now: Time, model: &ModelName) -> f64 {
        let rate = self.rate(now, model);
        if rate.requests > 0.0 { rate.late / rate.requests } else { 0.0 }
    }

    /// Returns the models that are asked for at least as often as this.
    pub(crate) fn above(&self, now: Time, per_second: f64) -> impl Iterator<Item = &ModelName> {
        self.rates.keys().filter(move |model| self.per_second(now, model) >= per_second)
    }

    fn rate(&self, now: Time, model: &ModelName) -> Rate {
        self.rates.get(model).copied().unwrap_or_default().at(now)
    }
}
