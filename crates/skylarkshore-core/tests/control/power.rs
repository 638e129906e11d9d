use skylarkshore_core::authority::Authority;
use skylarkshore_core::id::{ModelName, UpstreamId};
use skylarkshore_core::store::{Key, Record};
use skylarkshore_core::units::Watts;
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, SITE, document, name, secs};
use crate::process::{ACTIVE_WATTS, SLEEP_WATTS};

/// Room for two engines at work among four.
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

fn within(cluster: &mut Cluster, cap: Watts) {
    assert!(granted(cluster) <= cap, "{} believed at {}", granted(cluster), cluster.now);
    assert!(recorded(cluster) <= cap, "{} recorded at {}", recorded(cluster), cluster.now);
}

fn holder(cluster: &Cluster, engine: &UpstreamId) -> String {
    cluster.holders(engine).first().map(ToString::to_string).expect("the engine has an owner")
}

fn has_full_power(cluster: &Cluster, engine: &UpstreamId) -> bool {
    cluster.processes.values().any(|process| process.control.granted_power(engine) == ACTIVE_WATTS)
}

/// Power moves from an idle engine to one for which requests wait, while answers of
/// the key-value service get lost, calls don't reach it, or writes arrive late. At
/// no step may what the owners believe to be theirs pass the cap, since the site's
/// breaker would trip.
#[test]
fn power_moves_to_where_it_lacks_without_ever_passing_the_cap() {
    for seed in 0..24 {
        let hosts = ["a", "b", "c", "d"];
        let mut cluster = Cluster::with(seed, &hosts, 4, FenceCheck::Refuses, document(1, 2, 1, TIGHT));
        cluster.run(secs(20), |cluster| within(cluster, TIGHT));
        assert_eq!(recorded(&cluster), TIGHT, "power is granted ahead of need");
        cluster.faults.lost_answers = if seed % 3 == 0 { 40 } else { 0 };
        cluster.faults.lost_calls = if seed % 3 == 1 { 40 } else { 0 };
        cluster.faults.late_writes = if seed % 3 == 2 { 30 } else { 0 };
        let engines: Vec<UpstreamId> = cluster.engines.keys().cloned().collect();
        for engine in engines {
            let host = holder(&cluster, &engine);
            cluster.process(&host).engines.short_of_power.insert(engine.clone());
            cluster.until("power for the engine", secs(60), |cluster| {
                within(cluster, TIGHT);
                has_full_power(cluster, &engine)
            });
            cluster.process(&host).engines.short_of_power.clear();
        }
    }
}

/// The owner of a working engine is killed. Its successor finds the engine at work
/// and must neither count its power as free nor use more than is recorded.
#[test]
fn an_engine_taken_over_keeps_its_grant() {
    let mut cluster = Cluster::with(31, &["a", "b", "c"], 4, FenceCheck::Refuses, document(1, 2, 1, TIGHT));
    cluster.run(secs(20), |cluster| within(cluster, TIGHT));
    let engine =
        cluster.engines.keys().find(|e| has_full_power(&cluster, e)).cloned().expect("power is granted");
    let host = holder(&cluster, &engine);
    cluster.kill(&host);
    cluster.until("a successor with power", secs(20), |cluster| {
        within(cluster, TIGHT);
        has_full_power(cluster, &engine)
    });
}

/// Operators lower the cap. Idle engines give their grants back at once; if that
/// isn't enough, engines at work have to stop, and every process has to name the
/// same ones.
#[test]
fn a_lowered_cap_is_reached_by_idle_engines_first() {
    let mut cluster = Cluster::with(32, &["a", "b", "c"], 4, FenceCheck::Refuses, document(1, 24, 1, TIGHT));
    cluster.run(secs(20), |cluster| within(cluster, TIGHT));
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
    let lower = Watts(ACTIVE_WATTS.0 + 3 * SLEEP_WATTS.0);
    cluster.store.put(Key::Document, Record::Document(document(2, 24, 1, lower).into()));
    cluster.run(secs(10), |_| {});
    let mut stopping = working.clone();
    stopping.retain(|(engine, model)| {
        let host = holder(&cluster, engine);
        cluster.process(&host).control.must_unload(engine, model)
    });
    assert_eq!(stopping.len(), 1, "{stopping:?} of {working:?} have to stop");
    let host = holder(&cluster, &stopping[0].0);
    cluster.process(&host).engines.loaded.clear();
    cluster
        .until("the lower cap", secs(10), |cluster| granted(cluster) <= lower && recorded(cluster) <= lower);
    cluster.run(secs(40), |cluster| within(cluster, lower));
}

/// Returns a model that is at home on the engine.
fn model_at(cluster: &Cluster, engine: &UpstreamId) -> ModelName {
    let models = (0..24).map(|i| name::<ModelName>(&format!("model-{i}")));
    let mut at_home = models
        .filter(|model| cluster.processes.values().any(|process| process.control.is_home(engine, model)));
    at_home.next().expect("the engine is a home")
}
