//! Faults struck at real processes: kills, freezes, cuts and outages.

mod bad_input;
mod bench;
mod burst;
mod crashing_request;
mod leaving;
mod once;
mod outage;
mod owners;
mod rule_changes;
