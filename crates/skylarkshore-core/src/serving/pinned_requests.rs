//! Dispatch of streams that may go on only at one software version.

use crate::catalogue::ModelTarget;
use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::Target;
use crate::id::{RequestId, UpstreamId};
use crate::serving::Serving;
use crate::serving::disposition::{Disposition, RETRY_AFTER};
use crate::serving::queue::QueuePosition;
use crate::serving::request::Isolation;
use crate::serving::version_pin::VersionPin;
use crate::upstream::{Upstream, UpstreamStatus};

/// The requests that wait for an upstream of one software version.
///
/// In the queue of their target they would hold up the requests behind them, which any version may serve.
pub(super) type PinnedRequests = OrderedSet<QueuePosition>;

impl Serving {
    /// Sends the waiting pinned requests that an upstream has room for.
    pub(super) fn dispatch_pinned(&mut self, cx: &mut Cx<'_>) {
        let waiting: Vec<QueuePosition> = self.pinned.iter().copied().collect();
        for position in waiting {
            let id = position.due.request;
            let Some(request) = self.requests.get(&id) else { continue };
            if let Some(upstream) = self.routes.choose(cx, self.route_query(request)) {
                self.pinned.remove(&position);
                self.claim_or_send(cx, id, upstream, Isolation::Shared);
            }
        }
    }

    /// Returns the pinned requests that wait for a target.
    pub(super) fn pinned_for(&self, target: &Target) -> impl Iterator<Item = &QueuePosition> {
        let is_for = move |position: &&QueuePosition| {
            self.requests.get(&position.due.request).is_some_and(|r| r.arrival.target == *target)
        };
        self.pinned.iter().filter(is_for)
    }

    /// Returns the targets of pinned requests that wait.
    pub(super) fn pinned_targets(&self) -> Vec<Target> {
        let requests = self.pinned.iter().filter_map(|position| self.requests.get(&position.due.request));
        requests.map(|request| request.arrival.target.clone()).collect()
    }

    /// Refuses the pinned requests for which no upstream of their version is left.
    pub(super) fn refuse_unservable_pinned(&mut self, cx: &mut Cx<'_>) {
        let waiting: Vec<RequestId> = self.pinned.iter().map(|position| position.due.request).collect();
        for id in waiting {
            if !self.refuse_if_version_is_gone(cx, id) {
                self.refuse_if_version_rests(cx, id);
            }
        }
    }

    /// Refuses a pinned request if all upstreams of its version are at rest until its time is over.
    fn refuse_if_version_rests(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_allowed = |upstream: &UpstreamId| request.pin.allows_listed(cx, upstream);
        let rested_at = self.routes.first_rested_at(cx, &request.arrival.target, is_allowed);
        let Some(until) = rested_at.filter(|until| request.queue_deadline() <= *until) else { return };
        let reason = RefusalReason::UpstreamsAtRest;
        let retry_after = Some(until.remaining(cx.now));
        self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after });
    }

    /// Refuses a pinned request if no upstream of its version is left for it; reports whether it did.
    pub(super) fn refuse_if_version_is_gone(&mut self, cx: &mut Cx<'_>, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        if self.may_go_on(cx, &request.arrival.target, &request.pin) {
            return false;
        }
        let reason = RefusalReason::VersionGone;
        let retry_after = Some(RETRY_AFTER);
        self.apply_disposition(cx, id, Disposition::Refuse { reason, retry_after });
        true
    }

    /// Reports whether an upstream that may serve the target runs an allowed version, full or not.
    fn may_go_on(&self, cx: &Cx<'_>, target: &Target, pin: &VersionPin) -> bool {
        let is_usable = |upstream: &Upstream| {
            pin.allows(upstream)
                && upstream.status == UpstreamStatus::Live
                && !self.routes.is_leaving(cx, &upstream.id)
        };
        match target {
            Target::Service(service) => cx.upstreams.replicas(service).any(is_usable),
            Target::Model(model) => {
                let mut engines = self.engines_for(cx, model).into_iter();
                engines.any(|id| cx.upstreams.get(&id).is_some_and(is_usable))
            }
        }
    }

    /// Returns the engines that have a model, load it or may load it.
    fn engines_for(&self, cx: &Cx<'_>, target: &ModelTarget) -> OrderedSet<UpstreamId> {
        let homes = cx.cache.homes(&target.model).into_iter().flat_map(|(_, homes)| &homes.engines);
        homes.chain(self.routes.views.listing(&target.model)).cloned().collect()
    }
}
