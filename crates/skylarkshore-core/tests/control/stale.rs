use std::collections::BTreeSet;

use skylarkshore_core::authority::{Authority, HomeRequest};
use skylarkshore_core::id::{ModelName, UpstreamId};
use skylarkshore_core::store::{Key, Record};
use skylarkshore_core::units::Watts;
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, PLENTY, all_owned, document, name, one_holder_each, secs};
use crate::process::{ACTIVE_WATTS, SLEEP_WATTS};

const HOSTS: [&str; 3] = ["a", "b", "c"];

fn cluster(seed: u64, fence_check: FenceCheck, cap: Watts) -> Cluster {
    let mut cluster = Cluster::with(seed, &HOSTS, 3, fence_check, document(1, 1, 1, cap));
    cluster.until("owners and a home", secs(30), |cluster| all_owned(cluster) && home(cluster).is_some());
    cluster.run(secs(20), |_| {});
    cluster
}

fn model() -> ModelName {
    name("model-0")
}

fn home(cluster: &Cluster) -> Option<UpstreamId> {
    match cluster.store.record(&Key::Homes(model())) {
        Some(Record::Homes(homes)) => homes.engines.first().cloned(),
        _ => None,
    }
}

fn holder(cluster: &Cluster, engine: &UpstreamId) -> String {
    cluster.holders(engine).first().map(ToString::to_string).expect("the engine has an owner")
}

fn owner(cluster: &Cluster, engine: &UpstreamId) -> String {
    match cluster.store.record(&Key::Owner(engine.clone())) {
        Some(Record::Owner(owner)) => owner.host.to_string(),
        _ => String::new(),
    }
}

/// Loads the model wherever an owner takes it for allowed, and checks that it is one place.
fn load_once(cluster: &Cluster, former: &str, loaded: &mut BTreeSet<UpstreamId>) {
    let others = cluster.processes.iter().filter(|(host, _)| host.as_str() != former);
    for (_, process) in others {
        let engines = cluster.engines.keys();
        loaded.extend(engines.filter(|engine| process.control.is_home(engine, &model())).cloned());
    }
    assert!(loaded.len() <= 1, "loaded at {loaded:?} by {}", cluster.now);
}

fn granted(cluster: &Cluster, former: &str) -> Watts {
    let most = |engine: &UpstreamId| {
        let others = cluster.processes.iter().filter(|(host, _)| host.as_str() != former);
        others.map(|(_, p)| p.control.granted_power(engine)).max().unwrap_or_default().max(SLEEP_WATTS)
    };
    cluster.engines.keys().map(most).sum()
}

/// A process gives a home up, and its write is held up on the way. It dies, and its
/// successor finds the home still recorded. When the write arrives after all, the
/// model must not be loaded at both engines.
#[test]
fn a_dead_owners_late_write_does_not_move_a_home_that_its_successor_uses() {
    let mut cluster = cluster(41, FenceCheck::Refuses, PLENTY);
    let engine = home(&cluster).expect("there is a home");
    let former = holder(&cluster, &engine);
    cluster.faults.late_writes = 100;
    cluster.faults.late_by = Some(secs(25));
    cluster.process(&former).engines.home_requests =
        vec![HomeRequest { model: model(), move_from: Some(engine.clone()) }];
    cluster.run(secs(1), |_| {});
    cluster.kill(&former);
    cluster.faults.late_writes = 0;
    let mut loaded = BTreeSet::new();
    cluster.until("a successor", secs(20), all_owned);
    load_once(&cluster, &former, &mut loaded);
    cluster.faults.outage = true;
    cluster.run(secs(20), |cluster| load_once(cluster, &former, &mut loaded));
    cluster.faults.outage = false;
    cluster.run(secs(30), |cluster| load_once(cluster, &former, &mut loaded));
    assert_eq!(loaded.len(), 1);
}

