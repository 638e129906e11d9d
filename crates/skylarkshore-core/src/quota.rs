//! The limits of client accounts, kept over all hosts together.
//!
//! Each account's credit is lent out by one host, its keeper: rendezvous hashing
//! picks it among the members, and whoever gets no answer from it turns to the
//! next one. Every host brings an equal part of all limits to the keepers that it
//! signs on with, and a host that reaches no keeper spends its own part. So the
//! parts add up to the limit however hosts are cut off from one another, and a
//! process that starts knows nothing that could be spent twice.
//!
//! A keeper lends for each request; what wasn't run is given back.

mod books;
mod bucket;
mod keepers;
mod share;
mod terms;

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

use books::{Books, SIGNED_ON_FOR, terms_of};
use bucket::Bucket;
use keepers::Keepers;
use share::Share;

/// After how long without an answer another keeper is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How many keepers are asked before a request is judged by this host's own share.
const KEEPERS_ASKED: u32 = 3;
/// For how long at most a keeper's refusal is believed for other requests of the account.
const DENIAL_BELIEVED: Duration = Duration::from_millis(100);
/// How often it is looked who the members are.
const MEMBERS_EVERY: Duration = Duration::from_secs(1);

/// Whether a request may use its account's credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// It may, from then on.
    Granted {
        /// When the credit is there.
        not_before: Time,
    },
    /// The account is over its limit.
    OverLimit {
        /// When there will be enough credit.
        retry_after: Duration,
    },
    /// It is larger than what the limit allows in any window.
    TooLarge,
}

impl CreditDecision {
    const NOW: Self = Self::Granted { not_before: Time::START };
}

/// What was found for a request that had to wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditOutcome {
    /// The request.
    pub request: RequestId,
    /// The ruling.
    pub decision: CreditDecision,
}

/// A question that a keeper hasn't answered.
#[derive(Clone, Debug)]
struct Ask {
    request: RequestId,
    charge: Charge,
    lost_at: Time,
    asked: u32,
}

/// A keeper's refusal.
#[derive(Clone, Copy, Debug)]
struct Denial {
    believed_until: Time,
    credit_at: Time,
    cost: Credits,
}

/// This process's questions to keepers, its own shares, and the books that it keeps itself.
#[derive(Debug)]
pub struct Quota {
    keepers: Keepers,
    books: Books,
    asks: OrderedMap<u64, Ask>,
    /// What this host may spend of each account's limit while it reaches no keeper.
    own: HashMap<AccountName, Bucket>,
    denials: HashMap<AccountName, Denial>,
    hosts: MemberCount,
    members_due: Time,
    /// When the own shares were last somebody else's to lend.
    brought: Time,
}

impl Default for Quota {
    fn default() -> Self {
        Self::new()
    }
}

impl Quota {
    /// Makes the state of a process that has lent nothing.
    pub fn new() -> Self {
        Self {
            keepers: Keepers::default(),
            books: Books::default(),
            asks: OrderedMap::new(),
            own: HashMap::default(),
            denials: HashMap::default(),
            hosts: MemberCount::ALONE,
            members_due: Time::START,
            brought: Time::START,
        }
    }

    /// Asks for a request's credit; none while the answer is awaited.
    pub fn request_credit(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        charge: &Charge,
    ) -> Option<CreditDecision> {
        if terms_of(cx, &charge.account).is_none() {
            return Some(CreditDecision::NOW);
        }
        if let Some(denial) = self.denials.get(&charge.account)
            && !denial.believed_until.is_due(cx.now)
            && charge.cost >= denial.cost
        {
            return Some(CreditDecision::OverLimit { retry_after: denial.credit_at.remaining(cx.now) });
        }
        self.ask_keeper(cx, request, charge, 1)
    }

    /// Stops waiting for a request's credit.
    pub fn cancel(&mut self, request: RequestId) {
        self.asks.retain(|_, ask| ask.request != request);
    }

