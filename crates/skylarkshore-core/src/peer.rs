//! What processes tell one another.

mod credit;

use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::id::{Digest, HostId, Incarnation, ModelName, RulesRevision, SiteName, StoreRevision, UpstreamId};
use crate::rules::ServiceOrder;
use crate::store::RecordBatch;
use crate::units::Watts;
use crate::view::EngineView;

pub use credit::CreditMessage;

/// Why an owner can't make a model available in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CannotLoad {
    /// The engine's memory is taken by what may not be unloaded yet.
    Memory,
    /// The site's power is taken by others.
    Power,
    /// The receiver doesn't own a home of the model.
    NotOwner,
    /// The owner may not act: its lease is in doubt.
    OwnershipInDoubt,
    /// The engine can't be reached.
    EngineUnreachable,
    /// The engine refuses to load it.
    EngineRefuses,
    /// The load would take longer than any waiting request can wait.
    TooSlow,
    /// The load would take longer than those who wait would like; another home may be faster.
    Busy,
}

/// A message from one process to another.
///
/// Messages may be lost, doubled, late or out of order; every one is safe to
/// take again, and whoever needs an answer asks again.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// The sender lives, and this is how far its knowledge goes.
    Heartbeat {
        /// Which life of its process.
        incarnation: Incarnation,
        /// The rules in force there.
        rules: RulesRevision,
        /// The revision of the key-value service up to which it has missed nothing.
        store: StoreRevision,
        /// Whether its last call to the key-value service succeeded.
        store_reachable: bool,
        /// Whether it is about to go.
        leaving: bool,
    },
    /// The sender may have missed changes after this revision.
    RecordsWanted {
        /// The revision up to which it has missed nothing.
        after: StoreRevision,
    },
    /// Shared keys that the receiver may not have seen yet.
    Records(RecordBatch),
    /// Requests wait for a model at the sender, which wants to hear of it for a while.
    Wanted {
        /// The model or adapter.
        target: ModelTarget,
        /// How many requests wait.
        waiting: u32,
        /// The most urgent order of service among them.
        order: ServiceOrder,
        /// How long the most patient of them can still wait.
        max_wait: Duration,
        /// How long the least patient of them can wait for its answer to have its full value.
        soft_deadline: Option<Duration>,
    },
    /// A model is used from the sender, which wants to hear of it for a while.
    Used {
        /// The model or adapter.
        target: ModelTarget,
        /// How many requests for it arrived at the sender since it last told.
        arrived: u32,
        /// How many answers since then began late although their requests hadn't waited there.
        late: u32,
        /// For how long its requests from there have run since then, added up.
        run_time: Duration,
        /// Whether requests wait there.
        waited_for: bool,
    },
    /// How an engine stands, from its owner.
    View(EngineView),
    /// The owner can't make the model available in time.
    CannotLoad {
        /// The model or adapter.
        target: ModelTarget,
        /// Why.
        reason: CannotLoad,
        /// When to ask again.
        retry_after: Duration,
    },
    /// The sender has a load to make and asks for a share of the weight store.
    LoadSlotWanted {
        /// The engine that is to load.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
        /// The order of service of those who wait.
        order: ServiceOrder,
        /// How long those who wait can still wait.
        max_wait: Duration,
    },
    /// The load has to wait for its turn; the gate works.
    LoadSlotQueued {
        /// The engine that is to load.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
        /// How long it is expected to wait.
        wait: Duration,
    },
    /// The load may begin.
    LoadSlotGranted {
        /// The engine that is to load.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
    },
    /// The load has ended or isn't wanted any more.
    LoadSlotReturned {
        /// The engine.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
    },
    /// The sender has an engine that needs more power than it is granted.
    PowerWanted {
        /// The site.
        site: SiteName,
        /// How much is missing.
        watts: Watts,
        /// The order of service of those who wait.
        order: ServiceOrder,
    },
    /// Requests were in progress at an upstream when it died.
    Suspects {
        /// The upstream.
        upstream: UpstreamId,
        /// Which life of the upstream died, where that is known.
        incarnation: Option<Incarnation>,
        /// The digests of the requests.
        requests: Vec<Digest>,
        /// Whether they ran alone, so that one who ran alone is convicted.
        alone: bool,
    },
    /// The receiver's suspects have been taken note of.
    SuspectsNoted {
        /// The digests.
        requests: Vec<Digest>,
    },
    /// A suspect ran to its end and is one no longer.
    Cleared {
        /// The digest.
        request: Digest,
    },
    /// The sender wants to run a suspect alone on an engine that the receiver owns.
    ReservationWanted {
        /// The engine.
        upstream: UpstreamId,
        /// How long it can still wait.
        max_wait: Duration,
    },
    /// The sender needs the engine for itself no longer.
    ReservationReturned {
        /// The engine.
        upstream: UpstreamId,
    },
    /// An upstream is about to go and gets no new work.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream doesn't answer the sender.
    UpstreamUnreachable {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The load is in progress and still uses its share of the weight store.
    LoadSlotHeld {
        /// The engine that loads.
        upstream: UpstreamId,
        /// The model.
        model: ModelName,
    },
    /// About the credit of client accounts.
    Credit(CreditMessage),
    /// What the sender has read of the key-value service.
    News(News),
    /// The sender has just started and asks for all that the key-value service holds.
    StateWanted,
    /// The sender doesn't know all of that itself yet, and will tell once it does.
    StateComing,
    /// A part of all that the key-value service holds.
    State(StatePart),
    /// Something that all processes are to hear; whoever hears it from its parent passes it on.
    Spread {
        /// Who says it.
        origin: HostId,
        /// What is said.
        message: Box<PeerMessage>,
    },
}

/// Changes at the key-value service, as it told them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// The revision after which they came.
    pub after: StoreRevision,
    /// The revision up to which nothing is missing.
    pub upto: StoreRevision,
    /// The changes as the platform's part packs them; empty where nothing has changed.
    pub body: Arc<[u8]>,
}

/// A part of all that the key-value service holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatePart {
    /// What parts have in common that were told together.
    pub series: u64,
    /// The revision up to which nothing is missing.
    pub upto: StoreRevision,
    /// Which part it is, from 0 on.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The keys and values as the platform's part packs them.
    pub body: Arc<[u8]>,
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The receiver.
    pub to: HostId,
    /// What it is told.
    pub message: PeerMessage,
}
