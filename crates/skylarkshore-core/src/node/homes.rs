//! The models to which the records of homes belong.

use super::Node;
use crate::effect::Effect;
use crate::id::{ModelName, ServiceName, UpstreamId};
use crate::store::{HomesContext, Key};
use crate::time::Time;
use crate::upstream::UpstreamList;

impl Node {
    /// Handles a change of the homes under a key.
    pub(super) fn assign_homes(&mut self, now: Time, named: &ModelName, effects: &mut Vec<Effect>) {
        let pool_of = |engine: &UpstreamId| pool_of(&self.upstreams, engine);
        let context = HomesContext { catalogue: &self.document.catalogue, pool_of: &pool_of };
        let models = self.cache.assign_homes(context, named);
        self.notify_homes(now, models, effects);
    }

    /// Handles a change of the catalogue, or of the pools of engines.
    pub(super) fn assign_all_homes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let pool_of = |engine: &UpstreamId| pool_of(&self.upstreams, engine);
        let context = HomesContext { catalogue: &self.document.catalogue, pool_of: &pool_of };
        let models = self.cache.assign_all_homes(context);
        self.notify_homes(now, models, effects);
    }

    fn notify_homes(&mut self, now: Time, models: Vec<ModelName>, effects: &mut Vec<Effect>) {
        for model in models {
            self.notify_key(now, &Key::Homes(model), effects);
        }
    }
}

/// Returns the pool of a listed engine.
pub(super) fn pool_of(upstreams: &UpstreamList, engine: &UpstreamId) -> Option<ServiceName> {
    upstreams.get(engine)?.engine()?.pool.clone()
}
