//! One request: where it stands, and what may be said of it when it ends.

use crate::collections::OrderedSet;
use crate::effect::{Refusal, RefusalOutcome};
use crate::event::{Arrival, Repeat};
use crate::id::{AttemptId, Digest, Incarnation, RequestId, UpstreamId};
use crate::rules::ServiceOrder;
use crate::store::RecordedAnswer;
use crate::time::Time;

/// A point in time at which a request has to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Due {
    /// When.
    pub(super) at: Time,
    /// Which request.
    pub(super) request: RequestId,
}

/// An attempt in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Run {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// Where it runs.
    pub(super) upstream: UpstreamId,
    /// The upstream's life when it was sent, as far as the host list told.
    pub(super) life: Option<Incarnation>,
    /// Who else may run there.
    pub(super) company: Company,
    /// When it was sent.
    pub(super) sent: Time,
}

/// Who else may be running on the upstream of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Company {
    /// Other requests may run beside it.
    Others,
    /// The request is a suspect, and nothing else runs there.
    Alone,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It waits for its client account's credit, which may be there only from a time on.
    AwaitingCredit {
        /// When the credit is there; none while it is asked for.
        not_before: Option<Time>,
    },
    /// Its idempotency key is being looked up before it is queued.
    LookingUp,
    /// It waits for an upstream.
    Queued,
    /// It is a suspect and waits for an upstream of its own.
    QueuedAlone,
    /// It holds a place at the upstream while its idempotency key is being claimed.
    Claiming {
        /// Where it will run.
        run: UpstreamId,
        /// Who else may run there.
        company: Company,
    },
    /// It was sent, and no part of an answer has come.
    Sent(Run),
    /// A part of the answer has come.
    Answering(Run),
    /// Its upstream died, and the peers are being told before anything else happens.
    TellingPeers,
    /// Its answer is being recorded under its idempotency key.
    Recording {
        /// When the caller gets the answer in any case.
        until: Time,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// Nothing ran, and its claim is being given up before the caller is told so.
    Releasing {
        /// When the caller is told in any case.
        until: Time,
        /// What the caller is told.
        refusal: Refusal,
    },
}

/// What earlier attempts may have left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Past {
    /// No attempt was made, or the upstreams did nothing.
    Clean,
    /// An attempt was lost, and may have run.
    Lost,
    /// An attempt ran alone, and its upstream died of it.
    Crashed,
    /// An earlier request under the same idempotency key may have run.
    Elsewhere,
}

/// Whether anyone waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    /// The caller waits.
    Waiting,
    /// The caller went away, and the request runs on only for its record.
    Gone,
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct Request {
    /// What was asked.
    pub(super) arrival: Arrival,
    /// The order of service that the rules gave it.
    pub(super) order: ServiceOrder,
    /// When it arrived.
    pub(super) arrived: Time,
    /// Where it stands.
    pub(super) state: State,
    /// Since when it stands there.
    pub(super) since: Time,
    /// How many attempts have ended without an answer, [busy](crate::event::Rejection::Busy) ones aside.
    pub(super) failures: u32,
    /// On how many upstreams it may have run.
    pub(super) runs: u32,
    /// Whether its last attempt's answer says that the upstream failed, and is kept.
    pub(super) kept_failure: bool,
    /// Where it was tried in vain.
    pub(super) tried: OrderedSet<UpstreamId>,
    /// What earlier attempts may have left behind.
    pub(super) past: Past,
    /// Whether the caller has a part of the answer.
    pub(super) passed_on: bool,
    /// Whether anyone waits.
    pub(super) caller: Caller,
    /// Whether its client account's credit was lent for it.
    pub(super) has_credit: bool,
}

impl Request {
    /// Returns until when it may wait for an upstream.
    ///
    /// Callers of streams go away when no event comes for a while, long before
    /// their deadline. A request that waited on would be answered to nobody, and
    /// its caller would have lost the time that it could have asked elsewhere in.
    pub(super) fn waits_until(&self) -> Time {
        let deadline = self.arrival.deadline;
        if self.passed_on { deadline } else { deadline.min(self.arrival.policy.first_byte_deadline) }
    }

