//! Which process is alive, which owns which engine, where models may be loaded, who gets the power.

use crate::authority::{Authority, EngineUse, OwnershipChange, Permit};
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{Belief, Gauge};
use crate::id::CallId;
use crate::id::{HostId, Incarnation, ModelName, StoreRevision, UpstreamId};
use crate::peer::PeerMessage;
use crate::store::{Key, StoreResult, Versioned, WriteOutcome};
use crate::time::Time;
use crate::units::Watts;

/// Membership, ownership, homes and power of one process.
#[derive(Debug)]
pub struct Control {
    leaving: bool,
}

impl Control {
    /// Makes the state of a process that has just started.
    pub fn new(_cfg: &NodeConfig) -> Self {
        Self { leaving: false }
    }

    /// Begins the lease and the first read of the shared keys.
    pub fn start(&mut self, _cx: &mut Cx<'_>) {}

    /// Does what is due.
    pub fn on_tick(&mut self, _cx: &mut Cx<'_>, _engines: &dyn EngineUse) {}

    /// Begins to leave.
    pub fn on_shutdown(&mut self, _cx: &mut Cx<'_>) {
        self.leaving = true;
    }

    /// Tells whether nothing is left to be given up.
    pub fn has_left(&self) -> bool {
        self.leaving
    }

    /// Takes note of a new host list.
    pub fn on_host_list(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes the result of a call that isn't a write.
    pub fn on_store(&mut self, _cx: &mut Cx<'_>, _call: CallId, _result: &StoreResult) {}

    /// Takes the outcome of a write of a member, owner, homes or power key.
    pub fn on_write(&mut self, _cx: &mut Cx<'_>, _key: &Key, _outcome: &WriteOutcome) {}

    /// Takes note that a shared key has changed in the cache.
    pub fn on_change(&mut self, _cx: &mut Cx<'_>, _key: &Key) {}

    /// Takes note that the watch may have missed changes.
    pub fn on_watch_broken(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes note of changes that the watch saw, and of the revision up to which it missed none.
    pub fn on_watched(&mut self, _cx: &mut Cx<'_>, _changes: Vec<Versioned>, _upto: StoreRevision) {}

    /// Takes note of what a batch from a peer covers, after its records went into the cache.
    pub fn on_records(
        &mut self,
        _cx: &mut Cx<'_>,
        _from: &HostId,
        _after: Option<StoreRevision>,
        _upto: StoreRevision,
    ) {
    }

    /// Takes note of whether an engine of this process answered.
    pub fn on_report(&mut self, _cx: &mut Cx<'_>, _engine: &UpstreamId, _reached: bool) {}

    /// Ends the lease, now that nothing is in progress any more.
    pub fn on_drained(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes a peer's message, where it concerns this part.
    pub fn on_peer(&mut self, _cx: &mut Cx<'_>, _from: &HostId, _message: &PeerMessage) {}

    /// Takes note that a process has ended for certain.
    pub fn on_peer_refused(&mut self, _cx: &mut Cx<'_>, _host: &HostId, _incarnation: Incarnation) {}

    /// Returns the changes of ownership since the last call.
    pub fn take_changes(&mut self) -> Vec<OwnershipChange> {
        Vec::new()
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

impl Authority for Control {
    fn permit(&self, _now: Time, _engine: &UpstreamId) -> Option<Permit> {
        None
    }

    fn is_home(&self, _engine: &UpstreamId, _model: &ModelName) -> bool {
        false
    }

    fn granted(&self, _engine: &UpstreamId) -> Watts {
        Watts(0)
    }
}
