//! Hosts that lose their links to all upstreams while callers and peers still reach them.

use std::time::Duration;

use skylarkshore_core::config::{RetryLimits, SuspectPolicy};
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{Ask, LinkLoss, NoFaults, Setup, World};

use crate::support::{
    MODELS, ask_model, ask_once, assert_sound, at_secs, describe, digest, name, setup, upstream, world,
};

const HOSTS: usize = 9;
const REPLICAS: usize = 3;
/// When the requests that load the models are sent.
const BEGIN_SECS: u64 = 10;
/// When the cut begins; all models are loaded by then.
const CUT_SECS: u64 = 40;
const CUT_TIME: Duration = Duration::from_secs(12);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Returns a setup whose hosts share the retry budget of the users' sites.
fn cut_setup(seed: u64) -> Setup {
    let mut setup = setup(HOSTS, seed);
    let replica = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
    setup.upstreams.extend((2..REPLICAS).map(replica));
    setup.limits.attempts = 4;
    setup.limits.retries = RetryLimits::Shared { percent: 20, slack: 58, window: Duration::from_secs(10) };
    setup.timings.engine_timeout = Duration::from_secs(3);
    setup
}

/// Sends requests for models and a service to all hosts in turn.
fn ask_in_turn(world: &mut World, until: u64) {
    let first = world.callers.requests.len() as u64;
    for number in first.. {
        if world.now() >= at_secs(until) {
            return;
        }
        let place = usize::try_from(number).expect("the number is small");
        let ask = if number.is_multiple_of(2) {
            Ask {
                target: Target::Service(name("market")),
                repeat: Repeat::Allowed,
                run_time: Duration::from_millis(20),
                ..ask_once(number, number)
            }
        } else {
            Ask { run_time: Duration::from_millis(100), ..ask_model(MODELS[place / 2 % 2], number) }
        };
        world.ask(place % HOSTS, &Ask { timeout: Duration::from_secs(4), ..ask });
        world.run_for(REQUEST_INTERVAL);
    }
}

/// Cuts hosts off twice and checks what their callers see.
fn play(seed: u64, hosts: &[usize], loss: LinkLoss) {
    let mut world = world(cut_setup(seed), NoFaults);
    world.run_until(at_secs(BEGIN_SECS));
    ask_in_turn(&mut world, CUT_SECS);
    world.cut_upstreams(hosts, loss, world.now().after(CUT_TIME));
    ask_in_turn(&mut world, CUT_SECS + 30);
    world.cut_upstreams(hosts, loss, world.now().after(CUT_TIME));
    ask_in_turn(&mut world, CUT_SECS + 50);
    world.run_for(Duration::from_secs(5));
    assert_sound(&mut world, HOSTS);
}

/// Guards against hosts that refuse callers for as long as their connections to upstreams hang.
#[test]
fn callers_of_hosts_whose_links_to_upstreams_hang_are_served() {
    play(1, &[0, 1, 2, 3, 4, 5], LinkLoss::Hangs);
}

/// Guards against hosts that refuse callers for as long as upstreams refuse their connections.
#[test]
fn callers_of_hosts_whose_links_to_upstreams_are_reset_are_served() {
    play(2, &[0, 1, 2, 3, 4, 5], LinkLoss::Resets);
}

/// Guards against hosts that take themselves for connected while old connections live on.
#[test]
fn callers_of_hosts_that_can_open_no_connections_to_upstreams_are_served() {
    play(3, &[0, 3, 6], LinkLoss::RefusesNew);
}

/// Guards against hosts that take the crash of an engine for the loss of their own links.
#[test]
fn a_crashed_engine_is_not_taken_for_lost_links() {
    let mut world = world(cut_setup(4), NoFaults);
    world.run_until(at_secs(BEGIN_SECS));
    ask_in_turn(&mut world, CUT_SECS);
    world.crash_engine(&name("engine-0"), Some(Duration::from_secs(5)));
    ask_in_turn(&mut world, CUT_SECS + 10);
    let lost = world.notes.iter().filter(|note| note.note.event == "links_lost").count();
    assert_eq!(lost, 0, "{lost} times links counted as lost");
    assert_sound(&mut world, HOSTS);
}

