//! Determines whether an incarnation of a process has ended for certain, and whether an upstream is reached.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use skylarkshore_core::id::{HostId, Incarnation};
use skylarkshore_wire::operator::Health;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::http::{call_anew, json_request};

/// The path on which a process reports its incarnation.
pub(crate) const HEALTH_PATH: &str = "/healthz";

const TIMEOUT: Duration = Duration::from_secs(1);
/// How long an upstream may take to accept a connection; data centres are milliseconds apart.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection must stay open; something in between may accept it and close it at once.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Reports whether an upstream accepts a new connection and keeps it open.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    let Ok(Ok(stream)) = timeout(UPSTREAM_TIMEOUT, TcpStream::connect(address)).await else { return false };
    // An upstream sends nothing before it is asked, so that a result means the end of the connection.
    timeout(CLOSE_TIMEOUT, stream.peek(&mut [0])).await.is_err()
}

/// Reports whether the incarnation of the process has ended.
///
/// This is certain if its address refuses connections, or if another
/// incarnation of the same host answers there, since only one at a time can
/// listen. The kernel still accepts connections for a frozen process. A
/// time-out proves nothing.
pub(crate) async fn has_ended(host: &HostId, incarnation: Incarnation, address: SocketAddr) -> bool {
    match timeout(TIMEOUT, TcpStream::connect(address)).await {
        Err(_elapsed) => false,
        Ok(Err(err)) => err.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_stream)) => other_incarnation_answers(host, incarnation, address).await,
    }
}

async fn other_incarnation_answers(host: &HostId, incarnation: Incarnation, address: SocketAddr) -> bool {
    let req = json_request(Method::GET, address, HEALTH_PATH, Bytes::new());
    let Ok(Some(answer)) = call_anew(address, req, || true, Instant::now() + TIMEOUT).await else {
        return false;
    };
    let health = serde_json::from_slice::<Health>(&answer.body);
    health.is_ok_and(|health| health.host == *host && health.incarnation != incarnation)
}
