//! The parts of a peer's complete state; see [`StateParts`].

use std::sync::Arc;

use crate::id::StoreRevision;
use crate::peer::StatePart;

/// Limit of parts in a peer's state.
const MAX_STATE_PARTS: usize = 1024;

/// The parts of a peer's state that have arrived so far.
#[derive(Debug, Default)]
pub(super) struct StateParts {
    series: u64,
    upto: StoreRevision,
    bodies: Vec<Option<Arc<[u8]>>>,
}

impl StateParts {
    /// Adds a part; returns the revision and all parts in order once they are complete.
    pub(super) fn add(&mut self, part: StatePart) -> Option<(StoreRevision, Vec<Arc<[u8]>>)> {
        let (number, parts) = (part.part as usize, part.parts as usize);
        if parts > MAX_STATE_PARTS || part.upto < self.upto {
            return None;
        }
        if part.series != self.series || parts != self.bodies.len() {
            *self = Self { series: part.series, upto: part.upto, bodies: vec![None; parts] };
        }
        *self.bodies.get_mut(number)? = Some(part.body);
        let complete: Option<Vec<Arc<[u8]>>> = self.bodies.iter().cloned().collect();
        complete.map(|bodies| (std::mem::take(self).upto, bodies))
    }
}
