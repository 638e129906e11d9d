//! Isolated runs of suspect requests, on an upstream that is held here and, if it is an engine,
//! reserved by its owner.

use std::time::Duration;

use crate::config::SuspectPolicy;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::Target;
use crate::id::{Digest, HostId, Incarnation, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::Serving;
use crate::serving::attempt::owner_of;
use crate::serving::disposition::Disposition;
use crate::serving::queue::QueuePosition;
use crate::serving::request::{Isolation, State};
use crate::serving::suspect::{IsolatedRun, SuspectStatus};
use crate::view::EngineView;

/// How long an owner's reservation is awaited before an engine that seems idle is used without
/// one.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between reservation requests to an owner.
const RESERVATION_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

impl Serving {
    /// Dispatches the next suspect, one at a time.
    ///
    /// Two suspects at the same time would not show which of them crashes engines, and the
    /// innocent one would be convicted with the other.
    pub(super) fn dispatch_suspects(&mut self, cx: &mut Cx<'_>) {
        if self.suspects.isolated.is_none() {
            self.choose_suspect(cx);
        }
        let Some(isolated) = self.suspects.isolated.clone() else { return };
        let Some(request) = self.requests.get(&isolated.request) else { return };
        if request.state != State::QueuedForIsolation {
            return;
        }
        let Target::Model(target) = &request.arrival.target else {
            self.suspects.waiting.remove(&QueuePosition::of(isolated.request, request));
            return self.claim_or_send(cx, isolated.request, isolated.upstream, Isolation::Shared);
        };
        let max_wait = request.arrival.deadline.remaining(cx.now);
        if !self.routes.isolation_engines(cx, target).contains(&isolated.upstream) {
            self.end_isolation(cx, isolated.request);
            return;
        }
        if let Some(isolation) = self.permitted_isolation(cx, &isolated) {
            self.suspects.waiting.remove(&QueuePosition::of(isolated.request, request));
            return self.claim_or_send(cx, isolated.request, isolated.upstream, isolation);
        }
        if isolated
            .asked_at
            .is_none_or(|asked_at| asked_at.after(RESERVATION_REQUEST_INTERVAL).is_due(cx.now))
        {
            self.ask_reservation(cx, &isolated.upstream, max_wait);
        }
    }

    /// Returns how isolated a suspect would run if it were sent now, or `None` if it has to wait.
    ///
    /// An owner that is down can't reserve its engine. A suspect runs there anyway if the
    /// engine seems idle, but a crash then proves nothing.
    fn permitted_isolation(&self, cx: &Cx<'_>, isolated: &IsolatedRun) -> Option<Isolation> {
        if self.routes.is_reserved_and_idle(cx, &isolated.upstream) {
            return Some(Isolation::Exclusive);
        }
        let unanswered = isolated.since.after(RESERVATION_TIMEOUT).is_due(cx.now);
        (unanswered && self.routes.seems_idle(&isolated.upstream)).then_some(Isolation::Shared)
    }

    /// Holds an upstream for the most urgent suspect that has one to run on.
    fn choose_suspect(&mut self, cx: &Cx<'_>) {
        for position in &self.suspects.waiting {
            let Some(request) = self.requests.get(&position.due.request) else { continue };
            let mut upstreams = match &request.arrival.target {
                Target::Model(target) => self.routes.isolation_engines(cx, target),
                Target::Service(service) => self.routes.isolation_replicas(cx, service),
            };
            upstreams.retain(|u| request.pin.allows_listed(cx, u));
            upstreams.sort_by_key(|u| (request.tried.contains(u), !self.routes.seems_idle(u)));
            let Some(upstream) = upstreams.into_iter().next() else { continue };
            self.routes.hold_for_suspect(&upstream);
            let request = position.due.request;
            self.suspects.isolated = Some(IsolatedRun { request, upstream, since: cx.now, asked_at: None });
            return;
        }
    }

    fn ask_reservation(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, max_wait: Duration) {
        if let Some(isolated) = &mut self.suspects.isolated {
            isolated.asked_at = Some(cx.now);
        }
        if let Some(owner) = owner_of(cx, upstream) {
            cx.send(&owner, PeerMessage::ReservationWanted { upstream: upstream.clone(), max_wait });
        }
    }

    /// Releases the upstream held for a suspect, if the request is the isolated one.
    pub(super) fn end_isolation(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(isolated) = self.suspects.isolated.take_if(|run| run.request == id) else { return };
        self.routes.release_held(&isolated.upstream);
        if isolated.asked_at.is_none() {
            return;
        }
        if let Some(owner) = owner_of(cx, &isolated.upstream) {
            cx.send(&owner, PeerMessage::ReservationReturned { upstream: isolated.upstream });
        }
    }

    /// Returns a reservation that no suspect of this process needs.
    ///
    /// The message that returned it may have been lost; the engine would be idle until the
    /// reservation expires.
    pub(super) fn return_stray_reservation(&mut self, cx: &mut Cx<'_>, view: &EngineView) {
        let reserved_here = view.reserved_for.as_ref() == Some(&cx.cfg.host);
        let needed = self.suspects.isolated.as_ref().is_some_and(|run| run.upstream == view.upstream);
        if !reserved_here || needed {
            return;
        }
        if let Some(owner) = owner_of(cx, &view.upstream) {
            cx.send(&owner, PeerMessage::ReservationReturned { upstream: view.upstream.clone() });
        }
    }

    /// Handles a peer's report of the requests that were in progress during a crash.
    pub(super) fn on_suspects(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        upstream: &UpstreamId,
        incarnation: Option<Incarnation>,
        digests: &[Digest],
        was_exclusive: bool,
    ) {
        if cx.cfg.limits.suspects == SuspectPolicy::CountEnds {
            self.evidence.on_reported(cx, from, upstream, incarnation, digests);
            return self.refuse_held_back(cx);
        }
        let isolation = if was_exclusive { Isolation::Exclusive } else { Isolation::Shared };
        self.suspects.record_crash(cx, upstream, digests, isolation);
        cx.send(from, PeerMessage::SuspectsNoted { requests: digests.to_vec() });
        self.refuse_convicted(cx);
        self.isolate_suspects(cx);
        self.dispatch_waiting(cx);
    }

    /// Refuses the waiting requests that are convicted of crashing upstreams.
    pub(super) fn refuse_convicted(&mut self, cx: &mut Cx<'_>) {
        for id in self.waiting_with(SuspectStatus::Convicted) {
            let reason = RefusalReason::CrashesUpstreams;
            self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
        }
    }

    /// Moves queued requests that have become suspect to the queue for isolated runs.
    pub(super) fn isolate_suspects(&mut self, cx: &mut Cx<'_>) {
        for id in self.waiting_with(SuspectStatus::Suspect) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if request.state != State::Queued {
                continue;
            }
            self.queue.remove_if_queued(id, request);
            request.set_state(State::QueuedForIsolation, cx.now);
            self.suspects.waiting.insert(QueuePosition::of(id, request));
        }
    }

    /// Requeues requests whose digest is no longer suspect.
    pub(super) fn requeue_cleared(&mut self, cx: &mut Cx<'_>, digest: Digest) {
        let cleared: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| r.arrival.digest == digest && r.state == State::QueuedForIsolation)
            .map(|(id, _)| *id)
            .collect();
        // All requests leave the suspect queue before the first is requeued. Requeueing
        // dispatches the next suspect, which would otherwise be sent twice.
        for id in &cleared {
            let Some(request) = self.requests.get(id) else { continue };
            self.suspects.waiting.remove(&QueuePosition::of(*id, request));
            self.end_isolation(cx, *id);
        }
        for id in cleared {
            self.push_to_queue(cx, id);
        }
    }

    fn waiting_with(&self, status: SuspectStatus) -> Vec<RequestId> {
        let waits = |state: &State| matches!(state, State::Queued | State::QueuedForIsolation);
        let with = |digest| self.suspects.status(digest) == status;
        let found = self.requests.iter().filter(|(_, r)| waits(&r.state) && with(r.arrival.digest));
        found.map(|(id, _)| *id).collect()
    }
}
