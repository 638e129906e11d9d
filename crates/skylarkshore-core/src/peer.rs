//! Messages between processes. [`PeerMessage`] is the type to start with.

mod credit;
mod notice;
mod slot;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::id::{Digest, HostId, Incarnation, ModelName, RulesRevision, SiteName, StoreRevision, UpstreamId};
use crate::notice::Rest;
use crate::rules::ServiceOrder;
use crate::store::RecordBatch;
use crate::units::{RequestRate, Watts};
use crate::view::EngineView;

pub use credit::CreditMessage;
pub use notice::{KnownNotices, NoticeMessage, RejectionLimit};
pub use slot::{LendingTerm, ReportNumber, SlotMessage, SlotReport, SlotsLent};
pub use stream::{StreamMessage, StreamOrigin};

/// Smallest number of refused requests for a model that counts as waiting, whether one host has
/// refused them or all together.
///
/// Single callers often retry at another host, and the load would serve nobody.
pub(crate) const MIN_EXPECTED_RETRIES: u32 = 3;

/// Why an owner can't make a model available in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CannotLoad {
    /// The engine's memory is occupied by models that can't be unloaded yet.
    Memory,
    /// The site's power is allocated to other engines.
    Power,
    /// The process that was asked owns no home of the model, that is, no engine on which it may be loaded.
    NotOwner,
    /// The owner can't confirm its lease and therefore may not act.
    OwnershipInDoubt,
    /// The engine is unreachable.
    EngineUnreachable,
    /// The engine refuses the load.
    EngineRefuses,
    /// The load would outlast the deadlines of all waiting requests.
    TooSlow,
    /// The load would outlast the soft deadline of the waiting requests; another home may be faster.
    Busy,
}

