//! Graceful shutdown of entry hosts and planned removal of engines.

use std::time::Duration;

use serde_json::json;
use skylarkshore_standins::client::Call;
use skylarkshore_standins::process::Signal;
use skylarkshore_wire::caller::EntryAnswer;
use tokio::time::sleep;

use crate::bench::{Bench, BenchSettings, LIMIT, ask};

/// A host is replaced while streams run through it and callers still use its
/// address from an earlier entry list. It must finish the streams and be removed
/// from the list before its port closes.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_during_streams_completes_them_and_exits_with_zero() {
    let bench_settings = BenchSettings { token_time: Duration::from_millis(25), ..BenchSettings::default() };
    let mut bench = Bench::start(bench_settings).await;
    ask(bench.caller_address(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let mut streams = Vec::new();
    for i in 0..4 {
        let body = json!({"model": "alpha", "prompt": format!("s{i}"), "max_tokens": 80, "stream": true});
        let call = Call::post(bench.caller_address(0), "/v1/completions", body.to_string());
        streams.push(call.stream().await.expect("it answers"));
    }
    for stream in &mut streams {
        stream.next().await.expect("it streams").expect("a first part");
    }
    bench.entries[0].signal(Signal::Term).await.expect("it runs");
    let removed = async {
        loop {
            let answer = Call::get(bench.caller_address(1), "/v1/entry").send().await.expect("it answers");
            let entry: EntryAnswer = answer.json().expect("the right shape");
            if !entry.hosts.iter().any(|host| host.address == bench.caller_address(0)) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, removed).await.expect("the leaving host is removed from the entry list");
    for stream in streams {
        let rest = stream.rest().await.expect("the stream is complete").text();
        assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
        let tokens = rest.matches("data: ").count();
        assert!(tokens >= 80, "{tokens} events came after the first part");
    }
    let status = bench.entries[0].wait_ended(LIMIT).await.expect("it ends");
    assert!(status.success(), "{status}: {}", bench.entries[0].log());
    ask(bench.caller_address(1), "alpha", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}

/// The platform marks an engine as leaving, and the hosts learn of it with a delay
/// while callers send requests. Its models must move without a failed request.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_fails_while_an_engine_leaves() {
    let bench = Bench::start(BenchSettings::default()).await;
    ask(bench.caller_address(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let home = bench.home("alpha").expect("it has a home").id().clone();
    bench.fleet.hosts.mark_leaving(&home);
    let elsewhere = async {
        let mut i = 0;
        while bench.home("alpha").is_none_or(|now| *now.id() == home) {
            ask(bench.caller_address(i % 3), "alpha", &format!("ask-{i}"))
                .await
                .unwrap_or_else(|err| panic!("{err}"));
            i += 1;
        }
    };
    tokio::time::timeout(LIMIT, elsewhere).await.expect("the home moves");
    ask(bench.caller_address(1), "alpha", "elsewhere").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}
