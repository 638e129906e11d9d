//! Ownership after the key-value service came back from an older copy.

use std::collections::BTreeMap;

use skylarkshore_core::authority::Authority;
use skylarkshore_core::id::{Fence, HostId, LeaseId, StoreEra, StoreRevision, UpstreamId};
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{
    Cluster, assert_one_owner_each, cluster_with_owners, config, is_every_engine_owned, secs,
};
use crate::store::{Lease, Store};

const HOSTS: [&str; 3] = ["a", "b", "c"];

/// Brings the service back from a copy in a new era, which is returned; leases have paused meanwhile.
pub fn restore(cluster: &mut Cluster, copy: Store) -> StoreEra {
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

/// The fences under which processes might send orders so far.
#[derive(Default)]
struct Fences {
    highest: BTreeMap<UpstreamId, Fence>,
    held: BTreeMap<(HostId, UpstreamId), Fence>,
}

impl Fences {
    /// Checks that each fence is above all earlier ones of its engine when a process gets it.
    ///
    /// A former owner that is cut off from the service keeps its own, which engines that check fences refuse.
    fn assert_rise(&mut self, cluster: &Cluster) {
        for engine in cluster.engines.keys() {
            for process in cluster.processes.values().filter(|process| process.holds(cluster.now, engine)) {
                let Some(permit) = process.control.permit(cluster.now, engine) else { continue };
                let holder = (process.cfg.host.clone(), engine.clone());
                if self.held.insert(holder, permit.fence) == Some(permit.fence) {
                    continue;
                }
                let before = self.highest.insert(engine.clone(), permit.fence);
                assert!(before < Some(permit.fence), "{engine} has had {before:?}, then {}", permit.fence);
            }
        }
    }
}

/// Guards against two owners, and fences that go down, where the copy names an owner whose successor is lost.
///
/// Hosts learn of the new era at different times.
#[test]
fn engines_have_one_owner_and_rising_fences_after_the_service_came_back_from_an_older_copy() {
    for seed in 0..12 {
        play_drills(seed, FenceCheck::Ignores, assert_one_owner_each);
    }
}

/// Guards against fences that an engine refuses, as it has had a higher one before the drill.
#[test]
fn engines_that_check_fences_get_higher_ones_after_the_service_came_back_from_an_older_copy() {
    for seed in 0..12 {
        play_drills(seed, FenceCheck::Refuses, |_| {});
    }
}

/// Plays two drills, in which fences have to rise; `check` is called at each step, too.
fn play_drills(seed: u64, fence_check: FenceCheck, check: impl Fn(&mut Cluster)) {
    let mut cluster = cluster_with_owners(seed, &HOSTS, 6, fence_check);
    let mut fences = Fences::default();
    let mut check = |cluster: &mut Cluster| {
        check(cluster);
        fences.assert_rise(cluster);
    };
    for drill in 1..=2 {
        let mut run = |cluster: &mut Cluster, length: u64| cluster.run(secs(length), &mut check);
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
        let era = restore(&mut cluster, copy);
        for host in HOSTS {
            cluster.process(host).store_unreachable = true;
        }
        for host in HOSTS {
            cluster.reach_era(host, era);
            cluster.run(secs(1 + seed % 3), &mut check);
        }
        cluster.run_until("every engine has an owner again", secs(60), |cluster| {
            check(cluster);
            is_every_engine_owned(cluster)
        });
    }
}

/// Guards against engines without an owner for ever, as hosts that start after a drill know of one era only.
#[test]
fn hosts_that_start_after_the_service_came_back_own_the_engines() {
    for fence_check in [FenceCheck::Ignores, FenceCheck::Refuses] {
        let mut cluster = cluster_with_owners(1, &HOSTS, 6, fence_check);
        let copy = cluster.store.clone();
        cluster.run(secs(2), |_| {});
        restore(&mut cluster, copy);
        for host in HOSTS {
            cluster.kill(host);
            cluster.start(config(host, 2, 1));
        }
        cluster.run_until("every engine has an owner", secs(60), |cluster| {
            assert_one_owner_each(cluster);
            is_every_engine_owned(cluster)
        });
    }
}

/// Guards against a process that shuts down and ends the lease of another one, which was granted under the
/// same number in the new era.
#[test]
fn a_lease_of_a_former_era_is_not_revoked() {
    let mut cluster = cluster_with_owners(1, &["a", "b"], 2, FenceCheck::Refuses);
    let copy = cluster.store.clone();
    cluster.start(config("c", 1, 1));
    cluster.run(secs(2), |_| {});
    let lost: Vec<LeaseId> =
        cluster.store.leases.keys().filter(|lease| !copy.leases.contains_key(*lease)).copied().collect();
    assert_eq!(lost.len(), 1);
    cluster.shut_down("c");
    cluster.run_until("c has given its engines away", secs(30), |cluster| {
        cluster.engines.keys().all(|engine| cluster.holders(engine).iter().all(|host| host.as_str() != "c"))
    });
    let era = restore(&mut cluster, copy);
    // Another process is granted the lost number.
    let lease = Lease { ttl: secs(60), expires_at: cluster.now.after(secs(60)) };
    cluster.store.leases.insert(lost[0], lease);
    cluster.finish_draining("c");
    cluster.reach_era("c", era);
    cluster.run_until("c may exit", secs(30), |cluster| cluster.process("c").control.has_deregistered());
    assert!(cluster.store.leases.contains_key(&lost[0]));
}
