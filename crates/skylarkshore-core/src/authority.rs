//! The border between who may act on an engine and what is done with it.

use crate::id::{Fence, ModelName, UpstreamId};
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::{Mebibytes, Watts};

/// Leave to give orders to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fence that orders carry.
    pub fence: Fence,
    /// The time after which no order may be sent.
    pub not_after: Time,
}

/// A change in what this process owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The process has become an engine's owner.
    Acquired {
        /// The engine.
        engine: UpstreamId,
        /// The fence of the new ownership.
        fence: Fence,
        /// Until when an order of the former owner may still reach the engine;
        /// [`Time::NEVER`] when only the engine's reports can tell.
        late_orders_until: Time,
    },
    /// The process is the engine's owner no longer.
    Lost {
        /// The engine.
        engine: UpstreamId,
    },
}

/// What this process may do, as those who load models see it.
pub trait Authority {
    /// Returns leave to give orders to the engine now, if there is any.
    ///
    /// There is none while the engine is being handed over.
    fn permit(&self, now: Time, engine: &UpstreamId) -> Option<Permit>;

    /// Tells whether the model may be loaded on the engine.
    ///
    /// False from the moment at which this process begins to give the home up.
    fn is_home(&self, engine: &UpstreamId, model: &ModelName) -> bool;

    /// Tells whether a loaded model has to be unloaded from the engine once its requests have ended.
    ///
    /// True where the rules allow fewer replicas than there are, where the engine
    /// isn't a home of the model, is about to go, or has to draw less. No new
    /// requests may be sent to such a replica.
    fn must_unload(&self, _engine: &UpstreamId, _model: &ModelName) -> bool {
        false
    }

    /// Returns the power that the engine may draw for certain.
    fn granted_power(&self, engine: &UpstreamId) -> Watts;
}

/// A model that needs another home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeRequest {
    /// The model.
    pub model: ModelName,
    /// The crowded home that it should leave, if it is to move rather than to spread.
    pub move_from: Option<UpstreamId>,
}

/// What is done with the engines that this process owns, as those who decide on ownership see it.
pub trait EngineUse {
    /// Tells whether the model is neither loaded nor loading nor possibly so on the engine.
    fn is_unused_by(&self, engine: &UpstreamId, model: &ModelName) -> bool;

    /// Tells whether no order to the engine is in progress or of unknown outcome.
    fn has_no_open_orders(&self, engine: &UpstreamId) -> bool;

    /// Returns the power that the engine may be drawing now.
    fn power_draw(&self, engine: &UpstreamId) -> Watts;

    /// Returns the power that the engine lacks for a load, with the order of those who wait for it.
    fn power_shortfall(&self, engine: &UpstreamId) -> Option<(Watts, ServiceOrder)>;

    /// Returns the memory that isn't spoken for on the engine.
    fn free_memory(&self, engine: &UpstreamId) -> Mebibytes;

    /// Returns the models on this process's engines that need another home.
    fn home_requests(&self) -> Vec<HomeRequest>;
}
