//! Requests that end the replicas that run them, and come again at any host.

use std::time::Duration;

use skylarkshore_core::config::SuspectPolicy;
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{Ask, NoFaults, RequestKey, Setup, World};

use crate::support::{ask_once, assert_sound, at_secs, digest, name, setup, upstream, world};

const HOSTS: usize = 3;
const REPLICAS: usize = 24;
/// When requests start; all hosts have registered by then.
const BEGIN_SECS: u64 = 10;
const END_SECS: u64 = 50;
/// How long the host list names a replica that has ended: three heartbeats.
const LISTING_LAG: Duration = Duration::from_millis(3600);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// One in so many requests is the one that ends replicas.
const CRASHING_EVERY: u64 = 5;
/// The digest of the request that ends replicas.
const CRASHING: u64 = 666;
/// How many replicas it may end; it may reach as many more until all hosts know.
const CRASHES: usize = 3;
/// How long its callers wait for a silent replica.
const WAIT: Duration = Duration::from_millis(900);

/// Returns a setup with services like those of the users' sites.
fn crash_setup(seed: u64) -> Setup {
    let mut setup = setup(HOSTS, seed);
    let replica = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
    setup.upstreams.extend((2..REPLICAS).map(replica));
    setup.limits.attempts = 2;
    setup.limits.suspects = SuspectPolicy::CountEnds;
    setup
}

fn ask_service(number: u64) -> Ask {
    Ask {
        target: Target::Service(name("market")),
        repeat: Repeat::Allowed,
        timeout: Duration::from_secs(4),
        ..ask_once(number, number)
    }
}

/// Sends requests to all hosts in turn, some of them `harmful`; callers leave that have waited too long.
fn ask_in_turn(world: &mut World, harmful: &Ask, mut at_second: impl FnMut(&mut World, u64)) {
    let mut waiting: Vec<(RequestKey, Time)> = Vec::new();
    let mut second = BEGIN_SECS;
    for number in 1000.. {
        if world.now() >= at_secs(END_SECS) {
            return;
        }
        while world.now() >= at_secs(second) {
            at_second(world, second);
            second += 1;
        }
        let host = usize::try_from(number).expect("the number is small") % HOSTS;
        if number % CRASHING_EVERY == 0 {
            let key = world.ask(host, harmful);
            waiting.push((key, world.now().after(WAIT)));
        } else {
            world.ask(host, &ask_service(number));
        }
        let now = world.now();
        for (key, _) in waiting.extract_if(.., |(_, until)| until.is_due(now)) {
            world.leave(key.host, &key);
        }
        world.run_for(REQUEST_INTERVAL);
    }
}

/// Plays a world; returns how many replicas the request has ended.
fn play(seed: u64, harmful: &Ask, at_second: impl FnMut(&mut World, u64)) -> usize {
    let mut world = world(crash_setup(seed), NoFaults);
    world.list_terminations(LISTING_LAG);
    world.run_until(at_secs(BEGIN_SECS));
    ask_in_turn(&mut world, harmful, at_second);
    world.run_for(Duration::from_secs(5));
    let crashes = world.crashes(digest(CRASHING));
    assert!(crashes > 0, "the request ended no replica");
    assert_sound(&mut world, HOSTS);
    crashes
}

fn crashing() -> Ask {
    Ask { crashes: true, ..ask_service(CRASHING) }
}

fn silencing() -> Ask {
    Ask { silences: true, ..ask_service(CRASHING) }
}

/// Guards against a request that is sent on for as long as the host list still names the replicas that it
/// crashed.
#[test]
fn a_request_that_crashed_three_replicas_is_not_sent_on_while_the_list_names_them() {
    for seed in 1..=4 {
        play(seed, &crashing(), |_, _| {});
    }
}

/// Guards against losses that aren't counted because the caller leaves a silent replica, or its time is
/// over, before the replica ends.
#[test]
fn a_request_under_which_replicas_fall_silent_is_refused_although_its_callers_leave() {
    for seed in 1..=4 {
        play(seed, &silencing(), |_, _| {});
        let in_time = Ask { timeout: WAIT / 2, ..silencing() };
        play(seed, &in_time, |_, _| {});
    }
}

/// Guards against hosts that start later and aren't told of losses that a peer has reported.
#[test]
fn a_request_that_crashed_three_replicas_is_refused_while_hosts_are_killed_in_series() {
    for seed in 1..=4 {
        for interval in 4..=7 {
            let crashed = play(seed, &crashing(), |world, second| {
                if second % interval == 0 {
                    let host = usize::try_from(second / interval).expect("the number is small") % HOSTS;
                    world.kill(host);
                }
            });
            assert!(
                crashed <= 2 * CRASHES,
                "{crashed} replicas crashed, a host is killed every {interval} s"
            );
        }
    }
}
