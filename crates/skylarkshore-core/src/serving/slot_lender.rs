//! The slots that this process lends at upstreams that withstand few rejections.
//!
//! Open [`SlotLender`]. Its host lends to all hosts; see `slot_leases.rs`.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::dump::DumpEntry;
use crate::id::{HostId, Incarnation, UpstreamId};
use crate::peer::{LendingTerm, PeerMessage, ReportNumber, SlotMessage, SlotReport, SlotsLent};
use crate::serving::newcomers::Told;
use crate::serving::slot_leases::{LEASE_TTL, REPORT_INTERVAL};
use crate::time::Time;

/// How long nothing is lent at first while hosts haven't reported their use; what a predecessor lent them
/// has expired by then.
const TAKEOVER_TIME: Duration = Duration::from_secs(1);
/// How long a silent host's use counts while this process may be cut off itself: others may lend the
/// same slots by now.
const CUT_OFF_TTL: Duration = Duration::from_secs(10);
/// Time for a request to reach its upstream and for its end to be noticed there.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// How long requests are taken to run where no run is known.
const UNKNOWN_RUN: Duration = Duration::from_secs(10);
/// How long after its last report a host is lent nothing more; it may have ended.
const MAX_REPORT_AGE: Duration = REPORT_INTERVAL.saturating_add(Duration::from_millis(150));
/// How long the state of an upstream without reports is kept.
const IDLE_TTL: Duration = Duration::from_mins(5);
/// The window in which an upstream counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Part of the rejections that an upstream withstands after which nothing is lent, as a divisor; the
/// rest is for requests on their way.
const USED_PART: usize = 2;
/// How long after a rejection, or after the last slot, one slot more is lent again.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two searches for members that have joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A host that uses slots of an upstream.
#[derive(Debug, Default)]
struct Borrower {
    number: ReportNumber,
    /// Whether its process has been seen registered.
    was_registered: bool,
    held: u32,
    wanted: u32,
    /// Slots lent to it so far, and those of them that it had received when it sent its last report.
    total: u64,
    received: u64,
    heard_at: Time,
}

impl Borrower {
    /// Returns the slots that it uses, may use, or is about to receive.
    fn occupied(&self) -> u32 {
        let on_the_way = u32::try_from(self.total - self.received).unwrap_or(u32::MAX);
        self.held.saturating_add(on_the_way)
    }

    fn apply(&mut self, now: Time, term: &LendingTerm, report: &SlotReport) {
        // A host that doesn't name the term has received nothing in it, or has forgotten what.
        if report.term.as_ref() == Some(term) {
            self.received = report.received;
            self.total = self.total.max(report.received);
        } else {
            self.received = 0;
            self.total = 0;
        }
        self.number = report.number;
        self.held = report.held;
        let on_the_way = u32::try_from(self.total - self.received).unwrap_or(u32::MAX);
        self.wanted = report.wanted.saturating_sub(on_the_way);
        self.heard_at = now;
    }

    /// Reports whether another process is registered that started after the borrower.
    ///
    /// Only before the borrower's own registration do the numbers tell, since the time of day may go back
    /// between two starts.
    fn has_been_replaced(&mut self, cx: &Cx<'_>, host: &HostId) -> bool {
        let Some(registered) = cx.cache.member(host).map(|member| member.incarnation) else { return false };
        let own = self.number.incarnation;
        self.was_registered |= registered == own;
        registered > own || self.was_registered && registered != own
    }

    fn is_active(&self) -> bool {
        self.occupied() > 0 || self.wanted > 0
    }

    /// Reports whether it hasn't reported for longer than an active host does.
    fn is_silent(&self, now: Time) -> bool {
        self.heard_at.after(MAX_REPORT_AGE).is_due(now)
    }

    /// Returns until when its slots may be in use if nothing more is heard of it: it sends requests for
    /// the time of its lease, and they run on.
    fn expires_at(&self, run: Duration) -> Time {
        self.heard_at.after(LEASE_TTL).after(run).after(TRANSIT_TIME)
    }
}

