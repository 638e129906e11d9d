//! The shared retry budget, judged by the requests that reach the upstreams.
//!
//! Start with [`RetryLedger`].

use std::time::Duration;

use skylarkshore_core::collections::{OrderedMap, OrderedSet};
use skylarkshore_core::config::RetryLimits;
use skylarkshore_core::event::Target;
use skylarkshore_core::time::Time;

use super::callers::{Callers, RequestKey};
use super::violation::Violation;

/// The arrivals of requests at upstreams, whether these run or reject them.
#[derive(Debug, Default)]
pub(crate) struct RetryLedger {
    arrived: OrderedSet<RequestKey>,
    /// The arrivals beyond the first of each request, in the order of time.
    repeats: OrderedMap<Destination, Vec<Time>>,
}

/// A service, or all models together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Destination {
    Models,
    Service(String),
}

impl From<&Target> for Destination {
    fn from(target: &Target) -> Self {
        match target {
            Target::Model(_) => Self::Models,
            Target::Service(name) => Self::Service(name.to_string()),
        }
    }
}

impl RetryLedger {
    /// Records that a request reaches an upstream.
    pub(crate) fn record_arrival(&mut self, now: Time, request: RequestKey, target: &Target) {
        if !self.arrived.insert(request) {
            self.repeats.entry(target.into()).or_default().push(now);
        }
    }

    /// Returns the first window of each destination in which the budget is exceeded.
    pub(crate) fn violations(&self, limits: RetryLimits, callers: &Callers) -> Vec<Violation> {
        let RetryLimits::Shared { percent, slack, window } = limits else { return Vec::new() };
        let budget = Budget { percent: percent as usize, slack: slack as usize, window };
        let exceeded = |(destination, repeats): (&Destination, &Vec<Time>)| {
            let requests =
                callers.requests.values().filter(|log| Destination::from(&log.ask.target) == *destination);
            budget.first_exceeded(repeats, &requests.map(|log| log.arrived).collect::<Vec<_>>())
        };
        self.repeats.iter().filter_map(exceeded).collect()
    }
}

/// The limit on arrivals beyond the first of each request.
#[derive(Clone, Copy, Debug)]
struct Budget {
    percent: usize,
    slack: usize,
    window: Duration,
}

impl Budget {
    fn first_exceeded(self, repeats: &[Time], requests: &[Time]) -> Option<Violation> {
        repeats.iter().find_map(|begin| {
            let found = count(repeats, *begin, self.window);
            let allowed = self.allowed(requests, *begin);
            let what =
                || format!("{found} arrivals beyond the first in {:?}; allowed {allowed}", self.window);
            (found > allowed).then(|| Violation::new(*begin, what()))
        })
    }

    /// Returns what the requests allow in the window that begins at a time.
    ///
    /// Counted are those of that window, of the one before it or of the one half a window before it.
    fn allowed(self, requests: &[Time], begin: Time) -> usize {
        let begins = [begin, before(begin, self.window), before(begin, self.window / 2)];
        let most = begins.iter().map(|begin| count(requests, *begin, self.window)).max().unwrap_or(0);
        most * self.percent / 100 + self.slack
    }
}

fn count(times: &[Time], begin: Time, window: Duration) -> usize {
    let end = begin.after(window);
    times.iter().filter(|at| **at >= begin && **at < end).count()
}

/// Returns the time that lies `d` earlier, but not before the start.
fn before(time: Time, d: Duration) -> Time {
    Time::START.after(time.since(Time::START).saturating_sub(d))
}
