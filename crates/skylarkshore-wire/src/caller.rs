//! Formats used with callers: headers, refusals, and the lists of models and entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkshore_core::effect::{Refusal, RefusalOutcome, RefusalReason};
use skylarkshore_core::id::DataCentre;

/// Maximum time that the caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Identifies the caller.
pub const CALLER_HEADER: &str = "x-caller";
/// Passes the client account to the upstream.
pub const ACCOUNT_HEADER: &str = "x-client-account";
/// Request id chosen by the caller; echoed on every answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Identifies a request that must run at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Timeout of a request that doesn't specify one.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum timeout of a request.
pub const MAX_TIMEOUT: Duration = Duration::from_hours(1);
/// Maximum length of a request id or an idempotency key, in bytes.
pub const MAX_TOKEN_LEN: usize = 256;

/// Data of the last event of a complete stream.
pub const DONE_DATA: &str = "[DONE]";

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeWire {
    /// It was not run and will not be.
    NotRun,
    /// It may have been run.
    Unknown,
    /// It was run and failed.
    Failed,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Whether the request was run.
    pub outcome: OutcomeWire,
    /// Stable code of the reason.
    pub reason: String,
    /// The reason and the remedy in one sentence.
    pub message: String,
    /// Delay before the next attempt, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The body of the answer to an invalid request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Always `not_run`.
    pub outcome: OutcomeWire,
    /// Stable code of the reason.
    pub reason: String,
    /// The problem and its remedy.
    pub error: ErrorText,
}

/// The problem of an invalid request and its remedy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorText {
    /// The problem.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// Address for callers.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
}

/// The answer that lists the entry hosts to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// The hosts in order of preference.
    pub hosts: Vec<EntryHost>,
    /// Maximum time to cache the answer, in seconds.
    pub max_age_s: u64,
}

/// The answer that lists the available models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsAnswer {
    /// Always `list`.
    pub object: String,
    /// The models and adapters.
    pub data: Vec<ModelEntry>,
}

/// A model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name to use in requests.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// The base model, if this is an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
}

impl From<RefusalOutcome> for OutcomeWire {
    fn from(outcome: RefusalOutcome) -> Self {
        match outcome {
            RefusalOutcome::NotRun => Self::NotRun,
            RefusalOutcome::Unknown => Self::Unknown,
            RefusalOutcome::Failed => Self::Failed,
        }
    }
}

impl From<&Refusal> for RefusalBody {
    fn from(refusal: &Refusal) -> Self {
        Self {
            outcome: refusal.outcome.into(),
            reason: reason_code(&refusal.reason).to_owned(),
            message: refusal.reason.to_string(),
            retry_after_ms: refusal.retry_after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

/// Returns the stable code of a reason; clients may rely on it.
pub const fn reason_code(reason: &RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Rule(_) => "rule",
        RefusalReason::ColdStartTooLong => "cold_start_too_long",
        RefusalReason::Short(_) => "short",
        RefusalReason::QueueFull => "queue_full",
        RefusalReason::DeadlinePassed => "deadline_passed",
        RefusalReason::DeadlinePassedRunning => "deadline_passed_running",
        RefusalReason::NoUpstream => "no_upstream",
        RefusalReason::UpstreamsAtRest => "upstreams_at_rest",
        RefusalReason::UpstreamLost => "upstream_lost",
        RefusalReason::StoreUnreachable => "store_unreachable",
        RefusalReason::KeyConflict => "key_conflict",
        RefusalReason::KeyInDoubt => "key_in_doubt",
        RefusalReason::KeyInProgress => "key_in_progress",
        RefusalReason::AnswerNotKept => "answer_not_kept",
        RefusalReason::CallerGone => "caller_gone",
        RefusalReason::CrashesUpstreams => "crashes_upstreams",
        RefusalReason::MayCrashUpstreams => "may_crash_upstreams",
        RefusalReason::VersionGone => "version_gone",
        RefusalReason::StreamUnknown => "stream_unknown",
        RefusalReason::Leaving => "leaving",
        RefusalReason::Standby => "standby",
        RefusalReason::OverLimit => "over_limit",
        RefusalReason::BeyondLimit => "beyond_limit",
        RefusalReason::KeyWithdrawn => "key_withdrawn",
        RefusalReason::AccountChanged => "account_changed",
    }
}

/// Returns the HTTP status of a refusal.
pub const fn refusal_status(refusal: &Refusal) -> u16 {
    match refusal.reason {
        RefusalReason::KeyWithdrawn => 401,
        RefusalReason::Rule(_) => 403,
        RefusalReason::KeyConflict | RefusalReason::KeyInProgress | RefusalReason::KeyInDoubt => 409,
        RefusalReason::CrashesUpstreams => 422,
        RefusalReason::OverLimit | RefusalReason::BeyondLimit => 429,
        RefusalReason::DeadlinePassed | RefusalReason::DeadlinePassedRunning => 504,
        RefusalReason::UpstreamLost | RefusalReason::AnswerNotKept => 502,
        RefusalReason::ColdStartTooLong
        | RefusalReason::Short(_)
        | RefusalReason::QueueFull
        | RefusalReason::NoUpstream
        | RefusalReason::UpstreamsAtRest
        | RefusalReason::StoreUnreachable
        | RefusalReason::CallerGone
        | RefusalReason::AccountChanged
        | RefusalReason::MayCrashUpstreams
        | RefusalReason::VersionGone
        | RefusalReason::StreamUnknown
        | RefusalReason::Leaving
        | RefusalReason::Standby => 503,
    }
}
