//! Every fault at every step: a scenario is run again for each effect that leaves a process, and struck there.
//!
//! `FAULT_SEEDS=N` strikes N times as many pairs, `FAULT_STRIDE=1` every single
//! effect; without them CI strikes a fixed sample. Each failure prints the
//! strikes, which `FAULT_ONLY="SEED SERIAL KIND [SERIAL KIND]"` repeats alone.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::support::{ACTIVE, MODELS, ask_model, ask_once, at_secs, describe, document, setup, world};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshore_core::id::RulesRevision;
use skylarkshore_standins::world::{NoFaults, Planned, RequestKey, Strike, StrikeAt, Violation, World};

const HOSTS: usize = 3;
/// When the scenario's requests begin; by then owners and homes stand.
const BEGIN: u64 = 10;
/// When strikes end, so that the system has time to recover.
const STRIKES_END: u64 = 26;
/// When it is asked whether the system has recovered.
const RECOVERED: u64 = 95;
const END: u64 = 125;

/// Every kind of strike, by the name under which it is printed.
const KINDS: [(&str, Strike); 15] = [
    ("lose", Strike::Lose),
    ("lose-answer", Strike::LoseAnswer),
    ("delay", Strike::Delay(Duration::from_millis(700))),
    ("delay-long", Strike::Delay(Duration::from_secs(8))),
    ("double", Strike::Double),
    ("kill-before", Strike::KillBefore),
    ("kill-after", Strike::KillAfter),
    ("freeze-short", Strike::Freeze(Duration::from_secs(2))),
    ("freeze-past-lease", Strike::Freeze(Duration::from_secs(16))),
    ("cut-store", Strike::CutStore(Duration::from_secs(15))),
    ("cut-peers", Strike::CutPeers(Duration::from_secs(6))),
    ("store-down", Strike::StoreDown(Duration::from_secs(15))),
    ("store-blink", Strike::StoreDown(Duration::from_secs(1))),
    ("crash-upstream", Strike::CrashUpstream),
    ("cut-peers-long", Strike::CutPeers(Duration::from_secs(20))),
];

/// One run of the scenario.
#[derive(Clone, Debug)]
struct Case {
    seed: u64,
    strikes: Vec<(u64, usize)>,
}

impl Case {
    fn faults(&self) -> StrikeAt {
        let plan = |(serial, kind): &(u64, usize)| Planned { serial: *serial, strike: KINDS[*kind].1 };
        StrikeAt::new(self.strikes.iter().map(plan).collect())
    }

    fn name(&self) -> String {
        let strikes: Vec<String> =
            self.strikes.iter().map(|(serial, kind)| format!("{serial} {}", KINDS[*kind].0)).collect();
        format!("{} {}", self.seed, strikes.join(" "))
    }

    fn parse(text: &str) -> Self {
        let mut words = text.split_whitespace();
        let seed = words.next().unwrap().parse().unwrap();
        let mut strikes = Vec::new();
        while let Some(serial) = words.next() {
            let kind = words.next().unwrap();
            let kind = KINDS.iter().position(|(name, _)| *name == kind).unwrap();
            strikes.push((serial.parse().unwrap(), kind));
        }
        Self { seed, strikes }
    }
}

fn begin(faults: StrikeAt, seed: u64) -> World {
    let mut world = world(setup(HOSTS, seed), faults);
    world.run_until(at_secs(BEGIN));
    world
}

/// Cold and warm models, an adapter, a burst, bookings sent twice, idle time, new rules.
fn requests(world: &mut World) {
    for (i, model) in MODELS.iter().enumerate() {
        world.ask(i % HOSTS, &ask_model(model, i as u64));
    }
    world.run_until(at_secs(BEGIN + 2));
    world.ask(0, &ask_once(100, 100));
    world.ask(1, &ask_model("lease:bern", 10));
    world.run_until(at_secs(BEGIN + 5));
    world.ask(2, &ask_once(100, 100));
    world.ask(1, &ask_once(101, 101));
    for i in 0..6 {
        world.ask(i % HOSTS, &ask_model("summary", 20 + i as u64));
    }
    world.run_until(at_secs(BEGIN + 8));
    world.ask(2, &ask_model("lease:olten", 11));
    world.ask(0, &ask_once(101, 101));
    let mut rules = document(4 * ACTIVE);
    rules.revision = RulesRevision(2);
    rules.rules.otherwise.replicas_max = 2;
    world.apply_document(rules);
    world.run_until(at_secs(STRIKES_END));
}

