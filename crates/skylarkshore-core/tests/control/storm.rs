use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use skylarkshore_core::authority::{Authority, HomeRequest};
use skylarkshore_core::id::{HostId, ModelName, UpstreamId};
use skylarkshore_core::store::{Key, OwnerRecord, Record};
use skylarkshore_core::units::Watts;
use skylarkshore_core::upstream::FenceCheck;

use crate::cluster::{Cluster, assert_one_owner_each, config, document, is_every_engine_owned, name, secs};
use crate::process::{ACTIVE_WATTS, SLEEP_WATTS};

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];
const ENGINES: usize = 6;
const MODELS: u32 = 5;
const REPLICAS_MAX: u32 = 2;
/// Power for three engines.
const CAP: Watts = Watts(3 * ACTIVE_WATTS.0 + 3 * SLEEP_WATTS.0);
const SEED_COUNT: u64 = 240;
const MINUTES_PER_SEED: u64 = 3;
const WORKERS: u64 = 4;
const SEED_STEP: usize = 4;

/// A cluster under random faults, whose owners load and unload as they are allowed.
struct Storm {
    cluster: Cluster,
    rng: SmallRng,
    seed: u64,
    /// What is actually loaded.
    loaded: BTreeSet<(UpstreamId, ModelName)>,
    incarnations: BTreeMap<HostId, u64>,
    /// The number of store changes that were checked.
    checked_changes: usize,
    owners: BTreeMap<UpstreamId, OwnerRecord>,
    loads: usize,
}

impl Storm {
    fn new(seed: u64) -> Self {
        let document = document(1, MODELS, REPLICAS_MAX, CAP);
        let mut cluster = Cluster::with_engines(seed, &HOSTS, ENGINES, FenceCheck::Ignores, document);
        cluster.run_until("every engine has an owner", secs(30), is_every_engine_owned);
        Self {
            cluster,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            loaded: BTreeSet::new(),
            incarnations: HOSTS.iter().map(|host| (name(host), 1)).collect(),
            checked_changes: 0,
            owners: BTreeMap::new(),
            loads: 0,
        }
    }

    fn step(&mut self) {
        self.inject_fault();
        self.cluster.step();
        self.load_and_unload();
        self.check();
    }

    fn inject_fault(&mut self) {
        let host = HOSTS.choose(&mut self.rng).copied().unwrap_or("a");
        let alive = self.cluster.processes.contains_key(&name::<HostId>(host));
        match self.rng.random_range(0..2000) {
            0..4 if alive => self.cluster.process(host).frozen = true,
            4..24 if alive => self.cluster.process(host).frozen = false,
            24..28 if alive => self.cluster.process(host).store_unreachable = true,
            28..48 if alive => self.cluster.process(host).store_unreachable = false,
            48..51 => self.cluster.kill(host),
            51..71 if !alive => self.restart(host),
            71..72 => self.cluster.faults.outage = true,
            72..92 => self.cluster.faults.outage = false,
            92..96 => self.cluster.faults.lost_answers = self.rng.random_range(0..40),
            96..100 => self.cluster.faults.lost_calls = self.rng.random_range(0..40),
            100..104 => self.cluster.faults.lost_messages = self.rng.random_range(0..60),
            104..108 => self.cluster.faults.delayed_writes = self.rng.random_range(0..40),
            108..112 => {
                self.cluster.faults.lost_answers = 0;
                self.cluster.faults.lost_calls = 0;
                self.cluster.faults.lost_messages = 0;
                self.cluster.faults.delayed_writes = 0;
            }
            _ => {}
        }
    }

    fn restart(&mut self, host: &str) {
        let host: HostId = name(host);
        let incarnation = self.incarnations.entry(host.clone()).or_default();
        *incarnation += 1;
        self.cluster.start(config(host.as_str(), *incarnation, self.seed));
    }

    /// Lets every owner load, unload and request homes at random, as far as it is allowed.
    fn load_and_unload(&mut self) {
        let now = self.cluster.now;
        let engines: Vec<UpstreamId> = self.cluster.engines.keys().cloned().collect();
        let model: ModelName = name(&format!("model-{}", self.rng.random_range(0..MODELS)));
        for process in self.cluster.processes.values_mut().filter(|process| !process.frozen) {
            let held: Vec<&UpstreamId> = engines.iter().filter(|engine| process.holds(now, engine)).collect();
            for engine in held {
                let powered = process.control.granted_power(engine) >= ACTIVE_WATTS;
                let at = (engine.clone(), model.clone());
                if powered && process.control.is_home(engine, &model) && self.rng.random_bool(0.2) {
                    self.loads += usize::from(self.loaded.insert(at.clone()));
                }
                if process.control.must_unload(engine, &model) || self.rng.random_bool(0.02) {
                    self.loaded.remove(&at);
                }
                if self.rng.random_bool(0.01) {
                    process.engines.short_of_power.insert(engine.clone());
                }
            }
            let move_from = engines.choose(&mut self.rng).filter(|_| self.rng.random_bool(0.5)).cloned();
            process.engines.home_requests = vec![HomeRequest { model: model.clone(), move_from }];
        }
        for process in self.cluster.processes.values_mut() {
            process.engines.loaded.clone_from(&self.loaded);
        }
    }

