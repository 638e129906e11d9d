//! Messages about the slots of upstreams that withstand few rejections, between the hosts that use them
//! and the host that lends them.

use std::time::Duration;

use derive_more::Display;

use crate::id::{HostId, Incarnation, UpstreamId};

/// A message about the slots of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotMessage {
    /// The sender's use of the slots.
    Report(SlotReport),
    /// Answers a report and tells what was lent.
    Lent(SlotsLent),
    /// The slots of an upstream that withstands few rejections are lent; asks for a report if the term is
    /// new to the receiver.
    Named {
        /// The upstream.
        upstream: UpstreamId,
        /// The rejections within a second that it withstands.
        withstands: u32,
        /// Time until requests need a slot.
        needed_in: Duration,
        /// Who lends them.
        term: LendingTerm,
    },
}

/// The right of one process to lend the slots of an upstream; a later term ends the earlier ones.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{number}/{lender}")]
pub struct LendingTerm {
    /// Rises with each term.
    pub number: u64,
    /// The host of the process.
    pub lender: HostId,
}

/// Position of a report among those of its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportNumber {
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Number within the incarnation.
    pub number: u64,
}

/// A host's use of the slots of one upstream; the latest report replaces the earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The position of the report.
    pub number: ReportNumber,
    /// The rejections within a second that the upstream withstands.
    pub withstands: u32,
    /// Time until requests need a slot.
    pub needed_in: Duration,
    /// The requests that the upstream runs at a time.
    pub concurrency: u32,
    /// Slots that the sender uses or may use.
    pub held: u32,
    /// Further slots that it needs.
    pub wanted: u32,
    /// The latest term that the sender knows.
    pub term: Option<LendingTerm>,
    /// Slots that the sender has received in that term, returned ones included.
    pub received: u64,
}

/// The slots lent to one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotsLent {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The term of the sender.
    pub term: LendingTerm,
    /// The report that is answered.
    pub answered: ReportNumber,
    /// Slots lent to the receiver in the term, returned ones included.
    pub total: u64,
}
