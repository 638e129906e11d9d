//! Requests that were in progress when an upstream died.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshore_core::config::{Limits, SuspectPolicy, Watchers};
use skylarkshore_core::effect::{Effect, RefusalOutcome, RefusalReason};
use skylarkshore_core::event::AttemptOutcome;
use skylarkshore_core::id::{Digest, Fence, HostId, Incarnation, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::view::{EngineView, Readiness};

use crate::support::serving::*;

const DIED: AttemptOutcome = AttemptOutcome::Lost { passed_on: false, died: true };

fn is_suspects(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Suspects { .. })
}

fn is_reservation_request(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::ReservationWanted { .. })
}

fn reserved(number: u64) -> EngineView {
    let mut view = view("e2", number, "m", Readiness::Ready);
    view.reserved_for = Some(name("a"));
    view
}

fn acknowledge(p: &mut Process, digests: &[Digest]) {
    for peer in ["b", "c"] {
        p.peer(peer, &PeerMessage::SuspectsNoted { requests: digests.to_vec() });
    }
}

/// Creates a process with two requests in flight on `e1`, which then dies.
fn crashed() -> Process {
    let mut p = Process::new("a", 1);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Ready)));
    for body in [1, 2] {
        p.arrive(body.into(), arrival(&p, model("m"), body));
    }
    let sent = p.take_sent();
    p.peer("c", &PeerMessage::View(view("e2", 1, "m", Readiness::Ready)));
    for attempt in sent {
        p.end(attempt.attempt, DIED);
    }
    p
}

/// One of two requests crashes the engine that runs both, and it can't be known which. Each
/// must run in isolation on another engine, and only after the peers know of both; otherwise
/// the caller could send the same request to a host that doesn't know of it.
#[test]
fn after_a_crash_the_peers_are_notified_first_and_the_suspects_run_one_by_one() {
    let mut p = crashed();
    assert_eq!(p.take_messages(is_suspects).len(), 2, "each peer is notified once");
    assert_eq!(p.take_messages(is_reservation_request), [], "nothing proceeds before the peers acknowledge");
    acknowledge(&mut p, &[digest(1), digest(2)]);
    let asked = p.take_messages(is_reservation_request);
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].0.as_str(), "c");

    p.peer("c", &PeerMessage::View(reserved(2)));
    assert_eq!(p.take_sent(), [], "requests of other hosts may still be running");
    p.advance(1000);
    p.peer("c", &PeerMessage::View(reserved(2)));
    let first = p.take_sent();
    assert_eq!(first.len(), 1);

    p.end(first[0].attempt, AttemptOutcome::Completed { held: None });
    let cleared = p.take_messages(|m| matches!(m, PeerMessage::Cleared { .. }));
    assert_eq!(cleared.len(), 2);
    p.advance(1500);
    p.peer("c", &PeerMessage::View(reserved(3)));
    let second = p.take_sent();
    assert_eq!(second.len(), 1);
    p.end(second[0].attempt, DIED);

    let messages = p.take_messages(is_suspects);
    assert!(matches!(messages[0].1, PeerMessage::Suspects { alone: true, .. }), "{messages:?}");
    assert_eq!(p.take_refused(), [], "the peers are notified of the conviction first, too");
    p.advance(350);
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::Failed, RefusalReason::CrashesUpstreams));
    assert_eq!(refused.retry_after, None);
    assert!(p.serving.is_idle());
}

/// A request that a peer has convicted is sent to this host. It must not reach another engine,
/// and the caller is told not to send it again.
#[test]
fn a_request_that_a_peer_convicted_is_refused_immediately() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, model("m"), 7));
    let crash = PeerMessage::Suspects {
        upstream: name("e3"),
        incarnation: None,
        requests: vec![digest(7)],
        alone: true,
    };
    p.peer("b", &crash);
    assert_eq!(p.take_messages(|m| matches!(m, PeerMessage::SuspectsNoted { .. })).len(), 1);
    p.arrive(2, arrival(&p, model("m"), 7));
    let refused = p.take_refused();
    assert_eq!(refused.len(), 2);
    for (_, refusal) in refused {
        assert_eq!(
            (refusal.outcome, refusal.reason),
            (RefusalOutcome::NotRun, RefusalReason::CrashesUpstreams)
        );
    }
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Ready)));
    assert_eq!(p.take_sent(), []);
}

