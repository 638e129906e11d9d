//! Orders to engines that get lost, come late or lose their answers.

use skylarkshore_standins::engine::EngineFaults;

use crate::bench::{Bench, Needs, ask};

async fn load_under(faults: EngineFaults) -> Bench {
    let bench = Bench::start(Needs::default()).await;
    for engine in &bench.fleet.engines {
        engine.set_faults(faults.clone());
    }
    let (first, second) =
        tokio::join!(ask(bench.caller(0), "alpha", "first"), ask(bench.caller(1), "alpha", "second"));
    first.unwrap_or_else(|err| panic!("{err}"));
    second.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
    bench
}

/// The engine takes a load order, but its answer gets lost. An owner that gave the
/// memory free again would load a second model into it.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_is_settled_by_the_report() {
    let bench = load_under(EngineFaults { lose_order_answers: 1, ..EngineFaults::default() }).await;
    assert_eq!(bench.loads("alpha"), 1);
}

/// A load order never reaches the engine, and its sender only sees a broken
/// connection. Without another try the callers would wait in vain.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_is_lost_is_given_again() {
    let bench = load_under(EngineFaults { drop_orders: 1, ..EngineFaults::default() }).await;
    assert_eq!(bench.loads("alpha"), 1);
}

/// Orders take effect long after they were sent. An owner that gave up on one and
/// loaded elsewhere would have two replicas once it arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_order_is_waited_for() {
    let bench = load_under(EngineFaults { late_orders_ms: 1500, ..EngineFaults::default() }).await;
    assert_eq!(bench.loads("alpha"), 1);
}
