//! Inputs to the state machine. [`Event`] is the type to start with; [`Arrival`] describes a request.

use derive_more::Display;

use crate::accounts::Charge;
use crate::catalogue::ModelTarget;
use crate::config::Settings;
use crate::id::{
    AttemptId, CallId, CallerId, Digest, HostId, Incarnation, OrderId, RequestId, ServiceName, StoreEra,
    StoreRevision, StreamId, UpstreamId,
};
use crate::notice::UpstreamNotice;
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

/// Whether and how a request may be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be retried, also when the outcome of an attempt is unknown.
    Allowed,
    /// Runs at most once per idempotency key, however often it arrives with that key.
    Once {
        /// Digest of the idempotency key, the caller and the service.
        key: Digest,
    },
    /// Has no idempotency key: runs at most once per arrival, and a retry by the caller is a new request.
    AtMostOnce,
}

/// Limits of one request, derived from what the operators set for its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Maximum number of attempts that may have run the request; attempts that the upstream rejected don't
    /// count.
    pub max_runs: u32,
    /// Soft deadline: a later answer has reduced value.
    pub soft_deadline: Time,
    /// Deadline for the first byte of the answer, after which the caller gives up.
    ///
    /// A request that is still queued then is refused; an attempt in progress continues.
    pub first_byte_deadline: Time,
    /// Offset added to the [`ServiceOrder`](crate::rules::ServiceOrder) from the rules; lower orders are served
    /// first.
    pub order_offset: i16,
    /// Whether another upstream may resume an interrupted stream.
    pub resumable: bool,
}

impl RequestPolicy {
    /// Returns a policy with no limit but the deadline of the complete answer.
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

/// The part of a stream that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// The whole stream, which callers name by this id if they take it up later.
    Whole(StreamId),
    /// What follows the events that the caller has from earlier requests.
    Rest {
        /// The stream, if the caller names it.
        stream: Option<StreamId>,
    },
}

/// Maximum number of prompt parts that a line of the log names.
const MAX_PART_LABELS: usize = 8;

/// A validated request from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The caller.
    pub caller: CallerId,
    /// Destination of the request.
    pub target: Target,
    /// Whether and how it may be retried.
    pub repeat: Repeat,
    /// Digest of method, path and body, and of the prompt's shared parts if it names them.
    pub digest: Digest,
    /// Digests of the prompt's parts that other requests may share.
    pub parts: Vec<Digest>,
    /// Digest of the prompt prefix, which engines cache; used for prefix-affinity routing.
    pub prefix: Option<Digest>,
    /// Deadline for the complete answer.
    pub deadline: Time,
    /// Its limits.
    pub policy: RequestPolicy,
    /// Client account and cost to charge, if client accounts are in use.
    pub charge: Option<Charge>,
    /// The part of a stream that it asks for, if its answer is a stream that may be resumed.
    pub stream: Option<StreamPart>,
}

impl Arrival {
    /// Returns the first digits of the digests of its prompt parts, for the log.
    pub(crate) fn part_labels(&self) -> String {
        let labels = self.parts.iter().take(MAX_PART_LABELS).map(Digest::short);
        labels.collect::<Vec<_>>().join(",")
    }
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received, and forwarded unless it is in `held`.
    Completed {
        /// The answer, if it has to be recorded before it is forwarded.
        held: Option<RecordedAnswer>,
    },
    /// An answer that has neither a length nor chunks was forwarded to the end of its connection.
    ///
    /// It is complete, or its upstream has crashed.
    CompletedUnframed,
    /// A complete answer that reports a failure of the upstream was forwarded.
    ForwardedFailure,
    /// The complete answer was too large to be recorded first and was forwarded directly.
    CompletedTooLarge,
    /// The complete answer reports a failure of the upstream.
    ///
    /// The runtime buffers it; [`Effect::ForwardHeldAnswer`](crate::Effect::ForwardHeldAnswer) forwards it if
    /// no other upstream is tried.
    CompletedWithFailure,
    /// No part of the request reached the upstream.
    NotSent,
    /// The peer that should relay the attempt doesn't; no part of the request was sent.
    NoPath,
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
            Self::CompletedUnframed => "whole_unframed",
            Self::ForwardedFailure => "whole_failure",
            Self::CompletedTooLarge => "whole_too_large",
            Self::CompletedWithFailure => "failed",
            Self::NotSent => "not_sent",
            Self::NoPath => "no_path",
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
///
/// Changes at the key-value service come in two forms. [`Event::Watched`]
/// carries decoded changes, which the state machine applies to its cache.
/// [`News`] carries changes in the platform adapter's encoding. The state machine
/// relays it to other processes, and has the adapter decode the news of others,
/// whose changes then arrive in `Watched`.
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
    /// The complete host list was read, which names the upstreams (engines and service replicas).
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
    /// A process connected with a certificate that isn't in any cached member record; the cache may
    /// be out of date.
    UnknownPeer {
        /// The host that it claims to be.
        host: HostId,
    },
    /// A peer sent the full state of the key-value service; the answer to
    /// [`Effect::ApplyStatePart`](crate::Effect::ApplyStatePart) for the last missing part.
    State {
        /// Revision up to which no change is missing.
        upto: StoreRevision,
        /// Every shared key that has a value.
        records: Vec<Versioned>,
    },
    /// The [`News`] relayed by peers has a gap, or this process's own reads time out.
    NewsMissed {
        /// Whether this has persisted for a while; reordered messages cause short gaps.
        lasts: bool,
    },
    /// The watch on the key-value service delivered changes, which it read itself or decoded from a
    /// peer's [`News`].
    Watched {
        /// The changes.
        changes: Vec<Versioned>,
        /// Revision up to which no change is missing.
        upto: StoreRevision,
    },
    /// The watch of this process read changes itself, which are to be relayed to other processes.
    ///
    /// `Watched` delivers the same changes to this process.
    NewsRead(News),
    /// The changes that a complete state of the key-value service brought, since the revision known
    /// before; they are to be relayed to other processes, which would lack them otherwise.
    ///
    /// `State` or the result of the read delivers the same changes to this process.
    NewsSkipped(News),
    /// The key-value service names its era in an answer; a new one means that it came back from an older copy.
    StoreEra(StoreEra),
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
    /// An [`Effect::Probe`](crate::Effect::Probe) proved that an incarnation of a process has ended, by a
    /// refused connection or by an answer from a later incarnation.
    PeerConnectionRefused {
        /// The host.
        host: HostId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// An order to an engine, such as to load a model, was answered, or its answer was lost.
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
    /// An [`Effect::ProbeUpstream`](crate::Effect::ProbeUpstream) ended.
    UpstreamProbed {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether the connection was opened.
        reached: bool,
    },
    /// An upstream said something of itself in an answer.
    UpstreamNoticed {
        /// The upstream.
        upstream: UpstreamId,
        /// The incarnation that was listed when the request was sent.
        incarnation: Incarnation,
        /// The peer that relayed the request.
        via: Option<HostId>,
        /// What it said.
        notice: UpstreamNotice,
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
