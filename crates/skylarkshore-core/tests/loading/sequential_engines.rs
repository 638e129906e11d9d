//! Engines that count their orders and execute one at a time.

use std::time::Duration;

use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::{IdleAfter, ServiceOrder};
use skylarkshore_core::upstream::Order;
use skylarkshore_core::view::Readiness;

use crate::support::{Delivery, LOAD_TIME, Rig, name, target};

const LONG_WAIT: Duration = Duration::from_secs(20);

fn loads(rig: &Rig) -> Vec<String> {
    let model = |order: &Order| match order {
        Order::Load { model, .. } => Some(model.to_string()),
        _ => None,
    };
    rig.engine.done.iter().filter_map(model).collect()
}

/// Single requests for many rarely used models arrive, each more urgent than the
/// twenty that wait for one model. If the urgent ones always went first, the twenty
/// would miss their deadlines although a load takes seconds.
#[test]
fn a_model_with_many_waiting_requests_goes_before_single_more_urgent_requests() {
    let mut rig = Rig::sequential(&[("hot", 300), ("r0", 300), ("r1", 300), ("r2", 300)]);
    rig.demand_with("entry-2", "r0", 1, ServiceOrder(60), LONG_WAIT);
    rig.run(Duration::from_secs(1));
    for _ in 0..10 {
        rig.demand_with("entry-2", "hot", 20, ServiceOrder(80), LONG_WAIT);
        for rare in ["r1", "r2"] {
            rig.demand_with("entry-3", rare, 1, ServiceOrder(60), LONG_WAIT);
        }
        rig.run(Duration::from_millis(500));
    }
    assert_eq!(loads(&rig)[..2], ["r0", "hot"]);
}

/// A model waits behind another model's load. If the owner published only the
/// model's own load time, routers would keep their callers waiting and ask no other
/// owner.
#[test]
fn the_ready_time_includes_the_loads_ahead() {
    let mut rig = Rig::sequential(&[("maize", 300), ("rye", 300)]);
    rig.demand("entry-2", "maize", 1);
    rig.run(Duration::from_secs(1));
    assert_eq!(loads(&rig), ["maize"]);
    rig.demand("entry-3", "rye", 1);
    rig.run(Duration::from_millis(100));
    let views = rig.sent.iter().rev().filter(|envelope| envelope.to.as_str() == "entry-3");
    let mut remaining = views.filter_map(|envelope| match &envelope.message {
        PeerMessage::View(view) => view.models.iter().find(|seen| seen.model.as_str() == "rye").cloned(),
        _ => None,
    });
    let readiness = remaining.next().expect("the router receives a view with the model").readiness;
    let Readiness::Loading { remaining } = readiness else { panic!("{readiness:?}") };
    assert!(remaining > LOAD_TIME + LOAD_TIME / 2, "{remaining:?}");
}

/// An engine is busy for longer than a request's soft deadline, and another home of
/// the model may be idle. Without an immediate refusal, callers would wait behind
/// another model's load while that engine is idle.
#[test]
fn an_owner_refuses_as_busy_if_the_soft_deadline_cannot_be_met() {
    let mut rig = Rig::sequential(&[("maize", 300), ("rye", 300)]);
    rig.set_homes("rye", &["engine-b", "engine-a"]);
    rig.demand("entry-2", "maize", 1);
    rig.run(Duration::from_secs(1));
    let wanted = |soft_deadline| PeerMessage::Wanted {
        target: target("rye"),
        waiting: 1,
        order: ServiceOrder::default(),
        max_wait: LONG_WAIT,
        soft_deadline,
        refused: false,
    };
    rig.receive(&name("entry-3"), &wanted(Some(Duration::from_secs(3))));
    assert_eq!(rig.refusals(), ["rye Busy"]);
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), ["maize"], "the refused load must not start");
    // Without a soft deadline, the owner accepts the request however long it takes.
    rig.receive(&name("entry-3"), &wanted(None));
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), ["maize", "rye"]);
}

/// Engines hold models before the first homes are written. If an owner unloaded
/// every model without a home, all would be loaded again seconds later while callers
/// wait.
#[test]
fn loaded_models_stay_until_homes_are_written() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    rig.clear_homes("maize");
    rig.authority.homes.clear();
    rig.engine.put("maize", 300);
    rig.run(Duration::from_secs(20));
    assert!(rig.engine.holds("maize"));
}

