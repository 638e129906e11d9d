//! Limits of client accounts, enforced across all hosts. Start with [`Quota`].
//!
//! Each account has one coordinator, a host that grants the account's credit. Rendezvous
//! hashing selects it among the members; if it doesn't answer, the next host in the ranking
//! is asked. Every host registers an equal share of all limits with the coordinators of all
//! accounts, and a coordinator grants the sum of the shares that are registered with it. A
//! host that reaches no coordinator spends its own share, which isn't refilled until its
//! registration has expired. The shares therefore add up to the limit however the network is
//! partitioned. A process keeps no credit across a restart, so none can be spent twice.
//!
//! Credit is granted for each request, and given back if the request isn't run.

mod account_buckets;
mod bucket;
mod coordinators;
mod effective_limit;
mod share;

use std::time::Duration;

use rand::Rng;

use crate::accounts::Charge;
use crate::collections::{HashMap, HashSet, OrderedMap};
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{AccountName, HostId, RequestId};
use crate::member_count::MemberCount;
use crate::peer::{CreditMessage, PeerMessage};
use crate::time::Time;
use crate::units::Credits;

use account_buckets::{AccountBuckets, REGISTRATION_TTL, effective_limit};
use bucket::TokenBucket;
use coordinators::Coordinators;
use share::Share;

/// How long a request waits for a coordinator's answer before another one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How many coordinators are asked before the request is charged to this host's own share.
const MAX_COORDINATORS_ASKED: u32 = 3;
/// The longest time for which a denial also applies to later requests of the account.
const DENIAL_TTL: Duration = Duration::from_millis(100);
/// How often the hosts are counted and the candidate coordinators are ranked again.
const MEMBER_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a request has been granted the credit that it costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// The request may run.
    Granted {
        /// The earliest time at which it may run.
        not_before: Time,
    },
    /// The account is over its limit.
    OverLimit {
        /// The time until enough credit is available.
        retry_after: Duration,
    },
    /// The request costs more than the account may use in a whole
    /// [window](crate::config::QuotaPolicy::window).
    TooLarge,
}

impl CreditDecision {
    /// Granted without a delay: the request may run immediately.
    const RUN_NOW: Self = Self::Granted { not_before: Time::START };
}

/// The decision on a request that was pending until a coordinator answered or timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditOutcome {
    /// The request.
    pub request: RequestId,
    /// The decision.
    pub decision: CreditDecision,
}

/// A credit request that no coordinator has answered yet.
#[derive(Clone, Debug)]
struct PendingCredit {
    request: RequestId,
    charge: Charge,
    times_out_at: Time,
    coordinators_asked: u32,
}

/// A coordinator's denial, also applied to later requests of the account that cost at least
/// as much.
#[derive(Clone, Copy, Debug)]
struct Denial {
    expires_at: Time,
    credit_available_at: Time,
    cost: Credits,
}

/// This process's requests to coordinators, its own shares, and the buckets that it coordinates.
#[derive(Debug)]
pub struct Quota {
    coordinators: Coordinators,
    account_buckets: AccountBuckets,
    pending: OrderedMap<u64, PendingCredit>,
    /// This host's share of each account's limit, spent while it reaches no coordinator.
    local_buckets: HashMap<AccountName, TokenBucket>,
    denials: HashMap<AccountName, Denial>,
    /// How many hosts share the limits: the largest number that was counted lately.
    host_count: MemberCount,
    member_update_due: Time,
    /// When this host last registered its shares with a coordinator; every credit request
    /// registers them, too.
    last_registered_at: Time,
}

impl Default for Quota {
    fn default() -> Self {
        Self::new()
    }
}

impl Quota {
    /// Creates the state of a process that has granted nothing yet.
    pub fn new() -> Self {
        Self {
            coordinators: Coordinators::default(),
            account_buckets: AccountBuckets::default(),
            pending: OrderedMap::new(),
            local_buckets: HashMap::default(),
            denials: HashMap::default(),
            host_count: MemberCount::ALONE,
            member_update_due: Time::START,
            last_registered_at: Time::START,
        }
    }

    /// Requests credit for a request; returns none if a coordinator has to be asked first.
    pub fn request_credit(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        charge: &Charge,
    ) -> Option<CreditDecision> {
        if effective_limit(cx, &charge.account).is_none() {
            return Some(CreditDecision::RUN_NOW);
        }
        if let Some(denial) = self.denials.get(&charge.account)
            && !denial.expires_at.is_due(cx.now)
            && charge.cost >= denial.cost
        {
            return Some(CreditDecision::OverLimit {
                retry_after: denial.credit_available_at.remaining(cx.now),
            });
        }
        self.ask_coordinator(cx, request, charge, 1)
    }

