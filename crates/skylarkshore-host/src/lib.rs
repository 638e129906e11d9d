//! Sockets and timers round the core of skylarkshore.
//!
//! [`run`] puts the parts together. One task, the driver, owns the core:
//! everything that happens outside reaches it as an event, and what it wants
//! done is carried out in tasks of their own. What differs from one platform to
//! another is behind the traits that [`platform`] brings together.

pub mod accounts;
pub mod call_error;
pub mod clock;
pub mod config;
pub mod digest;
pub mod driver;
pub mod engines;
pub mod entry_hosts;
pub mod env;
pub mod error;
pub mod exchange;
pub mod http;
pub mod log;
pub mod metrics;
pub mod pending;
pub mod platform;
pub mod pool;
pub mod run;
pub mod server;
pub mod store;
pub mod upstreams;

mod callers;
mod etcd_platform;
mod host_list;
mod operators;
mod peers;
mod probe;
mod shutdown;