/// Homes were assigned before the engine was listed. What it holds, perhaps as the
/// only one, must not be unloaded before it can become a home.
#[test]
fn loaded_models_stay_while_another_home_is_possible() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    rig.document.rules.otherwise.replicas_max = 2;
    rig.document.rules.otherwise.idle_after = IdleAfter::Never;
    rig.set_homes("maize", &["engine-b"]);
    rig.set_listed_model(crate::support::ENGINE, "maize");
    rig.authority.homes.clear();
    rig.authority.surplus.insert(name("maize"));
    rig.engine.put("maize", 300);
    rig.run(Duration::from_secs(5));
    assert!(rig.engine.holds("maize"));
    rig.set_homes("maize", &["engine-b", "engine-c"]);
    rig.run(Duration::from_secs(5));
    assert!(!rig.engine.holds("maize"), "the rules do not allow a third replica");
}

/// An engine accepts an adapter load at once and reports it later. If the next order
/// did not carry the increased count, it would be refused and the second adapter's
/// callers would wait for another round.
#[test]
fn each_order_carries_the_accepted_count_that_the_engine_expects() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    let adapters = ["bern", "olten"];
    for adapter in adapters {
        rig.add_adapter("maize", adapter);
    }
    for _ in 0..20 {
        for adapter in adapters {
            rig.demand("entry-2", &format!("maize/{adapter}"), 1);
        }
        rig.run(Duration::from_millis(500));
    }
    let numbered: Vec<u64> = rig.expected_counts.iter().flatten().copied().collect();
    let expected: Vec<u64> = (0..numbered.len() as u64).collect();
    assert_eq!(numbered, expected);
    assert_eq!(numbered.len(), 3, "{:?}", rig.engine.done);
}

/// Nobody waits for a model without a copy, and requests for another model run. A
/// load from the weight store takes seconds, and the next request for a third model
/// would wait for its end.
#[test]
fn copies_are_not_fetched_while_requests_run() {
    let mut rig = Rig::sequential(&[("maize", 300), ("rye", 300)]);
    rig.engine.put("maize", 300);
    rig.engine.set_running("maize", 1);
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), [""; 0]);
    rig.engine.set_running("maize", 0);
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), ["rye"]);
}

/// An engine changes owner while it holds a model. The new owner may load only after
/// it has rewritten the homes. If the model counted as surplus until then, each
/// takeover would empty the engine, and callers of all its models would wait for
/// loads.
#[test]
fn models_stay_while_their_home_is_unconfirmed() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    rig.authority.homes.clear();
    rig.engine.put("maize", 300);
    rig.run(Duration::from_secs(1));
    assert!(rig.engine.holds("maize"), "{:?}", rig.notes);
}

/// There were no requests yet, and something must be evicted so that an engine can
/// fetch a copy. A model that other engines hold as well is likely in frequent use;
/// if it were evicted, its first callers would wait.
#[test]
fn a_copy_does_not_evict_a_model_held_by_several_engines() {
    let mut rig = Rig::sequential(&[("hot", 700), ("rare", 700)]);
    rig.engine.put("hot", 700);
    rig.engine.copies.on_disk.insert(name("hot"));
    rig.set_listed_model("engine-b", "hot");
    rig.set_listed_model("engine-a", "hot");
    rig.run(Duration::from_secs(4));
    let made_way = rig.notes.iter().any(|note| note.detail.contains("reason=memory"));
    assert!(!made_way, "{:?}", rig.notes);
}

/// An order gets no answer, and the engine restarts before its outcome is known. The
/// new incarnation counts its orders from zero, so the old order would be refused
/// for its count while it is in doubt, and callers of all models would wait until
/// then.
#[test]
fn an_order_in_doubt_is_not_resent_after_a_restart() {
    let mut rig = Rig::sequential(&[("rye", 300)]);
    rig.engine.accepted = Some(3);
    rig.deliveries = vec![Delivery::Delayed];
    rig.run_with_demand(Duration::from_millis(500), "entry-2", "rye", 1);
    assert_eq!(rig.delayed.len(), 1);
    rig.engine.restart();
    rig.run_with_demand(Duration::from_secs(3), "entry-2", "rye", 1);
    assert_eq!(loads(&rig), ["rye"], "{:?}", rig.notes);
}

/// Guards against polling thousands of unused engines, which costs time on both sides.
#[test]
fn a_quiescent_engine_is_polled_rarely() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    rig.run(Duration::from_secs(2));
    let before = rig.report_requests;
    rig.run(Duration::from_mins(1));
    let requests = rig.report_requests - before;
    assert!(requests <= 15, "{requests} report requests in a minute");
    rig.demand("entry-2", "maize", 1);
    rig.run(LOAD_TIME + Duration::from_secs(1));
    assert!(rig.shows("entry-2", "maize", "Ready"), "{:?}", rig.notes);
}
