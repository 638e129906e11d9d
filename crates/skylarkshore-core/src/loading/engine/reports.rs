//! What an engine's reports and answers tell of its models, and which of its lives they speak of.

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{AdapterName, Incarnation, ModelName};
use crate::loading::engine::Engine;
use crate::loading::ledger::{self, Settled};
use crate::loading::stages::{LateOrders, Phase, ReportNews, Seen};
use crate::time::Time;
use crate::upstream::{EngineReport, Order, ReportedModel};

/// For how long reports are passed over that show fewer orders than were counted.
const OUTDATED_FOR: Duration = Duration::from_secs(1);

impl Engine {
    /// Notes models that appeared without an order of this process.
    ///
    /// They are the work of a late order of the former owner; until none has
    /// been seen for long enough, another one may come.
    pub(crate) fn note_unexpected(&mut self, cx: &mut Cx<'_>, settled: &[Settled]) {
        let Some(report) = self.report() else { return };
        let known = |model: &ModelName| {
            self.expected.contains(model)
                || self.ledger.concerns(model)
                || settled.iter().any(|order| ledger::model_of(&order.action) == Some(model))
        };
        let shown: OrderedSet<ModelName> = report.models.iter().map(|seen| seen.model.clone()).collect();
        let unexpected: Vec<ModelName> = shown.iter().filter(|model| !known(model)).cloned().collect();
        self.expected = shown;
        let is_first = matches!(self.late_orders, LateOrders::UntilQuiet { since: None });
        if is_first || !unexpected.is_empty() && matches!(self.late_orders, LateOrders::UntilQuiet { .. }) {
            self.late_orders = LateOrders::UntilQuiet { since: Some(cx.now) };
        }
        // Engines that number their orders hold models from before anyone owned them.
        if !is_first && !self.is_one_by_one() {
            for model in unexpected {
                cx.log_event(
                    "unexpected_model",
                    format!("{model}@{}", self.id),
                    "loaded by no order of the owner",
                );
            }
        }
    }

    /// Takes note of adapters whose loads were accepted but that a report doesn't show.
    pub(crate) fn note_unshown(&mut self, cx: &mut Cx<'_>, settled: &[Settled]) {
        for order in settled.iter().filter(|order| !order.shown) {
            if let Order::LoadAdapter { model, adapter, .. } = &order.action {
                cx.log_event(
                    "adapter_not_shown",
                    format!("{model}/{adapter}@{}", self.id),
                    "will be asked for anew",
                );
            }
        }
    }

    /// Takes note of an order that was carried out at once.
    ///
    /// Waiting for a report that shows it would hold the next order up for a
    /// quarter of a second, as reports lag.
    pub(crate) fn note_done(&mut self, now: Time, action: &Order) {
        let held = match action {
            Order::UnloadAdapter { model, adapter } => self.drop_adapter(model, adapter),
            _ => false,
        };
        if held {
            self.count_accepted(now);
            return;
        }
        self.accepted = None;
        self.recount_from = now;
        self.next_ask = now;
    }

    /// Takes a model out of what the last report showed.
    pub(crate) fn drop_model(&mut self, model: &ModelName) {
        if let Some(seen) = &mut self.seen {
            seen.report.models.retain(|held| held.model != *model);
        }
    }

    /// Adds a model to what the last report showed, and takes the order for it as carried out.
    pub(crate) fn show_model(&mut self, model: ReportedModel) {
        let Some(seen) = &mut self.seen else { return };
        seen.report.busy = false;
        seen.report.models.retain(|held| held.model != model.model);
        seen.report.models.push(model);
    }

    /// Takes an adapter out of what the last report showed; tells whether it was there.
    pub(super) fn drop_adapter(&mut self, model: &ModelName, adapter: &AdapterName) -> bool {
        let Some(seen) = &mut self.seen else { return false };
        let Some(held) = seen.report.models.iter_mut().find(|held| held.model == *model) else {
            return false;
        };
        let before = held.adapters.len();
        held.adapters.retain(|held| held.adapter != *adapter);
        held.adapters.len() < before
    }

