//! The owners of a model's homes, and the demand that they are sent.

use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::catalogue::ModelTarget;
use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{HostId, ModelName, UpstreamId};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::serving::expected_retries::ExpectedRetries;

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
        refused: false,
    };
    cx.send(owner, message);
}

/// Reports refused callers, who are expected to retry, to an owner.
pub(super) fn send_expected_retries(
    cx: &mut Cx<'_>,
    owner: &HostId,
    target: &ModelTarget,
    retries: ExpectedRetries,
) {
    let message = PeerMessage::Wanted {
        target: target.clone(),
        waiting: retries.count,
        order: retries.order,
        max_wait: retries.until.remaining(cx.now),
        soft_deadline: None,
        refused: true,
    };
    cx.send(owner, message);
}

/// Returns the owner of a model's first home, whatever adapter is requested.
pub(super) fn first_owner(cx: &Cx<'_>, model: &ModelName) -> Option<HostId> {
    let (_, homes) = cx.cache.homes(model)?;
    let owners = homes.engines.iter().filter_map(|engine| cx.cache.owner(engine));
    owners.map(|(_, owner)| owner.host.clone()).next()
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
