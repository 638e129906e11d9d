//! What upstreams say of themselves, on every way of sending.

use std::time::Duration;

use skylarkshore_core::config::Limits;
use skylarkshore_core::effect::{Effect, RefusalReason};
use skylarkshore_core::event::{AttemptOutcome, Rejection};
use skylarkshore_core::id::{CatalogueRevision, HostId, Incarnation, UpstreamId};
use skylarkshore_core::notice::{Rest, UpstreamNotice};
use skylarkshore_core::peer::{KnownNotices, NoticeMessage, PeerMessage};
use skylarkshore_core::view::Readiness;

use crate::support::serving::*;

/// Tells a process what an upstream says in an answer.
fn notice(p: &mut Process, upstream: &UpstreamId, via: Option<&HostId>, notice: &UpstreamNotice) {
    let incarnation = p.upstreams.get(upstream).map_or(Incarnation::default(), |listed| listed.incarnation);
    p.with(|serving, cx| serving.on_noticed(cx, upstream, incarnation, via, notice));
}

fn rest(secs: u64) -> UpstreamNotice {
    UpstreamNotice { rest: Some(Rest::from(Duration::from_secs(secs))), ..UpstreamNotice::default() }
}

fn leaving() -> UpstreamNotice {
    UpstreamNotice { is_leaving: true, ..UpstreamNotice::default() }
}

/// Creates a process that knows model `m` on two engines.
fn two_engines() -> Process {
    let mut p = Process::new("a", 1);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Ready)));
    p.peer("c", &PeerMessage::View(view("e2", 1, "m", Readiness::Ready)));
    p
}

/// Guards against a rest that ends with the success of another request, as a backoff does.
#[test]
fn another_requests_success_does_not_end_a_rest() {
    let mut p = two_engines();
    p.arrive(1, arrival(&p, model("m"), 1));
    p.arrive(2, arrival(&p, model("m"), 2));
    let sent = p.take_sent();
    let [first, second] = sent.as_slice() else { panic!("{sent:?}") };
    let (resting, first, second) = (first.upstream.clone(), first.attempt, second.attempt);
    notice(&mut p, &resting, None, &rest(3));
    p.end(first, AttemptOutcome::Rejected(Rejection::Busy));
    p.end(second, AttemptOutcome::Completed { held: None });
    notice(&mut p, &resting, None, &UpstreamNotice::default());
    for id in 10..16 {
        p.arrive(id, arrival(&p, model("m"), 3));
    }
    assert!(p.take_sent().iter().all(|sent| sent.upstream != resting));
    p.advance(3000);
    p.arrive(20, arrival(&p, model("m"), 4));
    assert!(p.take_sent().iter().any(|sent| sent.upstream == resting));
}

/// Guards against requests that wait until their deadline for upstreams that rest longer.
#[test]
fn what_only_resting_engines_could_serve_in_time_is_refused_with_the_end_of_the_first_rest() {
    let mut p = two_engines();
    for (engine, secs) in [("e1", 30), ("e2", 20)] {
        notice(&mut p, &name(engine), None, &rest(secs));
    }
    p.arrive(1, arrival(&p, model("m"), 1));
    let refused = p.take_refused();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.reason, RefusalReason::UpstreamsAtRest);
    assert_eq!(refused[0].1.retry_after, Some(Duration::from_secs(20)));
    let mut patient = arrival(&p, model("m"), 2);
    patient.deadline = p.now.after(Duration::from_secs(40));
    patient.policy.first_byte_deadline = patient.deadline;
    p.arrive(2, patient);
    assert!(p.take_sent().is_empty() && p.take_refused().is_empty());
    p.advance(20_000);
    assert_eq!(p.take_sent().len(), 1);
}

/// Guards against a booking that is sent to a replica that said that it leaves while the key was claimed.
#[test]
fn a_claimed_request_is_not_sent_to_a_replica_that_leaves_meanwhile() {
    let mut p = Process::new("a", 1);
    let mut store = Store::default();
    p.arrive(1, booking(&p, 1, 1));
    let replicas: Vec<UpstreamId> =
        p.upstreams.iter().filter(|u| u.service().is_some()).map(|u| u.id.clone()).collect();
    for replica in &replicas {
        notice(&mut p, replica, None, &leaving());
    }
    p.execute_calls(&mut store);
    assert!(p.take_sent().is_empty());
}

