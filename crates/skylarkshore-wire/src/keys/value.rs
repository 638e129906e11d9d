//! The JSON values of the system's keys; start with [`StoredValue`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{
    CallId, DataCentre, Digest, Fence, HostId, Incarnation, InvalidDigest, UpstreamId,
};
use skylarkshore_core::store::{
    HomesRecord, Key, MemberRecord, OnceRecord, OnceState, OwnerRecord, PowerRecord, Record, RecordedAnswer,
    RelayRootRecord, Writer,
};
use skylarkshore_core::units::{Capacity, Watts};

use crate::accounts::InvalidAccount;
use crate::catalogue::CatalogueWire;
use crate::document::{DocumentWire, InvalidDocument};

/// The writer of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterWire {
    /// The host.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of the write within that incarnation.
    pub call: CallId,
}

/// The value of a member key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// SHA-256 of its certificate, in hexadecimal.
    pub fingerprint: String,
    /// Whether the process is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// CPU capacity of the host, in thousandths of a core.
    #[serde(default)]
    pub capacity: Capacity,
}

/// The value of an owner key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerWire {
    /// The owning host.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Fencing token, increased with every change of owner.
    pub fence: Fence,
}

/// The value of a homes key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomesWire {
    /// Engines in order of preference.
    pub engines: Vec<UpstreamId>,
    /// Engines from which the model was last moved for lack of memory.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub left: Vec<UpstreamId>,
}

/// The value of a power key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PowerWire {
    /// Power granted to each engine, in watts.
    pub grants: BTreeMap<UpstreamId, u64>,
}

/// The value of the key of a relay root.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRootWire {
    /// The host.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of members that it knew, once it knows the shared keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<u32>,
}

/// A recorded answer that is returned when the request is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerWire {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `content-type` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// The whole body in Base64.
    pub body: String,
}

/// Progress of a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnceStateWire {
    /// A host has claimed it; it may have run.
    Claimed,
    /// It has run with this answer.
    Answered(AnswerWire),
    /// It has run, but its answer wasn't recorded.
    AnswerNotKept,
}

/// The value of the key of a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceWire {
    /// Digest of method, path and body, in hexadecimal.
    pub request: String,
    /// The host that claimed it.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Progress of the request.
    pub state: OnceStateWire,
}

/// Why a value isn't valid.
#[derive(Debug, Display, Error, From)]
pub enum InvalidValue {
    /// The text isn't JSON, or doesn't fit the schema of the key.
    #[display("a stored value does not match the schema: {_0}; delete its key, or upgrade this process")]
    Shape(serde_json::Error),
    /// Invalid digest.
    #[display("{_0}")]
    Digest(InvalidDigest),
    /// The body of a recorded answer isn't Base64.
    #[display("a recorded answer isn't Base64 ({_0}); delete its key")]
    Body(base64::DecodeError),
    /// Invalid operators' document.
    #[display("{_0}")]
    Document(InvalidDocument),
    /// Invalid client account.
    #[display("{_0}")]
    Account(InvalidAccount),
}

/// A value with its writer.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredValue {
    /// The writer of the value.
    pub writer: Writer,
    /// The decoded value.
    pub record: Record,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    writer: WriterWire,
    value: T,
}

impl StoredValue {
    /// Serializes the value as JSON.
    ///
    /// # Panics
    ///
    /// Never: names, numbers and texts always serialize.
    pub fn to_json(&self) -> String {
        match &self.record {
            Record::Document(document) => self.to_envelope(DocumentWire::from(&**document)),
            Record::Catalogue(record) => self.to_envelope(CatalogueWire::from(&**record)),
            Record::Member(record) => self.to_envelope(MemberWire::from(record)),
            Record::Owner(record) => self.to_envelope(OwnerWire::from(record)),
            Record::Homes(record) => self.to_envelope(HomesWire::from(record)),
            Record::Power(record) => self.to_envelope(PowerWire::from(record)),
            Record::RelayRoot(record) => self.to_envelope(RelayRootWire::from(record)),
            Record::Once(record) => self.to_envelope(OnceWire::from(record)),
        }
    }

    /// Parses the value stored under `key`.
    ///
    /// # Errors
    ///
    /// The text isn't JSON, or doesn't fit the schema of the key.
    pub fn from_json(key: &Key, text: &[u8]) -> Result<Self, InvalidValue> {
        match key {
            Key::Document => from_envelope::<DocumentWire>(text),
            Key::Catalogue => from_envelope::<CatalogueWire>(text),
            Key::Member(_) => from_envelope::<MemberWire>(text),
            Key::Owner(_) => from_envelope::<OwnerWire>(text),
            Key::Homes(_) => from_envelope::<HomesWire>(text),
            Key::Power(_) => from_envelope::<PowerWire>(text),
            Key::RelayRoot(_) => from_envelope::<RelayRootWire>(text),
            Key::Once(_) => from_envelope::<OnceWire>(text),
        }
    }

    fn to_envelope<T: Serialize>(&self, value: T) -> String {
        let envelope = Envelope { writer: WriterWire::from(&self.writer), value };
        serde_json::to_string(&envelope).expect("names, numbers and texts always serialize as JSON")
    }
}

fn from_envelope<'de, T>(text: &'de [u8]) -> Result<StoredValue, InvalidValue>
where
    T: Deserialize<'de>,
    Record: TryFrom<T>,
    InvalidValue: From<<Record as TryFrom<T>>::Error>,
{
    let envelope: Envelope<T> = serde_json::from_slice(text)?;
    Ok(StoredValue { writer: envelope.writer.into(), record: Record::try_from(envelope.value)? })
}