    fn check(&mut self) {
        assert_one_owner_each(&mut self.cluster);
        for i in 0..MODELS {
            let model: ModelName = name(&format!("model-{i}"));
            let replicas = self.loaded.iter().filter(|(_, loaded)| *loaded == model).count();
            assert!(replicas <= 2, "{replicas} replicas of {model}, seed {}", self.seed);
        }
        let working: BTreeSet<&UpstreamId> = self.loaded.iter().map(|(engine, _)| engine).collect();
        let drawn: u64 = self
            .cluster
            .engines
            .keys()
            .map(|engine| if working.contains(engine) { ACTIVE_WATTS.0 } else { SLEEP_WATTS.0 })
            .sum();
        assert!(drawn <= CAP.0, "{drawn}W drawn, seed {}", self.seed);
        self.check_records();
    }

    fn check_records(&mut self) {
        for change in &self.cluster.store.log[self.checked_changes..] {
            match (&change.key, &change.record) {
                (Key::Homes(model), Some(Record::Homes(homes))) => {
                    assert!(homes.engines.len() <= 2, "homes of {model}, seed {}", self.seed);
                    let distinct: BTreeSet<&UpstreamId> = homes.engines.iter().collect();
                    assert_eq!(distinct.len(), homes.engines.len(), "homes of {model}, seed {}", self.seed);
                }
                (Key::Owner(engine), Some(Record::Owner(owner))) => {
                    if let Some(former) = self.owners.insert(engine.clone(), owner.clone()) {
                        let same = former.host == owner.host && former.incarnation == owner.incarnation;
                        let rises = owner.fence > former.fence || (same && owner.fence == former.fence);
                        assert!(rises, "fence of {engine}, seed {}", self.seed);
                    }
                }
                _ => {}
            }
        }
        self.checked_changes = self.cluster.store.log.len();
    }

    /// Ends every fault and checks that the cluster recovers.
    fn recover(&mut self) {
        self.cluster.faults = crate::cluster::Faults::default();
        for host in HOSTS {
            match self.cluster.processes.get_mut(&name::<HostId>(host)) {
                Some(process) => {
                    process.frozen = false;
                    process.store_unreachable = false;
                }
                None => self.restart(host),
            }
        }
        for _ in 0..60 * 20 {
            self.cluster.step();
            self.load_and_unload();
            self.check();
        }
        assert!(is_every_engine_owned(&mut self.cluster), "engines without an owner, seed {}", self.seed);
        for i in 0..MODELS {
            let model: ModelName = name(&format!("model-{i}"));
            let at_home = |engine: &UpstreamId| {
                self.cluster.processes.values().any(|process| process.control.is_home(engine, &model))
            };
            assert!(self.cluster.engines.keys().any(at_home), "no home for {model}, seed {}", self.seed);
        }
    }
}

/// Guards the invariants of the control plane against any combination of faults.
///
/// Processes are killed, replaced, frozen and cut off. The key-value service goes away,
/// loses calls and answers, and executes writes long after they were given up. No engine
/// may have two acting owners, no model more replicas than allowed, and no site may draw
/// more than its cap. After the faults end, everything must work again.
#[test]
fn random_faults_never_violate_ownership_replica_or_power_limits() {
    let loads: usize = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS)
            .map(|worker| {
                scope.spawn(move || (worker..SEED_COUNT).step_by(SEED_STEP).map(run_schedule).sum::<usize>())
            })
            .collect();
        workers
            .into_iter()
            .map(|worker| worker.join().expect("no course of faults breaks an invariant"))
            .sum()
    });
    assert!(loads > 1000, "only {loads} loads, so little was tested");
}

/// Runs one random schedule of faults and returns the number of loads.
fn run_schedule(seed: u64) -> usize {
    let mut storm = Storm::new(seed);
    for _ in 0..MINUTES_PER_SEED * 60 * 20 {
        storm.step();
    }
    storm.recover();
    storm.loads
}
