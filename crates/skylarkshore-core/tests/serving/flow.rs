//! How requests reach upstreams, and how they end.

use std::time::Duration;

use skylarkshore_core::catalogue::ModelTarget;
use skylarkshore_core::effect::{Effect, RefusalOutcome, RefusalReason};
use skylarkshore_core::event::{AttemptOutcome, Target};
use skylarkshore_core::id::Incarnation;
use skylarkshore_core::id::RequestId;
use skylarkshore_core::peer::{CannotLoad, PeerMessage};
use skylarkshore_core::serving::Serving;
use skylarkshore_core::view::Readiness;

use crate::support::serving::*;

fn wanted(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Wanted { waiting, .. } if *waiting > 0)
}

#[test]
fn a_burst_for_a_cold_model_asks_the_first_home_once_and_is_sent_when_it_is_ready() {
    let mut p = Process::new("a", 1);
    for id in 1..=3 {
        p.arrive(id.into(), arrival(&p, model("m"), id));
    }
    let asked = p.take_told(wanted);
    assert_eq!(asked.iter().map(|(to, _)| to.to_string()).collect::<Vec<_>>(), ["b"]);
    assert_eq!(p.take_sent(), []);

    p.peer(
        "b",
        &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining: Duration::from_secs(2) })),
    );
    p.pass(2000);
    assert_eq!(
        p.take_told(wanted).len(),
        4,
        "the owner is reminded twice a second, of all requests together"
    );

    p.peer("b", &PeerMessage::View(view("e1", 2, "m", Readiness::Ready)));
    let sent = p.take_sent();
    assert_eq!(sent.len(), 2, "the engine takes two at a time");
    p.end(sent[0].attempt, AttemptOutcome::Completed { held: None });
    let third = p.take_sent();
    assert_eq!(third.len(), 1);
    for attempt in [sent[1].attempt, third[0].attempt] {
        p.end(attempt, AttemptOutcome::Completed { held: None });
    }
    assert!(p.serving.is_idle());
    assert_eq!(p.take_refused(), []);
}

#[test]
fn a_request_that_the_load_comes_too_late_for_is_refused_at_once() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, model("m"), 1));
    let remaining = Duration::from_mins(1);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining })));
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.outcome, RefusalOutcome::NotRun);
    assert_eq!(refused[0].1.reason, RefusalReason::ColdStartTooLong);
    assert_eq!(refused[0].1.retry_after, Some(remaining));
}

#[test]
fn further_homes_are_asked_only_when_the_first_cannot_help() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_told(wanted).len(), 1);
    let model = skylarkshore_core::catalogue::ModelTarget { model: name("m"), adapter: None };
    let cannot = PeerMessage::CannotLoad {
        target: model,
        reason: CannotLoad::Memory,
        retry_after: Duration::from_secs(20),
    };
    p.peer("b", &cannot);
    let asked = p.take_told(wanted);
    assert!(asked.iter().any(|(to, _)| to.as_str() == "c"), "{asked:?}");
    assert_eq!(p.take_refused(), []);

    p.peer("c", &cannot);
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.reason, RefusalReason::Short("memory"));
    assert_eq!(refused[0].1.outcome, RefusalOutcome::NotRun);
}

#[test]
fn an_upstream_that_refuses_connections_is_passed_over_and_nothing_is_sent_twice_as_often() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, service("booking"), 1));
    let first = p.take_sent().remove(0);
    p.end(first.attempt, AttemptOutcome::NotSent);
    let second = p.take_sent().remove(0);
    assert_ne!(first.upstream, second.upstream);
    p.end(second.attempt, AttemptOutcome::Completed { held: None });
    p.end(second.attempt, AttemptOutcome::Completed { held: None });
    p.end(first.attempt, AttemptOutcome::Lost { passed_on: false, died: true });
    let finals = p.take().into_iter().filter(|e| matches!(e, Effect::Refuse { .. } | Effect::Abort { .. }));
    assert_eq!(finals.count(), 0, "late ends change nothing");
    assert!(p.serving.is_idle());
}

