//! How suspects get an upstream of their own.

use std::time::Duration;

use crate::config::SuspectPolicy;
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::Target;
use crate::id::{Digest, HostId, Incarnation, RequestId, UpstreamId};
use crate::peer::PeerMessage;
use crate::serving::Serving;
use crate::serving::attempt::owner;
use crate::serving::decide::Step;
use crate::serving::queue::Urgency;
use crate::serving::request::{Company, Run, State};
use crate::serving::suspect::{Alone, Standing};
use crate::view::EngineView;

/// How long an owner's reservation is awaited before an engine that seems idle will do.
const RESERVATION_PATIENCE: Duration = Duration::from_secs(3);
/// How often an owner is asked for a reservation.
const ASK_EVERY: Duration = Duration::from_millis(500);

impl Serving {
    /// Gives the next suspect its turn, one at a time.
    ///
    /// Two suspects at once would not tell which of them crashes engines, and
    /// the innocent one would be convicted with the other.
    pub(super) fn pump_alone(&mut self, cx: &mut Cx<'_>) {
        if self.suspects.alone.is_none() {
            self.choose_alone(cx);
        }
        let Some(alone) = self.suspects.alone.clone() else { return };
        let Some(request) = self.requests.get(&alone.request) else { return };
        if request.state != State::QueuedAlone {
            return;
        }
        let Target::Model(target) = &request.arrival.target else {
            self.suspects.waiting.remove(&Urgency::of(alone.request, request));
            return self.start(cx, alone.request, alone.upstream, Company::Others);
        };
        let patience = request.arrival.deadline.remaining(cx.now);
        if !self.routes.ready_engines(cx, target).contains(&alone.upstream) {
            self.end_alone(cx, alone.request);
            return;
        }
        if let Some(company) = self.company(cx, &alone) {
            self.suspects.waiting.remove(&Urgency::of(alone.request, request));
            return self.start(cx, alone.request, alone.upstream, company);
        }
        if alone.asked.is_none_or(|asked| asked.after(ASK_EVERY).is_due(cx.now)) {
            self.ask_reservation(cx, &alone.upstream, patience);
        }
    }

    /// Tells in whose company a suspect would run now, if it may run.
    ///
    /// An owner that is away can't reserve its engine. A suspect runs there all
    /// the same when the engine seems idle, but a crash then proves nothing.
    fn company(&self, cx: &Cx<'_>, alone: &Alone) -> Option<Company> {
        if self.routes.is_ours_alone(cx, &alone.upstream) {
            return Some(Company::Alone);
        }
        let unanswered = alone.since.after(RESERVATION_PATIENCE).is_due(cx.now);
        (unanswered && self.routes.seems_idle(&alone.upstream)).then_some(Company::Others)
    }

    fn choose_alone(&mut self, cx: &Cx<'_>) {
        for urgency in &self.suspects.waiting {
            let Some(request) = self.requests.get(&urgency.due.request) else { continue };
            let mut upstreams = match &request.arrival.target {
                Target::Model(target) => self.routes.ready_engines(cx, target),
                Target::Service(service) => self.routes.idle_replicas(cx, service),
            };
            upstreams.sort_by_key(|u| (request.tried.contains(u), !self.routes.seems_idle(u)));
            let Some(upstream) = upstreams.into_iter().next() else { continue };
            self.routes.keep_free(&upstream);
            let request = urgency.due.request;
            self.suspects.alone = Some(Alone { request, upstream, since: cx.now, asked: None });
            return;
        }
    }

    fn ask_reservation(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, patience: Duration) {
        if let Some(alone) = &mut self.suspects.alone {
            alone.asked = Some(cx.now);
        }
        if let Some(owner) = owner(cx, upstream) {
            cx.send(
                &owner,
                PeerMessage::ReservationWanted { upstream: upstream.clone(), max_wait: patience },
            );
        }
    }

    /// Opens the upstream of a suspect to all requests again, if the request was the one alone.
    pub(super) fn end_alone(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(alone) = self.suspects.alone.take_if(|alone| alone.request == id) else { return };
        self.routes.open(&alone.upstream);
        if alone.asked.is_none() {
            return;
        }
        if let Some(owner) = owner(cx, &alone.upstream) {
            cx.send(&owner, PeerMessage::ReservationReturned { upstream: alone.upstream });
        }
    }

