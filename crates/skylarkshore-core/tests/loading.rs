//! Tests loading and unloading on the engines that one process owns.

#[path = "support/loading.rs"]
mod support;

#[path = "loading/faults.rs"]
mod faults;
#[path = "loading/lifecycle.rs"]
mod lifecycle;
#[path = "loading/load_slots.rs"]
mod load_slots;
#[path = "loading/policy.rs"]
mod policy;
#[path = "loading/restarts.rs"]
mod restarts;
#[path = "loading/sequential_engines.rs"]
mod sequential_engines;
#[path = "loading/swaps.rs"]
mod swaps;
#[path = "loading/unserved.rs"]
mod unserved;
#[path = "loading/weight_store_gate.rs"]
mod weight_store_gate;
