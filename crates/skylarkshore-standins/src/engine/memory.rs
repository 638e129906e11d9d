//! What an engine holds, and the orders that change it.

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

/// How many settled orders and cache events are remembered.
const REMEMBERED: usize = 256;

/// How long an unload takes.
const UNLOAD_TIME: Duration = Duration::from_millis(50);

/// How often an unload looks whether the requests in progress have ended.
const DRAIN_STEP: Duration = Duration::from_millis(10);

/// How many prefixes the cache holds for each model.
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
    fn total(&self) -> Mebibytes {
        self.memory + self.adapters.values().map(|adapter| adapter.memory).sum()
    }
}

/// What is left to do after an order was accepted.
#[derive(Debug)]
pub(super) enum Work {
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
    settled: VecDeque<OrderId>,
    cache_events: VecDeque<CacheEvent>,
    newest_event: u64,
}

impl Memory {
    pub(super) fn new(settings: &EngineSettings, census: Arc<Census>) -> Self {
        census.draws(&settings.site, &settings.id, settings.sleep_watts);
        Self {
            settings: settings.clone(),
            census,
            incarnation: Incarnation(1),
            fence: Fence(0),
            models: BTreeMap::new(),
            settled: VecDeque::new(),
            cache_events: VecDeque::new(),
            newest_event: 0,
        }
    }

    pub(super) fn clear(&mut self) {
        for model in std::mem::take(&mut self.models).keys() {
            self.census.replica_ended(model);
        }
        self.settled.clear();
        self.cache_events.clear();
        self.newest_event = 0;
        self.draw();
    }

    /// Begins the next life; the fence outlives a restart, as real engines keep it outside.
    pub(super) fn begin_life(&mut self) {
        self.incarnation = self.incarnation.next();
    }

    pub(super) fn order(&mut self, req: OrderRequest) -> (OrderReply, Option<Work>) {
        if req.fence < self.fence {
            if self.settings.checks_fences {
                self.census.note(|counts| counts.old_fences_refused += 1);
                return (OrderReply::FenceTooLow { seen: self.fence }, None);
            }
            self.census.note(|counts| counts.old_fences_obeyed += 1);
        }
        if req.fence > self.fence {
            self.fence = req.fence;
            self.settled.clear();
        }
        if req.fence == self.fence {
            self.settled.push_back(req.order);
            self.settled.keep_newest(REMEMBERED);
        }
        match self.act(req.action) {
            Ok(work) => (OrderReply::Accepted(true), work),
            Err(reason) => (OrderReply::Refused(reason), None),
        }
    }

    fn act(&mut self, action: OrderAction) -> Result<Option<Work>, String> {
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
    ) -> Result<Option<Work>, String> {
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
        self.census.replica_begun(&model);
        let loaded = Loaded {
            version,
            state: ModelState::Loading,
            memory,
            running: 0,
            adapters: BTreeMap::new(),
            prefixes: VecDeque::new(),
        };
        self.models.insert(model.clone(), loaded);
        self.draw();
        Ok(Some(Work::Load { model, memory }))
    }

    fn load_adapter(
        &mut self,
        model: ModelName,
        adapter: AdapterName,
        memory: Mebibytes,
    ) -> Result<Option<Work>, String> {
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
        Ok(Some(Work::LoadAdapter { model, adapter, memory }))
    }

    fn unload(&mut self, model: ModelName) -> Option<Work> {
        let loaded = self.models.get_mut(&model)?;
        if loaded.state == ModelState::Unloading {
            return None;
        }
        loaded.state = ModelState::Unloading;
        Some(Work::Unload { model })
    }

    fn reserve(&self, memory: Mebibytes) -> Result<(), String> {
        let used: Mebibytes = self.models.values().map(Loaded::total).sum();
        if used + memory <= self.settings.memory {
            return Ok(());
        }
        self.census.note(|counts| counts.overcommits += 1);
        Err(format!("out of memory: {used} of {} are taken", self.settings.memory))
    }

