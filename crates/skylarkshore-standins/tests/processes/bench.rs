//! A test deployment: entry hosts as real processes, with stand-ins running inside the test.

use std::net::SocketAddr;
use std::sync::Once;
use std::time::Duration;

use serde_json::{Value, json};
use skylarkshore_core::id::ModelName;
use skylarkshore_standins::client::{Answer, Call, CallError};
use skylarkshore_standins::engine::{Engine, expected_text};
use skylarkshore_standins::fleet::{Fleet, FleetSettings};
use skylarkshore_standins::process::{EntryHost, EntrySettings, TempFolder, skylarkctl, wait_until};
use skylarkshore_standins::programs::Programs;
use skylarkshore_standins::relay::Relay;
use tokio::sync::{Semaphore, SemaphorePermit};

/// The longest that a test waits for a condition.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);
/// The default time-out of requests.
pub(crate) const REQUEST_TIMEOUT_MS: u64 = 20_000;
/// The default number of tokens of an answer.
pub(crate) const TOKENS: u32 = 6;

/// Limits concurrent tests, so that short leases don't expire for lack of processor time.
static TEST_SLOTS: Semaphore = Semaphore::const_new(3);

/// Rules with a service and three models that are loaded on request.
pub(crate) const RULES: &str = r#"{
    "revision": 0,
    "power_caps": {"lagerraum": 100000},
    "models": {
        "alpha": {"version": "1", "weights_mib": 12000, "kv_cache_mib": 4000, "load_time_ms": 1000,
                  "adapters": {"alpha-fr": 200}},
        "beta": {"version": "1", "weights_mib": 12000, "kv_cache_mib": 4000, "load_time_ms": 1000},
        "gamma": {"version": "1", "weights_mib": 12000, "kv_cache_mib": 4000, "load_time_ms": 1000}
    },
    "services": {"marketplace": {"once_paths": ["/bookings"], "concurrency": 16}},
    "otherwise": {"replicas_max": 1, "idle_after": {"seconds": 600}}
}"#;

/// The size and settings of a test's deployment.
pub(crate) struct BenchSettings {
    pub(crate) entries: u32,
    pub(crate) engines: u32,
    pub(crate) checks_fences: bool,
    pub(crate) token_time: Duration,
    /// The power cap of the site.
    pub(crate) power_cap_watts: u64,
}

impl Default for BenchSettings {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 2,
            checks_fences: true,
            token_time: Duration::from_millis(5),
            power_cap_watts: 100_000,
        }
    }
}

/// A running deployment.
pub(crate) struct Bench {
    pub(crate) fleet: Fleet,
    pub(crate) entries: Vec<EntryHost>,
    pub(crate) programs: Programs,
    pub(crate) folder: TempFolder,
    /// The relay between each host and the key-value service.
    pub(crate) store_relays: Vec<Relay>,
    _slot: SemaphorePermit<'static>,
}

async fn programs() -> Programs {
    static OUTDATED: Once = Once::new();
    let programs = Programs::beside_this().expect("the test lies in cargo's folder");
    // Cargo builds the programs with the tests of the workspace, but not with those of this package alone.
    let build = programs.clone();
    tokio::task::spawn_blocking(move || {
        OUTDATED.call_once(|| {
            if build.are_outdated().expect("the sources are there") {
                let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
                runtime.block_on(build.build()).expect("the programs can be built");
            }
        });
    })
    .await
    .expect("the build doesn't panic");
    programs
}

impl Bench {
    /// Starts everything and waits until the rules are in force and all engines and models are assigned.
    pub(crate) async fn start(bench_settings: BenchSettings) -> Self {
        let programs = programs().await;
        let slot = TEST_SLOTS.acquire().await.expect("the semaphore stays open");
        let mut settings = FleetSettings::small(bench_settings.engines, 1).expect("the names are valid");
        settings.checks_fences = bench_settings.checks_fences;
        settings.token_time = bench_settings.token_time;
        let fleet = Fleet::start(&settings).await.expect("ports are free");
        let folder = TempFolder::new().expect("a folder");
        let mut entries = Vec::new();
        let mut store_relays = Vec::new();
        for i in 0..bench_settings.entries {
            let host = format!("entry-{}", i + 1).parse().expect("a name");
            let data_centre = settings.data_centres[i as usize % 3].clone();
            let relay = Relay::start(fleet.store.address()).await.expect("a port is free");
            let entry = EntrySettings::new(host, data_centre, relay.address(), fleet.hosts.address());
            store_relays.push(relay);
            let entry = EntryHost::start(&programs, entry.expect("ports are free"), folder.path());
            entries.push(entry.expect("the program starts"));
        }
        let mut bench = Self { fleet, entries, programs, folder, store_relays, _slot: slot };
        let rules = RULES.replace("100000", &bench_settings.power_cap_watts.to_string());
        let applied = bench.apply("first.jsonc", &rules).await;
        assert_eq!(applied.0, Some(0), "{}", applied.1);
        for entry in &mut bench.entries {
            entry.wait_ready(LIMIT).await.unwrap_or_else(|err| panic!("{err}"));
        }
        let owned = || (1..=bench_settings.engines).all(|i| bench.owner(&format!("engine-{i}")).is_some());
        assert!(
            wait_until(LIMIT, owned).await,
            "not every engine has an owner: {:?}",
            bench.fleet.store.contents()
        );
        let homes = || ["alpha", "beta", "gamma"].iter().all(|model| bench.home(model).is_some());
        assert!(
            wait_until(LIMIT, homes).await,
            "not every model has a home: {:?}",
            bench.fleet.store.contents()
        );
        bench
    }

