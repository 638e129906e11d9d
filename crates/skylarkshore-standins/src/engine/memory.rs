//! Models in an engine's memory, and the orders that change them. Start with [`Memory`].

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::id::{AdapterName, Digest, Fence, Incarnation, ModelName, ModelVersion, OrderId};
use skylarkshore_core::units::Mebibytes;
use skylarkshore_wire::engine::{
    AdapterReport, CacheChange, CacheEvent, CacheEvents, ModelReport, ModelState, OrderAction, OrderReply,
    OrderRequest, Report,
};
use tokio::time::sleep;

use crate::census::Census;
use crate::engine::{EngineSettings, Shared};
use crate::lock;

/// How many finished orders and cache events are kept.
const MAX_HISTORY: usize = 256;

/// How long an unload takes once the model is drained.
const UNLOAD_DURATION: Duration = Duration::from_millis(50);

/// How often an unload checks whether the requests in progress have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size of each model's prefix cache.
const CACHED_PREFIXES: usize = 16;

#[derive(Debug)]
struct Adapter {
    memory: Mebibytes,
    ready: bool,
}

#[derive(Debug)]
struct Loaded {
    version: ModelVersion,
    state: ModelState,
    memory: Mebibytes,
    running: u32,
    adapters: BTreeMap<AdapterName, Adapter>,
    prefixes: VecDeque<Digest>,
}

impl Loaded {
    fn total_memory(&self) -> Mebibytes {
        self.memory + self.adapters.values().map(|adapter| adapter.memory).sum()
    }
}

/// Work that continues in the background after an order was accepted.
#[derive(Debug)]
pub(super) enum BackgroundWork {
    Load { model: ModelName, memory: Mebibytes },
    LoadAdapter { model: ModelName, adapter: AdapterName, memory: Mebibytes },
    Unload { model: ModelName },
}

/// The accelerator memory of an engine.
#[derive(Debug)]
pub(super) struct Memory {
    settings: EngineSettings,
    census: Arc<Census>,
    incarnation: Incarnation,
    fence: Fence,
    models: BTreeMap<ModelName, Loaded>,
    finished_orders: VecDeque<OrderId>,
    cache_events: VecDeque<CacheEvent>,
    last_event: u64,
}

impl Memory {
    pub(super) fn new(settings: &EngineSettings, census: Arc<Census>) -> Self {
        census.record_power_draw(&settings.site, &settings.id, settings.sleep_watts);
        Self {
            settings: settings.clone(),
            census,
            incarnation: Incarnation(1),
            fence: Fence(0),
            models: BTreeMap::new(),
            finished_orders: VecDeque::new(),
            cache_events: VecDeque::new(),
            last_event: 0,
        }
    }

    pub(super) fn clear(&mut self) {
        for model in std::mem::take(&mut self.models).keys() {
            self.census.replica_ended(model);
        }
        self.finished_orders.clear();
        self.cache_events.clear();
        self.last_event = 0;
        self.record_power_draw();
    }

    /// Starts the next incarnation. The fence survives, since real engines store it externally.
    pub(super) fn begin_incarnation(&mut self) {
        self.incarnation = self.incarnation.next();
    }

    pub(super) fn order(&mut self, req: OrderRequest) -> (OrderReply, Option<BackgroundWork>) {
        if req.fence < self.fence {
            if self.settings.checks_fences {
                self.census.update(|counts| counts.old_fences_refused += 1);
                return (OrderReply::FenceTooLow { seen: self.fence }, None);
            }
            self.census.update(|counts| counts.old_fences_obeyed += 1);
        }
        if req.fence > self.fence {
            self.fence = req.fence;
            self.finished_orders.clear();
        }
        if req.fence == self.fence {
            self.finished_orders.push_back(req.order);
            self.finished_orders.truncate_oldest(MAX_HISTORY);
        }
        match self.execute_action(req.action) {
            Ok(work) => (OrderReply::Accepted(true), work),
            Err(reason) => (OrderReply::Refused(reason), None),
        }
    }

