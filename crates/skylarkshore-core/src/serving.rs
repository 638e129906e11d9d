//! The requests in progress at this process, from arrival to their one final answer.

use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{Belief, Gauge};
use crate::event::{Arrival, AttemptEnd};
use crate::id::{AttemptId, CallId, HostId, RequestId};
use crate::peer::PeerMessage;
use crate::store::{Key, StoreResult, WriteOutcome};

/// The requests, queues and routes of one process.
#[derive(Debug)]
pub struct Serving;

impl Serving {
    /// Makes the state of a process without requests.
    pub fn new(_cfg: &NodeConfig) -> Self {
        Self
    }

    /// Takes a caller's request.
    pub fn on_arrived(&mut self, _cx: &mut Cx<'_>, _request: RequestId, _arrival: Arrival) {}

    /// Takes note that the caller went away.
    pub fn on_caller_gone(&mut self, _cx: &mut Cx<'_>, _request: RequestId) {}

    /// Takes note that an answer has begun.
    pub fn on_answer_started(&mut self, _cx: &mut Cx<'_>, _attempt: AttemptId) {}

    /// Takes the end of an attempt.
    pub fn on_attempt_ended(&mut self, _cx: &mut Cx<'_>, _attempt: AttemptId, _end: AttemptEnd) {}

    /// Does what is due.
    pub fn on_tick(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes note of a new host list.
    pub fn on_host_list(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes note that a shared key has changed in the cache.
    pub fn on_change(&mut self, _cx: &mut Cx<'_>, _key: &Key) {}

    /// Takes the result of a call that isn't a write.
    pub fn on_store(&mut self, _cx: &mut Cx<'_>, _call: CallId, _result: &StoreResult) {}

    /// Takes the outcome of a write of a [`Key::Once`].
    pub fn on_write(&mut self, _cx: &mut Cx<'_>, _key: &Key, _outcome: &WriteOutcome) {}

    /// Takes a peer's message, where it concerns this part.
    pub fn on_peer(&mut self, _cx: &mut Cx<'_>, _from: &HostId, _message: &PeerMessage) {}

    /// Takes note that the process is about to end; requests in progress go on.
    pub fn on_shutdown(&mut self, _cx: &mut Cx<'_>) {}

    /// Tells whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        true
    }

    /// Tells what is believed.
    pub fn dump(&self, _cx: &Cx<'_>) -> Vec<Belief> {
        Vec::new()
    }

    /// Returns the numbers for the metrics.
    pub fn gauges(&self, _cx: &Cx<'_>) -> Vec<Gauge> {
        Vec::new()
    }
}
