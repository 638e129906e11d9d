//! Errors of invalid requests, each with its status, reason and remedy.

use std::time::Duration;

use http::header::{ALLOW, RETRY_AFTER};
use http::{HeaderValue, Method, StatusCode};
use skylarkshore_wire::caller::{
    CALLER_HEADER, ErrorBody, ErrorText, IDEMPOTENCY_HEADER, MAX_TIMEOUT, MAX_TOKEN_LEN, OutcomeWire,
    REQUEST_ID_HEADER, TIMEOUT_HEADER,
};
use xitca_web::http::WebResponse;

use crate::callers::MAX_HEADERS_LEN;
use crate::exchange::BodyFault;
use crate::server::{self, MAX_HEADERS};

/// Why a request is rejected before anything is sent upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    BodyTooLarge { limit: usize },
    BodySlow { limit: Duration },
    BodyBroken,
    NoMemory,
    HeadersTooLarge,
    NotJson { reason: String },
    NoModel,
    UnknownModel { name: String },
    UnknownService { name: String },
    MissingKey,
    BadKey,
    BadTimeout,
    BadRequestId,
    BadCaller,
    UnknownAccount,
    BadPath,
    NoSuchPath { path: String },
    WrongMethod { method: Method, expected: Method },
    NotReady,
}

impl From<BodyFault> for RequestError {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::TooLarge { limit } => Self::BodyTooLarge { limit },
            BodyFault::Slow { limit } => Self::BodySlow { limit },
            BodyFault::Broken => Self::BodyBroken,
            BodyFault::NoRoom => Self::NoMemory,
        }
    }
}

impl RequestError {
    /// Builds the error response.
    pub(super) fn response(&self) -> WebResponse {
        let body = ErrorBody {
            outcome: OutcomeWire::NotRun,
            reason: self.label().to_owned(),
            error: ErrorText { message: self.message(), remedy: self.remedy() },
        };
        let mut res = server::json(self.status(), &body);
        match self {
            Self::WrongMethod { expected, .. } => {
                if let Ok(value) = HeaderValue::from_str(expected.as_str()) {
                    res.headers_mut().insert(ALLOW, value);
                }
            }
            Self::NotReady | Self::NoMemory => {
                res.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
            }
            _ => {}
        }
        res
    }

    const fn status(&self) -> StatusCode {
        match self {
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodySlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::UnknownModel { .. } | Self::UnknownService { .. } | Self::NoSuchPath { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::NotReady | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::BodyBroken
            | Self::NotJson { .. }
            | Self::NoModel
            | Self::MissingKey
            | Self::BadKey
            | Self::BadTimeout
            | Self::BadRequestId
            | Self::BadCaller
            | Self::BadPath => StatusCode::BAD_REQUEST,
            Self::UnknownAccount => StatusCode::UNAUTHORIZED,
        }
    }

    /// Returns the reason code, which is part of the interface.
    pub(super) const fn label(&self) -> &'static str {
        match self {
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::BodySlow { .. } => "body_slow",
            Self::BodyBroken => "body_broken",
            Self::NoMemory => "no_memory",
            Self::HeadersTooLarge => "header_flood",
            Self::NotJson { .. } => "not_json",
            Self::NoModel => "no_model",
            Self::UnknownModel { .. } => "unknown_model",
            Self::UnknownService { .. } => "unknown_service",
            Self::MissingKey => "missing_key",
            Self::BadKey => "bad_key",
            Self::BadTimeout => "bad_timeout",
            Self::BadRequestId => "bad_request_id",
            Self::BadCaller => "bad_caller",
            Self::UnknownAccount => "unknown_account",
            Self::BadPath => "bad_path",
            Self::NoSuchPath { .. } => "no_such_path",
            Self::WrongMethod { .. } => "wrong_method",
            Self::NotReady => "not_ready",
        }
    }

    fn message(&self) -> String {
        match self {
            Self::BodyTooLarge { limit } => format!("the body has more than {limit} bytes"),
            Self::BodySlow { limit } => format!("the body took more than {} ms", limit.as_millis()),
            Self::BodyBroken => "the body can't be read to its end".to_owned(),
            Self::NoMemory => "other requests' bodies leave no room for this one".to_owned(),
            Self::HeadersTooLarge => "the request has too many headers".to_owned(),
            Self::NotJson { reason } => format!("the body is no JSON object: {reason}"),
            Self::NoModel => "the body names no model".to_owned(),
            Self::UnknownModel { name } => format!("there is no model or adapter '{}'", truncated(name)),
            Self::UnknownService { name } => format!("there is no service '{}'", truncated(name)),
            Self::MissingKey => "this call may not be repeated and has no idempotency key".to_owned(),
            Self::BadKey => "the idempotency key is no plain text or too long".to_owned(),
            Self::BadTimeout => format!("the {TIMEOUT_HEADER} header makes no sense"),
            Self::BadRequestId => format!("the {REQUEST_ID_HEADER} header is no plain text or too long"),
            Self::BadCaller => format!("the {CALLER_HEADER} header is no name"),
            Self::UnknownAccount => "no client account holds the key".to_owned(),
            Self::BadPath => "the path has empty parts, dots as parts or broken percent signs".to_owned(),
            Self::NoSuchPath { path } => format!("there is nothing at '{}'", truncated(path)),
            Self::WrongMethod { method, .. } => format!("{method} isn't answered here"),
            Self::NotReady => "this host doesn't know yet what is served".to_owned(),
        }
    }

    fn remedy(&self) -> String {
        match self {
            Self::BodyTooLarge { .. } => {
                "send a shorter request, or ask the operators for a higher limit".to_owned()
            }
            Self::BodySlow { .. } => "send the body at once after the head".to_owned(),
            Self::BodyBroken => "send as many bytes as content-length says, or whole chunks".to_owned(),
            Self::HeadersTooLarge => {
                format!("send at most {MAX_HEADERS} headers with {MAX_HEADERS_LEN} bytes in all")
            }
            Self::NotJson { .. } => "send a JSON object with a 'model' field".to_owned(),
            Self::NoModel => "add a 'model' field with a name from GET /v1/models".to_owned(),
            Self::UnknownModel { .. } => "use a name from GET /v1/models".to_owned(),
            Self::UnknownService { .. } => "check the name after /services/ with the operators".to_owned(),
            Self::MissingKey => {
                format!("add a header {IDEMPOTENCY_HEADER}, with the same key when you ask again")
            }
            Self::BadKey => format!("send one with 1 to {MAX_TOKEN_LEN} printable ASCII characters"),
            Self::BadTimeout => format!("send whole milliseconds from 1 to {}", MAX_TIMEOUT.as_millis()),
            Self::BadRequestId => {
                format!("send 1 to {MAX_TOKEN_LEN} printable ASCII characters, or leave it out")
            }
            Self::BadCaller => "send 1 to 128 letters, digits or any of . _ : / @ -".to_owned(),
            Self::UnknownAccount => "send one valid key as authorization: Bearer KEY".to_owned(),
            Self::BadPath => "send the plain path, /services/<name>/<path>".to_owned(),
            Self::NoSuchPath { .. } => "see the page INTERFACES for the paths".to_owned(),
            Self::WrongMethod { expected, .. } => format!("use {expected}"),
            Self::NotReady | Self::NoMemory => "ask again in a second, or use another host".to_owned(),
        }
    }
}

/// Limits the length of a caller's text that is sent back.
fn truncated(text: &str) -> String {
    const MAX_CHARS: usize = 128;

    text.chars().take(MAX_CHARS).collect()
}
