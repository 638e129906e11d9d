//! Tests of one entry host process with stand-ins for the platform and the upstreams.

mod bad_requests;
mod deployment;
mod leaving;
mod operators;
mod peers;
mod streams;
