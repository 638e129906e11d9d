//! Turns headers, paths and bodies into what the core takes.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use rand::Rng;
use serde::Deserialize;
use serde_json::value::RawValue;
use skylarkshore_core::event::Repeat;
use skylarkshore_core::id::{CallerId, Digest, ServiceName};
use skylarkshore_wire::caller::{
    CALLER_HEADER, DEFAULT_TIMEOUT, IDEMPOTENCY_HEADER, MAX_TIMEOUT, MAX_TOKEN_LEN, REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
};
use skylarkshore_wire::percent;

use crate::callers::invalid::Invalid;
use crate::digest::digest;

/// The caller of a request that names none.
const ANONYMOUS: &str = "anonymous";
/// How much of a prompt decides to which engine's cache it fits best.
const PREFIX_LEN: usize = 512;

/// Returns the caller's name for the request, or a new one.
pub(super) fn request_id(headers: &HeaderMap) -> Result<HeaderValue, Invalid> {
    let Some(id) = headers.get(REQUEST_ID_HEADER) else { return Ok(generated_id()) };
    if is_token(id) { Ok(id.clone()) } else { Err(Invalid::BadRequestId) }
}

/// Returns a new name for a request.
pub(super) fn generated_id() -> HeaderValue {
    let id: u128 = rand::rng().random();
    HeaderValue::try_from(format!("{id:032x}")).unwrap_or(HeaderValue::from_static("unnamed"))
}

fn is_token(value: &HeaderValue) -> bool {
    let bytes = value.as_bytes();
    !bytes.is_empty() && bytes.len() <= MAX_TOKEN_LEN && bytes.iter().all(u8::is_ascii_graphic)
}

/// What the headers say of a request.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) timeout: Duration,
    pub(super) caller: CallerId,
}

impl Asked {
    pub(super) fn read(headers: &HeaderMap) -> Result<Self, Invalid> {
        Ok(Self { timeout: timeout(headers)?, caller: caller(headers)? })
    }
}

fn timeout(headers: &HeaderMap) -> Result<Duration, Invalid> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else { return Ok(DEFAULT_TIMEOUT) };
    let ms = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let timeout = ms.map(Duration::from_millis).filter(|timeout| !timeout.is_zero());
    timeout.filter(|timeout| *timeout <= MAX_TIMEOUT).ok_or(Invalid::BadTimeout)
}

fn caller(headers: &HeaderMap) -> Result<CallerId, Invalid> {
    let text = match headers.get(CALLER_HEADER) {
        Some(value) => value.to_str().map_err(|_opaque| Invalid::BadCaller)?,
        None => ANONYMOUS,
    };
    text.parse().map_err(|_invalid| Invalid::BadCaller)
}

/// Finds out whether the request may run a second time.
///
/// The key is digested together with the caller and the service, so that two
/// callers who happen to choose the same key don't get each other's answers.
pub(super) fn repeat(
    headers: &HeaderMap,
    caller: &CallerId,
    service: Option<&ServiceName>,
    is_once: bool,
) -> Result<Repeat, Invalid> {
    let Some(key) = headers.get(IDEMPOTENCY_HEADER) else {
        return if is_once { Err(Invalid::MissingKey) } else { Ok(Repeat::Allowed) };
    };
    if !is_token(key) {
        return Err(Invalid::BadKey);
    }
    let service = service.map_or("", ServiceName::as_str);
    Ok(Repeat::Once { key: digest(&[caller.as_str().as_bytes(), service.as_bytes(), key.as_bytes()]) })
}

/// What is read of a request to a model.
#[derive(Debug)]
pub(super) struct ChatBody {
    pub(super) model: String,
    /// The digest of the prompt's beginning.
    pub(super) prefix: Option<Digest>,
}

#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(default)]
    model: Option<serde_json::Value>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl ChatBody {
    pub(super) fn parse(body: &Bytes) -> Result<Self, Invalid> {
        // A list would pass for the fields in their order.
        if body.trim_ascii_start().first() != Some(&b'{') {
            return Err(Invalid::NotJson { reason: "it doesn't begin with a brace".to_owned() });
        }
        let fields: Fields<'_> =
            serde_json::from_slice(body).map_err(|err| Invalid::NotJson { reason: err.to_string() })?;
        let Some(serde_json::Value::String(model)) = fields.model else { return Err(Invalid::NoModel) };
        if model.is_empty() {
            return Err(Invalid::NoModel);
        }
        let prompt = fields.messages.or(fields.prompt);
        let prefix = prompt.map(|prompt| {
            let text = prompt.get().as_bytes();
            digest(&[&text[..text.len().min(PREFIX_LEN)]])
        });
        Ok(Self { model, prefix })
    }
}

/// A call of a service.
#[derive(Debug)]
pub(super) struct ServiceCall {
    pub(super) service: ServiceName,
    /// What is sent to the service.
    pub(super) path_and_query: String,
    path: String,
    decoded: String,
}

impl ServiceCall {
    /// Reads what follows `/services/`.
    ///
    /// A service may take `/%62ookings` or `/x/../bookings` for `/bookings`.
    /// Such a spelling would slip past the paths whose calls may not be repeated,
    /// and a booking could be made twice; so the path is looked at decoded as
    /// well, and parts that servers fold are refused.
    pub(super) fn parse(rest: &str, query: Option<&str>) -> Result<Self, Invalid> {
        let (name, path) = rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash));
        let unknown = |_invalid| Invalid::UnknownService { name: name.to_owned() };
        let service = name.parse().map_err(unknown)?;
        let decoded = percent::decode(path).map_err(|_invalid| Invalid::BadPath)?;
        let mut parts = decoded[1..].split('/').collect::<Vec<_>>();
        if parts.last().is_some_and(|last| last.is_empty()) {
            parts.pop();
        }
        let is_folded = |part: &&str| matches!(*part, "" | "." | "..") || part.contains('\\');
        if parts.iter().any(is_folded) {
            return Err(Invalid::BadPath);
        }
        let path_and_query = query.map_or_else(|| path.to_owned(), |query| format!("{path}?{query}"));
        Ok(Self { service, path_and_query, path: path.to_owned(), decoded })
    }

    /// Returns the path in all spellings that the service may understand.
    pub(super) fn spellings(&self) -> [&str; 2] {
        [&self.path, &self.decoded]
    }
}
