//! The platform's store: keys with revisions, conditional transactions, watches and leases.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, quoted};
use crate::{base64, lock};

const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// The most items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    /// Writes a key at the current revision.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    /// Removes a key at the current revision.
    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!("{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}", quoted(key));
            self.history.push((revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone());
        for key in held.collect::<Vec<_>>() {
            self.revision += 1;
            self.delete(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(lease, _)| *lease);
        for lease in ended.collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// The running store.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on a loopback port.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new((Mutex::new(State { revision: 1, ..State::default() }), Condvar::new()));
        let handler = Arc::clone(&shared);
        let address = http::serve(move |request, stream| answer(&handler, request, stream))?;
        let expiring = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                thread::sleep(EXPIRY_INTERVAL);
                lock(&expiring.0).expire();
                expiring.1.notify_all();
            }
        });
        Ok(Self { shared, address })
    }

    /// Writes a key as an operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = lock(&self.shared.0);
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.shared.0).items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }
}

fn answer(shared: &(Mutex<State>, Condvar), request: &Message, out: &mut TcpStream) -> io::Result<()> {
    let (status, body) = match (request.word(0), request.path()) {
        ("GET", "/-/kv-key") => key(&lock(&shared.0), request),
        ("GET", "/-/kv-range") => range(&lock(&shared.0), request),
        ("GET", "/-/kv-watch") => watch(shared, request),
        ("POST", "/-/kv-txn") => transact(&mut lock(&shared.0), request),
        ("POST", "/-/kv-lease") => grant(&mut lock(&shared.0), request),
        ("POST", path) if path.starts_with("/-/kv-keep/") => renew(&mut lock(&shared.0), path),
        ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
            lock(&shared.0).end_lease(number(path));
            ("200 OK", "{}".to_owned())
        }
        _ => ("404 Not Found", "{}".to_owned()),
    };
    shared.1.notify_all();
    http::write_answer(out, status, &[("Content-Type", "application/json")], body.as_bytes())
}

fn number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn key(state: &State, request: &Message) -> (&'static str, String) {
    let key = request.parameter("key").unwrap_or_default();
    match state.items.get(&key) {
        Some(item) => {
            let json = item_json(&key, item);
            ("200 OK", format!("{},\"at\":{}}}", json.trim_end_matches('}'), state.revision))
        }
        None => ("404 Not Found", "{}".to_owned()),
    }
}

fn range(state: &State, request: &Message) -> (&'static str, String) {
    let prefix = request.parameter("prefix").unwrap_or_default();
    let after = request.parameter("after").unwrap_or_default();
    let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
    let more_pages = items.len() > PAGE_ITEMS;
    let page = items[..items.len().min(PAGE_ITEMS)].join(",");
    ("200 OK", format!("{{\"items\":[{page}],\"more_pages\":{more_pages},\"at\":{}}}", state.revision))
}

fn watch(shared: &(Mutex<State>, Condvar), request: &Message) -> (&'static str, String) {
    let parameter = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let after = parameter("after");
    let prefix = request.parameter("prefix").unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(parameter("wait_ms"));
    let is_told =
        |event: &&(u64, String)| event.0 > after && event.1.starts_with(&format!("{{\"key\":\"{prefix}"));
    let mut state = lock(&shared.0);
    while !state.history.iter().rev().take_while(|event| event.0 > after).any(|event| is_told(&event)) {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        state = shared.1.wait_timeout(state, left).expect("no thread panics with the lock").0;
    }
    let events: Vec<&str> = state.history.iter().filter(is_told).map(|event| event.1.as_str()).collect();
    ("200 OK", format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision))
}

fn transact(state: &mut State, request: &Message) -> (&'static str, String) {
    let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
        return ("400 Bad Request", "{}".to_owned());
    };
    state.expire();
    let conditions = body.get("precondition").items();
    let is_met = |row: &Json| {
        state.items.get(row.get("key").text()).map_or(0, |item| item.revision) == row.get("revision").number()
    };
    if !conditions.iter().all(is_met) {
        let keys = conditions.iter().map(|row| row.get("key").text());
        let items: Vec<String> = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?))).collect();
        return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = body.get("puts").items();
    let has_lease = |put: &Json| {
        let lease = put.get("lease").number();
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return ("404 Not Found", "{}".to_owned());
    }
    state.revision += 1;
    for put in puts {
        state.put(put.get("key").text(), put.get("value").text().to_owned(), put.get("lease").number());
    }
    for key in body.get("deletes").items() {
        state.delete(key.text());
    }
    ("200 OK", format!("{{\"revision\":{}}}", state.revision))
}

fn grant(state: &mut State, request: &Message) -> (&'static str, String) {
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    let ttl = Duration::from_millis(body.get("ttl_ms").number().max(1000));
    state.last_lease += 1;
    let lease = 70_000 + state.last_lease;
    state.leases.insert(lease, (ttl, Instant::now() + ttl));
    ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
}

fn renew(state: &mut State, path: &str) -> (&'static str, String) {
    match state.leases.get_mut(&number(path)) {
        Some((ttl, until)) => {
            *until = Instant::now() + *ttl;
            ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
        }
        None => ("404 Not Found", "{}".to_owned()),
    }
}
