//! Control-plane cost of a process: messages, bytes, calls and processing time. Start with [`Meter`].

use std::time::Duration;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::effect::Effect;
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_wire::peer::encode;

/// Overhead per message in bytes: IP, UDP and QUIC headers, framing and authentication tag.
const BYTES_PER_MESSAGE: u64 = 72;

/// Number and size of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Size in bytes, headers included.
    pub bytes: u64,
}

/// Control-plane cost of one host's processes.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Messages sent to peers, by kind.
    pub peers: OrderedMap<&'static str, Count>,
    /// Calls to the key-value service, by kind.
    pub store: OrderedMap<&'static str, u64>,
    /// Orders and report requests sent to engines.
    pub engines: u64,
    /// Wall-clock time spent handling events.
    pub busy: Duration,
    /// Number of events handled.
    pub events: u64,
}

impl Meter {
    pub(crate) fn count(&mut self, effect: &Effect) {
        match effect {
            Effect::Peer(envelope) => {
                let bytes = encode(&envelope.message).map_or(0, |buf| buf.len() as u64);
                let count = self.peers.entry(kind(&envelope.message)).or_default();
                count.messages += 1;
                count.bytes += bytes + BYTES_PER_MESSAGE;
            }
            Effect::Store { request, .. } => *self.store.entry(request.name()).or_default() += 1,
            Effect::Watch { .. } => *self.store.entry("watch").or_default() += 1,
            Effect::Order { .. } | Effect::RequestReport { .. } => self.engines += 1,
            _ => {}
        }
    }

    /// Returns the total of messages sent to peers.
    pub fn sent(&self) -> Count {
        let add =
            |sum: Count, c: &Count| Count { messages: sum.messages + c.messages, bytes: sum.bytes + c.bytes };
        self.peers.values().fold(Count::default(), add)
    }
}

const fn kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat { .. } => "heartbeat",
        PeerMessage::RecordsWanted { .. } => "records_wanted",
        PeerMessage::Records(_) => "records",
        PeerMessage::Wanted { .. } => "wanted",
        PeerMessage::Used { .. } => "used",
        PeerMessage::View(_) => "view",
        PeerMessage::CannotLoad { .. } => "cannot_load",
        PeerMessage::LoadSlotWanted { .. }
        | PeerMessage::LoadSlotGranted { .. }
        | PeerMessage::LoadSlotHeld { .. }
        | PeerMessage::LoadSlotReturned { .. } => "load_slot",
        PeerMessage::PowerWanted { .. } => "power_wanted",
        PeerMessage::Stream(_) => "streams",
        PeerMessage::Slot(_) | PeerMessage::Notice(_) | PeerMessage::UpstreamFull { .. } => "slots",
        PeerMessage::Suspects { .. }
        | PeerMessage::SuspectsNoted { .. }
        | PeerMessage::LossesNoted { .. }
        | PeerMessage::UpstreamsReached { .. }
        | PeerMessage::Cleared { .. } => "suspects",
        _ => "other",
    }
}
