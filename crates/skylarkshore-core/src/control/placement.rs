//! Choice of the engine for a model's next home.
//!
//! Start reading at [`Placement`].

use std::cmp::Reverse;

use super::hashing::{name_hash, pair_weight};
use super::inventory::{EngineInventory, KnownEngine};
use crate::catalogue::Document;
use crate::collections::HashMap;
use crate::cx::Cx;
use crate::id::{ModelName, UpstreamId};
use crate::store::StoreCache;
use crate::units::Mebibytes;
use crate::upstream::{Upstream, UpstreamList};

/// Number of candidates, by hash weight, from which the least loaded engine is chosen.
///
/// Processes that place different models at the same time do not see each other's
/// choices. If all took the least loaded engine, all would choose the same one.
const CANDIDATE_COUNT: usize = 3;

/// Resolution of the memory load of an engine; loads that differ by less compare as equal.
const LOAD_RESOLUTION: u64 = 1000;

/// The memory that homes take on each engine, including those placed in this review.
#[derive(Debug)]
pub(super) struct Placement<'a> {
    document: &'a Document,
    cache: &'a StoreCache,
    upstreams: &'a UpstreamList,
    inventory: &'a EngineInventory,
    /// Built for the first model that needs it; most reviews place none.
    table: Option<PlacementTable<'a>>,
}

impl<'a> Placement<'a> {
    pub(super) fn new(cx: &Cx<'a>, inventory: &'a EngineInventory) -> Self {
        Self { document: cx.document, cache: cx.cache, upstreams: cx.upstreams, inventory, table: None }
    }

    /// Returns how many live engines have the model loaded.
    pub(super) fn holders(&mut self, model: &ModelName) -> usize {
        self.table().engines_with(model).iter().filter(|entry| entry.residency == Residency::Held).count()
    }

    /// Chooses an engine that is not a home of the model yet, and adds the model's footprint to it.
    ///
    /// An owner knows only the memory of its own engines. Without `evicted_from`, two
    /// owners of full engines would move a model back and forth while other engines are
    /// empty, and its callers would be refused all that time. Engines that evicted the
    /// model for lack of memory therefore come last, the least recent one first.
    pub(super) fn place(
        &mut self,
        model: &ModelName,
        homes: &[UpstreamId],
        evicted_from: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let known = self.document.catalogue.models.get(model)?;
        let footprint = known.footprint();
        let inventory = self.inventory;
        let other_homes: Vec<&KnownEngine> = homes.iter().filter_map(|home| inventory.get(home)).collect();
        let key = name_hash(model.as_str());
        let table = self.table();
        let candidate = |index: usize, residency: Residency| {
            let live = &table.engines[index];
            let engine = live.known;
            let fits = engine.memory >= footprint && (known.pool.is_none() || engine.pool == known.pool);
            if !fits || homes.contains(live.id) {
                return None;
            }
            Some(Candidate {
                index,
                residency,
                evicted_from: evicted_from.iter().rposition(|known| known == live.id),
                shares_data_centre: other_homes.iter().any(|home| home.data_centre == engine.data_centre),
                weight: Reverse(pair_weight(key, live.hash)),
            })
        };
        let mut best = BestCandidates::default();
        let with_model = table.engines_with(model);
        for entry in with_model {
            if let Some(found) = candidate(entry.index, entry.residency) {
                best.offer(found);
            }
        }
        // Engines that have the model loaded or have a copy are preferred to all others.
        if !best.is_full() {
            let is_with_model =
                |index: &usize| with_model.binary_search_by_key(index, |entry| entry.index).is_ok();
            for index in (0..table.engines.len()).filter(|index| !is_with_model(index)) {
                if let Some(found) = candidate(index, Residency::Absent) {
                    best.offer(found);
                }
            }
        }
        let load = |c: &Candidate| table.engines[c.index].load_with(footprint);
        let chosen =
            best.into_iter().min_by_key(|c| (c.residency, c.evicted_from, c.shares_data_centre, load(c)))?;
        let live = &mut table.engines[chosen.index];
        live.load += footprint;
        Some(live.id.clone())
    }

    fn table(&mut self) -> &mut PlacementTable<'a> {
        let (document, cache, upstreams, inventory) =
            (self.document, self.cache, self.upstreams, self.inventory);
        self.table.get_or_insert_with(|| PlacementTable::new(document, cache, upstreams, inventory))
    }
}

