//! Upstreams whose host is reclaimed.

use skylarkshore_standins::process::wait_until;

use crate::bench::{Bench, BenchSettings, LIMIT, ask};

/// The host of an engine is reclaimed without warning while a model is loaded, and
/// the host list still names it for a while. Once the list drops it and no host
/// reaches it, its models must get other homes, or callers would be refused forever.
#[tokio::test(flavor = "multi_thread")]
async fn models_of_a_reclaimed_engine_move_to_another_home() {
    let bench = Bench::start(BenchSettings::default()).await;
    ask(bench.caller_address(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
    let lost = bench.home("alpha").expect("it has a home").id().clone();
    bench.fleet.engine(lost.as_str()).expect("it is there").stop();
    bench.fleet.hosts.remove(&lost);
    let moved = || {
        ["alpha", "beta", "gamma"]
            .iter()
            .all(|model| bench.home(model).is_some_and(|home| *home.id() != lost))
    };
    assert!(wait_until(LIMIT, moved).await, "not every model has another home");
    for (i, model) in ["alpha", "beta", "gamma"].iter().enumerate() {
        ask(bench.caller_address(i), model, &format!("to-{model}"))
            .await
            .unwrap_or_else(|err| panic!("{model}: {err}"));
    }
    bench.check_invariants();
}
