//! Measures the control overhead per process in simulated time as hosts, engines and active models grow.
//!
//! `cargo run --release -p skylarkshore-standins --example capacity` prints a
//! table for docs/CAPACITY.md. Messages, bytes and calls are deterministic;
//! processor time depends on the machine and covers the decisions only.

use std::time::Duration;

use skylarkshore_core::catalogue::{Catalogue, Document, Model, ModelTarget};
use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::config::{Limits, Timings};
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::id::{CatalogueRevision, Digest, Incarnation, RulesRevision};
use skylarkshore_core::rules::{RuleOutcome, Rules};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamKind, UpstreamStatus, WeightCopies,
};
use skylarkshore_standins::world::{Ask, Framing, HostSetup, Meter, NoFaults, Setup, World};

const WARM_UP_SECS: u64 = 40;
const MEASURED_SECS: u64 = 60;

/// A row of the table.
#[derive(Clone, Copy)]
struct Size {
    hosts: usize,
    engines: usize,
    models: usize,
    /// The number of models that get requests during the measurement.
    active_models: usize,
    adapters_per_model: usize,
}

const SIZES: [Size; 10] = [
    Size { hosts: 3, engines: 9, models: 50, active_models: 9, adapters_per_model: 1 },
    Size { hosts: 9, engines: 9, models: 50, active_models: 9, adapters_per_model: 1 },
    Size { hosts: 30, engines: 9, models: 50, active_models: 9, adapters_per_model: 1 },
    Size { hosts: 100, engines: 9, models: 50, active_models: 9, adapters_per_model: 1 },
    Size { hosts: 9, engines: 30, models: 50, active_models: 9, adapters_per_model: 1 },
    Size { hosts: 9, engines: 100, models: 50, active_models: 9, adapters_per_model: 1 },
    Size { hosts: 9, engines: 100, models: 100, active_models: 90, adapters_per_model: 1 },
    Size { hosts: 9, engines: 9, models: 50, active_models: 9, adapters_per_model: 80 },
    Size { hosts: 30, engines: 50, models: 100, active_models: 45, adapters_per_model: 80 },
    Size { hosts: 100, engines: 170, models: 110, active_models: 90, adapters_per_model: 80 },
];

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the names are valid")
}

fn model(i: usize, adapters: usize) -> Model {
    Model {
        version: name("1"),
        weights: Mebibytes(14_000),
        kv_cache: Mebibytes(4_000),
        load_time: Duration::from_secs(4),
        copy_load_times: None,
        pool: None,
        adapters: (0..adapters).map(|a| (name(&format!("model-{i}:adapter-{a}")), Mebibytes(200))).collect(),
    }
}

