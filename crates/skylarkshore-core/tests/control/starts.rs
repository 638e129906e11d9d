//! Processes that start again under their host's name, with any number.
//!
//! The number of a start is a time of day, which may go back between two starts.

use std::time::Duration;

use skylarkshore_core::authority::Authority;
use skylarkshore_core::config::{NodeConfig, Watchers};
use skylarkshore_core::id::{Digest, Incarnation, UpstreamId};
use skylarkshore_core::store::{Key, MemberRecord, Record};
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{
    Cluster, UNLIMITED_POWER, assert_one_owner_each, config, document, is_every_engine_owned, name, secs,
};
use crate::eras::restore;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const ENGINES: usize = 9;
/// The number of the first start of each host.
const FIRST: u64 = 1000;
/// Numbers of the next start: far and little below the first one, the same, and above it.
const NEXT: [u64; 4] = [1, FIRST - 1, FIRST, FIRST + 1];
/// Pauses before the next start: the former entry is there, is about to go, and has gone.
const PAUSES: [Duration; 4] =
    [Duration::from_millis(100), Duration::from_secs(2), Duration::from_secs(10), Duration::from_secs(40)];
/// Within this time a configuration has to be in force everywhere.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Returns the configuration of a start, which has a certificate of its own.
fn start_config(host: &str, number: u64, certificate: u8, watchers: Watchers) -> NodeConfig {
    let cfg = config(host, number, u64::from(certificate));
    NodeConfig { fingerprint: Digest([certificate; 32]), watchers, ..cfg }
}

fn cluster(seed: u64, fence_check: FenceCheck, watchers: Watchers) -> Cluster {
    let mut cluster =
        Cluster::with_engines(seed, &[], ENGINES, fence_check, document(1, 4, 2, UNLIMITED_POWER));
    for host in HOSTS {
        cluster.start(start_config(host, FIRST, 1, watchers));
    }
    cluster.run_until("every engine gets an owner", secs(30), is_every_engine_owned);
    cluster.run(secs(5), |_| {});
    cluster
}

fn member(cluster: &Cluster, host: &str) -> Option<MemberRecord> {
    match cluster.store.record(&Key::Member(name(host))) {
        Some(Record::Member(member)) => Some(member.clone()),
        _ => None,
    }
}

fn owned_by(cluster: &Cluster, host: &str) -> usize {
    let engines = cluster.engines.keys();
    engines.filter(|engine| cluster.holders(engine).iter().any(|holder| holder.as_str() == host)).count()
}

/// Checks that a host is registered, follows the configuration and owns its share of the engines.
fn assert_full_member(cluster: &mut Cluster, host: &str, certificate: u8, case: &str) {
    cluster.run_until(&format!("{case}: it owns its share"), secs(90), |cluster| {
        assert_one_owner_each(cluster);
        is_every_engine_owned(cluster) && owned_by(cluster, host) >= ENGINES / HOSTS.len()
    });
    let registered = member(cluster, host).expect("it is a member");
    assert_eq!(registered.fingerprint, Digest([certificate; 32]), "{case}");
    assert_eq!(registered.incarnation, cluster.process(host).cfg.incarnation, "{case}");
    let revision = cluster.process(host).document.revision.0 + 1;
    cluster.store.put(Key::Document, Record::Document(document(revision, 4, 2, UNLIMITED_POWER).into()));
    cluster.run_until(&format!("{case}: it follows"), CONFIGURATION_TIME, |cluster| {
        cluster.processes.values().all(|process| process.document.revision.0 == revision)
    });
    for process in cluster.processes.values() {
        assert_eq!(process.event_count("superseded"), 0, "{case}");
        assert!(!process.control.is_on_standby(), "{case}");
    }
}

fn play_starts(fence_check: FenceCheck, watchers: Watchers) {
    for (seed, (number, pause)) in
        NEXT.iter().flat_map(|number| PAUSES.map(|pause| (*number, pause))).enumerate()
    {
        let case = format!("start {number} after {FIRST}, {pause:?} later, {fence_check:?}, {watchers:?}");
        let mut cluster = cluster(seed as u64, fence_check, watchers);
        cluster.kill("a");
        cluster.run(pause, assert_one_owner_each);
        cluster.start(start_config("a", number, 2, watchers));
        assert_full_member(&mut cluster, "a", 2, &case);
    }
}

/// Guards against a process that stays on an old configuration, unchosen and without engines because the
/// time of day was set back before its start.
#[test]
fn a_start_with_any_number_is_a_full_member() {
    play_starts(FenceCheck::Refuses, Watchers::All);
    play_starts(FenceCheck::Refuses, Watchers::OnePerDataCentre);
}

/// Guards against the same, and against two owners at once, where engines don't check fences.
#[test]
fn a_start_with_any_number_is_a_full_member_where_engines_ignore_fences() {
    play_starts(FenceCheck::Ignores, Watchers::All);
    play_starts(FenceCheck::Ignores, Watchers::OnePerDataCentre);
}

/// Guards against the same where hosts receive the configuration through each other.
#[test]
fn a_start_with_any_number_is_a_full_member_of_a_relay_tree() {
    play_starts(FenceCheck::Refuses, Watchers::Relayed);
}

