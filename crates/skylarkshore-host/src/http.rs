//! Calls to the platform and to engines: one request, one small answer, one deadline.

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
use tokio::time::Instant;

use crate::call_error::chain;
use crate::pool::Connection;

pub use crate::call_error::CallError;

/// How long a connection may take to be made.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection is kept for reuse. Most servers close idle ones after
/// five seconds or more; a request sent on one that is just being closed would
/// be lost, and couldn't be told from one that has run.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// After how long without traffic the system checks that the other end is still there; a watch can be quiet for long.
const KEEPALIVE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
const KEEPALIVE_RETRIES: u32 = 3;
/// Connections that are kept for one address.
const IDLE_PER_ADDRESS: usize = 32;
/// The largest answer that is read whole, in bytes.
const MAX_ANSWER_LEN: usize = 16 * 1024 * 1024;

/// An answer that was read whole.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// A client with a pool of connections, which never sends a request twice.
pub type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// Makes a client.
///
/// The client's own retry is off: it would send a request again when a reused
/// connection was closed first, and a booking could be made twice.
pub fn client() -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(IDLE_PER_ADDRESS)
        .build(connector)
}

/// Makes a request with a JSON body, or none.
pub fn json_request(method: Method, address: SocketAddr, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = format!("http://{address}{path}").parse().unwrap_or_default();
    req.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    req
}

/// Sends a request on a pooled connection and reads the whole answer by `deadline`.
///
/// # Errors
///
/// See [`CallError`].
pub async fn call(
    client: &PooledClient,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Answer, CallError> {
    let exchange = async {
        let res = client.request(req).await.map_err(|err| {
            let reason = chain(&err);
            if err.is_connect() { CallError::NotConnected { reason } } else { CallError::Lost { reason } }
        })?;
        read_whole(res).await
    };
    tokio::time::timeout_at(deadline, exchange).await.unwrap_or_else(|_elapsed| Err(timed_out()))
}

/// Connects anew, asks `may_send` once the connection stands, sends and reads the whole answer.
///
/// Returns none when `may_send` said no; nothing was sent then. Connecting can
/// take long enough for the leave to act to run out in the meantime, so it is
/// asked as late as possible.
///
/// # Errors
///
/// See [`CallError`].
pub async fn call_anew(
    address: SocketAddr,
    mut req: Request<Full<Bytes>>,
    may_send: impl FnOnce() -> bool,
    deadline: Instant,
) -> Result<Option<Answer>, CallError> {
    let mut connection = tokio::time::timeout_at(deadline, Connection::open(address))
        .await
        .unwrap_or_else(|_elapsed| Err(not_connected("timed out")))?;
    to_origin_form(&mut req, address);
    if !may_send() {
        return Ok(None);
    }
    let exchange = async {
        let res = connection.send(req).await.map_err(|err| CallError::Lost { reason: chain(&err) })?;
        read_whole(res).await.map(Some)
    };
    tokio::time::timeout_at(deadline, exchange).await.unwrap_or_else(|_elapsed| Err(timed_out()))
}

/// Turns an absolute address into the path and `host` header that servers expect.
fn to_origin_form(req: &mut Request<Full<Bytes>>, address: SocketAddr) {
    if let Some(path) = req.uri().path_and_query().cloned() {
        *req.uri_mut() = path.into();
    }
    if let Ok(host) = address.to_string().parse() {
        req.headers_mut().insert(HOST, host);
    }
}

async fn read_whole(res: http::Response<Incoming>) -> Result<Answer, CallError> {
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_ANSWER_LEN);
    let body = body.collect().await.map_err(|err| CallError::Lost { reason: err.to_string() })?;
    Ok(Answer { status, body: body.to_bytes() })
}

fn not_connected(reason: &str) -> CallError {
    CallError::NotConnected { reason: reason.to_owned() }
}

fn timed_out() -> CallError {
    CallError::Lost { reason: "timed out".to_owned() }
}
