//! Which upstream a request gets.

use skylarkshore_core::event::{AttemptOutcome, Rejection, ReportedLoad};
use skylarkshore_core::id::UpstreamId;
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::view::Readiness;

use crate::support::serving::*;

/// Makes a process that knows model `m` ready on `e1` and `e2`, eight at a time each.
fn two_engines() -> Process {
    let mut p = Process::new("a", 1);
    for (engine, owner) in [("e1", "b"), ("e2", "c")] {
        let mut view = view(engine, 1, "m", Readiness::Ready);
        view.concurrency = 8;
        p.peer(owner, &PeerMessage::View(view));
    }
    p
}

fn send_with_prefix(p: &mut Process, id: u64, prefix: u8) -> Vec<Sent> {
    let mut request = arrival(p, model("m"), 1);
    request.prefix = Some(digest(prefix));
    p.arrive(id, request);
    p.take_sent()
}

#[test]
fn prompts_that_begin_alike_go_to_the_same_engine_until_it_is_clearly_fuller() {
    let mut p = two_engines();
    let chosen: Vec<_> = (0..5).map(|id| send_with_prefix(&mut p, id, 5).remove(0).upstream).collect();
    assert_eq!(chosen[0], chosen[1]);
    assert_eq!(chosen[1], chosen[2]);
    assert_eq!(chosen[2], chosen[3]);
    assert_ne!(chosen[3], chosen[4], "the other one is emptier by half of its places");
}

#[test]
fn a_near_engine_goes_before_a_far_one_that_is_as_free() {
    let mut p = two_engines();
    p.upstreams.change(&name("e1"), |far| far.data_centre = name("olten-b"));
    for id in 0..4 {
        p.arrive(id, arrival(&p, model("m"), 1));
        let sent = p.take_sent().remove(0);
        assert_eq!(sent.upstream.as_str(), "e2");
        p.end(sent.attempt, AttemptOutcome::Completed { held: None });
    }
}

/// An owner's account is late, and its engine has unloaded the model already.
/// The request that finds out goes to the other engine, and the next ones don't
/// try the first again; a hot loop between router and engine would be seen as
/// thousands of rejections a second.
#[test]
fn an_engine_that_lacks_the_model_is_left_alone_for_a_while() {
    let mut p = two_engines();
    let mut rejections = 0;
    for id in 0..40 {
        p.arrive(id, arrival(&p, model("m"), 1));
        while let Some(sent) = p.take_sent().into_iter().next() {
            let missing = sent.upstream.as_str() == "e1";
            rejections += u32::from(missing);
            let lacking = AttemptOutcome::Rejected(Rejection::NotLoaded);
            p.end(sent.attempt, if missing { lacking } else { AttemptOutcome::Completed { held: None } });
        }
        p.pass(10);
    }
    assert!(rejections <= 1, "{rejections} rejections within a second");
    assert!(p.serving.is_idle());
}

/// A replica says that it is about to go before the host list does. The other
/// processes hear it from this one and send nothing there any more.
#[test]
fn what_a_leaving_upstream_says_is_told_to_all() {
    let mut p = two_engines();
    p.arrive(1, arrival(&p, service("booking"), 1));
    let sent = p.take_sent().remove(0);
    p.end(sent.attempt, AttemptOutcome::Rejected(Rejection::Leaving));
    let told = p.take_told(|m| matches!(m, PeerMessage::UpstreamLeaving { .. }));
    assert_eq!(told.len(), 2);
    let again = p.take_sent().remove(0);
    assert_ne!(again.upstream, sent.upstream);
}

/// Finds a prompt's beginning that belongs to an engine while both are idle.
fn prefix_of(engine: &str) -> u8 {
    let belongs = |prefix: &u8| {
        let mut p = two_engines();
        send_with_prefix(&mut p, 1, *prefix).remove(0).upstream.as_str() == engine
    };
    (0..64).find(belongs).unwrap()
}

#[test]
fn a_free_place_goes_to_a_prompt_that_its_engine_knows_but_nobody_is_passed_over_for_ever() {
    let (near, far) = (prefix_of("e1"), prefix_of("e2"));
    let mut p = Process::new("a", 1);
    for (engine, owner) in [("e1", "b"), ("e2", "c")] {
        p.peer(owner, &PeerMessage::View(view(engine, 1, "m", Readiness::Ready)));
    }
    for id in 1..=4 {
        p.arrive(id, arrival(&p, model("m"), 1));
    }
    let mut at_e1 = p.take_sent().into_iter().find(|sent| sent.upstream.as_str() == "e1").unwrap();
    send_with_prefix(&mut p, 10, far);
    for id in 11..40 {
        send_with_prefix(&mut p, id, near);
    }
    let mut order = Vec::new();
    for _ in 0..10 {
        p.end(at_e1.attempt, AttemptOutcome::Completed { held: None });
        at_e1 = p.take_sent().remove(0);
        order.push(at_e1.request.0);
    }
    assert_eq!(order, [11, 12, 13, 14, 15, 16, 17, 18, 10, 19]);
}

/// Guards against replicas that were full for a moment and are believed to be so by a host that, as
/// it sends nothing there, hears of no change.
#[test]
fn a_replica_that_was_full_once_is_tried_again_within_a_second() {
    let mut p = two_engines();
    let booked = arrival(&p, service("booking"), 1);
    p.arrive(1, booked);
    let sent = p.take_sent().remove(0);
    let full = ReportedLoad { running: 6, waiting: 12, concurrency: 6 };
    let replicas: Vec<UpstreamId> =
        p.upstreams.iter().filter(|u| u.service().is_some()).map(|u| u.id.clone()).collect();
    for replica in &replicas {
        p.with(|serving, cx| serving.on_load_reported(cx, replica, full));
    }
    p.end(sent.attempt, AttemptOutcome::Completed { held: None });
    p.arrive(2, arrival(&p, service("booking"), 2));
    assert_eq!(p.take_sent().len(), 0, "it was full just now");
    p.pass(1000);
    assert_eq!(p.take_sent().len(), 1);
}

/// An owner tells only those of a swap who use the models; whoever asks again
/// later would be sent to where its model no longer is.
#[test]
fn the_list_goes_before_an_account_that_is_no_longer_kept_up() {
    let mut p = Process::new("a", 1);
    p.peer("b", &PeerMessage::View(view("e1", 1, "m", Readiness::Ready)));
    p.pass(5000);
    p.change_listed("e1", |listed| listed.holds = vec![name("n")]);
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_sent().len(), 0);
    p.arrive(2, arrival(&p, model("n"), 2));
    assert_eq!(p.take_sent().remove(0).upstream.as_str(), "e1");
}

/// An engine that has been emptied would be sent requests for what it once held.
#[test]
fn an_engine_that_lists_nothing_any_more_gets_no_requests() {
    let mut p = Process::new("a", 1);
    for holds in [vec![name("m")], Vec::new()] {
        p.change_listed("e1", |listed| listed.holds = holds);
    }
    p.arrive(1, arrival(&p, model("m"), 1));
    assert_eq!(p.take_sent().len(), 0);
}
