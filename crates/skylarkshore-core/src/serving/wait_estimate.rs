//! Answer times and concurrency of each target, to estimate waits.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::event::Target;
use crate::time::Time;

/// Approximate number of answers that the moving mean covers.
const MEMORY: u32 = 8;

#[derive(Debug, Default)]
struct Pace {
    running: u32,
    /// Accumulated run time of all requests up to `counted`, since it was last taken.
    worked: Duration,
    counted: Time,
    mean: Option<Duration>,
}

impl Pace {
    fn count_work(&mut self, now: Time) {
        self.worked += now.since(self.counted) * self.running;
        self.counted = now;
    }
}

/// The statistics of each target at this process.
#[derive(Debug, Default)]
pub(super) struct Paces {
    paces: OrderedMap<Target, Pace>,
}

impl Paces {
    /// Records that an attempt was sent.
    pub(super) fn begin(&mut self, now: Time, target: &Target) {
        let pace = self.paces.entry(target.clone()).or_default();
        pace.count_work(now);
        pace.running += 1;
    }

    /// Records that an attempt ended, with its duration if it was answered.
    pub(super) fn end(&mut self, now: Time, target: &Target, took: Option<Duration>) {
        let Some(pace) = self.paces.get_mut(target) else { return };
        pace.count_work(now);
        pace.running = pace.running.saturating_sub(1);
        let Some(took) = took else { return };
        let mean = pace.mean.unwrap_or(took);
        pace.mean = Some((mean * (MEMORY - 1) + took) / MEMORY);
    }

    /// Returns the accumulated run time of a target's requests since the previous call.
    pub(super) fn take_worked(&mut self, now: Time, target: &Target) -> Duration {
        let Some(pace) = self.paces.get_mut(target) else { return Duration::ZERO };
        pace.count_work(now);
        std::mem::take(&mut pace.worked)
    }

    /// Estimates how long a request waits for its answer behind `ahead` others.
    ///
    /// Returns nothing unless requests are running: the statistics of an idle target don't
    /// predict a cold start.
    pub(super) fn estimate(&self, target: &Target, ahead: u32) -> Option<Duration> {
        let pace = self.paces.get(target).filter(|pace| pace.running > 0)?;
        let rounds = ahead / pace.running + 1;
        Some(pace.mean?.saturating_mul(rounds.saturating_add(1)))
    }
}
