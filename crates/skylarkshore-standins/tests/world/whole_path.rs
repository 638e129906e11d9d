//! Requests end to end in simulated time, without faults.

use crate::support::{
    ACTIVE_WATTS, ask_model, ask_once, assert_sound, at_secs, document, name, setup, world,
};
use std::time::Duration;

use skylarkshore_core::id::{ModelName, RulesRevision};
use skylarkshore_core::store::HomesRecord;
use skylarkshore_standins::world::{NoFaults, World};

#[test]
fn a_cold_model_is_loaded_and_answers() {
    let mut world = world(setup(3, 1), NoFaults);
    world.run_until(at_secs(10));
    let key = world.ask(0, &ask_model("summary", 1));
    world.run_until(at_secs(30));
    assert!(world.callers.requests[&key].is_answered(), "{:?}", world.callers.requests[&key]);
    assert_sound(&mut world, 3);
}

#[test]
fn an_adapter_is_loaded_on_its_base_and_answers() {
    let mut world = world(setup(3, 2), NoFaults);
    world.run_until(at_secs(10));
    let key = world.ask(1, &ask_model("lease:bern", 1));
    world.run_until(at_secs(30));
    assert!(world.callers.requests[&key].is_answered(), "{:?}", world.callers.requests[&key]);
    assert_sound(&mut world, 3);
}

#[test]
fn a_burst_for_one_cold_model_at_nine_hosts_causes_one_load() {
    let mut world = world(setup(9, 3), NoFaults);
    world.run_until(at_secs(10));
    let keys: Vec<_> = (0..36).map(|i| world.ask(i % 9, &ask_model("draft", i as u64))).collect();
    world.run_until(at_secs(35));
    let answered = keys.iter().filter(|key| world.callers.requests[key].is_answered()).count();
    let loads: u64 = world.engines.values().map(|engine| engine.loads).sum();
    assert_eq!((answered, loads), (36, 1));
    assert_sound(&mut world, 9);
}

#[test]
fn a_booking_repeated_at_another_host_gets_the_same_answer_and_runs_once() {
    let mut world = world(setup(3, 4), NoFaults);
    world.run_until(at_secs(10));
    let first = world.ask(0, &ask_once(7, 7));
    world.run_until(at_secs(12));
    let second = world.ask(1, &ask_once(7, 7));
    world.run_until(at_secs(20));
    assert!(world.callers.requests[&first].is_answered(), "{:?}", world.callers.requests[&first]);
    assert!(world.callers.requests[&second].is_answered(), "{:?}", world.callers.requests[&second]);
    assert_eq!(world.callers.runs_by_key.values().copied().collect::<Vec<_>>(), [1]);
    assert_sound(&mut world, 3);
}

#[test]
fn a_process_that_shuts_down_finishes_open_requests_and_releases_its_engines() {
    let mut world = world(setup(3, 5), NoFaults);
    world.run_until(at_secs(10));
    let key = world.ask(0, &ask_model("summary", 1));
    world.run_until(at_secs(11));
    world.shut_down(0);
    let late = world.ask(0, &ask_model("lease", 2));
    world.run_until(at_secs(50));
    assert!(world.callers.requests[&key].is_answered(), "{:?}", world.callers.requests[&key]);
    assert!(world.callers.requests[&late].is_answered(), "{:?}", world.callers.requests[&late]);
    assert!(world.has_exited(0));
    assert_sound(&mut world, 3);
}

/// Each of four engines has room for one model, and the homes of four models in
/// use lie on fewer engines. An owner knows that its own engine is full, but not
/// which others are empty. If a model moved back and forth between full engines,
/// it would never be loaded and its callers refused in spite of free memory.
#[test]
fn models_in_use_move_to_engines_with_free_memory() {
    let mut setup = setup(3, 7);
    let model = setup.document.catalogue.models[&name::<ModelName>("summary")].clone();
    for i in 0..12 {
        setup.document.catalogue.models.insert(name(&format!("model-{i}")), model.clone());
    }
    let mut world = world(setup, NoFaults);
    world.run_until(at_secs(10));
    let first_homes = homes_on(&world, "engine-0");
    let second_homes = homes_on(&world, "engine-1");
    let in_use: Vec<ModelName> =
        first_homes.into_iter().take(3).chain(second_homes.into_iter().take(1)).collect();
    assert_eq!(in_use.len(), 4, "{in_use:?}");
    let mut last = Vec::new();
    for round in 0..80 {
        last = in_use.iter().map(|m| world.ask(round % 3, &ask_model(m.as_str(), round as u64))).collect();
        world.run_for(Duration::from_millis(500));
    }
    world.run_for(Duration::from_secs(20));
    for key in last {
        assert!(world.callers.requests[&key].is_answered(), "{:?}", world.callers.requests[&key]);
    }
    let moves = world.notes.iter().filter(|n| n.note.event == "homes_changing" && n.at > at_secs(10)).count();
    assert!(moves <= 8, "{moves} moves");
    assert_sound(&mut world, 3);
}

/// Only one host per data centre watches the store; all others get new rules from
/// peers. The users require the rules to be in force everywhere within seven seconds.
#[test]
fn new_rules_are_in_force_everywhere_within_seconds() {
    let mut world = world(setup(30, 8), NoFaults);
    world.run_until(at_secs(20));
    let mut rules = document(4 * ACTIVE_WATTS);
    rules.revision = RulesRevision(2);
    world.apply_document(rules);
    world.run_for(Duration::from_millis(100));
    assert!(world.rules_in_force(RulesRevision(2)));
    assert_sound(&mut world, 30);
}

fn homes_on(world: &World, engine: &str) -> Vec<ModelName> {
    let cache = world.node(0).unwrap().cache();
    let includes_engine = |homes: &HomesRecord| homes.engines.iter().any(|home| home.as_str() == engine);
    cache.all_homes().filter(|(_, homes)| includes_engine(homes)).map(|(model, _)| model.clone()).collect()
}
