//! The subset of the etcd v3 JSON gateway that the system uses.
//!
//! Keys and values are base64, 64-bit numbers are decimal strings, and fields
//! that are zero or empty are omitted. Start with [`TxnRequest`] and [`RangeRequest`].

mod lease;
mod watch;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use derive_more::{Display, From};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub use lease::{LeaseGrantRequest, LeaseRequest, LeaseResponse};
pub use watch::{Streamed, WatchCreateRequest, WatchEvent, WatchEventKind, WatchRequest, WatchResponse};

/// Path for reading keys.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Path for transactions.
pub const TXN_PATH: &str = "/v3/kv/txn";
/// Path for granting a lease.
pub const LEASE_GRANT_PATH: &str = "/v3/lease/grant";
/// Path for renewing a lease.
pub const LEASE_KEEPALIVE_PATH: &str = "/v3/lease/keepalive";
/// Path for revoking a lease.
pub const LEASE_REVOKE_PATH: &str = "/v3/lease/revoke";
/// Path for watching changes.
pub const WATCH_PATH: &str = "/v3/watch";

/// A 64-bit number, serialized as a decimal string.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Int64(pub u64);

impl Int64 {
    /// Reports whether the number is zero and therefore omitted.
    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes the field by reference")]
    const fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum StringOrNumber {
            Text(String),
            Number(u64),
        }
        match StringOrNumber::deserialize(deserializer)? {
            StringOrNumber::Number(number) => Ok(Self(number)),
            StringOrNumber::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// Bytes, serialized as base64.
#[derive(Clone, Debug, Default, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes64(pub Vec<u8>);

impl Bytes64 {
    /// Reports whether there are no bytes.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the exclusive end of the range of all keys with this prefix.
    ///
    /// For an empty prefix or one of only `0xff` bytes this is a single zero
    /// byte, which etcd treats as the end of the key space.
    #[must_use]
    pub fn prefix_end(&self) -> Self {
        let mut end = self.0.clone();
        while let Some(last) = end.pop() {
            if last < u8::MAX {
                end.push(last + 1);
                return Self(end);
            }
        }
        Self(vec![0])
    }
}

impl From<&str> for Bytes64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Bytes64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

/// The common header of all answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// Revision of the service at the time of the answer.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub revision: Int64,
}

/// A key with its value and metadata.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes64,
    /// Revision at which the key was created.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub create_revision: Int64,
    /// Revision of its last change.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub mod_revision: Int64,
    /// Number of writes since the key was created.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub version: Int64,
    /// The value.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub value: Bytes64,
    /// Lease that the key is attached to, or 0.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// Reads keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes64,
    /// Exclusive end of the range; empty to select only the first key.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub range_end: Bytes64,
    /// Maximum number of keys to return; 0 for all.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub limit: Int64,
    /// Whether a member may answer from possibly stale data.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub serializable: bool,
}

/// The answer to [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The service's revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// The keys found, in key order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut off the result.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
    /// Number of keys in the range.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub count: Int64,
}

/// Writes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes64,
    /// The value.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub value: Bytes64,
    /// Lease that the key is attached to, or 0.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// Deletes keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Bytes64,
    /// Exclusive end of the range; empty to select only the first key.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub range_end: Bytes64,
}

/// The answer to a write or deletion inside a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The service's revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Number of deleted keys.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub deleted: Int64,
}

/// The attribute that a comparison checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// Number of writes to the key; 0 if absent.
    Version,
    /// Revision at which the key was created; 0 if absent.
    Create,
    /// Revision of the key's last change; 0 if absent.
    Mod,
}

/// The operator of a comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// The key's attribute is greater.
    Greater,
    /// The key's attribute is less.
    Less,
    /// Not equal.
    NotEqual,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: Bytes64,
    /// The attribute to compare.
    pub target: CompareTarget,
    /// The operator.
    #[serde(default)]
    pub result: CompareResult,
    /// The number to compare with, for [`CompareTarget::Version`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Int64>,
    /// The number to compare with, for [`CompareTarget::Create`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int64>,
    /// The number to compare with, for [`CompareTarget::Mod`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int64>,
}

impl Compare {
    /// Requires that the key was last changed at `revision`, or doesn't exist if that is 0.
    pub fn unchanged_since(key: Bytes64, revision: u64) -> Self {
        Self {
            key,
            target: CompareTarget::Mod,
            result: CompareResult::Equal,
            version: None,
            create_revision: None,
            mod_revision: Some(Int64(revision)),
        }
    }
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOp {
    /// Read keys.
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    /// Write a key.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// Delete keys.
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRangeRequest),
}

/// Executes one of two lists of operations atomically, at a single revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Preconditions; `success` runs if all of them hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub compare: Vec<Compare>,
    /// Operations to run if every comparison holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub success: Vec<RequestOp>,
    /// Operations to run otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failure: Vec<RequestOp>,
}

/// The answer to one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseOp {
    /// To [`RequestOp::Range`].
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// To [`RequestOp::Put`].
    #[serde(rename = "response_put")]
    Put(WriteResponse),
    /// To [`RequestOp::DeleteRange`].
    #[serde(rename = "response_delete_range")]
    DeleteRange(WriteResponse),
}

/// The answer to [`TxnRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The service's revision; writes of the transaction have this revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether every comparison held.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// One answer per executed operation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// The body of a failed call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Error message.
    #[serde(default)]
    pub message: String,
    /// The gRPC status code.
    #[serde(default)]
    pub code: u32,
}

impl ErrorResponse {
    /// The gRPC status code for an object that doesn't exist, such as an expired lease.
    pub const NOT_FOUND: u32 = 5;
}
