//! Sends orders to an engine, requests its reports and raises its fence.

use std::time::Duration;

use crate::authority::Permit;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::OrderId;
use crate::loading::engine::Engine;
use crate::loading::engine_state::Phase;
use crate::time::Time;
use crate::upstream::{FenceCheck, Order, OrderAnswer};

/// Delay before the fence order is retried.
const FENCE_RETRY: Duration = Duration::from_millis(500);
/// How long before the expected end of a load reports are requested more often.
const REPORT_LEAD: Duration = Duration::from_millis(50);
/// Factor by which the report interval shrinks while a load is in progress.
const LOADING_POLL_SPEEDUP: u32 = 4;
/// Factor by which the report interval grows for a quiescent sequential engine.
///
/// Its state changes only by orders, and its registration shows when it ends.
const QUIESCENT_POLL_SLOWDOWN: u32 = 20;

impl Engine {
    /// Marks orders as lost whose answer never came.
    pub(crate) fn expire_orders(&mut self, cx: &mut Cx<'_>) {
        let expired = self.pending_orders.expire(cx.now, cx.cfg.timings.order_settle);
        if expired > 0 {
            cx.log_event("order_lost", &self.id, format!("unanswered={expired}"));
        }
    }

    /// Raises the fence and requests a report when either is due.
    pub(crate) fn raise_fence_or_poll(&mut self, cx: &mut Cx<'_>, permit: Option<Permit>) {
        if !self.is_quiescent() {
            self.next_poll = self.next_poll.min(cx.now.after(cx.cfg.timings.report_every));
        }
        if let (Phase::RaisingFence { order, retry }, Some(permit)) = (self.phase, permit)
            && retry.is_due(cx.now)
        {
            // A retry reuses the order number. An engine that always answers after
            // the retry was sent would otherwise never match the expected number,
            // and no model could be loaded.
            let order = self.send(cx, permit, order, Order::RaiseFence);
            let retry = cx.now.after(cx.cfg.timings.engine_timeout);
            self.phase = Phase::RaisingFence { order: Some(order), retry };
        }
        if self.next_poll.is_due(cx.now) && !matches!(self.phase, Phase::RaisingFence { .. }) {
            self.request_report(cx);
        }
    }

    /// Requests a report from the engine.
    pub(crate) fn request_report(&mut self, cx: &mut Cx<'_>) {
        let every = cx.cfg.timings.report_every;
        // Callers wait for as long as the end of a load stays undetected. If the
        // load's length is known, only reports around its end are useful; polling
        // during the whole load cost 37,000 calls in a day of 48 s at 112 engines.
        let is_awaited =
            if self.is_sequential() { self.awaits_report(cx.now) } else { !self.loads.is_empty() };
        let every = match is_awaited {
            true => every / LOADING_POLL_SPEEDUP,
            false if self.is_quiescent() => every * QUIESCENT_POLL_SLOWDOWN,
            false => every,
        };
        self.next_poll = cx.now.after(every);
        self.unanswered_since.get_or_insert(cx.now);
        cx.push(Effect::RequestReport { upstream: self.id.clone(), via: None });
    }

    /// Reports whether the engine is idle: no requests, no pending orders, no subscribed host.
    fn is_quiescent(&self) -> bool {
        let is_quiet =
            self.report().is_some_and(|report| !report.busy && report.running == 0 && report.waiting == 0);
        let is_done = self.pending_orders.is_empty() && self.loads.is_empty() && self.closing.is_empty();
        self.is_sequential() && !self.has_subscribers && is_quiet && is_done && self.accepted_count.is_some()
    }

    /// Reports whether progress depends on a new report.
    pub(super) fn awaits_report(&self, now: Time) -> bool {
        let expected = self.loads.values().map(|load| load.expected_end).min();
        let is_near = expected.is_none_or(|expected| now.after(REPORT_LEAD) >= expected);
        self.accepted_count.is_none() || self.pending_orders.has_model_order() && is_near
    }

    /// Sends an order and records it as pending. `resend` repeats an order whose answer was lost.
    pub(crate) fn send(
        &mut self,
        cx: &mut Cx<'_>,
        permit: Permit,
        resend: Option<OrderId>,
        action: Order,
    ) -> OrderId {
        let order = resend.unwrap_or_else(|| cx.next_order());
        let mut after = None;
        if action != Order::RaiseFence {
            after = self.pending_orders.begin(order, action.clone(), self.accepted_count, cx.now);
        }
        cx.push(Effect::Order {
            upstream: self.id.clone(),
            order,
            fence: permit.fence,
            not_after: permit.not_after,
            after,
            action,
        });
        order
    }

    /// Handles the answer to the fence order. Reports whether the answer belongs to it.
    pub(crate) fn on_fence_answer(&mut self, cx: &mut Cx<'_>, order: OrderId, answer: &OrderAnswer) -> bool {
        let Phase::RaisingFence { order: Some(sent), .. } = self.phase else { return false };
        if sent != order {
            return false;
        }
        let ignores = self.spec.as_ref().is_some_and(|spec| spec.fence_check == FenceCheck::Ignores);
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Done => self.on_fence_raised(cx),
            OrderAnswer::Refused { .. } if ignores => self.on_fence_raised(cx),
            OrderAnswer::FenceTooLow { .. } => self.phase = Phase::Superseded,
            OrderAnswer::Refused { .. }
            | OrderAnswer::OrderConflict
            | OrderAnswer::NotSent
            | OrderAnswer::Lost => {
                self.phase = Phase::RaisingFence { order: None, retry: cx.now.after(FENCE_RETRY) };
            }
        }
        true
    }

    pub(super) fn on_fence_raised(&mut self, cx: &mut Cx<'_>) {
        self.phase = Phase::FenceRaised { at: cx.now };
        self.request_report(cx);
    }

    /// Updates the accepted count from an order's answer.
    pub(crate) fn count_answer(&mut self, now: Time, answer: &OrderAnswer) {
        match answer {
            OrderAnswer::Accepted => self.count_accepted(now),
            OrderAnswer::OrderConflict | OrderAnswer::Refused { .. } | OrderAnswer::Lost => {
                self.accepted_count = None;
                self.recount_after = now;
                self.next_poll = now;
            }
            // `record_done` decides whether an order that was carried out at once counts.
            OrderAnswer::Done | OrderAnswer::FenceTooLow { .. } | OrderAnswer::NotSent => {}
        }
    }
}
