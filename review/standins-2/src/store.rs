//! The platform's metadata store, as its page describes it.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{After, Message, respond_json, serve};
use crate::record::Record;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: its revision, its key and the item as JSON.
    history: Vec<(u64, String, Value)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    /// Raised to cut the watches that are waiting.
    cuts: u64,
    cut_watches: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(ip: &str, record: Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store can listen");
        let address = listener.local_addr().unwrap();
        let inner = Inner {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: HashMap::new(),
            next_lease: 77_000,
            cuts: 0,
            cut_watches: 0,
        };
        let this = Self { address, inner: Arc::new((Mutex::new(inner), Condvar::new())), record };
        let store = this.clone();
        serve(listener, move |message, stream| store.handle(&message, stream));
        let store = this.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                store.end_leases();
            }
        });
        this
    }

    fn end_leases(&self) {
        let mut inner = self.inner.0.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = inner.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.record.line(&format!("store: lease {id} runs out"));
            inner.end_lease(id);
            self.inner.1.notify_all();
        }
    }

    /// Writes a key as the operator or a replica does; returns when the write is acknowledged.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let mut inner = self.inner.0.lock().unwrap();
        let revision = inner.revision + 1;
        inner.revision = revision;
        inner.put(revision, key, &base64_encode(value.to_string().as_bytes()), 0);
        self.inner.1.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        let revision = inner.revision + 1;
        inner.revision = revision;
        inner.delete(revision, key);
        self.inner.1.notify_all();
    }

    /// Cuts waiting watches until `count` of them have been cut, for two seconds at most: their connections
    /// are closed without an answer. Returns how many were cut.
    pub fn cut_watches(&self, count: u64) -> u64 {
        let before = self.inner.0.lock().unwrap().cut_watches;
        let until = Instant::now() + Duration::from_secs(2);
        loop {
            let mut inner = self.inner.0.lock().unwrap();
            let cut = inner.cut_watches - before;
            if cut >= count || Instant::now() >= until {
                return cut;
            }
            inner.cuts += 1;
            self.inner.1.notify_all();
            drop(inner);
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the keys and decoded values below a prefix.
    pub fn values(&self, prefix: &str) -> Vec<(String, String)> {
        let inner = self.inner.0.lock().unwrap();
        let below = inner.items.iter().filter(|(key, _)| key.starts_with(prefix));
        below
            .map(|(key, item)| {
                (key.clone(), String::from_utf8_lossy(&base64_decode(&item.value)).into_owned())
            })
            .collect()
    }

    fn handle(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let path = message.path().to_owned();
        match (message.method(), path.as_str()) {
            ("GET", "/-/kv-key") => self.key(message, stream),
            ("GET", "/-/kv-range") => self.range(message, stream),
            ("GET", "/-/kv-watch") => self.watch(message, stream),
            ("POST", "/-/kv-txn") => self.transaction(message, stream),
            ("POST", "/-/kv-lease") => self.grant(message, stream),
            ("POST", _) if path.starts_with("/-/kv-keep/") => self.keep(&path, stream),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => self.end(&path, stream),
            _ => respond_json(stream, 404, &json!({})),
        }
    }

    fn key(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let key = message.query("key").unwrap_or_default();
        let inner = self.inner.0.lock().unwrap();
        let found = inner.items.get(&key).map(|item| item_json(&key, item));
        let at = inner.revision;
        drop(inner);
        match found {
            Some(mut item) => {
                item["at"] = json!(at);
                respond_json(stream, 200, &item)
            }
            None => respond_json(stream, 404, &json!({ "at": at })),
        }
    }

    fn range(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        const MAX_ITEMS: usize = 500;
        let prefix = message.query("prefix").unwrap_or_default();
        let after = message.query("after").unwrap_or_default();
        let inner = self.inner.0.lock().unwrap();
        let mut items: Vec<Value> = inner
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after))
            .take(MAX_ITEMS + 1)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let at = inner.revision;
        drop(inner);
        let more = items.len() > MAX_ITEMS;
        items.truncate(MAX_ITEMS);
        respond_json(stream, 200, &json!({ "items": items, "more_pages": more, "at": at }))
    }

    fn watch(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        const MAX_EVENTS: usize = 500;
        let prefix = message.query("prefix").unwrap_or_default();
        let number = |name| message.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut inner = self.inner.0.lock().unwrap();
        let cuts = inner.cuts;
        loop {
            let first = inner.history.partition_point(|(revision, _, _)| *revision <= after);
            let events: Vec<Value> = inner.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .take(MAX_EVENTS)
                .map(|(_, _, event)| event.clone())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let at = match events.last() {
                    Some(last) if events.len() == MAX_EVENTS => last["revision"].as_u64().unwrap_or(after),
                    _ => inner.revision,
                };
                drop(inner);
                return respond_json(stream, 200, &json!({ "events": events, "at": at }));
            }
            if inner.cuts != cuts {
                inner.cut_watches += 1;
                drop(inner);
                self.record.line("store: a waiting watch is cut");
                _ = stream.shutdown(Shutdown::Both);
                return Ok(After::Close);
            }
            inner = self.inner.1.wait_timeout(inner, until - now).unwrap().0;
        }
    }

    fn transaction(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let Ok(body) = serde_json::from_slice::<Value>(&message.body) else {
            return respond_json(stream, 400, &json!({}));
        };
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let (conditions, puts, deletes) = (rows("precondition"), rows("puts"), rows("deletes"));
        let keys = puts.iter().map(|put| text(&put["key"])).chain(deletes.iter().map(text));
        if keys.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return respond_json(stream, 403, &json!({}));
        }
        let mut inner = self.inner.0.lock().unwrap();
        let holds = |condition: &Value| {
            let found = inner.items.get(condition["key"].as_str().unwrap_or_default());
            found.map_or(0, |item| item.revision) == condition["revision"].as_u64().unwrap_or(0)
        };
        if !conditions.iter().all(holds) {
            let items: Vec<Value> = conditions
                .iter()
                .map(|condition| {
                    let key = text(&condition["key"]);
                    match inner.items.get(&key) {
                        Some(item) => item_json(&key, item),
                        None => json!({ "key": key, "revision": 0, "tombstone": true }),
                    }
                })
                .collect();
            drop(inner);
            return respond_json(stream, 412, &json!({ "items": items }));
        }
        let lease_of = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if puts.iter().map(lease_of).any(|lease| lease != 0 && !inner.leases.contains_key(&lease)) {
            drop(inner);
            return respond_json(stream, 404, &json!({}));
        }
        let revision = inner.revision + 1;
        inner.revision = revision;
        for put in &puts {
            let (key, value) = (text(&put["key"]), text(&put["value"]));
            let decoded = String::from_utf8_lossy(&base64_decode(&value)).into_owned();
            self.record.line(&format!("store: {revision} {key} = {decoded}"));
            inner.put(revision, &key, &value, lease_of(put));
        }
        for key in &deletes {
            self.record.line(&format!("store: {revision} {} deleted", text(key)));
            inner.delete(revision, &text(key));
        }
        self.inner.1.notify_all();
        drop(inner);
        respond_json(stream, 200, &json!({ "revision": revision }))
    }

    fn grant(&self, message: &Message, stream: &mut TcpStream) -> io::Result<After> {
        let body: Value = serde_json::from_slice(&message.body).unwrap_or_default();
        let ttl = body["ttl_ms"].as_u64().unwrap_or(1000).clamp(1000, 600_000);
        let mut inner = self.inner.0.lock().unwrap();
        inner.next_lease += 1;
        let lease = inner.next_lease;
        let ttl_time = Duration::from_millis(ttl);
        inner.leases.insert(lease, Lease { ttl: ttl_time, until: Instant::now() + ttl_time });
        drop(inner);
        respond_json(stream, 200, &json!({ "lease": lease, "ttl_ms": ttl }))
    }

    fn keep(&self, path: &str, stream: &mut TcpStream) -> io::Result<After> {
        let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        let mut inner = self.inner.0.lock().unwrap();
        let ttl = inner.leases.get_mut(&id).map(|lease| {
            lease.until = Instant::now() + lease.ttl;
            lease.ttl.as_millis() as u64
        });
        drop(inner);
        match ttl {
            Some(ttl) => respond_json(stream, 200, &json!({ "ttl_ms": ttl })),
            None => respond_json(stream, 404, &json!({})),
        }
    }

    fn end(&self, path: &str, stream: &mut TcpStream) -> io::Result<After> {
        let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        self.inner.0.lock().unwrap().end_lease(id);
        self.inner.1.notify_all();
        respond_json(stream, 200, &json!({}))
    }
}

impl Inner {
    fn put(&mut self, revision: u64, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({ "key": key, "revision": revision, "tombstone": true });
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id && id != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            let revision = self.revision;
            self.delete(revision, &key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "revision": item.revision, "created": item.created, "lease": item.lease })
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64_encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            let is_padding = i > chunk.len();
            out.push(if is_padding { '=' } else { ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char });
        }
    }
    out
}

fn base64_decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = ALPHABET.iter().position(|letter| *letter == byte) else { continue };
        n = n << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}
