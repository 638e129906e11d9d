//! What a process's surroundings have to do for it.

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

/// What a refusal says about whether the request was run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// It was not run, and won't be.
    #[display("not_run")]
    NotRun,
    /// It may have been run.
    #[display("unknown")]
    Unknown,
    /// It was run, and failed.
    #[display("failed")]
    Failed,
}

/// Why a request is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// A rule refuses it, in the operators' words.
    #[display("a rule refuses it: {_0}")]
    Rule(String),
    /// The model can't be made available within the time that the caller gives.
    #[display("the model can't be loaded within the time-out; allow more time or ask again later")]
    ColdStartTooLong,
    /// Memory, power or loads are short, and others go first.
    #[display("the site is short of {_0}; ask again later")]
    Short(&'static str),
    /// The queue is full.
    #[display("too many requests wait; ask again later")]
    QueueFull,
    /// The time ran out while it waited.
    #[display("the time-out passed while the request waited; allow more time or ask again later")]
    DeadlinePassed,
    /// The time ran out while it ran.
    #[display("the time-out passed while the request ran")]
    DeadlinePassedRunning,
    /// No upstream can take it.
    #[display("no upstream can take it now; ask again later")]
    NoUpstream,
    /// The upstream died or its answer was cut short.
    #[display("the upstream was lost while it ran the request")]
    UpstreamLost,
    /// The key-value service can't be reached, so that a single run can't be assured.
    #[display(
        "the key-value service can't be reached, so that a single run can't be assured; ask again later"
    )]
    StoreUnreachable,
    /// The same key is in use with another request.
    #[display("the idempotency key was used for another request; choose a new key")]
    KeyConflict,
    /// The same key is in progress or its outcome isn't known.
    #[display("a request with this idempotency key was begun before, and its outcome isn't known here")]
    KeyInDoubt,
    /// The same key is being run by a live process.
    #[display("a request with this idempotency key is in progress; ask again for its answer")]
    KeyInProgress,
    /// It ran, but the answer was too large to be kept.
    #[display("the request was run, but its answer wasn't kept")]
    AnswerNotKept,
    /// The caller closed its connection, so that nobody hears this but the log.
    #[display("the caller closed its connection")]
    CallerGone,
    /// It has crashed upstreams before.
    #[display("this request has crashed the upstreams that ran it; do not send it again")]
    CrashesUpstreams,
    /// The process is about to end.
    #[display("this host is about to go; use another one")]
    Leaving,
    /// The client account has used up its limit.
    #[display("the client account is over its limit; ask again later")]
    OverLimit,
    /// The client account's limit is lower than what the request counts.
    #[display("the request is larger than the client account's limit ever allows; make it smaller")]
    BeyondLimit,
    /// The key was taken from its client account while the request waited.
    #[display("the key isn't valid any more; use another one")]
    KeyWithdrawn,
    /// The key was given to another client account while the request waited.
    #[display("the key was given to another client account; ask again")]
    AccountChanged,
}

/// A final answer without the wanted result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request was run.
    pub outcome: RefusalOutcome,
    /// Why.
    pub reason: RefusalReason,
    /// When to ask again, where that helps.
    pub retry_after: Option<Duration>,
}

/// Something that a process's surroundings have to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the key-value service.
    Store {
        /// The number under which the result comes back.
        call: CallId,
        /// The call.
        request: StoreCall,
    },
    /// Watch the shared keys from here on.
    Watch {
        /// The first revision to be told of.
        from: StoreRevision,
    },
    /// Stop watching.
    Unwatch,
    /// Take news that a peer has read.
    ApplyNews(News),
    /// Read news often, since others wait for it, or as seldom as for this process alone.
    ReadNewsForOthers(bool),
    /// Tell peers all that the key-value service holds.
    SendState {
        /// Whom to tell.
        to: Vec<HostId>,
        /// What the parts are to have in common.
        series: u64,
        /// The revision up to which nothing is missing.
        upto: StoreRevision,
        /// The shared keys; the platform's part adds what it knows beside them.
        records: Vec<Versioned>,
    },
    /// Take a part of all that the key-value service holds, from a peer.
    ApplyStatePart(StatePart),
    /// Go on waiting for a peer's state.
    ExtendStateWait,
    /// Read what news from peers have left out.
    ReadMissedNews,
    /// Send a message to a peer.
    Peer(Envelope),
    /// Find out whether a life of a process has ended for certain.
    ///
    /// It has when its host refuses connections to the address, or when a later
    /// life answers there; silence proves nothing.
    Probe {
        /// The host.
        host: HostId,
        /// The life that is in question.
        incarnation: Incarnation,
        /// Where callers reached it.
        address: SocketAddr,
    },
    /// Give an order to an engine.
    Order {
        /// The engine.
        upstream: UpstreamId,
        /// The number under which the answer comes back.
        order: OrderId,
        /// The owner's fence.
        fence: Fence,
        /// The time after which it may not be sent any more; checked right before sending.
        not_after: Time,
        /// How many orders the engine must have accepted before, where it numbers them.
        after: Option<u64>,
        /// The order.
        action: Order,
    },
    /// Ask an engine how it stands.
    RequestReport {
        /// The engine.
        upstream: UpstreamId,
    },
    /// Send a request to an upstream and pass its answer on.
    Send {
        /// The request.
        request: RequestId,
        /// The number of this try.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// By when the answer has to be complete.
        deadline: Time,
        /// The order of service, for engines that honour priorities.
        order: ServiceOrder,
        /// Whether to go on where an earlier attempt's stream broke off.
        resume: bool,
        /// Whether to hold the answer back until it is recorded.
        hold: bool,
        /// Whether the request may not run a second time.
        once: bool,
        /// Whether to keep an answer that says that the upstream failed, since
        /// another one may be asked.
        keep_failure: bool,
    },
    /// Pass on the answer that is kept of a request's last attempt.
    ForwardHeldAnswer {
        /// The request.
        request: RequestId,
    },
    /// Stop an attempt, and its work at the upstream.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the caller a kept answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// Refuse a request for good.
    Refuse {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Break off an answer that was partly passed on and can't be completed.
    Abort {
        /// The request.
        request: RequestId,
        /// What the caller is told, where the protocol still can.
        refusal: Refusal,
    },
    /// Note something that operators ought to know.
    LogEvent(LogEvent),
    /// Note a decision on a request.
    Decision(Decision),
    /// Take no new connections and no new requests; those in progress go on.
    CloseIntake,
    /// Everything is finished; the process may end.
    Exit,
}

/// A decision on a request; becomes a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// A short fixed name of the decision, such as `request_sent`.
    pub event: &'static str,
    /// What decided it, with ages in milliseconds.
    pub detail: String,
}

/// Something that operators ought to know; becomes a log line and a counter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// A short fixed name of the event, such as `engine_taken_over`.
    pub event: &'static str,
    /// What it is about, such as an engine's or a model's name.
    pub subject: String,
    /// Further detail in a few words.
    pub detail: String,
}
