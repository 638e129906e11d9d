//! A replica leaves by the removal of its entry, just after the store has cut a waiting watch.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use review_standins_2::client::{Client, Request};
use review_standins_2::replica::{Kind, Replica};
use review_standins_2::system::{System, cannot_run, has_trouble, plain_service, unsafe_route};
use serde_json::json;

const SERVICE: &str = "lh-market";
const ZONES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
const DRAIN: Duration = Duration::from_millis(2000);
/// How many waiting watches are cut, one for each host on average.
const CUTS: u64 = 3;
/// How long the replica goes on serving after `DRAIN` before it exits.
const LINGER: Duration = Duration::from_millis(1500);
/// Told beside the result: a cut that is taken for a reset of connections would excuse what comes within this time.
const CONTACT: Duration = Duration::from_millis(3000);

fn main() {
    let system = System::start();
    let record = system.record.clone();
    system.configure(
        3,
        json!([unsafe_route("r-book", "/puxa403/", SERVICE)]),
        json!([plain_service(SERVICE)]),
    );
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|n| {
            let kind = Kind {
                service: SERVICE.to_owned(),
                zone: ZONES[n].to_owned(),
                slots: 6,
                work: Duration::from_millis(60),
                pool: None,
                held: Vec::new(),
                events: 0,
                pace: Duration::ZERO,
            };
            Replica::start(&format!("i-{n}"), &system.ip(64, 1 + n as u8), kind, &system.store, &record)
        })
        .collect();
    let hosts: Vec<_> = (0..3)
        .map(|n| system.start_host(&format!("edge-{}-1", ZONES[n]), ZONES[n], 1 + n as u8, true))
        .collect();
    system.await_ready(&hosts.iter().collect::<Vec<_>>());
    thread::sleep(Duration::from_secs(10));

    let stop = Arc::new(AtomicBool::new(false));
    let [ok, refused, failed] = [(); 3].map(|()| Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = hosts
        .iter()
        .flat_map(|host| (0..2).map(move |n| (host, n)))
        .map(|(host, n)| {
            let (address, name) = (host.frontend(), host.name.clone());
            let (stop, record) = (Arc::clone(&stop), record.clone());
            let (ok, refused, failed) = (Arc::clone(&ok), Arc::clone(&refused), Arc::clone(&failed));
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut number = 0u32;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let attempt = format!("{name}-{n}-{number}");
                    let req = Request {
                        method: "POST",
                        target: "/puxa403/2f",
                        host: "ficu95.example",
                        attempt: &attempt,
                        headers: &[],
                        deadline: Duration::from_millis(4000),
                        body: b"a booking",
                    };
                    record.line(&format!("client: {attempt} is sent"));
                    match client.send(&req) {
                        Ok(res) => {
                            record.line(&format!("client: {attempt} gets {}", res.status()));
                            match res.status() {
                                200 => ok.fetch_add(1, Ordering::Relaxed),
                                429 | 503 => refused.fetch_add(1, Ordering::Relaxed),
                                _ => failed.fetch_add(1, Ordering::Relaxed),
                            };
                        }
                        Err(err) => {
                            failed.fetch_add(1, Ordering::Relaxed);
                            record.line(&format!("client: {attempt} gets no answer: {err}"));
                        }
                    }
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if ok.load(Ordering::Relaxed) == 0 {
        cannot_run("no request is served");
    }
    let mut last_cut = Duration::ZERO;
    if has_trouble() {
        let cut = system.store.cut_watches(CUTS);
        record.say(&format!("the store has cut {cut} waiting watches"));
        last_cut = record.now();
    }
    thread::sleep(Duration::from_millis(100));
    let removed = replicas[0].remove_entry();
    thread::sleep(DRAIN + LINGER);
    replicas[0].exit();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        _ = client.join();
    }
    let arrivals = replicas[0].arrivals.lock().unwrap().clone();
    let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.at > removed + DRAIN).collect();
    for arrival in &late {
        let after = (arrival.at - removed).as_secs_f64();
        record.line(&format!(
            "DRAIN: {} reaches i-0 {after:.3} s after its entry was removed",
            arrival.attempt
        ));
    }
    let counted = late.iter().filter(|arrival| !has_trouble() || arrival.at > last_cut + CONTACT).count();
    let last = arrivals.last().map_or(0.0, |last| last.at.as_secs_f64() - removed.as_secs_f64());
    record.say(&format!(
        "clients: {} served, {} refused, {} failed",
        ok.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    record.say(&format!("the last request reaches the replica {last:.3} s after the removal of its entry"));
    record.say(&format!(
        "DRAIN: {} requests reach it later than 2 s after the removal, {counted} of them later than 3 s after the last cut, too",
        late.len()
    ));
    drop(hosts);
    let code = i32::from(!late.is_empty());
    drop(system);
    std::process::exit(code);
}
