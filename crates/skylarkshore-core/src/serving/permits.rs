//! The permits that this process grants for requests to upstreams with a limit.
//!
//! Open [`Permits`]. Its host counts for all hosts; see `request_limits.rs`.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::{HostId, UpstreamId};
use crate::peer::PeerMessage;
use crate::time::Time;
use crate::units::RequestRate;

/// Thousandths of a permit in one permit.
const UNITS_PER_PERMIT: u64 = 1000;
/// How long a request for permits stays in the queue.
const REQUEST_TTL: Duration = Duration::from_millis(1500);
/// How long a bucket without requests is kept.
const IDLE_TTL: Duration = Duration::from_secs(10);

/// A host that waits for permits.
#[derive(Debug)]
struct WaitingHost {
    host: HostId,
    count: u32,
    expires: Time,
}

/// The permits for one upstream.
#[derive(Debug)]
struct Bucket {
    limit: RequestRate,
    /// In thousandths of a permit; starts empty, as a predecessor may have granted some just before.
    units: u64,
    refilled_at: Time,
    waiting: VecDeque<WaitingHost>,
    idle_at: Time,
}

impl Bucket {
    const fn new(now: Time, limit: RequestRate) -> Self {
        Self { limit, units: 0, refilled_at: now, waiting: VecDeque::new(), idle_at: now }
    }

    /// Adds what the limit allows since the last time, up to one permit and half a second's worth.
    fn refill(&mut self, now: Time) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let rate = u64::from(self.limit.0);
        let earned = micros.saturating_mul(rate) / 1_000_000;
        if earned == 0 {
            return;
        }
        self.refilled_at = now;
        self.units = self.units.saturating_add(earned).min(UNITS_PER_PERMIT + rate / 2);
    }

    /// Takes the next host to be granted a permit; hosts take turns.
    fn next_host(&mut self, now: Time) -> Option<HostId> {
        self.waiting.retain(|waiting| !waiting.expires.is_due(now));
        if self.units < UNITS_PER_PERMIT {
            return None;
        }
        let mut next = self.waiting.pop_front()?;
        self.units -= UNITS_PER_PERMIT;
        let host = next.host.clone();
        next.count -= 1;
        if next.count > 0 {
            self.waiting.push_back(next);
        }
        Some(host)
    }
}

/// The permits of all upstreams for which this process counts.
#[derive(Debug, Default)]
pub(super) struct Permits {
    buckets: OrderedMap<UpstreamId, Bucket>,
}

impl Permits {
    /// Queues a request for permits, or renews it, and grants what there is.
    pub(super) fn on_wanted(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        upstream: &UpstreamId,
        limit: RequestRate,
        count: u32,
    ) {
        let bucket = self.buckets.entry(upstream.clone()).or_insert_with(|| Bucket::new(cx.now, limit));
        bucket.refill(cx.now);
        bucket.limit = limit;
        bucket.idle_at = cx.now.after(IDLE_TTL);
        let expires = cx.now.after(REQUEST_TTL);
        match bucket.waiting.iter_mut().find(|waiting| waiting.host == *from) {
            Some(waiting) => {
                waiting.count = count;
                waiting.expires = expires;
            }
            None if count > 0 => {
                bucket.waiting.push_back(WaitingHost { host: from.clone(), count, expires });
            }
            None => {}
        }
        // Shows the sender that its request has arrived, also where it has to wait.
        cx.send(from, PeerMessage::Permits { upstream: upstream.clone(), count: 0 });
        grant_due(cx, upstream, bucket);
    }

    /// Grants the permits that have become available.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.buckets.retain(|_, bucket| !bucket.idle_at.is_due(cx.now));
        for (upstream, bucket) in &mut self.buckets {
            bucket.refill(cx.now);
            grant_due(cx, upstream, bucket);
        }
    }
}

fn grant_due(cx: &mut Cx<'_>, upstream: &UpstreamId, bucket: &mut Bucket) {
    while let Some(host) = bucket.next_host(cx.now) {
        cx.send(&host, PeerMessage::Permits { upstream: upstream.clone(), count: 1 });
    }
}
