//! Recovery from brief faults at every step, with a weight store limited to one load at a time.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use skylarkshore_core::config::Timings;
use skylarkshore_standins::world::{Ask, NoFaults, Planned, RequestKey, Setup, Strike, StrikeAt, World};

use crate::support::{MODELS, ask_model, at_secs, describe, setup, world};

const HOSTS: usize = 3;
/// When requests start; owners and homes are assigned by then.
const BEGIN_SECS: u64 = 10;
/// How long faults are injected; two of the four models are loaded meanwhile.
const FAULT_PERIOD_SECS: u64 = 10;
/// The duration of the longest fault.
const FREEZE_SECS: u64 = 2;
/// The time from the end of the last fault until all models must be served.
const RECOVERY_SECS: u64 = 12;
/// When every request must be served.
const RECOVERED_SECS: u64 = BEGIN_SECS + FAULT_PERIOD_SECS + FREEZE_SECS + RECOVERY_SECS;
/// The callers' time-out: long enough for one load, too short for two.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Each fault kind is injected at every nth effect, unless `FAULT_STRIDE` sets another n.
const STRIDE: u64 = 7;

const KINDS: [(&str, Strike); 7] = [
    ("lose", Strike::Lose),
    ("lose-answer", Strike::LoseAnswer),
    ("delay", Strike::Delay(Duration::from_millis(700))),
    ("double", Strike::Double),
    ("kill-before", Strike::KillBefore),
    ("kill-after", Strike::KillAfter),
    ("freeze", Strike::Freeze(Duration::from_secs(FREEZE_SECS))),
];

/// Returns a setup with short leases and time-outs, and one concurrent load from the weight store.
fn short_timings_setup() -> Setup {
    let mut setup = setup(HOSTS, 1);
    setup.limits.loads_at_once = 1;
    setup.timings = Timings {
        lease_ttl: Duration::from_secs(5),
        renew_every: Duration::from_secs(1),
        hold: Duration::from_millis(4500),
        hold_margin: Duration::from_millis(200),
        store_timeout: Duration::from_millis(700),
        heartbeat_every: Duration::from_millis(700),
        peer_timeout: Duration::from_secs(2),
        engine_timeout: Duration::from_secs(3),
        wanted_every: Duration::from_millis(250),
        usage_every: Duration::from_millis(500),
        ..Timings::default()
    };
    setup
}

/// Requests every model once a second at alternating hosts; returns the last second's requests.
fn ask_until(world: &mut World, until: u64) -> Vec<RequestKey> {
    let mut last = Vec::new();
    for second in BEGIN_SECS..until {
        last.clear();
        for (i, model) in (0..).zip(MODELS) {
            let ask = Ask { timeout: REQUEST_TIMEOUT, ..ask_model(model, 100 * second + i) };
            let host = usize::try_from(second + i).expect("the number is small") % HOSTS;
            last.push(world.ask(host, &ask));
        }
        world.run_until(at_secs(second + 1));
    }
    last
}

/// Runs the scenario with one fault and returns the violations and unanswered requests.
fn run(serial: u64, strike: Strike) -> Vec<String> {
    let mut world = world(short_timings_setup(), StrikeAt::new(vec![Planned { serial, strike }]));
    world.run_until(at_secs(BEGIN_SECS));
    let last = ask_until(&mut world, RECOVERED_SECS);
    world.run_until(at_secs(RECOVERED_SECS + REQUEST_TIMEOUT.as_secs() + 1));
    world.finish();
    let mut found: Vec<String> = world.checks.violations.iter().map(|found| found.what.clone()).collect();
    let logs = last.iter().map(|key| &world.callers.requests[key]);
    let unanswered = logs.filter(|log| !log.is_answered());
    found.extend(unanswered.map(|log| format!("{:?} isn't answered: {:?}", log.ask.target, log.ended)));
    if std::env::var_os("RECOVERY_ONLY").is_some() {
        describe(&mut world, HOSTS);
    }
    found
}

/// Returns the serial numbers of the effects to inject faults at, each with its fault kind.
fn cases() -> Vec<(u64, usize)> {
    let mut world = world(short_timings_setup(), NoFaults);
    world.run_until(at_secs(BEGIN_SECS));
    let first = world.serial() + 1;
    let stride = std::env::var("FAULT_STRIDE").ok().and_then(|text| text.parse().ok()).unwrap_or(STRIDE);
    _ = ask_until(&mut world, BEGIN_SECS + FAULT_PERIOD_SECS);
    let steps = first..=world.serial();
    let kinds = steps.flat_map(|serial| (0..KINDS.len()).map(move |kind| (serial, kind)));
    kinds.filter(|(serial, kind)| (serial + *kind as u64).is_multiple_of(stride)).collect()
}

/// Four models are loaded from the weight store in turn, and one fault occurs: an
/// order or message is lost, late or duplicated, or a host is killed or frozen for
/// two seconds. The load's slot of the store may be left without an owner. If it
/// weren't released soon, callers of models that aren't loaded yet would be refused
/// until long after the fault.
///
/// `RECOVERY_ONLY="SERIAL KIND"` runs a single case and prints the hosts' logs.
#[test]
fn every_model_is_served_soon_after_a_brief_fault() {
    let cases = match std::env::var("RECOVERY_ONLY") {
        Ok(only) => {
            let (serial, kind) = only.split_once(' ').expect("a serial number and a kind");
            let kind = KINDS.iter().position(|(name, _)| *name == kind).expect("a listed kind");
            vec![(serial.parse().expect("a number"), kind)]
        }
        Err(_) => cases(),
    };
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| {
                while let Some(&(serial, kind)) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let found = run(serial, KINDS[kind].1);
                    if !found.is_empty() {
                        failed.lock().unwrap().push((serial, KINDS[kind].0, found));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    for (serial, kind, found) in failed.iter().take(12) {
        eprintln!("RECOVERY_ONLY=\"{serial} {kind}\"");
        found.iter().take(4).for_each(|what| eprintln!("    {what}"));
    }
    assert!(failed.is_empty(), "{} of {} cases failed", failed.len(), cases.len());
}
