//! A pool of connections to upstreams, which are reused only after complete and valid answers.
//!
//! Start with [`Pool`].

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use skylarkshore_core::collections::HashMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::call_error::{CallError, chain};
use crate::peers::Tunnel;

/// Time-out for connecting. Data centres are a millisecond apart; an upstream whose
/// accept queue is full answers no sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long sent bytes may stay unacknowledged before the connection fails.
///
/// A connection can go silent without a reset. Only this limit and the
/// keep-alive probes detect it; otherwise a request would wait for its deadline.
/// The limit also ends the probes, whatever their number, so two of them must fit.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before a keep-alive probe, interval of the probes, and their number.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_PROBES: u32 = 2;
/// The longest time that an idle connection is kept; the upstream may state a shorter one.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// The largest part of an answer that is read at once, and the largest head of one, in bytes.
const READ_BUF_LEN: usize = 8 * 1024;
/// The kernel's receive buffer of a connection, in bytes.
///
/// If nobody reads an answer, the kernel would otherwise hold megabytes of it.
const SOCKET_BUF_LEN: usize = 64 * 1024;
/// The most idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// A connection that is closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Where it can be used again; `None` if a peer relays it.
    address: Option<SocketAddr>,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closing the connection makes the upstream stop working on its request.
        self.task.abort();
    }
}

impl Connection {
    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// The connection fails or times out.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        Self::over(connect(address).await?, Some(address)).await
    }

    /// Uses a connection that a peer relays.
    ///
    /// # Errors
    ///
    /// The connection fails.
    pub(crate) async fn relayed(tunnel: Tunnel) -> Result<Self, CallError> {
        Self::over(tunnel, None).await
    }

    async fn over<S>(stream: S, address: Option<SocketAddr>) -> Result<Self, CallError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUF_LEN)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_connected(&err))?;
        // Errors of the connection are also reported by the response.
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

/// Opens a socket to an upstream.
///
/// # Errors
///
/// The connection fails or times out.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, CallError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| not_connected(&"timed out"))?
        .map_err(|err| not_connected(&err))?;
    configure_socket(&stream).map_err(|err| not_connected(&err))?;
    Ok(stream)
}

fn not_connected(reason: &dyn std::fmt::Display) -> CallError {
    CallError::NotConnected { reason: reason.to_string() }
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(SOCKET_BUF_LEN)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections, by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// The connection fails or times out.
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, CallError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    /// Returns a connection to the pool after a complete and valid answer.
    ///
    /// Bytes sent with or after an invalid answer belong to no request; a connection that
    /// carried one must be dropped instead. A relayed connection is closed, as the next request may be
    /// sent directly.
    pub async fn put(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        let Some(address) = connection.address else { return };
        // The connection becomes ready once the answer has been read completely.
        let ready = timeout(Duration::from_millis(100), connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let expires_at = Instant::now() + idle_timeout.unwrap_or(MAX_IDLE).min(MAX_IDLE);
        let mut idle = self.lock();
        let for_address = idle.entry(address).or_default();
        if for_address.len() < MAX_IDLE_PER_ADDRESS {
            for_address.push(IdleConnection { connection, expires_at });
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let for_address = idle.get_mut(&address)?;
        for_address.retain(|idle| idle.expires_at > now && idle.connection.sender.is_ready());
        let connection = for_address.pop().map(|idle| idle.connection);
        if for_address.is_empty() {
            idle.remove(&address);
        }
        connection
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the text of a connection error with all its causes.
pub(crate) fn reason(err: &hyper::Error) -> String {
    chain(err)
}
