//! Simulates routing to engines whose load is reported with a delay.
//!
//! Nine routers send to nine engines that all hold the model. Prompt prefixes are drawn
//! from a few hundred with a Zipf distribution; an engine answers faster if it has the
//! prefix in its cache. The core's routing is compared with random choice and round-robin
//! on the same arrivals. Run it with `cargo run --release -p skylarkshore-core --example routing`.

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
/// How many prompt prefixes an engine caches.
const CACHE_CAPACITY: usize = 40;
const PREFIXES: u32 = 300;
const HIT_TIME: Duration = Duration::from_millis(400);
const MISS_TIME: Duration = Duration::from_millis(1200);
/// How often the engines' loads are sent to the routers, and how old they are on arrival.
const VIEW_INTERVAL: Duration = Duration::from_secs(1);
const VIEW_DELAY: Duration = Duration::from_millis(500);
/// How long a caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_mins(5);
/// The initial time that is not measured, while the caches fill.
const WARM_UP: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Core,
    Random,
    Turns,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    Answered { engine: usize, job: usize },
    LoadsSampled,
    LoadsReceived(Vec<u32>),
    Tick,
}

/// How the capacities of the engines differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineMix {
    Alike,
    /// On a third of them another model occupies most of the slots.
    Uneven,
}

impl EngineMix {
    const fn occupied(self, engine: usize) -> usize {
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
    /// The slots that another model's requests occupy permanently.
    occupied: usize,
    running: usize,
    /// The numbers of the jobs that are queued inside it.
    waiting: VecDeque<usize>,
    cache: VecDeque<usize>,
}

struct Bench {
    policy: Policy,
    rng: SmallRng,
    now: Time,
    event_queue: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    enqueued: u64,
    engines: Vec<Engine>,
    routers: Vec<Process>,
    turns: Vec<usize>,
    /// The jobs, indexed by request number.
    jobs: Vec<Job>,
    mean_interarrival: f64,
    /// The cumulative frequencies of the prompt prefixes, by Zipf's law.
    frequencies: Vec<f64>,
    views: u64,
    waits: Vec<Duration>,
    latencies: Vec<Duration>,
    hits: usize,
}

impl Bench {
    fn new(policy: Policy, mix: EngineMix, load: f64, seed: u64) -> Self {
        let occupied: usize = (0..ENGINES).map(|engine| mix.occupied(engine)).sum();
        let mean_service_time = f64::midpoint(HIT_TIME.as_secs_f64(), MISS_TIME.as_secs_f64());
        let capacity = (ENGINES * CONCURRENCY - occupied) as f64 / mean_service_time;
        let mut bench = Self {
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now: Time::from_millis(1000),
            event_queue: BinaryHeap::new(),
            enqueued: 0,
            engines: (0..ENGINES)
                .map(|n| Engine { occupied: mix.occupied(n), ..Engine::default() })
                .collect(),
            routers: (0..ROUTERS).map(|n| router(seed + n as u64)).collect(),
            turns: (0..ROUTERS).collect(),
            jobs: Vec::new(),
            mean_interarrival: 1.0 / (capacity * load),
            frequencies: zipf(PREFIXES),
            views: 0,
            waits: Vec::new(),
            latencies: Vec::new(),
            hits: 0,
        };
        bench.send_views(&[0; ENGINES]);
        bench.enqueue(Duration::ZERO, SimEvent::Arrival);
        bench.enqueue(VIEW_INTERVAL, SimEvent::LoadsSampled);
        bench.enqueue(TICK, SimEvent::Tick);
        bench
    }

    fn enqueue(&mut self, after: Duration, sim_event: SimEvent) {
        self.enqueued += 1;
        self.event_queue.push(Reverse((self.now.after(after), self.enqueued, sim_event)));
    }

    fn run(mut self) -> Self {
        let end = self.now.after(RUN_TIME);
        while let Some(Reverse((at, _, sim_event))) = self.event_queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            for router in &mut self.routers {
                router.now = at;
            }
            match sim_event {
                SimEvent::Arrival => self.arrive(),
                SimEvent::Answered { engine, job } => self.answered(engine, job),
                SimEvent::LoadsSampled => {
                    let running = |e: &Engine| u32::try_from(e.occupied + e.running + e.waiting.len());
                    let loads = self.engines.iter().map(|e| running(e).unwrap_or(u32::MAX)).collect();
                    self.enqueue(VIEW_DELAY, SimEvent::LoadsReceived(loads));
                    self.enqueue(VIEW_INTERVAL, SimEvent::LoadsSampled);
                }
                SimEvent::LoadsReceived(loads) => self.send_views(&loads),
                SimEvent::Tick => {
                    for router in &mut self.routers {
                        router.with(skylarkshore_core::serving::Serving::on_tick);
                    }
                    self.enqueue(TICK, SimEvent::Tick);
                }
            }
            self.handle_effects();
        }
        self
    }

