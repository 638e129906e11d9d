//! Wire form of the messages about slots of upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{HostId, Incarnation, UpstreamId};
use skylarkshore_core::peer::{LendingTerm, ReportNumber, SlotMessage, SlotReport, SlotsLent};

use super::millis;

/// The core's [`LendingTerm`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of the core's LendingTerm")]
pub struct LendingTermWire {
    pub number: u64,
    pub lender: HostId,
}

impl From<&LendingTerm> for LendingTermWire {
    fn from(term: &LendingTerm) -> Self {
        Self { number: term.number, lender: term.lender.clone() }
    }
}

impl From<LendingTermWire> for LendingTerm {
    fn from(wire: LendingTermWire) -> Self {
        Self { number: wire.number, lender: wire.lender }
    }
}

/// The core's [`SlotMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of the core's SlotMessage")]
pub enum SlotMessageWire {
    /// What the sender uses and wants of an upstream's slots.
    Report {
        upstream: UpstreamId,
        incarnation: Incarnation,
        number: u64,
        withstands: u32,
        needed_in_ms: u64,
        concurrency: u32,
        held: u32,
        wanted: u32,
        term: Option<LendingTermWire>,
        received: u64,
    },
    /// Answer to `Report`: what the receiver was lent so far.
    Lent { upstream: UpstreamId, term: LendingTermWire, incarnation: Incarnation, number: u64, total: u64 },
    /// The slots of an upstream are lent.
    Named { upstream: UpstreamId, withstands: u32, needed_in_ms: u64, term: LendingTermWire },
}

impl From<&SlotMessage> for SlotMessageWire {
    fn from(message: &SlotMessage) -> Self {
        match message {
            SlotMessage::Report(report) => Self::Report {
                upstream: report.upstream.clone(),
                incarnation: report.number.incarnation,
                number: report.number.number,
                withstands: report.withstands,
                needed_in_ms: millis(report.needed_in),
                concurrency: report.concurrency,
                held: report.held,
                wanted: report.wanted,
                term: report.term.as_ref().map(LendingTermWire::from),
                received: report.received,
            },
            SlotMessage::Lent(lent) => Self::Lent {
                upstream: lent.upstream.clone(),
                term: (&lent.term).into(),
                incarnation: lent.answered.incarnation,
                number: lent.answered.number,
                total: lent.total,
            },
            SlotMessage::Named { upstream, withstands, needed_in, term } => Self::Named {
                upstream: upstream.clone(),
                withstands: *withstands,
                needed_in_ms: millis(*needed_in),
                term: term.into(),
            },
        }
    }
}

impl From<SlotMessageWire> for SlotMessage {
    fn from(wire: SlotMessageWire) -> Self {
        use SlotMessageWire as W;
        match wire {
            W::Report {
                upstream,
                incarnation,
                number,
                withstands,
                needed_in_ms,
                concurrency,
                held,
                wanted,
                term,
                received,
            } => Self::Report(SlotReport {
                upstream,
                number: ReportNumber { incarnation, number },
                withstands,
                needed_in: Duration::from_millis(needed_in_ms),
                concurrency,
                held,
                wanted,
                term: term.map(LendingTerm::from),
                received,
            }),
            W::Lent { upstream, term, incarnation, number, total } => {
                let answered = ReportNumber { incarnation, number };
                Self::Lent(SlotsLent { upstream, term: term.into(), answered, total })
            }
            W::Named { upstream, withstands, needed_in_ms, term } => {
                let needed_in = Duration::from_millis(needed_in_ms);
                Self::Named { upstream, withstands, needed_in, term: term.into() }
            }
        }
    }
}