/// A process loses its lease and its engines, and is told of neither, though its
/// writes still reach the key-value service. From an answer it learns how its
/// successor left a model's homes, and must not give the home up on that ground.
#[test]
fn a_former_owner_that_hears_nothing_does_not_give_up_its_successors_home() {
    let mut cluster = cluster(42, FenceCheck::Refuses, PLENTY);
    let engine = home(&cluster).expect("there is a home");
    let former = deafen(&mut cluster, &engine);
    let mut loaded = BTreeSet::new();
    cluster.until("a home at the successor", secs(5), |cluster| {
        load_once(cluster, &former, &mut loaded);
        !loaded.is_empty()
    });
    cluster.process(&former).engines.home_requests =
        vec![HomeRequest { model: model(), move_from: Some(engine) }];
    cluster.run(secs(30), |cluster| load_once(cluster, &former, &mut loaded));
}

/// Lets an engine's owner lose its lease and its engine without being told.
fn deafen(cluster: &mut Cluster, engine: &UpstreamId) -> String {
    let former = holder(cluster, engine);
    cluster.process(&former).store_unreachable = true;
    cluster.process(&former).inbound_cut = true;
    cluster.until("a successor", secs(40), |cluster| owner(cluster, engine) != former);
    cluster.process(&former).store_unreachable = false;
    cluster.until("a member key again", secs(15), |cluster| {
        cluster.store.record(&Key::Member(name(&former))).is_some()
    });
    cluster.run(secs(1), |_| {});
    former
}

/// Room for one engine at work among three.
const TIGHT: Watts = Watts(ACTIVE_WATTS.0 + 2 * SLEEP_WATTS.0);

fn powered(cluster: &Cluster) -> UpstreamId {
    let full = |engine: &&UpstreamId| {
        cluster.processes.values().any(|process| process.control.granted_power(engine) == ACTIVE_WATTS)
    };
    cluster.engines.keys().find(full).cloned().expect("an engine has power")
}

/// Wants power for an engine of another owner than the one given.
fn want_power_elsewhere(cluster: &mut Cluster, engine: &UpstreamId) {
    let others: Vec<UpstreamId> = cluster.engines.keys().filter(|other| *other != engine).cloned().collect();
    for other in others {
        let host = holder(cluster, &other);
        cluster.process(&host).engines.short_of_power.insert(other);
    }
}

/// A process gives an engine's power up, and its write is held up on the way. It
/// dies, and its successor finds the power still granted. When the write arrives
/// after all, others must not be granted what the successor draws.
#[test]
fn a_dead_owners_late_write_does_not_take_power_that_its_successor_draws() {
    let mut cluster = cluster(43, FenceCheck::Refuses, TIGHT);
    let engine = powered(&cluster);
    let former = holder(&cluster, &engine);
    want_power_elsewhere(&mut cluster, &engine);
    cluster.faults.late_writes = 100;
    cluster.faults.late_by = Some(secs(25));
    cluster.until("the power is given up", secs(5), |cluster| {
        cluster.process(&former).control.granted_power(&engine) == SLEEP_WATTS
    });
    cluster.kill(&former);
    cluster.faults.late_writes = 0;
    cluster.until("a successor", secs(20), all_owned);
    let successor = holder(&cluster, &engine);
    cluster.faults.outage = true;
    let mut draws = BTreeSet::new();
    let mut check = |cluster: &mut Cluster| {
        if cluster.process(&successor).control.granted_power(&engine) == ACTIVE_WATTS {
            cluster.process(&successor).engines.loaded.insert((engine.clone(), model()));
            draws.insert(engine.clone());
        }
        let others = granted(cluster, &former);
        let lowered = cluster.process(&successor).control.granted_power(&engine) < ACTIVE_WATTS;
        let hidden = if !draws.is_empty() && lowered { ACTIVE_WATTS.0 - SLEEP_WATTS.0 } else { 0 };
        assert!(others.0 + hidden <= TIGHT.0, "{others} and {hidden}W at {}", cluster.now);
    };
    cluster.run(secs(20), &mut check);
    cluster.faults.outage = false;
    cluster.run(secs(30), &mut check);
}

