//! Engines that begin another life under the same name.

use std::time::Duration;

use crate::support::{Delivery, Rig, name};

/// An engine holds a model, crashes and is back under its name with nothing.
/// Reports that were under way before tell of the model once more. If the last
/// one to come were believed, callers would be sent to a model that is gone, be
/// refused there, and nothing would load it.
#[test]
fn a_report_from_a_previous_incarnation_is_ignored() {
    let mut rig = Rig::sequential(&[("rye", 300)]);
    rig.engine.insert_model("rye", 300);
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

/// The list tells of an engine's new life, and no report has come of it yet.
/// Were orders planned by what the former life held, they would bear its numbers
/// and be refused one after the other, while callers wait.
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

/// A load gets no answer and is held up on its way; the engine begins a new life
/// under the same name, whose count of orders is just the one that the load
/// expects. If its memory were given to another model, the engine would hold more
/// than it can and crash again.
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

/// The same load is wanted again by those who still wait. Its own memory isn't
/// kept from it: a second load of a model that is there changes nothing.
#[test]
fn a_model_is_loaded_again_while_an_earlier_load_is_in_doubt() {
    let mut rig = Rig::sequential(&[("rye", 600)]);
    rig.deliveries = vec![Delivery::Delayed];
    rig.run_with_demand(Duration::from_millis(500), "entry-2", "rye", 1);
    rig.engine.restart();
    rig.run_with_demand(Duration::from_secs(3), "entry-2", "rye", 1);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// A load is in progress when the engine crashes. The model has to be loaded
/// anew at once: its callers have waited long enough, and nothing speaks against
/// the load itself.
#[test]
fn a_load_ended_by_a_restart_does_not_count_as_failed() {
    let mut rig = Rig::sequential(&[("rye", 300)]);
    rig.run_with_demand(Duration::from_secs(1), "entry-2", "rye", 1);
    rig.engine.restart();
    rig.run_with_demand(Duration::from_secs(6), "entry-2", "rye", 1);
    assert!(!rig.notes.iter().any(|note| note.event == "load_failed"), "{:?}", rig.notes);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}
