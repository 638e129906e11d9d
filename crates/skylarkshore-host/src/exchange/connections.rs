//! Notices callers that go away while they wait.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use skylarkshore_core::collections::OrderedMap;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Notify, watch};
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// A caller's connection as seen from beside the server.
#[derive(Clone, Debug)]
pub(super) struct Watched {
    gone: watch::Receiver<bool>,
    cut: Arc<Notify>,
    /// Whether a request on it is being answered.
    busy: Arc<AtomicBool>,
}

impl Watched {
    /// Returns once the caller has closed the connection or broken it.
    pub(super) async fn gone(&mut self) {
        // A watcher that ended without a word has lost its connection too.
        _ = self.gone.wait_for(|gone| *gone).await;
    }

    /// Takes note of whether a request on it is being answered.
    pub(super) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Relaxed);
    }

    /// Breaks the connection, so that the caller can't take its answer for whole.
    pub(super) fn cut(&self) {
        self.cut.notify_one();
    }
}

/// The callers' connections.
///
/// The server reads from a connection only between requests, so that it would
/// notice a caller that went away only when it next writes. A request that waits
/// for a cold model would then be loaded and run for nobody. A second handle to
/// the same socket is watched instead.
#[derive(Debug, Default)]
pub struct Connections {
    live: Mutex<OrderedMap<SocketAddr, Watched>>,
    closed: CancelFlag,
}

/// A flag that is set once and can be waited for.
#[derive(Debug)]
struct CancelFlag(watch::Sender<bool>);

impl Default for CancelFlag {
    fn default() -> Self {
        Self(watch::Sender::new(false))
    }
}

impl Connections {
    /// Takes no new connections, and ends those on which nothing is being answered.
    ///
    /// A process that still took requests when it is made to end would cut them
    /// off; a caller whose connection is closed between two requests goes to
    /// another host.
    pub fn close(&self) {
        self.closed.0.send_replace(true);
        let live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        for watched in live.values().filter(|watched| !watched.busy.load(Ordering::Relaxed)) {
            watched.cut();
        }
    }

    /// Tells whether no new requests are taken.
    pub fn is_closed(&self) -> bool {
        *self.closed.0.borrow()
    }

    async fn until_closed(&self) {
        // The sender lives as long as this does.
        _ = self.closed.0.subscribe().wait_for(|closed| *closed).await;
    }

    /// Returns the connection from an address.
    pub(super) fn get(&self, caller: SocketAddr) -> Option<Watched> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).get(&caller).cloned()
    }

    fn watch(self: &Arc<Self>, stream: TcpStream, caller: SocketAddr) {
        let (tx, rx) = watch::channel(false);
        let cut = Arc::new(Notify::new());
        let watched = Watched { gone: rx, cut: Arc::clone(&cut), busy: Arc::default() };
        self.live.lock().unwrap_or_else(PoisonError::into_inner).insert(caller, watched);
        let this = Arc::clone(self);
        tokio::spawn(async move {
            tokio::select! {
                () = until_closed(&stream) => {}
                () = cut.notified() => {
                    // A socket that is closed already needs no cutting.
                    _ = socket_shutdown(stream);
                }
            }
            // The address is free for another connection only after the socket is closed.
            this.live.lock().unwrap_or_else(PoisonError::into_inner).remove(&caller);
            tx.send_replace(true);
        });
    }
}

fn socket_shutdown(stream: TcpStream) -> io::Result<()> {
    stream.into_std()?.shutdown(Shutdown::Both)
}

/// Returns once the other end has closed the connection or broken it.
async fn until_closed(stream: &TcpStream) {
    loop {
        let Ok(ready) = stream.ready(Interest::READABLE | Interest::ERROR).await else { return };
        if ready.is_read_closed() || ready.is_error() {
            return;
        }
        // The bytes are the server's to read; only the next change is waited for.
        let forget = || -> io::Result<()> { Err(io::ErrorKind::WouldBlock.into()) };
        _ = stream.try_io(Interest::READABLE, forget);
    }
}

/// Accepts connections and has each one watched.
#[derive(Debug)]
pub struct WatchedListener {
    listener: std::net::TcpListener,
    connections: Arc<Connections>,
    runtime: Handle,
}

impl WatchedListener {
    /// Makes a listener; the watching is done in `runtime`.
    pub const fn new(
        listener: std::net::TcpListener,
        connections: Arc<Connections>,
        runtime: Handle,
    ) -> Self {
        Self { listener, connections, runtime }
    }
}

/// A listener that runs.
#[derive(Debug)]
pub struct Accepting {
    /// Gone once no new connections are taken.
    listener: Mutex<Option<Arc<TcpListener>>>,
    connections: Arc<Connections>,
    runtime: Handle,
}

impl IntoListener for WatchedListener {
    type Listener = Accepting;

    fn into_listener(self) -> io::Result<Accepting> {
        self.listener.set_nonblocking(true)?;
        let listener = Mutex::new(Some(Arc::new(TcpListener::from_std(self.listener)?)));
        Ok(Accepting { listener, connections: self.connections, runtime: self.runtime })
    }
}

impl Accepting {
    /// Returns the next connection; never, once no new ones are taken.
    async fn next(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(listener) = listener {
            tokio::select! {
                biased;
                () = self.connections.until_closed() => {}
                accepted = listener.accept() => return accepted,
            }
        }
        // With the last handle the socket is closed, and callers are turned away at once.
        drop(self.listener.lock().unwrap_or_else(PoisonError::into_inner).take());
        std::future::pending().await
    }
}

impl Listen for Accepting {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, caller) = self.next().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        // Without a second handle the caller's going away is noticed later, and nothing else.
        if let Ok(second) = stream.try_clone() {
            let _inside = self.runtime.enter();
            if let Ok(second) = TcpStream::from_std(second) {
                self.connections.watch(second, caller);
            }
        }
        Ok(Stream::Tcp(stream, caller))
    }
}
