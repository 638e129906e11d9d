//! What every decision may use: the time, the settings, the shared keys, and a place for its effects.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::catalogue::Document;
use crate::config::NodeConfig;
use crate::effect::{Decision, Effect, LogEvent};
use crate::id::{AttemptId, CallId, HostId, OrderId, RequestId};
use crate::peer::{Envelope, PeerMessage};
use crate::rules::MinuteOfDay;
use crate::store::{StoreCache, WriteRequest};
use crate::time::Time;
use crate::upstream::UpstreamList;

/// The numbers that a process has given out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    call: CallId,
    order: OrderId,
    attempt: AttemptId,
}

/// The surroundings of one decision.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The time of the event.
    pub now: Time,
    /// The time of day.
    pub at: MinuteOfDay,
    /// What the process was told about itself.
    pub cfg: &'a NodeConfig,
    /// The operators' document in force.
    pub document: &'a Document,
    /// The shared keys as this process knows them.
    pub cache: &'a StoreCache,
    /// The host list as last read.
    pub upstreams: &'a UpstreamList,
    /// Where the effects go.
    pub effects: &'a mut Vec<Effect>,
    /// Where the wanted writes go.
    pub writes: &'a mut Vec<WriteRequest>,
    /// The numbers given out so far.
    pub counters: &'a mut Counters,
    /// The seeded source of randomness.
    pub rng: &'a mut SmallRng,
}

impl Cx<'_> {
    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message to a process; one to this process itself is taken at once.
    pub fn send(&mut self, to: &HostId, message: PeerMessage) {
        self.push(Effect::Peer(Envelope { to: to.clone(), message }));
    }

    /// Begins a write; its outcome comes to whoever looks after the key.
    ///
    /// Writes of the same key are carried out one after the other.
    pub fn write(&mut self, req: WriteRequest) {
        self.writes.push(req);
    }

    /// Sends a message to every other live member.
    pub fn broadcast(&mut self, message: &PeerMessage) {
        let own = &self.cfg.host;
        let peers: Vec<HostId> =
            self.cache.members().filter(|(host, _)| *host != own).map(|(host, _)| host.clone()).collect();
        for peer in peers {
            self.send(&peer, message.clone());
        }
    }

    /// Notes something that operators ought to know.
    #[expect(clippy::needless_pass_by_value, reason = "names and formatted texts are passed alike")]
    pub fn log_event(&mut self, event: &'static str, subject: impl ToString, detail: impl ToString) {
        self.push(Effect::LogEvent(LogEvent {
            event,
            subject: subject.to_string(),
            detail: detail.to_string(),
        }));
    }

    /// Notes a decision on a request, with what decided it.
    pub fn log_decision(&mut self, request: RequestId, event: &'static str, detail: String) {
        self.push(Effect::Decision(Decision { request, event, detail }));
    }

    /// Gives out the number of a call to the key-value service.
    pub const fn next_call(&mut self) -> CallId {
        self.counters.call = self.counters.call.next();
        self.counters.call
    }

    /// Gives out the number of an order.
    pub const fn next_order(&mut self) -> OrderId {
        self.counters.order = self.counters.order.next();
        self.counters.order
    }

    /// Gives out the number of an attempt.
    pub const fn next_attempt(&mut self) -> AttemptId {
        self.counters.attempt = self.counters.attempt.next();
        self.counters.attempt
    }

    /// Returns a duration between half of `d` and one and a half of it.
    pub fn jitter(&mut self, d: std::time::Duration) -> std::time::Duration {
        d.mul_f64(self.rng.random_range(0.5..1.5))
    }
}
