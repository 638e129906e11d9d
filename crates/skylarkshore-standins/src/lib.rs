//! Small stand-ins for the platform and the upstreams, with switches for their faults.
//!
//! They keep to the formats on the page INTERFACES and count what a real one
//! would suffer in silence: loads beyond the rules, memory and power beyond
//! their limits, orders under old fences, second runs of one idempotency key.

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
pub mod store;
pub mod weights;
pub mod world;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic elsewhere, which has its own report.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
