//! What nearly every part of the program needs.

use std::sync::{Arc, Mutex, PoisonError};

use slog::Logger;

use crate::clock::Clock;
use crate::driver::Inbox;
use crate::log::LineBudget;
use crate::metrics::Metrics;
use crate::pending::Requests;

/// What nearly every part of the program needs; cheap to clone.
#[derive(Clone, Debug)]
pub struct Env {
    /// The time.
    pub clock: Clock,
    /// The way to the core.
    pub inbox: Inbox,
    /// The numbers that are kept.
    pub metrics: Arc<Metrics>,
    /// The requests in progress.
    pub requests: Arc<Requests>,
    /// How many lines of each kind may be written yet.
    pub lines: Arc<Mutex<LineBudget>>,
    /// Where events are logged.
    pub log: Logger,
}

impl Env {
    /// Tells whether one more line of a kind may be written in this second.
    pub fn may_log(&self, kind: &'static str) -> bool {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.allows(&self.log, kind)
    }
}
