//! Free ports for processes whose ports are configured before they start.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port tried.
const FIRST_PORT: u32 = 20_000;
/// Number of ports tried.
///
/// The range lies below the system's ephemeral ports; otherwise an outgoing
/// connection could take a port between its choice and its use, and the process
/// configured with it couldn't start.
const PORT_COUNT: u32 = 12_000;
/// Distance between the first ports of processes with consecutive ids, so that concurrent test
/// programs try different ports.
const PROCESS_STRIDE: u32 = 613;

/// Finds a loopback port that is free for TCP and UDP.
///
/// # Errors
///
/// Returns an error if all ports in the range are taken.
pub fn free_port() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(PROCESS_STRIDE).wrapping_add(step) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).map_err(io::Error::other)?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no free loopback port; stop some processes"))
}
