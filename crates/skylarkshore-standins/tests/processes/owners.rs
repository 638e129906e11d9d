//! Owners of engines whose process crashes or freezes.

use std::time::Duration;

use skylarkshore_standins::process::{Signal, wait_until};
use tokio::time::sleep;

use crate::bench::{Bench, BenchSettings, LIMIT, ask};

/// Waits until the home of a model loads it, and returns the index of the home's owner.
async fn loading_owner(bench: &Bench, model: &str) -> usize {
    let home = bench.home(model).expect("it has a home");
    assert!(wait_until(LIMIT, || !home.report().models.is_empty()).await, "no load was begun");
    bench.owner(home.id().as_str()).expect("the home has an owner")
}

/// The host that ordered a load is killed during the load. If its successor loaded
/// the model elsewhere, there would be two replicas; if it ignored the load in
/// progress, the waiting callers would get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_during_a_load_causes_no_second_load() {
    let bench = Bench::start(BenchSettings::default()).await;
    bench.fleet.weights.set_speed(30);
    let home = bench.home("alpha").expect("it has a home");
    let owner = bench.owner(home.id().as_str()).expect("it has an owner");
    let waiting: Vec<_> = bench
        .others(owner)
        .into_iter()
        .map(|entry| {
            let caller = bench.caller_address(entry);
            tokio::spawn(async move { ask(caller, "alpha", &format!("from-{entry}")).await })
        })
        .collect();
    assert_eq!(loading_owner(&bench, "alpha").await, owner);
    bench.entries[owner].signal(Signal::Kill).await.expect("it runs");
    for request in waiting {
        request.await.expect("no panic").unwrap_or_else(|err| panic!("{err}"));
    }
    assert_eq!(bench.loads("alpha"), 1);
    bench.check_invariants();
}

/// Freezes the owner of a model's home while it has an open request, waits until
/// another host takes the home over, and resumes the frozen owner.
async fn freeze_past_the_lease(checks_fences: bool) {
    let bench = Bench::start(BenchSettings { checks_fences, ..BenchSettings::default() }).await;
    let home = bench.home("beta").expect("it has a home").id().as_str().to_owned();
    let frozen = bench.owner(&home).expect("it has an owner");
    let caller = bench.caller_address(frozen);
    let open = tokio::spawn(async move { ask(caller, "alpha", "open").await });
    sleep(Duration::from_millis(30)).await;
    bench.entries[frozen].signal(Signal::Stop).await.expect("it runs");
    let taken_over = || bench.owner(&home).is_some_and(|owner| owner != frozen);
    assert!(wait_until(LIMIT, taken_over).await, "no host took over {home}");
    let others = bench.others(frozen);
    for (i, model) in ["beta", "gamma", "alpha"].iter().enumerate() {
        let caller = bench.caller_address(others[i % others.len()]);
        ask(caller, model, &format!("to-{model}")).await.unwrap_or_else(|err| panic!("{model}: {err}"));
    }
    bench.entries[frozen].signal(Signal::Cont).await.expect("it runs");
    // The resumed host briefly still acts as the home's owner.
    let resumed = open.await.expect("no panic");
    assert!(resumed.is_ok() || resumed.as_ref().is_err_and(|err| err.contains("not_run")), "{resumed:?}");
    let caller = bench.caller_address(frozen);
    let mut answered = Err("never asked".to_owned());
    for i in 0..50 {
        answered = ask(caller, "beta", &format!("after-{i}")).await;
        if answered.is_ok() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    answered.unwrap_or_else(|err| panic!("the resumed host doesn't serve: {err}"));
    bench.check_invariants();
}

/// An owner's process freezes for longer than its lease, as on a host short of
/// memory, and another host takes over its engine. When it resumes, it briefly acts
/// as if it still held the lease; the engine refuses its orders.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_frozen_past_its_lease_does_no_harm_where_engines_check_fences() {
    freeze_past_the_lease(true).await;
}

/// The same with an engine that ignores fences. Only the resumed owner's own clock
/// prevents a second load, which would overcommit memory and exceed the power cap.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_frozen_past_its_lease_does_no_harm_where_engines_ignore_fences() {
    freeze_past_the_lease(false).await;
}
