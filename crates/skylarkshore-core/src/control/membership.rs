//! The lease and the member key by which other processes know that this one lives.

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

/// How long a write of the member key is tried before it is looked at anew.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// How many times the time-out of a call its answer is waited for.
const LOST_AFTER_TIMEOUTS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    /// When the last confirmed call was sent; the service can't have counted from earlier.
    confirmed: Time,
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
    lost_at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Registration {
    Absent,
    Writing {
        lease: LeaseId,
        leaving: bool,
        /// The first revision under the lease, if the key stands already.
        first: Option<StoreRevision>,
    },
    Standing {
        lease: LeaseId,
        leaving: bool,
        first: StoreRevision,
    },
}

/// How far this process is known to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Living,
    Leaving,
    /// The lease is being ended.
    Revoking {
        give_up: Time,
    },
    Gone,
    /// A later life of the process runs on this host.
    Superseded,
}

/// The lease and the member key of this process.
#[derive(Debug)]
pub(super) struct Membership {
    stage: Stage,
    lease: Option<HeldLease>,
    call: Option<LeaseCall>,
    calls: Backoff,
    registration: Registration,
    writes: Backoff,
    /// When the key was last written after it had been lost.
    returned: Option<Time>,
    lost_before: bool,
    reachable: bool,
}

