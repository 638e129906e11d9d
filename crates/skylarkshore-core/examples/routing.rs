//! Measures how requests are spread over engines whose load is known late.
//!
//! Nine routers send to nine engines that all have the model. Prompts begin in
//! one of a few hundred ways, some far more frequent than others; an engine
//! answers sooner when it has a prompt's beginning in its cache. The core's own
//! decisions are compared with random choice and taking turns, on the same
//! arrivals. Run it with `cargo run --release -p skylarkshore-core --example routing`.

#[path = "../tests/support/serving.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use skylarkshore_core::effect::Effect;
use skylarkshore_core::event::AttemptOutcome;
use skylarkshore_core::id::{AttemptId, Digest, UpstreamId};
use skylarkshore_core::peer::PeerMessage;
use skylarkshore_core::time::Time;
use skylarkshore_core::view::{EngineView, Readiness};

use support::{Process, arrival, model, name, view};

const ROUTERS: usize = 9;
const ENGINES: usize = 9;
const CONCURRENCY: usize = 8;
/// How many prompts' beginnings an engine keeps.
const CACHED: usize = 40;
const PREFIXES: u32 = 300;
const HIT: Duration = Duration::from_millis(400);
const MISS: Duration = Duration::from_millis(1200);
/// How often an engine's load reaches the routers, and how old it is then.
const VIEW_EVERY: Duration = Duration::from_secs(1);
const VIEW_LAG: Duration = Duration::from_millis(500);
/// How long a caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_mins(5);
/// What is left out at the start, while the caches fill.
const WARM_UP: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Core,
    Random,
    Turns,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Answered { engine: usize, job: usize },
    Looked,
    Told(Vec<u32>),
    Tick,
}

/// How the engines differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Engines {
    Alike,
    /// A third of them have most of their places taken by another model.
    Uneven,
}

