//! A violated invariant of the simulation.

use skylarkshore_core::Time;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time of the violation.
    pub at: Time,
    /// Description of the violation.
    pub what: String,
}

impl Violation {
    pub(super) const fn new(at: Time, what: String) -> Self {
        Self { at, what }
    }
}
