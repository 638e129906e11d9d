//! Streams of replicas of several software versions, broken off within an answer or taken up elsewhere.

use std::time::Duration;

use skylarkshore_core::config::SuspectPolicy;
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{NoFaults, Setup, StoreMode, World};

use crate::stream_callers::{StreamCallers, replica};
use crate::support::{assert_sound, at_secs, name, setup, upstream, world};

const HOSTS: usize = 4;
const REPLICAS: usize = 8;
/// When streams start; all hosts have registered by then.
const BEGIN_SECS: u64 = 10;
const END_SECS: u64 = 40;
const LISTING_LAG: Duration = Duration::from_millis(3600);
const INTERVAL: Duration = Duration::from_millis(50);
/// How often a caller takes up a stream.
const MAX_TRIES: u32 = 3;

/// Returns a setup in which replicas of two versions serve side by side, and one of a third.
fn stream_setup(seed: u64) -> Setup {
    let mut setup = setup(HOSTS, seed);
    let extra = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
    setup.upstreams.extend((2..REPLICAS).map(extra));
    for number in 0..REPLICAS {
        let software = match number {
            0..4 => "1",
            4..7 => "1.1",
            _ => "1.2",
        };
        let id = replica(number);
        let listed = setup.upstreams.iter_mut().find(|listed| listed.id == id).expect("it is listed");
        listed.software = Some(name(software));
    }
    setup.limits.attempts = 4;
    setup.limits.suspects = SuspectPolicy::CountEnds;
    setup
}

/// Plays streams while `each_second` does something to the hosts and replicas.
fn play(seed: u64, max_tries: u32, mut each_second: impl FnMut(&mut World, u64)) {
    let mut world = world(stream_setup(seed), NoFaults);
    world.list_terminations(LISTING_LAG);
    world.run_until(at_secs(BEGIN_SECS));
    let mut callers = StreamCallers::new(HOSTS, max_tries);
    let mut second = BEGIN_SECS;
    while world.now() < at_secs(END_SECS) {
        while world.now() >= at_secs(second) {
            each_second(&mut world, second);
            second += 1;
        }
        callers.begin(&mut world);
        callers.take_up(&mut world);
        world.run_for(INTERVAL);
    }
    assert_sound(&mut world, HOSTS);
}

/// Crashes one replica after the other.
fn crash_in_turn(world: &mut World, second: u64) {
    if second.is_multiple_of(2) {
        let number = usize::try_from(second / 2).expect("the number is small") % REPLICAS;
        world.crash_replica(&replica(number));
    }
}

/// Guards against answers in which a stream goes on at a replica of another software version than the one
/// that began it.
#[test]
fn a_stream_whose_replica_ends_goes_on_at_its_own_version() {
    for seed in 1..=4 {
        play(seed, MAX_TRIES, crash_in_turn);
    }
}

/// Guards against the same within one answer, where callers take nothing up.
#[test]
fn an_answer_whose_replica_ends_goes_on_at_the_version_that_began_it() {
    for seed in 1..=4 {
        play(seed, 0, crash_in_turn);
    }
}

/// Lets replicas start again with another version, one every second.
fn release(world: &mut World, second: u64, numbers: std::ops::Range<usize>, from: u64, software: &str) {
    let Some(number) = second.checked_sub(from).and_then(|i| usize::try_from(i).ok()) else { return };
    if number < numbers.len() {
        let id = replica(numbers.start + number);
        world.set_next_software(&id, Some(name(software)));
        world.crash_replica(&id);
    }
}

/// Guards against mixed streams, and against streams that end with their host, in a release and its rollback.
#[test]
fn streams_go_on_at_their_version_in_a_release_and_a_rollback_while_hosts_are_killed() {
    for seed in 1..=4 {
        play(seed, MAX_TRIES, |world, second| {
            release(world, second, 0..3, 13, "1.1");
            release(world, second, 0..3, 24, "1");
            if second % 5 == 1 {
                world.kill(usize::try_from(second / 5).expect("the number is small") % HOSTS);
            }
        });
    }
}

/// Guards against the same while the key-value service is away, so that hosts know neither new members nor
/// new replicas.
#[test]
fn streams_go_on_at_their_version_while_hosts_are_killed_and_the_store_is_away() {
    for seed in 1..=4 {
        play(seed, MAX_TRIES, |world, second| {
            match second {
                15 => world.set_store_mode(StoreMode::Hanging),
                27 => world.set_store_mode(StoreMode::Up),
                _ => {}
            }
            crash_in_turn(world, second);
            if second % 5 == 1 {
                world.kill(usize::try_from(second / 5).expect("the number is small") % HOSTS);
            }
        });
    }
}

/// Guards against streams that go on at another version since no replica of theirs is left, or since all
/// hosts that knew it were killed.
#[test]
fn streams_whose_version_or_whose_hosts_are_gone_are_not_mixed() {
    for seed in 1..=4 {
        play(seed, MAX_TRIES, |world, second| {
            release(world, second, 4..8, 14, "1");
            if second == 16 || second == 22 {
                (0..HOSTS).for_each(|host| world.kill(host));
            }
        });
    }
}

/// Guards against streams of a host that was killed, which go on at another host at another version.
#[test]
fn a_stream_of_a_killed_host_goes_on_at_its_version_elsewhere() {
    for seed in 1..=4 {
        play(seed, MAX_TRIES, |world, second| {
            if second.is_multiple_of(4) {
                world.kill(usize::try_from(second / 4).expect("the number is small") % HOSTS);
            }
        });
    }
}
