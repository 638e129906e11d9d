//! Entry hosts: the project's own program, started by the command of the deploy file.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, lock};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case after a time, with all processes that it started.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case couldn't run: it takes too long");
        for pid in lock(&RUNNING).iter() {
            _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
        }
        std::process::exit(2);
    });
}

/// A running entry host, killed when it is dropped.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    pub log: PathBuf,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let id = self.child.id();
        lock(&RUNNING).retain(|pid| *pid != id);
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Returns a free loopback address, below the ports that the kernel gives to outgoing connections.
pub fn free_address() -> io::Result<SocketAddr> {
    const FIRST_PORT: u32 = 20_000;
    const PORTS: u32 = 12_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let offset = std::process::id().wrapping_mul(37).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The figures of a machine and the bounds of a site, as its sheet gives them.
pub type Sheet = [(&'static str, &'static str)];

/// The sheet of `lagerhelv`.
pub const LAGERHELV: &Sheet = &[
    ("limits.memory_mb", "260"),
    ("limits.cpu_share", "0.25"),
    ("bounds.drain_ms", "2000"),
    ("bounds.config_apply_ms", "2000"),
    ("bounds.budget_slack", "56"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.budget_window_s", "10"),
    ("bounds.lease_ms", "3000"),
];

/// The sheet of `quiz-nordeste-grown`.
pub const QUIZ_NORDESTE_GROWN: &Sheet = &[
    ("limits.memory_mb", "512"),
    ("limits.cpu_share", "0.5"),
    ("bounds.drain_ms", "3000"),
    ("bounds.config_apply_ms", "3000"),
    ("bounds.budget_slack", "208"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.budget_window_s", "10"),
    ("bounds.lease_ms", "3000"),
    ("bounds.quota_window_s", "8"),
    ("bounds.quota_overage", "0.1"),
    ("bounds.quota_slack", "17000"),
];

impl Host {
    /// Starts a host with the settings that the platform would fill in for a machine of a site.
    ///
    /// The hosts share one loopback address, so that each has its own port for operators, too.
    pub fn start(
        repository: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        sheet: &Sheet,
    ) -> io::Result<Self> {
        let [callers, directory, readiness, peers, operators] =
            [free_address()?, free_address()?, free_address()?, free_address()?, free_address()?];
        let values = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", peers.ip().to_string()),
            ("port_range.0", peers.port().to_string()),
            ("listen.frontend", callers.to_string()),
            ("listen.directory", directory.to_string()),
            ("listen.readiness", readiness.to_string()),
            ("platform.address", store.to_string()),
            ("platform.ttl_min_ms", "1000".to_owned()),
            ("heartbeat_ms", "1200".to_owned()),
        ];
        let sheet = sheet.iter().map(|(name, value)| (*name, (*value).to_owned()));
        let values: Vec<_> = values.into_iter().chain(sheet).collect();
        let template = fs::read_to_string(repository.join("deploy/settings.jsonc"))?;
        let text = fill_in(&template, &values).replace(":9464", &format!(":{}", operators.port()));
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let program = repository.join("target/release/skylarkshore");
        let child = spawn(&program, &settings, &log)?;
        Ok(Self { name: name.to_owned(), callers, directory, readiness, log, program, settings, child })
    }

    /// Starts the host again, after it has ended, with the same settings.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Waits until the host says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while !http::get(self.readiness, "/-/readyz").is_ok_and(|answer| answer.word(1) == "200") {
            if Instant::now() > until {
                return Err(io::Error::other(format!("{} isn't ready in time", self.name)));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends a signal by the system's `kill` program.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let status =
            Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the signal can't be sent")) }
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        if status.is_some() {
            let id = self.child.id();
            lock(&RUNNING).retain(|pid| *pid != id);
        }
        Ok(status)
    }
}

/// Starts the program by the command of the deploy file; the path of the settings is the only difference.
fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let out = fs::File::options().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()?;
    lock(&RUNNING).push(child.id());
    Ok(child)
}

/// Fills in the template of the settings; sections that depend on an absent value are omitted.
fn fill_in(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#").or_else(|| text.find("{{^")) {
        let name_end = begin + text[begin..].find("}}").expect("sections are closed");
        let name = text[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = name_end + text[name_end..].find(&close).expect("sections have an end");
        let is_present = values.iter().any(|(known, _)| *known == name);
        let is_included = is_present == text[begin..].starts_with("{{#");
        let section = if is_included { text[name_end + 2..end].to_owned() } else { String::new() };
        text.replace_range(begin..end + close.len(), &section);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "every placeholder is filled in");
    text
}
