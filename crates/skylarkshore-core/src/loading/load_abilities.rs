//! Which of the engines owned by this process are able to load models. See [`LoadAbilities`].

use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{ModelName, UpstreamId};
use crate::loading::engine::Engine;
use crate::store::HomesRecord;

/// Whether an engine can load, as of its last update.
#[derive(Debug, Default)]
struct LoadAbility {
    is_able: bool,
    memory_blocked: OrderedSet<ModelName>,
}

/// Load ability of all owned engines, for decisions on any one of them.
#[derive(Debug, Default)]
pub(crate) struct LoadAbilities {
    engines: OrderedMap<UpstreamId, LoadAbility>,
}

impl LoadAbilities {
    /// Updates the load ability of an engine.
    pub(crate) fn update(&mut self, cx: &Cx<'_>, engine: &Engine) {
        let is_able = engine.report().is_some()
            && !engine.is_silent(cx.now, cx.cfg.timings.engine_timeout)
            && !engine.is_leaving()
            && engine.power_shortfall.is_none();
        let ability = LoadAbility { is_able, memory_blocked: engine.memory_blocked.clone() };
        self.engines.insert(engine.id.clone(), ability);
    }

    /// Removes an engine that this process no longer owns.
    pub(crate) fn remove(&mut self, engine: &UpstreamId) {
        self.engines.remove(engine);
    }

    /// Returns how many homes of a model that this process owns and that can load the
    /// model come before the engine.
    ///
    /// The engine loads the model if fewer come before it than replicas are needed.
    /// Homes of other owners do not count, because routers ask one owner after the
    /// other.
    pub(crate) fn homes_before(&self, engine: &UpstreamId, model: &ModelName, homes: &HomesRecord) -> u32 {
        let before = homes.engines.iter().take_while(|home| *home != engine);
        let able = before.filter(|home| {
            self.engines.get(*home).is_some_and(|home| home.is_able && !home.memory_blocked.contains(model))
        });
        u32::try_from(able.count()).unwrap_or(u32::MAX)
    }
}
