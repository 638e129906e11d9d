//! Concurrent requests for one model.

use crate::bench::{Bench, BenchSettings, ask};

/// Callers request the same cold model at nine entry hosts at once. If each host
/// decided alone, nine replicas would be loaded, eight of them needlessly.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_for_one_cold_model_at_nine_hosts_causes_one_load() {
    let bench = Bench::start(BenchSettings { entries: 9, engines: 3, ..BenchSettings::default() }).await;
    let mut callers = Vec::new();
    for entry in 0..9 {
        for i in 0..5 {
            let caller = bench.caller_address(entry);
            callers
                .push(tokio::spawn(async move { ask(caller, "alpha", &format!("ask-{entry}-{i}")).await }));
        }
    }
    for caller in callers {
        caller.await.expect("no panic").unwrap_or_else(|err| panic!("{err}"));
    }
    assert_eq!(bench.loads("alpha"), 1);
    bench.check_invariants();
}
