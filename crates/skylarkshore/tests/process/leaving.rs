//! Tests for the shutdown of a process.

use skylarkshore_standins::client::Call;
use skylarkshore_standins::engine::EngineFaults;

use crate::deployment::{Deployment, prompt, until};

const COMPLETIONS: &str = "/v1/completions";

/// A host is replaced while a caller reads a stream from it. The stream has to
/// complete before the process exits.
#[tokio::test]
async fn leaving_host_finishes_requests_in_progress() {
    let mut deployment = Deployment::start_warm().await;
    let slow = EngineFaults { slow_tokens_ms: 30, ..EngineFaults::default() };
    deployment.fleet.engines[0].set_faults(slow);
    let body = prompt("listing-summary", "a story", 100, true);
    let mut stream = Call::post(deployment.callers, COMPLETIONS, body).stream().await.unwrap();
    stream.next().await.unwrap().unwrap();
    deployment.terminate().await;
    let rest = stream.rest().await.unwrap().text();
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
    assert!(deployment.wait_for_exit().await.success(), "{}", deployment.log());
}

/// Operators send a second signal instead of waiting for a long stream. The process
/// has to exit at once and log how many requests it cut off.
#[tokio::test]
async fn second_signal_ends_the_process_and_logs_the_cut_requests() {
    let mut deployment = Deployment::start_warm().await;
    let slow = EngineFaults { slow_tokens_ms: 100, ..EngineFaults::default() };
    deployment.fleet.engines[0].set_faults(slow);
    let body = prompt("listing-summary", "a story", 100_000, true);
    let mut stream = Call::post(deployment.callers, COMPLETIONS, body).stream().await.unwrap();
    stream.next().await.unwrap().unwrap();
    deployment.terminate().await;
    until("the first signal is handled", || async { deployment.log().contains("event=leaving") }).await;
    deployment.terminate().await;
    assert_eq!(deployment.wait_for_exit().await.code(), Some(1));
    let expected = "ended at the second signal; 1 requests in progress were cut off";
    assert!(deployment.log().contains(expected), "{}", deployment.log());
}

/// A normal shutdown must not produce output that looks like a failure.
#[tokio::test]
async fn leaving_process_writes_only_log_events() {
    let mut deployment = Deployment::start_warm().await;
    deployment.terminate().await;
    assert!(deployment.wait_for_exit().await.success(), "{}", deployment.log());
    let log = deployment.log();
    let unexpected: Vec<&str> = log.lines().filter(|line| !line.starts_with("ts=")).collect();
    assert!(unexpected.is_empty(), "{unexpected:?}");
    assert!(log.lines().last().unwrap().contains("event=left"), "{log}");
}
