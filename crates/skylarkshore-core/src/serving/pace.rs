//! How fast requests are being answered, to tell how long one would have to wait.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::event::Target;

/// How many answers the mean goes back, roughly.
const MEMORY: u32 = 8;

#[derive(Debug, Default)]
struct Pace {
    running: u32,
    mean: Option<Duration>,
}

/// The pace of each target at this process.
#[derive(Debug, Default)]
pub(super) struct Paces {
    paces: OrderedMap<Target, Pace>,
}

impl Paces {
    /// Takes note that a request was sent.
    pub(super) fn begin(&mut self, target: &Target) {
        self.paces.entry(target.clone()).or_default().running += 1;
    }

    /// Takes note that an attempt ended, with the time it took if it was answered.
    pub(super) fn end(&mut self, target: &Target, took: Option<Duration>) {
        let Some(pace) = self.paces.get_mut(target) else { return };
        pace.running = pace.running.saturating_sub(1);
        let Some(took) = took else { return };
        let mean = pace.mean.unwrap_or(took);
        pace.mean = Some((mean * (MEMORY - 1) + took) / MEMORY);
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
