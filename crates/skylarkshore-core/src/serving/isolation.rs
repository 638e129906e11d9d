//! Isolated runs of suspect requests, on an upstream that is held here and, if it is an engine,
//! reserved by its owner.

use std::time::Duration;

use crate::config::SuspectPolicy;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::{Repeat, Target};
use crate::id::{Digest, HostId, Incarnation, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::Serving;
use crate::serving::arrival::HELD_BACK_RETRY_AFTER;
use crate::serving::attempt::owner_of;
use crate::serving::disposition::Disposition;
use crate::serving::loss_reports::{Loss, Reporter};
use crate::serving::queue::QueuePosition;
use crate::serving::request::{Isolation, Request, Run, State};
use crate::serving::suspect::{IsolatedRun, SuspectStatus};
use crate::view::EngineView;

/// How long an owner's reservation is awaited before an engine that seems idle is used without
/// one.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between reservation requests to an owner.
const RESERVATION_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of digests in a line of the log.
const MAX_LOGGED_DIGESTS: usize = 8;

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

    /// Records the loss of a request with its upstream, here and at the peers.
    ///
    /// The incarnation is the one that the request was sent to. When the loss is noticed,
    /// the host list may no longer name it, or may name the next one. With either of these,
    /// no termination would ever be counted, and the request would crash more upstreams.
    pub(super) fn record_loss(&mut self, cx: &mut Cx<'_>, id: RequestId, run: &Run) {
        let Some(request) = self.requests.get(&id) else { return };
        let digest = request.arrival.digest;
        let loss = Loss { upstream: run.upstream.clone(), incarnation: run.incarnation, request: digest };
        self.suspects.record_loss(cx, &loss);
        self.suspects.on_host_list(cx);
        self.loss_reports.add(cx, &loss, Reporter::Own);
    }

    /// Remembers an attempt that ends without an answer although no connection broke.
    pub(super) fn note_unfinished(&mut self, cx: &Cx<'_>, id: RequestId, run: &Run) {
        let is_counted = cx.cfg.limits.suspects == SuspectPolicy::CountEnds;
        if !is_counted || self.routes.is_leaving(cx, &run.upstream) {
            return;
        }
        if let Some(request) = self.requests.get(&id) {
            self.unfinished.record(cx.now, run, request.arrival.digest);
        }
    }

    /// Records the losses of unfinished attempts whose upstream has ended, here and at the peers.
    pub(super) fn record_unfinished(&mut self, cx: &mut Cx<'_>, losses: &[Loss]) {
        for loss in losses {
            if self.suspects.record_loss(cx, loss) {
                self.loss_reports.add(cx, loss, Reporter::Own);
            }
        }
        if !losses.is_empty() {
            self.suspects.on_host_list(cx);
        }
    }

    /// Records that an upstream has answered an attempt, so that earlier ones haven't ended it.
    pub(super) fn record_answer(&mut self, cx: &Cx<'_>, run: &Run) {
        if cx.cfg.limits.suspects == SuspectPolicy::CountEnds {
            self.suspects.record_answer(run);
            self.unfinished.on_answer(cx.now, run);
        }
    }

    /// Records the losses that a peer has reported, and passes on those that are new.
    fn on_losses(&mut self, cx: &mut Cx<'_>, from: &HostId, losses: &[Loss]) {
        self.loss_reports.acknowledge(from, losses.iter().cloned());
        let mut new = Vec::new();
        for loss in losses {
            if self.suspects.record_loss(cx, loss) {
                self.loss_reports.add(cx, loss, Reporter::Peer);
                new.push(loss);
            }
        }
        log_reported_losses(cx, from, &new);
        self.suspects.on_host_list(cx);
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
            let losses: Vec<Loss> = Loss::of_each(upstream, incarnation, digests).collect();
            self.on_losses(cx, from, &losses);
            return self.refuse_convicted(cx);
        }
        let isolation = if was_exclusive { Isolation::Exclusive } else { Isolation::Shared };
        self.suspects.record_crash(cx, upstream, digests, isolation);
        cx.send(from, PeerMessage::SuspectsNoted { requests: digests.to_vec() });
        self.refuse_convicted(cx);
        self.isolate_suspects(cx);
        self.dispatch_waiting(cx);
    }

    /// Refuses the requests that are convicted of crashing upstreams or held back, also those that
    /// wait inside an upstream.
    pub(super) fn refuse_convicted(&mut self, cx: &mut Cx<'_>) {
        for id in self.waiting_with(SuspectStatus::Convicted) {
            let reason = RefusalReason::CrashesUpstreams;
            self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after: None });
        }
        for id in self.held_back(cx) {
            let reason = RefusalReason::MayCrashUpstreams;
            let retry_after = Some(HELD_BACK_RETRY_AFTER);
            self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after });
        }
    }

    /// Returns the requests that are held back and wait, here or inside an upstream.
    ///
    /// One that may not run twice is left where it is once it was sent.
    fn held_back(&self, cx: &Cx<'_>) -> Vec<RequestId> {
        let is_to_be_refused = |request: &Request| match &request.state {
            State::Queued => true,
            State::Sent(_) => request.arrival.repeat == Repeat::Allowed,
            _ => false,
        };
        let held = self
            .requests
            .iter()
            .filter(|(_, r)| is_to_be_refused(r) && self.suspects.is_held_back(cx, r.arrival.digest));
        held.map(|(id, _)| *id).collect()
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

/// Logs the losses that a peer has reported and that were new, in one line for all of them.
fn log_reported_losses(cx: &mut Cx<'_>, from: &HostId, losses: &[&Loss]) {
    let Some(first) = losses.first() else { return };
    let incarnation = first.incarnation.map_or_else(|| "unknown".to_owned(), |own| own.to_string());
    let digests: Vec<String> =
        losses.iter().take(MAX_LOGGED_DIGESTS).map(|loss| loss.request.to_string()).collect();
    let detail = format!(
        "from={from} incarnation={incarnation} losses={} digests={}",
        losses.len(),
        digests.join(",")
    );
    cx.log_event("losses_reported", &first.upstream, detail);
}
