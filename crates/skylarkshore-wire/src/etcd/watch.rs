//! Watches, which stream changes.

use serde::{Deserialize, Serialize};

use crate::etcd::{Bytes64, Int64, KeyValue, ResponseHeader};

/// Begins a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// What to watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Bytes64,
    /// The key after the last one; empty for the first key alone.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub range_end: Bytes64,
    /// The first revision to be told of; 0 for what is yet to come.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub start_revision: Int64,
    /// Whether to be told the revision now and then when nothing changes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub progress_notify: bool,
}

/// One part of a streamed answer, on a line of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The part.
    pub result: T,
}

/// News of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The service's revision; nothing up to it is missing.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether this is the first part, which tells that the watch stands.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether this is the last part.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// The first revision that can still be watched, where the asked one can't.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub compact_revision: Int64,
    /// The changes, in their order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// What happened to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchEventKind {
    /// It was written.
    #[default]
    Put,
    /// It was deleted, or its lease ended.
    Delete,
}

impl WatchEventKind {
    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes the field by reference")]
    const fn is_put(&self) -> bool {
        matches!(self, Self::Put)
    }
}

/// A change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// What happened; left out for a write.
    #[serde(rename = "type", default, skip_serializing_if = "WatchEventKind::is_put")]
    pub kind: WatchEventKind,
    /// The key; after a deletion it has no value, and the revision is the deletion's.
    pub kv: KeyValue,
}
