use std::time::Duration;

use skylarkshore_core::authority::Authority;
use skylarkshore_core::config::{NodeConfig, Watchers};
use skylarkshore_core::id::{Incarnation, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::store::{Key, MemberRecord, Record};
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{
    Cluster, UNLIMITED_POWER, assert_one_owner_each, cluster_with_owners, config, document,
    is_every_engine_owned, name, secs,
};
use crate::process::Inbound;

fn member(cluster: &Cluster, host: &str) -> Option<MemberRecord> {
    match cluster.store.record(&Key::Member(name(host))) {
        Some(Record::Member(member)) => Some(member.clone()),
        _ => None,
    }
}

/// Guards against a process that takes its own record for that of another and restarts over and over.
///
/// Every second answer of the key-value service is lost after its write took effect.
#[test]
fn a_process_registers_and_acquires_engines_despite_lost_answers() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_engines(
            seed,
            &["a", "b"],
            6,
            FenceCheck::Ignores,
            document(1, 2, 1, UNLIMITED_POWER),
        );
        cluster.faults.lost_answers = 50;
        cluster.run_until("every engine has an owner", secs(90), |cluster| {
            assert_one_owner_each(cluster);
            is_every_engine_owned(cluster)
        });
        let superseded: usize =
            cluster.processes.values().map(|process| process.event_count("superseded")).sum();
        assert_eq!(superseded, 0, "seed {seed}");
    }
}

/// Guards against a process that acts or overwrites its successor's record after a long pause.
#[test]
fn a_superseded_process_neither_acts_nor_writes() {
    let mut cluster = cluster_with_owners(11, &["a", "b"], 6, FenceCheck::Refuses);
    let engines: Vec<UpstreamId> = cluster.engines.keys().cloned().collect();
    let mut later = member(&cluster, "a").expect("a is a member");
    later.incarnation = Incarnation(2);
    cluster.store.put(Key::Member(name("a")), Record::Member(later.clone()));
    cluster.run_until("b owns every engine", secs(15), |cluster| {
        engines.iter().all(|engine| cluster.holders(engine).iter().any(|host| host.as_str() == "b"))
    });
    let now = cluster.now;
    let process = cluster.process("a");
    assert_eq!(process.event_count("superseded"), 1);
    assert!(engines.iter().all(|engine| process.control.permit(now, engine).is_none()));
    cluster.run(secs(30), |_| {});
    assert_eq!(member(&cluster, "a"), Some(later));
}

/// Guards against missed changes after the only process that watches the key-value service is killed.
#[test]
fn another_process_takes_over_the_watch_when_the_watcher_dies() {
    let mut cluster = cluster_with_owners(12, &["a", "b", "c"], 3, FenceCheck::Refuses);
    cluster.run(secs(10), |_| {});
    let watcher = watchers(&mut cluster);
    assert_eq!(watcher.len(), 1, "{watcher:?} watch for one data centre");
    cluster.kill(&watcher[0]);
    cluster.run_until("another one watches", secs(9), |cluster| !watchers(cluster).is_empty());
    cluster.run(secs(20), assert_one_owner_each);
    assert_eq!(watchers(&mut cluster).len(), 1);
    assert!(is_every_engine_owned(&mut cluster));
}

fn watchers(cluster: &mut Cluster) -> Vec<String> {
    let processes = cluster.processes.iter();
    processes.filter(|(_, process)| process.is_watching()).map(|(host, _)| host.to_string()).collect()
}

/// Guards against outdated rules on a process that reaches its peers but not the key-value service.
#[test]
fn a_process_cut_off_from_the_store_receives_new_rules_from_peers() {
    let mut cluster = cluster_with_owners(13, &["a", "b", "c"], 3, FenceCheck::Refuses);
    for host in ["a", "b", "c"] {
        cluster.process(host).store_unreachable = true;
        cluster.run(secs(3), |_| {});
        let revision = cluster.process(host).document.revision.0 + 1;
        cluster.store.put(Key::Document, Record::Document(document(revision, 4, 2, UNLIMITED_POWER).into()));
        cluster.run_until("new rules everywhere", secs(7), |cluster| {
            cluster.processes.values().all(|process| process.document.revision.0 == revision)
        });
        cluster.process(host).store_unreachable = false;
        cluster.run(secs(10), |_| {});
    }
}

