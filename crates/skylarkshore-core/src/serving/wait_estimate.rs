//! Answer times and concurrency of each target, to estimate waits.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::event::Target;
use crate::time::Time;

/// Approximate number of answers that the moving mean covers.
const MEAN_ANSWERS: u32 = 8;

#[derive(Debug, Default)]
struct TargetStats {
    running: u32,
    /// Accumulated run time of all requests up to `counted_until`, since it was last taken.
    run_time: Duration,
    counted_until: Time,
    mean: Option<Duration>,
}

impl TargetStats {
    fn count_run_time(&mut self, now: Time) {
        self.run_time += now.since(self.counted_until) * self.running;
        self.counted_until = now;
    }
}

/// The statistics of each target at this process.
#[derive(Debug, Default)]
pub(super) struct WaitEstimator {
    targets: OrderedMap<Target, TargetStats>,
}

impl WaitEstimator {
    /// Records that an attempt was sent.
    pub(super) fn record_sent(&mut self, now: Time, target: &Target) {
        let stats = self.targets.entry(target.clone()).or_default();
        stats.count_run_time(now);
        stats.running += 1;
    }

    /// Records that an attempt ended, with its duration if it was answered.
    pub(super) fn record_ended(&mut self, now: Time, target: &Target, took: Option<Duration>) {
        let Some(stats) = self.targets.get_mut(target) else { return };
        stats.count_run_time(now);
        stats.running = stats.running.saturating_sub(1);
        let Some(took) = took else { return };
        let mean = stats.mean.unwrap_or(took);
        stats.mean = Some((mean * (MEAN_ANSWERS - 1) + took) / MEAN_ANSWERS);
    }

    /// Returns the accumulated run time of a target's requests since the previous call.
    pub(super) fn take_run_time(&mut self, now: Time, target: &Target) -> Duration {
        let Some(stats) = self.targets.get_mut(target) else { return Duration::ZERO };
        stats.count_run_time(now);
        std::mem::take(&mut stats.run_time)
    }

    /// Returns the mean time of a target's latest answers.
    pub(super) fn mean_time(&self, target: &Target) -> Option<Duration> {
        self.targets.get(target)?.mean
    }

    /// Estimates how long a request waits for its answer behind `ahead` others.
    ///
    /// Returns nothing unless requests are running: the statistics of an idle target don't
    /// predict a cold start.
    pub(super) fn estimate(&self, target: &Target, ahead: u32) -> Option<Duration> {
        let stats = self.targets.get(target).filter(|stats| stats.running > 0)?;
        // The round in progress and those of the requests ahead; its own is added below.
        let rounds = ahead / stats.running + 1;
        Some(stats.mean?.saturating_mul(rounds.saturating_add(1)))
    }
}
