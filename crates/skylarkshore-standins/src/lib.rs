//! Test doubles of the platform and the upstreams, with injectable faults.
//!
//! They implement the formats on the page INTERFACES and count what real systems
//! wouldn't report: loads beyond the rules, memory and power beyond their limits,
//! orders with outdated fences and repeated runs of one idempotency key. Start with
//! [`fleet::Fleet`] for real servers or [`world::World`] for a simulation.

pub mod census;
pub mod client;
pub mod engine;
pub mod fleet;
pub mod hosts;
pub mod http;
pub mod ports;
pub mod process;
pub mod programs;
pub mod relay;
pub mod replay;
pub mod service;
pub mod socket_owner;
pub mod store;
pub mod weights;
pub mod world;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, ignoring poisoning: the panic that caused it is reported on its own.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