impl From<std::convert::Infallible> for InvalidValue {
    fn from(never: std::convert::Infallible) -> Self {
        match never {}
    }
}

impl From<&Writer> for WriterWire {
    fn from(writer: &Writer) -> Self {
        Self { host: writer.host.clone(), incarnation: writer.incarnation, call: writer.call }
    }
}

impl From<WriterWire> for Writer {
    fn from(wire: WriterWire) -> Self {
        Self { host: wire.host, incarnation: wire.incarnation, call: wire.call }
    }
}

impl TryFrom<DocumentWire> for Record {
    type Error = InvalidDocument;

    fn try_from(wire: DocumentWire) -> Result<Self, Self::Error> {
        Ok(Self::Document(Arc::new(wire.try_into()?)))
    }
}

impl TryFrom<CatalogueWire> for Record {
    type Error = InvalidAccount;

    fn try_from(wire: CatalogueWire) -> Result<Self, Self::Error> {
        Ok(Self::Catalogue(Arc::new(wire.try_into()?)))
    }
}

impl From<&MemberRecord> for MemberWire {
    fn from(record: &MemberRecord) -> Self {
        Self {
            incarnation: record.incarnation,
            caller_address: record.caller_address,
            peer_address: record.peer_address,
            data_centre: record.data_centre.clone(),
            fingerprint: record.fingerprint.to_hex(),
            leaving: record.leaving,
            capacity: record.capacity,
        }
    }
}

impl TryFrom<MemberWire> for Record {
    type Error = InvalidDigest;

    fn try_from(wire: MemberWire) -> Result<Self, Self::Error> {
        Ok(Self::Member(MemberRecord {
            incarnation: wire.incarnation,
            caller_address: wire.caller_address,
            peer_address: wire.peer_address,
            data_centre: wire.data_centre,
            fingerprint: wire.fingerprint.parse()?,
            leaving: wire.leaving,
            capacity: wire.capacity,
        }))
    }
}

impl From<&OwnerRecord> for OwnerWire {
    fn from(record: &OwnerRecord) -> Self {
        Self { host: record.host.clone(), incarnation: record.incarnation, fence: record.fence }
    }
}

impl From<OwnerWire> for Record {
    fn from(wire: OwnerWire) -> Self {
        Self::Owner(OwnerRecord { host: wire.host, incarnation: wire.incarnation, fence: wire.fence })
    }
}

impl From<&HomesRecord> for HomesWire {
    fn from(record: &HomesRecord) -> Self {
        Self { engines: record.engines.clone(), left: record.evicted_from.clone() }
    }
}

impl From<HomesWire> for Record {
    fn from(wire: HomesWire) -> Self {
        Self::Homes(HomesRecord { engines: wire.engines, evicted_from: wire.left })
    }
}

impl From<&PowerRecord> for PowerWire {
    fn from(record: &PowerRecord) -> Self {
        Self { grants: record.grants.iter().map(|(engine, watts)| (engine.clone(), watts.0)).collect() }
    }
}

impl From<PowerWire> for Record {
    fn from(wire: PowerWire) -> Self {
        let grants = wire.grants.into_iter().map(|(engine, watts)| (engine, Watts(watts))).collect();
        Self::Power(PowerRecord { grants })
    }
}

impl From<&RelayRootRecord> for RelayRootWire {
    fn from(record: &RelayRootRecord) -> Self {
        Self { host: record.host.clone(), incarnation: record.incarnation, members: record.members }
    }
}

impl From<RelayRootWire> for Record {
    fn from(wire: RelayRootWire) -> Self {
        Self::RelayRoot(RelayRootRecord {
            host: wire.host,
            incarnation: wire.incarnation,
            members: wire.members,
        })
    }
}

impl From<&RecordedAnswer> for AnswerWire {
    fn from(answer: &RecordedAnswer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: BASE64_STANDARD.encode(&answer.body),
        }
    }
}

impl TryFrom<AnswerWire> for RecordedAnswer {
    type Error = base64::DecodeError;

    fn try_from(wire: AnswerWire) -> Result<Self, Self::Error> {
        let body = BASE64_STANDARD.decode(wire.body)?;
        Ok(Self { status: wire.status, content_type: wire.content_type, body })
    }
}

impl From<&OnceRecord> for OnceWire {
    fn from(record: &OnceRecord) -> Self {
        let state = match &record.state {
            OnceState::Claimed => OnceStateWire::Claimed,
            OnceState::Answered(answer) => OnceStateWire::Answered(answer.into()),
            OnceState::AnswerNotKept => OnceStateWire::AnswerNotKept,
        };
        Self {
            request: record.request.to_hex(),
            host: record.host.clone(),
            incarnation: record.incarnation,
            state,
        }
    }
}

impl TryFrom<OnceWire> for Record {
    type Error = InvalidValue;

    fn try_from(wire: OnceWire) -> Result<Self, Self::Error> {
        let state = match wire.state {
            OnceStateWire::Claimed => OnceState::Claimed,
            OnceStateWire::Answered(answer) => OnceState::Answered(answer.try_into()?),
            OnceStateWire::AnswerNotKept => OnceState::AnswerNotKept,
        };
        let request: Digest = wire.request.parse()?;
        Ok(Self::Once(OnceRecord { request, host: wire.host, incarnation: wire.incarnation, state }))
    }
}
