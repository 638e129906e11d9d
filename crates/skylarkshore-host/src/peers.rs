//! Messages between peers over QUIC, one stream per message. Start with [`Peers`].

mod directory;
mod fingerprint;
mod identity;
mod introduction;
mod link;
mod transport;
mod tunnel;
mod verifier;

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use quinn::{Connection, Endpoint, EndpointConfig, Incoming, TokioRuntime};
use skylarkshore_core::Event;
use skylarkshore_core::collections::HashMap;
use skylarkshore_core::id::{Digest, HostId};
use skylarkshore_core::peer::Envelope;
use skylarkshore_wire::peer::{MAX_MESSAGE_LEN, decode, encode};
use slog::{info, warn};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::time::timeout;

use crate::driver::Snapshot;
use crate::env::Env;
use crate::error::Error;
use crate::metrics::Direction;

use directory::{Directory, PeerEndpoint};
use identity::SERVER_NAME;
use introduction::{INTRODUCTION_TIMEOUT, MAX_INTRODUCTIONS, TurnedAway};
use link::{Link, LinkError};

pub(crate) use identity::Identity;
pub(crate) use transport::LinkTimings;
pub(crate) use tunnel::{Tunnel, TunnelError};

/// Messages queued for one peer; more are dropped. Requests are repeated until
/// they are answered, so a lost message costs only time.
const QUEUE_CAPACITY: usize = 256;

/// Sends and receives peer messages; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    env: Env,
    endpoint: Endpoint,
    identity: Identity,
    directory: Arc<Directory>,
    directory_updated: Notify,
    /// Limits the connections of processes that aren't known yet.
    introductions: Semaphore,
    timings: LinkTimings,
    queues: Mutex<HashMap<HostId, mpsc::Sender<Bytes>>>,
    connections: Mutex<HashMap<HostId, Pinned>>,
    /// The connections to upstreams that this host relays for its peers.
    relayed: AtomicUsize,
}

/// A connection with the fingerprint of the peer's certificate, which changes with each start of the peer.
#[derive(Clone, Debug)]
struct Pinned {
    fingerprint: Digest,
    connection: Connection,
}

