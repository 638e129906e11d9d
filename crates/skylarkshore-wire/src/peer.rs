//! Messages between processes: one postcard-encoded [`PeerMessageWire`] per frame.
//!
//! The enums here mirror those of the core, so that the core can change without
//! changing the wire format. Variants are encoded by position: a variant may be
//! added at the end, but never moved.

mod credit;
mod view;

use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use skylarkshore_core::catalogue::ModelTarget;
use skylarkshore_core::id::{
    AdapterName, Digest, HostId, Incarnation, ModelName, RulesRevision, SiteName, StoreRevision, UpstreamId,
};
use skylarkshore_core::peer::{CannotLoad, News, PeerMessage, StatePart};
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::store::{Key, RecordBatch, Versioned};
use skylarkshore_core::units::Watts;

use crate::keys::{InvalidKey, InvalidValue, KeyText, StoredValue};

pub use credit::CreditMessageWire;
pub use view::{EngineViewWire, ModelViewWire, ReadinessWire};

/// Maximum size of a message in bytes.
///
/// A host that is far behind receives all shared keys in one message: a document
/// of up to a megabyte and, at the target size of a deployment, some 300 KB of
/// members, owners and homes.
pub const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// Why a message isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum InvalidMessage {
    /// The bytes can't be decoded.
    #[display("a peer's message can't be decoded ({_0}); run the same version on all hosts")]
    Encoding(postcard::Error),
    /// The message exceeds [`MAX_MESSAGE_LEN`].
    #[display("a message has {len} bytes, more than {MAX_MESSAGE_LEN}; shorten the operators' document")]
    #[from(skip)]
    TooLarge {
        /// Size in bytes.
        len: usize,
    },
    /// The message kind is no longer supported.
    #[display(
        "a peer runs an earlier version whose news format isn't supported; its news is read elsewhere until all hosts run this version"
    )]
    #[from(skip)]
    Retired,
    /// A [`PeerMessageWire::Spread`] contains another one.
    #[display("a broadcast message contains another broadcast message; the peer is faulty")]
    #[from(skip)]
    Nested,
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
    /// The receiver doesn't own a home of the model.
    NotOwner,
    /// The owner's lease is in doubt.
    OwnershipInDoubt,
    /// The engine can't be reached.
    EngineUnreachable,
    /// The engine refuses the order.
    EngineRefuses,
    /// The load takes too long.
    TooSlow,
    /// The load would take too long; another home may be faster.
    Busy,
}

/// A message in its wire form. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the variants and fields are those of the core's PeerMessage")]
pub enum PeerMessageWire {
    Heartbeat {
        incarnation: Incarnation,
        rules: RulesRevision,
        store: StoreRevision,
        store_reachable: bool,
        leaving: bool,
    },
    RecordsWanted {
        after: StoreRevision,
    },
    Records {
        after: Option<StoreRevision>,
        upto: StoreRevision,
        records: Vec<RecordWire>,
    },
    Wanted {
        target: TargetWire,
        waiting: u32,
        order: u16,
        patience_ms: u64,
        aim_ms: Option<u64>,
    },
    Used {
        target: TargetWire,
        arrived: u32,
        late: u32,
        worked_ms: u64,
        waited_for: bool,
    },
    View(EngineViewWire),
    CannotLoad {
        target: TargetWire,
        reason: CannotLoadWire,
        retry_after_ms: u64,
    },
    LoadSlotWanted {
        upstream: UpstreamId,
        model: ModelName,
        order: u16,
        patience_ms: u64,
    },
    LoadSlotQueued {
        upstream: UpstreamId,
        model: ModelName,
        wait_ms: u64,
    },
    LoadSlotGranted {
        upstream: UpstreamId,
        model: ModelName,
    },
    LoadSlotReturned {
        upstream: UpstreamId,
        model: ModelName,
    },
    PowerWanted {
        site: SiteName,
        watts: u64,
        order: u16,
    },
    Suspects {
        upstream: UpstreamId,
        incarnation: Option<Incarnation>,
        requests: Vec<Digest>,
        alone: bool,
    },
    SuspectsNoted {
        requests: Vec<Digest>,
    },
    Cleared {
        request: Digest,
    },
    ReservationWanted {
        upstream: UpstreamId,
        patience_ms: u64,
    },
    ReservationReturned {
        upstream: UpstreamId,
    },
    UpstreamLeaving {
        upstream: UpstreamId,
    },
    UpstreamUnreachable {
        upstream: UpstreamId,
    },
    LoadSlotHeld {
        upstream: UpstreamId,
        model: ModelName,
    },
    Credit(CreditMessageWire),
    /// Sent by earlier versions; see [`PackedNews`](Self::PackedNews).
    News {
        after: StoreRevision,
        upto: StoreRevision,
        body: String,
    },
    PackedNews {
        after: StoreRevision,
        upto: StoreRevision,
        body: Vec<u8>,
    },
    StateWanted,
    StateComing,
    State {
        series: u64,
        upto: StoreRevision,
        part: u32,
        parts: u32,
        body: Vec<u8>,
    },
    Spread {
        origin: HostId,
        message: Box<PeerMessageWire>,
    },
}

/// Encodes a message for the wire.
///
/// # Errors
///
/// The message is larger than [`MAX_MESSAGE_LEN`].
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>, InvalidMessage> {
    let bytes = postcard::to_stdvec(&PeerMessageWire::from(message))?;
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
            M::Records(batch) => Self::Records {
                after: batch.after,
                upto: batch.upto,
                records: batch.records.iter().map(RecordWire::from).collect(),
            },
            M::Wanted { target, waiting, order, max_wait, soft_deadline } => Self::Wanted {
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
            M::UpstreamUnreachable { upstream } => Self::UpstreamUnreachable { upstream: upstream.clone() },
            M::LoadSlotHeld { upstream, model } => {
                Self::LoadSlotHeld { upstream: upstream.clone(), model: model.clone() }
            }
            M::Credit(message) => Self::Credit(message.into()),
            M::News(News { after, upto, body }) => {
                Self::PackedNews { after: *after, upto: *upto, body: body.to_vec() }
            }
            M::StateWanted => Self::StateWanted,
            M::StateComing => Self::StateComing,
            M::State(StatePart { series, upto, part, parts, body }) => {
                Self::State { series: *series, upto: *upto, part: *part, parts: *parts, body: body.to_vec() }
            }
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
            W::UpstreamUnreachable { upstream } => Self::UpstreamUnreachable { upstream },
            W::LoadSlotHeld { upstream, model } => Self::LoadSlotHeld { upstream, model },
            W::Credit(message) => Self::Credit(message.into()),
            W::News { .. } => return Err(InvalidMessage::Retired),
            W::PackedNews { after, upto, body } => Self::News(News { after, upto, body: body.into() }),
            W::StateWanted => Self::StateWanted,
            W::StateComing => Self::StateComing,
            W::State { series, upto, part, parts, body } => {
                Self::State(StatePart { series, upto, part, parts, body: body.into() })
            }
            W::Spread { message, .. } if matches!(*message, W::Spread { .. }) => {
                return Err(InvalidMessage::Nested);
            }
            W::Spread { origin, message } => {
                Self::Spread { origin, message: Box::new((*message).try_into()?) }
            }
        })
    }
}
