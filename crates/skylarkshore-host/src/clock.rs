//! A monotonic clock that includes the time while the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use skylarkshore_core::Time;
use skylarkshore_core::rules::MinuteOfDay;
use tokio::time::Instant;

use crate::log::unix_millis;

/// The core's clock.
///
/// The usual monotonic clock stops while the machine is suspended. A resumed
/// process would consider its expired lease valid and send orders to engines
/// that another process has taken over. This clock counts the suspended time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time::START.after(since_boot().saturating_sub(self.start))
    }

    /// Converts `time` to an instant of the runtime's timers.
    pub fn instant(&self, time: Time) -> Instant {
        // A day exceeds every deadline and can't overflow the system's clock.
        let max_delay = Duration::from_hours(24);
        Instant::now() + time.remaining(self.now()).min(max_delay)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the time of day that the rules are evaluated at.
pub(crate) fn time_of_day() -> MinuteOfDay {
    MinuteOfDay::from_unix_secs(unix_millis() / 1000)
}
