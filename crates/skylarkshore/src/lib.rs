//! Sockets and timers round the core of skylarkshore.
//!
//! [`cli`] reads the command line and [`run`] puts the parts together. One task,
//! the driver, owns the core: everything that happens outside reaches it as an
//! event, and what it wants done is carried out in tasks of their own.

pub mod cli;
pub mod config;
pub mod error;
pub mod log;
pub mod run;

mod callers;
mod clock;
mod connections;
mod driver;
mod engines;
mod env;
mod hosts;
mod http;
mod metrics;
mod operators;
mod peers;
mod pending;
mod probe;
mod server;
mod shutdown;
mod store;
mod upstreams;
