//! The start of a tunnel, through which a peer relays a connection to an upstream.
//!
//! The opening host sends the upstream's id after its length in one byte; the peer answers with one
//! [`TunnelAnswer`]. After [`TunnelAnswer::Open`] both directions carry the bytes of the connection.

use derive_more::{Display, Error};
use skylarkshore_core::id::UpstreamId;

/// Encodes a request for a connection to an upstream; `None` if its id is too long.
pub fn encode_request(upstream: &UpstreamId) -> Option<Vec<u8>> {
    let id = upstream.as_str().as_bytes();
    let mut bytes = vec![u8::try_from(id.len()).ok()?];
    bytes.extend_from_slice(id);
    Some(bytes)
}

/// Decodes the id in a request, without the length before it; `None` if it is invalid.
pub fn decode_request(id: &[u8]) -> Option<UpstreamId> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

/// Whether a tunnel is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelAnswer {
    /// The connection to the upstream is open.
    Open,
    /// The upstream can't be reached from the peer.
    Unreachable,
    /// The peer has lost its own link to the upstream, or doesn't know it.
    Refused,
}

/// The byte is no answer of this version.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{code} is no answer to a tunnel request")]
pub struct InvalidAnswer {
    /// The byte.
    code: u8,
}

impl From<TunnelAnswer> for u8 {
    fn from(answer: TunnelAnswer) -> Self {
        match answer {
            TunnelAnswer::Open => 0,
            TunnelAnswer::Unreachable => 1,
            TunnelAnswer::Refused => 2,
        }
    }
}

impl TryFrom<u8> for TunnelAnswer {
    type Error = InvalidAnswer;

    fn try_from(code: u8) -> Result<Self, Self::Error> {
        match code {
            0 => Ok(Self::Open),
            1 => Ok(Self::Unreachable),
            2 => Ok(Self::Refused),
            code => Err(InvalidAnswer { code }),
        }
    }
}
