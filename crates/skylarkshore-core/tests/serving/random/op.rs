//! What may happen at two processes, as proptest draws it.

use proptest::prelude::*;

pub const HOSTS: [&str; 2] = ["a", "b"];
pub const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
pub const UPSTREAMS: [&str; 5] = ["e1", "e2", "e3", "s1", "s2"];

#[derive(Clone, Debug)]
pub enum Asked {
    Model(usize),
    Call,
    Booking { key: u8 },
}

#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Done,
    NotDone,
    /// It never arrives, and nobody knows.
    Vanished,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// Its sender gives it up, and it arrives later.
    Late,
}

#[derive(Clone, Debug)]
pub enum Op {
    Arrive { at: usize, asked: Asked, body: u8, caller: usize, patience: u64 },
    Started { at: usize, which: usize },
    End { at: usize, which: usize, end: usize },
    Gone { at: usize, which: usize },
    Pass { ms: u64 },
    Store { which: usize, fate: Fate },
    Arrives { which: usize },
    View { at: usize, engine: usize, number: u64, state: usize, running: u32 },
    CannotLoad { at: usize, from: usize, model: usize, ms: u64 },
    Suspects { at: usize, body: u8, alone: bool },
    Noted { at: usize, from: usize },
    Cleared { at: usize, body: u8 },
    Leaving { at: usize, upstream: usize },
    Listed { at: usize, upstream: usize, live: bool },
}

pub fn op() -> impl Strategy<Value = Op> {
    let asked = prop_oneof![
        (0..2_usize).prop_map(Asked::Model),
        Just(Asked::Call),
        (0..3_u8).prop_map(|key| Asked::Booking { key }),
    ];
    let fate = prop_oneof![
        6 => Just(Fate::Done),
        1 => Just(Fate::NotDone),
        1 => Just(Fate::Vanished),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Late),
    ];
    let at = 0..HOSTS.len();
    let which = 0..64_usize;
    prop_oneof![
        8 => (at.clone(), asked, 0..4_u8, 0..2_usize, 50..9000_u64).prop_map(
            |(at, asked, body, caller, patience)| Op::Arrive { at, asked, body, caller, patience }
        ),
        2 => (at.clone(), which.clone()).prop_map(|(at, which)| Op::Started { at, which }),
        8 => (at.clone(), which.clone(), 0..10_usize).prop_map(|(at, which, end)| Op::End { at, which, end }),
        1 => (at.clone(), which.clone()).prop_map(|(at, which)| Op::Gone { at, which }),
        5 => (1..1500_u64).prop_map(|ms| Op::Pass { ms }),
        8 => (which.clone(), fate).prop_map(|(which, fate)| Op::Store { which, fate }),
        1 => which.prop_map(|which| Op::Arrives { which }),
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
