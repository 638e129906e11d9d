//! Requests in progress: what is sent upstream, and the channel that returns the answer.
//!
//! Start with [`PendingRequest`]; [`Requests`] is the table of all of them.
//!
//! A refusal goes from the host to the caller, in place of an answer. A rejection goes from an
//! upstream to the host: the upstream didn't run the request.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use skylarkshore_core::collections::HashMap;
use skylarkshore_core::effect::Refusal;
use skylarkshore_core::id::{AttemptId, RequestId};
use skylarkshore_core::store::RecordedAnswer;
use skylarkshore_wire::caller::{RefusalBody, refusal_status};
use tokio::sync::{mpsc, oneshot, watch};

use crate::answer_buffer::{AnswerBuffer, MAX_PIECES};
use crate::metrics::RequestEnd;

/// How long a slow caller may take to accept the last piece of an aborted answer.
const LAST_PIECE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request as it is sent upstream.
#[derive(Debug)]
pub struct Outgoing {
    /// The request id that the caller chose, for the log; `RequestId` is the host's own id.
    pub label: String,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The caller's headers that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The format in which refusals are sent to callers.
pub trait RefusalFormat: Send + Sync {
    /// Builds the refusal of a request for which nothing was forwarded yet.
    fn whole(&self, refusal: &Refusal) -> RefusalTold;

    /// Builds the final event of an aborted stream, if the format has one.
    fn last_event(&self, refusal: &Refusal) -> Option<Bytes>;
}

/// A refusal as it is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalTold {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The product's own format: JSON that states the outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonRefusalFormat;

impl RefusalFormat for JsonRefusalFormat {
    fn whole(&self, refusal: &Refusal) -> RefusalTold {
        let (status, headers) = refusal_head(refusal);
        RefusalTold { status, headers, body: refusal_json(refusal) }
    }

    fn last_event(&self, refusal: &Refusal) -> Option<Bytes> {
        Some(error_event(refusal))
    }
}

/// An answer or a refusal as the caller interface receives it: its head and body.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: ReplyBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// The complete body.
    Complete {
        /// The bytes.
        body: Bytes,
        /// How the request ends once it is sent.
        end: RequestEnd,
    },
    /// A body that is forwarded as it arrives.
    Pieces {
        /// The pieces.
        pieces: mpsc::Receiver<Piece>,
        /// The total length, if known.
        len: Option<u64>,
    },
}

/// A piece of a body.
///
/// If the channel closes without `End` or `BrokenOff`, the body is handled like `BrokenOff(None)`.
#[derive(Debug)]
pub enum Piece {
    /// Some bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body is incomplete; the last bytes, if any, state the error.
    BrokenOff(Option<Bytes>),
}

/// The head of an answer to forward.
#[derive(Debug)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The length of the body, if known.
    pub len: Option<u64>,
    /// Whether the body is handled as a stream of server-sent events: another attempt can resume it,
    /// and it ends in an error event if it is aborted.
    pub is_event_stream: bool,
}

/// The answer can't be forwarded.
///
/// The caller has disconnected, another attempt has taken over, the request has
/// ended, or the answer doesn't fit the part that was already forwarded.
#[derive(Debug)]
pub struct NotForwarded;

/// How much of an event stream has been forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delivered {
    /// The number of data events.
    pub event_count: u64,
    /// The id of the last event that had one.
    pub last_id: Option<HeaderValue>,
}

impl Delivered {
    fn extend(&mut self, more: Self) {
        self.event_count += more.event_count;
        if more.last_id.is_some() {
            self.last_id = more.last_id;
        }
    }
}

#[derive(Debug)]
enum State {
    /// Nothing was forwarded yet.
    Waiting(oneshot::Sender<Reply>),
    /// A part was forwarded.
    Forwarding { pieces: mpsc::Sender<Piece>, is_event_stream: bool, delivered: Delivered },
    /// Nothing more can be forwarded: the request was answered or refused, or the caller has disconnected.
    Done,
}

