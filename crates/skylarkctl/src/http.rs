//! HTTP calls to the key-value service and to running processes; see [`call`].

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

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A call that got no answer.
#[derive(Debug, Display, Error)]
#[display("{address} did not answer: {kind}")]
pub struct CallError {
    /// Address of the callee.
    pub address: SocketAddr,
    /// The cause.
    pub kind: CallErrorKind,
}

impl CallError {
    /// Reports whether the call can't have had an effect.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self.kind, CallErrorKind::Connect(_))
    }
}

/// Why a call got no answer.
#[derive(Debug, Display, Error, From)]
pub enum CallErrorKind {
    /// Connecting failed.
    #[display("can't connect ({_0}); check the address, and that it runs")]
    Connect(std::io::Error),
    /// The connection failed.
    #[display("the connection failed ({_0}); try again")]
    Connection(hyper::Error),
    /// No answer within the timeout.
    #[display("no answer within {} s; try again later", CALL_TIMEOUT.as_secs())]
    Timeout,
    /// The request isn't valid HTTP.
    #[display("the request isn't valid HTTP ({_0})")]
    Request(http::Error),
}

/// A complete answer.
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

/// Sends a request once, without retries, and waits for the complete answer.
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
