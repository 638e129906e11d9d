use std::collections::BTreeSet;

use skylarkshore_core::authority::{Authority, HomeRequest};
use skylarkshore_core::id::{ModelName, UpstreamId};
use skylarkshore_core::store::{Key, Record};
use skylarkshore_core::units::Watts;
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{
    Cluster, UNLIMITED_POWER, assert_one_owner_each, document, is_every_engine_owned, name, secs,
};
use crate::process::{ACTIVE_WATTS, SLEEP_WATTS};

const HOSTS: [&str; 3] = ["a", "b", "c"];

fn cluster(seed: u64, fence_check: FenceCheck, cap: Watts) -> Cluster {
    let mut cluster = Cluster::with_engines(seed, &HOSTS, 3, fence_check, document(1, 1, 1, cap));
    cluster.run_until("every engine has an owner and the model a home", secs(30), |cluster| {
        is_every_engine_owned(cluster) && home(cluster).is_some()
    });
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

/// Loads the model wherever an owner may, and checks that this is at most one engine.
fn load_at_one_home(cluster: &Cluster, former: &str, loaded: &mut BTreeSet<UpstreamId>) {
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

/// Guards against a model that is loaded on two engines.
///
/// A process gives a home up and its write is delayed. It dies, and its successor finds
/// the home still recorded. Then the write arrives.
#[test]
fn a_delayed_write_of_a_dead_owner_does_not_move_its_successors_home() {
    let mut cluster = cluster(41, FenceCheck::Refuses, UNLIMITED_POWER);
    let engine = home(&cluster).expect("there is a home");
    let former = holder(&cluster, &engine);
    cluster.faults.delayed_writes = 100;
    cluster.faults.write_delay = Some(secs(25));
    cluster.process(&former).engines.home_requests =
        vec![HomeRequest { model: model(), move_from: Some(engine.clone()) }];
    cluster.run(secs(1), |_| {});
    cluster.kill(&former);
    cluster.faults.delayed_writes = 0;
    let mut loaded = BTreeSet::new();
    cluster.run_until("a successor owns the engines", secs(20), is_every_engine_owned);
    load_at_one_home(&cluster, &former, &mut loaded);
    cluster.faults.outage = true;
    cluster.run(secs(20), |cluster| load_at_one_home(cluster, &former, &mut loaded));
    cluster.faults.outage = false;
    cluster.run(secs(30), |cluster| load_at_one_home(cluster, &former, &mut loaded));
    assert_eq!(loaded.len(), 1);
}

/// Guards against a former owner that removes its successor's home.
///
/// A process loses its lease and its engines without being notified, while its writes
/// still reach the key-value service. A write answer shows it the homes record of its
/// successor.
#[test]
fn a_former_owner_without_updates_does_not_remove_its_successors_home() {
    let mut cluster = cluster(42, FenceCheck::Refuses, UNLIMITED_POWER);
    let engine = home(&cluster).expect("there is a home");
    let former = isolate_and_replace_owner(&mut cluster, &engine);
    let mut loaded = BTreeSet::new();
    cluster.run_until("the successor may load the model", secs(5), |cluster| {
        load_at_one_home(cluster, &former, &mut loaded);
        !loaded.is_empty()
    });
    cluster.process(&former).engines.home_requests =
        vec![HomeRequest { model: model(), move_from: Some(engine) }];
    cluster.run(secs(30), |cluster| load_at_one_home(cluster, &former, &mut loaded));
}

/// Lets an engine's owner lose its lease and the engine without being notified.
fn isolate_and_replace_owner(cluster: &mut Cluster, engine: &UpstreamId) -> String {
    let former = holder(cluster, engine);
    cluster.process(&former).store_unreachable = true;
    cluster.process(&former).inbound_cut = true;
    cluster.run_until("a successor owns the engines", secs(40), |cluster| owner(cluster, engine) != former);
    cluster.process(&former).store_unreachable = false;
    cluster.run_until("the former owner registers again", secs(15), |cluster| {
        cluster.store.record(&Key::Member(name(&former))).is_some()
    });
    cluster.run(secs(1), |_| {});
    former
}

/// Power for one of three engines.
const TIGHT: Watts = Watts(ACTIVE_WATTS.0 + 2 * SLEEP_WATTS.0);

fn engine_with_full_power(cluster: &Cluster) -> UpstreamId {
    let full = |engine: &&UpstreamId| {
        cluster.processes.values().any(|process| process.control.granted_power(engine) == ACTIVE_WATTS)
    };
    cluster.engines.keys().find(full).cloned().expect("an engine has power")
}

/// Requires more power for every engine except the given one.
fn need_power_for_other_engines(cluster: &mut Cluster, engine: &UpstreamId) {
    let others: Vec<UpstreamId> = cluster.engines.keys().filter(|other| *other != engine).cloned().collect();
    for other in others {
        let host = holder(cluster, &other);
        cluster.process(&host).engines.short_of_power.insert(other);
    }
}

/// Guards against power that is granted to others while the successor draws it.
///
/// A process gives an engine's power up and its write is delayed. It dies, and its
/// successor finds the power still granted. Then the write arrives.
#[test]
fn a_delayed_write_of_a_dead_owner_does_not_revoke_its_successors_power() {
    let mut cluster = cluster(43, FenceCheck::Refuses, TIGHT);
    let engine = engine_with_full_power(&cluster);
    let former = holder(&cluster, &engine);
    need_power_for_other_engines(&mut cluster, &engine);
    cluster.faults.delayed_writes = 100;
    cluster.faults.write_delay = Some(secs(25));
    cluster.run_until("the former owner gives the power up", secs(5), |cluster| {
        cluster.process(&former).control.granted_power(&engine) == SLEEP_WATTS
    });
    cluster.kill(&former);
    cluster.faults.delayed_writes = 0;
    cluster.run_until("a successor owns the engines", secs(20), is_every_engine_owned);
    let successor = holder(&cluster, &engine);
    cluster.faults.outage = true;
    let mut drawing = BTreeSet::new();
    let mut check = |cluster: &mut Cluster| {
        if cluster.process(&successor).control.granted_power(&engine) == ACTIVE_WATTS {
            cluster.process(&successor).engines.loaded.insert((engine.clone(), model()));
            drawing.insert(engine.clone());
        }
        let others = granted(cluster, &former);
        let lowered = cluster.process(&successor).control.granted_power(&engine) < ACTIVE_WATTS;
        let uncounted = if !drawing.is_empty() && lowered { ACTIVE_WATTS.0 - SLEEP_WATTS.0 } else { 0 };
        assert!(others.0 + uncounted <= TIGHT.0, "{others} and {uncounted}W at {}", cluster.now);
    };
    cluster.run(secs(20), &mut check);
    cluster.faults.outage = false;
    cluster.run(secs(30), &mut check);
}

/// Guards against a former owner that gives up the power that its successor draws.
///
/// A process loses its lease and its engine without being notified, and receives a request for power.
#[test]
fn a_former_owner_without_updates_does_not_revoke_its_successors_power() {
    let mut cluster = cluster(44, FenceCheck::Refuses, TIGHT);
    let engine = engine_with_full_power(&cluster);
    let former = isolate_and_replace_owner(&mut cluster, &engine);
    cluster.run_until("the successor has the power", secs(5), |cluster| {
        let host = successor_of(cluster, &engine, &former);
        cluster.process(&host).control.granted_power(&engine) == ACTIVE_WATTS
    });
    let successor = successor_of(&cluster, &engine, &former);
    cluster.process(&successor).engines.loaded.insert((engine.clone(), model()));
    let log_position = cluster.store.log.len();
    cluster.process(&former).inbound_cut = false;
    cluster.send_power_request(&former, Watts(ACTIVE_WATTS.0 - SLEEP_WATTS.0));
    cluster.process(&former).inbound_cut = true;
    cluster.run(secs(30), |_| {});
    for change in &cluster.store.log[log_position..] {
        let Some(Record::Power(record)) = &change.record else { continue };
        assert_eq!(record.grants.get(&engine), Some(&ACTIVE_WATTS), "the successor's power was given up");
    }
}

fn successor_of(cluster: &Cluster, engine: &UpstreamId, former: &str) -> String {
    let holders = cluster.holders(engine);
    holders.iter().map(ToString::to_string).find(|host| host != former).expect("there is a successor")
}

/// Guards against orders to an engine whose hand-over may still take effect.
///
/// The write of the hand-over is delayed and its writer receives no updates. The write
/// may arrive at any time and name another owner.
#[test]
fn an_engine_with_an_unconfirmed_hand_over_receives_no_orders() {
    let mut cluster = cluster(45, FenceCheck::Ignores, UNLIMITED_POWER);
    cluster.faults.delayed_writes = 100;
    cluster.faults.write_delay = Some(secs(12));
    cluster.shut_down("a");
    cluster.run(secs(2), assert_one_owner_each);
    cluster.process("a").inbound_cut = true;
    cluster.run(secs(30), assert_one_owner_each);
}

/// Guards against a take-over based on an outdated deletion.
///
/// A process loses its lease, registers again and confirms its owner records. Others
/// have received the deletion of its member key and nothing since, although they may
/// read the new owner record.
#[test]
fn an_outdated_deletion_of_a_member_key_does_not_cause_a_take_over() {
    let mut cluster = cluster(46, FenceCheck::Ignores, UNLIMITED_POWER);
    let engines: Vec<UpstreamId> =
        cluster.engines.keys().filter(|engine| holder(&cluster, engine) == "a").cloned().collect();
    assert!(!engines.is_empty(), "a owns something");
    cluster.process("a").store_unreachable = true;
    cluster.run_until("the member key is deleted", secs(15), |cluster| {
        cluster.store.record(&Key::Member(name("a"))).is_none()
    });
    cluster.run(secs(1), assert_one_owner_each);
    for host in ["b", "c"] {
        cluster.process(host).inbound_cut = true;
    }
    cluster.process("a").store_unreachable = false;
    cluster.run(secs(60), |cluster| {
        assert_one_owner_each(cluster);
        assert!(engines.iter().all(|engine| owner(cluster, engine) == "a"), "taken over at {}", cluster.now);
    });
}

/// Guards against two owners after a pause between a lease renewal and its answer.
///
/// When the process resumes, others own its engines. If the hold counted from the time
/// at which the answer was read, both would act.
#[test]
fn a_renewal_answer_read_late_does_not_extend_the_hold() {
    let mut cluster = cluster(47, FenceCheck::Ignores, UNLIMITED_POWER);
    cluster.run_until("a renewal is answered", secs(5), |cluster| cluster.process("a").has_lease_answer());
    cluster.process("a").frozen = true;
    cluster.process("a").inbound_cut = true;
    cluster.run(secs(40), assert_one_owner_each);
    assert!(is_every_engine_owned(&mut cluster), "others have taken over");
    cluster.process("a").frozen = false;
    cluster.run(secs(20), assert_one_owner_each);
}
