//! Handlers of chat and completion requests, whose answers are determined by the prompt.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};
use skylarkshore_core::id::{Digest, ModelName};
use skylarkshore_wire::engine::{
    NotRun, NotRunReason, PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, STREAM_END,
};
use tokio::time::sleep;

use crate::engine::Shared;
use crate::engine::batch::{Full, Slot};
use crate::http::{Answered, Body, Cut, json as json_answer, stream as streamed, text};
use crate::lock;

/// Path of chat requests.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of completion requests.
pub(super) const COMPLETIONS_PATH: &str = "/v1/completions";

/// Prompt text that crashes the engine running the request.
pub const CRASH_MARKER: &str = "crash-the-engine";

/// Number of tokens in an answer when the request has no `max_tokens`.
const DEFAULT_TOKENS: u32 = 8;
/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u16 = 100;
/// Number of leading bytes of a prompt that identify its prefix.
const MAX_PREFIX_LEN: usize = 1024;

#[derive(Debug, Deserialize)]
struct GenerateRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
}

#[derive(Debug, Deserialize, Serialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: String,
}

impl GenerateRequest {
    fn text(&self) -> String {
        let contents = self.messages.iter().map(|message| message.content.as_str());
        contents.chain(std::iter::once(self.prompt.as_str())).collect()
    }
}

/// The format of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    Chat,
    Completion,
}

/// Returns the text with which any engine answers a prompt.
///
/// The text depends only on the model, the prompt and the length, so tests can
/// detect crossed, duplicated or truncated answers.
pub fn expected_text(model: &str, prompt: &str, tokens: u32) -> String {
    tokens_of(model, prompt, tokens).concat()
}

fn tokens_of(model: &str, prompt: &str, tokens: u32) -> Vec<String> {
    let digest = digest_of(&format!("{model}\n{prompt}")).to_hex();
    (0..tokens).map(|i| format!("{}-{i} ", &digest[..8])).collect()
}

fn digest_of(text: &str) -> Digest {
    let prefix = &text.as_bytes()[..text.len().min(MAX_PREFIX_LEN)];
    Digest(Sha256::digest(prefix).into())
}

/// A request in progress; dropping it ends the request.
struct Running {
    shared: Arc<Shared>,
    base: ModelName,
    slot: Option<Slot>,
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.shared.memory).request_ended(&self.base);
    }
}

/// Answers a request and echoes its id, even if the request wasn't run.
pub(super) async fn answer(shared: Arc<Shared>, req: Request<Bytes>) -> Answered {
    let id = req.headers().get(REQUEST_ID_HEADER).cloned();
    let mut response = generate(Arc::clone(&shared), req).await?;
    let placeholder = HeaderValue::from_static("another-request");
    let id = if consume_crossed_answer_fault(&shared) { placeholder } else { id.unwrap_or(placeholder) };
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    Ok(response)
}

/// Reports whether this answer gets another request's id, and decrements the fault's count.
fn consume_crossed_answer_fault(shared: &Shared) -> bool {
    let mut faults = lock(&shared.faults);
    let crossed = faults.crossed_answers > 0;
    faults.crossed_answers = faults.crossed_answers.saturating_sub(1);
    crossed
}

