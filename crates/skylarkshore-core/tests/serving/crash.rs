//! Requests that were in progress when an upstream died.

use skylarkshore_core::config::{Limits, SuspectPolicy};
use skylarkshore_core::effect::{RefusalOutcome, RefusalReason};
use skylarkshore_core::event::AttemptOutcome;
use skylarkshore_core::id::{Digest, Fence};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::view::{EngineView, Readiness};

use crate::support::serving::*;

const DIED: AttemptOutcome = AttemptOutcome::Lost { passed_on: false, died: true };

fn suspects(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Suspects { .. })
}

fn reservation(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::ReservationWanted { .. })
}

fn reserved(number: u64) -> EngineView {
    let mut view = view("e2", number, "m", Readiness::Ready);
    view.reserved_for = Some(name("a"));
    view
}

fn noted(p: &mut Process, digests: &[Digest]) {
    for peer in ["b", "c"] {
        p.peer(peer, &PeerMessage::SuspectsNoted { requests: digests.to_vec() });
    }
}

/// Makes a process with two requests in flight on `e1`, of which the engine then dies.
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

/// One of two requests crashes the engine that runs both. Nobody knows which;
/// each runs alone on another engine, and only once the peers know of them, so
/// that the caller can't send the same one to a host that knows nothing.
#[test]
fn after_a_crash_the_peers_hear_of_it_first_and_the_suspects_run_one_by_one() {
    let mut p = crashed();
    assert_eq!(p.take_told(suspects).len(), 2, "both peers, once");
    assert_eq!(p.take_told(reservation), [], "nothing goes on before the peers know");
    noted(&mut p, &[digest(1), digest(2)]);
    let asked = p.take_told(reservation);
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].0.as_str(), "c");

    p.peer("c", &PeerMessage::View(reserved(2)));
    assert_eq!(p.take_sent(), [], "the others' requests may not have ended yet");
    p.pass(1000);
    p.peer("c", &PeerMessage::View(reserved(2)));
    let first = p.take_sent();
    assert_eq!(first.len(), 1);

    p.end(first[0].attempt, AttemptOutcome::Completed { held: None });
    let cleared = p.take_told(|m| matches!(m, PeerMessage::Cleared { .. }));
    assert_eq!(cleared.len(), 2);
    p.pass(1500);
    p.peer("c", &PeerMessage::View(reserved(3)));
    let second = p.take_sent();
    assert_eq!(second.len(), 1);
    p.end(second[0].attempt, DIED);

    let told = p.take_told(suspects);
    assert!(matches!(told[0].1, PeerMessage::Suspects { alone: true, .. }), "{told:?}");
    assert_eq!(p.take_refused(), [], "the peers hear of the conviction first, too");
    p.pass(350);
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::Failed, RefusalReason::CrashesUpstreams));
    assert_eq!(refused.retry_after, None);
    assert!(p.serving.is_idle());
}

/// A peer convicts a request. Its caller sends it here; it must not reach
/// another engine, and the caller is told not to send it again.
#[test]
fn a_request_convicted_elsewhere_is_refused_at_once() {
    let mut p = Process::new("a", 1);
    p.arrive(1, arrival(&p, model("m"), 7));
    let crash = PeerMessage::Suspects {
        upstream: name("e3"),
        incarnation: None,
        requests: vec![digest(7)],
        alone: true,
    };
    p.peer("b", &crash);
    assert_eq!(p.take_told(|m| matches!(m, PeerMessage::SuspectsNoted { .. })).len(), 1);
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

/// A peer is cut off and never says that it knows of the suspects. The caller
/// waits no longer than a moment for it.
#[test]
fn a_silent_peer_holds_the_retry_up_for_a_moment_only() {
    let mut p = crashed();
    p.peer("b", &PeerMessage::SuspectsNoted { requests: vec![digest(1), digest(2)] });
    assert_eq!(p.take_told(reservation), []);
    p.pass(350);
    assert_eq!(p.take_told(reservation).len(), 1);
}

/// The owner of the only other engine is gone and reserves nothing. A suspect
/// runs on the engine when it seems idle; a crash there convicts nobody, since
/// other hosts' requests may have been there too.
#[test]
fn a_suspect_that_may_have_had_company_is_not_convicted() {
    let mut p = crashed();
    noted(&mut p, &[digest(1), digest(2)]);
    p.pass(3500);
    let sent = p.take_sent();
    assert_eq!(sent.len(), 1);
    p.end(sent[0].attempt, DIED);
    p.pass(400);
    let reasons: Vec<_> = p.take_refused().into_iter().map(|(_, refusal)| refusal.reason).collect();
    assert!(!reasons.contains(&RefusalReason::CrashesUpstreams), "{reasons:?}");
}

/// A new owner takes the engine over, and the old one's account arrives late.
/// The late one says that the model is ready there, which it no longer is.
#[test]
fn an_account_of_a_former_owner_changes_nothing() {
    let mut p = Process::new("a", 1);
    let mut newer = view("e1", 1, "m", Readiness::Closing);
    newer.version.fence = Fence(2);
    p.peer("c", &PeerMessage::View(newer));
    p.peer("b", &PeerMessage::View(view("e1", 90, "m", Readiness::Ready)));
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_sent(), []);
}

