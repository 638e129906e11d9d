//! Stand-in for the key-value service: etcd's JSON gateway with injectable faults. Start with
//! [`Store`].

mod kv;
mod watch;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use skylarkshore_wire::etcd::{
    ErrorResponse, Int64, LEASE_GRANT_PATH, LEASE_KEEPALIVE_PATH, LEASE_REVOKE_PATH, LeaseGrantRequest,
    LeaseRequest, LeaseResponse, RANGE_PATH, RangeRequest, RequestOp, Streamed, TXN_PATH, TxnRequest,
    WATCH_PATH, WatchRequest,
};
use tokio::sync::watch as signal;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::http::{Answered, Body, Cut, Server, json, text, unknown};
use crate::lock;
use kv::Kv;

/// Path to read and set the faults.
pub const FAULTS_PATH: &str = "/standin/faults";
/// Path to read the call counts.
pub const COUNTS_PATH: &str = "/standin/counts";

/// How often leases are checked for expiry.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Faults injected into the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Close the connection of every call and watch, without an effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Close the connection of this many writes after they take effect.
    pub lose_writes: u32,
    /// Restrict `lose_writes` to keys that contain this text; empty matches all.
    pub lose_writes_of: String,
    /// Answer reads from the state at the time this was enabled.
    pub stale: bool,
}

#[derive(Debug, Default)]
struct State {
    kv: Kv,
    faults: StoreFaults,
    stale: Option<Kv>,
    counts: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Wakes the watches after a change.
    changed: signal::Sender<()>,
}

/// The key-value service and its server.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
    expiry: JoinHandle<()>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

impl Store {
    /// Starts an empty key-value service.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is taken.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared { state: Mutex::default(), changed: signal::Sender::new(()) });
        let state = Arc::clone(&shared);
        let server = Server::start(address, move |req| answer(Arc::clone(&state), req)).await?;
        let expiry = tokio::spawn(expire_leases_periodically(Arc::clone(&shared)));
        Ok(Self { shared, server, expiry })
    }

    /// Returns the listening address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the injected faults with their remaining counts.
    pub fn faults(&self) -> StoreFaults {
        lock(&self.shared.state).faults.clone()
    }

    /// Returns the number of calls by kind; a watch counts once.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.state).counts.clone()
    }

    /// Returns all keys and values as text.
    pub fn contents(&self) -> BTreeMap<String, String> {
        let all = RangeRequest { key: vec![0].into(), range_end: vec![0].into(), ..RangeRequest::default() };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let found = lock(&self.shared.state).kv.range(&all);
        found.kvs.iter().map(|kv| (text(&kv.key.0), text(&kv.value.0))).collect()
    }
}

impl Shared {
    fn set_faults(&self, faults: StoreFaults) {
        let mut state = lock(&self.state);
        state.stale = match (faults.stale, state.stale.take()) {
            (false, _) => None,
            (true, Some(known)) => Some(known),
            (true, None) => Some(state.kv.clone()),
        };
        state.faults = faults;
        drop(state);
        self.changed.send_replace(());
    }

    fn count(&self, kind: &str) {
        *lock(&self.state).counts.entry(kind.to_owned()).or_default() += 1;
    }
}

async fn expire_leases_periodically(shared: Arc<Shared>) {
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        let mut state = lock(&shared.state);
        let before = state.kv.revision();
        state.kv.expire(Instant::now());
        let changed = state.kv.revision() != before;
        drop(state);
        if changed {
            shared.changed.send_replace(());
        }
    }
}

async fn answer(shared: Arc<Shared>, req: Request<Bytes>) -> Answered {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, FAULTS_PATH) => return Ok(json(StatusCode::OK, &lock(&shared.state).faults)),
        (&Method::GET, COUNTS_PATH) => return Ok(json(StatusCode::OK, &lock(&shared.state).counts)),
        (&Method::POST, FAULTS_PATH) => return Ok(set_faults_from(&shared, req.body())),
        (&Method::POST, _) => {}
        (method, _) => return Ok(unknown(method, &path)),
    }
    let faults = lock(&shared.state).faults.clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if lock(&shared.state).faults.down {
        return Err(Cut);
    }
    match path.as_str() {
        RANGE_PATH => Ok(parse_then(req.body(), |body| range(&shared, &body))),
        TXN_PATH => txn(&shared, req.body()),
        LEASE_GRANT_PATH => Ok(parse_then(req.body(), |body| grant(&shared, &body))),
        LEASE_KEEPALIVE_PATH => Ok(parse_then(req.body(), |body| keep_alive(&shared, &body))),
        LEASE_REVOKE_PATH => Ok(parse_then(req.body(), |body| revoke(&shared, &body))),
        WATCH_PATH => Ok(parse_then(req.body(), |body: WatchRequest| {
            shared.count("watch");
            watch::answer(&shared, body.create_request)
        })),
        _ => Ok(unknown(req.method(), &path)),
    }
}

