//! Upstreams that fall over when they have to reject too many requests within a second.
//!
//! Such an upstream says how many rejections it withstands, from all hosts together. Once it has
//! rejected one for want of room, each host keeps to a share of its concurrency, so that all of them
//! together fit, and exceeds it by one request now and then to find out whether there is room again.
//! Start with [`FragileUpstreams`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::control::hashing::ranking_by_capacity;
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::peer::PeerMessage;
use crate::time::Time;

/// Part of the rejections that the hosts use together, as a divisor; the rest covers bursts.
const USED_PART: u32 = 2;
/// Minimum interval between two requests by which a host exceeds its share.
const MIN_GROWTH_INTERVAL: Duration = Duration::from_millis(500);
/// How long after the last rejection, and without need for more, the shares end.
const SHARE_TTL: Duration = Duration::from_secs(10);

/// An upstream that has lately rejected a request for want of room.
#[derive(Clone, Copy, Debug)]
struct Crowded {
    /// How many requests more than its share this host may send at a time.
    extra: u32,
    grows_at: Time,
    until: Time,
}

/// The upstreams that have named a limit on their rejections.
#[derive(Debug, Default)]
pub(super) struct FragileUpstreams {
    /// The rejections within a second that each withstands.
    limits: OrderedMap<UpstreamId, u32>,
    crowded: OrderedMap<UpstreamId, Crowded>,
}

impl FragileUpstreams {
    /// Records the limit that an upstream names, or that it no longer names one.
    pub(super) fn record(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, limit: Option<u32>) {
        let known = match limit {
            Some(limit) => self.limits.insert(upstream.clone(), limit),
            None => self.limits.remove(upstream),
        };
        if known != limit {
            let describe = |limit: Option<u32>| limit.map_or_else(|| "none".to_owned(), |l| l.to_string());
            let detail = format!("from {} to {}", describe(known), describe(limit));
            cx.log_event("rejection_limit", upstream, detail);
        }
    }

    /// Forgets an upstream.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.limits.remove(upstream);
        self.crowded.remove(upstream);
    }

    /// Reports whether an upstream has named a limit.
    pub(super) fn contains(&self, upstream: &UpstreamId) -> bool {
        self.limits.contains_key(upstream)
    }

    /// Returns how many requests this host may have at an upstream; `None` if that isn't limited.
    pub(super) fn own_limit(&self, cx: &Cx<'_>, upstream: &UpstreamId, concurrency: u32) -> Option<u32> {
        let crowded = self.crowded.get(upstream)?;
        Some(share(cx, upstream, concurrency) + crowded.extra)
    }

    /// Records that an upstream has rejected a request of this host for want of room.
    pub(super) fn on_rejected(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        if self.contains(upstream) {
            self.begin_share(cx, upstream);
            broadcast_via_relay(cx, &PeerMessage::UpstreamFull { upstream: upstream.clone() });
        }
    }

    /// Records that an upstream has rejected a request of a peer.
    pub(super) fn on_peer_rejected(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        self.begin_share(cx, upstream);
    }

    /// Lets this host exceed its share where it is used up, and ends shares that are no longer needed.
    pub(super) fn on_tick(
        &mut self,
        cx: &mut Cx<'_>,
        is_used_up: impl Fn(&Cx<'_>, &Self, &UpstreamId) -> bool,
    ) {
        self.crowded.retain(|_, crowded| !crowded.until.is_due(cx.now));
        let due = self.crowded.iter().filter(|(_, crowded)| crowded.grows_at.is_due(cx.now));
        let due: Vec<UpstreamId> = due.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in due {
            let is_needed = is_used_up(cx, self, &upstream);
            let grows_at = self.next_growth(cx, &upstream);
            let Some(crowded) = self.crowded.get_mut(&upstream) else { continue };
            crowded.grows_at = grows_at;
            if is_needed {
                crowded.extra += 1;
                crowded.until = cx.now.after(SHARE_TTL);
            }
        }
    }

    fn begin_share(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let crowded =
            Crowded { extra: 0, grows_at: self.next_growth(cx, upstream), until: cx.now.after(SHARE_TTL) };
        self.crowded.insert(upstream.clone(), crowded);
    }

    /// Returns when this host may exceed its share next, so that all hosts stay below the limit.
    fn next_growth(&self, cx: &mut Cx<'_>, upstream: &UpstreamId) -> Time {
        let hosts = u32::try_from(cx.cache.members().count()).unwrap_or(u32::MAX);
        let used = self.limits.get(upstream).map_or(1, |limit| (limit / USED_PART).max(1));
        let interval = (Duration::from_secs(1) * hosts / used).max(MIN_GROWTH_INTERVAL);
        cx.now.after(cx.jitter(interval))
    }
}

/// Returns this host's share of an upstream's concurrency; the shares of all hosts add up to it.
fn share(cx: &Cx<'_>, upstream: &UpstreamId, concurrency: u32) -> u32 {
    let staying = cx.cache.members().filter(|(_, member)| !member.leaving);
    let ranked = ranking_by_capacity(&format!("room/{upstream}"), staying);
    let hosts = u32::try_from(ranked.len()).unwrap_or(u32::MAX).max(1);
    let rank = ranked.iter().position(|host| **host == cx.cfg.host);
    let is_first = rank.is_some_and(|rank| rank < (concurrency % hosts) as usize);
    concurrency / hosts + u32::from(is_first)
}
