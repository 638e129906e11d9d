//! The parts of a peer's complete state; see [`StateParts`].

use std::sync::Arc;

use crate::id::StoreRevision;
use crate::peer::StatePart;
use crate::time::Time;

/// Limit of parts in a peer's state.
const MAX_STATE_PARTS: usize = 1024;

/// The parts of a peer's state that have arrived so far.
#[derive(Debug, Default)]
pub(super) struct StateParts {
    series: u64,
    upto: StoreRevision,
    bodies: Vec<Option<Arc<[u8]>>>,
    first_at: Time,
}

/// All parts of a peer's state, in order.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) upto: StoreRevision,
    pub(super) bodies: Vec<Arc<[u8]>>,
    /// When the first part arrived.
    pub(super) first_part_at: Time,
    /// When the last part arrived.
    pub(super) last_part_at: Time,
}

impl StateParts {
    /// Adds a part that arrived at `at`; returns the state once it is complete.
    pub(super) fn add(&mut self, at: Time, part: StatePart) -> Option<PeerState> {
        let (number, parts) = (part.part as usize, part.parts as usize);
        if parts > MAX_STATE_PARTS || part.upto < self.upto {
            return None;
        }
        if part.series != self.series || parts != self.bodies.len() {
            let bodies = vec![None; parts];
            *self = Self { series: part.series, upto: part.upto, bodies, first_at: at };
        }
        *self.bodies.get_mut(number)? = Some(part.body);
        let bodies = self.bodies.iter().cloned().collect::<Option<_>>()?;
        let Self { upto, first_at, .. } = std::mem::take(self);
        Some(PeerState { upto, bodies, first_part_at: first_at, last_part_at: at })
    }
}
