//! Measures the processor time and memory of idle entry hosts at several fleet sizes.
//!
//! `cargo run --release -p skylarkshore-standins --example processes -- 3 9 30`
//! starts each number of entry hosts with the default timings and reads their
//! metrics once they are idle.

use std::process::ExitCode;
use std::time::Duration;

use skylarkshore_standins::client::Call;
use skylarkshore_standins::fleet::{Fleet, FleetSettings};
use skylarkshore_standins::process::{EntryHost, EntrySettings, TempFolder, skylarkctl};
use skylarkshore_standins::programs::Programs;
use tokio::time::sleep;

const RULES: &str = r#"{
  "revision": 0,
  "power_caps": { "lagerraum": 9000 },
  "models": {
    "listing-summary": { "version": "1", "weights_mib": 14000, "kv_cache_mib": 6000, "load_time_ms": 300 }
  }
}"#;
const ENGINES: u32 = 9;
const DATA_CENTRES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
const START_LIMIT: Duration = Duration::from_mins(1);
const SETTLE_TIME: Duration = Duration::from_secs(15);
const MEASURING_TIME: Duration = Duration::from_secs(20);
const MAX_PROCESSES: usize = 200;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    println!("| processes | share of a core each, mean | most | memory each, mean MiB | most |");
    println!("|---|---|---|---|---|");
    for arg in std::env::args().skip(1) {
        let measured = match arg.parse() {
            Ok(count) if (1..=MAX_PROCESSES).contains(&count) => measure(count).await,
            _ => {
                Err(format!("invalid number of processes '{arg}'; use numbers from 1 to {MAX_PROCESSES}")
                    .into())
            }
        };
        if let Err(err) = measured {
            eprintln!("processes: {err}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

async fn measure(count: usize) -> Result<()> {
    let programs = Programs::beside_this()?;
    if programs.are_outdated()? {
        programs.build().await?;
    }
    let fleet = Fleet::start(&FleetSettings::small(ENGINES, 0)?).await?;
    let folder = TempFolder::new()?;
    apply_rules(&programs, &folder, &fleet).await?;
    let mut entries = Vec::new();
    for i in 0..count {
        entries.push(start(&programs, &folder, &fleet, i)?);
    }
    for entry in &mut entries {
        entry.wait_ready(START_LIMIT).await?;
    }
    sleep(SETTLE_TIME).await;
    let before = read_all(&entries, "process_cpu_seconds_total").await?;
    sleep(MEASURING_TIME).await;
    let after = read_all(&entries, "process_cpu_seconds_total").await?;
    let memory = read_all(&entries, "process_resident_memory_bytes").await?;
    let cpu_percent: Vec<f64> =
        before.iter().zip(&after).map(|(b, a)| (a - b) / MEASURING_TIME.as_secs_f64() * 100.0).collect();
    let mib: Vec<f64> = memory.iter().map(|bytes| bytes / 1024.0 / 1024.0).collect();
    println!(
        "| {count} | {:.2}% | {:.2}% | {:.1} | {:.1} |",
        mean(&cpu_percent),
        max(&cpu_percent),
        mean(&mib),
        max(&mib)
    );
    Ok(())
}

fn start(programs: &Programs, folder: &TempFolder, fleet: &Fleet, i: usize) -> Result<EntryHost> {
    let host = format!("entry-{i}").parse()?;
    let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()].parse()?;
    let mut settings = EntrySettings::new(host, data_centre, fleet.store.address(), fleet.hosts.address())?;
    settings.timings.clear();
    Ok(EntryHost::start(programs, settings, folder.path())?)
}

async fn apply_rules(programs: &Programs, folder: &TempFolder, fleet: &Fleet) -> Result<()> {
    let file = folder.path().join("rules.jsonc");
    std::fs::write(&file, RULES)?;
    let (store, file) = (fleet.store.address().to_string(), file.display().to_string());
    let output = skylarkctl(programs, &["--store", &store, "rules", "apply", &file]).await?;
    if output.status.success() {
        return Ok(());
    }
    Err(String::from_utf8_lossy(&output.stderr).into())
}

async fn read_all(entries: &[EntryHost], name: &str) -> Result<Vec<f64>> {
    let mut values = Vec::new();
    for entry in entries {
        let text = Call::get(entry.operator_address(), "/metrics").send().await?.text();
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        values.push(value.ok_or("the metric is missing")?.parse()?);
    }
    Ok(values)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
