//! The connections that a server has accepted, and which of them a request came by.
//!
//! Start with [`Connection::current`]: a request knows its own connection, whatever others its caller has.
//! Addresses don't tell connections apart: one address can have a connection to each listener, and come
//! back while an earlier connection from it isn't cleared away yet.

mod listener;
mod serve;
mod stream;

use std::cell::OnceCell;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::watch;

pub(crate) use listener::ClosableListener;
pub(crate) use serve::{AcceptorMaker, ScopeMaker, TrackerMaker};

tokio::task_local! {
    /// The connection that the current task serves, once the server has taken it.
    static CURRENT: OnceCell<Arc<Connection>>;
}

/// The open connections of a server's listeners.
#[derive(Debug)]
pub struct Connections {
    closed: watch::Sender<bool>,
    /// Those on which a request is handled or answered.
    busy: AtomicUsize,
}

impl Default for Connections {
    fn default() -> Self {
        Self { closed: watch::Sender::new(false), busy: AtomicUsize::new(0) }
    }
}

impl Connections {
    /// Stops accepting connections and closes the idle ones; each other one is closed after its answer.
    ///
    /// Requests accepted until the process exits would be cut off. A caller whose
    /// connection is closed between two requests retries at another host.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Reports whether new requests are rejected.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Returns how many connections have a request in progress, or an answer of which the server still
    /// holds a part.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    async fn until_closed(&self) {
        // The sender lives as long as `self`, so this can't fail.
        _ = self.closed.subscribe().wait_for(|closed| *closed).await;
    }
}

/// What a server does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// It waits for the head of a request.
    Idle,
    /// It handles a request, whose body it may still read.
    Handling,
    /// It writes an answer.
    Answering,
}

/// An accepted connection.
///
/// The server reads from a connection only between requests and would detect a
/// disconnect only at its next write. A request that waits for a cold model
/// would then be loaded and run although its caller is gone, so requests watch
/// their connection themselves.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// A [`Phase`].
    phase: AtomicU8,
    /// Whether the caller has ended what it sends within the body of the request in progress.
    is_body_cut: AtomicBool,
    connections: Arc<Connections>,
}

impl Connection {
    const fn new(stream: TcpStream, connections: Arc<Connections>) -> Self {
        let phase = AtomicU8::new(Phase::Idle as u8);
        Self { stream, phase, is_body_cut: AtomicBool::new(false), connections }
    }

    /// Returns the connection of the request that the current task handles; `None` outside of a server.
    pub(crate) fn current() -> Option<Arc<Self>> {
        CURRENT.try_with(|current| current.get().cloned()).ok().flatten()
    }

    /// Waits until the caller has closed its sending side or reset the connection.
    ///
    /// A caller that closes its sending side only is indistinguishable from one that has closed the
    /// connection, until something is sent to it.
    pub(crate) async fn disconnected(&self) {
        // The priority interest also waits for the end of what the caller sends, and not for its bytes.
        while let Ok(ready) = self.stream.ready(Interest::PRIORITY | Interest::ERROR).await {
            if ready.is_read_closed() || ready.is_error() {
                return;
            }
        }
    }

    /// Shuts the connection down, so that the caller can't mistake a partial answer for a complete one.
    pub(crate) fn force_close(&self) {
        // Fails only if the connection has ended already.
        _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Reports whether the caller has ended what it sends within the body of the request in progress.
    ///
    /// To the server, such a body looks complete.
    pub(crate) fn is_body_cut(&self) -> bool {
        self.is_body_cut.load(Ordering::Relaxed)
    }

    fn begin_request(&self) {
        self.is_body_cut.store(false, Ordering::Relaxed);
        self.set_phase(Phase::Handling);
    }

    /// Only the server's task of this connection calls it.
    fn set_phase(&self, phase: Phase) {
        let was_idle = self.phase.swap(phase as u8, Ordering::Relaxed) == Phase::Idle as u8;
        match (was_idle, phase == Phase::Idle) {
            (true, false) => _ = self.connections.busy.fetch_add(1, Ordering::Relaxed),
            (false, true) => _ = self.connections.busy.fetch_sub(1, Ordering::Relaxed),
            _ => {}
        }
    }

    fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }
}
