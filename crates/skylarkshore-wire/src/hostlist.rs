//! The platform's list of upstreams.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{DataCentre, Incarnation, ServiceName, SiteName, UpstreamId};
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamKind, UpstreamStatus, WeightCopies,
};

/// Where the list is read.
pub const HOSTS_PATH: &str = "/hosts";

/// The body of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The upstreams that the platform knows.
    pub hosts: Vec<HostEntry>,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its name, never given to another.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The site whose power it draws.
    pub site: SiteName,
    /// What it is.
    #[serde(flatten)]
    pub kind: HostKind,
    /// Whether it may get new work.
    pub state: HostState,
}

/// What an upstream is, with what belongs to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum HostKind {
    /// A model engine.
    Engine {
        /// The accelerator memory in all.
        memory_mib: Mebibytes,
        /// What it draws with nothing loaded.
        sleep_watts: Watts,
        /// The most that it draws with anything loaded or loading.
        active_watts: Watts,
        /// Whether it refuses orders that carry an old fence.
        checks_fences: bool,
        /// How many requests it runs at a time.
        concurrency: u32,
    },
    /// A replica of a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// What the platform says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It may get new work.
    Live,
    /// It is about to go.
    Leaving,
}

/// A list that can't be read at all.
#[derive(Debug, Display, Error)]
#[display("the host list is no JSON object with a list named 'hosts': {source}; check its address")]
pub struct InvalidHostList {
    source: serde_json::Error,
}

/// An entry that can't be understood.
#[derive(Debug, Display, Error)]
#[display("entry {index} of the host list is left out: {source}; have the platform correct it")]
pub struct InvalidEntry {
    index: usize,
    source: serde_json::Error,
}

/// What was understood of a list.
#[derive(Debug, Default)]
pub struct CheckedHostList {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The entries that were left out.
    pub invalid: Vec<InvalidEntry>,
}

#[derive(Deserialize)]
struct RawHostList {
    hosts: Vec<serde_json::Value>,
}

impl TryFrom<&[u8]> for CheckedHostList {
    type Error = InvalidHostList;

    /// Reads a list; an entry that can't be understood doesn't hide the others.
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
