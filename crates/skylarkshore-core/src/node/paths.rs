//! The way to upstreams of everything that a process sends.

use super::Node;
use crate::effect::Effect;
use crate::id::UpstreamId;
use crate::time::Time;
use crate::upstream::Upstream;

impl Node {
    /// Returns an upstream to which this host can relay connections of its peers: one that is listed, that
    /// it reaches directly, and that takes requests from it.
    ///
    /// A host that shuts down opens no more of them: they would end with it.
    pub fn relay_target(&mut self, now: Time, id: &UpstreamId) -> Option<&Upstream> {
        if self.is_leaving() {
            return None;
        }
        let takes_requests =
            self.with_cx(now, &mut Vec::new(), |cx, parts| parts.serving.takes_requests(cx, id));
        self.upstreams.get(id).filter(|_| takes_requests && self.paths.reaches_directly(id))
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
