//! Invalid requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use skylarkshore_standins::client::Call;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::bench::{Bench, BenchSettings, LIMIT};

async fn refusal(name: &str, call: Call) -> String {
    let answer = match call.send().await {
        Ok(answer) => answer,
        Err(err) => return format!("{name}: {err}"),
    };
    let body: Value = answer.json().unwrap_or_default();
    let field = |key: &str| body[key].as_str().unwrap_or("-").to_owned();
    format!("{name}: {} {} {}", answer.status.as_u16(), field("outcome"), field("reason"))
}

/// Sends raw bytes and returns the first line of the answer.
async fn raw(name: &str, address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    // The host may close the connection before it has read everything.
    _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "{name}: the connection stays open");
    let text = String::from_utf8_lossy(&answer).into_owned();
    format!("{name}: {}", text.lines().next().unwrap_or("closed"))
}

/// Invalid requests must be refused at once with the reason and never reach an
/// upstream, and an incomplete request must not hold its connection forever.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_with_a_reason_and_reach_no_upstream() {
    let bench = Bench::start(BenchSettings { entries: 1, engines: 1, ..BenchSettings::default() }).await;
    let at = bench.caller_address(0);
    let chat = |body: &str| Call::post(at, "/v1/chat/completions", body.to_owned());
    let good = r#"{"model":"alpha","messages":[{"role":"user","content":"hi"}]}"#;
    let calls = [
        ("not JSON", chat("hello")),
        ("no body", chat("")),
        ("no model", chat(r#"{"messages":[]}"#)),
        ("a model that is a number", chat(r#"{"model":5}"#)),
        ("an unknown model", chat(r#"{"model":"nobody"}"#)),
        ("a time-out that is no number", chat(good).header("x-request-timeout-ms", "soon")),
        ("a time-out of nothing", chat(good).header("x-request-timeout-ms", "0")),
        ("a time-out of a year", chat(good).header("x-request-timeout-ms", "31536000000")),
        ("a body too large", chat(&format!(r#"{{"model":"alpha","prompt":"{}"}}"#, "x".repeat(2_000_000)))),
        ("an unknown path", Call::get(at, "/v2/everything")),
        ("a wrong method", Call::get(at, "/v1/chat/completions")),
        ("an unknown service", Call::get(at, "/services/weather/today")),
        ("a booking without a key", Call::post(at, "/services/marketplace/bookings", "{}")),
        (
            "a key that is too long",
            Call::post(at, "/services/marketplace/bookings", "{}")
                .header("idempotency-key", &"k".repeat(2000)),
        ),
    ];
    let mut lines = Vec::new();
    for (name, call) in calls {
        lines.push(refusal(name, call).await);
    }
    let headers = "x-flood: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n".repeat(4000);
    let flood = format!("GET /v1/models HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
    lines.push(raw("a flood of headers", at, flood.as_bytes()).await);
    lines.push(raw("no HTTP at all", at, b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n").await);
    lines.push(raw("a head that never ends", at, b"GET /v1/models HTTP/1.1\r\nhost: x\r\n").await);
    let slow = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    lines.push(raw("a body that never ends", at, slow).await);
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(bench.fleet.census.counts().answered, 0);
    assert!(bench.fleet.census.counts().runs.is_empty());
    let healthy = Call::get(at, "/healthz").send();
    let healthy = timeout(Duration::from_secs(5), healthy).await.expect("in time").expect("it answers");
    assert!(healthy.status.is_success());
}
