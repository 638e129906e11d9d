//! Leases, with which keys vanish.

use serde::{Deserialize, Serialize};

use crate::etcd::{Int64, ResponseHeader};

/// Begins a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// How many seconds it lives without being renewed.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Names a lease, to renew or to end it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// How a lease stands; renewing answers with one under `result`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The service's revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// The lease.
    #[serde(rename = "ID", default, skip_serializing_if = "Int64::is_zero")]
    pub id: Int64,
    /// How many seconds it lives; 0 when there is no such lease any more.
    #[serde(rename = "TTL", default, skip_serializing_if = "Int64::is_zero")]
    pub ttl: Int64,
}
