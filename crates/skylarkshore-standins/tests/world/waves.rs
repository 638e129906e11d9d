//! Brittle upstreams under a load that comes in waves. Start with [`Waves`].

use std::time::Duration;

use skylarkshore_core::config::RetryLimits;
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::id::UpstreamId;
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{Ask, NoFaults, World};

use crate::support::{ask_once, assert_sound, at_secs, name, setup, upstream, world};

/// When the load begins, in seconds.
const BEGIN_SECS: u64 = 10;

/// Brittle replicas under a load that comes in waves.
#[derive(Clone, Copy)]
pub(crate) struct Waves {
    pub(crate) hosts: usize,
    pub(crate) replicas: usize,
    pub(crate) concurrency: u32,
    pub(crate) limit: u32,
    pub(crate) run_time: Duration,
}

/// How long the waves last, in seconds.
const WAVES_SECS: u64 = 30;
/// The seconds of each wave, and those of them with three times the load.
const WAVE_SECS: u64 = 8;
const CREST_SECS: u64 = 3;

/// What the callers of a play were answered.
pub(crate) struct Served {
    pub(crate) served: usize,
    /// What the replicas could have run.
    pub(crate) servable: usize,
}

impl Waves {
    /// Returns how many requests the replicas can run in a time.
    fn room(&self, time: Duration) -> usize {
        let runs =
            usize::try_from(time.as_micros() / self.run_time.as_micros()).expect("the number is small");
        runs * self.replicas * self.concurrency as usize
    }

    /// Sends two thirds of what the replicas can run, and three times as much at the crest of each wave.
    ///
    /// `disrupt` is called with each second as it begins.
    fn ask(&self, world: &mut World, disrupt: impl Fn(&mut World, u64)) {
        let mut next_second = 0;
        let slots = u32::try_from(self.replicas).expect("the number is small") * self.concurrency;
        let interval = self.run_time * 3 / 2 / slots;
        for number in 0.. {
            let elapsed = world.now().since(at_secs(BEGIN_SECS));
            if elapsed >= Duration::from_secs(WAVES_SECS) {
                return;
            }
            if elapsed.as_secs() >= next_second {
                disrupt(world, next_second);
                next_second += 1;
            }
            let ask = Ask {
                target: Target::Service(name("market")),
                repeat: Repeat::Allowed,
                timeout: Duration::from_secs(1),
                run_time: self.run_time,
                ..ask_once(number, number)
            };
            world.ask(usize::try_from(number).expect("the number is small") % self.hosts, &ask);
            let is_crest = elapsed.as_secs() % WAVE_SECS >= WAVE_SECS - CREST_SECS;
            world.run_for(if is_crest { interval / 3 } else { interval });
        }
    }

    fn servable(&self) -> usize {
        let is_crest = |second: &u64| second % WAVE_SECS >= WAVE_SECS - CREST_SECS;
        let (crests, calm): (Vec<u64>, Vec<u64>) = (0..WAVES_SECS).partition(is_crest);
        let per_sec = self.room(Duration::from_secs(1));
        crests.len() * per_sec + calm.len() * per_sec * 2 / 3
    }

    fn world(&self, seed: u64) -> (World, Vec<UpstreamId>) {
        let mut setup = setup(self.hosts, seed);
        let replica = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
        setup.upstreams.extend((2..self.replicas).map(replica));
        for upstream in setup.upstreams.iter_mut().filter(|upstream| upstream.service().is_some()) {
            upstream.concurrency = Some(self.concurrency);
        }
        setup.limits.attempts = 4;
        setup.limits.retries =
            RetryLimits::Shared { percent: 20, slack: 58, window: Duration::from_secs(10) };
        let replicas = (0..self.replicas).map(|i| name(&format!("market-{i}"))).collect();
        (world(setup, NoFaults), replicas)
    }

    pub(crate) fn play(&self, seed: u64) -> Served {
        self.play_disrupted(seed, |_, _| {})
    }

    pub(crate) fn play_disrupted(&self, seed: u64, disrupt: impl Fn(&mut World, u64)) -> Served {
        let (mut world, replicas) = self.world(seed);
        world.run_until(at_secs(BEGIN_SECS));
        world.set_brittle(&replicas, self.limit, self.concurrency as usize);
        self.ask(&mut world, disrupt);
        world.run_for(Duration::from_secs(2));
        let served = world.callers.requests.values().filter(|log| log.is_answered()).count();
        println!("{served} of {} requests were served", world.callers.requests.len());
        assert_sound(&mut world, self.hosts);
        Served { served, servable: self.servable() }
    }
}
