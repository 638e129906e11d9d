//! A request that crashes whatever engine runs it.

use std::time::Duration;

use skylarkshore_standins::engine::CRASH_MARKER;
use tokio::time::sleep;

use crate::bench::{Bench, Needs, ask};

/// One odd request crashes the engine that runs it, and its caller sends it again
/// through another host. Without a word among the hosts it would take down one
/// engine after the other, and every neighbour's request with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_refused_everywhere_after_its_second_crash() {
    let needs = Needs { token_time: Duration::from_millis(60), ..Needs::default() };
    let bench = Bench::start(needs).await;
    ask(bench.caller(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let caller = bench.caller(1);
    let neighbour = tokio::spawn(async move { ask(caller, "alpha", "innocent-neighbour").await });
    sleep(Duration::from_millis(100)).await;
    let mut words = Vec::new();
    for attempt in 0..6 {
        let refused = ask(bench.caller(attempt % 3), "alpha", CRASH_MARKER).await;
        words.push(refused.expect_err("it never gets an answer"));
        if words.last().is_some_and(|word| word.contains("crashes_upstreams")) {
            break;
        }
    }
    assert!(words.last().is_some_and(|word| word.contains("crashes_upstreams")), "{words:#?}");
    neighbour.await.expect("no panic").unwrap_or_else(|err| panic!("the neighbour: {err}"));
    for entry in 0..3 {
        let refused = ask(bench.caller(entry), "alpha", CRASH_MARKER).await.expect_err("it is refused");
        assert!(refused.contains("crashes_upstreams"), "host {entry}: {refused}");
    }
    assert_eq!(bench.fleet.census.counts().crashes, 2);
    ask(bench.caller(2), "alpha", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
}
