//! What is counted for the metrics.

use std::time::Duration;

/// What the process has done with its engines so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadMetrics {
    /// Loads that were ordered.
    pub loads: u64,
    /// Unloads that were ordered.
    pub unloads: u64,
    /// Unloads of models that no request had run on since they were loaded.
    pub unused: u64,
    /// Loads that failed.
    pub failed: u64,
    /// How long engines had something loaded and ran nothing.
    pub idle: Duration,
}
