//! Connections to upstreams that a peer relays. Start with [`Peers::open_tunnel`] and [`Peers::serve_tunnels`].

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use quinn::{Connection, RecvStream, SendStream, VarInt};
use skylarkshore_core::id::{HostId, UpstreamId};
use skylarkshore_wire::tunnel::{TunnelAnswer, decode_request, encode_request};
use slog::debug;
use tokio::io::{AsyncReadExt, Join, copy, join};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::peers::Peers;
use crate::pool::connect;

/// How long a peer may take to open a connection for another host. It waits for the upstream for less.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// The error code of a stream whose upstream broke the connection.
const UPSTREAM_BROKE: VarInt = VarInt::from_u32(1);

/// A relayed connection.
pub(crate) type Tunnel = Join<RecvStream, SendStream>;

/// Why a peer opens no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelError {
    /// The peer can't be reached, or relays nothing.
    NoPath,
    /// The peer doesn't reach the upstream.
    Unreachable,
}

impl Peers {
    /// Opens a connection to an upstream through a peer.
    ///
    /// # Errors
    ///
    /// See [`TunnelError`].
    pub(crate) async fn open_tunnel(
        &self,
        peer: &HostId,
        upstream: &UpstreamId,
    ) -> Result<Tunnel, TunnelError> {
        let opened = timeout(OPEN_TIMEOUT, self.request_tunnel(peer, upstream)).await;
        match opened {
            Ok(Some((tunnel, TunnelAnswer::Open))) => Ok(tunnel),
            Ok(Some((_, TunnelAnswer::Unreachable))) => Err(TunnelError::Unreachable),
            Ok(Some((_, TunnelAnswer::Refused)) | None) | Err(_) => Err(TunnelError::NoPath),
        }
    }

    async fn request_tunnel(&self, peer: &HostId, upstream: &UpstreamId) -> Option<(Tunnel, TunnelAnswer)> {
        let connection = self.connection_to(peer).await?;
        let (mut send, mut recv) = connection.open_bi().await.ok()?;
        send.write_all(&encode_request(upstream)?).await.ok()?;
        let answer = TunnelAnswer::try_from(recv.read_u8().await.ok()?).ok()?;
        Some((join(recv, send), answer))
    }

    /// Relays connections to upstreams for a peer until its connection ends.
    pub(super) async fn serve_tunnels(self, peer: HostId, connection: Connection) {
        while let Ok((send, recv)) = connection.accept_bi().await {
            let this = self.clone();
            let peer = peer.clone();
            tokio::spawn(async move { this.serve_tunnel(&peer, send, recv).await });
        }
    }

    async fn serve_tunnel(&self, peer: &HostId, mut send: SendStream, mut recv: RecvStream) {
        let Some(upstream) = read_request(&mut recv).await else { return };
        let opened = self.open_for_peer(&upstream).await;
        let answer = opened.as_ref().map_or_else(|answer| *answer, |_| TunnelAnswer::Open);
        debug!(self.shared.env.log, "tunnel"; "peer" => %peer, "upstream" => %upstream, "answer" => ?answer);
        if send.write_all(&[answer.into()]).await.is_err() {
            return;
        }
        match opened {
            Ok(stream) => {
                let _counted = CountedRelay::begin(&self.shared.relayed);
                relay(stream, send, recv).await;
            }
            // The answer is the whole stream.
            Err(_) => _ = send.finish(),
        }
    }

    async fn open_for_peer(&self, upstream: &UpstreamId) -> Result<TcpStream, TunnelAnswer> {
        let target = self.shared.env.inbox.relay_target(upstream.clone()).await;
        let address = target.ok_or(TunnelAnswer::Refused)?;
        connect(address).await.map_err(|_err| TunnelAnswer::Unreachable)
    }
}

/// Counts a relayed connection while it is open.
struct CountedRelay<'a>(&'a AtomicUsize);

impl<'a> CountedRelay<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountedRelay<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn read_request(recv: &mut RecvStream) -> Option<UpstreamId> {
    let mut text = vec![0; usize::from(recv.read_u8().await.ok()?)];
    recv.read_exact(&mut text).await.ok()?;
    decode_request(&text)
}

/// Copies bytes both ways until either end closes.
///
/// A host that gives up its request closes the stream; the upstream's connection is then closed at
/// once, which stops its work. A connection that the upstream breaks must not look closed.
async fn relay(mut stream: TcpStream, mut send: SendStream, mut recv: RecvStream) {
    let (mut from_upstream, mut to_upstream) = stream.split();
    tokio::select! {
        _ = copy(&mut recv, &mut to_upstream) => {}
        copied = copy(&mut from_upstream, &mut send) => {
            // Either fails only if the stream is closed already.
            _ = match copied {
                Ok(_) => send.finish(),
                Err(_) => send.reset(UPSTREAM_BROKE),
            };
        }
    }
}
