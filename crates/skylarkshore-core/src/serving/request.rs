//! The state of one request, and the outcome to report when it ends.
//!
//! Open [`Request`] first.

use crate::collections::OrderedSet;
use crate::effect::{Refusal, RefusalOutcome};
use crate::event::{Arrival, Repeat};
use crate::evidence::SentTo;
use crate::id::{AttemptId, Digest, Incarnation, RequestId, UpstreamId};
use crate::rules::ServiceOrder;
use crate::serving::budget::Destination;
use crate::serving::version_pin::VersionPin;
use crate::store::RecordedAnswer;
use crate::time::Time;
use crate::upstream::StatedVersion;

/// A time at which a request is due for a check, as a timer or a deadline. Ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Due {
    pub(super) at: Time,
    pub(super) request: RequestId,
}

/// An attempt in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) attempt: AttemptId,
    pub(super) upstream: UpstreamId,
    /// The upstream's incarnation on the host list when the attempt was sent.
    pub(super) incarnation: Option<Incarnation>,
    /// The version of its software, as listed then.
    pub(super) software: StatedVersion,
    pub(super) isolation: Isolation,
    /// Whether it is the trial of suspects that are held back.
    pub(super) is_trial: bool,
    pub(super) sent: Time,
}

impl From<&Run> for SentTo {
    fn from(run: &Run) -> Self {
        Self { upstream: run.upstream.clone(), incarnation: run.incarnation, at: run.sent }
    }
}

/// Whether other requests may run on the upstream of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Isolation {
    /// Other requests may run at the same time.
    Shared,
    /// The request is a suspect, and nothing else runs there.
    Exclusive,
}

/// The stage that a request has reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for credit, which counts against the limits of its client account.
    AwaitingCredit {
        /// When the credit becomes available; `None` while it is being requested.
        not_before: Option<Time>,
    },
    /// Its idempotency key is being read before it is queued.
    LookingUp,
    /// Takes up a stream, and other hosts are asked for the version that began it.
    FindingOrigin,
    /// Waits for an upstream.
    Queued,
    /// Is a suspect and waits for an upstream on which it runs in isolation.
    QueuedForIsolation,
    /// Occupies a slot at the upstream while its idempotency key is being claimed.
    Claiming {
        /// The upstream to which it will be sent.
        upstream: UpstreamId,
        /// Whether other requests may run there.
        isolation: Isolation,
    },
    /// Was sent; no part of the answer has arrived.
    Sent(Run),
    /// A part of the answer has arrived.
    Answering(Run),
    /// Its upstream crashed, and the peers are being notified before it is retried or refused.
    NotifyingPeers,
    /// Its answer is being recorded under its idempotency key.
    RecordingAnswer {
        /// When the caller gets the answer even if it is not recorded.
        timeout_at: Time,
        answer: RecordedAnswer,
    },
    /// Nothing ran, and the claim of its idempotency key is being released before the caller is
    /// refused.
    ReleasingClaim {
        /// When the caller is refused even if the claim is not released.
        timeout_at: Time,
        refusal: Refusal,
    },
}

/// Whether earlier attempts may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunHistory {
    /// No attempt was sent, or the upstreams did nothing.
    NeverRan,
    /// An attempt was lost and may have run.
    MayHaveRun,
    /// An isolated attempt ran and crashed its upstream.
    Crashed,
    /// An earlier request with the same idempotency key may have run.
    MayHaveRunElsewhere,
}

/// Whether the caller still waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    /// The caller is connected.
    Waiting,
    /// The caller disconnected; the request continues only so that its answer is recorded.
    Gone,
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    /// The order of service, from the rules and the request's policy; lower ones come first.
    pub(super) order: ServiceOrder,
    pub(super) arrived: Time,
    pub(super) state: State,
    /// When it entered `state`.
    pub(super) since: Time,
    /// Attempts that ended without an answer, except [busy](crate::event::Rejection::Busy)
    /// ones.
    pub(super) failures: u32,
    /// Attempts that may have run.
    pub(super) runs: u32,
    /// Whether the failure answer of the last attempt is kept, to be forwarded if no retry is left.
    pub(super) holds_failure: bool,
    /// Upstreams on which an attempt has failed.
    pub(super) tried: OrderedSet<UpstreamId>,
    /// Whether earlier attempts may have run it.
    pub(super) history: RunHistory,
    /// Whether the caller has received a part of the answer.
    pub(super) passed_on: bool,
    /// The software versions that may serve it.
    pub(super) pin: VersionPin,
    pub(super) caller: Caller,
    /// Whether its client account's credit has been granted.
    pub(super) has_credit: bool,
    /// Whose budget a retry was taken from that hasn't been sent yet.
    pub(super) unsent_retry: Option<Destination>,
}

impl Request {
    /// Returns the latest time at which the request may leave the queue: `first_byte_deadline`, or
    /// `deadline` if it is earlier or a part of the answer was passed on. Timers are set for both.
    ///
    /// Callers of streams disconnect if no event arrives for a while, long before their
    /// deadline. A request that waited longer would be answered to nobody, and its caller
    /// would lose the time in which it could have asked another host.
    pub(super) fn queue_deadline(&self) -> Time {
        let deadline = self.arrival.deadline;
        if self.passed_on { deadline } else { deadline.min(self.arrival.policy.first_byte_deadline) }
    }

