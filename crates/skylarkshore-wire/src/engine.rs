//! What is said to a model engine, and what it answers.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use skylarkshore_core::event::Rejection;
use skylarkshore_core::id::{AdapterName, Digest, Fence, Incarnation, ModelName, ModelVersion, OrderId};
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineReport, LoadState, Order, OrderAnswer, ReportedAdapter, ReportedModel, WeightCopies,
};

/// Where orders are posted.
pub const ORDERS_PATH: &str = "/admin/orders";
/// Where an engine tells how it stands.
pub const REPORT_PATH: &str = "/admin/report";
/// Where an engine tells what its prefix cache has stored and removed.
pub const CACHE_EVENTS_PATH: &str = "/admin/cache-events";
/// Names a request; an engine echoes it, so that a crossed answer is noticed.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The order of service; lower numbers come first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// How many milliseconds are left for the whole answer.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// How many data events of a stream the caller has already; the engine goes on after them.
pub const RESUME_HEADER: &str = "x-resume-offset";
/// What the last data event of a whole stream holds.
pub const STREAM_END: &str = "[DONE]";

/// The body of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The order's number, unique under its fence; the same one again changes nothing.
    pub order: OrderId,
    /// The fencing number of the engine's owner.
    pub fence: Fence,
    /// What to do.
    pub action: OrderAction,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Take note of the fence and change nothing.
    RaiseFence,
    /// Load a base model.
    Load {
        /// The model.
        model: ModelName,
        /// Which weights.
        version: ModelVersion,
        /// The memory for weights and KV cache.
        memory_mib: Mebibytes,
    },
    /// Load an adapter on a loaded base model.
    LoadAdapter {
        /// The base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// The memory it takes.
        memory_mib: Mebibytes,
    },
    /// Unload a model with its adapters.
    Unload {
        /// The model.
        model: ModelName,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
    /// Change what the engine is used for.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// What an engine is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// It reads prompts and generates.
    #[default]
    Mixed,
    /// It reads prompts and exports the KV cache.
    Prefill,
    /// It imports KV cache and generates.
    Decode,
}

impl From<Order> for OrderAction {
    fn from(order: Order) -> Self {
        match order {
            Order::RaiseFence => Self::RaiseFence,
            Order::Load { model, version, memory } => Self::Load { model, version, memory_mib: memory },
            Order::LoadAdapter { model, adapter, memory } => {
                Self::LoadAdapter { model, adapter, memory_mib: memory }
            }
            Order::Unload { model } => Self::Unload { model },
            Order::UnloadAdapter { model, adapter } => Self::UnloadAdapter { model, adapter },
        }
    }
}

/// An action that the core has no order for.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("this order only changes the engine's role; send it to the engine directly")]
pub struct RoleOrder;

impl TryFrom<OrderAction> for Order {
    type Error = RoleOrder;

    fn try_from(action: OrderAction) -> Result<Self, Self::Error> {
        Ok(match action {
            OrderAction::RaiseFence => Self::RaiseFence,
            OrderAction::Load { model, version, memory_mib } => {
                Self::Load { model, version, memory: memory_mib }
            }
            OrderAction::LoadAdapter { model, adapter, memory_mib } => {
                Self::LoadAdapter { model, adapter, memory: memory_mib }
            }
            OrderAction::Unload { model } => Self::Unload { model },
            OrderAction::UnloadAdapter { model, adapter } => Self::UnloadAdapter { model, adapter },
            OrderAction::SetRole { .. } => return Err(RoleOrder),
        })
    }
}

/// The body of an order's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The engine carries it out; always `true`.
    Accepted(bool),
    /// The engine has seen a higher fence and did nothing.
    FenceTooLow {
        /// The fence it has seen.
        seen: Fence,
    },
    /// The engine did nothing, for this reason.
    Refused(String),
}

impl OrderReply {
    /// Returns the HTTP status that goes with the body.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Accepted(_) => 200,
            Self::FenceTooLow { .. } => 409,
            Self::Refused(_) => 422,
        }
    }
}

impl From<OrderReply> for OrderAnswer {
    fn from(reply: OrderReply) -> Self {
        match reply {
            OrderReply::Accepted(true) => Self::Accepted,
            OrderReply::Accepted(false) => Self::Refused { reason: "not accepted".to_owned() },
            OrderReply::FenceTooLow { seen } => Self::FenceTooLow { seen },
            OrderReply::Refused(reason) => Self::Refused { reason },
        }
    }
}

