//! The lease and the member key that announce this process to the others.
//!
//! Start reading at [`Membership`].

use std::time::Duration;

use super::backoff::Backoff;
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, Incarnation, LeaseId, StoreRevision};
use crate::store::{
    Expect, Key, MemberRecord, Record, StoreAnswer, StoreCall, StoreResult, WriteOutcome, WriteRequest,
};
use crate::time::Time;

/// Deadline of one write of the member key.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// Timeout of a lease call, as a multiple of `store_timeout`.
const CALL_TIMEOUT_FACTOR: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    /// When the last confirmed call was sent; the lease cannot count from an earlier time.
    confirmed_at: Time,
    ttl: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Grant,
    Renew,
    Revoke,
}

#[derive(Clone, Copy, Debug)]
struct LeaseCall {
    call: CallId,
    purpose: Purpose,
    sent: Time,
    timeout_at: Time,
}

/// State of this process's member key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Registration {
    Absent,
    Writing {
        lease: LeaseId,
        leaving: bool,
        /// The first revision under the lease, if the key already exists.
        first: Option<StoreRevision>,
    },
    Registered {
        lease: LeaseId,
        leaving: bool,
        /// The first revision under the lease.
        first: StoreRevision,
    },
}

/// Stage of this process's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Active,
    Leaving,
    /// The lease is being revoked.
    Revoking {
        deadline: Time,
    },
    Deregistered,
    /// A process that started later has registered under this host's name.
    Superseded,
}

/// Another process that is registered under this host's name, in relation to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherProcess {
    /// It has ended; its entry stays until its lease expires.
    Earlier,
    /// It registered after this process.
    Later,
    /// It may be either, and may still run.
    Unclear,
}

/// The lease and the member key of this process.
#[derive(Debug)]
pub(super) struct Membership {
    stage: Stage,
    lease: Option<HeldLease>,
    call: Option<LeaseCall>,
    /// Delays the next lease call, after a failure or until the next renewal is due.
    call_backoff: Backoff,
    registration: Registration,
    write_backoff: Backoff,
    /// The revision of the last registration that the key-value service has confirmed.
    last_registered: Option<StoreRevision>,
    /// Whether the key names another process that may still run.
    is_contested: bool,
    /// The highest number that is known of earlier starts of this host.
    earlier_start: Option<Incarnation>,
    /// When the key was last written again after the lease was lost.
    re_registered_at: Option<Time>,
    lease_was_lost: bool,
    store_reachable: bool,
}

