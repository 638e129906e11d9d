//! Messages between processes: one postcard-encoded [`PeerMessageWire`] per frame.
//!
//! The enums here mirror those of the core, so that the core can change without
//! changing the wire format. Variants are encoded by position: a variant may be
//! added at the end, but never moved.
//!
//! The owner of an engine is the host that controls it; the homes of a model are
//! the engines on which it may be loaded.

mod credit;
mod notice;
mod pool;
mod slot;
mod stream;
mod view;

use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use skylarkshore_core::catalogue::ModelTarget;
use skylarkshore_core::id::{
    AdapterName, Digest, HostId, Incarnation, ModelName, RulesRevision, ServiceName, SiteName, StoreRevision,
    UpstreamId,
};
use skylarkshore_core::notice::Rest;
use skylarkshore_core::peer::{CannotLoad, News, PeerMessage, StatePart};
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::store::{Key, RecordBatch, Versioned};
use skylarkshore_core::units::{RequestRate, Watts};

use crate::keys::{InvalidKey, InvalidValue, KeyText, StoredValue};

pub use credit::CreditMessageWire;
pub use notice::{NoticeMessageWire, RejectionLimitWire};
pub use slot::{LendingTermWire, SlotMessageWire};
pub use stream::{StreamMessageWire, StreamOriginWire};
pub use view::{EngineViewWire, ModelViewWire, ReadinessWire};

/// Maximum size of a message in bytes.
///
/// A host that is far behind receives all shared keys in one message: a document
/// of up to a megabyte and, at the target size of a deployment, some 300 KB of
/// keys of members (live hosts), owners of engines, and homes of models.
pub const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// Why a message isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum InvalidMessage {
    /// The bytes can't be decoded.
    #[display("a peer's message can't be decoded ({_0}); run the same version on all hosts")]
    Encoding(postcard::Error),
    /// The message exceeds [`MAX_MESSAGE_LEN`].
    #[display(
        "a message has {len} bytes, more than {MAX_MESSAGE_LEN}; shorten the operators' document, normally its largest part"
    )]
    #[from(skip)]
    TooLarge {
        /// Size in bytes.
        len: usize,
    },
    /// The message kind is no longer supported.
    #[display(
        "a peer runs an earlier version whose format for relayed key changes isn't supported; this host reads the changes from the key-value service instead until all hosts run this version"
    )]
    #[from(skip)]
    Retired,
    /// A [`PeerMessageWire::Spread`] contains another one.
    #[display("a broadcast message contains another broadcast message; the peer is faulty")]
    #[from(skip)]
    Nested,
    /// A [`PeerMessageWire::InPool`] contains a message that is about no model.
    #[display("a message names a pool and no model of it; the peer is faulty")]
    #[from(skip)]
    NoModel,
    /// Invalid key in the message.
    #[display("{_0}")]
    Key(InvalidKey),
    /// Invalid value in the message.
    #[display("{_0}")]
    Value(InvalidValue),
}

/// A model, or one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWire {
    model: ModelName,
    adapter: Option<AdapterName>,
}

/// A shared key with its value as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWire {
    key: String,
    revision: StoreRevision,
    value: Option<String>,
}

/// Why an owner can't make a model available in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CannotLoadWire {
    /// Not enough memory is free.
    Memory,
    /// Not enough power is available.
    Power,
    /// The host that was asked owns none of the model's homes.
    NotOwner,
    /// The owner's lease is in doubt.
    OwnershipInDoubt,
    /// The engine can't be reached.
    EngineUnreachable,
    /// The engine rejects the load.
    EngineRefuses,
    /// The load takes longer than any waiting request can wait (`patience_ms`).
    TooSlow,
    /// The load ends after the soft deadline of the waiting requests (`aim_ms`); another home may be faster.
    Busy,
}