/// Guards against a notice that only the host keeps that was told.
#[test]
fn a_host_tells_all_others_and_later_ones_that_an_upstream_leaves() {
    let mut p = two_engines();
    p.effects.clear();
    notice(&mut p, &name("e1"), None, &leaving());
    let is_leaving = |message: &PeerMessage| matches!(message, PeerMessage::UpstreamLeaving { .. });
    let told: Vec<HostId> = p.take_messages(is_leaving).into_iter().map(|(to, _)| to).collect();
    assert_eq!(told, [name("b"), name("c")]);
    for id in 1..8 {
        p.arrive(id, arrival(&p, model("m"), 1));
    }
    assert!(p.take_sent().iter().all(|sent| sent.upstream == name("e2")));
}

/// Guards against an upstream that gets nothing in its next life, as the one before was leaving.
#[test]
fn a_new_incarnation_is_not_leaving() {
    let mut p = Process::new("a", 1);
    let replicas: Vec<UpstreamId> =
        p.upstreams.iter().filter(|u| u.service().is_some()).map(|u| u.id.clone()).collect();
    for replica in &replicas {
        notice(&mut p, replica, None, &leaving());
    }
    p.arrive(1, arrival(&p, service("booking"), 1));
    assert!(p.take_sent().is_empty());
    p.restart(&replicas[0].to_string(), 9);
    p.arrive(2, arrival(&p, service("booking"), 2));
    assert_eq!(p.take_sent().len(), 1);
}

/// Guards against a peer that goes on where the upstream took a relayed request for the peer's own.
#[test]
fn the_peer_that_relayed_a_request_is_told_of_the_rest() {
    let mut p = two_engines();
    p.effects.clear();
    notice(&mut p, &name("e1"), Some(&name("b")), &rest(3));
    let rests = |message: &PeerMessage| matches!(message, PeerMessage::UpstreamRests { .. });
    let told: Vec<HostId> = p.take_messages(rests).into_iter().map(|(to, _)| to).collect();
    assert_eq!(told, [name("b")]);
    assert!(!p.effects.iter().any(|effect| matches!(effect, Effect::Send { .. })));
}

/// Returns a process that has just started, with a request, and the peers that it has asked.
fn just_started() -> (Process, Vec<HostId>) {
    let mut p = Process::just_started("a", 1, Limits::default());
    p.document.catalogue_revision = CatalogueRevision(1);
    p.arrive(1, arrival(&p, service("booking"), 1));
    p.advance(50);
    let asked = p.take_messages(|message| matches!(message, PeerMessage::Notice(NoticeMessage::Wanted)));
    (p, asked.into_iter().map(|(host, _)| host).collect())
}

fn answer(p: &mut Process, from: &str, known: KnownNotices) {
    p.peer(from, &PeerMessage::Notice(NoticeMessage::Known(known)));
}

/// Guards against requests to upstreams of which a host that has just started knows nothing yet.
#[test]
fn a_host_that_has_just_started_sends_nothing_before_a_peer_has_told_what_it_knows() {
    let (mut p, asked) = just_started();
    assert_eq!(asked.len(), 2);
    assert!(p.take_sent().is_empty());
    let leaving: Vec<UpstreamId> = p.upstreams.iter().map(|listed| listed.id.clone()).collect();
    answer(&mut p, "b", KnownNotices { is_complete: true, leaving, ..KnownNotices::default() });
    p.advance(1000);
    assert!(p.take_sent().is_empty());
}

/// Guards against hosts that start together and wait for one another.
#[test]
fn hosts_that_have_all_just_started_send_once_each_has_said_so() {
    let (mut p, _) = just_started();
    answer(&mut p, "b", KnownNotices::default());
    assert!(p.take_sent().is_empty());
    answer(&mut p, "c", KnownNotices::default());
    assert_eq!(p.take_sent().len(), 1);
}

/// Guards against requests that wait for peers that don't answer.
#[test]
fn a_host_whose_peers_are_silent_sends_after_half_a_second() {
    let (mut p, _) = just_started();
    p.advance(400);
    assert!(p.take_sent().is_empty());
    p.advance(150);
    assert_eq!(p.take_sent().len(), 1);
}
