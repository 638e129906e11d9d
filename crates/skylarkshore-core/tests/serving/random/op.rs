//! The events that proptest generates for two processes.

use proptest::prelude::*;

pub const HOSTS: [&str; 2] = ["a", "b"];
pub const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
pub const UPSTREAMS: [&str; 5] = ["e1", "e2", "e3", "s1", "s2"];

#[derive(Clone, Debug)]
pub enum RequestKind {
    Model(usize),
    Call,
    Booking { key: u8 },
}

#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    Done,
    NotDone,
    /// Never arrives, and its outcome is unknown.
    Vanished,
    /// Takes effect, but the answer is lost.
    AnswerLost,
    /// Arrives after its sender has given up on it.
    Late,
}

#[derive(Clone, Debug)]
pub enum Op {
    Arrive { at: usize, kind: RequestKind, body: u8, caller: usize, timeout: u64 },
    Started { at: usize, which: usize },
    End { at: usize, which: usize, end: usize },
    Disconnect { at: usize, which: usize },
    Advance { ms: u64 },
    Store { which: usize, outcome: CallOutcome },
    DeliverLate { which: usize },
    View { at: usize, engine: usize, number: u64, state: usize, running: u32 },
    CannotLoad { at: usize, from: usize, model: usize, ms: u64 },
    Suspects { at: usize, body: u8, alone: bool },
    Noted { at: usize, from: usize },
    Cleared { at: usize, body: u8 },
    Leaving { at: usize, upstream: usize },
    Listed { at: usize, upstream: usize, live: bool },
}

pub fn op() -> impl Strategy<Value = Op> {
    let kind = prop_oneof![
        (0..2_usize).prop_map(RequestKind::Model),
        Just(RequestKind::Call),
        (0..3_u8).prop_map(|key| RequestKind::Booking { key }),
    ];
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Done),
        1 => Just(CallOutcome::NotDone),
        1 => Just(CallOutcome::Vanished),
        1 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::Late),
    ];
    let at = 0..HOSTS.len();
    let which = 0..64_usize;
    prop_oneof![
        8 => (at.clone(), kind, 0..4_u8, 0..2_usize, 50..9000_u64).prop_map(
            |(at, kind, body, caller, timeout)| Op::Arrive { at, kind, body, caller, timeout }
        ),
        2 => (at.clone(), which.clone()).prop_map(|(at, which)| Op::Started { at, which }),
        8 => (at.clone(), which.clone(), 0..10_usize).prop_map(|(at, which, end)| Op::End { at, which, end }),
        1 => (at.clone(), which.clone()).prop_map(|(at, which)| Op::Disconnect { at, which }),
        5 => (1..1500_u64).prop_map(|ms| Op::Advance { ms }),
        8 => (which.clone(), outcome).prop_map(|(which, outcome)| Op::Store { which, outcome }),
        1 => which.prop_map(|which| Op::DeliverLate { which }),
        6 => (at.clone(), 0..ENGINES.len(), 1..40_u64, 0..5_usize, 0..3_u32).prop_map(
            |(at, engine, number, state, running)| Op::View { at, engine, number, state, running }
        ),
        1 => (at.clone(), 0..3_usize, 0..2_usize, 1..8000_u64)
            .prop_map(|(at, from, model, ms)| Op::CannotLoad { at, from, model, ms }),
        1 => (at.clone(), 0..4_u8, prop::bool::weighted(0.1))
            .prop_map(|(at, body, alone)| Op::Suspects { at, body, alone }),
        2 => (at.clone(), 0..3_usize).prop_map(|(at, from)| Op::Noted { at, from }),
        1 => (at.clone(), 0..4_u8).prop_map(|(at, body)| Op::Cleared { at, body }),
        1 => (at.clone(), 0..UPSTREAMS.len()).prop_map(|(at, upstream)| Op::Leaving { at, upstream }),
        1 => (at, 0..UPSTREAMS.len(), prop::bool::weighted(0.7))
            .prop_map(|(at, upstream, live)| Op::Listed { at, upstream, live }),
    ]
}
