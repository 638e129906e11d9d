//! Ownership after the key-value service came back from an older copy.

use std::collections::BTreeMap;

use skylarkshore_core::authority::Authority;
use skylarkshore_core::id::{Fence, StoreEra, StoreRevision, UpstreamId};
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{
    Cluster, assert_one_owner_each, cluster_with_owners, config, is_every_engine_owned, secs,
};
use crate::store::Store;

const HOSTS: [&str; 3] = ["a", "b", "c"];

/// Brings the service back from a copy in a new era, which is returned; leases have paused meanwhile.
fn restore(cluster: &mut Cluster, copy: Store) -> StoreEra {
    let era = StoreEra(cluster.store.revision().era().0 + 1);
    let place = |revision: StoreRevision| StoreRevision::in_era(era, revision.number());
    let now = cluster.now;
    cluster.store = Store { log: Vec::new(), ..copy };
    cluster.store.revision = place(cluster.store.revision);
    for entry in cluster.store.entries.values_mut() {
        entry.versioned.revision = place(entry.versioned.revision);
    }
    for lease in cluster.store.leases.values_mut() {
        lease.expires_at = now.after(lease.ttl);
    }
    era
}

/// Checks that no process may send orders to an engine under a lower fence than any process could before.
fn assert_fences_rise(cluster: &Cluster, highest: &mut BTreeMap<UpstreamId, Fence>) {
    for engine in cluster.engines.keys() {
        for process in cluster.processes.values() {
            let Some(permit) = process.control.permit(cluster.now, engine) else { continue };
            if permit.not_after.is_due(cluster.now) {
                continue;
            }
            let known = highest.entry(engine.clone()).or_insert(permit.fence);
            assert!(permit.fence >= *known, "{engine} has had {known}, then {}", permit.fence);
            *known = permit.fence;
        }
    }
}

/// Guards against two owners, and fences that go down, where the copy names an owner whose successor is lost.
///
/// Hosts learn of the new era at different times.
#[test]
fn engines_have_one_owner_and_rising_fences_after_the_service_came_back_from_an_older_copy() {
    for seed in 0..12 {
        play_drills(seed, FenceCheck::Ignores, |cluster, highest| {
            assert_one_owner_each(cluster);
            assert_fences_rise(cluster, highest);
        });
    }
}

/// Guards against fences that an engine refuses, as it has had a higher one before the drill.
#[test]
fn engines_that_check_fences_get_higher_ones_after_the_service_came_back_from_an_older_copy() {
    for seed in 0..12 {
        play_drills(seed, FenceCheck::Refuses, |_, _| {});
    }
}

/// Plays two drills; `check` is called at each step.
fn play_drills(
    seed: u64,
    fence_check: FenceCheck,
    check: impl Fn(&mut Cluster, &mut BTreeMap<UpstreamId, Fence>),
) {
    let mut cluster = cluster_with_owners(seed, &HOSTS, 6, fence_check);
    let mut highest = BTreeMap::new();
    for drill in 1..=2 {
        let mut run = |cluster: &mut Cluster, length: u64| {
            cluster.run(secs(length), |cluster| check(cluster, &mut highest));
        };
        run(&mut cluster, 5);
        let copy = cluster.store.clone();
        // Other processes take engines over; the copy names the one before.
        let former = HOSTS[(usize::try_from(seed).expect("the seed is small") + drill) % HOSTS.len()];
        if drill == 1 {
            cluster.process(former).store_unreachable = true;
            run(&mut cluster, 40);
            cluster.process(former).store_unreachable = false;
        } else {
            cluster.kill(former);
            run(&mut cluster, 40);
            cluster.start(config(former, 2, seed));
        }
        run(&mut cluster, 5);
        assert_fences_rise(&cluster, &mut highest);
        let era = restore(&mut cluster, copy);
        for host in HOSTS {
            cluster.process(host).store_unreachable = true;
        }
        for host in HOSTS {
            cluster.reach_era(host, era);
            cluster.run(secs(1 + seed % 3), |cluster| check(cluster, &mut highest));
        }
        cluster.run_until("every engine has an owner again", secs(60), |cluster| {
            check(cluster, &mut highest);
            is_every_engine_owned(cluster)
        });
        assert_fences_rise(&cluster, &mut highest);
    }
}
