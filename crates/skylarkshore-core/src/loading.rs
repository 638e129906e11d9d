//! What is loaded on the engines that this process owns.

mod adapters;
mod answer;
mod close;
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

use crate::authority::{Authority, EngineUse, HomeWish, OwnershipChange};
use crate::catalogue::ModelTarget;
use crate::collections::OrderedMap;
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{Belief, Gauge};
use crate::id::{HostId, ModelName, OrderId, UpstreamId};
use crate::loading::demand::{Demand, Wanted};
use crate::loading::engine::Engine;
use crate::loading::history::History;
use crate::loading::ledger::Answered;
use crate::loading::load_times::LoadTimes;
use crate::loading::own::OwnEngines;
use crate::loading::pacing::Pacing;
use crate::loading::shortage::Shortages;
use crate::loading::stages::ReportNews;
use crate::loading::tally::Tally;
use crate::loading::unserved::Unserved;
use crate::loading::usage::{Counted, Usage};
use crate::peer::{CannotLoad, PeerMessage};
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
        let engines = &self.engines;
        self.pacing.on_tick(cx, |key| {
            engines.get(&key.engine).is_some_and(|engine| load::is_running(engine, &key.model))
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
            Answered::InDoubt => cx.note("order_lost", id, format!("order={order}")),
            Answered::NotDone => note_not_done(cx, engine, &mut self.tally, &action, answer),
        }
    }

    /// Takes note that an engine carries an order out, and gives the one that may follow on it.
    fn note_accepted(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority, id: &UpstreamId, action: &Order) {
        self.with_engine(cx, authority, id, |cx, engine, beside| match action {
            Order::Load { model, .. } => {
                load::note_accepted(cx, engine, model);
                if turnaround::unloaded(engine, cx.now, beside.load_times) {
                    cx.note("load_started", format!("{model}@{}", engine.id), "copy=here behind=unload");
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
                cx.note("engine_restarted", &engine.id, format!("incarnation={}", report.incarnation));
                engine.on_restart(cx.now);
            }
            decide(cx, engine, beside);
            views::tell_changes(cx, engine, beside.demand);
        });
        for model in served {
            self.demand.serve(cx.now, &model);
        }
    }

    /// Takes a peer's message, where it concerns this part.
    pub fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        from: &HostId,
        message: &PeerMessage,
    ) {
        self.pacing.on_peer(cx, from, message);
        match message {
            PeerMessage::Used { target, arrived, late, worked, waited_for } => {
                self.usage.count(
                    cx.now,
                    &target.model,
                    Counted { arrived: *arrived, late: *late, worked: *worked },
                );
                self.unserved.asked(cx.now, &target.model, *arrived);
                self.note_use(cx, &target.model);
                self.note_adapter_use(cx.now, target);
                self.demand.listens(cx.now, from, &target.model, &cx.cfg.timings);
                if !*waited_for {
                    self.demand.satisfied(from, target);
                }
            }
            PeerMessage::Wanted { target, waiting, order, patience, aim } => {
                if *waiting > 0 {
                    self.history.used(cx.now, &target.model);
                }
                self.note_adapter_use(cx.now, target);
                let wanted =
                    Wanted { from, target, waiting: *waiting, order: *order, patience: *patience, aim: *aim };
                if let Some(busy) = self.busy(cx, authority, &wanted) {
                    self.demand.wanted(cx.now, Wanted { waiting: 0, ..wanted }, &cx.cfg.timings);
                    return cx.tell(from, busy);
                }
                self.demand.wanted(cx.now, wanted, &cx.cfg.timings);
                self.answer_wanted(cx, authority, &wanted);
            }
            PeerMessage::PowerWanted { site, .. } => self.shortages.called(cx.now, site),
            PeerMessage::ReservationWanted { upstream, patience } => {
                let Some(engine) = self.engines.get_mut(upstream) else { return };
                engine.reservation.wanted(cx.now, from, *patience);
                views::tell_changes(cx, engine, &self.demand);
                views::tell_one(cx, engine, from);
            }
            PeerMessage::ReservationReturned { upstream } => {
                let Some(engine) = self.engines.get_mut(upstream) else { return };
                engine.reservation.returned(from);
                views::tell_changes(cx, engine, &self.demand);
            }
            _ => {}
        }
    }

    /// Takes note that requests of a router run.
    ///
    /// Requests that don't wait are only told now and then, and are seen in the
    /// engine's reports before that, unless they are short.
    fn note_use(&mut self, cx: &Cx<'_>, model: &ModelName) {
        let told_every = cx.cfg.timings.usage_every;
        let unseen = self.history.last(model).is_none_or(|last| last.after(told_every).is_due(cx.now));
        if unseen {
            self.history.used(cx.now, model);
        }
    }

    fn note_adapter_use(&mut self, now: Time, target: &ModelTarget) {
        let Some(adapter) = &target.adapter else { return };
        for engine in self.engines.values_mut().filter(|engine| engine.is_one_by_one()) {
            engine.adapter_uses.insert((target.model.clone(), adapter.clone()), now);
        }
    }

    /// Says that a target would come later than those who wait would like, where another home may be faster.
    fn busy(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        wanted: &Wanted<'_>,
    ) -> Option<PeerMessage> {
        let aim = wanted.aim.filter(|_| wanted.waiting > 0)?;
        let model = &wanted.target.model;
        let homes = cx.cache.homes(model).map_or(0, |(_, homes)| homes.engines.len());
        let concerned = self.engines.values().filter(|engine| authority.is_home(&engine.id, model));
        let concerned: Vec<UpstreamId> = concerned.map(|engine| engine.id.clone()).collect();
        if homes < 2 || concerned.is_empty() || concerned.iter().any(|id| !self.engines[id].is_one_by_one()) {
            return None;
        }
        let own = self.demand.with(cx.now, wanted);
        let mut soonest = Duration::MAX;
        for id in &concerned {
            self.with_engine(cx, authority, id, |cx, engine, beside| {
                soonest = soonest.min(answer::price(cx, engine, beside, model, &own));
            });
        }
        let (target, retry_after) = (wanted.target.clone(), soonest);
        (soonest > aim).then_some(PeerMessage::CannotLoad { target, reason: CannotLoad::Busy, retry_after })
    }

    /// Acts on a router's word at once and tells it how matters stand.
    fn answer_wanted(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority, wanted: &Wanted<'_>) {
        let model = &wanted.target.model;
        let concerned: Vec<UpstreamId> = self
            .engines
            .values()
            .filter(|engine| authority.is_home(&engine.id, model) || engine.model(model).is_some())
            .map(|engine| engine.id.clone())
            .collect();
        let mut verdicts = Vec::new();
        for id in &concerned {
            self.with_engine(cx, authority, id, |cx, engine, beside| {
                decide(cx, engine, beside);
                views::tell_changes(cx, engine, beside.demand);
                views::tell_one(cx, engine, wanted.from);
                verdicts.push(answer::assess(cx, engine, beside, wanted));
            });
        }
        let Some(refusal) = answer::refusal(&verdicts, wanted) else { return };
        if let PeerMessage::CannotLoad { reason: CannotLoad::TooSlow, retry_after, .. } = &refusal {
            self.demand.promise(cx.now, wanted, *retry_after);
        }
        cx.tell(wanted.from, refusal);
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
    pub fn dump(&self, cx: &Cx<'_>) -> Vec<Belief> {
        describe::dump(self, cx)
    }

    /// Returns the numbers for the metrics.
    pub fn gauges(&self, _cx: &Cx<'_>) -> Vec<Gauge> {
        describe::gauges(self)
    }
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
    cx.note("engine_surveyed", &engine.id, detail);
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
        cx.note("engine_superseded", &engine.id, format!("fence={} seen={seen}", engine.fence));
    }
    let reason = match answer {
        OrderAnswer::Refused { reason } => reason.as_str(),
        OrderAnswer::NotSent => "the engine refuses connections",
        OrderAnswer::FenceTooLow { .. } => "the engine has seen a higher fence",
        // One out of turn is tried again as soon as a report tells how things stand.
        OrderAnswer::Accepted | OrderAnswer::Done | OrderAnswer::OutOfTurn | OrderAnswer::Lost => return,
    };
    if let Order::Load { model, .. } | Order::LoadAdapter { model, .. } = action {
        load::failed(cx, engine, tally, model, reason);
    }
}

impl EngineUse for Loading {
    fn is_free_of(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        self.engines.get(engine).is_some_and(|engine| engine.is_free_of(model))
    }

    fn is_settled(&self, engine: &UpstreamId) -> bool {
        self.engines.get(engine).is_none_or(|engine| engine.ledger.is_empty())
    }

    fn drawn(&self, engine: &UpstreamId) -> Watts {
        self.engines.get(engine).map_or(Watts(0), Engine::drawn)
    }

    fn lacks(&self, engine: &UpstreamId) -> Option<(Watts, ServiceOrder)> {
        self.engines.get(engine)?.lacks
    }

    fn free_memory(&self, engine: &UpstreamId) -> Mebibytes {
        self.engines.get(engine).map_or(Mebibytes(0), Engine::free_memory)
    }

    fn home_wishes(&self) -> Vec<HomeWish> {
        self.engines.values().flat_map(|engine| &engine.wishes.due).cloned().collect()
    }
}
