//! Measures the latency that an entry host adds to a warm request, and its use of resources when idle.
//!
//! Sends a hundred requests alternately to an engine itself and through an entry
//! host, which runs as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use serde_json::json;
use skylarkshore_standins::client::Call;
use skylarkshore_standins::fleet::{Fleet, FleetSettings};
use skylarkshore_standins::process::{EntryHost, EntrySettings, TempFolder, skylarkctl};
use skylarkshore_standins::programs::Programs;
use tokio::time::sleep;

const RULES: &str = r#"{
  "revision": 0,
  "power_caps": { "lagerraum": 3000 },
  "models": {
    "listing-summary": { "version": "1", "weights_mib": 14000, "kv_cache_mib": 6000, "load_time_ms": 300 }
  }
}"#;
const REQUESTS: usize = 100;
const START_LIMIT: Duration = Duration::from_secs(30);
const IDLE_MEASURING_TIME: Duration = Duration::from_secs(10);

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    match measure().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("overhead: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn measure() -> Result<()> {
    let programs = Programs::beside_this()?;
    if programs.are_outdated()? {
        programs.build().await?;
    }
    let mut settings = FleetSettings::small(1, 0)?;
    settings.token_time = Duration::ZERO;
    let fleet = Fleet::start(&settings).await?;
    let folder = TempFolder::new()?;
    apply_rules(&programs, &folder, fleet.store.address()).await?;
    let settings = EntrySettings::new(
        "entry-1".parse()?,
        "bern-a".parse()?,
        fleet.store.address(),
        fleet.hosts.address(),
    )?;
    let mut entry = EntryHost::start(&programs, settings, folder.path())?;
    entry.wait_ready(START_LIMIT).await?;
    let (engine, host) = (fleet.engines[0].address(), entry.caller_address());
    send_request(host).await?;
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for _ in 0..REQUESTS {
        direct.push(send_request(engine).await?);
        through.push(send_request(host).await?);
    }
    println!("{REQUESTS} warm requests   median      99th");
    print_row("engine itself", &mut direct);
    print_row("through a host", &mut through);
    print_idle_usage(entry.operator_address()).await
}

async fn apply_rules(programs: &Programs, folder: &TempFolder, store: SocketAddr) -> Result<()> {
    let file = folder.path().join("rules.jsonc");
    std::fs::write(&file, RULES)?;
    let (store, file) = (store.to_string(), file.display().to_string());
    let output = skylarkctl(programs, &["--store", &store, "rules", "apply", &file]).await?;
    if output.status.success() {
        return Ok(());
    }
    Err(String::from_utf8_lossy(&output.stderr).into())
}

/// Sends a request on a new connection and returns the time to the complete answer.
async fn send_request(address: SocketAddr) -> Result<Duration> {
    let body = json!({"model": "listing-summary", "prompt": "hello", "max_tokens": 1}).to_string();
    let call = Call::post(address, "/v1/completions", body).header("x-request-id", "overhead");
    let begun = Instant::now();
    let answer = call.send().await?;
    let took = begun.elapsed();
    if answer.status.is_success() { Ok(took) } else { Err(answer.text().into()) }
}

fn print_row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_micros();
    println!("{name:<16} {:>7} us {:>7} us", at(50), at(99));
}

/// Prints the memory, and the processor time over a period without requests.
async fn print_idle_usage(operator_address: SocketAddr) -> Result<()> {
    let before = read_metric(operator_address, "process_cpu_seconds_total").await?;
    sleep(IDLE_MEASURING_TIME).await;
    let used = read_metric(operator_address, "process_cpu_seconds_total").await? - before;
    let memory = read_metric(operator_address, "process_resident_memory_bytes").await? / 1024.0 / 1024.0;
    let share = used / IDLE_MEASURING_TIME.as_secs_f64() * 100.0;
    println!("idle host        {memory:.1} MiB resident, {share:.1}% of a core");
    Ok(())
}

async fn read_metric(operator_address: SocketAddr, name: &str) -> Result<f64> {
    let text = Call::get(operator_address, "/metrics").send().await?.text();
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    Ok(value.ok_or("the metric is missing")?.parse()?)
}