/// The slots of a process that has ended; its requests may still run.
#[derive(Debug)]
struct EndedUse {
    slots: u32,
    until: Time,
}

/// The slots of one upstream.
#[derive(Debug)]
struct Ledger {
    term: LendingTerm,
    withstands: u32,
    concurrency: u32,
    needed_from: Time,
    /// When slots are lent although some hosts haven't reported.
    lends_from: Time,
    /// The processes whose use isn't known.
    unreported: OrderedMap<HostId, Incarnation>,
    /// The members at the begin of the term.
    members: usize,
    /// The hosts that have reported in the term, and how many have to before anything is lent.
    reported: OrderedSet<HostId>,
    quorum: usize,
    borrowers: OrderedMap<HostId, Borrower>,
    ended: Vec<EndedUse>,
    /// The longest recent run of requests.
    run: Duration,
    /// The hosts that wait for a slot; they take turns.
    queue: VecDeque<HostId>,
    rejections: VecDeque<Time>,
    /// Slots that aren't lent, as the upstream rejected requests for want of room.
    withheld: u32,
    recovers_at: Time,
    /// The processes that know that the upstream's slots are lent.
    told: Told,
    idle_at: Time,
}

impl Ledger {
    fn new(cx: &Cx<'_>, term: LendingTerm, report: &SlotReport) -> Self {
        // The lender of the term before is asked for nothing: it has ended, or doesn't answer.
        let before = report.term.as_ref().map(|term| &term.lender);
        let all: OrderedMap<HostId, Incarnation> =
            cx.cache.members().map(|(host, member)| (host.clone(), member.incarnation)).collect();
        let members = all.len();
        let mut unreported = all;
        unreported.retain(|host, _| Some(host) != before || *host == cx.cfg.host);
        Self {
            unreported,
            members,
            reported: OrderedSet::new(),
            quorum: members.div_ceil(2),
            term,
            withstands: report.withstands,
            concurrency: report.concurrency,
            needed_from: cx.now.after(report.needed_in),
            lends_from: cx.now.after(TAKEOVER_TIME),
            borrowers: OrderedMap::new(),
            ended: Vec::new(),
            run: UNKNOWN_RUN,
            queue: VecDeque::new(),
            rejections: VecDeque::new(),
            withheld: 0,
            recovers_at: cx.now,
            told: Told::all(cx),
            idle_at: cx.now.after(IDLE_TTL),
        }
    }

    fn notice(&self, now: Time, upstream: &UpstreamId) -> PeerMessage {
        PeerMessage::Slot(SlotMessage::Named {
            upstream: upstream.clone(),
            withstands: self.withstands,
            needed_in: self.needed_from.remaining(now),
            term: self.term.clone(),
        })
    }

    fn remove_expired(&mut self, cx: &Cx<'_>) {
        let now = cx.now;
        let is_in_touch = self.is_in_touch(now, &cx.cfg.host);
        let run = self.run;
        self.borrowers.retain(|_, borrower| {
            let expires_at =
                if is_in_touch { borrower.expires_at(run) } else { borrower.heard_at.after(CUT_OFF_TTL) };
            !expires_at.is_due(now)
        });
        self.ended.retain(|ended| !ended.until.is_due(now));
        let former: Vec<HostId> = self
            .borrowers
            .iter_mut()
            .filter_map(|(host, borrower)| borrower.has_been_replaced(cx, host).then(|| host.clone()))
            .collect();
        for host in former {
            self.record_end(now, &host);
        }
        self.queue.retain(|host| self.borrowers.contains_key(host));
        while self.rejections.front().is_some_and(|at| at.after(REJECTION_WINDOW).is_due(now)) {
            self.rejections.pop_front();
        }
        if self.withheld > 0 && self.recovers_at.is_due(now) {
            self.withheld -= 1;
            self.recovers_at = now.after(RECOVERY_INTERVAL);
        }
    }

