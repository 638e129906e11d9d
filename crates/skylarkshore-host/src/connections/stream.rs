//! The bytes of a connection, as the server reads and writes them; see [`ServedStream`].

use std::io;
use std::net::Shutdown;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use socket2::SockRef;
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};

use super::{Connection, Phase};

/// The server's end of a connection.
///
/// The connection ends when the server drops it, whoever else still holds a handle to the socket.
#[derive(Debug)]
pub(crate) struct ServedStream(Arc<Connection>);

impl ServedStream {
    pub(super) const fn new(connection: Arc<Connection>) -> Self {
        Self(connection)
    }
}

impl AsyncBufRead for ServedStream {
    /// Reads the body of a request in progress, or else the next head until the server closes.
    async fn read<B: BoundedBufMut>(&self, buf: B) -> (io::Result<usize>, B) {
        let mut read = pin!(AsyncBufRead::read(&self.0.stream, buf));
        if self.0.is_in(Phase::Handling) {
            let read = read.await;
            if matches!(read.0, Ok(0)) {
                self.0.is_body_cut.store(true, Ordering::Relaxed);
            }
            return read;
        }
        self.0.set_phase(Phase::Idle);
        tokio::select! {
            biased;
            read = &mut read => return read,
            () = self.0.connections.until_closed() => {}
        }
        // Ends the read, which holds the buffer.
        self.0.force_close();
        read.await
    }
}

impl AsyncBufWrite for ServedStream {
    async fn write<B: BoundedBuf>(&self, buf: B) -> (io::Result<usize>, B) {
        AsyncBufWrite::write(&self.0.stream, buf).await
    }

    async fn shutdown(self, direction: Shutdown) -> io::Result<()> {
        SockRef::from(&self.0.stream).shutdown(direction)
    }
}

impl Drop for ServedStream {
    fn drop(&mut self) {
        self.0.set_phase(Phase::Idle);
        self.0.force_close();
    }
}
