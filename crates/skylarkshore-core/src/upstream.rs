//! Model engines and service replicas, as described by the host list and by their own reports.
//! Start with [`Upstream`].

mod list;

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::OrderedSet;
use crate::id::{
    AdapterName, DataCentre, Fence, Incarnation, ModelName, ModelVersion, OrderId, ServiceName, SiteName,
    SoftwareVersion, UpstreamId,
};
use crate::units::{Mebibytes, Watts};

pub use list::{UpstreamChanges, UpstreamList};

/// The version of its software that an upstream states; `None` if it states none.
pub type StatedVersion = Option<SoftwareVersion>;

/// How an engine treats an order with an outdated fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceCheck {
    /// It refuses the order.
    Refuses,
    /// It executes the order regardless.
    Ignores,
}

/// How an engine executes its orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderMode {
    /// Concurrently; reports name each finished order.
    #[default]
    Parallel,
    /// One at a time. Each order that changes the models states how many such orders the
    /// engine must have accepted before it, and is refused if the number differs.
    ///
    /// An unload waits for running requests, so a model on such an engine doesn't have to
    /// be idle before it is unloaded.
    Sequential,
}

/// The capacity, power draw and order handling of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// The total accelerator memory.
    pub memory: Mebibytes,
    /// Its power draw with no model loaded or loading.
    pub sleep_watts: Watts,
    /// Its maximum power draw with any model loaded or loading.
    pub active_watts: Watts,
    /// How it treats outdated fences.
    pub fence_check: FenceCheck,
    /// How many requests the engine runs concurrently before it queues them.
    pub concurrency: u32,
    /// How it executes its orders.
    pub order_mode: OrderMode,
    /// The pool that it belongs to, if any; a model that names a pool may only be loaded there.
    ///
    /// Pools are named like services, since a route may send requests to either.
    pub pool: Option<ServiceName>,
    /// The most adapters that it may hold at a time, if limited.
    pub adapter_slots: Option<u32>,
}

/// The kind of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineSpec),
    /// A replica of a plain service.
    Service(ServiceName),
}

/// The status of an upstream on the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamStatus {
    /// It may receive new work.
    Live,
    /// It is shutting down and may not receive new work.
    Leaving,
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name, which is never reused.
    pub id: UpstreamId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The site whose power it draws.
    pub site: SiteName,
    /// Its kind.
    pub kind: UpstreamKind,
    /// Whether it may receive new work.
    pub status: UpstreamStatus,
    /// The incarnation that is listed; it rises with every restart.
    pub incarnation: Incarnation,
    /// The version of its software, if it states that.
    ///
    /// A stream may go on only at the version that began it, whatever the model.
    pub software: StatedVersion,
    /// How many requests a service replica runs concurrently, if it states that; for engines,
    /// [`EngineSpec::concurrency`] applies.
    pub concurrency: Option<u32>,
    /// The models that were loaded on it when it last registered, if it states them.
    pub holds: Vec<ModelName>,
    /// The weights that it keeps copies of, if it states them.
    pub copies: WeightCopies,
}

/// The models whose weights an engine keeps copies of, in addition to the loaded ones.
///
/// A load from a copy is faster than one from the weight store, the storage that all engines
/// load from, and doesn't count towards the limit on the rate of loads from there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightCopies {
    /// In the host's memory.
    pub in_memory: OrderedSet<ModelName>,
    /// On the host's disk.
    pub on_disk: OrderedSet<ModelName>,
}

impl WeightCopies {
    /// Returns the copies as those of the models of a pool.
    #[must_use]
    pub fn in_pool(&self, pool: &ServiceName) -> Self {
        let in_pool =
            |models: &OrderedSet<ModelName>| models.iter().map(|model| model.in_pool(pool)).collect();
        Self { in_memory: in_pool(&self.in_memory), on_disk: in_pool(&self.on_disk) }
    }

    /// Reports whether there is a copy of the model in memory or on disk.
    pub fn has(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }
}

