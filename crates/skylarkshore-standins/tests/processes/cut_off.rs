//! A host that can't reach the key-value service or reads stale data from it.

use std::time::Duration;

use skylarkshore_standins::process::{Signal, wait_until};
use skylarkshore_standins::store::StoreFaults;
use tokio::time::{sleep, timeout};

use crate::bench::{Bench, BenchSettings, LIMIT, RULES, ask};

/// Waits until a host has a revision of the rules, and checks that its revision never decreases.
async fn wait_for_rules(bench: &Bench, entry: usize, wanted: u64) {
    let mut seen = 0;
    while seen < wanted {
        let now = bench.rules_revision(entry).await.unwrap_or(seen);
        assert!(now >= seen, "host {entry} reverted from revision {seen} to {now}");
        seen = now;
        sleep(Duration::from_millis(20)).await;
    }
}

async fn apply_second(bench: &Bench) {
    let second = RULES.replace("\"revision\": 0", "\"revision\": 1").replace("600", "601");
    let applied = bench.apply("second.jsonc", &second).await;
    assert_eq!(applied.0, Some(0), "{}", applied.1);
}

/// One host loses the connection to the key-value service, but not to its peers.
/// It must still serve warm and cold models and get new rules from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_key_value_service_still_serves_and_gets_new_rules() {
    let bench = Bench::start(BenchSettings::default()).await;
    bench.store_relays[0].cut();
    apply_second(&bench).await;
    for entry in 0..3 {
        timeout(LIMIT, wait_for_rules(&bench, entry, 2)).await.expect("the rules come into force");
    }
    for (i, model) in ["alpha", "beta", "gamma"].iter().enumerate() {
        ask(bench.caller_address(0), model, &format!("cut-off-{i}"))
            .await
            .unwrap_or_else(|err| panic!("{model}: {err}"));
    }
    let owned_by_others =
        || (1..=2).all(|i| bench.owner(&format!("engine-{i}")).is_some_and(|owner| owner != 0));
    assert!(wait_until(LIMIT, owned_by_others).await, "no other host took over its engines");
    ask(bench.caller_address(0), "alpha", "without-a-lease").await.unwrap_or_else(|err| panic!("{err}"));
    bench.store_relays[0].mend();
    ask(bench.caller_address(0), "beta", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}

/// The key-value service answers reads with stale data, and a host that starts
/// then reads outdated rules. It must get the newer ones from its peers, and a
/// running host must not revert to the old ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_read_never_reverts_the_rules() {
    let mut bench = Bench::start(BenchSettings::default()).await;
    bench.fleet.store.set_faults(StoreFaults { stale: true, ..StoreFaults::default() });
    // The operators' program reads the stale data too, but it is still current at this point.
    apply_second(&bench).await;
    for entry in 0..3 {
        timeout(LIMIT, wait_for_rules(&bench, entry, 2)).await.expect("the rules come into force");
    }
    bench.entries[2].signal(Signal::Kill).await.expect("it runs");
    let (programs, folder) = (bench.programs.clone(), bench.folder.path().to_owned());
    bench.entries[2].restart(&programs, &folder).await.expect("it starts");
    bench.entries[2].wait_alive(LIMIT).await.unwrap_or_else(|err| panic!("{err}"));
    timeout(LIMIT, wait_for_rules(&bench, 2, 2)).await.expect("the restarted host gets the newer rules");
    for entry in 0..3 {
        assert_eq!(bench.rules_revision(entry).await, Some(2));
    }
    ask(bench.caller_address(2), "alpha", "afterwards").await.unwrap_or_else(|err| panic!("{err}"));
    bench.check_invariants();
}
