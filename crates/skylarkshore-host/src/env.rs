//! The environment shared by most parts of the program. Start with [`Env`].

use std::sync::{Arc, Mutex, PoisonError};

use slog::Logger;

use crate::clock::Clock;
use crate::driver::Inbox;
use crate::log::LineRateLimiter;
use crate::metrics::Metrics;
use crate::pending::Requests;

/// Shared handles; cheap to clone.
#[derive(Clone, Debug)]
pub struct Env {
    /// The clock.
    pub clock: Clock,
    /// The queue of the task that owns the core.
    pub inbox: Inbox,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The requests in progress.
    pub requests: Arc<Requests>,
    /// The rate limit of log lines.
    pub lines: Arc<Mutex<LineRateLimiter>>,
    /// The logger.
    pub log: Logger,
}

impl Env {
    /// Reports whether the rate limit admits another log line of this kind.
    pub fn may_log(&self, kind: &'static str) -> bool {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.allows(&self.log, kind)
    }
}
