//! What nearly every part of the program needs.

use std::sync::Arc;

use slog::Logger;

use crate::clock::Clock;
use crate::driver::Inbox;
use crate::metrics::Metrics;
use crate::pending::Requests;

/// What nearly every part of the program needs; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Env {
    pub(crate) clock: Clock,
    pub(crate) inbox: Inbox,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) requests: Arc<Requests>,
    pub(crate) log: Logger,
}
