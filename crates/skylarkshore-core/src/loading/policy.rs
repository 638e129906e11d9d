//! How long an unused model stays loaded, and what the rules say about a model.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::rules::{Facts, IdleAfter, Outcome, Percent};
use crate::time::Time;

/// When requests for each model arrived, in bounded memory.
#[derive(Debug, Default)]
pub(crate) struct History {
    models: OrderedMap<ModelName, Arrivals>,
}

#[derive(Clone, Copy, Debug)]
struct Arrivals {
    last: Time,
}

impl History {
    /// Takes note that requests for a model have arrived.
    pub(crate) fn arrived(&mut self, now: Time, model: &ModelName) {
        self.models
            .entry(model.clone())
            .and_modify(|arrivals| arrivals.last = now)
            .or_insert(Arrivals { last: now });
    }

    /// Returns when a request for the model last arrived.
    pub(crate) fn last(&self, model: &ModelName) -> Option<Time> {
        self.models.get(model).map(|arrivals| arrivals.last)
    }

    /// Returns how long a model may stay without requests.
    pub(crate) fn keep_for(&self, _model: &ModelName, outcome: &Outcome, load_time: Duration) -> Duration {
        match outcome.idle_after {
            IdleAfter::Never => Duration::MAX,
            IdleAfter::Fixed(idle) => idle,
            IdleAfter::Adaptive => break_even(outcome, load_time),
        }
    }
}

/// Returns the idle time that costs as much as the cold start that it saves.
///
/// Unloading then costs at most twice what it would cost to know the next
/// request's time, whenever that comes.
fn break_even(outcome: &Outcome, load_time: Duration) -> Duration {
    if outcome.idle_weight == 0 {
        return Duration::MAX;
    }
    load_time.saturating_mul(outcome.cold_start_weight) / outcome.idle_weight
}

/// What is known of a model's use when a rule is looked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Use {
    /// How long it has had no request.
    pub idle_for: Option<Duration>,
    /// How many requests wait for it.
    pub queue: u32,
    /// The share of the engine's memory that is spoken for.
    pub memory_pressure: Percent,
}

/// Finds what the rules decide for a model.
pub(crate) fn outcome<'a>(cx: &Cx<'a>, model: &ModelName, usage: Use) -> &'a Outcome {
    let facts = Facts {
        model: Some(model),
        data_centre: Some(&cx.cfg.data_centre),
        at: Some(cx.at),
        memory_pressure: Some(usage.memory_pressure),
        idle_for: usage.idle_for,
        queue: Some(usage.queue),
        ..Facts::default()
    };
    cx.document.rules.decide(&facts).outcome
}
