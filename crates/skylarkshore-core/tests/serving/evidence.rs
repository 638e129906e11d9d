//! Prompt parts that crash upstreams, and what tells them from the parts and requests that were lost with them.

use skylarkshore_core::config::{Limits, SuspectPolicy};
use skylarkshore_core::effect::RefusalReason;
use skylarkshore_core::event::{Arrival, AttemptOutcome};
use skylarkshore_core::id::{Digest, Incarnation};
use skylarkshore_core::peer::PeerMessage;

use crate::support::serving::*;

const WHOLE: AttemptOutcome = AttemptOutcome::Completed { held: None };
/// The pause after a loss before the first trial, and a little.
const FIRST_PAUSE_MS: u64 = 550;
/// A part that all requests share, and one that crashes upstreams.
const FIRST: u8 = 101;
const FATAL: u8 = 166;

fn process() -> Process {
    let limits = Limits { suspects: SuspectPolicy::CountEnds, ..Limits::default() };
    Process::with_limits("a", 1, limits)
}

fn with_parts(p: &Process, body: u8, parts: &[u8]) -> Arrival {
    let parts = parts.iter().map(|part| digest(*part)).collect();
    Arrival { parts, ..arrival(p, service("booking"), body) }
}

/// Reports from a peer that suspects were lost with an upstream that the host list doesn't name.
fn report(p: &mut Process, upstream: &str, suspects: &[Digest]) {
    let report = PeerMessage::Suspects {
        upstream: name(upstream),
        incarnation: Some(Incarnation(0)),
        requests: suspects.to_vec(),
        alone: false,
    };
    p.peer("b", &report);
}

/// Creates a process that knows of three losses of a part, each with another request.
fn with_a_fatal_part() -> Process {
    let mut p = process();
    for (upstream, request) in [("gone-1", 1), ("gone-2", 2), ("gone-3", 3)] {
        report(&mut p, upstream, &[digest(request), digest(FATAL)]);
    }
    p
}

fn is_cleared(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Cleared { .. })
}

fn send_one(p: &mut Process, id: u64, arrival: Arrival) -> Sent {
    p.arrive(id, arrival);
    p.take_sent().pop().expect("it is sent")
}

/// Guards against a part that crashes upstreams in one request after the other, as no two are alike.
#[test]
fn requests_with_a_part_that_was_lost_three_times_are_refused() {
    let mut p = with_a_fatal_part();
    let arrival = with_parts(&p, 4, &[FIRST, FATAL]);
    p.arrive(1, arrival);
    assert_eq!(p.take_sent(), [], "it may crash another upstream");
    assert_eq!(p.take_refused().remove(0).1.reason, RefusalReason::CrashesUpstreams);
    let sound = with_parts(&p, 5, &[FIRST]);
    send_one(&mut p, 2, sound);
}

/// Guards against several trials at once, each of which may crash an upstream.
#[test]
fn a_part_that_is_held_back_is_tried_by_one_request_at_a_time() {
    let mut p = with_a_fatal_part();
    p.advance(FIRST_PAUSE_MS);
    p.take();
    for id in 1..=3 {
        let arrival = with_parts(&p, 10 + u8::try_from(id).unwrap(), &[FATAL]);
        p.arrive(id, arrival);
    }
    let told = p.take_messages(|m| matches!(m, PeerMessage::Suspects { incarnation: None, .. }));
    assert_eq!(told.len(), 2, "both peers are told of the trial");
    assert_eq!(p.take_sent().len(), 1);
}

/// Guards against a trial here while one runs at a peer.
#[test]
fn a_part_is_not_tried_while_a_peer_tries_it() {
    let mut p = with_a_fatal_part();
    p.advance(FIRST_PAUSE_MS);
    let trial = PeerMessage::Suspects {
        upstream: name("s1"),
        incarnation: None,
        requests: vec![digest(FATAL)],
        alone: false,
    };
    p.peer("b", &trial);
    let arrival = with_parts(&p, 4, &[FATAL]);
    p.arrive(1, arrival);
    assert_eq!(p.take_sent(), []);
}

