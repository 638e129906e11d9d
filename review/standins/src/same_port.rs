//! Two connections of one caller to different ports of a host, from one source port that the caller sets.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_REUSEADDR: c_int = 2;
/// 127.0.0.1 in network order.
const LOOPBACK: u32 = u32::from_be_bytes([127, 0, 0, 1]).to_be();

/// The system's `sockaddr_in`.
#[repr(C)]
struct InternetAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn bind(fd: c_int, address: *const InternetAddress, len: u32) -> c_int;
    fn connect(fd: c_int, address: *const InternetAddress, len: u32) -> c_int;
}

/// Connects from a port of the loopback address, or from any free one if it is 0.
///
/// # Errors
///
/// The port is taken, or the connection fails.
pub fn connect_from(port: u16, to: SocketAddr) -> io::Result<TcpStream> {
    let address = |port: u16| InternetAddress {
        family: AF_INET as u16,
        port: port.to_be(),
        address: LOOPBACK,
        zero: [0; 8],
    };
    let (from, to) = (address(port), address(to.port()));
    let len = size_of::<InternetAddress>() as u32;
    let reuse: c_int = 1;
    // SAFETY: the pointers are to values that outlive the calls, with their sizes; the descriptor is owned by the stream.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let reuse_len = size_of::<c_int>() as u32;
        let is_connected = setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, (&raw const reuse).cast(), reuse_len)
            == 0
            && bind(fd, &raw const from, len) == 0
            && connect(fd, &raw const to, len) == 0;
        if is_connected { Ok(stream) } else { Err(io::Error::last_os_error()) }
    }
}
