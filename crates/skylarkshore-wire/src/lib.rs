//! The formats that skylarkshore speaks, each with its way to and from the core's types.

pub mod engine;
pub mod etcd;
pub mod hostlist;
