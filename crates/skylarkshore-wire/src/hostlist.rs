//! The platform's list of upstreams; start with [`HostList`] and [`CheckedHostList`].

use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{DataCentre, Incarnation, ServiceName, SiteName, SoftwareVersion, UpstreamId};
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamKind, UpstreamStatus, WeightCopies,
};

/// Path of the list.
pub const HOSTS_PATH: &str = "/hosts";

/// The body of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The upstreams known to the platform.
    pub hosts: Vec<HostEntry>,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique id, never reused.
    pub id: UpstreamId,
    /// Listening address.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Site whose power cap applies.
    pub site: SiteName,
    /// Kind of the upstream.
    #[serde(flatten)]
    pub kind: HostKind,
    /// Whether it may receive new requests.
    pub state: HostState,
    /// Version of its software; streams go on only at the version that began them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// Kind of an upstream with its properties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum HostKind {
    /// A model engine.
    Engine {
        /// Total accelerator memory.
        memory_mib: Mebibytes,
        /// Power draw with no model loaded.
        sleep_watts: Watts,
        /// Maximum power draw with a model loaded or loading.
        active_watts: Watts,
        /// Whether it refuses orders with an outdated fence.
        checks_fences: bool,
        /// Number of requests that it runs concurrently.
        concurrency: u32,
    },
    /// A replica of a service other than a model.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// State of an upstream according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It may receive new requests.
    Live,
    /// It is shutting down.
    Leaving,
}

/// The list as a whole can't be parsed.
#[derive(Debug, Display, Error)]
#[display("the host list is not a JSON object with an array 'hosts': {source}; check its address")]
pub struct InvalidHostList {
    source: serde_json::Error,
}

/// An entry of the list can't be parsed.
#[derive(Debug, Display, Error)]
#[display("entry {index} of the host list is ignored: {source}; correct the entry in the platform")]
pub struct InvalidEntry {
    index: usize,
    source: serde_json::Error,
}

/// A parsed list.
#[derive(Debug, Default)]
pub struct CheckedHostList {
    /// Upstreams from valid entries.
    pub upstreams: Vec<Upstream>,
    /// Entries that were skipped.
    pub invalid: Vec<InvalidEntry>,
}

#[derive(Deserialize)]
struct RawHostList {
    hosts: Vec<serde_json::Value>,
}

impl TryFrom<&[u8]> for CheckedHostList {
    type Error = InvalidHostList;

    /// Parses a list; invalid entries are collected and don't affect the others.
    fn try_from(body: &[u8]) -> Result<Self, Self::Error> {
        let raw: RawHostList = serde_json::from_slice(body).map_err(|source| InvalidHostList { source })?;
        let mut list = Self::default();
        for (index, value) in raw.hosts.into_iter().enumerate() {
            match serde_json::from_value::<HostEntry>(value) {
                Ok(entry) => list.upstreams.push(entry.into()),
                Err(source) => list.invalid.push(InvalidEntry { index, source }),
            }
        }
        Ok(list)
    }
}

impl From<HostEntry> for Upstream {
    fn from(entry: HostEntry) -> Self {
        Self {
            id: entry.id,
            address: entry.address,
            data_centre: entry.data_centre,
            site: entry.site,
            kind: entry.kind.into(),
            status: entry.state.into(),
            incarnation: Incarnation::default(),
            software: entry.software,
            concurrency: None,
            holds: Vec::new(),
            copies: WeightCopies::default(),
        }
    }
}

impl From<HostKind> for UpstreamKind {
    fn from(kind: HostKind) -> Self {
        match kind {
            HostKind::Engine { memory_mib, sleep_watts, active_watts, checks_fences, concurrency } => {
                let fence_check = if checks_fences { FenceCheck::Refuses } else { FenceCheck::Ignores };
                Self::Engine(EngineSpec {
                    memory: memory_mib,
                    sleep_watts,
                    active_watts,
                    fence_check,
                    concurrency,
                    order_mode: OrderMode::Parallel,
                    pool: None,
                    adapter_slots: None,
                })
            }
            HostKind::Service { service } => Self::Service(service),
        }
    }
}

impl From<HostState> for UpstreamStatus {
    fn from(state: HostState) -> Self {
        match state {
            HostState::Live => Self::Live,
            HostState::Leaving => Self::Leaving,
        }
    }
}
