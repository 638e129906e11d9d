//! The keeper's side: books of the client accounts whose credit this process lends out.

use std::time::Duration;

use super::CreditDecision;
use super::bucket::Bucket;
use super::share::Share;
use super::terms::Terms;
use crate::collections::{HashMap, OrderedMap};
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{AccountName, HostId};
use crate::time::Time;
use crate::units::Credits;

/// How long a host counts as signed on after its last word.
pub(super) const SIGNED_ON_FOR: Duration = Duration::from_millis(1200);
/// How long a request may be made to wait for credit that is about to come.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// After how long between two looks this process has stood still.
const OWN_PAUSE: Duration = Duration::from_millis(500);
/// After how long without questions a book is thrown away.
const FORGET_AFTER: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Book {
    bucket: Bucket,
    asked: Time,
}

/// The books that this process keeps, and the hosts that brought their shares.
#[derive(Debug, Default)]
pub(super) struct Books {
    signed_on: OrderedMap<HostId, Time>,
    by_account: HashMap<AccountName, Book>,
    /// When this process last looked at its books.
    looked: Time,
}

impl Books {
    /// Takes note that a host counts on this keeper.
    pub(super) fn sign_on(&mut self, now: Time, host: &HostId) {
        match self.signed_on.get_mut(host) {
            Some(heard) => *heard = now,
            None => _ = self.signed_on.insert(host.clone(), now),
        }
    }

    /// Takes note that a host leaves, with its share.
    pub(super) fn sign_off(&mut self, host: &HostId) {
        self.signed_on.remove(host);
    }

    /// Lends an account's credit for a request, or says when there will be some.
    pub(super) fn lend(
        &mut self,
        cx: &mut Cx<'_>,
        of: u64,
        account: &AccountName,
        cost: Credits,
    ) -> CreditDecision {
        let Some(terms) = terms_of(cx, account) else { return CreditDecision::NOW };
        if cost > terms.most() {
            return CreditDecision::TooLarge;
        }
        self.note_own_pause(cx.now);
        let share = self.share(cx.now, of);
        let (rate, size) = (share.rate(terms.limit.rate), share.credits(terms.size()));
        let fresh = || Book { bucket: Bucket::new(terms.new_book(), cx.now), asked: cx.now };
        let book = self.by_account.entry(account.clone()).or_insert_with(fresh);
        book.bucket.fill(cx.now, rate, size.max(terms.new_book()));
        book.asked = cx.now;
        // A request larger than what can be saved up goes once all is there that can be.
        let wanted = cost.min(size);
        match book.bucket.time_until(wanted, rate) {
            Some(wait) if wait <= LONGEST_WAIT => {
                book.bucket.take(cost);
                CreditDecision::Granted { not_before: cx.now.after(wait) }
            }
            Some(wait) => {
                let detail =
                    format!("cost={cost} credit={} rate={rate} hosts={} of={of}", book.bucket, share.hosts);
                cx.log_event("credit_denied", account, detail);
                CreditDecision::OverLimit { retry_after: wait }
            }
            None => CreditDecision::OverLimit { retry_after: SIGNED_ON_FOR },
        }
    }

    /// Takes credit back that wasn't used.
    pub(super) fn give_back(&mut self, account: &AccountName, cost: Credits) {
        if let Some(book) = self.by_account.get_mut(account) {
            book.bucket.put(cost);
        }
    }

    /// Has credit come for all books, by the hosts that are signed on now.
    pub(super) fn on_tick(&mut self, cx: &Cx<'_>, of: u64) {
        self.note_own_pause(cx.now);
        let share = self.share(cx.now, of);
        for (account, book) in &mut self.by_account {
            let Some(terms) = terms_of(cx, account) else { continue };
            let size = share.credits(terms.size()).max(terms.new_book());
            book.bucket.fill(cx.now, share.rate(terms.limit.rate), size);
        }
    }

    /// Forgets hosts and books that are of no use any more.
    pub(super) fn forget_old(&mut self, now: Time) {
        self.signed_on.retain(|_, heard| !heard.after(SIGNED_ON_FOR).is_due(now));
        self.by_account.retain(|_, book| !book.asked.after(FORGET_AFTER).is_due(now));
    }

    /// Tells which accounts' credit is lent out here.
    pub(super) fn dump_entries(&self) -> impl Iterator<Item = DumpEntry> {
        self.by_account.iter().map(|(account, book)| DumpEntry {
            kind: "credit_book",
            subject: account.to_string(),
            state: format!("{} hosts signed on", self.signed_on.len()),
            since: Some(book.asked),
        })
    }

    /// Lets no credit come for the time in which this process may have stood still.
    ///
    /// Others have lent it meanwhile.
    fn note_own_pause(&mut self, now: Time) {
        if self.looked.after(OWN_PAUSE).is_due(now) {
            self.by_account.values_mut().for_each(|book| book.bucket.skip_to(now));
        }
        self.looked = now;
    }

    fn share(&self, now: Time, of: u64) -> Share {
        let here = self.signed_on.values().filter(|heard| !heard.after(SIGNED_ON_FOR).is_due(now)).count();
        Share { hosts: u64::try_from(here).unwrap_or(u64::MAX), of }
    }
}

/// Returns what binds an account; none where it has no limit.
pub(super) fn terms_of(cx: &Cx<'_>, account: &AccountName) -> Option<Terms> {
    let limit = cx.document.catalogue.accounts.get(account)?.limit?;
    Some(Terms::new(limit, &cx.cfg.limits.quota))
}
