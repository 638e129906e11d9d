//! Reruns scenarios with a fault injected at each effect that leaves a process.
//!
//! `FAULT_SEEDS=N` runs N times as many pairs of faults, `FAULT_STRIDE=1` injects
//! each fault at every effect; without them CI runs a fixed sample. A failure prints
//! its faults, which `FAULT_ONLY="SCENARIO SEED SERIAL KIND [SERIAL KIND]"` runs alone.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::stream_callers::{StreamCallers, replica};
use crate::support::{
    ACTIVE_WATTS, MODELS, SLEEP_WATTS, ask_model, ask_once, at_secs, describe, digest, document, name, setup,
    upstream, world,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::config::SuspectPolicy;
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::id::RulesRevision;
use skylarkshore_core::upstream::UpstreamKind;
use skylarkshore_standins::world::{
    Ask, CrashPoint, NoFaults, Planned, RequestKey, RequestLog, Setup, Strike, StrikeAt, Violation, World,
};

const HOSTS: usize = 3;
/// When the scenario's requests start; owners and homes are assigned by then.
const BEGIN_SECS: u64 = 10;
/// Replicas of the service that serves streams, and how long the host list names those that have ended.
const REPLICAS: usize = 6;
const LISTING_LAG: Duration = Duration::from_millis(3600);
const STREAM_STEPS: usize = 56;
const STREAM_INTERVAL: Duration = Duration::from_millis(250);
/// When fault injection ends, to leave time for recovery.
const STRIKES_END_SECS: u64 = 26;
/// When recovery is checked.
const RECOVERED_SECS: u64 = 95;
const END_SECS: u64 = 125;

/// The kinds of faults with their printed names.
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

/// The deployment and requests under which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    /// Enough memory and power for every model.
    Plenty,
    /// Power for two of the four engines, a request that crashes upstreams, an
    /// engine that leaves and one that is reclaimed.
    Scarce,
    /// Streams of replicas of two software versions, which are broken off, go on and are taken up at other
    /// hosts, a release and its rollback, and a request that crashes replicas.
    Streams,
    /// Requests of which no two are alike, some with a prompt part that crashes replicas.
    FatalPart,
}

impl Scenario {
    /// Reports whether the host list shows terminations of replicas.
    const fn lists_terminations(self) -> bool {
        matches!(self, Self::Streams | Self::FatalPart)
    }

    fn setup(self, seed: u64) -> Setup {
        let mut setup = setup(HOSTS, seed);
        if self == Self::Scarce {
            setup.document = document(2 * ACTIVE_WATTS + 2 * SLEEP_WATTS);
        }
        if self == Self::Streams {
            let extra = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
            setup.upstreams.extend((2..REPLICAS).map(extra));
            for (number, software) in ["1", "1", "1", "1.1", "1.1", "1.1"].into_iter().enumerate() {
                let id = replica(number);
                let listed = setup.upstreams.iter_mut().find(|listed| listed.id == id);
                listed.expect("it is listed").software = Some(name(software));
            }
            setup.limits.suspects = SuspectPolicy::CountEnds;
            setup.limits.attempts = 4;
        }
        if self == Self::FatalPart {
            let extra = |i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")));
            setup.upstreams.extend((2..REPLICAS).map(extra));
            setup.limits.suspects = SuspectPolicy::CountEnds;
            setup.limits.attempts = 2;
        }
        setup
    }
}

/// A scenario with the faults to inject.
#[derive(Clone, Debug)]
struct Case {
    scenario: Scenario,
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
        format!("{:?} {} {}", self.scenario, self.seed, strikes.join(" "))
    }

    fn parse(text: &str) -> Self {
        let mut words = text.split_whitespace();
        let scenario = match words.next().unwrap() {
            "Scarce" => Scenario::Scarce,
            "Streams" => Scenario::Streams,
            "FatalPart" => Scenario::FatalPart,
            _ => Scenario::Plenty,
        };
        let seed = words.next().unwrap().parse().unwrap();
        let mut strikes = Vec::new();
        while let Some(serial) = words.next() {
            let kind = words.next().unwrap();
            let kind = KINDS.iter().position(|(name, _)| *name == kind).unwrap();
            strikes.push((serial.parse().unwrap(), kind));
        }
        Self { scenario, seed, strikes }
    }
}

