//! What is loaded on the engines that this process owns.

mod adapters;
mod answer;
mod close;
mod crowd;
mod demand;
mod describe;
mod engine;
mod gaps;
mod gate;
mod history;
mod ledger;
mod load;
mod load_times;
mod own;
mod pacing;
mod peers;
mod policy;
mod replicas;
mod reservation;
mod shortage;
mod stages;
mod tally;
mod told;
mod turnaround;
mod unserved;
mod usage;
mod views;
mod wants;
mod wishes;

use std::time::Duration;

use crate::authority::{Authority, EngineUse, HomeRequest, OwnershipChange};
use crate::collections::OrderedMap;
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::id::{ModelName, OrderId, UpstreamId};
use crate::loading::demand::Demand;
use crate::loading::engine::Engine;
use crate::loading::gate::LoadKey;
use crate::loading::history::History;
use crate::loading::ledger::Answered;
use crate::loading::load_times::LoadTimes;
use crate::loading::own::OwnEngines;
use crate::loading::pacing::Pacing;
use crate::loading::shortage::Shortages;
use crate::loading::stages::ReportNews;
use crate::loading::tally::Tally;
use crate::loading::unserved::Unserved;
use crate::loading::usage::Usage;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::{Mebibytes, Watts};
use crate::upstream::{EngineReport, Order, OrderAnswer};

/// How often the policy looks at what is idle.
const REVIEW_EVERY: Duration = Duration::from_millis(500);

/// The loads, unloads and memory of the engines that one process owns.
#[derive(Debug, Default)]
pub struct Loading {
    engines: OrderedMap<UpstreamId, Engine>,
    demand: Demand,
    usage: Usage,
    history: History,
    own: OwnEngines,
    shortages: Shortages,
    pacing: Pacing,
    load_times: LoadTimes,
    tally: Tally,
    unserved: Unserved,
}

/// What a decision on one engine needs beside the engine.
struct Beside<'a> {
    authority: &'a dyn Authority,
    demand: &'a Demand,
    usage: &'a Usage,
    history: &'a mut History,
    own: &'a OwnEngines,
    shortages: &'a Shortages,
    pacing: &'a mut Pacing,
    load_times: &'a mut LoadTimes,
    tally: &'a mut Tally,
}

impl Loading {
    /// Makes the state of a process that owns nothing.
    pub fn new(_cfg: &NodeConfig) -> Self {
        Self::default()
    }

    /// Takes note of an engine gained or lost.
    pub fn on_ownership(&mut self, cx: &mut Cx<'_>, change: &OwnershipChange) {
        match change {
            OwnershipChange::Acquired { engine, fence, late_orders_until } => {
                self.pacing.release_engine(cx, engine);
                let mut acquired = Engine::acquired(engine.clone(), *fence, *late_orders_until, cx.now);
                acquired.refresh(cx);
                self.engines.insert(engine.clone(), acquired);
            }
            OwnershipChange::Lost { engine } => {
                self.pacing.release_engine(cx, engine);
                self.engines.remove(engine);
                self.own.forget(engine);
            }
        }
    }

