//! The results of a replay, and a table that compares several.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use skylarkshore_core::effect::RefusalOutcome;
use skylarkshore_core::event::Target;
use skylarkshore_core::rules::{RuleInput, Rules};
use skylarkshore_core::units::Watts;

use super::policy::Policy;
use crate::world::{RequestLog, World};

/// The shortest wait that counts as a cold start; warm requests start within a few milliseconds.
const COLD_START_THRESHOLD: Duration = Duration::from_secs(1);

/// The results of a replay.
///
/// A wait is the time from a request's arrival to the first part of its answer.
/// A request that wasn't served counts with its whole time-out, so that refusing
/// requests doesn't improve the results.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The policy of the replay.
    pub policy: Policy,
    /// Requests for models and services that were answered.
    pub served: u64,
    /// Requests that were refused as not run.
    pub refused_not_run: u64,
    /// Requests that ended in any other way.
    pub ended_otherwise: u64,
    /// Requests for models that waited for a cold start.
    pub cold: u64,
    /// The median wait for models.
    pub wait_p50: Duration,
    /// The 95th percentile of the waits for models.
    pub wait_p95: Duration,
    /// The 99th percentile of the waits for models.
    pub wait_p99: Duration,
    /// The 99th percentile of the cold starts.
    pub cold_p99: Duration,
    /// The longest wait for a model.
    pub longest_wait: Duration,
    /// The sum of all waits for models.
    pub total_wait: Duration,
    /// The cost of the waits by the deployment's own weights, as time of one idle accelerator.
    pub wait_cost: Duration,
    /// The accumulated time during which accelerators held a model without running a request.
    pub idle: Duration,
    /// The highest power draw of a site.
    pub peak_power: Watts,
    /// Model loads that engines started.
    pub loads: u64,
}

/// The upper bound of the wait histogram: one day.
const MAX_WAIT_MS: u64 = 24 * 3600 * 1000;
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
        let cold: Vec<Duration> =
            waits.iter().copied().filter(|wait| *wait >= COLD_START_THRESHOLD).collect();
        let (all, cold_starts) = (histogram(&waits), histogram(&cold));
        Self {
            policy,
            served,
            refused_not_run,
            ended_otherwise: logs().count() as u64 - served - refused_not_run,
            cold: cold.len() as u64,
            wait_p50: quantile(&all, 0.5),
            wait_p95: quantile(&all, 0.95),
            wait_p99: quantile(&all, 0.99),
            cold_p99: quantile(&cold_starts, 0.99),
            total_wait: waits.iter().sum(),
            wait_cost: logs().map(|log| cost(rules, log)).sum(),
            longest_wait: waits.iter().copied().max().unwrap_or_default(),
            idle,
            peak_power: world.checks.peak_watts.values().copied().max().unwrap_or_default(),
            loads,
        }
    }

    /// Returns the weighted waits plus the idle time, in accelerator hours.
    pub fn cost_hours(&self) -> f64 {
        (self.wait_cost + self.idle).as_secs_f64() / SECS_PER_HOUR
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
    let input = RuleInput { model: Some(&target.model), ..RuleInput::default() };
    let outcome = rules.decide(&input).outcome;
    wait(log) * outcome.cold_start_weight / outcome.idle_weight.max(1)
}

fn histogram(waits: &[Duration]) -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_WAIT_MS, 3).expect("the bounds are within the library's limits");
    for wait in waits {
        histogram.saturating_record(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    }
    histogram
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Duration {
    Duration::from_millis(histogram.value_at_quantile(quantile))
}

/// Formats a table with a row per outcome.
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
            o.ended_otherwise,
            o.cold,
            o.wait_p50.as_secs_f64(),
            o.wait_p95.as_secs_f64(),
            o.wait_p99.as_secs_f64(),
            o.cold_p99.as_secs_f64(),
            o.longest_wait.as_secs_f64(),
            o.total_wait.as_secs_f64() / SECS_PER_HOUR,
            o.idle_hours(),
            o.cost_hours(),
            o.peak_power.0,
            o.loads
        );
    }
    text
}
