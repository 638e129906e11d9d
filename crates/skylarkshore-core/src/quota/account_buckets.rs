//! The coordinator's side of the quota: a token bucket for each account whose credit this process
//! grants. Start with [`AccountBuckets`].

use std::time::Duration;

use super::CreditDecision;
use super::bucket::TokenBucket;
use super::effective_limit::EffectiveLimit;
use super::share::Share;
use crate::collections::{HashMap, OrderedMap};
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{AccountName, HostId};
use crate::time::Time;
use crate::units::Credits;

/// How long a host stays registered after its last message.
pub(super) const REGISTRATION_TTL: Duration = Duration::from_millis(1200);
/// The longest wait that is granted for credit that is about to be refilled.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// The gap between two calls after which this process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// How long a bucket is kept after its last request.
const BUCKET_TTL: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct AccountBucket {
    bucket: TokenBucket,
    last_request: Time,
}

/// The buckets that this process keeps, and the hosts that registered their shares here.
#[derive(Debug, Default)]
pub(super) struct AccountBuckets {
    registered: OrderedMap<HostId, Time>,
    by_account: HashMap<AccountName, AccountBucket>,
    /// When this process last checked whether it had been paused.
    last_check: Time,
}

impl AccountBuckets {
    /// Registers a host's share, or renews its registration.
    pub(super) fn register(&mut self, now: Time, host: &HostId) {
        match self.registered.get_mut(host) {
            Some(last_message) => *last_message = now,
            None => _ = self.registered.insert(host.clone(), now),
        }
    }

    /// Removes a leaving host and its share.
    pub(super) fn unregister(&mut self, host: &HostId) {
        self.registered.remove(host);
    }

    /// Grants an account's credit for a request, or denies it with the time until enough is
    /// available.
    pub(super) fn grant(
        &mut self,
        cx: &mut Cx<'_>,
        total_hosts: u64,
        account: &AccountName,
        cost: Credits,
    ) -> CreditDecision {
        let Some(limit) = effective_limit(cx, account) else { return CreditDecision::RUN_NOW };
        if cost > limit.window_max() {
            return CreditDecision::TooLarge;
        }
        self.skip_own_pause(cx.now);
        let share = self.share(cx.now, total_hosts);
        let (rate, capacity) = (share.rate(limit.configured.rate), share.credits(limit.capacity()));
        let new_entry = || AccountBucket {
            bucket: TokenBucket::new(limit.initial_credit(), cx.now),
            last_request: cx.now,
        };
        let entry = self.by_account.entry(account.clone()).or_insert_with(new_entry);
        entry.bucket.refill(cx.now, rate, capacity.max(limit.initial_credit()));
        entry.last_request = cx.now;
        // A request larger than the capacity is granted once the bucket is full.
        let needed = cost.min(capacity);
        match entry.bucket.time_until(needed, rate) {
            Some(wait) if wait <= MAX_WAIT => {
                entry.bucket.take(cost);
                CreditDecision::Granted { not_before: cx.now.after(wait) }
            }
            Some(wait) => {
                let detail = format!(
                    "cost={cost} credit={} rate={rate} hosts={} of={total_hosts}",
                    entry.bucket, share.hosts
                );
                cx.log_event("credit_denied", account, detail);
                CreditDecision::OverLimit { retry_after: wait }
            }
            // The rate is 0.
            None => CreditDecision::OverLimit { retry_after: REGISTRATION_TTL },
        }
    }

    /// Puts unused credit back.
    pub(super) fn put_back(&mut self, account: &AccountName, cost: Credits) {
        if let Some(entry) = self.by_account.get_mut(account) {
            entry.bucket.put_back(cost);
        }
    }

    /// Refills all buckets at the sum of the shares that are registered now.
    pub(super) fn on_tick(&mut self, cx: &Cx<'_>, total_hosts: u64) {
        self.skip_own_pause(cx.now);
        let share = self.share(cx.now, total_hosts);
        for (account, entry) in &mut self.by_account {
            let Some(limit) = effective_limit(cx, account) else { continue };
            let capacity = share.credits(limit.capacity()).max(limit.initial_credit());
            entry.bucket.refill(cx.now, share.rate(limit.configured.rate), capacity);
        }
    }

    /// Removes expired registrations and unused buckets.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.registered.retain(|_, last_message| !last_message.after(REGISTRATION_TTL).is_due(now));
        self.by_account.retain(|_, entry| !entry.last_request.after(BUCKET_TTL).is_due(now));
    }

    /// Returns a state dump entry for each account whose credit is granted here.
    pub(super) fn dump_entries(&self) -> impl Iterator<Item = DumpEntry> {
        self.by_account.iter().map(|(account, entry)| DumpEntry {
            kind: "credit_book",
            subject: account.to_string(),
            state: format!("{} hosts signed on", self.registered.len()),
            since: Some(entry.last_request),
        })
    }

    /// Skips the refill for a time in which this process may have been paused.
    ///
    /// Other coordinators have granted that credit in the meantime.
    fn skip_own_pause(&mut self, now: Time) {
        if self.last_check.after(PAUSE_THRESHOLD).is_due(now) {
            self.by_account.values_mut().for_each(|entry| entry.bucket.skip_refill_until(now));
        }
        self.last_check = now;
    }

    fn share(&self, now: Time, total_hosts: u64) -> Share {
        let registered = self
            .registered
            .values()
            .filter(|last_message| !last_message.after(REGISTRATION_TTL).is_due(now))
            .count();
        Share { hosts: u64::try_from(registered).unwrap_or(u64::MAX), total_hosts }
    }
}

/// Returns an account's effective limit; none if the account is not limited.
pub(super) fn effective_limit(cx: &Cx<'_>, account: &AccountName) -> Option<EffectiveLimit> {
    let limit = cx.document.catalogue.accounts.get(account)?.limit?;
    Some(EffectiveLimit::new(limit, &cx.cfg.limits.quota))
}
