//! A client account's limit together with the configured tolerance; start with [`EffectiveLimit`].

use crate::accounts::AccountLimit;
use crate::config::QuotaPolicy;
use crate::units::Credits;

/// Divides the tolerance into the initial credit of a new bucket.
///
/// Coordinators that fail or are partitioned off can start several new buckets within one window.
const INITIAL_CREDIT_DIVISOR: u64 = 6;
/// Divides the tolerance into the total debt of the hosts without a coordinator.
const DEBT_DIVISOR: u64 = 2;

/// A configured limit and the overage that is tolerated on top of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EffectiveLimit {
    pub(super) configured: AccountLimit,
    tolerance: Credits,
    window_max: Credits,
}

impl EffectiveLimit {
    pub(super) fn new(configured: AccountLimit, policy: &QuotaPolicy) -> Self {
        let millis = u64::try_from(policy.window.as_millis()).unwrap_or(u64::MAX);
        let refilled = configured.rate.0.saturating_mul(millis) / 1_000_000;
        let window_max = Credits(refilled.saturating_add(configured.burst.0));
        let overage = window_max.0.saturating_mul(u64::from(policy.overage_percent)) / 100;
        Self { configured, window_max, tolerance: Credits(overage.saturating_add(policy.slack.0)) }
    }

    /// Returns the bucket capacity: the burst, but at least one second's worth of credit.
    pub(super) fn capacity(&self) -> Credits {
        self.configured.burst.max(self.configured.rate.per_second())
    }

    /// Returns the most that may be used within a window, and therefore by one request.
    pub(super) const fn window_max(&self) -> Credits {
        self.window_max
    }

    /// Returns the credit that a new bucket starts with.
    pub(super) fn initial_credit(&self) -> Credits {
        Credits(self.tolerance.0 / INITIAL_CREDIT_DIVISOR).min(self.capacity())
    }

    /// Returns how much all hosts that spend their local shares may owe in total.
    pub(super) const fn max_debt(&self) -> Credits {
        Credits(self.tolerance.0 / DEBT_DIVISOR)
    }
}
