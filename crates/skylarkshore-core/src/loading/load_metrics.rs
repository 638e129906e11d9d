//! Counters of loads and unloads for the metrics.

use std::time::Duration;

/// Totals since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadMetrics {
    /// Loads ordered.
    pub loads: u64,
    /// Unloads ordered.
    pub unloads: u64,
    /// Unloads of models on which no request has run since their load.
    pub unused: u64,
    /// Failed loads.
    pub failed: u64,
    /// Time in which engines held models but ran no request.
    pub idle: Duration,
}
