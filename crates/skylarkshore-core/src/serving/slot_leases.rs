//! The slots that this process is lent at upstreams that withstand few rejections.
//!
//! Such an upstream falls over when it has to reject too many requests within a second, whoever sent
//! them. One host lends its slots to all hosts: a request is sent only on a lent slot, so that all
//! requests together have room. If each host went by its own view of the load, many hosts would send
//! to the same free slot at once; if each had an equal share, most slots would lie idle at hosts without
//! requests. Start with [`SlotLeases`]; `slot_lender.rs` is the side that lends.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::event::Target;
use crate::id::UpstreamId;
use crate::peer::{
    LendingTerm, PeerMessage, RejectionLimit, ReportNumber, SlotMessage, SlotReport, SlotsLent,
};
use crate::serving::counting_hosts::{Answers, CountingHosts, Purpose};
use crate::serving::run_times::RunTimes;
use crate::time::Time;

/// Time from the first notice to the first request that needs a slot; the lender learns meanwhile
/// which slots are in use.
const NOTICE_TIME: Duration = Duration::from_millis(1500);
/// How long lent slots may be used after the last report that the lender has answered.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(1);
/// Interval between reports while slots are held or wanted.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// How long a host may use a slot for one request after the other while other hosts wait.
const MAX_HOLD: Duration = Duration::from_millis(100);
/// How long a lender may be silent until its upstream isn't asked for.
const MAX_SILENCE: Duration = Duration::from_millis(300);
/// How long no slot is asked for after one was returned unused although requests wait.
const UNUSED_PAUSE: Duration = Duration::from_millis(100);
/// How long a slot stays in use after its request was cancelled; some upstreams finish such requests.
const CANCELLED_TIME: Duration = Duration::from_millis(250);
/// What the counting host counts.
const PURPOSE: Purpose = Purpose { name: "slots", answer_timeout: Duration::from_millis(500) };
/// Maximum number of slots of one upstream that are asked for.
const MAX_WANTED: u32 = 8;

/// Requests that wait for a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Waiters {
    /// Any candidate may serve them.
    Queued(Target),
    /// Only some candidates may serve them.
    Bound(Target),
}

/// An upstream whose requests may need a slot, with the requests that it runs at a time.
pub(super) struct SlotCandidate {
    pub(super) upstream: UpstreamId,
    pub(super) concurrency: u32,
}

/// A report as it was sent last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reported {
    held: u32,
    wanted: u32,
}

/// The slots of one upstream.
#[derive(Debug)]
struct Lease {
    withstands: u32,
    concurrency: u32,
    /// From when on requests need a slot.
    needed_from: Time,
    /// Slots that this process may use.
    lent: u32,
    usable_until: Time,
    /// Until when each slot of a cancelled request stays in use.
    cancelled: VecDeque<Time>,
    /// When the slots are returned as their requests end.
    return_at: Time,
    wanted: OrderedMap<Waiters, u32>,
    wanted_from: Time,
    /// The latest known term, and the slots received in it, returned ones included.
    term: Option<LendingTerm>,
    received: u64,
    /// Whether a new lender has to learn of this process's use.
    owes_report: bool,
    answers: Answers,
    /// The reports that weren't answered, and when each was sent.
    unanswered: VecDeque<(u64, Time)>,
    reported: Reported,
    next_report: Time,
    run_times: RunTimes,
}

impl Lease {
    fn new(now: Time, withstands: u32, needed_from: Time) -> Self {
        Self {
            withstands,
            concurrency: 0,
            needed_from,
            lent: 0,
            usable_until: now,
            cancelled: VecDeque::new(),
            return_at: now,
            wanted: OrderedMap::new(),
            wanted_from: now,
            term: None,
            received: 0,
            owes_report: false,
            answers: Answers::default(),
            unanswered: VecDeque::new(),
            reported: Reported::default(),
            next_report: now,
            run_times: RunTimes::new(now),
        }
    }

    fn total_wanted(&self) -> u32 {
        self.wanted.values().sum()
    }

    /// Returns the slots in use, those of cancelled requests included.
    fn used(&self, now: Time, in_flight: u32) -> u32 {
        let cancelled = self.cancelled.iter().filter(|until| !until.is_due(now)).count();
        in_flight.saturating_add(u32::try_from(cancelled).unwrap_or(u32::MAX))
    }

    fn may_use(&self, now: Time, in_flight: u32) -> bool {
        self.used(now, in_flight) < self.lent && !self.usable_until.is_due(now)
    }

    fn wanted_by(&self, waiters: &Waiters) -> u32 {
        self.wanted.get(waiters).copied().unwrap_or(0)
    }

