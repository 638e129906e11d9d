//! Lost, late and duplicate orders, engine restarts, missing power and an unreachable gate.

use std::time::Duration;

use skylarkshore_core::time::Time;
use skylarkshore_core::units::Watts;

use crate::support::{ACTIVE, Delivery, Rig};

/// The answer to a load is lost and the order itself is delayed. If its memory were
/// given to another model, both could end up on the engine, and requests would fail
/// for lack of memory.
#[test]
fn memory_stays_reserved_until_a_lost_order_is_settled() {
    let mut rig = Rig::new(&[("maize", 600), ("rye", 600)]);
    // Every copy of the order is delayed, and its sender gives up.
    rig.deliveries = vec![Delivery::Delayed; 40];
    rig.demand("entry-2", "maize", 1);
    rig.run(Duration::from_secs(3));
    assert!(!rig.delayed.is_empty(), "the order was sent");
    rig.demand("entry-2", "maize", 0);
    rig.deliveries.clear();
    rig.run_with_demand(Duration::from_secs(20), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 0, "the delayed order may still take its memory");
    // The fake engine fails the test if this overcommits its memory.
    rig.deliver_delayed();
    rig.run_with_demand(Duration::from_mins(1), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 1, "an idle model is evicted once its order is settled");
}

/// The engine executed a load, but the answer was lost. The order is resent, which
/// has no effect, and callers do not wait longer.
#[test]
fn a_load_whose_answer_was_lost_becomes_ready() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.deliveries = vec![Delivery::AnswerLost];
    rig.demand("entry-2", "maize", 1);
    rig.run_until("the model is ready", |rig| rig.shows("entry-2", "maize", "Ready"));
    rig.demand("entry-2", "maize", 0);
    rig.run(Duration::from_secs(2));
    assert!(rig.notes.iter().any(|note| note.event == "order_lost"));
    assert!(!rig.notes.iter().any(|note| note.event == "load_failed"));
}

/// A report without order numbers does not settle a late order until the settle time
/// has passed. Memory freed earlier would be overcommitted by that order.
#[test]
fn without_settled_order_numbers_memory_is_freed_only_after_the_settle_time() {
    let mut rig = Rig::new(&[("maize", 600), ("rye", 600)]);
    rig.engine.reports_finished_orders = false;
    rig.deliveries = vec![Delivery::Delayed];
    rig.demand("entry-2", "maize", 1);
    rig.run(Duration::from_secs(1) / 4);
    rig.demand("entry-2", "maize", 0);
    rig.run_with_demand(Duration::from_secs(25), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 0);
    rig.run_with_demand(Duration::from_secs(10), "entry-3", "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 1);
}

/// The engine restarts during a load and loses it. Without a new load, callers would wait forever.
#[test]
fn a_load_interrupted_by_an_engine_restart_is_started_again() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.demand("entry-2", "maize", 1);
    rig.run(Duration::from_secs(2));
    assert!(rig.engine.holds("maize"));
    rig.engine.restart();
    rig.run_with_demand(Duration::from_secs(8), "entry-2", "maize", 1);
    assert!(rig.shows("entry-2", "maize", "Ready"), "{:#?}", rig.notes);
    assert_eq!(rig.engine.loads_of("maize"), 2);
    assert!(rig.notes.iter().any(|note| note.event == "engine_restarted"));
}

/// The former owner was paused with an order in flight to an engine that ignores
/// fences. Memory must be reserved for it, or the engine runs out of memory while it
/// serves requests.
#[test]
fn memory_is_reserved_for_a_late_order_of_the_former_owner() {
    let mut rig = Rig::taking_over(&[("maize", 500), ("oats", 300), ("rye", 600)], Time::NEVER);
    rig.run_with_demand(Duration::from_secs(10), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 0, "a late load of rye may arrive, and both do not fit");
    rig.run_with_demand(Duration::from_secs(10), "entry-2", "oats", 1);
    assert_eq!(rig.engine.loads_of("oats"), 1, "oats fits beside any late load");
    rig.run_with_demand(Duration::from_secs(40), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "no unexpected model appeared for the settle time");
}

/// The site's power is granted to other engines. Waking this one would exceed the
/// cap, and a blown fuse would end all requests.
#[test]
fn nothing_is_loaded_beyond_the_granted_power() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.authority.granted = Watts(ACTIVE.0 - 1);
    rig.run_with_demand(Duration::from_secs(10), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 0);
    rig.with(|loading, _, _| {
        use skylarkshore_core::authority::EngineUse;
        let power_shortfall = loading.power_shortfall(&crate::support::name(crate::support::ENGINE));
        assert_eq!(power_shortfall.map(|(watts, _)| watts), Some(Watts(1)));
    });
    rig.authority.granted = ACTIVE;
    rig.run_with_demand(Duration::from_secs(5), "entry-2", "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1);
}

/// The host of the weight-store gate is unreachable. If loads waited for its grant,
/// callers of an unloaded model would time out.
#[test]
fn a_cold_start_does_not_wait_for_an_unreachable_gate() {
    let mut rig = Rig::new(&[("maize", 300), ("oats", 300), ("rye", 300)]);
    rig.drop_gate_messages = true;
    rig.demand("entry-2", "maize", 1);
    rig.demand("entry-2", "oats", 1);
    rig.demand("entry-2", "rye", 1);
    rig.run_until("the first load starts", |rig| rig.engine.loads_of("maize") == 1);
    assert!(rig.now < Time::from_millis(2000), "it waited {} for the gate", rig.now);
    for model in ["maize", "oats", "rye"] {
        rig.demand("entry-2", model, 1);
    }
    rig.run(Duration::from_secs(1) / 2);
    let started = ["maize", "oats", "rye"].iter().filter(|model| rig.engine.holds(model)).count();
    assert_eq!(started, 1, "without the gate, a process runs one load at a time");
}
