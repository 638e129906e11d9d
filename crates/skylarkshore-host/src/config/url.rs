//! URLs of the platform's services.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::{Display, Error};

/// An `http://` URL with an IP address, a port and an optional path.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("http://{address}{path}")]
pub struct HttpUrl {
    /// The socket address.
    pub address: SocketAddr,
    /// The path, empty or with a leading slash.
    pub path: String,
}

/// A text that isn't such a URL.
#[derive(Debug, Display, Error)]
#[display(
    "'{text}' is no address of a service; write http://, an IP number and a port, for example http://10.0.0.9:2379"
)]
pub struct InvalidHttpUrl {
    text: String,
}

impl FromStr for HttpUrl {
    type Err = InvalidHttpUrl;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidHttpUrl { text: s.to_owned() };
        let rest = s.strip_prefix("http://").ok_or_else(invalid)?;
        let (address, path) = rest.find('/').map_or((rest, ""), |slash| rest.split_at(slash));
        let address = address.parse().map_err(|_invalid| invalid())?;
        let is_valid_path = path.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
        if !is_valid_path {
            return Err(invalid());
        }
        Ok(Self { address, path: path.trim_end_matches('/').to_owned() })
    }
}
