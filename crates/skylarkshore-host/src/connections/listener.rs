//! A listener that stops accepting connections; see [`ClosableListener`].

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::{TcpListener, TcpStream};
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

use super::Connections;

/// A listener that accepts connections until [`Connections::close`].
#[derive(Debug)]
pub(crate) struct ClosableListener {
    listener: std::net::TcpListener,
    connections: Arc<Connections>,
}

impl ClosableListener {
    pub(crate) const fn new(listener: std::net::TcpListener, connections: Arc<Connections>) -> Self {
        Self { listener, connections }
    }
}

/// A running [`ClosableListener`].
#[derive(Debug)]
pub(crate) struct ActiveListener {
    /// `None` once no new connections are accepted.
    listener: Mutex<Option<Arc<TcpListener>>>,
    connections: Arc<Connections>,
}

impl IntoListener for ClosableListener {
    type Listener = ActiveListener;

    fn into_listener(self) -> io::Result<ActiveListener> {
        self.listener.set_nonblocking(true)?;
        let listener = Mutex::new(Some(Arc::new(TcpListener::from_std(self.listener)?)));
        Ok(ActiveListener { listener, connections: self.connections })
    }
}

impl ActiveListener {
    /// Returns the next connection; never returns after [`Connections::close`].
    async fn next(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(listener) = listener {
            tokio::select! {
                biased;
                () = self.connections.until_closed() => {}
                accepted = listener.accept() => return accepted,
            }
        }
        // Dropping the last handle closes the socket, so that new connections are refused at once.
        drop(self.listener.lock().unwrap_or_else(PoisonError::into_inner).take());
        std::future::pending().await
    }
}

impl Listen for ActiveListener {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, caller) = self.next().await?;
        Ok(Stream::Tcp(stream.into_std()?, caller))
    }
}
