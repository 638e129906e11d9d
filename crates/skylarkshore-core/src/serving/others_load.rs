//! Estimated load of other processes on an upstream.

use std::time::Duration;

use crate::time::Time;

/// Time constant of the moving mean.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// How long the mean is valid after the last report.
///
/// An owner that died leaves its last view behind. If its figures never expired, a full engine
/// would look full until another owner publishes a view, and requests would wait although the
/// engine is idle. The engine itself rejects what is too much.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// How long the mean keeps requests away from an upstream that seems full.
///
/// A router that sends nothing to an upstream receives no reports from it either.
const FULL_TTL: Duration = Duration::from_secs(1);

/// Load in thousandths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MilliRequests(pub(super) u64);

impl MilliRequests {
    pub(super) fn of(requests: u32) -> Self {
        Self(u64::from(requests) * 1000)
    }
}

/// Moving mean of the load of other processes on an upstream.
///
/// Reports arrive late and at all routers together. If every router acted on the last report, all
/// would send to the engine that was empty a second ago: engines would be flooded and idle in
/// turn while requests wait. The mean over several reports still separates a busy engine from
/// an idle one, and a router knows its own load exactly.
#[derive(Clone, Copy, Debug)]
pub(super) struct OthersLoad {
    mean: MilliRequests,
    reports: u64,
    at: Time,
}

impl OthersLoad {
    /// Starts with a first report.
    pub(super) fn new(now: Time, others: u32) -> Self {
        Self { mean: MilliRequests::of(others), reports: 1, at: now }
    }

    /// Adds a report. The first few have equal weight, so that a new mean converges fast.
    #[must_use]
    pub(super) fn updated(self, now: Time, others: u32) -> Self {
        let reports = self.reports + 1;
        let since = u64::try_from(now.since(self.at).as_millis()).unwrap_or(u64::MAX);
        let time_constant = u64::try_from(MEAN_TIME_CONSTANT.as_millis()).unwrap_or(u64::MAX);
        let by_time = since.saturating_mul(1000) / since.saturating_add(time_constant);
        let weight = by_time.max(1000 / reports);
        let mean = (self.mean.0 * (1000 - weight) + MilliRequests::of(others).0 * weight) / 1000;
        Self { mean: MilliRequests(mean), reports, at: now }
    }

    /// Returns the part of the mean that may remain, since upstreams complete their
    /// requests.
    pub(super) fn decayed(self, now: Time) -> MilliRequests {
        let age = now.since(self.at).min(FULL_TTL);
        let remaining = FULL_TTL.saturating_sub(age).as_millis();
        let mean = u128::from(self.mean.0) * remaining / FULL_TTL.as_millis();
        MilliRequests(u64::try_from(mean).unwrap_or(self.mean.0))
    }

    /// Returns the mean, or zero when it has expired.
    pub(super) fn mean(self, now: Time) -> MilliRequests {
        if self.at.after(REPORT_TTL).is_due(now) { MilliRequests::default() } else { self.mean }
    }
}
