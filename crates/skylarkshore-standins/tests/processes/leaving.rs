//! Hosts that leave in an orderly way.

use std::time::Duration;

use serde_json::json;
use skylarkshore_standins::client::Call;
use skylarkshore_standins::process::Signal;
use skylarkshore_wire::caller::EntryAnswer;
use tokio::time::sleep;

use crate::bench::{Bench, LIMIT, Needs, ask};

/// A host is replaced while streams run through it, and while callers still hold
/// its address from an earlier answer. A stream that is cut off, or a caller that
/// finds the port closed, would be the first to notice.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_during_streams_cuts_nothing_and_ends_with_zero() {
    let needs = Needs { token_time: Duration::from_millis(25), ..Needs::default() };
    let mut bench = Bench::start(needs).await;
    ask(bench.caller(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let mut streams = Vec::new();
    for i in 0..4 {
        let body = json!({"model": "alpha", "prompt": format!("s{i}"), "max_tokens": 80, "stream": true});
        let call = Call::post(bench.caller(0), "/v1/completions", body.to_string());
        streams.push(call.stream().await.expect("it answers"));
    }
    for stream in &mut streams {
        stream.next().await.expect("it streams").expect("a first part");
    }
    bench.entries[0].signal(Signal::Term).await.expect("it runs");
    let left = async {
        loop {
            let answer = Call::get(bench.caller(1), "/v1/entry").send().await.expect("it answers");
            let entry: EntryAnswer = answer.json().expect("the right shape");
            if !entry.hosts.iter().any(|host| host.address == bench.caller(0)) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, left).await.expect("the leaving host vanishes from the entry list");
    for stream in streams {
        let rest = stream.rest().await.expect("the stream is whole").text();
        assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
        let tokens = rest.matches("data: ").count();
        assert!(tokens >= 80, "{tokens} events came after the first part");
    }
    let status = bench.entries[0].wait_ended(LIMIT).await.expect("it ends");
    assert!(status.success(), "{status}: {}", bench.entries[0].log());
    ask(bench.caller(1), "alpha", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}

/// The platform marks an engine as leaving, the list is late, and callers go on
/// asking. Its models have to be found elsewhere, and nobody may be dropped.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_leaves_loses_no_request() {
    let bench = Bench::start(Needs::default()).await;
    ask(bench.caller(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let home = bench.home("alpha").expect("it has a home").id().clone();
    bench.fleet.hosts.mark_leaving(&home);
    let elsewhere = async {
        let mut i = 0;
        while bench.home("alpha").is_none_or(|now| *now.id() == home) {
            ask(bench.caller(i % 3), "alpha", &format!("ask-{i}"))
                .await
                .unwrap_or_else(|err| panic!("{err}"));
            i += 1;
        }
    };
    tokio::time::timeout(LIMIT, elsewhere).await.expect("the home moves");
    ask(bench.caller(1), "alpha", "elsewhere").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}
