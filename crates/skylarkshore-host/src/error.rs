//! Errors that prevent the program from running.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};

use crate::config::invalid::InvalidSettings;

/// Why the program can't start or continue.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file can't be read.
    #[display("can't read the settings file {}: {source}; check its name and permissions", path.display())]
    #[from(skip)]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(InvalidSettings),
    /// An address can't be bound.
    #[display("can't listen on {address} for {purpose}: {source}; change {setting} or free the address")]
    #[from(skip)]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Who connects to it.
        purpose: &'static str,
        /// The setting that contains it.
        setting: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The runtime can't be started.
    #[display("can't start threads or timers: {source}; raise the limits of this process")]
    #[from(skip)]
    Runtime {
        /// The system's error.
        source: io::Error,
    },
    /// The key pair for peers can't be generated.
    #[display("can't make the key pair for peers: {_0}; check the system's source of randomness")]
    KeyPair(rcgen::Error),
    /// The key pair for peers can't be used.
    #[display("can't use the key pair for peers: {_0}; report this as a fault of the program")]
    Tls(rustls::Error),
}
