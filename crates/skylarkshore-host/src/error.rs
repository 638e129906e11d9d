//! Why the program can't start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};

use crate::config::invalid::InvalidSettings;

/// Why the program can't start or go on.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file can't be read.
    #[display("can't read the settings file {}: {source}; check its name and permissions", path.display())]
    #[from(skip)]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The settings are wrong.
    #[display("{_0}")]
    Settings(InvalidSettings),
    /// An address can't be listened on.
    #[display("can't listen on {address} for {purpose}: {source}; change {setting} or free the address")]
    #[from(skip)]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Who was to connect to it.
        purpose: &'static str,
        /// The setting that names it.
        setting: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// The runtime can't be started.
    #[display("can't start threads or timers: {source}; raise the limits of this process")]
    #[from(skip)]
    Runtime {
        /// What the system says.
        source: io::Error,
    },
    /// The peers' key pair can't be made.
    #[display("can't make the key pair for peers: {_0}; check the system's source of randomness")]
    KeyPair(rcgen::Error),
    /// The peers' key pair can't be used.
    #[display("can't use the key pair for peers: {_0}; report this as a fault of the program")]
    Tls(rustls::Error),
}
