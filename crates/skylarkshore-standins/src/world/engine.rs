//! Simulated model engine. Start with [`Engine`].

use std::time::Duration;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{
    AdapterName, AttemptId, Fence, Incarnation, ModelName, ModelVersion, OrderId, SiteName, UpstreamId,
};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineReport, EngineSpec, FenceCheck, LoadState, Order, OrderAnswer, ReportedAdapter, ReportedModel,
    Upstream, WeightCopies,
};

use super::schedule::{RunId, Sender, SentRequest};

/// How many finished orders an engine reports.
const MAX_FINISHED_ORDERS: usize = 32;

#[derive(Clone, Debug)]
struct LoadedModel {
    version: ModelVersion,
    state: LoadState,
    memory: Mebibytes,
    adapters: OrderedMap<AdapterName, Mebibytes>,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) id: RunId,
    pub(crate) sent: SentRequest,
    pub(crate) model: Option<ModelName>,
    pub(crate) started: bool,
}

/// A load started by an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StartedLoad {
    pub(crate) model: ModelName,
    pub(crate) incarnation: Incarnation,
}

/// A simulated model engine.
#[derive(Debug)]
pub struct Engine {
    /// Engine name.
    pub id: UpstreamId,
    /// Site that supplies its power.
    pub site: SiteName,
    /// Its memory, power draw and concurrency.
    pub spec: EngineSpec,
    /// Whether the engine runs.
    pub up: bool,
    /// Number of loads started.
    pub loads: u64,
    /// Total time it held a model without running a request.
    pub idle: Duration,
    /// Number of orders carried out despite an outdated fence.
    pub stale_orders: u64,
    /// Number of requests interrupted by an unload.
    pub cut_off: u64,
    incarnation: Incarnation,
    fence: Fence,
    models: OrderedMap<ModelName, LoadedModel>,
    runs: OrderedMap<RunId, Run>,
    finished_orders: Vec<OrderId>,
    idle_updated_at: Time,
}

impl Engine {
    pub(crate) fn new(upstream: &Upstream) -> Option<Self> {
        let spec = upstream.engine()?.clone();
        Some(Self {
            id: upstream.id.clone(),
            site: upstream.site.clone(),
            spec,
            up: true,
            loads: 0,
            idle: Duration::ZERO,
            stale_orders: 0,
            cut_off: 0,
            incarnation: Incarnation(1),
            fence: Fence(0),
            models: OrderedMap::new(),
            runs: OrderedMap::new(),
            finished_orders: Vec::new(),
            idle_updated_at: Time::START,
        })
    }

    /// Returns the models in memory, loading ones included.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }

