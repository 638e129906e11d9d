//! For how long a load keeps its share of the weight store, and who hears of it.

use std::time::Duration;

use skylarkshore_core::id::{HostId, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::upstream::Order;

use crate::pace::{COPY_LOAD_TIME, PEER, ask, ask_from, engine, give_back, granted, rig};
use crate::support::{ENGINE, Fate, LOAD_TIME, Rig, name};

/// Within that time after the last fault most requests have to be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// For how long a fault may keep the weight store idle, so that a load can still end within [`RECOVERY`].
const STORE_IDLE: Duration = RECOVERY.saturating_sub(LOAD_TIME);

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
    assert_eq!(rig.dump_entries("load_slot"), [format!("{own}: waits; gate=entry-1")]);
    let slots = rig.dump_entries("store_slot");
    assert_eq!(slots[0], "maize@far-0: let through for entry-2");
    assert_eq!(slots.last(), Some(&format!("{own}: waits for entry-1")));
    give_back(&mut rig, &[engine(0)]);
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.dump_entries("order").len(), 1);
    assert!(rig.dump_entries("order")[0].contains("in doubt: Load"), "{:?}", rig.dump_entries("order"));
}

/// The gate stands still, so the next host lets the load through. Then the first
/// one wakes, reads the old question and lets it through as well. If that second
/// share weren't given back, the gate would keep it for a load that it doesn't
/// need, and where the store runs one load at a time, nobody else would be let
/// through for seconds after each pause of the gate's host.
#[test]
fn a_share_that_comes_late_from_a_former_gate_is_given_back() {
    let mut rig = rig(100_000);
    let gate = granted_elsewhere(&mut rig);
    rig.told.clear();
    let granted = PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("maize") };
    rig.hear(&gate, &granted);
    let is_returned = |rig: &Rig, to: &HostId| {
        let mut told = rig.told.iter().filter(|envelope| envelope.to == *to);
        told.any(|envelope| matches!(envelope.message, PeerMessage::LoadSlotReturned { .. }))
    };
    assert!(!is_returned(&rig, &gate), "the gate has only said it twice: {:?}", rig.told);
    let former: HostId = name(if gate.as_str() == "entry-7" { "entry-8" } else { "entry-7" });
    rig.hear(&former, &granted);
    assert!(is_returned(&rig, &former), "{:?}", rig.told);
}

/// Guards against a model that is unloaded long before the one that takes its
/// place can be fetched, so that its callers are refused though it had a place.
#[test]
fn a_model_stays_in_use_until_the_load_that_needs_its_place_may_begin() {
    let mut rig = Rig::one_by_one(&[("maize", 600), ("rye", 600)]);
    rig.run_wanting(Duration::from_secs(1), PEER, "maize", 1);
    rig.run(LOAD_TIME * 2);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
    for number in 2..=9 {
        rig.add_member(&format!("entry-{number}"));
    }
    let gate = wait_at_gate(&mut rig, "rye", Duration::from_secs(3));
    let unloads = rig.engine.done.iter().filter(|order| matches!(order, Order::Unload { .. })).count();
    assert_eq!(unloads, 0, "{:?}", rig.notes);
    rig.hear(&gate, &PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("rye") });
    rig.run_wanting(Duration::from_secs(2), PEER, "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 1, "{:?}", rig.notes);
}

/// Has another process keep a load waiting for its slot, and returns that process.
fn wait_at_gate(rig: &mut Rig, model: &str, time: Duration) -> HostId {
    const STEP: Duration = Duration::from_millis(100);
    let mut gate = None;
    for _ in 0..time.as_millis() / STEP.as_millis() {
        rig.told.clear();
        rig.want(PEER, model, 1);
        rig.run(STEP);
        let asked = rig.told.iter().find(|e| matches!(e.message, PeerMessage::LoadSlotWanted { .. }));
        if let Some(asked) = asked.map(|envelope| envelope.to.clone()) {
            let wait = Duration::from_secs(10);
            rig.hear(
                &asked,
                &PeerMessage::LoadSlotQueued { upstream: name(ENGINE), model: name(model), wait },
            );
            gate = Some(asked);
        }
    }
    gate.expect("a gate is asked")
}