    /// Gives back the credit of a request that wasn't run.
    pub fn return_credit(&mut self, cx: &mut Cx<'_>, charge: &Charge) {
        if terms_of(cx, &charge.account).is_none() {
            return;
        }
        if let Some(keeper) = self.keepers.keeper(&charge.account) {
            tell(cx, &keeper, returned(charge.account.clone(), charge.cost));
        }
    }

    /// Does what is due, and rules on requests whose keepers were silent.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<CreditOutcome> {
        if cx.document.catalogue.accounts.iter().all(|(_, account)| account.limit.is_none()) {
            return Vec::new();
        }
        if self.members_due.is_due(cx.now) {
            self.members_due = cx.now.after(MEMBERS_EVERY);
            self.hosts.record(cx.now, hosts_known(cx));
            self.keepers.note_members(cx);
            self.books.forget_old(cx.now);
            self.denials.retain(|_, denial| !denial.believed_until.is_due(cx.now));
        }
        self.books.on_tick(cx, self.hosts.get());
        if self.keepers.on_tick(cx) {
            self.brought = cx.now;
        }
        self.ask_others(cx)
    }

    /// Takes a peer's message, and returns what was found for the request that it concerns.
    pub fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        message: &CreditMessage,
    ) -> Option<CreditOutcome> {
        match message {
            CreditMessage::SignOn { with_share } => {
                if *with_share {
                    self.books.sign_on(cx.now, from);
                }
                tell(cx, from, CreditMessage::SignedOn);
            }
            CreditMessage::SignOff => self.books.sign_off(from),
            CreditMessage::SignedOn => self.keepers.note_heard(from),
            CreditMessage::Wanted { ask, account, cost } => self.lend(cx, from, *ask, account, *cost),
            CreditMessage::Lent { ask, account, cost, wait } => {
                self.keepers.note_heard(from);
                let Some(ask) = self.asks.remove(ask) else {
                    // Nobody waits for it any more; others could use it.
                    tell(cx, from, returned(account.clone(), *cost));
                    return None;
                };
                let decision = CreditDecision::Granted { not_before: cx.now.after(*wait) };
                return Some(CreditOutcome { request: ask.request, decision });
            }
            CreditMessage::Denied { ask, retry_after } => {
                self.keepers.note_heard(from);
                let ask = self.asks.remove(ask)?;
                let decision = match *retry_after {
                    Some(retry_after) => self.note_denial(cx.now, &ask.charge, retry_after),
                    None => CreditDecision::TooLarge,
                };
                return Some(CreditOutcome { request: ask.request, decision });
            }
            CreditMessage::Returned { account, cost } => self.books.give_back(account, *cost),
        }
        None
    }

    /// Answers a host that needs credit of an account whose book is kept here.
    fn lend(&mut self, cx: &mut Cx<'_>, to: &HostId, ask: u64, account: &AccountName, cost: Credits) {
        self.books.sign_on(cx.now, to);
        let answer = match self.books.lend(cx, self.hosts.get(), account, cost) {
            CreditDecision::Granted { not_before } => {
                let wait = not_before.remaining(cx.now);
                CreditMessage::Lent { ask, account: account.clone(), cost, wait }
            }
            CreditDecision::OverLimit { retry_after } => {
                CreditMessage::Denied { ask, retry_after: Some(retry_after) }
            }
            CreditDecision::TooLarge => CreditMessage::Denied { ask, retry_after: None },
        };
        tell(cx, to, answer);
    }

    /// Tells the keepers that this host's share goes with it.
    pub fn on_shutdown(&self, cx: &mut Cx<'_>) {
        for keeper in self.keepers.in_use() {
            tell(cx, &keeper, CreditMessage::SignOff);
        }
    }

    /// Tells which books are kept here.
    pub fn dump_entries(&self) -> impl Iterator<Item = DumpEntry> {
        self.books.dump_entries()
    }

    fn note_denial(&mut self, now: Time, charge: &Charge, retry_after: Duration) -> CreditDecision {
        let denial = Denial {
            believed_until: now.after(retry_after.min(DENIAL_BELIEVED)),
            credit_at: now.after(retry_after),
            cost: charge.cost,
        };
        self.denials.insert(charge.account.clone(), denial);
        CreditDecision::OverLimit { retry_after }
    }

    fn ask_keeper(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        charge: &Charge,
        asked: u32,
    ) -> Option<CreditDecision> {
        if self.members_due == Time::START {
            self.keepers.note_members(cx);
        }
        let Some(keeper) = self.keepers.keeper(&charge.account) else {
            return Some(self.spend_own(cx, charge));
        };
        // When all hosts start at once, keepers are slow to answer.
        if !self.keepers.has_answered(&keeper) && self.spend_own(cx, charge) == CreditDecision::NOW {
            return Some(CreditDecision::NOW);
        }
        let number = cx.rng.random();
        let lost_at = cx.now.after(ANSWER_TIMEOUT);
        let (account, cost) = (charge.account.clone(), charge.cost);
        self.keepers.note_told(cx.now, &keeper);
        self.brought = cx.now;
        let ask = Ask { request, charge: charge.clone(), lost_at, asked };
        self.asks.insert(number, ask);
        tell(cx, &keeper, CreditMessage::Wanted { ask: number, account, cost });
        None
    }

    /// Turns to other keepers where one gave no answer in time.
    fn ask_others(&mut self, cx: &mut Cx<'_>) -> Vec<CreditOutcome> {
        let lost: Vec<(u64, Ask)> = self.asks.extract_if(.., |_, ask| ask.lost_at.is_due(cx.now)).collect();
        let mut verdicts = Vec::new();
        for (_, ask) in lost {
            let decision = if ask.asked < KEEPERS_ASKED {
                self.ask_keeper(cx, ask.request, &ask.charge, ask.asked + 1)
            } else {
                Some(self.spend_own(cx, &ask.charge))
            };
            verdicts.extend(decision.map(|decision| CreditOutcome { request: ask.request, decision }));
        }
        verdicts
    }

    /// Rules on a request by this host's own share.
    fn spend_own(&mut self, cx: &Cx<'_>, charge: &Charge) -> CreditDecision {
        let Some(terms) = terms_of(cx, &charge.account) else { return CreditDecision::NOW };
        let share = Share { hosts: 1, of: self.hosts.get() };
        let (rate, size) = (share.rate(terms.limit.rate), share.credits(terms.size()));
        let debt = share.credits(terms.debt());
        let empty = || Bucket::new(Credits(0), cx.now);
        let own = self.own.entry(charge.account.clone()).or_insert_with(empty);
        // Until then a keeper lends this host's share to others.
        own.skip_to(self.brought.after(SIGNED_ON_FOR));
        own.fill(cx.now, rate, size.max(charge.cost));
        if own.covers(charge.cost, debt) {
            own.take(charge.cost);
            return CreditDecision::NOW;
        }
        let wanted = Credits(charge.cost.0.saturating_sub(debt.0));
        let retry_after = own.time_until(wanted, rate).unwrap_or(SIGNED_ON_FOR);
        CreditDecision::OverLimit { retry_after }
    }
}

fn tell(cx: &mut Cx<'_>, to: &HostId, message: CreditMessage) {
    cx.send(to, PeerMessage::Credit(message));
}

fn returned(account: AccountName, cost: Credits) -> CreditMessage {
    CreditMessage::Returned { account, cost }
}

/// Returns how many hosts there are by what the key-value service shows.
///
/// Where all processes were killed, their members' keys come back one by one;
/// the owners of engines are still those of before.
fn hosts_known(cx: &Cx<'_>) -> usize {
    let owners: HashSet<&HostId> = cx.cache.owners().map(|(_, owner)| &owner.host).collect();
    cx.cache.members().count().max(owners.len())
}
