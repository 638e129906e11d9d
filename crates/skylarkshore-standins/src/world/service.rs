//! Simulated replica of a plain service.

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{Incarnation, ServiceName, SoftwareVersion, UpstreamId};
use skylarkshore_core::upstream::Upstream;

use super::engine::Run;
use super::schedule::RunId;

/// A replica of a plain service.
#[derive(Debug)]
pub(crate) struct ServiceReplica {
    pub(crate) id: UpstreamId,
    pub(crate) service: ServiceName,
    pub(crate) runs: OrderedMap<RunId, Run>,
    /// Whether the replica runs.
    pub(crate) up: bool,
    /// Whether it has gone silent: it neither answers nor ends a connection.
    pub(crate) is_silent: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) software: Option<SoftwareVersion>,
    /// The software with which it starts the next time.
    pub(crate) next_software: Option<SoftwareVersion>,
}

impl ServiceReplica {
    pub(crate) fn new(upstream: &Upstream) -> Option<Self> {
        let service = upstream.service()?.clone();
        Some(Self {
            id: upstream.id.clone(),
            service,
            runs: OrderedMap::new(),
            up: true,
            is_silent: false,
            incarnation: upstream.incarnation,
            software: upstream.software.clone(),
            next_software: upstream.software.clone(),
        })
    }

    /// Ends the replica; returns the runs that it took with it.
    pub(crate) fn crash(&mut self) -> Vec<Run> {
        self.up = false;
        self.is_silent = false;
        std::mem::take(&mut self.runs).into_values().collect()
    }

    pub(crate) fn restart(&mut self) {
        self.up = true;
        self.incarnation = self.incarnation.next();
        self.software.clone_from(&self.next_software);
    }
}
