//! The bodies of the etcd v3 JSON gateway, as far as they are used.
//!
//! Keys and values are base64, 64-bit numbers are decimal text, and fields
//! that are zero or empty are left out.

mod lease;
mod watch;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use derive_more::{Display, From};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub use lease::{LeaseGrantRequest, LeaseRequest, LeaseResponse};
pub use watch::{Streamed, WatchCreateRequest, WatchEvent, WatchEventKind, WatchRequest, WatchResponse};

/// Where keys are read.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Where keys are compared and written.
pub const TXN_PATH: &str = "/v3/kv/txn";
/// Where a lease is begun.
pub const LEASE_GRANT_PATH: &str = "/v3/lease/grant";
/// Where a lease is renewed.
pub const LEASE_KEEPALIVE_PATH: &str = "/v3/lease/keepalive";
/// Where a lease is ended.
pub const LEASE_REVOKE_PATH: &str = "/v3/lease/revoke";
/// Where changes are watched.
pub const WATCH_PATH: &str = "/v3/watch";

/// A 64-bit number, written as decimal text.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Int64(pub u64);

impl Int64 {
    /// Tells whether the number is zero, and so left out.
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
        enum Raw {
            Text(String),
            Number(u64),
        }
        match Raw::deserialize(deserializer)? {
            Raw::Number(number) => Ok(Self(number)),
            Raw::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// Bytes, written as base64.
#[derive(Clone, Debug, Default, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes64(pub Vec<u8>);

impl Bytes64 {
    /// Tells whether there are no bytes, which are left out.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the end of the range of all keys that begin with these bytes.
    ///
    /// The empty prefix and one of nothing but the highest byte end at a single
    /// zero byte, which stands for the end of all keys.
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

/// What every answer begins with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// The service's revision when it answered.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub revision: Int64,
}

/// A key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes64,
    /// The revision that created it.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub create_revision: Int64,
    /// The revision of its last change.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub mod_revision: Int64,
    /// How often it was written since it was created.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub version: Int64,
    /// The value.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub value: Bytes64,
    /// The lease with which it vanishes, or 0.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// Reads keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes64,
    /// The key after the last one; empty for the first key alone.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub range_end: Bytes64,
    /// The most keys to return; 0 for all.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub limit: Int64,
    /// Whether a lagging member may answer from an old state.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub serializable: bool,
}

/// The answer to [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The service's revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// The keys found, in their order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit left keys out.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
    /// How many keys lie in the range.
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
    /// The lease with which it vanishes, or 0.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// Deletes keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Bytes64,
    /// The key after the last one; empty for the first key alone.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub range_end: Bytes64,
}

/// The answer to a write or deletion inside a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The service's revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// How many keys were deleted.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub deleted: Int64,
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// How often the key was written; 0 when absent.
    Version,
    /// The revision that created the key; 0 when absent.
    Create,
    /// The revision of the key's last change; 0 when absent.
    Mod,
}

/// How a comparison compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// The key's number is greater.
    Greater,
    /// The key's number is less.
    Less,
    /// Not equal.
    NotEqual,
}

/// A comparison on which a transaction depends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: Bytes64,
    /// What is looked at.
    pub target: CompareTarget,
    /// How it is compared.
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
    /// Holds when the key was last changed at `revision`; 0 stands for an absent key.
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

/// One step of a transaction.
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

/// Does the steps of one list or the other, all at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// What must hold for `success` to be done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub compare: Vec<Compare>,
    /// Done when every comparison holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub success: Vec<RequestOp>,
    /// Done otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failure: Vec<RequestOp>,
}

/// The answer to one step of a transaction.
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
    /// The service's revision, which is that of the writes.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether every comparison held.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// One answer for each step that was done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// The body of a failed call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What is wrong.
    #[serde(default)]
    pub message: String,
    /// The gRPC status code.
    #[serde(default)]
    pub code: u32,
}

impl ErrorResponse {
    /// The gRPC status code for what doesn't exist, such as a lease that has ended.
    pub const NOT_FOUND: u32 = 5;
}
