//! A new configuration adds a pool whose models have the names of those of the first pool, and other sizes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use review_standins_2::client::{Client, Request};
use review_standins_2::replica::{Kind, Pool, Replica};
use review_standins_2::system::{System, cannot_run, has_trouble};
use serde_json::{Value, json};

const OLD_POOL: &str = "lh-models";
const NEW_POOL: &str = "lh-models-next";
const ZONES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
/// The models of the first pool; each of its replicas holds the first two, and has no room for a third.
const MODELS: [&str; 6] = ["rada0", "rada1", "rada2", "rada3", "rada4", "rada5"];
const HELD: usize = 2;
const MODEL_MB: f64 = 72_700.0;
/// The size of the first two models in the new pool.
const NEW_MODEL_MB: f64 = 34_300.0;
const REPLICA_MB: f64 = 200_000.0;
/// The pause after a refusal.
const RETRY_AFTER: Duration = Duration::from_millis(500);

fn pool(name: &str, models: &[&str], mb: f64) -> Value {
    let models: Vec<Value> = models
        .iter()
        .map(|model| json!({ "name": model, "weights_mb": mb, "load_s": 6.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.4, "disk_load_s": 1.2 }))
        .collect();
    json!({
        "name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
        "engine": { "slots": 64, "kv_capacity": 154243, "kv_token_bytes": 327680, "models": models, "weights_mb": REPLICA_MB,
            "adapter_slots": 8, "loads_per_s": 2.7, "host_mb": 130000.0, "disk_mb": 1200000.0 },
    })
}

fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "ficu95.example", "prefix": prefix, "type": "stream", "timeout_ms": 15000,
        "target_latency_ms": 3000, "priority": 0, "service": service, "attempts": 1, "sticky": true, "resumable": false, "target_gap_ms": 250,
    })
}

fn main() {
    let system = System::start();
    let record = system.record.clone();
    let old_route = route("r-draft", "/lohu930/", OLD_POOL);
    system.configure(3, json!([old_route]), json!([pool(OLD_POOL, &MODELS, MODEL_MB)]));
    let replicas: Vec<Arc<Replica>> = (0u8..3)
        .map(|n| {
            let models: BTreeMap<String, (f64, Duration)> = MODELS
                .iter()
                .map(|model| ((*model).to_owned(), (MODEL_MB, Duration::from_secs(6))))
                .collect();
            let kind = Kind {
                service: OLD_POOL.to_owned(),
                zone: ZONES[usize::from(n)].to_owned(),
                slots: 64,
                work: Duration::from_millis(60),
                pool: Some(Pool { models, weights_mb: REPLICA_MB }),
                held: MODELS[..HELD].iter().map(|model| (*model).to_owned()).collect(),
                events: 10,
                pace: Duration::from_millis(100),
            };
            Replica::start(&format!("i-{n}"), &system.ip(64, 1 + n), kind, &system.store, &record)
        })
        .collect();
    let hosts: Vec<_> = (0u8..3)
        .map(|n| {
            system.start_host(
                &format!("edge-{}-1", ZONES[usize::from(n)]),
                ZONES[usize::from(n)],
                1 + n,
                true,
            )
        })
        .collect();
    system.await_ready(&hosts.iter().collect::<Vec<_>>());
    thread::sleep(Duration::from_secs(8));

    let stop = Arc::new(AtomicBool::new(false));
    let [whole, cut] = [(); 2].map(|()| Arc::new(AtomicU64::new(0)));
    for host in &hosts {
        for c in 0..3 {
            let (address, name, record) = (host.frontend(), host.name.clone(), record.clone());
            let (stop, whole, cut) = (Arc::clone(&stop), Arc::clone(&whole), Arc::clone(&cut));
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let attempt = format!("{name}-{c}-{number}");
                    // Most requests are for the models that are held, and some for the others.
                    let wanted = if number % 5 == 0 {
                        MODELS[HELD + (number / 5 + c) % (MODELS.len() - HELD)]
                    } else {
                        MODELS[number % HELD]
                    };
                    let headers = [
                        ("X-Model", wanted.to_owned()),
                        ("X-Token-Count", "626,80".to_owned()),
                        ("X-Prompt-Prefix", format!("5c1e07a2:100,{c}{number}:526")),
                    ];
                    let req = Request {
                        method: "POST",
                        target: "/lohu930/2f",
                        host: "ficu95.example",
                        attempt: &attempt,
                        headers: &headers,
                        deadline: Duration::from_secs(15),
                        body: b"a draft",
                    };
                    match client.send(&req) {
                        Ok(res) => {
                            record.line(&format!("client: {attempt} for {wanted} gets {}", res.status()));
                            if res.status() == 200 {
                                whole.fetch_add(1, Ordering::Relaxed);
                            } else {
                                // Callers come back later, as they are told.
                                thread::sleep(RETRY_AFTER);
                            }
                        }
                        Err(err) => {
                            record
                                .line(&format!("client: {attempt} for {wanted} gets no whole answer: {err}"));
                            cut.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            });
        }
    }
    thread::sleep(Duration::from_secs(15));
    if whole.load(Ordering::Relaxed) == 0 {
        cannot_run("no request is served");
    }
    if has_trouble() {
        let services =
            json!([pool(OLD_POOL, &MODELS, MODEL_MB), pool(NEW_POOL, &MODELS[..HELD], NEW_MODEL_MB)]);
        system.configure(5, json!([old_route, route("r-next", "/wuno4/", NEW_POOL)]), services);
    }
    thread::sleep(Duration::from_secs(20));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    let sum = |count: fn(&Replica) -> u32| -> u32 { replicas.iter().map(|replica| count(replica)).sum() };
    let overloads = sum(|replica| replica.overloads.load(Ordering::Relaxed));
    record.say(&format!(
        "clients: {} whole answers, {} broken off; the replicas ran {} requests when they crashed",
        whole.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed),
        sum(|replica| replica.cut.load(Ordering::Relaxed))
    ));
    record.say(&format!(
        "LIMIT: {overloads} of {} replicas were ordered to load more than they hold",
        replicas.len()
    ));
    drop(hosts);
    drop(system);
    std::process::exit(i32::from(overloads > 0));
}
