//! The limits that upstreams name in their answers; see [`NamedLimits`].

use std::sync::{Mutex, PoisonError};

use skylarkshore_core::collections::HashMap;
use skylarkshore_core::id::UpstreamId;

/// The limit of one kind that each upstream named last, so that the core learns of changes only.
#[derive(Debug)]
pub(super) struct NamedLimits<T>(Mutex<HashMap<UpstreamId, T>>);

impl<T> Default for NamedLimits<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T: Copy + PartialEq> NamedLimits<T> {
    /// Records the limit that an answer names, or that it names none; reports whether that is new.
    pub(super) fn record(&self, upstream: &UpstreamId, limit: Option<T>) -> bool {
        let mut limits = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let known = match limit {
            Some(limit) => limits.insert(upstream.clone(), limit),
            None => limits.remove(upstream),
        };
        known != limit
    }
}