impl Upstream {
    /// Returns the engine's specification, if this is an engine.
    pub const fn engine(&self) -> Option<&EngineSpec> {
        match &self.kind {
            UpstreamKind::Engine(spec) => Some(spec),
            UpstreamKind::Service(_) => None,
        }
    }

    /// Reports whether it is live and held the model when it last registered.
    pub fn is_live_holder(&self, model: &ModelName) -> bool {
        self.status == UpstreamStatus::Live && self.holds.contains(model)
    }

    /// Returns the service's name, if this is a service replica.
    pub const fn service(&self) -> Option<&ServiceName> {
        match &self.kind {
            UpstreamKind::Engine(_) => None,
            UpstreamKind::Service(name) => Some(name),
        }
    }
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Record the fence that is sent with the order, and leave the models as they are.
    RaiseFence,
    /// Load a base model; has no effect if it is already loaded.
    Load {
        /// The model.
        model: ModelName,
        /// The version of the weights.
        version: ModelVersion,
        /// The memory for the weights and for the attention KV cache of requests.
        memory: Mebibytes,
    },
    /// Load an adapter on a loaded base model.
    LoadAdapter {
        /// The base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// The memory that it takes.
        memory: Mebibytes,
    },
    /// Unload a model with its adapters; has no effect if it is absent.
    Unload {
        /// The model.
        model: ModelName,
    },
    /// Unload an adapter; has no effect if it is absent.
    UnloadAdapter {
        /// The base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
}

/// The outcome of an order, as far as its sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted it; its reports show the progress.
    Accepted,
    /// The order is complete: the engine executed it immediately, or it had no effect.
    Done,
    /// The engine did nothing, because it has seen a higher fence.
    FenceTooLow {
        /// The fence it has seen; 0 if it doesn't state it.
        seen: Fence,
    },
    /// The engine did nothing, because it is executing another order or has accepted
    /// a different number of orders than expected.
    OrderConflict,
    /// The engine did nothing, for another reason.
    Refused {
        /// The reason that the engine stated.
        reason: String,
    },
    /// It never reached the engine, because the connection was refused.
    NotSent,
    /// The answer was lost; the engine may have executed it, or may still do so.
    Lost,
}

/// The state of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// Its weights are being loaded.
    Loading,
    /// It answers requests.
    Ready,
    /// It is being unloaded and still takes memory.
    Unloading,
}

/// A model as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedModel {
    /// The model.
    pub model: ModelName,
    /// The version of the weights.
    pub version: ModelVersion,
    /// Its state.
    pub state: LoadState,
    /// The memory that it takes, without adapters.
    pub memory: Mebibytes,
    /// The requests for this model that are running or waiting, 0 if the engine doesn't report
    /// them; [`EngineReport::running`] leaves out waiting ones.
    pub running: u32,
    /// Its adapters.
    pub adapters: Vec<ReportedAdapter>,
}

/// An adapter as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAdapter {
    /// The adapter.
    pub adapter: AdapterName,
    /// The memory that it takes.
    pub memory: Mebibytes,
    /// Whether it already answers requests.
    pub ready: bool,
}

/// An engine's report of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The incarnation of the engine; it rises with every restart.
    pub incarnation: Incarnation,
    /// The highest fence that it has seen; 0 if it doesn't record fences.
    pub fence: Fence,
    /// The total memory.
    pub memory: Mebibytes,
    /// The models on the engine.
    pub models: Vec<ReportedModel>,
    /// The number of running requests, without those waiting.
    pub running: u32,
    /// The number of requests queued inside the engine.
    pub waiting: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// How old the reported figures may be when the report is sent.
    pub lag: Duration,
    /// The recently finished orders, newest last.
    pub finished_orders: Vec<OrderId>,
    /// Whether it is executing an order, whatever its load of requests.
    pub busy: bool,
    /// How many orders it has accepted in this incarnation, if it counts them as in
    /// [`OrderMode::Sequential`].
    pub accepted: Option<u64>,
    /// The weights that it keeps copies of.
    pub copies: WeightCopies,
}