/// Runs a scenario's requests until fault injection ends.
fn requests(world: &mut World, scenario: Scenario) {
    match scenario {
        Scenario::Plenty => plenty(world),
        Scenario::Scarce => scarce(world),
        Scenario::Streams => streams(world),
        Scenario::FatalPart => fatal_part(world),
    }
    world.run_until(at_secs(STRIKES_END_SECS));
}

/// Requests cold and warm models, an adapter and a burst, repeats bookings, idles and changes the rules.
fn plenty(world: &mut World) {
    for (i, model) in MODELS.iter().enumerate() {
        world.ask(i % HOSTS, &ask_model(model, i as u64));
    }
    world.run_until(at_secs(BEGIN_SECS + 2));
    world.ask(0, &ask_once(100, 100));
    world.ask(1, &ask_model("lease:bern", 10));
    world.run_until(at_secs(BEGIN_SECS + 5));
    world.ask(2, &ask_once(100, 100));
    world.ask(1, &ask_once(101, 101));
    for i in 0..6 {
        world.ask(i % HOSTS, &ask_model("summary", 20 + i as u64));
    }
    world.run_until(at_secs(BEGIN_SECS + 8));
    world.ask(2, &ask_model("lease:olten", 11));
    world.ask(0, &ask_once(101, 101));
    apply_new_rules(world, document(4 * ACTIVE_WATTS));
}

/// Requests more models than the power allows, repeats a crashing request and removes upstreams.
fn scarce(world: &mut World) {
    for (i, model) in MODELS.iter().enumerate() {
        world.ask(i % HOSTS, &ask_model(model, i as u64));
    }
    world.run_until(at_secs(BEGIN_SECS + 5));
    let crashing = Ask { crashes: true, ..ask_model("summary", 66) };
    world.ask(0, &crashing);
    for i in 0..4 {
        world.ask(i % HOSTS, &ask_model("summary", 30 + i as u64));
    }
    world.ask(1, &ask_once(100, 100));
    world.run_until(at_secs(BEGIN_SECS + 9));
    world.ask(1, &crashing);
    world.ask(2, &ask_once(100, 100));
    world.mark_leaving(&name("engine-2"));
    world.run_until(at_secs(BEGIN_SECS + 12));
    world.reclaim(&name("engine-3"));
    for (i, model) in MODELS.iter().enumerate() {
        world.ask(i % HOSTS, &ask_model(model, 40 + i as u64));
    }
    apply_new_rules(world, document(2 * ACTIVE_WATTS + 2 * SLEEP_WATTS));
}

/// Begins streams, breaks them off, replaces replicas by those of another version and back, and repeats a
/// request that crashes replicas.
fn streams(world: &mut World) {
    let crashing = Ask {
        crashes: true,
        target: Target::Service(name("market")),
        repeat: Repeat::Allowed,
        ..ask_once(666, 666)
    };
    let mut callers = StreamCallers::new(HOSTS, 3);
    for step in 0..STREAM_STEPS {
        callers.begin(world);
        callers.take_up(world);
        match step {
            12 => world.crash_replica(&replica(4)),
            24 => start_with(world, 0, "1.1"),
            36 => start_with(world, 0, "1"),
            _ => {}
        }
        if step % 5 == 4 {
            world.ask(step % HOSTS, &crashing);
        }
        world.run_for(STREAM_INTERVAL);
    }
    apply_new_rules(world, document(4 * ACTIVE_WATTS));
}

