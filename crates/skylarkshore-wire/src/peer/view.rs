//! The state of an engine that its owner sends to the routers; start with [`EngineViewWire`].

use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{AdapterName, Fence, HostId, Incarnation, ModelName, ModelVersion, UpstreamId};
use skylarkshore_core::view::{EngineView, ModelView, Readiness, ViewVersion};

use crate::peer::millis;

/// Whether a model accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadinessWire {
    /// New requests may be sent.
    Ready,
    /// The model is being loaded.
    Loading {
        /// Remaining load time in milliseconds.
        remaining_ms: u64,
    },
    /// No new requests may be sent.
    Closing,
}

/// A model on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelViewWire {
    model: ModelName,
    version: ModelVersion,
    readiness: ReadinessWire,
    adapters: Vec<AdapterName>,
    running: u32,
}

/// An engine with its models and load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineViewWire {
    upstream: UpstreamId,
    fence: Fence,
    number: u64,
    incarnation: Incarnation,
    models: Vec<ModelViewWire>,
    concurrency: u32,
    running: u32,
    leaving: bool,
    reserved_for: Option<HostId>,
}

impl From<Readiness> for ReadinessWire {
    fn from(readiness: Readiness) -> Self {
        match readiness {
            Readiness::Ready => Self::Ready,
            Readiness::Loading { remaining } => Self::Loading { remaining_ms: millis(remaining) },
            Readiness::Closing => Self::Closing,
        }
    }
}

impl From<ReadinessWire> for Readiness {
    fn from(wire: ReadinessWire) -> Self {
        match wire {
            ReadinessWire::Ready => Self::Ready,
            ReadinessWire::Loading { remaining_ms } => {
                Self::Loading { remaining: Duration::from_millis(remaining_ms) }
            }
            ReadinessWire::Closing => Self::Closing,
        }
    }
}

impl From<&ModelView> for ModelViewWire {
    fn from(view: &ModelView) -> Self {
        Self {
            model: view.model.clone(),
            version: view.version.clone(),
            readiness: view.readiness.into(),
            adapters: view.adapters.clone(),
            running: view.running,
        }
    }
}

impl From<ModelViewWire> for ModelView {
    fn from(wire: ModelViewWire) -> Self {
        Self {
            model: wire.model,
            version: wire.version,
            readiness: wire.readiness.into(),
            adapters: wire.adapters,
            running: wire.running,
        }
    }
}

impl From<&EngineView> for EngineViewWire {
    fn from(view: &EngineView) -> Self {
        Self {
            upstream: view.upstream.clone(),
            fence: view.version.fence,
            number: view.version.number,
            incarnation: view.incarnation,
            models: view.models.iter().map(ModelViewWire::from).collect(),
            concurrency: view.concurrency,
            running: view.running,
            leaving: view.leaving,
            reserved_for: view.reserved_for.clone(),
        }
    }
}

impl From<EngineViewWire> for EngineView {
    fn from(wire: EngineViewWire) -> Self {
        Self {
            upstream: wire.upstream,
            version: ViewVersion { fence: wire.fence, number: wire.number },
            incarnation: wire.incarnation,
            models: wire.models.into_iter().map(ModelView::from).collect(),
            concurrency: wire.concurrency,
            running: wire.running,
            leaving: wire.leaving,
            reserved_for: wire.reserved_for,
        }
    }
}
