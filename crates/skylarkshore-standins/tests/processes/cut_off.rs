//! One host that can't reach the key-value service, or reads an old state of it.

use std::time::Duration;

use skylarkshore_standins::process::{Signal, wait_until};
use skylarkshore_standins::store::StoreFaults;
use tokio::time::{sleep, timeout};

use crate::bench::{Bench, LIMIT, Needs, RULES, ask};

/// Waits until a host has a revision of the rules, and checks that it never goes back on the way.
async fn wait_for_rules(bench: &Bench, entry: usize, wanted: u64) {
    let mut seen = 0;
    while seen < wanted {
        let now = bench.rules_revision(entry).await.unwrap_or(seen);
        assert!(now >= seen, "host {entry} went back from revision {seen} to {now}");
        seen = now;
        sleep(Duration::from_millis(20)).await;
    }
}

async fn apply_second(bench: &Bench) {
    let second = RULES.replace("\"revision\": 0", "\"revision\": 1").replace("600", "601");
    let applied = bench.apply("second.jsonc", &second).await;
    assert_eq!(applied.0, Some(0), "{}", applied.1);
}

/// One host loses its way to the key-value service, but not to its peers. Callers
/// who hold its address go on asking it for warm and cold models, and a change of
/// the rules has to come into force there as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_key_value_service_serves_on_and_learns_new_rules() {
    let bench = Bench::start(Needs::default()).await;
    bench.to_store[0].cut();
    apply_second(&bench).await;
    for entry in 0..3 {
        timeout(LIMIT, wait_for_rules(&bench, entry, 2)).await.expect("the rules come into force");
    }
    for (i, model) in ["alpha", "beta", "gamma"].iter().enumerate() {
        ask(bench.caller(0), model, &format!("cut-off-{i}"))
            .await
            .unwrap_or_else(|err| panic!("{model}: {err}"));
    }
    let owned_by_others =
        || (1..=2).all(|i| bench.owner(&format!("engine-{i}")).is_some_and(|owner| owner != 0));
    assert!(wait_until(LIMIT, owned_by_others).await, "its engines aren't taken over");
    ask(bench.caller(0), "alpha", "without-a-lease").await.unwrap_or_else(|err| panic!("{err}"));
    bench.to_store[0].mend();
    ask(bench.caller(0), "beta", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}

/// The key-value service answers reads from an old state, and a host that starts
/// just then reads the rules of yesterday. It has to take the newer ones from its
/// peers, and a running host may not fall back to the old ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_read_never_brings_old_rules_back() {
    let mut bench = Bench::start(Needs::default()).await;
    bench.fleet.store.set_faults(StoreFaults { stale: true, ..StoreFaults::default() });
    // The operator's program would read the old state as well; it is the same one still.
    apply_second(&bench).await;
    for entry in 0..3 {
        timeout(LIMIT, wait_for_rules(&bench, entry, 2)).await.expect("the rules come into force");
    }
    bench.entries[2].signal(Signal::Kill).await.expect("it runs");
    let (programs, folder) = (bench.programs.clone(), bench.folder.path().to_owned());
    bench.entries[2].restart(&programs, &folder).await.expect("it starts");
    bench.entries[2].wait_alive(LIMIT).await.unwrap_or_else(|err| panic!("{err}"));
    timeout(LIMIT, wait_for_rules(&bench, 2, 2)).await.expect("the new host learns the newer rules");
    for entry in 0..3 {
        assert_eq!(bench.rules_revision(entry).await, Some(2));
    }
    ask(bench.caller(2), "alpha", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}
