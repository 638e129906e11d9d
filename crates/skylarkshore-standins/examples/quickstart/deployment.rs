//! Starts and stops the processes of the quick start.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use skylarkshore_standins::process::{EntryHost, EntrySettings, Signal, TempFolder, skylarkctl};
use skylarkshore_standins::programs::Programs;

use crate::platform::Platform;

const RULES: &str = include_str!("rules.jsonc");
const DATA_CENTRES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
const START_LIMIT: Duration = Duration::from_secs(30);
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// The stand-ins and three entry hosts, with their temporary folder.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<EntryHost>,
    _folder: TempFolder,
}

impl Deployment {
    /// Starts all processes, applies the rules and waits until the entry hosts are ready.
    pub(crate) async fn start() -> io::Result<Self> {
        let programs = Programs::beside_this().map_err(io::Error::other)?;
        if programs.are_outdated().map_err(io::Error::other)? {
            println!("building skylarkshore and skylarkctl; the first time takes a minute or two ...");
            programs.build().await.map_err(io::Error::other)?;
        }
        let begun = Instant::now();
        println!("starting the stand-ins for the platform and the upstreams ...");
        let platform = Platform::start().await?;
        println!("  key-value service {}, host list {}", platform.store, platform.host_list);
        let folder = TempFolder::new()?;
        println!("starting three skylarkshore processes ...");
        let mut entries = Vec::new();
        for (i, data_centre) in DATA_CENTRES.iter().enumerate() {
            let host = format!("entry-{}", i + 1).parse().map_err(io::Error::other)?;
            let data_centre = data_centre.parse().map_err(io::Error::other)?;
            let settings = EntrySettings::new(host, data_centre, platform.store, platform.host_list)?;
            entries.push(EntryHost::start(&programs, settings, folder.path())?);
        }
        for entry in &mut entries {
            entry.wait_alive(START_LIMIT).await?;
            let settings = &entry.settings;
            println!("  {} in {}: callers {}", settings.host, settings.data_centre, settings.caller_address);
        }
        println!("applying the rules with skylarkctl ...");
        apply_rules(&programs, &folder, platform.store).await?;
        for entry in &mut entries {
            entry.wait_ready(START_LIMIT).await?;
        }
        println!("ready after {} ms\n", begun.elapsed().as_millis());
        Ok(Self { platform, entries, _folder: folder })
    }

    /// Stops the entry hosts with SIGTERM and checks their exit status.
    pub(crate) async fn stop(&mut self) -> io::Result<()> {
        println!("\nstopping the processes with SIGTERM ...");
        for entry in &self.entries {
            entry.signal(Signal::Term).await?;
        }
        for entry in &mut self.entries {
            let status = entry.wait_ended(STOP_LIMIT).await?;
            println!("  {}: {status}", entry.host());
            if !status.success() {
                return Err(io::Error::other(format!("{} failed:\n{}", entry.host(), entry.log())));
            }
        }
        Ok(())
    }
}

async fn apply_rules(programs: &Programs, folder: &TempFolder, store: SocketAddr) -> io::Result<()> {
    let file = folder.path().join("rules.jsonc");
    std::fs::write(&file, RULES)?;
    let (store, file) = (store.to_string(), file.display().to_string());
    let output = skylarkctl(programs, &["--store", &store, "rules", "apply", &file]).await?;
    if let Some(line) = String::from_utf8_lossy(&output.stdout).lines().next() {
        println!("  {line}");
    }
    if output.status.success() {
        return Ok(());
    }
    Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
}
