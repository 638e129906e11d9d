//! A host that got SIGTERM still takes requests more than three seconds later, and doesn't finish them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::client::{Client, Request};
use review_standins_2::replica::{Kind, Pool, Replica};
use review_standins_2::system::{System, cannot_run, has_trouble, plain_service, resolve, unsafe_route};
use serde_json::json;

const POOL: &str = "lh-models";
const PLAIN: &str = "lh-market";
const MODEL: &str = "rada0";
const ZONES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
const MODEL_MB: f64 = 72_700.0;
const GRACE: Duration = Duration::from_secs(8);
/// A request that is sent later than this after the SIGTERM has to be finished, or not to be taken.
const LATEST: Duration = Duration::from_secs(3);
/// Some callers keep an answer of the directory for this many times its time.
const KEPT: f64 = 3.0;
/// When the first of the requests is sent, how many there are, and the time between two.
const FIRST: Duration = Duration::from_millis(2960);
const REQUESTS: u32 = 60;
const STEP: Duration = Duration::from_millis(4);

struct Outcome {
    sent: Duration,
    ended: Duration,
    what: String,
    is_begun: bool,
    is_whole: bool,
}

fn main() {
    let system = System::start();
    let record = system.record.clone();
    let stream_route = json!({
        "name": "r-draft", "host": "ficu95.example", "prefix": "/lohu930/", "type": "stream", "timeout_ms": 15000,
        "target_latency_ms": 400, "priority": 0, "service": POOL, "attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 250,
    });
    let pool = json!({
        "name": POOL, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
        "engine": { "slots": 64, "kv_capacity": 154243, "kv_token_bytes": 327680,
            "models": [{ "name": MODEL, "weights_mb": MODEL_MB, "load_s": 6.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.4, "disk_load_s": 1.2 }],
            "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 2.7, "host_mb": 130000.0, "disk_mb": 1200000.0 },
    });
    system.configure(
        3,
        json!([stream_route, unsafe_route("r-book", "/puxa403/", PLAIN)]),
        json!([pool, plain_service(PLAIN)]),
    );
    let _replicas: Vec<Arc<Replica>> = (0u8..4)
        .map(|n| {
            let is_pool = n < 3;
            let models = BTreeMap::from([(MODEL.to_owned(), (MODEL_MB, Duration::from_secs(6)))]);
            let kind = Kind {
                service: (if is_pool { POOL } else { PLAIN }).to_owned(),
                zone: ZONES[usize::from(n) % 3].to_owned(),
                slots: if is_pool { 64 } else { 6 },
                work: Duration::from_millis(20),
                pool: is_pool.then_some(Pool { models, weights_mb: 200_000.0 }),
                held: vec![MODEL.to_owned()],
                // 58 events, as the drafts of the sheet have, in 5.7 s.
                events: 58,
                pace: Duration::from_millis(100),
            };
            Replica::start(&format!("i-{n}"), &system.ip(64, 1 + n), kind, &system.store, &record)
        })
        .collect();
    let mut hosts: Vec<_> = (0u8..3)
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
    thread::sleep(Duration::from_secs(12));

    let address = hosts[0].frontend();
    let request = |attempt: &str, target: &'static str, client: &mut Client| {
        let headers = [
            ("X-Model", MODEL.to_owned()),
            ("X-Token-Count", "826,300".to_owned()),
            ("X-Prompt-Prefix", format!("5c1e07a2:198,{}:628", attempt.len())),
        ];
        let req = Request {
            method: "POST",
            target,
            host: "ficu95.example",
            attempt,
            headers: &headers,
            deadline: Duration::from_secs(15),
            body: b"a draft",
        };
        client.send(&req)
    };
    let mut clients: Vec<Client> = (0..REQUESTS).map(|_| Client::new(address)).collect();
    // Each client has a connection that it has used before.
    for (n, client) in clients.iter_mut().enumerate() {
        if !request(&format!("before-{n}"), "/puxa403/2f", client).is_ok_and(|res| res.status() == 200) {
            cannot_run("a first request isn't served");
        }
    }

    let begun = Instant::now();
    let start = record.now();
    if has_trouble() {
        hosts[0].process.signal("TERM");
    }
    record.say(&format!(
        "{} {}",
        hosts[0].name,
        if has_trouble() { "gets SIGTERM" } else { "gets no signal" }
    ));
    // A caller asks another host, which still names the one that leaves.
    let mut use_until = Duration::ZERO;
    while begun.elapsed() < Duration::from_secs(2) {
        if let Some((addresses, ttl)) = resolve(hosts[1].directory(), ZONES[1])
            && addresses.contains(&address.to_string())
        {
            use_until = begun.elapsed() + Duration::from_secs_f64(ttl * KEPT);
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.say(&format!(
        "a caller that keeps its last answer of the directory three times as long as told uses this host until {:.3} s after",
        use_until.as_secs_f64()
    ));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = clients
        .into_iter()
        .zip(0..REQUESTS)
        .map(|(mut client, n)| {
            let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
            thread::spawn(move || {
                thread::sleep((FIRST + STEP * n).saturating_sub(begun.elapsed()));
                let sent = begun.elapsed();
                if sent > use_until {
                    return;
                }
                let attempt = format!("draft-{n}");
                record.line(&format!(
                    "client: {attempt} is sent {:.3} s after the SIGTERM",
                    sent.as_secs_f64()
                ));
                let answer = request(&attempt, "/lohu930/2f", &mut client);
                let what = match &answer {
                    Ok(res) => format!("{}", res.status()),
                    Err(err) => format!("no whole answer: {err}"),
                };
                record.line(&format!("client: {attempt} gets {what}"));
                let is_begun = record.contains(&format!("request {attempt} arrives"));
                let is_whole = answer.is_ok();
                outcomes.lock().unwrap().push(Outcome {
                    sent,
                    ended: begun.elapsed(),
                    what,
                    is_begun,
                    is_whole,
                });
            })
        })
        .collect();
    // The platform sends SIGKILL after the grace period.
    thread::sleep(GRACE.saturating_sub(begun.elapsed()));
    if has_trouble() {
        let was_running = hosts[0].process.is_running();
        hosts[0].process.kill();
        record.say(if was_running {
            "SIGKILL after 8 s: the process still ran"
        } else {
            "the process had exited within 8 s"
        });
    }
    for thread in threads {
        _ = thread.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let mut lost = 0;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for outcome in outcomes.iter() {
        *counts.entry(outcome.what.clone()).or_default() += 1;
        // One that was sent in time may be cut off, as its replica is still at work.
        let is_lost = !outcome.is_whole && outcome.is_begun && outcome.sent > LATEST;
        if is_lost {
            lost += 1;
            record.say(&format!(
                "LOST: sent {:.3} s after the SIGTERM, passed on to a replica, its connection ended {:.3} s after it: {}",
                outcome.sent.as_secs_f64(), outcome.ended.as_secs_f64(), outcome.what
            ));
        }
    }
    record.say(&format!(
        "requests from {:.3} s on: {counts:?}; began at {:.3}",
        FIRST.as_secs_f64(),
        start.as_secs_f64()
    ));
    record.say(&format!(
        "LOST: {lost} requests that were sent later than 3 s after the SIGTERM were passed on and cut off"
    ));
    drop(hosts);
    drop(system);
    std::process::exit(i32::from(lost > 0));
}