    /// Gives a reservation back that no suspect of this process needs.
    ///
    /// The message that gave it back may have been lost; the engine would stand
    /// idle until the reservation runs out.
    pub(super) fn return_stray_reservation(&mut self, cx: &mut Cx<'_>, view: &EngineView) {
        let here = view.reserved_for.as_ref() == Some(&cx.cfg.host);
        let needed = self.suspects.alone.as_ref().is_some_and(|alone| alone.upstream == view.upstream);
        if !here || needed {
            return;
        }
        if let Some(owner) = owner(cx, &view.upstream) {
            cx.send(&owner, PeerMessage::ReservationReturned { upstream: view.upstream.clone() });
        }
    }

    /// Counts a request that was lost with its upstream, here and at the peers.
    ///
    /// The life is the one that it was sent to. When the loss is noticed, the host
    /// list may name that life no more, or the next one already; either would
    /// then never be seen to end, and the request would end more upstreams.
    pub(super) fn count_loss(&mut self, cx: &mut Cx<'_>, id: RequestId, run: &Run) {
        let Some(request) = self.requests.get(&id) else { return };
        let digests = vec![request.arrival.digest];
        let (upstream, incarnation) = (run.upstream.clone(), run.life);
        self.suspects.count_loss(cx, &upstream, incarnation, &digests);
        broadcast_via_relay(
            cx,
            &PeerMessage::Suspects { upstream, incarnation, requests: digests, alone: false },
        );
    }

    /// Takes a peer's word of suspects.
    pub(super) fn on_suspects(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        upstream: &UpstreamId,
        incarnation: Option<Incarnation>,
        digests: &[Digest],
        alone: bool,
    ) {
        if cx.cfg.limits.suspects == SuspectPolicy::CountEnds {
            self.suspects.count_loss(cx, upstream, incarnation, digests);
            return self.refuse_convicted(cx);
        }
        let company = if alone { Company::Alone } else { Company::Others };
        self.suspects.suspect(cx, upstream, digests, company);
        cx.send(from, PeerMessage::SuspectsNoted { requests: digests.to_vec() });
        self.refuse_convicted(cx);
        self.set_apart(cx);
        self.pump(cx);
    }

    /// Refuses the waiting requests that crash upstreams.
    pub(super) fn refuse_convicted(&mut self, cx: &mut Cx<'_>) {
        let ids = self.waiting_with(Standing::Convicted);
        for id in ids {
            let reason = RefusalReason::CrashesUpstreams;
            self.advance(cx, id, Step::Refuse { reason, retry_after: None });
        }
    }

    /// Moves queued requests that have become suspect to those that run alone.
    pub(super) fn set_apart(&mut self, cx: &mut Cx<'_>) {
        for id in self.waiting_with(Standing::Suspect) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if request.state != State::Queued {
                continue;
            }
            self.queue.drop_out(id, request);
            request.enter(State::QueuedAlone, cx.now);
            self.suspects.waiting.insert(Urgency::of(id, request));
        }
    }

    /// Queues requests as usual whose digest is suspect no longer.
    pub(super) fn requeue_cleared(&mut self, cx: &mut Cx<'_>, digest: Digest) {
        let cleared: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| r.arrival.digest == digest && r.state == State::QueuedAlone)
            .map(|(id, _)| *id)
            .collect();
        // All leave the line of suspects before the first one moves on: that
        // gives the next suspect its turn, which would then be sent twice.
        for id in &cleared {
            let Some(request) = self.requests.get(id) else { continue };
            self.suspects.waiting.remove(&Urgency::of(*id, request));
            self.end_alone(cx, *id);
        }
        for id in cleared {
            self.wait(cx, id);
        }
    }

    fn waiting_with(&self, standing: Standing) -> Vec<RequestId> {
        let waits = |state: &State| matches!(state, State::Queued | State::QueuedAlone);
        let with = |digest| self.suspects.standing(digest) == standing;
        let found = self.requests.iter().filter(|(_, r)| waits(&r.state) && with(r.arrival.digest));
        found.map(|(id, _)| *id).collect()
    }
}
