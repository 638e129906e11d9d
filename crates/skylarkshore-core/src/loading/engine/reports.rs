//! Applies an engine's reports and detects stale reports and restarts.

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{AdapterName, Incarnation, ModelName};
use crate::loading::engine::Engine;
use crate::loading::engine_state::{LastReport, LateOrders, Phase, ReportStatus};
use crate::loading::pending_orders::{self, ResolvedOrder};
use crate::time::Time;
use crate::upstream::{EngineReport, Order, ReportedModel};

/// For how long a report with a lower accepted count than known is ignored.
const MAX_OUTDATED: Duration = Duration::from_secs(1);

impl Engine {
    /// Logs models that appeared without an order of this process.
    ///
    /// They come from a late order of the former owner. Further ones may follow
    /// until none has appeared for the settle time.
    pub(crate) fn log_unexpected_models(&mut self, cx: &mut Cx<'_>, resolved: &[ResolvedOrder]) {
        let Some(report) = self.report() else { return };
        let known = |model: &ModelName| {
            self.reported_models.contains(model)
                || self.pending_orders.concerns(model)
                || resolved.iter().any(|order| pending_orders::model_of(&order.action) == Some(model))
        };
        let shown: OrderedSet<ModelName> =
            report.models.iter().map(|reported| reported.model.clone()).collect();
        let unexpected: Vec<ModelName> = shown.iter().filter(|model| !known(model)).cloned().collect();
        self.reported_models = shown;
        let is_first = matches!(self.late_orders, LateOrders::UntilQuiet { since: None });
        if is_first || !unexpected.is_empty() && matches!(self.late_orders, LateOrders::UntilQuiet { .. }) {
            self.late_orders = LateOrders::UntilQuiet { since: Some(cx.now) };
        }
        // Sequential engines may hold models from before they had an owner.
        if !is_first && !self.is_sequential() {
            for model in unexpected {
                cx.log_event(
                    "unexpected_model",
                    format!("{model}@{}", self.id),
                    "not loaded by an order of this owner",
                );
            }
        }
    }

    /// Logs adapters whose load was accepted but which the report does not show.
    pub(crate) fn log_missing_adapters(&mut self, cx: &mut Cx<'_>, resolved: &[ResolvedOrder]) {
        for order in resolved.iter().filter(|order| !order.shown) {
            if let Order::LoadAdapter { model, adapter, .. } = &order.action {
                cx.log_event(
                    "adapter_not_shown",
                    format!("{model}/{adapter}@{}", self.id),
                    "not in the report; the adapter will be requested again",
                );
            }
        }
    }

    /// Applies an order that was carried out at once.
    ///
    /// Reports lag: waiting for one would delay the next order by a quarter of a second.
    pub(crate) fn record_done(&mut self, now: Time, action: &Order) {
        let held = match action {
            Order::UnloadAdapter { model, adapter } => self.remove_adapter(model, adapter),
            _ => false,
        };
        if held {
            self.count_accepted(now);
            return;
        }
        self.accepted_count = None;
        self.recount_after = now;
        self.next_poll = now;
    }

    /// Removes a model from the last report.
    pub(crate) fn remove_model(&mut self, model: &ModelName) {
        if let Some(last) = &mut self.last_report {
            last.report.models.retain(|held| held.model != *model);
        }
    }

    /// Adds a model to the last report and marks its order as finished.
    pub(crate) fn insert_model(&mut self, model: ReportedModel) {
        let Some(last) = &mut self.last_report else { return };
        last.report.busy = false;
        last.report.models.retain(|held| held.model != model.model);
        last.report.models.push(model);
    }

    /// Removes an adapter from the last report. Reports whether it was there.
    pub(super) fn remove_adapter(&mut self, model: &ModelName, adapter: &AdapterName) -> bool {
        let Some(last) = &mut self.last_report else { return false };
        let Some(held) = last.report.models.iter_mut().find(|held| held.model == *model) else {
            return false;
        };
        let before = held.adapters.len();
        held.adapters.retain(|held| held.adapter != *adapter);
        held.adapters.len() < before
    }

