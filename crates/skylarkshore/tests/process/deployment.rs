//! Starts an entry host with stand-ins that run in the test process; see [`Deployment`].

use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use serde_json::{Value, json};
use skylarkshore_core::id::{CallId, Incarnation};
use skylarkshore_core::store::{Key, Record, Writer};
use skylarkshore_standins::client::{Answer, Call};
use skylarkshore_standins::fleet::{Fleet, FleetSettings};
use skylarkshore_standins::process::{TempFolder, short_timings};
use skylarkshore_wire::document::DocumentWire;
use skylarkshore_wire::etcd::{Bytes64, Int64, PutRequest, RequestOp, TXN_PATH, TxnRequest};
use skylarkshore_wire::keys::{KeyText, StoredValue};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

const DOCUMENT: &str = r#"{
  "revision": 1,
  "power_caps": { "lagerraum": 3000 },
  "models": {
    "listing-summary": {
      "version": "1", "weights_mib": 14000, "kv_cache_mib": 6000, "load_time_ms": 300,
      "adapters": { "listing-summary-fr": 200 }
    },
    "slow-to-load": { "version": "1", "weights_mib": 9000, "kv_cache_mib": 1000, "load_time_ms": 60000 }
  },
  "services": { "marketplace": { "once_paths": ["/bookings"], "concurrency": 32 } },
  "rules": [
    { "name": "summaries first", "when": { "models": ["listing-summary"] }, "then": { "order": 10 } },
    { "name": "long queues spread", "when": { "queue_at_least": 9 }, "then": { "replicas_max": 2 } }
  ]
}"#;

/// Timeout of every wait; generous, so that tests don't fail on a slow machine.
pub(crate) const LIMIT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum request body of the host under test, in bytes.
pub(crate) const BODY_LIMIT: usize = 4096;

/// An entry host process with its stand-ins.
pub(crate) struct Deployment {
    pub(crate) fleet: Fleet,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    child: Child,
    folder: TempFolder,
}

impl Deployment {
    /// Starts one engine, one service replica and one entry host, and waits until the host is ready.
    pub(crate) async fn start() -> Self {
        let fleet = Fleet::start(&FleetSettings::small(1, 1).unwrap()).await.unwrap();
        put_document(fleet.store.address()).await;
        let folder = TempFolder::new().unwrap();
        let child = start_host(&fleet, &folder);
        let log = folder.path().join("host.log");
        until("the host logs its addresses", || async { logged_address(&log, "caller_address").is_some() })
            .await;
        let [callers, operators, peers] = ["caller_address", "operator_address", "peer_address"]
            .map(|name| logged_address(&log, name).unwrap());
        let this = Self { fleet, callers, operators, peers, child, folder };
        let ready = || async { this.operator("/readyz").await.is_some_and(|a| a.status.is_success()) };
        until("the host is ready", ready).await;
        this
    }

    /// Like [`start`](Self::start), but also waits until the model is loaded.
    ///
    /// Right after its start a host owns no engine and no power, and refuses requests for that reason.
    pub(crate) async fn start_warm() -> Self {
        let this = Self::start().await;
        let answered = async || {
            let call =
                Call::post(this.callers, "/v1/completions", prompt("listing-summary", "hello", 1, false));
            call.send().await.is_ok_and(|answer| answer.status.is_success())
        };
        until("the model is loaded", answered).await;
        this
    }

    /// Sends a GET request to the operator address.
    pub(crate) async fn operator(&self, path: &str) -> Option<Answer> {
        Call::get(self.operators, path).send().await.ok()
    }

    /// Returns the state dump of the process.
    pub(crate) async fn state(&self) -> Value {
        self.operator("/debug/state").await.unwrap().json().unwrap()
    }

    /// Returns the log and all other output of the process.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("host.log")).unwrap()
    }

    /// Sends SIGTERM to the process.
    pub(crate) async fn terminate(&self) {
        let pid = self.child.id().unwrap().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().await.unwrap().success());
    }

    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        timeout(LIMIT, self.child.wait()).await.unwrap().unwrap()
    }
}

fn start_host(fleet: &Fleet, folder: &TempFolder) -> Child {
    let settings = json!({
        "host": "entry-1",
        "data_centre": "bern-a",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "store": { "endpoints": [format!("http://{}", fleet.store.address())] },
        "hosts": { "url": format!("http://{}/hosts", fleet.hosts.address()) },
        "limits": { "body_bytes": BODY_LIMIT, "head_timeout_ms": 500, "body_timeout_ms": 500 },
        "timings": short_timings(),
    });
    let file = folder.path().join("host.jsonc");
    std::fs::write(&file, settings.to_string()).unwrap();
    let log = std::fs::File::create(folder.path().join("host.log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_skylarkshore"))
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}

/// Reads an address that the host has bound from its first log line.
///
/// A free port chosen by the test in advance could be taken by another test.
fn logged_address(log: &Path, name: &str) -> Option<SocketAddr> {
    let text = std::fs::read_to_string(log).ok()?;
    let (_, rest) = text.split_once(&format!("{name}=\""))?;
    rest.split_once('"')?.0.parse().ok()
}

async fn put_document(store: SocketAddr) {
    let document = DocumentWire::parse(DOCUMENT).unwrap();
    let record = Record::try_from(document).unwrap();
    let writer = Writer { host: "operator".parse().unwrap(), incarnation: Incarnation(1), call: CallId(1) };
    let put = PutRequest {
        key: Bytes64::from(KeyText::from(&Key::Document).as_str()),
        value: Bytes64(StoredValue { writer, record }.to_json().into_bytes()),
        lease: Int64(0),
    };
    let txn = TxnRequest { success: vec![RequestOp::Put(put)], ..TxnRequest::default() };
    let body = serde_json::to_vec(&txn).unwrap();
    assert!(Call::post(store, TXN_PATH, body).send().await.unwrap().status.is_success());
}

/// Waits until a condition holds, and panics after [`LIMIT`].
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let deadline = Instant::now() + LIMIT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the body of a completion request.
pub(crate) fn prompt(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    json!({"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}).to_string()
}