fn engine(i: usize) -> Upstream {
    let spec = EngineSpec {
        memory: Mebibytes(48_000),
        sleep_watts: Watts(30),
        active_watts: Watts(300),
        fence_check: FenceCheck::Refuses,
        concurrency: 16,
        order_mode: OrderMode::Parallel,
        pool: None,
        adapter_slots: None,
    };
    Upstream {
        id: name(&format!("engine-{i}")),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: name(&format!("dc-{}", i % 10)),
        site: name("site"),
        kind: UpstreamKind::Engine(spec),
        status: UpstreamStatus::Live,
        incarnation: Incarnation::default(),
        software: None,
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}

fn setup(size: Size) -> Setup {
    let models = (0..size.models).map(|i| (name(&format!("model-{i}")), model(i, size.adapters_per_model)));
    let host = |i: usize| HostSetup {
        host: name(&format!("host-{i}")),
        data_centre: name(&format!("dc-{}", i % size.hosts.min(10))),
    };
    Setup {
        hosts: (0..size.hosts).map(host).collect(),
        upstreams: (0..size.engines).map(engine).collect(),
        document: Document {
            catalogue_revision: CatalogueRevision::default(),
            revision: RulesRevision(1),
            power_caps: [(name("site"), Watts(300 * size.engines as u64))].into(),
            catalogue: Catalogue { models: models.collect(), services: [].into(), ..Catalogue::default() },
            rules: Rules { list: Vec::new(), otherwise: RuleOutcome::default() },
        },
        seed: 1,
        tick: Duration::from_millis(50),
        timings: Timings::default(),
        limits: Limits::default(),
    }
}

fn ask(model: usize, number: u64) -> Ask {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    Ask {
        caller: name("caller"),
        target: Target::Model(ModelTarget { model: name(&format!("model-{model}")), adapter: None }),
        repeat: Repeat::Allowed,
        digest: Digest(digest),
        parts: Vec::new(),
        prefix: None,
        timeout: Duration::from_secs(30),
        run_time: Duration::from_millis(300),
        crashes: false,
        silences: false,
        framing: Framing::Framed,
        is_repeat: false,
        stream: None,
    }
}

/// Sends two requests per second for each active model, at random hosts.
fn send_requests(world: &mut World, size: Size, secs: u64) {
    let mut number = world.serial();
    for _ in 0..secs * 2 {
        for model in 0..size.active_models {
            number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let host = (number >> 33) as usize % size.hosts;
            world.ask(host, &ask(model, number));
        }
        world.run_for(Duration::from_millis(500));
    }
}

fn measure(size: Size) {
    let mut world = World::new(setup(size), Box::new(NoFaults));
    world.run_until(Time::from_millis(WARM_UP_SECS * 1000));
    send_requests(&mut world, size, 20);
    world.metered = true;
    world.reset_meters();
    let calls_before = world.store.calls;
    send_requests(&mut world, size, MEASURED_SECS);
    let answered = world.callers.requests.values().filter(|log| log.is_answered()).count();
    let meters: Vec<_> = (0..size.hosts).map(|h| world.meter(h)).collect();
    let per_host_second = |sum: f64| sum / size.hosts as f64 / MEASURED_SECS as f64;
    let messages: u64 = meters.iter().map(|m| m.sent().messages).sum();
    let bytes: u64 = meters.iter().map(|m| m.sent().bytes).sum();
    let max_bytes = meters.iter().map(|m| m.sent().bytes).max().unwrap_or(0);
    let busy: f64 = meters.iter().map(|m| m.busy.as_secs_f64()).sum();
    let calls_after = world.store.calls;
    let store_calls = (calls_after.reads + calls_after.writes + calls_after.leases)
        - (calls_before.reads + calls_before.writes + calls_before.leases);
    println!(
        "| {} | {} | {} | {} | {} | {:.1} | {:.2} | {:.2} | {:.3}% | {:.2} | {:.0}% |",
        size.hosts,
        size.engines,
        size.models,
        size.active_models,
        size.models * size.adapters_per_model,
        per_host_second(messages as f64),
        per_host_second(bytes as f64) / 1000.0,
        max_bytes as f64 / MEASURED_SECS as f64 / 1000.0,
        per_host_second(busy) * 100.0,
        store_calls as f64 / MEASURED_SECS as f64,
        100.0 * answered as f64 / world.callers.requests.len() as f64,
    );
    if std::env::args().any(|arg| arg == "--kinds") {
        print_kinds(&meters, per_host_second);
    }
}

/// Prints the bandwidth of each kind of message.
fn print_kinds(meters: &[&Meter], per_host_second: impl Fn(f64) -> f64) {
    let mut kinds: OrderedMap<&str, u64> = OrderedMap::new();
    for (kind, count) in meters.iter().flat_map(|meter| &meter.peers) {
        *kinds.entry(kind).or_default() += count.bytes;
    }
    for (kind, bytes) in kinds {
        println!("    {kind}: {:.3} kB/s per host", per_host_second(bytes as f64) / 1000.0);
    }
}

/// Returns the number after a command-line prefix; used to measure only some sizes.
fn option(prefix: &str) -> Option<usize> {
    std::env::args().find_map(|arg| arg.strip_prefix(prefix)?.parse().ok())
}

fn main() {
    println!(
        "| hosts | engines | models | awake | adapters | messages/s per host | kB/s sent per host | kB/s busiest host | decisions, share of a core | key-value calls/s in all | answered |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let hosts = option("--hosts=");
    let active_models = option("--awake=");
    for size in SIZES {
        if hosts.is_none_or(|hosts| size.hosts == hosts)
            && active_models.is_none_or(|active| size.active_models == active)
        {
            measure(size);
        }
    }
}
