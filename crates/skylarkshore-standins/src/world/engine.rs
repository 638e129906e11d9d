//! A model engine in memory.

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

use super::agenda::{RunId, Sender, SentRequest};

/// How many settled orders an engine remembers.
const SETTLED_KEPT: usize = 32;

#[derive(Clone, Debug)]
struct Held {
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

/// A load that an order has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BegunLoad {
    pub(crate) model: ModelName,
    pub(crate) incarnation: Incarnation,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub id: UpstreamId,
    /// The site whose power it draws.
    pub site: SiteName,
    /// What it can hold and draws.
    pub spec: EngineSpec,
    /// Whether it runs.
    pub up: bool,
    /// How many loads it has begun.
    pub loads: u64,
    /// For how long it held a model that nobody used.
    pub idle: Duration,
    /// Orders that it carried out although their fence was old.
    pub stale_orders: u64,
    /// Requests that an unload cut off.
    pub cut_off: u64,
    incarnation: Incarnation,
    fence: Fence,
    models: OrderedMap<ModelName, Held>,
    runs: OrderedMap<RunId, Run>,
    settled: Vec<OrderId>,
    accounted: Time,
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
            settled: Vec::new(),
            accounted: Time::START,
        })
    }

    /// Returns the models that it holds, whatever their state.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }

    /// Tells whether the model answers requests.
    pub fn is_ready(&self, model: &ModelName) -> bool {
        self.up && self.models.get(model).is_some_and(|held| held.state == LoadState::Ready)
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Mebibytes {
        self.models.values().map(|held| held.memory + held.adapters.values().copied().sum()).sum()
    }

    /// Returns what it draws now.
    pub fn draws(&self) -> Watts {
        match (self.up, self.models.is_empty()) {
            (false, _) => Watts(0),
            (true, true) => self.spec.sleep_watts,
            (true, false) => self.spec.active_watts,
        }
    }

    /// Brings the account of idle time up to date; to be called before anything changes.
    pub(crate) fn account(&mut self, now: Time) {
        if self.up && !self.models.is_empty() && self.runs.is_empty() {
            self.idle += now.since(self.accounted);
        }
        self.accounted = now;
    }

    /// Brings the account of idle time up to date and returns it.
    pub(crate) fn idle_until(&mut self, now: Time) -> Duration {
        self.account(now);
        self.idle
    }

    pub(crate) fn take_order(&mut self, order: OrderId, fence: Fence, action: &Order, now: Time) -> Taken {
        self.account(now);
        if fence < self.fence {
            if self.spec.fence_check == FenceCheck::Refuses {
                return Taken::answer(OrderAnswer::FenceTooLow { seen: self.fence });
            }
            self.stale_orders += 1;
        }
        self.fence = self.fence.max(fence);
        self.settled.push(order);
        let surplus = self.settled.len().saturating_sub(SETTLED_KEPT);
        self.settled.drain(..surplus);
        self.carry_out(action)
    }

    fn carry_out(&mut self, action: &Order) -> Taken {
        let mut taken = Taken::answer(OrderAnswer::Accepted);
        match action {
            Order::RaiseFence => {}
            Order::Load { model, version, memory } => {
                if !self.models.contains_key(model) {
                    self.loads += 1;
                    let adapters = OrderedMap::new();
                    let held = Held {
                        version: version.clone(),
                        state: LoadState::Loading,
                        memory: *memory,
                        adapters,
                    };
                    self.models.insert(model.clone(), held);
                    taken.begun = Some(BegunLoad { model: model.clone(), incarnation: self.incarnation });
                }
            }
            Order::LoadAdapter { model, adapter, memory } => match self.models.get_mut(model) {
                Some(held) => {
                    held.adapters.insert(adapter.clone(), *memory);
                }
                None => {
                    taken.answer = OrderAnswer::Refused { reason: "the base model isn't loaded".to_owned() }
                }
            },
            Order::Unload { model } => {
                self.models.remove(model);
                taken.cut = self.take_runs(|run| run.model.as_ref() == Some(model));
                self.cut_off += taken.cut.len() as u64;
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(held) = self.models.get_mut(model) {
                    held.adapters.remove(adapter);
                }
            }
        }
        taken
    }

    pub(crate) fn load_done(&mut self, incarnation: Incarnation, model: &ModelName, now: Time) {
        self.account(now);
        if self.incarnation != incarnation {
            return;
        }
        if let Some(held) = self.models.get_mut(model) {
            held.state = LoadState::Ready;
        }
    }

    pub(crate) fn report(&self) -> Option<EngineReport> {
        let running = |model: &ModelName| {
            let count = self.runs.values().filter(|run| run.model.as_ref() == Some(model)).count();
            u32::try_from(count).unwrap_or(u32::MAX)
        };
        let models = self.models.iter().map(|(model, held)| ReportedModel {
            model: model.clone(),
            version: held.version.clone(),
            state: held.state,
            memory: held.memory,
            running: running(model),
            adapters: held
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
            finished_orders: self.settled.clone(),
            busy: false,
            accepted: None,
            copies: WeightCopies::default(),
        })
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.models.get(model).is_some_and(|held| {
            held.state == LoadState::Ready
                && adapter.is_none_or(|adapter| held.adapters.contains_key(adapter))
        })
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn begin(&mut self, run: Run, now: Time) {
        self.account(now);
        self.runs.insert(run.id, run);
    }

    pub(crate) fn run_mut(&mut self, id: RunId) -> Option<&mut Run> {
        self.runs.get_mut(&id)
    }

    pub(crate) fn end(&mut self, id: RunId, now: Time) -> Option<Run> {
        self.account(now);
        self.runs.remove(&id)
    }

    pub(crate) fn crash(&mut self, now: Time) -> Vec<Run> {
        self.account(now);
        self.up = false;
        self.models.clear();
        self.take_runs(|_| true)
    }

    pub(crate) fn restart(&mut self, now: Time) {
        self.account(now);
        self.up = true;
        self.incarnation = self.incarnation.next();
        self.fence = Fence(0);
        self.settled.clear();
    }

    pub(crate) fn loading(&self) -> u32 {
        let count = self.models.values().filter(|held| held.state == LoadState::Loading).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Stops a run whose sender doesn't want it any more.
    pub(crate) fn cancel(&mut self, sender: Sender, attempt: AttemptId, now: Time) -> Vec<Run> {
        self.account(now);
        self.take_runs(|run| run.sent.from == sender && run.sent.attempt == attempt)
    }

    /// Stops what a process that ended had running; an engine notices the closed connection.
    pub(crate) fn forget_sender(&mut self, sender: Sender, now: Time) {
        self.account(now);
        self.take_runs(|run| run.sent.from == sender);
    }

    fn take_runs(&mut self, which: impl Fn(&Run) -> bool) -> Vec<Run> {
        self.runs.extract_if(.., |_, run| which(run)).map(|(_, run)| run).collect()
    }
}

/// What an order led to.
#[derive(Debug)]
pub(crate) struct Taken {
    pub(crate) answer: OrderAnswer,
    pub(crate) begun: Option<BegunLoad>,
    pub(crate) cut: Vec<Run>,
}

impl Taken {
    const fn answer(answer: OrderAnswer) -> Self {
        Self { answer, begun: None, cut: Vec::new() }
    }
}
