//! Forwards an answer to the caller as it arrives. Start with [`RequestGuard::respond`].

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::HeaderValue;
use http::header::CONNECTION;
use skylarkshore_core::Event;
use skylarkshore_core::effect::{Refusal, RefusalOutcome, RefusalReason};
use skylarkshore_core::id::RequestId;
use slog::{error, info};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use xitca_web::body::{Body, Frame, ResponseBody, SizeHint};
use xitca_web::http::WebResponse;

use crate::answer_buffer::AnswerBuffer;
use crate::connections::Connection;
use crate::env::Env;
use crate::metrics::RequestEnd;
use crate::pending::{Piece, RefusalFormat, Reply, ReplyBody};

/// Tracks a request that was submitted to the core until its answer has ended.
///
/// If it is dropped earlier, the caller has disconnected; the core is notified
/// so that the upstream's work stops.
pub(super) struct RequestGuard {
    env: Env,
    request: RequestId,
    target: &'static str,
    begun: Instant,
    connection: Option<Arc<Connection>>,
    /// The request id that the caller chose, for the log; `request` is the host's own id.
    label: String,
    timing: DeliveryTiming,
    buffer: AnswerBuffer,
    /// The task that closes the connection of a caller that doesn't read its answer.
    watchdog: Option<AbortHandle>,
    ended: bool,
}

/// When the connection of a caller that doesn't read its answer is closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadingLimits {
    /// When an answer that isn't complete is aborted.
    pub(super) hard_deadline: Instant,
    /// How long a caller may read nothing; without a limit if absent.
    pub(super) stall: Option<Duration>,
}

/// Timing of an answer's delivery, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct DeliveryTiming {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_pause: Duration,
}

impl DeliveryTiming {
    fn record_piece(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        let pause = self.last.replace(now).map_or(Duration::ZERO, |last| now - last);
        self.longest_pause = self.longest_pause.max(pause);
    }
}

/// The answer is incomplete; makes the server close the connection without a clean end.
#[derive(Debug, Display, Error)]
#[display("the answer was broken off; ask again")]
pub(super) struct BrokenOff;

impl RequestGuard {
    pub(super) fn begin(
        env: Env,
        request: RequestId,
        target: &'static str,
        label: String,
        begun: Instant,
        connection: Option<Arc<Connection>>,
        buffer: AnswerBuffer,
    ) -> Self {
        env.metrics.request_begun();
        Self {
            env,
            request,
            target,
            begun,
            connection,
            label,
            timing: DeliveryTiming::default(),
            buffer,
            watchdog: None,
            ended: false,
        }
    }

    /// Waits for the head of the answer and builds the response.
    pub(super) async fn respond(
        mut self,
        reply: oneshot::Receiver<Reply>,
        limits: ReadingLimits,
        refusals: &dyn RefusalFormat,
    ) -> WebResponse {
        let ReadingLimits { hard_deadline, .. } = limits;
        let connection = self.connection.clone();
        let reply = tokio::select! {
            biased;
            reply = reply => reply.ok(),
            () = disconnected(connection.as_deref()) => {
                // Dropping `self` notifies the core. A caller that has closed its sending side only reads this.
                return refusal_of_unknown_outcome(refusals, RefusalReason::CallerGone);
            }
            // The core ends only when no request is in progress, so it hasn't taken this one in.
            () = self.env.inbox.closed() => {
                self.end(RequestEnd::Refused("not_run"));
                return refusal_of_leaving_host(refusals);
            }
            () = tokio::time::sleep_until(hard_deadline) => None,
        };
        let Some(reply) = reply else {
            self.env.metrics.count_event("request_unanswered");
            error!(self.env.log, "request_unanswered"; "request" => %self.request);
            self.end(RequestEnd::Refused("unknown"));
            // For the core this is like a disconnect: the upstream's work has to stop.
            self.env.inbox.event(Event::CallerGone { request: self.request }).await;
            return refusal_of_unknown_outcome(refusals, RefusalReason::DeadlinePassedRunning);
        };
        self.env.metrics.answer_started(self.target, self.begun.elapsed());
        self.schedule_close(limits);
        self.forward(reply)
    }

    /// Schedules a shutdown of the connection, unless the caller reads its answer before.
    ///
    /// The server waits without limit for a caller that reads nothing. Such a
    /// caller would hold its connection and the request's memory forever.
    fn schedule_close(&mut self, limits: ReadingLimits) {
        let Some(connection) = self.connection.clone() else { return };
        let (env, request, label) = (self.env.clone(), self.request, self.label.clone());
        let buffer = self.buffer.clone();
        let task = tokio::spawn(async move {
            tokio::select! {
                () = buffer.until_drained() => return,
                () = answer_overdue(&buffer, limits.hard_deadline) => {}
                () = buffer.until_stalled(limits.stall) => log_stalled(&env, request, &label, &buffer),
            }
            connection.force_close();
        });
        self.watchdog = Some(task.abort_handle());
    }

