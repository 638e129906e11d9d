//! Detection of requests that crash upstreams, where suspects run alone.
//!
//! Open [`Suspects`] first.
//!
//! - A *loss* is an attempt that ended without a complete answer and with an unknown outcome, for
//!   example because the connection broke or the time ran out. Its upstream may still run.
//! - A *crash* is a loss after which the upstream seems to have died although it wasn't leaving.
//! - A *suspect* is a request that was in progress during a crash and may have caused it. It runs
//!   only in isolation, one suspect at a time.
//! - A request is *convicted* when it is taken to crash upstreams; it is refused for
//!   [`CONVICTION_TTL`].
//!
//! Requests with the same [`Digest`] of method, path and body count as the same request. After a crash,
//! all requests in progress at the upstream become suspects. One is convicted if its upstream crashes
//! while nothing else runs there, or after [`CONVICTION_THRESHOLD`] crashes; it is cleared if it completes.
//! Where suspects don't run alone, `evidence.rs` counts the upstreams that ended under them.

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{Digest, HostId, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::queue::QueuePosition;
use crate::serving::request::Isolation;
use crate::time::Time;

/// How long a request remains suspect after the last crash that it was involved in.
const SUSPICION_TTL: Duration = Duration::from_hours(1);
/// Until when a notice is sent again to peers that were silent.
const NOTICE_TTL: Duration = Duration::from_mins(2);
/// How long a convicted request is refused.
const CONVICTION_TTL: Duration = Duration::from_hours(24);
/// Longest time that the peers' acknowledgements are awaited before the caller is answered.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a notice is sent again to peers that haven't acknowledged it.
const NOTICE_RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// The same once the caller has been answered.
const LATE_NOTICE_RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of digests that are kept.
const MAX_SUSPICIONS: usize = 4096;
/// Number of crashes of different upstreams that convicts a request, isolated or not.
///
/// Replicas of services can't be reserved, so it is never proved that a suspect request to a
/// service runs in isolation. Without this limit, one request could crash all replicas in turn,
/// forever.
const CONVICTION_THRESHOLD: usize = 3;

/// The crashes that a request was involved in.
#[derive(Debug)]
struct Suspicion {
    /// The upstreams; several crashes of one count once, as reports of a crash may be repeated.
    crashed: OrderedSet<UpstreamId>,
    convicted: bool,
    until: Time,
}

impl Suspicion {
    const fn new() -> Self {
        Self { crashed: OrderedSet::new(), convicted: false, until: Time::START }
    }
}

/// A crash of which the peers have been notified and not all have acknowledged.
#[derive(Debug)]
struct PendingNotice {
    upstream: UpstreamId,
    digests: Vec<Digest>,
    isolation: Isolation,
    unacknowledged: OrderedSet<HostId>,
    /// Those of them for which the requests wait.
    awaited: OrderedSet<HostId>,
    resend_at: Time,
    /// Until when the requests wait.
    wait_until: Time,
    /// Until when the notice is sent again to peers that were silent.
    until: Time,
    /// Lost requests of this process that are retried or refused when the wait ends.
    waiting_requests: Vec<RequestId>,
}

impl PendingNotice {
    fn has_wait_ended(&self, now: Time) -> bool {
        self.awaited.is_empty() || self.wait_until.is_due(now)
    }

    fn message(&self) -> PeerMessage {
        PeerMessage::Suspects {
            upstream: self.upstream.clone(),
            incarnation: None,
            requests: self.digests.clone(),
            alone: self.isolation == Isolation::Exclusive,
        }
    }
}

/// The suspect for which an upstream is held, whether it has been sent yet or not.
#[derive(Clone, Debug)]
pub(super) struct IsolatedRun {
    pub(super) request: RequestId,
    pub(super) upstream: UpstreamId,
    /// Since when the upstream has been held for it.
    pub(super) since: Time,
    /// When the upstream's owner was last asked for a reservation.
    pub(super) asked_at: Option<Time>,
}

/// Whether a request with this digest may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuspectStatus {
    /// It isn't suspect.
    Unsuspected,
    /// It may run only in isolation.
    Suspect,
    /// It must not run.
    Convicted,
}