    /// Makes a request that has just arrived.
    pub(super) const fn new(arrival: Arrival, order: ServiceOrder, now: Time) -> Self {
        Self {
            arrival,
            order,
            arrived: now,
            state: State::Queued,
            since: now,
            failures: 0,
            runs: 0,
            kept_failure: false,
            tried: OrderedSet::new(),
            past: Past::Clean,
            passed_on: false,
            caller: Caller::Waiting,
            has_credit: false,
        }
    }

    /// Moves it on.
    pub(super) fn enter(&mut self, state: State, now: Time) {
        self.state = state;
        self.since = now;
    }

    /// Returns the digest of its idempotency key, if it may not be repeated.
    pub(super) const fn once_key(&self) -> Option<Digest> {
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

    /// Returns the upstream at which it takes up a place.
    pub(super) const fn place(&self) -> Option<&UpstreamId> {
        match &self.state {
            State::Claiming { run: upstream, .. } => Some(upstream),
            State::Sent(run) | State::Answering(run) => Some(&run.upstream),
            _ => None,
        }
    }

    /// Tells whether it was let in and hasn't been sent.
    pub(super) const fn is_waiting(&self) -> bool {
        matches!(
            self.state,
            State::AwaitingCredit { .. } | State::LookingUp | State::Queued | State::QueuedAlone
        )
    }

    /// Tells whether no attempt at it is in progress or has brought its answer.
    pub(super) const fn has_not_begun(&self) -> bool {
        self.run().is_none() && !matches!(self.state, State::Recording { .. })
    }

    /// Returns the name of its client account, for the log.
    pub(super) fn account(&self) -> &str {
        self.arrival.charge.as_ref().map_or("none", |charge| charge.account.as_str())
    }

    /// Tells whether it may be sent now without the risk of a forbidden second run.
    pub(super) fn may_be_sent(&self) -> bool {
        self.run().is_none() && (self.past == Past::Clean || self.arrival.repeat == Repeat::Allowed)
    }

    /// Tells whether the caller has a part of the answer, or may have one.
    pub(super) const fn is_partly_answered(&self) -> bool {
        let answering = matches!(self.state, State::Answering(_)) && self.once_key().is_none();
        self.passed_on || answering
    }

    /// Tells whether a part that the caller has can be continued by another upstream.
    pub(super) const fn can_resume(&self) -> bool {
        self.arrival.policy.resumable
    }

    /// Returns what is true of the request if it ends now without an answer.
    ///
    /// A caller that reads `not_run` asks again, or tells its own client that
    /// nothing was booked. Were it said of a request that an upstream may have
    /// run, the booking would be made twice. So nothing else decides on it.
    pub(super) const fn outcome(&self) -> RefusalOutcome {
        if self.run().is_some() {
            return RefusalOutcome::Unknown;
        }
        match self.past {
            Past::Clean => RefusalOutcome::NotRun,
            Past::Lost | Past::Elsewhere => RefusalOutcome::Unknown,
            Past::Crashed => RefusalOutcome::Failed,
        }
    }

    /// Names the state for the state dump.
    pub(super) fn describe(&self) -> String {
        match &self.state {
            State::AwaitingCredit { .. } => "waiting for its client account's credit".to_owned(),
            State::LookingUp => "looking its key up".to_owned(),
            State::Queued => "queued".to_owned(),
            State::QueuedAlone => "suspect, waiting for an upstream of its own".to_owned(),
            State::Claiming { run, .. } => format!("claiming its key, to be sent to {run}"),
            State::Sent(run) => format!("sent to {}, attempt {}", run.upstream, run.attempt),
            State::Answering(run) => format!("answering from {}, attempt {}", run.upstream, run.attempt),
            State::TellingPeers => "lost, peers are being told".to_owned(),
            State::Recording { .. } => "answered, being recorded".to_owned(),
            State::Releasing { .. } => "not run, its claim is being given up".to_owned(),
        }
    }
}
