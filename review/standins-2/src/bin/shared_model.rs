//! A new configuration adds a second pool, which holds a model that the first pool holds too.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use review_standins_2::client::{Client, Request};
use review_standins_2::replica::{Kind, Pool, Replica};
use review_standins_2::system::{Host, System, cannot_run, has_trouble};
use serde_json::{Value, json};

const OLD_POOL: &str = "lh-models";
const NEW_POOL: &str = "lh-models-next";
const OLD_PATH: &str = "/lohu930/2f";
const NEW_PATH: &str = "/wuno4/2f";
/// The model that both pools hold.
const SHARED: &str = "rada0";
const ZONES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
const MODEL_MB: f64 = 72_700.0;

fn pool(name: &str, models: &[&str]) -> Value {
    let models: Vec<Value> = models
        .iter()
        .map(|model| json!({ "name": model, "weights_mb": MODEL_MB, "load_s": 6.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.4, "disk_load_s": 1.2 }))
        .collect();
    json!({
        "name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
        "engine": { "slots": 64, "kv_capacity": 154243, "kv_token_bytes": 327680, "models": models, "weights_mb": 200000.0,
            "adapter_slots": 8, "loads_per_s": 2.7, "host_mb": 130000.0, "disk_mb": 1200000.0 },
    })
}

fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "ficu95.example", "prefix": prefix, "type": "stream", "timeout_ms": 15000,
        "target_latency_ms": 3000, "priority": 0, "service": service, "attempts": 1, "sticky": true, "resumable": false, "target_gap_ms": 250,
    })
}

fn replica(system: &System, id: &str, number: u8, service: &str, held: &[&str]) -> Arc<Replica> {
    let models: BTreeMap<String, (f64, Duration)> =
        held.iter().map(|model| ((*model).to_owned(), (MODEL_MB, Duration::from_secs(6)))).collect();
    let kind = Kind {
        service: service.to_owned(),
        zone: ZONES[usize::from(number) % 3].to_owned(),
        slots: 64,
        work: Duration::from_millis(60),
        pool: Some(Pool { models, weights_mb: 200_000.0 }),
        held: held.iter().map(|model| (*model).to_owned()).collect(),
        events: 3,
        pace: Duration::ZERO,
    };
    Replica::start(id, &system.ip(64, number), kind, &system.store, &system.record)
}

struct Counts {
    served: AtomicU64,
    other: AtomicU64,
}

fn start_clients(
    system: &System,
    hosts: &[Host],
    stop: &Arc<AtomicBool>,
    path: &'static str,
    counts: &Arc<Counts>,
) {
    for host in hosts {
        for c in 0..2 {
            let (address, name, record) = (host.frontend(), host.name.clone(), system.record.clone());
            let (stop, counts) = (Arc::clone(stop), Arc::clone(counts));
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let attempt =
                        format!("{}-{name}-{c}-{number}", if path == OLD_PATH { "old" } else { "new" });
                    let headers = [
                        ("X-Model", SHARED.to_owned()),
                        ("X-Token-Count", "626,80".to_owned()),
                        ("X-Prompt-Prefix", format!("5c1e07a2:100,{c}{number}:526")),
                    ];
                    let req = Request {
                        method: "POST",
                        target: path,
                        host: "ficu95.example",
                        attempt: &attempt,
                        headers: &headers,
                        deadline: Duration::from_secs(15),
                        body: b"a draft",
                    };
                    let answer = client.send(&req);
                    let what = answer.as_ref().map_or_else(
                        |err| err.to_string(),
                        |res| {
                            let stamp = res.header("x-server-stamp").unwrap_or("none").to_owned();
                            format!("{}, signature {stamp}", res.status())
                        },
                    );
                    record.line(&format!("client: {attempt} to {path} for {SHARED} gets {what}"));
                    let count = if answer.is_ok_and(|res| res.status() == 200) {
                        &counts.served
                    } else {
                        &counts.other
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    }
}

fn main() {
    let system = System::start();
    let record = system.record.clone();
    let old_models = [SHARED, "rada1", "rada2", "rada3"];
    let new_models = [SHARED, "rada8"];
    let old_route = route("r-draft", "/lohu930/", OLD_POOL);
    system.configure(3, json!([old_route]), json!([pool(OLD_POOL, &old_models)]));
    let old: Vec<_> = (0u8..2)
        .map(|n| replica(&system, &format!("i-old-{n}"), 1 + n, OLD_POOL, &[SHARED, "rada1"]))
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
    let counts = || Arc::new(Counts { served: AtomicU64::new(0), other: AtomicU64::new(0) });
    let (old_counts, new_counts) = (counts(), counts());
    start_clients(&system, &hosts, &stop, OLD_PATH, &old_counts);
    thread::sleep(Duration::from_secs(6));
    if old_counts.served.load(Ordering::Relaxed) == 0 {
        cannot_run("no request is served");
    }
    let mut new = Vec::new();
    if has_trouble() {
        new.extend(
            (0u8..2).map(|n| replica(&system, &format!("i-new-{n}"), 11 + n, NEW_POOL, &[SHARED, "rada8"])),
        );
        let new_route = route("r-next", "/wuno4/", NEW_POOL);
        system.configure(
            5,
            json!([old_route, new_route]),
            json!([pool(OLD_POOL, &old_models), pool(NEW_POOL, &new_models)]),
        );
        thread::sleep(Duration::from_secs(4));
        start_clients(&system, &hosts, &stop, NEW_PATH, &new_counts);
    }
    thread::sleep(Duration::from_secs(20));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    let ran = |replicas: &[Arc<Replica>], kind: &str| -> usize {
        let arrivals = |replica: &Arc<Replica>| replica.arrivals.lock().unwrap().clone();
        replicas
            .iter()
            .flat_map(arrivals)
            .filter(|arrival| arrival.ran && arrival.attempt.starts_with(kind))
            .count()
    };
    let wrong = ran(&new, "old") + ran(&old, "new");
    for (name, counts) in [("old", &old_counts), ("new", &new_counts)] {
        let (served, other) = (counts.served.load(Ordering::Relaxed), counts.other.load(Ordering::Relaxed));
        record.say(&format!("requests of the {name} route: {served} served, {other} not"));
    }
    record.say(&format!(
        "run by {OLD_POOL}: {} of the old route, {} of the new one; run by {NEW_POOL}: {} of the old route, {} of the new one",
        ran(&old, "old"), ran(&old, "new"), ran(&new, "old"), ran(&new, "new")
    ));
    record.say(&format!(
        "ROUTE: {wrong} requests were run by a service to which no configuration lets them go"
    ));
    drop(hosts);
    drop(system);
    std::process::exit(i32::from(wrong > 0));
}
