//! How much other processes probably have in progress at an engine.

use std::time::Duration;

use crate::time::Time;

/// How far back the mean goes.
const MEMORY: Duration = Duration::from_secs(8);
/// How long a mean counts after the last report.
///
/// An owner that died leaves its last account behind. Were its figures believed
/// for ever, a full engine would look full until another owner speaks, and
/// requests would wait before an idle engine. The engine itself rejects what is
/// too much.
const BELIEVED: Duration = Duration::from_secs(10);

/// How long a mean keeps requests away from an upstream that seems full.
///
/// A router that sends nothing there hears nothing of it either.
const FULL_BELIEVED: Duration = Duration::from_secs(1);

/// Thousandths of a request in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Millis(pub(super) u64);

impl Millis {
    /// Makes the load of whole requests.
    pub(super) fn of(requests: u32) -> Self {
        Self(u64::from(requests) * 1000)
    }
}

/// The mean of what other processes had at an engine.
///
/// Reports come late and to all routers at once. A router that believed each of
/// them would send where the engine was empty a second ago, as all the others
/// do; engines would be flooded and deserted in turn, while requests wait. The
/// mean over several reports still tells a busy engine from an idle one, and a
/// router knows exactly what it has there itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct OthersLoad {
    mean: Millis,
    reports: u64,
    at: Time,
}

impl OthersLoad {
    /// Begins with a first report.
    pub(super) fn new(now: Time, others: u32) -> Self {
        Self { mean: Millis::of(others), reports: 1, at: now }
    }

    /// Takes a report in; the first few weigh alike, so that a fresh mean settles fast.
    #[must_use]
    pub(super) fn with(self, now: Time, others: u32) -> Self {
        let reports = self.reports + 1;
        let since = u64::try_from(now.since(self.at).as_millis()).unwrap_or(u64::MAX);
        let memory = u64::try_from(MEMORY.as_millis()).unwrap_or(u64::MAX);
        let by_time = since.saturating_mul(1000) / since.saturating_add(memory);
        let weight = by_time.max(1000 / reports);
        let mean = (self.mean.0 * (1000 - weight) + Millis::of(others).0 * weight) / 1000;
        Self { mean: Millis(mean), reports, at: now }
    }

    /// Returns what may still be there of the mean, since upstreams work off what they have.
    pub(super) fn left(self, now: Time) -> Millis {
        let age = now.since(self.at).min(FULL_BELIEVED);
        let left = FULL_BELIEVED.saturating_sub(age).as_millis();
        let mean = u128::from(self.mean.0) * left / FULL_BELIEVED.as_millis();
        Millis(u64::try_from(mean).unwrap_or(self.mean.0))
    }

    /// Returns the mean, or nothing when it is too old.
    pub(super) fn mean(self, now: Time) -> Millis {
        if self.at.after(BELIEVED).is_due(now) { Millis::default() } else { self.mean }
    }
}
