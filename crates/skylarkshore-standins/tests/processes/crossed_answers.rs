//! Answers to the wrong request, and streams whose engine crashes.

use std::time::Duration;

use serde_json::{Value, json};
use skylarkshore_standins::client::Call;
use skylarkshore_standins::engine::{EngineFaults, expected_text};

use crate::bench::{Bench, BenchSettings, REQUEST_TIMEOUT_MS, ask};

/// An engine confuses two requests. Without the check, a caller would get the
/// answer to another caller's request without any sign of an error.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_discarded() {
    let bench = Bench::start(BenchSettings::default()).await;
    ask(bench.caller_address(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let home = bench.home("alpha").expect("it has a home");
    home.set_faults(EngineFaults { crossed_answers: 1, ..EngineFaults::default() });
    ask(bench.caller_address(1), "alpha", "my-own").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}

/// An engine crashes during a stream and restarts without a model. The stream
/// pauses and then continues; every token arrives once and in order.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_after_its_engine_crashed() {
    const STREAM_TOKENS: u32 = 40;
    let bench =
        Bench::start(BenchSettings { token_time: Duration::from_millis(25), ..BenchSettings::default() })
            .await;
    ask(bench.caller_address(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let body = json!({"model": "alpha", "prompt": "a long one", "max_tokens": STREAM_TOKENS, "stream": true});
    let call = Call::post(bench.caller_address(2), "/v1/completions", body.to_string())
        .header("x-request-timeout-ms", &REQUEST_TIMEOUT_MS.to_string());
    let mut stream = call.stream().await.expect("it answers");
    let mut text = String::new();
    for _ in 0..5 {
        let part = stream.next().await.expect("it streams").expect("a part");
        text += &String::from_utf8_lossy(&part);
    }
    bench.home("alpha").expect("it has a home").crash();
    text += &stream.rest().await.expect("the stream is complete").text();
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"), "{text}");
    let token = |event: &&str| {
        let event = serde_json::from_str::<Value>(event).unwrap_or_default();
        event.pointer("/choices/0/text").and_then(Value::as_str).unwrap_or_default().to_owned()
    };
    let streamed: String = events.iter().map(token).collect();
    assert_eq!(streamed, expected_text("alpha", "a long one", STREAM_TOKENS));
}
