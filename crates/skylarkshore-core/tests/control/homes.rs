use skylarkshore_core::authority::{Authority, HomeRequest};
use skylarkshore_core::id::{ModelName, UpstreamId};
use skylarkshore_core::store::{Key, Record};
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, UNLIMITED_POWER, cluster_with_owners, document, name, secs};

fn homes(cluster: &Cluster, model: &str) -> Vec<UpstreamId> {
    match cluster.store.record(&Key::Homes(name(model))) {
        Some(Record::Homes(homes)) => homes.engines.clone(),
        _ => Vec::new(),
    }
}

/// Returns the engines on which any process may load the model.
fn allowed_engines(cluster: &Cluster, model: &ModelName) -> Vec<UpstreamId> {
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

fn request_for(model: &str, move_from: Option<&UpstreamId>) -> HomeRequest {
    HomeRequest { model: name(model), move_from: move_from.cloned() }
}

#[test]
fn first_homes_are_assigned_before_any_request_and_spread_over_engines() {
    let mut cluster = cluster_with_owners(21, &["a", "b", "c"], 9, FenceCheck::Refuses);
    cluster.store.put(Key::Document, Record::Document(document(2, 50, 1, UNLIMITED_POWER).into()));
    cluster.run_until("a home for each model", secs(10), |cluster| {
        (0..50).all(|i| allowed_engines(cluster, &name(&format!("model-{i}"))).len() == 1)
    });
    let mut counts: Vec<usize> = cluster
        .engines
        .keys()
        .map(|engine| (0..50).filter(|i| homes(&cluster, &format!("model-{i}")).contains(engine)).count())
        .collect();
    counts.sort_unstable();
    assert!(counts[0] >= 2 && counts[8] <= 10, "{counts:?}");
}

/// Guards against more homes than the rules allow, although requests keep asking for another one.
#[test]
fn home_requests_never_exceed_the_allowed_number_of_homes() {
    let mut cluster = cluster_with_owners(22, &["a", "b", "c"], 6, FenceCheck::Refuses);
    cluster.run_until("a first home", secs(10), |cluster| homes(cluster, "model-0").len() == 1);
    for process in cluster.processes.values_mut() {
        process.engines.home_requests = vec![request_for("model-0", None)];
    }
    cluster
        .run_until("a second home", secs(5), |cluster| allowed_engines(cluster, &name("model-0")).len() == 2);
    cluster.run(secs(20), |cluster| assert!(homes(cluster, "model-0").len() <= 2));
}

/// Guards against two replicas where the rules allow one.
///
/// The answer to a write that moves a home is lost, and the key-value service becomes
/// unreachable. The old engine cannot know whether the model has moved, so it must not
/// load the model.
#[test]
fn a_home_with_an_unconfirmed_move_may_not_load_the_model() {
    for is_executed in [true, false] {
        let mut cluster = cluster_with_owners(23, &["a", "b", "c"], 6, FenceCheck::Refuses);
        cluster.run_until("a first home", secs(10), |cluster| {
            allowed_engines(cluster, &name("model-0")).len() == 1
        });
        cluster.run(secs(20), |_| {});
        let old_home = homes(&cluster, "model-0").remove(0);
        if is_executed {
            cluster.faults.lost_answers = 100;
        } else {
            cluster.faults.delayed_writes = 100;
            cluster.faults.write_delay = Some(secs(20));
        }
        owner(&mut cluster, &old_home).engines.home_requests = vec![request_for("model-0", Some(&old_home))];
        cluster.run_until("the move begins", secs(5), |cluster| {
            !owner(cluster, &old_home).control.is_home(&old_home, &name("model-0"))
        });
        cluster.faults.outage = true;
        cluster.run(secs(30), |cluster| {
            assert!(allowed_engines(cluster, &name("model-0")).len() <= 1);
            assert!(!owner(cluster, &old_home).control.is_home(&old_home, &name("model-0")));
        });
        owner(&mut cluster, &old_home).engines.home_requests.clear();
        cluster.faults.outage = false;
        cluster.faults.lost_answers = 0;
        cluster.faults.delayed_writes = 0;
        cluster.run_until("one home is usable again", secs(30), |cluster| {
            allowed_engines(cluster, &name("model-0")).len() == 1
        });
    }
}

/// Guards against the removal of a home whose replica is still loaded.
///
/// Operators allow fewer replicas than are loaded. The surplus replica must be closed
/// and unloaded before its home is removed.
#[test]
fn a_surplus_home_is_removed_after_its_replica_is_unloaded() {
    let mut cluster = cluster_with_owners(24, &["a", "b"], 6, FenceCheck::Refuses);
    for process in cluster.processes.values_mut() {
        process.engines.home_requests = vec![request_for("model-1", None)];
    }
    cluster.run_until("a second home", secs(10), |cluster| {
        allowed_engines(cluster, &name("model-1")).len() == 2
    });
    let last = homes(&cluster, "model-1").remove(1);
    owner(&mut cluster, &last).engines.loaded.insert((last.clone(), name("model-1")));
    cluster.store.put(Key::Document, Record::Document(document(2, 4, 1, UNLIMITED_POWER).into()));
    cluster.run_until("the surplus replica must close", secs(7), |cluster| {
        owner(cluster, &last).control.must_unload(&last, &name("model-1"))
    });
    cluster.run(secs(10), |cluster| assert_eq!(homes(cluster, "model-1").len(), 2));
    owner(&mut cluster, &last).engines.loaded.clear();
    cluster.run_until("one home", secs(5), |cluster| homes(cluster, "model-1").len() == 1);
}

/// Guards against a second load of a model whose engine is missing from the host list but still serves.
///
/// Its replicas count until no process has reached the engine for a long time.
#[test]
fn a_home_is_removed_only_after_its_engine_is_unlisted_and_unreachable_for_long() {
    let mut cluster = cluster_with_owners(25, &["a", "b"], 4, FenceCheck::Refuses);
    cluster.run_until("homes", secs(10), |cluster| {
        (0..4).all(|i| !homes(cluster, &format!("model-{i}")).is_empty())
    });
    cluster.run(secs(20), |_| {});
    let removed = homes(&cluster, "model-0").remove(0);
    let owner = cluster.holders(&removed)[0].clone();
    cluster.engines.remove(&removed);
    let hosts: Vec<_> = cluster.processes.keys().cloned().collect();
    for host in &hosts {
        cluster.publish_host_list(host);
    }
    cluster.run(secs(60), |cluster| {
        cluster.report(&owner, &removed, true);
        assert!(homes(cluster, "model-0").contains(&removed));
    });
    cluster.run(secs(25), |cluster| assert!(homes(cluster, "model-0").contains(&removed)));
    cluster.run_until("a new home", secs(15), |cluster| !homes(cluster, "model-0").contains(&removed));
    cluster.run_until("the owner record is deleted", secs(15), |cluster| {
        cluster.store.record(&Key::Owner(removed.clone())).is_none()
    });
}

#[test]
fn the_homes_record_of_a_removed_model_is_deleted() {
    let mut cluster = cluster_with_owners(26, &["a", "b"], 4, FenceCheck::Refuses);
    cluster.run_until("a home", secs(10), |cluster| !homes(cluster, "model-3").is_empty());
    cluster.store.put(Key::Document, Record::Document(document(2, 3, 2, UNLIMITED_POWER).into()));
    cluster.run_until("no record", secs(10), |cluster| {
        cluster.store.record(&Key::Homes(name("model-3"))).is_none()
    });
}

/// Guards against unloading models that callers need when the platform starts.
///
/// Four engines already hold a model. If only the minimum number of homes were written,
/// the other replicas would be surplus.
#[test]
fn all_engines_that_hold_a_model_at_startup_become_its_homes() {
    let document = document(1, 1, 6, UNLIMITED_POWER);
    let mut cluster = Cluster::with_engines(23, &["a", "b", "c"], 6, FenceCheck::Refuses, document);
    let holders: Vec<UpstreamId> = cluster.engines.keys().take(4).cloned().collect();
    for holder in &holders {
        let engine = cluster.engines.get_mut(holder).expect("it was just listed");
        engine.holds.push(name("model-0"));
    }
    for host in ["a", "b", "c"] {
        cluster.publish_host_list(&name(host));
    }
    cluster.run_until("homes", secs(20), |cluster| !homes(cluster, "model-0").is_empty());
    let mut found = homes(&cluster, "model-0");
    found.sort();
    assert_eq!(found, holders);
}

/// Guards against unloading the models of an engine that is listed after the first homes were assigned.
#[test]
fn an_engine_listed_late_becomes_a_home_of_the_model_it_holds() {
    let document = document(1, 1, 6, UNLIMITED_POWER);
    let mut cluster = Cluster::with_engines(24, &["a", "b", "c"], 3, FenceCheck::Ignores, document);
    cluster.run_until("homes", secs(20), |cluster| !homes(cluster, "model-0").is_empty());
    let mut late = crate::cluster::engine("late", FenceCheck::Ignores);
    late.holds.push(name("model-0"));
    cluster.engines.insert(late.id.clone(), late);
    for host in ["a", "b", "c"] {
        cluster.publish_host_list(&name(host));
    }
    cluster.run_until("one more home", secs(20), |cluster| homes(cluster, "model-0").contains(&name("late")));
}
