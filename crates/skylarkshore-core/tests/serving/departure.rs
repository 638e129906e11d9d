//! Requests at a process that shuts down and is killed at the end of a grace period.

use std::time::Duration;

use skylarkshore_core::accounts::{Account, AccountLimit, Charge, KeyDigest};
use skylarkshore_core::effect::{RefusalOutcome, RefusalReason};
use skylarkshore_core::event::{Arrival, AttemptOutcome, Rejection, Repeat, StreamPart, Target};
use skylarkshore_core::id::{Digest, StreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::serving::Serving;
use skylarkshore_core::units::{CreditRate, Credits};
use skylarkshore_core::view::Readiness;

use crate::support::serving::*;

const GRACE: Duration = Duration::from_secs(8);
const ADDRESSES_KEPT: Duration = Duration::from_secs(3);
/// Longer than the grace period.
const LONG: Duration = Duration::from_secs(15);
/// What a run takes that ends well within the grace period.
const RUN_MS: u64 = 1000;
const ACCOUNT: &str = "club";
const KEY: KeyDigest = KeyDigest(Digest([9; 32]));

fn process() -> Process {
    let mut p = Process::new("a", 1);
    let limit = Some(AccountLimit { rate: CreditRate(1000), burst: Credits(10) });
    let account = Account { keys: [KEY].into(), limit, ..Account::default() };
    p.document.catalogue.accounts.add(name(ACCOUNT), account).expect("it is the only account");
    p.cfg.timings.shutdown_grace = Some(GRACE);
    p.cfg.timings.entry_kept = ADDRESSES_KEPT;
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Ready)));
    // The first tick finds out who coordinates the limit of the client account.
    p.advance(50);
    p.take();
    p
}

/// Lets a request for each kind of target run for a while, so that it is known how long they take.
fn learn(p: &mut Process) {
    for (id, target) in [(100, model("m")), (101, service("booking"))] {
        p.arrive(id, arrival(p, target, 100));
        let sent = p.take_sent().remove(0);
        p.advance(RUN_MS);
        p.end(sent.attempt, AttemptOutcome::Completed { held: None });
    }
    p.take();
}

/// Creates a request whose caller waits for a time.
fn waiting_for(p: &Process, target: Target, body: u8, time: Duration) -> Arrival {
    Arrival { deadline: p.now.after(time), ..arrival(p, target, body) }
}

fn shut_down(p: &mut Process) {
    p.with(Serving::on_shutdown);
}

/// Checks that a request was refused as not run, and that nothing was sent.
fn assert_refused(p: &mut Process, id: u64, case: &str) {
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1, "{case}");
    let (request, refusal) = &refused[0];
    assert_eq!(request.0, id, "{case}");
    assert_eq!(refusal.reason, RefusalReason::Leaving, "{case}");
    assert_eq!(refusal.outcome, RefusalOutcome::NotRun, "{case}");
    assert_eq!(refusal.retry_after, Some(Duration::ZERO), "{case}");
    assert_eq!(p.take_sent(), [], "{case}");
}

/// Guards against requests that are sent to an upstream although they outlast the process: they are cut off at
/// the end of the grace period, and their callers don't know whether they have run.
#[test]
fn a_request_is_sent_only_if_it_ends_before_the_process_is_killed() {
    for at_ms in [0, 1000, 2950, 2999] {
        for target in [model("m"), service("booking")] {
            for repeat in [Repeat::Allowed, Repeat::AtMostOnce] {
                let case = format!("{at_ms} ms, {target}, {repeat:?}");
                let mut p = process();
                shut_down(&mut p);
                p.advance(at_ms);
                let repeats = || repeat.clone();
                p.arrive(1, Arrival { repeat: repeats(), ..waiting_for(&p, target.clone(), 1, LONG) });
                assert_refused(&mut p, 1, &case);
                // At its deadline a request ends in any case.
                p.arrive(
                    2,
                    Arrival {
                        repeat: repeats(),
                        ..waiting_for(&p, target.clone(), 2, Duration::from_secs(4))
                    },
                );
                assert_eq!(p.take_sent().len(), 1, "{case}");
            }
        }
    }
}

