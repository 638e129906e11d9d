//! Parsing of traces, expected outcomes and policies, and the errors for invalid input.

use std::time::Duration;

use skylarkshore_standins::replay::{Deployment, Expectations, Policy, Profile, Trace, generate};

const HEADER: &str = "skylarkshore-trace 1\ndeployment lagerraum.json\nseed 11\nspan 100\n";

fn deployment(name: &str) -> Deployment {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/");
    Deployment::parse(&std::fs::read_to_string(format!("{folder}{name}.json")).unwrap()).unwrap()
}

#[test]
fn a_generated_trace_round_trips_and_fits_its_deployment() {
    for (profile, name) in [(Profile::Lagerraum, "lagerraum"), (Profile::Huon, "huon")] {
        let deployment = deployment(name);
        let trace = generate(profile, &format!("{name}.json"), &deployment, 3);
        let text = trace.to_text();
        let read = Trace::parse(&text).unwrap();
        assert_eq!(read.to_text(), text);
        assert_eq!(read.check(&deployment), Ok(()));
        assert_eq!(generate(profile, &format!("{name}.json"), &deployment, 3).to_text(), text);
    }
}

#[test]
fn an_invalid_trace_line_is_reported_with_its_remedy() {
    let deployment = deployment("lagerraum");
    let lines = [
        "1000 1 c1 summary-1 30000",
        "soon 1 c1 summary-1 30000 500",
        "1000 0 c1 summary-1 30000 500",
        "1000 1 c1 once=market 30000 500",
        "200000 1 c1 summary-1 30000 500",
        "1000 1 c1 summary-1 30000 500\n900 1 c1 summary-1 30000 500",
        "1000 10 c1 summary-1 30000 500",
        "1000 1 c1 sumary-1 30000 500",
        "1000 1 c1 service=markt 30000 500",
    ];
    let messages = lines.map(|line| {
        let trace = Trace::parse(&format!("{HEADER}{line}\n"));
        trace.and_then(|trace| trace.check(&deployment)).unwrap_err().to_string()
    });
    insta::assert_snapshot!(messages.join("\n"), @r"
    line 5: it has 5 fields; write at_ms, host, caller, target, timeout_ms and run_ms
    line 5: 'soon' is not a time in milliseconds; write a whole number
    line 5: hosts are counted from 1
    line 5: a call that may not be repeated needs a key; write once=SERVICE/KEY
    line 5: it arrives after the trace's end; raise the span or remove the line
    line 6: it arrives before the line above; sort the lines by time
    line 5: there is no host 10; the deployment has 1 to 9
    line 5: the deployment has no model or adapter 'sumary-1'; correct the name or add it to the deployment
    line 5: the deployment has no service 'markt'; correct the name or add it to the deployment
    ");
    let invalid_headers = [Trace::parse(""), Trace::parse("skylarkshore-trace 1\nseed 11\n")];
    let messages = invalid_headers.map(|trace| trace.unwrap_err().to_string());
    insta::assert_snapshot!(messages.join("\n"), @r"
    line 1: unsupported trace format; the first line must be 'skylarkshore-trace 1'
    line 2: missing or invalid 'deployment'; write 'deployment' and the file that describes the deployment
    ");
}

#[test]
fn an_unknown_policy_or_metric_is_reported_with_the_valid_ones() {
    let policies = ["rules", "rules@50%", "fixed-60s", "never", "at-once", "fcfs"];
    for name in policies {
        assert_eq!(name.parse::<Policy>().unwrap().to_string(), name);
    }
    let messages = [
        "fixed-one".parse::<Policy>().unwrap_err().to_string(),
        Expectations::parse("served at-least 10\nloads under 3").unwrap_err().to_string(),
    ];
    insta::assert_snapshot!(messages.join("\n"), @r"
    unknown policy 'fixed-one'; use rules, rules@PERCENT%, fixed-SECONDSs, never, at-once or fcfs
    line 2: 'loads under 3' is no expected outcome; write METRIC at-least|at-most NUMBER, for example 'loads at-most 120'; the metrics are served, refused-not-run, ended-otherwise, longest-cold-start-s, p99-wait-s, idle-accelerator-hours, peak-watts, loads
    ");
}

#[test]
fn policies_change_the_idle_time_of_every_rule() {
    let document = deployment("huon").document;
    let fixed = Policy::Fixed(60).apply(&document);
    let outcomes = fixed.rules.list.iter().map(|rule| &rule.then).chain([&fixed.rules.otherwise]);
    let idle = skylarkshore_core::rules::IdleAfter::Fixed(Duration::from_mins(1));
    assert!(outcomes.into_iter().all(|outcome| outcome.idle_after == idle));
}
