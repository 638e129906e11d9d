//! What a process believes, for whoever asks.

use crate::time::Time;

/// One belief of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DumpEntry {
    /// What kind of thing it is about, such as `engine` or `request`.
    pub kind: &'static str,
    /// The thing's name.
    pub subject: String,
    /// What is believed of it, in a few words.
    pub state: String,
    /// Since when.
    pub since: Option<Time>,
}

/// A number that changes, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gauge {
    /// The metric's name without the program's prefix, with its unit.
    pub name: &'static str,
    /// Its value now.
    pub value: f64,
}