#[derive(Debug)]
struct Inner {
    state: State,
    attempt: AttemptId,
    /// A complete answer in which the upstream reports a failure; forwarded if no other attempt succeeds.
    failure_answer: Option<FailureAnswer>,
}

#[derive(Debug)]
struct FailureAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A request in progress.
pub struct PendingRequest {
    /// The request as it is sent upstream.
    pub outgoing: Outgoing,
    refusals: Arc<dyn RefusalFormat>,
    /// The part of the answer that the caller hasn't read yet.
    pub(crate) buffer: AnswerBuffer,
    inner: Mutex<Inner>,
    /// The last attempt whose first event may be forwarded.
    released: watch::Sender<AttemptId>,
}

impl std::fmt::Debug for PendingRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PendingRequest").field("outgoing", &self.outgoing).finish_non_exhaustive()
    }
}

impl PendingRequest {
    pub(crate) fn new(
        outgoing: Outgoing,
        refusals: Arc<dyn RefusalFormat>,
        buffer: AnswerBuffer,
    ) -> (Self, oneshot::Receiver<Reply>) {
        let (tx, rx) = oneshot::channel();
        let inner = Inner { state: State::Waiting(tx), attempt: AttemptId::default(), failure_answer: None };
        let released = watch::Sender::new(AttemptId::default());
        (Self { outgoing, refusals, buffer, inner: Mutex::new(inner), released }, rx)
    }

    /// Allows the first event of an attempt to be forwarded.
    pub(crate) fn release(&self, attempt: AttemptId) {
        self.released.send_replace(attempt);
    }

    /// Waits until the first event of an attempt may be forwarded.
    pub(crate) async fn released(&self, attempt: AttemptId) {
        let mut rx = self.released.subscribe();
        // The sender lives as long as the request, so that waiting can't fail.
        _ = rx.wait_for(|released| *released == attempt).await;
    }

    /// Makes an attempt the only one that can forward its answer.
    ///
    /// A cancelled attempt may still be forwarding a piece. Without this check
    /// that piece would be mixed into the next attempt's answer.
    ///
    /// Returns how much of a stream the caller already has.
    pub(crate) fn begin_attempt(&self, attempt: AttemptId) -> Delivered {
        let mut inner = self.lock();
        inner.attempt = attempt;
        match &inner.state {
            State::Forwarding { delivered, .. } => delivered.clone(),
            State::Waiting(_) | State::Done => Delivered::default(),
        }
    }

    /// Reports whether a part of the answer was forwarded or the request has ended.
    pub(crate) fn has_forwarded(&self) -> bool {
        !matches!(self.lock().state, State::Waiting(_))
    }

    /// Forwards the head, unless an earlier attempt did.
    ///
    /// When a stream is resumed, the answer must be a stream too; otherwise its
    /// body, such as an error page, would be mixed into the events.
    pub(crate) fn forward_head(&self, attempt: AttemptId, head: Head) -> Result<(), NotForwarded> {
        let mut inner = self.lock();
        if inner.attempt != attempt {
            return Err(NotForwarded);
        }
        let waiting = match std::mem::replace(&mut inner.state, State::Done) {
            State::Waiting(tx) => tx,
            State::Forwarding { pieces, is_event_stream, delivered } => {
                inner.state = State::Forwarding { pieces, is_event_stream, delivered };
                return if head.is_event_stream && is_event_stream { Ok(()) } else { Err(NotForwarded) };
            }
            State::Done => return Err(NotForwarded),
        };
        let (tx, rx) = mpsc::channel(MAX_PIECES);
        let body = ReplyBody::Pieces { pieces: rx, len: head.len };
        waiting
            .send(Reply { status: head.status, headers: head.headers, body })
            .map_err(|_disconnected| NotForwarded)?;
        inner.state = State::Forwarding {
            pieces: tx,
            is_event_stream: head.is_event_stream,
            delivered: Delivered::default(),
        };
        Ok(())
    }

