//! Swaps between models with copies on an engine's disk, replicas, and the estimates
//! published to routers.

use std::time::Duration;

use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::Order;

use crate::support::{LOAD_TIME, Rig, TICK, name};

const COPY_LOAD_TIME: Duration = Duration::from_millis(500);
const LONG_WAIT: Duration = Duration::from_secs(8);

/// An engine unloads a model to make room for another, and reports show the end
/// late, here never. If the load waited for a report, callers of rarely used models
/// would wait some tenths of a second longer than the swap takes, and the engine
/// would make a third fewer swaps.
#[test]
fn a_load_follows_its_unload_without_waiting_for_a_report() {
    let models = [("maize", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_millis(120);
    for model in ["maize", "rye", "oat"] {
        rig.engine.put(model, 300);
    }
    rig.run(Duration::from_secs(1));
    rig.drop_reports = true;
    rig.demand("entry-2", "spelt", 1);
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.engine.loads_of("spelt"), 1, "{:?} {:?}", rig.engine.done, rig.notes);
}

/// The unload waits for running requests. Each early retry of the load is refused;
/// the load must neither count as failed nor be given up.
#[test]
fn a_load_is_retried_until_the_unload_has_ended() {
    let models = [("maize", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_secs(2);
    for model in ["maize", "rye", "oat"] {
        rig.engine.put(model, 300);
    }
    rig.run(Duration::from_secs(1));
    rig.run_with_demand(Duration::from_millis(3500), "entry-2", "spelt", 1);
    assert!(rig.engine.holds("spelt"), "{:?}", rig.notes);
    assert!(!rig.notes.iter().any(|note| note.event == "load_failed"), "{:?}", rig.notes);
}

/// A load from a copy takes the listed time, and no report shows its end. Waiting
/// for one would make callers wait a quarter longer for each swap.
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

/// Loads take half as long again as listed. If a load is assumed to have ended too
/// early, the engine refuses the model's requests and its next order. Reports reveal
/// this, and the margin for later loads must grow.
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
    let requested = rig.now;
    while !rig.shows("entry-2", "m7", "Ready") {
        rig.run_with_demand(TICK, "entry-2", "m7", 1);
    }
    assert!(rig.now.since(requested) >= COPY_LOAD_TIME * 3 / 2, "{:?}", rig.now.since(requested));
}

/// Forty requests a second need no load because their model is ready; routers report
/// them only at intervals, and other models were requested more recently. If recency
/// decided, a single request for a fourth model would evict the first one, and the
/// next second's forty callers would wait.
#[test]
fn a_model_in_constant_use_is_not_evicted_for_a_single_request() {
    let models = [("hot", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    for model in ["hot", "rye", "oat"] {
        rig.engine.put(model, 300);
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

/// Demand has moved to a model whose only other replica is elsewhere, while single
/// requests for other models keep arriving. If those always went first, hundreds
/// would wait for that one replica.
#[test]
fn an_under_replicated_model_is_loaded_before_a_single_request() {
    let mut rig = Rig::with_copies(&[("hot", 300), ("rye", 300), ("oat", 300)], COPY_LOAD_TIME);
    rig.engine.put("oat", 300);
    for _ in 0..4 {
        rig.report_use("entry-2", "hot", 40);
    }
    rig.demand("entry-3", "rye", 1);
    rig.run(Duration::from_secs(2));
    let first = rig.engine.done.iter().find_map(|order| match order {
        Order::Load { model, .. } => Some(model.to_string()),
        _ => None,
    });
    assert_eq!(first.as_deref(), Some("hot"));
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// Two models have the same request rate, but the requests of one run eight times as
/// long. If replicas were computed from the rate, its engines would run too many
/// requests concurrently, and its callers would wait.
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
    assert!(!rig.engine.holds("quick"), "two other replicas are sufficient");
}

/// Two engines serve a model with two requests a second, which is little work, but
/// answers begin late because of long prompts or other models. If only the work
/// counted, callers would keep waiting on two engines while a third is idle.
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

/// A new engine has no copies, but another engine has the model on disk, so that its
/// callers wait half a second at most. Fetching a copy from the weight store would
/// block the new engine for seconds.
#[test]
fn a_copy_held_by_another_engine_is_not_prefetched() {
    let mut rig = Rig::sequential(&[("maize", 300), ("rye", 300)]);
    rig.add_engine("engine-b", "entry-8");
    rig.set_listed_model("engine-b", "maize");
    rig.run(Duration::from_secs(10));
    assert!(!rig.engine.holds("maize"), "{:?}", rig.notes);
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
}

/// After a rolling replacement, a model with twenty requests a second is left on one
/// engine that may leave next, and no other has a copy. Single requests for models
/// held nowhere keep arriving at the new engine. If they went first, hundreds would
/// wait for the weight store once the old engine leaves.
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

/// A load takes four times its listed time. A router that heard only once that it is
/// nearly done would keep its callers waiting until they give up, and send new ones
/// there too.
#[test]
fn routers_are_updated_if_a_load_is_delayed() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    let known = rig.document.catalogue.models.get_mut(&name("maize")).expect("the model is listed");
    known.load_time = LOAD_TIME / 4;
    rig.run(Duration::from_millis(100));
    rig.run_with_demand(LOAD_TIME * 9 / 10, "entry-2", "maize", 1);
    let remaining = rig.remaining("entry-2", "maize").expect("the router receives the remaining time");
    assert!(remaining > Duration::from_millis(300), "{remaining:?}");
}

/// All memory of an engine is taken by recently used models, and callers with a
/// limit of two seconds request another one from its disk, which takes less than a
/// second. If memory were assumed to become free only seconds after the last use,
/// they would be refused although they could be served in time.
#[test]
fn a_swap_shorter_than_the_wait_limit_is_not_refused() {
    let models = [("maize", 300), ("rye", 300), ("oat", 300), ("spelt", 300)];
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_millis(100);
    for model in ["maize", "rye", "oat"] {
        rig.engine.put(model, 300);
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
    let remaining = rig.remaining("entry-3", "spelt").expect("the router receives the remaining time");
    assert!(remaining < Duration::from_millis(1200), "{remaining:?}");
    rig.run(Duration::from_secs(1));
    assert!(rig.engine.holds("spelt"), "{:?}", rig.notes);
}

/// Unloads take far longer than usual because requests run for long. The published
/// estimate must follow measured times; with a fixed time that is too short, callers
/// would wait in vain.
#[test]
fn the_ready_time_follows_measured_unload_times() {
    let names: Vec<String> = (0..12).map(|number| format!("m{number}")).collect();
    let models: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 300)).collect();
    let mut rig = Rig::with_copies(&models, COPY_LOAD_TIME);
    rig.engine.unload_time = Duration::from_secs(3);
    for model in &names[..3] {
        rig.engine.put(model, 300);
    }
    for model in &names[3..11] {
        rig.run_with_demand(Duration::from_secs(5), "entry-2", model, 1);
        rig.demand("entry-2", model, 0);
    }
    let requested: Time = rig.now;
    rig.demand("entry-2", &names[11], 1);
    rig.run(TICK);
    let estimate = rig.remaining("entry-2", &names[11]).expect("the router receives the remaining time");
    while !rig.shows("entry-2", "m11", "Ready") {
        assert!(rig.now.since(requested) < LONG_WAIT, "{:?}", rig.notes);
        rig.run_with_demand(TICK, "entry-2", "m11", 1);
    }
    let took = rig.now.since(requested);
    assert!(
        estimate > took.mul_f64(0.6) && estimate < took.mul_f64(1.4),
        "estimated {estimate:?}, took {took:?}"
    );
}