impl Peers {
    /// Starts listening on the socket.
    ///
    /// # Errors
    ///
    /// The socket or the key pair can't be used.
    pub(crate) fn listen(
        env: Env,
        socket: UdpSocket,
        identity: Identity,
        timings: LinkTimings,
        snapshots: watch::Receiver<Arc<Snapshot>>,
    ) -> Result<Self, Error> {
        let directory = Arc::new(Directory::default());
        let server = identity.server_config(&directory, timings)?;
        let endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, Arc::new(TokioRuntime))
            .map_err(|source| Error::Runtime { source })?;
        let shared = Shared {
            env,
            endpoint,
            identity,
            directory,
            directory_updated: Notify::new(),
            introductions: Semaphore::new(MAX_INTRODUCTIONS),
            timings,
            queues: Mutex::default(),
            connections: Mutex::default(),
            relayed: AtomicUsize::new(0),
        };
        let this = Self { shared: Arc::new(shared) };
        tokio::spawn(this.clone().update_directory(snapshots));
        tokio::spawn(this.clone().accept());
        Ok(this)
    }

    /// Queues a message; it is dropped if the queue is full or the peer is unknown.
    pub(crate) fn send(&self, envelope: Envelope) {
        let env = &self.shared.env;
        let bytes = match encode(&envelope.message) {
            Ok(bytes) => Bytes::from(bytes),
            Err(err) => {
                warn!(env.log, "peer_message_not_sent"; "peer" => %envelope.to, "reason" => %err);
                env.metrics.peer_message_dropped();
                return;
            }
        };
        if self.queue(envelope.to).try_send(bytes).is_err() {
            env.metrics.peer_message_dropped();
        }
    }

    /// Returns how many connections to upstreams this host relays for its peers.
    pub(crate) fn relayed(&self) -> usize {
        self.shared.relayed.load(Ordering::Relaxed)
    }

    /// Closes all connections, so that peers don't wait for a time-out.
    pub(crate) fn close(&self) {
        self.shared.endpoint.close(0_u32.into(), b"leaving");
    }

    fn queue(&self, host: HostId) -> mpsc::Sender<Bytes> {
        let mut queues = self.shared.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = queues.entry(host.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(Link::new(self.clone(), host).run(rx));
            tx
        });
        entry.clone()
    }

    /// Updates the directory from the published fingerprints.
    async fn update_directory(self, mut snapshots: watch::Receiver<Arc<Snapshot>>) {
        let mut known = Arc::default();
        while snapshots.changed().await.is_ok() {
            let snapshot = Arc::clone(&snapshots.borrow_and_update());
            if !Arc::ptr_eq(&known, &snapshot.members) {
                self.shared.directory.update(&snapshot.members);
                self.shared.directory_updated.notify_waiters();
                known = Arc::clone(&snapshot.members);
            }
        }
    }

    async fn accept(self) {
        while let Some(incoming) = self.shared.endpoint.accept().await {
            tokio::spawn(self.clone().handshake(incoming));
        }
    }

    async fn handshake(self, incoming: Incoming) {
        let address = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(err) => return self.log_turned_away(address, &err.into()),
        };
        let (fingerprint, host) = match self.identify(&connection).await {
            Ok(identified) => identified,
            Err(why) => {
                self.log_turned_away(address, &why);
                connection.close(1_u32.into(), b"unknown fingerprint");
                return;
            }
        };
        self.store_connection(&host, Pinned { fingerprint, connection: connection.clone() });
        self.receive(host, connection).await;
    }

    /// Returns the host that published the certificate of a connection, and its fingerprint.
    ///
    /// A process that has just started knows no member, and others don't know it yet. The core
    /// looks up the host that the certificate names.
    async fn identify(&self, connection: &Connection) -> Result<(Digest, HostId), TurnedAway> {
        let certificate = fingerprint::presented_by(connection).ok_or(TurnedAway::NoCertificate)?;
        let presented = fingerprint::fingerprint(&certificate);
        if let Some(host) = self.shared.directory.host_of(presented) {
            return Ok((presented, host));
        }
        let claimed = identity::claimed_host(&certificate).ok_or(TurnedAway::Unnamed)?;
        let Ok(_permit) = self.shared.introductions.try_acquire() else { return Err(TurnedAway::TooMany) };
        let begun = Instant::now();
        self.shared.env.inbox.event_later(Event::UnknownPeer { host: claimed.clone() });
        let published = timeout(INTRODUCTION_TIMEOUT, self.published(presented)).await;
        let Ok(host) = published else { return Err(TurnedAway::NotPublished(claimed)) };
        self.log_introduced(&host, begun);
        Ok((presented, host))
    }

    fn log_introduced(&self, host: &HostId, begun: Instant) {
        let env = &self.shared.env;
        if env.may_log("peer_introduced") {
            let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
            info!(env.log, "peer_introduced"; "took_ms" => took_ms, "peer" => %host);
        }
    }

    fn log_turned_away(&self, address: SocketAddr, why: &TurnedAway) {
        let env = &self.shared.env;
        if env.may_log("peer_turned_away") {
            info!(env.log, "peer_turned_away"; "reason" => %why, "address" => %address);
        }
    }

    /// Waits until a certificate is published.
    async fn published(&self, presented: Digest) -> HostId {
        loop {
            let updated = self.shared.directory_updated.notified();
            if let Some(host) = self.shared.directory.host_of(presented) {
                return host;
            }
            updated.await;
        }
    }

    /// Stores the connection to send on; replaces an older one.
    fn store_connection(&self, host: &HostId, pinned: Pinned) {
        let mut connections = self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.insert(host.clone(), pinned);
    }

    /// Returns the stored connection if it is open and belongs to the host's current incarnation.
    fn usable_connection(&self, host: &HostId, fingerprint: Digest) -> Option<Connection> {
        let connections = self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let pinned = connections.get(host)?;
        let usable = pinned.fingerprint == fingerprint && pinned.connection.close_reason().is_none();
        usable.then(|| pinned.connection.clone())
    }

    /// Returns a connection to a peer, opening one if necessary; `None` if it can't be reached.
    async fn connection_to(&self, host: &HostId) -> Option<Connection> {
        let known = self.shared.directory.get(host)?;
        match self.usable_connection(host, known.fingerprint) {
            Some(connection) => Some(connection),
            None => self.connect(host, known).await.ok(),
        }
    }

    async fn connect(&self, host: &HostId, known: PeerEndpoint) -> Result<Connection, LinkError> {
        let shared = &self.shared;
        let config = shared.identity.client_config(known.fingerprint, shared.timings)?;
        let connection = shared.endpoint.connect_with(config, known.address, SERVER_NAME)?.await?;
        self.store_connection(
            host,
            Pinned { fingerprint: known.fingerprint, connection: connection.clone() },
        );
        tokio::spawn(self.clone().receive(host.clone(), connection.clone()));
        Ok(connection)
    }

    /// Receives messages and relays connections until the connection ends.
    async fn receive(self, host: HostId, connection: Connection) {
        tokio::spawn(self.clone().serve_tunnels(host.clone(), connection.clone()));
        while let Ok(mut stream) = connection.accept_uni().await {
            let this = self.clone();
            let host = host.clone();
            tokio::spawn(async move {
                let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_LEN).await else { return };
                this.handle_message(host, &bytes).await;
            });
        }
    }

    async fn handle_message(&self, from: HostId, bytes: &[u8]) {
        let env = &self.shared.env;
        env.metrics.peer_message(Direction::Received, bytes.len());
        match decode(bytes) {
            Ok(message) => env.inbox.event(Event::Peer { from, message }).await,
            Err(err) => warn!(env.log, "peer_message_unreadable"; "peer" => %from, "reason" => %err),
        }
    }
}
