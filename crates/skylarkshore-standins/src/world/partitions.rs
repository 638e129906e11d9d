//! Hosts that are cut off from all upstreams, and how their callers fare meanwhile.
//!
//! Start with [`Partitions`].

use std::time::Duration;

use skylarkshore_core::time::Time;

use super::callers::{Callers, RequestLog};
use super::violation::Violation;

/// How a host loses its links to the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// Connections go silent, and new ones hang until they time out.
    Hangs,
    /// Connections are reset, and new ones are refused.
    Resets,
    /// Connections that are open live on, and new ones are refused.
    RefusesNew,
    /// Connections are reset, and new ones are accepted and closed; at first so late that a probe misses it.
    Closes,
}

/// A loss of the links between a host and all upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostCut {
    pub(crate) loss: LinkLoss,
    pub(crate) from: Time,
    pub(crate) until: Time,
}

/// Hosts that are cut off during the same time.
#[derive(Clone, Debug)]
struct Partition {
    hosts: Vec<usize>,
    from: Time,
    until: Time,
}

/// How many first attempts were sent and served.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    served: usize,
}

impl Tally {
    fn of<'a>(logs: impl Iterator<Item = &'a RequestLog>) -> Self {
        logs.fold(Self::default(), |tally, log| Self {
            sent: tally.sent + 1,
            served: tally.served + usize::from(log.is_answered()),
        })
    }
}

/// The partitions so far.
#[derive(Debug, Default)]
pub(crate) struct Partitions {
    all: Vec<Partition>,
}

impl Partitions {
    /// How long after the cut the hosts' callers may be served worse.
    const CONTACT_TIME: Duration = Duration::from_secs(3);
    /// First attempts that may fail beside the share below.
    const SLACK: usize = 10;
    /// One in so many of all first attempts may fail.
    const SHARE: usize = 50;

    pub(crate) fn record(&mut self, hosts: &[usize], from: Time, until: Time) {
        self.all.push(Partition { hosts: hosts.to_vec(), from, until });
    }

    /// Returns the partitions during which callers of the hosts that were cut off were served less than two
    /// thirds as often as the others.
    pub(crate) fn violations(&self, callers: &Callers) -> Vec<Violation> {
        self.all.iter().filter_map(|partition| partition.violation(callers)).collect()
    }
}

impl Partition {
    fn violation(&self, callers: &Callers) -> Option<Violation> {
        let begin = self.from.after(Partitions::CONTACT_TIME);
        let counts = |log: &RequestLog| log.arrived >= begin && log.arrived < self.until;
        let of = |is_cut: bool| {
            let logs = callers.requests.iter();
            Tally::of(
                logs.filter(|(key, log)| counts(log) && self.hosts.contains(&key.host) == is_cut)
                    .map(|(_, log)| log),
            )
        };
        let (cut, others) = (of(true), of(false));
        let is_worse = 3 * cut.served * others.sent < 2 * others.served * cut.sent;
        let failed = cut.sent - cut.served;
        let is_much = failed > Partitions::SLACK + (cut.sent + others.sent) / Partitions::SHARE;
        let what = || {
            format!(
                "hosts cut off from all upstreams served {} of {} requests, the others {} of {}",
                cut.served, cut.sent, others.served, others.sent
            )
        };
        (is_worse && is_much).then(|| Violation::new(self.from, what()))
    }
}
