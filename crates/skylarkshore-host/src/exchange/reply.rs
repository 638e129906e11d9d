//! Passes an answer on to the caller as it comes.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use skylarkshore_core::Event;
use skylarkshore_core::effect::{Refusal, RefusalOutcome, RefusalReason};
use skylarkshore_core::id::RequestId;
use slog::{error, info};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use xitca_web::body::{Body, Frame, ResponseBody, SizeHint};
use xitca_web::http::WebResponse;

use crate::env::Env;
use crate::exchange::connections::Watched;
use crate::metrics::RequestEnd;
use crate::pending::{Piece, RefusalFormat, Reply, ReplyBody};

/// A request that the core knows of.
///
/// When it is dropped before its end, the caller is gone: the core is told, so
/// that the upstream's work stops.
pub(super) struct RequestGuard {
    env: Env,
    request: RequestId,
    target: &'static str,
    begun: Instant,
    watched: Option<Watched>,
    /// The caller's name for the request.
    label: String,
    pace: Pace,
    /// Breaks the connection of a caller that doesn't read its answer.
    watchdog: Option<AbortHandle>,
    ended: bool,
}

/// How an answer went out.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_pause: Duration,
}

impl Pace {
    fn piece(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        let pause = self.last.replace(now).map_or(Duration::ZERO, |last| now - last);
        self.longest_pause = self.longest_pause.max(pause);
    }
}

/// The answer isn't whole; makes the server close the connection uncleanly.
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
        watched: Option<Watched>,
    ) -> Self {
        env.metrics.request_begun();
        if let Some(watched) = &watched {
            watched.set_busy(true);
        }
        Self {
            env,
            request,
            target,
            begun,
            watched,
            label,
            pace: Pace::default(),
            watchdog: None,
            ended: false,
        }
    }

    /// Waits for the head of the answer, and makes the response of it.
    pub(super) async fn respond(
        mut self,
        reply: oneshot::Receiver<Reply>,
        overdue: Instant,
        refusals: &dyn RefusalFormat,
    ) -> WebResponse {
        let mut watched = self.watched.clone();
        let reply = tokio::select! {
            reply = reply => reply.ok(),
            () = gone(watched.as_mut()) => {
                // Nobody reads this; dropping the request tells the core.
                return WebResponse::new(ResponseBody::empty());
            }
            () = tokio::time::sleep_until(overdue) => None,
        };
        let Some(reply) = reply else {
            self.env.metrics.noted("request_unanswered");
            error!(self.env.log, "request_unanswered"; "request" => %self.request);
            self.end(RequestEnd::Refused("unknown"));
            self.env.inbox.event(Event::CallerGone { request: self.request }).await;
            return unanswered(refusals);
        };
        self.env.metrics.request_answering(self.target, self.begun.elapsed());
        self.watch_over(overdue);
        self.pass_on(reply)
    }

    /// Breaks the connection at a time, unless the answer has ended by then.
    ///
    /// The server waits without limit for a caller that takes no bytes. Such a
    /// caller would hold its connection and the request's memory for ever.
    fn watch_over(&mut self, overdue: Instant) {
        let Some(watched) = self.watched.clone() else { return };
        let task = tokio::spawn(async move {
            tokio::time::sleep_until(overdue).await;
            watched.cut();
        });
        self.watchdog = Some(task.abort_handle());
    }

    fn pass_on(mut self, reply: Reply) -> WebResponse {
        let body = match reply.body {
            ReplyBody::Whole { body, end } => {
                self.end(end);
                ResponseBody::bytes(body)
            }
            ReplyBody::Pieces { pieces, len } => ResponseBody::boxed(PassedOn::new(self, pieces, len)),
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
        if let Some(watchdog) = self.watchdog.take() {
            watchdog.abort();
        }
        if let Some(watched) = &self.watched {
            watched.set_busy(false);
        }
        let took = self.begun.elapsed();
        self.env.requests.remove(self.request);
        self.env.metrics.request_ended(self.target, end, took);
        let first = self.pace.first.map_or(took, |first| first - self.begun);
        if self.env.may_log("request_ended") {
            info!(self.env.log, "request_ended"; "target" => self.target,
                "longest_pause_ms" => self.pace.longest_pause.as_millis(), "first_ms" => first.as_millis(),
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

async fn gone(watched: Option<&mut Watched>) {
    match watched {
        Some(watched) => watched.gone().await,
        None => std::future::pending().await,
    }
}

/// Tells a caller that the core gave no answer, whose outcome is therefore unknown.
fn unanswered(refusals: &dyn RefusalFormat) -> WebResponse {
    let refusal = Refusal {
        outcome: RefusalOutcome::Unknown,
        reason: RefusalReason::DeadlinePassedRunning,
        retry_after: Some(Duration::from_secs(1)),
    };
    let told = refusals.whole(&refusal);
    let mut res = WebResponse::new(ResponseBody::bytes(told.body));
    *res.status_mut() = told.status;
    *res.headers_mut() = told.headers;
    res
}

/// The body of an answer that is passed on.
struct PassedOn {
    guard: RequestGuard,
    pieces: mpsc::Receiver<Piece>,
    len: Option<u64>,
    gone: BoxFuture<'static, ()>,
    broken_off: bool,
}

impl PassedOn {
    fn new(guard: RequestGuard, pieces: mpsc::Receiver<Piece>, len: Option<u64>) -> Self {
        let mut watched = guard.watched.clone();
        let gone = async move { gone(watched.as_mut()).await }.boxed();
        Self { guard, pieces, len, gone, broken_off: false }
    }

    fn break_off(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if let Some(watched) = &self.guard.watched {
            watched.cut();
        }
        Poll::Ready(Some(Err(BrokenOff)))
    }
}

impl Body for PassedOn {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.broken_off {
            return Poll::Ready(None);
        }
        if self.gone.poll_unpin(cx).is_ready() {
            return self.break_off();
        }
        match ready!(self.pieces.poll_recv(cx)) {
            Some(Piece::Data(data)) => {
                self.guard.pace.piece();
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
                // The sender ended without a last piece: a short answer isn't passed off as whole.
                self.guard.end(RequestEnd::BrokenOff);
                self.break_off()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.len.map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
