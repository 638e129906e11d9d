//! The section `limits` of the settings.

use std::time::Duration;

use jsonc_parser::ast::Value;
use skylarkshore_core::config::{Limits, QuotaPolicy, RetryLimits, SuspectPolicy};
use skylarkshore_core::units::{Capacity, Credits};

use super::section::{Report, Section, boolean, fraction, number};
use super::{BufferLimits, Intake, timings};

/// The largest allowance for all client accounts beyond their limits, in credits.
const MAX_SLACK: f64 = 1e9;
const MAX_COUNT: u64 = 1_000_000;
const MAX_BODY_LEN: u64 = 64 * 1024 * 1024;
const MIB: f64 = 1024.0 * 1024.0;
/// The host's memory if the settings don't state it, in bytes.
pub(super) const DEFAULT_MEMORY: usize = 256 * 1024 * 1024;
/// Unread answers may take the host's memory divided by this, and the bodies of requests as much.
const MEMORY_DIVISOR: usize = 16;
/// The unread part of one answer, in bytes.
const DEFAULT_ANSWER_BUFFER: usize = 16 * 1024;
const MAX_ANSWER_BUFFER: u64 = 64 * 1024 * 1024;
/// In bytes. The key-value service limits values to a mebibyte, and Base64 adds a third.
const MAX_RECORDED_ANSWER: u64 = 700 * 1024;

pub(super) fn read_limits(
    root: &mut Section<'_>,
    report: &mut Report<'_>,
    memory: usize,
) -> (Intake, BufferLimits, Limits) {
    let mut section = root.optional_section(report, "limits");
    let mut limits = Limits::default();
    let mut intake = Intake::default();
    let size = |min, max| move |value: &Value<'_>| number(value, min, max).map(to_size);
    let count = |min, max| move |value: &Value<'_>| number(value, min, max).map(to_count);
    intake.body_len = section.optional(report, "body_bytes", intake.body_len, size(1024, MAX_BODY_LEN));
    limits.queue_total = section.optional(report, "queue_total", limits.queue_total, size(1, MAX_COUNT));
    limits.queue_per_caller =
        section.optional(report, "queue_per_caller", limits.queue_per_caller, size(1, MAX_COUNT));
    limits.recorded_answer = section.optional(
        report,
        "recorded_answer_bytes",
        limits.recorded_answer,
        size(0, MAX_RECORDED_ANSWER),
    );
    limits.loads_at_once = section.optional(report, "loads_at_once", limits.loads_at_once, count(1, 1000));
    limits.loads_per_second =
        section.optional(report, "loads_per_second", limits.loads_per_second, count(1, 1000));
    limits.attempts = section.optional(report, "attempts", limits.attempts, count(1, 10));
    limits.homes_ahead = section.optional(report, "homes_ahead", limits.homes_ahead, size(1, 100));
    limits.retries = read_retries(&mut section, report);
    limits.quota = read_quota(&mut section, report);
    let counts_ends = section.optional(report, "suspects_run_beside_others", false, boolean);
    limits.suspects = if counts_ends { SuspectPolicy::CountEnds } else { SuspectPolicy::RunAlone };
    intake.head_timeout =
        section.optional(report, "head_timeout_ms", intake.head_timeout, timings::millis(100, 60_000));
    intake.body_timeout =
        section.optional(report, "body_timeout_ms", intake.body_timeout, timings::millis(100, 600_000));
    let answer =
        section.optional(report, "answer_buffer_bytes", DEFAULT_ANSWER_BUFFER, size(1024, MAX_ANSWER_BUFFER));
    let stall = section
        .optional(report, "caller_stall_ms", None, |value| timings::millis(100, 600_000)(value).map(Some));
    section.finish(report);
    let part = memory / MEMORY_DIVISOR;
    // One body of the greatest length must fit.
    let buffers = BufferLimits { answer, answers: part, bodies: part.max(intake.body_len), stall };
    (intake, buffers, limits)
}

/// Reads the host's memory in MiB, which may be a fraction, and returns bytes.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the number was checked")]
pub(super) fn memory(value: &Value<'_>) -> Result<usize, String> {
    fraction(value, 16.0, 1_048_576.0).map(|mib| (mib * MIB) as usize)
}

/// Reads the budget of retries that all hosts share, if there is one.
fn read_retries(limits: &mut Section<'_>, report: &mut Report<'_>) -> RetryLimits {
    let Some(shared) = limits.present_section(report, "shared_retries") else {
        return RetryLimits::PerProcess;
    };
    let mut shared = shared;
    let percent = shared.required(report, "ratio", "0.2", |value| {
        fraction(value, 0.0, 1.0).map(|ratio| scaled(ratio, 100.0))
    });
    let slack = shared.required(report, "slack", "50", |value| {
        fraction(value, 0.0, f64::from(u16::MAX)).map(|slack| scaled(slack, 1.0))
    });
    let window = shared
        .required(report, "window_s", "10", |value| fraction(value, 0.1, 600.0).map(Duration::from_secs_f64));
    shared.finish(report);
    match (percent, slack, window) {
        (Some(percent), Some(slack), Some(window)) => RetryLimits::Shared { percent, slack, window },
        _ => RetryLimits::PerProcess,
    }
}

/// Reads how strictly the limits of client accounts are enforced.
fn read_quota(limits: &mut Section<'_>, report: &mut Report<'_>) -> QuotaPolicy {
    let mut section = limits.optional_section(report, "account_limits");
    let defaults = QuotaPolicy::default();
    let window = |value: &Value<'_>| fraction(value, 0.1, 600.0).map(Duration::from_secs_f64);
    let overage = |value: &Value<'_>| fraction(value, 0.0, 1.0).map(|ratio| scaled(ratio, 100.0));
    let slack =
        |value: &Value<'_>| fraction(value, 0.0, MAX_SLACK).map(|slack| Credits(scaled(slack, 1.0).into()));
    let policy = QuotaPolicy {
        window: section.optional(report, "window_s", defaults.window, window),
        overage_percent: section.optional(report, "overage", defaults.overage_percent, overage),
        slack: section.optional(report, "slack", defaults.slack, slack),
    };
    section.finish(report);
    policy
}

/// Reads the number of cores of the host, which may be a fraction.
pub(super) fn capacity(value: &Value<'_>) -> Result<Capacity, String> {
    fraction(value, 0.001, 10_000.0).map(|cores| Capacity(scaled(cores, 1000.0)))
}

/// Returns `number * parts`, rounded down.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the number was checked")]
fn scaled(number: f64, parts: f64) -> u32 {
    // Compensates for products that fall just short of a whole number.
    const ROUNDING: f64 = 1e-6;
    (number * parts + ROUNDING) as u32
}

fn to_size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn to_count(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