/// A peer is cut off and never acknowledges the suspects. The caller waits for it only briefly.
#[test]
fn a_silent_peer_delays_the_retry_only_briefly() {
    let mut p = crashed();
    p.peer("b", &PeerMessage::SuspectsNoted { requests: vec![digest(1), digest(2)] });
    assert_eq!(p.take_messages(is_reservation_request), []);
    p.advance(350);
    assert_eq!(p.take_messages(is_reservation_request).len(), 1);
}

/// Guards against a suspect that crashes another engine by way of a peer that was cut off when the
/// first one died and was never told.
#[test]
fn a_peer_that_was_silent_is_notified_of_suspects_when_it_is_back() {
    let mut p = crashed();
    p.peer("b", &PeerMessage::SuspectsNoted { requests: vec![digest(1), digest(2)] });
    p.advance(350);
    p.take();
    p.advance(5000);
    let notices = p.take_messages(is_suspects);
    assert!(!notices.is_empty() && notices.iter().all(|(to, _)| *to == name("c")), "{notices:?}");
    p.peer("c", &PeerMessage::SuspectsNoted { requests: vec![digest(1), digest(2)] });
    p.advance(5000);
    assert_eq!(p.take_messages(is_suspects), []);
}

/// The owner of the only other engine is down and reserves nothing. A suspect runs on the
/// engine if it seems idle, but a crash there convicts nobody: requests of other hosts may have
/// run there too.
#[test]
fn a_suspect_that_may_not_have_run_alone_is_not_convicted() {
    let mut p = crashed();
    acknowledge(&mut p, &[digest(1), digest(2)]);
    p.advance(3500);
    let sent = p.take_sent();
    assert_eq!(sent.len(), 1);
    p.end(sent[0].attempt, DIED);
    p.advance(400);
    let reasons: Vec<_> = p.take_refused().into_iter().map(|(_, refusal)| refusal.reason).collect();
    assert!(!reasons.contains(&RefusalReason::CrashesUpstreams), "{reasons:?}");
}

/// An engine has a new owner, and the former owner's view arrives late. It lists the model as
/// ready, which it no longer is.
#[test]
fn a_view_of_a_former_owner_is_ignored() {
    let mut p = Process::new("a", 1);
    let mut newer = view("e1", 1, "m", Readiness::Closing);
    newer.version.fence = Fence(2);
    p.peer("c", &PeerMessage::View(newer));
    p.peer("b", &PeerMessage::View(view("e1", 90, "m", Readiness::Ready)));
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_sent(), []);
}

/// Two callers send the same suspect call. When the first completes, both are cleared. If the
/// second were sent once as a suspect and once as cleared, its caller would get two answers
/// mixed.
#[test]
fn a_suspect_that_is_cleared_while_it_waits_is_sent_only_once() {
    let mut p = Process::new("a", 1);
    let requests = vec![digest(1)];
    p.peer("b", &PeerMessage::Suspects { upstream: name("s9"), incarnation: None, requests, alone: false });
    for id in 1..=3 {
        p.arrive(id, arrival(&p, service("booking"), 1));
    }
    let first = p.take_sent();
    assert_eq!(first.len(), 1);
    p.end(first[0].attempt, AttemptOutcome::Completed { held: None });
    let mut others: Vec<_> = p.take_sent().into_iter().map(|sent| sent.request.0).collect();
    others.sort_unstable();
    assert_eq!(others, [2, 3]);
}

/// A host is reclaimed and its engine stops while it runs requests. None of them has crashed
/// it, so they are retried elsewhere immediately and together.
#[test]
fn requests_at_a_leaving_engine_are_not_suspect() {
    let mut p = Process::new("a", 1);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Ready)));
    for body in [1, 2] {
        p.arrive(body.into(), arrival(&p, model("m"), body));
    }
    let sent = p.take_sent();
    p.peer("c", &PeerMessage::View(view("e2", 1, "m", Readiness::Ready)));
    p.peer("b", &PeerMessage::UpstreamLeaving { upstream: name("e1") });
    for attempt in sent {
        p.end(attempt.attempt, DIED);
    }
    assert_eq!(p.take_messages(is_suspects), []);
    assert_eq!(p.take_sent().len(), 2);
}

