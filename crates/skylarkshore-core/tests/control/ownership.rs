use std::collections::BTreeMap;

use skylarkshore_core::Time;
use skylarkshore_core::authority::{Authority, OwnershipChange};
use skylarkshore_core::id::UpstreamId;
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, PLENTY, all_owned, config, document, name, one_holder_each, secs, settled};

fn shares(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for engine in cluster.engines.keys() {
        for holder in cluster.holders(engine) {
            *shares.entry(holder.to_string()).or_default() += 1;
        }
    }
    shares
}

fn engines_of(cluster: &Cluster, host: &str) -> Vec<UpstreamId> {
    let engines = cluster.engines.keys();
    engines.filter(|engine| cluster.holders(engine).iter().any(|h| h.as_str() == host)).cloned().collect()
}

fn handed_over(cluster: &Cluster) -> usize {
    cluster.processes.values().map(|process| process.event_count("engine_handed_over")).sum()
}

/// Returns until when the new owner of an engine expects orders of the former one.
fn late_orders_until(cluster: &Cluster, engine: &UpstreamId) -> Option<Time> {
    let holder = cluster.holders(engine).first().map(|host| (*host).clone())?;
    cluster.processes[&holder].changes.iter().rev().find_map(|change| match change {
        OwnershipChange::Acquired { engine: acquired, late_orders_until, .. } if acquired == engine => {
            Some(*late_orders_until)
        }
        _ => None,
    })
}

#[test]
fn engines_are_shared_out_evenly_and_a_newcomer_gets_its_part() {
    let mut cluster = settled(1, &["a", "b"], 9, FenceCheck::Ignores);
    cluster.run(secs(30), one_holder_each);
    let two = shares(&cluster);
    assert!(two.values().all(|owned| *owned <= 6), "{two:?}");
    cluster.start(config("c", 1, 1));
    cluster.run(secs(60), one_holder_each);
    let three = shares(&cluster);
    assert_eq!(three.values().sum::<usize>(), 9, "{three:?}");
    assert!(three.len() == 3 && three.values().all(|owned| (2..=4).contains(owned)), "{three:?}");
    let before = handed_over(&cluster);
    cluster.run(secs(60), one_holder_each);
    assert_eq!(before, handed_over(&cluster), "engines keep changing hands");
}

/// A process is killed. Its lease lapses after ten seconds, and its engines refuse
/// its fence from the moment at which another process owns them. Callers wait for
/// cold models on these engines until then.
#[test]
fn a_killed_owners_engines_that_check_fences_are_taken_over_once_its_key_is_gone() {
    let mut cluster = settled(2, &["a", "b", "c"], 9, FenceCheck::Refuses);
    let orphans = engines_of(&cluster, "a");
    cluster.kill("a");
    let took = cluster.until("a takes over", secs(14), all_owned);
    assert!(took >= secs(5), "taken over after {took:?}, while the key stood");
    assert!(orphans.iter().all(|engine| late_orders_until(&cluster, engine) == Some(Time::START)));
}

/// A process is killed whose engines carry out whatever they are told. Its port
/// refuses connections on a host that lives, so that nobody has to wait until its
/// hold has passed.
#[test]
fn a_process_proved_dead_is_succeeded_without_waiting_for_its_hold() {
    let mut cluster = settled(3, &["a", "b", "c"], 9, FenceCheck::Ignores);
    let orphans = engines_of(&cluster, "a");
    cluster.kill("a");
    cluster.until("a takes over", secs(14), all_owned);
    let now = cluster.now;
    for engine in orphans {
        let late_orders = late_orders_until(&cluster, &engine);
        assert!(late_orders.is_some_and(|until| until <= now.after(secs(2))), "{engine}: {late_orders:?}");
    }
}

/// A process freezes for longer than its lease, while its engines carry out
/// whatever they are told. When it wakes, it believes for a moment that it still
/// owns them. Two owners at once would overcommit the memory.
#[test]
fn a_frozen_owner_may_not_act_beside_its_successor() {
    let mut cluster = settled(4, &["a", "b", "c"], 9, FenceCheck::Ignores);
    let orphans = engines_of(&cluster, "a");
    cluster.process("a").frozen = true;
    cluster.run(secs(17), one_holder_each);
    assert!(orphans.iter().all(|engine| cluster.holders(engine).is_empty()), "taken over too early");
    cluster.until("a successor", secs(15), |cluster| {
        one_holder_each(cluster);
        all_owned(cluster)
    });
    assert!(orphans.iter().all(|engine| late_orders_until(&cluster, engine) == Some(Time::NEVER)));
    cluster.process("a").frozen = false;
    cluster.run(secs(30), one_holder_each);
    let lost = cluster.process("a").event_count("engine_lost");
    assert_eq!(lost, orphans.len());
    assert!(all_owned(&mut cluster));
}

