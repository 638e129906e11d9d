//! A small simulated deployment, and helpers to send requests and print its state.

use std::time::Duration;

use skylarkshore_core::catalogue::{Catalogue, Document, Model, ModelTarget, Service};
use skylarkshore_core::config::{Limits, Timings};
use skylarkshore_core::event::{Repeat, Target};
use skylarkshore_core::id::{CatalogueRevision, Digest, Incarnation, RulesRevision};
use skylarkshore_core::rules::{RuleOutcome, Rules};
use skylarkshore_core::time::Time;
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamKind, UpstreamStatus, WeightCopies,
};
use skylarkshore_standins::world::{Ask, Faults, Framing, HostSetup, Setup, World};

pub(crate) const DATA_CENTRES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
pub(crate) const MODELS: [&str; 4] = ["summary", "lease", "classify", "draft"];

pub(crate) const ACTIVE_WATTS: u64 = 300;
pub(crate) const SLEEP_WATTS: u64 = 30;

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub(crate) fn digest(number: u64) -> Digest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Digest(bytes)
}

/// Returns a model that takes up most of an engine's memory.
pub(crate) fn model() -> Model {
    Model {
        version: name("1"),
        weights: Mebibytes(14_000),
        kv_cache: Mebibytes(4_000),
        load_time: Duration::from_secs(4),
        copy_load_times: None,
        pool: None,
        adapters: [(name("lease:bern"), Mebibytes(200)), (name("lease:olten"), Mebibytes(200))].into(),
    }
}

pub(crate) fn document(cap: u64) -> Document {
    let mut models: skylarkshore_core::collections::OrderedMap<_, _> =
        MODELS.iter().map(|m| (name(m), Model { adapters: [].into(), ..model() })).collect();
    models.insert(name("lease"), model());
    let service = Service { once_paths: vec!["/bookings".to_owned()], concurrency: 8 };
    Document {
        catalogue_revision: CatalogueRevision::default(),
        revision: RulesRevision(1),
        power_caps: [(name("lagerraum"), Watts(cap))].into(),
        catalogue: Catalogue { models, services: [(name("market"), service)].into(), ..Catalogue::default() },
        rules: Rules { list: Vec::new(), otherwise: RuleOutcome::default() },
    }
}

pub(crate) fn engine(i: usize, fence_check: FenceCheck) -> Upstream {
    let spec = EngineSpec {
        memory: Mebibytes(24_000),
        sleep_watts: Watts(SLEEP_WATTS),
        active_watts: Watts(ACTIVE_WATTS),
        fence_check,
        concurrency: 4,
        order_mode: OrderMode::Parallel,
        pool: None,
        adapter_slots: None,
    };
    upstream(&format!("engine-{i}"), i, UpstreamKind::Engine(spec))
}

pub(crate) fn upstream(id: &str, i: usize, kind: UpstreamKind) -> Upstream {
    Upstream {
        id: name(id),
        address: ([127, 0, 0, 1], u16::try_from(9000 + i).unwrap()).into(),
        data_centre: name(DATA_CENTRES[i % 3]),
        site: name("lagerraum"),
        kind,
        status: UpstreamStatus::Live,
        incarnation: Incarnation::default(),
        software: None,
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    }
}

/// Returns a setup with four engines, every second of which ignores fences, and two service replicas.
pub(crate) fn setup(hosts: usize, seed: u64) -> Setup {
    let checks = [FenceCheck::Refuses, FenceCheck::Ignores];
    let mut upstreams: Vec<Upstream> = (0..4).map(|i| engine(i, checks[i % 2])).collect();
    upstreams
        .extend((0..2).map(|i| upstream(&format!("market-{i}"), i, UpstreamKind::Service(name("market")))));
    Setup {
        hosts: (0..hosts)
            .map(|i| HostSetup { host: name(&format!("host-{i}")), data_centre: name(DATA_CENTRES[i % 3]) })
            .collect(),
        upstreams,
        document: document(4 * ACTIVE_WATTS),
        seed,
        tick: Duration::from_millis(50),
        timings: Timings::default(),
        limits: Limits::default(),
    }
}

pub(crate) fn ask_model(model: &str, number: u64) -> Ask {
    let adapter = model.contains(':').then(|| name(model));
    let base = model.split(':').next().unwrap();
    Ask {
        caller: name("cooperative"),
        target: Target::Model(ModelTarget { model: name(base), adapter }),
        repeat: Repeat::Allowed,
        digest: digest(number),
        parts: Vec::new(),
        prefix: None,
        timeout: Duration::from_secs(20),
        run_time: Duration::from_millis(400),
        crashes: false,
        silences: false,
        framing: Framing::Framed,
        is_repeat: false,
        stream: None,
    }
}

pub(crate) fn ask_once(key: u64, number: u64) -> Ask {
    Ask {
        target: Target::Service(name("market")),
        repeat: Repeat::Once { key: digest(key) },
        timeout: Duration::from_secs(5),
        run_time: Duration::from_millis(100),
        ..ask_model("summary", number)
    }
}

pub(crate) fn world(setup: Setup, faults: impl Faults + 'static) -> World {
    World::new(setup, Box::new(faults))
}

pub(crate) fn at_secs(s: u64) -> Time {
    Time::from_millis(1000 * s)
}

/// Panics with all violations, after printing the events and state of each host.
pub(crate) fn assert_sound(world: &mut World, hosts: usize) {
    world.finish();
    if world.checks.violations.is_empty() {
        return;
    }
    describe(world, hosts);
    panic!("{:#?}", world.checks.violations);
}

/// Prints the logged events and the state of each host.
pub(crate) fn describe(world: &mut World, hosts: usize) {
    for note in &world.notes {
        eprintln!("{} {} {} {} {}", note.at, note.host, note.note.event, note.note.subject, note.note.detail);
    }
    for h in 0..hosts {
        for entry in world.dump(h) {
            eprintln!("host-{h} {} {}: {} since {:?}", entry.kind, entry.subject, entry.state, entry.since);
        }
    }
}