    /// Reports whether the model is ready to answer requests.
    pub fn is_ready(&self, model: &ModelName) -> bool {
        self.up && self.models.get(model).is_some_and(|loaded| loaded.state == LoadState::Ready)
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Mebibytes {
        self.models.values().map(|loaded| loaded.memory + loaded.adapters.values().copied().sum()).sum()
    }

    /// Returns the current power draw.
    pub fn draws(&self) -> Watts {
        match (self.up, self.models.is_empty()) {
            (false, _) => Watts(0),
            (true, true) => self.spec.sleep_watts,
            (true, false) => self.spec.active_watts,
        }
    }

    /// Updates the idle time; must be called before the state changes.
    pub(crate) fn update_idle_time(&mut self, now: Time) {
        if self.up && !self.models.is_empty() && self.runs.is_empty() {
            self.idle += now.since(self.idle_updated_at);
        }
        self.idle_updated_at = now;
    }

    /// Updates the idle time and returns it.
    pub(crate) fn idle_time(&mut self, now: Time) -> Duration {
        self.update_idle_time(now);
        self.idle
    }

    pub(crate) fn handle_order(
        &mut self,
        order: OrderId,
        fence: Fence,
        action: &Order,
        now: Time,
    ) -> OrderResult {
        self.update_idle_time(now);
        if fence < self.fence {
            if self.spec.fence_check == FenceCheck::Refuses {
                return OrderResult::answer(OrderAnswer::FenceTooLow { seen: self.fence });
            }
            self.stale_orders += 1;
        }
        self.fence = self.fence.max(fence);
        self.finished_orders.push(order);
        let surplus = self.finished_orders.len().saturating_sub(MAX_FINISHED_ORDERS);
        self.finished_orders.drain(..surplus);
        self.apply_order(action)
    }

    fn apply_order(&mut self, action: &Order) -> OrderResult {
        let mut result = OrderResult::answer(OrderAnswer::Accepted);
        match action {
            Order::RaiseFence => {}
            Order::Load { model, version, memory } => {
                if !self.models.contains_key(model) {
                    self.loads += 1;
                    let adapters = OrderedMap::new();
                    let loaded = LoadedModel {
                        version: version.clone(),
                        state: LoadState::Loading,
                        memory: *memory,
                        adapters,
                    };
                    self.models.insert(model.clone(), loaded);
                    result.started_load =
                        Some(StartedLoad { model: model.clone(), incarnation: self.incarnation });
                }
            }
            Order::LoadAdapter { model, adapter, memory } => match self.models.get_mut(model) {
                Some(loaded) => {
                    loaded.adapters.insert(adapter.clone(), *memory);
                }
                None => {
                    result.answer = OrderAnswer::Refused { reason: "the base model isn't loaded".to_owned() }
                }
            },
            Order::Unload { model } => {
                self.models.remove(model);
                result.interrupted = self.take_runs(|run| run.model.as_ref() == Some(model));
                self.cut_off += result.interrupted.len() as u64;
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(loaded) = self.models.get_mut(model) {
                    loaded.adapters.remove(adapter);
                }
            }
        }
        result
    }

    pub(crate) fn load_done(&mut self, incarnation: Incarnation, model: &ModelName, now: Time) {
        self.update_idle_time(now);
        if self.incarnation != incarnation {
            return;
        }
        if let Some(loaded) = self.models.get_mut(model) {
            loaded.state = LoadState::Ready;
        }
    }

    pub(crate) fn report(&self) -> Option<EngineReport> {
        let running = |model: &ModelName| {
            let count = self.runs.values().filter(|run| run.model.as_ref() == Some(model)).count();
            u32::try_from(count).unwrap_or(u32::MAX)
        };
        let models = self.models.iter().map(|(model, loaded)| ReportedModel {
            model: model.clone(),
            version: loaded.version.clone(),
            state: loaded.state,
            memory: loaded.memory,
            running: running(model),
            adapters: loaded
                .adapters
                .iter()
                .map(|(adapter, memory)| ReportedAdapter {
                    adapter: adapter.clone(),
                    memory: *memory,
                    ready: true,
                })
                .collect(),
        });
        self.up.then(|| EngineReport {
            incarnation: self.incarnation,
            fence: self.fence,
            memory: self.spec.memory,
            models: models.collect(),
            running: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
            waiting: 0,
            leaving: false,
            lag: Duration::ZERO,
            finished_orders: self.finished_orders.clone(),
            busy: false,
            accepted: None,
            copies: WeightCopies::default(),
        })
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.models.get(model).is_some_and(|loaded| {
            loaded.state == LoadState::Ready
                && adapter.is_none_or(|adapter| loaded.adapters.contains_key(adapter))
        })
    }

    pub(crate) fn run_count(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn add_run(&mut self, run: Run, now: Time) {
        self.update_idle_time(now);
        self.runs.insert(run.id, run);
    }

    pub(crate) fn run_mut(&mut self, id: RunId) -> Option<&mut Run> {
        self.runs.get_mut(&id)
    }

    pub(crate) fn remove_run(&mut self, id: RunId, now: Time) -> Option<Run> {
        self.update_idle_time(now);
        self.runs.remove(&id)
    }

    pub(crate) fn crash(&mut self, now: Time) -> Vec<Run> {
        self.update_idle_time(now);
        self.up = false;
        self.models.clear();
        self.take_runs(|_| true)
    }

    pub(crate) fn restart(&mut self, now: Time) {
        self.update_idle_time(now);
        self.up = true;
        self.incarnation = self.incarnation.next();
        self.fence = Fence(0);
        self.finished_orders.clear();
    }

    pub(crate) fn loading_count(&self) -> u32 {
        let count = self.models.values().filter(|loaded| loaded.state == LoadState::Loading).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Stops the runs of a cancelled attempt.
    pub(crate) fn cancel(&mut self, sender: Sender, attempt: AttemptId, now: Time) -> Vec<Run> {
        self.update_idle_time(now);
        self.take_runs(|run| run.sent.from == sender && run.sent.attempt == attempt)
    }

    /// Stops the runs of a process that ended; a real engine detects the closed connection.
    pub(crate) fn cancel_from(&mut self, sender: Sender, now: Time) {
        self.update_idle_time(now);
        self.take_runs(|run| run.sent.from == sender);
    }

    fn take_runs(&mut self, which: impl Fn(&Run) -> bool) -> Vec<Run> {
        self.runs.extract_if(.., |_, run| which(run)).map(|(_, run)| run).collect()
    }
}

/// The answer to an order and its side effects.
#[derive(Debug)]
pub(crate) struct OrderResult {
    pub(crate) answer: OrderAnswer,
    pub(crate) started_load: Option<StartedLoad>,
    pub(crate) interrupted: Vec<Run>,
}

impl OrderResult {
    const fn answer(answer: OrderAnswer) -> Self {
        Self { answer, started_load: None, interrupted: Vec::new() }
    }
}
