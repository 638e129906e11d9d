//! Runs the programs as processes of their own, and strikes them with signals.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use derive_more::Display;
use http::StatusCode;
use serde_json::json;
use skylarkshore_core::id::{DataCentre, HostId};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::client::Call;
use crate::ports::free_port;
use crate::programs::Programs;

/// The unit in which Linux tells processor times.
const MILLIS_PER_TICK: u64 = 10;

/// How often a condition is looked at while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A signal to a process.
#[derive(Clone, Copy, Debug, Display)]
pub enum Signal {
    /// Has it read its settings again.
    #[display("HUP")]
    Hup,
    /// Ends it in an orderly way.
    #[display("TERM")]
    Term,
    /// Ends it at once.
    #[display("KILL")]
    Kill,
    /// Freezes it.
    #[display("STOP")]
    Stop,
    /// Wakes it up again.
    #[display("CONT")]
    Cont,
}

/// A folder of its own, removed when dropped unless a test failed.
#[derive(Debug)]
pub struct TempFolder {
    path: PathBuf,
}

impl TempFolder {
    /// Makes a new folder.
    ///
    /// # Errors
    ///
    /// The folder for temporary files can't be written to.
    pub fn new() -> io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("skylarkshore-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // The logs in it tell what went wrong.
            eprintln!("the logs are in {}", self.path.display());
        } else {
            _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// What an entry host is told.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// The key-value service.
    pub store: SocketAddr,
    /// The host list.
    pub host_list: SocketAddr,
    /// The times it keeps, in milliseconds; an absent one has its default.
    pub timings: BTreeMap<&'static str, u64>,
    /// What it is told of a platform whose upstreams register themselves, instead of the two above.
    pub registry: Option<RegistryAddresses>,
    /// The whole settings file, instead of one that is made of the rest.
    pub text: Option<String>,
}

/// Where a platform is reached whose upstreams register themselves, and what is served for it.
#[derive(Clone, Copy, Debug)]
pub struct RegistryAddresses {
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// Where callers ask which hosts to use.
    pub directory: SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub readiness: SocketAddr,
}

/// Times that let a test of a failure take seconds.
pub fn short_timings() -> BTreeMap<&'static str, u64> {
    BTreeMap::from([
        ("lease_ttl_ms", 2000),
        ("renew_every_ms", 400),
        ("hold_ms", 1800),
        ("hold_margin_ms", 300),
        ("store_timeout_ms", 600),
        ("heartbeat_every_ms", 150),
        ("peer_timeout_ms", 900),
        ("report_every_ms", 100),
        ("engine_timeout_ms", 1000),
        ("wanted_every_ms", 100),
        ("order_settle_ms", 3000),
        ("close_grace_ms", 300),
        ("entry_ttl_ms", 1000),
        ("gone_after_ms", 2000),
    ])
}

impl EntrySettings {
    /// Makes the settings of a host with free loopback ports.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn new(
        host: HostId,
        data_centre: DataCentre,
        store: SocketAddr,
        host_list: SocketAddr,
    ) -> io::Result<Self> {
        Ok(Self {
            host,
            data_centre,
            caller_address: free_port()?,
            peer_address: free_port()?,
            operator_address: free_port()?,
            store,
            host_list,
            timings: short_timings(),
            registry: None,
            text: None,
        })
    }

    fn to_json(&self) -> String {
        if let Some(text) = &self.text {
            return text.clone();
        }
        let mut settings = json!({
            "host": self.host,
            "data_centre": self.data_centre,
            "caller_address": self.caller_address,
            "peer_address": self.peer_address,
            "operator_address": self.operator_address,
            "timings": self.timings,
        });
        if let Some(registry) = &self.registry {
            settings["everyone_watches"] = json!(true);
            // A platform whose operators know nothing of rules has these.
            settings["default_rules"] = json!({"otherwise": {"idle_after": "never"}});
            settings["registry"] = json!({
                "address": registry.store,
                "directory_address": registry.directory,
                "readiness_address": registry.readiness,
            });
        } else {
            settings["store"] = json!({"endpoints": [format!("http://{}", self.store)]});
            settings["hosts"] = json!({"url": format!("http://{}/hosts", self.host_list)});
        }
        format!("{settings:#}")
    }
}

/// A running entry host; killed when dropped.
#[derive(Debug)]
pub struct EntryHost {
    /// What it was told.
    pub settings: EntrySettings,
    child: Child,
    log: PathBuf,
}

