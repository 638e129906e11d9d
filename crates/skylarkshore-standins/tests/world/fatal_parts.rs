//! Prompt parts that end the replicas that begin an answer on them, in requests of which no two are alike.

use std::time::Duration;

use skylarkshore_core::config::SuspectPolicy;
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::id::Digest;
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{
    Ask, CrashPoint, Framing, LinkLoss, NoFaults, RequestKey, Setup, StoreMode, World,
};

use crate::support::{ask_once, assert_sound, at_secs, describe, digest, name, setup, upstream, world};

const HOSTS: usize = 3;
const REPLICAS: usize = 10;
/// When requests start; all hosts have registered by then.
const BEGIN_SECS: u64 = 10;
/// When requests with a fatal part start.
const FATAL_BEGIN_SECS: u64 = 15;
const END_SECS: u64 = 40;
/// How long the host list names a replica that has ended: three heartbeats.
const LISTING_LAG: Duration = Duration::from_millis(3600);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// How long a caller that was refused waits before it comes again, to another host.
const RETURN_AFTER: Duration = Duration::from_secs(1);

/// The part that all requests begin with.
const FIRST: u64 = 1;
const FATAL: u64 = 666;
const OTHER_FATAL: u64 = 667;
/// How many subjects the requests are about; each has a part of its own.
const SUBJECTS: u64 = 12;

/// Where the fatal part stands among the shared parts of a request.
#[derive(Clone, Copy, Debug)]
enum Place {
    Front,
    Middle,
    End,
}

/// What is drawn for a world.
#[derive(Clone, Debug)]
struct Draw {
    place: Place,
    at: CrashPoint,
    /// One in so many requests has the fatal part.
    every: u64,
    /// Whether one in two answers has neither a length nor chunks.
    unframed: bool,
    fatal: Vec<u64>,
    run_time: Duration,
}

impl Default for Draw {
    fn default() -> Self {
        Self {
            place: Place::Middle,
            at: CrashPoint::BeforeHead,
            every: 25,
            unframed: false,
            fatal: vec![FATAL],
            run_time: Duration::from_millis(800),
        }
    }
}

impl Draw {
    fn ask(&self, number: u64, fatal: Option<u64>) -> Ask {
        let mut parts = vec![digest(FIRST), digest(100 + number % SUBJECTS)];
        let place = match self.place {
            Place::Front => 0,
            Place::Middle => 1,
            Place::End => 2,
        };
        if let Some(fatal) = fatal {
            parts.insert(place, digest(fatal));
        }
        Ask {
            target: Target::Service(name("market")),
            repeat: Repeat::Allowed,
            timeout: Duration::from_secs(6),
            run_time: self.run_time,
            parts,
            framing: if self.unframed && number.is_multiple_of(2) {
                Framing::Unframed
            } else {
                Framing::Framed
            },
            ..ask_once(number, number)
        }
    }

    fn fatal_of(&self, number: u64) -> Option<u64> {
        let is_fatal = number.is_multiple_of(self.every);
        let chosen = usize::try_from(number / self.every).expect("the number is small") % self.fatal.len();
        is_fatal.then(|| self.fatal[chosen])
    }
}

fn fatal_setup(seed: u64) -> Setup {
    let mut setup = setup(HOSTS, seed);
    let replica = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
    setup.upstreams.extend((2..REPLICAS).map(replica));
    setup.limits.attempts = 2;
    setup.limits.suspects = SuspectPolicy::CountEnds;
    setup
}

/// A caller that may come again once.
struct Pending {
    key: RequestKey,
    ask: Ask,
}

/// Sends requests to all hosts in turn; callers that are refused or lose their answer come again once.
fn play_requests(world: &mut World, draw: &Draw, mut at_second: impl FnMut(&mut World, u64)) {
    let mut pending: Vec<Pending> = Vec::new();
    let mut returning: Vec<(Time, usize, Ask)> = Vec::new();
    let mut second = BEGIN_SECS;
    for number in 1000.. {
        if world.now() >= at_secs(END_SECS) {
            return;
        }
        while world.now() >= at_secs(second) {
            at_second(world, second);
            second += 1;
        }
        let is_begun = world.now() >= at_secs(FATAL_BEGIN_SECS);
        let ask = draw.ask(number, draw.fatal_of(number).filter(|_| is_begun));
        let host = usize::try_from(number).expect("the number is small") % HOSTS;
        let key = world.ask(host, &ask);
        pending.push(Pending { key, ask });
        world.run_for(REQUEST_INTERVAL);
        let now = world.now();
        for ended in pending.extract_if(.., |caller| has_ended(world, &caller.key)) {
            let host = (ended.key.host + 1) % HOSTS;
            if world.callers.requests[&ended.key].refusal().is_some() {
                returning.push((now.after(RETURN_AFTER), host, Ask { is_repeat: true, ..ended.ask }));
            }
        }
        for (_, host, ask) in returning.extract_if(.., |(at, ..)| at.is_due(now)) {
            world.ask(host, &ask);
        }
    }
}

fn has_ended(world: &World, key: &RequestKey) -> bool {
    let log = &world.callers.requests[key];
    log.ended.is_some() || log.abandoned
}

/// Plays a world; checks the rules, and that no sound request is refused for a conviction at the end.
fn play(seed: u64, draw: &Draw, at_second: impl FnMut(&mut World, u64)) {
    let mut world = world(fatal_setup(seed), NoFaults);
    world.list_terminations(LISTING_LAG);
    for part in &draw.fatal {
        world.set_fatal(digest(*part), draw.at);
    }
    world.run_until(at_secs(BEGIN_SECS));
    play_requests(&mut world, draw, at_second);
    world.run_for(Duration::from_secs(12));
    for part in &draw.fatal {
        assert!(world.crashes_of_part(digest(*part)) > 0, "the part ended no replica");
    }
    assert_sound_requests_served(&mut world, draw);
    assert_sound(&mut world, HOSTS);
}

