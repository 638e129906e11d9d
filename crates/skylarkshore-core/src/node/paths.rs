//! The way to upstreams of everything that a process sends.

use super::Node;
use crate::effect::Effect;
use crate::id::UpstreamId;
use crate::time::Time;
use crate::upstream::Upstream;

impl Node {
    /// Returns an upstream to which this host can relay connections of its peers: one that is listed and
    /// that it reaches directly.
    pub fn relay_target(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id).filter(|_| self.paths.reaches_directly(id))
    }

    /// Chooses the way of all effects that concern upstreams.
    pub(super) fn choose_paths(&mut self, now: Time, mut effects: Vec<Effect>) -> Vec<Effect> {
        self.with_cx(now, &mut Vec::new(), |cx, parts| {
            for effect in &mut effects {
                parts.paths.route(cx, effect);
            }
        });
        effects
    }
}
