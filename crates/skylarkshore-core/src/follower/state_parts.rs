//! The parts of peers' complete states; see [`StateParts`].

use std::sync::Arc;

use crate::id::StoreRevision;
use crate::peer::StatePart;

/// Limit of parts in a peer's state.
const MAX_STATE_PARTS: usize = 1024;
/// Number of incomplete states that are kept; a process asks a second peer if the first seems not to answer.
const MAX_STATES: usize = 2;

/// The states of which some parts have arrived, the one that began last at the end.
///
/// Two peers may send theirs at the same time, so that the parts of both arrive in any order.
#[derive(Debug, Default)]
pub(super) struct StateParts {
    incomplete: Vec<IncompleteState>,
}

/// A state of which some parts have arrived.
#[derive(Debug)]
struct IncompleteState {
    series: u64,
    upto: StoreRevision,
    bodies: Vec<Option<Arc<[u8]>>>,
}

impl StateParts {
    /// Adds a part; returns the revision and all parts in order once a state is complete.
    pub(super) fn add(&mut self, part: StatePart) -> Option<(StoreRevision, Vec<Arc<[u8]>>)> {
        let index = self.position(&part).or_else(|| self.begin(&part))?;
        let state = &mut self.incomplete[index];
        *state.bodies.get_mut(part.part as usize)? = Some(part.body);
        let complete: Vec<Arc<[u8]>> = state.bodies.iter().cloned().collect::<Option<_>>()?;
        let upto = state.upto;
        self.incomplete.retain(|other| other.upto > upto);
        Some((upto, complete))
    }

    fn position(&self, part: &StatePart) -> Option<usize> {
        let is_same = |state: &IncompleteState| {
            state.series == part.series && state.bodies.len() == part.parts as usize
        };
        self.incomplete.iter().position(is_same)
    }

    /// Begins a state with none of its parts, and returns its index; the oldest one yields to it.
    fn begin(&mut self, part: &StatePart) -> Option<usize> {
        let parts = part.parts as usize;
        if parts > MAX_STATE_PARTS {
            return None;
        }
        if self.incomplete.len() >= MAX_STATES {
            self.incomplete.remove(0);
        }
        let state = IncompleteState { series: part.series, upto: part.upto, bodies: vec![None; parts] };
        self.incomplete.push(state);
        Some(self.incomplete.len() - 1)
    }
}
