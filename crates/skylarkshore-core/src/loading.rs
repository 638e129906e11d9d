//! Loads and unloads models on the engines that this process owns.
//!
//! [`Loading`] is the entry point. For each engine it tracks reports, pending orders
//! and demand, and sends load and unload orders. `desired_loads` decides what to
//! load, `load` and `unload` carry it out, and `publishing` sends the resulting
//! views to the routers.
//!
//! Terms used in all submodules:
//!
//! - *Owner*: the one process that may send orders to an engine. Its fence is a
//!   number that rises with every new ownership; orders carry it, and an engine that
//!   checks it refuses those of former owners.
//! - *Home* of a model: an engine on which it may be loaded. The homes record lists
//!   them, the preferred one first. [`Authority::is_home`] is stricter, and only homes
//!   that it admits are loaded: it excludes homes beyond the permitted number of
//!   replicas, homes that are being given up, and all homes in a record that was not
//!   written since this process acquired the engine.
//! - *Weight store*: the shared store of all models' weights. A *copy* is a model's
//!   weights in the memory or on the disk of an engine's host, from which a load is
//!   several times as fast; a model that is loaded and can serve is a *replica*.
//! - *Load slot*: permission for one load from the weight store, see `load_slots`. A
//!   *request slot* is room for one concurrent request on a replica.
//! - *Service order*: priority of requests when capacity is short; lower goes first.
//! - *Sequential engine*: executes one order at a time and counts the orders that it
//!   has accepted. An order that expects an earlier count is refused as a conflict.
//! - *Order in doubt*: its answer was lost; it may or may not be executed, now or later.

mod adapters;
mod concurrency_limit;
mod demand;
mod desired_loads;
mod diagnostics;
mod engine;
mod engine_state;
mod estimates;
mod gate;
mod history;
mod inter_arrival;
mod load;
mod load_abilities;
mod load_metrics;
mod load_slots;
mod load_times;
mod peers;
mod pending_orders;
mod pipelining;
mod policy;
mod power_shortage;
mod published_view;
mod publishing;
mod rehoming;
mod replicas;
mod reservation;
mod unload;
mod unserved;
mod usage;

use std::time::Duration;

use crate::authority::{Authority, EngineUse, HomeRequest, OwnershipChange};
use crate::collections::OrderedMap;
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::id::{ModelName, OrderId, UpstreamId};
use crate::loading::demand::Demand;
use crate::loading::engine::Engine;
use crate::loading::engine_state::ReportStatus;
use crate::loading::gate::LoadKey;
use crate::loading::history::History;
use crate::loading::load_abilities::LoadAbilities;
use crate::loading::load_metrics::LoadMetrics;
use crate::loading::load_slots::LoadSlots;
use crate::loading::load_times::LoadTimes;
use crate::loading::pending_orders::Answered;
use crate::loading::power_shortage::PowerShortages;
use crate::loading::unserved::UnservedTargets;
use crate::loading::usage::Usage;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::{Mebibytes, Watts};
use crate::upstream::{EngineReport, Order, OrderAnswer};

/// How often pinned, hot and idle models, missing copies and prewarming are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Load state of all engines that this process owns.
#[derive(Debug, Default)]
pub struct Loading {
    engines: OrderedMap<UpstreamId, Engine>,
    demand: Demand,
    usage: Usage,
    history: History,
    /// Which of `engines` can load, for decisions on any other of them.
    load_abilities: LoadAbilities,
    power_shortages: PowerShortages,
    load_slots: LoadSlots,
    load_times: LoadTimes,
    load_metrics: LoadMetrics,
    unserved: UnservedTargets,
}

/// Process-wide state that a decision on one engine reads or updates.
struct DecisionContext<'a> {
    authority: &'a dyn Authority,
    demand: &'a Demand,
    usage: &'a Usage,
    history: &'a mut History,
    load_abilities: &'a LoadAbilities,
    power_shortages: &'a PowerShortages,
    load_slots: &'a mut LoadSlots,
    load_times: &'a mut LoadTimes,
    load_metrics: &'a mut LoadMetrics,
}

impl Loading {
    /// Creates the state of a process that owns no engine.
    pub fn new(_cfg: &NodeConfig) -> Self {
        Self::default()
    }

    /// Adds an acquired engine or removes a lost one.
    pub fn on_ownership(&mut self, cx: &mut Cx<'_>, change: &OwnershipChange) {
        match change {
            OwnershipChange::Acquired { engine, fence, late_orders_until } => {
                // Slots from an earlier ownership of the engine are void.
                self.load_slots.release_engine(cx, engine);
                let mut acquired = Engine::new(engine.clone(), *fence, *late_orders_until, cx.now);
                acquired.refresh(cx);
                self.engines.insert(engine.clone(), acquired);
            }
            OwnershipChange::Lost { engine } => {
                self.load_slots.release_engine(cx, engine);
                self.engines.remove(engine);
                self.load_abilities.remove(engine);
            }
        }
    }

