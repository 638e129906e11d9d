//! What must never happen in the given-time world.

use skylarkshore_core::Time;

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When.
    pub at: Time,
    /// What.
    pub what: String,
}

impl Violation {
    pub(super) const fn new(at: Time, what: String) -> Self {
        Self { at, what }
    }
}
