//! A complete deployment of stand-ins in one process. Start with [`Fleet`].

use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use skylarkshore_core::id::{DataCentre, InvalidName, ServiceName, SiteName, UpstreamId};
use skylarkshore_core::units::{Mebibytes, Watts};

use crate::census::Census;
use crate::engine::{Engine, EngineSettings};
use crate::hosts::HostListServer;
use crate::http::{Server, json, unknown};
use crate::service::{Service, ServiceSettings};
use crate::store::Store;
use crate::weights::{WeightStore, WeightStoreLimits};

/// Path that serves the counts.
pub const CENSUS_PATH: &str = "/standin/census";

/// Size and speed of a deployment.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Data centres, to which upstreams are assigned round-robin.
    pub data_centres: Vec<DataCentre>,
    /// Site of all upstreams.
    pub site: SiteName,
    /// Number of engines.
    pub engines: u32,
    /// Accelerator memory of each engine.
    pub memory: Mebibytes,
    /// Whether engines refuse orders with an outdated fence.
    pub checks_fences: bool,
    /// Number of requests that an engine runs concurrently.
    pub concurrency: u32,
    /// Time to generate a token.
    pub token_time: Duration,
    /// Name of the plain service.
    pub service: ServiceName,
    /// Number of replicas of the plain service.
    pub service_replicas: u32,
    /// Delay until a change appears on the host list.
    pub host_list_lag: Duration,
    /// Limits of the weight store.
    pub weights: WeightStoreLimits,
    /// Address of the key-value service; port 0 selects a free port.
    pub store_address: SocketAddr,
    /// Address of the host list; port 0 selects a free port.
    pub host_list_address: SocketAddr,
}

/// Returns the loopback address with port 0, which selects any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl FleetSettings {
    /// Returns settings for a small deployment in three data centres.
    ///
    /// # Errors
    ///
    /// Returns an error if a name isn't valid.
    pub fn small(engines: u32, service_replicas: u32) -> Result<Self, InvalidName> {
        let data_centres = ["bern-a", "olten-b", "aarau-c"].iter().map(|name| name.parse());
        Ok(Self {
            data_centres: data_centres.collect::<Result<_, _>>()?,
            site: "lagerraum".parse()?,
            engines,
            memory: Mebibytes(80 * 1024),
            checks_fences: true,
            concurrency: 8,
            token_time: Duration::from_millis(5),
            service: "marketplace".parse()?,
            service_replicas,
            host_list_lag: Duration::from_millis(200),
            weights: WeightStoreLimits::default(),
            store_address: any_port(),
            host_list_address: any_port(),
        })
    }

    fn data_centre(&self, index: u32) -> DataCentre {
        self.data_centres[index as usize % self.data_centres.len()].clone()
    }

    fn engine(&self, index: u32) -> io::Result<EngineSettings> {
        Ok(EngineSettings {
            id: upstream_id("engine", index)?,
            data_centre: self.data_centre(index),
            site: self.site.clone(),
            memory: self.memory,
            sleep_watts: Watts(60),
            active_watts: Watts(700),
            checks_fences: self.checks_fences,
            concurrency: self.concurrency,
            token_time: self.token_time,
            lag: Duration::from_millis(200),
            restart_time: Duration::from_millis(500),
        })
    }

    fn replica(&self, index: u32) -> io::Result<ServiceSettings> {
        Ok(ServiceSettings {
            id: upstream_id(self.service.as_str(), index)?,
            service: self.service.clone(),
            data_centre: self.data_centre(index),
            site: self.site.clone(),
        })
    }
}

fn upstream_id(kind: &str, index: u32) -> io::Result<UpstreamId> {
    format!("{kind}-{}", index + 1).parse().map_err(io::Error::other)
}

/// A running deployment, stopped when dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The key-value service.
    pub store: Store,
    /// The host list.
    pub hosts: HostListServer,
    /// The weight store.
    pub weights: Arc<WeightStore>,
    /// Model engines.
    pub engines: Vec<Engine>,
    /// Replicas of the plain service.
    pub services: Vec<Service>,
    /// Counters shared by all parts.
    pub census: Arc<Census>,
}

impl Fleet {
    /// Starts all parts of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if a port is taken.
    pub async fn start(settings: &FleetSettings) -> io::Result<Self> {
        let store = Store::start(settings.store_address).await?;
        let hosts = HostListServer::start(settings.host_list_address, settings.host_list_lag).await?;
        let weights = Arc::new(WeightStore::new(settings.weights));
        let census = Arc::new(Census::default());
        let mut engines = Vec::new();
        for index in 0..settings.engines {
            let engine =
                Engine::start(settings.engine(index)?, Arc::clone(&weights), Arc::clone(&census)).await?;
            hosts.put(engine.host_entry());
            engines.push(engine);
        }
        let mut services = Vec::new();
        for index in 0..settings.service_replicas {
            let service = Service::start(settings.replica(index)?, Arc::clone(&census)).await?;
            hosts.put(service.host_entry());
            services.push(service);
        }
        Ok(Self { store, hosts, weights, engines, services, census })
    }

    /// Serves the counts under [`CENSUS_PATH`].
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn serve_census(&self) -> io::Result<Server> {
        let census = Arc::clone(&self.census);
        let answer = move |req: Request<Bytes>| match req.uri().path() {
            CENSUS_PATH => ready(Ok(json(StatusCode::OK, &census.counts()))),
            path => ready(Ok(unknown(req.method(), path))),
        };
        Server::start(any_port(), answer).await
    }

    /// Returns the engine with this name.
    pub fn engine(&self, id: &str) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.id().as_str() == id)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for engine in &self.engines {
            engine.stop();
        }
    }
}