    /// Runs everything that is due: report requests, loads, unloads and view updates.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority) {
        self.demand.expire(cx.now);
        for engine in self.engines.values() {
            for model in load::running_store_loads(engine) {
                self.load_slots
                    .restore_running(cx.now, &LoadKey { engine: engine.id.clone(), model: model.clone() });
            }
        }
        let engines = &self.engines;
        self.load_slots.on_tick(cx, |key| {
            engines.get(&key.engine).is_some_and(|engine| load::is_load_running(engine, &key.model))
        });
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        let mut newly_ready = Vec::new();
        for id in ids {
            self.with_engine(cx, authority, &id, |cx, engine, context| {
                engine.refresh(cx);
                engine.reservation.expire(cx);
                engine.expire_orders(cx);
                if pipelining::assume_due_loads_ended(cx, engine) {
                    newly_ready.append(&mut load::record_ended_loads(cx, engine, context));
                }
                engine.has_subscribers = has_subscribers(engine, context);
                engine.raise_fence_or_poll(cx, context.authority.permit(cx.now, &engine.id));
                decide(cx, engine, context);
                engine.count_idle(cx.now, context.load_metrics);
                publishing::publish_changes(cx, engine, context.demand);
            });
        }
        for model in newly_ready {
            self.demand.mark_served(cx.now, &model);
        }
        let (cache, engines) = (cx.cache, &self.engines);
        // Only the owner of a model's first home logs that the model is unserved.
        self.unserved.check(cx, |model| {
            let first = cache.homes(model).and_then(|(_, homes)| homes.engines.first());
            first.is_some_and(|home| engines.contains_key(home))
        });
    }

    /// Handles the answer to an order.
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
        let outcome = engine.pending_orders.answer(order, answer, cx.now);
        if let Some((action, _)) = &outcome
            && pipelining::schedule_retry_if_early(engine, cx.now, action, answer)
        {
            return;
        }
        engine.count_answer(cx.now, answer);
        let Some((action, answered)) = outcome else { return };
        match answered {
            Answered::Accepted => self.on_accepted(cx, authority, id, &action),
            Answered::Done => engine.record_done(cx.now, &action),
            Answered::InDoubt => cx.log_event("order_lost", id, format!("order={order}")),
            Answered::NotDone => handle_not_done(cx, engine, &mut self.load_metrics, &action, answer),
        }
    }

    /// Handles the acceptance of an order, and sends the order that can follow at once.
    fn on_accepted(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority, id: &UpstreamId, action: &Order) {
        self.with_engine(cx, authority, id, |cx, engine, context| match action {
            Order::Load { model, .. } => {
                load::on_accepted(cx, engine, model);
                if pipelining::record_ended_unloads(engine, cx.now, context.load_times) {
                    cx.log_event("load_started", format!("{model}@{}", engine.id), "copy=here behind=unload");
                }
            }
            Order::Unload { .. } => decide(cx, engine, context),
            _ => {}
        });
    }

    /// Handles an engine's report; no report means that the engine did not answer.
    pub fn on_report(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        id: &UpstreamId,
        requested_at: Time,
        report: Option<&EngineReport>,
    ) {
        let Some(report) = report else { return };
        let mut newly_ready = Vec::new();
        self.with_engine(cx, authority, id, |cx, engine, context| {
            let is_first = engine.report().is_none();
            let status = engine.apply_report(cx.now, requested_at, report);
            if status == ReportStatus::Stale {
                return;
            }
            if is_first {
                log_survey(cx, engine, report);
            }
            pipelining::verify_assumed_load_end(engine, requested_at, report, context.load_times);
            let resolved = engine.pending_orders.resolve(report, requested_at, cx.cfg.timings.order_settle);
            engine.log_unexpected_models(cx, &resolved);
            engine.log_missing_adapters(cx, &resolved);
            for reported in report.models.iter().filter(|reported| reported.running > 0) {
                context.history.record_use(cx.now, &reported.model);
            }
            newly_ready = load::record_ended_loads(cx, engine, context);
            if status == ReportStatus::Restarted {
                cx.log_event("engine_restarted", &engine.id, format!("incarnation={}", report.incarnation));
                engine.on_restart(cx.now);
            }
            decide(cx, engine, context);
            publishing::publish_changes(cx, engine, context.demand);
        });
        for model in newly_ready {
            self.demand.mark_served(cx.now, &model);
        }
    }

    /// Calls `f` with an owned engine and its decision context, then updates the
    /// engine's load ability. Does nothing if the engine is not owned.
    fn with_engine(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        id: &UpstreamId,
        f: impl FnOnce(&mut Cx<'_>, &mut Engine, &mut DecisionContext<'_>),
    ) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let mut context = DecisionContext {
            authority,
            demand: &self.demand,
            usage: &self.usage,
            history: &mut self.history,
            load_abilities: &self.load_abilities,
            power_shortages: &self.power_shortages,
            load_slots: &mut self.load_slots,
            load_times: &mut self.load_times,
            load_metrics: &mut self.load_metrics,
        };
        f(cx, engine, &mut context);
        self.load_abilities.update(cx, engine);
    }

    /// Returns the state dump.
    pub fn dump(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        diagnostics::dump(self, cx)
    }

    /// Returns the values of the metrics.
    pub fn gauges(&self, _cx: &Cx<'_>) -> Vec<Gauge> {
        diagnostics::gauges(self)
    }
}

