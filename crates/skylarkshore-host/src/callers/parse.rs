//! Parses and validates the headers, paths and bodies of requests.

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

use crate::callers::request_error::RequestError;
use crate::digest::digest;

/// The caller id of a request without one.
const ANONYMOUS_CALLER: &str = "anonymous";
/// Bytes of a prompt whose digest selects an engine by its prefix cache.
const PREFIX_LEN: usize = 512;

/// Returns the request id that the caller chose, or a new one.
pub(super) fn request_id(headers: &HeaderMap) -> Result<HeaderValue, RequestError> {
    let Some(id) = headers.get(REQUEST_ID_HEADER) else { return Ok(generated_id()) };
    if is_token(id) { Ok(id.clone()) } else { Err(RequestError::BadRequestId) }
}

/// Returns a random request id.
pub(super) fn generated_id() -> HeaderValue {
    let id: u128 = rand::rng().random();
    HeaderValue::try_from(format!("{id:032x}")).unwrap_or(HeaderValue::from_static("unnamed"))
}

fn is_token(value: &HeaderValue) -> bool {
    let bytes = value.as_bytes();
    !bytes.is_empty() && bytes.len() <= MAX_TOKEN_LEN && bytes.iter().all(u8::is_ascii_graphic)
}

/// The values of a request's optional headers.
#[derive(Debug)]
pub(super) struct RequestHeaders {
    pub(super) timeout: Duration,
    pub(super) caller: CallerId,
}

impl RequestHeaders {
    pub(super) fn read(headers: &HeaderMap) -> Result<Self, RequestError> {
        Ok(Self { timeout: timeout(headers)?, caller: caller(headers)? })
    }
}

fn timeout(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else { return Ok(DEFAULT_TIMEOUT) };
    let ms = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let timeout = ms.map(Duration::from_millis).filter(|timeout| !timeout.is_zero());
    timeout.filter(|timeout| *timeout <= MAX_TIMEOUT).ok_or(RequestError::BadTimeout)
}

fn caller(headers: &HeaderMap) -> Result<CallerId, RequestError> {
    let text = match headers.get(CALLER_HEADER) {
        Some(value) => value.to_str().map_err(|_opaque| RequestError::BadCaller)?,
        None => ANONYMOUS_CALLER,
    };
    text.parse().map_err(|_invalid| RequestError::BadCaller)
}

/// Determines how often the request may run: at most once if it has an idempotency key.
///
/// The digest of the key includes the caller and the service, so that two
/// callers with the same key don't receive each other's answers.
pub(super) fn repeat(
    headers: &HeaderMap,
    caller: &CallerId,
    service: Option<&ServiceName>,
    is_at_most_once_call: bool,
) -> Result<Repeat, RequestError> {
    let Some(key) = headers.get(IDEMPOTENCY_HEADER) else {
        return if is_at_most_once_call { Err(RequestError::MissingKey) } else { Ok(Repeat::Allowed) };
    };
    if !is_token(key) {
        return Err(RequestError::BadKey);
    }
    let service = service.map_or("", ServiceName::as_str);
    Ok(Repeat::Once { key: digest(&[caller.as_str().as_bytes(), service.as_bytes(), key.as_bytes()]) })
}

/// The fields that are read from the body of a request to a model.
#[derive(Debug)]
pub(super) struct ModelBody {
    pub(super) model: String,
    /// The digest of the prompt's first [`PREFIX_LEN`] bytes.
    pub(super) prefix: Option<Digest>,
}

#[derive(Deserialize)]
struct BodyFields<'a> {
    #[serde(default)]
    model: Option<serde_json::Value>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl ModelBody {
    pub(super) fn parse(body: &Bytes) -> Result<Self, RequestError> {
        // Serde would accept an array as the fields in order.
        if body.trim_ascii_start().first() != Some(&b'{') {
            return Err(RequestError::NotJson { reason: "it doesn't begin with a brace".to_owned() });
        }
        let fields: BodyFields<'_> =
            serde_json::from_slice(body).map_err(|err| RequestError::NotJson { reason: err.to_string() })?;
        let Some(serde_json::Value::String(model)) = fields.model else { return Err(RequestError::NoModel) };
        if model.is_empty() {
            return Err(RequestError::NoModel);
        }
        let prompt = fields.messages.or(fields.prompt);
        let prefix = prompt.map(|prompt| {
            let text = prompt.get().as_bytes();
            digest(&[&text[..text.len().min(PREFIX_LEN)]])
        });
        Ok(Self { model, prefix })
    }
}

/// The target of a request to a service.
#[derive(Debug)]
pub(super) struct ServiceCall {
    pub(super) service: ServiceName,
    /// The path and query to send to the service.
    pub(super) path_and_query: String,
    path: String,
    decoded_path: String,
}

impl ServiceCall {
    /// Parses the part of a path that follows `/services/`.
    ///
    /// A service may treat `/%62ookings` or `/x/../bookings` as `/bookings`. Such a
    /// spelling would bypass the list of at-most-once paths, and a booking could be
    /// made twice. The path is therefore also matched in decoded form, and segments
    /// that servers rewrite (empty, `.`, `..` or with a backslash) are refused.
    pub(super) fn parse(rest: &str, query: Option<&str>) -> Result<Self, RequestError> {
        let (name, path) = rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash));
        let unknown = |_invalid| RequestError::UnknownService { name: name.to_owned() };
        let service = name.parse().map_err(unknown)?;
        let decoded_path = percent::decode(path).map_err(|_invalid| RequestError::BadPath)?;
        let mut segments = decoded_path[1..].split('/').collect::<Vec<_>>();
        if segments.last().is_some_and(|last| last.is_empty()) {
            segments.pop();
        }
        let is_rewritten = |segment: &&str| matches!(*segment, "" | "." | "..") || segment.contains('\\');
        if segments.iter().any(is_rewritten) {
            return Err(RequestError::BadPath);
        }
        let path_and_query = query.map_or_else(|| path.to_owned(), |query| format!("{path}?{query}"));
        Ok(Self { service, path_and_query, path: path.to_owned(), decoded_path })
    }

    /// Returns the path as sent and decoded.
    pub(super) fn path_variants(&self) -> [&str; 2] {
        [&self.path, &self.decoded_path]
    }
}
