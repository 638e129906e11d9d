//! Views of engines that their owners publish to the routers. [`EngineView`] is the type to start with.

use std::time::Duration;

use crate::id::{AdapterName, Fence, HostId, Incarnation, ModelName, ModelVersion, UpstreamId};

/// Version of a published view of one engine; a higher version replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewVersion {
    /// Fencing token of the owner, so that the views of a new owner replace those of the former one.
    pub fence: Fence,
    /// Sequence number of the owner's views.
    pub number: u64,
}

/// Whether a model can be used on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// New requests may be sent.
    Ready,
    /// The model is being loaded.
    Loading {
        /// Expected remaining load time.
        remaining: Duration,
    },
    /// No new requests may be sent, because the model will be unloaded.
    Closing,
}

/// One model on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelView {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: ModelVersion,
    /// Whether it accepts requests.
    pub readiness: Readiness,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
    /// Requests in progress as of the engine's last report.
    pub running: u32,
}

/// State of one engine as published by its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub upstream: UpstreamId,
    /// Version of the view.
    pub version: ViewVersion,
    /// Incarnation of the engine that the view describes.
    pub incarnation: Incarnation,
    /// The models on it.
    pub models: Vec<ModelView>,
    /// Maximum number of requests it runs concurrently.
    pub concurrency: u32,
    /// Requests in progress as of its last report.
    pub running: u32,
    /// Whether it is leaving and receives no new requests.
    pub leaving: bool,
    /// The only host that may send requests to it, while a suspect request runs in isolation.
    pub reserved_for: Option<HostId>,
}
