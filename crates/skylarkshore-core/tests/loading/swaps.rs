//! Swaps of models that are on an engine's own disk, and what callers are told of them.

use std::time::Duration;

use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::Order;

use crate::support::{LOAD_TIME, Rig, TICK, name};

const COPY_LOAD_TIME: Duration = Duration::from_millis(500);
const LONG_WAIT: Duration = Duration::from_secs(8);

/// An engine unloads a model to make room for one that callers wait for, and its
/// reports tell of the end only later, here never. If the load waited for a
/// report, every caller of a rarely used model would wait some tenths of a second
/// longer than the swap takes, and the engine would make a third fewer swaps.
#[test]
fn a_load_follows_its_unload_without_waiting_for_a_report() {
    let models = [("maize", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_millis(120);
    for model in ["maize", "rye", "oat"] {
        rig.engine.insert_model(model, 300);
    }
    rig.run(Duration::from_secs(1));
    rig.drop_reports = true;
    rig.demand("entry-2", "spelt", 1);
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.engine.loads_of("spelt"), 1, "{:?} {:?}", rig.engine.executed, rig.notes);
}

/// The same with requests that run on for a while on the model that leaves. Each
/// try that comes too early is refused; the load must neither count as failed nor
/// be given up.
#[test]
fn a_load_is_retried_until_the_unload_has_ended() {
    let models = [("maize", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_secs(2);
    for model in ["maize", "rye", "oat"] {
        rig.engine.insert_model(model, 300);
    }
    rig.run(Duration::from_secs(1));
    rig.run_with_demand(Duration::from_millis(3500), "entry-2", "spelt", 1);
    assert!(rig.engine.holds("spelt"), "{:?}", rig.notes);
    assert!(!rig.notes.iter().any(|note| note.event == "load_failed"), "{:?}", rig.notes);
}

/// A load from a copy takes as long as is listed, and no report comes to show its
/// end. If one were waited for, callers would wait a quarter longer for each swap.
#[test]
fn a_model_is_ready_after_its_listed_load_time() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.run(Duration::from_secs(1));
    rig.demand("entry-2", "maize", 1);
    rig.run(TICK);
    rig.drop_reports = true;
    rig.run(COPY_LOAD_TIME);
    assert!(rig.shows("entry-2", "maize", "Ready"), "{:?}", rig.notes);
}

/// Loads take half as long again as is listed. Taken for ended, a model gets
/// requests that the engine refuses, and its next order is refused as well.
/// Reports show it, and the loads that follow have to be relied on less.
#[test]
fn the_margin_grows_if_loads_take_longer_than_listed() {
    let names: Vec<String> = (0..8).map(|number| format!("m{number}")).collect();
    let models: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 300)).collect();
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.refuses_while_loading = true;
    rig.engine.copy_load_time = COPY_LOAD_TIME * 3 / 2;
    for model in &names[..7] {
        rig.run_with_demand(Duration::from_secs(2), "entry-2", model, 1);
        rig.demand("entry-2", model, 0);
        assert!(rig.engine.holds(model), "{:?}", rig.notes);
    }
    let asked = rig.now;
    while !rig.shows("entry-2", "m7", "Ready") {
        rig.run_with_demand(TICK, "entry-2", "m7", 1);
    }
    assert!(rig.now.since(asked) >= COPY_LOAD_TIME * 3 / 2, "{:?}", rig.now.since(asked));
}

