//! The HTTP server used for callers and operators. Start with [`start`].

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::num::NonZero;
use std::sync::Arc;
use std::thread::available_parallelism;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use serde::Serialize;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::TcpStream;
use xitca_server::{Builder, ServerHandle};
use xitca_web::body::{Body, RequestBody, ResponseBody};
use xitca_web::http::{RequestExt, WebResponse};
use xitca_web::service::ready::ReadyService;
use xitca_web::service::{Service, ServiceExt};

use crate::connections::{AcceptorMaker, ClosableListener, Connections, ScopeMaker, TrackerMaker};

/// The most headers of a request; more are refused with an error body.
pub const MAX_HEADERS: usize = 64;
/// The most headers that the server reads; more are refused without an error body.
const HARD_MAX_HEADERS: usize = 256;
/// The largest head that the server reads, in bytes.
const HARD_MAX_HEAD_LEN: usize = 64 * 1024;
/// The most bytes of an answer that the server takes before the caller has read some, if they come in
/// pieces.
const WRITE_BUF_LEN: usize = 16 * 1024;
/// Idle time-out of connections between requests.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// The name of a server's service, the same on all of its listeners.
const SERVICE_NAME: &str = "http";

/// The most threads that serve callers.
const MAX_CALLER_WORKERS: usize = 2;
/// Threads that serve operators.
pub const OPERATOR_WORKERS: usize = 1;

/// Returns the number of threads that serve callers, limited by the available parallelism.
pub fn caller_workers() -> usize {
    workers(MAX_CALLER_WORKERS)
}

/// Returns the available parallelism, at most `max`.
pub(crate) fn workers(max: usize) -> usize {
    available_parallelism().map_or(1, NonZero::get).min(max)
}

/// A running server.
#[expect(missing_debug_implementations, reason = "the server's handle has no useful debug output")]
pub struct RunningServer {
    handle: ServerHandle,
}

impl RunningServer {
    /// Stops the server and closes its connections.
    pub fn stop(&self) {
        self.handle.stop(false);
    }
}

/// Starts a server on one or more listeners, until [`Connections::close`] or [`RunningServer::stop`].
///
/// # Errors
///
/// The system can't start threads.
pub fn start<S, B>(
    app: S,
    listeners: impl IntoIterator<Item = TcpListener>,
    connections: &Arc<Connections>,
    head_timeout: Duration,
    workers: usize,
) -> std::io::Result<RunningServer>
where
    S: Service + Send + Sync + 'static,
    S::Response: ReadyService + Service<Request<RequestExt<RequestBody>>, Response = Response<B>> + 'static,
    S::Error: fmt::Debug,
    <S::Response as Service<Request<RequestExt<RequestBody>>>>::Error: fmt::Debug,
    B: Body<Data = Bytes> + 'static,
    B::Error: fmt::Debug + 'static,
{
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(head_timeout)
        .max_request_headers::<HARD_MAX_HEADERS>()
        .max_read_buf_size::<HARD_MAX_HEAD_LEN>()
        .max_write_buf_size::<WRITE_BUF_LEN>();
    let http = HttpServiceBuilder::h1().config(config).with_tls(AcceptorMaker(Arc::clone(connections)));
    let service = Arc::new(app.enclosed(TrackerMaker).enclosed(http).enclosed(ScopeMaker));
    let mut server = Builder::new()
        .server_threads(1)
        .worker_threads(workers)
        .worker_max_blocking_threads(1)
        .disable_signal();
    for listener in listeners {
        let listener = ClosableListener::new(listener, Arc::clone(connections));
        server =
            server.listen::<_, _, _, (TcpStream, SocketAddr)>(SERVICE_NAME, listener, Arc::clone(&service));
    }
    let mut server = server.build();
    let handle = server.handle()?;
    // The server owns a runtime, which must not be dropped inside another one.
    std::thread::Builder::new().name("skylarkshore-accept".to_owned()).spawn(move || server.wait())?;
    Ok(RunningServer { handle })
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    response(status, "application/json", body)
}

/// Builds a response with a text body.
pub fn text(status: StatusCode, body: String) -> WebResponse {
    response(status, "text/plain; charset=utf-8", body.into_bytes())
}

fn response(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::bytes(body));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
