//! Answers that belong to another request, or break off.

use std::time::Duration;

use serde_json::{Value, json};
use skylarkshore_standins::client::Call;
use skylarkshore_standins::engine::{EngineFaults, expected_text};

use crate::bench::{Bench, Needs, PATIENT_MS, ask};

/// An engine mixes two requests up. A caller would read another one's lease
/// comparison, which nobody would notice until it is too late.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_thrown_away() {
    let bench = Bench::start(Needs::default()).await;
    ask(bench.caller(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let home = bench.home("alpha").expect("it has a home");
    home.set_faults(EngineFaults { crossed_answers: 1, ..EngineFaults::default() });
    ask(bench.caller(1), "alpha", "my-own").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}

/// An engine dies in the middle of a stream and comes back with nothing loaded.
/// The caller sees a pause; every token comes once, in its order.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_after_its_engine_died() {
    const LONG: u32 = 40;
    let bench = Bench::start(Needs { token_time: Duration::from_millis(25), ..Needs::default() }).await;
    ask(bench.caller(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let body = json!({"model": "alpha", "prompt": "a long one", "max_tokens": LONG, "stream": true});
    let call = Call::post(bench.caller(2), "/v1/completions", body.to_string())
        .header("x-request-timeout-ms", &PATIENT_MS.to_string());
    let mut stream = call.stream().await.expect("it answers");
    let mut text = String::new();
    for _ in 0..5 {
        let part = stream.next().await.expect("it streams").expect("a part");
        text += &String::from_utf8_lossy(&part);
    }
    bench.home("alpha").expect("it has a home").crash();
    text += &stream.rest().await.expect("the stream is whole").text();
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"), "{text}");
    let token = |event: &&str| {
        let event = serde_json::from_str::<Value>(event).unwrap_or_default();
        event.pointer("/choices/0/text").and_then(Value::as_str).unwrap_or_default().to_owned()
    };
    let streamed: String = events.iter().map(token).collect();
    assert_eq!(streamed, expected_text("alpha", "a long one", LONG));
}
