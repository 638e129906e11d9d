//! Connections to upstreams, kept for reuse only after whole and clean answers.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use skylarkshore_core::collections::HashMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::call_error::{CallError, chain};

/// How long a connection may take to be made; data centres lie a millisecond
/// apart, and an upstream whose queue of connections is full answers no sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long bytes may stay unacknowledged before the connection is given up.
///
/// A connection can go silent for good without a reset. Only this and the
/// probes show it; without them a request would wait for its deadline.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// After how long without traffic the other end is probed, and how often.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// How long a connection is kept for reuse, where the upstream states nothing.
const KEEP_FOR: Duration = Duration::from_secs(3);
/// Connections that are kept for one address.
const KEPT_PER_ADDRESS: usize = 32;

/// A connection that is closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The upstream stops working on a request when its connection closes.
        self.task.abort();
    }
}

impl Connection {
    /// Connects anew.
    ///
    /// # Errors
    ///
    /// No connection can be made in time.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| not_connected(&"timed out"))?
            .map_err(|err| not_connected(&err))?;
        prepare(&stream).map_err(|err| not_connected(&err))?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|err| not_connected(&err))?;
        // A failure of the connection shows in the answer.
        let task = tokio::spawn(async move { _ = connection.await }).abort_handle();
        Ok(Self { address, sender, task })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The connection broke, or the answer isn't HTTP.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(req).await
    }
}

fn not_connected(reason: &dyn std::fmt::Display) -> CallError {
    CallError::NotConnected { reason: reason.to_string() }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

#[derive(Debug)]
struct Kept {
    connection: Connection,
    until: Instant,
}

/// Connections that wait to be used again.
#[derive(Debug, Default)]
pub struct Pool {
    kept: Mutex<HashMap<SocketAddr, Vec<Kept>>>,
}

impl Pool {
    /// Returns a kept connection, or a new one.
    ///
    /// # Errors
    ///
    /// No connection can be made in time.
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, CallError> {
        match self.take_kept(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    /// Keeps a connection whose last answer was whole and clean.
    ///
    /// Whatever came with or after a wrong answer belongs to no request; a
    /// connection that carried one is dropped instead of being given here.
    pub async fn put_back(&self, mut connection: Connection, keep_for: Option<Duration>) {
        // It becomes ready once the answer's last bytes are taken.
        let ready = timeout(Duration::from_millis(100), connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let until = Instant::now() + keep_for.unwrap_or(KEEP_FOR).min(KEEP_FOR);
        let mut kept = self.lock();
        let of_address = kept.entry(connection.address).or_default();
        if of_address.len() < KEPT_PER_ADDRESS {
            of_address.push(Kept { connection, until });
        }
    }

    fn take_kept(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut kept = self.lock();
        let of_address = kept.get_mut(&address)?;
        of_address.retain(|kept| kept.until > now && kept.connection.sender.is_ready());
        let connection = of_address.pop().map(|kept| kept.connection);
        if of_address.is_empty() {
            kept.remove(&address);
        }
        connection
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Kept>>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names what went wrong with a connection, with all causes.
pub(crate) fn reason(err: &hyper::Error) -> String {
    chain(err)
}