    /// Reports whether a report predates the last accepted order.
    ///
    /// A report's contents lag. One with a lower accepted count shows models and
    /// adapters as of that count.
    pub(super) fn is_outdated(&self, requested_at: Time, report: &EngineReport) -> bool {
        let Some(accepted_count) = report.accepted else { return false };
        let reported_recently = self
            .last_report
            .as_ref()
            .is_some_and(|last| !last.requested_at.after(MAX_OUTDATED).is_due(requested_at));
        // While orders follow each other closely, every report predates the last one.
        let ordered_recently = !self.last_accepted_at.after(report.lag).is_due(requested_at);
        accepted_count < self.max_accepted_count
            && (reported_recently || ordered_recently)
            && self.incarnation() == Some(report.incarnation)
    }

    /// Counts an accepted order.
    pub(super) fn count_accepted(&mut self, now: Time) {
        self.last_accepted_at = now;
        self.accepted_count = self.accepted_count.map(|accepted| accepted + 1);
        self.max_accepted_count = self.max_accepted_count.max(self.accepted_count.unwrap_or_default());
    }

    /// Reports whether a report may predate the assumed end of a load.
    pub(super) fn predates_assumed_end(&self, requested_at: Time, report: &EngineReport) -> bool {
        let Some(ended) = self.assumed_end.as_ref().filter(|_| self.latest_incarnation == report.incarnation)
        else {
            return false;
        };
        requested_at < ended.at.after(report.lag)
            && pending_orders::find(Some(report), &ended.model).is_none()
    }

    /// Records that the engine responds, although its report is too old to apply.
    fn record_alive(&mut self, now: Time, report: &EngineReport) {
        if let Some(last) =
            self.last_report.as_mut().filter(|last| last.report.incarnation == report.incarnation)
        {
            last.received_at = now;
        }
    }

    pub(super) fn update_accepted_count(&mut self, requested_at: Time, report: &EngineReport) {
        let is_ahead = report.accepted > self.accepted_count;
        if is_ahead || self.accepted_count.is_none() && requested_at >= self.recount_after.after(report.lag) {
            self.accepted_count = report.accepted;
            self.max_accepted_count = report.accepted.unwrap_or_default();
        }
    }

    /// Applies a report unless it is stale.
    pub(crate) fn apply_report(
        &mut self,
        now: Time,
        requested_at: Time,
        report: &EngineReport,
    ) -> ReportStatus {
        self.unanswered_since = None;
        if let Phase::FenceRaised { at } = self.phase
            && requested_at >= at
        {
            self.phase = Phase::Surveyed;
        }
        // A report that was in flight when the engine restarted shows models that
        // are gone; orders and requests for them would be refused.
        if report.incarnation < self.latest_incarnation
            || self.is_outdated(requested_at, report)
            || self.predates_assumed_end(requested_at, report)
        {
            self.record_alive(now, report);
            return ReportStatus::Stale;
        }
        if self.phase != Phase::Surveyed
            || self.last_report.as_ref().is_some_and(|last| last.requested_at > requested_at)
        {
            return ReportStatus::Stale;
        }
        for reported in report.models.iter().filter(|reported| reported.running > 0) {
            self.last_busy.insert(reported.model.clone(), now);
        }
        self.update_accepted_count(requested_at, report);
        let restarted = self.incarnation().is_some_and(|known| known != report.incarnation);
        self.latest_incarnation = report.incarnation;
        self.last_report = Some(LastReport { requested_at, received_at: now, report: report.clone() });
        if restarted { ReportStatus::Restarted } else { ReportStatus::Current }
    }

    /// Handles a new incarnation in the host list from which no report has come yet.
    pub(super) fn on_listed_incarnation(&mut self, now: Time, incarnation: Incarnation) {
        self.latest_incarnation = incarnation;
        self.last_report = None;
        self.next_poll = now;
        self.on_restart(now);
    }

    /// Discards the state of the previous incarnation and raises the fence again.
    pub(crate) fn on_restart(&mut self, now: Time) {
        self.pending_orders.begin_incarnation();
        // These loads ended with the incarnation. If they counted as failures, each
        // model would wait for its retry delay while callers wait.
        self.loads.clear();
        self.assumed_end = None;
        self.closing.clear();
        self.closing_adapters.clear();
        self.ready_since.clear();
        self.retain_until.clear();
        self.last_busy.clear();
        self.adapter_last_used.clear();
        self.accepted_count = None;
        self.max_accepted_count = 0;
        self.recount_after = now;
        // The new incarnation may have lost the fence and would obey a former owner.
        self.phase = Phase::RaisingFence { order: None, retry: now };
    }
}
