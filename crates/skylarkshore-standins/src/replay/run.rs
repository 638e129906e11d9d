//! Replays a trace under one policy.

use std::time::Duration;

use derive_more::{Display, Error};
use skylarkshore_core::catalogue::{Catalogue, ModelTarget};
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::id::Digest;
use skylarkshore_core::time::Time;

use super::deployment::Deployment;
use super::outcome::Outcome;
use super::policy::Policy;
use super::trace::{Entry, RequestTarget, Trace};
use crate::world::{Ask, Framing, NoFaults, Violation, World};

/// The time for the processes to acquire ownership of the engines before the trace starts.
const WARM_UP: Duration = Duration::from_mins(1);
/// How long the replay waits for open requests after the end of the trace.
const DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// A replay that violated an invariant.
#[derive(Debug, Display, Error)]
#[display(
    "policy {policy} violated an invariant, first at {}: {}; \
     its results are invalid, fix the core first",
    first.at,
    first.what
)]
pub struct InvariantViolated {
    policy: Policy,
    #[error(not(source))]
    first: Violation,
}

/// Replays a trace under a policy.
///
/// # Errors
///
/// Returns the first invariant violation, if there is one.
pub fn replay(trace: &Trace, deployment: &Deployment, policy: Policy) -> Result<Outcome, InvariantViolated> {
    let document = policy.apply(&deployment.document);
    let mut world = World::new(deployment.setup(document, trace.seed), Box::new(NoFaults));
    world.run_for(WARM_UP);
    let begin = world.now();
    let idle_before = world.idle();
    let catalogue = &deployment.document.catalogue;
    for entry in &trace.entries {
        world.run_until(begin.after(entry.at));
        if let Some(ask) = to_ask(catalogue, entry) {
            world.ask(entry.host - 1, &ask);
        }
    }
    world.run_until(begin.after(trace.span));
    let idle = world.idle().saturating_sub(idle_before);
    let loads = world.engines.values().map(|engine| engine.loads).sum();
    drain(&mut world, begin.after(trace.span));
    world.finish();
    if let Some(first) = world.checks.violations.first() {
        return Err(InvariantViolated { policy, first: first.clone() });
    }
    Ok(Outcome::new(policy, &world, &deployment.document.rules, idle, loads))
}

fn drain(world: &mut World, end: Time) {
    let open = |world: &World| world.callers.requests.values().any(|log| log.ended.is_none());
    while open(world) && world.now() < end.after(DRAIN_LIMIT) {
        world.run_for(Duration::from_secs(1));
    }
}

fn to_ask(catalogue: &Catalogue, entry: &Entry) -> Option<Ask> {
    let (target, repeat, digest) = match &entry.target {
        RequestTarget::Model(name) => {
            let target: ModelTarget = catalogue.resolve(name)?;
            (Target::Model(target), Repeat::Allowed, entry.line as u64)
        }
        RequestTarget::Service(service) => {
            (Target::Service(service.clone()), Repeat::Allowed, entry.line as u64)
        }
        RequestTarget::Once { service, key } => {
            (Target::Service(service.clone()), Repeat::Once { key: to_digest(*key) }, *key)
        }
    };
    Some(Ask {
        caller: entry.caller.clone(),
        target,
        repeat,
        digest: to_digest(digest),
        parts: Vec::new(),
        prefix: None,
        timeout: entry.timeout,
        run_time: entry.run,
        crashes: false,
        silences: false,
        framing: Framing::Framed,
        is_repeat: false,
        stream: None,
    })
}

fn to_digest(number: u64) -> Digest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Digest(bytes)
}
