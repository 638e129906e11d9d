//! Recorded traces, replayed in given time under several policies.
//!
//! The same core runs as in the programs; only the platform, the upstreams and
//! the time are stand-ins. The same trace and policy give the same figures.

mod deployment;
mod generate;
mod outcome;
mod plot;
mod policy;
mod run;
mod stated;
mod trace;

pub use deployment::{Deployment, InvalidDeployment};
pub use generate::{Profile, UnknownProfile, generate};
pub use outcome::{Outcome, table};
pub use plot::{PlotFailed, plot};
pub use policy::{Policy, UnknownPolicy};
pub use run::{NotSound, replay};
pub use stated::{InvalidStated, Stated};
pub use trace::{Entry, InvalidTrace, Trace, Wanted};
