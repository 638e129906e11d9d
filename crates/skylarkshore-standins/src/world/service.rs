//! Simulated replica of a plain service.

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{ServiceName, UpstreamId};
use skylarkshore_core::upstream::Upstream;

use super::engine::Run;
use super::schedule::RunId;

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
