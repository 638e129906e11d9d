//! Points in time on the monotonic clock of a process. [`Time`] is the only type.

use std::time::Duration;

use derive_more::Display;

/// A point in time, in microseconds since an arbitrary start in this process.
///
/// Times of different processes are not comparable, so messages carry remaining
/// durations, which the receiver converts to deadlines on its own clock.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0}us")]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const START: Self = Self(0);
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a time from microseconds since the start of the clock.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1000))
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns this time plus `d`, saturating.
    #[must_use]
    pub fn after(self, d: Duration) -> Self {
        let us = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that lies `d` before this one.
    #[must_use]
    pub fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }

    /// Returns the duration from `now` until this time, or zero if it has passed.
    pub const fn remaining(self, now: Self) -> Duration {
        self.since(now)
    }

    /// Reports whether this time has been reached at `now`.
    pub const fn is_due(self, now: Self) -> bool {
        self.0 <= now.0
    }
}