    fn arrive(&mut self) {
        let interarrival = -self.mean_interarrival * (1.0 - self.rng.random::<f64>()).ln();
        self.enqueue(Duration::from_secs_f64(interarrival), SimEvent::Arrival);
        let sample = self.rng.random_range(0.0..self.frequencies.last().copied().unwrap_or(1.0));
        let prefix = self.frequencies.partition_point(|cumulative| *cumulative <= sample);
        let router = self.rng.random_range(0..ROUTERS);
        let job = Job { prefix, arrived: self.now, router, attempt: None };
        let number = self.jobs.len();
        self.jobs.push(job);
        match self.policy {
            Policy::Core => {
                let process = &mut self.routers[router];
                let mut request_arrival = arrival(process, model("m"), 1);
                request_arrival.prefix = Some(digest_of(prefix));
                request_arrival.deadline = process.now.after(CALLER_TIMEOUT);
                process.arrive(number as u64, request_arrival);
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

    /// Passes the core's requests and cancellations to the engines.
    fn handle_effects(&mut self) {
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

    /// Removes a cancelled job from its engine's queue; a running job continues.
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
        if engine.occupied + engine.running >= CONCURRENCY {
            return;
        }
        let Some(job_number) = engine.waiting.pop_front() else { return };
        let job = self.jobs[job_number];
        let hit = engine.cache.iter().position(|cached| *cached == job.prefix);
        if let Some(hit) = hit {
            engine.cache.remove(hit);
        }
        engine.cache.push_back(job.prefix);
        if engine.cache.len() > CACHE_CAPACITY {
            engine.cache.pop_front();
        }
        engine.running += 1;
        let service_time = if hit.is_some() { HIT_TIME } else { MISS_TIME };
        if self.now.since(Time::from_millis(1000)) > WARM_UP {
            let wait = self.now.since(job.arrived);
            self.waits.push(wait);
            self.latencies.push(wait + service_time);
            self.hits += usize::from(hit.is_some());
        }
        self.enqueue(service_time, SimEvent::Answered { engine: number, job: job_number });
    }

    fn answered(&mut self, engine: usize, job: usize) {
        self.engines[engine].running -= 1;
        let Job { router, attempt, .. } = self.jobs[job];
        if let Some(attempt) = attempt {
            self.routers[router].end(attempt, AttemptOutcome::Completed { held: None });
        }
        self.start_next(engine);
    }

    fn send_views(&mut self, loads: &[u32]) {
        self.views += 1;
        for (engine, load) in loads.iter().enumerate() {
            let engine_view = EngineView {
                running: *load,
                concurrency: u32::try_from(CONCURRENCY).unwrap_or(u32::MAX),
                ..view(&format!("e{engine}"), self.views, "m", Readiness::Ready)
            };
            for router in &mut self.routers {
                router.peer("b", &PeerMessage::View(engine_view.clone()));
            }
        }
    }
}

fn router(seed: u64) -> Process {
    let mut process = Process::new("a", seed);
    let template = process.upstreams.get(&name::<UpstreamId>("e1")).expect("it is listed").clone();
    for engine in 0..ENGINES {
        let id: UpstreamId = name(&format!("e{engine}"));
        let mut upstream = template.clone();
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
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0, Duration::as_millis)
}

fn main() {
    println!(
        "engines  load  policy   in time  wait p50 ms  wait p99 ms  answer p50 ms  answer p99 ms  prefix hits"
    );
    for mix in [EngineMix::Alike, EngineMix::Uneven] {
        for load in [0.5, 0.8, 0.95, 1.5] {
            for policy in [Policy::Core, Policy::Random, Policy::Turns] {
                print(&Bench::new(policy, mix, load, 7).run(), mix, load);
            }
        }
    }
}

fn print(bench: &Bench, mix: EngineMix, load: f64) {
    let mut waits = bench.waits.clone();
    let mut latencies = bench.latencies.clone();
    waits.sort_unstable();
    latencies.sort_unstable();
    let hits = 100.0 * bench.hits as f64 / waits.len().max(1) as f64;
    let in_time = latencies.iter().filter(|latency| **latency <= CALLER_TIMEOUT).count();
    println!(
        "{:<8} {load:<5} {:<7} {in_time:>8} {:>12} {:>12} {:>14} {:>14} {hits:>11.1}%",
        format!("{mix:?}"),
        format!("{:?}", bench.policy),
        percentile(&waits, 50),
        percentile(&waits, 99),
        percentile(&latencies, 50),
        percentile(&latencies, 99),
    );
}