    fn execute_action(&mut self, action: OrderAction) -> Result<Option<BackgroundWork>, String> {
        match action {
            OrderAction::RaiseFence | OrderAction::SetRole { .. } => Ok(None),
            OrderAction::Load { model, version, memory_mib } => self.load(model, version, memory_mib),
            OrderAction::LoadAdapter { model, adapter, memory_mib } => {
                self.load_adapter(model, adapter, memory_mib)
            }
            OrderAction::Unload { model } => Ok(self.unload(model)),
            OrderAction::UnloadAdapter { model, adapter } => {
                if let Some(loaded) = self.models.get_mut(&model) {
                    loaded.adapters.remove(&adapter);
                }
                Ok(None)
            }
        }
    }

    fn load(
        &mut self,
        model: ModelName,
        version: ModelVersion,
        memory: Mebibytes,
    ) -> Result<Option<BackgroundWork>, String> {
        if let Some(loaded) = self.models.get(&model) {
            return match loaded.state {
                ModelState::Unloading => Err("the model is being unloaded".to_owned()),
                _ if loaded.version != version => {
                    Err("another version is loaded; unload it first".to_owned())
                }
                _ => Ok(None),
            };
        }
        self.reserve(memory)?;
        self.census.replica_started(&model);
        let loaded = Loaded {
            version,
            state: ModelState::Loading,
            memory,
            running: 0,
            adapters: BTreeMap::new(),
            prefixes: VecDeque::new(),
        };
        self.models.insert(model.clone(), loaded);
        self.record_power_draw();
        Ok(Some(BackgroundWork::Load { model, memory }))
    }

    fn load_adapter(
        &mut self,
        model: ModelName,
        adapter: AdapterName,
        memory: Mebibytes,
    ) -> Result<Option<BackgroundWork>, String> {
        let Some(loaded) = self.models.get(&model) else {
            return Err("the base model isn't loaded".to_owned());
        };
        if loaded.adapters.contains_key(&adapter) {
            return Ok(None);
        }
        self.reserve(memory)?;
        if let Some(loaded) = self.models.get_mut(&model) {
            loaded.adapters.insert(adapter.clone(), Adapter { memory, ready: false });
        }
        Ok(Some(BackgroundWork::LoadAdapter { model, adapter, memory }))
    }

    fn unload(&mut self, model: ModelName) -> Option<BackgroundWork> {
        let loaded = self.models.get_mut(&model)?;
        if loaded.state == ModelState::Unloading {
            return None;
        }
        loaded.state = ModelState::Unloading;
        Some(BackgroundWork::Unload { model })
    }

    fn reserve(&self, memory: Mebibytes) -> Result<(), String> {
        let used: Mebibytes = self.models.values().map(Loaded::total_memory).sum();
        if used + memory <= self.settings.memory {
            return Ok(());
        }
        self.census.update(|counts| counts.overcommits += 1);
        Err(format!("out of memory: {used} of {} are taken", self.settings.memory))
    }

    fn record_power_draw(&self) {
        let watts =
            if self.models.is_empty() { self.settings.sleep_watts } else { self.settings.active_watts };
        self.census.record_power_draw(&self.settings.site, &self.settings.id, watts);
    }

    pub(super) fn report(&self) -> Report {
        let watts =
            if self.models.is_empty() { self.settings.sleep_watts } else { self.settings.active_watts };
        Report {
            incarnation: self.incarnation,
            fence: self.fence,
            memory_mib: self.settings.memory,
            watts,
            models: self.models.iter().map(|(name, loaded)| model_report(name, loaded)).collect(),
            settled: self.finished_orders.iter().copied().collect(),
            ..Report::default()
        }
    }

