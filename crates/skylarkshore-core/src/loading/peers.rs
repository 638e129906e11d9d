//! Handles peer messages: waiting requests, usage, reservations, power requests and load slots.

use std::time::Duration;

use super::{Loading, decide, estimates, publishing};
use crate::authority::Authority;
use crate::catalogue::ModelTarget;
use crate::cx::Cx;
use crate::id::{HostId, ModelName, UpstreamId};
use crate::loading::demand::{RefusedCallers, WaitReport};
use crate::loading::usage::UsageSample;
use crate::peer::{CannotLoad, PeerMessage};
use crate::time::Time;

impl Loading {
    /// Records that an upstream has said in an answer that it is leaving.
    pub fn on_upstream_leaving(&mut self, upstream: &UpstreamId) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.said_leaving = Some(engine.latest_incarnation);
        }
    }

    /// Handles a peer's message if it concerns loading.
    pub fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        from: &HostId,
        message: &PeerMessage,
    ) {
        self.load_slots.on_peer(cx, from, message);
        match message {
            PeerMessage::UpstreamLeaving { upstream } => self.on_upstream_leaving(upstream),
            PeerMessage::Used { target, arrived, late, run_time, waited_for } => {
                self.usage.record(
                    cx.now,
                    &target.model,
                    UsageSample { arrived: *arrived, late: *late, run_time: *run_time },
                );
                self.unserved.record(cx.now, target, *arrived, *run_time);
                self.record_use(cx, &target.model);
                self.record_adapter_use(cx.now, target);
                self.demand.subscribe(cx.now, from, &target.model, &cx.cfg.timings);
                if !*waited_for {
                    self.demand.clear_waiting(from, target);
                }
            }
            PeerMessage::Wanted { target, waiting, order, max_wait, refused: true, .. } => {
                let refused = RefusedCallers {
                    from,
                    target,
                    count: *waiting,
                    service_order: *order,
                    until: cx.now.after(*max_wait),
                };
                if let Some(total) = self.demand.record_refused(&refused) {
                    cx.log_event("refused_callers_counted", &target.model, format!("callers={total}"));
                }
            }
            PeerMessage::Wanted { target, waiting, order, max_wait, soft_deadline, refused: false } => {
                if *waiting > 0 {
                    self.history.record_use(cx.now, &target.model);
                }
                self.record_adapter_use(cx.now, target);
                let wait_report = WaitReport {
                    from,
                    target,
                    waiting: *waiting,
                    service_order: *order,
                    max_wait: *max_wait,
                    soft_deadline: *soft_deadline,
                };
                if let Some(busy_refusal) = self.busy_refusal(cx, authority, &wait_report) {
                    self.demand.record(cx.now, WaitReport { waiting: 0, ..wait_report }, &cx.cfg.timings);
                    return cx.send(from, busy_refusal);
                }
                self.demand.record(cx.now, wait_report, &cx.cfg.timings);
                self.answer_wanted(cx, authority, &wait_report);
            }
            PeerMessage::PowerWanted { site, .. } => self.power_shortages.record(cx.now, site),
            PeerMessage::ReservationWanted { upstream, max_wait } => {
                let Some(engine) = self.engines.get_mut(upstream) else { return };
                engine.reservation.reserve(cx.now, from, *max_wait);
                publishing::publish_changes(cx, engine, &self.demand);
                publishing::publish_to(cx, engine, from);
            }
            PeerMessage::ReservationReturned { upstream } => {
                let Some(engine) = self.engines.get_mut(upstream) else { return };
                engine.reservation.release(from);
                publishing::publish_changes(cx, engine, &self.demand);
            }
            _ => {}
        }
    }

    /// Records the use of a model that a router reports.
    ///
    /// Requests that did not wait are reported only at intervals. Unless they are
    /// short, the engine's reports show them earlier.
    fn record_use(&mut self, cx: &Cx<'_>, model: &ModelName) {
        let usage_interval = cx.cfg.timings.usage_every;
        let is_unseen = self.history.last(model).is_none_or(|last| last.after(usage_interval).is_due(cx.now));
        if is_unseen {
            self.history.record_use(cx.now, model);
        }
    }

    fn record_adapter_use(&mut self, now: Time, target: &ModelTarget) {
        let Some(adapter) = &target.adapter else { return };
        for engine in self.engines.values_mut().filter(|engine| engine.is_sequential()) {
            engine.adapter_last_used.insert((target.model.clone(), adapter.clone()), now);
        }
    }

    /// Returns a refusal if the model would be ready after its requests' soft deadline
    /// and another home may be faster.
    fn busy_refusal(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        wait_report: &WaitReport<'_>,
    ) -> Option<PeerMessage> {
        let soft_deadline = wait_report.soft_deadline.filter(|_| wait_report.waiting > 0)?;
        let model = &wait_report.target.model;
        let homes = cx.cache.homes(model).map_or(0, |(_, homes)| homes.engines.len());
        let concerned = self.engines.values().filter(|engine| authority.is_home(&engine.id, model));
        let concerned: Vec<UpstreamId> = concerned.map(|engine| engine.id.clone()).collect();
        if homes < 2 || concerned.is_empty() || concerned.iter().any(|id| !self.engines[id].is_sequential()) {
            return None;
        }
        let combined = self.demand.combined_with(cx.now, wait_report);
        let mut min_cost = Duration::MAX;
        for id in &concerned {
            self.with_engine(cx, authority, id, |cx, engine, context| {
                min_cost = min_cost.min(estimates::placement_cost(cx, engine, context, model, &combined));
            });
        }
        let (target, retry_after) = (wait_report.target.clone(), min_cost);
        (min_cost > soft_deadline).then_some(PeerMessage::CannotLoad {
            target,
            reason: CannotLoad::Busy,
            retry_after,
        })
    }

    /// Acts on a router's waiting requests at once and sends it the current view.
    fn answer_wanted(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority, wait_report: &WaitReport<'_>) {
        let model = &wait_report.target.model;
        let concerned: Vec<UpstreamId> = self
            .engines
            .values()
            .filter(|engine| authority.is_home(&engine.id, model) || engine.model(model).is_some())
            .map(|engine| engine.id.clone())
            .collect();
        let mut assessments = Vec::new();
        for id in &concerned {
            self.with_engine(cx, authority, id, |cx, engine, context| {
                decide(cx, engine, context);
                publishing::publish_changes(cx, engine, context.demand);
                publishing::publish_to(cx, engine, wait_report.from);
                assessments.push(estimates::assess(cx, engine, context, wait_report));
            });
        }
        let Some(refusal) = estimates::refusal(&assessments, wait_report) else { return };
        if let PeerMessage::CannotLoad { reason: CannotLoad::TooSlow, retry_after, .. } = &refusal {
            self.demand.hold_for_retry(cx.now, wait_report, *retry_after);
        }
        cx.send(wait_report.from, refusal);
    }
}
