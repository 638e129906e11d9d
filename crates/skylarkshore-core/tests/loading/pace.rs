//! The gate that keeps all processes to what the weight store carries.

use std::ops::Range;
use std::time::Duration;

use skylarkshore_core::id::{HostId, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::units::LoadRate;

use crate::support::{ENGINE, Fate, LOAD_TIME, Rig, name};

/// How long a load from an engine's own disk takes here.
const COPY_LOAD_TIME: Duration = Duration::from_millis(600);

/// Within that time after the last fault most requests have to be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// For how long a fault may keep the weight store idle, so that a load can still end within [`RECOVERY`].
const STORE_IDLE: Duration = RECOVERY.saturating_sub(LOAD_TIME);

const PEER: &str = "entry-2";

fn engine(number: usize) -> UpstreamId {
    name(&format!("far-{number}"))
}

/// Has a peer ask for loads of `maize` on so many engines, again and again for a while.
fn ask(rig: &mut Rig, engines: usize, d: Duration) {
    ask_from(rig, PEER, 0..engines, d);
}

fn ask_from(rig: &mut Rig, peer: &str, engines: Range<usize>, d: Duration) {
    let end = rig.now.after(d);
    while rig.now < end {
        for number in engines.clone() {
            let wanted = PeerMessage::LoadSlotWanted {
                upstream: engine(number),
                model: name("maize"),
                order: ServiceOrder::default(),
                patience: Duration::from_mins(1),
            };
            rig.hear(&name(peer), &wanted);
        }
        rig.run(Duration::from_millis(200));
    }
}

/// Returns the engines whose load was let through, each once.
fn granted(rig: &Rig) -> Vec<UpstreamId> {
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

fn give_back(rig: &mut Rig, engines: &[UpstreamId]) {
    for upstream in engines {
        let returned = PeerMessage::LoadSlotReturned { upstream: upstream.clone(), model: name("maize") };
        rig.hear(&name(PEER), &returned);
    }
}

fn rig(per_kilosecond: u32) -> Rig {
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

/// A host that holds every slot of the weight store is killed, or the message that
/// gives its slots back is lost. If the gate kept them for a host that says nothing
/// any more, no other host could fetch a model, and callers of every model that
/// lies on no disk would be refused until long after the fault is over.
#[test]
fn slots_of_a_host_that_says_nothing_are_free_again_before_recovery_is_due() {
    let mut rig = rig(100_000);
    ask(&mut rig, 12, Duration::from_secs(1));
    assert_eq!(granted(&rig).len(), 4, "the store is taken");
    ask_from(&mut rig, "entry-3", 20..21, STORE_IDLE);
    assert!(granted(&rig).contains(&engine(20)), "{:?}", rig.notes);
}

/// The process that kept the gate goes, and with it what it knew of loads in
/// progress. If its successor heard of none, it would let as many more through
/// beside them, all of them would be slow, and their callers would leave.
#[test]
fn the_next_gate_hears_of_loads_in_progress() {
    let mut rig = rig(100_000);
    let began = granted_elsewhere(&mut rig);
    rig.remove_member(began.as_str());
    rig.told.clear();
    rig.run_wanting(Duration::from_millis(2500), PEER, "maize", 1);
    let told = rig.told.iter().filter(|e| matches!(e.message, PeerMessage::LoadSlotHeld { .. }));
    assert!(told.count() >= 1, "{:?}", rig.notes);
}

/// Has another process let a load of `maize` through, and returns that process.
fn granted_elsewhere(rig: &mut Rig) -> HostId {
    for number in 2..=9 {
        rig.add_member(&format!("entry-{number}"));
    }
    rig.run_wanting(Duration::from_millis(200), PEER, "maize", 1);
    let asked = rig.told.iter().find(|e| matches!(e.message, PeerMessage::LoadSlotWanted { .. }));
    let gate = asked.expect("a gate is asked").to.clone();
    let granted = PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("maize") };
    rig.hear(&gate, &granted);
    rig.run_wanting(Duration::from_millis(200), PEER, "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
    gate
}

/// Four loads are in progress that another process let through, and their holders
/// tell of them. None more begins beside them on a store that carries four.
#[test]
fn loads_that_a_former_gate_let_through_count() {
    let mut rig = rig(100_000);
    for number in 0..4 {
        let held = PeerMessage::LoadSlotHeld { upstream: engine(number), model: name("maize") };
        rig.hear(&name(PEER), &held);
    }
    ask_from(&mut rig, "entry-3", 10..14, Duration::from_secs(2));
    assert_eq!(granted(&rig), [], "{:?}", rig.notes);
}

/// Tells whether the process still uses its share of the weight store for `maize`.
fn holds_slot(rig: &Rig) -> bool {
    let of_engine = rig.told.iter().rev().find(|envelope| match &envelope.message {
        PeerMessage::LoadSlotHeld { upstream, .. }
        | PeerMessage::LoadSlotWanted { upstream, .. }
        | PeerMessage::LoadSlotReturned { upstream, .. } => *upstream == name::<UpstreamId>(ENGINE),
        _ => false,
    });
    of_engine.is_some_and(|last| !matches!(last.message, PeerMessage::LoadSlotReturned { .. }))
}

/// A model has come from the weight store, and the order for its adapter gets lost
/// on its way. Nobody asks for the adapter any more, so the order isn't sent again
/// and stays in doubt. If that counted as a load in progress, the slot would be
/// renewed for ever: where one load runs at a time, no host could fetch any model
/// until the process ends, and callers would be refused.
/// The proof: a host's state showed every engine idle and half empty, one adapter's
/// memory reserved, and the gate let nothing through for the ten seconds in which
/// callers of two models waited.
#[test]
fn an_adapter_order_in_doubt_keeps_no_share_of_the_store() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.add_adapter("maize", "blue");
    rig.fates = vec![Fate::Held; 20];
    rig.fates[0] = Fate::Arrives;
    rig.run_wanting(LOAD_TIME + Duration::from_secs(1), PEER, "maize/blue", 1);
    assert!(rig.engine.holds("maize") && !rig.held.is_empty(), "{:?}", rig.notes);
    rig.run(STORE_IDLE);
    assert!(!holds_slot(&rig), "{:?}", rig.told);
}

/// Every order to load a model is lost on its way to the engine, which stands idle.
/// If its share of the weight store were kept for an order in doubt, no host could
/// use it, and callers of other models would be refused.
#[test]
fn a_load_in_doubt_keeps_no_share_of_the_store() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.fates = vec![Fate::Held; 20];
    rig.run_wanting(Duration::from_millis(300), PEER, "maize", 1);
    assert!(!rig.held.is_empty(), "{:?}", rig.notes);
    rig.run(STORE_IDLE);
    assert!(!holds_slot(&rig), "{:?}", rig.told);
}

/// An order to load a model is lost, its share of the weight store is given back,
/// and the order is sent once more and taken. If the gate didn't hear of that load,
/// it would let as many through beside it as the store carries, and all be slow.
#[test]
fn a_load_that_is_taken_after_all_uses_its_share_again() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.fates = vec![Fate::Held; 3];
    rig.run_wanting(Duration::from_millis(400), PEER, "maize", 1);
    assert!(!holds_slot(&rig), "{:?}", rig.told);
    rig.run_wanting(Duration::from_secs(2), PEER, "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
    assert!(holds_slot(&rig), "{:?}", rig.told);
}

/// Nothing is fetched from the weight store, and an operator asks why. The state
/// has to name the loads that hold its shares, those that wait, and the orders
/// that are in doubt; from the logs alone it looked as if nobody asked for a load.
#[test]
fn the_state_tells_who_holds_the_store_and_who_waits() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.fates = vec![Fate::Held; 20];
    ask(&mut rig, 4, Duration::from_secs(1));
    rig.want("entry-3", "maize", 1);
    rig.run(Duration::from_millis(100));
    let own = format!("maize@{ENGINE}");
    assert_eq!(rig.beliefs("load_slot"), [format!("{own}: waits; gate=entry-1")]);
    let slots = rig.beliefs("store_slot");
    assert_eq!(slots[0], "maize@far-0: let through for entry-2");
    assert_eq!(slots.last(), Some(&format!("{own}: waits for entry-1")));
    give_back(&mut rig, &[engine(0)]);
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.beliefs("order").len(), 1);
    assert!(rig.beliefs("order")[0].contains("in doubt: Load"), "{:?}", rig.beliefs("order"));
}
