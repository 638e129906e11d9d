//! Engines that restart under the same name.

use std::time::Duration;

use crate::support::{Delivery, Rig, name};

/// An engine restarts without its models, and a report requested before the restart
/// arrives last. If it were applied, requests would be sent to a model that is gone,
/// and nothing would load it again.
#[test]
fn a_report_from_a_previous_incarnation_is_ignored() {
    let mut rig = Rig::sequential(&[("rye", 300)]);
    rig.engine.put("rye", 300);
    rig.run_with_demand(Duration::from_secs(1), "entry-2", "rye", 1);
    assert!(rig.shows("entry-2", "rye", "Ready"));
    let old = rig.engine.report(rig.now);
    rig.engine.restart();
    rig.run(Duration::from_secs(1));
    rig.receive_report(&old);
    rig.demand("entry-2", "rye", 1);
    assert!(!rig.shows("entry-2", "rye", "Ready"));
    rig.run_with_demand(Duration::from_secs(6), "entry-2", "rye", 1);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// The host list shows a new incarnation that has not sent a report yet. Orders
/// based on the previous one would carry its order counts and be refused one after
/// another while callers wait.
#[test]
fn no_order_is_based_on_the_previous_incarnation() {
    let mut rig = Rig::sequential(&[("rye", 300)]);
    rig.engine.accepted = Some(5);
    rig.engine.copies.on_disk.insert(name("rye"));
    rig.run(Duration::from_secs(1));
    let old = rig.engine.report(rig.now);
    rig.engine.up = false;
    rig.engine.restart();
    rig.set_listed_incarnation(rig.engine.incarnation);
    rig.run(Duration::from_millis(100));
    rig.receive_report(&old);
    rig.run_with_demand(Duration::from_millis(500), "entry-2", "rye", 1);
    assert!(rig.expected_counts.iter().flatten().next().is_none(), "{:?}", rig.expected_counts);
    rig.engine.up = true;
    rig.run_with_demand(Duration::from_secs(6), "entry-2", "rye", 1);
    assert_eq!(rig.expected_counts.iter().flatten().next(), Some(&0));
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// A load is delayed without an answer, and the engine restarts under the same name
/// with the order count that the load expects. If its memory were given to another
/// model, the late load would overcommit the engine and crash it again.
#[test]
fn a_load_sent_to_a_previous_incarnation_keeps_its_memory_reserved() {
    let mut rig = Rig::sequential(&[("rye", 600), ("oat", 600)]);
    rig.engine.copies.on_disk.extend([name("rye"), name("oat")]);
    rig.deliveries = vec![Delivery::Delayed];
    rig.run_with_demand(Duration::from_millis(500), "entry-2", "rye", 1);
    assert_eq!(rig.delayed.len(), 1);
    rig.engine.restart();
    rig.set_listed_incarnation(rig.engine.incarnation);
    rig.demand("entry-2", "rye", 0);
    rig.run_with_demand(Duration::from_secs(3), "entry-2", "oat", 1);
    rig.deliver_delayed();
    rig.run_with_demand(Duration::from_secs(30), "entry-2", "oat", 1);
    assert!(rig.engine.holds("oat"), "{:?}", rig.notes);
}

/// The same model is requested again. Its own reserved memory is available to the
/// new load, because a second load of a loaded model has no effect.
#[test]
fn a_model_is_loaded_again_while_an_earlier_load_is_in_doubt() {
    let mut rig = Rig::sequential(&[("rye", 600)]);
    rig.deliveries = vec![Delivery::Delayed];
    rig.run_with_demand(Duration::from_millis(500), "entry-2", "rye", 1);
    rig.engine.restart();
    rig.run_with_demand(Duration::from_secs(3), "entry-2", "rye", 1);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// The engine crashes during a load. The model must be loaded again at once: its
/// callers have waited long enough, and the load itself did not fail.
#[test]
fn a_load_ended_by_a_restart_does_not_count_as_failed() {
    let mut rig = Rig::sequential(&[("rye", 300)]);
    rig.run_with_demand(Duration::from_secs(1), "entry-2", "rye", 1);
    rig.engine.restart();
    rig.run_with_demand(Duration::from_secs(6), "entry-2", "rye", 1);
    assert!(!rig.notes.iter().any(|note| note.event == "load_failed"), "{:?}", rig.notes);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}
