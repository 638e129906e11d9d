//! Outputs of the state machine, which the runtime executes. [`Effect`] is the type to start with.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::id::{
    AttemptId, CallId, Fence, HostId, Incarnation, OrderId, RequestId, StoreRevision, UpstreamId,
};
use crate::peer::{Envelope, News, StatePart};
use crate::rules::ServiceOrder;
use crate::store::{RecordedAnswer, StoreCall, Versioned};
use crate::time::Time;
use crate::upstream::Order;

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// It was not run and won't be.
    #[display("not_run")]
    NotRun,
    /// It may have been run.
    #[display("unknown")]
    Unknown,
    /// It was run and failed.
    #[display("failed")]
    Failed,
}

/// Why a request is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// A rule refuses it; carries the operators' message.
    #[display("a rule refuses it: {_0}")]
    Rule(String),
    /// The model can't be loaded before the caller's deadline.
    #[display("the model can't be loaded within the time-out; allow more time or ask again later")]
    ColdStartTooLong,
    /// Memory, power or load slots are short, and other requests take precedence.
    #[display("the site is short of {_0}; ask again later")]
    Short(&'static str),
    /// The queue is full.
    #[display("too many requests wait; ask again later")]
    QueueFull,
    /// The deadline passed while it was queued.
    #[display("the time-out passed while the request waited; allow more time or ask again later")]
    DeadlinePassed,
    /// The deadline passed while it was running.
    #[display("the time-out passed while the request ran")]
    DeadlinePassedRunning,
    /// No upstream is available.
    #[display("no upstream can take it now; ask again later")]
    NoUpstream,
    /// All upstreams that could serve it have asked for rest beyond its deadline.
    #[display("the upstreams have asked for rest; ask again later")]
    UpstreamsAtRest,
    /// The upstream crashed or its answer was truncated.
    #[display("the upstream was lost while it ran the request")]
    UpstreamLost,
    /// The key-value service is unreachable, so at-most-once execution can't be guaranteed.
    #[display(
        "the key-value service can't be reached, so that a single run can't be assured; ask again later"
    )]
    StoreUnreachable,
    /// The idempotency key was used with another request.
    #[display("the idempotency key was used for another request; choose a new key")]
    KeyConflict,
    /// A request with the same idempotency key was begun and its outcome is unknown.
    #[display("a request with this idempotency key was begun before, and its outcome isn't known here")]
    KeyInDoubt,
    /// A live process is running a request with the same idempotency key.
    #[display("a request with this idempotency key is in progress; ask again for its answer")]
    KeyInProgress,
    /// It ran, but its answer was too large to record.
    #[display("the request was run, but its answer wasn't kept")]
    AnswerNotKept,
    /// The caller closed its connection, or the side of it on which it sends.
    #[display("the caller closed its connection")]
    CallerGone,
    /// It has crashed upstreams before.
    #[display("this request has crashed the upstreams that ran it; do not send it again")]
    CrashesUpstreams,
    /// It was lost with upstreams that may have crashed.
    #[display("upstreams were lost while they ran this request, and may have crashed; ask again later")]
    MayCrashUpstreams,
    /// It takes up a stream of which it isn't known which software version began it.
    #[display("it isn't known which version began this stream; begin it anew")]
    StreamUnknown,
    /// No upstream of the software version that began the stream is left.
    #[display("no upstream of the version that began this stream is left; begin it anew")]
    VersionGone,
    /// The process is shutting down.
    #[display("this host is about to go; use another one")]
    Leaving,
    /// Another process acts, or may act, under this host's name.
    #[display("another process serves under this host's name; use another host")]
    Standby,
    /// The client account has reached its limit.
    #[display("the client account is over its limit; ask again later")]
    OverLimit,
    /// The request costs more than the client account's limit ever allows.
    #[display("the request is larger than the client account's limit ever allows; make it smaller")]
    BeyondLimit,
    /// The API key was revoked while the request was queued.
    #[display("the key isn't valid any more; use another one")]
    KeyWithdrawn,
    /// The API key was assigned to another client account while the request was queued.
    #[display("the key was given to another client account; ask again")]
    AccountChanged,
}

/// A final refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request was run.
    pub outcome: RefusalOutcome,
    /// The reason.
    pub reason: RefusalReason,
    /// Delay before a retry can succeed, if one can.
    pub retry_after: Option<Duration>,
}

