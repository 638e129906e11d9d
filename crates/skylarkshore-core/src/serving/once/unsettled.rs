//! The keys of this process whose outcome is unknown.

use crate::collections::OrderedMap;
use crate::id::Digest;
use crate::serving::lease::KEPT;
use crate::time::Time;

/// The most keys in doubt that are remembered.
const MOST_UNSETTLED: usize = 65_536;

/// The keys whose claims stay because a request may have run under them.
///
/// A claim of this process that turns up after it was given up is deleted, since
/// nothing ran under it. Looking alike, a claim under which a request was lost
/// must not be: the same booking would be made a second time.
#[derive(Debug, Default)]
pub(super) struct Unsettled {
    until: OrderedMap<Digest, Time>,
    /// Whether there were too many of them to remember.
    overflowed: bool,
}

impl Unsettled {
    /// Forgets the keys whose records have ended with their lease.
    pub(super) fn forget_old(&mut self, now: Time) {
        self.until.retain(|_, until| !until.is_due(now));
    }

    /// Remembers a key.
    pub(super) fn insert(&mut self, now: Time, key: Digest) {
        if self.until.len() >= MOST_UNSETTLED {
            self.overflowed = true;
            return;
        }
        self.until.insert(key, now.after(KEPT));
    }

    /// Tells whether a request may have run under a key of this process.
    pub(super) fn may_contain(&self, key: Digest) -> bool {
        self.overflowed || self.until.contains_key(&key)
    }
}
