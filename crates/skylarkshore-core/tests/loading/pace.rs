//! The gate that keeps all processes to what the weight store carries.

use std::ops::Range;
use std::time::Duration;

use skylarkshore_core::id::{HostId, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::units::LoadRate;

use crate::support::{ENGINE, LOAD_TIME, Rig, name};

/// How long a load from an engine's own disk takes here.
pub const COPY_LOAD_TIME: Duration = Duration::from_millis(600);

pub const PEER: &str = "entry-2";

pub fn engine(number: usize) -> UpstreamId {
    name(&format!("far-{number}"))
}

/// Has a peer ask for loads of `maize` on so many engines, again and again for a while.
pub fn ask(rig: &mut Rig, engines: usize, d: Duration) {
    ask_from(rig, PEER, 0..engines, d);
}

pub fn ask_from(rig: &mut Rig, peer: &str, engines: Range<usize>, d: Duration) {
    let end = rig.now.after(d);
    while rig.now < end {
        for number in engines.clone() {
            let wanted = PeerMessage::LoadSlotWanted {
                upstream: engine(number),
                model: name("maize"),
                order: ServiceOrder::default(),
                max_wait: Duration::from_mins(1),
            };
            rig.hear(&name(peer), &wanted);
        }
        rig.run(Duration::from_millis(200));
    }
}

/// Returns the engines whose load was let through, each once.
pub fn granted(rig: &Rig) -> Vec<UpstreamId> {
    let mut engines: Vec<UpstreamId> = Vec::new();
    for envelope in &rig.told {
        if let PeerMessage::LoadSlotGranted { upstream, .. } = &envelope.message
            && !engines.contains(upstream)
        {
            engines.push(upstream.clone());
        }
    }
    engines
}

pub fn give_back(rig: &mut Rig, engines: &[UpstreamId]) {
    for upstream in engines {
        let returned = PeerMessage::LoadSlotReturned { upstream: upstream.clone(), model: name("maize") };
        rig.hear(&name(PEER), &returned);
    }
}

pub fn rig(per_kilosecond: u32) -> Rig {
    let mut rig = Rig::new(&[("maize", 300)]);
    rig.document.catalogue.load_rate = Some(LoadRate(per_kilosecond));
    rig
}

/// The operators' platform lets one load begin every two seconds. A process that
/// kept to a rate of its own would pass that, and loads would be held against it.
#[test]
fn loads_begin_no_faster_than_the_configuration_says() {
    let mut rig = rig(500);
    ask(&mut rig, 10, Duration::from_millis(5900));
    // One at a time is carried at full speed, and each of them is given back at once.
    let mut begun = granted(&rig).len();
    for _ in 0..20 {
        let engines = granted(&rig);
        give_back(&mut rig, &engines);
        ask(&mut rig, 10, Duration::from_millis(200));
        begun = begun.max(granted(&rig).len());
    }
    assert!((3..=6).contains(&begun), "{begun} loads began within 10 s");
}

/// Loads take twice as long as listed, since too many run at once. Were as many
/// begun again, each engine would be kept from any other load for twice as long,
/// and not one load more would end. Once they end on time, more run again.
#[test]
fn fewer_loads_run_at_once_while_they_are_slowed_down() {
    let mut rig = rig(4000);
    let mut begun = Vec::new();
    let mut running = Vec::new();
    for length in [LOAD_TIME * 2, LOAD_TIME, LOAD_TIME] {
        rig.told.clear();
        give_back(&mut rig, &running);
        ask(&mut rig, 10, length);
        running = granted(&rig);
        begun.push(running.len());
    }
    assert_eq!(begun[0], 4, "as the settings say");
    assert!(begun[1] < begun[0] && begun[2] > begun[1], "{begun:?}: {:?}", rig.notes);
}

/// The gate is away, and every process goes on with a share of its own. If each
/// began a load a second, all together would pass the rate.
#[test]
fn without_the_gate_all_hosts_together_keep_to_the_rate() {
    let mut rig = rig(1000);
    rig.gate_away = true;
    for number in 2..=5 {
        rig.add_member(&format!("entry-{number}"));
    }
    rig.run_wanting(Duration::from_secs(2), PEER, "maize", 1);
    let begun = || rig.notes.iter().filter(|note| note.event == "load_started").count();
    assert_eq!(begun(), 1);
}

/// The weight store runs one load at full speed, and four were let through at
/// first. Each takes four times as long, so that for a minute none ends. If only
/// the loads that have ended told how many it carries, further ones would be let
/// in beside them, none would ever end, and callers of their models would wait
/// in vain for as long as the deployment runs.
#[test]
fn loads_that_do_not_end_tell_how_many_the_store_carries() {
    let mut rig = rig(100_000);
    ask(&mut rig, 12, Duration::from_secs(1));
    let first = granted(&rig);
    assert_eq!(first.len(), 4);
    ask(&mut rig, 12, LOAD_TIME * 3);
    give_back(&mut rig, &first[..2]);
    ask(&mut rig, 12, Duration::from_secs(1));
    assert_eq!(granted(&rig).len(), 4, "two of four slow loads are still in progress");
}

/// Four loads are in progress and eight wait. Whoever waits hears for how long,
/// so that callers who can't wait as long are told at once.
#[test]
fn those_who_wait_for_the_store_hear_for_how_long() {
    let mut rig = rig(100_000);
    ask(&mut rig, 12, Duration::from_secs(1));
    let waits = rig.told.iter().rev().take(12).filter_map(|envelope| match &envelope.message {
        PeerMessage::LoadSlotQueued { wait, .. } => Some(*wait),
        _ => None,
    });
    let waits: Vec<Duration> = waits.collect();
    let longest = waits.iter().max().expect("eight wait");
    assert!(*longest > LOAD_TIME && *longest < LOAD_TIME * 2, "{waits:?}");
    assert!(waits.iter().all(|wait| *wait > Duration::ZERO), "{waits:?}");
}

/// The weight store is taken by others, and a load waits for its turn at the
/// gate, which answers within milliseconds. Meanwhile the engine loads another
/// model from its own disk and asks the gate for nothing. With its next question
/// the owner found that it had not heard of the gate for half a second, took it
/// for silent and began the load without it. On eighty hosts that came to
/// forty-seven loads on a store that carries one at full speed: all of them slowed
/// each other down, three ended in a day, and callers of forty models were refused
/// from morning to night.
/// The proof: forty-six of those loads followed a line that says that the gate was
/// silent, which had last been heard 0.3 to 2 s before; it had let four through.
#[test]
fn a_load_that_pauses_asking_does_not_go_past_the_gate() {
    let mut rig = Rig::with_copies(&[("maize", 300), ("rye", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.remove(&name("maize"));
    rig.document.catalogue.load_rate = Some(LoadRate(100_000));
    ask(&mut rig, 12, Duration::from_secs(1));
    assert_eq!(granted(&rig).len(), 4, "the store is taken");
    for round in 0..10 {
        rig.want("entry-3", "maize", 1);
        if round == 2 {
            rig.want_with("entry-4", "rye", 1, ServiceOrder(1), Duration::from_secs(2));
        }
        ask(&mut rig, 12, Duration::from_millis(200));
    }
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
    assert_eq!(rig.engine.loads_of("maize"), 0, "{:?}", rig.notes);
}

/// The host that keeps the gate stands still for some seconds. If every host went
/// on with a share of its own, dozens of loads would slow each other down until
/// long after it is back. The next host of the same order is asked instead, which
/// lets through what one gate does.
#[test]
fn the_next_host_keeps_the_gate_where_the_first_one_is_silent() {
    let mut rig = rig(100_000);
    for number in 2..=9 {
        rig.add_member(&format!("entry-{number}"));
    }
    rig.run_wanting(Duration::from_millis(500), PEER, "maize", 1);
    let asked = rig.told.iter().filter(|e| matches!(e.message, PeerMessage::LoadSlotWanted { .. }));
    let mut asked: Vec<String> = asked.map(|envelope| envelope.to.to_string()).collect();
    asked.dedup();
    assert_eq!(asked.len(), 2, "{asked:?}: {:?}", rig.notes);
    assert_eq!(rig.engine.loads_of("maize"), 0);
    let gate: HostId = name(&asked[1]);
    let granted = PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("maize") };
    rig.hear(&gate, &granted);
    rig.run_wanting(Duration::from_millis(500), PEER, "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
}

/// A load begins alone, and three more begin beside it some time later. The first
/// one ends in time, as it had the store to itself at its beginning; the others
/// will last several times as long. If it counted as run beside them, twice as
/// many would be let through, and none of those would end for minutes.
#[test]
fn a_load_that_began_alone_does_not_tell_that_the_store_carries_more() {
    let mut rig = rig(100_000);
    for number in 0..20 {
        rig.add_engine(&format!("far-{number}"), PEER);
    }
    ask(&mut rig, 1, LOAD_TIME / 2);
    ask(&mut rig, 12, LOAD_TIME / 2);
    assert_eq!(granted(&rig).len(), 4);
    give_back(&mut rig, &[engine(0)]);
    ask(&mut rig, 12, Duration::from_secs(1));
    assert!(granted(&rig).len() <= 5, "{:?}", rig.notes);
}
