//! Points in time on a process's own monotonic clock.

use std::time::Duration;

use derive_more::Display;

/// A point in time, in microseconds since an arbitrary start of this process.
///
/// Times of different processes can't be compared; messages carry remaining
/// durations, which the receiver turns into its own deadlines.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0}us")]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const START: Self = Self(0);
    /// A time that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Makes a time from microseconds since the start of the clock.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Makes a time from milliseconds since the start of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1000))
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time that lies `d` after this one.
    #[must_use]
    pub fn after(self, d: Duration) -> Self {
        let us = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }

    /// Returns how long it is from `earlier` to this time, or zero.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns how long it is from `now` until this time, or zero.
    pub const fn remaining(self, now: Self) -> Duration {
        self.since(now)
    }

    /// Tells whether this deadline has passed at `now`.
    pub const fn is_due(self, now: Self) -> bool {
        self.0 <= now.0
    }
}
