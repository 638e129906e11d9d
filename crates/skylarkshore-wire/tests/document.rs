//! Tests for parsing, checking and serializing the operators' document.

use skylarkshore_core::catalogue::Document;
use skylarkshore_wire::document::{DocumentWire, check};

const DOCUMENT: &str = r#"{
    // Watts for each site.
    "power_caps": { "lagerraum": 4200 },
    "models": {
        "summary": {
            "version": "3", "weights_mib": 16000, "kv_cache_mib": 4000, "load_time_ms": 5000,
            "adapters": { "summary:bern": 120 },
        },
    },
    "services": { "marketplace": { "once_paths": ["/bookings"], "concurrency": 16 } },
    "rules": [
        {
            "name": "by day",
            "when": { "models": ["summary"], "hours": { "from": "07:00", "to": "19:00" } },
            "then": { "replicas_min": 1, "idle_after": { "seconds": 900 }, "order": 10 },
        },
        { "name": "rest", "then": { "idle_after": "adaptive" } },
    ],
}"#;

fn parse(text: &str) -> Result<Document, String> {
    let wire = DocumentWire::parse(text).map_err(|err| err.to_string())?;
    Document::try_from(wire).map_err(|err| err.to_string())
}

#[test]
fn document_survives_a_round_trip() {
    let document = parse(DOCUMENT).unwrap();
    let text = DocumentWire::from(&document).to_pretty_json();
    assert_eq!(parse(&text).unwrap(), document);
}

#[test]
fn valid_document_has_no_findings() {
    assert_eq!(check(&parse(DOCUMENT).unwrap()), []);
}

#[test]
fn unknown_names_and_unreachable_rules_are_reported_together() {
    let text = DOCUMENT.replace(
        r#""rules": ["#,
        r#""rules": [
        { "name": "all", "then": {} },
        { "name": "typing error", "when": { "models": ["sumary"], "services": ["market"] }, "then": {} },
        { "name": "never", "when": { "callers": [] }, "then": { "replicas_min": 2, "replicas_max": 1 } },"#,
    );
    let findings = check(&parse(&text).unwrap());
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    error: rule 'typing error': there is no model 'sumary'; correct the name or add the model under models
    error: rule 'typing error': there is no service 'market'; correct the name or add the service under services
    warning: rule 'typing error': it can never match, since nothing fulfils all of its conditions; remove a condition or the rule
    error: rule 'never': replicas_min 2 is above replicas_max 1; raise replicas_max or lower replicas_min
    warning: rule 'never': it can never match, since nothing fulfils all of its conditions; remove a condition or the rule
    warning: rule 'by day': it can never match, since 'all' matches first wherever it would; move it up or remove it
    warning: rule 'rest': it can never match, since 'all' matches first wherever it would; move it up or remove it
    ");
}

#[test]
fn condition_that_is_not_measured_is_reported() {
    let text = DOCUMENT.replace(r#""hours""#, r#""power_pressure": 90, "hours""#);
    let lines: Vec<String> = check(&parse(&text).unwrap()).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @"warning: rule 'by day': power_pressure isn't measured yet, so the rule never matches; use queue_at_least, or order and refuse without it");
}

#[test]
fn errors_name_the_location_and_the_remedy() {
    let errors = [
        parse("{"),
        parse(r#"{"power_caps": {}, "models": {}, "rule": []}"#),
        parse(&DOCUMENT.replace("19:00", "25:00")),
        parse(&DOCUMENT.replace("\"summary\": {", "\"sum mary\": {")),
    ];
    let lines: Vec<String> = errors.into_iter().map(|err| err.unwrap_err()).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    the document is not JSON with comments: Unterminated object on line 1 column 2; correct the text at that position
    the document does not match the schema: unknown field `rule`, expected one of `revision`, `power_caps`, `models`, `services`, `accounts`, `rules`, `otherwise`; see the page OPERATIONS for the keys and their values
    rule 'by day': '25:00' is not a time of day; write hours and minutes in UTC, for example 18:30
    the document does not match the schema: 'sum mary' is not a name; use 1 to 128 letters, digits or any of . _ : / @ -; see the page OPERATIONS for the keys and their values
    ");
}
