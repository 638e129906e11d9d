//! The end of a process.

use skylarkshore_standins::client::Call;
use skylarkshore_standins::engine::EngineFaults;

use crate::deployment::{Deployment, prompt, until};

const COMPLETIONS: &str = "/v1/completions";

/// Operators replace a host while a caller reads a stream from it. The stream
/// goes on to its end, and only then does the process end.
#[tokio::test]
async fn a_leaving_host_finishes_what_is_in_progress() {
    let mut deployment = Deployment::start_warm().await;
    let slow = EngineFaults { slow_tokens_ms: 30, ..EngineFaults::default() };
    deployment.fleet.engines[0].set_faults(slow);
    let body = prompt("listing-summary", "a story", 100, true);
    let mut stream = Call::post(deployment.callers, COMPLETIONS, body).stream().await.unwrap();
    stream.next().await.unwrap().unwrap();
    deployment.terminate().await;
    let rest = stream.rest().await.unwrap().text();
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
    assert!(deployment.ended().await.success(), "{}", deployment.log());
}

/// Operators can't wait for a long stream and signal a second time. The process
/// ends at once and says what it cut off.
#[tokio::test]
async fn a_second_signal_ends_the_process_and_tells_what_was_cut() {
    let mut deployment = Deployment::start_warm().await;
    let slow = EngineFaults { slow_tokens_ms: 100, ..EngineFaults::default() };
    deployment.fleet.engines[0].set_faults(slow);
    let body = prompt("listing-summary", "a story", 100_000, true);
    let mut stream = Call::post(deployment.callers, COMPLETIONS, body).stream().await.unwrap();
    stream.next().await.unwrap().unwrap();
    deployment.terminate().await;
    until("the first signal is noticed", || async { deployment.log().contains("event=leaving") }).await;
    deployment.terminate().await;
    assert_eq!(deployment.ended().await.code(), Some(1));
    let told = "ended at the second signal; 1 requests in progress were cut off";
    assert!(deployment.log().contains(told), "{}", deployment.log());
}

/// Nothing that a process says while it ends may alarm operators without cause.
#[tokio::test]
async fn a_process_that_leaves_says_so_and_nothing_else() {
    let mut deployment = Deployment::start_warm().await;
    deployment.terminate().await;
    assert!(deployment.ended().await.success(), "{}", deployment.log());
    let log = deployment.log();
    let odd: Vec<&str> = log.lines().filter(|line| !line.starts_with("ts=")).collect();
    assert!(odd.is_empty(), "{odd:?}");
    assert!(log.lines().last().unwrap().contains("event=left"), "{log}");
}
