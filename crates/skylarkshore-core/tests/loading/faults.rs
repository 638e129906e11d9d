//! Lost, late and doubled orders, and engines that begin a new life.

use std::time::Duration;

use skylarkshore_core::time::Time;
use skylarkshore_core::units::Watts;

use crate::support::{ACTIVE, Fate, Rig};

/// The answer to a load gets lost, and the order itself is held up somewhere on
/// its way. If its memory were given to another model meanwhile, both would end
/// up on the engine, and users would see requests die for want of memory.
#[test]
fn memory_stays_reserved_until_a_lost_order_is_settled() {
    let mut rig = Rig::new(&[("maize", 600), ("rye", 600)]);
    // Every copy of the order is held up, and its sender gives up.
    rig.fates = vec![Fate::Held; 40];
    rig.want("entry-2", "maize", 1);
    rig.run(Duration::from_secs(3));
    assert!(!rig.held.is_empty(), "the order was sent");
    rig.want("entry-2", "maize", 0);
    rig.fates.clear();
    rig.run_wanting(Duration::from_secs(20), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 0, "its memory may still be taken by the held order");
    // The fake engine fails the test if this overcommits its memory.
    rig.release_held();
    rig.run_wanting(Duration::from_mins(1), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 1, "an idle model makes room once its order is settled");
}

/// The engine carried a load out, but the answer got lost. The order is given
/// again, which changes nothing, and callers wait no longer than without it.
#[test]
fn a_load_whose_answer_was_lost_becomes_ready_all_the_same() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.fates = vec![Fate::AnswerLost];
    rig.want("entry-2", "maize", 1);
    rig.run_until("the model is ready", |rig| rig.shows("entry-2", "maize", "Ready"));
    rig.want("entry-2", "maize", 0);
    rig.run(Duration::from_secs(2));
    assert!(rig.notes.iter().any(|note| note.event == "order_lost"));
    assert!(!rig.notes.iter().any(|note| note.event == "load_failed"));
}

/// A report that doesn't name settled orders proves nothing about a late one
/// until enough time has passed; memory that is freed too early would be
/// overcommitted by it.
#[test]
fn an_engine_that_names_no_orders_frees_their_memory_only_after_a_while() {
    let mut rig = Rig::new(&[("maize", 600), ("rye", 600)]);
    rig.engine.reports_finished_orders = false;
    rig.fates = vec![Fate::Held];
    rig.want("entry-2", "maize", 1);
    rig.run(Duration::from_secs(1) / 4);
    rig.want("entry-2", "maize", 0);
    rig.run_wanting(Duration::from_secs(25), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 0);
    rig.run_wanting(Duration::from_secs(10), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 1);
}

/// The engine restarts in the middle of a load and has forgotten it. Callers
/// would wait for ever for a model that nobody loads.
#[test]
fn a_load_begins_again_when_the_engine_restarts_in_its_middle() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.want("entry-2", "maize", 1);
    rig.run(Duration::from_secs(2));
    assert!(rig.engine.holds("maize"));
    rig.engine.restart();
    rig.run_wanting(Duration::from_secs(8), "entry-2", "maize", 1);
    assert!(rig.shows("entry-2", "maize", "Ready"), "{:#?}", rig.notes);
    assert_eq!(rig.engine.loads_of("maize"), 2);
    assert!(rig.notes.iter().any(|note| note.event == "engine_restarted"));
}

/// The former owner froze with an order on its way to an engine that obeys
/// everybody. When it arrives, there has to be room for it, or the engine runs
/// out of memory in the middle of its requests.
#[test]
fn room_is_kept_for_a_late_order_of_the_former_owner() {
    let mut rig = Rig::taking_over(&[("maize", 500), ("oats", 300), ("rye", 600)], Time::NEVER);
    rig.run_wanting(Duration::from_secs(10), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 0, "rye may be on its way, and both don't fit");
    rig.run_wanting(Duration::from_secs(10), "entry-2", "oats", 1);
    assert_eq!(rig.engine.loads_of("oats"), 1, "oats fits beside whatever comes");
    rig.run_wanting(Duration::from_secs(40), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "nothing unexpected came for long enough");
}

/// The site's power is granted to other engines. Waking this one would draw
/// past the cap, and a fuse would end everybody's requests.
#[test]
fn nothing_is_loaded_beyond_the_granted_power() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.authority.granted = Watts(ACTIVE.0 - 1);
    rig.run_wanting(Duration::from_secs(10), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 0);
    rig.with(|loading, _, _| {
        use skylarkshore_core::authority::EngineUse;
        let lacks = loading.power_shortfall(&crate::support::name(crate::support::ENGINE));
        assert_eq!(lacks.map(|(watts, _)| watts), Some(Watts(1)));
    });
    rig.authority.granted = ACTIVE;
    rig.run_wanting(Duration::from_secs(5), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1);
}

/// The process that keeps the weight store's gate is cut off. Callers of a cold
/// model would wait until their time runs out if loads waited for its word.
#[test]
fn a_cold_start_does_not_wait_for_a_gate_that_is_away() {
    let mut rig = Rig::new(&[("maize", 300), ("oats", 300), ("rye", 300)]);
    rig.gate_away = true;
    rig.want("entry-2", "maize", 1);
    rig.want("entry-2", "oats", 1);
    rig.want("entry-2", "rye", 1);
    rig.run_until("the first load begins", |rig| rig.engine.loads_of("maize") == 1);
    assert!(rig.now < Time::from_millis(2000), "it waited {} for the gate", rig.now);
    for model in ["maize", "oats", "rye"] {
        rig.want("entry-2", model, 1);
    }
    rig.run(Duration::from_secs(1) / 2);
    let begun = ["maize", "oats", "rye"].iter().filter(|model| rig.engine.holds(model)).count();
    assert_eq!(begun, 1, "without the gate, a process makes one load at a time");
}
