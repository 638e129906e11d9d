//! Detects targets, that is, models and adapters, that are requested repeatedly
//! without any of the requests being run.
//!
//! A single host sees too few requests for a rarely used model to notice. The owner
//! of the model's first home receives the usage reports of all hosts and knows from
//! the host list which engines hold what.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::time::Time;

/// How long a target must be unserved before it is logged. A load from a copy takes a second.
const REPORT_AFTER: Duration = Duration::from_secs(8);
/// Interval between log entries while a target remains unserved.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum number of requests for a target to be logged.
const MIN_REQUESTS: u32 = 4;
/// How often targets are checked; the host list changes about as often.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A period in which a target was requested and no request for it ran.
#[derive(Clone, Copy, Debug)]
struct UnservedPeriod {
    since: Time,
    requests: u32,
    next_report: Time,
}

/// Unserved targets whose first home this process owns.
#[derive(Debug, Default)]
pub(crate) struct UnservedTargets {
    periods: OrderedMap<ModelTarget, UnservedPeriod>,
    next_check: Time,
}

impl UnservedTargets {
    /// Records requests that arrived at a router and whether any have run.
    pub(crate) fn record(&mut self, now: Time, target: &ModelTarget, arrived: u32, run_time: Duration) {
        let base = ModelTarget { model: target.model.clone(), adapter: None };
        if run_time > Duration::ZERO {
            self.periods.remove(&base);
            self.periods.remove(target);
        } else if arrived > 0 {
            self.count(now, &base, arrived);
            if target.adapter.is_some() {
                self.count(now, target, arrived);
            }
        }
    }

    fn count(&mut self, now: Time, target: &ModelTarget, arrived: u32) {
        let next_report = now.after(REPORT_AFTER);
        let period = self.periods.entry(target.clone()).or_insert(UnservedPeriod {
            since: now,
            requests: 0,
            next_report,
        });
        period.requests = period.requests.saturating_add(arrived);
    }

    /// Drops models that an engine holds, and logs targets that remain unserved.
    ///
    /// An adapter is logged only if its base model is held; otherwise the base model is logged.
    pub(crate) fn check(&mut self, cx: &mut Cx<'_>, is_first_home_owned: impl Fn(&ModelName) -> bool) {
        if !self.next_check.is_due(cx.now) {
            return;
        }
        self.next_check = cx.now.after(CHECK_INTERVAL);
        let upstreams = cx.upstreams;
        let is_held = |model: &ModelName| upstreams.holders(model).next().is_some();
        self.periods.retain(|target, _| {
            is_first_home_owned(&target.model) && (target.adapter.is_some() || !is_held(&target.model))
        });
        for (target, period) in &mut self.periods {
            let is_base_missing = target.adapter.is_some() && !is_held(&target.model);
            if is_base_missing || period.requests < MIN_REQUESTS || !period.next_report.is_due(cx.now) {
                continue;
            }
            period.next_report = cx.now.after(REPORT_INTERVAL);
            let copies = upstreams.engines_with_weights(&target.model).count();
            let lasts = cx.now.since(period.since).as_millis();
            cx.log_event(
                "model_unserved",
                target,
                format!("asked={} for_ms={lasts} copies={copies}", period.requests),
            );
        }
    }

    /// Returns the number of targets that have been logged as unserved.
    pub(crate) fn len(&self) -> usize {
        let is_reported =
            |p: &&UnservedPeriod| p.requests >= MIN_REQUESTS && p.next_report > p.since.after(REPORT_AFTER);
        self.periods.values().filter(is_reported).count()
    }
}
