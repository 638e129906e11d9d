//! Entry hosts as processes before stand-ins within the test.

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

/// The most that a test waits for anything.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);
/// The time-out that requests carry when a test doesn't care.
pub(crate) const PATIENT_MS: u64 = 20_000;
/// How many tokens an answer has when a test doesn't care.
pub(crate) const TOKENS: u32 = 6;

/// How many tests run at a time, so that short leases don't lapse for want of processor time.
static TURNS: Semaphore = Semaphore::const_new(3);

/// Three models that are cold until they are asked for, and a service.
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

/// What a test needs.
pub(crate) struct Needs {
    pub(crate) entries: u32,
    pub(crate) engines: u32,
    pub(crate) checks_fences: bool,
    pub(crate) token_time: Duration,
    /// What the rules allow the site to draw.
    pub(crate) watts: u64,
}

impl Default for Needs {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 2,
            checks_fences: true,
            token_time: Duration::from_millis(5),
            watts: 100_000,
        }
    }
}

/// A deployment.
pub(crate) struct Bench {
    pub(crate) fleet: Fleet,
    pub(crate) entries: Vec<EntryHost>,
    pub(crate) programs: Programs,
    pub(crate) folder: TempFolder,
    /// Through which each host reaches the key-value service.
    pub(crate) to_store: Vec<Relay>,
    _turn: SemaphorePermit<'static>,
}

async fn programs() -> Programs {
    static OUTDATED: Once = Once::new();
    let programs = Programs::beside_this().expect("the test lies in cargo's folder");
    // Cargo builds the programs along with all tests; a single package's tests don't.
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
    /// Starts everything and waits until the rules are in force and each engine has an owner.
    pub(crate) async fn start(needs: Needs) -> Self {
        let programs = programs().await;
        let turn = TURNS.acquire().await.expect("the semaphore stays open");
        let mut settings = FleetSettings::small(needs.engines, 1).expect("the names are valid");
        settings.checks_fences = needs.checks_fences;
        settings.token_time = needs.token_time;
        let fleet = Fleet::start(&settings).await.expect("ports are free");
        let folder = TempFolder::new().expect("a folder");
        let mut entries = Vec::new();
        let mut to_store = Vec::new();
        for i in 0..needs.entries {
            let host = format!("entry-{}", i + 1).parse().expect("a name");
            let data_centre = settings.data_centres[i as usize % 3].clone();
            let relay = Relay::start(fleet.store.address()).await.expect("a port is free");
            let entry = EntrySettings::new(host, data_centre, relay.address(), fleet.hosts.address());
            to_store.push(relay);
            let entry = EntryHost::start(&programs, entry.expect("ports are free"), folder.path());
            entries.push(entry.expect("the program starts"));
        }
        let mut bench = Self { fleet, entries, programs, folder, to_store, _turn: turn };
        let rules = RULES.replace("100000", &needs.watts.to_string());
        let applied = bench.apply("first.jsonc", &rules).await;
        assert_eq!(applied.0, Some(0), "{}", applied.1);
        for entry in &mut bench.entries {
            entry.wait_ready(LIMIT).await.unwrap_or_else(|err| panic!("{err}"));
        }
        let owned = || (1..=needs.engines).all(|i| bench.owner(&format!("engine-{i}")).is_some());
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

    /// Applies a rules document and returns the exit code and the words.
    pub(crate) async fn apply(&self, name: &str, document: &str) -> (Option<i32>, String) {
        let file = self.folder.path().join(name);
        std::fs::write(&file, document).expect("a file");
        let store = self.fleet.store.address().to_string();
        let file = file.display().to_string();
        let output = skylarkctl(&self.programs, &["--store", &store, "rules", "apply", &file]).await;
        let output = output.expect("the program runs");
        let words = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&words).into_owned())
    }

    /// Reads a record of the key-value service.
    pub(crate) fn record(&self, key: &str) -> Option<Value> {
        let contents = self.fleet.store.contents();
        let text = contents.get(&format!("skylarkshore/shared/{key}"))?;
        Some(serde_json::from_str::<Value>(text).ok()?["value"].take())
    }

    /// Returns the number of the host that owns an engine, as the key-value service has it.
    pub(crate) fn owner(&self, engine: &str) -> Option<usize> {
        let owner = self.record(&format!("owners/{engine}"))?;
        self.entries.iter().position(|entry| owner["host"] == entry.host().as_str())
    }

    /// Returns the engine that is the first home of a model.
    pub(crate) fn home(&self, model: &str) -> Option<&Engine> {
        let homes = self.record(&format!("homes/{model}"))?;
        self.fleet.engine(homes.pointer("/engines/0")?.as_str()?)
    }

    /// Returns the revision of the rules that a host has, once it answers.
    pub(crate) async fn rules_revision(&self, entry: usize) -> Option<u64> {
        let call = Call::get(self.entries[entry].operator_address(), "/debug/state");
        let state: Value = call.send().await.ok()?.json().ok()?;
        state["document_revision"].as_u64()
    }

    /// Returns where callers reach a host.
    pub(crate) fn caller(&self, entry: usize) -> SocketAddr {
        self.entries[entry].caller_address()
    }

    /// Returns the hosts other than one.
    pub(crate) fn others(&self, entry: usize) -> Vec<usize> {
        (0..self.entries.len()).filter(|other| *other != entry).collect()
    }

    /// Checks what must hold whatever was struck: replicas, memory and old fences.
    pub(crate) fn check_invariants(&self) {
        let counts = self.fleet.census.counts();
        for (model, level) in &counts.replicas {
            assert!(level.peak <= 1, "{model} had {} replicas, the rules allow 1", level.peak);
        }
        assert_eq!(counts.overcommits, 0, "an engine was told to load more than it can hold");
        assert_eq!(counts.old_fences_obeyed, 0, "an engine obeyed an owner of the past");
        for (key, runs) in &counts.runs {
            assert_eq!(*runs, 1, "the request with key {key} ran more than once");
        }
    }

    /// Returns how often a model was loaded.
    pub(crate) fn loads(&self, model: &str) -> u64 {
        let model: ModelName = model.parse().expect("a name");
        self.fleet.census.counts().loads.get(&model).copied().unwrap_or_default()
    }
}

/// Sends a prompt and checks that the whole right answer comes back.
pub(crate) async fn ask(caller: SocketAddr, model: &str, prompt: &str) -> Result<(), String> {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": TOKENS}).to_string();
    let call = Call::post(caller, "/v1/completions", body)
        .header("x-request-timeout-ms", &PATIENT_MS.to_string())
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

/// Books under an idempotency key.
pub(crate) async fn book(caller: SocketAddr, key: &str) -> Result<Answer, CallError> {
    Call::post(caller, "/services/marketplace/bookings", r#"{"space":"hall-7"}"#)
        .header("idempotency-key", key)
        .header("x-request-timeout-ms", &PATIENT_MS.to_string())
        .send()
        .await
}
