//! Limits on the retries of a process.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::OrderedMap;
use crate::config::RetryLimits;
use crate::headcount::Headcount;
use crate::id::ServiceName;
use crate::time::Time;

/// Budgets count in thousandths of a retry, so that a request can earn a fraction of one.
const WHOLE_RETRY: u64 = 1000;
/// Earned with each request: a tenth of a retry.
const PER_REQUEST: u64 = 100;
/// Earned each second, so that a process with little load can retry at all.
const PER_SECOND: u64 = WHOLE_RETRY;
/// Capacity of the bucket.
const MOST: u64 = 20 * WHOLE_RETRY;
/// Percentage of the shared budget that the processes use.
///
/// Their windows start at different times, and they learn late that one of them has left; the
/// rest covers both.
const USED_OF_SHARED: u64 = 80;
/// The service or pool that a retry is sent to.
pub(super) type Destination = Option<ServiceName>;

/// Limits retries.
///
/// If many upstreams fail together, retrying every request would send several times the usual
/// load to the survivors and overload them too.
#[derive(Debug)]
pub(super) enum RetryBudget {
    /// A budget of this process alone.
    Own(Bucket),
    /// This process's share of a budget of all processes.
    Shared(Share),
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) const fn new(limits: RetryLimits) -> Self {
        match limits {
            RetryLimits::PerProcess => Self::Own(Bucket { saved: MOST, filled: Time::START }),
            RetryLimits::Shared { percent, slack, window } => Self::Shared(Share {
                percent,
                slack,
                window,
                hosts: Headcount::ALONE,
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

    /// Takes one retry if the budget allows it; reports whether it did.
    pub(super) fn spend(&mut self, now: Time, destination: &Destination) -> bool {
        match self {
            Self::Own(bucket) => bucket.spend(now),
            Self::Shared(share) => share.spend(now, destination),
        }
    }

    /// Reports whether even retries of attempts without effect are charged.
    pub(super) const fn counts_every_sending(&self) -> bool {
        matches!(self, Self::Shared(_))
    }

    /// Records how many processes share the budget.
    pub(super) fn note_hosts(&mut self, now: Time, hosts: usize) {
        if let Self::Shared(share) = self {
            share.hosts.note(now, hosts);
        }
    }
}

/// A token bucket that earns a tenth of the requests plus a constant rate.
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

/// This process's share of a budget that all processes have in common.
#[derive(Debug)]
pub(super) struct Share {
    percent: u32,
    slack: u32,
    window: Duration,
    hosts: Headcount,
    used: OrderedMap<Destination, Usage>,
}

/// Requests and retries for one destination within the last window.
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
