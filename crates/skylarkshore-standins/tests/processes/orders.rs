//! Orders to engines that are lost or delayed, or whose answers are lost.

use skylarkshore_standins::engine::EngineFaults;

use crate::bench::{Bench, BenchSettings, ask};

async fn load_with_faults(faults: EngineFaults) -> Bench {
    let bench = Bench::start(BenchSettings::default()).await;
    for engine in &bench.fleet.engines {
        engine.set_faults(faults.clone());
    }
    let (first, second) = tokio::join!(
        ask(bench.caller_address(0), "alpha", "first"),
        ask(bench.caller_address(1), "alpha", "second")
    );
    first.unwrap_or_else(|err| panic!("{err}"));
    second.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
    bench
}

/// The engine accepts a load order, but its answer is lost. If the owner released
/// the reserved memory, it would load a second model into it.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_is_resolved_by_the_engines_report() {
    let bench = load_with_faults(EngineFaults { lose_order_answers: 1, ..EngineFaults::default() }).await;
    assert_eq!(bench.loads("alpha"), 1);
}

/// A load order never reaches the engine, and its sender only sees a broken
/// connection. Without a retry the callers would wait until their time-out.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_order_is_sent_again() {
    let bench = load_with_faults(EngineFaults { drop_orders: 1, ..EngineFaults::default() }).await;
    assert_eq!(bench.loads("alpha"), 1);
}

/// Orders take effect long after they were sent. If the owner abandoned one and
/// loaded the model elsewhere, there would be two replicas once it arrives.
#[tokio::test(flavor = "multi_thread")]
async fn the_owner_waits_for_a_delayed_order() {
    let bench = load_with_faults(EngineFaults { late_orders_ms: 1500, ..EngineFaults::default() }).await;
    assert_eq!(bench.loads("alpha"), 1);
}
