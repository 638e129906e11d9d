//! Model engines and service replicas, as the host list and they themselves describe them.

mod list;

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::OrderedSet;
use crate::id::{
    AdapterName, DataCentre, Fence, Incarnation, ModelName, ModelVersion, OrderId, ServiceName, SiteName,
    UpstreamId,
};
use crate::units::{Mebibytes, Watts};

pub use list::{UpstreamChanges, UpstreamList};

/// What an engine does with an order that carries an old fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceCheck {
    /// It refuses the order.
    Refuses,
    /// It carries the order out all the same.
    Ignores,
}

/// How an engine carries its orders out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderMode {
    /// Side by side; reports name each order that is settled.
    #[default]
    Parallel,
    /// One at a time, each with a number, so that an order that expects an
    /// earlier number is refused.
    ///
    /// An unload waits for the requests that run, so that the models on such an
    /// engine needn't be idle to make way.
    Sequential,
}

/// What a model engine can hold and draws.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// The accelerator memory in all.
    pub memory: Mebibytes,
    /// What it draws with nothing loaded.
    pub sleep_watts: Watts,
    /// The most that it draws with anything loaded or loading.
    pub active_watts: Watts,
    /// What it does with old fences.
    pub fence_check: FenceCheck,
    /// How many requests it runs at a time before they queue inside it.
    pub concurrency: u32,
    /// How it carries its orders out.
    pub order_mode: OrderMode,
    /// The pool whose models it may hold; none where every engine may hold every model.
    pub pool: Option<ServiceName>,
    /// How many adapters it may hold at a time, where that is limited.
    pub adapter_slots: Option<u32>,
}

/// What an upstream is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineSpec),
    /// A replica of a plain service.
    Service(ServiceName),
}

/// What the host list says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamStatus {
    /// It may get new work.
    Live,
    /// It is about to go and may not get new work.
    Leaving,
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name, never given to another.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The site whose power it draws.
    pub site: SiteName,
    /// What it is.
    pub kind: UpstreamKind,
    /// Whether it may get new work.
    pub status: UpstreamStatus,
    /// Which life of it the list speaks of; a restart has a higher number.
    pub incarnation: Incarnation,
    /// How many requests it runs at a time, where it tells.
    pub concurrency: Option<u32>,
    /// The models that it held when it last registered, where it tells.
    pub holds: Vec<ModelName>,
    /// The weights of which it keeps copies, where it tells.
    pub copies: WeightCopies,
}

/// The models of which an engine keeps copies beside those that are loaded.
///
/// A load from a copy is faster than one from the weight store, and takes
/// nothing of the weight store's rate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightCopies {
    /// In the host's memory.
    pub in_memory: OrderedSet<ModelName>,
    /// On the host's disk.
    pub on_disk: OrderedSet<ModelName>,
}

impl WeightCopies {
    /// Tells whether there is a copy of the model anywhere.
    pub fn has(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }
}

impl Upstream {
    /// Returns what the engine can hold, if this is one.
    pub const fn engine(&self) -> Option<&EngineSpec> {
        match &self.kind {
            UpstreamKind::Engine(spec) => Some(spec),
            UpstreamKind::Service(_) => None,
        }
    }

    /// Tells whether it held the model when it last registered, and may get new work.
    pub fn is_live_holder(&self, model: &ModelName) -> bool {
        self.status == UpstreamStatus::Live && self.holds.contains(model)
    }

    /// Returns the service's name, if this is a replica of one.
    pub const fn service(&self) -> Option<&ServiceName> {
        match &self.kind {
            UpstreamKind::Engine(_) => None,
            UpstreamKind::Service(name) => Some(name),
        }
    }
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Take note of the fence and change nothing.
    RaiseFence,
    /// Load a base model; a model that is loaded already stays as it is.
    Load {
        /// The model.
        model: ModelName,
        /// Which weights.
        version: ModelVersion,
        /// The memory for weights and KV cache.
        memory: Mebibytes,
    },
    /// Load an adapter on a loaded base model.
    LoadAdapter {
        /// The base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// The memory it takes.
        memory: Mebibytes,
    },
    /// Unload a model with its adapters; an absent one is no error.
    Unload {
        /// The model.
        model: ModelName,
    },
    /// Unload an adapter; an absent one is no error.
    UnloadAdapter {
        /// The base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
}

/// How an order ended, as far as its sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has accepted it; its reports show the progress.
    Accepted,
    /// The engine has carried it out at once, or found nothing to do.
    Done,
    /// The engine has seen a higher fence and did nothing.
    FenceTooLow {
        /// The fence it has seen.
        seen: Fence,
    },
    /// The engine did nothing: it is carrying another order out, or has
    /// accepted another number of orders than expected.
    OrderConflict,
    /// The engine did nothing, for a reason of its own.
    Refused {
        /// The engine's words.
        reason: String,
    },
    /// It never reached the engine: the connection was refused.
    NotSent,
    /// The answer was lost; the engine may have carried it out, or may yet do so.
    Lost,
}

/// Where a model stands on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// Its weights are on their way.
    Loading,
    /// It answers requests.
    Ready,
    /// It is on its way out, its memory still taken.
    Unloading,
}

/// A model as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedModel {
    /// The model.
    pub model: ModelName,
    /// Which weights.
    pub version: ModelVersion,
    /// Where it stands.
    pub state: LoadState,
    /// The memory it takes, adapters not counted.
    pub memory: Mebibytes,
    /// Requests in progress, running and waiting.
    pub running: u32,
    /// Its adapters, each with the memory it takes.
    pub adapters: Vec<ReportedAdapter>,
}

/// An adapter as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAdapter {
    /// The adapter.
    pub adapter: AdapterName,
    /// The memory it takes.
    pub memory: Mebibytes,
    /// Whether it answers requests yet.
    pub ready: bool,
}

/// An engine's answer to being asked how it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Which life of the engine answers; a restart has a higher number.
    pub incarnation: Incarnation,
    /// The highest fence that it has seen, where it keeps one.
    pub fence: Fence,
    /// The memory in all.
    pub memory: Mebibytes,
    /// What it holds.
    pub models: Vec<ReportedModel>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Whether it is about to go.
    pub leaving: bool,
    /// How old the load figures may be.
    pub lag: Duration,
    /// The orders it has settled lately, newest last.
    pub finished_orders: Vec<OrderId>,
    /// Whether it is carrying an order out.
    pub busy: bool,
    /// How many orders it has accepted in this life, where it numbers them.
    pub accepted: Option<u64>,
    /// The weights of which it keeps copies.
    pub copies: WeightCopies,
}
