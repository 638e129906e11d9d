//! Engines that begin another life under the same name.

use std::time::Duration;

use crate::support::{Fate, Rig, name};

/// An engine holds a model, crashes and is back under its name with nothing.
/// Reports that were under way before tell of the model once more. If the last
/// one to come were believed, callers would be sent to a model that is gone, be
/// refused there, and nothing would load it.
#[test]
fn a_report_of_a_former_life_is_not_believed_again() {
    let mut rig = Rig::one_by_one(&[("rye", 300)]);
    rig.engine.put("rye", 300);
    rig.run_wanting(Duration::from_secs(1), "entry-2", "rye", 1);
    assert!(rig.shows("entry-2", "rye", "Ready"));
    let old = rig.engine.report(rig.now);
    rig.engine.restart();
    rig.run(Duration::from_secs(1));
    rig.report(&old);
    rig.want("entry-2", "rye", 1);
    assert!(!rig.shows("entry-2", "rye", "Ready"));
    rig.run_wanting(Duration::from_secs(6), "entry-2", "rye", 1);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// The list tells of an engine's new life, and no report has come of it yet.
/// Were orders planned by what the former life held, they would bear its numbers
/// and be refused one after the other, while callers wait.
#[test]
fn nothing_is_ordered_by_what_a_former_life_held() {
    let mut rig = Rig::one_by_one(&[("rye", 300)]);
    rig.engine.accepted = Some(5);
    rig.engine.copies.on_disk.insert(name("rye"));
    rig.run(Duration::from_secs(1));
    let old = rig.engine.report(rig.now);
    rig.engine.up = false;
    rig.engine.restart();
    rig.set_listed_life(rig.engine.incarnation);
    rig.run(Duration::from_millis(100));
    rig.report(&old);
    rig.run_wanting(Duration::from_millis(500), "entry-2", "rye", 1);
    assert!(rig.numbers.iter().flatten().next().is_none(), "{:?}", rig.numbers);
    rig.engine.up = true;
    rig.run_wanting(Duration::from_secs(6), "entry-2", "rye", 1);
    assert_eq!(rig.numbers.iter().flatten().next(), Some(&0));
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// A load gets no answer and is held up on its way; the engine begins a new life
/// under the same name, whose count of orders is just the one that the load
/// expects. If its memory were given to another model, the engine would hold more
/// than it can and crash again.
#[test]
fn a_load_meant_for_a_former_life_keeps_its_memory() {
    let mut rig = Rig::one_by_one(&[("rye", 600), ("oat", 600)]);
    rig.engine.copies.on_disk.extend([name("rye"), name("oat")]);
    rig.fates = vec![Fate::Held];
    rig.run_wanting(Duration::from_millis(500), "entry-2", "rye", 1);
    assert_eq!(rig.held.len(), 1);
    rig.engine.restart();
    rig.set_listed_life(rig.engine.incarnation);
    rig.want("entry-2", "rye", 0);
    rig.run_wanting(Duration::from_secs(3), "entry-2", "oat", 1);
    rig.release_held();
    rig.run_wanting(Duration::from_secs(30), "entry-2", "oat", 1);
    assert!(rig.engine.holds("oat"), "{:?}", rig.notes);
}

/// The same load is wanted again by those who still wait. Its own memory isn't
/// kept from it: a second load of a model that is there changes nothing.
#[test]
fn a_model_is_loaded_again_although_a_former_load_may_come() {
    let mut rig = Rig::one_by_one(&[("rye", 600)]);
    rig.fates = vec![Fate::Held];
    rig.run_wanting(Duration::from_millis(500), "entry-2", "rye", 1);
    rig.engine.restart();
    rig.run_wanting(Duration::from_secs(3), "entry-2", "rye", 1);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// A load is in progress when the engine crashes. The model has to be loaded
/// anew at once: its callers have waited long enough, and nothing speaks against
/// the load itself.
#[test]
fn a_load_that_ended_with_its_life_does_not_count_as_failed() {
    let mut rig = Rig::one_by_one(&[("rye", 300)]);
    rig.run_wanting(Duration::from_secs(1), "entry-2", "rye", 1);
    rig.engine.restart();
    rig.run_wanting(Duration::from_secs(6), "entry-2", "rye", 1);
    assert!(!rig.notes.iter().any(|note| note.event == "load_failed"), "{:?}", rig.notes);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}
