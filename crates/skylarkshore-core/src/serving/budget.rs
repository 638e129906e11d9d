//! How many retries a process allows itself.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::OrderedMap;
use crate::config::RetryLimits;
use crate::id::ServiceName;
use crate::member_count::MemberCount;
use crate::time::Time;

/// A thousandth of a retry, so that a tenth of a request can be counted.
const WHOLE_RETRY: u64 = 1000;
/// What each request adds: a tenth of a retry.
const PER_REQUEST: u64 = 100;
/// What each second adds, so that a quiet process may retry at all.
const PER_SECOND: u64 = WHOLE_RETRY;
/// The most that is saved up.
const MOST: u64 = 20 * WHOLE_RETRY;
/// The share of a shared budget that is used, in percent.
///
/// Processes count their windows from different moments and learn late that one
/// of them has left; the rest is for that.
const USED_OF_SHARED: u64 = 80;
/// What a retry is for.
pub(super) type Destination = Option<ServiceName>;

/// Holds retries down.
///
/// When many upstreams fail at once, retrying every request would send the
/// survivors several times their usual load and take them down too. One would
/// see the request rate at the upstreams rise during an outage.
#[derive(Debug)]
pub(super) enum RetryBudget {
    /// A budget of the process's own.
    Own(Bucket),
    /// A part of a budget of all processes.
    Shared(Share),
}

impl RetryBudget {
    /// Makes a budget that nothing was taken from.
    pub(super) const fn new(limits: RetryLimits) -> Self {
        match limits {
            RetryLimits::PerProcess => Self::Own(Bucket { saved: MOST, filled: Time::START }),
            RetryLimits::Shared { percent, slack, window } => Self::Shared(Share {
                percent,
                slack,
                window,
                hosts: MemberCount::ALONE,
                used: OrderedMap::new(),
            }),
        }
    }

    /// Counts a request.
    pub(super) fn earn(&mut self, now: Time, destination: &Destination) {
        match self {
            Self::Own(bucket) => bucket.saved = (bucket.saved + PER_REQUEST).min(MOST),
            Self::Shared(share) => share.count(now, destination, |usage| &mut usage.requests),
        }
    }

    /// Takes one retry, if there is one.
    pub(super) fn spend(&mut self, now: Time, destination: &Destination) -> bool {
        match self {
            Self::Own(bucket) => bucket.spend(now),
            Self::Shared(share) => share.spend(now, destination),
        }
    }

    /// Tells whether a second sending draws on the budget even if the first one had no effect.
    pub(super) const fn counts_every_sending(&self) -> bool {
        matches!(self, Self::Shared(_))
    }

    /// Takes note of how many processes share the budget.
    pub(super) fn note_hosts(&mut self, now: Time, hosts: usize) {
        if let Self::Shared(share) = self {
            share.hosts.record(now, hosts);
        }
    }
}

/// A token bucket: a tenth of the requests and a few more.
#[derive(Debug)]
pub(super) struct Bucket {
    saved: u64,
    filled: Time,
}

impl Bucket {
    fn spend(&mut self, now: Time) -> bool {
        self.fill(now);
        if self.saved < WHOLE_RETRY {
            return false;
        }
        self.saved -= WHOLE_RETRY;
        true
    }

    fn fill(&mut self, now: Time) {
        let secs = now.since(self.filled).as_secs();
        if secs == 0 {
            return;
        }
        self.filled = self.filled.after(Duration::from_secs(secs));
        self.saved = self.saved.saturating_add(secs.saturating_mul(PER_SECOND)).min(MOST);
    }
}

/// This process's part of a budget that all processes share.
#[derive(Debug)]
pub(super) struct Share {
    percent: u32,
    slack: u32,
    window: Duration,
    hosts: MemberCount,
    used: OrderedMap<Destination, Usage>,
}

/// What went to one destination in the last window.
#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Share {
    fn count(&mut self, now: Time, destination: &Destination, of: fn(&mut Usage) -> &mut VecDeque<Time>) {
        let window = self.window;
        let times = of(self.used.entry(destination.clone()).or_default());
        forget_before(times, now, window);
        times.push_back(now);
    }

    fn spend(&mut self, now: Time, destination: &Destination) -> bool {
        let window = self.window;
        let usage = self.used.entry(destination.clone()).or_default();
        forget_before(&mut usage.requests, now, window);
        forget_before(&mut usage.retries, now, window);
        let earned = usage.requests.len() as u64 * u64::from(self.percent);
        let slack = u64::from(self.slack) * 100 / self.hosts.get();
        let allowed = (earned + slack) * USED_OF_SHARED / 10_000;
        let has_room = (usage.retries.len() as u64) < allowed;
        if has_room {
            usage.retries.push_back(now);
        }
        has_room
    }
}

fn forget_before(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| time.after(window).is_due(now)) {
        times.pop_front();
    }
}
