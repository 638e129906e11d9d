//! Several nodes in simulated time: requests end to end, and a fault injected at every step.

mod brittle_upstreams;
mod brittle_upstreams_herd;
mod crashing_requests;
mod cut_off_hosts;
mod fatal_parts;
mod fault_matrix;
mod mutants;
mod recovery;
mod retry_budget;
mod stream_callers;
mod streams;
mod support;
mod waves;
mod whole_path;
