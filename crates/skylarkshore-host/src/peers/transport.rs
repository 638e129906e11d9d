//! QUIC transport parameters of the connections to peers. Start with [`LinkTimings`].

use std::sync::Arc;
use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig};
use skylarkshore_core::config::Timings;

/// Concurrent messages from one peer.
const MAX_STREAMS: u32 = 64;
/// Concurrent connections to upstreams that are relayed for one peer.
const MAX_TUNNELS: u32 = 256;
/// The receive buffer of each message and relayed connection, in bytes.
const STREAM_BUFFER_LEN: u32 = 64 * 1024;
/// The receive buffers of all messages and relayed connections of a peer, in bytes.
///
/// If there were fewer, relayed answers that callers don't read would keep messages from being received.
const PEER_BUFFER_LEN: u32 = (MAX_STREAMS + MAX_TUNNELS) * STREAM_BUFFER_LEN;

/// How long an idle connection is kept.
///
/// In a large fleet a process exchanges messages with most others now and then,
/// and a handshake costs both ends more than hundreds of messages.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limits of the connections to peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkTimings {
    /// How long a peer may leave messages unacknowledged before it is reconnected to.
    pub(super) silence_timeout: Duration,
}

impl From<&Timings> for LinkTimings {
    fn from(timings: &Timings) -> Self {
        Self { silence_timeout: timings.peer_timeout.max(timings.heartbeat_every * 3) }
    }
}

impl LinkTimings {
    /// Builds the transport settings.
    pub(super) fn transport(self) -> Arc<TransportConfig> {
        let mut transport = TransportConfig::default();
        transport
            .max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT.max(self.silence_timeout)).ok())
            .max_concurrent_uni_streams(MAX_STREAMS.into())
            .max_concurrent_bidi_streams(MAX_TUNNELS.into())
            .stream_receive_window(STREAM_BUFFER_LEN.into())
            .receive_window(PEER_BUFFER_LEN.into())
            .datagram_receive_buffer_size(None);
        Arc::new(transport)
    }
}
