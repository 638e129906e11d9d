//! Decision logic of skylarkshore, free of I/O.
//!
//! A [`Node`] is the state machine of one process. It takes an [`Event`] and the
//! current time and returns the [`Effect`]s for the runtime to execute. It reads
//! no clock, opens no socket, spawns no task and seeds its random number
//! generator from the configuration, so that a test can run nine nodes in one
//! process and inject a fault after any effect.

pub mod accounts;
pub mod authority;
pub mod catalogue;
pub mod collections;
pub mod config;
pub mod control;
pub mod cx;
pub mod dump;
pub mod effect;
pub mod event;
mod evidence;
pub mod follower;
pub mod id;
pub mod list_knowledge;
pub mod loading;
mod member_count;
pub mod node;
pub mod notice;
pub mod peer;
pub mod quota;
mod removal_grace;
pub mod rules;
pub mod serving;
pub mod store;
pub mod time;
pub mod units;
pub mod upstream;
mod upstream_paths;
pub mod view;

pub use config::NodeConfig;
pub use cx::Cx;
pub use effect::Effect;
pub use event::Event;
pub use node::Node;
pub use time::Time;
