//! Limits on the requests a second that an upstream takes from all hosts together.
//!
//! An upstream in need names its limit in its answers. One host, found by hashing, counts against the
//! limit for all: before any other host sends a request there, it needs a permit of that host. If each
//! host kept to the limit by itself, the upstream would get it as many times as there are hosts; if
//! each kept to an equal part, most of the limit would be lost to hosts without requests. Start reading
//! at [`RequestLimits`] for the sender's side; `permits.rs` has the other.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::peer::PeerMessage;
use crate::serving::counting_hosts::{Answers, CountingHosts, Purpose};
use crate::time::Time;
use crate::units::RequestRate;

/// How long a permit may be used. Permits that many hosts kept could be used all at once.
const PERMIT_TTL: Duration = Duration::from_secs(1);
/// Interval between two requests for permits; the host that counts remembers each for longer.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// What the counting host counts.
const PURPOSE: Purpose = Purpose { name: "requests", answer_timeout: Duration::from_millis(1200) };
/// Maximum number of permits in one request.
const MAX_PERMITS_WANTED: u32 = 4;

/// The limit of one upstream.
#[derive(Debug)]
struct Limited {
    limit: RequestRate,
    /// When each permit expires.
    permits: VecDeque<Time>,
    next_request: Time,
    answers: Answers,
}

impl Limited {
    fn has_permit(&self, now: Time) -> bool {
        self.permits.iter().any(|expires| !expires.is_due(now))
    }
}

/// The limits that upstreams have named to this process, and its permits.
#[derive(Debug, Default)]
pub(super) struct RequestLimits {
    limited: OrderedMap<UpstreamId, Limited>,
    counters: CountingHosts,
}

impl RequestLimits {
    /// Records the limit that an upstream names, or that it no longer names one; reports whether that is new.
    pub(super) fn record(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        limit: Option<RequestRate>,
    ) -> bool {
        let known = self.limited.get(upstream).map(|limited| limited.limit);
        if known == limit {
            return false;
        }
        let describe =
            |limit: Option<RequestRate>| limit.map_or_else(|| "none".to_owned(), |l| l.to_string());
        cx.log_event("request_limit", upstream, format!("from {} to {}", describe(known), describe(limit)));
        let Some(limit) = limit else {
            self.limited.remove(upstream);
            return true;
        };
        let limited = self.limited.entry(upstream.clone()).or_insert_with(|| Limited {
            limit,
            permits: VecDeque::new(),
            next_request: cx.now,
            answers: Answers::default(),
        });
        limited.limit = limit;
        true
    }

    /// Forgets an upstream.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.limited.remove(upstream);
    }

    /// Reports whether a request may be sent to an upstream now.
    pub(super) fn may_send(&self, now: Time, upstream: &UpstreamId) -> bool {
        self.limited.get(upstream).is_none_or(|limited| limited.has_permit(now))
    }

    /// Uses a permit for a request to an upstream, if it needs one.
    pub(super) fn use_permit(&mut self, now: Time, upstream: &UpstreamId) {
        let Some(limited) = self.limited.get_mut(upstream) else { return };
        limited.permits.retain(|expires| !expires.is_due(now));
        limited.permits.pop_front();
    }

    /// Requests permits for waiting requests to an upstream, if it needs any and that is due.
    pub(super) fn request_permits(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, waiting: u32) {
        let Some(limited) = self.limited.get_mut(upstream) else { return };
        if limited.has_permit(cx.now) || !limited.next_request.is_due(cx.now) {
            return;
        }
        let counter = self.counters.choose(cx, &PURPOSE, upstream, None, &mut limited.answers);
        let Some(counter) = counter else { return };
        limited.next_request = cx.now.after(REQUEST_INTERVAL);
        limited.answers.expect(cx.now);
        let count = waiting.clamp(1, MAX_PERMITS_WANTED);
        let message = PeerMessage::PermitsWanted { upstream: upstream.clone(), limit: limited.limit, count };
        cx.send(&counter, message);
    }

    /// Records permits; none of them is an answer too.
    pub(super) fn on_permits(&mut self, now: Time, upstream: &UpstreamId, count: u32) {
        let Some(limited) = self.limited.get_mut(upstream) else { return };
        limited.answers.record();
        limited.permits.extend((0..count.min(MAX_PERMITS_WANTED)).map(|_| now.after(PERMIT_TTL)));
    }
}
