//! Models of one name in two pools, event by event.

use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::catalogue::{Catalogue, ConfiguredCatalogue, Model};
use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::config::{Limits, NodeConfig, Timings, Watchers};
use skylarkshore_core::id::{CatalogueRevision, Digest, Incarnation, ModelName, StoreRevision, UpstreamId};
use skylarkshore_core::rules::{Condition, MinuteOfDay, Rule, RuleInput, RuleOutcome, Rules};
use skylarkshore_core::store::{HomesRecord, Key, Record, Versioned};
use skylarkshore_core::units::{Capacity, Mebibytes, Watts};
use skylarkshore_core::upstream::{
    EngineSpec, FenceCheck, OrderMode, Upstream, UpstreamKind, UpstreamStatus, WeightCopies,
};
use skylarkshore_core::{Event, Node, Time};

fn owl(pool: &str) -> ModelName {
    let model: ModelName = "owl".parse().unwrap();
    if pool.is_empty() { model } else { model.in_pool(&pool.parse().unwrap()) }
}

fn node() -> Node {
    let address = "127.0.0.1:1".parse().unwrap();
    let cfg = NodeConfig {
        host: "host-1".parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: "north".parse().unwrap(),
        caller_address: address,
        peer_address: address,
        fingerprint: Digest([1; 32]),
        seed: 1,
        timings: Timings::default(),
        limits: Limits::default(),
        default_rules: Rules::default(),
        watchers: Watchers::All,
        capacity: Capacity(100),
        is_first_start: true,
    };
    Node::start(cfg, Time::START).0
}

fn model_in(pool: &str) -> Model {
    Model {
        version: "v1".parse().unwrap(),
        weights: Mebibytes(1000),
        kv_cache: Mebibytes(0),
        load_time: Duration::from_secs(6),
        copy_load_times: None,
        pool: Some(pool.parse().unwrap()),
        adapters: OrderedMap::new(),
    }
}

fn watch(node: &mut Node, key: Key, revision: u64, record: Option<Record>) {
    let revision = StoreRevision(revision);
    let changes = vec![Versioned { key, revision, writer: None, record }];
    node.handle(Time::START, Event::Watched { changes, upto: revision });
}

/// Configures pools that each list the model.
fn configure(node: &mut Node, revision: u64, pools: &[&str]) {
    let models = pools.iter().map(|pool| (owl(pool), model_in(pool))).collect();
    let catalogue = Catalogue { models, ..Catalogue::default() };
    let configured = ConfiguredCatalogue { revision: CatalogueRevision(revision), catalogue };
    watch(node, Key::Catalogue, revision, Some(Record::Catalogue(Arc::new(configured))));
}

/// Lists an engine of each pool.
fn list(node: &mut Node, pools: &[&str]) {
    let listed = |pool: &&str| Upstream {
        id: engine(pool),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        site: "site".parse().unwrap(),
        kind: UpstreamKind::Engine(EngineSpec {
            memory: Mebibytes(10_000),
            sleep_watts: Watts(0),
            active_watts: Watts(0),
            fence_check: FenceCheck::Ignores,
            concurrency: 2,
            order_mode: OrderMode::Sequential,
            pool: Some(pool.parse().unwrap()),
            adapter_slots: None,
        }),
        status: UpstreamStatus::Live,
        incarnation: Incarnation(1),
        software: None,
        concurrency: None,
        holds: Vec::new(),
        copies: WeightCopies::default(),
    };
    node.handle(Time::START, Event::HostList(pools.iter().map(listed).collect()));
}

fn engine(pool: &str) -> UpstreamId {
    format!("{pool}@127.0.0.1:9").parse().unwrap()
}

/// Records an engine of a pool as the home of the model, under a key that names a pool or none.
fn record_homes(node: &mut Node, key_pool: &str, revision: u64, engine_pool: &str) {
    let homes = HomesRecord { engines: vec![engine(engine_pool)], evicted_from: Vec::new() };
    watch(node, Key::Homes(owl(key_pool)), revision, Some(Record::Homes(homes)));
}

