//! Streams that may go on only at the software version that began them.
//!
//! What two versions of the upstreams' software write doesn't fit together, and upstreams don't check
//! what they are asked to resume. Open [`VersionPin`] first.

use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::upstream::{StatedVersion, Upstream};

/// The versions of the upstreams' software that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum VersionPin {
    /// Any version: the caller has no events yet.
    #[default]
    Any,
    /// Only the version that began the stream; `None` stands for upstreams that state none.
    Only(StatedVersion),
}

impl VersionPin {
    /// Reports whether an upstream may serve the request.
    pub(super) fn allows(&self, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Only(software) => upstream.software == *software,
        }
    }

    /// Reports whether an upstream that is listed may serve the request.
    pub(super) fn allows_listed(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        *self == Self::Any || cx.upstreams.get(upstream).is_some_and(|listed| self.allows(listed))
    }
}
