//! Models and adapters that callers ask for again and again and none of whose requests has run since.
//!
//! Each host sees few of the callers of a rarely used model, so that none of
//! them could tell that all of them are refused. The owner of the model's first
//! home is told of every request at every host and of what has run, and knows
//! from the list which engines hold what.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::time::Time;

/// How long a target has to be asked for in vain before it is told of; a load from a copy takes a second.
const REPORT_AFTER: Duration = Duration::from_secs(8);
/// How often a target is told of while that lasts.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// From how many requests on it is told of.
const MIN_REQUESTS: u32 = 4;
/// How often the targets are looked at; the list changes about as often.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A time in which a target was asked for, and no request for it ran.
#[derive(Clone, Copy, Debug)]
struct UnservedPeriod {
    since: Time,
    requests: u32,
    next_report: Time,
}

/// The targets that are asked for in vain, as far as this process looks after their first home.
#[derive(Debug, Default)]
pub(crate) struct UnservedTargets {
    periods: OrderedMap<ModelTarget, UnservedPeriod>,
    next_check: Time,
}

impl UnservedTargets {
    /// Takes note of requests that arrived at a router, and of those that ran.
    pub(crate) fn record(&mut self, now: Time, target: &ModelTarget, arrived: u32, worked: Duration) {
        let base = ModelTarget { model: target.model.clone(), adapter: None };
        if worked > Duration::ZERO {
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

    /// Forgets the models that an engine holds, and tells the operators of targets that were asked for in vain.
    ///
    /// An adapter is told of only where its base is held; else the base is.
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
            let copies = upstreams.keepers(&target.model).count();
            let lasts = cx.now.since(period.since).as_millis();
            cx.note(
                "model_unserved",
                target,
                format!("asked={} for_ms={lasts} copies={copies}", period.requests),
            );
        }
    }

    /// Returns how many targets have been asked for in vain for long enough to be told of.
    pub(crate) fn len(&self) -> usize {
        let is_reported =
            |p: &&UnservedPeriod| p.requests >= MIN_REQUESTS && p.next_report > p.since.after(REPORT_AFTER);
        self.periods.values().filter(is_reported).count()
    }
}
