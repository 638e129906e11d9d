//! The limits on requests that upstreams name in their answers; see [`NamedLimits`].

use std::sync::{Mutex, PoisonError};

use skylarkshore_core::collections::HashMap;
use skylarkshore_core::id::UpstreamId;
use skylarkshore_core::units::RequestRate;

/// The limit that each upstream named last, so that the core learns of changes only.
#[derive(Debug, Default)]
pub(super) struct NamedLimits(Mutex<HashMap<UpstreamId, RequestRate>>);

impl NamedLimits {
    /// Records the limit that an answer names, or that it names none; reports whether that is new.
    pub(super) fn record(&self, upstream: &UpstreamId, limit: Option<RequestRate>) -> bool {
        let mut limits = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let known = match limit {
            Some(limit) => limits.insert(upstream.clone(), limit),
            None => limits.remove(upstream),
        };
        known != limit
    }
}