    fn draw(&self) {
        let watts =
            if self.models.is_empty() { self.settings.sleep_watts } else { self.settings.active_watts };
        self.census.draws(&self.settings.site, &self.settings.id, watts);
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
            settled: self.settled.iter().copied().collect(),
            ..Report::default()
        }
    }

    /// Finds the base model that answers to a name, if it is ready.
    pub(super) fn ready_base(&self, name: &str) -> Option<ModelName> {
        let answers = |(base, loaded): &(&ModelName, &Loaded)| {
            let adapter = loaded.adapters.iter().any(|(known, a)| known.as_str() == name && a.ready);
            loaded.state == ModelState::Ready && (base.as_str() == name || adapter)
        };
        self.models.iter().find(answers).map(|(base, _)| base.clone())
    }

    pub(super) fn is_ready(&self, name: &str) -> bool {
        self.ready_base(name).is_some()
    }

    pub(super) fn request_begun(&mut self, model: &ModelName, prefix: Digest) {
        let Some(loaded) = self.models.get_mut(model) else { return };
        loaded.running += 1;
        if loaded.prefixes.contains(&prefix) {
            return;
        }
        loaded.prefixes.push_back(prefix);
        let evicted =
            if loaded.prefixes.len() > CACHED_PREFIXES { loaded.prefixes.pop_front() } else { None };
        self.note_cache(model, prefix, CacheChange::Stored);
        if let Some(evicted) = evicted {
            self.note_cache(model, evicted, CacheChange::Removed);
        }
    }

    pub(super) fn request_ended(&mut self, model: &ModelName) {
        if let Some(loaded) = self.models.get_mut(model) {
            loaded.running = loaded.running.saturating_sub(1);
        }
    }

    pub(super) fn cache_events(&self, after: u64) -> CacheEvents {
        let events = self.cache_events.iter().filter(|event| event.number > after).cloned().collect();
        CacheEvents { incarnation: self.incarnation, events, newest: self.newest_event }
    }

    fn note_cache(&mut self, model: &ModelName, prefix: Digest, change: CacheChange) {
        self.newest_event += 1;
        self.cache_events.push_back(CacheEvent {
            number: self.newest_event,
            model: model.clone(),
            prefix,
            change,
        });
        self.cache_events.keep_newest(REMEMBERED);
    }

    fn drained(&self, model: &ModelName) -> bool {
        self.models.get(model).is_none_or(|loaded| loaded.running == 0)
    }

    fn remove(&mut self, model: &ModelName) {
        if self.models.remove(model).is_some() {
            self.census.replica_ended(model);
        }
        self.draw();
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

/// Does what an accepted order began.
pub(super) async fn finish(shared: Arc<Shared>, work: Work) {
    match work {
        Work::Load { model, memory } => {
            shared.weights.load(memory.0).await;
            if let Some(loaded) = lock(&shared.memory).models.get_mut(&model)
                && loaded.state == ModelState::Loading
            {
                loaded.state = ModelState::Ready;
            }
        }
        Work::LoadAdapter { model, adapter, memory } => {
            shared.weights.load(memory.0).await;
            if let Some(loaded) = lock(&shared.memory).models.get_mut(&model)
                && let Some(adapter) = loaded.adapters.get_mut(&adapter)
            {
                adapter.ready = true;
            }
        }
        Work::Unload { model } => {
            while !lock(&shared.memory).drained(&model) {
                sleep(DRAIN_STEP).await;
            }
            sleep(UNLOAD_TIME).await;
            lock(&shared.memory).remove(&model);
        }
    }
}

/// Drops the oldest entries beyond a length.
trait KeepNewest {
    fn keep_newest(&mut self, len: usize);
}

impl<T> KeepNewest for VecDeque<T> {
    fn keep_newest(&mut self, len: usize) {
        while self.len() > len {
            self.pop_front();
        }
    }
}
