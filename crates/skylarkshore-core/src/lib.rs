//! Every decision of skylarkshore, without input or output.
//!
//! A [`Node`] is one process's state. It takes an [`Event`] and the time, and
//! returns the [`Effect`]s that its surroundings have to carry out. It reads no
//! clock, opens no socket, starts no task and draws its randomness from a seed,
//! so that a test can hold nine of them and strike a fault after any effect.

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
pub mod id;
mod listing;
pub mod loading;
mod member_count;
pub mod node;
pub mod peer;
pub mod quota;
pub mod rules;
pub mod serving;
pub mod store;
pub mod time;
pub mod units;
pub mod upstream;
pub mod view;

pub use config::NodeConfig;
pub use cx::Cx;
pub use effect::Effect;
pub use event::Event;
pub use node::Node;
pub use time::Time;
