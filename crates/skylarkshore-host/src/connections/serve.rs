//! Services round the HTTP server that let requests know their connection.
//!
//! From the outside in: [`Scope`] opens the place for a connection, [`Acceptor`] fills it, and
//! [`Tracker`] records which of its requests is handled.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use socket2::SockRef;
use xitca_io::net::TcpStream;
use xitca_web::body::RequestBody;
use xitca_web::http::RequestExt;
use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

use super::stream::ServedStream;
use super::{CURRENT, Connection, Connections, Phase};

/// The kernel's send buffer of a connection, in bytes.
///
/// If the caller doesn't read, the kernel would otherwise hold megabytes of its answer.
const SOCKET_BUF_LEN: usize = 64 * 1024;

/// Makes [`Scope`]s.
#[derive(Debug)]
pub(crate) struct ScopeMaker;

impl<S, E> Service<Result<S, E>> for ScopeMaker {
    type Response = Scope<S>;
    type Error = E;

    async fn call(&self, req: Result<S, E>) -> Result<Scope<S>, E> {
        req.map(Scope)
    }
}

/// Serves each connection in a scope of its own.
#[derive(Debug)]
pub(crate) struct Scope<S>(S);

impl<S> Service<(TcpStream, SocketAddr)> for Scope<S>
where
    S: Service<(TcpStream, SocketAddr)>,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, req: (TcpStream, SocketAddr)) -> Result<S::Response, S::Error> {
        CURRENT.scope(OnceCell::new(), self.0.call(req)).await
    }
}

impl<S: ReadyService> ReadyService for Scope<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.0.ready().await
    }
}

/// Makes [`Acceptor`]s.
#[derive(Debug)]
pub(crate) struct AcceptorMaker(pub(crate) Arc<Connections>);

impl Service for AcceptorMaker {
    type Response = Acceptor;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Acceptor, Infallible> {
        Ok(Acceptor(Arc::clone(&self.0)))
    }
}

/// Turns an accepted socket into the server's end of a [`Connection`].
///
/// The server takes it for the step that accepts encrypted connections.
#[derive(Debug)]
pub(crate) struct Acceptor(Arc<Connections>);

impl Service<TcpStream> for Acceptor {
    type Response = ServedStream;
    // The connection alone ends by this error, which stands for a socket that is broken already.
    type Error = ();

    async fn call(&self, req: TcpStream) -> Result<ServedStream, ()> {
        let stream = req.into_std().and_then(tokio::net::TcpStream::from_std).map_err(drop)?;
        stream.set_nodelay(true).map_err(drop)?;
        SockRef::from(&stream).set_send_buffer_size(SOCKET_BUF_LEN).map_err(drop)?;
        let connection = Arc::new(Connection::new(stream, Arc::clone(&self.0)));
        // Fails only if the scope's connection were accepted twice, or outside of a scope.
        _ = CURRENT.try_with(|current| current.set(Arc::clone(&connection)));
        Ok(ServedStream::new(connection))
    }
}

/// Makes [`Tracker`]s.
#[derive(Debug)]
pub(crate) struct TrackerMaker;

impl<S, E> Service<Result<S, E>> for TrackerMaker {
    type Response = Tracker<S>;
    type Error = E;

    async fn call(&self, req: Result<S, E>) -> Result<Tracker<S>, E> {
        req.map(Tracker)
    }
}

/// Records on the connection whether a request is handled or answered.
#[derive(Debug)]
pub(crate) struct Tracker<S>(S);

impl<S, B> Service<Request<RequestExt<RequestBody>>> for Tracker<S>
where
    S: Service<Request<RequestExt<RequestBody>>, Response = Response<B>>,
{
    type Response = Response<B>;
    type Error = S::Error;

    async fn call(&self, req: Request<RequestExt<RequestBody>>) -> Result<Response<B>, S::Error> {
        let connection = Connection::current();
        if let Some(connection) = &connection {
            connection.begin_request();
        }
        let res = self.0.call(req).await;
        if let Some(connection) = &connection {
            connection.set_phase(Phase::Answering);
        }
        res
    }
}

impl<S: ReadyService> ReadyService for Tracker<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.0.ready().await
    }
}
