use std::time::Duration;

use skylarkshore_core::authority::Authority;
use skylarkshore_core::config::{NodeConfig, Watchers};
use skylarkshore_core::id::{Incarnation, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::store::{Key, MemberRecord, Record};
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, PLENTY, all_owned, config, document, name, one_holder_each, secs, settled};
use crate::process::Inbound;

fn member(cluster: &Cluster, host: &str) -> Option<MemberRecord> {
    match cluster.store.record(&Key::Member(name(host))) {
        Some(Record::Member(member)) => Some(member.clone()),
        _ => None,
    }
}

/// Every second answer of the key-value service is lost after its write took
/// effect. A process that took its own record for another's would never become a
/// member, and the operators would see it start over and over.
#[test]
fn lost_answers_do_not_keep_a_process_from_registering_and_owning() {
    for seed in 0..20 {
        let mut cluster = Cluster::with(seed, &["a", "b"], 6, FenceCheck::Ignores, document(1, 2, 1, PLENTY));
        cluster.faults.lost_answers = 50;
        cluster.until("owners for all", secs(90), |cluster| {
            one_holder_each(cluster);
            all_owned(cluster)
        });
        let superseded: usize =
            cluster.processes.values().map(|process| process.event_count("superseded")).sum();
        assert_eq!(superseded, 0, "seed {seed}");
    }
}

/// A process was paused so long that its host was given to another process. When
/// it wakes, it must neither act nor write over the record of its successor.
#[test]
fn a_superseded_process_stops_for_good() {
    let mut cluster = settled(11, &["a", "b"], 6, FenceCheck::Refuses);
    let engines: Vec<UpstreamId> = cluster.engines.keys().cloned().collect();
    let mut later = member(&cluster, "a").expect("a is a member");
    later.incarnation = Incarnation(2);
    cluster.store.put(Key::Member(name("a")), Record::Member(later.clone()));
    cluster.until("b owns all", secs(15), |cluster| {
        engines.iter().all(|engine| cluster.holders(engine).iter().any(|host| host.as_str() == "b"))
    });
    let now = cluster.now;
    let process = cluster.process("a");
    assert_eq!(process.event_count("superseded"), 1);
    assert!(engines.iter().all(|engine| process.control.permit(now, engine).is_none()));
    cluster.run(secs(30), |_| {});
    assert_eq!(member(&cluster, "a"), Some(later));
}

/// The only process that watches the key-value service is killed. Nobody else
/// would hear of its end, nor of new rules.
#[test]
fn another_process_watches_when_the_watcher_dies() {
    let mut cluster = settled(12, &["a", "b", "c"], 3, FenceCheck::Refuses);
    cluster.run(secs(10), |_| {});
    let watcher = watchers(&mut cluster);
    assert_eq!(watcher.len(), 1, "{watcher:?} watch for one data centre");
    cluster.kill(&watcher[0]);
    cluster.until("another one watches", secs(9), |cluster| !watchers(cluster).is_empty());
    cluster.run(secs(20), one_holder_each);
    assert_eq!(watchers(&mut cluster).len(), 1);
    assert!(all_owned(&mut cluster));
}

fn watchers(cluster: &mut Cluster) -> Vec<String> {
    let processes = cluster.processes.iter();
    processes.filter(|(_, process)| process.is_watching()).map(|(host, _)| host.to_string()).collect()
}

/// A process can't reach the key-value service, but its peers can. New rules must
/// be in force there within seconds all the same.
#[test]
fn a_process_cut_off_from_the_service_gets_new_rules_from_its_peers() {
    let mut cluster = settled(13, &["a", "b", "c"], 3, FenceCheck::Refuses);
    for host in ["a", "b", "c"] {
        cluster.process(host).store_unreachable = true;
        cluster.run(secs(3), |_| {});
        let revision = cluster.process(host).document.revision.0 + 1;
        cluster.store.put(Key::Document, Record::Document(document(revision, 4, 2, PLENTY).into()));
        cluster.until("new rules everywhere", secs(7), |cluster| {
            cluster.processes.values().all(|process| process.document.revision.0 == revision)
        });
        cluster.process(host).store_unreachable = false;
        cluster.run(secs(10), |_| {});
    }
}

/// Ten more processes join. The calls at the key-value service must grow with the
/// leases alone, since every process that read what one has written would make
/// the load grow with the square of the hosts.
#[test]
fn calls_at_the_service_in_quiet_times_are_the_lease_renewals() {
    let hosts: Vec<String> = (0..12).map(|i| format!("h{i}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let mut cluster = settled(14, &hosts, 12, FenceCheck::Ignores);
    cluster.run(secs(60), |_| {});
    let before = cluster.store.calls;
    cluster.run(Duration::from_mins(1), |_| {});
    let calls = cluster.store.calls - before;
    let renewals = 12 * 60 / 3;
    assert!((renewals / 2..renewals * 3 / 2).contains(&calls), "{calls} calls in a minute");
}

/// Signs of life between all hosts of a data centre take up its machines.
#[test]
fn where_every_process_watches_signs_of_life_go_to_few() {
    const HOSTS: usize = 60;
    const SECS: usize = 10;
    /// Six receivers, each half of the regular interval at the shortest.
    const MOST_A_SECOND: usize = 6 * 2;

    let mut cluster = Cluster::new(17);
    cluster.store.put(Key::Document, Record::Document(document(1, 1, 1, PLENTY).into()));
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
    assert!(sent <= HOSTS * SECS * MOST_A_SECOND, "{sent} signs of life in {SECS} s");
}

const fn is_heartbeat(inbound: &Inbound) -> bool {
    matches!(inbound, Inbound::Peer(_, PeerMessage::Heartbeat { .. }))
}

#[test]
fn a_state_dump_tells_what_a_process_believes() {
    let mut cluster = Cluster::with(15, &["a", "b"], 2, FenceCheck::Ignores, document(1, 2, 1, PLENTY));
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

/// The key-value service is away for eight seconds. Each process that comes back
/// to it late goes on sending requests to upstreams that said meanwhile that
/// they leave; they are there for two seconds more, and then the requests break.
#[test]
fn a_process_watches_again_soon_after_the_service_is_back() {
    for seed in 0..10 {
        let mut cluster = settled(seed, &["a"], 3, FenceCheck::Refuses);
        cluster.run(secs(5), |_| {});
        cluster.faults.outage = true;
        cluster.break_watch("a");
        cluster.run(secs(8), |_| {});
        assert!(!cluster.process("a").is_watching());
        cluster.faults.outage = false;
        let back = cluster.now;
        cluster.until("it watches again", secs(20), |cluster| cluster.process("a").is_watching());
        let took = cluster.now.since(back);
        assert!(took <= Duration::from_millis(1600), "seed {seed}: {took:?}");
    }
}
