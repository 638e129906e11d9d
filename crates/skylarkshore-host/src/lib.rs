//! Sockets, timers and platform access for the core of skylarkshore.
//!
//! Start with [`run`]. One task, the [`driver`], owns the core: it receives
//! everything as events, and executes the core's effects in tasks of their own.
//! The differences between platforms are behind the traits in [`platform`].

pub mod accounts;
pub mod answer_buffer;
pub mod byte_budget;
pub mod call_error;
pub mod clock;
pub mod config;
pub mod connections;
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
pub mod upstream_path;
pub mod upstreams;

mod callers;
mod etcd_platform;
mod host_list;
mod operators;
mod peers;
mod probe;
mod shutdown;
