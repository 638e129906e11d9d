//! The owners of a model's homes, and what they are told.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::catalogue::ModelTarget;
use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{HostId, UpstreamId};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;

/// What an owner is told of the requests for a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub(super) count: u32,
    pub(super) order: ServiceOrder,
    pub(super) patience: Duration,
    pub(super) aim: Option<Duration>,
}

/// Tells an owner of the requests for a target.
pub(super) fn tell(cx: &mut Cx<'_>, owner: &HostId, target: &ModelTarget, ask: Ask) {
    let message = PeerMessage::Wanted {
        target: target.clone(),
        waiting: ask.count,
        order: ask.order,
        max_wait: ask.patience,
        soft_deadline: ask.aim,
    };
    cx.send(owner, message);
}

/// Returns the owners of a model's homes, each once, in the order in which they are asked.
///
/// That is the order of the homes for a base model. Engines hold only a few
/// adapters at a time, so each adapter has an order of its own among the homes
/// where its base is `loaded`; else the first home would load and unload them in
/// turn while the others have room.
pub(super) fn owners(cx: &Cx<'_>, target: &ModelTarget, loaded: &OrderedSet<UpstreamId>) -> Vec<HostId> {
    let mut owners = Vec::new();
    let Some((_, homes)) = cx.cache.homes(&target.model) else { return owners };
    let mut engines: Vec<&UpstreamId> = homes.engines.iter().collect();
    if let Some(adapter) = &target.adapter {
        engines.sort_by_key(|engine| {
            let own = FixedState::default().hash_one((adapter.as_str(), engine.as_str()));
            (!loaded.contains(*engine), own)
        });
    }
    for engine in engines {
        let Some((_, owner)) = cx.cache.owner(engine) else { continue };
        if !owners.contains(&owner.host) {
            owners.push(owner.host.clone());
        }
    }
    owners
}
