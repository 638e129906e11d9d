//! The HTTP interface of a model engine: [`OrderRequest`], [`Report`] and [`CacheEvents`].

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use skylarkshore_core::event::Rejection;
use skylarkshore_core::id::{AdapterName, Digest, Fence, Incarnation, ModelName, ModelVersion, OrderId};
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineReport, LoadState, Order, OrderAnswer, ReportedAdapter, ReportedModel, WeightCopies,
};

/// Path to which orders are posted.
pub const ORDERS_PATH: &str = "/admin/orders";
/// Path of the engine's status report.
pub const REPORT_PATH: &str = "/admin/report";
/// Path of the changes of the engine's prefix cache.
pub const CACHE_EVENTS_PATH: &str = "/admin/cache-events";
/// Request id; the engine echoes it so that an answer to another request is detected.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Service order; lower values are served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Milliseconds left for the whole answer.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Number of data events of a stream that the caller already has; the engine resumes after them.
pub const RESUME_HEADER: &str = "x-resume-offset";
/// Data of the last event of a complete stream.
pub const STREAM_END: &str = "[DONE]";

/// The body of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Order number, unique within its fence; repeating an order has no effect.
    pub order: OrderId,
    /// Fencing token of the engine's owner.
    pub fence: Fence,
    /// The requested action.
    pub action: OrderAction,
}

/// An action requested of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Record the fence without any other change.
    RaiseFence,
    /// Load a base model.
    Load {
        /// The model.
        model: ModelName,
        /// Version of the weights.
        version: ModelVersion,
        /// Memory for weights and KV cache.
        memory_mib: Mebibytes,
    },
    /// Load an adapter for a loaded base model.
    LoadAdapter {
        /// The base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// Memory in use.
        memory_mib: Mebibytes,
    },
    /// Unload a model and its adapters.
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
    /// Change the engine's role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// The role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Processes prompts and generates tokens.
    #[default]
    Mixed,
    /// Processes prompts and exports the KV cache.
    Prefill,
    /// Imports the KV cache and generates tokens.
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

/// The action has no equivalent order in the core.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("this order only changes the engine's role; send it to the engine directly")]
pub struct UnsupportedAction;

impl TryFrom<OrderAction> for Order {
    type Error = UnsupportedAction;

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
            OrderAction::SetRole { .. } => return Err(UnsupportedAction),
        })
    }
}

/// The body of the answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The engine executes the order; always `true`.
    Accepted(bool),
    /// The engine has seen a higher fence and ignored the order.
    FenceTooLow {
        /// Highest fence seen by the engine.
        seen: Fence,
    },
    /// The engine refused the order for this reason.
    Refused(String),
}

impl OrderReply {
    /// Returns the HTTP status of the answer.
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

/// Status report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the engine; each restart increases it.
    pub incarnation: Incarnation,
    /// Highest fence seen; 0 if the engine doesn't track fences.
    #[serde(default)]
    pub fence: Fence,
    /// Total accelerator memory.
    pub memory_mib: Mebibytes,
    /// Current power draw.
    #[serde(default)]
    pub watts: Watts,
    /// Models in its memory.
    pub models: Vec<ModelReport>,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub waiting: u32,
    /// Whether the engine is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// Maximum age of the load figures, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Recently finished orders under the highest fence, newest last.
    #[serde(default)]
    pub settled: Vec<OrderId>,
}

/// A model in an engine's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// The model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Load state of the model.
    pub state: ModelState,
    /// Memory in use, excluding adapters.
    pub memory_mib: Mebibytes,
    /// Number of requests in progress, running or queued.
    #[serde(default)]
    pub running: u32,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterReport>,
}

/// Load state of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// The model is being loaded.
    Loading,
    /// The model serves requests.
    Ready,
    /// The model is being unloaded; its memory is still in use.
    Unloading,
}

/// An adapter in an engine's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReport {
    /// The adapter.
    pub adapter: AdapterName,
    /// Memory in use.
    pub memory_mib: Mebibytes,
    /// Whether the adapter serves requests.
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
    /// Incarnation of the engine; each one starts with an empty cache.
    pub incarnation: Incarnation,
    /// Changes after the requested number; a gap in the numbers means lost changes.
    pub events: Vec<CacheEvent>,
    /// Number to pass with the next query.
    pub newest: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; each change increases it by one.
    pub number: u64,
    /// The model.
    pub model: ModelName,
    /// SHA-256 of the prompt's first 1024 bytes, or of the whole prompt if it is shorter.
    pub prefix: Digest,
    /// Kind of the change.
    pub change: CacheChange,
}

/// Kind of a change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Removed,
}

/// The body of the answer to a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// The reason.
    pub error: NotRunReason,
}

/// Why an upstream didn't run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The model or adapter isn't loaded on the upstream.
    NotLoaded,
    /// The upstream is shutting down.
    Leaving,
    /// The upstream is overloaded.
    Busy,
}

impl NotRunReason {
    /// Returns the HTTP status of the answer.
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
