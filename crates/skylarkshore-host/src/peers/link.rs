//! The sender for one peer: a queue, and a connection that is opened on demand. Start with [`Link`].

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use quinn::{ClosedStream, ConnectError, Connection, ConnectionError, VarInt, WriteError};
use skylarkshore_core::id::HostId;
use slog::debug;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::metrics::Direction;
use crate::peers::Peers;

/// How long to wait after a failed send before the next one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time-out for connecting and sending one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a message wasn't sent.
#[derive(Debug, Display, Error, From)]
pub(super) enum LinkError {
    #[display("its address is unknown, as it has no member key yet; wait for it to start")]
    #[from(skip)]
    Unknown,
    #[display("it doesn't answer in time; check the network between the hosts")]
    #[from(skip)]
    Slow,
    #[display("{_0}")]
    Identity(crate::error::Error),
    #[display("{_0}")]
    Connect(ConnectError),
    #[display("{_0}")]
    Connection(ConnectionError),
    #[display("{_0}")]
    Write(WriteError),
    #[display("{_0}")]
    Closed(ClosedStream),
}

/// A connection from which nothing was received since a message was sent on it.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Instant,
    /// The connection's id, and the number of datagrams received on it before `since`.
    connection: usize,
    datagrams: u64,
}

/// Sends queued messages to one peer.
pub(super) struct Link {
    peers: Peers,
    host: HostId,
    silence: Option<Silence>,
}

impl Link {
    pub(super) const fn new(peers: Peers, host: HostId) -> Self {
        Self { peers, host, silence: None }
    }

    /// Sends queued messages until the queue is closed.
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Bytes>) {
        let env = self.peers.shared.env.clone();
        while let Some(message) = queue.recv().await {
            match timeout(SEND_TIMEOUT, self.send(&message)).await.unwrap_or(Err(LinkError::Slow)) {
                Ok(()) => env.metrics.peer_message(Direction::Sent, message.len()),
                Err(err) => {
                    debug!(env.log, "peer_unreachable"; "peer" => %self.host, "reason" => %err);
                    env.metrics.peer_message_dropped();
                    drop_queued(&mut queue, || env.metrics.peer_message_dropped());
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn send(&mut self, message: &Bytes) -> Result<(), LinkError> {
        let known = self.peers.shared.directory.get(&self.host).ok_or(LinkError::Unknown)?;
        let usable_connection = self.peers.usable_connection(&self.host, known.fingerprint);
        let connection = match usable_connection.filter(|connection| self.is_responsive(connection)) {
            Some(connection) => connection,
            None => self.peers.connect(&self.host, known).await?,
        };
        let mut stream = connection.open_uni().await?;
        stream.write_all(message).await?;
        stream.finish()?;
        Ok(())
    }

    /// Reports whether the other end has answered since the last message, or still has time to.
    ///
    /// QUIC acknowledges every message, so silence means that the peer is cut off.
    /// Without this check, messages would be sent in vain until the idle time-out.
    fn is_responsive(&mut self, connection: &Connection) -> bool {
        let now = Instant::now();
        let (id, datagrams) = (connection.stable_id(), connection.stats().udp_rx.datagrams);
        let silent =
            self.silence.filter(|silence| silence.connection == id && silence.datagrams == datagrams);
        let silence = silent.unwrap_or(Silence { since: now, connection: id, datagrams });
        let is_responsive = now.duration_since(silence.since) < self.peers.shared.timings.silence_timeout;
        self.silence = is_responsive.then_some(silence);
        if !is_responsive {
            connection.close(VarInt::from_u32(0), b"silent");
        }
        is_responsive
    }
}

/// Drops the messages queued for an unreachable peer, as they would be stale when it is back.
fn drop_queued(queue: &mut mpsc::Receiver<Bytes>, mut dropped: impl FnMut()) {
    while queue.try_recv().is_ok() {
        dropped();
    }
}
