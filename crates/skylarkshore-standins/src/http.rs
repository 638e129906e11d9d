//! Minimal HTTP server that can close all of its connections at once. Start with [`Server`].

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::Stream;
use http::{Method, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

use crate::lock;

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Result of a handler: a response, or a closed connection.
pub type Answered = Result<Response<Body>, Cut>;

/// Largest accepted request body in bytes.
const MAX_REQUEST_LEN: usize = 4 * 1024 * 1024;

/// Closes the connection without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stand-in closes the connection because of an injected fault")]
pub struct Cut;

/// A server on a loopback port.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Listens on `address`; port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is taken.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
        F: Future<Output = Answered> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, Arc::new(handler)));
        Ok(Self { address, task: Mutex::new(Some(task)) })
    }

    /// Returns the listening address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and every connection.
    pub fn stop(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Answered> + Send + 'static,
{
    // Aborting this task drops the set, which aborts every connection.
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // Without this, small writes of a stream wait for the peer's delayed ACK.
        _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service = service_fn(move |req| answer(Arc::clone(&handler), req));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            // An early end is caused by the client or by an injected fault.
            _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn answer<H, F>(handler: Arc<H>, req: Request<Incoming>) -> Answered
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Answered>,
{
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_REQUEST_LEN).collect().await else {
        return Ok(text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or was cut short"));
    };
    handler(Request::from_parts(parts, body.to_bytes())).await
}

fn complete(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}

/// Returns a plain text response.
pub fn text(status: StatusCode, body: &str) -> Response<Body> {
    complete(status, "text/plain", Bytes::copy_from_slice(body.as_bytes()))
}

/// Returns a JSON response.
///
/// # Panics
///
/// Panics if `body` does not serialize to JSON; every type of this workspace does.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let body = serde_json::to_vec(body).expect("wire types serialize to JSON");
    complete(status, "application/json", body.into())
}

/// Returns a streamed response.
pub fn stream<S>(content_type: &'static str, parts: S) -> Response<Body>
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    use futures_util::StreamExt;

    let body = StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync();
    let mut response = Response::new(body);
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}

/// Returns the response to an unknown method or path.
pub fn unknown(method: &Method, path: &str) -> Response<Body> {
    text(StatusCode::NOT_FOUND, &format!("there is no {method} {path} here; see the page INTERFACES"))
}