/// An action for the runtime to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the key-value service; answered by [`Event::Store`](crate::Event::Store).
    Store {
        /// Identifies the result.
        call: CallId,
        /// The operation.
        request: StoreCall,
    },
    /// Start watching the shared keys; changes arrive in [`Event::Watched`](crate::Event::Watched).
    Watch {
        /// First revision to deliver.
        from: StoreRevision,
    },
    /// Stop watching.
    Unwatch,
    /// Decode changes that a peer read and relayed, which only the platform adapter can do.
    ///
    /// The changes arrive in [`Event::Watched`](crate::Event::Watched); if earlier ones are missing,
    /// [`Event::NewsMissed`](crate::Event::NewsMissed) reports it.
    ApplyNews(News),
    /// Poll for changes at the short interval of a relay root (`true`) or for this process alone (`false`).
    ReadNewsForOthers(bool),
    /// Send the full state of the key-value service to peers.
    SendState {
        /// The receivers.
        to: Vec<HostId>,
        /// Identifies the parts that belong together.
        series: u64,
        /// Revision up to which the state is complete.
        upto: StoreRevision,
        /// How long ago it was known to be complete.
        age: Option<Duration>,
        /// The shared keys; the platform adapter adds its own keys.
        records: Vec<Versioned>,
    },
    /// Decode a part of the full state that a peer sent; the last missing part is answered by
    /// [`Event::State`](crate::Event::State).
    ApplyStatePart(StatePart),
    /// Keep waiting for the full state from a peer.
    ExtendStateWait,
    /// Read the changes that are missing from the relayed ones from the key-value service.
    ReadMissedNews,
    /// Send a message to a peer.
    Peer(Envelope),
    /// Check whether an incarnation of a process has certainly ended.
    ///
    /// This is proved by a refused connection to its address or by an answer from
    /// a later incarnation there; a time-out proves nothing. If proved, answered by
    /// [`Event::PeerConnectionRefused`](crate::Event::PeerConnectionRefused).
    Probe {
        /// The host.
        host: HostId,
        /// The incarnation to check.
        incarnation: Incarnation,
        /// Its address for callers.
        address: SocketAddr,
    },
    /// Send an order to an engine, such as to load a model; answered by [`Event::Order`](crate::Event::Order).
    Order {
        /// The engine.
        upstream: UpstreamId,
        /// Identifies the answer.
        order: OrderId,
        /// The owner's fencing token.
        fence: Fence,
        /// Time after which the order must not be sent; checked right before sending.
        not_after: Time,
        /// Number of orders the engine must have accepted before, if it numbers them.
        after: Option<u64>,
        /// The order.
        action: Order,
    },
    /// Request a status report from an engine; answered by [`Event::Report`](crate::Event::Report).
    RequestReport {
        /// The engine.
        upstream: UpstreamId,
        /// The peer that relays the request while this host has lost its own links to the upstreams.
        via: Option<HostId>,
    },
    /// Check whether a new connection to an upstream can be opened; answered by
    /// [`Event::UpstreamProbed`](crate::Event::UpstreamProbed).
    ProbeUpstream {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Send a request to an upstream and forward its answer; answered by
    /// [`Event::AttemptEnded`](crate::Event::AttemptEnded).
    Send {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// Deadline for the complete answer.
        deadline: Time,
        /// Order of service, for engines that support priorities.
        order: ServiceOrder,
        /// Whether to resume the interrupted stream of an earlier attempt.
        resume: bool,
        /// Whether to return the answer in the event instead of forwarding it, so that it is recorded first.
        hold: bool,
        /// Whether the request may run at most once.
        once: bool,
        /// Whether to buffer an answer that reports a failure of the upstream instead of forwarding it,
        /// because another upstream may be tried.
        keep_failure: bool,
        /// Whether to withhold the first event until [`Effect::ForwardAnswer`].
        withhold: bool,
        /// The peer that relays the attempt while this host has lost its own links to the upstreams.
        via: Option<HostId>,
    },
    /// Forward the first event of an attempt's answer, which was withheld until another host knew of it.
    ForwardAnswer {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Forward the buffered failure answer of a request's last attempt.
    ForwardHeldAnswer {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt, including its work at the upstream.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a recorded answer to the caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Refusal to send to the caller.
        refusal: Refusal,
    },
    /// Abort an answer that was partly forwarded and can't be completed.
    Abort {
        /// The request.
        request: RequestId,
        /// Refusal to send to the caller, if the protocol still allows it.
        refusal: Refusal,
    },
    /// Log and count an event for the operators.
    LogEvent(LogEvent),
    /// Log a decision on a request.
    Decision(Decision),
    /// Stop accepting connections and requests; requests in progress continue.
    CloseIntake,
    /// Exit the process; all work is finished.
    Exit,
}

/// A decision on a request, written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Event name in the log, such as `request_sent`.
    pub event: &'static str,
    /// Inputs to the decision, with ages in milliseconds.
    pub detail: String,
}

/// An event for the operators, written to the log and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Event name in the log and the counter, such as `engine_taken_over`.
    pub event: &'static str,
    /// Subject of the event, such as the name of an engine or model.
    pub subject: String,
    /// Short detail text.
    pub detail: String,
}
