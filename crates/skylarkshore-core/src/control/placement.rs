//! On which engine a model gets its next home.

use super::hashing::{name_hash, pair_weight};
use super::roster::{KnownEngine, Roster};
use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::{ModelName, UpstreamId};
use crate::units::Mebibytes;

/// From how many engines that the hash prefers the least loaded one is taken.
///
/// Processes that place different models at the same moment don't see each
/// other's choices. If all took the least loaded engine, all would take the
/// same one.
const CHOICES: usize = 3;

/// Load shares are compared in these parts of an engine's memory.
const LOAD_PARTS: u64 = 1000;

/// How the models' homes lie on the engines' memory.
#[derive(Debug)]
pub(super) struct Placement<'a> {
    roster: &'a Roster,
    load: OrderedMap<UpstreamId, Mebibytes>,
}

impl<'a> Placement<'a> {
    /// Adds up the footprints of all homes.
    pub(super) fn new(cx: &Cx<'_>, roster: &'a Roster) -> Self {
        let mut load: OrderedMap<UpstreamId, Mebibytes> = OrderedMap::new();
        for (model, homes) in cx.cache.all_homes() {
            let Some(model) = cx.document.catalogue.models.get(model) else { continue };
            for engine in &homes.engines {
                *load.entry(engine.clone()).or_default() += model.footprint();
            }
        }
        Self { roster, load }
    }

    /// Returns how many live engines hold a model.
    pub(super) fn holders(&self, cx: &Cx<'_>, model: &ModelName) -> usize {
        let live = self.roster.iter().filter(|(_, engine)| engine.is_live());
        live.filter(|(id, _)| Nearness::of(cx, id, model) == Nearness::Held).count()
    }

    /// Chooses an engine that isn't a home of the model yet, and counts the model there.
    ///
    /// An owner knows the memory of its own engines alone. Without `left`, two
    /// owners of full engines would hand a model to and fro while others stand
    /// empty, and its callers would be refused for as long; so the engines that
    /// it left for want of memory come last, the one left longest ago first.
    pub(super) fn place(
        &mut self,
        cx: &Cx<'_>,
        model: &ModelName,
        homes: &[UpstreamId],
        left: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let known = cx.document.catalogue.models.get(model)?;
        let footprint = known.footprint();
        let near: Vec<&KnownEngine> = homes.iter().filter_map(|home| self.roster.get(home)).collect();
        let key = name_hash(model.as_str());
        let mut candidates: Vec<Candidate<'_>> = self
            .roster
            .iter()
            .filter(|(id, engine)| engine.is_live() && engine.memory >= footprint && !homes.contains(id))
            .filter(|(_, engine)| known.pool.is_none() || engine.pool == known.pool)
            .map(|(id, engine)| Candidate {
                id,
                nearness: Nearness::of(cx, id, model),
                left: left.iter().rposition(|known| known == id),
                shares_data_centre: near.iter().any(|home| home.data_centre == engine.data_centre),
                weight: pair_weight(key, name_hash(id.as_str())),
                load: self.load_with(id, engine, footprint),
            })
            .collect();
        candidates.sort_by_key(|c| (c.nearness, c.left, c.shares_data_centre, std::cmp::Reverse(c.weight)));
        let best = candidates
            .iter()
            .take(CHOICES)
            .min_by_key(|c| (c.nearness, c.left, c.shares_data_centre, c.load))?;
        let chosen = best.id.clone();
        *self.load.entry(chosen.clone()).or_default() += footprint;
        Some(chosen)
    }

    fn load_with(&self, id: &UpstreamId, engine: &KnownEngine, footprint: Mebibytes) -> u64 {
        let load = self.load.get(id).copied().unwrap_or_default() + footprint;
        load.0.saturating_mul(LOAD_PARTS) / engine.memory.0.max(1)
    }
}

/// How far an engine has come with a model already; the first is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    /// It holds it.
    Held,
    /// It keeps a copy of the weights.
    Copied,
    /// It has nothing of it.
    Nothing,
}

impl Nearness {
    fn of(cx: &Cx<'_>, engine: &UpstreamId, model: &ModelName) -> Self {
        let Some(upstream) = cx.upstreams.get(engine) else { return Self::Nothing };
        if upstream.holds.contains(model) {
            return Self::Held;
        }
        if upstream.copies.has(model) { Self::Copied } else { Self::Nothing }
    }
}

struct Candidate<'a> {
    id: &'a UpstreamId,
    nearness: Nearness,
    /// Its place among the engines that the model left.
    left: Option<usize>,
    shares_data_centre: bool,
    weight: u64,
    load: u64,
}
