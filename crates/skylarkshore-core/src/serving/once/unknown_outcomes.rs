//! The keys of this process whose requests have an unknown outcome.

use crate::collections::OrderedMap;
use crate::id::Digest;
use crate::serving::lease::RECORD_TTL;
use crate::time::Time;

/// Maximum number of keys that are kept.
const MAX_KEYS: usize = 65_536;

/// The keys whose claims must stay because a request may have run under them.
///
/// An orphaned claim of this process, under which nothing ran, is deleted when it is found. A
/// claim under which a request was lost looks the same but must stay, or the same booking would
/// be made twice.
#[derive(Debug, Default)]
pub(super) struct UnknownOutcomes {
    until: OrderedMap<Digest, Time>,
    /// Whether there were more keys than are kept.
    overflowed: bool,
}

impl UnknownOutcomes {
    /// Removes the keys whose records have expired with their lease.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.until.retain(|_, until| !until.is_due(now));
    }

    /// Adds a key.
    pub(super) fn insert(&mut self, now: Time, key: Digest) {
        if self.until.len() >= MAX_KEYS {
            self.overflowed = true;
            return;
        }
        self.until.insert(key, now.after(RECORD_TTL));
    }

    /// Reports whether a request may have run under a key of this process.
    pub(super) fn may_contain(&self, key: Digest) -> bool {
        self.overflowed || self.until.contains_key(&key)
    }
}
