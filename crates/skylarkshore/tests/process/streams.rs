//! Tests for streamed answers.

use serde_json::Value;
use skylarkshore_standins::client::Call;
use skylarkshore_standins::engine::{EngineFaults, expected_text};
use skylarkshore_standins::service::ServiceFaults;

use crate::deployment::{Deployment, prompt, until};

const COMPLETIONS: &str = "/v1/completions";
const MODEL: &str = "listing-summary";

fn text_of(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    chunks.map(|chunk| chunk["choices"][0]["text"].as_str().unwrap_or_default().to_owned()).collect()
}

/// A caller disconnects in the middle of a stream. If the engine continued, it would
/// generate unused tokens on an accelerator that other requests wait for.
#[tokio::test]
async fn disconnect_of_the_caller_cancels_the_request_at_the_engine() {
    let deployment = Deployment::start_warm().await;
    let engine = &deployment.fleet.engines[0];
    engine.set_faults(EngineFaults { slow_tokens_ms: 100, ..EngineFaults::default() });
    let body = prompt(MODEL, "a long story", 100_000, true);
    let mut stream = Call::post(deployment.callers, COMPLETIONS, body).stream().await.unwrap();
    stream.next().await.unwrap().unwrap();
    until("the engine runs the request", || async { engine.report().running == 1 }).await;
    drop(stream);
    until("the engine runs nothing", || async { engine.report().running == 0 }).await;
}

/// The caller of a cold model disconnects before the model is loaded. The request must
/// not stay queued and run without a caller after the load.
#[tokio::test]
async fn disconnect_of_a_waiting_caller_removes_its_request() {
    let deployment = Deployment::start_warm().await;
    let body = prompt("slow-to-load", "hello", 1, false);
    let call = Call::post(deployment.callers, COMPLETIONS, body).header("x-request-timeout-ms", "3000000");
    let waiting = tokio::spawn(call.send());
    let requests = || async {
        let state = deployment.state().await;
        state["beliefs"].as_array().unwrap().iter().filter(|belief| belief["kind"] == "request").count()
    };
    until("the request is queued", || async { requests().await == 1 }).await;
    waiting.abort();
    until("the request is removed", || async { requests().await == 0 }).await;
}

/// The only engine crashes in the middle of a stream. The caller has to get either the
/// whole text, resumed where it stopped, or an error event without an end marker, but
/// never a truncated text that looks complete.
#[tokio::test]
async fn stream_is_resumed_or_ends_with_an_error_after_an_engine_crash() {
    let deployment = Deployment::start_warm().await;
    let engine = &deployment.fleet.engines[0];
    engine.set_faults(EngineFaults { slow_tokens_ms: 20, ..EngineFaults::default() });
    let body = prompt(MODEL, "a story", 50, true);
    let call = Call::post(deployment.callers, COMPLETIONS, body).header("x-request-timeout-ms", "10000");
    let mut stream = call.stream().await.unwrap();
    let mut events = stream.next().await.unwrap().unwrap().to_vec();
    engine.crash();
    events.extend_from_slice(&stream.rest().await.unwrap().body);
    let events = String::from_utf8(events).unwrap();
    if events.contains("data: [DONE]") {
        assert_eq!(text_of(&events), expected_text(MODEL, "a story", 50));
    } else {
        assert!(events.contains("event: error\ndata: {\"outcome\":\""), "{events}");
    }
}

/// A replica truncates its answer. The caller has to be able to detect that the rest is
/// missing.
#[tokio::test]
async fn truncated_service_answer_is_never_presented_as_complete() {
    let deployment = Deployment::start_warm().await;
    let replica = &deployment.fleet.services[0];
    replica.set_faults(ServiceFaults { cut_answers: 10, ..ServiceFaults::default() });
    let path = "/services/marketplace/availability/hall-7";
    match Call::get(deployment.callers, path).send().await {
        Ok(answer) => assert!(answer.status.is_server_error(), "{}", answer.text()),
        Err(broken) => assert!(broken.to_string().contains("broke"), "{broken}"),
    }
}
