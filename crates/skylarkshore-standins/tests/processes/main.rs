//! Faults injected into real processes: kills, freezes, broken connections and outages.

mod bad_input;
mod bench;
mod burst;
mod crashing_request;
mod crossed_answers;
mod cut_off;
mod leaving;
mod once;
mod operators;
mod orders;
mod outage;
mod owners;
mod power;
mod reclaimed;
mod rule_changes;
mod weight_store;
