//! How connections to peers are kept.

use std::sync::Arc;
use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig, VarInt};
use skylarkshore_core::config::Timings;

/// Messages of one peer that are read at a time.
const STREAMS: u32 = 64;
/// What is buffered of one message and of all messages of a peer, in bytes.
const STREAM_BUFFER: u32 = 1024 * 1024;
const PEER_BUFFER: u32 = 4 * STREAM_BUFFER;

/// How long a connection that carries nothing is kept.
///
/// In a large fleet a process speaks to most others now and then, and making a
/// connection costs both ends more than hundreds of messages do.
const IDLE: Duration = Duration::from_secs(30);

/// The times that connections to peers keep.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkTimings {
    /// How long a peer that is sent to may be silent before it is connected to anew.
    pub(super) silence: Duration,
}

impl From<&Timings> for LinkTimings {
    fn from(timings: &Timings) -> Self {
        Self { silence: timings.peer_timeout.max(timings.heartbeat_every * 3) }
    }
}

impl LinkTimings {
    /// Makes the transport's settings.
    pub(super) fn transport(self) -> Arc<TransportConfig> {
        let mut transport = TransportConfig::default();
        transport
            .max_idle_timeout(IdleTimeout::try_from(IDLE.max(self.silence)).ok())
            .max_concurrent_uni_streams(STREAMS.into())
            .max_concurrent_bidi_streams(VarInt::from_u32(0))
            .stream_receive_window(STREAM_BUFFER.into())
            .receive_window(PEER_BUFFER.into())
            .datagram_receive_buffer_size(None);
        Arc::new(transport)
    }
}
