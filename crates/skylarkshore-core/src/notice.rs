//! What an upstream says of itself in its answers. Start with [`UpstreamNotice`].

use std::time::Duration;

use derive_more::Display;

use crate::event::ReportedLoad;
use crate::units::RequestRate;

/// What an upstream says of itself in one answer. A load or limit that an answer doesn't name no longer
/// holds; that it leaves, or rests, holds on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// The requests a second that it takes from all hosts together.
    pub request_limit: Option<RequestRate>,
    /// How many rejections for want of room it withstands within a second.
    pub rejection_limit: Option<u32>,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// The time from now for which it wants no requests from this host, as it rejected one.
    pub rest: Option<Rest>,
}

/// A time for which an upstream wants no requests; longer ones than [`Rest::MAX`] count as that.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{}ms", _0.as_millis())]
pub struct Rest(Duration);

impl Rest {
    /// The longest rest that is kept.
    pub const MAX: Duration = Duration::from_mins(5);

    /// Returns its length.
    pub const fn length(self) -> Duration {
        self.0
    }
}

impl From<Duration> for Rest {
    fn from(length: Duration) -> Self {
        Self(length.min(Self::MAX))
    }
}
