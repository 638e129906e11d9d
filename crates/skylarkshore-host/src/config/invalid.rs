//! The error for an invalid settings file.

use std::fmt;

use derive_more::Error;

use super::section::Fault;

/// All faults of a settings file.
#[derive(Debug, Error, PartialEq, Eq)]
pub struct InvalidSettings {
    /// The faults, ordered by line.
    pub faults: Vec<Fault>,
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings have {} error(s)", self.faults.len())?;
        self.faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}
