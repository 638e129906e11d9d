//! How a process that isn't known yet is introduced, or why it is turned away.

use std::time::Duration;

use derive_more::{Display, Error, From};
use quinn::ConnectionError;
use skylarkshore_core::id::HostId;

/// How long the connection of a process that isn't known yet is kept.
pub(super) const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of connections of processes that aren't known yet.
pub(super) const MAX_INTRODUCTIONS: usize = 64;

/// Why a connection from a peer isn't accepted.
#[derive(Debug, Display, Error, From)]
pub(super) enum TurnedAway {
    /// The handshake failed.
    #[display("{_0}")]
    Handshake(ConnectionError),
    /// The peer presented no certificate.
    #[display("it presents no certificate")]
    NoCertificate,
    /// The certificate isn't published and names no host whose member key could be read.
    #[display("its certificate names no host")]
    Unnamed,
    /// Too many unknown processes are connected.
    #[display("{MAX_INTRODUCTIONS} others wait for their introduction")]
    TooMany,
    /// The named host doesn't publish the certificate in time.
    #[display("{_0} doesn't publish its certificate in time")]
    #[from(skip)]
    NotPublished(#[error(not(source))] HostId),
}