/// A live engine with the footprint of all its homes.
#[derive(Debug)]
struct LiveEngine<'a> {
    id: &'a UpstreamId,
    known: &'a KnownEngine,
    hash: u64,
    load: Mebibytes,
}

impl LiveEngine<'_> {
    /// Returns the fraction of the memory that is taken with `footprint` added.
    fn load_with(&self, footprint: Mebibytes) -> u64 {
        let load = self.load + footprint;
        load.0.saturating_mul(LOAD_RESOLUTION) / self.known.memory.0.max(1)
    }
}

/// An engine that has a model loaded or has a copy of its weights.
#[derive(Clone, Copy, Debug)]
struct EngineWithModel {
    index: usize,
    residency: Residency,
}

/// The live engines, indexed by the models that they have.
#[derive(Debug)]
struct PlacementTable<'a> {
    engines: Vec<LiveEngine<'a>>,
    /// For each model, the engines that have it, in ascending order of their indexes.
    by_model: HashMap<&'a ModelName, Vec<EngineWithModel>>,
}

impl<'a> PlacementTable<'a> {
    fn new(
        document: &Document,
        cache: &StoreCache,
        upstreams: &'a UpstreamList,
        inventory: &'a EngineInventory,
    ) -> Self {
        let loads = loads(document, cache);
        let mut table = Self { engines: Vec::new(), by_model: HashMap::default() };
        for (id, known) in inventory.iter().filter(|(_, known)| known.is_live()) {
            let index = table.engines.len();
            let load = loads.get(id).copied().unwrap_or_default();
            table.engines.push(LiveEngine { id, known, hash: name_hash(id.as_str()), load });
            if let Some(upstream) = upstreams.get(id) {
                table.index_models(index, upstream);
            }
        }
        table
    }

    fn index_models(&mut self, index: usize, upstream: &'a Upstream) {
        let held = upstream.holds.iter().map(|model| (model, Residency::Held));
        let copies = upstream.copies.in_memory.iter().chain(&upstream.copies.on_disk);
        for (model, residency) in held.chain(copies.map(|model| (model, Residency::Copied))) {
            let entries = self.by_model.entry(model).or_default();
            // Loaded models come first, so a copy on the same engine adds no entry.
            if entries.last().is_none_or(|last| last.index != index) {
                entries.push(EngineWithModel { index, residency });
            }
        }
    }

    fn engines_with(&self, model: &ModelName) -> &[EngineWithModel] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }
}

/// Returns the total footprint of the homes on each engine.
fn loads<'a>(document: &Document, cache: &'a StoreCache) -> HashMap<&'a UpstreamId, Mebibytes> {
    let mut loads: HashMap<&UpstreamId, Mebibytes> = HashMap::default();
    for (model, homes) in cache.all_homes() {
        let Some(model) = document.catalogue.models.get(model) else { continue };
        for engine in &homes.engines {
            *loads.entry(engine).or_default() += model.footprint();
        }
    }
    loads
}

/// How much of a model an engine already has, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Residency {
    /// The model is loaded.
    Held,
    /// A copy of the weights is in memory or on disk.
    Copied,
    Absent,
}

/// A possible choice; the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    residency: Residency,
    /// Its position in `evicted_from`.
    evicted_from: Option<usize>,
    shares_data_centre: bool,
    weight: Reverse<u64>,
    index: usize,
}

/// The preferred candidates in ascending order.
#[derive(Debug, Default)]
struct BestCandidates {
    candidates: [Option<Candidate>; CANDIDATE_COUNT],
}

impl BestCandidates {
    /// Inserts a candidate if it is among the preferred ones.
    fn offer(&mut self, candidate: Candidate) {
        let mut offered = candidate;
        for kept in &mut self.candidates {
            match kept {
                Some(kept) if *kept < offered => {}
                Some(kept) => std::mem::swap(kept, &mut offered),
                None => {
                    *kept = Some(offered);
                    return;
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.candidates.iter().all(Option::is_some)
    }

    fn into_iter(self) -> impl Iterator<Item = Candidate> {
        self.candidates.into_iter().flatten()
    }
}
