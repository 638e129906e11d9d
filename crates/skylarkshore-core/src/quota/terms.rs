//! What a client account's limit and the operators' tolerance come to.

use crate::accounts::AccountLimit;
use crate::config::QuotaPolicy;
use crate::units::Credits;

/// Of the tolerance, the part that a new book begins with.
///
/// Books may begin anew several times in a window, as keepers are lost or cut off.
const OF_NEW_BOOK: u64 = 6;
/// Of the tolerance, the part that hosts without a keeper may owe together.
const OF_DEBTS: u64 = 2;

/// A limit with what may be used beyond it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) limit: AccountLimit,
    tolerance: Credits,
    most: Credits,
}

impl Terms {
    pub(super) fn new(limit: AccountLimit, policy: &QuotaPolicy) -> Self {
        let millis = u64::try_from(policy.window.as_millis()).unwrap_or(u64::MAX);
        let come = limit.rate.0.saturating_mul(millis) / 1_000_000;
        let most = Credits(come.saturating_add(limit.burst.0));
        let over = most.0.saturating_mul(u64::from(policy.overage_percent)) / 100;
        Self { limit, most, tolerance: Credits(over.saturating_add(policy.slack.0)) }
    }

    /// Returns how much can be saved up; a second's worth at least.
    pub(super) fn size(&self) -> Credits {
        self.limit.burst.max(self.limit.rate.per_second())
    }

    /// Returns the most that may be used within a window, and so by one request.
    pub(super) const fn most(&self) -> Credits {
        self.most
    }

    /// Returns what a new book holds.
    pub(super) fn new_book(&self) -> Credits {
        Credits(self.tolerance.0 / OF_NEW_BOOK).min(self.size())
    }

    /// Returns what all hosts together may owe that spend their own shares.
    pub(super) const fn debt(&self) -> Credits {
        Credits(self.tolerance.0 / OF_DEBTS)
    }
}
