//! Messages between hosts, and events on their way.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use skylarkshore_core::id::HostId;
use skylarkshore_core::peer::{PeerMessage, StatePart};
use skylarkshore_core::{Event, Time};

use super::network::Network;
use super::{Arrival, RelayFleet, StateHead};

/// Size of a message between hosts without changes or state.
const MESSAGE_BYTES: u64 = 200;
/// Size of a change or an item of a state between hosts.
const PACKED_ITEM_BYTES: u64 = 80;
/// Items in a part of a complete state.
const ITEMS_PER_PART: usize = 1000;
/// How long a host keeps a message of a peer whose certificate it doesn't know.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(1);
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(50);

impl RelayFleet {
    /// Hands a message to a host that knows the certificate of its sender.
    pub(super) fn on_message(&mut self, to: &HostId, from: HostId, message: PeerMessage, until: Time) {
        if self.knows(to, &from) {
            return self.handle(to, Event::Peer { from, message });
        }
        if until.is_due(self.now) {
            return;
        }
        self.handle(to, Event::UnknownPeer { host: from.clone() });
        self.send_arrival(to, Arrival::Message { from, message, until }, INTRODUCTION_INTERVAL);
    }

    pub(super) fn knows(&self, host: &HostId, peer: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|host| host.node.cache().member(peer).is_some())
    }

    pub(super) fn send_state(&mut self, from: &HostId, to: &[HostId], head: StateHead) {
        let StateHead { series, upto, age } = head;
        let parts = match self.network {
            Network::Unlimited => 1,
            Network::Limited(_) => u32::try_from(self.store.records().count() / ITEMS_PER_PART + 1).unwrap(),
        };
        for part in 0..parts {
            let part = StatePart { series, upto, age, part, parts, body: Arc::default() };
            for receiver in to {
                self.send(from, receiver, PeerMessage::State(part.clone()));
            }
        }
    }

    pub(super) fn send(&mut self, from: &HostId, to: &HostId, message: PeerMessage) {
        let is_cut = |name: &HostId| self.hosts.get(name).is_none_or(|host| host.is_isolated);
        if is_cut(from) || is_cut(to) || self.rng.random_range(0..100) < self.lost_messages {
            return;
        }
        let is_limited = matches!(self.network, Network::Limited(_));
        if is_limited && !self.knows(from, to) {
            return;
        }
        let bytes = message_bytes(&message);
        let Some(delay) = self.network.message_delay(self.now, from, to, bytes, &mut self.rng) else {
            return;
        };
        let from = from.clone();
        let arrival = if is_limited {
            Arrival::Message { from, message, until: self.now.after(delay + INTRODUCTION_TIMEOUT) }
        } else {
            Arrival::Event(Event::Peer { from, message })
        };
        self.send_arrival(to, arrival, delay);
    }

    pub(super) fn send_event(&mut self, to: &HostId, event: Event, delay: Duration) {
        self.send_arrival(to, Arrival::Event(event), delay);
    }

    pub(super) fn send_arrival(&mut self, to: &HostId, arrival: Arrival, delay: Duration) {
        let lag = self.hosts.get(to).map(|host| host.lag).unwrap_or_default();
        self.sent += 1;
        self.in_flight.insert((self.now.after(delay + lag), self.sent), (to.clone(), arrival));
    }
}

/// Returns the size of a message between hosts, which hold changes and states in compressed form.
fn message_bytes(message: &PeerMessage) -> u64 {
    match message {
        PeerMessage::News(news) => MESSAGE_BYTES + (news.upto.0 - news.after.0) * PACKED_ITEM_BYTES,
        PeerMessage::State(_) => MESSAGE_BYTES + ITEMS_PER_PART as u64 * PACKED_ITEM_BYTES,
        _ => MESSAGE_BYTES,
    }
}
