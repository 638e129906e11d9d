//! Tests for the operator endpoints of a running process.

use std::collections::BTreeSet;

use serde_json::Value;
use skylarkshore_standins::client::Call;

use crate::deployment::{Deployment, until};

#[tokio::test]
async fn state_dump_lists_models_engines_and_ownership() {
    let deployment = Deployment::start_warm().await;
    let state = deployment.state().await;
    let keys: Vec<&String> = state.as_object().unwrap().keys().collect();
    insta::assert_debug_snapshot!(keys, @r#"
    [
        "beliefs",
        "document_revision",
        "host",
        "incarnation",
        "leaving",
        "ready",
        "store_revision",
    ]
    "#);
    let beliefs = state["beliefs"].as_array().unwrap();
    let kinds: BTreeSet<&str> = beliefs.iter().map(|belief| belief["kind"].as_str().unwrap()).collect();
    for kind in ["engine", "homes", "lease", "member", "model", "ownership", "power"] {
        assert!(kinds.contains(kind), "no {kind} in {kinds:?}");
    }
    for belief in beliefs {
        assert!(belief["subject"].is_string() && belief["state"].is_string(), "{belief}");
    }
}

#[tokio::test]
async fn explanation_names_the_first_matching_rule() {
    let deployment = Deployment::start().await;
    let answer = deployment.operator("/debug/explain?model=listing-summary-fr").await.unwrap();
    let mut explanation: Value = answer.json().unwrap();
    explanation["facts"]["at"] = "07:00".into();
    insta::assert_snapshot!(explanation, @r#"{"adapter":"listing-summary-fr","document_revision":1,"facts":{"at":"07:00","data_centre":"bern-a"},"matched":{"name":"summaries first","then":{"cold_start_weight":1,"idle_after":"adaptive","idle_weight":1,"order":10,"replicas_max":1,"replicas_min":0},"when":{"models":["listing-summary"]}},"model":"listing-summary","outcome":{"cold_start_weight":1,"idle_after":"adaptive","idle_weight":1,"order":10,"replicas_max":1,"replicas_min":0},"tried":[{"holds":true,"name":"summaries first"}]}"#);
    let crowded = deployment.operator("/debug/explain?model=slow-to-load&queue=9").await.unwrap();
    let crowded: Value = crowded.json().unwrap();
    assert_eq!(crowded["matched"]["name"], "long queues spread", "{crowded}");
    let unknown = deployment.operator("/debug/explain?model=no-such-model").await.unwrap();
    assert_eq!(unknown.status.as_u16(), 400);
    assert!(unknown.text().contains("see /debug/rules for those there are"));
}

#[tokio::test]
async fn metric_names_follow_the_conventions() {
    let deployment = Deployment::start_warm().await;
    let text = deployment.operator("/metrics").await.unwrap().text();
    assert!(text.contains("skylarkshore_requests_total{end=\"answered\",target=\"model\"} 1"), "{text}");
    let types: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).collect();
    let distinct: BTreeSet<&&str> = types.iter().collect();
    assert_eq!(distinct.len(), types.len(), "duplicate metric name: {types:?}");
    for metric in types {
        let (name, kind) = metric.split_once(' ').unwrap();
        assert!(name.starts_with("skylarkshore_") || name.starts_with("process_"), "{metric}");
        assert_eq!(name.ends_with("_total"), kind == "counter", "{metric}");
        assert_eq!(kind == "histogram", name.ends_with("_seconds") && kind != "gauge", "{metric}");
    }
}

#[tokio::test]
async fn draining_host_is_removed_from_the_entry_list() {
    let mut deployment = Deployment::start().await;
    let hosts = async || {
        let answer = Call::get(deployment.callers, "/v1/entry").send().await.unwrap();
        assert_eq!(answer.headers["cache-control"], "max-age=1");
        answer.json::<Value>().unwrap()["hosts"].as_array().unwrap().len()
    };
    assert_eq!(hosts().await, 1);
    let drained = Call::post(deployment.operators, "/debug/drain", "").send().await.unwrap();
    assert_eq!(drained.status.as_u16(), 202);
    until("the host is removed from the entry list", || async { hosts().await == 0 }).await;
    assert_eq!(deployment.operator("/readyz").await.unwrap().status.as_u16(), 503);
    assert!(deployment.wait_for_exit().await.success(), "{}", deployment.log());
}
