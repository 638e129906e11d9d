//! What differs from one platform to another, behind traits.

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
/// It says how the key-value service, the list of upstreams, engines, plain
/// services and callers are met; all decisions are the core's.
pub trait Platform: Send + Sync {
    /// Returns the client of the key-value service.
    fn store(&self, env: &Env) -> Arc<dyn Store>;

    /// Begins to tell the core of the upstreams, where the store's watch doesn't.
    fn follow_upstreams(&self, env: &Env);

    /// Returns how engines take orders and tell how they stand.
    fn engines(&self, env: &Env) -> Arc<dyn EngineProtocol>;

    /// Returns how requests are sent to upstreams.
    fn upstreams(&self, env: &Env) -> Arc<dyn UpstreamProtocol>;

    /// Begins to serve callers on a listener, and whatever else the platform asks of an entry host.
    ///
    /// # Errors
    ///
    /// The system gives no threads, or an address is taken.
    fn serve(
        &self,
        exchange: Exchange,
        callers: TcpListener,
    ) -> Result<Vec<RunningServer>, crate::error::Error>;
}
