//! The wire formats used with callers, peers, the platform and the upstreams.
//!
//! Each format has its own wire types. They convert to the core's validated
//! types with `TryFrom` and from them with `From`.

pub mod accounts;
pub mod caller;
pub mod catalogue;
pub mod document;
pub mod engine;
pub mod etcd;
pub mod hostlist;
pub mod keys;
pub mod operator;
pub mod peer;
pub mod percent;
pub mod tunnel;
