//! Assembles the parts of an entry host and runs them. Start with [`run`].

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::config::{NodeConfig, Settings};
use skylarkshore_core::id::Incarnation;
use skylarkshore_core::{Effect, Event, Node};
use slog::{Logger, info, warn};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::byte_budget::ByteBudget;
use crate::clock::Clock;
use crate::config::{Config, EtcdSettings};
use crate::connections::Connections;
use crate::driver::{Driver, EffectExecutor, Inbox, InboxReceiver, Snapshot};
use crate::env::Env;
use crate::error::Error;
use crate::etcd_platform::EtcdPlatform;
use crate::exchange::Exchange;
use crate::log::{logger, unix_millis};
use crate::metrics::Metrics;
use crate::operators::{self, OperatorState};
use crate::peers::{Identity, LinkTimings, Peers};
use crate::pending::Requests;
use crate::platform::Platform;
use crate::server::{RunningServer, workers};
use crate::shutdown::Signals;
use crate::upstreams::Upstreams;

/// The most threads for the core, its calls and its peer messages.
const MAX_WORKERS: usize = 4;
/// How long slow callers may take to read the last answers, and peers to end what is relayed for them.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Creates the configured platform for an incarnation of the process.
pub type PlatformMaker = dyn Fn(&Config, Incarnation) -> Box<dyn Platform>;

/// Reads the settings, at the start and at each reload.
pub type SettingsSource<'a> = dyn Fn() -> Result<Config, Error> + 'a;

/// Reloads the settings and applies those that can change at run time.
///
/// Addresses and the platform only change at the next start. Invalid settings
/// change nothing.
fn reload(source: &SettingsSource<'_>, env: &Env) {
    match source() {
        Ok(config) => {
            info!(env.log, "settings_reloaded"; "limits" => ?config.limits);
            let (timings, limits) = (config.timings, config.limits);
            env.inbox.event_later(Event::Settings(Box::new(Settings { timings, limits })));
        }
        Err(err) => warn!(env.log, "settings_not_reloaded"; "reason" => %err),
    }
}

/// Returns the product's own platform.
///
/// Its settings are part of [`Config::platform`].
pub fn own_platform(config: &Config, settings: EtcdSettings, incarnation: Incarnation) -> Box<dyn Platform> {
    Box::new(EtcdPlatform::new(config, settings, incarnation))
}

/// Runs an entry host until it has shut down gracefully or a second signal ends it.
///
/// # Errors
///
/// The settings are invalid, an address is in use, or the system provides no threads or randomness.
pub fn run(source: &SettingsSource<'_>, platforms: &PlatformMaker) -> Result<ExitCode, Error> {
    let config = source()?;
    let (log, guard) = logger(&config);
    let runtime = runtime()?;
    let code = runtime.block_on(serve(config, source, platforms, log));
    // The results of pending calls are no longer needed.
    runtime.shutdown_background();
    drop(guard);
    code
}

/// Creates the runtime of the core and its I/O.
///
/// The core runs on the main thread. On a single processor everything else does
/// too, as a second thread would have to be woken for each event.
fn runtime() -> Result<Runtime, Error> {
    let workers = workers(MAX_WORKERS);
    let mut builder = if workers > 1 { Builder::new_multi_thread() } else { Builder::new_current_thread() };
    if workers > 1 {
        builder.worker_threads(workers);
    }
    builder.thread_name("skylarkshore").enable_all().build().map_err(|source| Error::Runtime { source })
}

/// The sockets of a host.
struct Sockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: UdpSocket,
}

impl Sockets {
    fn bind(config: &mut Config) -> Result<Self, Error> {
        let callers = bind(config.caller_address, "callers", "caller_address", TcpListener::bind)?;
        let operators = bind(config.operator_address, "operators", "operator_address", TcpListener::bind)?;
        let peers = bind(config.peer_address, "peers", "peer_address", UdpSocket::bind)?;
        // Port 0 in the settings selects any free port.
        let unknown = |source| Error::Runtime { source };
        config.caller_address = callers.local_addr().map_err(unknown)?;
        config.operator_address = operators.local_addr().map_err(unknown)?;
        config.peer_address = peers.local_addr().map_err(unknown)?;
        Ok(Self { callers, operators, peers })
    }
}

fn bind<T>(
    address: SocketAddr,
    purpose: &'static str,
    setting: &'static str,
    bind: impl FnOnce(SocketAddr) -> std::io::Result<T>,
) -> Result<T, Error> {
    bind(address).map_err(|source| Error::Bind { address, purpose, setting, source })
}