/// A process loses its lease and its engine, and is told of neither. It finds that
/// others want power, and must not give up what its successor draws.
#[test]
fn a_former_owner_that_hears_nothing_does_not_give_up_its_successors_power() {
    let mut cluster = cluster(44, FenceCheck::Refuses, TIGHT);
    let engine = powered(&cluster);
    let former = deafen(&mut cluster, &engine);
    cluster.until("power at the successor", secs(5), |cluster| {
        let host = holder_beside(cluster, &engine, &former);
        cluster.process(&host).control.granted_power(&engine) == ACTIVE_WATTS
    });
    let successor = holder_beside(&cluster, &engine, &former);
    cluster.process(&successor).engines.loaded.insert((engine.clone(), model()));
    let seen = cluster.store.log.len();
    cluster.process(&former).inbound_cut = false;
    cluster.tell_power_wanted(&former, Watts(ACTIVE_WATTS.0 - SLEEP_WATTS.0));
    cluster.process(&former).inbound_cut = true;
    cluster.run(secs(30), |_| {});
    for change in &cluster.store.log[seen..] {
        let Some(Record::Power(record)) = &change.record else { continue };
        assert_eq!(record.grants.get(&engine), Some(&ACTIVE_WATTS), "the successor's power was given up");
    }
}

fn holder_beside(cluster: &Cluster, engine: &UpstreamId, former: &str) -> String {
    let holders = cluster.holders(engine);
    holders.iter().map(ToString::to_string).find(|host| host != former).expect("there is a successor")
}

/// The record that hands an engine over is held up on the way, and its writer hears
/// nothing more. It must not act on the engine again, since the record may arrive
/// at any moment and name another owner.
#[test]
fn an_engine_whose_handover_is_in_doubt_gets_no_orders() {
    let mut cluster = cluster(45, FenceCheck::Ignores, PLENTY);
    cluster.faults.late_writes = 100;
    cluster.faults.late_by = Some(secs(12));
    cluster.shut_down("a");
    cluster.run(secs(2), one_holder_each);
    cluster.process("a").inbound_cut = true;
    cluster.run(secs(30), one_holder_each);
}

/// A process lost its lease, registered anew and confirmed its record. Another one
/// heard that the key had vanished, and nothing since. It must not take the engine
/// over, though the new record may come to its eyes.
#[test]
fn old_news_of_a_vanished_key_does_not_justify_a_take_over() {
    let mut cluster = cluster(46, FenceCheck::Ignores, PLENTY);
    let engines: Vec<UpstreamId> =
        cluster.engines.keys().filter(|engine| holder(&cluster, engine) == "a").cloned().collect();
    assert!(!engines.is_empty(), "a owns something");
    cluster.process("a").store_unreachable = true;
    cluster.until("the key vanishes", secs(15), |cluster| {
        cluster.store.record(&Key::Member(name("a"))).is_none()
    });
    cluster.run(secs(1), one_holder_each);
    for host in ["b", "c"] {
        cluster.process(host).inbound_cut = true;
    }
    cluster.process("a").store_unreachable = false;
    cluster.run(secs(60), |cluster| {
        one_holder_each(cluster);
        assert!(engines.iter().all(|engine| owner(cluster, engine) == "a"), "taken over at {}", cluster.now);
    });
}

/// A process is paused between a renewal of its lease and the answer. When it wakes
/// long after, the answer tells it that the lease lives; others have its engines by
/// then. If it counted from when it read the answer, two owners would act.
#[test]
fn an_answer_that_was_read_late_does_not_extend_the_hold() {
    let mut cluster = cluster(47, FenceCheck::Ignores, PLENTY);
    cluster.until("a renewal", secs(5), |cluster| cluster.process("a").has_lease_answer());
    cluster.process("a").frozen = true;
    cluster.process("a").inbound_cut = true;
    cluster.run(secs(40), one_holder_each);
    assert!(all_owned(&mut cluster), "others have taken over");
    cluster.process("a").frozen = false;
    cluster.run(secs(20), one_holder_each);
}
