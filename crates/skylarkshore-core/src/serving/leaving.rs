//! The upstreams that have said that they are shutting down.
//!
//! They get no more requests from any host, whatever the host list says of them: the key-value service may
//! be slow to show it, or away. Start with [`LeavingUpstreams`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::control::hashing::ranking_by_capacity;
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::id::{HostId, Incarnation, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::newcomers::Told;
use crate::time::Time;

/// How long an upstream gets no requests after it last said that it is leaving; one that stays after all
/// is tried again then.
const LEAVING_TTL: Duration = Duration::from_mins(5);
/// Interval between two searches for members that have joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What an upstream has said.
#[derive(Debug)]
struct Leaving {
    /// The incarnation that is leaving; `None` while the upstream isn't listed.
    incarnation: Option<Incarnation>,
    until: Time,
    told: Told,
}

/// The upstreams that are leaving by their own word.
#[derive(Debug, Default)]
pub(super) struct LeavingUpstreams {
    upstreams: OrderedMap<UpstreamId, Leaving>,
    join_check_at: Time,
}

impl LeavingUpstreams {
    /// Records that an upstream said so to this process, which tells all others of it once.
    pub(super) fn record(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) -> bool {
        let is_new = self.record_told(cx, upstream);
        if is_new {
            broadcast_via_relay(cx, &PeerMessage::UpstreamLeaving { upstream: upstream.clone() });
        }
        is_new
    }

    /// Records that an upstream said so to a peer; reports whether that is new.
    pub(super) fn record_told(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) -> bool {
        let is_known = self.contains(cx, upstream);
        let listed = cx.upstreams.get(upstream).map(|listed| listed.incarnation);
        let until = cx.now.after(LEAVING_TTL);
        if is_known {
            if let Some(leaving) = self.upstreams.get_mut(upstream) {
                leaving.until = until;
                leaving.incarnation = leaving.incarnation.max(listed);
            }
            return false;
        }
        let leaving = Leaving { incarnation: listed, until, told: Told::all(cx) };
        self.upstreams.insert(upstream.clone(), leaving);
        cx.log_event("upstream_says_it_leaves", upstream, "it gets no more requests");
        true
    }

    /// Reports whether an upstream, in its listed incarnation, has said that it is leaving.
    pub(super) fn contains(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        let Some(leaving) = self.upstreams.get(upstream) else { return false };
        let listed = cx.upstreams.get(upstream).map(|listed| listed.incarnation);
        let is_later = |own: Incarnation| listed.is_some_and(|listed| listed > own);
        !leaving.until.is_due(cx.now) && !leaving.incarnation.is_some_and(is_later)
    }

    /// Returns the upstreams that are leaving.
    pub(super) fn all(&self, cx: &Cx<'_>) -> Vec<UpstreamId> {
        self.upstreams.keys().filter(|upstream| self.contains(cx, upstream)).cloned().collect()
    }

    /// Forgets what no longer holds, and tells members that have joined; one host does that for each
    /// upstream.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if !self.join_check_at.is_due(cx.now) {
            return;
        }
        self.join_check_at = cx.now.after(JOIN_CHECK_INTERVAL);
        self.upstreams.retain(|_, leaving| !leaving.until.is_due(cx.now));
        for (upstream, leaving) in &mut self.upstreams {
            let newcomers = leaving.told.take_newcomers(cx);
            if newcomers.is_empty() || !is_speaker(cx, upstream, &newcomers) {
                continue;
            }
            for host in newcomers {
                cx.send(&host, PeerMessage::UpstreamLeaving { upstream: upstream.clone() });
            }
        }
    }
}

/// Reports whether this host tells newcomers of an upstream: the first by hashing that isn't one itself.
fn is_speaker(cx: &Cx<'_>, upstream: &UpstreamId, newcomers: &[HostId]) -> bool {
    let others = cx.cache.members().filter(|(host, member)| !member.leaving && !newcomers.contains(host));
    ranking_by_capacity(&format!("leaving/{upstream}"), others)
        .first()
        .is_some_and(|host| **host == cx.cfg.host)
}
