//! One try at an upstream, from the connection to the end of the answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use skylarkshore_core::Event;
use skylarkshore_core::event::AttemptEnd;
use skylarkshore_core::store::RecordedAnswer;
use skylarkshore_wire::engine::{NotRun, REQUEST_ID_HEADER};
use slog::{debug, warn};

use crate::http::{chain, connect, to_origin_form};
use crate::pending::{Closed, Head, PendingRequest};
use crate::upstreams::events::Splitter;
use crate::upstreams::{Dispatch, UpstreamSort, Upstreams, remove_hop_by_hop};

/// The largest body that says that nothing was run.
const MAX_NOT_RUN_LEN: usize = 1024;

/// How long the last chunk may follow the end marker of a stream.
const READ_OFF_TIMEOUT: Duration = Duration::from_millis(200);

/// One try.
pub(super) struct Attempt<'a> {
    upstreams: &'a Upstreams,
    dispatch: &'a Dispatch,
    pending: &'a PendingRequest,
}

/// Why the answer isn't whole.
enum Cut {
    /// The connection broke or the body was cut short.
    Broken,
    /// The answer can't be trusted or understood.
    Unusable,
    /// Nobody takes it any more.
    Closed,
}

/// Which request the answer says it belongs to.
///
/// An upstream that mixes up its connections would show one caller another's
/// answer. The id that it is sent differs for each try everywhere, and engines
/// have to echo it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    /// This one.
    Ours,
    /// Another one.
    Other,
    /// It doesn't say.
    Missing,
}

impl Echo {
    fn of(res: &Response<Incoming>, id: &HeaderValue) -> Self {
        match res.headers().get(REQUEST_ID_HEADER) {
            Some(echoed) if echoed == id => Self::Ours,
            Some(_) => Self::Other,
            None => Self::Missing,
        }
    }
}

impl From<Closed> for Cut {
    fn from(_: Closed) -> Self {
        Self::Closed
    }
}

impl<'a> Attempt<'a> {
    pub(super) const fn new(
        upstreams: &'a Upstreams,
        dispatch: &'a Dispatch,
        pending: &'a PendingRequest,
    ) -> Self {
        Self { upstreams, dispatch, pending }
    }

