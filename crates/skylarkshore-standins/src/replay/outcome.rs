//! What came of a replay, and the table that compares several.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use skylarkshore_core::effect::RefusalOutcome;
use skylarkshore_core::event::Target;
use skylarkshore_core::rules::{RuleInput, Rules};
use skylarkshore_core::units::Watts;

use super::policy::Policy;
use crate::world::{RequestLog, World};

/// A wait that counts as a cold start; warm requests begin within a few milliseconds.
const COLD: Duration = Duration::from_secs(1);

/// What came of a replay.
///
/// A wait is the time from a request's arrival to the first part of its answer.
/// A request that wasn't served counts with its whole time-out, so that nothing
/// is gained by refusing.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Under which policy.
    pub policy: Policy,
    /// Requests for models and services that were answered.
    pub served: u64,
    /// Requests that were refused as not run.
    pub refused_not_run: u64,
    /// Requests that ended in any other way.
    pub others: u64,
    /// Requests for models that met a cold start.
    pub cold: u64,
    /// What half of the requests for models waited at most.
    pub wait_p50: Duration,
    /// What 95 of 100 requests for models waited at most.
    pub wait_p95: Duration,
    /// What 99 of 100 requests for models waited at most.
    pub wait_p99: Duration,
    /// What 99 of 100 cold starts took at most.
    pub cold_p99: Duration,
    /// The longest wait of a request for a model.
    pub longest: Duration,
    /// What requests for models waited, all together.
    pub waited: Duration,
    /// What the waits cost by the deployment's own weights, in seconds of an idle accelerator.
    pub waits_cost: Duration,
    /// How long accelerators held a model and ran nothing.
    pub idle: Duration,
    /// The most that a site drew.
    pub peak: Watts,
    /// Loads that engines began.
    pub loads: u64,
}

/// The longest wait that is told apart, in milliseconds: a day.
const LONGEST_MS: u64 = 24 * 3600 * 1000;
const SECS_PER_HOUR: f64 = 3600.0;

impl Outcome {
    pub(super) fn new(policy: Policy, world: &World, rules: &Rules, idle: Duration, loads: u64) -> Self {
        let logs = || world.callers.requests.values();
        let is_not_run =
            |log: &&RequestLog| log.refusal().is_some_and(|r| r.outcome == RefusalOutcome::NotRun);
        let served = logs().filter(|log| log.is_answered()).count() as u64;
        let refused_not_run = logs().filter(is_not_run).count() as u64;
        let models = logs().filter(|log| matches!(log.ask.target, Target::Model(_)));
        let waits: Vec<Duration> = models.map(wait).collect();
        let cold: Vec<Duration> = waits.iter().copied().filter(|wait| *wait >= COLD).collect();
        let (all, cold_starts) = (histogram(&waits), histogram(&cold));
        Self {
            policy,
            served,
            refused_not_run,
            others: logs().count() as u64 - served - refused_not_run,
            cold: cold.len() as u64,
            wait_p50: quantile(&all, 0.5),
            wait_p95: quantile(&all, 0.95),
            wait_p99: quantile(&all, 0.99),
            cold_p99: quantile(&cold_starts, 0.99),
            waited: waits.iter().sum(),
            waits_cost: logs().map(|log| cost(rules, log)).sum(),
            longest: waits.iter().copied().max().unwrap_or_default(),
            idle,
            peak: world.checks.peak_watts.values().copied().max().unwrap_or_default(),
            loads,
        }
    }

    /// Returns what the rules weigh: waits by their weight, and idle accelerators, in hours of the latter.
    pub fn cost_hours(&self) -> f64 {
        (self.waits_cost + self.idle).as_secs_f64() / SECS_PER_HOUR
    }

    /// Returns the idle accelerator hours.
    pub fn idle_hours(&self) -> f64 {
        self.idle.as_secs_f64() / SECS_PER_HOUR
    }
}

fn wait(log: &RequestLog) -> Duration {
    let served = log.started.filter(|_| log.is_answered());
    served.map_or(log.ask.timeout, |started| started.since(log.arrived))
}

fn cost(rules: &Rules, log: &RequestLog) -> Duration {
    let Target::Model(target) = &log.ask.target else { return Duration::ZERO };
    let facts = RuleInput { model: Some(&target.model), ..RuleInput::default() };
    let outcome = rules.decide(&facts).outcome;
    wait(log) * outcome.cold_start_weight / outcome.idle_weight.max(1)
}

fn histogram(waits: &[Duration]) -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, LONGEST_MS, 3).expect("the bounds are within the library's limits");
    for wait in waits {
        histogram.saturating_record(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    }
    histogram
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Duration {
    Duration::from_millis(histogram.value_at_quantile(quantile))
}

/// Writes a table with a line for each outcome.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut text = format!(
        "{:<12} {:>7} {:>8} {:>6} {:>6} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>7} {:>7} {:>7} {:>6}\n",
        "policy",
        "served",
        "not_run",
        "other",
        "cold",
        "p50_s",
        "p95_s",
        "p99_s",
        "cold99_s",
        "longest_s",
        "waited_h",
        "idle_h",
        "cost_h",
        "peak_W",
        "loads"
    );
    for o in outcomes {
        // Writing to a string can't fail.
        _ = writeln!(
            text,
            "{:<12} {:>7} {:>8} {:>6} {:>6} {:>8.2} {:>8.2} {:>8.2} {:>9.2} {:>9.2} {:>8.2} {:>7.2} {:>7.2} {:>7} {:>6}",
            o.policy.to_string(),
            o.served,
            o.refused_not_run,
            o.others,
            o.cold,
            o.wait_p50.as_secs_f64(),
            o.wait_p95.as_secs_f64(),
            o.wait_p99.as_secs_f64(),
            o.cold_p99.as_secs_f64(),
            o.longest.as_secs_f64(),
            o.waited.as_secs_f64() / SECS_PER_HOUR,
            o.idle_hours(),
            o.cost_hours(),
            o.peak.0,
            o.loads
        );
    }
    text
}
