//! A token bucket whose rate and size may change at any time.

use std::time::Duration;

use crate::time::Time;
use crate::units::{CreditRate, Credits};

/// Thousandths of a credit in one.
const MILLI: i64 = 1000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// Credit that comes at a rate, is saved up to a size, and may be owed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// In thousandths of a credit; below zero where more was spent than had come.
    level: i64,
    filled: Time,
}

impl Bucket {
    pub(super) fn new(level: Credits, now: Time) -> Self {
        Self { level: milli(level), filled: now }
    }

    /// Adds what has come since the last time.
    pub(super) fn fill(&mut self, now: Time, rate: CreditRate, size: Credits) {
        let elapsed = now.since(self.filled).as_micros();
        let gained = elapsed.saturating_mul(u128::from(rate.0)) / MICROS_PER_SECOND;
        if gained > 0 {
            self.level = self.level.saturating_add(i64::try_from(gained).unwrap_or(i64::MAX));
            self.filled = now;
        }
        self.level = self.level.min(milli(size));
    }

    /// Lets nothing come for the time up to `now`.
    pub(super) fn skip_to(&mut self, now: Time) {
        self.filled = self.filled.max(now);
    }

    pub(super) fn take(&mut self, cost: Credits) {
        self.level = self.level.saturating_sub(milli(cost));
    }

    pub(super) fn put(&mut self, cost: Credits) {
        self.level = self.level.saturating_add(milli(cost));
    }

    /// Returns how long it takes at a rate until so much is there; none if it never is.
    pub(super) fn time_until(&self, wanted: Credits, rate: CreditRate) -> Option<Duration> {
        let missing = milli(wanted).saturating_sub(self.level);
        let Ok(missing) = u64::try_from(missing) else { return Some(Duration::ZERO) };
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let micros = (u128::from(missing) * MICROS_PER_SECOND).div_ceil(u128::from(rate.0).max(1));
        (rate.0 > 0).then(|| Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// Tells whether `cost` can be taken without owing more than `debt`.
    pub(super) fn covers(&self, cost: Credits, debt: Credits) -> bool {
        self.level.saturating_add(milli(debt)) >= milli(cost)
    }
}

impl std::fmt::Display for Bucket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.level / MILLI)
    }
}

fn milli(credits: Credits) -> i64 {
    i64::try_from(credits.0).unwrap_or(i64::MAX).saturating_mul(MILLI)
}