    /// Reports whether at least as many other hosts report as have fallen silent, and one at least.
    fn is_in_touch(&self, now: Time, own: &HostId) -> bool {
        let others = || self.borrowers.iter().filter(|(host, _)| *host != own).map(|(_, borrower)| borrower);
        let heard = others().filter(|borrower| !borrower.is_silent(now)).count();
        let silent = others().filter(|borrower| borrower.is_silent(now) && borrower.is_active()).count();
        heard > 0 && heard >= silent
    }

    /// Records that the process of a borrower has ended.
    fn record_end(&mut self, now: Time, host: &HostId) {
        let Some(borrower) = self.borrowers.remove(host) else { return };
        let until = borrower.expires_at(self.run).min(now.after(self.run));
        self.ended.push(EndedUse { slots: borrower.occupied(), until });
    }

    /// Takes over what a host reports; reports whether the report is new.
    fn record_report(&mut self, cx: &Cx<'_>, from: &HostId, report: &SlotReport) -> bool {
        let now = cx.now;
        let incarnation = report.number.incarnation;
        if self.borrowers.get_mut(from).is_some_and(|known| known.has_been_replaced(cx, from)) {
            self.record_end(now, from);
        }
        let known = self.borrowers.get(from).map(|borrower| borrower.number);
        if known.is_some_and(|known| report.number <= known) {
            return false;
        }
        if known.is_some_and(|known| incarnation > known.incarnation) {
            self.record_end(now, from);
        }
        // A process that has started since can't tell what the one before it used.
        if self.unreported.get(from) == Some(&incarnation) {
            self.unreported.remove(from);
        }
        self.reported.insert(from.clone());
        self.borrowers.entry(from.clone()).or_default().apply(now, &self.term, report);
        true
    }

    fn record_rejection(&mut self, now: Time) {
        self.rejections.push_back(now);
        self.withheld = (self.withheld + 1).min(self.concurrency.saturating_sub(1));
        self.recovers_at = now.after(RECOVERY_INTERVAL);
    }

    fn has_quorum(&self) -> bool {
        self.reported.len() >= self.quorum
    }

    fn is_lending(&self, now: Time) -> bool {
        self.has_quorum() && (self.unreported.is_empty() || self.lends_from.is_due(now))
    }

    fn may_lend(&self, now: Time) -> bool {
        let withstands = usize::try_from(self.withstands).unwrap_or(usize::MAX);
        let is_calm = self.rejections.is_empty() || self.rejections.len() * USED_PART <= withstands;
        is_calm && self.is_lending(now) && self.occupied(now) < self.concurrency.saturating_sub(self.withheld)
    }

    fn describe(&self, now: Time) -> String {
        let state = if self.is_lending(now) { "lending" } else { "waiting for reports" };
        format!(
            "{state} term={} occupied={} of {} withheld={} unreported={} rejections={}",
            self.term,
            self.occupied(now),
            self.concurrency,
            self.withheld,
            self.unreported.len(),
            self.rejections.len()
        )
    }

    /// Returns the slots that requests use, may use, or are taken to use.
    fn occupied(&self, now: Time) -> u32 {
        let borrowed: u32 = self.borrowers.values().map(Borrower::occupied).sum();
        let ended: u32 = self.ended.iter().map(|ended| ended.slots).sum();
        borrowed.saturating_add(ended).saturating_add(self.reserved(now))
    }