async fn serve(
    mut config: Config,
    source: &SettingsSource<'_>,
    platforms: &PlatformMaker,
    log: Logger,
) -> Result<ExitCode, Error> {
    let runtime_error = |source| Error::Runtime { source };
    let signals = Signals::listen().map_err(runtime_error)?;
    let sockets = Sockets::bind(&mut config)?;
    let identity = Identity::generate(&config.host)?;
    let (inbox, receiver) = Inbox::open();
    let env = Env {
        clock: Clock::start(),
        inbox,
        metrics: Arc::new(Metrics::new()),
        requests: Arc::new(Requests::default()),
        lines: Arc::default(),
        log,
    };
    let node_config = node_config(&config, &identity);
    let incarnation = node_config.incarnation;
    log_start(&config, incarnation, &env);
    let (snapshot, snapshots) = watch::channel(Arc::new(Snapshot::at_start(incarnation)));
    let peers = Peers::listen(
        env.clone(),
        sockets.peers,
        identity,
        LinkTimings::from(&config.timings),
        snapshots.clone(),
    )?;
    let platform = platforms(&config, incarnation);
    let exchange = exchange(&config, &env, snapshots.clone());
    let connections = Arc::clone(&exchange.connections);
    let executor = effect_executor(&config, &*platform, &env, peers.clone(), Arc::clone(&connections));
    let (node, initial_effects) = Node::start(node_config, env.clock.now());
    let driver = Driver::new(node, env.clock, executor, snapshot, Arc::clone(&env.metrics));
    let operator_state = OperatorState {
        env: env.clone(),
        snapshots,
        host: config.host.clone(),
        data_centre: config.data_centre.clone(),
    };
    let operators = operators::serve(operator_state, sockets.operators).map_err(runtime_error)?;
    let callers = platform.serve(exchange, sockets.callers)?;
    platform.follow_upstreams(&env);
    let reload = || reload(source, &env);
    let remaining = Remaining { env: &env, connections: &connections, peers: &peers };
    let code = run_until_exit(driver, receiver, initial_effects, signals, reload, &remaining).await;
    stop(&callers, &operators, &peers);
    Ok(code)
}

fn node_config(config: &Config, identity: &Identity) -> NodeConfig {
    NodeConfig {
        host: config.host.clone(),
        incarnation: Incarnation(unix_millis()),
        data_centre: config.data_centre.clone(),
        caller_address: config.caller_address,
        peer_address: config.peer_address,
        fingerprint: identity.fingerprint(),
        seed: rand::random(),
        timings: config.timings.clone(),
        limits: config.limits.clone(),
        default_rules: config.default_rules.clone(),
        watchers: config.watchers,
        capacity: config.capacity,
        is_first_start: config.is_first_start,
    }
}

fn log_start(config: &Config, incarnation: Incarnation, env: &Env) {
    info!(env.log, "started";
        "version" => env!("CARGO_PKG_VERSION"),
        "incarnation" => %incarnation,
        "data_centre" => %config.data_centre,
        "caller_address" => %config.caller_address,
        "peer_address" => %config.peer_address,
        "operator_address" => %config.operator_address);
}

fn effect_executor(
    config: &Config,
    platform: &dyn Platform,
    env: &Env,
    peers: Peers,
    connections: Arc<Connections>,
) -> EffectExecutor {
    let store = platform.store(env);
    let engines = platform.engines(env);
    let upstreams =
        Upstreams::new(platform.upstreams(env), peers.clone(), config.limits.recorded_answer, env.clone());
    EffectExecutor::new(env.clone(), store, engines, upstreams, peers, connections)
}

fn exchange(config: &Config, env: &Env, snapshots: watch::Receiver<Arc<Snapshot>>) -> Exchange {
    Exchange {
        env: env.clone(),
        snapshots,
        connections: Arc::new(Connections::default()),
        intake: config.intake.clone(),
        buffers: config.buffers.clone(),
        answers: ByteBudget::new(config.buffers.answers, env.metrics.held_bytes("answers")),
        bodies: ByteBudget::new(config.buffers.bodies, env.metrics.held_bytes("requests")),
        host: config.host.clone(),
        data_centre: config.data_centre.clone(),
        entry_ttl: config.timings.entry_ttl,
    }
}

/// What other processes still do with a host that has nothing left to decide.
struct Remaining<'a> {
    env: &'a Env,
    connections: &'a Connections,
    peers: &'a Peers,
}

impl Remaining<'_> {
    /// Returns the requests of callers that are in progress, or whose answers are being read.
    fn requests(&self) -> usize {
        self.env.requests.len().max(self.connections.busy())
    }

    /// Reports whether the process can exit without cutting anything off.
    fn is_done(&self) -> bool {
        self.requests() == 0 && self.peers.relayed() == 0
    }
}

/// Runs until the core has exited, the callers have read their answers, and the peers' requests that this
/// host relays have ended.
///
/// For the core a request ends when its upstream has sent the last of the
/// answer, and for the exchange when the server has taken that. A slow caller
/// may still be reading it; exiting then would cut it off.
async fn run_until_drained(
    driver: Driver,
    receiver: InboxReceiver,
    initial_effects: Vec<Effect>,
    remaining: &Remaining<'_>,
) {
    Box::pin(driver.run(receiver, initial_effects)).await;
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while !remaining.is_done() && Instant::now() < deadline {
        sleep(FLUSH_INTERVAL).await;
    }
    // The server may be about to begin with the end of an answer.
    sleep(FLUSH_INTERVAL).await;
    info!(remaining.env.log, "left";
        "relayed_cut_off" => remaining.peers.relayed(), "requests_cut_off" => remaining.requests());
}

async fn run_until_exit(
    driver: Driver,
    receiver: InboxReceiver,
    initial_effects: Vec<Effect>,
    signals: Signals,
    reload: impl Fn(),
    remaining: &Remaining<'_>,
) -> ExitCode {
    tokio::select! {
        () = run_until_drained(driver, receiver, initial_effects, remaining) => ExitCode::SUCCESS,
        () = signals.until_second_signal(remaining.env.clone(), reload) => {
            let cut = remaining.requests();
            eprintln!("skylarkshore: ended at the second signal; {cut} requests in progress were cut off");
            ExitCode::FAILURE
        }
    }
}

fn stop(callers: &[RunningServer], operators: &RunningServer, peers: &Peers) {
    callers.iter().for_each(RunningServer::stop);
    operators.stop();
    peers.close();
}
