//! Which of the process's own engines can serve those who wait.

use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{ModelName, UpstreamId};
use crate::loading::engine::Engine;
use crate::store::HomesRecord;

/// An engine's use for loads, as last looked at.
#[derive(Debug, Default)]
struct LoadAbility {
    is_able: bool,
    memory_blocked: OrderedSet<ModelName>,
}

/// The process's engines, as far as decisions on other ones need them.
#[derive(Debug, Default)]
pub(crate) struct OwnedEngines {
    engines: OrderedMap<UpstreamId, LoadAbility>,
}

impl OwnedEngines {
    /// Takes note of how an engine stands.
    pub(crate) fn update(&mut self, cx: &Cx<'_>, engine: &Engine) {
        let is_able = engine.report().is_some()
            && !engine.is_silent(cx.now, cx.cfg.timings.engine_timeout)
            && !engine.is_leaving()
            && engine.lacks.is_none();
        let ability = LoadAbility { is_able, memory_blocked: engine.memory_blocked.clone() };
        self.engines.insert(engine.id.clone(), ability);
    }

    /// Forgets an engine that the process owns no longer.
    pub(crate) fn remove(&mut self, engine: &UpstreamId) {
        self.engines.remove(engine);
    }

    /// Returns an engine's place among the process's own homes of a model that can load it.
    ///
    /// Routers ask one owner after the other, so that other owners' homes don't
    /// count; but an owner of several homes of a model begins with one of them.
    pub(crate) fn position(&self, engine: &UpstreamId, model: &ModelName, homes: &HomesRecord) -> u32 {
        let before = homes.engines.iter().take_while(|home| *home != engine);
        let able = before.filter(|home| {
            self.engines.get(*home).is_some_and(|home| home.is_able && !home.memory_blocked.contains(model))
        });
        u32::try_from(able.count()).unwrap_or(u32::MAX)
    }
}
