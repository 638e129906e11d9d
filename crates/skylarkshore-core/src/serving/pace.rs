//! How fast requests are being answered, to tell how long one would have to wait.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::event::Target;
use crate::time::Time;

/// How many answers the mean goes back, roughly.
const MEMORY: u32 = 8;

#[derive(Debug, Default)]
struct Pace {
    running: u32,
    /// For how long requests have run since that was last told, added up, until `counted`.
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

/// The pace of each target at this process.
#[derive(Debug, Default)]
pub(super) struct Paces {
    paces: OrderedMap<Target, Pace>,
}

impl Paces {
    /// Takes note that a request was sent.
    pub(super) fn begin(&mut self, now: Time, target: &Target) {
        let pace = self.paces.entry(target.clone()).or_default();
        pace.count_work(now);
        pace.running += 1;
    }

    /// Takes note that an attempt ended, with the time it took if it was answered.
    pub(super) fn end(&mut self, now: Time, target: &Target, took: Option<Duration>) {
        let Some(pace) = self.paces.get_mut(target) else { return };
        pace.count_work(now);
        pace.running = pace.running.saturating_sub(1);
        let Some(took) = took else { return };
        let mean = pace.mean.unwrap_or(took);
        pace.mean = Some((mean * (MEMORY - 1) + took) / MEMORY);
    }

    /// Returns for how long a target's requests have run since this was last asked, added up.
    pub(super) fn take_worked(&mut self, now: Time, target: &Target) -> Duration {
        let Some(pace) = self.paces.get_mut(target) else { return Duration::ZERO };
        pace.count_work(now);
        std::mem::take(&mut pace.worked)
    }

    /// Estimates how long a request waits for its answer behind `ahead` others.
    ///
    /// There is no estimate unless requests are running: the pace of an idle
    /// target says nothing of a cold start.
    pub(super) fn estimate(&self, target: &Target, ahead: u32) -> Option<Duration> {
        let pace = self.paces.get(target).filter(|pace| pace.running > 0)?;
        let rounds = ahead / pace.running + 1;
        Some(pace.mean?.saturating_mul(rounds.saturating_add(1)))
    }
}