    fn set_wanted(&mut self, waiters: &Waiters, count: u32) {
        if count == 0 {
            self.wanted.remove(waiters);
        } else {
            self.wanted.insert(waiters.clone(), count);
        }
    }

    /// Takes slots that were lent from those that are wanted.
    fn take_from_wanted(&mut self, count: u32) {
        let mut left = count;
        for wanted in self.wanted.values_mut() {
            let taken = left.min(*wanted);
            *wanted -= taken;
            left -= taken;
        }
        self.wanted.retain(|_, wanted| *wanted > 0);
    }

    /// Takes note of a term; reports whether it is the latest one.
    fn follow(&mut self, term: &LendingTerm) -> bool {
        if self.term.as_ref() < Some(term) {
            self.term = Some(term.clone());
            self.received = 0;
            self.owes_report = true;
            self.answers.record();
        }
        self.term.as_ref() == Some(term)
    }

    fn describe(&self, now: Time) -> String {
        let term = self.term.as_ref().map_or_else(|| "none".to_owned(), LendingTerm::to_string);
        let lent = if self.usable_until.is_due(now) { 0 } else { self.lent };
        format!("term={term} lent={lent} cancelled={} wanted={}", self.cancelled.len(), self.total_wanted())
    }

    /// Gives back what no request uses.
    fn return_unused(&mut self, now: Time, used: u32) {
        if self.lent <= used {
            return;
        }
        self.lent = used;
        if !self.wanted.is_empty() {
            self.wanted.clear();
            self.wanted_from = now.after(UNUSED_PAUSE);
        }
    }
}

/// The slots that this process is lent.
#[derive(Debug, Default)]
pub(super) struct SlotLeases {
    leases: OrderedMap<UpstreamId, Lease>,
    /// Number of the last report; a lease that is forgotten and begun anew goes on from it.
    number: u64,
    lenders: CountingHosts,
}

impl SlotLeases {
    /// Records how many rejections an upstream says that it withstands, or that it no longer says so.
    pub(super) fn record(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, withstands: Option<u32>) {
        let known = self.leases.get(upstream).map(|lease| lease.withstands);
        let Some(withstands) = withstands else {
            // An answer from before the notice may arrive after it.
            let is_new = |lease: &Lease| !lease.needed_from.is_due(cx.now);
            if known.is_some() && !self.leases.get(upstream).is_some_and(is_new) {
                self.leases.remove(upstream);
                log_change(cx, upstream, known, None);
            }
            return;
        };
        self.insert(cx, upstream, withstands, NOTICE_TIME);
    }

    /// Records that a peer knows an upstream to withstand few rejections.
    pub(super) fn on_named(&mut self, cx: &mut Cx<'_>, limit: &RejectionLimit) {
        self.insert(cx, &limit.upstream, limit.withstands, limit.needed_in.min(NOTICE_TIME));
        if let (Some(term), Some(lease)) = (&limit.term, self.leases.get_mut(&limit.upstream)) {
            lease.follow(term);
            lease.answers.record();
        }
    }

    /// Returns the upstreams that withstand few rejections.
    pub(super) fn limits(&self, now: Time) -> Vec<RejectionLimit> {
        let limit = |(upstream, lease): (&UpstreamId, &Lease)| RejectionLimit {
            upstream: upstream.clone(),
            withstands: lease.withstands,
            needed_in: lease.needed_from.remaining(now),
            term: lease.term.clone(),
        };
        self.leases.iter().map(limit).collect()
    }

    /// Forgets a term that has ended without a successor, so that others are asked who lends.
    pub(super) fn abandon(&mut self, upstream: &UpstreamId, term: &LendingTerm) {
        let Some(lease) = self.leases.get_mut(upstream) else { return };
        if lease.term.as_ref() == Some(term) {
            lease.term = None;
            lease.received = 0;
        }
    }

    /// Returns the latest known term of an upstream's slots.
    pub(super) fn term(&self, upstream: &UpstreamId) -> Option<&LendingTerm> {
        self.leases.get(upstream)?.term.as_ref()
    }

    fn insert(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, withstands: u32, needed_in: Duration) {
        let needed_from = cx.now.after(needed_in);
        let known = self.leases.get(upstream).map(|lease| lease.withstands);
        let lease = self
            .leases
            .entry(upstream.clone())
            .or_insert_with(|| Lease::new(cx.now, withstands, needed_from));
        lease.withstands = withstands;
        lease.needed_from = lease.needed_from.min(needed_from);
        if known != Some(withstands) {
            log_change(cx, upstream, known, Some(withstands));
        }
    }