fn set_faults_from(shared: &Shared, body: &[u8]) -> Response<Body> {
    parse_then(body, |faults| {
        shared.set_faults(faults);
        text(StatusCode::OK, "switched")
    })
}

fn parse_then<T: DeserializeOwned>(body: &[u8], then: impl FnOnce(T) -> Response<Body>) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(body) => then(body),
        Err(err) => error_response(StatusCode::BAD_REQUEST, &err.to_string(), 3),
    }
}

fn error_response(status: StatusCode, message: &str, code: u32) -> Response<Body> {
    json(status, &ErrorResponse { message: message.to_owned(), code })
}

fn lease_not_found() -> Response<Body> {
    error_response(StatusCode::NOT_FOUND, "etcdserver: requested lease not found", ErrorResponse::NOT_FOUND)
}

fn range(shared: &Shared, req: &RangeRequest) -> Response<Body> {
    shared.count("range");
    let state = lock(&shared.state);
    let kv = state.stale.as_ref().unwrap_or(&state.kv);
    let found = kv.range(req);
    json(StatusCode::OK, &found)
}

fn txn(shared: &Shared, body: &[u8]) -> Answered {
    shared.count("txn");
    let req: TxnRequest = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(err) => return Ok(error_response(StatusCode::BAD_REQUEST, &err.to_string(), 3)),
    };
    let mut state = lock(&shared.state);
    let Ok(response) = state.kv.txn(&req) else {
        return Ok(lease_not_found());
    };
    let lost = state.faults.consume_lost_write(&req);
    drop(state);
    shared.changed.send_replace(());
    if lost { Err(Cut) } else { Ok(json(StatusCode::OK, &response)) }
}

impl StoreFaults {
    /// Reports whether this write's answer is lost, and decrements the fault's count.
    fn consume_lost_write(&mut self, req: &TxnRequest) -> bool {
        let matches_filter = req.success.iter().any(|step| match step {
            RequestOp::Put(put) => String::from_utf8_lossy(&put.key.0).contains(&self.lose_writes_of),
            RequestOp::DeleteRange(delete) => {
                String::from_utf8_lossy(&delete.key.0).contains(&self.lose_writes_of)
            }
            RequestOp::Range(_) => false,
        });
        if !matches_filter || self.lose_writes == 0 {
            return false;
        }
        self.lose_writes -= 1;
        true
    }
}

fn grant(shared: &Shared, req: &LeaseGrantRequest) -> Response<Body> {
    shared.count("lease_grant");
    let mut state = lock(&shared.state);
    let id = state.kv.grant(Duration::from_secs(req.ttl.0), Instant::now());
    json(StatusCode::OK, &LeaseResponse { header: state.kv.header(), id: Int64(id), ttl: req.ttl })
}

fn keep_alive(shared: &Shared, req: &LeaseRequest) -> Response<Body> {
    shared.count("lease_keepalive");
    let mut state = lock(&shared.state);
    let ttl = state.kv.keep_alive(req.id.0, Instant::now()).unwrap_or_default();
    let result = LeaseResponse { header: state.kv.header(), id: req.id, ttl: Int64(ttl.as_secs()) };
    json(StatusCode::OK, &Streamed { result })
}

fn revoke(shared: &Shared, req: &LeaseRequest) -> Response<Body> {
    shared.count("lease_revoke");
    let mut state = lock(&shared.state);
    if !state.kv.revoke(req.id.0) {
        return lease_not_found();
    }
    let header = state.kv.header();
    drop(state);
    shared.changed.send_replace(());
    json(StatusCode::OK, &LeaseResponse { header, ..LeaseResponse::default() })
}
