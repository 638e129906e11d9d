//! Losses of suspects, and the incarnations that they were lost with.

use std::time::Duration;

use crate::cx::Cx;
use crate::id::{Digest, Incarnation, UpstreamId};
use crate::time::Time;

/// How long a loss is remembered, also while the host list doesn't show yet whether the upstream
/// terminated.
pub(super) const LOSS_TTL: Duration = Duration::from_mins(2);
/// After how many intervals of the upstreams' heartbeats the host list shows a termination: three are
/// missed, and the change takes some time to arrive.
const LISTING_HEARTBEATS: u32 = 4;

/// Returns after which time the host list shows a termination.
pub(super) fn listing_time(cx: &Cx<'_>) -> Duration {
    cx.cfg.timings.upstream_heartbeat * LISTING_HEARTBEATS
}

/// An incarnation of an upstream that an attempt was sent to, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SentTo {
    pub(crate) upstream: UpstreamId,
    /// The incarnation on the host list at that time.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) at: Time,
}

impl SentTo {
    pub(super) fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation { upstream: self.upstream.clone(), incarnation: self.incarnation }
    }
}

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UpstreamIncarnation {
    pub(super) upstream: UpstreamId,
    /// `None` if it is unknown.
    pub(super) incarnation: Option<Incarnation>,
}

impl UpstreamIncarnation {
    /// Reports whether the host list shows that this incarnation has terminated; if it is unknown,
    /// only that the upstream has left the list.
    pub(super) fn has_terminated(&self, cx: &Cx<'_>) -> bool {
        let listed = cx.upstreams.get(&self.upstream);
        listed.is_none_or(|listed| self.incarnation.is_some_and(|own| own < listed.incarnation))
    }
}

/// A suspect that was lost with an incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Loss {
    pub(super) with: UpstreamIncarnation,
    pub(super) suspect: Digest,
}

impl Loss {
    /// Returns the losses of several suspects with the same incarnation.
    pub(crate) fn of_each<'a>(
        upstream: &'a UpstreamId,
        incarnation: Option<Incarnation>,
        suspects: &'a [Digest],
    ) -> impl Iterator<Item = Self> + 'a {
        suspects.iter().map(move |suspect| Self {
            with: UpstreamIncarnation { upstream: upstream.clone(), incarnation },
            suspect: *suspect,
        })
    }
}
