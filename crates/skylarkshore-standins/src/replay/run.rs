//! One replay of a trace under one policy.

use std::time::Duration;

use derive_more::{Display, Error};
use skylarkshore_core::catalogue::{Catalogue, ModelTarget};
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::id::Digest;
use skylarkshore_core::time::Time;

use super::deployment::Deployment;
use super::outcome::Outcome;
use super::policy::Policy;
use super::trace::{Entry, Trace, Wanted};
use crate::world::{Ask, NoFaults, Violation, World};

/// How long the processes get to share out the engines before the trace begins.
const WARM_UP: Duration = Duration::from_mins(1);
/// How long after the trace's end the last answers may come.
const RUN_OUT: Duration = Duration::from_mins(30);

/// A replay in which something happened that must never happen.
#[derive(Debug, Display, Error)]
#[display(
    "under {policy}, something happened that must never happen, first at {}: {}; \
     its figures mean nothing, mend the core first",
    first.at,
    first.what
)]
pub struct NotSound {
    policy: Policy,
    #[error(not(source))]
    first: Violation,
}

/// Replays a trace under a policy.
///
/// # Errors
///
/// Tells what was violated, if anything was.
pub fn replay(trace: &Trace, deployment: &Deployment, policy: Policy) -> Result<Outcome, NotSound> {
    let document = policy.apply(&deployment.document);
    let mut world = World::new(deployment.setup(document, trace.seed), Box::new(NoFaults));
    world.run_for(WARM_UP);
    let begin = world.now();
    let idle_before = world.idle();
    let catalogue = &deployment.document.catalogue;
    for entry in &trace.entries {
        world.run_until(begin.after(entry.at));
        if let Some(ask) = ask(catalogue, entry) {
            world.ask(entry.host - 1, &ask);
        }
    }
    world.run_until(begin.after(trace.span));
    let idle = world.idle().saturating_sub(idle_before);
    let loads = world.engines.values().map(|engine| engine.loads).sum();
    run_out(&mut world, begin.after(trace.span));
    world.finish();
    if let Some(first) = world.checks.violations.first() {
        return Err(NotSound { policy, first: first.clone() });
    }
    Ok(Outcome::new(policy, &world, &deployment.document.rules, idle, loads))
}

fn run_out(world: &mut World, end: Time) {
    let open = |world: &World| world.callers.requests.values().any(|log| log.ended.is_none());
    while open(world) && world.now() < end.after(RUN_OUT) {
        world.run_for(Duration::from_secs(1));
    }
}

fn ask(catalogue: &Catalogue, entry: &Entry) -> Option<Ask> {
    let (target, repeat, digest) = match &entry.wanted {
        Wanted::Model(name) => {
            let target: ModelTarget = catalogue.resolve(name)?;
            (Target::Model(target), Repeat::Allowed, entry.line as u64)
        }
        Wanted::Service(service) => (Target::Service(service.clone()), Repeat::Allowed, entry.line as u64),
        Wanted::Once { service, key } => {
            (Target::Service(service.clone()), Repeat::Once { key: number(*key) }, *key)
        }
    };
    Some(Ask {
        caller: entry.caller.clone(),
        target,
        repeat,
        digest: number(digest),
        prefix: None,
        timeout: entry.timeout,
        run_time: entry.run,
        crashes: false,
    })
}

fn number(number: u64) -> Digest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Digest(bytes)
}
