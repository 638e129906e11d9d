//! A model engine: it loads, batches, answers, crashes and counts.

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

/// How many ports are tried; another process may take one after it was found free.
const PORT_ATTEMPTS: u32 = 10;

/// What an engine is and how fast it works.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Its name.
    pub id: UpstreamId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The site whose power it draws.
    pub site: SiteName,
    /// Its accelerator memory.
    pub memory: Mebibytes,
    /// What it draws with nothing loaded.
    pub sleep_watts: Watts,
    /// What it draws with anything loaded or loading.
    pub active_watts: Watts,
    /// Whether it refuses orders under an old fence.
    pub checks_fences: bool,
    /// How many requests it runs at a time.
    pub concurrency: u32,
    /// How long a generated token takes.
    pub token_time: Duration,
    /// How old its load figures may be.
    pub lag: Duration,
    /// How long it stays away after a crash.
    pub restart_time: Duration,
}

/// What is wrong with an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Cut the next orders before they took effect.
    pub drop_orders: u32,
    /// Cut the next orders after they took effect.
    pub lose_order_answers: u32,
    /// Carry orders out only after this long, in milliseconds.
    pub late_orders_ms: u64,
    /// Add this to the time of each token, in milliseconds.
    pub slow_tokens_ms: u64,
    /// Give the next answers under another request's id.
    pub crossed_answers: u32,
    /// Say that it is about to go.
    pub leaving: bool,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    memory: Mutex<Memory>,
    batch: Arc<Batch>,
    faults: Mutex<EngineFaults>,
    /// Loads and unloads on their way; a crash ends them.
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
    /// No port is free.
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

    /// Returns its entry of the host list.
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
        }
    }

    /// Returns its name.
    pub fn id(&self) -> &UpstreamId {
        &self.shared.settings.id
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns how it stands.
    pub fn report(&self) -> Report {
        self.shared.report()
    }

    /// Switches its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Tells whether a model answers requests there.
    pub fn is_ready(&self, model: &ModelName) -> bool {
        lock(&self.shared.memory).is_ready(model.as_str())
    }

    /// Ends its life and, after its restart time, begins the next one with nothing loaded.
    pub fn crash(&self) {
        Shared::crash(&self.shared);
    }

    /// Ends its life for good.
    pub fn stop(&self) {
        self.shared.die();
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

    fn die(&self) {
        lock(&self.server).take();
        lock(&self.work).abort_all();
        self.batch.clear();
        lock(&self.memory).clear();
    }

    fn crash(self: &Arc<Self>) {
        self.census.note(|counts| counts.crashes += 1);
        self.die();
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            sleep(shared.settings.restart_time).await;
            lock(&shared.memory).begin_life();
            // The port was free a moment ago; a taken one leaves the engine dead, which the tests would notice.
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
    let faults = take_order_faults(&shared);
    if faults.drop_orders > 0 {
        return Err(Cut);
    }
    if faults.late_orders_ms > 0 {
        // The order goes on its way even when its sender has given up waiting.
        let late = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            sleep(Duration::from_millis(faults.late_orders_ms)).await;
            carry_out(&late, req)
        });
        let reply = task.await.map_err(|_gone| Cut)?;
        return Ok(order_answer(&reply));
    }
    let reply = carry_out(&shared, req);
    if faults.lose_order_answers > 0 { Err(Cut) } else { Ok(order_answer(&reply)) }
}

/// Returns the faults that strike this order, and counts them down.
fn take_order_faults(shared: &Shared) -> EngineFaults {
    let mut faults = lock(&shared.faults);
    let striking = faults.clone();
    faults.drop_orders = faults.drop_orders.saturating_sub(1);
    if striking.drop_orders == 0 {
        faults.lose_order_answers = faults.lose_order_answers.saturating_sub(1);
    }
    striking
}

fn order_answer(reply: &OrderReply) -> Response<Body> {
    json(StatusCode::from_u16(reply.status()).unwrap_or(StatusCode::OK), reply)
}

fn carry_out(shared: &Arc<Shared>, req: OrderRequest) -> OrderReply {
    let (reply, work) = lock(&shared.memory).order(req);
    if let Some(work) = work {
        let shared_work = Arc::clone(shared);
        lock(&shared.work).spawn(async move { memory::finish(shared_work, work).await });
    }
    reply
}

fn cache_events(shared: &Shared, query: Option<&str>) -> Response<Body> {
    let after =
        query.and_then(|query| query.strip_prefix("after=")).and_then(|n| n.parse().ok()).unwrap_or(0);
    let events = lock(&shared.memory).cache_events(after);
    json(StatusCode::OK, &events)
}
