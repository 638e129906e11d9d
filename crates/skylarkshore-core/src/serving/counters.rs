//! Counters of what has happened to requests.

use crate::collections::OrderedMap;
use crate::dump::Gauge;
use crate::effect::{RefusalOutcome, RefusalReason};

/// Counts since the process started.
#[derive(Debug, Default)]
pub(super) struct RequestCounters {
    /// Requests that arrived.
    pub(super) arrived: u64,
    /// Attempts that were sent.
    pub(super) sent: u64,
    /// Requests that were requeued for another attempt.
    pub(super) retries: u64,
    /// Requests that were answered in full.
    pub(super) answered: u64,
    /// Events about requests or attempts that had already ended.
    pub(super) late_events: u64,
    refused: OrderedMap<&'static str, u64>,
    not_run: u64,
    unknown: u64,
    failed: u64,
}

impl RequestCounters {
    /// Counts a refusal.
    pub(super) fn count_refusal(&mut self, outcome: RefusalOutcome, reason: &RefusalReason) {
        *self.refused.entry(refusal_metric(reason)).or_default() += 1;
        match outcome {
            RefusalOutcome::NotRun => self.not_run += 1,
            RefusalOutcome::Unknown => self.unknown += 1,
            RefusalOutcome::Failed => self.failed += 1,
        }
    }

    /// Returns the counts for the metrics.
    pub(super) fn gauges(&self) -> Vec<Gauge> {
        let mut gauges = vec![
            gauge("requests_arrived_total", self.arrived),
            gauge("attempts_sent_total", self.sent),
            gauge("retries_total", self.retries),
            gauge("requests_answered_total", self.answered),
            gauge("late_events_total", self.late_events),
            gauge("refused_not_run_total", self.not_run),
            gauge("refused_unknown_total", self.unknown),
            gauge("refused_failed_total", self.failed),
        ];
        gauges.extend(self.refused.iter().map(|(name, count)| gauge(name, *count)));
        gauges
    }
}

/// Builds a gauge from a count.
#[expect(clippy::cast_precision_loss, reason = "metrics are floating-point numbers")]
pub(super) const fn gauge(name: &'static str, count: u64) -> Gauge {
    Gauge { name, value: count as f64 }
}

const fn refusal_metric(reason: &RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Rule(_) => "refused_rule_total",
        RefusalReason::ColdStartTooLong => "refused_cold_start_too_long_total",
        RefusalReason::Short(_) => "refused_short_total",
        RefusalReason::QueueFull => "refused_queue_full_total",
        RefusalReason::DeadlinePassed => "refused_deadline_passed_total",
        RefusalReason::DeadlinePassedRunning => "refused_deadline_passed_running_total",
        RefusalReason::NoUpstream => "refused_no_upstream_total",
        RefusalReason::UpstreamsAtRest => "refused_upstreams_at_rest_total",
        RefusalReason::UpstreamLost => "refused_upstream_lost_total",
        RefusalReason::StoreUnreachable => "refused_store_unreachable_total",
        RefusalReason::KeyConflict => "refused_key_conflict_total",
        RefusalReason::KeyInDoubt => "refused_key_in_doubt_total",
        RefusalReason::KeyInProgress => "refused_key_in_progress_total",
        RefusalReason::AnswerNotKept => "refused_answer_not_kept_total",
        RefusalReason::CallerGone => "refused_caller_gone_total",
        RefusalReason::CrashesUpstreams => "refused_crashes_upstreams_total",
        RefusalReason::MayCrashUpstreams => "refused_may_crash_upstreams_total",
        RefusalReason::VersionGone => "refused_version_gone_total",
        RefusalReason::StreamUnknown => "refused_stream_unknown_total",
        RefusalReason::Leaving => "refused_leaving_total",
        RefusalReason::Standby => "refused_standby_total",
        RefusalReason::OverLimit => "refused_over_limit_total",
        RefusalReason::BeyondLimit => "refused_beyond_limit_total",
        RefusalReason::KeyWithdrawn => "refused_key_withdrawn_total",
        RefusalReason::AccountChanged => "refused_account_changed_total",
    }
}
