//! The hosts, upstreams and rules on which a trace was recorded.

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

/// How often the replay's processes get a tick; longer than live ones', to save time.
const TICK: Duration = Duration::from_millis(500);
/// The first port of the upstreams, which nobody listens on.
const FIRST_PORT: u16 = 9000;

/// A deployment as its file describes it.
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

/// What a trace runs on.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The entry hosts.
    pub hosts: Vec<HostSetup>,
    /// The engines and service replicas.
    pub upstreams: Vec<Upstream>,
    /// The operators' document.
    pub document: Document,
}

/// A file that describes no deployment.
#[derive(Debug, Display, Error, From)]
pub enum InvalidDeployment {
    /// It has another shape.
    #[display("the deployment's file can't be read: {_0}; see traces/README.md for its keys")]
    Shape(serde_json::Error),
    /// Its document is invalid.
    #[display("the deployment's document: {_0}")]
    Document(InvalidDocument),
}

impl Deployment {
    /// Reads a deployment.
    ///
    /// # Errors
    ///
    /// Names the place in the file and the remedy.
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

    /// Makes the world's setup with the operators' document of one policy.
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
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}
