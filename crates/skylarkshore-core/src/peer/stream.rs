//! Messages about streams that callers may take up at another host.

use std::time::Duration;

use crate::id::{ServiceName, StreamId};
use crate::upstream::StatedVersion;

/// A message between a host where a stream begins or is taken up, and the hosts that keep its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamMessage {
    /// Asks the receiver to keep the version that began a stream.
    Begun {
        /// The stream.
        stream: StreamId,
        /// The software version; `None` stands for upstreams that state none.
        software: StatedVersion,
        /// How long it is kept.
        kept: Duration,
    },
    /// Confirms that the version is kept.
    Noted {
        /// The stream.
        stream: StreamId,
    },
    /// Asks for the version that began a stream.
    Wanted {
        /// The stream.
        stream: StreamId,
        /// The service or pool whose upstreams serve it; `None` for engines without a pool.
        destination: Option<ServiceName>,
        /// How long ago it can have begun.
        max_age: Duration,
    },
    /// Answers [`StreamMessage::Wanted`].
    Known {
        /// The stream.
        stream: StreamId,
        /// What the sender knows of its version.
        origin: StreamOrigin,
    },
}

/// What a host knows of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamOrigin {
    /// This version began it.
    Kept(StatedVersion),
    /// Nothing is kept, but this version alone has served since the stream can have begun.
    ///
    /// Hosts of the version before this one answer so.
    OnlyServed(StatedVersion),
    /// Nothing is known.
    Unknown,
    /// Nothing is kept.
    Served {
        /// The versions that are known to have served while the stream can have begun.
        versions: Vec<StatedVersion>,
        /// Whether none is missing.
        is_complete: bool,
    },
}
