//! Request rate and work per model, from the routers' usage reports. See [`Usage`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::id::ModelName;
use crate::time::Time;

/// Time constant of the moving averages.
///
/// Demand shifts between models within seconds; averages over minutes would keep
/// replicas of models that are no longer in demand while callers of others wait.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Moving averages of one model.
#[derive(Clone, Copy, Debug, Default)]
struct UsageRate {
    /// Requests that arrive per second.
    requests: f64,
    /// Requests per second that engines began to answer late.
    late: f64,
    /// Average number of concurrent requests.
    running: f64,
    /// When engines were last reported to have worked on requests.
    worked_at: Option<Time>,
    at: Time,
}

impl UsageRate {
    fn at(self, now: Time) -> Self {
        let age = now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        let decay = (-age).exp();
        Self {
            requests: self.requests * decay,
            late: self.late * decay,
            running: self.running * decay,
            at: now,
            ..self
        }
    }
}

/// A router's usage report for a model since its previous one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageSample {
    /// Requests that arrived.
    pub arrived: u32,
    /// Answers that began late because of the engine.
    pub late: u32,
    /// Total running time of the requests.
    pub run_time: Duration,
}

/// Usage of all models.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    rates: OrderedMap<ModelName, UsageRate>,
}

impl Usage {
    /// Records a usage report.
    pub(crate) fn record(&mut self, now: Time, model: &ModelName, sample: UsageSample) {
        let mut rate = self.rate(now, model);
        rate.requests += f64::from(sample.arrived) / TIME_CONSTANT.as_secs_f64();
        rate.late += f64::from(sample.late) / TIME_CONSTANT.as_secs_f64();
        rate.running += sample.run_time.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        if sample.run_time > Duration::ZERO {
            rate.worked_at = Some(now);
        }
        self.rates.insert(model.clone(), rate);
    }

    /// Returns the requests for the model per second.
    pub(crate) fn request_rate(&self, now: Time, model: &ModelName) -> f64 {
        self.rate(now, model).requests
    }

    /// Returns when engines were last reported to have worked on requests for the model.
    pub(crate) fn last_worked(&self, model: &ModelName) -> Option<Time> {
        self.rates.get(model)?.worked_at
    }

    /// Returns the average number of concurrent requests for the model.
    pub(crate) fn running(&self, now: Time, model: &ModelName) -> f64 {
        self.rate(now, model).running
    }

    /// Returns the share of requests that engines begin to answer late.
    pub(crate) fn late_share(&self, now: Time, model: &ModelName) -> f64 {
        let rate = self.rate(now, model);
        if rate.requests > 0.0 { rate.late / rate.requests } else { 0.0 }
    }

    /// Returns the models whose request rate is at least `request_rate`.
    pub(crate) fn models_above(&self, now: Time, request_rate: f64) -> impl Iterator<Item = &ModelName> {
        self.rates.keys().filter(move |model| self.request_rate(now, model) >= request_rate)
    }

    fn rate(&self, now: Time, model: &ModelName) -> UsageRate {
        self.rates.get(model).copied().unwrap_or_default().at(now)
    }
}
