//! Requests that may run at most once.

use skylarkshore_core::effect::{Effect, RefusalOutcome, RefusalReason};
use skylarkshore_core::event::AttemptOutcome;
use skylarkshore_core::id::{CallId, Incarnation};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::store::{Key, OnceRecord, OnceState, Record, RecordedAnswer, StoreCall, StoreFailure};

use crate::support::serving::*;

fn confirmed() -> RecordedAnswer {
    RecordedAnswer { status: 200, content_type: None, body: b"confirmed".to_vec() }
}

fn answers(p: &mut Process) -> Vec<RecordedAnswer> {
    let answer = |e| match e {
        Effect::Answer { answer, .. } => Some(answer),
        _ => None,
    };
    p.take().into_iter().filter_map(answer).collect()
}

fn record(store: &Store, key: u8) -> Option<OnceRecord> {
    match store.get(&Key::Once(digest(key)))? {
        Record::Once(record) => Some(record.clone()),
        _ => None,
    }
}

/// Makes a process with a lease at hand, so that a claim is its next call.
fn ready(host: &str, store: &mut Store) -> Process {
    let mut p = Process::new(host, 1);
    p.pass(50);
    p.serve_store(store);
    p
}

fn claim_of(p: &mut Process) -> (CallId, StoreCall) {
    let mut calls = p.take_calls();
    assert_eq!(calls.len(), 1, "{calls:?}");
    calls.remove(0)
}

#[test]
fn a_booking_is_claimed_before_it_is_sent_and_its_answer_is_kept_for_every_host() {
    let mut store = Store::default();
    let mut a = ready("a", &mut store);
    a.arrive(1, booking(&a, 7, 1));
    assert_eq!(a.take_sent(), [], "nothing is sent before the claim stands");
    a.serve_store(&mut store);
    let sent = a.take_sent().remove(0);
    a.end(sent.attempt, AttemptOutcome::Completed { held: Some(confirmed()) });
    assert_eq!(a.take_refused(), []);
    a.serve_store(&mut store);
    assert_eq!(answers(&mut a), [confirmed()]);

    let mut b = ready("b", &mut store);
    b.arrive(1, booking(&b, 7, 1));
    b.serve_store(&mut store);
    assert_eq!(b.take_sent(), []);
    assert_eq!(answers(&mut b), [confirmed()]);

    b.arrive(2, booking(&b, 7, 2));
    b.serve_store(&mut store);
    let refused = b.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::NotRun, RefusalReason::KeyConflict));
}

/// The connection to the replica breaks while it confirms a booking. Whether it
/// was booked can't be known, and a second try could book it twice. The caller
/// reads `unknown`, at every host, and asks the marketplace by other means.
#[test]
fn a_lost_booking_is_unknown_everywhere_and_never_sent_again() {
    let mut store = Store::default();
    let mut a = ready("a", &mut store);
    a.arrive(1, booking(&a, 7, 1));
    a.serve_store(&mut store);
    let sent = a.take_sent().remove(0);
    a.end(sent.attempt, AttemptOutcome::Lost { passed_on: false, died: false });
    let refused = a.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::Unknown, RefusalReason::UpstreamLost));

    a.arrive(2, booking(&a, 7, 1));
    a.serve_store(&mut store);
    assert_eq!(a.take_sent(), []);
    assert_eq!(a.take_refused().remove(0).1.reason, RefusalReason::KeyInDoubt);

    let mut b = ready("b", &mut store);
    b.cache_member("a", Incarnation(2));
    b.arrive(1, booking(&b, 7, 1));
    b.serve_store(&mut store);
    assert_eq!(b.take_sent(), []);
    let refused = b.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::Unknown, RefusalReason::KeyInDoubt));
}