/// With [`SuspectPolicy::CountEnds`], a request is convicted only after the host list shows
/// that enough upstreams terminated while they ran it. The list is late: a request that has
/// crashed two would be sent again after the third, and crash a fourth.
#[test]
fn a_request_that_crashed_two_upstreams_is_not_retried_after_the_third() {
    let limits = Limits { suspects: SuspectPolicy::CountEnds, ..Limits::default() };
    let mut p = Process::with_limits("a", 1, limits);
    for life in 1..=2 {
        let mut single = arrival(&p, service("booking"), 7);
        single.policy.max_runs = 1;
        p.arrive(life, single);
        let sent = p.take_sent().remove(0);
        p.end(sent.attempt, DIED);
        p.restart(sent.upstream.as_str(), life);
        p.advance(2000);
    }
    p.take_refused();
    p.arrive(3, arrival(&p, service("booking"), 7));
    let third = p.take_sent().remove(0);
    p.end(third.attempt, DIED);
    p.advance(2000);
    assert_eq!(p.take_sent(), [], "it would crash another upstream");
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::Unknown, RefusalReason::CrashesUpstreams));
}

/// The host list shows an upstream's termination before the loss of the request that crashed it
/// is noticed. If the loss were counted with the incarnation listed by then, no termination
/// would ever be counted, and the request would go to further upstreams.
#[test]
fn a_termination_that_is_listed_before_the_loss_is_noticed_counts() {
    let limits = Limits { suspects: SuspectPolicy::CountEnds, ..Limits::default() };
    let mut p = Process::with_limits("a", 1, limits);
    for life in 1..=2 {
        let mut single = arrival(&p, service("booking"), 7);
        single.policy.max_runs = 1;
        p.arrive(life, single);
        let sent = p.take_sent().remove(0);
        let ended = p.terminate(sent.upstream.as_str());
        p.end(sent.attempt, DIED);
        p.upstreams.insert(ended);
        p.restart(sent.upstream.as_str(), life);
        p.advance(2000);
    }
    p.take_refused();
    p.arrive(3, arrival(&p, service("booking"), 7));
    let third = p.take_sent().remove(0);
    p.end(third.attempt, DIED);
    assert_eq!(p.take_sent(), [], "it would crash another upstream");
    let refused = p.take_refused().remove(0).1;
    assert_eq!(refused.reason, RefusalReason::CrashesUpstreams);
}

fn counting_losses() -> Limits {
    Limits { suspects: SuspectPolicy::CountEnds, ..Limits::default() }
}

/// Creates a process whose request was lost with an upstream, which has terminated.
fn with_a_loss() -> Process {
    let mut p = Process::with_limits("a", 1, counting_losses());
    let mut single = arrival(&p, service("booking"), 7);
    single.policy.max_runs = 1;
    p.arrive(1, single);
    let sent = p.take_sent().remove(0);
    p.end(sent.attempt, DIED);
    p
}

fn acknowledge_losses(p: &mut Process, from: &str, reports: &[(HostId, PeerMessage)]) {
    for (to, message) in reports {
        let PeerMessage::Suspects { upstream, incarnation, requests, .. } = message.clone() else { continue };
        if to.as_str() == from {
            p.peer(from, &PeerMessage::LossesNoted { upstream, incarnation, requests });
        }
    }
}

/// Guards against a request that crashes more upstreams than the limit because the report of a
/// loss was dropped, as the link to one host wasn't up yet.
#[test]
fn a_loss_is_reported_again_until_each_peer_has_acknowledged_it() {
    let mut p = with_a_loss();
    let reports = p.take_messages(is_suspects);
    assert_eq!(reports.len(), 2, "{reports:?}");
    acknowledge_losses(&mut p, "b", &reports);
    p.advance(500);
    let repeated = p.take_messages(is_suspects);
    assert!(!repeated.is_empty(), "the report to c may have been dropped");
    assert!(repeated.iter().all(|(to, _)| *to == name("c")), "{repeated:?}");
    acknowledge_losses(&mut p, "c", &repeated);
    p.advance(5000);
    assert_eq!(p.take_messages(is_suspects), []);
}

/// Guards against a request that crashes upstreams by way of a host that has just started and has
/// received none of the earlier reports.
#[test]
fn a_host_that_starts_after_a_loss_receives_the_report() {
    let mut p = with_a_loss();
    let reports = p.take_messages(is_suspects);
    for peer in ["b", "c"] {
        acknowledge_losses(&mut p, peer, &reports);
    }
    p.cache_member("c", Incarnation(2));
    p.cache_member("d", Incarnation(1));
    p.advance(300);
    let receivers: Vec<HostId> = p.take_messages(is_suspects).into_iter().map(|(to, _)| to).collect();
    assert!(receivers.contains(&name("c")) && receivers.contains(&name("d")), "{receivers:?}");
    assert!(!receivers.contains(&name("b")), "{receivers:?}");
}

