//! The process's clock, which goes on while the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use skylarkshore_core::Time;
use skylarkshore_core::rules::MinuteOfDay;
use tokio::time::Instant;

use crate::log::unix_millis;

/// Tells the core's time.
///
/// The usual monotonic clock stands still while a machine is suspended. A
/// process that woke up would then take its lease for valid, and give orders
/// beside the one that has taken its engines over meanwhile. The clock used
/// here counts that time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        Time::START.after(since_boot().saturating_sub(self.start))
    }

    /// Returns when `time` comes, for the runtime's timers.
    pub fn instant(&self, time: Time) -> Instant {
        // A day is far longer than any deadline, and never overflows the system's clock.
        let longest = Duration::from_hours(24);
        Instant::now() + time.remaining(self.now()).min(longest)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the time of day for the rules.
pub(crate) fn time_of_day() -> MinuteOfDay {
    MinuteOfDay::from_unix_secs(unix_millis() / 1000)
}
