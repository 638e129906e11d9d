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

fn has_waiting(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Wanted { waiting, .. } if *waiting > 0)
}

#[test]
fn a_burst_for_a_cold_model_asks_the_first_home_once_and_is_sent_when_the_model_is_ready() {
    let mut p = Process::new("a", 1);
    for id in 1..=3 {
        p.arrive(id.into(), arrival(&p, model("m"), id));
    }
    let asked = p.take_messages(has_waiting);
    assert_eq!(asked.iter().map(|(to, _)| to.to_string()).collect::<Vec<_>>(), ["b"]);
    assert_eq!(p.take_sent(), []);

    p.peer(
        "b",
        &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining: Duration::from_secs(2) })),
    );
    p.advance(2000);
    assert_eq!(
        p.take_messages(has_waiting).len(),
        4,
        "the owner is sent the demand of all requests together, twice a second"
    );

    p.peer("b", &PeerMessage::View(view("e1", 2, "m", Readiness::Ready)));
    let sent = p.take_sent();
    assert_eq!(sent.len(), 2, "the engine runs two requests at a time");
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
fn a_request_whose_deadline_is_before_the_end_of_the_load_is_refused_immediately() {
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
fn further_homes_are_asked_only_after_the_first_refuses() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_messages(has_waiting).len(), 1);
    let model = skylarkshore_core::catalogue::ModelTarget { model: name("m"), adapter: None };
    let cannot = PeerMessage::CannotLoad {
        target: model,
        reason: CannotLoad::Memory,
        retry_after: Duration::from_secs(20),
    };
    p.peer("b", &cannot);
    let asked = p.take_messages(has_waiting);
    assert!(asked.iter().any(|(to, _)| to.as_str() == "c"), "{asked:?}");
    assert_eq!(p.take_refused(), []);

    p.peer("c", &cannot);
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.reason, RefusalReason::Short("memory"));
    assert_eq!(refused[0].1.outcome, RefusalOutcome::NotRun);
}

#[test]
fn an_upstream_that_refuses_connections_is_skipped_and_late_attempt_ends_are_ignored() {
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
    assert_eq!(finals.count(), 0, "late attempt ends are ignored");
    assert!(p.serving.is_idle());
}

/// A host is shutting down, and a late request waits for a model to load. If the process ended
/// before the load does, the caller would see a broken connection and could not tell whether
/// the request had run.
#[test]
fn requests_that_wait_at_a_leaving_host_are_refused_as_not_run() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_refused(), [], "it waits while the owners are asked to load the model");
    p.with(Serving::on_intake_closed);
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    let (request, refusal) = &refused[0];
    assert_eq!(*request, RequestId(1));
    assert_eq!(refusal.reason, RefusalReason::Leaving);
    assert_eq!(refusal.outcome, RefusalOutcome::NotRun);
    assert_eq!(refusal.retry_after, Some(Duration::ZERO));

    // A request whose body was still being read arrives slightly later.
    p.arrive(2, arrival(&p, model("m"), 2));
    p.advance(100);
    assert_eq!(p.take_refused().len(), 1);
    assert!(p.serving.is_idle());
}

/// A model is ready in six seconds. The caller's deadline is ten seconds away, but it
/// disconnects if the answer has not begun after two. If it were queued, it would wait in vain
/// and lose the time in which it could have retried or asked another host.
#[test]
fn a_caller_that_disconnects_before_the_model_is_ready_is_refused_immediately() {
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

/// No owner responds for a model. A caller that disconnects after two seconds must get its
/// final answer before it does.
#[test]
fn a_wait_ends_before_the_caller_disconnects() {
    let mut p = Process::new("a", 1);
    let mut impatient = arrival(&p, model("m"), 1);
    impatient.policy.first_byte_deadline = p.now.after(Duration::from_secs(2));
    p.arrive(1, impatient);
    p.advance(1900);
    assert_eq!(p.take_refused(), []);
    p.advance(100);
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.reason, RefusalReason::DeadlinePassed);
    assert!(p.serving.is_idle());
}

