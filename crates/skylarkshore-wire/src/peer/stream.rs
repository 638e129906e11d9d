//! Messages about streams that callers may take up at another host; see [`StreamMessageWire`].

use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{ServiceName, SoftwareVersion, StreamId};
use skylarkshore_core::peer::{StreamMessage, StreamOrigin};

/// A message in its wire form. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the variants and fields are those of the core's StreamMessage")]
pub enum StreamMessageWire {
    Begun { stream: StreamId, software: Option<SoftwareVersion>, kept_ms: u64 },
    Noted { stream: StreamId },
    Wanted { stream: StreamId, destination: Option<ServiceName>, max_age_ms: u64 },
    Known { stream: StreamId, origin: StreamOriginWire },
}

/// What a host knows of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the variants are those of the core's StreamOrigin")]
pub enum StreamOriginWire {
    Kept(Option<SoftwareVersion>),
    OnlyServed(Option<SoftwareVersion>),
    Unknown,
    Served { versions: Vec<Option<SoftwareVersion>>, is_complete: bool },
}

impl From<&StreamMessage> for StreamMessageWire {
    fn from(message: &StreamMessage) -> Self {
        match message.clone() {
            StreamMessage::Begun { stream, software, kept } => {
                Self::Begun { stream, software, kept_ms: millis(kept) }
            }
            StreamMessage::Noted { stream } => Self::Noted { stream },
            StreamMessage::Wanted { stream, destination, max_age } => {
                Self::Wanted { stream, destination, max_age_ms: millis(max_age) }
            }
            StreamMessage::Known { stream, origin } => Self::Known { stream, origin: origin.into() },
        }
    }
}

impl From<StreamMessageWire> for StreamMessage {
    fn from(wire: StreamMessageWire) -> Self {
        match wire {
            StreamMessageWire::Begun { stream, software, kept_ms } => {
                Self::Begun { stream, software, kept: Duration::from_millis(kept_ms) }
            }
            StreamMessageWire::Noted { stream } => Self::Noted { stream },
            StreamMessageWire::Wanted { stream, destination, max_age_ms } => {
                Self::Wanted { stream, destination, max_age: Duration::from_millis(max_age_ms) }
            }
            StreamMessageWire::Known { stream, origin } => Self::Known { stream, origin: origin.into() },
        }
    }
}

impl From<StreamOrigin> for StreamOriginWire {
    fn from(origin: StreamOrigin) -> Self {
        match origin {
            StreamOrigin::Kept(software) => Self::Kept(software),
            StreamOrigin::OnlyServed(software) => Self::OnlyServed(software),
            StreamOrigin::Unknown => Self::Unknown,
            StreamOrigin::Served { versions, is_complete } => Self::Served { versions, is_complete },
        }
    }
}

impl From<StreamOriginWire> for StreamOrigin {
    fn from(wire: StreamOriginWire) -> Self {
        match wire {
            StreamOriginWire::Kept(software) => Self::Kept(software),
            StreamOriginWire::OnlyServed(software) => Self::OnlyServed(software),
            StreamOriginWire::Unknown => Self::Unknown,
            StreamOriginWire::Served { versions, is_complete } => Self::Served { versions, is_complete },
        }
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
