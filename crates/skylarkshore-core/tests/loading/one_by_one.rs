//! Engines that number their orders and carry them out one at a time.

use std::time::Duration;

use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::{IdleAfter, ServiceOrder};
use skylarkshore_core::upstream::Order;
use skylarkshore_core::view::Readiness;

use crate::support::{Fate, LOAD_TIME, Rig, name, target};

const PATIENT: Duration = Duration::from_secs(20);

fn loads(rig: &Rig) -> Vec<String> {
    let model = |order: &Order| match order {
        Order::Load { model, .. } => Some(model.to_string()),
        _ => None,
    };
    rig.engine.done.iter().filter_map(model).collect()
}

/// Callers of many rarely used models come one by one, each more urgent than the
/// twenty that wait for one model. Were the urgent ones always let past, the
/// twenty would run into their deadlines although a load takes seconds.
#[test]
fn a_model_that_many_wait_for_goes_before_single_requests_of_a_more_urgent_order() {
    let mut rig = Rig::one_by_one(&[("hot", 300), ("r0", 300), ("r1", 300), ("r2", 300)]);
    rig.want_with("entry-2", "r0", 1, ServiceOrder(60), PATIENT);
    rig.run(Duration::from_secs(1));
    for _ in 0..10 {
        rig.want_with("entry-2", "hot", 20, ServiceOrder(80), PATIENT);
        for rare in ["r1", "r2"] {
            rig.want_with("entry-3", rare, 1, ServiceOrder(60), PATIENT);
        }
        rig.run(Duration::from_millis(500));
    }
    assert_eq!(loads(&rig)[..2], ["r0", "hot"]);
}

/// A model waits behind the load of another one. An owner that told only the
/// model's own load time would promise again and again that it is nearly there;
/// routers would keep their callers waiting for it and ask nobody else.
#[test]
fn a_router_is_told_the_time_that_the_loads_ahead_take_too() {
    let mut rig = Rig::one_by_one(&[("maize", 300), ("rye", 300)]);
    rig.want("entry-2", "maize", 1);
    rig.run(Duration::from_secs(1));
    assert_eq!(loads(&rig), ["maize"]);
    rig.want("entry-3", "rye", 1);
    rig.run(Duration::from_millis(100));
    let views = rig.told.iter().rev().filter(|envelope| envelope.to.as_str() == "entry-3");
    let mut remaining = views.filter_map(|envelope| match &envelope.message {
        PeerMessage::View(view) => view.models.iter().find(|seen| seen.model.as_str() == "rye").cloned(),
        _ => None,
    });
    let told = remaining.next().expect("the router hears of the model").readiness;
    let Readiness::Loading { remaining } = told else { panic!("{told:?}") };
    assert!(remaining > LOAD_TIME + LOAD_TIME / 2, "{remaining:?}");
}

/// An engine is busy for longer than a caller likes to wait, and another home of
/// the model may be idle. The router has to hear it at once; callers would
/// otherwise wait behind somebody else's load while an engine stands idle.
#[test]
fn an_owner_that_would_take_longer_than_callers_like_says_so() {
    let mut rig = Rig::one_by_one(&[("maize", 300), ("rye", 300)]);
    rig.set_homes("rye", &["engine-b", "engine-a"]);
    rig.want("entry-2", "maize", 1);
    rig.run(Duration::from_secs(1));
    let wanted = |aim| PeerMessage::Wanted {
        target: target("rye"),
        waiting: 1,
        order: ServiceOrder::default(),
        max_wait: PATIENT,
        soft_deadline: aim,
    };
    rig.hear(&name("entry-3"), &wanted(Some(Duration::from_secs(3))));
    assert_eq!(rig.refusals(), ["rye Busy"]);
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), ["maize"], "nobody here was asked to take it on");
    // Asked without an aim, it takes it on whatever it takes.
    rig.hear(&name("entry-3"), &wanted(None));
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), ["maize", "rye"]);
}

/// Engines hold models before the first homes are written. An owner that let go
/// of every model without a home would empty them all, and each would be loaded
/// again seconds later while callers wait.
#[test]
fn models_that_an_engine_holds_stay_until_homes_are_written() {
    let mut rig = Rig::one_by_one(&[("maize", 300)]);
    rig.clear_homes("maize");
    rig.authority.homes.clear();
    rig.engine.put("maize", 300);
    rig.run(Duration::from_secs(20));
    assert!(rig.engine.holds("maize"));
}

