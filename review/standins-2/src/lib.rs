//! Stand-ins of the second review: the platform's store, replicas, clients, and the start of the project's program.
//!
//! They need the standard library and `serde_json` only. All addresses are loopback addresses.

pub mod client;
pub mod http;
pub mod process;
pub mod record;
pub mod replica;
pub mod settings;
pub mod store;
pub mod system;