/// Two callers send the same suspect booking lookup. The first one's end clears
/// both, and the second must not be sent once as a suspect and once more as
/// cleared: its caller would get two answers mixed.
#[test]
fn a_suspect_that_is_cleared_while_it_waits_is_sent_once() {
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

/// A host is reclaimed, and its engine goes with it while it runs requests.
/// None of them has crashed it; they are tried elsewhere at once and together.
#[test]
fn requests_at_an_engine_that_was_about_to_go_are_not_suspect() {
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
    assert_eq!(p.take_told(suspects), []);
    assert_eq!(p.take_sent().len(), 2);
}

/// Where upstreams often lose connections, a request is only convicted once the
/// host list shows that enough upstreams have ended while they ran it. The list
/// is late: a request that has ended two would be sent again after the third,
/// and end a fourth.
#[test]
fn a_request_that_ended_two_upstreams_is_not_sent_again_after_the_third() {
    let limits = Limits { suspects: SuspectPolicy::CountEnds, ..Limits::default() };
    let mut p = Process::with_limits("a", 1, limits);
    for life in 1..=2 {
        let mut single = arrival(&p, service("booking"), 7);
        single.policy.max_runs = 1;
        p.arrive(life, single);
        let sent = p.take_sent().remove(0);
        p.end(sent.attempt, DIED);
        p.begin_life(sent.upstream.as_str(), life);
        p.pass(2000);
    }
    p.take_refused();
    p.arrive(3, arrival(&p, service("booking"), 7));
    let third = p.take_sent().remove(0);
    p.end(third.attempt, DIED);
    p.pass(2000);
    assert_eq!(p.take_sent(), [], "one upstream more would end");
    let refused = p.take_refused().remove(0).1;
    assert_eq!((refused.outcome, refused.reason), (RefusalOutcome::Unknown, RefusalReason::CrashesUpstreams));
}

/// An upstream's end is on the host list before the loss of the request that
/// ended it is noticed. If the loss were counted with what the list says by then,
/// no end would ever be seen for it, and the request would go on to others.
#[test]
fn an_end_that_is_listed_before_the_loss_is_noticed_counts() {
    let limits = Limits { suspects: SuspectPolicy::CountEnds, ..Limits::default() };
    let mut p = Process::with_limits("a", 1, limits);
    for life in 1..=2 {
        let mut single = arrival(&p, service("booking"), 7);
        single.policy.max_runs = 1;
        p.arrive(life, single);
        let sent = p.take_sent().remove(0);
        let ended = p.end_life(sent.upstream.as_str());
        p.end(sent.attempt, DIED);
        p.upstreams.insert(ended);
        p.begin_life(sent.upstream.as_str(), life);
        p.pass(2000);
    }
    p.take_refused();
    p.arrive(3, arrival(&p, service("booking"), 7));
    let third = p.take_sent().remove(0);
    p.end(third.attempt, DIED);
    assert_eq!(p.take_sent(), [], "one upstream more would end");
    let refused = p.take_refused().remove(0).1;
    assert_eq!(refused.reason, RefusalReason::CrashesUpstreams);
}
