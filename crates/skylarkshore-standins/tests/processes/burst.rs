//! Many callers at once.

use crate::bench::{Bench, Needs, ask};

/// After a quiet spell, callers ask for the same cold model at every entry host
/// within the same moment. Did each host decide by itself, nine replicas would be
/// loaded; the callers of eight would wait for loads that nobody needs.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_for_one_cold_model_at_nine_hosts_becomes_one_load() {
    let bench = Bench::start(Needs { entries: 9, engines: 3, ..Needs::default() }).await;
    let mut callers = Vec::new();
    for entry in 0..9 {
        for i in 0..5 {
            let caller = bench.caller(entry);
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
