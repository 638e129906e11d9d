//! Up to when this process's knowledge of the shared keys is known to be complete. Start reading at [`Completeness`].

use crate::id::StoreRevision;
use crate::time::Time;

/// Limit of confirmations that wait for changes; a lasting gap ends with a complete state.
const MAX_PENDING: usize = 32;

/// States that each change that was made before `at` has a revision of at most `upto`.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    upto: StoreRevision,
    at: Time,
}

impl Confirmation {
    /// Reports whether this confirmation says at least as much as another.
    fn covers(&self, other: &Self) -> bool {
        self.upto <= other.upto && self.at >= other.at
    }
}

/// The confirmations that this process has received, from the key-value service or its peers.
#[derive(Debug, Default)]
pub(super) struct Completeness {
    complete_at: Option<Time>,
    /// Those that name a revision beyond the frontier.
    pending: Vec<Confirmation>,
}

impl Completeness {
    /// Returns the time of which no earlier change is missing; `None` while nothing is known.
    pub(super) const fn complete_at(&self) -> Option<Time> {
        self.complete_at
    }

    /// Records that each change that was made before `at` has a revision of at most `upto`.
    ///
    /// It counts once `frontier`, up to which no change is missing, has reached `upto`.
    pub(super) fn confirm(&mut self, frontier: StoreRevision, upto: StoreRevision, at: Time) {
        let confirmation = Confirmation { upto, at };
        if self.pending.iter().any(|known| known.covers(&confirmation)) {
            return;
        }
        self.pending.retain(|known| !confirmation.covers(known));
        self.pending.truncate(MAX_PENDING - 1);
        self.pending.push(confirmation);
        self.on_frontier(frontier);
    }

    /// Records that no change up to `frontier` is missing.
    pub(super) fn on_frontier(&mut self, frontier: StoreRevision) {
        // Without any state, nothing is complete.
        if frontier == StoreRevision(0) {
            return;
        }
        for confirmation in self.pending.extract_if(.., |known| known.upto <= frontier) {
            self.complete_at = self.complete_at.max(Some(confirmation.at));
        }
    }
}
