//! The longest recent run of requests at an upstream.

use std::time::Duration;

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
