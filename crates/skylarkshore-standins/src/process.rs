//! Runs the real programs as child processes and sends them signals. Start with [`EntryHost`].

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

/// Length of a Linux clock tick, the unit of CPU times in `/proc`.
const MILLIS_PER_TICK: u64 = 10;

/// How often an awaited condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A signal sent to a process.
#[derive(Clone, Copy, Debug, Display)]
pub enum Signal {
    /// Reloads the settings.
    #[display("HUP")]
    Hup,
    /// Shuts the process down gracefully.
    #[display("TERM")]
    Term,
    /// Kills the process.
    #[display("KILL")]
    Kill,
    /// Pauses the process.
    #[display("STOP")]
    Stop,
    /// Resumes the process.
    #[display("CONT")]
    Cont,
}

/// A temporary folder, removed when dropped unless the thread panics.
#[derive(Debug)]
pub struct TempFolder {
    path: PathBuf,
}

impl TempFolder {
    /// Creates a new folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder for temporary files isn't writable.
    pub fn new() -> io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("skylarkshore-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // The logs in the folder help to diagnose the failure.
            eprintln!("the logs are in {}", self.path.display());
        } else {
            _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Settings of an entry host process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Host name.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for peers.
    pub peer_address: SocketAddr,
    /// Listening address for operators.
    pub operator_address: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Timings in milliseconds; absent ones have their defaults.
    pub timings: BTreeMap<&'static str, u64>,
    /// Addresses for a platform with self-registering upstreams, used instead of `store` and `host_list`.
    pub registry: Option<RegistryAddresses>,
    /// Complete settings file, used instead of all other fields.
    pub text: Option<String>,
}

/// Addresses for a platform whose upstreams register themselves.
#[derive(Clone, Copy, Debug)]
pub struct RegistryAddresses {
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Listening address of the directory, which serves the list of hosts to callers.
    pub directory: SocketAddr,
    /// Listening address of the readiness check.
    pub readiness: SocketAddr,
}

/// Returns timings short enough that a failure test takes seconds.
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
    /// Creates settings with free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
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
            // Default for a platform whose operators don't manage rules.
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

/// A running entry host process, killed when dropped.
#[derive(Debug)]
pub struct EntryHost {
    /// Settings of the process.
    pub settings: EntrySettings,
    child: Child,
    log: PathBuf,
}

impl EntryHost {
    /// Starts an entry host; `folder` receives its settings file and log.
    ///
    /// # Errors
    ///
    /// Returns an error if the program or the folder can't be used.
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

    /// Returns the address for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.settings.caller_address
    }

    /// Returns the address for operators.
    pub const fn operator_address(&self) -> SocketAddr {
        self.settings.operator_address
    }

    /// Returns the host name.
    pub const fn host(&self) -> &HostId {
        &self.settings.host
    }

    /// Kills the process if it still runs and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process doesn't end or can't be started.
    pub async fn restart(&mut self, programs: &Programs, folder: &Path) -> io::Result<()> {
        self.child.kill().await?;
        *self = Self::start(programs, self.settings.clone(), folder)?;
        Ok(())
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the process answers health checks; it may not have the rules yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the process ended or didn't answer within `limit`; the error contains its log.
    pub async fn wait_alive(&mut self, limit: Duration) -> io::Result<()> {
        self.wait_ok("/healthz", limit).await
    }

    /// Waits until the process reports that it is ready, which requires the rules.
    ///
    /// # Errors
    ///
    /// Returns an error if the process ended or wasn't ready within `limit`; the error contains its log.
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
                let state = if ended { "has ended" } else { "did not become ready in time" };
                return Err(io::Error::other(format!("{} {state}; its log:\n{}", self.host(), self.log())));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the id of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn pid(&self) -> io::Result<u32> {
        self.child.id().ok_or_else(|| io::Error::other("the process has ended"))
    }

    /// Sends a signal with the system's `kill` program.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended, or there is no `kill` program.
    pub async fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.pid()?;
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status().await?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the kill program failed")) }
    }

    /// Returns the private (anonymous resident) memory of the process in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or `/proc` has no entry for it.
    pub fn private_memory(&self) -> io::Result<u64> {
        let pid = self.pid()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kibibytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kibibytes.map(|n| n * 1024).ok_or_else(|| io::Error::other("/proc status has no RssAnon line in kB"))
    }

    /// Returns the CPU time used by the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or `/proc` has no entry for it.
    pub fn processor_time(&self) -> io::Result<Duration> {
        let pid = self.pid()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The program name may contain any characters and ends at the last bracket.
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
        let ticks: Vec<u64> = fields.skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
        match ticks.as_slice() {
            [user, system] => Ok(Duration::from_millis((user + system) * MILLIS_PER_TICK)),
            _ => Err(io::Error::other("/proc stat has no CPU times")),
        }
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the process doesn't end within `limit`.
    pub async fn wait_ended(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        timeout(limit, self.child.wait()).await?
    }
}

/// Runs the operators' program to completion.
///
/// # Errors
///
/// Returns an error if the program can't be started.
pub async fn skylarkctl(programs: &Programs, args: &[&str]) -> io::Result<Output> {
    Command::new(&programs.skylarkctl).args(args).stdin(Stdio::null()).output().await
}

/// Waits up to `limit` for a condition and reports whether it was met.
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