/// Sends requests about a few subjects, and after a while some with a fatal part among theirs.
fn fatal_part(world: &mut World) {
    const FATAL: u64 = 666;
    const SOUND_STEPS: u64 = 25;
    const STEPS: u64 = 140;

    world.set_fatal(digest(FATAL), CrashPoint::WithinEvent);
    for step in 0..STEPS {
        let mut ask = Ask {
            target: Target::Service(name("market")),
            repeat: Repeat::Allowed,
            parts: vec![digest(1), digest(100 + step % 5)],
            run_time: Duration::from_millis(300),
            ..ask_once(3000 + step, 3000 + step)
        };
        if step >= SOUND_STEPS && step.is_multiple_of(4) {
            ask.parts.insert(1, digest(FATAL));
        }
        world.ask(usize::try_from(step).expect("the number is small") % HOSTS, &ask);
        world.run_for(Duration::from_millis(100));
    }
    apply_new_rules(world, document(4 * ACTIVE_WATTS));
}

/// Replaces a replica by one of another software version.
fn start_with(world: &mut World, number: usize, software: &str) {
    world.set_next_software(&replica(number), Some(name(software)));
    world.crash_replica(&replica(number));
}

fn apply_new_rules(world: &mut World, mut rules: Document) {
    rules.revision = RulesRevision(2);
    rules.rules.otherwise.replicas_max = 2;
    world.apply_document(rules);
}

/// Runs a case and returns the violations.
fn run(case: &Case) -> Vec<Violation> {
    let mut world = world(case.scenario.setup(case.seed), case.faults());
    if case.scenario.lists_terminations() {
        world.list_terminations(LISTING_LAG);
    }
    world.run_until(at_secs(BEGIN_SECS));
    requests(&mut world, case.scenario);
    world.run_until(at_secs(RECOVERED_SECS));
    let late = ask_all_hosts(&mut world);
    world.run_until(at_secs(END_SECS));
    world.finish();
    let mut violations = world.checks.violations.clone();
    if !world.rules_in_force(RulesRevision(2)) {
        violations
            .push(Violation { at: world.now(), what: "the new rules aren't in force everywhere".to_owned() });
    }
    violations.extend(unanswered(&world, case.scenario, &late));
    if std::env::var_os("FAULT_ONLY").is_some() {
        describe(&mut world, HOSTS);
    }
    violations
}

/// Returns a violation for each late request that a recovered system would have answered.
///
/// If power is scarce, requests for models may be refused, but not all of them and no bookings.
fn unanswered(world: &World, scenario: Scenario, late: &[RequestKey]) -> Vec<Violation> {
    let logs = || late.iter().map(|key| (key, &world.callers.requests[key]));
    let some = logs().any(|(_, log)| matches!(log.ask.target, Target::Model(_)) && log.is_answered());
    let missing = |log: &RequestLog| match (scenario, &log.ask.target) {
        (Scenario::Plenty | Scenario::Streams | Scenario::FatalPart, _) | (_, Target::Service(_)) => {
            !log.is_answered()
        }
        (Scenario::Scarce, Target::Model(_)) => !some,
    };
    logs()
        .filter(|(_, log)| missing(log))
        .map(|(key, log)| {
            let what =
                format!("after the faults {key:?} for {:?} isn't answered: {:?}", log.ask.target, log.ended);
            Violation { at: world.now(), what }
        })
        .collect()
}