impl Engines {
    const fn taken(self, engine: usize) -> usize {
        match self {
            Self::Uneven if engine.is_multiple_of(3) => 6,
            Self::Alike | Self::Uneven => 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    prefix: usize,
    arrived: Time,
    router: usize,
    attempt: Option<AttemptId>,
}

#[derive(Debug, Default)]
struct Engine {
    /// The places that another model's requests take up all the time.
    taken: usize,
    running: usize,
    /// The numbers of the jobs that wait inside it.
    waiting: VecDeque<usize>,
    cache: VecDeque<usize>,
}

struct Bench {
    policy: Policy,
    rng: SmallRng,
    now: Time,
    agenda: BinaryHeap<Reverse<(Time, u64, Happening)>>,
    planned: u64,
    engines: Vec<Engine>,
    routers: Vec<Process>,
    turns: Vec<usize>,
    /// The job of each request, by its number.
    jobs: Vec<Job>,
    gap: f64,
    /// The summed frequencies of the prompts' beginnings, after Zipf's law.
    frequencies: Vec<f64>,
    views: u64,
    waits: Vec<Duration>,
    totals: Vec<Duration>,
    hits: usize,
}

impl Bench {
    fn new(policy: Policy, kind: Engines, load: f64, seed: u64) -> Self {
        let taken: usize = (0..ENGINES).map(|engine| kind.taken(engine)).sum();
        let mean_service = f64::midpoint(HIT.as_secs_f64(), MISS.as_secs_f64());
        let capacity = (ENGINES * CONCURRENCY - taken) as f64 / mean_service;
        let mut bench = Self {
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now: Time::from_millis(1000),
            agenda: BinaryHeap::new(),
            planned: 0,
            engines: (0..ENGINES).map(|n| Engine { taken: kind.taken(n), ..Engine::default() }).collect(),
            routers: (0..ROUTERS).map(|n| router(seed + n as u64)).collect(),
            turns: (0..ROUTERS).collect(),
            jobs: Vec::new(),
            gap: 1.0 / (capacity * load),
            frequencies: zipf(PREFIXES),
            views: 0,
            waits: Vec::new(),
            totals: Vec::new(),
            hits: 0,
        };
        bench.tell_views(&[0; ENGINES]);
        bench.plan(Duration::ZERO, Happening::Arrival);
        bench.plan(VIEW_EVERY, Happening::Looked);
        bench.plan(TICK, Happening::Tick);
        bench
    }

    fn plan(&mut self, after: Duration, happening: Happening) {
        self.planned += 1;
        self.agenda.push(Reverse((self.now.after(after), self.planned, happening)));
    }

    fn run(mut self) -> Self {
        let end = self.now.after(LENGTH);
        while let Some(Reverse((at, _, happening))) = self.agenda.pop() {
            if at > end {
                break;
            }
            self.now = at;
            for router in &mut self.routers {
                router.now = at;
            }
            match happening {
                Happening::Arrival => self.arrive(),
                Happening::Answered { engine, job } => self.answered(engine, job),
                Happening::Looked => {
                    let running = |e: &Engine| u32::try_from(e.taken + e.running + e.waiting.len());
                    let loads = self.engines.iter().map(|e| running(e).unwrap_or(u32::MAX)).collect();
                    self.plan(VIEW_LAG, Happening::Told(loads));
                    self.plan(VIEW_EVERY, Happening::Looked);
                }
                Happening::Told(loads) => self.tell_views(&loads),
                Happening::Tick => {
                    for router in &mut self.routers {
                        router.with(skylarkshore_core::serving::Serving::on_tick);
                    }
                    self.plan(TICK, Happening::Tick);
                }
            }
            self.pass_on();
        }
        self
    }

    fn arrive(&mut self) {
        let gap = -self.gap * (1.0 - self.rng.random::<f64>()).ln();
        self.plan(Duration::from_secs_f64(gap), Happening::Arrival);
        let drawn = self.rng.random_range(0.0..self.frequencies.last().copied().unwrap_or(1.0));
        let prefix = self.frequencies.partition_point(|upto| *upto <= drawn);
        let router = self.rng.random_range(0..ROUTERS);
        let job = Job { prefix, arrived: self.now, router, attempt: None };
        let number = self.jobs.len();
        self.jobs.push(job);
        match self.policy {
            Policy::Core => {
                let process = &mut self.routers[router];
                let mut asked = arrival(process, model("m"), 1);
                asked.prefix = Some(digest_of(prefix));
                asked.deadline = process.now.after(PATIENCE);
                process.arrive(number as u64, asked);
            }
            Policy::Random => {
                let engine = self.rng.random_range(0..ENGINES);
                self.submit(engine, number);
            }
            Policy::Turns => {
                self.turns[router] = (self.turns[router] + 1) % ENGINES;
                self.submit(self.turns[router], number);
            }
        }
    }

    /// Carries to the engines what the core has sent and cancelled.
    fn pass_on(&mut self) {
        for router in 0..ROUTERS {
            for effect in self.routers[router].take() {
                match effect {
                    Effect::Send { request, attempt, upstream, .. } => {
                        let number = usize::try_from(request.0).unwrap_or(usize::MAX);
                        self.jobs[number].attempt = Some(attempt);
                        self.submit(engine_number(&upstream), number);
                    }
                    Effect::Cancel { attempt } => self.cancel(router, attempt),
                    _ => {}
                }
            }
        }
    }

    /// Takes a cancelled job out of its engine's queue; one that runs goes on.
    fn cancel(&mut self, router: usize, attempt: AttemptId) {
        let jobs = &self.jobs;
        let cancelled = |job: &usize| jobs[*job].router == router && jobs[*job].attempt == Some(attempt);
        for engine in &mut self.engines {
            engine.waiting.retain(|job| !cancelled(job));
        }
    }

    fn submit(&mut self, engine: usize, job: usize) {
        self.engines[engine].waiting.push_back(job);
        self.start_next(engine);
    }

    fn start_next(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.taken + engine.running >= CONCURRENCY {
            return;
        }
        let Some(job_number) = engine.waiting.pop_front() else { return };
        let job = self.jobs[job_number];
        let hit = engine.cache.iter().position(|cached| *cached == job.prefix);
        if let Some(hit) = hit {
            engine.cache.remove(hit);
        }
        engine.cache.push_back(job.prefix);
        if engine.cache.len() > CACHED {
            engine.cache.pop_front();
        }
        engine.running += 1;
        let takes = if hit.is_some() { HIT } else { MISS };
        if self.now.since(Time::from_millis(1000)) > WARM_UP {
            let wait = self.now.since(job.arrived);
            self.waits.push(wait);
            self.totals.push(wait + takes);
            self.hits += usize::from(hit.is_some());
        }
        self.plan(takes, Happening::Answered { engine: number, job: job_number });
    }

    fn answered(&mut self, engine: usize, job: usize) {
        self.engines[engine].running -= 1;
        let Job { router, attempt, .. } = self.jobs[job];
        if let Some(attempt) = attempt {
            self.routers[router].end(attempt, AttemptOutcome::Completed { held: None });
        }
        self.start_next(engine);
    }

    fn tell_views(&mut self, loads: &[u32]) {
        self.views += 1;
        for (engine, load) in loads.iter().enumerate() {
            let account = EngineView {
                running: *load,
                concurrency: u32::try_from(CONCURRENCY).unwrap_or(u32::MAX),
                ..view(&format!("e{engine}"), self.views, "m", Readiness::Ready)
            };
            for router in &mut self.routers {
                router.peer("b", &PeerMessage::View(account.clone()));
            }
        }
    }
}

fn router(seed: u64) -> Process {
    let mut process = Process::new("a", seed);
    let one = process.upstreams.get(&name::<UpstreamId>("e1")).expect("it is listed").clone();
    for engine in 0..ENGINES {
        let id: UpstreamId = name(&format!("e{engine}"));
        let mut upstream = one.clone();
        upstream.id = id.clone();
        upstream.data_centre = name(["bern-a", "olten-b", "aarau-c"][engine % 3]);
        process.upstreams.insert(upstream);
    }
    process
}

fn engine_number(upstream: &UpstreamId) -> usize {
    upstream.as_str()[1..].parse().expect("engines are numbered")
}

fn digest_of(prefix: usize) -> Digest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&(prefix as u64).to_le_bytes());
    Digest(bytes)
}