/// The key-value service is away. A booking can't be claimed, so it isn't sent,
/// and the caller is told so within the second rather than at its deadline.
#[test]
fn a_booking_is_refused_soon_when_the_key_value_service_is_away() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.arrive(1, booking(&p, 7, 1));
    for _ in 0..30 {
        for (call, _) in p.take_calls() {
            p.store(call, &Err(StoreFailure::NotDone));
        }
        p.pass(50);
    }
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::NotRun, RefusalReason::StoreUnreachable));
    assert_eq!(p.take_sent(), []);
    assert!(p.serving.is_idle());
}

/// The claim takes effect, but its answer is lost and the service stays away.
/// The caller reads `not_run`, which is true. When the service is back, the
/// claim that nobody uses is deleted, so that the same key works again.
#[test]
fn a_claim_that_turns_up_after_the_refusal_is_given_up_again() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.arrive(1, booking(&p, 7, 1));
    let (call, request) = claim_of(&mut p);
    store.carry_out(&request);
    p.store(call, &Err(StoreFailure::Unknown));
    p.pass(1200);
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::NotRun, RefusalReason::StoreUnreachable));
    assert!(record(&store, 7).is_some());

    p.take_calls();
    p.pass(2000);
    p.serve_store(&mut store);
    assert_eq!(record(&store, 7), None);
    p.arrive(2, booking(&p, 7, 1));
    p.serve_store(&mut store);
    assert_eq!(p.take_sent().len(), 1);
}

/// The deadline passes while the claim's answer is on its way. The caller has
/// read `not_run`; the answer that comes then must not send the booking.
#[test]
fn a_claim_answered_after_the_deadline_sends_nothing_and_is_released() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    let mut request = booking(&p, 7, 1);
    request.deadline = p.now.after(std::time::Duration::from_millis(100));
    p.arrive(1, request);
    let (call, request) = claim_of(&mut p);
    p.pass(200);
    assert_eq!(p.take_refused().remove(0).1.outcome, RefusalOutcome::NotRun);
    let answer = store.carry_out(&request);
    p.store(call, &Ok(answer));
    p.serve_store(&mut store);
    assert_eq!(p.take_sent(), []);
    assert_eq!(record(&store, 7), None);
}

/// Every replica refuses the connection. Nothing ran, so the claim is deleted
/// before the caller reads `not_run`; otherwise its next try, at another host,
/// would find the key in use.
#[test]
fn a_claim_is_released_before_not_run_is_said() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.arrive(1, booking(&p, 7, 1));
    p.serve_store(&mut store);
    for _ in 0..3 {
        p.pass(1000);
        let sent = p.take_sent().remove(0);
        p.end(sent.attempt, AttemptOutcome::NotSent);
    }
    assert_eq!(p.take_refused(), []);
    p.serve_store(&mut store);
    assert_eq!(record(&store, 7), None);
    assert_eq!(p.take_refused().remove(0).1.outcome, RefusalOutcome::NotRun);
}

#[test]
fn a_caller_that_goes_away_finds_its_answer_under_the_same_key() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.arrive(1, booking(&p, 7, 1));
    p.serve_store(&mut store);
    let sent = p.take_sent().remove(0);
    p.with(|serving, cx| serving.on_caller_gone(cx, sent.request));
    p.arrive(2, booking(&p, 7, 1));
    assert_eq!(p.take_refused().remove(0).1.reason, RefusalReason::KeyInProgress);
    p.end(sent.attempt, AttemptOutcome::Completed { held: Some(confirmed()) });
    p.serve_store(&mut store);
    assert_eq!(record(&store, 7).map(|r| r.state), Some(OnceState::Answered(confirmed())));
    p.arrive(3, booking(&p, 7, 1));
    p.serve_store(&mut store);
    assert_eq!(answers(&mut p), [confirmed()]);
}