/// Requests every model and one booking from every host.
fn ask_all_hosts(world: &mut World) -> Vec<RequestKey> {
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

/// Runs all cases in parallel and panics if any of them found a violation.
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
    assert!(failed.is_empty(), "{} of {} cases failed", failed.len(), cases.len());
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Returns the serial numbers of the effects that leave the processes while a scenario runs.
fn steps(scenario: Scenario, seed: u64) -> std::ops::Range<u64> {
    let mut world = world(scenario.setup(seed), NoFaults);
    if scenario.lists_terminations() {
        world.list_terminations(LISTING_LAG);
    }
    world.run_until(at_secs(BEGIN_SECS));
    let first = world.serial() + 1;
    requests(&mut world, scenario);
    first..world.serial() + 1
}

/// Returns cases with one fault each; each kind is injected at every eleventh effect.
fn single(scenario: Scenario, seed: u64) -> Vec<Case> {
    single_every(scenario, seed, 11)
}

fn single_every(scenario: Scenario, seed: u64, stride: u64) -> Vec<Case> {
    let stride = setting("FAULT_STRIDE", stride);
    let mut cases = Vec::new();
    for serial in steps(scenario, seed) {
        for kind in 0..KINDS.len() {
            if (serial + kind as u64).is_multiple_of(stride) {
                cases.push(Case { scenario, seed, strikes: vec![(serial, kind)] });
            }
        }
    }
    cases
}

/// Returns cases with two random faults each; the same seed gives the same cases.
fn pairs(scenario: Scenario, seed: u64, steps: std::ops::Range<u64>, count: u64) -> Vec<Case> {
    let mut rng = SmallRng::seed_from_u64(setting("FAULT_SEED", 2));
    let mut strike = || (rng.random_range(steps.clone()), rng.random_range(0..KINDS.len()));
    (0..count * setting("FAULT_SEEDS", 1))
        .map(|_| Case { scenario, seed, strikes: vec![strike(), strike()] })
        .collect()
}

#[test]
fn scenarios_without_faults_violate_nothing() {
    for scenario in [Scenario::Plenty, Scenario::Scarce, Scenario::Streams, Scenario::FatalPart] {
        for seed in 1..=4 {
            let case = Case { scenario, seed, strikes: Vec::new() };
            assert_eq!(run(&case), [], "{scenario:?} seed {seed}");
        }
    }
}

#[test]
fn the_case_named_by_the_environment_violates_nothing() {
    if let Ok(only) = std::env::var("FAULT_ONLY") {
        run_all(&[Case::parse(&only)]);
    }
}

#[test]
fn one_fault_at_each_step_violates_nothing() {
    run_all(&single(Scenario::Plenty, 1));
}

#[test]
fn one_fault_at_each_step_violates_nothing_where_power_is_scarce() {
    run_all(&single(Scenario::Scarce, 6));
}

#[test]
fn one_fault_at_each_step_violates_nothing_while_streams_are_broken_off() {
    run_all(&single(Scenario::Streams, 3));
}

#[test]
fn two_faults_together_violate_nothing_while_streams_are_broken_off() {
    run_all(&pairs(Scenario::Streams, 3, steps(Scenario::Streams, 3), 300));
}

#[test]
fn one_fault_at_each_step_violates_nothing_while_a_prompt_part_crashes_replicas() {
    // The scenario has many effects.
    run_all(&single_every(Scenario::FatalPart, 4, 44));
}

#[test]
fn two_faults_together_violate_nothing_while_a_prompt_part_crashes_replicas() {
    run_all(&pairs(Scenario::FatalPart, 4, steps(Scenario::FatalPart, 4), 300));
}

#[test]
fn two_faults_together_violate_nothing() {
    run_all(&pairs(Scenario::Plenty, 1, steps(Scenario::Plenty, 1), 300));
}

#[test]
fn two_faults_together_violate_nothing_where_power_is_scarce() {
    run_all(&pairs(Scenario::Scarce, 6, steps(Scenario::Scarce, 6), 300));
}

#[test]
fn two_faults_during_startup_violate_nothing() {
    let until = steps(Scenario::Plenty, 5).start;
    run_all(&pairs(Scenario::Plenty, 5, 1..until, 100));
}

/// Regression cases, each kept exactly as it was when it found a fault.
#[test]
fn regression_cases_stay_fixed() {
    let found = [
        "Plenty 1 162 cut-peers-long",
        "Plenty 1 293 cut-peers-long 360 kill-before",
        "Plenty 1 333 freeze-past-lease",
        "Plenty 1 243 double",
        "Scarce 6 314 double",
        "Scarce 6 303 kill-before",
        "Scarce 6 311 kill-after 848 kill-before",
        // The host that grants the weight store's slots freezes for 16 s. It processes a slot
        // returned meanwhile only when it resumes, takes the store for slow and refuses all models.
        "Scarce 6 639 freeze-past-lease 601 lose",
        "Scarce 6 165 cut-peers 570 freeze-past-lease",
    ];
    run_all(&found.map(Case::parse));
}