/// How an engine stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which life of the engine answers; a restart has a higher number.
    pub incarnation: Incarnation,
    /// The highest fence it has seen; 0 when it keeps none.
    #[serde(default)]
    pub fence: Fence,
    /// The accelerator memory in all.
    pub memory_mib: Mebibytes,
    /// The power it draws now.
    #[serde(default)]
    pub watts: Watts,
    /// What it holds.
    pub models: Vec<ModelReport>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
    /// How old the load figures may be, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// The orders under the highest fence that it has settled lately, newest last.
    #[serde(default)]
    pub settled: Vec<OrderId>,
}

/// A model as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// The model.
    pub model: ModelName,
    /// Which weights.
    pub version: ModelVersion,
    /// Where it stands.
    pub state: ModelState,
    /// The memory it takes, adapters not counted.
    pub memory_mib: Mebibytes,
    /// Requests in progress, running and waiting.
    #[serde(default)]
    pub running: u32,
    /// Its adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterReport>,
}

/// Where a model stands on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// Its weights are on their way.
    Loading,
    /// It answers requests.
    Ready,
    /// It is on its way out, its memory still taken.
    Unloading,
}

/// An adapter as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReport {
    /// The adapter.
    pub adapter: AdapterName,
    /// The memory it takes.
    pub memory_mib: Mebibytes,
    /// Whether it answers requests yet.
    pub ready: bool,
}

impl From<ModelState> for LoadState {
    fn from(state: ModelState) -> Self {
        match state {
            ModelState::Loading => Self::Loading,
            ModelState::Ready => Self::Ready,
            ModelState::Unloading => Self::Unloading,
        }
    }
}

impl From<AdapterReport> for ReportedAdapter {
    fn from(report: AdapterReport) -> Self {
        Self { adapter: report.adapter, memory: report.memory_mib, ready: report.ready }
    }
}

impl From<ModelReport> for ReportedModel {
    fn from(report: ModelReport) -> Self {
        Self {
            model: report.model,
            version: report.version,
            state: report.state.into(),
            memory: report.memory_mib,
            running: report.running,
            adapters: report.adapters.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Report> for EngineReport {
    fn from(report: Report) -> Self {
        Self {
            incarnation: report.incarnation,
            fence: report.fence,
            memory: report.memory_mib,
            models: report.models.into_iter().map(Into::into).collect(),
            running: report.running,
            waiting: report.waiting,
            leaving: report.leaving,
            lag: Duration::from_millis(report.lag_ms),
            finished_orders: report.settled,
            busy: false,
            accepted: None,
            copies: WeightCopies::default(),
        }
    }
}

/// Changes of an engine's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Which life of the engine answers; another one began with an empty cache.
    pub incarnation: Incarnation,
    /// The changes after the number that was asked for; a missing number was lost.
    pub events: Vec<CacheEvent>,
    /// The number to ask from next time.
    pub newest: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one with each change.
    pub number: u64,
    /// The model.
    pub model: ModelName,
    /// The SHA-256 of the prompt's first 1024 bytes, or of all when it is shorter.
    pub prefix: Digest,
    /// What happened.
    pub change: CacheChange,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It is in the cache now.
    Stored,
    /// It is in the cache no more.
    Removed,
}

/// The body of an answer that says that nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Why.
    pub error: NotRunReason,
}

/// Why an upstream ran nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The model or adapter isn't loaded there.
    NotLoaded,
    /// It is about to go.
    Leaving,
    /// It has too much to do.
    Busy,
}

impl NotRunReason {
    /// Returns the HTTP status that goes with the body.
    pub const fn status(self) -> u16 {
        match self {
            Self::NotLoaded | Self::Leaving => 409,
            Self::Busy => 429,
        }
    }
}

impl From<NotRunReason> for Rejection {
    fn from(reason: NotRunReason) -> Self {
        match reason {
            NotRunReason::NotLoaded => Self::NotLoaded,
            NotRunReason::Leaving => Self::Leaving,
            NotRunReason::Busy => Self::Busy,
        }
    }
}
