//! Tests of the control plane of several processes with injected faults.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/process.rs"]
mod process;
#[path = "support/store.rs"]
mod store;

#[path = "control/eras.rs"]
mod eras;
#[path = "control/homes.rs"]
mod homes;
#[path = "control/leases.rs"]
mod leases;
#[path = "control/ownership.rs"]
mod ownership;
#[path = "control/power.rs"]
mod power;
#[path = "control/stale.rs"]
mod stale;
#[path = "control/starts.rs"]
mod starts;
#[path = "control/storm.rs"]
mod storm;
