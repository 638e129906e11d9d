//! Entries of the state dump and gauge metrics, as returned by [`Node`](crate::Node).

use crate::time::Time;

/// One entry of the state dump.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DumpEntry {
    /// Kind of the subject, such as `engine` or `request`.
    pub kind: &'static str,
    /// Name of the subject.
    pub subject: String,
    /// Its state as this process knows it, as a short text.
    pub state: String,
    /// When it entered this state.
    pub since: Option<Time>,
}

/// A gauge metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gauge {
    /// Name of the metric, with its unit and without the program's prefix.
    pub name: &'static str,
    /// Current value.
    pub value: f64,
}
