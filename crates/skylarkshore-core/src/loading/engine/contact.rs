//! The orders that an engine is given, and the reports that it is asked for.

use std::time::Duration;

use crate::authority::Permit;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::OrderId;
use crate::loading::engine::Engine;
use crate::loading::stages::Phase;
use crate::time::Time;
use crate::upstream::{FenceCheck, Order, OrderAnswer};

/// How long to wait before the fence is raised once more.
const FENCE_RETRY: Duration = Duration::from_millis(500);
/// How long before a load's expected end reports are asked for often.
const REPORT_AHEAD: Duration = Duration::from_millis(50);
/// How many times as often reports are asked for while a load is under way.
const REPORTS_WHILE_LOADING: u32 = 4;
/// How many times as seldom reports are asked of an engine that takes orders one at a time and is at rest.
///
/// Nothing changes there without an order, and its registration tells of its end.
const REPORTS_AT_REST: u32 = 20;

impl Engine {
    /// Gives up for lost the orders whose answer never came.
    pub(crate) fn expire_orders(&mut self, cx: &mut Cx<'_>) {
        let expired = self.ledger.expire(cx.now, cx.cfg.timings.order_settle);
        if expired > 0 {
            cx.log_event("order_lost", &self.id, format!("unanswered={expired}"));
        }
    }

    /// Raises the fence and asks for reports when these are due.
    pub(crate) fn keep_in_touch(&mut self, cx: &mut Cx<'_>, permit: Option<Permit>) {
        if !self.is_at_rest() {
            self.next_ask = self.next_ask.min(cx.now.after(cx.cfg.timings.report_every));
        }
        if let (Phase::RaisingFence { order, retry }, Some(permit)) = (self.phase, permit)
            && retry.is_due(cx.now)
        {
            // The same number again: an engine that always answers later than the next
            // try would otherwise never give the answer that is waited for, and its
            // models could not be loaded.
            let order = self.send(cx, permit, order, Order::RaiseFence);
            let retry = cx.now.after(cx.cfg.timings.engine_timeout);
            self.phase = Phase::RaisingFence { order: Some(order), retry };
        }
        if self.next_ask.is_due(cx.now) && !matches!(self.phase, Phase::RaisingFence { .. }) {
            self.ask_report(cx);
        }
    }

    /// Asks the engine how it stands.
    pub(crate) fn ask_report(&mut self, cx: &mut Cx<'_>) {
        let every = cx.cfg.timings.report_every;
        // Those who wait for a load feel how late its end is noticed. Where the
        // length of loads is known, only the reports round the end tell anything;
        // asked for all along, they were 37,000 calls in a day of 48 s at 112 engines.
        let is_awaited =
            if self.is_one_by_one() { self.awaits_report(cx.now) } else { !self.loads.is_empty() };
        let every = match is_awaited {
            true => every / REPORTS_WHILE_LOADING,
            false if self.is_at_rest() => every * REPORTS_AT_REST,
            false => every,
        };
        self.next_ask = cx.now.after(every);
        self.unanswered_since.get_or_insert(cx.now);
        cx.push(Effect::RequestReport { upstream: self.id.clone() });
    }

    /// Tells whether nothing runs, waits or is under way here, and nobody is interested.
    fn is_at_rest(&self) -> bool {
        let is_quiet =
            self.report().is_some_and(|report| !report.busy && report.running == 0 && report.waiting == 0);
        let is_done = self.ledger.is_empty() && self.loads.is_empty() && self.closing.is_empty();
        self.is_one_by_one() && !self.is_in_use && is_quiet && is_done && self.accepted.is_some()
    }

    /// Tells whether something can only go on once a new report comes.
    pub(super) fn awaits_report(&self, now: Time) -> bool {
        let expected = self.loads.values().map(|load| load.expected).min();
        let is_near = expected.is_none_or(|expected| now.after(REPORT_AHEAD) >= expected);
        self.accepted.is_none() || self.ledger.has_model_order() && is_near
    }

    /// Sends an order and enters it into the ledger; `again` repeats one whose answer was lost.
    pub(crate) fn send(
        &mut self,
        cx: &mut Cx<'_>,
        permit: Permit,
        again: Option<OrderId>,
        action: Order,
    ) -> OrderId {
        let order = again.unwrap_or_else(|| cx.next_order());
        let mut after = None;
        if action != Order::RaiseFence {
            after = self.ledger.begin(order, action.clone(), self.accepted, cx.now);
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

    /// Takes the answer to the order that raises the fence; tells whether it was that one.
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
        self.ask_report(cx);
    }

    /// Takes the answer to an order, as far as it tells how many orders were accepted.
    pub(crate) fn count_answer(&mut self, now: Time, answer: &OrderAnswer) {
        match answer {
            OrderAnswer::Accepted => self.count_accepted(now),
            OrderAnswer::OrderConflict | OrderAnswer::Refused { .. } | OrderAnswer::Lost => {
                self.accepted = None;
                self.recount_from = now;
                self.next_ask = now;
            }
            // Whether the engine has counted one that is done is told by what it was; see `note_done`.
            OrderAnswer::Done | OrderAnswer::FenceTooLow { .. } | OrderAnswer::NotSent => {}
        }
    }
}
