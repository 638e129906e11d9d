//! The site's power cap.

use crate::bench::{Bench, BenchSettings, ask};

/// Power for two sleeping engines (60 W each) and an active one (700 W).
const ONE_ACTIVE_WATTS: u64 = 850;

/// Callers request models whose homes are on three engines, of which the cap allows
/// one to be active. A second active engine would trip the site's breaker, and a
/// request without power must still end with a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_site_never_exceeds_its_power_cap_and_every_request_ends() {
    let bench = Bench::start(BenchSettings {
        engines: 3,
        power_cap_watts: ONE_ACTIVE_WATTS,
        ..BenchSettings::default()
    })
    .await;
    let mut callers = Vec::new();
    for (i, model) in ["alpha", "beta", "gamma"].iter().cycle().take(24).enumerate() {
        let caller = bench.caller_address(i % 3);
        callers.push(tokio::spawn(async move { ask(caller, model, &format!("ask-{i}")).await }));
    }
    let mut answered = 0;
    for caller in callers {
        match caller.await.expect("no panic") {
            Ok(()) => answered += 1,
            Err(refused) => assert!(refused.contains("not_run"), "{refused}"),
        }
    }
    assert!(answered > 0, "no request was served");
    for (site, watts) in bench.fleet.census.counts().watts {
        assert!(watts.peak <= ONE_ACTIVE_WATTS, "{site} drew {} W", watts.peak);
    }
    bench.check_invariants();
}
