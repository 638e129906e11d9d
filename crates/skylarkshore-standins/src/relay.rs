//! A connection that can be cut: a relay between one process and what it talks to.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::fleet::any_port;

/// Whether a relay passes bytes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    Whole,
    Cut,
}

/// Passes connections on to a target until it is cut.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    line: Arc<watch::Sender<Line>>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut();
        self.task.abort();
    }
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(any_port()).await?;
        let address = listener.local_addr()?;
        let line = Arc::new(watch::Sender::new(Line::Whole));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&line)));
        Ok(Self { address, line, task })
    }

    /// Returns where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection, and each new one at once.
    pub fn cut(&self) {
        self.line.send_replace(Line::Cut);
    }

    /// Passes new connections on again.
    pub fn mend(&self) {
        self.line.send_replace(Line::Whole);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, line: Arc<watch::Sender<Line>>) {
    loop {
        let Ok((from, _)) = listener.accept().await else { continue };
        let line = line.subscribe();
        if *line.borrow() == Line::Whole {
            tokio::spawn(pass_on(from, target, line));
        }
    }
}

async fn pass_on(mut from: TcpStream, target: SocketAddr, mut line: watch::Receiver<Line>) {
    let Ok(mut to) = TcpStream::connect(target).await else { return };
    tokio::select! {
        // A connection that breaks on either side ends here, as it would without the relay.
        _ = copy_bidirectional(&mut from, &mut to) => {}
        _ = line.wait_for(|line| *line == Line::Cut) => {}
    }
}