/// Guards against peers that acknowledge nothing, so that reports are repeated for minutes.
#[test]
fn a_reported_loss_is_acknowledged() {
    let mut p = Process::with_limits("a", 1, counting_losses());
    let requests = vec![digest(7)];
    let upstream: UpstreamId = name("s1");
    for _ in 0..2 {
        let report = PeerMessage::Suspects {
            upstream: upstream.clone(),
            incarnation: Some(Incarnation(0)),
            requests: requests.clone(),
            alone: false,
        };
        p.peer("b", &report);
        p.advance(100);
        let noted = p.take_messages(|m| matches!(m, PeerMessage::LossesNoted { .. }));
        let expected = PeerMessage::LossesNoted {
            upstream: upstream.clone(),
            incarnation: Some(Incarnation(0)),
            requests: requests.clone(),
        };
        assert_eq!(noted, [(name("b"), expected)]);
    }
    assert_eq!(p.take_messages(is_suspects), [], "only the host that noticed the loss reports it");
}

/// Guards against a convicted request that runs again after two minutes, because a late or repeated
/// report of one of its losses shortened the conviction.
#[test]
fn a_repeated_report_does_not_shorten_a_conviction() {
    let mut p = Process::with_limits("a", 1, counting_losses());
    let report = |upstream: &str| PeerMessage::Suspects {
        upstream: name(upstream),
        incarnation: Some(Incarnation(0)),
        requests: vec![digest(7)],
        alone: false,
    };
    for upstream in ["gone-1", "gone-2", "gone-3"] {
        p.peer("b", &report(upstream));
    }
    for upstream in ["gone-1", "gone-4"] {
        p.peer("c", &report(upstream));
    }
    p.advance(180_000);
    p.arrive(1, arrival(&p, service("booking"), 7));
    assert_eq!(p.take_sent(), []);
    assert_eq!(p.take_refused().remove(0).1.reason, RefusalReason::CrashesUpstreams);
}

/// Starts processes that relay reports along the trees of a large cluster.
fn relaying(names: &[String]) -> Vec<Process> {
    let start = |host: &String| {
        let mut p = Process::with_limits(host, 1, counting_losses());
        p.cfg.watchers = Watchers::Relayed;
        for member in names {
            p.cache_member(member, Incarnation(1));
        }
        p
    };
    names.iter().map(start).collect()
}

/// Loses a request with an incarnation of whichever replica it is sent to.
fn lose(p: &mut Process, incarnation: u64) {
    p.restart("s1", incarnation);
    p.restart("s2", incarnation);
    let mut single = arrival(p, service("booking"), 7);
    single.policy.max_runs = 1;
    p.arrive(1, single);
    let sent = p.take_sent().remove(0);
    p.end(sent.attempt, DIED);
}

/// Advances a cluster in which half of all messages are dropped; returns how many were sent.
fn exchange_with_drops(cluster: &mut [Process], names: &[String], rng: &mut SmallRng, steps: usize) -> usize {
    let mut sent = 0;
    for _ in 0..steps {
        for index in 0..cluster.len() {
            cluster[index].advance(50);
            for (to, message) in cluster[index].take_messages(|_| true) {
                sent += 1;
                if rng.random_bool(0.5) {
                    continue;
                }
                let to = names.iter().position(|host| *host == to.as_str()).expect("it is a member");
                cluster[to].peer(&names[index], &message);
            }
        }
    }
    sent
}

/// Guards against hosts of a large cluster that never learn of losses: reports travel along the
/// relay trees there, and half of all messages are dropped.
#[test]
fn every_host_of_a_large_cluster_learns_of_losses_although_messages_are_dropped() {
    const HOSTS: usize = 80;
    const STEPS: usize = 600;
    const LOSSES: usize = 3;

    let others = (3..HOSTS).map(|number| format!("host-{number}"));
    let names: Vec<String> = ["a", "b", "c"].map(str::to_owned).into_iter().chain(others).collect();
    let mut cluster = relaying(&names);
    for (index, incarnation) in [(5, 1), (40, 2), (79, 3)] {
        lose(&mut cluster[index], incarnation);
    }
    let sent = exchange_with_drops(&mut cluster, &names, &mut SmallRng::seed_from_u64(7), STEPS);
    for (p, host) in cluster.iter_mut().zip(&names) {
        p.restart("s1", 9);
        p.restart("s2", 9);
        p.arrive(2, arrival(p, service("booking"), 7));
        assert_eq!(p.take_sent(), [], "{host} has not learned of all losses");
    }
    // A report is acknowledged after four reports and two acknowledgements on average, and some hosts
    // are told twice.
    assert!(sent < HOSTS * LOSSES * 12, "{sent} messages");
}