/// All replicas are busy, so a repeated booking would have to wait. Its key
/// was answered before; it gets that answer at once, and isn't refused as not
/// run when its deadline passes in the queue.
#[test]
fn a_repeated_booking_gets_its_answer_although_all_replicas_are_busy() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.arrive(1, booking(&p, 7, 1));
    p.serve_store(&mut store);
    let sent = p.take_sent().remove(0);
    p.end(sent.attempt, AttemptOutcome::Completed { held: Some(confirmed()) });
    p.serve_store(&mut store);
    p.take();
    for id in 10..14 {
        p.arrive(id, arrival(&p, service("booking"), 9));
    }
    assert_eq!(p.take_sent().len(), 4);
    p.arrive(2, booking(&p, 7, 1));
    p.serve_store(&mut store);
    assert_eq!(answers(&mut p), [confirmed()]);
}

/// A booking is lost while it runs. A second try of it is given up by its
/// deadline before the claim is answered, and the claim of the first one then
/// looks like a leftover of the second. Were it deleted, a third try would book twice.
#[test]
fn the_claim_of_a_lost_booking_outlives_a_later_try_that_is_given_up() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.arrive(1, booking(&p, 7, 1));
    p.serve_store(&mut store);
    let sent = p.take_sent().remove(0);
    p.end(sent.attempt, AttemptOutcome::Lost { passed_on: false, died: false });

    let mut second = booking(&p, 7, 1);
    second.deadline = p.now.after(std::time::Duration::from_millis(50));
    p.arrive(2, second);
    p.pass(1500);
    for _ in 0..10 {
        p.pass(500);
        p.serve_store(&mut store);
    }
    assert_eq!(record(&store, 7).map(|r| r.state), Some(OnceState::Claimed));
    p.arrive(3, booking(&p, 7, 1));
    p.serve_store(&mut store);
    assert_eq!(p.take_sent(), []);
}

/// A suspect booking waits for its claim, and the replica kept free for it
/// says meanwhile that it is about to go. It gets no new work any more.
#[test]
fn a_claim_that_is_answered_late_is_not_sent_to_a_replica_that_has_begun_to_leave() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    let requests = vec![digest(1)];
    p.peer("b", &PeerMessage::Suspects { upstream: name("s9"), incarnation: None, requests, alone: false });
    p.arrive(1, booking(&p, 7, 1));
    for upstream in ["s1", "s2"] {
        p.peer("b", &PeerMessage::UpstreamLeaving { upstream: name(upstream) });
    }
    p.serve_store(&mut store);
    assert_eq!(p.take_sent(), []);
}

/// The key-value service hangs after the booking has been made. The caller gets
/// its confirmation all the same; the record follows when the service is back.
#[test]
fn a_hanging_service_holds_a_confirmation_up_for_a_moment_only() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.arrive(1, booking(&p, 7, 1));
    p.serve_store(&mut store);
    let sent = p.take_sent().remove(0);
    p.end(sent.attempt, AttemptOutcome::Completed { held: Some(confirmed()) });
    let (call, request) = claim_of(&mut p);
    p.pass(350);
    assert_eq!(answers(&mut p), [confirmed()]);
    assert!(!p.serving.is_idle(), "the process stays until the answer is recorded");
    let answer = store.carry_out(&request);
    p.store(call, &Ok(answer));
    assert_eq!(record(&store, 7).map(|r| r.state), Some(OnceState::Answered(confirmed())));
    assert!(p.serving.is_idle());
}

#[test]
fn an_answer_too_large_to_keep_is_given_once_and_then_known_to_have_been_given() {
    let mut store = Store::default();
    let mut p = ready("a", &mut store);
    p.cfg.limits.recorded_answer = 4;
    p.arrive(1, booking(&p, 7, 1));
    p.serve_store(&mut store);
    let sent = p.take_sent().remove(0);
    p.end(sent.attempt, AttemptOutcome::Completed { held: Some(confirmed()) });
    p.serve_store(&mut store);
    assert_eq!(answers(&mut p), [confirmed()]);
    p.arrive(2, booking(&p, 7, 1));
    p.serve_store(&mut store);
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::Unknown, RefusalReason::AnswerNotKept));
}
