use skylarkshore_core::authority::{Authority, HomeRequest};
use skylarkshore_core::id::{ModelName, UpstreamId};
use skylarkshore_core::store::{Key, Record};
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, PLENTY, document, name, secs, settled};

fn homes(cluster: &Cluster, model: &str) -> Vec<UpstreamId> {
    match cluster.store.record(&Key::Homes(name(model))) {
        Some(Record::Homes(homes)) => homes.engines.clone(),
        _ => Vec::new(),
    }
}

/// Returns the engines on which some process may load the model.
fn loadable(cluster: &Cluster, model: &ModelName) -> Vec<UpstreamId> {
    let engines = cluster.engines.keys();
    let may_load = |engine: &&UpstreamId| {
        cluster.processes.values().any(|process| process.control.is_home(engine, model))
    };
    engines.filter(may_load).cloned().collect()
}

fn owner<'a>(cluster: &'a mut Cluster, engine: &UpstreamId) -> &'a mut crate::process::Process {
    let host = cluster.holders(engine).first().map(ToString::to_string).expect("the engine has an owner");
    cluster.process(&host)
}

fn wish(model: &str, leave: Option<&UpstreamId>) -> HomeRequest {
    HomeRequest { model: name(model), move_from: leave.cloned() }
}

#[test]
fn every_model_gets_a_first_home_ahead_of_need_and_they_are_spread() {
    let mut cluster = settled(21, &["a", "b", "c"], 9, FenceCheck::Refuses);
    cluster.store.put(Key::Document, Record::Document(document(2, 50, 1, PLENTY).into()));
    cluster.until("a home for each model", secs(10), |cluster| {
        (0..50).all(|i| loadable(cluster, &name(&format!("model-{i}"))).len() == 1)
    });
    let mut counts: Vec<usize> = cluster
        .engines
        .keys()
        .map(|engine| (0..50).filter(|i| homes(&cluster, &format!("model-{i}")).contains(engine)).count())
        .collect();
    counts.sort_unstable();
    assert!(counts[0] >= 2 && counts[8] <= 10, "{counts:?}");
}

/// Requests wait for a model at its only home, and the rules allow a second one.
/// A third must not come about, however often it is wished for.
#[test]
fn a_crowded_model_gets_as_many_homes_as_the_rules_allow() {
    let mut cluster = settled(22, &["a", "b", "c"], 6, FenceCheck::Refuses);
    cluster.until("a first home", secs(10), |cluster| homes(cluster, "model-0").len() == 1);
    for process in cluster.processes.values_mut() {
        process.engines.home_requests = vec![wish("model-0", None)];
    }
    cluster.until("a second home", secs(5), |cluster| loadable(cluster, &name("model-0")).len() == 2);
    cluster.run(secs(20), |cluster| assert!(homes(cluster, "model-0").len() <= 2));
}

/// The answer to a write that moves a home is lost, and the key-value service goes
/// away. The old engine can't know whether the model has a home elsewhere by now;
/// if it loaded it, there could be two replicas where the rules allow one.
#[test]
fn a_home_that_may_have_moved_is_not_loaded_at() {
    for took_effect in [true, false] {
        let mut cluster = settled(23, &["a", "b", "c"], 6, FenceCheck::Refuses);
        cluster.until("a first home", secs(10), |cluster| loadable(cluster, &name("model-0")).len() == 1);
        cluster.run(secs(20), |_| {});
        let old = homes(&cluster, "model-0").remove(0);
        if took_effect {
            cluster.faults.lost_answers = 100;
        } else {
            cluster.faults.late_writes = 100;
            cluster.faults.late_by = Some(secs(20));
        }
        owner(&mut cluster, &old).engines.home_requests = vec![wish("model-0", Some(&old))];
        cluster.until("the move begins", secs(5), |cluster| {
            !owner(cluster, &old).control.is_home(&old, &name("model-0"))
        });
        cluster.faults.outage = true;
        cluster.run(secs(30), |cluster| {
            assert!(loadable(cluster, &name("model-0")).len() <= 1);
            assert!(!owner(cluster, &old).control.is_home(&old, &name("model-0")));
        });
        owner(&mut cluster, &old).engines.home_requests.clear();
        cluster.faults.outage = false;
        cluster.faults.lost_answers = 0;
        cluster.faults.late_writes = 0;
        cluster.until("a home again", secs(30), |cluster| loadable(cluster, &name("model-0")).len() == 1);
    }
}

