//! Tests for invalid requests.

use std::fmt::Write;

use http::Method;
use serde_json::Value;
use skylarkshore_standins::client::{Answer, Call};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::deployment::{BODY_LIMIT, Deployment, LIMIT, prompt};

const COMPLETIONS: &str = "/v1/completions";

fn format_error(answer: &Answer) -> String {
    let body: Value = answer.json().unwrap();
    let error = &body["error"];
    format!(
        "{} {} {}: {}; {}",
        answer.status.as_u16(),
        body["outcome"].as_str().unwrap(),
        body["reason"].as_str().unwrap(),
        error["message"].as_str().unwrap(),
        error["remedy"].as_str().unwrap()
    )
}

/// An invalid request has to be answered at once with the problem and the remedy,
/// and the caller relies on the statement that nothing was run.
#[tokio::test]
async fn invalid_request_is_answered_with_the_remedy_and_not_sent_upstream() {
    let deployment = Deployment::start().await;
    let to = deployment.callers;
    let good = || prompt("listing-summary", "hello", 1, false);
    let post = |body: &str| Call::post(to, COMPLETIONS, body.to_owned());
    let flood = (0..70).fold(post(&good()), |call, i| call.header(&format!("x-{i}"), "1"));
    let calls = [
        post("{\"model\": "),
        post("[1, 2]"),
        post("{\"prompt\": \"hello\"}"),
        post("{\"model\": 7}"),
        post(&prompt("no-such-model", "hello", 1, false)),
        post(&"x".repeat(BODY_LIMIT + 1)),
        flood,
        post(&good()).header("x-request-timeout-ms", "0"),
        post(&good()).header("x-request-timeout-ms", "soon"),
        post(&good()).header("x-request-timeout-ms", "3600001"),
        post(&good()).header("x-caller", "two words"),
        post(&good()).header("x-request-id", ""),
        post(&good()).header("idempotency-key", "two words"),
        Call::get(to, COMPLETIONS),
        Call::get(to, "/v2/models"),
        Call::get(to, "/"),
        Call::get(to, "/services/no-such-service/availability/hall-7"),
        Call::post(to, "/services/marketplace/bookings", "{}"),
        Call::post(to, "/services/marketplace/%62ookings", "{}"),
        Call::post(to, "/services/marketplace/x/../bookings", "{}"),
        Call::post(to, "/services/marketplace//bookings", "{}"),
        Call::new(Method::DELETE, to, "/v1/models"),
    ];
    let mut lines = String::new();
    for call in calls {
        let answer = call.send().await.unwrap();
        assert!(answer.headers.contains_key("x-request-id"));
        writeln!(lines, "{}", format_error(&answer)).unwrap();
    }
    insta::assert_snapshot!(lines.trim_end(), @r"
    400 not_run not_json: the body is no JSON object: EOF while parsing a value at line 1 column 10; send a JSON object with a 'model' field
    400 not_run not_json: the body is no JSON object: it doesn't begin with a brace; send a JSON object with a 'model' field
    400 not_run no_model: the body names no model; add a 'model' field with a name from GET /v1/models
    400 not_run no_model: the body names no model; add a 'model' field with a name from GET /v1/models
    404 not_run unknown_model: there is no model or adapter 'no-such-model'; use a name from GET /v1/models
    413 not_run body_too_large: the body has more than 4096 bytes; send a shorter request, or ask the operators for a higher limit
    431 not_run header_flood: the request has too many headers; send at most 64 headers with 16384 bytes in all
    400 not_run bad_timeout: the x-request-timeout-ms header makes no sense; send whole milliseconds from 1 to 3600000
    400 not_run bad_timeout: the x-request-timeout-ms header makes no sense; send whole milliseconds from 1 to 3600000
    400 not_run bad_timeout: the x-request-timeout-ms header makes no sense; send whole milliseconds from 1 to 3600000
    400 not_run bad_caller: the x-caller header is no name; send 1 to 128 letters, digits or any of . _ : / @ -
    400 not_run bad_request_id: the x-request-id header is no plain text or too long; send 1 to 256 printable ASCII characters, or leave it out
    400 not_run bad_key: the idempotency key is no plain text or too long; send one with 1 to 256 printable ASCII characters
    405 not_run wrong_method: GET isn't answered here; use POST
    404 not_run no_such_path: there is nothing at '/v2/models'; see the page INTERFACES for the paths
    404 not_run no_such_path: there is nothing at '/'; see the page INTERFACES for the paths
    404 not_run unknown_service: there is no service 'no-such-service'; check the name after /services/ with the operators
    400 not_run missing_key: this call may not be repeated and has no idempotency key; add a header idempotency-key, with the same key when you ask again
    400 not_run missing_key: this call may not be repeated and has no idempotency key; add a header idempotency-key, with the same key when you ask again
    400 not_run bad_path: the path has empty parts, dots as parts or broken percent signs; send the plain path, /services/<name>/<path>
    400 not_run bad_path: the path has empty parts, dots as parts or broken percent signs; send the plain path, /services/<name>/<path>
    405 not_run wrong_method: DELETE isn't answered here; use GET
    ");
    let counts = deployment.fleet.census.counts();
    assert_eq!((counts.answered, counts.runs.len(), counts.loads.len()), (0, 0, 0));
}

/// A caller stops in the middle of its request or sends very slowly. Without a
/// timeout such callers would occupy all connections and block other callers.
#[tokio::test]
async fn slow_sender_gets_a_timeout() {
    let deployment = Deployment::start().await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n";
    let partial_body = format!("{head}\r\n{{\"model\": ");
    for partial in [head, &partial_body] {
        let mut stream = TcpStream::connect(deployment.callers).await.unwrap();
        stream.write_all(partial.as_bytes()).await.unwrap();
        let mut text = String::new();
        timeout(LIMIT, stream.read_to_string(&mut text)).await.unwrap().unwrap();
        assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    }
    let answer = Call::get(deployment.callers, "/v1/models").send().await.unwrap();
    assert!(answer.status.is_success());
}

/// Callers use request ids to find their requests in the logs. Every answer carries
/// the id, and a request without one is assigned one.
#[tokio::test]
async fn request_id_is_echoed_on_every_answer() {
    let deployment = Deployment::start_warm().await;
    let named = Call::get(deployment.callers, "/v1/entry").header("x-request-id", "mine-7");
    assert_eq!(named.send().await.unwrap().headers["x-request-id"], "mine-7");
    let body = prompt("listing-summary", "hello", 1, false);
    let run = Call::post(deployment.callers, COMPLETIONS, body).header("x-request-id", "mine-8");
    let answer = run.send().await.unwrap();
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(answer.headers["x-request-id"], "mine-8");
    let unnamed = Call::get(deployment.callers, "/v1/entry").send().await.unwrap();
    assert_eq!(unnamed.headers["x-request-id"].len(), 32);
}
