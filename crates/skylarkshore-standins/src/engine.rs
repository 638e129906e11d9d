//! Stand-in for a model engine: an HTTP server that loads models and answers requests, with
//! injectable faults. Start with [`Engine`].

mod batch;
mod generate;
mod memory;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use skylarkshore_core::id::{DataCentre, ModelName, SiteName, UpstreamId};
use skylarkshore_core::units::{Mebibytes, Watts};
use skylarkshore_wire::engine::{
    CACHE_EVENTS_PATH, ORDERS_PATH, OrderReply, OrderRequest, REPORT_PATH, Report,
};
use skylarkshore_wire::hostlist::{HostEntry, HostKind, HostState};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::census::Census;
use crate::http::{Answered, Body, Cut, Server, json, text, unknown};
use crate::lock;
use crate::ports::free_port;
use crate::weights::WeightStore;
use batch::Batch;
use memory::Memory;

pub use generate::{CRASH_MARKER, expected_text};

/// How many ports are tried, since another process may take a port after it was found free.
const PORT_ATTEMPTS: u32 = 10;

/// Identity, capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Engine name.
    pub id: UpstreamId,
    /// Data centre of the engine.
    pub data_centre: DataCentre,
    /// Site that supplies its power.
    pub site: SiteName,
    /// Accelerator memory.
    pub memory: Mebibytes,
    /// Power draw without a model.
    pub sleep_watts: Watts,
    /// Power draw with any model loaded or loading.
    pub active_watts: Watts,
    /// Whether orders with an outdated fence are refused.
    pub checks_fences: bool,
    /// Number of requests run concurrently.
    pub concurrency: u32,
    /// Time to generate a token.
    pub token_time: Duration,
    /// Age of the load figures in its reports.
    pub lag: Duration,
    /// Downtime after a crash.
    pub restart_time: Duration,
}

/// Faults injected into an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Close the connection of this many orders before they take effect.
    pub drop_orders: u32,
    /// Close the connection of this many orders after they take effect.
    pub lose_order_answers: u32,
    /// Delay before an order is executed, in milliseconds.
    pub late_orders_ms: u64,
    /// Extra time per token, in milliseconds.
    pub slow_tokens_ms: u64,
    /// Send this many answers with another request's id.
    pub crossed_answers: u32,
    /// Report that the engine is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    memory: Mutex<Memory>,
    batch: Arc<Batch>,
    faults: Mutex<EngineFaults>,
    /// Loads and unloads in progress, aborted by a crash.
    work: Mutex<JoinSet<()>>,
    weights: Arc<WeightStore>,
    census: Arc<Census>,
    server: Mutex<Option<Server>>,
    address: SocketAddr,
}