/// The suspects known to a process.
#[derive(Debug)]
pub(super) struct Suspects {
    /// Suspect and convicted requests by digest.
    known: OrderedMap<Digest, Suspicion>,
    pending_notices: Vec<PendingNotice>,
    last_contact: OrderedMap<HostId, Time>,
    /// The suspect requests that wait for an upstream of their own.
    pub(super) waiting: OrderedSet<QueuePosition>,
    /// The suspect for which an upstream is held.
    pub(super) isolated: Option<IsolatedRun>,
}

impl Suspects {
    /// Creates the state of a process without suspects.
    pub(super) const fn new() -> Self {
        Self {
            known: OrderedMap::new(),
            pending_notices: Vec::new(),
            last_contact: OrderedMap::new(),
            waiting: OrderedSet::new(),
            isolated: None,
        }
    }

    /// Returns the status of a request's digest.
    pub(super) fn status(&self, digest: Digest) -> SuspectStatus {
        match self.known.get(&digest) {
            None => SuspectStatus::Unsuspected,
            Some(suspicion) if suspicion.convicted => SuspectStatus::Convicted,
            Some(_) => SuspectStatus::Suspect,
        }
    }

    /// Returns how many digests have a status.
    pub(super) fn count(&self, status: SuspectStatus) -> usize {
        self.known.keys().filter(|digest| self.status(**digest) == status).count()
    }

    /// Returns the digests of suspect and convicted requests.
    pub(super) fn digests(&self) -> impl Iterator<Item = Digest> {
        self.known.keys().copied()
    }

    /// Records a crash and notifies the peers of it.
    ///
    /// If the caller were answered first, it could send the request again immediately, to a
    /// host that doesn't know of the crash and passes the request to the next upstream.
    pub(super) fn notify_peers(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        digests: Vec<Digest>,
        isolation: Isolation,
        waiting_request: RequestId,
    ) {
        self.record_crash(cx, upstream, &digests, isolation);
        let members = cx.cache.members().map(|(host, _)| host);
        let unacknowledged = members.filter(|host| **host != cx.cfg.host).cloned().collect();
        let notice = PendingNotice {
            upstream: upstream.clone(),
            digests,
            isolation,
            awaited: self.peers_to_await(cx, &unacknowledged),
            unacknowledged,
            resend_at: cx.now.after(NOTICE_RESEND_INTERVAL),
            wait_until: cx.now.after(NOTICE_TIMEOUT),
            until: cx.now.after(NOTICE_TTL),
            waiting_requests: vec![waiting_request],
        };
        cx.broadcast(&notice.message());
        self.pending_notices.push(notice);
    }

    /// Makes a request wait for a pending notice that names it; reports whether there is
    /// one.
    pub(super) fn join_notice(
        &mut self,
        upstream: &UpstreamId,
        digest: Digest,
        waiting_request: RequestId,
    ) -> bool {
        let notice = self
            .pending_notices
            .iter_mut()
            .find(|notice| notice.upstream == *upstream && notice.digests.contains(&digest));
        let Some(notice) = notice else { return false };
        notice.waiting_requests.push(waiting_request);
        true
    }

    /// Records a crash and the requests that were in progress at the upstream, at this process or a
    /// peer; convicts those that ran exclusively or reach [`CONVICTION_THRESHOLD`].
    pub(super) fn record_crash(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        digests: &[Digest],
        isolation: Isolation,
    ) {
        for digest in digests {
            self.evict_if_full();
            let suspicion = self.known.entry(*digest).or_insert_with(Suspicion::new);
            suspicion.crashed.insert(upstream.clone());
            let convicted =
                isolation == Isolation::Exclusive || suspicion.crashed.len() >= CONVICTION_THRESHOLD;
            if convicted && !suspicion.convicted {
                cx.log_event("request_convicted", digest, format!("crashed {upstream}"));
            } else if !convicted {
                cx.log_event("request_suspected", digest, format!("in progress when {upstream} died"));
            }
            suspicion.convicted |= convicted;
            let kept = if suspicion.convicted { CONVICTION_TTL } else { SUSPICION_TTL };
            suspicion.until = cx.now.after(kept);
        }
    }

