//! A request in progress: what is sent upstream, and how its answer gets back to the caller.

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
use tokio::sync::{mpsc, oneshot};

use crate::metrics::RequestEnd;

/// Pieces of an answer that may wait for a slow caller before the upstream is slowed down.
const PIECES: usize = 16;
/// How long a slow caller is given to take the last piece of an answer that is broken off.
const LAST_PIECE_TIMEOUT: Duration = Duration::from_secs(5);

/// What is sent upstream.
#[derive(Debug)]
pub struct Outgoing {
    /// The caller's name for the request, for the log.
    pub label: String,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The caller's headers that concern the upstream.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// How refusals are told to callers.
pub trait RefusalFormat: Send + Sync {
    /// Makes the answer to a request of which no part was answered.
    fn whole(&self, refusal: &Refusal) -> RefusalTold;

    /// Makes the last bytes of a stream that is broken off, if the caller can understand any.
    fn last_event(&self, refusal: &Refusal) -> Option<Bytes>;
}

/// A refusal as the caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalTold {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The product's own refusals: JSON that says what was run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonRefusals;

impl RefusalFormat for JsonRefusals {
    fn whole(&self, refusal: &Refusal) -> RefusalTold {
        let (status, headers) = refusal_head(refusal);
        RefusalTold { status, headers, body: refusal_json(refusal) }
    }

    fn last_event(&self, refusal: &Refusal) -> Option<Bytes> {
        Some(error_event(refusal))
    }
}

/// The head of an answer and a way to its body.
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
    /// It is here as a whole.
    Whole {
        /// The bytes.
        body: Bytes,
        /// How the request ends with it.
        end: RequestEnd,
    },
    /// It comes in pieces.
    Pieces {
        /// The pieces.
        pieces: mpsc::Receiver<Piece>,
        /// The length in all, where it is known.
        len: Option<u64>,
    },
}

/// A piece of a body. A body whose last piece is neither an end nor a break was lost here.
#[derive(Debug)]
pub enum Piece {
    /// Some bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body is broken off; the last bytes, if any, tell the caller so.
    BrokenOff(Option<Bytes>),
}

/// The head of an answer that is about to be passed on.
#[derive(Debug)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The length of the body, where it is known.
    pub len: Option<u64>,
    /// Whether it is a stream of server-sent events.
    pub events: bool,
}

/// Nobody takes the answer any more: the caller is gone, or another attempt took over.
#[derive(Debug)]
pub struct Closed;

/// How far a stream of events has been passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delivered {
    /// How many data events.
    pub events: u64,
    /// The id of the last event that had one.
    pub last_id: Option<HeaderValue>,
}

impl Delivered {
    fn add(&mut self, more: Self) {
        self.events += more.events;
        if more.last_id.is_some() {
            self.last_id = more.last_id;
        }
    }
}

#[derive(Debug)]
enum State {
    /// Nothing was passed on yet.
    Waiting(oneshot::Sender<Reply>),
    /// A part was passed on.
    Passing { pieces: mpsc::Sender<Piece>, events: bool, delivered: Delivered },
    /// The last piece was passed on.
    Done,
}

#[derive(Debug)]
struct Inner {
    state: State,
    attempt: AttemptId,
    /// A whole answer that says that its upstream failed, unless another one does better.
    kept: Option<Kept>,
}

#[derive(Debug)]
struct Kept {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A request in progress.
pub struct PendingRequest {
    /// What is sent upstream.
    pub outgoing: Outgoing,
    refusals: Arc<dyn RefusalFormat>,
    inner: Mutex<Inner>,
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
    ) -> (Self, oneshot::Receiver<Reply>) {
        let (tx, rx) = oneshot::channel();
        let inner = Inner { state: State::Waiting(tx), attempt: AttemptId::default(), kept: None };
        (Self { outgoing, refusals, inner: Mutex::new(inner) }, rx)
    }

    /// Lets an attempt pass its answer on, and none before it.
    ///
    /// An attempt that was cancelled may still be in the middle of passing a
    /// piece on. Without this check that piece would land in the next attempt's
    /// answer, and the caller would get a mixture of both.
    ///
    /// Returns how much of a stream the caller has already.
    pub(crate) fn begin_attempt(&self, attempt: AttemptId) -> Delivered {
        let mut inner = self.lock();
        inner.attempt = attempt;
        match &inner.state {
            State::Passing { delivered, .. } => delivered.clone(),
            State::Waiting(_) | State::Done => Delivered::default(),
        }
    }

    /// Tells whether the caller has got a part of the answer.
    pub(crate) fn has_passed_on(&self) -> bool {
        !matches!(self.lock().state, State::Waiting(_))
    }

    /// Passes the head on, unless an earlier attempt did.
    ///
    /// An upstream that answers the resumption of a stream with anything but a
    /// stream can't go on with it; its error text would land among the events.
    pub(crate) fn pass_head(&self, attempt: AttemptId, head: Head) -> Result<(), Closed> {
        let mut inner = self.lock();
        if inner.attempt != attempt {
            return Err(Closed);
        }
        let waiting = match std::mem::replace(&mut inner.state, State::Done) {
            State::Waiting(tx) => tx,
            State::Passing { pieces, events, delivered } => {
                inner.state = State::Passing { pieces, events, delivered };
                return if head.events && events { Ok(()) } else { Err(Closed) };
            }
            State::Done => return Err(Closed),
        };
        let (tx, rx) = mpsc::channel(PIECES);
        let body = ReplyBody::Pieces { pieces: rx, len: head.len };
        waiting.send(Reply { status: head.status, headers: head.headers, body }).map_err(|_gone| Closed)?;
        inner.state = State::Passing { pieces: tx, events: head.events, delivered: Delivered::default() };
        Ok(())
    }