    /// Does what is due: asks for reports, loads, unloads, tells routers.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority) {
        self.demand.expire(cx.now);
        for engine in self.engines.values() {
            for model in load::from_store(engine) {
                self.pacing.runs(cx.now, &LoadKey { engine: engine.id.clone(), model: model.clone() });
            }
        }
        let engines = &self.engines;
        self.pacing.on_tick(cx, |key| {
            engines.get(&key.engine).is_some_and(|engine| load::uses_store(engine, &key.model))
        });
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        let mut served = Vec::new();
        for id in ids {
            self.with_engine(cx, authority, &id, |cx, engine, beside| {
                engine.refresh(cx);
                engine.reservation.expire(cx);
                engine.expire_orders(cx);
                if turnaround::end_due_loads(cx, engine) {
                    served.append(&mut load::note_ended(cx, engine, beside));
                }
                engine.is_in_use = is_in_use(engine, beside);
                engine.keep_in_touch(cx, beside.authority.permit(cx.now, &engine.id));
                decide(cx, engine, beside);
                engine.count_idle(cx.now, beside.tally);
                views::tell_changes(cx, engine, beside.demand);
            });
        }
        for model in served {
            self.demand.serve(cx.now, &model);
        }
        let (cache, engines) = (cx.cache, &self.engines);
        self.unserved.look(cx, |model| {
            let first = cache.homes(model).and_then(|(_, homes)| homes.engines.first());
            first.is_some_and(|home| engines.contains_key(home))
        });
    }

    /// Takes the end of an order.
    pub fn on_order(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        id: &UpstreamId,
        order: OrderId,
        answer: &OrderAnswer,
    ) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        if engine.on_fence_answer(cx, order, answer) {
            return;
        }
        let ended = engine.ledger.answer(order, answer, cx.now);
        if let Some((action, _)) = &ended
            && turnaround::came_too_early(engine, cx.now, action, answer)
        {
            return;
        }
        engine.count_answer(cx.now, answer);
        let Some((action, answered)) = ended else { return };
        match answered {
            Answered::Accepted => self.note_accepted(cx, authority, id, &action),
            Answered::Done => engine.note_done(cx.now, &action),
            Answered::InDoubt => cx.log_event("order_lost", id, format!("order={order}")),
            Answered::NotDone => note_not_done(cx, engine, &mut self.tally, &action, answer),
        }
    }

    /// Takes note that an engine carries an order out, and gives the one that may follow on it.
    fn note_accepted(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority, id: &UpstreamId, action: &Order) {
        self.with_engine(cx, authority, id, |cx, engine, beside| match action {
            Order::Load { model, .. } => {
                load::note_accepted(cx, engine, model);
                if turnaround::unloaded(engine, cx.now, beside.load_times) {
                    cx.log_event("load_started", format!("{model}@{}", engine.id), "copy=here behind=unload");
                }
            }
            Order::Unload { .. } => decide(cx, engine, beside),
            _ => {}
        });
    }

    /// Takes an engine's report, or its silence.
    pub fn on_report(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        id: &UpstreamId,
        asked: Time,
        report: Option<&EngineReport>,
    ) {
        let Some(report) = report else { return };
        let mut served = Vec::new();
        self.with_engine(cx, authority, id, |cx, engine, beside| {
            let is_first = engine.report().is_none();
            let news = engine.take_report(cx.now, asked, report);
            if news == ReportNews::Unusable {
                return;
            }
            if is_first {
                note_survey(cx, engine, report);
            }
            turnaround::check_end(engine, asked, report, beside.load_times);
            let settled = engine.ledger.settle(report, asked, cx.cfg.timings.order_settle);
            engine.note_unexpected(cx, &settled);
            engine.note_unshown(cx, &settled);
            for seen in report.models.iter().filter(|seen| seen.running > 0) {
                beside.history.used(cx.now, &seen.model);
            }
            served = load::note_ended(cx, engine, beside);
            if news == ReportNews::Restarted {
                cx.log_event("engine_restarted", &engine.id, format!("incarnation={}", report.incarnation));
                engine.on_restart(cx.now);
            }
            decide(cx, engine, beside);
            views::tell_changes(cx, engine, beside.demand);
        });
        for model in served {
            self.demand.serve(cx.now, &model);
        }
    }

    fn with_engine(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        id: &UpstreamId,
        f: impl FnOnce(&mut Cx<'_>, &mut Engine, &mut Beside<'_>),
    ) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let mut beside = Beside {
            authority,
            demand: &self.demand,
            usage: &self.usage,
            history: &mut self.history,
            own: &self.own,
            shortages: &self.shortages,
            pacing: &mut self.pacing,
            load_times: &mut self.load_times,
            tally: &mut self.tally,
        };
        f(cx, engine, &mut beside);
        self.own.note(cx, engine);
    }

    /// Tells what is believed.
    pub fn dump(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        describe::dump(self, cx)
    }

    /// Returns the numbers for the metrics.
    pub fn gauges(&self, _cx: &Cx<'_>) -> Vec<Gauge> {
        describe::gauges(self)
    }
}