    /// Creates a request that has just arrived.
    pub(super) const fn new(arrival: Arrival, order: ServiceOrder, now: Time) -> Self {
        Self {
            arrival,
            order,
            arrived: now,
            state: State::Queued,
            since: now,
            failures: 0,
            runs: 0,
            holds_failure: false,
            tried: OrderedSet::new(),
            history: RunHistory::NeverRan,
            passed_on: false,
            pin: VersionPin::Any,
            caller: Caller::Waiting,
            has_credit: false,
            unsent_retry: None,
        }
    }

    /// Sets the state.
    pub(super) fn set_state(&mut self, state: State, now: Time) {
        self.state = state;
        self.since = now;
    }

    /// Returns the digest of the idempotency key if the request has one.
    pub(super) const fn idempotency_key(&self) -> Option<Digest> {
        match self.arrival.repeat {
            Repeat::Allowed | Repeat::AtMostOnce => None,
            Repeat::Once { key } => Some(key),
        }
    }

    /// Returns the attempt in progress.
    pub(super) const fn run(&self) -> Option<&Run> {
        match &self.state {
            State::Sent(run) | State::Answering(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the upstream at which the request occupies a slot.
    pub(super) const fn occupied_upstream(&self) -> Option<&UpstreamId> {
        match &self.state {
            State::Claiming { upstream, .. } => Some(upstream),
            State::Sent(run) | State::Answering(run) => Some(&run.upstream),
            _ => None,
        }
    }

    /// Reports whether the request was accepted and has not been sent.
    pub(super) const fn is_waiting(&self) -> bool {
        matches!(
            self.state,
            State::AwaitingCredit { .. }
                | State::LookingUp
                | State::FindingOrigin
                | State::Queued
                | State::QueuedForIsolation
        )
    }

    /// Reports whether no attempt is in progress and no answer is being recorded.
    pub(super) const fn has_no_run(&self) -> bool {
        self.run().is_none() && !matches!(self.state, State::RecordingAnswer { .. })
    }

    /// Returns the name of the client account, for the log.
    pub(super) fn account(&self) -> &str {
        self.arrival.charge.as_ref().map_or("none", |charge| charge.account.as_str())
    }

    /// Reports whether sending the request now can't cause a forbidden second run.
    pub(super) fn may_be_sent(&self) -> bool {
        self.run().is_none()
            && (self.history == RunHistory::NeverRan || self.arrival.repeat == Repeat::Allowed)
    }

    /// Reports whether the caller has, or may have, a part of the answer.
    pub(super) const fn is_partly_answered(&self) -> bool {
        let answering = matches!(self.state, State::Answering(_)) && self.idempotency_key().is_none();
        self.passed_on || answering
    }

    /// Reports whether another upstream can resume a partial answer.
    pub(super) const fn can_resume(&self) -> bool {
        self.arrival.policy.resumable
    }

    /// Pins a stream that has begun to the version of the upstream that began it.
    pub(super) fn pin_to(&mut self, run: &Run) {
        if self.pin == VersionPin::Any && self.can_resume() {
            self.pin = VersionPin::Only(run.software.clone());
        }
    }

    /// Returns the outcome to report if the request ends now without an answer.
    ///
    /// A caller that reads `not_run` retries, or reports to its own client that nothing was
    /// booked. If a request that may have run were reported so, it would be booked twice.
    /// Therefore this is the only place that derives the outcome.
    pub(super) const fn outcome(&self) -> RefusalOutcome {
        if self.run().is_some() {
            return RefusalOutcome::Unknown;
        }
        match self.history {
            RunHistory::NeverRan => RefusalOutcome::NotRun,
            RunHistory::MayHaveRun | RunHistory::MayHaveRunElsewhere => RefusalOutcome::Unknown,
            RunHistory::Crashed => RefusalOutcome::Failed,
        }
    }

    /// Describes the state for the state dump and the log.
    pub(super) fn describe(&self) -> String {
        match &self.state {
            State::AwaitingCredit { .. } => "waiting for its client account's credit".to_owned(),
            State::LookingUp => "looking its key up".to_owned(),
            State::FindingOrigin => "looking its stream up".to_owned(),
            State::Queued => "queued".to_owned(),
            State::QueuedForIsolation => "suspect, waiting for an upstream of its own".to_owned(),
            State::Claiming { upstream, .. } => format!("claiming its key, to be sent to {upstream}"),
            State::Sent(run) => format!("sent to {}, attempt {}", run.upstream, run.attempt),
            State::Answering(run) => format!("answering from {}, attempt {}", run.upstream, run.attempt),
            State::NotifyingPeers => "lost, peers are being told".to_owned(),
            State::RecordingAnswer { .. } => "answered, being recorded".to_owned(),
            State::ReleasingClaim { .. } => "not run, its claim is being given up".to_owned(),
        }
    }
}