/// Forty requests a second need no load, as their model is there; the routers
/// tell of them now and then. Other models on the engine were asked for later. If
/// what was used last decided, a single caller of a fourth model would have the
/// first one unloaded, and the next second's forty callers would wait.
#[test]
fn a_model_in_constant_use_is_not_evicted_for_a_single_request() {
    let models = [("hot", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    for model in ["hot", "rye", "oat"] {
        rig.engine.insert_model(model, 300);
    }
    for _ in 0..10 {
        rig.report_use("entry-2", "hot", 20);
        rig.run(Duration::from_millis(450));
        for model in ["rye", "oat"] {
            rig.demand("entry-2", model, 1);
        }
        rig.run(TICK);
    }
    for model in ["rye", "oat"] {
        rig.demand("entry-2", model, 0);
    }
    rig.run_with_demand(Duration::from_secs(1), "entry-2", "spelt", 1);
    assert!(rig.engine.holds("spelt"), "{:?}", rig.notes);
    assert!(rig.engine.holds("hot"), "{:?}", rig.notes);
}

/// Demand has moved to a model of which no engine has a replica but this one, if
/// it loads it. Single callers of other models ask all the while; if those always
/// went first, hundreds would wait for the one replica that there is elsewhere.
#[test]
fn an_under_replicated_model_is_loaded_before_a_single_request() {
    let mut rig = Rig::with_copies(&[("hot", 300), ("rye", 300), ("oat", 300)], COPY_LOAD_TIME);
    rig.engine.insert_model("oat", 300);
    for _ in 0..4 {
        rig.report_use("entry-2", "hot", 40);
    }
    rig.demand("entry-3", "rye", 1);
    rig.run(Duration::from_secs(2));
    let first = rig.engine.executed.iter().find_map(|order| match order {
        Order::Load { model, .. } => Some(model.to_string()),
        _ => None,
    });
    assert_eq!(first.as_deref(), Some("hot"));
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// Two models are asked for equally often, and the requests of one run eight times
/// as long. If replicas were counted by requests, that one's engines would run
/// more at a time than they can at a good pace, and its callers wait.
#[test]
fn a_model_whose_requests_run_for_long_gets_more_replicas() {
    let mut rig = Rig::with_copies(&[("quick", 300), ("slow", 300)], COPY_LOAD_TIME);
    rig.add_engine("engine-b", "entry-8");
    rig.add_engine("engine-c", "entry-9");
    for model in ["quick", "slow"] {
        rig.set_homes(model, &["engine-b", "engine-c", "engine-a"]);
    }
    for _ in 0..10 {
        rig.report_use_for("entry-2", "quick", 2, Duration::from_millis(400));
        rig.report_use_for("entry-2", "slow", 2, Duration::from_millis(3200));
        rig.run(Duration::from_millis(500));
    }
    assert!(rig.engine.holds("slow"), "{:?}", rig.notes);
    assert!(!rig.engine.holds("quick"), "two other engines are enough for it");
}

/// Two engines have a model that is asked for twice a second, which is little
/// work; but their answers begin late, as prompts are long or others run there.
/// If only the work counted, callers would go on waiting on two engines while a
/// third stands idle.
#[test]
fn a_model_whose_answers_begin_late_gets_one_more_replica() {
    for (late, is_needed) in [(0, false), (2, true)] {
        let mut rig = Rig::with_copies(&[("hot", 300)], COPY_LOAD_TIME);
        for (engine, owner) in [("engine-b", "entry-8"), ("engine-c", "entry-9")] {
            rig.add_engine(engine, owner);
            rig.set_listed_model(engine, "hot");
        }
        rig.set_homes("hot", &["engine-b", "engine-c", "engine-a"]);
        for _ in 0..10 {
            rig.report_late_use("entry-2", "hot", 4, late);
            rig.run(Duration::from_secs(2));
        }
        assert_eq!(rig.engine.holds("hot"), is_needed, "{late} of 4 late: {:?}", rig.notes);
    }
}

/// An engine is new and keeps nothing. Another one has the model on its disk, so
/// that its callers wait for half a second at most. A copy from the weight store
/// would keep the new engine from everything else for seconds.
#[test]
fn a_copy_held_by_another_engine_is_not_prefetched() {
    let mut rig = Rig::sequential(&[("maize", 300), ("rye", 300)]);
    rig.add_engine("engine-b", "entry-8");
    rig.set_listed_model("engine-b", "maize");
    rig.run(Duration::from_secs(10));
    assert!(!rig.engine.holds("maize"), "{:?}", rig.notes);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// Engines were replaced one after the other, and a model with twenty requests a
/// second is left on one that may go next; no other has a copy. Single callers of
/// models that are held nowhere ask the new engine all the while. If they went
/// first, hundreds would wait for the weight store once the old engine goes.
#[test]
fn the_second_copy_of_a_hot_model_goes_before_single_requests() {
    let mut rig = Rig::sequential(&[("hot", 300), ("rye", 300)]);
    rig.add_engine("engine-b", "entry-8");
    rig.set_listed_model("engine-b", "hot");
    rig.set_homes("hot", &["engine-b", "engine-a"]);
    for _ in 0..4 {
        rig.report_use("entry-2", "hot", 20);
    }
    rig.demand("entry-3", "rye", 1);
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.engine.loads_of("hot"), 1, "{:?}", rig.notes);
    assert_eq!(rig.engine.loads_of("rye"), 0, "{:?}", rig.notes);
}

/// A load takes four times as long as it should. A router that hears once that it
/// is nearly there, and nothing more, has its callers wait until they give up,
/// and sends new ones there too.
#[test]
fn routers_are_updated_if_a_load_is_delayed() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    let known = rig.document.catalogue.models.get_mut(&name("maize")).expect("the model is listed");
    known.load_time = LOAD_TIME / 4;
    rig.run(Duration::from_millis(100));
    rig.run_with_demand(LOAD_TIME * 9 / 10, "entry-2", "maize", 1);
    let remaining = rig.remaining("entry-2", "maize").expect("the router hears when it comes");
    assert!(remaining > Duration::from_millis(300), "{remaining:?}");
}

/// All places of an engine are taken by models that were used a moment ago, and
/// callers who wait two seconds ask for another one, which is on its disk. A swap
/// takes less than a second. If the room were taken to come free only seconds
/// after the last use, these callers would be refused although an engine could
/// serve them in time.
#[test]
fn a_swap_shorter_than_the_wait_limit_is_not_refused() {
    let models = [("maize", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_millis(100);
    for model in ["maize", "rye", "oat"] {
        rig.engine.insert_model(model, 300);
        rig.engine.set_running(model, 0);
    }
    for _ in 0..4 {
        for model in ["maize", "rye", "oat"] {
            rig.demand_with("entry-2", model, 0, ServiceOrder::default(), LONG_WAIT);
        }
        rig.run(Duration::from_millis(250));
    }
    rig.demand_with("entry-3", "spelt", 1, ServiceOrder::default(), Duration::from_secs(2));
    rig.run(TICK);
    let remaining = rig.remaining("entry-3", "spelt").expect("the router hears when it comes");
    assert!(remaining < Duration::from_millis(1200), "{remaining:?}");
    rig.run(Duration::from_secs(1));
    assert!(rig.engine.holds("spelt"), "{:?}", rig.notes);
}

/// Unloads take far longer here than elsewhere, as requests run for long. What
/// callers are told has to follow what is seen; with a fixed time they would wait
/// in vain where it is too short.
#[test]
fn the_ready_time_follows_measured_unload_times() {
    let names: Vec<String> = (0..12).map(|number| format!("m{number}")).collect();
    let models: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 300)).collect();
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_secs(3);
    for model in &names[..3] {
        rig.engine.insert_model(model, 300);
    }
    for model in &names[3..11] {
        rig.run_with_demand(Duration::from_secs(5), "entry-2", model, 1);
        rig.demand("entry-2", model, 0);
    }
    let asked: Time = rig.now;
    rig.demand("entry-2", &names[11], 1);
    rig.run(TICK);
    let estimate = rig.remaining("entry-2", &names[11]).expect("the router hears when it comes");
    while !rig.shows("entry-2", "m11", "Ready") {
        assert!(rig.now.since(asked) < LONG_WAIT, "{:?}", rig.notes);
        rig.run_with_demand(TICK, "entry-2", "m11", 1);
    }
    let took = rig.now.since(asked);
    assert!(estimate > took.mul_f64(0.6) && estimate < took.mul_f64(1.4), "told {estimate:?}, took {took:?}");
}