    /// Passes bytes on that hold whole events, if any; waits while the caller is slow.
    pub(crate) async fn pass(&self, attempt: AttemptId, bytes: Bytes, more: Delivered) -> Result<(), Closed> {
        let permit = self.sender(attempt)?.reserve_owned().await.map_err(|_gone| Closed)?;
        let mut inner = self.lock();
        if inner.attempt != attempt {
            return Err(Closed);
        }
        let State::Passing { delivered, .. } = &mut inner.state else { return Err(Closed) };
        delivered.add(more);
        permit.send(Piece::Data(bytes));
        Ok(())
    }

    /// Passes the end on.
    pub(crate) async fn end(&self, attempt: AttemptId) -> Result<(), Closed> {
        let permit = self.sender(attempt)?.reserve_owned().await.map_err(|_gone| Closed)?;
        let mut inner = self.lock();
        if inner.attempt != attempt {
            return Err(Closed);
        }
        inner.state = State::Done;
        permit.send(Piece::End);
        Ok(())
    }

    /// Passes on a whole answer at once, unless an earlier attempt has passed a part on.
    pub(crate) fn pass_whole(
        &self,
        attempt: AttemptId,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<(), Closed> {
        let inner = self.lock();
        if inner.attempt != attempt || !matches!(inner.state, State::Waiting(_)) {
            return Err(Closed);
        }
        drop(inner);
        self.reply(status, headers, body, RequestEnd::Answered);
        Ok(())
    }

    /// Keeps a whole answer that says that its upstream failed.
    pub(crate) fn keep(&self, attempt: AttemptId, status: StatusCode, headers: HeaderMap, body: Bytes) {
        let mut inner = self.lock();
        if inner.attempt == attempt {
            inner.kept = Some(Kept { status, headers, body });
        }
    }

    /// Passes the kept answer on.
    pub(crate) fn pass_kept(&self) {
        let Some(Kept { status, headers, body }) = self.lock().kept.take() else { return };
        self.reply(status, headers, body, RequestEnd::Answered);
    }

    /// Gives the caller a kept answer.
    pub(crate) fn answer(&self, answer: RecordedAnswer) {
        let mut headers = HeaderMap::new();
        if let Some(value) = answer.content_type.and_then(|value| HeaderValue::try_from(value).ok()) {
            headers.insert(CONTENT_TYPE, value);
        }
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        self.reply(status, headers, answer.body.into(), RequestEnd::Answered);
    }

    /// Refuses the request, or breaks the answer off where a part was passed on.
    pub(crate) fn refuse(&self, refusal: &Refusal) {
        let mut inner = self.lock();
        let state = std::mem::replace(&mut inner.state, State::Done);
        drop(inner);
        match state {
            State::Waiting(tx) => {
                let RefusalTold { status, headers, body } = self.refusals.whole(refusal);
                let body = ReplyBody::Whole { body, end: refusal_end(refusal) };
                // Nobody is left to tell if the caller is gone.
                _ = tx.send(Reply { status, headers, body });
            }
            State::Passing { pieces, events, .. } => {
                let last = if events { self.refusals.last_event(refusal) } else { None };
                break_off(pieces, last);
            }
            State::Done => {}
        }
    }

    fn reply(&self, status: StatusCode, headers: HeaderMap, body: Bytes, end: RequestEnd) {
        let state = std::mem::replace(&mut self.lock().state, State::Done);
        if let State::Waiting(tx) = state {
            // Nobody is left to tell if the caller is gone.
            _ = tx.send(Reply { status, headers, body: ReplyBody::Whole { body, end } });
        }
    }

    fn sender(&self, attempt: AttemptId) -> Result<mpsc::Sender<Piece>, Closed> {
        let inner = self.lock();
        match &inner.state {
            State::Passing { pieces, .. } if inner.attempt == attempt => Ok(pieces.clone()),
            _ => Err(Closed),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends the last piece, at once where there is room.
fn break_off(pieces: mpsc::Sender<Piece>, last: Option<Bytes>) {
    let Err(mpsc::error::TrySendError::Full(piece)) = pieces.try_send(Piece::BrokenOff(last)) else {
        return;
    };
    // A caller that doesn't read is let go; its connection is closed either way.
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
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_secs(after)));
    }
    let status = StatusCode::from_u16(refusal_status(refusal)).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    (status, headers)
}

/// Rounds up to whole seconds, at least one, as the header has it.
fn whole_secs(d: Duration) -> u64 {
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

/// How many ended requests keep their names for the log.
///
/// The core decides on a request after its caller has gone. Without the name,
/// that line couldn't be found by the id under which the caller complains. It
/// is written within milliseconds, in which far fewer requests end.
const NAMES_KEPT: usize = 256;

/// The requests in progress.
#[derive(Debug, Default)]
pub struct Requests {
    next: AtomicU64,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    pending: HashMap<RequestId, Arc<PendingRequest>>,
    /// The callers' names of the requests that ended last.
    ended: VecDeque<(RequestId, String)>,
}

impl Requests {
    /// Takes a request up and gives it its number.
    pub(crate) fn insert(&self, pending: PendingRequest) -> RequestId {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed) + 1);
        self.lock().pending.insert(id, Arc::new(pending));
        id
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<Arc<PendingRequest>> {
        self.lock().pending.get(&id).cloned()
    }

    /// Returns the caller's name of a request in progress or of one that has just ended.
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
        if table.ended.len() >= NAMES_KEPT {
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
