//! One try at an upstream, from the connection to the end of the answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use skylarkshore_core::Event;
use skylarkshore_core::event::{AttemptOutcome, Rejection};
use skylarkshore_core::store::RecordedAnswer;
use slog::{debug, warn};

use crate::pending::{Closed, Delivered, Head, PendingRequest};
use crate::pool::{Connection, reason};
use crate::upstreams::events::Splitter;
use crate::upstreams::{Call, Dispatch, StreamEnd, Upstreams, Verdict, remove_hop_by_hop};

/// The largest body that says that nothing was run.
const MAX_NOT_RUN_LEN: usize = 1024;
/// The largest answer that is read whole before any of it is passed on.
///
/// One that is cut short can then be asked for again, and the caller never sees
/// the half of it.
const WHOLE_LIMIT: usize = 64 * 1024;
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

impl From<Closed> for Cut {
    fn from(_: Closed) -> Self {
        Self::Closed
    }
}

/// An answer whose head has come.
struct Begun {
    head: Head,
    body: Incoming,
    connection: Connection,
    keep_for: Option<Duration>,
    is_failure: bool,
}

impl<'a> Attempt<'a> {
    pub(super) const fn new(
        upstreams: &'a Upstreams,
        dispatch: &'a Dispatch,
        pending: &'a PendingRequest,
    ) -> Self {
        Self { upstreams, dispatch, pending }
    }

