//! Tests of the stand-ins themselves.

use std::time::Duration;

use serde_json::{Value, json};
use skylarkshore_standins::client::{Call, CallError};
use skylarkshore_standins::engine::expected_text;
use skylarkshore_standins::fleet::{Fleet, FleetSettings};
use skylarkshore_standins::store::StoreFaults;

async fn fleet() -> Fleet {
    Fleet::start(&FleetSettings::small(1, 1).expect("the names are valid")).await.expect("ports are free")
}

async fn post(address: std::net::SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let answer = Call::post(address, path, body.to_string()).send().await.expect("it answers");
    (answer.status.as_u16(), serde_json::from_slice(&answer.body).unwrap_or(Value::Null))
}

#[tokio::test]
async fn the_store_compares_and_swaps_and_expires_leases() {
    let fleet = fleet().await;
    let store = fleet.store.address();
    let (_, lease) = post(store, "/v3/lease/grant", &json!({"TTL": "1"})).await;
    let put = |expected: &str| {
        json!({
            "compare": [{"key": "a2V5", "target": "MOD", "result": "EQUAL", "mod_revision": expected}],
            "success": [{"request_put": {"key": "a2V5", "value": "b25l", "lease": lease["ID"]}}],
            "failure": [{"request_range": {"key": "a2V5"}}],
        })
    };
    let (_, first) = post(store, "/v3/kv/txn", &put("0")).await;
    assert_eq!(first["succeeded"], true);
    assert_eq!(first["header"]["revision"], "2");
    let (_, second) = post(store, "/v3/kv/txn", &put("0")).await;
    assert_eq!(second["succeeded"], Value::Null);
    assert_eq!(second["responses"][0]["response_range"]["kvs"][0]["value"], "b25l");

    let watch = json!({"create_request": {"key": "a2V5", "start_revision": "3"}});
    let mut watch = Call::post(store, "/v3/watch", watch.to_string()).stream().await.expect("it answers");
    let created = watch.next().await.expect("it streams").expect("it confirms the watch");
    assert!(String::from_utf8_lossy(&created).contains("created"));
    let deleted = watch.next().await.expect("it streams").expect("the lease expires");
    assert!(String::from_utf8_lossy(&deleted).contains("DELETE"));
    let (_, kept) = post(store, "/v3/lease/keepalive", &json!({"ID": lease["ID"]})).await;
    assert_eq!(kept["result"]["TTL"], Value::Null);
}

/// The answer to a write is lost after the write took effect: the sender sees a
/// broken connection although the value is stored.
#[tokio::test]
async fn a_lost_answer_leaves_the_write_in_effect() {
    let fleet = fleet().await;
    fleet.store.set_faults(StoreFaults { lose_writes: 1, ..StoreFaults::default() });
    let txn = json!({"success": [{"request_put": {"key": "a2V5", "value": "b25l"}}]}).to_string();
    let lost = Call::post(fleet.store.address(), "/v3/kv/txn", txn).send().await;
    assert!(matches!(lost, Err(CallError::Broken(_))), "{lost:?}");
    assert_eq!(fleet.store.contents().get("key").map(String::as_str), Some("one"));
}

#[tokio::test]
async fn an_engine_loads_answers_and_resumes_a_stream() {
    let fleet = fleet().await;
    let engine = &fleet.engines[0];
    let load = json!({"load": {"model": "m", "version": "1", "memory_mib": 1000}});
    let order = json!({"order": 1, "fence": 5, "action": load});
    assert_eq!(post(engine.address(), "/admin/orders", &order).await, (200, json!({"accepted": true})));
    let old = json!({"order": 2, "fence": 4, "action": "raise_fence"});
    let refused = (409, json!({"fence_too_low": {"seen": 5}}));
    assert_eq!(post(engine.address(), "/admin/orders", &old).await, refused);
    while !engine.is_ready(&"m".parse().expect("a name")) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let chat = json!({"model": "m", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 3});
    let (status, completion) = post(engine.address(), "/v1/chat/completions", &chat).await;
    assert_eq!(status, 200);
    assert_eq!(completion["choices"][0]["message"]["content"], expected_text("m", "hello", 3));

    let prompt = json!({"model": "m", "prompt": "hello", "max_tokens": 3, "stream": true}).to_string();
    let call = Call::post(engine.address(), "/v1/completions", prompt).header("x-resume-offset", "2");
    let rest = call.send().await.expect("it answers").text();
    assert_eq!(rest.matches("data: ").count(), 3, "{rest}");
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
    assert_eq!(fleet.census.counts().answered, 2);
}
