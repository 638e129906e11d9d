//! What an engine's owner tells the routers of it.

use std::time::Duration;

use crate::id::{AdapterName, Fence, HostId, Incarnation, ModelName, ModelVersion, UpstreamId};

/// The order of an owner's accounts of one engine; later ones replace earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewVersion {
    /// The owner's fence, so that a new owner's account beats the old one's.
    pub fence: Fence,
    /// Counts the owner's accounts.
    pub number: u64,
}

/// Whether a model can be used on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// New requests may be sent.
    Ready,
    /// It is being loaded.
    Loading {
        /// How long the load is still expected to take.
        remaining: Duration,
    },
    /// No new requests may be sent: it is about to be unloaded.
    Closing,
}

/// One model on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelView {
    /// The model.
    pub model: ModelName,
    /// Which weights.
    pub version: ModelVersion,
    /// Whether it can be used.
    pub readiness: Readiness,
    /// The adapters that answer requests.
    pub adapters: Vec<AdapterName>,
    /// Requests in progress at the engine's last report.
    pub running: u32,
}

/// One engine as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its place among the accounts of this engine.
    pub version: ViewVersion,
    /// Which life of the engine it speaks of.
    pub incarnation: Incarnation,
    /// The models on it.
    pub models: Vec<ModelView>,
    /// How many requests it runs at a time.
    pub concurrency: u32,
    /// Requests in progress at its last report.
    pub running: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// The only host that may send to it now, while a suspect request runs alone.
    pub reserved_for: Option<HostId>,
}