    pub(super) async fn run(&self) -> AttemptOutcome {
        let delivered = self.pending.begin_attempt(self.dispatch.attempt);
        let call = self.upstreams.call(self.dispatch, self.pending, &delivered);
        let (res, connection) = match self.exchange(&call).await {
            Ok(answered) => answered,
            Err(end) => return end,
        };
        if let Some(load) = self.upstreams.protocol.read_load(res.headers()) {
            let upstream = self.dispatch.upstream.id.clone();
            self.upstreams.env.inbox.event_later(Event::LoadReported { upstream, load });
        }
        match self.take(&call, res, connection).await {
            Ok(end) => end,
            Err(cut) => self.lost(&cut),
        }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// One that may not be repeated gets a connection of its own. On a reused
    /// one it could arrive just as the upstream closes it, and whether it was
    /// run couldn't be told.
    async fn exchange(&self, call: &Call<'_>) -> Result<(Response<Incoming>, Connection), AttemptOutcome> {
        let address = self.dispatch.upstream.address;
        let connection = if self.dispatch.once {
            Connection::open(address).await
        } else {
            self.upstreams.pool.get(address).await
        };
        let mut connection = connection.map_err(|err| self.not_answered(&err.to_string(), None))?;
        let req = self.upstreams.request(call);
        let res = connection.send(req).await.map_err(|err| self.not_answered(&reason(&err), Some(&err)))?;
        Ok((res, connection))
    }

    fn not_answered(&self, reason: &str, cause: Option<&hyper::Error>) -> AttemptOutcome {
        debug!(self.upstreams.env.log, "upstream_gave_no_answer";
            "upstream" => %self.dispatch.upstream.id, "request" => %self.dispatch.request, "reason" => reason);
        // A cancelled request never left this process's own queue.
        let Some(cause) = cause.filter(|cause| !cause.is_canceled()) else { return AttemptOutcome::NotSent };
        self.lost(if cause.is_parse() { &Cut::Unusable } else { &Cut::Broken })
    }

    fn lost(&self, cut: &Cut) -> AttemptOutcome {
        AttemptOutcome::Lost { passed_on: self.pending.has_passed_on(), died: matches!(cut, Cut::Broken) }
    }

    async fn take(
        &self,
        call: &Call<'_>,
        res: Response<Incoming>,
        connection: Connection,
    ) -> Result<AttemptOutcome, Cut> {
        let protocol = &self.upstreams.protocol;
        let verdict = protocol.read_head(call, res.status(), res.headers());
        let keep_for = keep_for(res.headers());
        let (parts, body) = res.into_parts();
        match verdict {
            Verdict::Foreign => {
                self.upstreams.env.metrics.noted("answer_crossed");
                warn!(self.upstreams.env.log, "answer_crossed";
                    "upstream" => %self.dispatch.upstream.id, "request" => %self.dispatch.request);
                return Err(Cut::Unusable);
            }
            Verdict::NotRun(rejection) => {
                return Ok(self.take_rejection(rejection, body, connection, keep_for).await);
            }
            Verdict::PerhapsNotRun => {
                return self.take_perhaps_not_run(parts.status, parts.headers, body).await;
            }
            Verdict::Answer | Verdict::Failure => {}
        }
        let is_stream = is_event_stream(&parts.headers);
        let has_marker = protocol.stream_end(&self.dispatch.upstream) == StreamEnd::Marker;
        let events = is_stream && (has_marker || protocol.takes_unframed());
        let framed = body.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
        if !framed && !events && !protocol.takes_unframed() {
            return Err(Cut::Unusable);
        }
        let head = self.head(parts.status, parts.headers, &body, events);
        let is_failure = verdict == Verdict::Failure;
        let begun = Begun { head, body, connection, keep_for, is_failure };
        if self.dispatch.hold {
            return self.hold(begun.head, begun.body).await;
        }
        if events {
            return self.pass_events(begun).await;
        }
        self.pass_body(begun).await
    }

    fn head(&self, status: StatusCode, mut headers: HeaderMap, body: &Incoming, events: bool) -> Head {
        remove_hop_by_hop(&mut headers);
        self.upstreams.protocol.clean_answer(&mut headers);
        // The answer to HEAD tells the length of a body that doesn't follow.
        if self.pending.outgoing.method != Method::HEAD {
            headers.remove(CONTENT_LENGTH);
        }
        // A stream that is resumed gets longer than the first upstream has said.
        let len = body.size_hint().exact().filter(|_| !events);
        Head { status, headers, len, events }
    }

    /// Reads what is left of an answer that says that nothing was run, so that its connection can be used again.
    async fn take_rejection(
        &self,
        rejection: Rejection,
        body: Incoming,
        connection: Connection,
        keep_for: Option<Duration>,
    ) -> AttemptOutcome {
        let rest = Limited::new(body, MAX_NOT_RUN_LEN).collect();
        if let Ok(Ok(_rest)) = tokio::time::timeout(READ_OFF_TIMEOUT, rest).await {
            self.keep(connection, keep_for);
        }
        AttemptOutcome::Rejected(rejection)
    }

    /// Reads a short answer that may say that nothing was run.
    async fn take_perhaps_not_run(
        &self,
        status: StatusCode,
        headers: HeaderMap,
        body: Incoming,
    ) -> Result<AttemptOutcome, Cut> {
        let limited = Limited::new(body, MAX_NOT_RUN_LEN);
        let body = limited.collect().await.map_err(|_cut| Cut::Broken)?.to_bytes();
        if let Some(rejection) = self.upstreams.protocol.read_not_run(&body) {
            return Ok(AttemptOutcome::Rejected(rejection));
        }
        if self.dispatch.hold {
            return Ok(whole_held(status, &headers, &body));
        }
        let mut headers = headers;
        remove_hop_by_hop(&mut headers);
        self.upstreams.protocol.clean_answer(&mut headers);
        headers.remove(CONTENT_LENGTH);
        self.pending.pass_whole(self.dispatch.attempt, status, headers, body)?;
        Ok(AttemptOutcome::Completed { held: None })
    }

    /// Passes an answer on, as a whole where it is short enough.
    async fn pass_body(&self, mut begun: Begun) -> Result<AttemptOutcome, Cut> {
        let mut read = BytesMut::new();
        while let Some(data) = next_data(&mut begun.body).await? {
            read.extend_from_slice(&data);
            if read.len() > WHOLE_LIMIT {
                return self.pass_long_body(begun, read.freeze()).await;
            }
        }
        let attempt = self.dispatch.attempt;
        let Begun { head, connection, keep_for, is_failure, .. } = begun;
        self.keep(connection, keep_for);
        if is_failure && self.dispatch.keep_failure {
            self.pending.keep(attempt, head.status, head.headers, read.freeze());
            return Ok(AttemptOutcome::CompletedWithFailure);
        }
        self.pending.pass_whole(attempt, head.status, head.headers, read.freeze())?;
        Ok(AttemptOutcome::Completed { held: None })
    }

    async fn pass_long_body(&self, begun: Begun, read: Bytes) -> Result<AttemptOutcome, Cut> {
        let attempt = self.dispatch.attempt;
        let Begun { head, mut body, connection, keep_for, .. } = begun;
        self.begin_to_pass(head).await?;
        self.pending.pass(attempt, read, Delivered::default()).await?;
        while let Some(data) = next_data(&mut body).await? {
            self.pending.pass(attempt, data, Delivered::default()).await?;
        }
        self.pending.end(attempt).await?;
        self.keep(connection, keep_for);
        Ok(AttemptOutcome::Completed { held: None })
    }

    /// Passes whole events on, from the first one, up to the end of the stream.
    async fn pass_events(&self, begun: Begun) -> Result<AttemptOutcome, Cut> {
        let Begun { head, mut body, connection, keep_for, .. } = begun;
        let ends_with_marker =
            self.upstreams.protocol.stream_end(&self.dispatch.upstream) == StreamEnd::Marker;
        let attempt = self.dispatch.attempt;
        let mut splitter = Splitter::default();
        let mut head = Some(head);
        while let Some(data) = next_data(&mut body).await? {
            let Some(events) = splitter.push(&data).map_err(|_too_large| Cut::Unusable)? else { continue };
            if let Some(head) = head.take() {
                self.begin_to_pass(head).await?;
            }
            self.pending.pass(attempt, events.bytes, events.delivered).await?;
            if events.ends && ends_with_marker {
                self.pending.end(attempt).await?;
                tokio::spawn(read_off(body, connection));
                return Ok(AttemptOutcome::Completed { held: None });
            }
        }
        if ends_with_marker || splitter.is_within_event() {
            return Err(Cut::Broken);
        }
        if let Some(head) = head.take() {
            self.begin_to_pass(head).await?;
        }
        self.pending.end(attempt).await?;
        self.keep(connection, keep_for);
        Ok(AttemptOutcome::Completed { held: None })
    }

    async fn begin_to_pass(&self, head: Head) -> Result<(), Cut> {
        self.upstreams.env.inbox.event(Event::AnswerStarted { attempt: self.dispatch.attempt }).await;
        self.pending.pass_head(self.dispatch.attempt, head)?;
        Ok(())
    }

    /// Keeps a connection whose answer was whole and clean.
    fn keep(&self, connection: Connection, keep_for: Option<Duration>) {
        if self.dispatch.once {
            return;
        }
        let pool = std::sync::Arc::clone(&self.upstreams.pool);
        tokio::spawn(async move { pool.put_back(connection, keep_for).await });
    }

    /// Holds the answer back to be recorded first; passes it on where it is too large for that.
    async fn hold(&self, head: Head, mut body: Incoming) -> Result<AttemptOutcome, Cut> {
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
    async fn pass_too_large(
        &self,
        head: Head,
        kept: Bytes,
        mut body: Incoming,
    ) -> Result<AttemptOutcome, Cut> {
        let attempt = self.dispatch.attempt;
        let events = head.events;
        let mut tail = tail_of(&kept);
        self.upstreams.env.inbox.event(Event::AnswerStarted { attempt }).await;
        let mut taken = self.pending.pass_head(attempt, head);
        if taken.is_ok() {
            taken = self.pending.pass(attempt, kept, Delivered::default()).await;
        }
        while let Some(data) = next_data(&mut body).await? {
            tail = tail_of(&[tail.as_ref(), data.as_ref()].concat());
            if taken.is_ok() {
                taken = self.pending.pass(attempt, data, Delivered::default()).await;
            }
        }
        if events && !ends_with_marker(&tail) {
            return Err(Cut::Broken);
        }
        if taken.is_ok() {
            // A caller that goes away now has missed nothing but the end.
            _ = self.pending.end(attempt).await;
        }
        Ok(AttemptOutcome::CompletedTooLarge)
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

/// Reads what follows the end marker, so that the upstream sees its answer taken to the end.
async fn read_off(mut body: Incoming, connection: Connection) {
    let rest = async { while let Ok(Some(_)) = next_data(&mut body).await {} };
    // An upstream that doesn't end its answer loses the connection.
    _ = tokio::time::timeout(READ_OFF_TIMEOUT, rest).await;
    drop(connection);
}

/// Returns how long the upstream says that it keeps an idle connection, less what a request needs to arrive.
fn keep_for(headers: &HeaderMap) -> Option<Duration> {
    const ON_THE_WAY: Duration = Duration::from_millis(500);

    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let secs = timeout.trim().parse::<u64>().ok()?;
    Some(Duration::from_secs(secs).saturating_sub(ON_THE_WAY))
}

fn whole_held(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> AttemptOutcome {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let answer = RecordedAnswer {
        status: status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: body.to_vec(),
    };
    AttemptOutcome::Completed { held: Some(answer) }
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