/// Runs the scenario and returns what must never happen but did.
fn run(case: &Case) -> Vec<Violation> {
    let mut world = begin(case.faults(), case.seed);
    requests(&mut world);
    world.run_until(at_secs(RECOVERED));
    let late = ask_everything(&mut world);
    world.run_until(at_secs(END));
    world.finish();
    let mut violations = world.checks.violations.clone();
    if !world.rules_in_force(RulesRevision(2)) {
        violations
            .push(Violation { at: world.now(), what: "the new rules aren't in force everywhere".to_owned() });
    }
    for key in late {
        let log = &world.callers.requests[&key];
        if !log.is_answered() {
            let what =
                format!("after the faults {key:?} for {:?} isn't answered: {:?}", log.ask.target, log.ended);
            violations.push(Violation { at: world.now(), what });
        }
    }
    if std::env::var_os("FAULT_ONLY").is_some() {
        describe(&mut world, HOSTS);
    }
    violations
}

/// Asks every host for every model and makes a booking; a system that has recovered answers all.
fn ask_everything(world: &mut World) -> Vec<RequestKey> {
    let mut keys = Vec::new();
    for h in 0..HOSTS {
        let number = 1000 + 10 * h as u64;
        for (i, model) in MODELS.iter().enumerate() {
            keys.push(world.ask(h, &ask_model(model, number + i as u64)));
        }
        keys.push(world.ask(h, &ask_once(number, number)));
    }
    keys
}

/// Runs all cases on all cores and fails with those that found something.
fn run_all(cases: &[Case]) {
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let found = run(case);
                    if !found.is_empty() {
                        failed.lock().unwrap().push((case.name(), found));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    for (name, found) in failed.iter().take(12) {
        eprintln!("FAULT_ONLY=\"{name}\"");
        for violation in found.iter().take(4) {
            eprintln!("    {}: {}", violation.at, violation.what);
        }
    }
    assert!(failed.is_empty(), "{} of {} cases found something", failed.len(), cases.len());
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// The serial numbers of the effects that leave the processes while the scenario runs.
fn steps(seed: u64) -> std::ops::Range<u64> {
    let mut world = world(setup(HOSTS, seed), NoFaults);
    world.run_until(at_secs(BEGIN));
    let first = world.serial() + 1;
    requests(&mut world);
    first..world.serial() + 1
}

#[test]
fn the_scenario_is_sound_without_faults() {
    for seed in 1..=4 {
        let case = Case { seed, strikes: Vec::new() };
        assert_eq!(run(&case), [], "seed {seed}");
    }
}

#[test]
fn one_fault_at_each_step_breaks_nothing() {
    if let Ok(only) = std::env::var("FAULT_ONLY") {
        return run_all(&[Case::parse(&only)]);
    }
    let stride = setting("FAULT_STRIDE", 11);
    let mut cases = Vec::new();
    for serial in steps(1) {
        for kind in 0..KINDS.len() {
            if (serial + kind as u64).is_multiple_of(stride) {
                cases.push(Case { seed: 1, strikes: vec![(serial, kind)] });
            }
        }
    }
    run_all(&cases);
}

#[test]
fn two_faults_together_break_nothing() {
    let mut rng = SmallRng::seed_from_u64(setting("FAULT_SEED", 2));
    let count = 300 * setting("FAULT_SEEDS", 1);
    let steps = steps(1);
    let cases: Vec<Case> = (0..count)
        .map(|_| {
            let mut strike = || (rng.random_range(steps.clone()), rng.random_range(0..KINDS.len()));
            Case { seed: 1, strikes: vec![strike(), strike()] }
        })
        .collect();
    run_all(&cases);
}

#[test]
fn two_faults_at_the_start_break_nothing() {
    let mut rng = SmallRng::seed_from_u64(setting("FAULT_SEED", 3));
    let count = 100 * setting("FAULT_SEEDS", 1);
    let until = steps(5).start;
    let cases: Vec<Case> = (0..count)
        .map(|_| {
            let mut strike = || (rng.random_range(1..until), rng.random_range(0..KINDS.len()));
            Case { seed: 5, strikes: vec![strike(), strike()] }
        })
        .collect();
    run_all(&cases);
}