    /// Returns the ready base model that serves a model or adapter name.
    pub(super) fn ready_base(&self, name: &str) -> Option<ModelName> {
        let serves_name = |(base, loaded): &(&ModelName, &Loaded)| {
            let adapter = loaded.adapters.iter().any(|(known, a)| known.as_str() == name && a.ready);
            loaded.state == ModelState::Ready && (base.as_str() == name || adapter)
        };
        self.models.iter().find(serves_name).map(|(base, _)| base.clone())
    }

    pub(super) fn is_ready(&self, name: &str) -> bool {
        self.ready_base(name).is_some()
    }

    pub(super) fn request_started(&mut self, model: &ModelName, prefix: Digest) {
        let Some(loaded) = self.models.get_mut(model) else { return };
        loaded.running += 1;
        if loaded.prefixes.contains(&prefix) {
            return;
        }
        loaded.prefixes.push_back(prefix);
        let evicted =
            if loaded.prefixes.len() > CACHED_PREFIXES { loaded.prefixes.pop_front() } else { None };
        self.record_cache_event(model, prefix, CacheChange::Stored);
        if let Some(evicted) = evicted {
            self.record_cache_event(model, evicted, CacheChange::Removed);
        }
    }

    pub(super) fn request_ended(&mut self, model: &ModelName) {
        if let Some(loaded) = self.models.get_mut(model) {
            loaded.running = loaded.running.saturating_sub(1);
        }
    }

    pub(super) fn cache_events(&self, after: u64) -> CacheEvents {
        let events = self.cache_events.iter().filter(|event| event.number > after).cloned().collect();
        CacheEvents { incarnation: self.incarnation, events, newest: self.last_event }
    }

    fn record_cache_event(&mut self, model: &ModelName, prefix: Digest, change: CacheChange) {
        self.last_event += 1;
        self.cache_events.push_back(CacheEvent {
            number: self.last_event,
            model: model.clone(),
            prefix,
            change,
        });
        self.cache_events.truncate_oldest(MAX_HISTORY);
    }

    fn is_drained(&self, model: &ModelName) -> bool {
        self.models.get(model).is_none_or(|loaded| loaded.running == 0)
    }

    fn remove(&mut self, model: &ModelName) {
        if self.models.remove(model).is_some() {
            self.census.replica_ended(model);
        }
        self.record_power_draw();
    }
}

fn model_report(name: &ModelName, loaded: &Loaded) -> ModelReport {
    let adapter = |(name, adapter): (&AdapterName, &Adapter)| AdapterReport {
        adapter: name.clone(),
        memory_mib: adapter.memory,
        ready: adapter.ready,
    };
    ModelReport {
        model: name.clone(),
        version: loaded.version.clone(),
        state: loaded.state,
        memory_mib: loaded.memory,
        running: loaded.running,
        adapters: loaded.adapters.iter().map(adapter).collect(),
    }
}

/// Completes the work started by an accepted order.
pub(super) async fn run_background_work(shared: Arc<Shared>, work: BackgroundWork) {
    match work {
        BackgroundWork::Load { model, memory } => {
            shared.weights.load(memory.0).await;
            if let Some(loaded) = lock(&shared.memory).models.get_mut(&model)
                && loaded.state == ModelState::Loading
            {
                loaded.state = ModelState::Ready;
            }
        }
        BackgroundWork::LoadAdapter { model, adapter, memory } => {
            shared.weights.load(memory.0).await;
            if let Some(loaded) = lock(&shared.memory).models.get_mut(&model)
                && let Some(adapter) = loaded.adapters.get_mut(&adapter)
            {
                adapter.ready = true;
            }
        }
        BackgroundWork::Unload { model } => {
            while !lock(&shared.memory).is_drained(&model) {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
            sleep(UNLOAD_DURATION).await;
            lock(&shared.memory).remove(&model);
        }
    }
}

/// Removes the oldest entries beyond a length.
trait TruncateOldest {
    fn truncate_oldest(&mut self, len: usize);
}

impl<T> TruncateOldest for VecDeque<T> {
    fn truncate_oldest(&mut self, len: usize) {
        while self.len() > len {
            self.pop_front();
        }
    }
}
