//! Links between hosts and to the key-value service, which delay what they carry.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use skylarkshore_core::Time;
use skylarkshore_core::id::HostId;

/// Time-out of a message between hosts.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time of the service for an answer.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Bytes a second of the service's link, 1,000 Mbit/s.
const SERVICE_RATE: u64 = 125_000_000;
/// Bytes a second of a host's link each way, 20 Mbit/s.
const HOST_RATE: u64 = 2_500_000;

/// A link that carries one byte after the other.
#[derive(Clone, Copy, Debug)]
struct Link {
    rate: u64,
    free_at: Time,
}

impl Link {
    const fn new(rate: u64) -> Self {
        Self { rate, free_at: Time::START }
    }

    /// Carries bytes that arrive at `at`, and returns when the last has passed.
    fn carry(&mut self, at: Time, bytes: u64) -> Time {
        let time = Duration::from_micros(bytes * 1_000_000 / self.rate);
        self.free_at = self.free_at.max(at).after(time);
        self.free_at
    }
}

/// The links of a host.
#[derive(Clone, Copy, Debug)]
struct HostLinks {
    outgoing: Link,
    incoming: Link,
}

/// The links of all hosts and of the key-value service.
#[derive(Debug)]
pub struct Links {
    service: Link,
    hosts: BTreeMap<HostId, HostLinks>,
}

impl Links {
    pub const fn new() -> Self {
        Self { service: Link::new(SERVICE_RATE), hosts: BTreeMap::new() }
    }

    fn of(&mut self, host: &HostId) -> &mut HostLinks {
        let idle = HostLinks { outgoing: Link::new(HOST_RATE), incoming: Link::new(HOST_RATE) };
        self.hosts.entry(host.clone()).or_insert(idle)
    }

    /// Returns how long an answer of the service takes.
    fn answer_delay(&mut self, now: Time, to: &HostId, bytes: u64) -> Duration {
        let sent = self.service.carry(now.after(SERVICE_TIME), bytes);
        self.of(to).incoming.carry(sent, bytes).since(now)
    }

    fn message_delay(&mut self, now: Time, from: &HostId, to: &HostId, bytes: u64) -> Duration {
        let sent = self.of(from).outgoing.carry(now, bytes);
        self.of(to).incoming.carry(sent, bytes).since(now)
    }
}

/// The network between hosts and the key-value service.
#[derive(Debug)]
pub enum Network {
    /// Everything takes a random, short time.
    Unlimited,
    /// Links delay what they carry by its size.
    Limited(Links),
}

impl Network {
    /// Returns how long a call to the service and its answer take.
    pub fn answer_delay(&mut self, now: Time, to: &HostId, bytes: u64, rng: &mut SmallRng) -> Duration {
        match self {
            Self::Unlimited => Duration::from_millis(rng.random_range(10..60)),
            Self::Limited(links) => links.answer_delay(now, to, bytes),
        }
    }

    /// Returns how long a message takes; `None` if it is given up.
    pub fn message_delay(
        &mut self,
        now: Time,
        from: &HostId,
        to: &HostId,
        bytes: u64,
        rng: &mut SmallRng,
    ) -> Option<Duration> {
        let latency = Duration::from_millis(rng.random_range(2..30));
        match self {
            Self::Unlimited => Some(latency),
            Self::Limited(links) => {
                let delay = links.message_delay(now, from, to, bytes);
                (delay < SEND_TIMEOUT).then_some(latency + delay)
            }
        }
    }
}