    /// Waits until the caller has read enough for more of an answer to be read from the upstream.
    pub(crate) async fn until_room(&self, attempt: AttemptId) -> Result<(), NotForwarded> {
        let sender = self.sender(attempt)?;
        tokio::select! {
            () = self.buffer.until_room() => Ok(()),
            () = sender.closed() => Err(NotForwarded),
        }
    }

    /// Forwards bytes, which in a stream hold only whole events; waits while the caller is slow.
    pub(crate) async fn forward(
        &self,
        attempt: AttemptId,
        bytes: Bytes,
        more: Delivered,
    ) -> Result<(), NotForwarded> {
        let permit = self.sender(attempt)?.reserve_owned().await.map_err(|_disconnected| NotForwarded)?;
        let mut inner = self.lock();
        if inner.attempt != attempt {
            return Err(NotForwarded);
        }
        let State::Forwarding { delivered, .. } = &mut inner.state else { return Err(NotForwarded) };
        delivered.extend(more);
        permit.send(Piece::Data(self.buffer.add(bytes)));
        Ok(())
    }

    /// Forwards the end of the body.
    pub(crate) async fn forward_end(&self, attempt: AttemptId) -> Result<(), NotForwarded> {
        let permit = self.sender(attempt)?.reserve_owned().await.map_err(|_disconnected| NotForwarded)?;
        let mut inner = self.lock();
        if inner.attempt != attempt {
            return Err(NotForwarded);
        }
        inner.state = State::Done;
        permit.send(Piece::End);
        Ok(())
    }

