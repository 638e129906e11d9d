//! The availability of targets that requests wait for: asking owners, and refusing what can't
//! be served.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::effect::RefusalReason;
use crate::event::Target;
use crate::id::{HostId, RequestId, UpstreamId};
use crate::peer::CannotLoad;
use crate::serving::Serving;
use crate::serving::demand::{AskTiming, OwnerRefusal, Supply};
use crate::serving::disposition::Disposition;
use crate::serving::queue::WaitingSummary;
use crate::serving::request::State;
use crate::serving::routing::Availability;
use crate::store::Key;
use crate::time::Time;
use crate::view::EngineView;

/// How long requests wait while no owner responds.
const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_secs(25);
/// Retry delay when no upstream could take a request.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why requests for a target can't be served in time, and which of them.
#[derive(Clone, Debug)]
struct Shortage {
    reason: RefusalReason,
    /// Requests whose deadline is at or before this time can't be served.
    unservable_until: Time,
    retry_after: Duration,
}

impl Shortage {
    /// All upstreams are at rest until a time.
    fn until_rested(cx: &Cx<'_>, until: Time) -> Self {
        let retry_after = until.remaining(cx.now);
        Self { reason: RefusalReason::UpstreamsAtRest, unservable_until: until, retry_after }
    }
}

impl Serving {
    /// Handles an owner's view of an engine.
    pub(super) fn on_view(&mut self, cx: &mut Cx<'_>, view: &EngineView) {
        if !self.routes.apply_view(cx.now, view.clone()) {
            return;
        }
        self.return_stray_reservation(cx, view);
        for model in self.waiting_models(cx) {
            if self.routes.views.lists_model(&view.upstream, &model) {
                self.demand.record_response(&model);
                self.refuse_unservable(cx, &Target::Model(model));
            }
        }
        self.dispatch_for_upstream(cx, &view.upstream);
    }

    /// Handles an owner's refusal to load a target.
    pub(super) fn on_cannot_load(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        target: &ModelTarget,
        reason: &CannotLoad,
        retry_after: Duration,
    ) {
        // The host has just handed the engine over; the new owner is asked as soon as its
        // record is in the cache.
        if *reason == CannotLoad::NotOwner {
            return;
        }
        if *reason == CannotLoad::Busy {
            self.demand.record_busy(cx.now, from, target, retry_after);
            return self.ask(cx, &Target::Model(target.clone()), AskTiming::Now);
        }
        let loaded = self.loaded(cx, target);
        let next = self.demand.record_refusal(cx, from, target, reason.clone(), retry_after, &loaded);
        let target = Target::Model(target.clone());
        self.refuse_unservable(cx, &target);
        if next {
            self.ask(cx, &target, AskTiming::Now);
        }
    }

