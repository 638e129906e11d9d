//! A model engine that does as it is told, and fails the test when it is told wrong.

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
struct Held {
    version: String,
    memory: Mebibytes,
    ready_at: Time,
    running: u32,
    adapters: OrderedMap<AdapterName, (Mebibytes, Time)>,
}

/// An engine that does as it is told, and keeps a record of it.
#[derive(Debug)]
pub struct FakeEngine {
    /// Whether it answers at all.
    pub up: bool,
    /// Whether reports name the orders that were settled.
    pub reports_finished_orders: bool,
    /// Which life it lives.
    pub incarnation: Incarnation,
    /// What it has done.
    pub done: Vec<Order>,
    /// How many orders it has accepted, if it numbers them and takes one at a time.
    pub accepted: Option<u64>,
    /// The models of which it keeps copies.
    pub copies: WeightCopies,
    /// How long an unload takes, where it numbers its orders.
    pub unload_time: Duration,
    /// How long a load takes of a model of which it keeps a copy.
    pub copy_load_time: Duration,
    /// Whether it refuses an order that comes while a load is carried out, instead of failing the test.
    pub refuses_while_loading: bool,
    /// Until when it is carrying an unload out.
    unloading_until: Time,
    memory: Mebibytes,
    models: OrderedMap<ModelName, Held>,
    settled: Vec<OrderId>,
}

impl FakeEngine {
    /// Makes an engine with nothing loaded.
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
            settled: Vec::new(),
        }
    }

    /// Carries an order out and fails the test if memory is overcommitted.
    pub fn execute(&mut self, now: Time, order: OrderId, action: &Order) {
        self.done.push(action.clone());
        self.settled.push(order);
        if let Some(accepted) = &mut self.accepted
            && *action != Order::RaiseFence
        {
            *accepted += 1;
            assert!(!self.is_loading(now), "an order came while another was carried out");
        }
        match action {
            Order::RaiseFence => {}
            Order::Load { model, version, memory } => {
                let held = Held {
                    version: version.to_string(),
                    memory: *memory,
                    ready_at: now.after(self.load_time(model)),
                    running: 0,
                    adapters: OrderedMap::new(),
                };
                self.models.entry(model.clone()).or_insert(held);
            }
            Order::LoadAdapter { model, adapter, memory } => {
                let held = self.models.get_mut(model).expect("an adapter is loaded after its base");
                assert!(held.ready_at.is_due(now), "an adapter came before its base was ready");
                held.adapters.entry(adapter.clone()).or_insert((*memory, now.after(LOAD_TIME / 4)));
            }
            Order::Unload { model } => {
                let running = self.models.remove(model).map_or(0, |held| held.running);
                self.unloading_until = now.after(self.unload_time);
                assert_eq!(running, 0, "the unload of {model} cut requests off");
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(held) = self.models.get_mut(model) {
                    held.adapters.remove(adapter);
                }
            }
        }
        assert!(self.used() <= self.memory, "memory is overcommitted: {} of {}", self.used(), self.memory);
    }

    /// Puts a model on it that no order of its present owner brought there.
    pub fn put(&mut self, model: &str, memory: u64) {
        let (ready_at, adapters) = (Time::START, OrderedMap::new());
        let held =
            Held { version: "v1".to_owned(), memory: Mebibytes(memory), ready_at, running: 0, adapters };
        self.models.insert(name(model), held);
    }

    fn load_time(&self, model: &ModelName) -> Duration {
        if self.copies.has(model) { self.copy_load_time } else { LOAD_TIME }
    }

    /// Tells whether it refuses any other order for now.
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
        let of = |held: &Held| held.memory + held.adapters.values().map(|(memory, _)| *memory).sum();
        self.models.values().map(of).sum()
    }

    /// Begins a new life with nothing loaded.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.accepted = self.accepted.map(|_| 0);
        self.models.clear();
        self.settled.clear();
    }

    /// Sets how many requests run on a model.
    pub fn set_running(&mut self, model: &str, running: u32) {
        self.models.get_mut(&name(model)).expect("the model is loaded").running = running;
    }

    /// Returns how many loads of the model it has carried out.
    pub fn loads_of(&self, wanted: &str) -> usize {
        let is_wanted =
            |order: &&Order| matches!(order, Order::Load { model, .. } if model.as_str() == wanted);
        self.done.iter().filter(is_wanted).count()
    }

    /// Tells whether it holds the model.
    pub fn holds(&self, model: &str) -> bool {
        self.models.contains_key(&name(model))
    }

    /// Tells how it stands.
    pub fn report(&self, now: Time) -> EngineReport {
        // One that numbers its orders shows a model only once it is there.
        let shown =
            self.models.iter().filter(|(_, held)| self.accepted.is_none() || held.ready_at.is_due(now));
        let models = shown.map(|(model, held)| ReportedModel {
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
            finished_orders: if self.reports_finished_orders { self.settled.clone() } else { Vec::new() },
            busy: self.accepted.is_some() && (self.is_loading(now) || self.is_unloading(now)),
            accepted: self.accepted,
            copies: self.copies.clone(),
        }
    }
}
