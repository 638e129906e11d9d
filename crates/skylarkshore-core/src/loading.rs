//! What is loaded on the engines that this process owns.

use crate::authority::{Authority, EngineUse, HomeWish, OwnershipChange};
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{Belief, Gauge};
use crate::id::{HostId, ModelName, OrderId, UpstreamId};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::{Mebibytes, Watts};
use crate::upstream::{EngineReport, OrderAnswer};

/// The loads, unloads and memory of the engines that one process owns.
#[derive(Debug)]
pub struct Loading;

impl Loading {
    /// Makes the state of a process that owns nothing.
    pub fn new(_cfg: &NodeConfig) -> Self {
        Self
    }

    /// Takes note of an engine gained or lost.
    pub fn on_ownership(&mut self, _cx: &mut Cx<'_>, _change: &OwnershipChange) {}

    /// Does what is due: asks for reports, loads, unloads, tells routers.
    pub fn on_tick(&mut self, _cx: &mut Cx<'_>, _authority: &dyn Authority) {}

    /// Takes the end of an order.
    pub fn on_order(
        &mut self,
        _cx: &mut Cx<'_>,
        _engine: &UpstreamId,
        _order: OrderId,
        _answer: &OrderAnswer,
    ) {
    }

    /// Takes an engine's report, or its silence.
    pub fn on_report(
        &mut self,
        _cx: &mut Cx<'_>,
        _authority: &dyn Authority,
        _engine: &UpstreamId,
        _asked: Time,
        _report: Option<&EngineReport>,
    ) {
    }

    /// Takes a peer's message, where it concerns this part.
    pub fn on_peer(
        &mut self,
        _cx: &mut Cx<'_>,
        _authority: &dyn Authority,
        _from: &HostId,
        _message: &PeerMessage,
    ) {
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

impl EngineUse for Loading {
    fn is_free_of(&self, _engine: &UpstreamId, _model: &ModelName) -> bool {
        false
    }

    fn is_settled(&self, _engine: &UpstreamId) -> bool {
        true
    }

    fn drawn(&self, _engine: &UpstreamId) -> Watts {
        Watts(0)
    }

    fn lacks(&self, _engine: &UpstreamId) -> Option<(Watts, ServiceOrder)> {
        None
    }

    fn free_memory(&self, _engine: &UpstreamId) -> Mebibytes {
        Mebibytes(0)
    }

    fn home_wishes(&self) -> Vec<HomeWish> {
        Vec::new()
    }
}
