//! Interface between engine ownership ([`Authority`], implemented by control) and the use of the owned
//! engines ([`EngineUse`], implemented by loading).

use crate::id::{Fence, ModelName, UpstreamId};
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::{Mebibytes, Watts};

/// Permission to send orders to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token for the orders.
    pub fence: Fence,
    /// Time after which no order may be sent.
    pub not_after: Time,
}

/// A change in the ownership of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// This process became the owner.
    Acquired {
        /// The engine.
        engine: UpstreamId,
        /// Fencing token of the new ownership.
        fence: Fence,
        /// Time until which an order of the former owner may still reach the engine;
        /// [`Time::NEVER`] if only the engine's reports can show it.
        late_orders_until: Time,
    },
    /// This process is no longer the owner.
    Lost {
        /// The engine.
        engine: UpstreamId,
    },
}

/// What this process is allowed to do with the engines it owns.
pub trait Authority {
    /// Returns the permission to send orders to the engine, or `None`, also while the engine is being
    /// handed over.
    fn permit(&self, now: Time, engine: &UpstreamId) -> Option<Permit>;

    /// Reports whether the model may be loaded on the engine.
    ///
    /// Returns `false` as soon as this process starts to remove the home.
    fn is_home(&self, engine: &UpstreamId, model: &ModelName) -> bool;

    /// Reports whether a loaded model has to be unloaded from the engine after its requests have ended.
    ///
    /// Returns `true` if the rules allow fewer replicas than exist, or if the
    /// engine isn't a home of the model, is leaving or has to reduce its power.
    /// Such a replica receives no new requests.
    fn must_unload(&self, _engine: &UpstreamId, _model: &ModelName) -> bool {
        false
    }

    /// Returns the power that is guaranteed to the engine.
    fn granted_power(&self, engine: &UpstreamId) -> Watts;
}

/// A model that needs another home, that is, another engine on which it may be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeRequest {
    /// The model.
    pub model: ModelName,
    /// The overloaded home to move away from; `None` to add a home.
    pub move_from: Option<UpstreamId>,
}

/// How the engines that this process owns are used.
pub trait EngineUse {
    /// Reports whether the model is certainly neither loaded nor loading on the engine.
    fn is_unused_by(&self, engine: &UpstreamId, model: &ModelName) -> bool;

    /// Reports whether no order to the engine is in progress or of unknown outcome.
    fn has_no_open_orders(&self, engine: &UpstreamId) -> bool;

    /// Returns an upper bound of the power that the engine draws now.
    fn power_draw(&self, engine: &UpstreamId) -> Watts;

    /// Returns the power that the engine lacks for a load, with the order of service of the waiting requests.
    fn power_shortfall(&self, engine: &UpstreamId) -> Option<(Watts, ServiceOrder)>;

    /// Returns the unreserved memory of the engine.
    fn free_memory(&self, engine: &UpstreamId) -> Mebibytes;

    /// Returns the models on the owned engines that need another home.
    fn home_requests(&self) -> Vec<HomeRequest>;
}
