//! How long models stay loaded, and which are prewarmed.

use std::time::Duration;

use skylarkshore_core::rules::IdleAfter;

use crate::support::Rig;

/// Uses the model briefly, and waits for it if it is not ready.
fn use_once(rig: &mut Rig, model: &str) {
    rig.demand("entry-2", model, 1);
    rig.run_until("the model is ready", |rig| rig.shows("entry-2", model, "Ready"));
    rig.engine.set_running(model, 1);
    rig.run(Duration::from_secs(1));
    rig.engine.set_running(model, 0);
    rig.demand("entry-2", model, 0);
}

#[test]
fn a_model_used_at_regular_intervals_is_prewarmed_and_not_kept_between_uses() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.document.rules.otherwise.cold_start_weight = 60;
    for _ in 0..6 {
        use_once(&mut rig, "maize");
        rig.run_with_demand(Duration::from_mins(30), "entry-2", "maize", 0);
    }
    use_once(&mut rig, "maize");
    rig.run_with_demand(Duration::from_mins(15), "entry-2", "maize", 0);
    assert!(!rig.engine.holds("maize"), "it is kept although its next use is not expected soon");
    rig.run_with_demand(Duration::from_mins(15), "entry-2", "maize", 0);
    assert!(rig.engine.holds("maize"), "its next use is expected soon");
}

#[test]
fn a_model_stays_between_the_requests_of_a_burst() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.document.rules.otherwise.cold_start_weight = 5;
    for _ in 0..3 {
        for _ in 0..6 {
            use_once(&mut rig, "maize");
            rig.run_with_demand(Duration::from_secs(15), "entry-2", "maize", 0);
        }
        rig.run_with_demand(Duration::from_mins(40), "entry-2", "maize", 0);
        assert!(!rig.engine.holds("maize"));
    }
    assert_eq!(rig.engine.loads_of("maize"), 3);
}

#[test]
fn a_fixed_idle_time_is_respected() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.document.rules.otherwise.idle_after = IdleAfter::Fixed(Duration::from_mins(5));
    use_once(&mut rig, "maize");
    rig.run(Duration::from_secs(290));
    assert!(rig.engine.holds("maize"));
    rig.run(Duration::from_secs(20));
    assert!(!rig.engine.holds("maize"));
}