/// A message from one process to another.
///
/// Messages may be lost, duplicated, delayed or reordered. Handling is
/// idempotent, and a sender that needs an answer repeats its message.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Periodic heartbeat with the revisions that the sender has reached.
    Heartbeat {
        /// Incarnation of the sender's process.
        incarnation: Incarnation,
        /// Revision of the sender's active rules.
        rules: RulesRevision,
        /// Revision of the key-value service up to which the sender has all changes.
        store: StoreRevision,
        /// Whether the sender's last call to the key-value service succeeded.
        store_reachable: bool,
        /// Whether the sender is shutting down.
        leaving: bool,
    },
    /// Requests the changes that the sender may have missed.
    RecordsWanted {
        /// Revision up to which the sender has all changes.
        after: StoreRevision,
    },
    /// Shared keys that the receiver may lack.
    Records(RecordBatch),
    /// Requests for a model wait at the sender; subscribes the sender to views of the model for a while.
    Wanted {
        /// The model or adapter.
        target: ModelTarget,
        /// Number of waiting requests.
        waiting: u32,
        /// The earliest order of service among them.
        order: ServiceOrder,
        /// The longest time that any of them can still wait.
        max_wait: Duration,
        /// Time until the next of their soft deadlines.
        soft_deadline: Option<Duration>,
        /// Whether they were refused instead, and their callers are expected to retry within `max_wait`.
        ///
        /// They are reported once, and the receiver sends no reply.
        refused: bool,
    },
    /// Use of a model from the sender; subscribes the sender to views of the model for a while.
    Used {
        /// The model or adapter.
        target: ModelTarget,
        /// Requests that arrived at the sender since its last message.
        arrived: u32,
        /// Answers since then that began late although their requests had not waited at the sender.
        late: u32,
        /// Total running time of the sender's requests since then.
        run_time: Duration,
        /// Whether requests for it wait at the sender.
        waited_for: bool,
    },
    /// State of an engine, published by its owner.
    View(EngineView),
    /// The owner can't make the model available in time.
    CannotLoad {
        /// The model or adapter.
        target: ModelTarget,
        /// The reason.
        reason: CannotLoad,
        /// Delay before the next request.
        retry_after: Duration,
    },
    /// Requests a slot of the weight store for a load.
    LoadSlotWanted {
        /// The loading engine.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
        /// Order of service of the waiting requests.
        order: ServiceOrder,
        /// The longest time that the waiting requests can still wait.
        max_wait: Duration,
    },
    /// The load is queued for a slot; also shows that the process that grants the slots is alive.
    LoadSlotQueued {
        /// The loading engine.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
        /// Expected waiting time.
        wait: Duration,
    },
    /// The load may start.
    LoadSlotGranted {
        /// The loading engine.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
    },
    /// The load has ended or is no longer needed.
    LoadSlotReturned {
        /// The engine.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
    },
    /// An engine of the sender needs more power than it is granted.
    PowerWanted {
        /// The site.
        site: SiteName,
        /// The missing power.
        watts: Watts,
        /// Order of service of the waiting requests.
        order: ServiceOrder,
    },
    /// Requests that were in progress at an upstream when it crashed.
    Suspects {
        /// The upstream.
        upstream: UpstreamId,
        /// Incarnation of the upstream that crashed, if known.
        incarnation: Option<Incarnation>,
        /// Digests of the requests.
        requests: Vec<Digest>,
        /// Whether they ran in isolation; a request that crashes an upstream in isolation is convicted.
        alone: bool,
    },
    /// Acknowledges suspects that the receiver reported, where suspects run alone.
    SuspectsNoted {
        /// The digests.
        requests: Vec<Digest>,
    },
    /// A suspect completed and is cleared.
    Cleared {
        /// The digest.
        request: Digest,
    },
    /// Requests exclusive use of an engine that the receiver owns, to run a suspect in isolation.
    ReservationWanted {
        /// The engine.
        upstream: UpstreamId,
        /// The longest time that the suspect can still wait.
        max_wait: Duration,
    },
    /// Ends the exclusive use of an engine.
    ReservationReturned {
        /// The engine.
        upstream: UpstreamId,
    },
    /// An upstream is leaving and receives no new requests.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream has asked for rest in an answer that the receiver relayed.
    UpstreamRests {
        /// The upstream.
        upstream: UpstreamId,
        /// The rest.
        rest: Rest,
    },
    /// An upstream is unreachable from the sender.
    UpstreamUnreachable {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The load is in progress and still occupies its slot of the weight store.
    LoadSlotHeld {
        /// The engine that loads.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
    },
    /// Credit of client accounts.
    Credit(CreditMessage),
    /// Changes at the key-value service, read or relayed by the sender; the receiver applies them and
    /// relays them to its children if they are new.
    News(News),
    /// Requests the full state of the key-value service, after a start or a gap.
    StateWanted,
    /// Acknowledges [`PeerMessage::StateWanted`]; the state follows.
    StateComing,
    /// A part of the full state of the key-value service.
    State(StatePart),
    /// A message for all processes, sent down the relay tree.
    ///
    /// Each receiver handles the inner message; the root, and a receiver that got it from its parent, forwards
    /// it to its children.
    Spread {
        /// The original sender.
        origin: HostId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Requests permits to send requests to an upstream that has named a limit.
    PermitsWanted {
        /// The upstream.
        upstream: UpstreamId,
        /// The limit that it names.
        limit: RequestRate,
        /// Number of permits.
        count: u32,
    },
    /// Grants permits; with a count of zero, confirms that the request has arrived.
    Permits {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of permits.
        count: u32,
    },
    /// Whether the sender reaches most upstreams directly; otherwise it is little use as a relay.
    UpstreamsReached {
        /// Whether it does.
        reached: bool,
    },
    /// An upstream that withstands few rejections has rejected a request of the sender for want of room.
    UpstreamFull {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Streams that callers may take up at another host.
    Stream(StreamMessage),
    /// Slots of upstreams that withstand few rejections.
    Slot(SlotMessage),
    /// What upstreams have said of themselves, for processes that have just started.
    Notice(NoticeMessage),
    /// Acknowledges requests that were reported as lost with an incarnation of an upstream.
    LossesNoted {
        /// The upstream.
        upstream: UpstreamId,
        /// Its incarnation, as reported.
        incarnation: Option<Incarnation>,
        /// Digests of the requests.
        requests: Vec<Digest>,
    },
}

/// Changes at the key-value service, in the order it delivered them, encoded for relaying to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Revision that precedes the changes.
    pub after: StoreRevision,
    /// Revision up to which the changes are complete.
    pub upto: StoreRevision,
    /// How long before it was sent the changes were known to be complete; `None` if that isn't known.
    pub age: Option<Duration>,
    /// The changes in the encoding of the platform adapter; empty if nothing changed.
    pub body: Arc<[u8]>,
}

/// A part of the full state of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatePart {
    /// Identifies the parts that belong together.
    pub series: u64,
    /// Revision up to which the state is complete.
    pub upto: StoreRevision,
    /// How long before it was sent the state was known to be complete; `None` if that isn't known.
    pub age: Option<Duration>,
    /// Index of the part, starting at 0.
    pub part: u32,
    /// Total number of parts.
    pub parts: u32,
    /// Keys and values in the encoding of the platform adapter.
    pub body: Arc<[u8]>,
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub message: PeerMessage,
}