async fn generate(shared: Arc<Shared>, req: Request<Bytes>) -> Answered {
    let kind = if req.uri().path() == CHAT_PATH { AnswerKind::Chat } else { AnswerKind::Completion };
    let body: GenerateRequest = match serde_json::from_slice(req.body()) {
        Ok(body) => body,
        Err(err) => return Ok(text(StatusCode::BAD_REQUEST, &format!("not a request: {err}"))),
    };
    let prompt = body.text();
    let mut running = match start_request(&shared, &body.model, &prompt) {
        Ok(running) => running,
        Err(reason) => return Ok(not_run(reason)),
    };
    let priority = header_number(req.headers(), PRIORITY_HEADER).unwrap_or(DEFAULT_PRIORITY);
    match shared.batch.acquire(priority).await {
        Ok(slot) => running.slot = Some(slot),
        Err(Full) => return Ok(not_run(NotRunReason::Busy)),
    }
    if prompt.contains(CRASH_MARKER) {
        // The crash closes every connection, including this one.
        Shared::crash(&shared);
        return Err(Cut);
    }
    let tokens = tokens_of(&body.model, &prompt, body.max_tokens.unwrap_or(DEFAULT_TOKENS));
    Ok(if body.stream {
        let resume = header_number(req.headers(), RESUME_HEADER).unwrap_or(0);
        stream_answer(running, kind, &body.model, &tokens, resume)
    } else {
        complete_answer(running, kind, &body.model, &tokens).await
    })
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn not_run(reason: NotRunReason) -> Response<Body> {
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::CONFLICT);
    json_answer(status, &NotRun { error: reason })
}

fn start_request(shared: &Arc<Shared>, model: &str, prompt: &str) -> Result<Running, NotRunReason> {
    if lock(&shared.faults).leaving {
        return Err(NotRunReason::Leaving);
    }
    let mut memory = lock(&shared.memory);
    let base = memory.ready_base(model).ok_or(NotRunReason::NotLoaded)?;
    memory.request_started(&base, digest_of(prompt));
    drop(memory);
    Ok(Running { shared: Arc::clone(shared), base, slot: None })
}

impl Running {
    async fn token_time(&self) {
        let slow = lock(&self.shared.faults).slow_tokens_ms;
        sleep(self.shared.settings.token_time + Duration::from_millis(slow)).await;
    }
}

async fn complete_answer(
    running: Running,
    kind: AnswerKind,
    model: &str,
    tokens: &[String],
) -> Response<Body> {
    for _ in tokens {
        running.token_time().await;
    }
    running.shared.census.update(|counts| counts.answered += 1);
    let text = tokens.concat();
    let usage = json!({"completion_tokens": tokens.len()});
    let body = match kind {
        AnswerKind::Chat => json!({
            "object": "chat.completion", "model": model, "usage": usage,
            "choices": [{"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}],
        }),
        AnswerKind::Completion => json!({
            "object": "text_completion", "model": model, "usage": usage,
            "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
        }),
    };
    json_answer(StatusCode::OK, &body)
}

fn chunk(kind: AnswerKind, model: &str, token: &str, finish_reason: Option<&str>) -> Value {
    match kind {
        AnswerKind::Chat => json!({
            "object": "chat.completion.chunk", "model": model,
            "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish_reason}],
        }),
        AnswerKind::Completion => json!({
            "object": "text_completion", "model": model,
            "choices": [{"index": 0, "text": token, "finish_reason": finish_reason}],
        }),
    }
}

fn stream_answer(
    running: Running,
    kind: AnswerKind,
    model: &str,
    tokens: &[String],
    resume: usize,
) -> Response<Body> {
    let last = chunk(kind, model, "", Some("stop")).to_string();
    let mut events: Vec<String> =
        tokens.iter().map(|token| chunk(kind, model, token, None).to_string()).collect();
    events.push(last);
    events.push(STREAM_END.to_owned());
    let remaining = events.split_off(resume.min(events.len()));
    streamed("text/event-stream", stream::unfold((running, remaining.into_iter()), next_event))
}

type RemainingEvents = std::vec::IntoIter<String>;

async fn next_event(
    (running, mut remaining): (Running, RemainingEvents),
) -> Option<(io::Result<Bytes>, (Running, RemainingEvents))> {
    let Some(event) = remaining.next() else {
        running.shared.census.update(|counts| counts.answered += 1);
        return None;
    };
    if remaining.len() > 1 {
        running.token_time().await;
    }
    Some((Ok(format!("data: {event}\n\n").into()), (running, remaining)))
}