    /// Forwards a complete answer, unless an earlier attempt has forwarded a part.
    pub(crate) fn forward_complete(
        &self,
        attempt: AttemptId,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<(), NotForwarded> {
        let inner = self.lock();
        if inner.attempt != attempt || !matches!(inner.state, State::Waiting(_)) {
            return Err(NotForwarded);
        }
        drop(inner);
        self.send_complete(status, headers, body, RequestEnd::Answered);
        Ok(())
    }

    /// Stores a complete answer in which the upstream reports a failure.
    pub(crate) fn store_failure(
        &self,
        attempt: AttemptId,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) {
        let mut inner = self.lock();
        if inner.attempt == attempt {
            inner.failure_answer = Some(FailureAnswer { status, headers, body });
        }
    }

    /// Forwards the stored failure answer, if any.
    pub(crate) fn forward_failure(&self) {
        let Some(FailureAnswer { status, headers, body }) = self.lock().failure_answer.take() else { return };
        self.send_complete(status, headers, body, RequestEnd::Answered);
    }

    /// Sends a recorded answer to the caller.
    pub(crate) fn send_recorded_answer(&self, answer: RecordedAnswer) {
        let mut headers = HeaderMap::new();
        if let Some(value) = answer.content_type.and_then(|value| HeaderValue::try_from(value).ok()) {
            headers.insert(CONTENT_TYPE, value);
        }
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        self.send_complete(status, headers, answer.body.into(), RequestEnd::Answered);
    }

    /// Refuses the request, or aborts the answer if a part was forwarded.
    pub(crate) fn refuse(&self, refusal: &Refusal) {
        let mut inner = self.lock();
        let state = std::mem::replace(&mut inner.state, State::Done);
        drop(inner);
        match state {
            State::Waiting(tx) => {
                let RefusalTold { status, headers, body } = self.refusals.whole(refusal);
                let body = ReplyBody::Complete { body, end: refusal_end(refusal) };
                // Fails only if the caller has disconnected.
                _ = tx.send(Reply { status, headers, body });
            }
            State::Forwarding { pieces, is_event_stream, .. } => {
                let last = if is_event_stream { self.refusals.last_event(refusal) } else { None };
                break_off(pieces, last);
            }
            State::Done => {}
        }
    }

    /// Sends a complete answer, unless a part of one was forwarded or the request has ended.
    fn send_complete(&self, status: StatusCode, headers: HeaderMap, body: Bytes, end: RequestEnd) {
        let state = std::mem::replace(&mut self.lock().state, State::Done);
        if let State::Waiting(tx) = state {
            let body = ReplyBody::Complete { body: self.buffer.add(body), end };
            // Fails only if the caller has disconnected.
            _ = tx.send(Reply { status, headers, body });
        }
    }

    fn sender(&self, attempt: AttemptId) -> Result<mpsc::Sender<Piece>, NotForwarded> {
        let inner = self.lock();
        match &inner.state {
            State::Forwarding { pieces, .. } if inner.attempt == attempt => Ok(pieces.clone()),
            _ => Err(NotForwarded),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends the last piece without blocking the caller of this function.
fn break_off(pieces: mpsc::Sender<Piece>, last: Option<Bytes>) {
    let Err(mpsc::error::TrySendError::Full(piece)) = pieces.try_send(Piece::BrokenOff(last)) else {
        return;
    };
    // After the time-out the piece is dropped; the connection is closed either way.
    tokio::spawn(async move { pieces.send_timeout(piece, LAST_PIECE_TIMEOUT).await });
}

fn refusal_json(refusal: &Refusal) -> Bytes {
    serde_json::to_vec(&RefusalBody::from(refusal)).unwrap_or_default().into()
}

fn error_event(refusal: &Refusal) -> Bytes {
    let json = refusal_json(refusal);
    Bytes::from([b"event: error\ndata: ", json.as_ref(), b"\n\n"].concat())
}

fn refusal_head(refusal: &Refusal) -> (StatusCode, HeaderMap) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(ceil_secs(after)));
    }
    let status = StatusCode::from_u16(refusal_status(refusal)).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    (status, headers)
}

/// Rounds up to whole seconds, at least one, for `retry-after`.
fn ceil_secs(d: Duration) -> u64 {
    (d.as_secs() + u64::from(d.subsec_nanos() > 0)).max(1)
}

const fn refusal_end(refusal: &Refusal) -> RequestEnd {
    use skylarkshore_core::effect::RefusalOutcome;

    RequestEnd::Refused(match refusal.outcome {
        RefusalOutcome::NotRun => "not_run",
        RefusalOutcome::Unknown => "unknown",
        RefusalOutcome::Failed => "failed",
    })
}

/// How many ended requests keep their labels for the log.
///
/// The core may log a decision on a request after its caller has disconnected;
/// without the label, that line couldn't be found by the caller's request id. The
/// line follows within milliseconds, and far fewer requests end in that time.
const MAX_ENDED_LABELS: usize = 256;

/// The requests in progress.
#[derive(Debug, Default)]
pub struct Requests {
    next: AtomicU64,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    pending: HashMap<RequestId, Arc<PendingRequest>>,
    /// The labels of the requests that ended last.
    ended: VecDeque<(RequestId, String)>,
}

impl Requests {
    /// Adds a request and assigns its id.
    pub(crate) fn insert(&self, pending: PendingRequest) -> RequestId {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed) + 1);
        self.lock().pending.insert(id, Arc::new(pending));
        id
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<Arc<PendingRequest>> {
        self.lock().pending.get(&id).cloned()
    }

    /// Returns the label of a request in progress or of one that has just ended.
    pub(crate) fn label(&self, id: RequestId) -> Option<String> {
        let table = self.lock();
        if let Some(pending) = table.pending.get(&id) {
            return Some(pending.outgoing.label.clone());
        }
        table.ended.iter().rev().find(|(ended, _)| *ended == id).map(|(_, label)| label.clone())
    }

    pub(crate) fn remove(&self, id: RequestId) {
        let mut table = self.lock();
        let Some(pending) = table.pending.remove(&id) else { return };
        if table.ended.len() >= MAX_ENDED_LABELS {
            table.ended.pop_front();
        }
        table.ended.push_back((id, pending.outgoing.label.clone()));
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().pending.len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
