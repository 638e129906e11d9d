//! Messages by which a process that has just started learns what upstreams have said of themselves.

use std::time::Duration;

use crate::id::UpstreamId;

use super::slot::LendingTerm;

/// A message about what upstreams have said of themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeMessage {
    /// Asks for what the receiver knows.
    Wanted,
    /// The answer.
    Known(KnownNotices),
}

/// What a process knows of the upstreams by their own words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownNotices {
    /// Whether nothing may be missing; a process that has just started and waits for answers itself may
    /// know less than others.
    pub is_complete: bool,
    /// The upstreams that withstand few rejections.
    pub limits: Vec<RejectionLimit>,
    /// The upstreams that are leaving.
    pub leaving: Vec<UpstreamId>,
}

/// An upstream that withstands few rejections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectionLimit {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The rejections within a second that it withstands.
    pub withstands: u32,
    /// Time until requests need a slot.
    pub needed_in: Duration,
    /// Who lends the slots, if it is known.
    pub term: Option<LendingTerm>,
}
