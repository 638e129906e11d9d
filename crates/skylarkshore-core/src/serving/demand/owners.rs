//! The owners of a model's homes, and the demand that they are sent.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::catalogue::ModelTarget;
use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{HostId, UpstreamId};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;

/// The demand for a target that an owner is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandMessage {
    pub(super) count: u32,
    pub(super) order: ServiceOrder,
    pub(super) max_wait: Duration,
    pub(super) soft_deadline: Option<Duration>,
}

/// Sends an owner the demand for a target.
pub(super) fn send_demand(cx: &mut Cx<'_>, owner: &HostId, target: &ModelTarget, demand: DemandMessage) {
    let message = PeerMessage::Wanted {
        target: target.clone(),
        waiting: demand.count,
        order: demand.order,
        max_wait: demand.max_wait,
        soft_deadline: demand.soft_deadline,
    };
    cx.send(owner, message);
}

/// Returns the owners of a model's homes, each once, in the order in which they are asked.
///
/// For a base model that is the order of the homes. Engines hold only a few adapters at a time,
/// so each adapter has its own order among the homes where its base is `loaded`; otherwise the
/// first home would load and unload adapters in turn while the others have room.
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
