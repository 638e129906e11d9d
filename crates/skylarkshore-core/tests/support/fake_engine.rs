//! A fake model engine that executes orders and fails the test on an invalid one.

use std::time::Duration;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{AdapterName, Fence, Incarnation, ModelName, OrderId};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::Mebibytes;
use skylarkshore_core::upstream::{
    EngineReport, LoadState, Order, ReportedAdapter, ReportedModel, WeightCopies,
};

use crate::support::{LOAD_TIME, name};

/// A model on the fake engine.
#[derive(Clone, Debug)]
struct HeldModel {
    version: String,
    memory: Mebibytes,
    ready_at: Time,
    running: u32,
    adapters: OrderedMap<AdapterName, (Mebibytes, Time)>,
}

/// A model engine that executes orders and records them.
#[derive(Debug)]
pub struct FakeEngine {
    /// Whether it is reachable.
    pub up: bool,
    /// Whether its reports name the finished orders.
    pub reports_finished_orders: bool,
    /// The incarnation; it rises with every restart.
    pub incarnation: Incarnation,
    /// The orders that it has executed.
    pub done: Vec<Order>,
    /// How many orders it has accepted, if it numbers them and executes one at a time.
    pub accepted: Option<u64>,
    /// The models whose weights it keeps copies of.
    pub copies: WeightCopies,
    /// How long an unload takes, if it numbers its orders.
    pub unload_time: Duration,
    /// How long it takes to load a model from a copy.
    pub copy_load_time: Duration,
    /// Whether it refuses an order that arrives during a load, instead of failing the test.
    pub refuses_while_loading: bool,
    /// When the current unload ends.
    unloading_until: Time,
    memory: Mebibytes,
    models: OrderedMap<ModelName, HeldModel>,
    finished_orders: Vec<OrderId>,
}

impl FakeEngine {
    /// Creates an engine with nothing loaded.
    pub fn new(memory: Mebibytes) -> Self {
        Self {
            up: true,
            reports_finished_orders: true,
            incarnation: Incarnation(1),
            done: Vec::new(),
            accepted: None,
            copies: WeightCopies::default(),
            unload_time: Duration::ZERO,
            copy_load_time: LOAD_TIME,
            refuses_while_loading: false,
            unloading_until: Time::START,
            memory,
            models: OrderedMap::new(),
            finished_orders: Vec::new(),
        }
    }

    /// Executes an order, and fails the test if memory is overcommitted.
    pub fn execute(&mut self, now: Time, order: OrderId, action: &Order) {
        self.done.push(action.clone());
        self.finished_orders.push(order);
        if let Some(accepted) = &mut self.accepted
            && *action != Order::RaiseFence
        {
            *accepted += 1;
            assert!(!self.is_loading(now), "an order arrived while another was being executed");
        }
        match action {
            Order::RaiseFence => {}
            Order::Load { model, version, memory } => {
                let held = HeldModel {
                    version: version.to_string(),
                    memory: *memory,
                    ready_at: now.after(self.load_time(model)),
                    running: 0,
                    adapters: OrderedMap::new(),
                };
                self.models.entry(model.clone()).or_insert(held);
            }
            Order::LoadAdapter { model, adapter, memory } => {
                let held = self.models.get_mut(model).expect("the base model is loaded before its adapters");
                assert!(held.ready_at.is_due(now), "the base model is ready before its adapters are loaded");
                held.adapters.entry(adapter.clone()).or_insert((*memory, now.after(LOAD_TIME / 4)));
            }
            Order::Unload { model } => {
                let running = self.models.remove(model).map_or(0, |held| held.running);
                self.unloading_until = now.after(self.unload_time);
                assert_eq!(running, 0, "the unload of {model} interrupted requests");
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(held) = self.models.get_mut(model) {
                    held.adapters.remove(adapter);
                }
            }
        }
        assert!(self.used() <= self.memory, "memory is overcommitted: {} of {}", self.used(), self.memory);
    }

    /// Adds a model that no order of the current owner loaded.
    pub fn put(&mut self, model: &str, memory: u64) {
        let (ready_at, adapters) = (Time::START, OrderedMap::new());
        let held =
            HeldModel { version: "v1".to_owned(), memory: Mebibytes(memory), ready_at, running: 0, adapters };
        self.models.insert(name(model), held);
    }

    fn load_time(&self, model: &ModelName) -> Duration {
        if self.copies.has(model) { self.copy_load_time } else { LOAD_TIME }
    }

    /// Reports whether it currently refuses all orders.
    pub fn refuses_orders(&self, now: Time) -> bool {
        self.is_unloading(now) || self.refuses_while_loading && self.is_loading(now)
    }

    fn is_unloading(&self, now: Time) -> bool {
        !self.unloading_until.is_due(now)
    }

    fn is_loading(&self, now: Time) -> bool {
        self.models.values().any(|held| !held.ready_at.is_due(now))
    }

    fn used(&self) -> Mebibytes {
        let memory_of =
            |held: &HeldModel| held.memory + held.adapters.values().map(|(memory, _)| *memory).sum();
        self.models.values().map(memory_of).sum()
    }

    /// Restarts with the next incarnation and nothing loaded.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.accepted = self.accepted.map(|_| 0);
        self.models.clear();
        self.finished_orders.clear();
    }

    /// Sets the number of running requests of a model.
    pub fn set_running(&mut self, model: &str, running: u32) {
        self.models.get_mut(&name(model)).expect("the model is loaded").running = running;
    }

    /// Returns how many loads of the model it has executed.
    pub fn loads_of(&self, wanted: &str) -> usize {
        let is_wanted =
            |order: &&Order| matches!(order, Order::Load { model, .. } if model.as_str() == wanted);
        self.done.iter().filter(is_wanted).count()
    }

    /// Reports whether it holds the model.
    pub fn holds(&self, model: &str) -> bool {
        self.models.contains_key(&name(model))
    }

    /// Returns a report of its state.
    pub fn report(&self, now: Time) -> EngineReport {
        // An engine that numbers its orders only reports models that are ready.
        let reported =
            self.models.iter().filter(|(_, held)| self.accepted.is_none() || held.ready_at.is_due(now));
        let models = reported.map(|(model, held)| ReportedModel {
            model: model.clone(),
            version: name(&held.version),
            state: if held.ready_at.is_due(now) { LoadState::Ready } else { LoadState::Loading },
            memory: held.memory,
            running: held.running,
            adapters: held
                .adapters
                .iter()
                .map(|(adapter, (memory, ready))| ReportedAdapter {
                    adapter: adapter.clone(),
                    memory: *memory,
                    ready: ready.is_due(now),
                })
                .collect(),
        });
        EngineReport {
            incarnation: self.incarnation,
            fence: Fence(7),
            memory: self.memory,
            models: models.collect(),
            running: self.models.values().map(|held| held.running).sum(),
            waiting: 0,
            leaving: false,
            lag: Duration::from_millis(200),
            finished_orders: if self.reports_finished_orders {
                self.finished_orders.clone()
            } else {
                Vec::new()
            },
            busy: self.accepted.is_some() && (self.is_loading(now) || self.is_unloading(now)),
            accepted: self.accepted,
            copies: self.copies.clone(),
        }
    }
}
