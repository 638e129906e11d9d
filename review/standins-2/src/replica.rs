//! A replica of a plain service or of a model pool, as the pages describe one.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{After, Message, respond, respond_json, serve_connection};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A request that has reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub attempt: String,
    pub ran: bool,
}

/// An order that has reached a replica.
#[derive(Clone, Debug)]
pub struct OrderSeen {
    pub at: Duration,
    /// The address that it came from.
    pub from: String,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
    pub text: String,
}

/// What a replica of a model pool holds.
pub struct Pool {
    /// The sizes and load times of the models.
    pub models: BTreeMap<String, (f64, Duration)>,
    pub weights_mb: f64,
}

struct EngineState {
    held: Vec<String>,
    sequence: u64,
    /// The order in progress, and when it is complete.
    busy: Option<(bool, String, Instant)>,
    known: Vec<String>,
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    work: Duration,
    pool: Option<Pool>,
    events: u32,
    pace: Duration,
    engine: Mutex<EngineState>,
    beat: Mutex<u64>,
    running: AtomicU32,
    /// The orders to load more than it holds.
    pub overloads: AtomicU32,
    /// The requests that it ran when it crashed.
    pub cut: AtomicU32,
    ended: AtomicBool,
    registered: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub orders: Mutex<Vec<OrderSeen>>,
    record: Record,
    store: Store,
}

/// What a replica is.
pub struct Kind {
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    pub pool: Option<Pool>,
    pub held: Vec<String>,
    /// The events of a stream, and the time between two.
    pub events: u32,
    pub pace: Duration,
}

