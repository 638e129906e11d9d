//! The gate that limits the loads of all processes to what the weight store sustains.

use std::ops::Range;
use std::time::Duration;

use skylarkshore_core::id::{HostId, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::units::LoadRate;

use crate::support::{ENGINE, LOAD_TIME, Rig, name};

/// How long a load from an engine's own disk takes.
pub const COPY_LOAD_TIME: Duration = Duration::from_millis(600);

pub const PEER: &str = "entry-2";

pub fn remote_engine(number: usize) -> UpstreamId {
    name(&format!("far-{number}"))
}

/// Requests slots for loads of `maize` on a number of engines repeatedly for a while, as a peer.
pub fn request_slots(rig: &mut Rig, engines: usize, d: Duration) {
    request_slots_from(rig, PEER, 0..engines, d);
}

pub fn request_slots_from(rig: &mut Rig, peer: &str, engines: Range<usize>, d: Duration) {
    let end = rig.now.after(d);
    while rig.now < end {
        for number in engines.clone() {
            let wanted = PeerMessage::LoadSlotWanted {
                upstream: remote_engine(number),
                model: name("maize"),
                order: ServiceOrder::default(),
                max_wait: Duration::from_mins(1),
            };
            rig.receive(&name(peer), &wanted);
        }
        rig.run(Duration::from_millis(200));
    }
}

/// Returns the engines that were granted a slot, without duplicates.
pub fn granted(rig: &Rig) -> Vec<UpstreamId> {
    let mut engines: Vec<UpstreamId> = Vec::new();
    for envelope in &rig.sent {
        if let PeerMessage::LoadSlotGranted { upstream, .. } = &envelope.message
            && !engines.contains(upstream)
        {
            engines.push(upstream.clone());
        }
    }
    engines
}

pub fn release_slots(rig: &mut Rig, engines: &[UpstreamId]) {
    for upstream in engines {
        let returned = PeerMessage::LoadSlotReturned { upstream: upstream.clone(), model: name("maize") };
        rig.receive(&name(PEER), &returned);
    }
}

pub fn rig_with_rate(per_kilosecond: u32) -> Rig {
    let mut rig = Rig::new(&[("maize", 300)]);
    rig.document.catalogue.load_rate = Some(LoadRate(per_kilosecond));
    rig
}

/// The configuration allows one load to start every two seconds. A process with a
/// rate of its own would exceed it, and the excess loads would be
/// counted against it.
#[test]
fn loads_keep_to_the_configured_rate() {
    let mut rig = rig_with_rate(500);
    request_slots(&mut rig, 10, Duration::from_millis(5900));
    // The store sustains one load at full speed; each slot is released at once.
    let mut started = granted(&rig).len();
    for _ in 0..20 {
        let engines = granted(&rig);
        release_slots(&mut rig, &engines);
        request_slots(&mut rig, 10, Duration::from_millis(200));
        started = started.max(granted(&rig).len());
    }
    assert!((3..=6).contains(&started), "{started} loads started within 10 s");
}

/// Loads take twice the listed time because too many run concurrently. Starting as
/// many again would block each engine for twice as long without any gain. Once loads
/// end on time, the limit grows again.
#[test]
fn the_limit_decreases_while_loads_are_slow() {
    let mut rig = rig_with_rate(4000);
    let mut started = Vec::new();
    let mut running = Vec::new();
    for length in [LOAD_TIME * 2, LOAD_TIME, LOAD_TIME] {
        rig.sent.clear();
        release_slots(&mut rig, &running);
        request_slots(&mut rig, 10, length);
        running = granted(&rig);
        started.push(running.len());
    }
    assert_eq!(started[0], 4, "the configured limit");
    assert!(started[1] < started[0] && started[2] > started[1], "{started:?}: {:?}", rig.notes);
}

/// The gate is unreachable and every process uses its local share. If each started
/// one load a second, all together would exceed the rate.
#[test]
fn without_the_gate_all_hosts_together_keep_to_the_rate() {
    let mut rig = rig_with_rate(1000);
    rig.drop_gate_messages = true;
    for number in 2..=5 {
        rig.add_member(&format!("entry-{number}"));
    }
    rig.run_with_demand(Duration::from_secs(2), PEER, "maize", 1);
    let started = || rig.notes.iter().filter(|note| note.event == "load_started").count();
    assert_eq!(started(), 1);
}

/// The store sustains one load, and four were granted at first. Each takes four
/// times as long, so none ends for a minute. If the limit were learned from finished
/// loads only, more would be granted beside them, none would ever end, and callers
/// of their models would wait as long as the deployment runs.
#[test]
fn the_limit_decreases_for_loads_that_do_not_end() {
    let mut rig = rig_with_rate(100_000);
    request_slots(&mut rig, 12, Duration::from_secs(1));
    let first = granted(&rig);
    assert_eq!(first.len(), 4);
    request_slots(&mut rig, 12, LOAD_TIME * 3);
    release_slots(&mut rig, &first[..2]);
    request_slots(&mut rig, 12, Duration::from_secs(1));
    assert_eq!(granted(&rig).len(), 4, "two of four slow loads are still in progress");
}

/// Four loads run and eight wait. Each waiting load gets an estimate, so that
/// callers who cannot wait that long are refused at once.
#[test]
fn queued_loads_get_a_wait_estimate() {
    let mut rig = rig_with_rate(100_000);
    request_slots(&mut rig, 12, Duration::from_secs(1));
    let waits = rig.sent.iter().rev().take(12).filter_map(|envelope| match &envelope.message {
        PeerMessage::LoadSlotQueued { wait, .. } => Some(*wait),
        _ => None,
    });
    let waits: Vec<Duration> = waits.collect();
    let longest = waits.iter().max().expect("eight loads wait");
    assert!(*longest > LOAD_TIME && *longest < LOAD_TIME * 2, "{waits:?}");
    assert!(waits.iter().all(|wait| *wait > Duration::ZERO), "{waits:?}");
}

/// A load waits at the gate while its engine loads another model from disk and sends
/// no slot requests. The owner then took the gate, which had answered within
/// milliseconds, for silent and started the load without it. On eighty hosts this
/// led to forty-seven loads on a store that sustains one: three of them ended in a
/// day, and callers of forty models were refused all day.
///
/// Forty-six of those loads followed a log entry for a silent gate that had last
/// answered 0.3 to 2 s before; the gate had granted four.
#[test]
fn a_load_that_pauses_its_requests_does_not_bypass_the_gate() {
    let mut rig = Rig::with_copies(&[("maize", 300), ("rye", 300)], COPY_LOAD_TIME);
    rig.engine.copies.on_disk.remove(&name("maize"));
    rig.document.catalogue.load_rate = Some(LoadRate(100_000));
    request_slots(&mut rig, 12, Duration::from_secs(1));
    assert_eq!(granted(&rig).len(), 4, "all slots are granted");
    for round in 0..10 {
        rig.demand("entry-3", "maize", 1);
        if round == 2 {
            rig.demand_with("entry-4", "rye", 1, ServiceOrder(1), Duration::from_secs(2));
        }
        request_slots(&mut rig, 12, Duration::from_millis(200));
    }
    assert!(rig.engine.holds("rye"), "{:?}", rig.notes);
    assert_eq!(rig.engine.loads_of("maize"), 0, "{:?}", rig.notes);
}

/// The gate's host is paused for some seconds. If every host used its local share,
/// dozens of loads would slow each other down until long after its return. The next
/// host in hash order takes over and grants what one gate grants.
#[test]
fn the_next_host_takes_over_a_silent_gate() {
    let mut rig = rig_with_rate(100_000);
    for number in 2..=9 {
        rig.add_member(&format!("entry-{number}"));
    }
    rig.run_with_demand(Duration::from_millis(500), PEER, "maize", 1);
    let gates = rig.sent.iter().filter(|e| matches!(e.message, PeerMessage::LoadSlotWanted { .. }));
    let mut gates: Vec<String> = gates.map(|envelope| envelope.to.to_string()).collect();
    gates.dedup();
    assert_eq!(gates.len(), 2, "{gates:?}: {:?}", rig.notes);
    assert_eq!(rig.engine.loads_of("maize"), 0);
    let gate: HostId = name(&gates[1]);
    let granted = PeerMessage::LoadSlotGranted { upstream: name(ENGINE), model: name("maize") };
    rig.receive(&gate, &granted);
    rig.run_with_demand(Duration::from_millis(500), PEER, "maize", 1);
    assert_eq!(rig.engine.loads_of("maize"), 1, "{:?}", rig.notes);
}

/// A load starts alone, and three more start some time later. The first one ends on
/// time because it had the store to itself at its start; the others will take
/// several times as long. If it counted as concurrent with them, the limit would
/// double, and none of those loads would end for minutes.
#[test]
fn a_load_that_started_alone_does_not_raise_the_limit() {
    let mut rig = rig_with_rate(100_000);
    for number in 0..20 {
        rig.add_engine(&format!("far-{number}"), PEER);
    }
    request_slots(&mut rig, 1, LOAD_TIME / 2);
    request_slots(&mut rig, 12, LOAD_TIME / 2);
    assert_eq!(granted(&rig).len(), 4);
    release_slots(&mut rig, &[remote_engine(0)]);
    request_slots(&mut rig, 12, Duration::from_secs(1));
    assert!(granted(&rig).len() <= 5, "{:?}", rig.notes);
}
