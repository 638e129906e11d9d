//! The upstreams that could take a request, with their cost and room.

use crate::catalogue::ModelTarget;
use crate::cx::Cx;
use crate::event::Target;
use crate::id::{ServiceName, UpstreamId};
use crate::serving::others_load::{MilliRequests, OthersLoad};
use crate::serving::routing::{EngineTarget, Routes};
use crate::serving::slot_leases::SlotCandidate;
use crate::upstream::UpstreamStatus;

/// Load, in thousandths of the concurrency, up to which an upstream may be sent requests with a
/// prompt prefix although it has no free slot; those of this process alone must not fill it.
///
/// If such requests waited for the next free slot while every engine is full, they would rarely
/// reach one that has their prompt cached, just when the saved time is needed most.
const MAX_CROWDED_LOAD: u64 = 1400;
/// Added to the load of an upstream in another data centre, in thousandths of its concurrency.
const REMOTE_COST: u64 = 60;

/// An upstream that could take a request.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) upstream: UpstreamId,
    /// Its expected load in thousandths of its concurrency, plus [`REMOTE_COST`] if it is in another
    /// data centre.
    pub(super) cost: u64,
    pub(super) room: Room,
    /// Requests that it runs at a time.
    concurrency: u32,
}

impl From<Candidate> for SlotCandidate {
    fn from(candidate: Candidate) -> Self {
        Self { upstream: candidate.upstream, concurrency: candidate.concurrency }
    }
}

impl Candidate {
    /// Returns the load that this many requests cause, in thousandths of the concurrency.
    pub(super) fn load_of(&self, requests: u64) -> u64 {
        requests * 1000 / u64::from(self.concurrency.max(1))
    }
}

/// How much room an upstream seems to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// Fewer requests than it runs at a time.
    Free,
    /// Slightly more than it runs at a time: another request waits inside it for a short
    /// time.
    Crowded,
    /// No more may be sent.
    Full,
}

impl Routes {
    /// Returns the upstreams that may be sent requests for a target, full ones included.
    pub(super) fn candidates(&self, cx: &Cx<'_>, target: &Target) -> Vec<Candidate> {
        match target {
            Target::Model(target) => self.engine_candidates(cx, target),
            Target::Service(service) => self.replica_candidates(cx, service),
        }
    }

    fn engine_candidates(&self, cx: &Cx<'_>, target: &ModelTarget) -> Vec<Candidate> {
        self.views
            .ready(cx, target)
            .filter(|known| known.view.reserved_for.is_none())
            .filter(|known| !self.held_for_suspect.contains(&known.view.upstream))
            .filter(|known| self.is_usable(cx, &known.view.upstream))
            .filter(|known| !self.is_missing(cx, &known.view.upstream, target))
            .map(|known| {
                let others = self.notices.load(&known.view.upstream).unwrap_or(&known.others);
                self.candidate(cx, &known.view.upstream, Some(others), known.view.concurrency)
            })
            .collect()
    }

    fn replica_candidates(&self, cx: &Cx<'_>, service: &ServiceName) -> Vec<Candidate> {
        let candidate =
            |id: &UpstreamId| self.candidate(cx, id, self.notices.load(id), self.concurrency(cx, id));
        self.replicas(cx, service).map(candidate).collect()
    }

    pub(super) fn replicas<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        service: &ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamId> + use<'a> {
        let ids = cx.upstreams.replicas(service).map(|u| &u.id);
        ids.filter(|id| self.is_usable(cx, id) && !self.held_for_suspect.contains(*id))
    }

    /// Reports whether an upstream is live on the host list, hasn't announced that it is leaving and
    /// isn't in backoff.
    pub(super) fn is_usable(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> bool {
        let live = cx.upstreams.get(upstream).is_some_and(|u| u.status == UpstreamStatus::Live);
        let backed_off = self.backoffs.get(upstream).is_some_and(|backoff| !backoff.until.is_due(cx.now));
        live && !backed_off && self.notices.takes_requests(cx, upstream)
    }

    /// Returns how many requests an upstream runs at a time.
    fn concurrency(&self, cx: &Cx<'_>, upstream: &UpstreamId) -> u32 {
        if let Some(known) = self.views.get(upstream) {
            return known.view.concurrency;
        }
        let listed = cx.upstreams.get(upstream);
        let by_service = || {
            let service = listed?.service()?;
            cx.document.catalogue.services.get(service).map(|service| service.concurrency)
        };
        listed.and_then(|listed| listed.concurrency).or_else(by_service).unwrap_or(0)
    }

    fn candidate(
        &self,
        cx: &Cx<'_>,
        upstream: &UpstreamId,
        others: Option<&OthersLoad>,
        concurrency: u32,
    ) -> Candidate {
        let near = cx.upstreams.get(upstream).is_some_and(|u| u.data_centre == cx.cfg.data_centre);
        let distance = if near { 0 } else { REMOTE_COST };
        let own = self.in_flight(upstream);
        let load =
            |others: MilliRequests| (MilliRequests::of(own).0 + others.0) / u64::from(concurrency.max(1));
        let others_mean = others.map_or(MilliRequests::default(), |others| others.mean(cx.now));
        let others_decayed = others.map_or(MilliRequests::default(), |others| others.decayed(cx.now));
        // An upstream that seems full is sent nothing and so reports nothing. Its room is therefore
        // judged by an estimate that decays, its cost by the mean.
        let room = match load(others_decayed) {
            _ if !self.notices.inquiry.has_ended() => Room::Full,
            _ if own >= concurrency || !self.notices.limits.may_send(cx.now, upstream) => Room::Full,
            _ if let Some(has_free) = self.notices.slots.has_free(cx.now, upstream, own) => {
                if has_free {
                    Room::Free
                } else {
                    Room::Full
                }
            }
            0..1000 => Room::Free,
            // One that withstands few rejections may let nothing wait.
            _ if self.notices.slots.contains(upstream) => Room::Full,
            1000..MAX_CROWDED_LOAD => Room::Crowded,
            _ => Room::Full,
        };
        Candidate { upstream: upstream.clone(), cost: load(others_mean) + distance, room, concurrency }
    }

    pub(super) fn is_missing(&self, cx: &Cx<'_>, upstream: &UpstreamId, target: &ModelTarget) -> bool {
        let target_on_engine = EngineTarget { upstream: upstream.clone(), target: target.clone() };
        self.missing.get(&target_on_engine).is_some_and(|until| !until.is_due(cx.now))
    }
}
