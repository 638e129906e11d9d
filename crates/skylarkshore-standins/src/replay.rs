//! Replays recorded traces in simulated time under several policies; start with [`replay`].
//!
//! The core is that of the programs; the platform, the upstreams and the clock
//! are simulated. The same trace and policy always give the same results.

mod deployment;
mod expectations;
mod generate;
mod outcome;
mod plot;
mod policy;
mod run;
mod trace;

pub use deployment::{Deployment, InvalidDeployment};
pub use expectations::{Expectations, InvalidExpectation};
pub use generate::{Profile, UnknownProfile, generate};
pub use outcome::{Outcome, table};
pub use plot::{PlotFailed, plot};
pub use policy::{Policy, UnknownPolicy};
pub use run::{InvariantViolated, replay};
pub use trace::{Entry, InvalidTrace, RequestTarget, Trace};