/// A model engine and its server.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine with nothing loaded.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(
        settings: EngineSettings,
        weights: Arc<WeightStore>,
        census: Arc<Census>,
    ) -> io::Result<Self> {
        for _ in 1..PORT_ATTEMPTS {
            let engine = Self::new(settings.clone(), Arc::clone(&weights), Arc::clone(&census))?;
            if engine.shared.listen().await.is_ok() {
                return Ok(engine);
            }
        }
        let engine = Self::new(settings, weights, census)?;
        engine.shared.listen().await?;
        Ok(engine)
    }

    fn new(settings: EngineSettings, weights: Arc<WeightStore>, census: Arc<Census>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            memory: Mutex::new(Memory::new(&settings, Arc::clone(&census))),
            batch: Arc::new(Batch::new(settings.concurrency)),
            faults: Mutex::default(),
            work: Mutex::default(),
            weights,
            census,
            server: Mutex::default(),
            address: free_port()?,
            settings,
        });
        Ok(Self { shared })
    }

    /// Returns the engine's host list entry.
    pub fn host_entry(&self) -> HostEntry {
        let settings = &self.shared.settings;
        HostEntry {
            id: settings.id.clone(),
            address: self.shared.address,
            data_centre: settings.data_centre.clone(),
            site: settings.site.clone(),
            kind: HostKind::Engine {
                memory_mib: settings.memory,
                sleep_watts: settings.sleep_watts,
                active_watts: settings.active_watts,
                checks_fences: settings.checks_fences,
                concurrency: settings.concurrency,
            },
            state: HostState::Live,
            software: None,
        }
    }

    /// Returns the engine's name.
    pub fn id(&self) -> &UpstreamId {
        &self.shared.settings.id
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the current report.
    pub fn report(&self) -> Report {
        self.shared.report()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Reports whether a model is ready to answer requests.
    pub fn is_ready(&self, model: &ModelName) -> bool {
        lock(&self.shared.memory).is_ready(model.as_str())
    }

    /// Crashes the engine, which restarts empty after its restart time.
    pub fn crash(&self) {
        Shared::crash(&self.shared);
    }

    /// Stops the engine without a restart.
    pub fn stop(&self) {
        self.shared.shut_down();
    }
}

impl Shared {
    async fn listen(self: &Arc<Self>) -> io::Result<()> {
        let weak = Arc::downgrade(self);
        let server = Server::start(self.address, move |req| {
            let shared = weak.upgrade();
            async move {
                match shared {
                    Some(shared) => answer(shared, req).await,
                    None => Err(Cut),
                }
            }
        })
        .await?;
        *lock(&self.server) = Some(server);
        Ok(())
    }

    fn shut_down(&self) {
        lock(&self.server).take();
        lock(&self.work).abort_all();
        self.batch.clear();
        lock(&self.memory).clear();
    }

    fn crash(self: &Arc<Self>) {
        self.census.update(|counts| counts.crashes += 1);
        self.shut_down();
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            sleep(shared.settings.restart_time).await;
            lock(&shared.memory).begin_incarnation();
            // If another process has taken the port, the engine stays down and tests fail visibly.
            _ = shared.listen().await;
        });
    }

    fn report(&self) -> Report {
        let mut report = lock(&self.memory).report();
        let load = self.batch.load(self.settings.lag);
        report.running = load.running;
        report.waiting = load.waiting;
        report.leaving = lock(&self.faults).leaving;
        report.lag_ms = u64::try_from(self.settings.lag.as_millis()).unwrap_or(u64::MAX);
        report
    }
}

async fn answer(shared: Arc<Shared>, req: Request<Bytes>) -> Answered {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, ORDERS_PATH) => order(shared, req.body()).await,
        (&Method::GET, REPORT_PATH) => Ok(json(StatusCode::OK, &shared.report())),
        (&Method::GET, CACHE_EVENTS_PATH) => Ok(cache_events(&shared, req.uri().query())),
        (&Method::POST, generate::CHAT_PATH | generate::COMPLETIONS_PATH) => {
            generate::answer(shared, req).await
        }
        (method, _) => Ok(unknown(method, &path)),
    }
}

async fn order(shared: Arc<Shared>, body: &[u8]) -> Answered {
    let req: OrderRequest = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(err) => return Ok(text(StatusCode::BAD_REQUEST, &format!("not an order: {err}"))),
    };
    let faults = consume_order_faults(&shared);
    if faults.drop_orders > 0 {
        return Err(Cut);
    }
    if faults.late_orders_ms > 0 {
        // A separate task executes the order even if the sender disconnects.
        let delayed = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            sleep(Duration::from_millis(faults.late_orders_ms)).await;
            execute_order(&delayed, req)
        });
        let reply = task.await.map_err(|_gone| Cut)?;
        return Ok(order_response(&reply));
    }
    let reply = execute_order(&shared, req);
    if faults.lose_order_answers > 0 { Err(Cut) } else { Ok(order_response(&reply)) }
}

/// Returns the faults for this order and decrements their counts.
fn consume_order_faults(shared: &Shared) -> EngineFaults {
    let mut faults = lock(&shared.faults);
    let active = faults.clone();
    faults.drop_orders = faults.drop_orders.saturating_sub(1);
    if active.drop_orders == 0 {
        faults.lose_order_answers = faults.lose_order_answers.saturating_sub(1);
    }
    active
}

fn order_response(reply: &OrderReply) -> Response<Body> {
    json(StatusCode::from_u16(reply.status()).unwrap_or(StatusCode::OK), reply)
}

fn execute_order(shared: &Arc<Shared>, req: OrderRequest) -> OrderReply {
    let (reply, work) = lock(&shared.memory).order(req);
    if let Some(work) = work {
        let shared_work = Arc::clone(shared);
        lock(&shared.work).spawn(async move { memory::run_background_work(shared_work, work).await });
    }
    reply
}

fn cache_events(shared: &Shared, query: Option<&str>) -> Response<Body> {
    let after =
        query.and_then(|query| query.strip_prefix("after=")).and_then(|n| n.parse().ok()).unwrap_or(0);
    let events = lock(&shared.memory).cache_events(after);
    json(StatusCode::OK, &events)
}
