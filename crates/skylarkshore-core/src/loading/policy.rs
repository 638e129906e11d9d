//! Keep-alive and prewarming policy: whether idle models are worth keeping, or
//! loading ahead of a request.

use std::time::Duration;

use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::history::History;
use crate::loading::inter_arrival::InterArrivalDistribution;
use crate::loading::power_shortage::Margin;
use crate::rules::{IdleAfter, Percent, RuleInput, RuleOutcome};

/// Prediction horizons, in seconds.
const HORIZONS: [f64; 16] = [
    2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, 1280.0, 2560.0, 5120.0, 7680.0, 10240.0, 20480.0,
    40960.0,
];
/// Required ratio of benefit to cost for a prewarm.
const PREWARM_MARGIN: f64 = 1.5;
/// Lead of a prewarm over the expected request, as a multiple of the load time.
const PREWARM_LEAD: f64 = 1.3;

/// Facts about a model that the rules can match.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelUse {
    /// Time since its last request.
    pub idle_for: Option<Duration>,
    /// Number of waiting requests.
    pub queue: u32,
    /// Share of the engine's memory that is in use or reserved.
    pub memory_pressure: Percent,
}

/// Returns the rules' outcome for a model.
pub(crate) fn outcome<'a>(cx: &Cx<'a>, model: &ModelName, usage: ModelUse) -> &'a RuleOutcome {
    let facts = RuleInput {
        model: Some(model),
        data_centre: Some(&cx.cfg.data_centre),
        at: Some(cx.at),
        memory_pressure: Some(usage.memory_pressure),
        idle_for: usage.idle_for,
        queue: Some(usage.queue),
        ..RuleInput::default()
    };
    cx.document.rules.decide(&facts).outcome
}

/// An idle model that may stay loaded.
#[derive(Clone, Debug)]
pub(crate) struct IdleModel {
    /// Time since its last use.
    idle: Duration,
    /// Cost of a cold start, in seconds of idle accelerator time.
    cold_start_cost: f64,
    /// Distribution of the gaps between its uses; none without history.
    expected: Option<InterArrivalDistribution>,
}

impl IdleModel {
    /// Creates the entry of an idle model whose load takes `load_time`.
    pub(crate) fn new(
        history: &History,
        model: &ModelName,
        outcome: &RuleOutcome,
        load_time: Duration,
        idle: Duration,
    ) -> Self {
        let cold_start_cost = cold_start_cost(history, model, outcome, load_time);
        Self { idle, cold_start_cost, expected: history.gap_distribution(model) }
    }

    /// Returns the probability that the model stays unused for `d` longer.
    fn idle_probability(&self, d: Duration) -> f64 {
        match &self.expected {
            Some(expected) => expected.conditional_survival(self.idle, d),
            // Without history, the model is kept for the break-even time. This costs
            // at most twice as much as the best decision in hindsight.
            None if self.idle.as_secs_f64() < self.cold_start_cost => 0.0,
            None => 1.0,
        }
    }

    /// Returns the expected saving if the model stays, to compare eviction candidates.
    pub(crate) fn value(&self) -> f64 {
        let look_ahead = Duration::from_mins(10);
        self.cold_start_cost * (1.0 - self.idle_probability(look_ahead))
    }
}

/// Returns the cost of a cold start, in seconds of idle accelerator time.
fn cold_start_cost(history: &History, model: &ModelName, outcome: &RuleOutcome, load_time: Duration) -> f64 {
    if outcome.idle_weight == 0 {
        return f64::INFINITY;
    }
    let weight = f64::from(outcome.cold_start_weight) / f64::from(outcome.idle_weight);
    weight * load_time.as_secs_f64() * history.burst(model)
}

/// Reports whether an idle engine is worth keeping awake with all its models.
///
/// An awake engine costs the same whatever it holds, so its models are evaluated
/// together: the cold starts that they avoid against the idle time until the first
/// of them is used, at the best horizon.
pub(crate) fn is_worth_keeping(idle_models: &[IdleModel], margin: Margin) -> bool {
    let Margin::Times(margin) = margin else { return false };
    if idle_models.iter().any(|model| model.cold_start_cost.is_infinite()) {
        return true;
    }
    let mut cost = 0.0;
    let mut previous_horizon = 0.0;
    let mut unused_before = 1.0;
    for horizon in HORIZONS {
        let ahead = Duration::from_secs_f64(horizon);
        let unused: f64 = idle_models.iter().map(|model| model.idle_probability(ahead)).product();
        cost += (horizon - previous_horizon) * f64::midpoint(unused_before, unused);
        let saved: f64 = idle_models
            .iter()
            .map(|model| model.cold_start_cost * (1.0 - model.idle_probability(ahead)))
            .sum();
        if saved >= margin * cost {
            return true;
        }
        previous_horizon = horizon;
        unused_before = unused;
    }
    false
}

/// Reports whether a model that is not loaded is worth loading ahead of its next request.
pub(crate) fn is_worth_prewarming(
    history: &History,
    model: &ModelName,
    outcome: &RuleOutcome,
    load_time: Duration,
    idle: Duration,
) -> bool {
    if outcome.idle_after != IdleAfter::Adaptive {
        return false;
    }
    let Some(expected) = history.own_gap_distribution(model) else { return false };
    let cold_start_cost = cold_start_cost(history, model, outcome, load_time);
    let lead = load_time.mul_f64(PREWARM_LEAD);
    let mut cost = lead.as_secs_f64();
    let mut previous_horizon = 0.0;
    let at_ready = expected.conditional_survival(idle, lead);
    let mut unused_before = at_ready;
    for horizon in HORIZONS {
        let unused = expected.conditional_survival(idle, lead + Duration::from_secs_f64(horizon));
        cost += (horizon - previous_horizon) * f64::midpoint(unused_before, unused);
        if cold_start_cost * (at_ready - unused) >= PREWARM_MARGIN * cost {
            return true;
        }
        previous_horizon = horizon;
        unused_before = unused;
    }
    false
}