/// Tells whether any host uses or awaits what an engine holds.
fn is_in_use(engine: &Engine, beside: &Beside<'_>) -> bool {
    let report = engine.report();
    let mut held = report.into_iter().flat_map(|report| &report.models);
    held.any(|seen| beside.demand.listeners(&seen.model).next().is_some())
}

/// Decides on loads and unloads of one engine, where this process may act.
fn decide(cx: &mut Cx<'_>, engine: &mut Engine, beside: &mut Beside<'_>) {
    if engine.report().is_none() {
        return;
    }
    let is_review_due = engine.next_review.is_due(cx.now);
    if is_review_due {
        engine.next_review = cx.now.after(REVIEW_EVERY);
        wants::review_kept(cx, engine, beside);
        replicas::review_hot(cx, engine, beside);
        wants::review_uncopied(cx, engine, beside);
    }
    let wants = wants::collect(cx, engine, beside);
    engine.lacks = wants::lacking_power(engine, beside, &wants);
    let Some(permit) = beside.authority.permit(cx.now, &engine.id) else {
        engine.planned.clear();
        return;
    };
    if is_review_due {
        close::review_idle(cx, engine, beside, &wants);
        wants::review_ahead(cx, engine, beside);
    }
    close::decide(cx, engine, beside, &wants);
    load::step(cx, engine, beside, permit, &wants);
    close::unload_drained(cx, engine, beside, permit);
    wishes::review(cx, engine, beside, &wants);
    answer::plan(cx, engine, beside, &wants);
}

/// Notes what an engine has when it is first looked at.
fn note_survey(cx: &mut Cx<'_>, engine: &Engine, report: &EngineReport) {
    let held: Vec<&str> = report.models.iter().map(|seen| seen.model.as_str()).collect();
    let copies = &report.copies;
    let (in_memory, on_disk) = (copies.in_memory.len(), copies.on_disk.len());
    let detail = format!("holds=[{}] copies_in_memory={in_memory} copies_on_disk={on_disk}", held.join(" "));
    cx.log_event("engine_surveyed", &engine.id, detail);
}

fn note_not_done(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    tally: &mut Tally,
    action: &Order,
    answer: &OrderAnswer,
) {
    if let OrderAnswer::FenceTooLow { seen } = answer {
        engine.phase = stages::Phase::Superseded;
        cx.log_event("engine_superseded", &engine.id, format!("fence={} seen={seen}", engine.fence));
    }
    let reason = match answer {
        OrderAnswer::Refused { reason } => reason.as_str(),
        OrderAnswer::NotSent => "the engine refuses connections",
        OrderAnswer::FenceTooLow { .. } => "the engine has seen a higher fence",
        // One out of turn is tried again as soon as a report tells how things stand.
        OrderAnswer::Accepted | OrderAnswer::Done | OrderAnswer::OrderConflict | OrderAnswer::Lost => return,
    };
    if let Order::Load { model, .. } | Order::LoadAdapter { model, .. } = action {
        load::failed(cx, engine, tally, model, reason);
    }
}

impl EngineUse for Loading {
    fn is_unused_by(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        self.engines.get(engine).is_some_and(|engine| engine.is_unused_by(model))
    }

    fn has_no_open_orders(&self, engine: &UpstreamId) -> bool {
        self.engines.get(engine).is_none_or(|engine| engine.ledger.is_empty())
    }

    fn power_draw(&self, engine: &UpstreamId) -> Watts {
        self.engines.get(engine).map_or(Watts(0), Engine::power_draw)
    }

    fn power_shortfall(&self, engine: &UpstreamId) -> Option<(Watts, ServiceOrder)> {
        self.engines.get(engine)?.lacks
    }

    fn free_memory(&self, engine: &UpstreamId) -> Mebibytes {
        self.engines.get(engine).map_or(Mebibytes(0), Engine::free_memory)
    }

    fn home_requests(&self) -> Vec<HomeRequest> {
        self.engines.values().flat_map(|engine| &engine.wishes.due).cloned().collect()
    }
}