/// Sends one sound request about each subject, and each request that has been sent before once more.
fn assert_sound_requests_served(world: &mut World, draw: &Draw) {
    let is_sound = |ask: &Ask| !draw.fatal.iter().any(|part| ask.parts.contains(&digest(*part)));
    let earlier: Vec<Ask> = world.callers.requests.values().map(|log| log.ask.clone()).collect();
    let sound =
        earlier.into_iter().filter(is_sound).chain((0..SUBJECTS).map(|number| draw.ask(number, None)));
    let sound: Vec<Ask> = sound.map(|ask| Ask { is_repeat: true, ..ask }).collect();
    let mut refused: Vec<Digest> = Vec::new();
    for (i, ask) in sound.iter().enumerate() {
        let key = world.ask(i % HOSTS, ask);
        world.run_for(REQUEST_INTERVAL);
        if world.callers.requests[&key].refusal().is_some() {
            refused.push(ask.digest);
        }
    }
    if !refused.is_empty() {
        describe(world, HOSTS);
    }
    assert!(refused.is_empty(), "{} of {} sound requests are still refused", refused.len(), sound.len());
}

/// Guards against a part that ends one replica after the other, as no two requests with it are alike.
#[test]
fn requests_with_a_part_that_crashes_replicas_are_not_sent_on() {
    for seed in 1..=3 {
        for place in [Place::Front, Place::Middle, Place::End] {
            for every in [5, 25] {
                play(seed, &Draw { place, every, ..Draw::default() }, |_, _| {});
            }
        }
    }
}

/// Guards against an answer that has begun, or seems complete, being taken for proof that a part is sound.
#[test]
fn a_part_that_crashes_replicas_within_an_answer_is_recognized() {
    for seed in 1..=3 {
        for at in [CrashPoint::WithinEvent, CrashPoint::BetweenEvents] {
            for unframed in [false, true] {
                play(seed, &Draw { at, unframed, ..Draw::default() }, |_, _| {});
            }
        }
    }
}

/// Guards against two fatal parts that hide behind each other.
#[test]
fn two_parts_that_crash_replicas_are_both_recognized() {
    for seed in 1..=3 {
        for every in [5, 15] {
            play(seed, &Draw { fatal: vec![FATAL, OTHER_FATAL], every, ..Draw::default() }, |_, _| {});
        }
    }
}

/// Guards against sound requests and parts that are refused for good, as they were lost with a fatal part.
#[test]
fn sound_requests_that_are_lost_with_a_fatal_part_are_served_again() {
    for seed in 1..=3 {
        let draw = Draw { run_time: Duration::from_millis(2500), every: 10, ..Draw::default() };
        play(seed, &draw, |_, _| {});
    }
}

/// Guards against hosts that start later and don't know of a fatal part.
#[test]
fn a_part_that_crashes_replicas_is_recognized_while_hosts_are_killed() {
    for seed in 1..=3 {
        for interval in 4..=6 {
            play(seed, &Draw { every: 10, ..Draw::default() }, |world, second| {
                if second > FATAL_BEGIN_SECS && second % interval == 0 {
                    let host = usize::try_from(second / interval).expect("the number is small") % HOSTS;
                    world.kill(host);
                }
            });
        }
        play(seed, &Draw { every: 10, ..Draw::default() }, |world, second| {
            if second == FATAL_BEGIN_SECS + 8 {
                (0..HOSTS).for_each(|host| world.kill(host));
            }
        });
    }
}

/// Guards against evidence that is lost with the key-value service or with links.
#[test]
fn a_part_that_crashes_replicas_is_recognized_while_store_and_links_are_lost() {
    for seed in 1..=3 {
        play(seed, &Draw { every: 10, ..Draw::default() }, |world, second| match second {
            17 => world.set_store_mode(StoreMode::Hanging),
            22 => world.set_store_mode(StoreMode::Up),
            _ => {}
        });
        play(seed, &Draw { every: 10, ..Draw::default() }, |world, second| {
            if second == 17 {
                let until = world.now().after(Duration::from_secs(4));
                world.cut_upstreams(&[0], LinkLoss::Resets, until);
            }
        });
    }
}

/// Guards against a part that all callers share being refused after all replicas have crashed at once.
#[test]
fn a_part_that_all_requests_share_is_served_after_all_replicas_have_crashed() {
    for seed in 1..=3 {
        let draw = Draw { every: u64::MAX, fatal: Vec::new(), ..Draw::default() };
        let mut world = world(fatal_setup(seed), NoFaults);
        world.list_terminations(LISTING_LAG);
        world.run_until(at_secs(BEGIN_SECS));
        play_requests(&mut world, &Draw { fatal: vec![FATAL], ..draw.clone() }, |world, second| {
            if second == 20 {
                (0..REPLICAS).for_each(|i| world.crash_replica(&name(&format!("market-{i}"))));
            }
        });
        let after = world.callers.requests.values().filter(|log| log.arrived >= at_secs(28));
        let (served, all) =
            after.fold((0, 0), |(served, all), log| (served + usize::from(log.started.is_some()), all + 1));
        assert!(served * 10 >= all * 9, "{served} of {all} requests are served");
        assert_sound(&mut world, HOSTS);
    }
}
