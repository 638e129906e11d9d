//! How long a load holds its slot at the weight store, and which processes know of it.

use std::time::Duration;

use skylarkshore_core::id::{HostId, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::upstream::Order;

use crate::support::{Delivery, ENGINE, LOAD_TIME, Rig, name};
use crate::weight_store_gate::{
    COPY_LOAD_TIME, PEER, granted, release_slots, remote_engine, request_slots, request_slots_from,
    rig_with_rate,
};

/// Most requests must be served again within this time after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long a fault may keep the weight store idle, so that a load can still end
/// within [`RECOVERY`].
const STORE_IDLE: Duration = RECOVERY.saturating_sub(LOAD_TIME);

/// A host that holds all slots is killed, or its release message is lost. If the
/// gate kept the slots, no other host could fetch a model, and callers of every
/// model without a copy would be refused until long after the fault.
#[test]
fn slots_of_a_silent_host_expire_within_the_recovery_time() {
    let mut rig = rig_with_rate(100_000);
    request_slots(&mut rig, 12, Duration::from_secs(1));
    assert_eq!(granted(&rig).len(), 4, "all slots are granted");
    request_slots_from(&mut rig, "entry-3", 20..21, STORE_IDLE);
    assert!(granted(&rig).contains(&remote_engine(20)), "{:?}", rig.notes);
}

/// The gate's host leaves with its knowledge of running loads. If its successor did
/// not learn of them, it would grant as many slots again, all loads would be slow,
/// and their callers would give up.
#[test]
fn a_new_gate_learns_of_loads_in_progress() {
    let mut rig = rig_with_rate(100_000);
    let gate = grant_by_remote_gate(&mut rig);
    rig.remove_member(gate.as_str());
    rig.sent.clear();
    rig.run_with_demand(Duration::from_millis(2500), PEER, "maize", 1);
    let sent = rig.sent.iter().filter(|e| matches!(e.message, PeerMessage::LoadSlotHeld { .. }));
    assert!(sent.count() >= 1, "{:?}", rig.notes);
}

/// Starts a load of `maize` with a slot from another process, and returns that process.
fn grant_by_remote_gate(rig: &mut Rig) -> HostId {
    for number in 2..=9 {
        rig.add_member(&format!("entry-{number}"));
    }
    rig.run_with_demand(Duration::from_millis(200), PEER, "maize", 1);
    let request = rig.sent.iter().find(|e| matches!(e.message, PeerMessage::LoadSlotWanted { .. }));
    let gate = request.expect("a slot is requested").to.clone();
    let granted = PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("maize") };
    rig.receive(&gate, &granted);
    rig.run_with_demand(Duration::from_millis(200), PEER, "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
    gate
}

/// Four loads with slots from another process are in progress, and their holders
/// report them. No further load may start on a store that sustains four.
#[test]
fn slots_granted_by_a_former_gate_count() {
    let mut rig = rig_with_rate(100_000);
    for number in 0..4 {
        let held = PeerMessage::LoadSlotHeld { upstream: remote_engine(number), model: name("maize") };
        rig.receive(&name(PEER), &held);
    }
    request_slots_from(&mut rig, "entry-3", 10..14, Duration::from_secs(2));
    assert_eq!(granted(&rig), [], "{:?}", rig.notes);
}

/// Reports whether the process still holds its slot for `maize`.
fn holds_slot(rig: &Rig) -> bool {
    let of_engine = rig.sent.iter().rev().find(|envelope| match &envelope.message {
        PeerMessage::LoadSlotHeld { upstream, .. }
        | PeerMessage::LoadSlotWanted { upstream, .. }
        | PeerMessage::LoadSlotReturned { upstream, .. } => *upstream == name::<UpstreamId>(ENGINE),
        _ => false,
    });
    of_engine.is_some_and(|last| !matches!(last.message, PeerMessage::LoadSlotReturned { .. }))
}

/// A model was loaded from the weight store, and the order for its adapter is lost.
/// The adapter is no longer requested, so the order is not resent and stays in
/// doubt. If that counted as a load in progress, the slot would be renewed forever:
/// with one load at a time, no host could fetch any model until the process ends.
///
/// A host's state dump showed every engine idle and half empty, one adapter's memory
/// reserved, and no slot granted for ten seconds while callers of two models waited.
#[test]
fn an_adapter_order_in_doubt_holds_no_slot() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.add_adapter("maize", "blue");
    rig.deliveries = vec![Delivery::Delayed; 20];
    rig.deliveries[0] = Delivery::Delivered;
    rig.run_with_demand(LOAD_TIME + Duration::from_secs(1), PEER, "maize/blue", 1);
    assert!(rig.engine.holds("maize") && !rig.delayed.is_empty(), "{:?}", rig.notes);
    rig.run(STORE_IDLE);
    assert!(!holds_slot(&rig), "{:?}", rig.sent);
}

