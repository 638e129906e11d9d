//! The way to an upstream. Start with [`UpstreamPath`].

use derive_more::{Display, Error, From};
use skylarkshore_core::id::HostId;
use skylarkshore_core::upstream::Upstream;

use crate::call_error::CallError;
use crate::peers::{Peers, TunnelError};
use crate::pool::Connection;

/// Why no connection to an upstream is opened.
#[derive(Debug, Display, Error, From)]
pub enum PathError {
    /// The upstream can't be reached this way.
    #[display("{_0}")]
    Unreachable(CallError),
    /// The peer relays nothing, or can't be reached.
    #[display("{peer} doesn't relay connections")]
    #[from(skip)]
    NoPath {
        /// The peer.
        peer: HostId,
    },
}

/// The way to an upstream: directly, or through a peer that relays the connection.
#[derive(Clone, Debug)]
pub struct UpstreamPath {
    peers: Peers,
    via: Option<HostId>,
}

impl UpstreamPath {
    pub(crate) const fn new(peers: Peers, via: Option<HostId>) -> Self {
        Self { peers, via }
    }

    /// Reports whether no peer relays the connection.
    pub const fn is_direct(&self) -> bool {
        self.via.is_none()
    }

    /// Opens a new connection to an upstream.
    ///
    /// # Errors
    ///
    /// See [`PathError`].
    pub async fn open(&self, upstream: &Upstream) -> Result<Connection, PathError> {
        let Some(peer) = &self.via else { return Ok(Connection::open(upstream.address).await?) };
        match self.peers.open_tunnel(peer, &upstream.id).await {
            Ok(tunnel) => Ok(Connection::relayed(tunnel).await?),
            Err(TunnelError::Unreachable) => {
                Err(CallError::NotConnected { reason: format!("{peer} doesn't reach it") }.into())
            }
            Err(TunnelError::NoPath) => Err(PathError::NoPath { peer: peer.clone() }),
        }
    }
}
