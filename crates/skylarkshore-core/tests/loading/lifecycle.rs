//! The normal lifecycle of an engine and its models, from takeover to unload.

use std::time::Duration;

use crate::support::Rig;
use skylarkshore_core::rules::{IdleAfter, ServiceOrder};
use skylarkshore_core::upstream::Order;

#[test]
fn requests_at_nine_routers_start_one_load() {
    let mut rig = Rig::new(&[("maize", 600)]);
    for router in 1..=9 {
        rig.demand(&format!("entry-{router}"), "maize", 3);
    }
    rig.run_until("the ninth router receives the ready model", |rig| rig.shows("entry-9", "maize", "Ready"));
    assert_eq!(rig.engine.loads_of("maize"), 1);
    assert_eq!(rig.engine.done.first(), Some(&Order::RaiseFence));
    assert_eq!(rig.refusals(), Vec::<String>::new());
}

#[test]
fn an_idle_model_is_unloaded_only_after_its_last_request() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.demand("entry-2", "maize", 1);
    rig.run_until("the model is ready", |rig| rig.shows("entry-2", "maize", "Ready"));
    rig.engine.set_running("maize", 1);
    rig.run_with_demand(Duration::from_mins(1), "entry-2", "maize", 0);
    assert!(rig.engine.holds("maize"), "it was unloaded while a request ran");
    rig.engine.set_running("maize", 0);
    rig.run_until("routers receive the closing view", |rig| rig.shows("entry-2", "maize", "Closing"));
    let closing = rig.now;
    rig.run_until("it is unloaded", |rig| !rig.engine.holds("maize"));
    assert!(rig.now.since(closing) >= Duration::from_secs(2), "routers had no time to stop sending");
}

#[test]
fn adapters_of_one_base_model_load_it_once() {
    let mut rig = Rig::new(&[("maize", 600)]);
    for adapter in ["bern", "olten", "aarau"] {
        rig.add_adapter("maize", adapter);
        rig.demand("entry-2", &format!("maize/{adapter}"), 2);
    }
    for _ in 0..20 {
        for adapter in ["bern", "olten", "aarau"] {
            rig.demand("entry-2", &format!("maize/{adapter}"), 2);
        }
        rig.run(Duration::from_millis(500));
    }
    assert_eq!(rig.engine.loads_of("maize"), 1);
    let adapters = rig.engine.done.iter().filter(|order| matches!(order, Order::LoadAdapter { .. })).count();
    assert_eq!(adapters, 3);
    assert_eq!(rig.refusals(), Vec::<String>::new());
}

#[test]
fn a_new_version_replaces_the_old_one_once_its_requests_are_done() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.demand("entry-2", "maize", 1);
    rig.run_until("the model is ready", |rig| rig.shows("entry-2", "maize", "Ready"));
    rig.engine.set_running("maize", 1);
    for model in rig.document.catalogue.models.values_mut() {
        model.version = crate::support::name("v2");
    }
    rig.run_with_demand(Duration::from_secs(5), "entry-2", "maize", 1);
    assert!(rig.engine.holds("maize") && rig.shows("entry-2", "maize", "Closing"));
    rig.engine.set_running("maize", 0);
    rig.run_with_demand(Duration::from_secs(10), "entry-2", "maize", 1);
    assert!(rig.shows("entry-2", "maize", "Ready"));
    assert_eq!(rig.engine.loads_of("maize"), 2);
}

#[test]
fn a_load_evicts_idle_models_and_never_busy_ones() {
    let mut rig = Rig::new(&[("maize", 500), ("oats", 400), ("rye", 700)]);
    rig.document.rules.otherwise.idle_after = IdleAfter::Never;
    for model in ["maize", "oats"] {
        rig.run_with_demand(Duration::from_secs(6), "entry-2", model, 1);
        rig.demand("entry-2", model, 0);
    }
    rig.engine.set_running("oats", 1);
    rig.run(Duration::from_secs(1));
    rig.run_with_demand(Duration::from_secs(10), "entry-3", "rye", 1);
    assert!(
        rig.engine.holds("oats") && rig.engine.holds("maize"),
        "evicting only one frees too little memory"
    );
    rig.engine.set_running("oats", 0);
    rig.run_with_demand(Duration::from_secs(10), "entry-3", "rye", 1);
    assert!(!rig.engine.holds("oats") && rig.engine.holds("rye"));
}

#[test]
fn demand_that_cannot_be_met_in_time_is_refused_immediately() {
    let mut rig = Rig::new(&[("maize", 600)]);
    rig.run(Duration::from_secs(1));
    rig.demand_with("entry-2", "maize", 1, ServiceOrder::default(), Duration::from_secs(1));
    rig.demand("entry-2", "unknown", 1);
    assert_eq!(rig.refusals(), ["maize TooSlow", "unknown NotOwner"]);
    rig.run(Duration::from_secs(6));
    assert!(rig.shows("entry-2", "maize", "Ready"), "a retry finds the model ready");
}

/// Every host subscribes to a model that is in use everywhere. If each change of
/// load were sent to all of them, an owner at target size would spend three times
/// the control budget, and its messages would delay others.
#[test]
fn load_updates_are_sent_less_often_to_more_subscribers() {
    let mut rig = Rig::new(&[("maize", 600)]);
    for router in 0..200 {
        rig.demand(&format!("entry-{router}"), "maize", 1);
    }
    rig.run_until("the last router receives the ready model", |rig| rig.shows("entry-199", "maize", "Ready"));
    let before = rig.views_sent();
    for second in 0..40 {
        rig.engine.set_running("maize", 1 + second % 3);
        rig.run(Duration::from_secs(1));
    }
    let sent = rig.views_sent() - before;
    assert!(sent <= 40 * 20 + 200, "{sent} views in 40 s");
}

/// An engine swaps rarely used models by turns. If each swap were sent to the
/// subscribers of all its models, the messages would overload a large fleet.
#[test]
fn a_swap_is_published_to_subscribers_of_the_changed_models() {
    let mut rig = Rig::new(&[("maize", 500), ("oats", 400), ("rye", 400)]);
    rig.document.rules.otherwise.idle_after = IdleAfter::Never;
    for (router, model) in [("entry-1", "maize"), ("entry-2", "oats")] {
        rig.run_with_demand(Duration::from_secs(6), router, model, 1);
        rig.demand(router, model, 0);
    }
    rig.engine.set_running("maize", 1);
    rig.run(Duration::from_secs(2));
    let before = rig.views_sent_to("entry-1");
    rig.run_with_demand(Duration::from_secs(10), "entry-3", "rye", 1);
    assert!(rig.shows("entry-3", "rye", "Ready") && !rig.engine.holds("oats"));
    assert!(rig.views_sent_to("entry-2") > 0 && !rig.shows("entry-2", "oats", "Ready"));
    assert_eq!(rig.views_sent_to("entry-1"), before);
}
