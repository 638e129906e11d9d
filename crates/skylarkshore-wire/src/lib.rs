//! The formats in which the programs meet callers, peers, the platform and the upstreams.
//!
//! Each format has wire types of its own, which turn into the core's checked
//! types by `TryFrom` and come from them by `From`.

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
