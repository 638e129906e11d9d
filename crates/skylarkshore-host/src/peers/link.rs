//! The way to one peer: a queue, and a connection that is made when there is something to send.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use quinn::{ClosedStream, ConnectError, Connection, ConnectionError, VarInt, WriteError};
use skylarkshore_core::id::HostId;
use slog::debug;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::metrics::Direction;
use crate::peers::directory::Known;
use crate::peers::identity::SERVER_NAME;
use crate::peers::{Peers, Pinned};

/// How long a peer is left alone after it couldn't be reached.
const REST: Duration = Duration::from_millis(200);
/// How long connecting or handing a message over may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a message didn't get to a peer.
#[derive(Debug, Display, Error, From)]
enum LinkError {
    #[display("no member key has told where it is; wait for it to start")]
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

/// Something was sent on a connection, and nothing has come back since.
#[derive(Clone, Copy, Debug)]
struct Unheard {
    since: Instant,
    /// The connection, and the datagrams that had come on it by then.
    connection: usize,
    datagrams: u64,
}

/// The way to one peer.
pub(super) struct Link {
    peers: Peers,
    host: HostId,
    unheard: Option<Unheard>,
}

impl Link {
    pub(super) const fn new(peers: Peers, host: HostId) -> Self {
        Self { peers, host, unheard: None }
    }

    /// Sends what is queued until the process ends.
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Bytes>) {
        let env = self.peers.shared.env.clone();
        while let Some(message) = queue.recv().await {
            match timeout(SEND_TIMEOUT, self.send(&message)).await.unwrap_or(Err(LinkError::Slow)) {
                Ok(()) => env.metrics.peer_message(Direction::Sent, message.len()),
                Err(err) => {
                    debug!(env.log, "peer_unreachable"; "peer" => %self.host, "reason" => %err);
                    env.metrics.peer_message_dropped();
                    drop_queued(&mut queue, || env.metrics.peer_message_dropped());
                    sleep(REST).await;
                }
            }
        }
    }

    async fn send(&mut self, message: &Bytes) -> Result<(), LinkError> {
        let known = self.peers.shared.directory.get(&self.host).ok_or(LinkError::Unknown)?;
        let kept = self.peers.kept(&self.host, known.fingerprint);
        let connection = match kept.filter(|connection| self.is_heard(connection)) {
            Some(connection) => connection,
            None => self.connect(known).await?,
        };
        let mut stream = connection.open_uni().await?;
        stream.write_all(message).await?;
        stream.finish()?;
        Ok(())
    }

    /// Tells whether the other end has shown itself since something was sent to it, or may yet do so.
    ///
    /// Every message is acknowledged. A peer that was cut off would else be sent to
    /// in vain until the connection counts as idle.
    fn is_heard(&mut self, connection: &Connection) -> bool {
        let now = Instant::now();
        let (id, datagrams) = (connection.stable_id(), connection.stats().udp_rx.datagrams);
        let silent = self.unheard.filter(|u| u.connection == id && u.datagrams == datagrams);
        let unheard = silent.unwrap_or(Unheard { since: now, connection: id, datagrams });
        let is_heard = now.duration_since(unheard.since) < self.peers.shared.timings.silence;
        self.unheard = is_heard.then_some(unheard);
        if !is_heard {
            connection.close(VarInt::from_u32(0), b"silent");
        }
        is_heard
    }

    async fn connect(&self, known: Known) -> Result<Connection, LinkError> {
        let shared = &self.peers.shared;
        let config = shared.identity.client_config(known.fingerprint, shared.timings)?;
        let connection = shared.endpoint.connect_with(config, known.address, SERVER_NAME)?.await?;
        let pinned = Pinned { fingerprint: known.fingerprint, connection: connection.clone() };
        self.peers.keep(&self.host, pinned);
        tokio::spawn(self.peers.clone().receive(self.host.clone(), connection.clone()));
        Ok(connection)
    }
}

/// Drops what has queued up for a peer that can't be reached: it would be stale once it can.
fn drop_queued(queue: &mut mpsc::Receiver<Bytes>, mut dropped: impl FnMut()) {
    while queue.try_recv().is_ok() {
        dropped();
    }
}
