use skylarkshore_core::authority::Authority;
use skylarkshore_core::id::{ModelName, UpstreamId};
use skylarkshore_core::store::{Key, Record};
use skylarkshore_core::units::Watts;
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, SITE, document, name, secs};
use crate::process::{ACTIVE_WATTS, SLEEP_WATTS};

/// Power for two of four engines.
const TIGHT: Watts = Watts(2 * ACTIVE_WATTS.0 + 2 * SLEEP_WATTS.0);

fn granted(cluster: &Cluster) -> Watts {
    let engines = cluster.engines.keys();
    let most = |engine: &UpstreamId| {
        let owners = cluster.processes.values();
        owners.map(|process| process.control.granted_power(engine)).max().unwrap_or_default().max(SLEEP_WATTS)
    };
    engines.map(most).sum()
}

fn recorded(cluster: &Cluster) -> Watts {
    let Some(Record::Power(record)) = cluster.store.record(&Key::Power(name(SITE))) else { return Watts(0) };
    let grant = |engine: &UpstreamId| record.grants.get(engine).copied().unwrap_or_default().max(SLEEP_WATTS);
    cluster.engines.keys().map(grant).sum()
}

fn assert_within_cap(cluster: &mut Cluster, cap: Watts) {
    assert!(granted(cluster) <= cap, "{} granted at {}", granted(cluster), cluster.now);
    assert!(recorded(cluster) <= cap, "{} recorded at {}", recorded(cluster), cluster.now);
}

fn holder(cluster: &Cluster, engine: &UpstreamId) -> String {
    cluster.holders(engine).first().map(ToString::to_string).expect("the engine has an owner")
}

fn has_full_power(cluster: &Cluster, engine: &UpstreamId) -> bool {
    cluster.processes.values().any(|process| process.control.granted_power(engine) == ACTIVE_WATTS)
}

/// Guards against owners that together assume more power than the cap, which would trip the site's breaker.
///
/// Power moves from idle engines to one with waiting requests, while calls and answers
/// are lost or writes arrive late.
#[test]
fn power_moves_to_underpowered_engines_and_never_exceeds_the_cap() {
    for seed in 0..24 {
        let hosts = ["a", "b", "c", "d"];
        let mut cluster =
            Cluster::with_engines(seed, &hosts, 4, FenceCheck::Refuses, document(1, 2, 1, TIGHT));
        cluster.run(secs(20), |cluster| assert_within_cap(cluster, TIGHT));
        assert_eq!(recorded(&cluster), TIGHT, "power is granted ahead of need");
        cluster.faults.lost_answers = if seed % 3 == 0 { 40 } else { 0 };
        cluster.faults.lost_calls = if seed % 3 == 1 { 40 } else { 0 };
        cluster.faults.delayed_writes = if seed % 3 == 2 { 30 } else { 0 };
        let engines: Vec<UpstreamId> = cluster.engines.keys().cloned().collect();
        for engine in engines {
            let host = holder(&cluster, &engine);
            cluster.process(&host).engines.short_of_power.insert(engine.clone());
            cluster.run_until("power for the engine", secs(60), |cluster| {
                assert_within_cap(cluster, TIGHT);
                has_full_power(cluster, &engine)
            });
            cluster.process(&host).engines.short_of_power.clear();
        }
    }
}

/// Guards against a successor that counts the power of a working engine as free or
/// exceeds its recorded grant.
#[test]
fn an_engine_keeps_its_grant_after_a_take_over() {
    let mut cluster =
        Cluster::with_engines(31, &["a", "b", "c"], 4, FenceCheck::Refuses, document(1, 2, 1, TIGHT));
    cluster.run(secs(20), |cluster| assert_within_cap(cluster, TIGHT));
    let engine =
        cluster.engines.keys().find(|e| has_full_power(&cluster, e)).cloned().expect("power is granted");
    let host = holder(&cluster, &engine);
    cluster.kill(&host);
    cluster.run_until("a successor with power", secs(20), |cluster| {
        assert_within_cap(cluster, TIGHT);
        has_full_power(cluster, &engine)
    });
}

/// Guards against processes that stop different engines after the cap was lowered.
///
/// Idle engines give up their grants at once. If that is not enough, every process must
/// choose the same working engines to stop.
#[test]
fn a_lowered_cap_revokes_grants_of_idle_engines_first() {
    let mut cluster =
        Cluster::with_engines(32, &["a", "b", "c"], 4, FenceCheck::Refuses, document(1, 24, 1, TIGHT));
    cluster.run(secs(20), |cluster| assert_within_cap(cluster, TIGHT));
    let working: Vec<(UpstreamId, ModelName)> = cluster
        .engines
        .keys()
        .filter(|engine| has_full_power(&cluster, engine))
        .map(|engine| (engine.clone(), model_at(&cluster, engine)))
        .collect();
    for (engine, model) in &working {
        let host = holder(&cluster, engine);
        cluster.process(&host).engines.loaded.insert((engine.clone(), model.clone()));
    }
    let lower_cap = Watts(ACTIVE_WATTS.0 + 3 * SLEEP_WATTS.0);
    cluster.store.put(Key::Document, Record::Document(document(2, 24, 1, lower_cap).into()));
    cluster.run(secs(10), |_| {});
    let mut stopping = working.clone();
    stopping.retain(|(engine, model)| {
        let host = holder(&cluster, engine);
        cluster.process(&host).control.must_unload(engine, model)
    });
    assert_eq!(stopping.len(), 1, "{stopping:?} of {working:?} have to stop");
    let host = holder(&cluster, &stopping[0].0);
    cluster.process(&host).engines.loaded.clear();
    cluster.run_until("the lower cap", secs(10), |cluster| {
        granted(cluster) <= lower_cap && recorded(cluster) <= lower_cap
    });
    cluster.run(secs(40), |cluster| assert_within_cap(cluster, lower_cap));
}

/// Returns a model that has its home on the engine.
fn model_at(cluster: &Cluster, engine: &UpstreamId) -> ModelName {
    let models = (0..24).map(|i| name::<ModelName>(&format!("model-{i}")));
    let mut at_home = models
        .filter(|model| cluster.processes.values().any(|process| process.control.is_home(engine, model)));
    at_home.next().expect("the engine is a home")
}
