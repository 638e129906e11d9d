//! Context of an event handler. [`Cx`] gives access to time, configuration and cached state, and collects
//! effects.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::catalogue::Document;
use crate::config::NodeConfig;
use crate::effect::{Decision, Effect, LogEvent};
use crate::id::{AttemptId, CallId, HostId, OrderId, RequestId};
use crate::list_knowledge::ListKnowledge;
use crate::peer::{Envelope, PeerMessage};
use crate::rules::MinuteOfDay;
use crate::store::{StoreCache, WriteRequest};
use crate::time::Time;
use crate::upstream::UpstreamList;

/// Last identifiers allocated by the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    call: CallId,
    order: OrderId,
    attempt: AttemptId,
}

/// Context in which one event is handled.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The time of the event.
    pub now: Time,
    /// Time of day, which rules may depend on.
    pub at: MinuteOfDay,
    /// Configuration of the process.
    pub cfg: &'a NodeConfig,
    /// Active operator document (rules and catalogue).
    pub document: &'a Document,
    /// Local cache of the shared keys: every [`Key`](crate::store::Key) but `Key::Once`.
    pub cache: &'a StoreCache,
    /// Upstreams (engines and service replicas), which the host list names.
    pub upstreams: &'a UpstreamList,
    /// Up to when the host list is known, and since when nothing of it was missed.
    pub list: ListKnowledge,
    /// Collected effects.
    pub effects: &'a mut Vec<Effect>,
    /// Write requests collected from the handler, which are queued when it returns.
    pub writes: &'a mut Vec<WriteRequest>,
    /// Last allocated identifiers.
    pub counters: &'a mut Counters,
    /// Seeded random number generator.
    pub rng: &'a mut SmallRng,
}

impl Cx<'_> {
    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message to a process; a message to this process is delivered when the event has been handled.
    pub fn send(&mut self, to: &HostId, message: PeerMessage) {
        self.push(Effect::Peer(Envelope { to: to.clone(), message }));
    }

    /// Queues a write; its outcome is passed to the subsystem that owns the key.
    ///
    /// Writes to the same key are executed sequentially.
    pub fn write(&mut self, req: WriteRequest) {
        self.writes.push(req);
    }

    /// Sends a message to every other member.
    pub fn broadcast(&mut self, message: &PeerMessage) {
        let own = &self.cfg.host;
        let peers: Vec<HostId> =
            self.cache.members().filter(|(host, _)| *host != own).map(|(host, _)| host.clone()).collect();
        for peer in peers {
            self.send(&peer, message.clone());
        }
    }

    /// Logs and counts an event for the operators.
    #[expect(clippy::needless_pass_by_value, reason = "accepts names and formatted strings alike")]
    pub fn log_event(&mut self, event: &'static str, subject: impl ToString, detail: impl ToString) {
        self.push(Effect::LogEvent(LogEvent {
            event,
            subject: subject.to_string(),
            detail: detail.to_string(),
        }));
    }

    /// Logs a decision on a request with its inputs.
    pub fn log_decision(&mut self, request: RequestId, event: &'static str, detail: String) {
        self.push(Effect::Decision(Decision { request, event, detail }));
    }

    /// Allocates an identifier for a call to the key-value service.
    pub const fn next_call(&mut self) -> CallId {
        self.counters.call = self.counters.call.next();
        self.counters.call
    }

    /// Allocates an identifier for an order.
    pub const fn next_order(&mut self) -> OrderId {
        self.counters.order = self.counters.order.next();
        self.counters.order
    }

    /// Allocates an identifier for an attempt.
    pub const fn next_attempt(&mut self) -> AttemptId {
        self.counters.attempt = self.counters.attempt.next();
        self.counters.attempt
    }

    /// Returns a random duration between 0.5 and 1.5 times `d`.
    pub fn jitter(&mut self, d: std::time::Duration) -> std::time::Duration {
        d.mul_f64(self.rng.random_range(0.5..1.5))
    }
}