/// Guards against callers that wait in vain where no host reaches the upstreams.
#[test]
fn hosts_that_are_all_cut_off_refuse_at_once_and_serve_again_afterwards() {
    let mut world = world(cut_setup(5), NoFaults);
    world.run_until(at_secs(BEGIN_SECS));
    ask_in_turn(&mut world, CUT_SECS);
    let all: Vec<usize> = (0..HOSTS).collect();
    world.cut_upstreams(&all, LinkLoss::Hangs, world.now().after(CUT_TIME));
    ask_in_turn(&mut world, CUT_SECS + 6);
    let now = world.now();
    let key = world.ask(0, &Ask { timeout: Duration::from_secs(4), ..ask_model(MODELS[0], 1_000_000) });
    world.run_for(Duration::from_millis(200));
    let refused = world.callers.requests[&key]
        .ended
        .as_ref()
        .is_some_and(|ended| ended.at <= now.after(Duration::from_millis(100)));
    assert!(refused, "{:?}", world.callers.requests[&key]);
    world.run_for(Duration::from_secs(12));
    let key = world.ask(0, &Ask { timeout: Duration::from_secs(4), ..ask_model(MODELS[0], 1_000_001) });
    world.run_for(Duration::from_secs(5));
    assert!(world.callers.requests[&key].is_answered(), "{:?}", world.callers.requests[&key]);
}

/// Guards against callers that wait in vain at a host which has had no requests since all hosts were cut off.
#[test]
fn an_idle_host_refuses_at_once_where_all_hosts_are_cut_off() {
    let mut world = world(cut_setup(5), NoFaults);
    world.run_until(at_secs(BEGIN_SECS));
    ask_in_turn(&mut world, CUT_SECS);
    let all: Vec<usize> = (0..HOSTS).collect();
    world.cut_upstreams(&all, LinkLoss::Hangs, world.now().after(CUT_TIME));
    world.run_for(Duration::from_secs(6));
    let now = world.now();
    let key = world.ask(0, &Ask { timeout: Duration::from_secs(4), ..ask_model(MODELS[0], 1_000_000) });
    world.run_for(Duration::from_millis(200));
    let ended = world.callers.requests[&key].ended.as_ref();
    let refused = ended.is_some_and(|ended| ended.at <= now.after(Duration::from_millis(100)));
    assert!(refused, "{:?}", world.callers.requests[&key]);
}

/// How long requests are sent during which a host may find another way; with the last ones' answers, it is the
/// platform's bound on contact.
const CONTACT_TIME: Duration = Duration::from_millis(2800);
/// The part of the prompt that all requests have.
const COMMON_PART: u64 = 7;

/// What is alike in the requests of all callers.
#[derive(Clone, Copy, Debug)]
enum Alike {
    /// The whole request.
    Request,
    /// One part of the prompt.
    Part,
}

/// Sends requests that are alike to a host for a time; returns how many are sent and how many are served.
fn ask_alike(world: &mut World, host: usize, alike: Alike, span: Duration) -> (usize, usize) {
    let until = world.now().after(span);
    let mut keys = Vec::new();
    while world.now() < until {
        let number = match alike {
            Alike::Request => COMMON_PART,
            Alike::Part => 1000 + world.callers.requests.len() as u64,
        };
        let ask = Ask {
            target: Target::Service(name("market")),
            repeat: Repeat::Allowed,
            timeout: Duration::from_secs(4),
            run_time: Duration::from_millis(20),
            parts: vec![digest(COMMON_PART + 1)],
            ..ask_once(number, number)
        };
        keys.push(world.ask(host, &ask));
        world.run_for(Duration::from_millis(50));
    }
    world.run_for(Duration::from_millis(200));
    let served = keys.iter().filter(|key| world.callers.requests[key].is_answered()).count();
    (keys.len(), served)
}

/// Cuts one of three hosts off and checks that it serves what its callers send alike, once it may be expected to.
fn play_alike(seed: u64, alike: Alike, loss: LinkLoss) {
    let mut setup = cut_setup(seed);
    setup.hosts.truncate(3);
    setup.limits.suspects = SuspectPolicy::CountEnds;
    let mut world = world(setup, NoFaults);
    world.run_until(at_secs(BEGIN_SECS));
    ask_alike(&mut world, 0, alike, Duration::from_secs(2));
    world.cut_upstreams(&[0], loss, world.now().after(CUT_TIME));
    ask_alike(&mut world, 0, alike, CONTACT_TIME);
    let (sent, served) = ask_alike(&mut world, 0, alike, Duration::from_secs(1));
    if served < sent {
        describe(&mut world, 3);
    }
    assert_eq!(served, sent, "{alike:?} {loss:?}");
}

/// Guards against requests that are held back as their trials, too, go over the lost links of their host.
#[test]
fn requests_that_are_alike_are_served_where_lost_links_close_connections() {
    play_alike(6, Alike::Request, LinkLoss::Closes);
}

/// Guards against prompt parts that are held back for losses over the lost links of a host.
#[test]
fn requests_with_a_common_part_are_served_where_lost_links_close_connections() {
    play_alike(7, Alike::Part, LinkLoss::Closes);
}

/// Guards against losses that show after the links are known to be lost, and count against what was under way.
#[test]
fn requests_that_are_alike_are_served_after_hanging_connections_have_ended() {
    play_alike(8, Alike::Request, LinkLoss::Hangs);
}
