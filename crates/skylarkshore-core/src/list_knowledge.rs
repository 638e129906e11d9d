//! Up to when this process knows the host list, and since when it has missed nothing of it.
//!
//! What a process has seen proves little by itself: it may have started after what it is asked for, may
//! have been frozen or cut off, or may have read a list that tells nothing of what came and went before.
//! Open [`ListKnowledge`] first.

use std::time::Duration;

use crate::time::Time;

/// How long before a complete list the one before it may have been read for nothing to be missed between
/// them.
///
/// An upstream that is listed for less is known to few hosts, if any.
const MAX_GAP: Duration = Duration::from_secs(3);

/// From when on a process knows everything that has been on the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Coverage {
    /// It started with the whole system, so that there was nothing before.
    Whole,
    /// From this time on.
    Since(Time),
}

impl Coverage {
    /// Reports whether it includes the last `span`.
    pub fn covers(self, now: Time, span: Duration) -> bool {
        match self {
            Self::Whole => true,
            Self::Since(since) => since.after(span).is_due(now),
        }
    }
}

/// What this process knows of the host list's age and history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListKnowledge {
    known_at: Option<Time>,
    coverage: Option<Coverage>,
    /// Whether complete lists are read at intervals, rather than changes with the shared keys.
    is_polled: bool,
    /// Whether a complete list has taken the place of changes since `known_at`.
    is_replaced: bool,
}

impl ListKnowledge {
    /// Returns the time of which no earlier change of the list is missing.
    pub const fn known_at(&self) -> Option<Time> {
        self.known_at
    }

    /// Returns from when on no change of the list is missing.
    pub const fn coverage(&self) -> Option<Coverage> {
        self.coverage
    }

    /// Records that a complete list was read, which doesn't come with the shared keys.
    pub fn on_list(&mut self, now: Time, is_first_start: bool) {
        self.is_polled = true;
        self.is_replaced = true;
        self.advance(now, is_first_start);
    }

    /// Records that a complete state of the shared keys has taken the place of changes, some of which may be
    /// missing from it.
    pub const fn on_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Records that the system has run before this process started, so that there may have been something before.
    pub fn on_earlier_start(&mut self) {
        if self.coverage == Some(Coverage::Whole) {
            self.coverage = self.known_at.map(Coverage::Since);
        }
    }

    /// Records up to when the shared keys are complete, with which the changes of the list come.
    pub fn on_complete(&mut self, complete_at: Option<Time>, is_first_start: bool) {
        if let Some(at) = complete_at.filter(|_| !self.is_polled) {
            self.advance(at, is_first_start);
        }
    }

    fn advance(&mut self, at: Time, is_first_start: bool) {
        let first = if is_first_start { Coverage::Whole } else { Coverage::Since(at) };
        self.coverage.get_or_insert(first);
        let Some(known_at) = self.known_at else {
            self.known_at = Some(at);
            self.is_replaced = false;
            return;
        };
        if at <= known_at {
            return;
        }
        if self.is_replaced && at.since(known_at) > MAX_GAP {
            self.coverage = Some(Coverage::Since(at));
        }
        self.known_at = Some(at);
        self.is_replaced = false;
    }
}
