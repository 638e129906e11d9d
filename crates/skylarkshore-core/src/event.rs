//! What happens to a process.

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

/// What a request is for.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model or an adapter.
    Model(ModelTarget),
    /// A plain service.
    Service(ServiceName),
}

/// Whether a request may run a second time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may be sent again when its outcome is unknown.
    Allowed,
    /// It runs at most once under this key.
    Once {
        /// The digest of the idempotency key, the caller and the service.
        key: Digest,
    },
    /// It runs at most once for this arrival; its caller asks again under a new name.
    AtMostOnce,
}

/// What the operators want of requests of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// On how many upstreams it may run at most.
    pub max_runs: u32,
    /// Until when an answer has its full value.
    pub soft_deadline: Time,
    /// Until when an answer has to begin; its caller waits no longer.
    pub first_byte_deadline: Time,
    /// How much earlier (below zero) or later it is served than the rules say.
    pub order_offset: i16,
    /// Whether another upstream may go on with a stream that broke off.
    pub resumable: bool,
}

impl RequestPolicy {
    /// The terms of a request of which nothing special is wanted.
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

/// A checked request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Who asks.
    pub caller: CallerId,
    /// What it is for.
    pub target: Target,
    /// Whether it may run a second time.
    pub repeat: Repeat,
    /// The digest of method, path and body.
    pub digest: Digest,
    /// The digest of the prompt's beginning, which engines cache; for routing.
    pub prefix: Option<Digest>,
    /// By when it has to be answered.
    pub deadline: Time,
    /// What is wanted of its kind.
    pub policy: RequestPolicy,
    /// Its client account, where callers have one.
    pub charge: Option<Charge>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came, and was passed on unless it is kept here.
    Completed {
        /// The answer, where it is held back to be recorded first.
        held: Option<RecordedAnswer>,
    },
    /// The whole answer came but is larger than what may be held; it was passed on.
    CompletedTooLarge,
    /// The whole answer came, says that the upstream failed, and is kept to be
    /// passed on unless another upstream is asked.
    CompletedWithFailure,
    /// Nothing of the request reached the upstream.
    NotSent,
    /// The upstream said that it did nothing.
    Rejected(Rejection),
    /// The connection broke, the answer was cut short or the time ran out.
    Lost {
        /// Whether a part of the answer was passed on to the caller.
        passed_on: bool,
        /// Whether the upstream seems to have died, and not just to be slow.
        died: bool,
    },
}

impl AttemptOutcome {
    /// Returns a short fixed word for it, for logs and counters.
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

/// Why an upstream did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The model or adapter isn't loaded there.
    NotLoaded,
    /// It has too much to do.
    Busy,
    /// It is about to go.
    Leaving,
    /// Another upstream, or another life of it, has its address now.
    Replaced,
}

/// How much an upstream had to do when it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited inside it.
    pub waiting: u32,
    /// How many it runs at a time.
    pub concurrency: u32,
}

/// Something that happens to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; comes about twenty times a second.
    Tick {
        /// The time of day, for the rules.
        at: MinuteOfDay,
    },
    /// The settings were read again.
    Settings(Box<Settings>),
    /// The process is asked to end.
    Shutdown,
    /// The host list was read.
    HostList(Vec<Upstream>),
    /// Some upstreams of the host list have changed.
    Upstreams(UpstreamChanges),
    /// A call to the key-value service ended.
    Store {
        /// The call.
        call: CallId,
        /// What became of it.
        result: StoreResult,
    },
    /// A process has connected whose certificate no known member has published.
    UnknownPeer,
    /// A peer has told all that the key-value service holds.
    State {
        /// The revision up to which nothing is missing.
        upto: StoreRevision,
        /// Every shared key that has a value.
        records: Vec<Versioned>,
    },
    /// News from peers doesn't go on where the last one ended.
    NewsMissed {
        /// Whether that has been so for a while; messages may overtake each other.
        lasts: bool,
    },
    /// The watch has seen changes.
    Watched {
        /// The changes.
        changes: Vec<Versioned>,
        /// The revision up to which nothing is missing.
        upto: StoreRevision,
    },
    /// The watch has told something that other processes may want to know.
    NewsRead(News),
    /// The watch had no answer in time, and is asked again from where it stood.
    WatchTimedOut,
    /// The watch broke and may have missed changes.
    WatchBroken,
    /// A message from a peer, whose identity was checked.
    Peer {
        /// The sender.
        from: HostId,
        /// What it tells.
        message: PeerMessage,
    },
    /// Nothing accepts connections any more where a live host had this life of a process.
    PeerConnectionRefused {
        /// The host.
        host: HostId,
        /// The life of the process that has ended.
        incarnation: Incarnation,
    },
    /// An order ended.
    Order {
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        order: OrderId,
        /// How it ended.
        answer: OrderAnswer,
    },
    /// An engine was asked how it stands.
    Report {
        /// The engine.
        upstream: UpstreamId,
        /// When it was asked, so that older orders are known to be older.
        asked: Time,
        /// Its answer, or none when it can't be reached.
        report: Option<EngineReport>,
    },
    /// A caller's request.
    Arrived {
        /// The request.
        request: RequestId,
        /// What is asked.
        arrival: Arrival,
    },
    /// The caller went away.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// An upstream's answer told how much it has to do.
    LoadReported {
        /// The upstream.
        upstream: UpstreamId,
        /// What it told.
        load: ReportedLoad,
    },
    /// The first part of an answer came.
    AnswerStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptOutcome,
    },
}
