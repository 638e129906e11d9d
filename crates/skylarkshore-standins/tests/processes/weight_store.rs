//! The limit on concurrent loads from the weight store.

use std::fmt::Write;

use skylarkshore_standins::process::wait_until;

use crate::bench::{Bench, BenchSettings, LIMIT, RULES, ask};

const MODELS: usize = 10;
/// The number of concurrent loads that the weight store serves at full speed.
const MAX_CONCURRENT_LOADS: u32 = 4;

/// Callers request ten cold models at once, on engines of three owners. Each owner
/// knows only its own loads; without coordination all loads would share the weight
/// store's bandwidth, and every caller would wait longer.
#[tokio::test(flavor = "multi_thread")]
async fn cold_models_requested_together_are_loaded_four_at_a_time() {
    let bench = Bench::start(BenchSettings { engines: 3, ..BenchSettings::default() }).await;
    let mut models = String::new();
    for i in 0..MODELS {
        let model = r#"{"version": "1", "weights_mib": 9000, "kv_cache_mib": 1000, "load_time_ms": 600}"#;
        // Writing to a string can't fail.
        _ = write!(models, "\"m{i}\": {model}, ");
    }
    let document = RULES.replace("\"revision\": 0", "\"revision\": 1");
    let document = document.replace("\"alpha\": {", &format!("{models}\"alpha\": {{"));
    let applied = bench.apply("second.jsonc", &document).await;
    assert_eq!(applied.0, Some(0), "{}", applied.1);
    let homes = || (0..MODELS).all(|i| bench.home(&format!("m{i}")).is_some());
    assert!(wait_until(LIMIT, homes).await, "not every model has a home");
    let mut callers = Vec::new();
    for i in 0..MODELS {
        let caller = bench.caller_address(i % 3);
        callers.push(tokio::spawn(async move { ask(caller, &format!("m{i}"), &format!("ask-{i}")).await }));
    }
    for caller in callers {
        caller.await.expect("no panic").unwrap_or_else(|err| panic!("{err}"));
    }
    let peak = bench.fleet.weights.peak_loads();
    assert!(peak <= MAX_CONCURRENT_LOADS, "{peak} loads ran at once");
    bench.check_invariants();
}
