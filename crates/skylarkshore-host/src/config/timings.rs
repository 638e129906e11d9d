//! The section `timings` of the settings, and the constraints between its values.

use std::time::Duration;

use jsonc_parser::ast::Value;
use skylarkshore_core::config::Timings;

use crate::config::section::{Report, Section, fraction};

const MAX_MILLIS: u32 = 3_600_000;
const MAX_GRACE_SECS: f64 = 86_400.0;

/// Returns a reader for milliseconds within a range.
pub(super) fn millis(min: u32, max: u32) -> impl Fn(&Value<'_>) -> Result<Duration, String> {
    move |value| {
        let ms = fraction(value, min.into(), max.into())?;
        Ok(Duration::from_secs_f64(ms / 1000.0))
    }
}

pub(super) fn read(root: &mut Section<'_>, report: &mut Report<'_>) -> Timings {
    let mut section = root.optional_section(report, "timings");
    let mut timings = Timings::default();
    let fields: [(&'static str, &mut Duration); 17] = [
        ("lease_ttl_ms", &mut timings.lease_ttl),
        ("renew_every_ms", &mut timings.renew_every),
        ("hold_ms", &mut timings.hold),
        ("hold_margin_ms", &mut timings.hold_margin),
        ("store_timeout_ms", &mut timings.store_timeout),
        ("heartbeat_every_ms", &mut timings.heartbeat_every),
        ("peer_timeout_ms", &mut timings.peer_timeout),
        ("report_every_ms", &mut timings.report_every),
        ("engine_timeout_ms", &mut timings.engine_timeout),
        ("wanted_every_ms", &mut timings.wanted_every),
        ("interest_ms", &mut timings.interest),
        ("usage_every_ms", &mut timings.usage_every),
        ("order_settle_ms", &mut timings.order_settle),
        ("close_grace_ms", &mut timings.close_grace),
        ("entry_ttl_ms", &mut timings.entry_ttl),
        ("gone_after_ms", &mut timings.gone_after),
        ("upstream_heartbeat_ms", &mut timings.upstream_heartbeat),
    ];
    for (key, field) in fields {
        *field = section.optional(report, key, *field, millis(10, MAX_MILLIS));
    }
    let none = Duration::ZERO;
    timings.order_gap = section.optional(report, "order_gap_ms", none, millis(0, MAX_MILLIS));
    timings.list_grace = section.optional(report, "list_grace_ms", none, millis(0, MAX_MILLIS));
    let entry_ttl = timings.entry_ttl;
    timings.entry_kept = section.optional(report, "entry_kept_ms", entry_ttl, millis(10, MAX_MILLIS));
    let seconds = |value: &Value<'_>| fraction(value, 0.1, MAX_GRACE_SECS).map(Duration::from_secs_f64);
    timings.shutdown_grace =
        section.optional(report, "shutdown_grace_s", None, |value| seconds(value).map(Some));
    check(&timings, &section, report);
    section.finish(report);
    timings
}

/// Checks the constraints between the values.
///
/// A process that acts on a lease after its end could conflict with the next
/// owner at an engine that ignores fences: two loads where the rules allow one.
fn check(timings: &Timings, section: &Section<'_>, report: &mut Report<'_>) {
    let mut expect = |holds: bool, key: &str, remedy: &str| {
        if !holds {
            report.add(section.path_of(key), section.line(report, key), remedy);
        }
    };
    expect(timings.hold <= timings.lease_ttl, "hold_ms", "is longer than lease_ttl_ms; make it shorter");
    expect(
        timings.renew_every * 2 <= timings.hold,
        "renew_every_ms",
        "leaves no second try within hold_ms; make it at most half of that",
    );
    expect(
        timings.heartbeat_every * 2 <= timings.peer_timeout,
        "heartbeat_every_ms",
        "is more than half of peer_timeout_ms; make it shorter",
    );
    expect(
        timings.report_every * 2 <= timings.engine_timeout,
        "report_every_ms",
        "is more than half of engine_timeout_ms; make it shorter",
    );
    expect(
        timings.lease_ttl.as_millis() >= 1000,
        "lease_ttl_ms",
        "is shorter than a second, the service's smallest lease; make it longer",
    );
}