/// Guards against callers that are sent away although their requests end long before the process, and against
/// requests that may run once being sent on an expectation alone.
#[test]
fn what_runs_have_taken_decides_what_may_be_repeated_only() {
    for target in [model("m"), service("booking")] {
        let mut p = process();
        learn(&mut p);
        shut_down(&mut p);
        p.arrive(1, waiting_for(&p, target.clone(), 1, LONG));
        let sent = p.take_sent().remove(0);
        p.arrive(2, Arrival { repeat: Repeat::AtMostOnce, ..waiting_for(&p, target.clone(), 2, LONG) });
        assert_refused(&mut p, 2, &target.to_string());
        p.end(sent.attempt, AttemptOutcome::Completed { held: None });
        assert!(p.serving.is_idle());
    }
}

/// Guards against requests that are taken between the end of the time for which callers keep a host's address
/// and the next tick, or whose bodies have been read only then.
#[test]
fn nothing_is_taken_once_callers_have_forgotten_the_address() {
    let mut p = process();
    learn(&mut p);
    shut_down(&mut p);
    p.advance(2990);
    p.now = p.now.after(Duration::from_millis(11));
    for (id, target) in [(1, model("m")), (2, service("booking"))] {
        p.arrive(id, waiting_for(&p, target, 1, Duration::from_secs(1)));
        assert_refused(&mut p, id, "it is refused without a tick");
    }
    p.with(Serving::on_intake_closed);
    p.advance(1000);
    p.arrive(3, waiting_for(&p, service("booking"), 3, Duration::from_secs(1)));
    assert_refused(&mut p, 3, "the intake has closed");
}

/// Guards against requests that wait for a load, for credit or for what other hosts know, until the process is
/// killed.
#[test]
fn what_waits_is_refused_when_it_could_no_longer_end_in_time() {
    let charge = Charge { account: name(ACCOUNT), key: KEY, cost: Credits(1) };
    let rest = Some(StreamPart::Rest { stream: Some(StreamId(digest(7))) });
    let cases = [
        ("a load", waiting_for(&process(), model("n"), 1, LONG)),
        ("credit", Arrival { charge: Some(charge), ..waiting_for(&process(), service("booking"), 1, LONG) }),
        ("an origin", Arrival { stream: rest, ..waiting_for(&process(), model("m"), 1, LONG) }),
    ];
    for (case, arrival) in cases {
        // Nothing is known of the time that runs take: it is refused at once.
        let mut p = process();
        p.arrive(1, arrival.clone());
        assert_eq!((p.take_sent(), p.take_refused()), (vec![], vec![]), "it waits for {case}");
        shut_down(&mut p);
        assert_refused(&mut p, 1, case);
        // It ends by its deadline, but callers have been redirected: it is refused then.
        let mut p = process();
        p.arrive(1, Arrival { deadline: p.now.after(Duration::from_secs(7)), ..arrival });
        shut_down(&mut p);
        assert_eq!(p.take_refused(), [], "it still waits for {case}");
        p.with(Serving::on_intake_closed);
        assert_refused(&mut p, 1, case);
    }
}

/// Guards against a request that is sent again by a process that ends under the second attempt.
#[test]
fn a_rejected_request_is_sent_again_only_if_it_ends_in_time() {
    let mut p = process();
    p.arrive(1, waiting_for(&p, service("booking"), 1, LONG));
    let sent = p.take_sent().remove(0);
    shut_down(&mut p);
    assert_eq!(p.take_refused(), [], "what is in progress goes on");
    p.end(sent.attempt, AttemptOutcome::Rejected(Rejection::Replaced));
    assert_refused(&mut p, 1, "it isn't sent again");
}

/// Guards against a stream that is cut off at once although its caller has a part of it.
#[test]
fn a_stream_that_has_begun_goes_on_at_another_upstream() {
    let mut p = process();
    p.peer("c", &PeerMessage::View(view("e2", 1, "m", Readiness::Ready)));
    p.arrive(1, waiting_for(&p, model("m"), 1, LONG));
    let sent = p.take_sent().remove(0);
    p.with(|serving, cx| serving.on_answer_started(cx, sent.attempt));
    shut_down(&mut p);
    p.end(sent.attempt, AttemptOutcome::Lost { passed_on: true, died: false });
    let again = p.take_sent();
    assert_eq!(again.len(), 1);
    assert!(again[0].resume);
}

/// Guards against refusals at a host whose platform gives it the time that it needs.
#[test]
fn without_a_grace_period_requests_are_taken_until_callers_have_forgotten_the_address() {
    let mut p = process();
    p.cfg.timings.shutdown_grace = None;
    shut_down(&mut p);
    p.advance(2950);
    p.arrive(1, Arrival { repeat: Repeat::AtMostOnce, ..waiting_for(&p, service("booking"), 1, LONG) });
    assert_eq!(p.take_sent().len(), 1);
}