/// Reports whether any host subscribes to a model on the engine.
fn has_subscribers(engine: &Engine, context: &DecisionContext<'_>) -> bool {
    let report = engine.report();
    let mut held = report.into_iter().flat_map(|report| &report.models);
    held.any(|reported| context.demand.subscribers(&reported.model).next().is_some())
}

/// Decides which models to load and unload on one engine. Orders require a permit.
fn decide(cx: &mut Cx<'_>, engine: &mut Engine, context: &mut DecisionContext<'_>) {
    if engine.report().is_none() {
        return;
    }
    let is_review_due = engine.next_review.is_due(cx.now);
    if is_review_due {
        engine.next_review = cx.now.after(REVIEW_INTERVAL);
        desired_loads::review_pinned(cx, engine, context);
        replicas::review_hot(cx, engine, context);
        desired_loads::review_missing_copies(cx, engine, context);
    }
    let desired_loads = desired_loads::collect(cx, engine, context);
    engine.power_shortfall = desired_loads::power_shortfall(engine, context, &desired_loads);
    let Some(permit) = context.authority.permit(cx.now, &engine.id) else {
        engine.planned.clear();
        return;
    };
    if is_review_due {
        unload::review_idle(cx, engine, context, &desired_loads);
        desired_loads::review_prewarm(cx, engine, context);
    }
    unload::decide(cx, engine, context, &desired_loads);
    load::start_loads(cx, engine, context, permit, &desired_loads);
    unload::unload_drained(cx, engine, context, permit);
    rehoming::review(cx, engine, context, &desired_loads);
    estimates::plan_ready_times(cx, engine, context, &desired_loads);
}

/// Logs which models and copies an engine holds at its first report.
fn log_survey(cx: &mut Cx<'_>, engine: &Engine, report: &EngineReport) {
    let held: Vec<&str> = report.models.iter().map(|reported| reported.model.as_str()).collect();
    let copies = &report.copies;
    let (in_memory, on_disk) = (copies.in_memory.len(), copies.on_disk.len());
    let detail = format!("holds=[{}] copies_in_memory={in_memory} copies_on_disk={on_disk}", held.join(" "));
    cx.log_event("engine_surveyed", &engine.id, detail);
}

/// Handles an order that the engine did not carry out: records a load as failed
/// unless it met a conflict.
fn handle_not_done(
    cx: &mut Cx<'_>,
    engine: &mut Engine,
    load_metrics: &mut LoadMetrics,
    action: &Order,
    answer: &OrderAnswer,
) {
    if let OrderAnswer::FenceTooLow { seen } = answer {
        engine.phase = engine_state::Phase::Superseded;
        cx.log_event("engine_superseded", &engine.id, format!("fence={} seen={seen}", engine.fence));
    }
    let reason = match answer {
        OrderAnswer::Refused { reason } => reason.as_str(),
        OrderAnswer::NotSent => "the engine refuses connections",
        OrderAnswer::FenceTooLow { .. } => "the engine has seen a higher fence",
        // After a conflict, the order is sent again when the next report shows how many
        // orders the engine has accepted. The other answers do not lead here.
        OrderAnswer::Accepted | OrderAnswer::Done | OrderAnswer::OrderConflict | OrderAnswer::Lost => return,
    };
    if let Order::Load { model, .. } | Order::LoadAdapter { model, .. } = action {
        load::record_failure(cx, engine, load_metrics, model, reason);
    }
}

impl EngineUse for Loading {
    fn is_unused_by(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        self.engines.get(engine).is_some_and(|engine| engine.is_certainly_without(model))
    }

    fn has_no_open_orders(&self, engine: &UpstreamId) -> bool {
        self.engines.get(engine).is_none_or(|engine| engine.pending_orders.is_empty())
    }

    fn power_draw(&self, engine: &UpstreamId) -> Watts {
        self.engines.get(engine).map_or(Watts(0), Engine::power_draw)
    }

    fn power_shortfall(&self, engine: &UpstreamId) -> Option<(Watts, ServiceOrder)> {
        self.engines.get(engine)?.power_shortfall
    }

    fn free_memory(&self, engine: &UpstreamId) -> Mebibytes {
        self.engines.get(engine).map_or(Mebibytes(0), Engine::free_memory)
    }

    fn home_requests(&self) -> Vec<HomeRequest> {
        self.engines.values().flat_map(|engine| &engine.rehoming.due).cloned().collect()
    }
}
