//! A replica of a plain service in memory.

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{ServiceName, UpstreamId};
use skylarkshore_core::upstream::Upstream;

use super::agenda::RunId;
use super::engine::Run;

/// A replica of a plain service.
#[derive(Debug)]
pub(crate) struct ServiceReplica {
    pub(crate) id: UpstreamId,
    pub(crate) service: ServiceName,
    pub(crate) runs: OrderedMap<RunId, Run>,
}

impl ServiceReplica {
    pub(crate) fn new(upstream: &Upstream) -> Option<Self> {
        let service = upstream.service()?.clone();
        Some(Self { id: upstream.id.clone(), service, runs: OrderedMap::new() })
    }
}
