//! The longest recent runs of requests. [`RunTimes`] is those at one upstream, or of one destination.

use std::time::Duration;

use crate::collections::HashMap;
use crate::serving::budget::Destination;
use crate::time::Time;

/// Length of each of the two windows that runs are remembered for.
const WINDOW: Duration = Duration::from_secs(30);

/// The longest runs of the present window and of the one before.
#[derive(Debug)]
pub(super) struct RunTimes {
    present: Option<Duration>,
    before: Option<Duration>,
    ends_at: Time,
}

impl RunTimes {
    pub(super) fn new(now: Time) -> Self {
        Self { present: None, before: None, ends_at: now.after(WINDOW) }
    }

    pub(super) fn record(&mut self, now: Time, run: Duration) {
        if self.ends_at.is_due(now) {
            self.before = self.present.take();
            self.ends_at = now.after(WINDOW);
        }
        self.present = self.present.max(Some(run));
    }

    /// Returns the longest run of the last one to two windows; `None` if there was none.
    pub(super) fn longest(&self) -> Option<Duration> {
        self.present.max(self.before)
    }
}

/// The longest recent runs of each service or pool.
#[derive(Debug, Default)]
pub(super) struct DestinationRunTimes {
    run_times: HashMap<Destination, RunTimes>,
}

impl DestinationRunTimes {
    pub(super) fn record(&mut self, now: Time, destination: Destination, run: Duration) {
        self.run_times.entry(destination).or_insert_with(|| RunTimes::new(now)).record(now, run);
    }

    /// Returns the longest recent run; `None` if none is known.
    pub(super) fn longest(&self, destination: &Destination) -> Option<Duration> {
        self.run_times.get(destination)?.longest()
    }

    /// Forgets services and pools at which nothing has run in the last windows.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.run_times.retain(|_, run_times| !run_times.ends_at.after(WINDOW).is_due(now));
    }
}
