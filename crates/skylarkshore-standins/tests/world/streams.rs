//! Streams of replicas of several software versions, broken off within an answer or taken up elsewhere.

use std::time::Duration;

use skylarkshore_core::config::SuspectPolicy;
use skylarkshore_core::event::{Repeat, StreamPart, Target};
use skylarkshore_core::id::{StreamId, UpstreamId};
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{Ask, NoFaults, RequestKey, Setup, World};

use crate::support::{ask_once, assert_sound, at_secs, digest, name, setup, upstream, world};

const HOSTS: usize = 4;
const REPLICAS: usize = 8;
/// When streams start; all hosts have registered by then.
const BEGIN_SECS: u64 = 10;
const END_SECS: u64 = 40;
const LISTING_LAG: Duration = Duration::from_millis(3600);
const INTERVAL: Duration = Duration::from_millis(50);
const STREAM_TIME: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(10);
/// How often a caller takes up a stream.
const MAX_TRIES: u32 = 3;

fn replica(number: usize) -> UpstreamId {
    name(&format!("market-{number}"))
}

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

/// A caller and the stream that it reads.
#[derive(Debug)]
struct Caller {
    stream: StreamId,
    key: RequestKey,
    has_events: bool,
    tries: u32,
    deadline: Time,
}

/// Callers that begin streams at all hosts in turn, and take up those that were broken off.
#[derive(Debug, Default)]
struct Callers {
    reading: Vec<Caller>,
    begun: u64,
    max_tries: u32,
}

impl Callers {
    fn ask(number: u64, part: StreamPart, timeout: Duration) -> Ask {
        Ask {
            target: Target::Service(name("market")),
            repeat: Repeat::Allowed,
            timeout,
            run_time: STREAM_TIME,
            stream: Some(part),
            ..ask_once(number, number)
        }
    }

    fn begin(&mut self, world: &mut World) {
        self.begun += 1;
        let stream = StreamId(digest(self.begun));
        let host = usize::try_from(self.begun).expect("the number is small") % HOSTS;
        let key = world.ask(host, &Self::ask(self.begun, StreamPart::Whole(stream), TIMEOUT));
        let deadline = world.now().after(TIMEOUT);
        self.reading.push(Caller { stream, key, has_events: false, tries: 0, deadline });
    }

    /// Takes up the streams that were broken off, each at another host than before.
    fn take_up(&mut self, world: &mut World) {
        let now = world.now();
        for caller in &mut self.reading {
            let log = &world.callers.requests[&caller.key];
            caller.has_events |= log.started.is_some();
            let is_broken = log.abandoned || log.refusal().is_some();
            if !is_broken || !caller.has_events || caller.tries >= self.max_tries {
                continue;
            }
            let Some(host) =
                (1..HOSTS).map(|i| (caller.key.host + i) % HOSTS).find(|h| world.node(*h).is_some())
            else {
                continue;
            };
            caller.tries += 1;
            let number = world.callers.requests.len() as u64 + 100_000;
            let part = StreamPart::Rest(Some(caller.stream));
            caller.key = world.ask(host, &Self::ask(number, part, caller.deadline.remaining(now)));
        }
        self.reading.retain(|caller| !caller.deadline.is_due(now));
    }
}

/// Plays streams while `each_second` does something to the hosts and replicas.
fn play(seed: u64, max_tries: u32, mut each_second: impl FnMut(&mut World, u64)) {
    let mut world = world(stream_setup(seed), NoFaults);
    world.list_terminations(LISTING_LAG);
    world.run_until(at_secs(BEGIN_SECS));
    let mut callers = Callers { max_tries, ..Callers::default() };
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