    /// Clears a request that ran to completion; reports whether it was suspect, so that its waiting
    /// requests have to be requeued.
    pub(super) fn clear(&mut self, digest: Digest) -> bool {
        if self.status(digest) != SuspectStatus::Suspect {
            return false;
        }
        self.known.remove(&digest);
        true
    }

    /// Records that a peer is alive.
    pub(super) fn record_contact(&mut self, now: Time, host: &HostId) {
        self.last_contact.insert(host.clone(), now);
    }

    /// Handles a peer's acknowledgement; returns the requests that may proceed.
    pub(super) fn on_acknowledged(&mut self, from: &HostId, digests: &[Digest]) -> Vec<RequestId> {
        for notice in &mut self.pending_notices {
            if notice.digests.iter().all(|digest| digests.contains(digest)) {
                notice.unacknowledged.remove(from);
                notice.awaited.remove(from);
            }
        }
        // Nothing is due at START, so this takes only acknowledged notices; the tick takes those
        // that have timed out.
        self.take_notified(Time::START)
    }

    /// Removes expired suspicions, and contacts with peers that are no longer members.
    pub(super) fn remove_expired(&mut self, cx: &Cx<'_>) {
        self.known.retain(|_, suspicion| !suspicion.until.is_due(cx.now));
        self.last_contact.retain(|host, _| cx.cache.member(host).is_some());
    }

    /// Sends pending notices again; returns the requests that may proceed.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<RequestId> {
        for notice in &mut self.pending_notices {
            if !notice.resend_at.is_due(cx.now) {
                continue;
            }
            let is_awaited = !notice.has_wait_ended(cx.now);
            let interval = if is_awaited { NOTICE_RESEND_INTERVAL } else { LATE_NOTICE_RESEND_INTERVAL };
            notice.resend_at = cx.now.after(interval);
            let message = notice.message();
            for host in &notice.unacknowledged {
                cx.send(host, message.clone());
            }
        }
        self.take_notified(cx.now)
    }

    /// Returns the requests whose wait for a notice has ended, and removes the notices that all
    /// peers have acknowledged or that have expired.
    pub(super) fn take_notified(&mut self, now: Time) -> Vec<RequestId> {
        let mut notified = Vec::new();
        for notice in self.pending_notices.iter_mut().filter(|notice| notice.has_wait_ended(now)) {
            notified.append(&mut notice.waiting_requests);
        }
        self.pending_notices.retain(|notice| !notice.unacknowledged.is_empty() && !notice.until.is_due(now));
        notified
    }

    /// Returns the peers for whose acknowledgement requests wait.
    fn peers_to_await(&self, cx: &Cx<'_>, peers: &OrderedSet<HostId>) -> OrderedSet<HostId> {
        peers.iter().filter(|host| !self.is_silent(cx, host)).cloned().collect()
    }

    /// Reports whether a peer that was heard of has been silent for long.
    pub(super) fn is_silent(&self, cx: &Cx<'_>, host: &HostId) -> bool {
        let last_contact = self.last_contact.get(host);
        last_contact.is_some_and(|at| at.after(cx.cfg.timings.peer_timeout).is_due(cx.now))
    }

    fn evict_if_full(&mut self) {
        if self.known.len() < MAX_SUSPICIONS {
            return;
        }
        let first = self.known.iter().min_by_key(|(_, s)| (s.convicted, s.until)).map(|(digest, _)| *digest);
        if let Some(first) = first {
            self.known.remove(&first);
        }
    }
}
