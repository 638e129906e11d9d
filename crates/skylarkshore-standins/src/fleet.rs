//! A whole deployment of stand-ins in one process.

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

/// Where the counts are served.
pub const CENSUS_PATH: &str = "/standin/census";

/// How large a deployment is and how fast its parts work.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The data centres, over which the upstreams are spread in turn.
    pub data_centres: Vec<DataCentre>,
    /// The site to which they all belong.
    pub site: SiteName,
    /// How many engines there are.
    pub engines: u32,
    /// The engines' memory.
    pub memory: Mebibytes,
    /// Whether the engines refuse orders under an old fence.
    pub checks_fences: bool,
    /// How many requests an engine runs at a time.
    pub concurrency: u32,
    /// How long a token takes.
    pub token_time: Duration,
    /// The plain service.
    pub service: ServiceName,
    /// How many replicas of it there are.
    pub service_replicas: u32,
    /// How late the host list is.
    pub host_list_lag: Duration,
    /// What the weight store allows.
    pub weights: WeightStoreLimits,
    /// Where the key-value service listens; port 0 for any free one.
    pub store_address: SocketAddr,
    /// Where the host list is served; port 0 for any free one.
    pub host_list_address: SocketAddr,
}

/// Any free loopback port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl FleetSettings {
    /// Makes a small deployment in three data centres.
    ///
    /// # Errors
    ///
    /// A name isn't valid.
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

/// A running deployment; everything ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The key-value service.
    pub store: Store,
    /// The host list.
    pub hosts: HostListServer,
    /// The weight store.
    pub weights: Arc<WeightStore>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The replicas of the plain service.
    pub services: Vec<Service>,
    /// What is counted over all of them.
    pub census: Arc<Census>,
}

impl Fleet {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// A port is taken.
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
    /// No port is free.
    pub async fn serve_census(&self) -> io::Result<Server> {
        let census = Arc::clone(&self.census);
        let answer = move |req: Request<Bytes>| match req.uri().path() {
            CENSUS_PATH => ready(Ok(json(StatusCode::OK, &census.counts()))),
            path => ready(Ok(unknown(req.method(), path))),
        };
        Server::start(any_port(), answer).await
    }

    /// Returns the engine of that name.
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
