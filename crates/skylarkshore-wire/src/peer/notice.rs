//! Wire form of the messages about what upstreams have said of themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::id::UpstreamId;
use skylarkshore_core::peer::{KnownNotices, LendingTerm, NoticeMessage, RejectionLimit};

use super::millis;
use super::slot::LendingTermWire;

/// The core's [`RejectionLimit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of the core's RejectionLimit")]
pub struct RejectionLimitWire {
    pub upstream: UpstreamId,
    pub withstands: u32,
    pub needed_in_ms: u64,
    pub term: Option<LendingTermWire>,
}

impl From<&RejectionLimit> for RejectionLimitWire {
    fn from(limit: &RejectionLimit) -> Self {
        Self {
            upstream: limit.upstream.clone(),
            withstands: limit.withstands,
            needed_in_ms: millis(limit.needed_in),
            term: limit.term.as_ref().map(LendingTermWire::from),
        }
    }
}

impl From<RejectionLimitWire> for RejectionLimit {
    fn from(wire: RejectionLimitWire) -> Self {
        Self {
            upstream: wire.upstream,
            withstands: wire.withstands,
            needed_in: Duration::from_millis(wire.needed_in_ms),
            term: wire.term.map(LendingTerm::from),
        }
    }
}

/// The core's [`NoticeMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of the core's KnownNotices")]
pub enum NoticeMessageWire {
    /// Asks for what the receiver knows.
    Wanted,
    /// The answer.
    Known { is_complete: bool, limits: Vec<RejectionLimitWire>, leaving: Vec<UpstreamId> },
}

impl From<&NoticeMessage> for NoticeMessageWire {
    fn from(message: &NoticeMessage) -> Self {
        match message {
            NoticeMessage::Wanted => Self::Wanted,
            NoticeMessage::Known(known) => Self::Known {
                is_complete: known.is_complete,
                limits: known.limits.iter().map(RejectionLimitWire::from).collect(),
                leaving: known.leaving.clone(),
            },
        }
    }
}

impl From<NoticeMessageWire> for NoticeMessage {
    fn from(wire: NoticeMessageWire) -> Self {
        match wire {
            NoticeMessageWire::Wanted => Self::Wanted,
            NoticeMessageWire::Known { is_complete, limits, leaving } => {
                let limits = limits.into_iter().map(RejectionLimit::from).collect();
                Self::Known(KnownNotices { is_complete, limits, leaving })
            }
        }
    }
}