fn homes(node: &Node, pool: &str) -> Option<Vec<UpstreamId>> {
    node.cache().homes(&owl(pool)).map(|(_, homes)| homes.engines.clone())
}

/// Guards against models that lose their homes, and are unloaded, because the record stands under the key of
/// earlier versions, or because a second pool comes to list a model of the name.
#[test]
fn homes_under_the_former_key_stay_those_of_the_pool_of_their_engines() {
    let mut node = node();
    configure(&mut node, 1, &["writers"]);
    list(&mut node, &["writers", "twins"]);
    record_homes(&mut node, "", 2, "writers");
    assert_eq!(homes(&node, "writers"), Some(vec![engine("writers")]));
    assert_eq!(homes(&node, ""), None, "the mere name would be that of a removed model");

    configure(&mut node, 3, &["twins", "writers"]);
    assert_eq!(homes(&node, "writers"), Some(vec![engine("writers")]));
    assert_eq!(homes(&node, "twins"), None);
    record_homes(&mut node, "twins", 4, "twins");
    assert_eq!(homes(&node, "twins"), Some(vec![engine("twins")]));
    assert_eq!(homes(&node, "writers"), Some(vec![engine("writers")]));

    configure(&mut node, 5, &["twins"]);
    assert_eq!(homes(&node, "writers"), None);
    assert_eq!(homes(&node, "twins"), Some(vec![engine("twins")]));
    configure(&mut node, 6, &["twins", "writers"]);
    assert_eq!(homes(&node, "writers"), Some(vec![engine("writers")]));

    watch(&mut node, Key::Homes(owl("")), 7, None);
    assert_eq!(homes(&node, "writers"), None);
    record_homes(&mut node, "writers", 8, "writers");
    assert_eq!(homes(&node, "writers"), Some(vec![engine("writers")]));
}

/// Guards against a host that starts beside two pools and gives the homes of one to the other, as it knows no
/// engine yet.
#[test]
fn a_host_that_starts_beside_two_pools_gives_homes_to_the_pool_of_their_engines() {
    let mut node = node();
    record_homes(&mut node, "", 1, "writers");
    configure(&mut node, 2, &["twins", "writers"]);
    assert_eq!((homes(&node, "twins"), homes(&node, "writers")), (None, None));
    list(&mut node, &["twins", "writers"]);
    assert_eq!(homes(&node, "twins"), None);
    assert_eq!(homes(&node, "writers"), Some(vec![engine("writers")]));
}

/// Guards against a model that is asked for by its name and found in the wrong pool.
#[test]
fn a_name_that_two_pools_list_means_neither_of_them() {
    let models = ["twins", "writers"].map(|pool| (owl(pool), model_in(pool)));
    let both = Catalogue { models: models.clone().into_iter().collect(), ..Catalogue::default() };
    let one = Catalogue { models: models.into_iter().take(1).collect(), ..Catalogue::default() };
    assert_eq!(both.only_namesake(&owl("")), None);
    assert_eq!(both.resolve("owl"), None);
    assert_eq!(both.resolve("writers/owl").map(|target| target.model), Some(owl("writers")));
    assert_eq!(one.only_namesake(&owl("")), Some(&owl("twins")));
    assert_eq!(one.resolve("owl").map(|target| target.model), Some(owl("twins")));
}

/// Guards against operators' rules that no longer apply to the models that they name.
#[test]
fn a_rule_that_names_a_model_applies_in_every_pool() {
    let when = Condition { models: Some([owl("")].into()), ..Condition::default() };
    let rule = Rule { name: "warm".to_owned(), when, then: RuleOutcome::default() };
    let rules = Rules { list: vec![rule], otherwise: RuleOutcome::default() };
    for pool in ["", "twins", "writers"] {
        let model = owl(pool);
        let at = Some(MinuteOfDay::default());
        let input = RuleInput { model: Some(&model), at, ..RuleInput::default() };
        assert!(rules.decide(&input).rule.is_some(), "{model}");
    }
}
