//! The retry budget that all hosts share, as the upstreams count it.

use std::time::Duration;

use skylarkshore_core::config::RetryLimits;
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{Ask, NoFaults, Setup, World};

use crate::support::{ask_once, assert_sound, at_secs, name, setup, upstream, world};

const HOSTS: usize = 3;
const REPLICAS: usize = 12;
/// When requests start; all hosts have registered by then.
const BEGIN_SECS: u64 = 10;
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Returns a setup whose hosts share a budget like that of the users' sites.
fn shared_budget_setup(seed: u64) -> Setup {
    let mut setup = setup(HOSTS, seed);
    let replica = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
    setup.upstreams.extend((2..REPLICAS).map(replica));
    setup.limits.attempts = 4;
    setup.limits.retries = RetryLimits::Shared { percent: 20, slack: 30, window: Duration::from_secs(10) };
    setup
}

/// Sends requests that may be repeated to all hosts in turn.
fn ask_in_turn(world: &mut World, until: u64) {
    let first = world.callers.requests.len() as u64;
    for number in first.. {
        if world.now() >= at_secs(until) {
            return;
        }
        let host = usize::try_from(number).expect("the number is small") % HOSTS;
        let ask = Ask {
            target: Target::Service(name("market")),
            repeat: Repeat::Allowed,
            timeout: Duration::from_secs(3),
            ..ask_once(number, number)
        };
        world.ask(host, &ask);
        world.run_for(REQUEST_INTERVAL);
    }
}

fn overload_all_replicas(world: &mut World) {
    for replica in 0..REPLICAS {
        world.set_overloaded(&name(&format!("market-{replica}")), true);
    }
}

/// Guards against processes that forget the retries of their predecessors, while replicas are overloaded.
#[test]
fn retries_keep_to_the_budget_while_hosts_are_killed_again_and_again() {
    for seed in 1..=4 {
        let mut world = world(shared_budget_setup(seed), NoFaults);
        world.run_until(at_secs(BEGIN_SECS));
        ask_in_turn(&mut world, BEGIN_SECS + 5);
        overload_all_replicas(&mut world);
        for second in (16..=36).step_by(5) {
            ask_in_turn(&mut world, second);
            for host in 0..HOSTS {
                world.kill(host);
            }
        }
        ask_in_turn(&mut world, 50);
        world.run_for(Duration::from_secs(5));
        assert_sound(&mut world, HOSTS);
    }
}

/// Guards against a start of all hosts at which each counts itself as the only one.
#[test]
fn retries_keep_to_the_budget_when_all_hosts_start_while_replicas_are_overloaded() {
    let mut world = world(shared_budget_setup(1), NoFaults);
    overload_all_replicas(&mut world);
    ask_in_turn(&mut world, 14);
    world.run_for(Duration::from_secs(5));
    assert_sound(&mut world, HOSTS);
}