fn zipf(len: u32) -> Vec<f64> {
    let sum = |sum: &mut f64, rank| {
        *sum += 1.0 / f64::from(rank);
        Some(*sum)
    };
    (1..=len).scan(0.0, sum).collect()
}

fn percentile(sorted: &[Duration], percent: usize) -> u128 {
    let place = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(place).map_or(0, Duration::as_millis)
}

fn main() {
    println!(
        "engines  load  policy   in time  wait p50 ms  wait p99 ms  answer p50 ms  answer p99 ms  prefix hits"
    );
    for kind in [Engines::Alike, Engines::Uneven] {
        for load in [0.5, 0.8, 0.95, 1.5] {
            for policy in [Policy::Core, Policy::Random, Policy::Turns] {
                print(&Bench::new(policy, kind, load, 7).run(), kind, load);
            }
        }
    }
}

fn print(bench: &Bench, kind: Engines, load: f64) {
    let mut waits = bench.waits.clone();
    let mut totals = bench.totals.clone();
    waits.sort_unstable();
    totals.sort_unstable();
    let hits = 100.0 * bench.hits as f64 / waits.len().max(1) as f64;
    let in_time = totals.iter().filter(|total| **total <= PATIENCE).count();
    println!(
        "{:<8} {load:<5} {:<7} {in_time:>8} {:>12} {:>12} {:>14} {:>14} {hits:>11.1}%",
        format!("{kind:?}"),
        format!("{:?}", bench.policy),
        percentile(&waits, 50),
        percentile(&waits, 99),
        percentile(&totals, 50),
        percentile(&totals, 99),
    );
}
