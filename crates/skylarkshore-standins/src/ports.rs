//! Ports for processes that are told theirs before they start.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first port that is tried.
const FIRST: u32 = 20_000;
/// How many ports are tried.
///
/// They lie below those that the system gives to outgoing connections, which
/// would else take a port between its choice and its use, and the process that
/// was told of it couldn't start.
const COUNT: u32 = 12_000;
/// Keeps test programs that run at the same time apart.
const STRIDE: u32 = 613;

/// Finds a loopback port that is free for TCP and UDP.
///
/// # Errors
///
/// Every port is taken.
pub fn free_port() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(STRIDE).wrapping_add(step) % COUNT;
        let port = u16::try_from(FIRST + offset).map_err(io::Error::other)?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no loopback port is free; end some processes"))
}
