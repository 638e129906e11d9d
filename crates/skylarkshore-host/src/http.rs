//! HTTP calls to the platform and to engines, with small answers and a deadline.
//!
//! Start with [`call`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use skylarkshore_core::upstream::Upstream;
use tokio::time::Instant;

use crate::call_error::chain;
use crate::pool::Connection;
use crate::upstream_path::UpstreamPath;

pub use crate::call_error::CallError;

/// Time-out for connecting.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept. Most servers close idle ones after five
/// seconds or more; whether a request sent during the close has run is unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before TCP keep-alive probes start; a watch can be idle for long.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
const KEEPALIVE_RETRIES: u32 = 3;
/// The most idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// The largest answer of a store or a host list, in bytes.
pub const MAX_STORE_ANSWER_LEN: usize = 16 * 1024 * 1024;
/// The largest answer of an engine to an order or a request for a report, in bytes.
///
/// A host may own hundreds of engines; one that is faulty may answer without an end.
const MAX_ENGINE_ANSWER_LEN: usize = 256 * 1024;
/// The largest head of an answer, in bytes.
const MAX_HEAD_LEN: usize = 64 * 1024;

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A client with a connection pool, which never retries a request.
pub type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client.
///
/// Hyper's retry is disabled: it repeats a request when a reused connection
/// was closed, and a booking could be made twice.
pub fn client() -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .http1_max_buf_size(MAX_HEAD_LEN)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_ADDRESS)
        .build(connector)
}

/// Builds a request with a JSON or empty body.
pub fn json_request(method: Method, address: SocketAddr, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = format!("http://{address}{path}").parse().unwrap_or_default();
    req.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    req
}

/// Sends a request on a pooled connection and reads the complete answer, of at most `max_len` bytes, by
/// `deadline`.
///
/// # Errors
///
/// See [`CallError`].
pub async fn call(
    client: &PooledClient,
    req: Request<Full<Bytes>>,
    max_len: usize,
    deadline: Instant,
) -> Result<Answer, CallError> {
    let exchange = async {
        let res = client.request(req).await.map_err(|err| {
            let reason = chain(&err);
            if err.is_connect() { CallError::NotConnected { reason } } else { CallError::Lost { reason } }
        })?;
        read_complete(res, max_len).await
    };
    tokio::time::timeout_at(deadline, exchange).await.unwrap_or_else(|_elapsed| Err(timed_out()))
}

/// Sends a request to an engine on a new connection if `may_send` permits it, and reads the complete answer.
///
/// Returns `None` if `may_send` returns false; nothing was sent then. It is
/// called after connecting, since the permission can expire in the meantime.
///
/// # Errors
///
/// See [`CallError`].
pub async fn call_anew(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    may_send: impl FnOnce() -> bool,
    deadline: Instant,
) -> Result<Option<Answer>, CallError> {
    let connection = tokio::time::timeout_at(deadline, Connection::open(address))
        .await
        .unwrap_or_else(|_elapsed| Err(not_connected("timed out")))?;
    if !may_send() {
        return Ok(None);
    }
    call_on(connection, address, req, deadline).await.map(Some)
}

/// Sends a request to an engine by a path: on a pooled connection, or on a new one that a peer relays.
///
/// # Errors
///
/// See [`CallError`].
pub async fn call_by(
    path: &UpstreamPath,
    client: &PooledClient,
    upstream: &Upstream,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Answer, CallError> {
    if path.is_direct() {
        return call(client, req, MAX_ENGINE_ANSWER_LEN, deadline).await;
    }
    let connection = tokio::time::timeout_at(deadline, path.open(upstream))
        .await
        .map_err(|_elapsed| not_connected("timed out"))?
        .map_err(|err| not_connected(&err.to_string()))?;
    call_on(connection, upstream.address, req, deadline).await
}

async fn call_on(
    mut connection: Connection,
    address: SocketAddr,
    mut req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Answer, CallError> {
    to_origin_form(&mut req, address);
    let exchange = async {
        let res = connection.send(req).await.map_err(|err| CallError::Lost { reason: chain(&err) })?;
        read_complete(res, MAX_ENGINE_ANSWER_LEN).await
    };
    tokio::time::timeout_at(deadline, exchange).await.unwrap_or_else(|_elapsed| Err(timed_out()))
}

/// Replaces an absolute URI by its path and a `host` header, as servers expect.
fn to_origin_form(req: &mut Request<Full<Bytes>>, address: SocketAddr) {
    if let Some(path) = req.uri().path_and_query().cloned() {
        *req.uri_mut() = path.into();
    }
    if let Ok(host) = address.to_string().parse() {
        req.headers_mut().insert(HOST, host);
    }
}

/// Reports whether a status ends an exchange: it is neither an interim one nor beyond the protocol's classes.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

async fn read_complete(res: http::Response<Incoming>, max_len: usize) -> Result<Answer, CallError> {
    let status = res.status();
    if !is_final_status(status) {
        return Err(CallError::Lost { reason: format!("{status} is no status of an answer") });
    }
    let headers = res.headers().clone();
    let body = Limited::new(res.into_body(), max_len);
    let body = body.collect().await.map_err(|err| CallError::Lost { reason: err.to_string() })?;
    Ok(Answer { status, headers, body: body.to_bytes() })
}

fn not_connected(reason: &str) -> CallError {
    CallError::NotConnected { reason: reason.to_owned() }
}

fn timed_out() -> CallError {
    CallError::Lost { reason: "timed out".to_owned() }
}
