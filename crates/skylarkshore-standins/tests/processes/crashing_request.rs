//! A request that crashes every engine that runs it.

use std::time::Duration;

use skylarkshore_standins::engine::CRASH_MARKER;
use tokio::time::sleep;

use crate::bench::{Bench, BenchSettings, ask};

/// A request crashes the engine that runs it, and its caller repeats it through
/// other hosts. If the hosts didn't share the crashes, it would crash one engine
/// after another, together with all other requests on them.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_refused_everywhere_after_its_second_crash() {
    let bench_settings = BenchSettings { token_time: Duration::from_millis(60), ..BenchSettings::default() };
    let bench = Bench::start(bench_settings).await;
    ask(bench.caller_address(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let caller = bench.caller_address(1);
    let concurrent = tokio::spawn(async move { ask(caller, "alpha", "concurrent").await });
    sleep(Duration::from_millis(100)).await;
    let mut refusals = Vec::new();
    for attempt in 0..6 {
        let refused = ask(bench.caller_address(attempt % 3), "alpha", CRASH_MARKER).await;
        refusals.push(refused.expect_err("it never gets an answer"));
        if refusals.last().is_some_and(|refusal| refusal.contains("crashes_upstreams")) {
            break;
        }
    }
    assert!(refusals.last().is_some_and(|refusal| refusal.contains("crashes_upstreams")), "{refusals:#?}");
    concurrent.await.expect("no panic").unwrap_or_else(|err| panic!("the concurrent request: {err}"));
    for entry in 0..3 {
        let refused =
            ask(bench.caller_address(entry), "alpha", CRASH_MARKER).await.expect_err("it is refused");
        assert!(refused.contains("crashes_upstreams"), "host {entry}: {refused}");
    }
    assert_eq!(bench.fleet.census.counts().crashes, 2);
    ask(bench.caller_address(2), "alpha", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
}
