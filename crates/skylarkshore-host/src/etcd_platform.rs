//! The product's own platform: an etcd v3 JSON gateway, a host list, and engines that report finished orders.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::id::{HostId, Incarnation};

use crate::callers;
use crate::config::{Config, EtcdSettings};
use crate::engines::{EngineProtocol, NativeEngines};
use crate::env::Env;
use crate::error::Error;
use crate::exchange::Exchange;
use crate::host_list;
use crate::platform::Platform;
use crate::server::RunningServer;
use crate::store::{EtcdStore, Store};
use crate::upstreams::{NativeUpstreams, UpstreamProtocol};

/// The product's own platform.
#[derive(Clone, Debug)]
pub(crate) struct EtcdPlatform {
    settings: EtcdSettings,
    host: HostId,
    incarnation: Incarnation,
    store_timeout: Duration,
}

impl EtcdPlatform {
    pub(crate) fn new(config: &Config, settings: EtcdSettings, incarnation: Incarnation) -> Self {
        let (host, store_timeout) = (config.host.clone(), config.timings.store_timeout);
        Self { settings, host, incarnation, store_timeout }
    }
}

impl Platform for EtcdPlatform {
    fn store(&self, env: &Env) -> Arc<dyn Store> {
        Arc::new(EtcdStore::new(
            self.settings.store_endpoints.clone(),
            self.store_timeout,
            Arc::clone(&env.metrics),
            env.log.clone(),
        ))
    }

    fn follow_upstreams(&self, env: &Env) {
        tokio::spawn(host_list::poll(self.settings.hosts_url.clone(), env.inbox.clone(), env.log.clone()));
    }

    fn engines(&self, env: &Env) -> Arc<dyn EngineProtocol> {
        Arc::new(NativeEngines::new(env.clock, env.log.clone()))
    }

    fn upstreams(&self, _env: &Env) -> Arc<dyn UpstreamProtocol> {
        Arc::new(NativeUpstreams::new(&self.host, self.incarnation))
    }

    fn serve(&self, exchange: Exchange, callers: TcpListener) -> Result<Vec<RunningServer>, Error> {
        let server = callers::serve(exchange, callers).map_err(|source| Error::Runtime { source })?;
        Ok(vec![server])
    }
}
