//! Calls to the key-value service and to running processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call has no answer.
#[derive(Debug, Display, Error)]
#[display("{address} gives no answer: {kind}")]
pub struct CallError {
    /// Where the call went.
    pub address: SocketAddr,
    /// What happened.
    pub kind: CallErrorKind,
}

impl CallError {
    /// Tells whether the call can't have had an effect.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self.kind, CallErrorKind::Connect(_))
    }
}

/// What kept the answer away.
#[derive(Debug, Display, Error, From)]
pub enum CallErrorKind {
    /// There is no connection.
    #[display("can't connect ({_0}); check the address, and that it runs")]
    Connect(std::io::Error),
    /// The connection broke.
    #[display("the connection broke ({_0}); try again")]
    Broken(hyper::Error),
    /// It took too long.
    #[display("nothing within {} s; try again later", CALL_TIMEOUT.as_secs())]
    Timeout,
    /// The request isn't valid HTTP.
    #[display("the request can't be written ({_0})")]
    Request(http::Error),
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request once and waits for the whole answer.
pub(crate) async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, CallError> {
    let exchange = exchange(method, address, path, body);
    let result = timeout(CALL_TIMEOUT, exchange).await.unwrap_or(Err(CallErrorKind::Timeout));
    result.map_err(|kind| CallError { address, kind })
}

async fn exchange(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, CallErrorKind> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (parts, body) = sender.send_request(req).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Answer { status: parts.status, body })
}
