//! Limits on the retries of a process.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::OrderedMap;
use crate::config::RetryLimits;
use crate::id::ServiceName;
use crate::member_count::MemberCount;
use crate::time::Time;

/// Budgets count in thousandths of a retry, so that a request can earn a fraction of one.
const UNITS_PER_RETRY: u64 = 1000;
/// Earned with each request: a tenth of a retry.
const UNITS_PER_REQUEST: u64 = 100;
/// Earned each second, so that a process with little load can retry at all.
const UNITS_PER_SECOND: u64 = UNITS_PER_RETRY;
/// Capacity of the bucket.
const MAX_UNITS: u64 = 20 * UNITS_PER_RETRY;
/// Percentage of the shared budget that the processes use.
///
/// Their windows start at different times, and they learn late that one of them has left; the
/// rest covers both.
const SHARED_PERCENT_USED: u64 = 80;
/// The service or pool that a retry is sent to; `None` for models outside of pools.
pub(super) type Destination = Option<ServiceName>;

/// Limits retries.
///
/// If many upstreams fail together, retrying every request would send several times the usual
/// load to the survivors and overload them too.
#[derive(Debug)]
pub(super) enum RetryBudget {
    /// A budget of this process alone.
    Local(TokenBucket),
    /// This process's share of a budget of all processes.
    Shared(SharedBudget),
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) const fn new(limits: RetryLimits) -> Self {
        match limits {
            RetryLimits::PerProcess => {
                Self::Local(TokenBucket { units: MAX_UNITS, refilled_at: Time::START })
            }
            RetryLimits::Shared { percent, slack, window } => {
                Self::Shared(SharedBudget { percent, slack, window, hosts: None, used: OrderedMap::new() })
            }
        }
    }

    /// Counts a request.
    pub(super) fn record_request(&mut self, now: Time, destination: &Destination) {
        match self {
            Self::Local(bucket) => bucket.units = (bucket.units + UNITS_PER_REQUEST).min(MAX_UNITS),
            Self::Shared(budget) => budget.count(now, destination, |usage| &mut usage.requests),
        }
    }

    /// Takes one retry if the budget allows it; reports whether it did.
    pub(super) fn try_spend(&mut self, now: Time, destination: &Destination) -> bool {
        match self {
            Self::Local(bucket) => bucket.try_spend(now),
            Self::Shared(budget) => budget.try_spend(now, destination),
        }
    }

    /// Describes what is left for a destination, for the log.
    pub(super) fn describe(&self, destination: &Destination) -> String {
        match self {
            Self::Local(bucket) => format!("left={}", bucket.units / UNITS_PER_RETRY),
            Self::Shared(budget) => budget.describe(destination),
        }
    }

    /// Reports whether even retries of attempts without effect are charged.
    pub(super) const fn charges_every_retry(&self) -> bool {
        matches!(self, Self::Shared(_))
    }

    /// Records how many processes share the budget.
    pub(super) fn record_host_count(&mut self, now: Time, hosts: usize) {
        if let Self::Shared(budget) = self
            && hosts > 0
        {
            budget.hosts.get_or_insert(MemberCount::ALONE).record(now, hosts);
        }
    }
}

/// A token bucket that earns a tenth of the requests plus a constant rate.
#[derive(Debug)]
pub(super) struct TokenBucket {
    units: u64,
    refilled_at: Time,
}

impl TokenBucket {
    fn try_spend(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.units < UNITS_PER_RETRY {
            return false;
        }
        self.units -= UNITS_PER_RETRY;
        true
    }

    fn refill(&mut self, now: Time) {
        let secs = now.since(self.refilled_at).as_secs();
        if secs == 0 {
            return;
        }
        self.refilled_at = self.refilled_at.after(Duration::from_secs(secs));
        self.units = self.units.saturating_add(secs.saturating_mul(UNITS_PER_SECOND)).min(MAX_UNITS);
    }
}

/// This process's share of a budget that all processes have in common.
#[derive(Debug)]
pub(super) struct SharedBudget {
    percent: u32,
    slack: u32,
    window: Duration,
    /// `None` until any process is registered, as this one can't know its share before.
    hosts: Option<MemberCount>,
    used: OrderedMap<Destination, Usage>,
}

/// Requests and retries for one destination within the last window.
#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Usage {
    /// Returns how many retries are allowed; the slack is given in hundredths of a retry.
    fn allowed(&self, percent: u32, slack: u64) -> u64 {
        let earned = self.requests.len() as u64 * u64::from(percent);
        (earned + slack) * SHARED_PERCENT_USED / 10_000
    }
}

impl SharedBudget {
    fn describe(&self, destination: &Destination) -> String {
        let service = destination.as_ref().map_or("none", ServiceName::as_str);
        let hosts = self.hosts.map_or(0, MemberCount::get);
        let (retries, requests, allowed) = self.used.get(destination).map_or((0, 0, 0), |usage| {
            let allowed = usage.allowed(self.percent, self.slack_share());
            (usage.retries.len(), usage.requests.len(), allowed)
        });
        format!("service={service} retries={retries} allowed={allowed} requests={requests} hosts={hosts}")
    }

    fn count(&mut self, now: Time, destination: &Destination, of: fn(&mut Usage) -> &mut VecDeque<Time>) {
        let window = self.window;
        let times = of(self.used.entry(destination.clone()).or_default());
        remove_older(times, now, window);
        times.push_back(now);
    }

    /// Returns this process's share of the slack, in hundredths of a retry.
    fn slack_share(&self) -> u64 {
        self.hosts.map_or(0, |hosts| u64::from(self.slack) * 100 / hosts.get())
    }

    fn try_spend(&mut self, now: Time, destination: &Destination) -> bool {
        let window = self.window;
        let (percent, slack) = (self.percent, self.slack_share());
        let usage = self.used.entry(destination.clone()).or_default();
        remove_older(&mut usage.requests, now, window);
        remove_older(&mut usage.retries, now, window);
        let has_room = (usage.retries.len() as u64) < usage.allowed(percent, slack);
        if has_room {
            usage.retries.push_back(now);
        }
        has_room
    }
}

fn remove_older(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| time.after(window).is_due(now)) {
        times.pop_front();
    }
}