    /// Applies a rules document with `skylarkctl` and returns its exit code and output.
    pub(crate) async fn apply(&self, name: &str, document: &str) -> (Option<i32>, String) {
        let file = self.folder.path().join(name);
        std::fs::write(&file, document).expect("a file");
        let store = self.fleet.store.address().to_string();
        let file = file.display().to_string();
        let output = skylarkctl(&self.programs, &["--store", &store, "rules", "apply", &file]).await;
        let output = output.expect("the program runs");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    }

    /// Reads a record of the key-value service.
    pub(crate) fn record(&self, key: &str) -> Option<Value> {
        let contents = self.fleet.store.contents();
        let text = contents.get(&format!("skylarkshore/shared/{key}"))?;
        Some(serde_json::from_str::<Value>(text).ok()?["value"].take())
    }

    /// Returns the index of the host that owns an engine according to the key-value service.
    pub(crate) fn owner(&self, engine: &str) -> Option<usize> {
        let owner = self.record(&format!("owners/{engine}"))?;
        self.entries.iter().position(|entry| owner["host"] == entry.host().as_str())
    }

    /// Returns the first home of a model.
    pub(crate) fn home(&self, model: &str) -> Option<&Engine> {
        let homes = self.record(&format!("homes/{model}"))?;
        self.fleet.engine(homes.pointer("/engines/0")?.as_str()?)
    }

    /// Returns the revision of the rules in force at a host, or `None` if it doesn't answer.
    pub(crate) async fn rules_revision(&self, entry: usize) -> Option<u64> {
        let call = Call::get(self.entries[entry].operator_address(), "/debug/state");
        let state: Value = call.send().await.ok()?.json().ok()?;
        state["document_revision"].as_u64()
    }

    /// Returns the address at which callers reach a host.
    pub(crate) fn caller_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].caller_address()
    }

    /// Returns the indices of all other hosts.
    pub(crate) fn others(&self, entry: usize) -> Vec<usize> {
        (0..self.entries.len()).filter(|other| *other != entry).collect()
    }

    /// Checks the invariants that hold under every fault: replicas, memory, fences and single runs.
    pub(crate) fn check_invariants(&self) {
        let counts = self.fleet.census.counts();
        for (model, level) in &counts.replicas {
            assert!(level.peak <= 1, "{model} had {} replicas, the rules allow 1", level.peak);
        }
        assert_eq!(counts.overcommits, 0, "an engine was ordered to load more than its memory holds");
        assert_eq!(counts.old_fences_obeyed, 0, "an engine executed an order with an outdated fence");
        for (key, runs) in &counts.runs {
            assert_eq!(*runs, 1, "the request with key {key} ran more than once");
        }
    }

    /// Returns the number of loads of a model.
    pub(crate) fn loads(&self, model: &str) -> u64 {
        let model: ModelName = model.parse().expect("a name");
        self.fleet.census.counts().loads.get(&model).copied().unwrap_or_default()
    }
}

/// Sends a prompt and checks that the answer is complete and correct.
pub(crate) async fn ask(caller: SocketAddr, model: &str, prompt: &str) -> Result<(), String> {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": TOKENS}).to_string();
    let call = Call::post(caller, "/v1/completions", body)
        .header("x-request-timeout-ms", &REQUEST_TIMEOUT_MS.to_string())
        .header("x-request-id", prompt);
    let answer = call.send().await.map_err(|err| err.to_string())?;
    let body = answer.json::<Value>().unwrap_or_default();
    let text = body.pointer("/choices/0/text").and_then(Value::as_str);
    let id = answer.headers.get("x-request-id").and_then(|id| id.to_str().ok());
    if text == Some(&expected_text(model, prompt, TOKENS)) && id == Some(prompt) {
        return Ok(());
    }
    Err(format!("{} {}", answer.status, answer.text()))
}

/// Sends a booking with an idempotency key.
pub(crate) async fn book(caller: SocketAddr, key: &str) -> Result<Answer, CallError> {
    Call::post(caller, "/services/marketplace/bookings", r#"{"space":"hall-7"}"#)
        .header("idempotency-key", key)
        .header("x-request-timeout-ms", &REQUEST_TIMEOUT_MS.to_string())
        .send()
        .await
}