/// Guards against sound parts that stay refused because they were lost with a fatal one.
#[test]
fn a_part_whose_trial_is_answered_is_cleared_here_and_at_the_peers() {
    let mut p = with_a_fatal_part();
    p.advance(FIRST_PAUSE_MS);
    let trial = with_parts(&p, 4, &[FATAL]);
    let trial = send_one(&mut p, 1, trial);
    p.end(trial.attempt, WHOLE);
    let cleared = p.take_messages(is_cleared);
    assert!(cleared.contains(&(name("b"), PeerMessage::Cleared { request: digest(FATAL) })), "{cleared:?}");
    for id in 2..=3 {
        let arrival = with_parts(&p, 10 + u8::try_from(id).unwrap(), &[FATAL]);
        send_one(&mut p, id, arrival);
    }
}

/// Guards against parts that are refused here although requests with them are answered elsewhere.
#[test]
fn a_part_that_a_peer_has_cleared_is_served_and_late_reports_do_not_count_again() {
    let mut p = with_a_fatal_part();
    p.peer("b", &PeerMessage::Cleared { request: digest(FATAL) });
    report(&mut p, "gone-1", &[digest(1), digest(FATAL)]);
    let arrival = with_parts(&p, 4, &[FATAL]);
    send_one(&mut p, 1, arrival);
}

/// Guards against a part that all callers share being refused after a few crashes in a row.
#[test]
fn a_part_that_was_answered_before_is_held_back_after_more_losses() {
    let mut p = process();
    let answered = with_parts(&p, 1, &[FIRST]);
    let answered = send_one(&mut p, 1, answered);
    p.end(answered.attempt, WHOLE);
    for (number, upstream) in ["gone-1", "gone-2", "gone-3", "gone-4", "gone-5"].into_iter().enumerate() {
        let next = with_parts(&p, 10 + u8::try_from(number).unwrap(), &[FIRST]);
        let sent = send_one(&mut p, 10 + u64::try_from(number).unwrap(), next);
        p.end(sent.attempt, AttemptOutcome::ForwardedFailure);
        report(&mut p, upstream, &[digest(FIRST)]);
        p.advance(400);
    }
    let last = with_parts(&p, 20, &[FIRST]);
    p.arrive(20, last);
    assert_eq!(p.take_sent(), [], "five losses apart from each other hold it back");
}

/// Guards against an answer that ended with its connection clearing a part that has crashed its upstream.
#[test]
fn an_unframed_answer_clears_a_part_only_once_its_upstream_has_lived_on() {
    let mut p = with_a_fatal_part();
    p.advance(FIRST_PAUSE_MS);
    let trial = with_parts(&p, 4, &[FATAL]);
    let trial = send_one(&mut p, 1, trial);
    p.end(trial.attempt, AttemptOutcome::CompletedUnframed);
    assert_eq!(p.take_messages(is_cleared), []);
    p.advance(50);
    // Both upstreams answer, one of which is that of the trial.
    for id in 2..=3 {
        let next = with_parts(&p, 10 + u8::try_from(id).unwrap(), &[]);
        p.arrive(id, next);
    }
    for sent in p.take_sent() {
        p.end(sent.attempt, WHOLE);
    }
    assert!(!p.take_messages(is_cleared).is_empty(), "the upstream has lived on");
}

/// Guards against a fatal part that is cleared because its request failed at an upstream.
#[test]
fn a_failure_clears_nothing() {
    let mut p = with_a_fatal_part();
    p.advance(FIRST_PAUSE_MS);
    let trial = with_parts(&p, 4, &[FATAL]);
    let trial = send_one(&mut p, 1, trial);
    p.end(trial.attempt, AttemptOutcome::ForwardedFailure);
    assert_eq!(p.take_messages(is_cleared), []);
    let next = with_parts(&p, 5, &[FATAL]);
    p.arrive(2, next);
    assert_eq!(p.take_sent(), []);
}

/// Guards against a fatal part that a hostile caller has forgotten by sending many others.
#[test]
fn many_new_parts_do_not_evict_one_that_is_held_back() {
    const MANY: u32 = 20_000;

    let mut p = with_a_fatal_part();
    let parts: Vec<Digest> = (0..MANY)
        .map(|number| {
            let mut bytes = [7; 32];
            bytes[..4].copy_from_slice(&number.to_le_bytes());
            Digest(bytes)
        })
        .collect();
    for (number, some) in parts.chunks(2000).enumerate() {
        report(&mut p, &format!("gone-{}", 10 + number), some);
    }
    let arrival = with_parts(&p, 4, &[FATAL]);
    p.arrive(1, arrival);
    assert_eq!(p.take_sent(), []);
}
