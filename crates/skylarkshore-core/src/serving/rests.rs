//! The upstreams that want no requests from this host for a while.
//!
//! A rest isn't a backoff: the upstream states its end, and neither another answer nor a new path to the
//! upstream ends it sooner, nor an entry of the host list that lapses and returns. Start with [`Rests`].

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::notice::Rest;
use crate::time::Time;

/// The upstreams at rest, and until when.
#[derive(Debug, Default)]
pub(super) struct Rests {
    until: OrderedMap<UpstreamId, Time>,
}

impl Rests {
    /// Records that an upstream asks this host for rest; a later end replaces an earlier one.
    pub(super) fn record(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, rest: Rest) {
        let until = cx.now.after(rest.length());
        let known = self.until.entry(upstream.clone()).or_insert(until);
        *known = until.max(*known);
        cx.log_event("upstream_rests", upstream, format!("for {rest}"));
    }

    /// Returns when the rest of an upstream ends, if it is at rest.
    pub(super) fn end(&self, now: Time, upstream: &UpstreamId) -> Option<Time> {
        self.until.get(upstream).copied().filter(|until| !until.is_due(now))
    }

    /// Forgets the rests that are over.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.until.retain(|_, until| !until.is_due(now));
    }
}
