//! Limits on the retries of a process.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::OrderedMap;
use crate::config::RetryLimits;
use crate::cx::Cx;
use crate::event::Target;
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
/// The rest covers what they have saved before a window, and that they learn late how many they are.
const SHARED_PERCENT_USED: u64 = 80;
/// Percentage of its share of the slack that a process can save; the rest is earned evenly.
const SLACK_PERCENT_SAVED: u64 = 50;
/// How long what a request earns can be saved.
const SAVING_TIME: Duration = Duration::from_secs(2);

/// The service or pool that a retry is sent to; `None` for models outside of pools.
pub(super) type Destination = Option<ServiceName>;

/// Returns whose retry budget a target draws on.
pub(super) fn destination(cx: &Cx<'_>, target: &Target) -> Destination {
    match target {
        Target::Service(service) => Some(service.clone()),
        Target::Model(target) => cx.document.catalogue.models.get(&target.model)?.pool.clone(),
    }
}

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
    /// Creates the budget of a process; a shared one is empty at first.
    pub(super) const fn new(limits: RetryLimits) -> Self {
        match limits {
            RetryLimits::PerProcess => {
                Self::Local(TokenBucket { units: MAX_UNITS, refilled_at: Time::START })
            }
            RetryLimits::Shared { percent, slack, window } => {
                Self::Shared(SharedBudget { percent, slack, window, hosts: None, savings: OrderedMap::new() })
            }
        }
    }

    /// Counts a request.
    pub(super) fn record_request(&mut self, now: Time, destination: &Destination) {
        match self {
            Self::Local(bucket) => bucket.units = (bucket.units + UNITS_PER_REQUEST).min(MAX_UNITS),
            Self::Shared(budget) => budget.record_request(now, destination),
        }
    }

    /// Takes one retry if the budget allows it; reports whether it did.
    pub(super) fn try_spend(&mut self, now: Time, destination: &Destination) -> bool {
        match self {
            Self::Local(bucket) => bucket.try_spend(now),
            Self::Shared(budget) => budget.try_spend(now, destination),
        }
    }

    /// Records that a retry that was taken is sent.
    pub(super) fn record_sent(&mut self, destination: &Destination) {
        if let Self::Shared(budget) = self {
            budget.release(destination);
        }
    }

    /// Gives a retry back that was taken and isn't sent.
    pub(super) fn give_back(&mut self, destination: &Destination) {
        if let Self::Shared(budget) = self {
            budget.give_back(destination);
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
///
/// What a process may spend within any window is what it has saved before, which is little, and
/// what it earns within the window. A count of what was spent in the last window would be lost
/// with the process, and its successor would spend the same again.
#[derive(Debug)]
pub(super) struct SharedBudget {
    percent: u32,
    slack: u32,
    window: Duration,
    /// `None` until any process is registered, as this one can't know its share before.
    hosts: Option<MemberCount>,
    savings: OrderedMap<Destination, Savings>,
}

/// The retries that a process may still send to one destination, in thousandths of a retry.
#[derive(Debug)]
struct Savings {
    units: u64,
    refilled_at: Time,
    /// Retries that were taken and wait to be sent; they count as saved.
    unsent: u64,
    /// The latest requests, which limit what can be saved.
    requests: VecDeque<Time>,
}

impl SharedBudget {
    fn record_request(&mut self, now: Time, destination: &Destination) {
        let earned = self.units_per_request();
        let savings = self.refilled(now, destination);
        savings.requests.push_back(now);
        savings.units += earned;
    }

    fn try_spend(&mut self, now: Time, destination: &Destination) -> bool {
        let savings = self.refilled(now, destination);
        let is_enough = savings.units >= UNITS_PER_RETRY;
        if is_enough {
            savings.units -= UNITS_PER_RETRY;
            savings.unsent += 1;
        }
        is_enough
    }

    fn release(&mut self, destination: &Destination) {
        if let Some(savings) = self.savings.get_mut(destination) {
            savings.unsent = savings.unsent.saturating_sub(1);
        }
    }

    fn give_back(&mut self, destination: &Destination) {
        self.release(destination);
        if let Some(savings) = self.savings.get_mut(destination) {
            savings.units += UNITS_PER_RETRY;
        }
    }

    fn describe(&self, destination: &Destination) -> String {
        let service = destination.as_ref().map_or("none", ServiceName::as_str);
        let hosts = self.hosts.map_or(0, MemberCount::get);
        let (left, unsent, requests) = self.savings.get(destination).map_or((0, 0, 0), |savings| {
            (savings.units / UNITS_PER_RETRY, savings.unsent, savings.requests.len())
        });
        format!("service={service} left={left} unsent={unsent} recent_requests={requests} hosts={hosts}")
    }

    /// Returns the savings after adding what the time since the last call has earned, and dropping what
    /// can't be saved.
    fn refilled(&mut self, now: Time, destination: &Destination) -> &mut Savings {
        let (slack, per_request, window) = (self.slack_units(), self.units_per_request(), self.window);
        let savings = self.savings.entry(destination.clone()).or_insert_with(|| Savings::new(now));
        remove_older(&mut savings.requests, now, SAVING_TIME);
        let most = slack.saved + per_request * savings.requests.len() as u64;
        let most = most.saturating_sub(savings.unsent * UNITS_PER_RETRY);
        savings.units = savings.units.saturating_add(savings.earn(now, slack.earned, window)).min(most);
        savings
    }

    /// Returns what a request earns.
    fn units_per_request(&self) -> u64 {
        u64::from(self.percent) * UNITS_PER_RETRY / 100 * SHARED_PERCENT_USED / 100
    }

    /// Returns this process's share of the slack.
    fn slack_units(&self) -> SlackUnits {
        let share = self.hosts.map_or(0, |hosts| {
            u64::from(self.slack) * UNITS_PER_RETRY / hosts.get() * SHARED_PERCENT_USED / 100
        });
        let saved = share * SLACK_PERCENT_SAVED / 100;
        SlackUnits { saved, earned: share - saved }
    }
}

/// The two parts of a process's share of the slack.
#[derive(Clone, Copy, Debug)]
struct SlackUnits {
    /// What can be saved.
    saved: u64,
    /// What is earned within a window.
    earned: u64,
}

impl Savings {
    const fn new(now: Time) -> Self {
        Self { units: 0, refilled_at: now, unsent: 0, requests: VecDeque::new() }
    }

    /// Returns what has been earned since the last call, at a rate of `per_window` units.
    fn earn(&mut self, now: Time, per_window: u64, window: Duration) -> u64 {
        let window_us = window.as_micros().max(1);
        let elapsed_us = now.since(self.refilled_at).as_micros();
        let earned = u128::from(per_window) * elapsed_us / window_us;
        if earned > 0 {
            self.refilled_at = now;
        }
        u64::try_from(earned).unwrap_or(u64::MAX)
    }
}

fn remove_older(times: &mut VecDeque<Time>, now: Time, age: Duration) {
    while times.front().is_some_and(|time| time.after(age).is_due(now)) {
        times.pop_front();
    }
}
