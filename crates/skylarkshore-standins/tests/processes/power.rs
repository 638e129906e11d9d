//! The site's power cap.

use crate::bench::{Bench, Needs, ask};

/// Two engines sleeping (60 W each) and one awake (700 W).
const ONE_AWAKE: u64 = 850;

/// Callers ask for models whose homes lie on three engines, of which the cap lets
/// only one be awake. A second one awake would trip the site's breaker; a caller
/// who never hears again is no better.
#[tokio::test(flavor = "multi_thread")]
async fn a_site_never_draws_past_its_cap_and_every_request_ends() {
    let bench = Bench::start(Needs { engines: 3, watts: ONE_AWAKE, ..Needs::default() }).await;
    let mut callers = Vec::new();
    for (i, model) in ["alpha", "beta", "gamma"].iter().cycle().take(24).enumerate() {
        let caller = bench.caller(i % 3);
        callers.push(tokio::spawn(async move { ask(caller, model, &format!("ask-{i}")).await }));
    }
    let mut answered = 0;
    for caller in callers {
        match caller.await.expect("no panic") {
            Ok(()) => answered += 1,
            Err(refused) => assert!(refused.contains("not_run"), "{refused}"),
        }
    }
    assert!(answered > 0, "nobody was served");
    for (site, watts) in bench.fleet.census.counts().watts {
        assert!(watts.peak <= ONE_AWAKE, "{site} drew {} W", watts.peak);
    }
    bench.check_invariants();
}