    /// Drops a pending credit request.
    pub fn cancel(&mut self, request: RequestId) {
        self.pending.retain(|_, pending| pending.request != request);
    }

    /// Gives the credit of a request that wasn't run back to its coordinator.
    pub fn return_credit(&mut self, cx: &mut Cx<'_>, charge: &Charge) {
        if effective_limit(cx, &charge.account).is_none() {
            return;
        }
        if let Some(coordinator) = self.coordinators.coordinator(&charge.account) {
            send(cx, &coordinator, return_message(charge.account.clone(), charge.cost));
        }
    }

    /// Runs periodic work, and decides on requests that no coordinator answered in time.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<CreditOutcome> {
        if cx.document.catalogue.accounts.iter().all(|(_, account)| account.limit.is_none()) {
            return Vec::new();
        }
        if self.member_update_due.is_due(cx.now) {
            self.member_update_due = cx.now.after(MEMBER_UPDATE_INTERVAL);
            self.host_count.record(cx.now, count_hosts(cx));
            self.coordinators.update_members(cx);
            self.account_buckets.remove_expired(cx.now);
            self.denials.retain(|_, denial| !denial.expires_at.is_due(cx.now));
        }
        self.account_buckets.on_tick(cx, self.host_count.get());
        if self.coordinators.renew_registrations(cx) {
            self.last_registered_at = cx.now;
        }
        self.retry_timed_out(cx)
    }

    /// Handles a peer's message, and returns the decision if it settles a pending request.
    ///
    /// `SignOn` registers the sender's shares, or is a mere probe if it comes without them;
    /// `SignedOn` answers it, and `SignOff` removes the registration. `Wanted` requests credit
    /// under the number `ask`; `Lent` grants it and `Denied` denies it. Granted credit isn't
    /// repaid: `Returned` gives it back only if the request wasn't run.
    pub fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        message: &CreditMessage,
    ) -> Option<CreditOutcome> {
        match message {
            CreditMessage::SignOn { with_share } => {
                if *with_share {
                    self.account_buckets.register(cx.now, from);
                }
                send(cx, from, CreditMessage::SignedOn);
            }
            CreditMessage::SignOff => self.account_buckets.unregister(from),
            CreditMessage::SignedOn => self.coordinators.record_answer(from),
            CreditMessage::Wanted { ask, account, cost } => self.reply(cx, from, *ask, account, *cost),
            CreditMessage::Lent { ask, account, cost, wait } => {
                self.coordinators.record_answer(from);
                let Some(pending) = self.pending.remove(ask) else {
                    // The request is no longer pending, so its credit is given back.
                    send(cx, from, return_message(account.clone(), *cost));
                    return None;
                };
                let decision = CreditDecision::Granted { not_before: cx.now.after(*wait) };
                return Some(CreditOutcome { request: pending.request, decision });
            }
            CreditMessage::Denied { ask, retry_after } => {
                self.coordinators.record_answer(from);
                let pending = self.pending.remove(ask)?;
                let decision = match *retry_after {
                    Some(retry_after) => self.record_denial(cx.now, &pending.charge, retry_after),
                    None => CreditDecision::TooLarge,
                };
                return Some(CreditOutcome { request: pending.request, decision });
            }
            CreditMessage::Returned { account, cost } => self.account_buckets.put_back(account, *cost),
        }
        None
    }

    /// Replies to a host's credit request, numbered `ask`, for an account that is coordinated
    /// here. The request also registers the host's shares.
    fn reply(&mut self, cx: &mut Cx<'_>, to: &HostId, ask: u64, account: &AccountName, cost: Credits) {
        self.account_buckets.register(cx.now, to);
        let answer = match self.account_buckets.grant(cx, self.host_count.get(), account, cost) {
            CreditDecision::Granted { not_before } => {
                let wait = not_before.remaining(cx.now);
                CreditMessage::Lent { ask, account: account.clone(), cost, wait }
            }
            CreditDecision::OverLimit { retry_after } => {
                CreditMessage::Denied { ask, retry_after: Some(retry_after) }
            }
            CreditDecision::TooLarge => CreditMessage::Denied { ask, retry_after: None },
        };
        send(cx, to, answer);
    }

    /// Tells the coordinators to remove this host's share.
    pub fn on_shutdown(&self, cx: &mut Cx<'_>) {
        for coordinator in self.coordinators.current() {
            send(cx, &coordinator, CreditMessage::SignOff);
        }
    }

    /// Returns the state dump entries of the accounts that are coordinated here.
    pub fn dump_entries(&self) -> impl Iterator<Item = DumpEntry> {
        self.account_buckets.dump_entries()
    }

    fn record_denial(&mut self, now: Time, charge: &Charge, retry_after: Duration) -> CreditDecision {
        let denial = Denial {
            expires_at: now.after(retry_after.min(DENIAL_TTL)),
            credit_available_at: now.after(retry_after),
            cost: charge.cost,
        };
        self.denials.insert(charge.account.clone(), denial);
        CreditDecision::OverLimit { retry_after }
    }

    fn ask_coordinator(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        charge: &Charge,
        coordinators_asked: u32,
    ) -> Option<CreditDecision> {
        if self.member_update_due == Time::START {
            self.coordinators.update_members(cx);
        }
        let Some(coordinator) = self.coordinators.coordinator(&charge.account) else {
            return Some(self.spend_local_share(cx, charge));
        };
        // Coordinators are slow to answer while all hosts start at once, so this host's own
        // share is spent first until this coordinator has answered for the first time.
        if !self.coordinators.has_answered(&coordinator)
            && self.spend_local_share(cx, charge) == CreditDecision::RUN_NOW
        {
            return Some(CreditDecision::RUN_NOW);
        }
        let ask_id = cx.rng.random();
        let times_out_at = cx.now.after(ANSWER_TIMEOUT);
        let (account, cost) = (charge.account.clone(), charge.cost);
        self.coordinators.record_sent(cx.now, &coordinator);
        self.last_registered_at = cx.now;
        let pending = PendingCredit { request, charge: charge.clone(), times_out_at, coordinators_asked };
        self.pending.insert(ask_id, pending);
        send(cx, &coordinator, CreditMessage::Wanted { ask: ask_id, account, cost });
        None
    }

    /// Asks the next coordinator for requests that got no answer in time.
    fn retry_timed_out(&mut self, cx: &mut Cx<'_>) -> Vec<CreditOutcome> {
        let timed_out: Vec<(u64, PendingCredit)> =
            self.pending.extract_if(.., |_, pending| pending.times_out_at.is_due(cx.now)).collect();
        let mut outcomes = Vec::new();
        for (_, pending) in timed_out {
            let decision = if pending.coordinators_asked < MAX_COORDINATORS_ASKED {
                self.ask_coordinator(cx, pending.request, &pending.charge, pending.coordinators_asked + 1)
            } else {
                Some(self.spend_local_share(cx, &pending.charge))
            };
            outcomes.extend(decision.map(|decision| CreditOutcome { request: pending.request, decision }));
        }
        outcomes
    }

    /// Decides on a request by this host's own share of the limit, whose bucket may go into
    /// debt by the host's share of the tolerated overage.
    fn spend_local_share(&mut self, cx: &Cx<'_>, charge: &Charge) -> CreditDecision {
        let Some(limit) = effective_limit(cx, &charge.account) else { return CreditDecision::RUN_NOW };
        let share = Share { hosts: 1, total_hosts: self.host_count.get() };
        let (rate, capacity) = (share.rate(limit.configured.rate), share.credits(limit.capacity()));
        let max_debt = share.credits(limit.max_debt());
        let empty = || TokenBucket::new(Credits(0), cx.now);
        let bucket = self.local_buckets.entry(charge.account.clone()).or_insert_with(empty);
        // A coordinator grants this host's share until the registration expires, so the local
        // bucket gains nothing until then.
        bucket.skip_refill_until(self.last_registered_at.after(REGISTRATION_TTL));
        // With less capacity than its cost, a large request might never be granted.
        bucket.refill(cx.now, rate, capacity.max(charge.cost));
        if bucket.covers(charge.cost, max_debt) {
            bucket.take(charge.cost);
            return CreditDecision::RUN_NOW;
        }
        let needed = Credits(charge.cost.0.saturating_sub(max_debt.0));
        // `time_until` returns none if the rate is 0.
        let retry_after = bucket.time_until(needed, rate).unwrap_or(REGISTRATION_TTL);
        CreditDecision::OverLimit { retry_after }
    }
}

fn send(cx: &mut Cx<'_>, to: &HostId, message: CreditMessage) {
    cx.send(to, PeerMessage::Credit(message));
}

fn return_message(account: AccountName, cost: Credits) -> CreditMessage {
    CreditMessage::Returned { account, cost }
}

/// Returns the number of hosts according to the key-value service.
///
/// After a crash of all processes the member keys reappear one by one, while the owner
/// records of the engines still name the earlier hosts. The larger count is returned, since
/// one that is too small would make every host's share too large.
fn count_hosts(cx: &Cx<'_>) -> usize {
    let owners: HashSet<&HostId> = cx.cache.owners().map(|(_, owner)| &owner.host).collect();
    cx.cache.members().count().max(owners.len())
}