/// Every order to load a model is lost on its way to an idle engine. If an order in
/// doubt kept its slot, no host could use it, and callers of other models would be
/// refused.
#[test]
fn a_load_in_doubt_holds_no_slot() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.deliveries = vec![Delivery::Delayed; 20];
    rig.run_with_demand(Duration::from_millis(300), PEER, "maize", 1);
    assert!(!rig.delayed.is_empty(), "{:?}", rig.notes);
    rig.run(STORE_IDLE);
    assert!(!holds_slot(&rig), "{:?}", rig.sent);
}

/// An order to load a model is lost, its slot is released, and a resent order is
/// accepted. If the gate did not learn of that load, it would grant all slots beside
/// it, and every load would be slow.
#[test]
fn a_load_accepted_after_a_resend_holds_its_slot_again() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.deliveries = vec![Delivery::Delayed; 3];
    rig.run_with_demand(Duration::from_millis(400), PEER, "maize", 1);
    assert!(!holds_slot(&rig), "{:?}", rig.sent);
    rig.run_with_demand(Duration::from_secs(2), PEER, "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
    assert!(holds_slot(&rig), "{:?}", rig.sent);
}

/// When nothing is fetched from the weight store, the state dump must name the loads
/// that hold slots, those that wait, and the orders in doubt. From the logs alone it
/// looked as if nobody requested a load.
#[test]
fn the_state_dump_shows_slot_holders_and_the_queue() {
    let mut rig = Rig::with_copies(&[("maize", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.clear();
    rig.deliveries = vec![Delivery::Delayed; 20];
    request_slots(&mut rig, 4, Duration::from_secs(1));
    rig.demand("entry-3", "maize", 1);
    rig.run(Duration::from_millis(100));
    let own = format!("maize@{ENGINE}");
    assert_eq!(rig.dump_entries("load_slot"), [format!("{own}: waits; gate=entry-1")]);
    let slots = rig.dump_entries("store_slot");
    assert_eq!(slots[0], "maize@far-0: let through for entry-2");
    assert_eq!(slots.last(), Some(&format!("{own}: waits for entry-1")));
    release_slots(&mut rig, &[remote_engine(0)]);
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.dump_entries("order").len(), 1);
    assert!(rig.dump_entries("order")[0].contains("in doubt: Load"), "{:?}", rig.dump_entries("order"));
}

/// The gate's host is paused, so the next host grants the slot. Then the first one
/// resumes and grants the old request as well. If that second slot were not
/// released, the gate would keep it for a load that does not need it, and with one
/// load at a time, nothing would be granted for seconds after each pause.
#[test]
fn a_late_grant_from_a_former_gate_is_released() {
    let mut rig = rig_with_rate(100_000);
    let gate = grant_by_remote_gate(&mut rig);
    rig.sent.clear();
    let granted = PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("maize") };
    rig.receive(&gate, &granted);
    let is_returned = |rig: &Rig, to: &HostId| {
        let mut sent = rig.sent.iter().filter(|envelope| envelope.to == *to);
        sent.any(|envelope| matches!(envelope.message, PeerMessage::LoadSlotReturned { .. }))
    };
    assert!(!is_returned(&rig, &gate), "a repeated grant of the same gate is not released: {:?}", rig.sent);
    let former: HostId = name(if gate.as_str() == "entry-7" { "entry-8" } else { "entry-7" });
    rig.receive(&former, &granted);
    assert!(is_returned(&rig, &former), "{:?}", rig.sent);
}

/// Guards against unloading a model long before its replacement can be fetched,
/// which would refuse its callers needlessly.
#[test]
fn a_model_stays_until_the_load_that_replaces_it_has_a_slot() {
    let mut rig = Rig::sequential(&[("maize", 600), ("rye", 600)]);
    rig.run_with_demand(Duration::from_secs(1), PEER, "maize", 1);
    rig.run(LOAD_TIME * 2);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
    for number in 2..=9 {
        rig.add_member(&format!("entry-{number}"));
    }
    let gate = queue_at_remote_gate(&mut rig, "rye", Duration::from_secs(3));
    let unloads = rig.engine.done.iter().filter(|order| matches!(order, Order::Unload { .. })).count();
    assert_eq!(unloads, 0, "{:?}", rig.notes);
    rig.receive(&gate, &PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("rye") });
    rig.run_with_demand(Duration::from_secs(2), PEER, "rye", 1);
    assert_eq!(rig.engine.loads_of("rye"), 1, "{:?}", rig.notes);
}

/// Keeps a load in the queue of another process's gate, and returns that process.
fn queue_at_remote_gate(rig: &mut Rig, model: &str, time: Duration) -> HostId {
    const STEP: Duration = Duration::from_millis(100);
    let mut gate = None;
    for _ in 0..time.as_millis() / STEP.as_millis() {
        rig.sent.clear();
        rig.demand(PEER, model, 1);
        rig.run(STEP);
        let request = rig.sent.iter().find(|e| matches!(e.message, PeerMessage::LoadSlotWanted { .. }));
        if let Some(request) = request.map(|envelope| envelope.to.clone()) {
            let wait = Duration::from_secs(10);
            rig.receive(
                &request,
                &PeerMessage::LoadSlotQueued { upstream: name(ENGINE), model: name(model), wait },
            );
            gate = Some(request);
        }
    }
    gate.expect("a slot is requested")
}