impl Membership {
    /// Creates the state of a process without a lease.
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::Active,
            lease: None,
            call: None,
            call_backoff: Backoff::default(),
            registration: Registration::Absent,
            write_backoff: Backoff::default(),
            last_registered: None,
            is_contested: false,
            earlier_start: None,
            re_registered_at: None,
            lease_was_lost: false,
            store_reachable: false,
        }
    }

    /// Reports whether a process that started later has registered under this host's name.
    pub(super) fn is_superseded(&self) -> bool {
        self.stage == Stage::Superseded
    }

    /// Reports whether another process may act under this host's name, so that this one must not.
    pub(super) fn is_on_standby(&self) -> bool {
        self.is_superseded() || self.is_contested
    }

    /// Reports whether this host is known to have run a process before this one.
    pub(super) const fn has_earlier_start(&self) -> bool {
        self.earlier_start.is_some()
    }

    /// Returns the incarnation that this process has to take before it registers, if its own isn't above those
    /// of earlier starts.
    ///
    /// Peers order the starts of a host by number until they have read of the registration.
    pub(super) fn raised_incarnation(&self, own: Incarnation) -> Option<Incarnation> {
        let earlier = self.earlier_start.filter(|earlier| *earlier >= own)?;
        self.last_registered.is_none().then(|| earlier.next())
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.stage != Stage::Active
    }

    /// Reports whether the member key is deleted, or the wait for its deletion has ended.
    pub(super) fn is_deregistered(&self) -> bool {
        matches!(self.stage, Stage::Deregistered | Stage::Superseded)
    }

    /// Reports whether the last lease call succeeded.
    pub(super) const fn is_store_reachable(&self) -> bool {
        self.store_reachable
    }

    /// Returns when the member key was last written again after the lease was lost.
    pub(super) const fn re_registered_at(&self) -> Option<Time> {
        self.re_registered_at
    }

    /// Returns the first revision of the member key under the current lease.
    ///
    /// A deletion seen at a later revision concerns this registration; one seen at an
    /// earlier revision concerns a previous lease.
    pub(super) fn registration_revision(&self) -> Option<StoreRevision> {
        let lease = self.lease?.id;
        match self.registration {
            Registration::Registered { lease: under, first, .. } if under == lease => Some(first),
            Registration::Writing { lease: under, first, .. } if under == lease => first,
            _ => None,
        }
    }

    /// Returns when the last confirmed renewal was sent.
    pub(super) fn confirmed_at(&self) -> Option<Time> {
        self.lease.map(|lease| lease.confirmed_at)
    }

    /// Returns until when this process may rely on its member key.
    ///
    /// The time counts from before the renewal was sent, on the local clock. If it
    /// counted from the answer, a process that was paused in between could send orders
    /// at the same time as its successor.
    pub(super) fn lease_valid_until(&self, cfg: &NodeConfig) -> Option<Time> {
        if !matches!(self.stage, Stage::Active | Stage::Leaving) {
            return None;
        }
        self.registration_revision()?;
        let lease = self.lease?;
        Some(lease.confirmed_at.after(cfg.timings.hold.min(lease.ttl)))
    }

    /// Reports whether the member key definitely exists.
    pub(super) fn is_lease_valid(&self, cfg: &NodeConfig, now: Time) -> bool {
        self.lease_valid_until(cfg).is_some_and(|until| !until.is_due(now))
    }

    /// Starts to leave.
    pub(super) fn leave(&mut self) {
        if self.stage == Stage::Active {
            self.stage = Stage::Leaving;
        }
    }

    /// Revokes the lease, which deletes the member key.
    pub(super) fn revoke_lease(&mut self, cx: &Cx<'_>) {
        if self.stage != Stage::Leaving {
            return;
        }
        // The key is deleted anyway when the lease expires, so that a process that
        // shuts down does not wait for an unreachable store.
        self.stage = Stage::Revoking { deadline: cx.now.after(cx.cfg.timings.store_timeout * 2) };
        self.call = None;
        self.call_backoff.reset();
    }

    /// Runs what is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.is_deregistered() {
            return;
        }
        if let Stage::Revoking { deadline } = self.stage
            && (deadline.is_due(cx.now) || self.lease.is_none())
        {
            self.stage = Stage::Deregistered;
            return;
        }
        self.expire_call(cx);
        self.call_when_due(cx);
        self.register_when_due(cx);
    }

    /// Handles the result of a lease call.
    pub(super) fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) {
        let Some(sent) = self.call.take_if(|own| own.call == call) else { return };
        match result {
            Ok(answer) => {
                self.store_reachable = true;
                self.call_backoff.reset();
                self.on_answer(cx, sent, answer);
            }
            Err(_failure) => {
                self.store_reachable = false;
                self.call_backoff.record_failure(cx);
            }
        }
    }

    /// Handles the outcome of a write of the member key.
    pub(super) fn on_write(&mut self, cx: &mut Cx<'_>, outcome: &WriteOutcome) {
        let Registration::Writing { lease, leaving, first } = self.registration else { return };
        let written =
            match outcome {
                WriteOutcome::Done(written) if is_own(cx, written.record.as_ref()) => written,
                _ => {
                    // If the key exists, only a change of `leaving` was written, so it keeps the other value.
                    self.registration = first.map_or(Registration::Absent, |first| {
                        Registration::Registered { lease, leaving: !leaving, first }
                    });
                    self.write_backoff.record_failure(cx);
                    return;
                }
            };
        self.write_backoff.reset();
        let first = first.unwrap_or(written.revision);
        self.registration = Registration::Registered { lease, leaving, first };
        self.last_registered = self.last_registered.max(Some(first));
        if self.registration_revision().is_some() && std::mem::take(&mut self.lease_was_lost) {
            self.re_registered_at = Some(cx.now);
            cx.log_event("member_returned", cx.cfg.host.clone(), "registered again after its lease was lost");
        }
    }

    /// Handles a change of the member key of this host.
    pub(super) fn on_change(&mut self, cx: &mut Cx<'_>) {
        let Some(entry) = cx.cache.get(&own_key(cx)) else { return };
        let revision = entry.revision;
        let found = entry.record.as_ref();
        if is_own(cx, found) {
            self.last_registered = self.last_registered.max(Some(revision));
        }
        let Some(Record::Member(other)) = found.filter(|_| !is_own(cx, found)) else {
            self.set_contested(cx, false, "the member key names no other process");
            if found.is_none() && self.registration_revision().is_some_and(|first| first < revision) {
                self.lose_lease(cx, "the member key vanished");
            }
            return;
        };
        let relation = self.relation_to(cx, revision, other);
        let detail = format!("incarnation {} at {} is registered", other.incarnation, other.peer_address);
        self.set_contested(cx, relation == OtherProcess::Unclear, &detail);
        match relation {
            OtherProcess::Earlier => self.on_earlier_start(cx, other.incarnation),
            OtherProcess::Later => self.supersede(cx, &detail),
            OtherProcess::Unclear => {}
        }
    }

    /// Returns whether another process started before this one.
    ///
    /// Their numbers don't tell, since the time of day may go back between two starts:
    ///
    /// - What was written after this process had registered is of a later one. The revisions of two eras
    ///   of the key-value service can't be compared, as its copy may hold the entry of an earlier start.
    /// - A process can't run at this host's addresses while this one listens there.
    fn relation_to(&self, cx: &Cx<'_>, revision: StoreRevision, other: &MemberRecord) -> OtherProcess {
        let registered = self.last_registered.filter(|registered| registered.era() == revision.era());
        if registered.is_some_and(|registered| registered < revision) {
            return OtherProcess::Later;
        }
        let has_own_addresses =
            other.caller_address == cx.cfg.caller_address && other.peer_address == cx.cfg.peer_address;
        if has_own_addresses || other.incarnation < cx.cfg.incarnation {
            OtherProcess::Earlier
        } else {
            OtherProcess::Unclear
        }
    }

    /// Handles a record that names an incarnation of this host.
    ///
    /// Before this process has registered, that is an earlier one.
    pub(super) fn on_named(&mut self, cx: &mut Cx<'_>, incarnation: Incarnation) {
        if self.last_registered.is_none() && !self.is_contested {
            self.on_earlier_start(cx, incarnation);
        }
    }

    fn on_earlier_start(&mut self, cx: &mut Cx<'_>, earlier: Incarnation) {
        self.earlier_start = self.earlier_start.max(Some(earlier));
        if let Some(raised) = self.raised_incarnation(cx.cfg.incarnation) {
            let detail = format!("from={} to={raised}", cx.cfg.incarnation);
            cx.log_event("incarnation_raised", cx.cfg.host.clone(), detail);
        }
    }

    fn set_contested(&mut self, cx: &mut Cx<'_>, is_contested: bool, why: &str) {
        if self.is_contested == is_contested || self.is_superseded() {
            return;
        }
        self.is_contested = is_contested;
        let event = if is_contested { "standby_begun" } else { "standby_ended" };
        cx.log_event(event, cx.cfg.host.clone(), why);
    }

    /// Stops for good after a process that started later has registered under this host's name.
    fn supersede(&mut self, cx: &mut Cx<'_>, why: &str) {
        if self.stage == Stage::Superseded {
            return;
        }
        self.stage = Stage::Superseded;
        self.lease = None;
        self.call = None;
        self.registration = Registration::Absent;
        cx.log_event("superseded", cx.cfg.host.clone(), why);
    }

    /// Gives up the lease: it may be gone, and its number may be granted again to another process.
    ///
    /// A process that is about to revoke it doesn't, since it could end that other process's lease.
    pub(super) fn on_new_era(&mut self, cx: &mut Cx<'_>) {
        if self.is_deregistered() {
            return;
        }
        self.lose_lease(cx, "the key-value service came back from an older copy");
        self.write_backoff.reset();
    }

    fn lose_lease(&mut self, cx: &mut Cx<'_>, why: &str) {
        self.lease = None;
        self.call = None;
        // A write under the lost lease may still be in progress. Its outcome must not
        // be taken for that of the next write, since the old key would then count as
        // the new registration.
        if !matches!(self.registration, Registration::Writing { .. }) {
            self.registration = Registration::Absent;
        }
        self.lease_was_lost = true;
        self.call_backoff.reset();
        if !matches!(self.stage, Stage::Revoking { .. }) {
            cx.log_event("lease_lost", cx.cfg.host.clone(), why);
        }
    }

    fn expire_call(&mut self, cx: &mut Cx<'_>) {
        if self.call.take_if(|call| call.timeout_at.is_due(cx.now)).is_some() {
            self.store_reachable = false;
            self.call_backoff.record_failure(cx);
        }
    }

    fn call_when_due(&mut self, cx: &mut Cx<'_>) {
        if self.call.is_some() || !self.call_backoff.is_ready(cx.now) {
            return;
        }
        let (purpose, request) = match (self.stage, self.lease) {
            (Stage::Revoking { .. }, Some(lease)) => (Purpose::Revoke, StoreCall::RevokeLease(lease.id)),
            (_, Some(lease)) => (Purpose::Renew, StoreCall::RenewLease(lease.id)),
            (_, None) => (Purpose::Grant, StoreCall::GrantLease { ttl: cx.cfg.timings.lease_ttl }),
        };
        let call = cx.next_call();
        let timeout_at = cx.now.after(cx.cfg.timings.store_timeout * CALL_TIMEOUT_FACTOR);
        self.call = Some(LeaseCall { call, purpose, sent: cx.now, timeout_at });
        cx.push(Effect::Store { call, request });
    }

    fn on_answer(&mut self, cx: &mut Cx<'_>, sent: LeaseCall, answer: &StoreAnswer) {
        match (sent.purpose, answer) {
            (Purpose::Revoke, _) => {
                self.lease = None;
                self.registration = Registration::Absent;
                self.stage = Stage::Deregistered;
            }
            (Purpose::Grant | Purpose::Renew, StoreAnswer::Lease { lease, ttl }) => {
                self.lease = Some(HeldLease { id: *lease, confirmed_at: sent.sent, ttl: *ttl });
                let every = cx.cfg.timings.renew_every;
                let next = sent.sent.after(every * 3 / 4 + cx.jitter(every / 4));
                self.call_backoff.delay_until(next);
                self.register_when_due(cx);
            }
            (Purpose::Renew, _) => self.lose_lease(cx, "the lease expired"),
            (Purpose::Grant, _) => self.call_backoff.record_failure(cx),
        }
    }

    fn register_when_due(&mut self, cx: &mut Cx<'_>) {
        let Some(lease) = self.lease else { return };
        // The write must carry the incarnation that this process is about to take.
        if self.is_contested || self.raised_incarnation(cx.cfg.incarnation).is_some() {
            return;
        }
        let leaving = self.is_leaving();
        let first = self.registration_revision();
        let due = match self.registration {
            Registration::Writing { .. } => false,
            Registration::Registered { lease: under, leaving: published, .. } => {
                under != lease.id || published != leaving
            }
            Registration::Absent => true,
        };
        if !due || !self.write_backoff.is_ready(cx.now) || matches!(self.stage, Stage::Revoking { .. }) {
            return;
        }
        self.registration = Registration::Writing { lease: lease.id, leaving, first };
        let key = own_key(cx);
        let expect = match cx.cache.get(&key) {
            Some(entry) if entry.record.is_some() => Expect::At(entry.revision),
            _ => Expect::Absent,
        };
        cx.write(WriteRequest {
            key,
            expect,
            record: Some(Record::Member(own_record(cx.cfg, leaving))),
            lease: Some(lease.id),
            deadline: cx.now.after(WRITE_DEADLINE),
        });
    }
}

fn own_key(cx: &Cx<'_>) -> Key {
    Key::Member(cx.cfg.host.clone())
}

/// Reports whether a member record was written by this process.
///
/// Each process has a certificate of its own, also where two starts have the same number.
fn is_own(cx: &Cx<'_>, record: Option<&Record>) -> bool {
    let Some(Record::Member(member)) = record else { return false };
    member.incarnation == cx.cfg.incarnation && member.fingerprint == cx.cfg.fingerprint
}

fn own_record(cfg: &NodeConfig, leaving: bool) -> MemberRecord {
    MemberRecord {
        incarnation: cfg.incarnation,
        caller_address: cfg.caller_address,
        peer_address: cfg.peer_address,
        data_centre: cfg.data_centre.clone(),
        fingerprint: cfg.fingerprint,
        leaving,
        capacity: cfg.capacity,
    }
}
