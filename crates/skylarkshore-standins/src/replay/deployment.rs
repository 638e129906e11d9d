//! The deployment file of a trace: its hosts, upstreams and rules.

use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::Deserialize;
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::config::{Limits, Timings};
use skylarkshore_core::id::{DataCentre, HostId, Incarnation, ServiceName, SiteName, UpstreamId};
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamKind, UpstreamStatus, WeightCopies,
};
use skylarkshore_wire::document::{DocumentWire, InvalidDocument};

use crate::world::{HostSetup, Setup};

/// The tick interval of replayed processes; longer than in production, to speed up the replay.
const TICK: Duration = Duration::from_millis(500);
/// The first port of the upstreams' addresses; no socket is opened on them.
const FIRST_PORT: u16 = 9000;

/// The JSON form of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DeploymentWire {
    hosts: Vec<HostWire>,
    engines: Vec<EngineWire>,
    replicas: Vec<ReplicaWire>,
    site: SiteName,
    document: DocumentWire,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostWire {
    name: HostId,
    data_centre: DataCentre,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineWire {
    name: UpstreamId,
    data_centre: DataCentre,
    memory_mib: u64,
    sleep_watts: u64,
    active_watts: u64,
    concurrency: u32,
    refuses_old_fences: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplicaWire {
    name: UpstreamId,
    data_centre: DataCentre,
    service: ServiceName,
}

/// The hosts, upstreams and rules that a trace is replayed on.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The entry hosts.
    pub hosts: Vec<HostSetup>,
    /// The engines and service replicas.
    pub upstreams: Vec<Upstream>,
    /// The operators' document.
    pub document: Document,
}

/// A deployment file that can't be parsed.
#[derive(Debug, Display, Error, From)]
pub enum InvalidDeployment {
    /// The JSON is malformed or has missing or unknown keys.
    #[display("the deployment's file can't be read: {_0}; see traces/README.md for its keys")]
    Shape(serde_json::Error),
    /// The operators' document is invalid.
    #[display("the deployment's document: {_0}")]
    Document(InvalidDocument),
}

impl Deployment {
    /// Parses a deployment file.
    ///
    /// # Errors
    ///
    /// Returns the position in the file and the remedy if the text is invalid.
    pub fn parse(text: &str) -> Result<Self, InvalidDeployment> {
        let wire: DeploymentWire = serde_json::from_str(text)?;
        let site = wire.site;
        let engines = wire.engines.into_iter().map(|engine| engine.into_upstream(&site));
        let replicas = wire.replicas.into_iter().map(|replica| replica.into_upstream(&site));
        let mut upstreams: Vec<Upstream> = engines.chain(replicas).collect();
        for (upstream, port) in upstreams.iter_mut().zip(FIRST_PORT..) {
            upstream.address.set_port(port);
        }
        let hosts = wire.hosts.into_iter().map(|h| HostSetup { host: h.name, data_centre: h.data_centre });
        Ok(Self { hosts: hosts.collect(), upstreams, document: wire.document.try_into()? })
    }

    /// Returns the simulation's setup with the given operators' document.
    pub fn setup(&self, document: Document, seed: u64) -> Setup {
        Setup {
            hosts: self.hosts.clone(),
            upstreams: self.upstreams.clone(),
            document,
            seed,
            tick: TICK,
            timings: Timings::default(),
            limits: Limits::default(),
        }
    }
}

impl EngineWire {
    fn into_upstream(self, site: &SiteName) -> Upstream {
        let spec = EngineSpec {
            memory: Mebibytes(self.memory_mib),
            sleep_watts: Watts(self.sleep_watts),
            active_watts: Watts(self.active_watts),
            fence_check: if self.refuses_old_fences { FenceCheck::Refuses } else { FenceCheck::Ignores },
            concurrency: self.concurrency,
            order_mode: OrderMode::Parallel,
            pool: None,
            adapter_slots: None,
        };
        upstream(self.name, self.data_centre, site, UpstreamKind::Engine(spec))
    }
}

impl ReplicaWire {
    fn into_upstream(self, site: &SiteName) -> Upstream {
        upstream(self.name, self.data_centre, site, UpstreamKind::Service(self.service))
    }
}

fn upstream(id: UpstreamId, data_centre: DataCentre, site: &SiteName, kind: UpstreamKind) -> Upstream {
    let address = ([127, 0, 0, 1], FIRST_PORT).into();
    Upstream {
        id,
        address,
        data_centre,
        site: site.clone(),
        kind,
        status: UpstreamStatus::Live,
        incarnation: Incarnation::default(),
        software: None,
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}