/// Guards against store load that grows with the square of the hosts.
///
/// It would if every process read what another has written; only lease renewals may remain.
#[test]
fn an_idle_cluster_only_sends_lease_renewals_to_the_store() {
    let hosts: Vec<String> = (0..12).map(|i| format!("h{i}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let mut cluster = cluster_with_owners(14, &hosts, 12, FenceCheck::Ignores);
    cluster.run(secs(60), |_| {});
    let before = cluster.store.calls;
    cluster.run(Duration::from_mins(1), |_| {});
    let calls = cluster.store.calls - before;
    let renewals = 12 * 60 / 3;
    assert!((renewals / 2..renewals * 3 / 2).contains(&calls), "{calls} calls in a minute");
}

/// Guards against heartbeats from every host to every other host of a data centre.
#[test]
fn heartbeats_have_few_receivers_if_every_process_watches() {
    const HOSTS: usize = 60;
    const SECS: usize = 10;
    /// Six receivers, each at half the heartbeat interval at the shortest.
    const MAX_HEARTBEATS_PER_SECOND: usize = 6 * 2;

    let mut cluster = Cluster::new(17);
    cluster.store.put(Key::Document, Record::Document(document(1, 1, 1, UNLIMITED_POWER).into()));
    for number in 0..HOSTS {
        let cfg = config(&format!("h{number}"), 1, 17);
        cluster.start(NodeConfig { watchers: Watchers::All, ..cfg });
    }
    cluster.run(secs(10), |_| {});
    let mut sent = 0;
    cluster.run(secs(SECS as u64), |cluster| {
        let inboxes = cluster.processes.values().map(|process| &process.inbox);
        sent += inboxes.flatten().filter(|inbound| is_heartbeat(inbound)).count();
    });
    assert!(sent > 0);
    assert!(sent <= HOSTS * SECS * MAX_HEARTBEATS_PER_SECOND, "{sent} heartbeats in {SECS} s");
}

const fn is_heartbeat(inbound: &Inbound) -> bool {
    matches!(inbound, Inbound::Peer(_, PeerMessage::Heartbeat { .. }))
}

#[test]
fn a_state_dump_lists_lease_members_owners_homes_and_power() {
    let mut cluster =
        Cluster::with_engines(15, &["a", "b"], 2, FenceCheck::Ignores, document(1, 2, 1, UNLIMITED_POWER));
    cluster.run(secs(20), |_| {});
    let now = cluster.now;
    insta::assert_snapshot!(cluster.process("a").dump_entries(now), @r"
    lease a: registered at revision 2
    feed a: hears from peers, complete up to revision 10
    member a: live, incarnation 1, dc-a, callers 127.0.0.1:1
    member b: live, incarnation 1, dc-a, callers 127.0.0.1:1
    ownership e0: held here, by a incarnation 1, fence 3
    ownership e1: owned, by b incarnation 1, fence 5
    homes model-0: e1
    homes model-1: e0
    power site: 800W granted at revision 9
    ");
}

/// Guards against requests to upstreams that have left during a store outage.
///
/// The key-value service is away for eight seconds. Upstreams stop two seconds after they
/// announce that they leave, so each process must watch again within that time.
#[test]
fn a_process_resumes_watching_soon_after_a_store_outage() {
    for seed in 0..10 {
        let mut cluster = cluster_with_owners(seed, &["a"], 3, FenceCheck::Refuses);
        cluster.run(secs(5), |_| {});
        cluster.faults.outage = true;
        cluster.break_watch("a");
        cluster.run(secs(8), |_| {});
        assert!(!cluster.process("a").is_watching());
        cluster.faults.outage = false;
        let back = cluster.now;
        cluster.run_until("it watches again", secs(20), |cluster| cluster.process("a").is_watching());
        let took = cluster.now.since(back);
        assert!(took <= Duration::from_millis(1600), "seed {seed}: {took:?}");
    }
}
