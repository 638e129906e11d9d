//! Leases: keys attached to one are deleted when it expires.

use serde::{Deserialize, Serialize};

use crate::etcd::{Int64, ResponseHeader};

/// Grants a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds unless renewed.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Identifies a lease to renew or revoke.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// The state of a lease; the answer to a renewal wraps it in `result`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The service's revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// The lease.
    #[serde(rename = "ID", default, skip_serializing_if = "Int64::is_zero")]
    pub id: Int64,
    /// Time to live in seconds; 0 if the lease no longer exists.
    #[serde(rename = "TTL", default, skip_serializing_if = "Int64::is_zero")]
    pub ttl: Int64,
}