/// A message in its wire form. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    missing_docs,
    reason = "fields without a comment are those of the core's PeerMessage, News and StatePart"
)]
pub enum PeerMessageWire {
    /// Sent by each host at intervals: its incarnation and how far its knowledge of shared keys goes.
    Heartbeat {
        incarnation: Incarnation,
        rules: RulesRevision,
        store: StoreRevision,
        store_reachable: bool,
        leaving: bool,
    },
    /// Asks for the changes of shared keys after a revision.
    RecordsWanted { after: StoreRevision },
    /// Shared keys that the receiver may lack.
    Records { after: Option<StoreRevision>, upto: StoreRevision, records: Vec<RecordWire> },
    /// From a host where requests wait for a model, to the owners of its homes; asks for views for a while.
    Wanted {
        target: TargetWire,
        waiting: u32,
        order: u16,
        /// The core's `max_wait`.
        patience_ms: u64,
        /// The core's `soft_deadline`.
        aim_ms: Option<u64>,
    },
    /// From a host whose requests use a model, to the owners of its homes; asks for views for a while.
    Used {
        target: TargetWire,
        arrived: u32,
        late: u32,
        /// The core's `run_time`.
        worked_ms: u64,
        waited_for: bool,
    },
    /// State of an engine, from its owner.
    View(EngineViewWire),
    /// Answer of an owner to `Wanted`.
    CannotLoad { target: TargetWire, reason: CannotLoadWire, retry_after_ms: u64 },
    /// Asks for a share of the weight store's bandwidth for a load.
    LoadSlotWanted {
        upstream: UpstreamId,
        model: ModelName,
        order: u16,
        /// The core's `max_wait`.
        patience_ms: u64,
    },
    /// Answer to `LoadSlotWanted`: the load has to wait.
    LoadSlotQueued { upstream: UpstreamId, model: ModelName, wait_ms: u64 },
    /// Answer to `LoadSlotWanted`: the load may start.
    LoadSlotGranted { upstream: UpstreamId, model: ModelName },
    /// The load has ended or is no longer wanted.
    LoadSlotReturned { upstream: UpstreamId, model: ModelName },
    /// From the owner of an engine that needs more power than it is granted.
    PowerWanted { site: SiteName, watts: u64, order: u16 },
    /// Requests that were in progress at an upstream when it died; `alone` if
    /// nothing else ran there, which proves the request to be the cause.
    Suspects { upstream: UpstreamId, incarnation: Option<Incarnation>, requests: Vec<Digest>, alone: bool },
    /// Acknowledges `Suspects` that run alone.
    SuspectsNoted { requests: Vec<Digest> },
    /// A suspected request has completed and is no longer suspected.
    Cleared { request: Digest },
    /// Asks an engine's owner to let the sender run a suspected request alone on it.
    ReservationWanted {
        upstream: UpstreamId,
        /// The core's `max_wait`.
        patience_ms: u64,
    },
    /// The sender no longer needs the engine for itself.
    ReservationReturned { upstream: UpstreamId },
    /// An upstream is about to leave and gets no new work.
    UpstreamLeaving { upstream: UpstreamId },
    /// An upstream doesn't answer the sender.
    UpstreamUnreachable { upstream: UpstreamId },
    /// The load is in progress and still uses its share.
    LoadSlotHeld { upstream: UpstreamId, model: ModelName },
    /// Credit of client accounts.
    Credit(CreditMessageWire),
    /// Retired form of [`PackedNews`](Self::PackedNews), with a text body; sent by earlier versions only.
    News { after: StoreRevision, upto: StoreRevision, body: String },
    /// The core's `News`: changes of shared keys that the sender read or relays. The platform's store
    /// packs the body; it is empty if nothing has changed.
    PackedNews { after: StoreRevision, upto: StoreRevision, body: Vec<u8> },
    /// From a host that has just started: asks for all shared keys.
    StateWanted,
    /// Answer to `StateWanted`: the sender doesn't have all keys yet and sends them later.
    StateComing,
    /// One part of all shared keys.
    State { series: u64, upto: StoreRevision, part: u32, parts: u32, body: Vec<u8> },
    /// Broadcast from `origin`; each receiver forwards it to its children.
    Spread { origin: HostId, message: Box<PeerMessageWire> },
    /// Asks the host that counts the requests to an upstream for permits to send some.
    PermitsWanted { upstream: UpstreamId, limit: RequestRate, count: u32 },
    /// Permits; none of them confirms that `PermitsWanted` has arrived.
    Permits { upstream: UpstreamId, count: u32 },
    /// Acknowledges `Suspects` whose losses are counted.
    LossesNoted { upstream: UpstreamId, incarnation: Option<Incarnation>, requests: Vec<Digest> },
    /// `Wanted` for callers that were refused and are expected to retry; sent once.
    RetriesExpected {
        target: TargetWire,
        count: u32,
        order: u16,
        /// The core's `max_wait`.
        within_ms: u64,
    },
    /// Whether the sender reaches the upstreams itself; sent when that changes, and while it doesn't.
    UpstreamsReached { reached: bool },
    /// An upstream that withstands few rejections has rejected a request of the sender for want of room.
    UpstreamFull { upstream: UpstreamId },
    /// Streams that callers may take up at another host.
    Stream(StreamMessageWire),
    /// [`PackedNews`](Self::PackedNews) whose age is known.
    AgedNews { after: StoreRevision, upto: StoreRevision, age_ms: u64, body: Vec<u8> },
    /// [`State`](Self::State) whose age is known.
    AgedState { series: u64, upto: StoreRevision, age_ms: u64, part: u32, parts: u32, body: Vec<u8> },
    /// Slots of upstreams that withstand few rejections.
    Slot(SlotMessageWire),
    /// An upstream has asked for rest in an answer that the receiver relayed.
    UpstreamRests { upstream: UpstreamId, rest_ms: u64 },
    /// What upstreams have said of themselves, for hosts that have just started.
    Notice(NoticeMessageWire),
    /// A message about a model whose name several pools list; processes of earlier versions don't understand
    /// it, as they can't tell the models apart.
    InPool { pool: ServiceName, message: Box<PeerMessageWire> },
}