impl EntryHost {
    /// Starts an entry host, with its settings file and its log in `folder`.
    ///
    /// # Errors
    ///
    /// The program or the folder can't be used.
    pub fn start(programs: &Programs, settings: EntrySettings, folder: &Path) -> io::Result<Self> {
        let file = folder.join(format!("{}.jsonc", settings.host));
        std::fs::write(&file, settings.to_json())?;
        let log = folder.join(format!("{}.log", settings.host));
        let out = std::fs::File::options().create(true).append(true).open(&log)?;
        let child = Command::new(&programs.skylarkshore)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self { settings, child, log })
    }

    /// Returns where callers reach it.
    pub const fn caller_address(&self) -> SocketAddr {
        self.settings.caller_address
    }

    /// Returns where operators reach it.
    pub const fn operator_address(&self) -> SocketAddr {
        self.settings.operator_address
    }

    /// Returns its name.
    pub const fn host(&self) -> &HostId {
        &self.settings.host
    }

    /// Starts it again with the same settings, after it has ended or been killed.
    ///
    /// # Errors
    ///
    /// It doesn't end, or can't be started.
    pub async fn restart(&mut self, programs: &Programs, folder: &Path) -> io::Result<()> {
        self.child.kill().await?;
        *self = Self::start(programs, self.settings.clone(), folder)?;
        Ok(())
    }

    /// Returns what it has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until it answers; it may still lack the rules.
    ///
    /// # Errors
    ///
    /// It ended, or doesn't answer within `limit`; the error holds its log.
    pub async fn wait_alive(&mut self, limit: Duration) -> io::Result<()> {
        self.wait_ok("/healthz", limit).await
    }

    /// Waits until it says that it is ready, for which it needs the rules.
    ///
    /// # Errors
    ///
    /// It ended, or isn't ready within `limit`; the error holds its log.
    pub async fn wait_ready(&mut self, limit: Duration) -> io::Result<()> {
        self.wait_ok("/readyz", limit).await
    }

    async fn wait_ok(&mut self, path: &str, limit: Duration) -> io::Result<()> {
        let deadline = Instant::now() + limit;
        loop {
            let answer = Call::get(self.operator_address(), path).send().await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return Ok(());
            }
            let ended = self.child.try_wait()?.is_some();
            if ended || Instant::now() >= deadline {
                let state = if ended { "has ended" } else { "isn't ready in time" };
                return Err(io::Error::other(format!("{} {state}; its log:\n{}", self.host(), self.log())));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a signal by the system's `kill` program.
    ///
    /// # Errors
    ///
    /// The process has ended, or there is no `kill` program.
    pub async fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.child.id().ok_or_else(|| io::Error::other("the process has ended"))?;
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status().await?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill has failed")) }
    }

    /// Returns how much memory it holds that it shares with no other process, in bytes.
    ///
    /// # Errors
    ///
    /// The process has ended, or the system tells nothing of it.
    pub fn private_memory(&self) -> io::Result<u64> {
        let pid = self.child.id().ok_or_else(|| io::Error::other("the process has ended"))?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kibibytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kibibytes.map(|n| n * 1024).ok_or_else(|| io::Error::other("no line RssAnon in kB"))
    }

    /// Returns the processor time that the process has used.
    ///
    /// # Errors
    ///
    /// The process has ended, or the system tells nothing of it.
    pub fn processor_time(&self) -> io::Result<Duration> {
        let pid = self.child.id().ok_or_else(|| io::Error::other("the process has ended"))?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The program's name, which may hold anything, ends with the last bracket.
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
        let ticks: Vec<u64> = fields.skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
        match ticks.as_slice() {
            [user, system] => Ok(Duration::from_millis((user + system) * MILLIS_PER_TICK)),
            _ => Err(io::Error::other("no times of the processor")),
        }
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// It doesn't end within `limit`.
    pub async fn wait_ended(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        timeout(limit, self.child.wait()).await?
    }
}

/// Runs the operators' program and waits for its end.
///
/// # Errors
///
/// It can't be started.
pub async fn skylarkctl(programs: &Programs, args: &[&str]) -> io::Result<Output> {
    Command::new(&programs.skylarkctl).args(args).stdin(Stdio::null()).output().await
}

/// Waits until a condition holds and tells whether it did within `limit`.
pub async fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}