    /// Returns the slots that hosts may use that have never reported: their part of all slots, until
    /// what they were lent in an earlier term has ended.
    fn reserved(&self, now: Time) -> u32 {
        if self.lends_from.after(self.run).is_due(now) {
            return 0;
        }
        let part = (self.concurrency as usize * self.unreported.len()).div_ceil(self.members.max(1));
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Lends the free slots, and returns the hosts that got one.
    fn lend(&mut self, now: Time) -> OrderedSet<HostId> {
        let mut lent = OrderedSet::new();
        while self.may_lend(now) {
            let Some(host) = self.queue.pop_front() else { break };
            let Some(borrower) = self.borrowers.get_mut(&host) else { continue };
            // Its next report puts it into the queue again.
            if borrower.is_silent(now) {
                continue;
            }
            borrower.total += 1;
            borrower.wanted = borrower.wanted.saturating_sub(1);
            if borrower.wanted > 0 {
                self.queue.push_back(host.clone());
            }
            lent.insert(host);
        }
        lent
    }

    fn send_lent(&self, cx: &mut Cx<'_>, upstream: &UpstreamId, host: &HostId) {
        let Some(borrower) = self.borrowers.get(host) else { return };
        let lent = SlotsLent {
            upstream: upstream.clone(),
            term: self.term.clone(),
            answered: borrower.number,
            total: borrower.total,
        };
        cx.send(host, PeerMessage::Slot(SlotMessage::Lent(lent)));
    }

    /// Answers the hosts that use or want slots, but for some.
    fn answer_active(&self, cx: &mut Cx<'_>, upstream: &UpstreamId, left_out: &OrderedSet<HostId>) {
        let active = self.borrowers.iter().filter(|(_, borrower)| borrower.is_active());
        for (host, _) in active.filter(|(host, _)| !left_out.contains(*host)) {
            self.send_lent(cx, upstream, host);
        }
    }

    fn lend_and_tell(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        for host in self.lend(cx.now) {
            self.send_lent(cx, upstream, &host);
        }
    }

    /// Tells members that have joined or started again that the upstream's slots are lent.
    fn tell_joined(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        for host in self.told.take_newcomers(cx) {
            let notice = self.notice(cx.now, upstream);
            cx.send(&host, notice);
        }
    }
}

/// The slots of all upstreams that this process lends.
#[derive(Debug, Default)]
pub(super) struct SlotLender {
    ledgers: OrderedMap<UpstreamId, Ledger>,
    join_check_at: Time,
}

impl SlotLender {
    /// Records a host's use of an upstream's slots, and lends what is free.
    ///
    /// `known` is the latest term that this process knows. A host that knows the same one reports here
    /// because its lender doesn't answer or leaves. `longest_run` is the longest recent run of requests
    /// that this process knows.
    pub(super) fn on_report(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        report: &SlotReport,
        known: Option<&LendingTerm>,
        longest_run: Option<Duration>,
    ) {
        let upstream = &report.upstream;
        if let Some(term) = &report.term {
            self.follow(cx, upstream, term);
        }
        if !self.ledgers.contains_key(upstream) {
            let other = known.filter(|known| known.lender != cx.cfg.host);
            if let Some(term) = other.filter(|term| report.term.as_ref() < Some(*term)) {
                return redirect(cx, from, report, term);
            }
            let ledger = open(cx, report, known);
            self.ledgers.insert(upstream.clone(), ledger);
        }
        let Some(ledger) = self.ledgers.get_mut(upstream) else { return };
        ledger.run = longest_run.unwrap_or(UNKNOWN_RUN);
        let had_quorum = ledger.has_quorum();
        if !ledger.record_report(cx, from, report) {
            return;
        }
        let is_waiting = ledger.borrowers.get(from).is_some_and(|borrower| borrower.wanted > 0);
        let needs_answer = report.held > 0 || report.wanted > 0;
        ledger.withstands = report.withstands;
        if report.concurrency > 0 {
            ledger.concurrency = report.concurrency;
        }
        ledger.idle_at = cx.now.after(IDLE_TTL);
        if !is_waiting {
            ledger.queue.retain(|host| host != from);
        } else if !ledger.queue.contains(from) {
            ledger.queue.push_back(from.clone());
        }
        let lent = ledger.lend(cx.now);
        for host in &lent {
            ledger.send_lent(cx, upstream, host);
        }
        // An answer lets a host go on with what it was lent in earlier terms, which others may lend by now
        // if this process is cut off.
        if !had_quorum && ledger.has_quorum() {
            ledger.answer_active(cx, upstream, &lent);
        } else if ledger.has_quorum() && needs_answer && !lent.contains(from) {
            ledger.send_lent(cx, upstream, from);
        }
    }

