//! Whether it pays to stay loaded, and to load ahead of a request.

use std::time::Duration;

use crate::cx::Cx;
use crate::id::ModelName;
use crate::loading::gaps::Expectation;
use crate::loading::history::History;
use crate::loading::shortage::Margin;
use crate::rules::{IdleAfter, Percent, RuleInput, RuleOutcome};

/// The times ahead that are looked at, in seconds.
const HORIZONS: [f64; 16] = [
    2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, 1280.0, 2560.0, 5120.0, 7680.0, 10240.0, 20480.0,
    40960.0,
];
/// How much more a load ahead of any request has to be worth than it costs.
const PREWARM_MARGIN: f64 = 1.5;
/// How much earlier than needed a load ahead of a request begins, as a share of its time.
const PREWARM_LEAD: f64 = 1.3;

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
pub(crate) fn outcome<'a>(cx: &Cx<'a>, model: &ModelName, usage: Use) -> &'a RuleOutcome {
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

/// An idle model that could stay loaded.
#[derive(Clone, Debug)]
pub(crate) struct Stay {
    /// How long it hasn't been used.
    idle: Duration,
    /// What a cold start that is avoided is worth, in seconds of an idle accelerator.
    worth: f64,
    expected: Option<Expectation>,
}

impl Stay {
    /// Describes an idle model whose load takes `load_time`.
    pub(crate) fn new(
        history: &History,
        model: &ModelName,
        outcome: &RuleOutcome,
        load_time: Duration,
        idle: Duration,
    ) -> Self {
        let worth = worth(history, model, outcome, load_time);
        Self { idle, worth, expected: history.expectation(model) }
    }

    /// Returns the chance that no request comes for `d` more.
    fn lasts(&self, d: Duration) -> f64 {
        match &self.expected {
            Some(expected) => expected.lasts(self.idle, d),
            // Without a history the break-even time is kept: staying then costs at
            // most as much again as the best decision in hindsight.
            None if self.idle.as_secs_f64() < self.worth => 0.0,
            None => 1.0,
        }
    }

    /// Returns what staying for a while saves for each second, to compare models that could make room.
    pub(crate) fn value(&self) -> f64 {
        let while_ahead = Duration::from_mins(10);
        self.worth * (1.0 - self.lasts(while_ahead))
    }
}

/// Returns what an avoided cold start is worth, in seconds of an idle accelerator.
fn worth(history: &History, model: &ModelName, outcome: &RuleOutcome, load_time: Duration) -> f64 {
    if outcome.idle_weight == 0 {
        return f64::INFINITY;
    }
    let weight = f64::from(outcome.cold_start_weight) / f64::from(outcome.idle_weight);
    weight * load_time.as_secs_f64() * history.burst(model)
}

/// Tells whether an engine on which nothing runs is better kept awake with all that it holds.
///
/// An awake engine costs the same whatever it holds, so its models are looked
/// at together: what they save with the cold starts that they avoid, against
/// the time until the first of them is used, for the best time to look ahead.
pub(crate) fn is_worth_staying(idle: &[Stay], margin: Margin) -> bool {
    let Margin::Times(margin) = margin else { return false };
    if idle.iter().any(|stay| stay.worth.is_infinite()) {
        return true;
    }
    let mut cost = 0.0;
    let mut earlier = 0.0;
    let mut unused_before = 1.0;
    for horizon in HORIZONS {
        let ahead = Duration::from_secs_f64(horizon);
        let unused: f64 = idle.iter().map(|stay| stay.lasts(ahead)).product();
        cost += (horizon - earlier) * f64::midpoint(unused_before, unused);
        let saved: f64 = idle.iter().map(|stay| stay.worth * (1.0 - stay.lasts(ahead))).sum();
        if saved >= margin * cost {
            return true;
        }
        earlier = horizon;
        unused_before = unused;
    }
    false
}

/// Tells whether a model that isn't loaded had better be loaded now, ahead of its next request.
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
    let Some(expected) = history.own_expectation(model) else { return false };
    let worth = worth(history, model, outcome, load_time);
    let lead = load_time.mul_f64(PREWARM_LEAD);
    let mut cost = lead.as_secs_f64();
    let mut earlier = 0.0;
    let at_ready = expected.lasts(idle, lead);
    let mut unused_before = at_ready;
    for horizon in HORIZONS {
        let unused = expected.lasts(idle, lead + Duration::from_secs_f64(horizon));
        cost += (horizon - earlier) * f64::midpoint(unused_before, unused);
        if worth * (at_ready - unused) >= PREWARM_MARGIN * cost {
            return true;
        }
        earlier = horizon;
        unused_before = unused;
    }
    false
}