    /// Forgets an upstream.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.leases.remove(upstream);
    }

    /// Reports whether no upstream withstands few rejections.
    pub(super) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Reports whether an upstream withstands few rejections.
    pub(super) fn contains(&self, upstream: &UpstreamId) -> bool {
        self.leases.contains_key(upstream)
    }

    /// Reports whether this host has a free slot at an upstream; `None` if requests need none there.
    pub(super) fn has_free(&self, now: Time, upstream: &UpstreamId, in_flight: u32) -> Option<bool> {
        let lease = self.leases.get(upstream).filter(|lease| lease.needed_from.is_due(now))?;
        Some(lease.may_use(now, in_flight))
    }

    /// Sets for how many requests slots are wanted at any of the candidates.
    pub(super) fn want(
        &mut self,
        cx: &mut Cx<'_>,
        waiters: &Waiters,
        waiting: u32,
        candidates: &[SlotCandidate],
    ) {
        let mut eligible: Vec<UpstreamId> = Vec::new();
        for candidate in candidates {
            let Some(lease) = self.leases.get_mut(&candidate.upstream) else { continue };
            lease.concurrency = candidate.concurrency;
            let is_open = lease.needed_from.is_due(cx.now)
                && lease.wanted_from.is_due(cx.now)
                && !lease.answers.is_missing_for(cx.now, MAX_SILENCE);
            if is_open {
                eligible.push(candidate.upstream.clone());
            }
        }
        for (upstream, lease) in &mut self.leases {
            if !eligible.contains(upstream) {
                lease.set_wanted(waiters, 0);
            }
        }
        self.adjust_wanted(cx, waiters, waiting, &eligible);
    }

    fn adjust_wanted(&mut self, cx: &mut Cx<'_>, waiters: &Waiters, waiting: u32, eligible: &[UpstreamId]) {
        let most = u32::try_from(eligible.len()).unwrap_or(u32::MAX).saturating_mul(MAX_WANTED);
        let aim = waiting.min(most);
        let wanted_at =
            |leases: &Self, upstream| leases.leases.get(upstream).map_or(0, |l| l.wanted_by(waiters));
        let mut total: u32 = eligible.iter().map(|upstream| wanted_at(self, upstream)).sum();
        while total != aim {
            let first = cx.rng.random_range(0..eligible.len());
            let in_turn = eligible[first..].iter().chain(&eligible[..first]);
            let chosen = if total < aim {
                in_turn.min_by_key(|upstream| wanted_at(self, upstream))
            } else {
                in_turn.max_by_key(|upstream| wanted_at(self, upstream))
            };
            let Some(lease) = chosen.and_then(|upstream| self.leases.get_mut(upstream)) else { return };
            let wanted = lease.wanted_by(waiters);
            if total < aim {
                lease.set_wanted(waiters, wanted + 1);
                total += 1;
            } else {
                lease.set_wanted(waiters, wanted.saturating_sub(1));
                total -= 1;
            }
        }
    }

    /// Records the answer to a report, and the slots that it lends.
    pub(super) fn on_lent(&mut self, cx: &Cx<'_>, message: &SlotsLent) {
        let Some(lease) = self.leases.get_mut(&message.upstream) else { return };
        let is_own = message.answered.incarnation == cx.cfg.incarnation;
        if !is_own || !lease.follow(&message.term) {
            return;
        }
        lease.answers.record();
        let sent = lease.unanswered.iter().find(|(number, _)| *number == message.answered.number);
        if let Some((_, sent)) = sent {
            lease.usable_until = lease.usable_until.max(sent.after(LEASE_TTL));
        }
        lease.unanswered.retain(|(number, _)| *number > message.answered.number);
        let count = u32::try_from(message.total.saturating_sub(lease.received)).unwrap_or(u32::MAX);
        lease.received = lease.received.max(message.total);
        if count == 0 {
            return;
        }
        if lease.lent == 0 || lease.return_at.is_due(cx.now) {
            lease.return_at = cx.now.after(MAX_HOLD);
        }
        lease.lent = lease.lent.saturating_add(count);
        lease.take_from_wanted(count);
    }

    /// Gives back the slot of a request that has ended if it was held long enough.
    pub(super) fn on_released(&mut self, now: Time, upstream: &UpstreamId, in_flight: u32) {
        let Some(lease) = self.leases.get_mut(upstream) else { return };
        if lease.return_at.is_due(now) {
            lease.lent = lease.lent.min(lease.used(now, in_flight));
        }
    }

    /// Records how long a request ran at an upstream.
    pub(super) fn on_run_ended(&mut self, now: Time, upstream: &UpstreamId, run: Duration) {
        if let Some(lease) = self.leases.get_mut(upstream) {
            lease.run_times.record(now, run);
        }
    }

    /// Returns the longest recent run of this process's requests at an upstream, if it is known.
    pub(super) fn longest_run(&self, upstream: &UpstreamId) -> Option<Duration> {
        self.leases.get(upstream)?.run_times.longest()
    }

    /// Keeps a slot in use whose request is about to be cancelled.
    pub(super) fn on_cancelled(&mut self, now: Time, upstream: &UpstreamId) {
        if let Some(lease) = self.leases.get_mut(upstream) {
            lease.cancelled.push_back(now.after(CANCELLED_TIME));
        }
    }

    /// Tells the lender of an upstream that it has rejected a request for want of room.
    pub(super) fn on_rejected(&self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let Some(lease) = self.leases.get(upstream) else { return };
        if let Some(LendingTerm { lender, .. }) = &lease.term {
            cx.send(lender, PeerMessage::UpstreamFull { upstream: upstream.clone() });
        }
    }

    /// Returns slots that no request uses, and sends the reports that are due.
    pub(super) fn report(&mut self, cx: &mut Cx<'_>, in_flight: impl Fn(&UpstreamId) -> u32) {
        for (upstream, lease) in &mut self.leases {
            lease.cancelled.retain(|until| !until.is_due(cx.now));
            let used = lease.used(cx.now, in_flight(upstream));
            lease.return_unused(cx.now, used);
            let now = Reported { held: lease.lent.max(used), wanted: lease.total_wanted() };
            let is_active = now != Reported::default();
            // A silent lender is passed over also where nothing is wanted of it any more; otherwise its
            // upstream would never be asked for again.
            let is_silent = lease.answers.is_missing_for(cx.now, PURPOSE.answer_timeout);
            let is_due = lease.owes_report || (is_silent || is_active) && lease.next_report.is_due(cx.now);
            if now == lease.reported && !is_due {
                continue;
            }
            let appointed = lease.term.as_ref().map(|term| &term.lender);
            let lender = self.lenders.choose(cx, &PURPOSE, upstream, appointed, &mut lease.answers);
            let Some(lender) = lender else { continue };
            lease.owes_report = false;
            lease.reported = now;
            self.number += 1;
            lease.next_report = cx.now.after(REPORT_INTERVAL);
            if is_active {
                lease.answers.expect(cx.now);
                lease.unanswered.push_back((self.number, cx.now));
                lease.unanswered.retain(|(_, sent)| !sent.after(LEASE_TTL).is_due(cx.now));
            }
            let report = SlotReport {
                upstream: upstream.clone(),
                number: ReportNumber { incarnation: cx.cfg.incarnation, number: self.number },
                withstands: lease.withstands,
                needed_in: lease.needed_from.remaining(cx.now),
                concurrency: lease.concurrency,
                held: now.held,
                wanted: now.wanted,
                term: lease.term.clone(),
                received: lease.received,
            };
            cx.send(&lender, PeerMessage::Slot(SlotMessage::Report(report)));
        }
    }

    /// Returns the targets of bound requests for which slots are wanted.
    pub(super) fn bound_targets(&self) -> Vec<Target> {
        let waiters = self.leases.values().flat_map(|lease| lease.wanted.keys());
        let bound = waiters.filter_map(|waiters| match waiters {
            Waiters::Bound(target) => Some(target.clone()),
            Waiters::Queued(_) => None,
        });
        bound.collect()
    }

    /// Returns an entry for the slots of each upstream.
    pub(super) fn dump_entries(&self, now: Time) -> impl Iterator<Item = DumpEntry> + '_ {
        self.leases.iter().map(move |(upstream, lease)| DumpEntry {
            kind: "slots_borrowed",
            subject: upstream.to_string(),
            state: lease.describe(now),
            since: None,
        })
    }

    /// Returns the slots lent at an upstream whose requests need one, for the log.
    pub(super) fn lent(&self, upstream: &UpstreamId) -> Option<u32> {
        self.leases.get(upstream).map(|lease| lease.lent)
    }
}

fn log_change(cx: &mut Cx<'_>, upstream: &UpstreamId, from: Option<u32>, to: Option<u32>) {
    let describe = |limit: Option<u32>| limit.map_or_else(|| "none".to_owned(), |l| l.to_string());
    cx.log_event("rejection_limit", upstream, format!("from {} to {}", describe(from), describe(to)));
}