/// Encodes a message for the wire.
///
/// # Errors
///
/// The message is larger than [`MAX_MESSAGE_LEN`].
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>, InvalidMessage> {
    let bytes = postcard::to_stdvec(&pool::to_wire(message))?;
    if bytes.len() > MAX_MESSAGE_LEN {
        return Err(InvalidMessage::TooLarge { len: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a message from the wire.
///
/// # Errors
///
/// The bytes aren't a message of this version, or contain an invalid name.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, InvalidMessage> {
    postcard::from_bytes::<PeerMessageWire>(bytes)?.try_into()
}

pub(crate) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

fn rest(ms: u64) -> Rest {
    Rest::from(Duration::from_millis(ms))
}

fn news(after: StoreRevision, upto: StoreRevision, age_ms: Option<u64>, body: Vec<u8>) -> News {
    News { after, upto, age: age_ms.map(Duration::from_millis), body: body.into() }
}

/// Rounds up, so that what is relayed many times never seems younger than it is.
fn millis_up(d: Duration) -> u64 {
    millis(d.saturating_add(Duration::from_millis(1)).saturating_sub(Duration::from_nanos(1)))
}

impl From<&ModelTarget> for TargetWire {
    fn from(target: &ModelTarget) -> Self {
        Self { model: target.model.clone(), adapter: target.adapter.clone() }
    }
}

impl From<TargetWire> for ModelTarget {
    fn from(wire: TargetWire) -> Self {
        Self { model: wire.model, adapter: wire.adapter }
    }
}

impl From<&Versioned> for RecordWire {
    fn from(versioned: &Versioned) -> Self {
        let value = versioned.writer.clone().zip(versioned.record.clone());
        Self {
            key: KeyText::from(&versioned.key).to_string(),
            revision: versioned.revision,
            value: value.map(|(writer, record)| StoredValue { writer, record }.to_json()),
        }
    }
}

impl TryFrom<RecordWire> for Versioned {
    type Error = InvalidMessage;

    fn try_from(wire: RecordWire) -> Result<Self, Self::Error> {
        let key = Key::try_from(&KeyText::from(wire.key))?;
        let stored = wire.value.map(|json| StoredValue::from_json(&key, json.as_bytes())).transpose()?;
        let (writer, record) = stored.map(|stored| (stored.writer, stored.record)).unzip();
        Ok(Self { key, revision: wire.revision, writer, record })
    }
}

impl From<&CannotLoad> for CannotLoadWire {
    fn from(reason: &CannotLoad) -> Self {
        match reason {
            CannotLoad::Memory => Self::Memory,
            CannotLoad::Power => Self::Power,
            CannotLoad::NotOwner => Self::NotOwner,
            CannotLoad::OwnershipInDoubt => Self::OwnershipInDoubt,
            CannotLoad::EngineUnreachable => Self::EngineUnreachable,
            CannotLoad::EngineRefuses => Self::EngineRefuses,
            CannotLoad::TooSlow => Self::TooSlow,
            CannotLoad::Busy => Self::Busy,
        }
    }
}

impl From<CannotLoadWire> for CannotLoad {
    fn from(wire: CannotLoadWire) -> Self {
        match wire {
            CannotLoadWire::Memory => Self::Memory,
            CannotLoadWire::Power => Self::Power,
            CannotLoadWire::NotOwner => Self::NotOwner,
            CannotLoadWire::OwnershipInDoubt => Self::OwnershipInDoubt,
            CannotLoadWire::EngineUnreachable => Self::EngineUnreachable,
            CannotLoadWire::EngineRefuses => Self::EngineRefuses,
            CannotLoadWire::TooSlow => Self::TooSlow,
            CannotLoadWire::Busy => Self::Busy,
        }
    }
}

impl From<&RecordBatch> for PeerMessageWire {
    fn from(batch: &RecordBatch) -> Self {
        Self::Records {
            after: batch.after,
            upto: batch.upto,
            records: batch.records.iter().map(RecordWire::from).collect(),
        }
    }
}

impl From<&News> for PeerMessageWire {
    fn from(news: &News) -> Self {
        let News { after, upto, age, body } = news;
        let (after, upto, body) = (*after, *upto, body.to_vec());
        match age {
            Some(age) => Self::AgedNews { after, upto, age_ms: millis_up(*age), body },
            None => Self::PackedNews { after, upto, body },
        }
    }
}

impl From<&StatePart> for PeerMessageWire {
    fn from(state: &StatePart) -> Self {
        let StatePart { series, upto, age, part, parts, body } = state;
        let (series, upto, part, parts, body) = (*series, *upto, *part, *parts, body.to_vec());
        match age {
            Some(age) => Self::AgedState { series, upto, age_ms: millis_up(*age), part, parts, body },
            None => Self::State { series, upto, part, parts, body },
        }
    }
}

impl From<&PeerMessage> for PeerMessageWire {
    fn from(message: &PeerMessage) -> Self {
        use PeerMessage as M;

        match message {
            M::Heartbeat { incarnation, rules, store, store_reachable, leaving } => Self::Heartbeat {
                incarnation: *incarnation,
                rules: *rules,
                store: *store,
                store_reachable: *store_reachable,
                leaving: *leaving,
            },
            M::RecordsWanted { after } => Self::RecordsWanted { after: *after },
            M::Records(batch) => batch.into(),
            M::Wanted { target, waiting, order, max_wait, refused: true, .. } => Self::RetriesExpected {
                target: target.into(),
                count: *waiting,
                order: order.0,
                within_ms: millis(*max_wait),
            },
            M::Wanted { target, waiting, order, max_wait, soft_deadline, refused: false } => Self::Wanted {
                target: target.into(),
                waiting: *waiting,
                order: order.0,
                patience_ms: millis(*max_wait),
                aim_ms: soft_deadline.map(millis),
            },
            M::Used { target, arrived, late, run_time, waited_for } => Self::Used {
                target: target.into(),
                arrived: *arrived,
                late: *late,
                worked_ms: millis(*run_time),
                waited_for: *waited_for,
            },
            M::View(view) => Self::View(view.into()),
            M::CannotLoad { target, reason, retry_after } => Self::CannotLoad {
                target: target.into(),
                reason: reason.into(),
                retry_after_ms: millis(*retry_after),
            },
            M::LoadSlotWanted { upstream, model, order, max_wait } => Self::LoadSlotWanted {
                upstream: upstream.clone(),
                model: model.clone(),
                order: order.0,
                patience_ms: millis(*max_wait),
            },
            M::LoadSlotQueued { upstream, model, wait } => Self::LoadSlotQueued {
                upstream: upstream.clone(),
                model: model.clone(),
                wait_ms: millis(*wait),
            },
            M::LoadSlotGranted { upstream, model } => {
                Self::LoadSlotGranted { upstream: upstream.clone(), model: model.clone() }
            }
            M::LoadSlotReturned { upstream, model } => {
                Self::LoadSlotReturned { upstream: upstream.clone(), model: model.clone() }
            }
            M::PowerWanted { site, watts, order } => {
                Self::PowerWanted { site: site.clone(), watts: watts.0, order: order.0 }
            }
            M::Suspects { upstream, incarnation, requests, alone } => Self::Suspects {
                upstream: upstream.clone(),
                incarnation: *incarnation,
                requests: requests.clone(),
                alone: *alone,
            },
            M::SuspectsNoted { requests } => Self::SuspectsNoted { requests: requests.clone() },
            M::Cleared { request } => Self::Cleared { request: *request },
            M::ReservationWanted { upstream, max_wait } => {
                Self::ReservationWanted { upstream: upstream.clone(), patience_ms: millis(*max_wait) }
            }
            M::ReservationReturned { upstream } => Self::ReservationReturned { upstream: upstream.clone() },
            M::UpstreamLeaving { upstream } => Self::UpstreamLeaving { upstream: upstream.clone() },
            M::UpstreamRests { upstream, rest } => {
                Self::UpstreamRests { upstream: upstream.clone(), rest_ms: millis(rest.length()) }
            }
            M::UpstreamUnreachable { upstream } => Self::UpstreamUnreachable { upstream: upstream.clone() },
            M::LoadSlotHeld { upstream, model } => {
                Self::LoadSlotHeld { upstream: upstream.clone(), model: model.clone() }
            }
            M::Credit(message) => Self::Credit(message.into()),
            M::Stream(message) => Self::Stream(message.into()),
            M::Slot(message) => Self::Slot(message.into()),
            M::Notice(message) => Self::Notice(message.into()),
            M::News(news) => news.into(),
            M::StateWanted => Self::StateWanted,
            M::StateComing => Self::StateComing,
            M::PermitsWanted { upstream, limit, count } => {
                Self::PermitsWanted { upstream: upstream.clone(), limit: *limit, count: *count }
            }
            M::Permits { upstream, count } => Self::Permits { upstream: upstream.clone(), count: *count },
            M::UpstreamsReached { reached } => Self::UpstreamsReached { reached: *reached },
            M::UpstreamFull { upstream } => Self::UpstreamFull { upstream: upstream.clone() },
            M::LossesNoted { upstream, incarnation, requests } => Self::LossesNoted {
                upstream: upstream.clone(),
                incarnation: *incarnation,
                requests: requests.clone(),
            },
            M::State(part) => part.into(),
            M::Spread { origin, message } => {
                Self::Spread { origin: origin.clone(), message: Box::new((&**message).into()) }
            }
        }
    }
}

impl TryFrom<PeerMessageWire> for PeerMessage {
    type Error = InvalidMessage;

    fn try_from(wire: PeerMessageWire) -> Result<Self, Self::Error> {
        use PeerMessageWire as W;

        Ok(match wire {
            W::Heartbeat { incarnation, rules, store, store_reachable, leaving } => {
                Self::Heartbeat { incarnation, rules, store, store_reachable, leaving }
            }
            W::RecordsWanted { after } => Self::RecordsWanted { after },
            W::Records { after, upto, records } => {
                let records = records.into_iter().map(Versioned::try_from).collect::<Result<_, _>>()?;
                Self::Records(RecordBatch { after, upto, records })
            }
            W::Wanted { target, waiting, order, patience_ms, aim_ms } => Self::Wanted {
                target: target.into(),
                waiting,
                order: ServiceOrder(order),
                max_wait: Duration::from_millis(patience_ms),
                soft_deadline: aim_ms.map(Duration::from_millis),
                refused: false,
            },
            W::RetriesExpected { target, count, order, within_ms } => Self::Wanted {
                target: target.into(),
                waiting: count,
                order: ServiceOrder(order),
                max_wait: Duration::from_millis(within_ms),
                soft_deadline: None,
                refused: true,
            },
            W::Used { target, arrived, late, worked_ms, waited_for } => Self::Used {
                target: target.into(),
                arrived,
                late,
                run_time: Duration::from_millis(worked_ms),
                waited_for,
            },
            W::View(view) => Self::View(view.into()),
            W::CannotLoad { target, reason, retry_after_ms } => Self::CannotLoad {
                target: target.into(),
                reason: reason.into(),
                retry_after: Duration::from_millis(retry_after_ms),
            },
            W::LoadSlotWanted { upstream, model, order, patience_ms } => Self::LoadSlotWanted {
                upstream,
                model,
                order: ServiceOrder(order),
                max_wait: Duration::from_millis(patience_ms),
            },
            W::LoadSlotQueued { upstream, model, wait_ms } => {
                Self::LoadSlotQueued { upstream, model, wait: Duration::from_millis(wait_ms) }
            }
            W::LoadSlotGranted { upstream, model } => Self::LoadSlotGranted { upstream, model },
            W::LoadSlotReturned { upstream, model } => Self::LoadSlotReturned { upstream, model },
            W::PowerWanted { site, watts, order } => {
                Self::PowerWanted { site, watts: Watts(watts), order: ServiceOrder(order) }
            }
            W::Suspects { upstream, incarnation, requests, alone } => {
                Self::Suspects { upstream, incarnation, requests, alone }
            }
            W::SuspectsNoted { requests } => Self::SuspectsNoted { requests },
            W::Cleared { request } => Self::Cleared { request },
            W::ReservationWanted { upstream, patience_ms } => {
                Self::ReservationWanted { upstream, max_wait: Duration::from_millis(patience_ms) }
            }
            W::ReservationReturned { upstream } => Self::ReservationReturned { upstream },
            W::UpstreamLeaving { upstream } => Self::UpstreamLeaving { upstream },
            W::UpstreamRests { upstream, rest_ms } => Self::UpstreamRests { upstream, rest: rest(rest_ms) },
            W::UpstreamUnreachable { upstream } => Self::UpstreamUnreachable { upstream },
            W::LoadSlotHeld { upstream, model } => Self::LoadSlotHeld { upstream, model },
            W::Credit(message) => Self::Credit(message.into()),
            W::Stream(message) => Self::Stream(message.into()),
            W::Slot(message) => Self::Slot(message.into()),
            W::Notice(message) => Self::Notice(message.into()),
            W::News { .. } => return Err(InvalidMessage::Retired),
            W::PackedNews { after, upto, body } => Self::News(news(after, upto, None, body)),
            W::AgedNews { after, upto, age_ms, body } => Self::News(news(after, upto, Some(age_ms), body)),
            W::StateWanted => Self::StateWanted,
            W::StateComing => Self::StateComing,
            W::PermitsWanted { upstream, limit, count } => Self::PermitsWanted { upstream, limit, count },
            W::Permits { upstream, count } => Self::Permits { upstream, count },
            W::UpstreamsReached { reached } => Self::UpstreamsReached { reached },
            W::UpstreamFull { upstream } => Self::UpstreamFull { upstream },
            W::LossesNoted { upstream, incarnation, requests } => {
                Self::LossesNoted { upstream, incarnation, requests }
            }
            W::State { series, upto, part, parts, body } => {
                Self::State(StatePart { series, upto, age: None, part, parts, body: body.into() })
            }
            W::AgedState { series, upto, age_ms, part, parts, body } => {
                let age = Some(Duration::from_millis(age_ms));
                Self::State(StatePart { series, upto, age, part, parts, body: body.into() })
            }
            W::InPool { pool, message } => pool::join(&pool, *message)?,
            W::Spread { message, .. } if matches!(*message, W::Spread { .. }) => {
                return Err(InvalidMessage::Nested);
            }
            W::Spread { origin, message } => {
                Self::Spread { origin, message: Box::new((*message).try_into()?) }
            }
        })
    }
}
