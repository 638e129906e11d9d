//! The last published view of an engine and the routers that received it.

use crate::collections::OrderedMap;
use crate::id::HostId;
use crate::time::Time;
use crate::view::EngineView;

/// The last published view of an engine.
#[derive(Debug, Default)]
pub(crate) struct PublishedView {
    /// The view.
    pub last: Option<EngineView>,
    /// When its contents last changed.
    pub changed_at: Time,
    /// Number of versions so far.
    pub number: u64,
    /// Routers that received this version, and when.
    pub sent_to: OrderedMap<HostId, Time>,
}
