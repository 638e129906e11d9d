//! Calls to the endpoints of a running process.

use std::net::SocketAddr;

use http::Method;

use crate::error::Error;
use crate::http::{Answer, call};

const STATE_PATH: &str = "/debug/state";
const EXPLAIN_PATH: &str = "/debug/explain";
const DRAIN_PATH: &str = "/debug/drain";
const ENTRY_PATH: &str = "/v1/entry";

pub(crate) async fn state(host: SocketAddr) -> Result<String, Error> {
    body_text(&call(Method::GET, host, STATE_PATH, Vec::new()).await?)
}

pub(crate) async fn explain(host: SocketAddr, model: &str) -> Result<String, Error> {
    let path = format!("{EXPLAIN_PATH}?model={}", query_encoded(model));
    body_text(&call(Method::GET, host, &path, Vec::new()).await?)
}

pub(crate) async fn drain(host: SocketAddr) -> Result<String, Error> {
    body_text(&call(Method::POST, host, DRAIN_PATH, Vec::new()).await?)?;
    Ok(format!("{host} leaves: it finishes what is in progress and then ends"))
}

pub(crate) async fn entry(host: SocketAddr) -> Result<String, Error> {
    body_text(&call(Method::GET, host, ENTRY_PATH, Vec::new()).await?)
}

/// Returns the body of a successful answer, with JSON indented.
fn body_text(answer: &Answer) -> Result<String, Error> {
    if !answer.status.is_success() {
        return Err(Error::Host { status: answer.status.as_u16(), message: answer.text() });
    }
    let json = serde_json::from_slice::<serde_json::Value>(&answer.body);
    Ok(json.map_or_else(|_not_json| answer.text(), |json| format!("{json:#}")))
}

fn query_encoded(text: &str) -> String {
    use std::fmt::Write;

    text.bytes().fold(String::new(), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"._-".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            _ = write!(encoded, "%{byte:02X}");
        }
        encoded
    })
}
