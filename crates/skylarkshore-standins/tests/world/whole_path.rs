//! The whole path in given time, without faults.

use crate::support::{ask_model, ask_once, assert_sound, at_secs, setup, world};
use skylarkshore_standins::world::NoFaults;

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
fn a_burst_for_one_cold_model_at_nine_hosts_leads_to_one_load() {
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
fn a_booking_sent_again_at_another_host_gets_the_same_answer_and_runs_once() {
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
fn a_process_that_is_asked_to_end_finishes_what_is_in_progress_and_gives_up_what_it_owns() {
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
