//! Puts the parts of an entry host together and runs them.

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

use crate::clock::Clock;
use crate::config::{Config, EtcdSettings};
use crate::driver::{Driver, Effects, Inbox, InboxReceiver, Snapshot};
use crate::env::Env;
use crate::error::Error;
use crate::etcd_platform::EtcdPlatform;
use crate::exchange::{Connections, Exchange};
use crate::log::{logger, unix_millis};
use crate::metrics::Metrics;
use crate::operators::{self, OperatorState};
use crate::peers::{Identity, LinkTimings, Peers};
use crate::pending::Requests;
use crate::platform::Platform;
use crate::server::{RunningServer, workers};
use crate::shutdown::Signals;
use crate::upstreams::Upstreams;

/// The most threads that run the core, its calls and its peers' messages.
const MOST_WORKERS: usize = 4;
/// How long slow callers are given to read the last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(30);
const LAST_BYTES: Duration = Duration::from_millis(100);

/// Makes the platform that the settings name, given which life of the process this is.
pub type PlatformMaker = dyn Fn(&Config, Incarnation) -> Box<dyn Platform>;

/// Reads the settings, at the start and whenever the process is asked to.
pub type SettingsSource<'a> = dyn Fn() -> Result<Config, Error> + 'a;

/// Reads the settings again and puts into force what can change while the process runs.
///
/// Addresses and the platform stay as they were until the next start. Settings
/// that are wrong change nothing.
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
/// Its settings are read along with the others; see [`Config::platform`].
pub fn own_platform(config: &Config, settings: EtcdSettings, incarnation: Incarnation) -> Box<dyn Platform> {
    Box::new(EtcdPlatform::new(config, settings, incarnation))
}

/// Runs an entry host until it has left in order or is told to end at once.
///
/// # Errors
///
/// An address is taken, or the system gives no threads or randomness.
pub fn run(source: &SettingsSource<'_>, platforms: &PlatformMaker) -> Result<ExitCode, Error> {
    let config = source()?;
    let (log, guard) = logger(&config);
    let runtime = runtime()?;
    let code = runtime.block_on(serve(config, source, platforms, log));
    // Calls that are still on their way have no one left to answer.
    runtime.shutdown_background();
    drop(guard);
    code
}

/// Makes the runtime of the core and of all that speaks to others.
///
/// The core runs on the main thread. Where threads can't run beside each other,
/// everything else does too: a second one would have to be woken at each event.
fn runtime() -> Result<Runtime, Error> {
    let workers = workers(MOST_WORKERS);
    let mut builder = if workers > 1 { Builder::new_multi_thread() } else { Builder::new_current_thread() };
    if workers > 1 {
        builder.worker_threads(workers);
    }
    builder.thread_name("skylarkshore").enable_all().build().map_err(|source| Error::Runtime { source })
}

/// The sockets of a host, with the addresses that others are told.
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
        // A port 0 in the settings stands for any free one.
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
    let system = |source| Error::Runtime { source };
    let signals = Signals::listen().map_err(system)?;
    let sockets = Sockets::bind(&mut config)?;
    let identity = Identity::generate()?;
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
    announce(&config, node_config.incarnation, &env);
    let (snapshot, snapshots) = watch::channel(Arc::new(Snapshot::default()));
    let incarnation = node_config.incarnation;
    let peers = Peers::listen(
        env.clone(),
        sockets.peers,
        identity,
        LinkTimings::from(&config.timings),
        snapshots.clone(),
    )?;
    let platform = platforms(&config, incarnation);
    let exchange = exchange(&config, incarnation, &env, snapshots.clone());
    let connections = Arc::clone(&exchange.connections);
    let effects = effects(&config, &*platform, &env, peers.clone(), connections);
    let (node, first) = Node::start(node_config, env.clock.now());
    let driver = Driver::new(node, env.clock, effects, snapshot, Arc::clone(&env.metrics));
    let operator_state = OperatorState {
        env: env.clone(),
        snapshots,
        host: config.host.clone(),
        incarnation,
        data_centre: config.data_centre.clone(),
    };
    let operators = operators::serve(operator_state, sockets.operators).map_err(system)?;
    let callers = platform.serve(exchange, sockets.callers)?;
    platform.follow_upstreams(&env);
    let code = until_end(driver, receiver, first, signals, || reload(source, &env), &env).await;
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
    }
}

fn announce(config: &Config, incarnation: Incarnation, env: &Env) {
    info!(env.log, "started";
        "version" => env!("CARGO_PKG_VERSION"),
        "incarnation" => %incarnation,
        "data_centre" => %config.data_centre,
        "caller_address" => %config.caller_address,
        "peer_address" => %config.peer_address,
        "operator_address" => %config.operator_address);
}

fn effects(
    config: &Config,
    platform: &dyn Platform,
    env: &Env,
    peers: Peers,
    connections: Arc<Connections>,
) -> Effects {
    let store = platform.store(env);
    let engines = platform.engines(env);
    let upstreams = Upstreams::new(platform.upstreams(env), config.limits.recorded_answer, env.clone());
    Effects::new(env.clone(), store, engines, upstreams, peers, connections)
}

fn exchange(
    config: &Config,
    incarnation: Incarnation,
    env: &Env,
    snapshots: watch::Receiver<Arc<Snapshot>>,
) -> Exchange {
    Exchange {
        env: env.clone(),
        snapshots,
        connections: Arc::new(Connections::default()),
        intake: config.intake.clone(),
        host: config.host.clone(),
        incarnation,
        data_centre: config.data_centre.clone(),
        entry_ttl: config.timings.entry_ttl,
    }
}

/// Runs until the core has left and the callers have their last bytes.
///
/// The core has nothing in progress any more as soon as the last answer has
/// come from its upstream. A caller that reads slowly is still getting it; if
/// the process ended now, its answer would be cut.
async fn leave(driver: Driver, receiver: InboxReceiver, first: Vec<Effect>, env: &Env) {
    Box::pin(driver.run(receiver, first)).await;
    let deadline = Instant::now() + LAST_ANSWERS;
    while env.requests.len() > 0 && Instant::now() < deadline {
        sleep(LAST_BYTES).await;
    }
    // The server writes the end of an answer after it has taken the last piece.
    sleep(LAST_BYTES).await;
    info!(env.log, "left"; "requests_cut_off" => env.requests.len());
}

async fn until_end(
    driver: Driver,
    receiver: InboxReceiver,
    first: Vec<Effect>,
    signals: Signals,
    reload: impl Fn(),
    env: &Env,
) -> ExitCode {
    tokio::select! {
        () = leave(driver, receiver, first, env) => ExitCode::SUCCESS,
        () = signals.until_second(env.clone(), reload) => {
            let cut = env.requests.len();
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