/// Guards against a host that is lost after several starts, each below the one before.
#[test]
fn starts_in_quick_succession_with_falling_numbers_end_in_a_full_member() {
    for seed in 0..10 {
        let mut cluster = cluster(seed, FenceCheck::Ignores, Watchers::All);
        for certificate in 2..6 {
            cluster.kill("a");
            cluster.run(Duration::from_millis(150 + 400 * (seed % 4)), assert_one_owner_each);
            let number = FIRST - 100 * u64::from(certificate);
            cluster.start(start_config("a", number, certificate, Watchers::All));
            cluster.run(Duration::from_millis(200 * (seed % 7)), assert_one_owner_each);
        }
        assert_full_member(&mut cluster, "a", 5, &format!("seed {seed}"));
    }
}

/// Guards against a process that takes the entry of an earlier start for a later one, as the service's
/// copy brings it back.
#[test]
fn a_copy_with_the_entry_of_an_earlier_start_replaces_no_process() {
    for (seed, number) in NEXT.into_iter().enumerate() {
        for fence_check in [FenceCheck::Refuses, FenceCheck::Ignores] {
            let case = format!("start {number} after {FIRST}, {fence_check:?}");
            let mut cluster = cluster(seed as u64, fence_check, Watchers::All);
            let copy = cluster.store.clone();
            cluster.kill("a");
            cluster.run(secs(1 + 15 * (seed as u64 % 2)), |_| {});
            cluster.start(start_config("a", number, 2, Watchers::All));
            assert_full_member(&mut cluster, "a", 2, &case);
            let era = restore(&mut cluster, copy);
            for host in HOSTS {
                cluster.break_watch(host);
                cluster.reach_era(host, era);
            }
            cluster.run(secs(3), assert_one_owner_each);
            assert_full_member(&mut cluster, "a", 2, &format!("{case}, after the copy"));
        }
    }
}

/// Guards against a process that starts beside a copy of the service with a higher number of its host.
#[test]
fn a_start_beside_a_copy_is_a_full_member() {
    for (seed, number) in NEXT.into_iter().enumerate() {
        let case = format!("start {number} after {FIRST}");
        let mut cluster = cluster(seed as u64, FenceCheck::Ignores, Watchers::All);
        let copy = cluster.store.clone();
        cluster.run(secs(5), |_| {});
        cluster.kill("a");
        let era = restore(&mut cluster, copy);
        for host in ["b", "c"] {
            cluster.break_watch(host);
            cluster.reach_era(host, era);
        }
        cluster.start(start_config("a", number, 2, Watchers::All));
        cluster.reach_era("a", era);
        assert_full_member(&mut cluster, "a", 2, &case);
    }
}

/// Guards against a process that acts, or overwrites its successor's record, because its successor has a
/// lower or the same number.
#[test]
fn a_replaced_process_neither_acts_nor_writes_whatever_the_numbers() {
    for number in NEXT {
        for fence_check in [FenceCheck::Refuses, FenceCheck::Ignores] {
            let mut cluster = cluster(1, fence_check, Watchers::All);
            let engines: Vec<UpstreamId> = cluster.engines.keys().cloned().collect();
            let mut later = member(&cluster, "a").expect("a is a member");
            later.incarnation = Incarnation(number);
            later.fingerprint = Digest([7; 32]);
            cluster.store.put(Key::Member(name("a")), Record::Member(later.clone()));
            cluster.run(secs(1), |_| {});
            let (now, calls) = (cluster.now, cluster.store.calls);
            let process = cluster.process("a");
            assert!(process.control.is_superseded(), "{number}");
            assert!(process.control.is_on_standby(), "{number}");
            assert!(engines.iter().all(|engine| process.control.permit(now, engine).is_none()));
            for host in ["b", "c"] {
                cluster.kill(host);
            }
            cluster.run(secs(30), |cluster| {
                let sent = cluster.processes.values().flat_map(|process| &process.inbox).count();
                assert_eq!(sent, 0, "nothing is sent");
            });
            assert_eq!(cluster.store.calls, calls, "{number}: a replaced process calls nobody");
            assert_eq!(member(&cluster, "a"), Some(later));
        }
    }
}

/// Guards against two processes under one name: one that starts at another address while the entry there
/// has a higher number can't know whether that process still runs.
#[test]
fn a_start_at_another_address_waits_for_the_entry_to_go() {
    let mut cluster = cluster(1, FenceCheck::Refuses, Watchers::All);
    cluster.kill("a");
    let moved = NodeConfig {
        peer_address: "127.0.0.2:1".parse().expect("it is an address"),
        ..start_config("a", FIRST - 1, 2, Watchers::All)
    };
    let lease_ttl = moved.timings.lease_ttl;
    cluster.start(moved);
    cluster.run(secs(1), |_| {});
    assert!(cluster.process("a").control.is_on_standby());
    assert_eq!(member(&cluster, "a").map(|member| member.fingerprint), Some(Digest([1; 32])));
    cluster.run(lease_ttl, assert_one_owner_each);
    assert_full_member(&mut cluster, "a", 2, "the entry has gone");
}
