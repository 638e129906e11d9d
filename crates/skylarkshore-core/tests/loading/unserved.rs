//! Logging of unserved targets and unused loads, and retention of models for callers who retry.

use std::time::Duration;

use skylarkshore_core::rules::ServiceOrder;

use crate::support::{LOAD_TIME, Rig, TICK, name};

/// Returns the targets that were logged as unserved.
fn logged_unserved(rig: &Rig) -> Vec<&str> {
    rig.notes.iter().filter(|note| note.event == "model_unserved").map(|note| note.subject.as_str()).collect()
}

/// Requests for a model that no engine holds arrive at many hosts, one or two at
/// each. All are told to retry and none is served. No single host can notice; the
/// owner that receives all usage reports has to log it.
#[test]
fn an_unserved_model_is_logged() {
    let mut rig = Rig::sequential(&[("maize", 300), ("rye", 300)]);
    rig.authority.permitted = false;
    rig.add_engine("engine-b", "entry-8");
    rig.set_listed_model("engine-b", "rye");
    for number in 0..6 {
        let router = format!("entry-{number}");
        rig.report_use_for(&router, "maize", 1, Duration::ZERO);
        rig.report_use(&router, "rye", 1);
        rig.run(Duration::from_secs(2));
    }
    assert_eq!(logged_unserved(&rig), ["maize"], "{:?}", rig.notes);
}

/// An engine serves a model but refuses the requests of one of its adapters, each at
/// another host. If only models were tracked, the base would seem in use and the
/// adapter would go unnoticed.
#[test]
fn an_unserved_adapter_is_logged() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    rig.add_adapter("maize", "blue");
    rig.add_adapter("maize", "red");
    rig.authority.permitted = false;
    rig.add_engine("engine-b", "entry-8");
    rig.set_listed_model("engine-b", "maize");
    for number in 0..6 {
        let router = format!("entry-{number}");
        rig.report_use_for(&router, "maize/blue", 1, Duration::ZERO);
        rig.report_use(&router, "maize/red", 1);
        rig.run(Duration::from_secs(2));
    }
    assert_eq!(logged_unserved(&rig), ["maize/blue"], "{:?}", rig.notes);
}

/// A model is loaded from the weight store and unloaded before any request has run
/// on it. Callers only get refusals; the log entry of the unload shows that the load
/// was not used.
#[test]
fn an_unload_logs_whether_the_model_was_used() {
    let mut rig = Rig::sequential(&[("maize", 600), ("rye", 600)]);
    for model in ["maize", "rye"] {
        rig.run_with_demand(Duration::from_secs(6), "entry-2", model, 1);
        rig.demand("entry-2", model, 0);
        rig.run(Duration::from_secs(1));
    }
    rig.report_use("entry-2", "rye", 1);
    rig.run_with_demand(Duration::from_secs(6), "entry-2", "maize", 1);
    let unloads = rig.notes.iter().filter(|note| note.event == "model_unloaded");
    let used: Vec<(&str, bool)> = unloads
        .map(|note| (note.subject.split('@').next().unwrap_or_default(), note.detail.contains("used=true")))
        .collect();
    assert_eq!(used, [("maize", false), ("rye", true)], "{:?}", rig.notes);
}

/// Callers wait for a model from the weight store. A report shows the end of its
/// load some tenths of a second late, so each load seems overdue for a moment.
/// Callers who had waited ten of thirteen seconds were then given another four and a
/// half, and were refused a third of a second before the model was ready; when they
/// retried, it was gone.
///
/// Most refusals after a wait of five seconds or more named a third of the load's
/// length, and the load ended within half a second.
#[test]
fn a_briefly_overdue_load_gets_a_short_estimate() {
    let mut rig = Rig::sequential(&[("maize", 300)]);
    let late = LOAD_TIME / 10;
    let known = rig.document.catalogue.models.get_mut(&name("maize")).expect("the model is listed");
    known.load_time = LOAD_TIME * 9 / 10;
    rig.run(Duration::from_millis(100));
    rig.demand("entry-2", "maize", 1);
    rig.run_until("the load starts", |rig| rig.engine.loads_of("maize") == 1);
    let started = rig.now;
    let mut longest = Duration::ZERO;
    while !rig.shows("entry-2", "maize", "Ready") {
        rig.demand("entry-2", "maize", 1);
        rig.run(TICK);
        if let Some(remaining) = rig.remaining("entry-2", "maize") {
            longest = longest.max(rig.now.since(started) + remaining);
        }
    }
    assert!(longest <= LOAD_TIME + late, "the estimate reached {longest:?} after the load's start");
}

/// A caller with a short timeout is told to retry, and the model is loaded
/// meanwhile. Another model is requested on the same engine. Without retention, the
/// first one was unloaded as soon as it was ready because no request waited at that
/// moment, and the retry was refused with the store's load time ahead again, all day
/// long.
///
/// Of forty loads from the store that ended in a day, thirteen models were unloaded
/// within a second and twenty-four were never used.
#[test]
fn a_model_from_the_weight_store_is_retained_for_retries() {
    let mut rig = Rig::sequential(&[("maize", 600), ("rye", 600)]);
    rig.run(Duration::from_millis(100));
    rig.demand_with("entry-2", "maize", 1, ServiceOrder::default(), Duration::from_secs(1));
    assert_eq!(rig.refusals(), ["maize TooSlow"]);
    rig.run_until("the load ends", |rig| {
        rig.notes.iter().any(|note| note.event == "load_ended" && note.subject.starts_with("maize"))
    });
    let ready = rig.now;
    while rig.now.since(ready) < LOAD_TIME / 5 {
        rig.demand("entry-3", "rye", 1);
        rig.run(TICK);
    }
    assert!(rig.engine.holds("maize"), "{:?}", rig.notes);
    rig.run_with_demand(LOAD_TIME * 2, "entry-3", "rye", 1);
    assert!(rig.engine.holds("rye"), "the other model is loaded after that: {:?}", rig.notes);
}

/// Guards against a model that is never loaded although it is asked for all the time, because each
/// of many hosts refuses only one caller within the time of a load.
#[test]
fn callers_refused_at_many_hosts_are_added_up() {
    let mut rig = Rig::new(&[("maize", 300), ("rye", 300)]);
    rig.run(Duration::from_secs(1));
    for number in 1..=3 {
        assert_eq!(rig.engine.loads_of("maize"), 0, "{number} callers");
        rig.refuse(&format!("entry-{number}"), "maize", 1, Duration::from_secs(5));
        rig.run(Duration::from_secs(1));
    }
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
}

/// Guards against loads for callers who no longer come back, and for a single caller who is
/// refused at one host after the other.
#[test]
fn callers_refused_long_ago_are_not_added_up() {
    let mut rig = Rig::new(&[("maize", 300)]);
    rig.run(Duration::from_secs(1));
    for number in 1..=6 {
        rig.refuse(&format!("entry-{number}"), "maize", 1, Duration::from_secs(5));
        rig.run(Duration::from_secs(3));
    }
    assert_eq!(rig.engine.loads_of("maize"), 0, "{:?}", rig.notes);
}

/// Guards against a host whose callers count twice, because it reports them again with each further
/// one.
#[test]
fn a_report_of_refused_callers_replaces_the_hosts_earlier_one() {
    let mut rig = Rig::new(&[("maize", 300)]);
    rig.run(Duration::from_secs(1));
    for count in [1, 2, 2] {
        rig.refuse("entry-2", "maize", count, Duration::from_secs(5));
        rig.run(Duration::from_secs(1));
    }
    assert_eq!(rig.engine.loads_of("maize"), 0, "{:?}", rig.notes);
}