/// Homes were given out before an engine was listed; what it holds, perhaps as
/// the only one, would be unloaded before it becomes a home.
#[test]
fn what_an_engine_holds_from_before_stays_while_there_may_be_another_home() {
    let mut rig = Rig::one_by_one(&[("maize", 300)]);
    rig.document.rules.otherwise.replicas_max = 2;
    rig.document.rules.otherwise.idle_after = IdleAfter::Never;
    rig.set_homes("maize", &["engine-b"]);
    rig.set_held(crate::support::ENGINE, "maize");
    rig.authority.homes.clear();
    rig.authority.surplus.insert(name("maize"));
    rig.engine.put("maize", 300);
    rig.run(Duration::from_secs(5));
    assert!(rig.engine.holds("maize"));
    rig.set_homes("maize", &["engine-b", "engine-c"]);
    rig.run(Duration::from_secs(5));
    assert!(!rig.engine.holds("maize"), "the rules allow no third one");
}

/// An engine takes an adapter's load at once and shows it in its reports only
/// later. The next one's number has to follow on it all the same, or it is
/// refused, and callers of the second adapter wait for another round.
#[test]
fn each_order_carries_the_number_that_the_engine_expects() {
    let mut rig = Rig::one_by_one(&[("maize", 300)]);
    let adapters = ["bern", "olten"];
    for adapter in adapters {
        rig.add_adapter("maize", adapter);
    }
    for _ in 0..20 {
        for adapter in adapters {
            rig.want("entry-2", &format!("maize/{adapter}"), 1);
        }
        rig.run(Duration::from_millis(500));
    }
    let numbered: Vec<u64> = rig.numbers.iter().flatten().copied().collect();
    let expected: Vec<u64> = (0..numbered.len() as u64).collect();
    assert_eq!(numbered, expected);
    assert_eq!(numbered.len(), 3, "{:?}", rig.engine.done);
}

/// Nobody waits for a model of which the engine has no copy yet, and requests
/// for another one run. A load from the weight store takes seconds, and the next
/// request for a third model would have to wait for its end.
#[test]
fn copies_are_not_fetched_while_requests_run() {
    let mut rig = Rig::one_by_one(&[("maize", 300), ("rye", 300)]);
    rig.engine.put("maize", 300);
    rig.engine.set_running("maize", 1);
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), [""; 0]);
    rig.engine.set_running("maize", 0);
    rig.run(Duration::from_secs(10));
    assert_eq!(loads(&rig), ["rye"]);
}

/// An engine changes hands while it holds a model. Its new owner may load there
/// only once it has written the homes anew, which takes a moment. Were the model
/// taken for homeless until then, each take-over would empty the engine, and
/// callers of all its models would wait for loads.
#[test]
fn models_stay_while_their_home_is_not_confirmed_yet() {
    let mut rig = Rig::one_by_one(&[("maize", 300)]);
    rig.authority.homes.clear();
    rig.engine.put("maize", 300);
    rig.run(Duration::from_secs(1));
    assert!(rig.engine.holds("maize"), "{:?}", rig.notes);
}

/// Nothing has been asked for yet, and an engine is to fetch a copy of a model
/// for which something has to make way. What other engines hold as well is asked
/// for often; if it went, the first callers would wait for it.
#[test]
fn a_copy_takes_no_place_from_a_model_that_many_engines_hold() {
    let mut rig = Rig::one_by_one(&[("hot", 700), ("rare", 700)]);
    rig.engine.put("hot", 700);
    rig.engine.copies.on_disk.insert(name("hot"));
    rig.set_held("engine-b", "hot");
    rig.set_held("engine-a", "hot");
    rig.run(Duration::from_secs(4));
    let made_way = rig.notes.iter().any(|note| note.detail.contains("reason=memory"));
    assert!(!made_way, "{:?}", rig.notes);
}

/// An order gets no answer, and the engine crashes and is back before anybody
/// knows what became of it. The new life counts its orders from zero. If the old
/// order were sent again, it would be refused for its number for as long as it is
/// in doubt, and callers of all models would wait until then.
#[test]
fn an_order_in_doubt_dies_with_the_life_that_it_was_meant_for() {
    let mut rig = Rig::one_by_one(&[("rye", 300)]);
    rig.engine.accepted = Some(3);
    rig.fates = vec![Fate::Held];
    rig.run_wanting(Duration::from_millis(500), "entry-2", "rye", 1);
    assert_eq!(rig.held.len(), 1);
    rig.engine.restart();
    rig.run_wanting(Duration::from_secs(3), "entry-2", "rye", 1);
    assert_eq!(loads(&rig), ["rye"], "{:?}", rig.notes);
}

/// Guards against questions to thousands of engines that nobody uses, each of
/// which takes their time and the host's.
#[test]
fn an_engine_at_rest_is_seldom_asked_how_it_stands() {
    let mut rig = Rig::one_by_one(&[("maize", 300)]);
    rig.run(Duration::from_secs(2));
    let before = rig.reports_asked;
    rig.run(Duration::from_mins(1));
    let asked = rig.reports_asked - before;
    assert!(asked <= 15, "{asked} questions in a minute");
    rig.want("entry-2", "maize", 1);
    rig.run(LOAD_TIME + Duration::from_secs(1));
    assert!(rig.shows("entry-2", "maize", "Ready"), "{:?}", rig.notes);
}