/// Operators allow fewer replicas than are loaded. The surplus one has to be
/// closed and unloaded, and only then does its home go.
#[test]
fn a_surplus_home_goes_once_its_replica_is_unloaded() {
    let mut cluster = settled(24, &["a", "b"], 6, FenceCheck::Refuses);
    for process in cluster.processes.values_mut() {
        process.engines.home_requests = vec![wish("model-1", None)];
    }
    cluster.until("a second home", secs(10), |cluster| loadable(cluster, &name("model-1")).len() == 2);
    let last = homes(&cluster, "model-1").remove(1);
    owner(&mut cluster, &last).engines.loaded.insert((last.clone(), name("model-1")));
    cluster.store.put(Key::Document, Record::Document(document(2, 4, 1, PLENTY).into()));
    cluster.until("the surplus closes", secs(7), |cluster| {
        owner(cluster, &last).control.must_unload(&last, &name("model-1"))
    });
    cluster.run(secs(10), |cluster| assert_eq!(homes(cluster, "model-1").len(), 2));
    owner(&mut cluster, &last).engines.loaded.clear();
    cluster.until("one home", secs(5), |cluster| homes(cluster, "model-1").len() == 1);
}

/// An engine vanishes from the host list for a while, though it serves on. Its
/// replicas count until nobody has reached it for long; otherwise they would be
/// loaded a second time.
#[test]
fn homes_leave_an_engine_only_when_the_list_and_its_owner_miss_it_for_long() {
    let mut cluster = settled(25, &["a", "b"], 4, FenceCheck::Refuses);
    cluster.until("homes", secs(10), |cluster| {
        (0..4).all(|i| !homes(cluster, &format!("model-{i}")).is_empty())
    });
    cluster.run(secs(20), |_| {});
    let gone = homes(&cluster, "model-0").remove(0);
    let owner = cluster.holders(&gone)[0].clone();
    cluster.engines.remove(&gone);
    let hosts: Vec<_> = cluster.processes.keys().cloned().collect();
    for host in &hosts {
        cluster.set_host_list(host);
    }
    cluster.run(secs(60), |cluster| {
        cluster.report(&owner, &gone, true);
        assert!(homes(cluster, "model-0").contains(&gone));
    });
    cluster.run(secs(25), |cluster| assert!(homes(cluster, "model-0").contains(&gone)));
    cluster.until("a new home", secs(15), |cluster| !homes(cluster, "model-0").contains(&gone));
    cluster.until("no trace of the engine", secs(15), |cluster| {
        cluster.store.record(&Key::Owner(gone.clone())).is_none()
    });
}

#[test]
fn a_removed_models_homes_are_deleted() {
    let mut cluster = settled(26, &["a", "b"], 4, FenceCheck::Refuses);
    cluster.until("a home", secs(10), |cluster| !homes(cluster, "model-3").is_empty());
    cluster.store.put(Key::Document, Record::Document(document(2, 3, 2, PLENTY).into()));
    cluster
        .until("no record", secs(10), |cluster| cluster.store.record(&Key::Homes(name("model-3"))).is_none());
}

/// Four engines hold a model when the platform comes up, since it is asked for
/// often. Were only the least number of homes written, the others' replicas
/// would be surplus and unloaded while callers need them.
#[test]
fn engines_that_hold_a_model_from_before_all_become_its_homes() {
    let plenty = document(1, 1, 6, PLENTY);
    let mut cluster = Cluster::with(23, &["a", "b", "c"], 6, FenceCheck::Refuses, plenty);
    let holders: Vec<UpstreamId> = cluster.engines.keys().take(4).cloned().collect();
    for holder in &holders {
        let engine = cluster.engines.get_mut(holder).expect("it was just listed");
        engine.holds.push(name("model-0"));
    }
    for host in ["a", "b", "c"] {
        cluster.set_host_list(&name(host));
    }
    cluster.until("homes", secs(20), |cluster| !homes(cluster, "model-0").is_empty());
    let mut found = homes(&cluster, "model-0");
    found.sort();
    assert_eq!(found, holders);
}

/// An engine that is listed late would have what it holds unloaded as surplus.
#[test]
fn an_engine_listed_late_becomes_a_home_of_what_it_holds() {
    let plenty = document(1, 1, 6, PLENTY);
    let mut cluster = Cluster::with(24, &["a", "b", "c"], 3, FenceCheck::Ignores, plenty);
    cluster.until("homes", secs(20), |cluster| !homes(cluster, "model-0").is_empty());
    let mut late = crate::cluster::engine("late", FenceCheck::Ignores);
    late.holds.push(name("model-0"));
    cluster.engines.insert(late.id.clone(), late);
    for host in ["a", "b", "c"] {
        cluster.set_host_list(&name(host));
    }
    cluster.until("one more home", secs(20), |cluster| homes(cluster, "model-0").contains(&name("late")));
}
