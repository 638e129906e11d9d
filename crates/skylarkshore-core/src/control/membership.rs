//! The lease and the member key that announce this process to the others.
//!
//! Start reading at [`Membership`].

use std::time::Duration;

use super::backoff::Backoff;
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, LeaseId, StoreRevision};
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
    /// A later incarnation of the process runs on this host.
    Superseded,
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
            re_registered_at: None,
            lease_was_lost: false,
            store_reachable: false,
        }
    }

    /// Reports whether a later incarnation of the process runs on this host.
    pub(super) fn is_superseded(&self) -> bool {
        self.stage == Stage::Superseded
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
        let WriteOutcome::Done(written) = outcome else {
            // If the key exists, only a change of `leaving` was written, so it keeps the other value.
            self.registration = first.map_or(Registration::Absent, |first| Registration::Registered {
                lease,
                leaving: !leaving,
                first,
            });
            self.write_backoff.record_failure(cx);
            return;
        };
        self.write_backoff.reset();
        let first = first.unwrap_or(written.revision);
        self.registration = Registration::Registered { lease, leaving, first };
        if self.registration_revision().is_some() && std::mem::take(&mut self.lease_was_lost) {
            self.re_registered_at = Some(cx.now);
            cx.log_event("member_returned", cx.cfg.host.clone(), "registered again after its lease was lost");
        }
    }

    /// Handles a change of the member key of this host.
    pub(super) fn on_change(&mut self, cx: &mut Cx<'_>) {
        let Some(entry) = cx.cache.get(&own_key(cx)) else { return };
        let revision = entry.revision;
        match entry.record.as_ref() {
            Some(Record::Member(member)) if member.incarnation > cx.cfg.incarnation => {
                let later = member.incarnation;
                self.supersede(cx, &format!("incarnation {later} runs on this host"));
            }
            None if self.registration_revision().is_some_and(|first| first < revision) => {
                self.lose_lease(cx, "the member key vanished");
            }
            _ => {}
        }
    }

    /// Stops for good after a later incarnation has registered on this host.
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