    pub(super) async fn run(&self) -> AttemptEnd {
        let delivered = self.pending.begin_attempt(self.dispatch.attempt);
        let id = self.upstreams.request_id(self.dispatch);
        let res = match self.exchange(&id, delivered).await {
            Ok(res) => res,
            Err(end) => return end,
        };
        let echo = Echo::of(&res, &id);
        if echo == Echo::Other || (echo == Echo::Missing && self.dispatch.sort == UpstreamSort::Engine) {
            self.upstreams.env.metrics.noted("answer_crossed");
            warn!(self.upstreams.env.log, "answer_crossed";
                "upstream" => %self.dispatch.upstream, "request" => %self.dispatch.request);
            return self.lost(&Cut::Unusable);
        }
        self.upstreams.env.inbox.event(Event::AnswerStarted { attempt: self.dispatch.attempt }).await;
        match self.take(res, echo).await {
            Ok(end) => end,
            Err(cut) => self.lost(&cut),
        }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// One that may not be repeated gets a connection of its own. On a reused
    /// one it could arrive just as the upstream closes it, and whether it was
    /// run couldn't be told.
    async fn exchange(&self, id: &HeaderValue, delivered: u64) -> Result<Response<Incoming>, AttemptEnd> {
        let mut req = self.upstreams.request(self.dispatch, self.pending, id, delivered);
        if !self.dispatch.hold {
            return self.upstreams.client.request(req).await.map_err(|err| {
                let reason = chain(&err);
                let cause = std::error::Error::source(&err).and_then(|err| err.downcast_ref());
                self.not_answered(&reason, err.is_connect(), cause)
            });
        }
        let mut sender = connect(self.dispatch.address)
            .await
            .map_err(|err| self.not_answered(&err.to_string(), true, None))?;
        to_origin_form(&mut req, &self.dispatch.address.to_string());
        sender.send_request(req).await.map_err(|err| self.not_answered(&chain(&err), false, Some(&err)))
    }

    fn not_answered(&self, reason: &str, is_connect: bool, cause: Option<&hyper::Error>) -> AttemptEnd {
        debug!(self.upstreams.env.log, "upstream_gave_no_answer";
            "upstream" => %self.dispatch.upstream, "request" => %self.dispatch.request, "reason" => reason);
        // A cancelled request never left this process's own queue.
        if is_connect || cause.is_some_and(hyper::Error::is_canceled) {
            return AttemptEnd::NotSent;
        }
        let garbled = cause.is_some_and(hyper::Error::is_parse);
        self.lost(if garbled { &Cut::Unusable } else { &Cut::Broken })
    }

    fn lost(&self, cut: &Cut) -> AttemptEnd {
        AttemptEnd::Lost { passed_on: self.pending.has_passed_on(), died: matches!(cut, Cut::Broken) }
    }

    async fn take(&self, res: Response<Incoming>, echo: Echo) -> Result<AttemptEnd, Cut> {
        let (parts, body) = res.into_parts();
        let says_not_run = matches!(parts.status, StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS);
        // A service that doesn't echo ids may mean something else by these answers.
        if echo == Echo::Ours && says_not_run {
            return self.take_not_run(parts.status, parts.headers, body).await;
        }
        // A plain service promises no end marker; its streams end with their last chunk.
        let events = self.dispatch.sort == UpstreamSort::Engine && is_event_stream(&parts.headers);
        // Without a length or chunks an answer that was cut short looks whole.
        let framed = body.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
        if !framed && !events {
            return Err(Cut::Unusable);
        }
        let head = head(parts.status, parts.headers, &body, events, &self.pending.outgoing.method);
        if self.dispatch.hold {
            return self.hold(head, body).await;
        }
        self.pending.pass_head(self.dispatch.attempt, head)?;
        if events {
            self.pass_events(body).await?;
        } else {
            self.pass_body(body).await?;
            self.pending.end(self.dispatch.attempt).await?;
        }
        Ok(AttemptEnd::Whole { held: None })
    }

    /// Reads a short answer that may say that nothing was run.
    async fn take_not_run(
        &self,
        status: StatusCode,
        headers: HeaderMap,
        body: Incoming,
    ) -> Result<AttemptEnd, Cut> {
        let limited = Limited::new(body, MAX_NOT_RUN_LEN);
        let body = limited.collect().await.map_err(|_cut| Cut::Broken)?.to_bytes();
        if let Ok(not_run) = serde_json::from_slice::<NotRun>(&body) {
            return Ok(AttemptEnd::Rejected(not_run.error.into()));
        }
        if self.dispatch.hold {
            return Ok(whole_held(status, &headers, &body));
        }
        let mut headers = headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(REQUEST_ID_HEADER);
        headers.remove(CONTENT_LENGTH);
        let len = u64::try_from(body.len()).ok();
        self.pending.pass_head(self.dispatch.attempt, Head { status, headers, len, events: false })?;
        self.pending.pass(self.dispatch.attempt, body, 0).await?;
        self.pending.end(self.dispatch.attempt).await?;
        Ok(AttemptEnd::Whole { held: None })
    }

    async fn pass_body(&self, mut body: Incoming) -> Result<(), Cut> {
        while let Some(data) = next_data(&mut body).await? {
            self.pending.pass(self.dispatch.attempt, data, 0).await?;
        }
        Ok(())
    }

    /// Passes whole events on up to the end marker; a stream without one was cut short.
    async fn pass_events(&self, mut body: Incoming) -> Result<(), Cut> {
        let mut splitter = Splitter::default();
        while let Some(data) = next_data(&mut body).await? {
            let Some(events) = splitter.push(&data).map_err(|_too_large| Cut::Unusable)? else { continue };
            self.pending.pass(self.dispatch.attempt, events.bytes, events.data).await?;
            if events.ends {
                self.pending.end(self.dispatch.attempt).await?;
                tokio::spawn(read_off(body));
                return Ok(());
            }
        }
        Err(Cut::Broken)
    }

    /// Holds the answer back to be recorded first; passes it on where it is too large for that.
    async fn hold(&self, head: Head, mut body: Incoming) -> Result<AttemptEnd, Cut> {
        let mut kept = BytesMut::new();
        while let Some(data) = next_data(&mut body).await? {
            kept.extend_from_slice(&data);
            if kept.len() > self.upstreams.hold_limit {
                return self.pass_too_large(head, kept.freeze(), body).await;
            }
        }
        if head.events && !ends_with_marker(&kept) {
            return Err(Cut::Broken);
        }
        Ok(whole_held(head.status, &head.headers, &kept))
    }

    /// Passes an answer on that is too large to be recorded.
    ///
    /// It is read to its end even when the caller has gone: the request has run,
    /// and whoever asks under its key has to hear that rather than `unknown`.
    async fn pass_too_large(&self, head: Head, kept: Bytes, mut body: Incoming) -> Result<AttemptEnd, Cut> {
        let attempt = self.dispatch.attempt;
        let events = head.events;
        let mut tail = tail_of(&kept);
        let mut taken = self.pending.pass_head(attempt, head);
        if taken.is_ok() {
            taken = self.pending.pass(attempt, kept, 0).await;
        }
        while let Some(data) = next_data(&mut body).await? {
            tail = tail_of(&[tail.as_ref(), data.as_ref()].concat());
            if taken.is_ok() {
                taken = self.pending.pass(attempt, data, 0).await;
            }
        }
        if events && !ends_with_marker(&tail) {
            return Err(Cut::Broken);
        }
        if taken.is_ok() {
            // A caller that goes away now has missed nothing but the end.
            _ = self.pending.end(attempt).await;
        }
        Ok(AttemptEnd::WholeTooLarge)
    }
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, Cut> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| if err.is_parse() { Cut::Unusable } else { Cut::Broken })?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads what follows the end marker, so that the connection can be used again.
async fn read_off(mut body: Incoming) {
    let rest = async { while let Ok(Some(_)) = next_data(&mut body).await {} };
    // An upstream that doesn't end its answer loses the connection.
    _ = tokio::time::timeout(READ_OFF_TIMEOUT, rest).await;
}

fn head(status: StatusCode, mut headers: HeaderMap, body: &Incoming, events: bool, method: &Method) -> Head {
    remove_hop_by_hop(&mut headers);
    headers.remove(REQUEST_ID_HEADER);
    // The answer to HEAD tells the length of a body that doesn't follow.
    if method != Method::HEAD {
        headers.remove(CONTENT_LENGTH);
    }
    // A stream that is resumed gets longer than the first upstream has said.
    let len = body.size_hint().exact().filter(|_| !events);
    Head { status, headers, len, events }
}

fn whole_held(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> AttemptEnd {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let answer = RecordedAnswer {
        status: status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: body.to_vec(),
    };
    AttemptEnd::Whole { held: Some(answer) }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    content_type.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case("text/event-stream")
}

/// Longer than the end marker with its field name and blank lines.
const TAIL_LEN: usize = 64;

fn tail_of(bytes: &[u8]) -> Bytes {
    Bytes::copy_from_slice(&bytes[bytes.len().saturating_sub(TAIL_LEN)..])
}

fn ends_with_marker(bytes: &[u8]) -> bool {
    let mut lines = bytes.trim_ascii_end().rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let last = lines.next().and_then(|line| line.strip_prefix(b"data:"));
    last.is_some_and(|data| data.trim_ascii() == skylarkshore_wire::engine::STREAM_END.as_bytes())
}

/// Returns a short word for how a try ended.
pub(super) const fn word(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Whole { .. } => "whole",
        AttemptEnd::WholeTooLarge => "whole_too_large",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Rejected(_) => "rejected",
        AttemptEnd::Lost { died: true, .. } => "upstream_died",
        AttemptEnd::Lost { died: false, .. } => "lost",
    }
}
