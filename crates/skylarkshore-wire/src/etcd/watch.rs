//! Watches: streams of changes to a range of keys.

use serde::{Deserialize, Serialize};

use crate::etcd::{Bytes64, Int64, KeyValue, ResponseHeader};

/// Starts a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The watched range and options.
    pub create_request: WatchCreateRequest,
}

/// The watched range and options.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Bytes64,
    /// Exclusive end of the range; empty to select only the first key.
    #[serde(default, skip_serializing_if = "Bytes64::is_empty")]
    pub range_end: Bytes64,
    /// First revision to report; 0 for future changes only.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub start_revision: Int64,
    /// Whether the service also reports its revision periodically when nothing changes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub progress_notify: bool,
}

/// One item of a streamed answer, on a line of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The item.
    pub result: T,
}

/// An item of a watch stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision of the service; all changes up to it have been reported.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether this is the first item, which confirms that the watch was created.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether this is the last item.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// Oldest revision that can still be watched, if the requested one was compacted.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub compact_revision: Int64,
    /// The changes in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchEventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted, or its lease expired.
    Delete,
}

impl WatchEventKind {
    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes the field by reference")]
    const fn is_put(&self) -> bool {
        matches!(self, Self::Put)
    }
}

/// A change of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Kind of the change; omitted for a write.
    #[serde(rename = "type", default, skip_serializing_if = "WatchEventKind::is_put")]
    pub kind: WatchEventKind,
    /// The key; after a deletion it has no value and the revision of the deletion.
    pub kv: KeyValue,
}