/// A model in demand is ready in six seconds, and all its callers are refused on arrival and
/// told when to retry. If none counted as waiting, the load would be dropped, and the retries
/// would find the model as far from ready as before.
#[test]
fn callers_that_were_told_to_retry_still_count_as_waiting() {
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
    p.advance(1000);
    let asked = p.take_messages(has_waiting);
    let counts: Vec<u32> = asked
        .iter()
        .filter_map(|(_, message)| match message {
            PeerMessage::Wanted { waiting, .. } => Some(*waiting),
            _ => None,
        })
        .collect();
    assert!(!counts.is_empty() && counts.iter().all(|count| *count == 5), "{counts:?}");
    p.advance(8000);
    p.take();
    p.advance(1000);
    assert_eq!(p.take_messages(has_waiting), [], "no retries are expected any more");
}

/// A rarely used model has a single caller, which disconnects before the load ends, and there
/// are thirty hosts. Each host sees too few such callers to count them as waiting, so the model
/// is never loaded and each caller is refused again.
#[test]
fn with_many_hosts_a_single_caller_told_to_retry_counts_as_waiting() {
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
    p.advance(1000);
    assert!(!p.take_messages(has_waiting).is_empty(), "no demand was sent for the model");
}

/// Guards against the cost of refused callers: each is reported once, to one owner, and isn't
/// repeated for as long as the caller may come back.
#[test]
fn a_refused_caller_is_reported_once() {
    let mut p = Process::new("a", 1);
    let remaining = Duration::from_secs(6);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Loading { remaining })));
    let mut impatient = arrival(&p, model("m"), 1);
    impatient.policy.first_byte_deadline = p.now.after(Duration::from_secs(2));
    p.arrive(1, impatient);
    p.advance(6000);
    let reports = p.take_messages(has_waiting);
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].0, name("b"));
    assert!(matches!(reports[0].1, PeerMessage::Wanted { waiting: 1, refused: true, .. }), "{reports:?}");
}

/// The owners of both homes of a model respond that a load takes seconds, and the first one
/// takes it on. Then the caller's soft deadline passes. If the second owner were asked again
/// now, it would have no ground left to refuse. Both would load the model from the weight
/// store, and two engines could load nothing else meanwhile.
#[test]
fn only_one_owner_loads_a_model_even_after_the_callers_soft_deadline() {
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
    p.advance(3000);
    let messages = p.take_messages(has_waiting);
    assert!(messages.iter().any(|(owner, _)| *owner == name("b")), "{messages:?}");
    let second = messages.iter().filter(|(owner, _)| *owner == name("c"));
    let without_soft_deadline = second
        .filter(|(_, message)| matches!(message, PeerMessage::Wanted { soft_deadline: None, .. }))
        .count();
    assert_eq!(without_soft_deadline, 0, "{messages:?}");
}

/// The second home's owner loads a model, and callers arrive at other hosts that know of the
/// load. If these hosts sent their demand only to the first home's owner, the loading owner
/// would know of no callers and give the model's place away as soon as it was ready. The
/// callers would be refused after waiting for ten seconds.
#[test]
fn the_loading_owner_is_sent_the_demand() {
    let mut p = Process::new("a", 1);
    let remaining = Duration::from_secs(4);
    p.peer("c", &PeerMessage::View(view("e2", 1, "m", Readiness::Loading { remaining })));
    p.take();
    p.arrive(1, arrival(&p, model("m"), 1));
    p.advance(1000);
    let messages = p.take_messages(has_waiting);
    let is_counted = |message: &PeerMessage| matches!(message, PeerMessage::Wanted { waiting: 1, .. });
    let counted = messages.iter().any(|(owner, message)| *owner == name("c") && is_counted(message));
    assert!(counted, "{messages:?}");
}

/// A model is ready on one engine and is being loaded on another from the weight store, which
/// takes eighteen seconds. Callers ask for one of its adapters, which the first engine could
/// load in ten milliseconds. If the load of the base model counted for the adapter, they would
/// be refused on arrival and told to retry after eighteen seconds, and the owner of the ready
/// base model would never be asked.
#[test]
fn an_adapter_is_requested_where_its_base_model_is_ready() {
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
    p.advance(1000);
    let messages = p.take_messages(has_waiting);
    assert!(messages.iter().any(|(owner, _)| *owner == name("b")), "{messages:?}");
}