    /// Refuses the requests that can't be served in time, for every target.
    pub(super) fn refuse_all_unservable(&mut self, cx: &mut Cx<'_>) {
        let mut targets = self.queue.targets();
        targets.extend(self.waiting_models(cx).into_iter().map(Target::Model));
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.refuse_unservable(cx, &target);
        }
    }

    /// Refuses the requests for a target that can't be served in time.
    ///
    /// A caller that is refused immediately can ask another host; one that waits until its
    /// deadline has lost that time.
    pub(super) fn refuse_unservable(&mut self, cx: &mut Cx<'_>, target: &Target) {
        let Some(shortage) = self.shortage(cx, target) else { return };
        for id in self.waiting_for(target) {
            let too_late =
                self.requests.get(&id).is_some_and(|r| r.queue_deadline() <= shortage.unservable_until);
            if too_late {
                self.expect_retry(cx.now, id, shortage.retry_after);
                let reason = shortage.reason.clone();
                self.apply_disposition(
                    cx,
                    id,
                    Disposition::Refuse { reason, retry_after: Some(shortage.retry_after) },
                );
            }
        }
    }

    /// Refuses every queued request.
    pub(super) fn refuse_queued(&mut self, cx: &mut Cx<'_>, reason: &RefusalReason, retry_after: Duration) {
        let mut targets = self.queue.targets();
        targets.extend(self.suspect_targets());
        targets.extend(self.pinned_targets());
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            for id in self.waiting_for(&target) {
                let reason = reason.clone();
                self.apply_disposition(
                    cx,
                    id,
                    Disposition::Refuse { reason, retry_after: Some(retry_after) },
                );
            }
        }
    }

    fn expect_retry(&mut self, now: Time, id: RequestId, retry_after: Duration) {
        let Some(request) = self.requests.get(&id) else { return };
        let Target::Model(target) = &request.arrival.target else { return };
        self.demand.expect_retry(now, target, request.order, retry_after);
    }

    /// Reports the callers that were refused since the last call to the owners of their models.
    pub(super) fn report_refused_callers(&mut self, cx: &mut Cx<'_>) {
        for target in self.demand.take_recently_refused() {
            let loader = self.loader(cx, &target);
            self.demand.report_expected_retries(cx, &target, loader);
        }
    }

    fn shortage(&self, cx: &Cx<'_>, target: &Target) -> Option<Shortage> {
        let all_unservable = |retry_after| Shortage {
            reason: RefusalReason::NoUpstream,
            unservable_until: Time::NEVER,
            retry_after,
        };
        let model = match target {
            Target::Service(service) => {
                if !self.routes.has_replica(cx, service) {
                    return Some(all_unservable(RETRY_AFTER));
                }
                return match self.routes.availability(cx, target) {
                    Availability::Resting { until } => Some(Shortage::until_rested(cx, until)),
                    _ => None,
                };
            }
            Target::Model(target) => target,
        };
        match self.routes.availability(cx, target) {
            Availability::Ready => return None,
            Availability::Resting { until } => return Some(Shortage::until_rested(cx, until)),
            Availability::Loading { ready_at } => {
                let reason = RefusalReason::ColdStartTooLong;
                return Some(Shortage {
                    reason,
                    unservable_until: ready_at,
                    retry_after: ready_at.remaining(cx.now),
                });
            }
            Availability::None => {}
        }
        if !cx.document.catalogue.models.contains_key(&model.model) {
            return Some(all_unservable(RETRY_AFTER));
        }
        if let Some(refused) = self.demand.all_owners_refusal(cx, model) {
            let retry_after = refused.until.remaining(cx.now);
            return Some(Shortage {
                reason: reason_of(&refused.reason),
                unservable_until: latest_unservable_deadline(refused),
                retry_after,
            });
        }
        let silent_since = self.demand.silent_since(model)?;
        silent_since.after(OWNER_SILENCE_TIMEOUT).is_due(cx.now).then(|| all_unservable(RETRY_AFTER))
    }

    /// Asks the owners for a target if requests wait for it.
    pub(super) fn ask_owners_for(&mut self, cx: &mut Cx<'_>, target: &Target) {
        let Target::Model(model) = target else { return };
        if self.waiting(cx, target).is_none() {
            return self.demand.reset(model);
        }
        // Only the first waiting request may ask before the interval has passed. Each
        // answer of an owner leads back here. If each answer triggered another question
        // while an engine is unreachable, a host that owns the home itself would loop
        // forever, and two hosts would flood each other.
        let first = !self.demand.has_waiting_requests(model);
        let cold = first && self.routes.availability(cx, target) == Availability::None;
        self.ask(cx, target, if cold { AskTiming::Now } else { AskTiming::WhenDue });
    }

    /// Asks the owners again for the targets whose homes, or owners of homes, have changed.
    pub(super) fn ask_new_owners(&mut self, cx: &mut Cx<'_>, key: &Key) {
        for model in self.waiting_models(cx) {
            let affected = match key {
                Key::Homes(changed) => changed.as_str() == model.model.as_str(),
                Key::Owner(engine) => {
                    cx.cache.homes(&model.model).is_some_and(|(_, homes)| homes.engines.contains(engine))
                }
                _ => false,
            };
            let target = Target::Model(model);
            if affected && self.routes.availability(cx, &target) == Availability::None {
                self.ask(cx, &target, AskTiming::Now);
            }
        }
    }

    fn ask(&mut self, cx: &mut Cx<'_>, target: &Target, timing: AskTiming) {
        let Target::Model(model) = target else { return };
        let Some(waiting) = self.waiting(cx, target) else { return };
        let supply = match self.routes.availability(cx, target) {
            Availability::Ready | Availability::Resting { .. } => Supply::Saturated,
            // A load that finishes after every waiting request has timed out is of
            // no use to them.
            Availability::Loading { ready_at } if ready_at >= waiting.latest_deadline => Supply::Unavailable,
            Availability::Loading { .. } => Supply::InProgress,
            Availability::None => Supply::Unavailable,
        };
        if supply == Supply::InProgress
            && let Some(loader) = self.loader(cx, model)
        {
            self.demand.assign_loader(cx, model, loader);
        }
        let loaded = self.loaded(cx, model);
        self.demand.ask(cx, model, waiting, supply, timing, &loaded);
    }

    /// Returns the owner of the engine that is expected to be ready with a target first.
    fn loader(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<HostId> {
        let engine = self.routes.views.first_loading(cx, target)?;
        cx.cache.owner(engine).map(|(_, owner)| owner.host.clone())
    }

    /// Returns the engines on which a target's base model is ready.
    fn loaded(&self, cx: &Cx<'_>, target: &ModelTarget) -> OrderedSet<UpstreamId> {
        let base = ModelTarget { model: target.model.clone(), adapter: None };
        self.routes.views.ready(cx, &base).map(|known| known.view.upstream.clone()).collect()
    }

    /// Summarizes the requests that wait for a target, including suspects and expected
    /// retries.
    fn waiting(&self, cx: &Cx<'_>, target: &Target) -> Option<WaitingSummary> {
        let mut waiting = self.queue.waiting(cx.now, target);
        for position in &self.suspects.waiting {
            let Some(request) = self.requests.get(&position.due.request) else { continue };
            if request.arrival.target == *target {
                WaitingSummary::add(&mut waiting, 1, position.order, position.due.at);
            }
        }
        for position in self.pinned_for(target) {
            WaitingSummary::add(&mut waiting, 1, position.order, position.due.at);
        }
        if let Target::Model(model) = target
            && let Some(expected_retries) = self.demand.expected_retries(cx, model)
            && self.routes.availability(cx, target) != Availability::Ready
        {
            WaitingSummary::add(
                &mut waiting,
                expected_retries.count,
                expected_retries.order,
                expected_retries.until,
            );
        }
        waiting
    }

    /// Returns the requests that wait for a target, including suspects.
    fn waiting_for(&self, target: &Target) -> Vec<RequestId> {
        let mut ids = self.queue.requests(target);
        let suspects = self.suspects.waiting.iter().map(|position| position.due.request);
        ids.extend(suspects.filter(|id| self.requests.get(id).is_some_and(|r| r.arrival.target == *target)));
        ids.extend(self.pinned_for(target).map(|position| position.due.request));
        ids
    }

    /// Returns the targets for which retries are expected and no request is queued.
    pub(super) fn targets_expecting_retries(&self, cx: &Cx<'_>) -> Vec<Target> {
        let targets = self.demand.targets_expecting_retries(cx).cloned().map(Target::Model);
        targets.filter(|target| self.queue.len_of(target) == 0).collect()
    }

    /// Returns the models that requests wait for, including suspects and expected retries.
    pub(super) fn waiting_models(&self, cx: &Cx<'_>) -> Vec<ModelTarget> {
        let mut targets = self.queue.targets();
        targets.extend(self.demand.targets_expecting_retries(cx).cloned().map(Target::Model));
        targets.extend(self.suspect_targets());
        targets.extend(self.pinned_targets());
        targets.sort_unstable();
        targets.dedup();
        let model = |target| match target {
            Target::Model(model) => Some(model),
            Target::Service(_) => None,
        };
        targets.into_iter().filter_map(model).collect()
    }

    /// Returns the targets of suspects that wait for isolation.
    pub(super) fn suspect_targets(&self) -> Vec<Target> {
        let waiting = self.suspects.waiting.iter().filter_map(|position| {
            let request = self.requests.get(&position.due.request)?;
            (request.state == State::QueuedForIsolation).then(|| request.arrival.target.clone())
        });
        waiting.collect()
    }
}

/// Returns the latest deadline that can't be met after a refusal.
///
/// An owner that compared the load with the requests' remaining time has considered every
/// deadline that it was sent. An owner that was unable to act may be able to when it is asked
/// again.
fn latest_unservable_deadline(refused: &OwnerRefusal) -> Time {
    match refused.reason {
        CannotLoad::Memory | CannotLoad::Power | CannotLoad::EngineRefuses | CannotLoad::TooSlow => {
            refused.until.max(refused.latest_deadline)
        }
        CannotLoad::NotOwner
        | CannotLoad::OwnershipInDoubt
        | CannotLoad::EngineUnreachable
        | CannotLoad::Busy => refused.until,
    }
}

const fn reason_of(reason: &CannotLoad) -> RefusalReason {
    match reason {
        CannotLoad::Memory => RefusalReason::Short("memory"),
        CannotLoad::Power => RefusalReason::Short("power"),
        CannotLoad::TooSlow | CannotLoad::Busy => RefusalReason::ColdStartTooLong,
        CannotLoad::NotOwner
        | CannotLoad::OwnershipInDoubt
        | CannotLoad::EngineUnreachable
        | CannotLoad::EngineRefuses => RefusalReason::NoUpstream,
    }
}