/// A host was told to end, and a request that came in its last moments waits for
/// a model's load. The platform ends the process before the load is done; the
/// caller sees its connection break and can't tell whether the request has run.
#[test]
fn what_still_waits_at_a_host_that_leaves_is_refused_as_not_run() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_refused(), [], "the owners were asked to load it");
    p.with(Serving::on_intake_closed);
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    let (request, refusal) = &refused[0];
    assert_eq!(*request, RequestId(1));
    assert_eq!(refusal.reason, RefusalReason::Leaving);
    assert_eq!(refusal.outcome, RefusalOutcome::NotRun);
    assert_eq!(refusal.retry_after, Some(Duration::ZERO));

    // One whose body was still being read comes a moment later.
    p.arrive(2, arrival(&p, model("m"), 2));
    p.pass(100);
    assert_eq!(p.take_refused().len(), 1);
    assert!(p.serving.is_idle());
}

/// A model is ready in six seconds; the caller's deadline is ten seconds away,
/// but it goes away when nothing has come after two. Kept, it would wait in vain
/// and lose the time in which it could have come back or asked elsewhere.
#[test]
fn a_caller_that_goes_away_before_the_model_is_ready_is_refused_at_once() {
    let mut p = Process::new("a", 1);
    let remaining = Duration::from_secs(6);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining })));
    let mut impatient = arrival(&p, model("m"), 1);
    impatient.policy.first_byte_deadline = p.now.after(Duration::from_secs(2));
    p.arrive(1, impatient);
    p.arrive(2, arrival(&p, model("m"), 2));
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].0, RequestId(1));
    assert_eq!(refused[0].1.outcome, RefusalOutcome::NotRun);
    assert!(refused[0].1.retry_after >= Some(remaining), "{:?}", refused[0].1.retry_after);
}

/// Nobody says anything of a model. A caller that goes away after two seconds
/// still gets its final answer before it does.
#[test]
fn a_wait_ends_before_the_caller_goes_away() {
    let mut p = Process::new("a", 1);
    let mut impatient = arrival(&p, model("m"), 1);
    impatient.policy.first_byte_deadline = p.now.after(Duration::from_secs(2));
    p.arrive(1, impatient);
    p.pass(1900);
    assert_eq!(p.take_refused(), []);
    p.pass(100);
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.reason, RefusalReason::DeadlinePassed);
    assert!(p.serving.is_idle());
}

/// A model that many ask for is ready in six seconds, and all are refused on
/// arrival and told when to come back. If nobody counted as waiting, its load
/// would be dropped; those who come back would find it as far away as before.
#[test]
fn callers_who_were_told_to_come_back_still_count_as_waiting() {
    let mut p = Process::new("a", 1);
    let remaining = Duration::from_secs(6);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining })));
    for id in 1..=5 {
        let mut impatient = arrival(&p, model("m"), id);
        impatient.policy.first_byte_deadline = p.now.after(Duration::from_secs(2));
        p.arrive(id.into(), impatient);
    }
    assert_eq!(p.take_refused().len(), 5);
    p.take();
    p.pass(1000);
    let asked = p.take_told(wanted);
    let counts: Vec<u32> = asked
        .iter()
        .filter_map(|(_, message)| match message {
            PeerMessage::Wanted { waiting, .. } => Some(*waiting),
            _ => None,
        })
        .collect();
    assert!(!counts.is_empty() && counts.iter().all(|count| *count == 5), "{counts:?}");
    p.pass(8000);
    p.take();
    p.pass(1000);
    assert_eq!(p.take_told(wanted), [], "nobody is expected any more");
}

/// A rarely used model has a single caller, whose patience its load outlasts, and
/// there are thirty hosts. Each host sees so few of such callers that none would
/// ever count as waiting; the model would never be loaded, and each caller be
/// refused again.
#[test]
fn where_hosts_are_many_a_single_caller_told_to_come_back_counts() {
    let mut p = Process::new("a", 1);
    for number in 0..30 {
        p.cache_member(&format!("far-{number}"), Incarnation(1));
    }
    let remaining = Duration::from_secs(6);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining })));
    let mut impatient = arrival(&p, model("m"), 1);
    impatient.policy.first_byte_deadline = p.now.after(Duration::from_secs(2));
    p.arrive(1, impatient);
    assert_eq!(p.take_refused().len(), 1);
    p.take();
    p.pass(1000);
    assert!(!p.take_told(wanted).is_empty(), "the load is for nobody");
}