/// Reports from a peer that a request was lost with upstreams, the first of which the host list no longer
/// names.
fn with_losses_that_are_not_listed() -> Process {
    let mut p = Process::with_limits("a", 1, counting_losses());
    for upstream in ["gone-1", "s1", "s2"] {
        let report = PeerMessage::Suspects {
            upstream: name(upstream),
            incarnation: Some(Incarnation(0)),
            requests: vec![digest(7)],
            alone: false,
        };
        p.peer("b", &report);
    }
    p
}

/// Guards against a request that crashes further upstreams while the host list still names those that it
/// crashed.
#[test]
fn a_request_is_held_back_while_the_list_cannot_show_the_terminations_of_its_losses() {
    let mut p = with_losses_that_are_not_listed();
    p.arrive(1, arrival(&p, service("booking"), 7));
    assert_eq!(p.take_sent(), [], "it may crash another upstream");
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::NotRun, RefusalReason::MayCrashUpstreams));
    assert!(refused.retry_after.is_some(), "the caller may come back");
}

/// Guards against requests that are refused for minutes because connections broke, though no upstream has
/// terminated.
#[test]
fn a_request_is_no_longer_held_back_once_an_upstream_answers_or_the_list_would_show_its_end() {
    let mut p = with_losses_that_are_not_listed();
    p.advance(50);
    p.arrive(1, arrival(&p, service("booking"), 8));
    let other = p.take_sent().remove(0);
    p.end(other.attempt, AttemptOutcome::Completed { held: None });
    p.arrive(2, arrival(&p, service("booking"), 7));
    assert_eq!(p.take_sent().len(), 1, "one of the upstreams is alive");

    let mut p = with_losses_that_are_not_listed();
    p.advance(6_500);
    p.arrive(1, arrival(&p, service("booking"), 7));
    assert_eq!(p.take_sent().len(), 1, "the list would show that they have terminated");
}

/// Guards against a request that waits inside an upstream and crashes it after it was found to crash others.
#[test]
fn a_request_inside_an_upstream_is_recalled_when_it_is_held_back() {
    let mut p = Process::with_limits("a", 1, counting_losses());
    p.arrive(1, arrival(&p, service("booking"), 7));
    let sent = p.take_sent().remove(0);
    for upstream in ["gone-1", "s1", "s2"] {
        let report = PeerMessage::Suspects {
            upstream: name(upstream),
            incarnation: Some(Incarnation(0)),
            requests: vec![digest(7)],
            alone: false,
        };
        p.peer("b", &report);
    }
    let effects = p.take();
    let cancels = |effect: &Effect| matches!(effect, Effect::Cancel { attempt } if *attempt == sent.attempt);
    assert!(effects.iter().any(cancels), "{effects:?}");
}

/// Guards against a host that starts after all who noticed a loss have ended, and passes the request on.
#[test]
fn a_host_that_starts_later_is_told_of_losses_that_others_have_reported() {
    let mut p = Process::with_limits("a", 1, counting_losses());
    p.advance(50);
    let report = PeerMessage::Suspects {
        upstream: name("s1"),
        incarnation: Some(Incarnation(0)),
        requests: vec![digest(7)],
        alone: false,
    };
    p.peer("b", &report);
    p.advance(1000);
    assert_eq!(p.take_messages(is_suspects), [], "hosts that run have been told by the one that noticed it");
    p.cache_member("b", Incarnation(2));
    p.cache_member("d", Incarnation(1));
    p.advance(300);
    let told = p.take_messages(is_suspects);
    assert!(told.iter().all(|(_, message)| *message == report), "{told:?}");
    let mut receivers: Vec<&str> = told.iter().map(|(to, _)| to.as_str()).collect();
    receivers.sort_unstable();
    receivers.dedup();
    assert_eq!(receivers, ["b", "d"]);
}
