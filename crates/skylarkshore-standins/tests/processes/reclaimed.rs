//! Hosts of upstreams that are taken away.

use skylarkshore_standins::process::wait_until;

use crate::bench::{Bench, LIMIT, Needs, ask};

/// The host of an engine is reclaimed without a warning, with a model loaded. The
/// list names it for a while longer. Once nobody reaches it and the list has
/// forgotten it, its models have to find other homes, or their callers would be
/// refused for ever.
#[tokio::test(flavor = "multi_thread")]
async fn models_of_a_reclaimed_engine_find_another_home() {
    let bench = Bench::start(Needs::default()).await;
    ask(bench.caller(0), "alpha", "warm-up").await.unwrap_or_else(|err| panic!("{err}"));
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
        ask(bench.caller(i), model, &format!("to-{model}"))
            .await
            .unwrap_or_else(|err| panic!("{model}: {err}"));
    }
    bench.check_invariants();
}
