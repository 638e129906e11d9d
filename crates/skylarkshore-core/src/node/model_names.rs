//! The pools of the models that peers' messages name.
//!
//! A message names a model without its pool where the receiver can tell which one is meant: by the engine
//! that the message is about, or because only one pool lists a model of that name. Processes of earlier
//! versions know no other form.

use super::Node;
use super::homes::pool_of;
use crate::effect::Effect;
use crate::id::{ModelName, UpstreamId};
use crate::peer::PeerMessage;

impl Node {
    /// Adds the pools to the models that a peer's message names.
    pub(super) fn add_pools(&self, message: &mut PeerMessage) {
        match message {
            PeerMessage::View(view) => {
                for held in &mut view.models {
                    self.add_pool(&mut held.model, Some(&view.upstream));
                }
            }
            PeerMessage::LoadSlotWanted { upstream, model, .. }
            | PeerMessage::LoadSlotQueued { upstream, model, .. }
            | PeerMessage::LoadSlotGranted { upstream, model }
            | PeerMessage::LoadSlotReturned { upstream, model }
            | PeerMessage::LoadSlotHeld { upstream, model } => self.add_pool(model, Some(upstream)),
            PeerMessage::Wanted { target, .. }
            | PeerMessage::Used { target, .. }
            | PeerMessage::CannotLoad { target, .. } => self.add_pool(&mut target.model, None),
            _ => {}
        }
    }

    /// Adds the pool of the engine on which a model is, or that of the only model of its name.
    fn add_pool(&self, model: &mut ModelName, engine: Option<&UpstreamId>) {
        let catalogue = &self.document.catalogue;
        if model.pool().is_some() || catalogue.models.contains_key(model) {
            return;
        }
        let found = match engine {
            // What an engine holds is of its own pool, even where only another one lists the name.
            Some(engine) => pool_of(&self.upstreams, engine).map(|pool| model.in_pool(&pool)),
            None => catalogue.only_namesake(model).cloned(),
        };
        if let Some(found) = found {
            *model = found;
        }
    }

    /// Removes the pools that receivers can tell by themselves from the messages to peers.
    pub(super) fn remove_pools(&self, effects: &mut [Effect]) {
        let catalogue = &self.document.catalogue;
        for effect in effects {
            if let Effect::Peer(envelope) = effect
                && let PeerMessage::Wanted { target, .. }
                | PeerMessage::Used { target, .. }
                | PeerMessage::CannotLoad { target, .. } = &mut envelope.message
                && catalogue.only_namesake(&target.model) == Some(&target.model)
            {
                target.model = target.model.without_pool();
            }
        }
    }
}