    /// Ends the own term if a later one has begun.
    pub(super) fn follow(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, term: &LendingTerm) {
        if self.ledgers.get(upstream).is_some_and(|ledger| ledger.term < *term) {
            self.ledgers.remove(upstream);
            cx.log_event(
                "slots_lent_elsewhere",
                upstream,
                format!("by={} term={}", term.lender, term.number),
            );
        }
    }

    /// Records that an upstream has rejected a request of a host for want of room.
    pub(super) fn on_full(&mut self, cx: &mut Cx<'_>, from: &HostId, upstream: &UpstreamId) {
        // Until slots are lent, hosts send by the load that they know.
        let lending = self.ledgers.get_mut(upstream).filter(|ledger| ledger.needed_from.is_due(cx.now));
        let Some(ledger) = lending else { return };
        ledger.record_rejection(cx.now);
        let detail = format!(
            "by={from} occupied={} concurrency={} withheld={} rejections={}",
            ledger.occupied(cx.now),
            ledger.concurrency,
            ledger.withheld,
            ledger.rejections.len()
        );
        cx.log_event("lent_slot_rejected", upstream, detail);
    }

    /// Returns an entry for each upstream whose slots this process lends.
    pub(super) fn dump_entries(&self, now: Time) -> impl Iterator<Item = DumpEntry> + '_ {
        self.ledgers.iter().map(move |(upstream, ledger)| DumpEntry {
            kind: "slots_lent",
            subject: upstream.to_string(),
            state: ledger.describe(now),
            since: None,
        })
    }

    /// Lends slots that have become free, and tells members that have joined.
    ///
    /// Returns the terms that end as too few hosts have reported in them: this host may be cut off, and
    /// another one lend the same slots.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<(UpstreamId, LendingTerm)> {
        self.ledgers.retain(|_, ledger| !ledger.idle_at.is_due(cx.now));
        let lacks_quorum = |ledger: &Ledger| ledger.lends_from.is_due(cx.now) && !ledger.has_quorum();
        let given_up = self.ledgers.extract_if(.., |_, ledger| lacks_quorum(ledger));
        let given_up: Vec<(UpstreamId, LendingTerm)> =
            given_up.map(|(upstream, ledger)| (upstream, ledger.term)).collect();
        for (upstream, term) in &given_up {
            cx.log_event("slots_not_lent", upstream, format!("term={} too few hosts answer", term.number));
        }
        let checks_joined = self.join_check_at.is_due(cx.now);
        if checks_joined {
            self.join_check_at = cx.now.after(JOIN_CHECK_INTERVAL);
        }
        for (upstream, ledger) in &mut self.ledgers {
            ledger.remove_expired(cx);
            ledger.lend_and_tell(cx, upstream);
            if checks_joined {
                ledger.tell_joined(cx, upstream);
            }
        }
        given_up
    }
}

/// Begins to lend the slots of an upstream, and asks all members for their use.
fn open(cx: &mut Cx<'_>, report: &SlotReport, known: Option<&LendingTerm>) -> Ledger {
    let before = report.term.as_ref().max(known).map_or(0, |term| term.number);
    let term = LendingTerm { number: before + 1, lender: cx.cfg.host.clone() };
    let detail =
        format!("term={} withstands={} concurrency={}", term.number, report.withstands, report.concurrency);
    cx.log_event("slots_lent", &report.upstream, detail);
    let ledger = Ledger::new(cx, term, report);
    let notice = ledger.notice(cx.now, &report.upstream);
    cx.send(&cx.cfg.host.clone(), notice.clone());
    broadcast_via_relay(cx, &notice);
    ledger
}

/// Tells a host who lends the slots.
fn redirect(cx: &mut Cx<'_>, to: &HostId, report: &SlotReport, term: &LendingTerm) {
    let notice = SlotMessage::Named {
        upstream: report.upstream.clone(),
        withstands: report.withstands,
        needed_in: report.needed_in,
        term: term.clone(),
    };
    cx.send(to, PeerMessage::Slot(notice));
}
