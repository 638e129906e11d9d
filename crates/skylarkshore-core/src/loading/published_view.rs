//! What routers were last told of an engine.

use crate::collections::OrderedMap;
use crate::id::HostId;
use crate::time::Time;
use crate::view::EngineView;

/// What was last told of an engine.
#[derive(Debug, Default)]
pub(crate) struct PublishedView {
    /// The account itself.
    pub last: Option<EngineView>,
    /// Since when it has stood.
    pub changed_at: Time,
    /// How many accounts there have been.
    pub number: u64,
    /// The routers that know the last account, and since when.
    pub sent_to: OrderedMap<HostId, Time>,
}
