//! Inputs to the state machine. [`Event`] is the type to start with; [`Arrival`] describes a request.

use derive_more::Display;

use crate::accounts::Charge;
use crate::catalogue::ModelTarget;
use crate::config::Settings;
use crate::id::{
    AttemptId, CallId, CallerId, Digest, HostId, Incarnation, OrderId, RequestId, ServiceName, StoreRevision,
    UpstreamId,
};
use crate::peer::{News, PeerMessage};
use crate::rules::MinuteOfDay;
use crate::store::{RecordedAnswer, StoreResult, Versioned};
use crate::time::Time;
use crate::upstream::{EngineReport, OrderAnswer, Upstream, UpstreamChanges};

/// Destination of a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model or an adapter on it.
    Model(ModelTarget),
    /// A plain service.
    Service(ServiceName),
}

/// How often a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be retried when the outcome of an attempt is unknown.
    Allowed,
    /// Runs at most once per idempotency key.
    Once {
        /// Digest of the idempotency key, the caller and the service.
        key: Digest,
    },
    /// Runs at most once per arrival; a retry by the caller is a new request.
    AtMostOnce,
}

/// Limits that the operators set for a class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Maximum number of upstreams on which the request may run.
    pub max_runs: u32,
    /// Soft deadline: a later answer has reduced value.
    pub soft_deadline: Time,
    /// Deadline for the first byte of the answer, after which the caller gives up.
    pub first_byte_deadline: Time,
    /// Offset added to the order of service from the rules; negative values are served earlier.
    pub order_offset: i16,
    /// Whether another upstream may resume an interrupted stream.
    pub resumable: bool,
}

impl RequestPolicy {
    /// Returns the default limits.
    pub const fn plain(deadline: Time, resumable: bool) -> Self {
        Self {
            max_runs: u32::MAX,
            soft_deadline: deadline,
            first_byte_deadline: Time::NEVER,
            order_offset: 0,
            resumable,
        }
    }
}

/// A validated request from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The caller.
    pub caller: CallerId,
    /// Destination of the request.
    pub target: Target,
    /// How often it may run.
    pub repeat: Repeat,
    /// Digest of method, path and body.
    pub digest: Digest,
    /// Digest of the prompt prefix, which engines cache; used for prefix-affinity routing.
    pub prefix: Option<Digest>,
    /// Deadline for the complete answer.
    pub deadline: Time,
    /// Limits of its class.
    pub policy: RequestPolicy,
    /// Client account and cost to charge, if client accounts are in use.
    pub charge: Option<Charge>,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received, and forwarded unless it is held here.
    Completed {
        /// The answer, if it is held back until it is recorded.
        held: Option<RecordedAnswer>,
    },
    /// The complete answer exceeds the size that may be held and was forwarded directly.
    CompletedTooLarge,
    /// The complete answer reports a failure of the upstream and is kept, to be
    /// forwarded if no other upstream is tried.
    CompletedWithFailure,
    /// No part of the request reached the upstream.
    NotSent,
    /// The upstream rejected the request without running it.
    Rejected(Rejection),
    /// The connection broke, the answer was truncated or the deadline passed.
    Lost {
        /// Whether part of the answer was forwarded to the caller.
        passed_on: bool,
        /// Whether the upstream appears to have crashed rather than to be slow.
        died: bool,
    },
}

impl AttemptOutcome {
    /// Returns the fixed label of the outcome in logs and counters.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Completed { .. } => "whole",
            Self::CompletedTooLarge => "whole_too_large",
            Self::CompletedWithFailure => "failed",
            Self::NotSent => "not_sent",
            Self::Rejected(Rejection::NotLoaded) => "rejected_not_loaded",
            Self::Rejected(Rejection::Busy) => "rejected_busy",
            Self::Rejected(Rejection::Leaving) => "rejected_leaving",
            Self::Rejected(Rejection::Replaced) => "rejected_replaced",
            Self::Lost { died: true, .. } => "upstream_died",
            Self::Lost { died: false, .. } => "lost",
        }
    }
}

/// Why an upstream rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The model or adapter isn't loaded there.
    NotLoaded,
    /// The upstream is overloaded.
    Busy,
    /// The upstream is shutting down.
    Leaving,
    /// Another upstream, or another incarnation of this one, now uses the address.
    Replaced,
}

/// Load that an upstream reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Requests queued inside the upstream.
    pub waiting: u32,
    /// Maximum number of requests it runs concurrently.
    pub concurrency: u32,
}

/// An input to the state machine of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Timer tick, about twenty times a second.
    Tick {
        /// Time of day, which rules may depend on.
        at: MinuteOfDay,
    },
    /// The settings were reloaded.
    Settings(Box<Settings>),
    /// Shutdown was requested.
    Shutdown,
    /// The complete host list was read.
    HostList(Vec<Upstream>),
    /// Some entries of the host list changed.
    Upstreams(UpstreamChanges),
    /// A call to the key-value service ended.
    Store {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// A process connected with a certificate that no known member has published.
    UnknownPeer,
    /// A peer sent the full state of the key-value service.
    State {
        /// Revision up to which the state is complete.
        upto: StoreRevision,
        /// Every shared key that has a value.
        records: Vec<Versioned>,
    },
    /// Changes relayed by peers have a gap.
    NewsMissed {
        /// Whether the gap persists; reordered messages cause short gaps.
        lasts: bool,
    },
    /// The watch delivered changes.
    Watched {
        /// The changes.
        changes: Vec<Versioned>,
        /// Revision up to which the state is complete.
        upto: StoreRevision,
    },
    /// The watch read changes to relay to other processes.
    NewsRead(News),
    /// The watch call timed out and is repeated from the same revision.
    WatchTimedOut,
    /// The watch ended and may have missed changes.
    WatchBroken,
    /// A message from an authenticated peer.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// A running host refuses connections to the address of this incarnation of its process, which has
    /// therefore ended.
    PeerConnectionRefused {
        /// The host.
        host: HostId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// An order to an engine was answered or lost.
    Order {
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        order: OrderId,
        /// Its outcome.
        answer: OrderAnswer,
    },
    /// A status request to an engine completed.
    Report {
        /// The engine.
        upstream: UpstreamId,
        /// When the report was requested, to tell which orders precede it.
        asked: Time,
        /// The report, or `None` if the engine is unreachable.
        report: Option<EngineReport>,
    },
    /// A request arrived.
    Arrived {
        /// The request.
        request: RequestId,
        /// Its contents.
        arrival: Arrival,
    },
    /// The caller closed its connection.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// An upstream reported its load with an answer.
    LoadReported {
        /// The upstream.
        upstream: UpstreamId,
        /// The reported load.
        load: ReportedLoad,
    },
    /// The first part of an answer was received.
    AnswerStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        end: AttemptOutcome,
    },
}
