//! A token bucket whose rate and capacity may change at any time.

use std::time::Duration;

use crate::time::Time;
use crate::units::{CreditRate, Credits};

const MILLICREDITS_PER_CREDIT: i64 = 1000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// Credit that refills at a rate up to a capacity and may go into debt.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// In thousandths of a credit; negative while in debt.
    level: i64,
    refilled_at: Time,
}

impl TokenBucket {
    pub(super) fn new(level: Credits, now: Time) -> Self {
        Self { level: millicredits(level), refilled_at: now }
    }

    /// Adds the credit gained since the last refill, up to `capacity`.
    pub(super) fn refill(&mut self, now: Time, rate: CreditRate, capacity: Credits) {
        let elapsed = now.since(self.refilled_at).as_micros();
        let gained = elapsed.saturating_mul(u128::from(rate.0)) / MICROS_PER_SECOND;
        if gained > 0 {
            self.level = self.level.saturating_add(i64::try_from(gained).unwrap_or(i64::MAX));
            self.refilled_at = now;
        }
        self.level = self.level.min(millicredits(capacity));
    }

    /// Lets the bucket gain no credit for the time before `time`, which may be in the future.
    pub(super) fn skip_refill_until(&mut self, time: Time) {
        self.refilled_at = self.refilled_at.max(time);
    }

    pub(super) fn take(&mut self, cost: Credits) {
        self.level = self.level.saturating_sub(millicredits(cost));
    }

    pub(super) fn put_back(&mut self, cost: Credits) {
        self.level = self.level.saturating_add(millicredits(cost));
    }

    /// Returns how long it takes at `rate` until `amount` is available; none if it never is.
    pub(super) fn time_until(&self, amount: Credits, rate: CreditRate) -> Option<Duration> {
        let missing = millicredits(amount).saturating_sub(self.level);
        let Ok(missing) = u64::try_from(missing) else { return Some(Duration::ZERO) };
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let micros = (u128::from(missing) * MICROS_PER_SECOND).div_ceil(u128::from(rate.0).max(1));
        (rate.0 > 0).then(|| Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// Reports whether `cost` can be taken without owing more than `max_debt`.
    pub(super) fn covers(&self, cost: Credits, max_debt: Credits) -> bool {
        self.level.saturating_add(millicredits(max_debt)) >= millicredits(cost)
    }
}

impl std::fmt::Display for TokenBucket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.level / MILLICREDITS_PER_CREDIT)
    }
}

fn millicredits(credits: Credits) -> i64 {
    i64::try_from(credits.0).unwrap_or(i64::MAX).saturating_mul(MILLICREDITS_PER_CREDIT)
}