/// Both owners of a model's homes say that it takes them seconds, and the first
/// one takes it on. Then the caller's aim passes. If the second one were asked
/// again now, with nothing left by which it could say no, both would load the
/// model from the weight store, and two engines could load nothing else meanwhile.
#[test]
fn one_owner_takes_a_model_on_also_once_the_callers_aim_has_passed() {
    let mut p = Process::new("a", 1);
    let mut request = arrival(&p, model("m"), 1);
    request.policy.soft_deadline = p.now.after(Duration::from_secs(1));
    p.arrive(1, request);
    let busy = |seconds| PeerMessage::CannotLoad {
        target: ModelTarget { model: name("m"), adapter: None },
        reason: CannotLoad::Busy,
        retry_after: Duration::from_secs(seconds),
    };
    p.peer("b", &busy(4));
    p.peer("c", &busy(6));
    let remaining = Duration::from_secs(4);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining })));
    p.take();
    p.pass(3000);
    let told = p.take_told(wanted);
    assert!(told.iter().any(|(owner, _)| *owner == name("b")), "{told:?}");
    let second = told.iter().filter(|(owner, _)| *owner == name("c"));
    let without_aim = second
        .filter(|(_, message)| matches!(message, PeerMessage::Wanted { soft_deadline: None, .. }))
        .count();
    assert_eq!(without_aim, 0, "{told:?}");
}

/// The second home's owner loads a model, and callers come to other hosts that
/// hear of it. Each of these hosts asked the first home's owner, so that the one
/// that loads knew of nobody, and gave the model's place away as soon as it was
/// there. Its callers had waited for ten seconds and were refused.
#[test]
fn the_owner_that_loads_is_told_who_waits() {
    let mut p = Process::new("a", 1);
    let remaining = Duration::from_secs(4);
    p.peer("c", &PeerMessage::View(view("e2", 1, "m", Readiness::Loading { remaining })));
    p.take();
    p.arrive(1, arrival(&p, model("m"), 1));
    p.pass(1000);
    let told = p.take_told(wanted);
    let is_counted = |message: &PeerMessage| matches!(message, PeerMessage::Wanted { waiting: 1, .. });
    let counted = told.iter().any(|(owner, message)| *owner == name("c") && is_counted(message));
    assert!(counted, "{told:?}");
}

/// A model in constant use is ready on one engine and is to be loaded on another
/// one too, from the weight store, in eighteen seconds. Callers ask for one of its
/// adapters, which the first engine would load in a hundredth of a second. They
/// were refused on arrival, with eighteen seconds to come back: what counted was
/// the load of the base elsewhere. Adapters that were asked for all day were never
/// served, while hundreds of other requests for the same base were.
/// The proof: each of these refusals came in the millisecond of arrival and named
/// the time of such a load; the owner of the ready base was not asked once.
#[test]
fn an_adapter_is_asked_for_where_its_base_is_ready() {
    let mut p = Process::new("a", 1);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Ready)));
    let remaining = Duration::from_secs(18);
    p.peer("c", &PeerMessage::View(view("e2", 1, "m", Readiness::Loading { remaining })));
    p.take();
    let adapted = Target::Model(ModelTarget { model: name("m"), adapter: Some(name("bern")) });
    let mut impatient = arrival(&p, adapted, 1);
    impatient.policy.first_byte_deadline = p.now.after(Duration::from_secs(2));
    p.arrive(1, impatient);
    assert_eq!(p.take_refused(), []);
    p.pass(1000);
    let told = p.take_told(wanted);
    assert!(told.iter().any(|(owner, _)| *owner == name("b")), "{told:?}");
}