    /// Tells whether a report is from before the last order that the engine accepted.
    ///
    /// Its figures lag. One that shows an earlier number of orders shows models
    /// and adapters as they were then.
    pub(super) fn is_outdated(&self, asked: Time, report: &EngineReport) -> bool {
        let Some(told) = report.accepted else { return false };
        let known_lately =
            self.seen.as_ref().is_some_and(|seen| !seen.asked.after(OUTDATED_FOR).is_due(asked));
        // Where orders follow on one another, every report is from before the last one.
        let ordered_lately = !self.last_accepted.after(report.lag).is_due(asked);
        told < self.most_accepted
            && (known_lately || ordered_lately)
            && self.incarnation() == Some(report.incarnation)
    }

    /// Counts an order that the engine accepted.
    pub(super) fn count_accepted(&mut self, now: Time) {
        self.last_accepted = now;
        self.accepted = self.accepted.map(|accepted| accepted + 1);
        self.most_accepted = self.most_accepted.max(self.accepted.unwrap_or_default());
    }

    /// Tells whether a report may be from before the end of a load that is taken to have ended.
    pub(super) fn is_before_end(&self, asked: Time, report: &EngineReport) -> bool {
        let Some(ended) = self.ended.as_ref().filter(|_| self.life == report.incarnation) else {
            return false;
        };
        asked < ended.at.after(report.lag) && ledger::find(Some(report), &ended.model).is_none()
    }

    /// Takes note that an engine answers, though what it tells is too old to be of use.
    fn note_alive(&mut self, now: Time, report: &EngineReport) {
        if let Some(seen) = self.seen.as_mut().filter(|seen| seen.report.incarnation == report.incarnation) {
            seen.heard = now;
        }
    }

    pub(super) fn recount(&mut self, asked: Time, report: &EngineReport) {
        let is_ahead = report.accepted > self.accepted;
        if is_ahead || self.accepted.is_none() && asked >= self.recount_from.after(report.lag) {
            self.accepted = report.accepted;
            self.most_accepted = report.accepted.unwrap_or_default();
        }
    }

    /// Takes a report over; tells what else it means.
    pub(crate) fn take_report(&mut self, now: Time, asked: Time, report: &EngineReport) -> ReportNews {
        self.unanswered_since = None;
        if let Phase::FenceRaised { at } = self.phase
            && asked >= at
        {
            self.phase = Phase::Known;
        }
        // A report that was under way when the next life began tells of models
        // that are gone; orders and requests for them would all be refused.
        if report.incarnation < self.life
            || self.is_outdated(asked, report)
            || self.is_before_end(asked, report)
        {
            self.note_alive(now, report);
            return ReportNews::Unusable;
        }
        if self.phase != Phase::Known || self.seen.as_ref().is_some_and(|seen| seen.asked > asked) {
            return ReportNews::Unusable;
        }
        for seen in report.models.iter().filter(|seen| seen.running > 0) {
            self.last_busy.insert(seen.model.clone(), now);
        }
        self.recount(asked, report);
        let restarted = self.incarnation().is_some_and(|known| known != report.incarnation);
        self.life = report.incarnation;
        self.seen = Some(Seen { asked, heard: now, report: report.clone() });
        if restarted { ReportNews::Restarted } else { ReportNews::Usable }
    }

    /// Takes the host list's word that the engine has begun a new life, of which no report has come yet.
    pub(super) fn on_listed_life(&mut self, now: Time, life: Incarnation) {
        self.life = life;
        self.seen = None;
        self.next_ask = now;
        self.on_restart(now);
    }

    /// Forgets what an earlier life of the engine had loaded, and raises the fence again.
    pub(crate) fn on_restart(&mut self, now: Time) {
        self.ledger.begin_life();
        // They ended with that life. Taken for loads that failed, each model would
        // have to wait for its next try while its callers do.
        self.loads.clear();
        self.ended = None;
        self.closing.clear();
        self.closing_adapters.clear();
        self.ready_since.clear();
        self.stays_until.clear();
        self.last_busy.clear();
        self.adapter_uses.clear();
        self.accepted = None;
        self.most_accepted = 0;
        self.recount_from = now;
        // A new life may have forgotten the fence and would obey a former owner.
        self.phase = Phase::RaisingFence { order: None, retry: now };
    }
}
