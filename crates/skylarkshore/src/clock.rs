//! The process's monotonic clock.

use std::time::Duration;

use skylarkshore_core::Time;
use skylarkshore_core::rules::MinuteOfDay;
use tokio::time::Instant;

use crate::log::unix_millis;

/// Turns the system's monotonic time into the core's and back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Time {
        Time::START.after(self.start.elapsed())
    }

    /// Returns when `time` comes, for the runtime's timers.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        // A day is far longer than any deadline, and never overflows the system's clock.
        let longest = Duration::from_hours(24);
        Instant::now() + time.remaining(self.now()).min(longest)
    }
}

/// Returns the time of day for the rules.
pub(crate) fn time_of_day() -> MinuteOfDay {
    MinuteOfDay::from_unix_secs(unix_millis() / 1000)
}
