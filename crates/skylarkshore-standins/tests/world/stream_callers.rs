//! Callers of streams, who take up at another host what was broken off.

use std::time::Duration;

use skylarkshore_core::event::{Repeat, StreamPart, Target};
use skylarkshore_core::id::{StreamId, UpstreamId};
use skylarkshore_core::time::Time;
use skylarkshore_standins::world::{Ask, RequestKey, World};

use crate::support::{ask_once, digest, name};

const STREAM_TIME: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the id of a replica of the service that serves the streams.
pub(crate) fn replica(number: usize) -> UpstreamId {
    name(&format!("market-{number}"))
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
#[derive(Debug)]
pub(crate) struct StreamCallers {
    reading: Vec<Caller>,
    begun: u64,
    hosts: usize,
    /// How often a caller takes up a stream.
    max_tries: u32,
}

impl StreamCallers {
    pub(crate) const fn new(hosts: usize, max_tries: u32) -> Self {
        Self { reading: Vec::new(), begun: 0, hosts, max_tries }
    }

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

    /// Begins a stream at the next host.
    pub(crate) fn begin(&mut self, world: &mut World) {
        self.begun += 1;
        let stream = StreamId(digest(self.begun));
        let host = usize::try_from(self.begun).expect("the number is small") % self.hosts;
        let key = world.ask(host, &Self::ask(self.begun, StreamPart::Whole(stream), TIMEOUT));
        let deadline = world.now().after(TIMEOUT);
        self.reading.push(Caller { stream, key, has_events: false, tries: 0, deadline });
    }

    /// Takes up the streams that were broken off, each at another host than before.
    pub(crate) fn take_up(&mut self, world: &mut World) {
        let now = world.now();
        for caller in &mut self.reading {
            let log = &world.callers.requests[&caller.key];
            caller.has_events |= log.started.is_some();
            let is_broken = log.abandoned || log.refusal().is_some();
            if !is_broken || !caller.has_events || caller.tries >= self.max_tries {
                continue;
            }
            let Some(host) = (1..self.hosts)
                .map(|i| (caller.key.host + i) % self.hosts)
                .find(|h| world.node(*h).is_some())
            else {
                continue;
            };
            caller.tries += 1;
            let number = world.callers.requests.len() as u64 + 100_000;
            let left = caller.deadline.remaining(now);
            let part = StreamPart::Rest { stream: Some(caller.stream) };
            caller.key = world.ask(host, &Self::ask(number, part, left));
        }
        self.reading.retain(|caller| !caller.deadline.is_due(now));
    }
}