/// The key-value service is away for a minute, and every lease has lapsed when it
/// comes back. If each process took the others' engines over, all would change
/// hands at once. Orders go on where engines check fences, and only there.
#[test]
fn an_outage_in_which_all_leases_lapse_moves_no_engine() {
    for fence_check in [FenceCheck::Refuses, FenceCheck::Ignores] {
        let mut cluster = settled(5, &["a", "b", "c"], 9, fence_check);
        cluster.run(secs(40), one_holder_each);
        let before = shares(&cluster);
        cluster.faults.outage = true;
        cluster.run(secs(60), one_holder_each);
        let during = shares(&cluster).values().sum::<usize>();
        assert_eq!(during, if fence_check == FenceCheck::Refuses { 9 } else { 0 });
        cluster.faults.outage = false;
        cluster.until("leave to act again", secs(20), all_owned);
        cluster.run(secs(60), one_holder_each);
        assert_eq!(before, shares(&cluster), "{fence_check:?}");
        let lost: usize = cluster.processes.values().map(|process| process.event_count("engine_lost")).sum();
        assert_eq!(lost, 0, "{fence_check:?}");
    }
}

/// A process is replaced on its host within a second, long before its lease lapses.
/// Its engines must not stay without an owner for that long.
#[test]
fn a_newer_incarnation_on_the_old_address_frees_the_engines_at_once() {
    let mut cluster = settled(6, &["a", "b", "c"], 9, FenceCheck::Ignores);
    cluster.kill("a");
    cluster.start(config("a", 2, 6));
    cluster.until("owners for all", secs(4), |cluster| {
        one_holder_each(cluster);
        all_owned(cluster)
    });
}

/// A process is asked to end. Its engines must go to others before it goes, without
/// the time that a take-over costs, and its member key must not linger.
#[test]
fn a_leaving_process_hands_its_engines_over_before_it_goes() {
    let mut cluster = settled(7, &["a", "b", "c"], 9, FenceCheck::Ignores);
    cluster.shut_down("a");
    cluster.until("others own all", secs(10), |cluster| {
        one_holder_each(cluster);
        all_owned(cluster) && engines_of(cluster, "a").is_empty()
    });
    cluster.until("the process has left", secs(5), |cluster| {
        cluster.drained("a");
        cluster.process("a").control.has_deregistered()
    });
    let key = skylarkshore_core::store::Key::Member(name("a"));
    assert!(cluster.store.record(&key).is_none());
}

/// A process is asked to end while the key-value service is away. It can neither
/// hand its engines over nor end its lease, and must not wait for that for ever.
#[test]
fn a_leaving_process_does_not_wait_for_a_service_that_is_away() {
    let mut cluster = settled(8, &["a", "b"], 4, FenceCheck::Ignores);
    cluster.faults.outage = true;
    cluster.shut_down("a");
    cluster.until("the process has left", secs(25), |cluster| {
        cluster.drained("a");
        cluster.process("a").control.has_deregistered()
    });
}

/// An order is in progress when an engine is to be handed over. If the record
/// changed hands before its end, the next owner wouldn't know of it.
#[test]
fn an_engine_with_an_order_in_progress_is_not_handed_over_yet() {
    let mut cluster = settled(9, &["a", "b"], 4, FenceCheck::Ignores);
    let engines = engines_of(&cluster, "a");
    cluster.process("a").engines.open_order_engines = engines.iter().cloned().collect();
    cluster.shut_down("a");
    cluster.run(secs(8), one_holder_each);
    for engine in &engines {
        assert!(cluster.holders(engine).is_empty(), "{engine} has an owner that may act");
        assert!(cluster.process("a").control.granted_power(engine).0 > 0, "{engine} isn't owned any more");
    }
    cluster.process("a").engines.open_order_engines.clear();
    cluster.until("the other one owns all", secs(10), all_owned);
}

/// Guards against hosts that look after every engine of a fleet that has many
/// more than its models need, each of which costs a record that all hosts read.
#[test]
fn engines_on_which_nothing_is_to_be_loaded_have_no_owner_where_there_are_plenty() {
    let models = 4;
    let document = document(1, models, 24, PLENTY);
    let mut cluster = Cluster::with(7, &["a", "b", "c"], 600, FenceCheck::Ignores, document);
    for engine in cluster.engines.values_mut() {
        engine.holds = vec![name("model-0"), name("model-1")];
    }
    for host in ["a", "b", "c"] {
        cluster.set_host_list(&name(host));
    }
    cluster.run(secs(30), one_holder_each);
    let homes: Vec<UpstreamId> = cluster.homes();
    let owned = cluster.engines.keys().filter(|engine| !cluster.holders(engine).is_empty()).count();
    assert!(homes.iter().all(|home| !cluster.holders(home).is_empty()), "a home has no owner");
    assert!(owned <= homes.len() && owned < 50, "{owned} engines have owners, {} are homes", homes.len());
}
