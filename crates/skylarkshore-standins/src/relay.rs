//! TCP relay that injects network faults between a process and its target. Start with [`Relay`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::fleet::any_port;
use crate::socket_owner::owns_port;

/// Largest number of bytes forwarded at a time.
const BUFFER_LEN: usize = 16 * 1024;

/// The fault applied by a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Line {
    /// Forward all bytes.
    #[default]
    Whole,
    /// Close all connections, and new ones immediately.
    Cut,
    /// Discard all bytes; a connection used in this state stalls for good.
    Silent,
    /// Like [`Self::Silent`], but only towards the target.
    Mute,
    /// Like [`Self::Silent`], but only from the target.
    Deaf,
    /// Delay each chunk by this duration.
    Slow(Duration),
}

/// Direction of forwarded bytes: to the target or back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Out,
    Back,
}

impl Line {
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::Silent => true,
            Self::Mute => direction == Direction::Out,
            Self::Deaf => direction == Direction::Back,
            Self::Whole | Self::Cut | Self::Slow(_) => false,
        }
    }
}

/// Forwards connections to a target, with an adjustable fault.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    line: Arc<watch::Sender<Line>>,
    /// Processes whose connections are closed.
    cut_off: Arc<watch::Sender<Vec<u32>>>,
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
    /// Returns an error if no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(any_port()).await?;
        let address = listener.local_addr()?;
        let line = Arc::new(watch::Sender::new(Line::Whole));
        let cut_off = Arc::new(watch::Sender::new(Vec::new()));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&line), Arc::clone(&cut_off)));
        Ok(Self { address, line, cut_off, task })
    }

    /// Returns the listening address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for all connections, including existing ones.
    pub fn set(&self, line: Line) {
        self.line.send_replace(line);
    }

    /// Closes all connections, and new ones immediately.
    pub fn cut(&self) {
        self.set(Line::Cut);
    }

    /// Closes all connections of a process, and new ones immediately.
    pub fn cut_off(&self, pid: u32) {
        self.cut_off.send_modify(|pids| pids.push(pid));
    }

    /// Forwards the connections of a process again.
    pub fn mend_for(&self, pid: u32) {
        self.cut_off.send_modify(|pids| pids.retain(|cut| *cut != pid));
    }

    /// Removes the fault.
    pub fn mend(&self) {
        self.set(Line::Whole);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    line: Arc<watch::Sender<Line>>,
    cut_off: Arc<watch::Sender<Vec<u32>>>,
) {
    loop {
        let Ok((from, peer)) = listener.accept().await else { continue };
        let (line, mut cut_off) = (line.subscribe(), cut_off.subscribe());
        if *line.borrow() == Line::Cut {
            continue;
        }
        tokio::spawn(async move {
            // Nothing is forwarded before it is known whose connection it is.
            if is_cut_off(&mut cut_off, peer.port()).await {
                return;
            }
            tokio::select! {
                () = await_cut_off(cut_off, peer.port()) => {}
                () = relay_connection(from, target, line) => {}
            }
        });
    }
}

/// Reports whether the process that owns a port is cut off.
async fn is_cut_off(cut_off: &mut watch::Receiver<Vec<u32>>, port: u16) -> bool {
    let pids = cut_off.borrow_and_update().clone();
    !pids.is_empty() && owns_port(pids, port).await
}

/// Waits until the process that owns a port is cut off, or the relay ends.
async fn await_cut_off(mut cut_off: watch::Receiver<Vec<u32>>, port: u16) {
    while cut_off.changed().await.is_ok() {
        if is_cut_off(&mut cut_off, port).await {
            return;
        }
    }
}

async fn relay_connection(mut from: TcpStream, target: SocketAddr, mut line: watch::Receiver<Line>) {
    let Ok(mut to) = TcpStream::connect(target).await else { return };
    _ = from.set_nodelay(true);
    _ = to.set_nodelay(true);
    let copied = {
        let (from_reader, from_writer) = from.split();
        let (to_reader, to_writer) = to.split();
        let out = forward(from_reader, to_writer, Direction::Out, line.clone());
        let back = forward(to_reader, from_writer, Direction::Back, line.clone());
        tokio::select! {
            copied = async { tokio::try_join!(out, back) } => copied.map(|_| ()),
            _ = line.wait_for(|line| *line == Line::Cut) => Ok(()),
        }
    };
    if copied.is_err() {
        // A connection that one side resets must not look closed in order to the other.
        _ = from.set_zero_linger();
        _ = to.set_zero_linger();
    }
}

async fn forward(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    direction: Direction,
    line: watch::Receiver<Line>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_LEN];
    loop {
        let len = reader.read(&mut buf).await?;
        let line = *line.borrow();
        if line.drops(direction) {
            return std::future::pending().await;
        }
        if let Line::Slow(by) = line {
            sleep(by).await;
        }
        if len == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buf[..len]).await?;
    }
}
