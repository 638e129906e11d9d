//! The parts of peers' complete states; see [`StateParts`].

use std::sync::Arc;

use crate::id::StoreRevision;
use crate::peer::StatePart;
use crate::time::Time;

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
    first_part_at: Time,
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
    /// Adds a part that arrived at `at`; returns its state once that is complete.
    pub(super) fn add(&mut self, at: Time, part: StatePart) -> Option<PeerState> {
        let index = self.position(&part).or_else(|| self.begin(at, &part))?;
        let state = &mut self.incomplete[index];
        *state.bodies.get_mut(part.part as usize)? = Some(part.body);
        let bodies = state.bodies.iter().cloned().collect::<Option<_>>()?;
        let IncompleteState { upto, first_part_at, .. } = *state;
        self.incomplete.retain(|other| other.upto > upto);
        Some(PeerState { upto, bodies, first_part_at, last_part_at: at })
    }

    fn position(&self, part: &StatePart) -> Option<usize> {
        let is_same = |state: &IncompleteState| {
            state.series == part.series && state.bodies.len() == part.parts as usize
        };
        self.incomplete.iter().position(is_same)
    }

    /// Begins a state with none of its parts, and returns its index; the oldest one yields to it.
    fn begin(&mut self, at: Time, part: &StatePart) -> Option<usize> {
        let parts = part.parts as usize;
        if parts > MAX_STATE_PARTS {
            return None;
        }
        if self.incomplete.len() >= MAX_STATES {
            self.incomplete.remove(0);
        }
        let bodies = vec![None; parts];
        let state = IncompleteState { series: part.series, upto: part.upto, bodies, first_part_at: at };
        self.incomplete.push(state);
        Some(self.incomplete.len() - 1)
    }
}