impl Membership {
    /// Makes the state of a process without a lease.
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::Living,
            lease: None,
            call: None,
            calls: Backoff::default(),
            registration: Registration::Absent,
            writes: Backoff::default(),
            returned: None,
            lost_before: false,
            reachable: false,
        }
    }

    /// Tells whether a later life of the process runs on this host.
    pub(super) fn is_superseded(&self) -> bool {
        self.stage == Stage::Superseded
    }

    /// Tells whether the process is about to go.
    pub(super) fn is_leaving(&self) -> bool {
        self.stage != Stage::Living
    }

    /// Tells whether the member key is gone for good, as far as can be waited for.
    pub(super) fn is_gone(&self) -> bool {
        matches!(self.stage, Stage::Gone | Stage::Superseded)
    }

    /// Tells whether the last call about the lease succeeded.
    pub(super) const fn is_store_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns when the member key was last written again after having been lost.
    pub(super) const fn returned(&self) -> Option<Time> {
        self.returned
    }

    /// Returns the first revision of the member key under the present lease.
    ///
    /// Whoever saw the key vanish at a later revision is right, whoever saw it
    /// vanish at an earlier one speaks of an earlier lease.
    pub(super) fn registered_at(&self) -> Option<StoreRevision> {
        let lease = self.lease?.id;
        match self.registration {
            Registration::Standing { lease: under, first, .. } if under == lease => Some(first),
            Registration::Writing { lease: under, first, .. } if under == lease => first,
            _ => None,
        }
    }

    /// Returns when the last confirmed renewal was sent.
    pub(super) fn confirmed(&self) -> Option<Time> {
        self.lease.map(|lease| lease.confirmed)
    }

    /// Returns until when this process may take its member key for standing.
    ///
    /// It counts from before the renewal was sent, on this process's own clock:
    /// a process that was paused would otherwise count from when it woke, and
    /// give orders beside its successor.
    pub(super) fn holds_until(&self, cfg: &NodeConfig) -> Option<Time> {
        if !matches!(self.stage, Stage::Living | Stage::Leaving) {
            return None;
        }
        self.registered_at()?;
        let lease = self.lease?;
        Some(lease.confirmed.after(cfg.timings.hold.min(lease.ttl)))
    }

    /// Tells whether the member key stands for certain.
    pub(super) fn is_certain(&self, cfg: &NodeConfig, now: Time) -> bool {
        self.holds_until(cfg).is_some_and(|until| !until.is_due(now))
    }

    /// Begins to leave.
    pub(super) fn leave(&mut self) {
        if self.stage == Stage::Living {
            self.stage = Stage::Leaving;
        }
    }

    /// Ends the lease, and with it the member key.
    pub(super) fn revoke(&mut self, cx: &Cx<'_>) {
        if self.stage != Stage::Leaving {
            return;
        }
        // The key vanishes by itself when the lease lapses, so that a process that
        // is to end doesn't wait for a service that is away.
        self.stage = Stage::Revoking { give_up: cx.now.after(cx.cfg.timings.store_timeout * 2) };
        self.call = None;
        self.calls.succeeded();
    }

    /// Does what is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.is_gone() {
            return;
        }
        if let Stage::Revoking { give_up } = self.stage
            && (give_up.is_due(cx.now) || self.lease.is_none())
        {
            self.stage = Stage::Gone;
            return;
        }
        self.drop_lost_call(cx);
        self.call_when_due(cx);
        self.register_when_due(cx);
    }

    /// Takes the result of a call if it concerns the lease.
    pub(super) fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) {
        let Some(sent) = self.call.take_if(|own| own.call == call) else { return };
        match result {
            Ok(answer) => {
                self.reachable = true;
                self.calls.succeeded();
                self.on_answer(cx, sent, answer);
            }
            Err(_failure) => {
                self.reachable = false;
                self.calls.failed(cx);
            }
        }
    }

    /// Takes the outcome of a write of the member key.
    pub(super) fn on_write(&mut self, cx: &mut Cx<'_>, outcome: &WriteOutcome) {
        let Registration::Writing { lease, leaving, first } = self.registration else { return };
        let WriteOutcome::Done(written) = outcome else {
            self.registration = first.map_or(Registration::Absent, |first| Registration::Standing {
                lease,
                leaving: !leaving,
                first,
            });
            self.writes.failed(cx);
            return;
        };
        self.writes.succeeded();
        let first = first.unwrap_or(written.revision);
        self.registration = Registration::Standing { lease, leaving, first };
        if self.registered_at().is_some() && std::mem::take(&mut self.lost_before) {
            self.returned = Some(cx.now);
            cx.log_event("member_returned", cx.cfg.host.clone(), "registered again after its lease was lost");
        }
    }

    /// Takes note of a change of the member key of this host.
    pub(super) fn on_change(&mut self, cx: &mut Cx<'_>) {
        let Some(entry) = cx.cache.get(&own_key(cx)) else { return };
        let revision = entry.revision;
        match entry.record.as_ref() {
            Some(Record::Member(member)) if member.incarnation > cx.cfg.incarnation => {
                let later = member.incarnation;
                self.supersede(cx, &format!("incarnation {later} runs on this host"));
            }
            None if self.registered_at().is_some_and(|first| first < revision) => {
                self.lose(cx, "the member key vanished");
            }
            _ => {}
        }
    }

    /// Stops for good, since a later life of the process has taken its place.
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

    fn lose(&mut self, cx: &mut Cx<'_>, why: &str) {
        self.lease = None;
        self.call = None;
        // A write under the lost lease may still be in progress; its outcome must not
        // be taken for that of the next write, which would count the old key as new.
        if !matches!(self.registration, Registration::Writing { .. }) {
            self.registration = Registration::Absent;
        }
        self.lost_before = true;
        self.calls.succeeded();
        if !matches!(self.stage, Stage::Revoking { .. }) {
            cx.log_event("lease_lost", cx.cfg.host.clone(), why);
        }
    }

    fn drop_lost_call(&mut self, cx: &mut Cx<'_>) {
        if self.call.take_if(|call| call.lost_at.is_due(cx.now)).is_some() {
            self.reachable = false;
            self.calls.failed(cx);
        }
    }

    fn call_when_due(&mut self, cx: &mut Cx<'_>) {
        if self.call.is_some() || !self.calls.is_over(cx.now) {
            return;
        }
        let (purpose, request) = match (self.stage, self.lease) {
            (Stage::Revoking { .. }, Some(lease)) => (Purpose::Revoke, StoreCall::RevokeLease(lease.id)),
            (_, Some(lease)) => (Purpose::Renew, StoreCall::RenewLease(lease.id)),
            (_, None) => (Purpose::Grant, StoreCall::GrantLease { ttl: cx.cfg.timings.lease_ttl }),
        };
        let call = cx.next_call();
        let lost_at = cx.now.after(cx.cfg.timings.store_timeout * LOST_AFTER_TIMEOUTS);
        self.call = Some(LeaseCall { call, purpose, sent: cx.now, lost_at });
        cx.push(Effect::Store { call, request });
    }

    fn on_answer(&mut self, cx: &mut Cx<'_>, sent: LeaseCall, answer: &StoreAnswer) {
        match (sent.purpose, answer) {
            (Purpose::Revoke, _) => {
                self.lease = None;
                self.registration = Registration::Absent;
                self.stage = Stage::Gone;
            }
            (Purpose::Grant | Purpose::Renew, StoreAnswer::Lease { lease, ttl }) => {
                self.lease = Some(HeldLease { id: *lease, confirmed: sent.sent, ttl: *ttl });
                let every = cx.cfg.timings.renew_every;
                let next = sent.sent.after(every * 3 / 4 + cx.jitter(every / 4));
                self.calls.rest_until(next);
                self.register_when_due(cx);
            }
            (Purpose::Renew, _) => self.lose(cx, "the lease lapsed"),
            (Purpose::Grant, _) => self.calls.failed(cx),
        }
    }

    fn register_when_due(&mut self, cx: &mut Cx<'_>) {
        let Some(lease) = self.lease else { return };
        let leaving = self.is_leaving();
        let first = self.registered_at();
        let due = match self.registration {
            Registration::Writing { .. } => false,
            Registration::Standing { lease: under, leaving: told, .. } => {
                under != lease.id || told != leaving
            }
            Registration::Absent => true,
        };
        if !due || !self.writes.is_over(cx.now) || matches!(self.stage, Stage::Revoking { .. }) {
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