impl Replica {
    pub fn start(id: &str, ip: &str, kind: Kind, store: &Store, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a replica can listen");
        let address = listener.local_addr().unwrap();
        let engine = EngineState { held: kind.held.clone(), sequence: 0, busy: None, known: kind.held };
        let this = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: kind.service,
            zone: kind.zone,
            slots: kind.slots,
            work: kind.work,
            pool: kind.pool,
            events: kind.events,
            pace: kind.pace,
            engine: Mutex::new(engine),
            beat: Mutex::new(0),
            running: AtomicU32::new(0),
            overloads: AtomicU32::new(0),
            cut: AtomicU32::new(0),
            ended: AtomicBool::new(false),
            registered: AtomicBool::new(true),
            connections: Mutex::new(Vec::new()),
            arrivals: Mutex::new(Vec::new()),
            orders: Mutex::new(Vec::new()),
            record: record.clone(),
            store: store.clone(),
        });
        this.write_entry();
        let replica = Arc::clone(&this);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if replica.ended.load(Ordering::Relaxed) {
                    return;
                }
                replica.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let replica = Arc::clone(&replica);
                thread::spawn(move || {
                    let handled = |message, stream: &mut TcpStream| replica.handle(&message, stream);
                    _ = serve_connection(stream, &handled);
                });
            }
        });
        let replica = Arc::clone(&this);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if replica.ended.load(Ordering::Relaxed) {
                    return;
                }
                replica.write_entry();
            }
        });
        this
    }

    /// Writes the entry in the store, unless the replica has taken it away.
    fn write_entry(&self) {
        let mut beat = self.beat.lock().unwrap();
        if !self.registered.load(Ordering::Relaxed) {
            return;
        }
        *beat += 1;
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": *beat,
        });
        if self.pool.is_some() {
            entry["stage"] = json!("both");
            entry["models"] = self.models();
        }
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Leaves without reporting `draining`: the entry is removed. Returns when the store had accepted that.
    pub fn remove_entry(&self) -> Duration {
        let _beat = self.beat.lock().unwrap();
        self.registered.store(false, Ordering::Relaxed);
        self.store.delete(&format!("servers/{}", self.id));
        let at = self.record.now();
        self.record.say(&format!("replica {}: its entry is removed", self.id));
        at
    }

    /// Exits: no connection is accepted any more, and the open ones are closed.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.record.say(&format!("replica {}: exits", self.id));
        for stream in self.connections.lock().unwrap().iter() {
            _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, so that it closes the listener.
        _ = TcpStream::connect(self.address);
    }

    /// Ends without a word; the entry stays for three heartbeats.
    fn crash(&self) {
        self.cut.store(self.running.load(Ordering::Relaxed), Ordering::Relaxed);
        self.exit();
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.delete(&key);
        });
    }

    fn models(&self) -> Value {
        let engine = self.engine.lock().unwrap();
        engine.held.iter().map(|name| json!({ "name": name, "version": 1, "adapters": [] })).collect()
    }

    fn handle(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        if self.ended.load(Ordering::Relaxed) {
            return Ok(After::Close);
        }
        self.complete_order();
        let other = message.header("x-expect-instance").is_some_and(|expected| expected != self.id);
        if other {
            respond(stream, 421, &[("X-Replica-Id", &self.id)], b"")?;
            return Ok(After::Keep);
        }
        match (message.method(), message.path()) {
            ("GET", "/-/report") => self.report(stream),
            ("POST", "/-/order") => self.order(message, stream),
            ("GET", "/healthz") => {
                respond(stream, 200, &[("X-Replica-Id", &self.id), ("X-Replica-Load", &self.load())], b"")?;
                Ok(After::Keep)
            }
            _ => self.run(message, stream),
        }
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::Relaxed), self.slots)
    }

    fn run(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let attempt = message.header("x-attempt-id").unwrap_or_default().to_owned();
        let lacks_model = self.pool.is_some()
            && !message
                .header("x-model")
                .is_some_and(|model| self.engine.lock().unwrap().held.iter().any(|h| h == model));
        let at = self.record.now();
        self.arrivals.lock().unwrap().push(Arrival { at, attempt: attempt.clone(), ran: !lacks_model });
        let model = message.header("x-model").unwrap_or("none");
        self.record.line(&format!(
            "replica {}: request {attempt} arrives, model {model}, held {}",
            self.id, !lacks_model
        ));
        if lacks_model {
            respond(
                stream,
                421,
                &[("X-Attempt-Id", &attempt), ("X-Replica-Id", &self.id), ("X-Not-Executed", "1")],
                b"",
            )?;
            return Ok(After::Keep);
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let answered = self.answer(&attempt, stream);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let end = match &answered {
            Ok(After::Keep) => "is run to its end",
            Ok(After::Close) => "is cut off by the replica's exit",
            Err(_) => "loses its connection while it runs",
        };
        self.record.line(&format!("replica {}: request {attempt} {end}", self.id));
        answered
    }

    fn answer(&self, attempt: &str, stream: &mut TcpStream) -> io::Result<After> {
        thread::sleep(self.work);
        if self.ended.load(Ordering::Relaxed) {
            return Ok(After::Close);
        }
        let stamp = format!("{}.{attempt}", self.id);
        let headers = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Stamp", &stamp),
            ("X-Replica-Id", &self.id),
            ("X-Replica-Load", &self.load()),
        ];
        if self.pool.is_none() {
            respond(stream, 200, &headers, &[b'x'; 800])?;
            return Ok(After::Keep);
        }
        let mut text =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        stream.write_all(text.as_bytes())?;
        for number in 1..=self.events {
            if number > 1 {
                thread::sleep(self.pace);
            }
            let event = format!("id: {number}\ndata: piece\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(After::Keep)
    }

    /// Ends the order in progress once its time is over.
    fn complete_order(&self) {
        let mut engine = self.engine.lock().unwrap();
        let Some((is_load, model, until)) = engine.busy.clone() else { return };
        if Instant::now() < until {
            return;
        }
        engine.busy = None;
        if is_load {
            engine.held.push(model.clone());
            if !engine.known.contains(&model) {
                engine.known.push(model);
            }
        } else {
            engine.held.retain(|held| *held != model);
        }
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<After> {
        let models = self.models();
        let engine = self.engine.lock().unwrap();
        let on_disk: Vec<Value> = engine.known.iter().map(|name| json!({ "name": name })).collect();
        let body = json!({
            "stage": "both", "models": models, "busy": engine.busy.is_some(), "sequence": engine.sequence,
            "queued": 0, "active": self.running.load(Ordering::Relaxed), "kv_used": 0, "kv_total": 90000, "handles": 0,
            "state": "ready", "available": { "in_memory": [], "on_disk": on_disk },
        });
        drop(engine);
        respond_json(stream, 200, &body)
    }

    fn order(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let body: Value = serde_json::from_slice(&message.body).unwrap_or_default();
        let from = stream.peer_addr().map(|address| address.to_string()).unwrap_or_default();
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let is_load = body["operation"] == "load";
        let at = self.record.now();
        let status = self.carry_out(&body, is_load, &model);
        let seen = OrderSeen {
            at,
            from,
            holder: body["holder"].as_str().unwrap_or_default().to_owned(),
            fence: body["fencing_token"].as_u64().unwrap_or(0),
            status,
            text: format!("{} {model}", body["operation"].as_str().unwrap_or_default()),
        };
        self.record.line(&format!("replica {}: order {seen:?}", self.id));
        self.orders.lock().unwrap().push(seen);
        if self.overloads.load(Ordering::Relaxed) > 0 {
            self.crash();
            return Ok(After::Close);
        }
        respond_json(stream, status, &json!({}))
    }

    fn carry_out(&self, body: &Value, is_load: bool, model: &str) -> u16 {
        const WARM_LOAD: Duration = Duration::from_millis(400);
        const UNLOAD: Duration = Duration::from_millis(50);
        let Some(pool) = &self.pool else { return 400 };
        let Some((size, load_time)) = pool.models.get(model) else { return 400 };
        let mut engine = self.engine.lock().unwrap();
        if engine.busy.is_some() || body["precondition"].as_u64().is_some_and(|p| p != engine.sequence) {
            return 409;
        }
        if engine.held.iter().any(|held| held == model) == is_load {
            return 200;
        }
        let used: f64 = engine.held.iter().filter_map(|held| pool.models.get(held)).map(|(mb, _)| mb).sum();
        if is_load && used + size > pool.weights_mb {
            let fits = format!("{model} of {size} MB beside {used} MB in {} MB", pool.weights_mb);
            self.record.say(&format!("replica {}: is ordered to load {fits}, and crashes", self.id));
            self.overloads.fetch_add(1, Ordering::Relaxed);
        }
        let time = if !is_load {
            UNLOAD
        } else if engine.known.iter().any(|known| known == model) {
            WARM_LOAD
        } else {
            *load_time
        };
        engine.sequence += 1;
        engine.busy = Some((is_load, model.to_owned(), Instant::now() + time));
        202
    }
}
