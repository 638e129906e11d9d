//! The traits behind which platforms differ. Start with [`Platform`].

use std::net::TcpListener;
use std::sync::Arc;

use crate::engines::EngineProtocol;
use crate::env::Env;
use crate::exchange::Exchange;
use crate::server::RunningServer;
use crate::store::Store;
use crate::upstreams::UpstreamProtocol;

/// A platform on which entry hosts run.
///
/// It provides access to the key-value service, the list of upstreams, engines,
/// plain services and callers; the core makes all decisions.
pub trait Platform: Send + Sync {
    /// Creates the client of the key-value service.
    fn store(&self, env: &Env) -> Arc<dyn Store>;

    /// Starts sending the list of upstreams to the core, unless the store's watch does.
    fn follow_upstreams(&self, env: &Env);

    /// Creates the protocol for engines.
    fn engines(&self, env: &Env) -> Arc<dyn EngineProtocol>;

    /// Creates the protocol for requests to upstreams.
    fn upstreams(&self, env: &Env) -> Arc<dyn UpstreamProtocol>;

    /// Starts serving callers on a listener, and the other servers that the platform requires.
    ///
    /// # Errors
    ///
    /// The system can't start threads, or an address is in use.
    fn serve(
        &self,
        exchange: Exchange,
        callers: TcpListener,
    ) -> Result<Vec<RunningServer>, crate::error::Error>;
}