    fn forward(mut self, reply: Reply) -> WebResponse {
        let body = match reply.body {
            ReplyBody::Complete { body, end } => {
                self.end(end);
                ResponseBody::bytes(body)
            }
            ReplyBody::Pieces { pieces, len } => ResponseBody::boxed(ForwardedBody::new(self, pieces, len)),
        };
        let mut res = WebResponse::new(body);
        *res.status_mut() = reply.status;
        *res.headers_mut() = reply.headers;
        res
    }

    fn end(&mut self, end: RequestEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        // While bytes wait for the caller, the watchdog stays.
        self.buffer.finish();
        if let Some(watchdog) = self.watchdog.take().filter(|_| self.buffer.len() == 0) {
            watchdog.abort();
        }
        let took = self.begun.elapsed();
        self.env.requests.remove(self.request);
        self.env.metrics.request_ended(self.target, end, took);
        let first = self.timing.first.map_or(took, |first| first - self.begun);
        if self.env.may_log("request_ended") {
            info!(self.env.log, "request_ended"; "target" => self.target,
                "longest_pause_ms" => self.timing.longest_pause.as_millis(), "first_ms" => first.as_millis(),
                "ms" => took.as_millis(), "end" => ?end, "request" => %self.request, "id" => &self.label);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(RequestEnd::CallerGone);
            self.env.inbox.event_later(Event::CallerGone { request: self.request });
        }
    }
}

/// Waits until an answer that isn't complete has to be aborted.
async fn answer_overdue(buffer: &AnswerBuffer, hard_deadline: Instant) {
    tokio::time::sleep_until(hard_deadline).await;
    if buffer.is_finished() {
        std::future::pending::<()>().await;
    }
}

fn log_stalled(env: &Env, request: RequestId, label: &str, buffer: &AnswerBuffer) {
    env.metrics.count_event("caller_stalled");
    if env.may_log("caller_stalled") {
        info!(env.log, "caller_stalled";
            "unread_bytes" => buffer.len(), "request" => %request, "id" => label);
    }
}

async fn disconnected(connection: Option<&Connection>) {
    match connection {
        Some(connection) => connection.disconnected().await,
        None => std::future::pending().await,
    }
}

/// Builds the refusal of a request that the core has not taken in, as this host shuts down.
pub(super) fn refusal_of_leaving_host(refusals: &dyn RefusalFormat) -> WebResponse {
    closing_refusal(
        refusals,
        &Refusal {
            outcome: RefusalOutcome::NotRun,
            reason: RefusalReason::Leaving,
            retry_after: Some(Duration::ZERO),
        },
    )
}

/// Builds the refusal of a request that may run or have run.
fn refusal_of_unknown_outcome(refusals: &dyn RefusalFormat, reason: RefusalReason) -> WebResponse {
    let retry_after = Some(Duration::from_secs(1));
    closing_refusal(refusals, &Refusal { outcome: RefusalOutcome::Unknown, reason, retry_after })
}

/// Builds a refusal after which the connection is closed.
fn closing_refusal(refusals: &dyn RefusalFormat, refusal: &Refusal) -> WebResponse {
    let formatted = refusals.whole(refusal);
    let mut res = WebResponse::new(ResponseBody::bytes(formatted.body));
    *res.status_mut() = formatted.status;
    *res.headers_mut() = formatted.headers;
    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    res
}

/// A response body that forwards the pieces of an answer.
struct ForwardedBody {
    guard: RequestGuard,
    pieces: mpsc::Receiver<Piece>,
    len: Option<u64>,
    disconnected: BoxFuture<'static, ()>,
    /// Whether the error event of an aborted stream was sent; the body ends after it.
    broken_off: bool,
}

impl ForwardedBody {
    fn new(guard: RequestGuard, pieces: mpsc::Receiver<Piece>, len: Option<u64>) -> Self {
        let connection = guard.connection.clone();
        let disconnected = async move { disconnected(connection.as_deref()).await }.boxed();
        Self { guard, pieces, len, disconnected, broken_off: false }
    }

    fn break_off(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if let Some(connection) = &self.guard.connection {
            connection.force_close();
        }
        Poll::Ready(Some(Err(BrokenOff)))
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.broken_off {
            return Poll::Ready(None);
        }
        if self.disconnected.poll_unpin(cx).is_ready() {
            return self.break_off();
        }
        match ready!(self.pieces.poll_recv(cx)) {
            Some(Piece::Data(data)) => {
                self.guard.timing.record_piece();
                Poll::Ready(Some(Ok(Frame::Data(data))))
            }
            Some(Piece::End) => {
                self.guard.end(RequestEnd::Answered);
                Poll::Ready(None)
            }
            Some(Piece::BrokenOff(Some(last))) => {
                self.guard.end(RequestEnd::BrokenOff);
                self.broken_off = true;
                Poll::Ready(Some(Ok(Frame::Data(last))))
            }
            Some(Piece::BrokenOff(None)) => {
                self.guard.end(RequestEnd::BrokenOff);
                self.break_off()
            }
            None => {
                // The sender ended without a final piece, so the answer is incomplete.
                self.guard.end(RequestEnd::BrokenOff);
                self.break_off()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.len.map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
