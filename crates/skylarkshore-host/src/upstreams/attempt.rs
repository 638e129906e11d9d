//! One attempt at an upstream, from the connection to the end of the answer. Start with [`Attempt::run`].

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

use crate::http::is_final_status;
use crate::pending::{Delivered, Head, NotForwarded, PendingRequest};
use crate::pool::{Connection, reason};
use crate::upstream_path::{PathError, UpstreamPath};
use crate::upstreams::events::Splitter;
use crate::upstreams::{Call, Dispatch, StreamEnd, Upstreams, Verdict, remove_hop_by_hop};

/// The largest body of a rejection, in bytes.
const MAX_REJECTION_LEN: usize = 1024;
/// The largest answer that is read completely before it is forwarded, in bytes.
///
/// If such an answer is cut short, the request can be retried, since the caller
/// has received none of it.
const MAX_BUFFERED_ANSWER_LEN: usize = 64 * 1024;
/// The part of an answer that is read completely even if unread answers leave no room, in bytes.
const MIN_BUFFERED_ANSWER_LEN: usize = 8 * 1024;
/// How long the rest of a body may take after a stream's end marker or a rejection's head.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// An attempt in progress: its options (`dispatch`) and the request that it is for (`pending`).
pub(super) struct Attempt<'a> {
    upstreams: &'a Upstreams,
    dispatch: &'a Dispatch,
    pending: &'a PendingRequest,
}

/// Why an attempt yields no usable answer.
enum AnswerError {
    /// The connection broke, before the head or within the body, or an event stream lacks its end.
    Interrupted,
    /// The answer belongs to another request or is malformed.
    Unusable,
    /// The answer can't be forwarded.
    NotForwarded,
}

impl From<NotForwarded> for AnswerError {
    fn from(_: NotForwarded) -> Self {
        Self::NotForwarded
    }
}

/// An answer whose head has arrived.
struct StartedAnswer {
    head: Head,
    body: Incoming,
    connection: Connection,
    idle_timeout: Option<Duration>,
    is_failure: bool,
    /// Whether it has a length or chunks.
    is_framed: bool,
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
        let call = self.upstreams.prepare_call(self.dispatch, self.pending, &delivered);
        let (res, connection) = match self.send_request(&call).await {
            Ok(answered) => answered,
            Err(outcome) => return outcome,
        };
        match self.handle_response(&call, res, connection).await {
            Ok(outcome) => outcome,
            Err(error) => self.lost_outcome(&error),
        }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// An at-most-once request gets a new connection. A reused one could be
    /// closed by the upstream just as the request arrives, which would leave it
    /// unknown whether the request ran.
    async fn send_request(
        &self,
        call: &Call<'_>,
    ) -> Result<(Response<Incoming>, Connection), AttemptOutcome> {
        let mut connection = self.connect().await.map_err(|err| match err {
            PathError::Unreachable(err) => self.no_answer_outcome(&err.to_string(), None),
            PathError::NoPath { .. } => AttemptOutcome::NoPath,
        })?;
        let req = self.upstreams.build_request(call);
        let res =
            connection.send(req).await.map_err(|err| self.no_answer_outcome(&reason(&err), Some(&err)))?;
        Ok((res, connection))
    }

    async fn connect(&self) -> Result<Connection, PathError> {
        let upstream = &self.dispatch.upstream;
        let path = UpstreamPath::new(self.upstreams.peers.clone(), self.dispatch.via.clone());
        if self.dispatch.once || !path.is_direct() {
            return path.open(upstream).await;
        }
        Ok(self.upstreams.pool.get(upstream.address).await?)
    }

    fn no_answer_outcome(&self, reason: &str, cause: Option<&hyper::Error>) -> AttemptOutcome {
        debug!(self.upstreams.env.log, "upstream_gave_no_answer";
            "upstream" => %self.dispatch.upstream.id, "request" => %self.dispatch.request, "reason" => reason);
        // A request that hyper cancelled was never written to the connection.
        let Some(cause) = cause.filter(|cause| !cause.is_canceled()) else { return AttemptOutcome::NotSent };
        if cause.is_parse_too_large() {
            self.log_too_long("head");
        }
        self.lost_outcome(if cause.is_parse() { &AnswerError::Unusable } else { &AnswerError::Interrupted })
    }

    /// Builds the outcome of an attempt whose request may have run.
    ///
    /// `passed_on` means that the caller already has a part of the answer, `died` that the answer was
    /// interrupted, so the upstream may have crashed. One that had to wait for a slow caller may have cut
    /// off the answer for that.
    fn lost_outcome(&self, error: &AnswerError) -> AttemptOutcome {
        AttemptOutcome::Lost {
            passed_on: self.pending.has_forwarded(),
            died: matches!(error, AnswerError::Interrupted) && !self.pending.buffer.is_held_up(),
        }
    }

    /// Logs that the head or an event of an answer exceeds its limit.
    fn log_too_long(&self, what: &'static str) {
        self.upstreams.env.metrics.count_event("answer_too_long");
        warn!(self.upstreams.env.log, "answer_too_long";
            "what" => what, "upstream" => %self.dispatch.upstream.id, "request" => %self.dispatch.request);
    }

    async fn handle_response(
        &self,
        call: &Call<'_>,
        res: Response<Incoming>,
        connection: Connection,
    ) -> Result<AttemptOutcome, AnswerError> {
        if !is_final_status(res.status()) {
            return Err(self.status_invalid(res.status()));
        }
        let protocol = &self.upstreams.protocol;
        let verdict = protocol.read_head(call, res.status(), res.headers());
        // Another upstream that answers at the address says nothing of this one.
        if !matches!(verdict, Verdict::Foreign | Verdict::NotRun(Rejection::Replaced)) {
            self.report_notice(res.status(), res.headers()).await;
        }
        let idle_timeout = idle_timeout(res.headers());
        let (parts, body) = res.into_parts();
        match verdict {
            // E.g. the upstream has mixed up two connections.
            Verdict::Foreign => {
                self.upstreams.env.metrics.count_event("answer_crossed");
                warn!(self.upstreams.env.log, "answer_crossed";
                    "upstream" => %self.dispatch.upstream.id, "request" => %self.dispatch.request);
                return Err(AnswerError::Unusable);
            }
            Verdict::NotRun(rejection) => {
                return Ok(self.drain_rejection(rejection, body, connection, idle_timeout).await);
            }
            Verdict::PerhapsNotRun => {
                return self.read_possible_rejection(parts.status, parts.headers, body).await;
            }
            Verdict::Answer | Verdict::Failure => {}
        }
        let is_stream = has_event_stream_type(&parts.headers);
        let requires_end_marker = protocol.stream_end(&self.dispatch.upstream) == StreamEnd::Marker;
        // Any other stream is forwarded like a plain body.
        let is_event_stream = is_stream && (requires_end_marker || protocol.takes_unframed());
        // An unframed body ends with its connection; only an end marker shows that it is complete.
        let is_framed = body.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
        if !is_framed && !is_event_stream && !protocol.takes_unframed() {
            return Err(AnswerError::Unusable);
        }
        let head = self.head(parts.status, parts.headers, &body, is_event_stream);
        let is_failure = verdict == Verdict::Failure;
        let started = StartedAnswer { head, body, connection, idle_timeout, is_failure, is_framed };
        if self.dispatch.hold {
            return self.read_for_recording(started.head, started.body).await;
        }
        if is_event_stream {
            return self.forward_events(started).await;
        }
        self.forward_body(started).await
    }

    /// Logs an answer with a status that no upstream may give; the request may have run.
    fn status_invalid(&self, status: StatusCode) -> AnswerError {
        self.upstreams.env.metrics.count_event("answer_status_invalid");
        warn!(self.upstreams.env.log, "answer_status_invalid"; "status" => status.as_u16(),
            "upstream" => %self.dispatch.upstream.id, "request" => %self.dispatch.request);
        AnswerError::Unusable
    }

    /// Tells the core what the upstream says of itself, before it learns how the attempt ends.
    async fn report_notice(&self, status: StatusCode, headers: &HeaderMap) {
        let Upstreams { protocol, env, .. } = self.upstreams;
        let listed = &self.dispatch.upstream;
        let notice = protocol.read_notice(status, headers);
        let (upstream, incarnation) = (listed.id.clone(), listed.incarnation);
        let via = self.dispatch.via.clone();
        env.inbox.event(Event::UpstreamNoticed { upstream, incarnation, via, notice }).await;
    }

    fn head(
        &self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: &Incoming,
        is_event_stream: bool,
    ) -> Head {
        remove_hop_by_hop(&mut headers);
        self.upstreams.protocol.clean_answer(&mut headers);
        // The answer to HEAD states the length of a body that isn't sent.
        if self.pending.outgoing.method != Method::HEAD {
            headers.remove(CONTENT_LENGTH);
        }
        // A resumed stream can exceed the length that the first upstream announced.
        let len = body.size_hint().exact().filter(|_| !is_event_stream);
        Head { status, headers, len, is_event_stream }
    }

    /// Drains a rejection's body, so that its connection can be reused.
    async fn drain_rejection(
        &self,
        rejection: Rejection,
        body: Incoming,
        connection: Connection,
        idle_timeout: Option<Duration>,
    ) -> AttemptOutcome {
        let rest = Limited::new(body, MAX_REJECTION_LEN).collect();
        if let Ok(Ok(_rest)) = tokio::time::timeout(DRAIN_TIMEOUT, rest).await {
            self.return_to_pool(connection, idle_timeout);
        }
        AttemptOutcome::Rejected(rejection)
    }

    /// Reads a short answer that may be a rejection, and forwards it if it is none.
    ///
    /// Its connection is not reused.
    async fn read_possible_rejection(
        &self,
        status: StatusCode,
        headers: HeaderMap,
        body: Incoming,
    ) -> Result<AttemptOutcome, AnswerError> {
        let limited = Limited::new(body, MAX_REJECTION_LEN);
        let body = limited.collect().await.map_err(|_error| AnswerError::Interrupted)?.to_bytes();
        if let Some(rejection) = self.upstreams.protocol.read_not_run(&body) {
            return Ok(AttemptOutcome::Rejected(rejection));
        }
        if self.dispatch.hold {
            return Ok(completed_for_recording(status, &headers, &body));
        }
        let mut headers = headers;
        remove_hop_by_hop(&mut headers);
        self.upstreams.protocol.clean_answer(&mut headers);
        headers.remove(CONTENT_LENGTH);
        self.pending.forward_complete(self.dispatch.attempt, status, headers, body)?;
        Ok(completed(true, !status.is_success()))
    }

    /// Forwards an answer, in one piece if it fits [`MAX_BUFFERED_ANSWER_LEN`].
    ///
    /// Only a failure that fits is stored for a later attempt to replace; a longer one and an event
    /// stream are forwarded like any answer.
    async fn forward_body(&self, mut started: StartedAnswer) -> Result<AttemptOutcome, AnswerError> {
        let mut read = Vec::new();
        let mut held = self.pending.buffer.budget().hold(0);
        while let Some(data) = next_data(&mut started.body).await? {
            held.resize(held.len() + data.len());
            read.push(data);
            let is_short_of_memory = held.len() > MIN_BUFFERED_ANSWER_LEN && held.is_budget_full();
            if held.len() > MAX_BUFFERED_ANSWER_LEN || is_short_of_memory {
                drop(held);
                return self.forward_long_body(started, read).await;
            }
        }
        drop(held);
        let read = concat(read);
        let attempt = self.dispatch.attempt;
        let StartedAnswer { head, connection, idle_timeout, is_failure, is_framed, .. } = started;
        self.return_to_pool(connection, idle_timeout);
        if is_failure && self.dispatch.keep_failure {
            self.pending.store_failure(attempt, head.status, head.headers, read);
            return Ok(AttemptOutcome::CompletedWithFailure);
        }
        self.pending.forward_complete(attempt, head.status, head.headers, read)?;
        Ok(completed(is_framed, is_failure))
    }

    async fn forward_long_body(
        &self,
        started: StartedAnswer,
        read: Vec<Bytes>,
    ) -> Result<AttemptOutcome, AnswerError> {
        let attempt = self.dispatch.attempt;
        let StartedAnswer { head, mut body, connection, idle_timeout, is_failure, is_framed } = started;
        self.start_forwarding(head).await?;
        for data in read {
            self.pending.forward(attempt, data, Delivered::default()).await?;
        }
        self.pending.until_room(attempt).await?;
        while let Some(data) = next_data(&mut body).await? {
            self.pending.forward(attempt, data, Delivered::default()).await?;
            self.pending.until_room(attempt).await?;
        }
        self.pending.forward_end(attempt).await?;
        self.return_to_pool(connection, idle_timeout);
        Ok(completed(is_framed, is_failure))
    }

    /// Forwards complete events up to the end of the stream.
    ///
    /// The head is withheld until the first event is complete or an empty stream has ended.
    async fn forward_events(&self, started: StartedAnswer) -> Result<AttemptOutcome, AnswerError> {
        let StartedAnswer { head, mut body, connection, idle_timeout, is_failure, is_framed } = started;
        let requires_end_marker =
            self.upstreams.protocol.stream_end(&self.dispatch.upstream) == StreamEnd::Marker;
        let attempt = self.dispatch.attempt;
        let mut splitter = Splitter::default();
        let mut unfinished = self.pending.buffer.budget().hold(0);
        let mut head = Some(head);
        while let Some(data) = next_data(&mut body).await? {
            let pushed = splitter.push(&data).map_err(|_err| {
                self.log_too_long("event");
                AnswerError::Unusable
            })?;
            unfinished.resize(splitter.len());
            let Some(batch) = pushed else { continue };
            if let Some(head) = head.take() {
                self.start_forwarding(head).await?;
            }
            self.pending.forward(attempt, batch.bytes, batch.delivered).await?;
            self.pending.until_room(attempt).await?;
            if batch.has_end_marker && requires_end_marker {
                self.pending.forward_end(attempt).await?;
                tokio::spawn(drain(body, connection));
                return Ok(AttemptOutcome::Completed { held: None });
            }
        }
        if requires_end_marker || splitter.is_within_event() {
            return Err(AnswerError::Interrupted);
        }
        if let Some(head) = head.take() {
            self.start_forwarding(head).await?;
        }
        self.pending.forward_end(attempt).await?;
        self.return_to_pool(connection, idle_timeout);
        Ok(completed(is_framed, is_failure))
    }

    async fn start_forwarding(&self, head: Head) -> Result<(), AnswerError> {
        self.upstreams.env.inbox.event(Event::AnswerStarted { attempt: self.dispatch.attempt }).await;
        if self.dispatch.withhold && head.is_event_stream {
            self.pending.released(self.dispatch.attempt).await;
        }
        self.pending.forward_head(self.dispatch.attempt, head)?;
        Ok(())
    }

    /// Returns a connection to the pool after a complete and valid answer.
    ///
    /// The connection of an at-most-once request is closed instead.
    fn return_to_pool(&self, connection: Connection, idle_timeout: Option<Duration>) {
        if self.dispatch.once {
            return;
        }
        let pool = std::sync::Arc::clone(&self.upstreams.pool);
        tokio::spawn(async move { pool.put(connection, idle_timeout).await });
    }

    /// Reads the answer to a request with an idempotency key to its end and returns it to the core,
    /// which records it.
    ///
    /// An answer that is too large for that is forwarded unrecorded.
    async fn read_for_recording(
        &self,
        head: Head,
        mut body: Incoming,
    ) -> Result<AttemptOutcome, AnswerError> {
        let mut buffer = BytesMut::new();
        while let Some(data) = next_data(&mut body).await? {
            buffer.extend_from_slice(&data);
            if buffer.len() > self.upstreams.max_recorded_len {
                return self.forward_unrecorded(head, buffer.freeze(), body).await;
            }
        }
        if head.is_event_stream && !ends_with_marker(&buffer) {
            return Err(AnswerError::Interrupted);
        }
        Ok(completed_for_recording(head.status, &head.headers, &buffer))
    }

    /// Forwards an answer that is too large to be recorded.
    ///
    /// It is read to its end even if the caller has disconnected: the request has
    /// run, and a repeat with the same idempotency key must be refused with the
    /// reason `answer_not_kept`, not as if it were unknown whether the request ran.
    async fn forward_unrecorded(
        &self,
        head: Head,
        buffer: Bytes,
        mut body: Incoming,
    ) -> Result<AttemptOutcome, AnswerError> {
        let attempt = self.dispatch.attempt;
        let is_event_stream = head.is_event_stream;
        let mut tail = tail_of(&buffer);
        self.upstreams.env.inbox.event(Event::AnswerStarted { attempt }).await;
        let mut forwarded = self.pending.forward_head(attempt, head);
        if forwarded.is_ok() {
            forwarded = self.pending.forward(attempt, buffer, Delivered::default()).await;
        }
        while let Some(data) = next_data(&mut body).await? {
            tail = tail_of(&[tail.as_ref(), data.as_ref()].concat());
            if forwarded.is_ok() {
                forwarded = self.pending.forward(attempt, data, Delivered::default()).await;
                // Fails only where forwarding does, too.
                _ = self.pending.until_room(attempt).await;
            }
        }
        if is_event_stream && !ends_with_marker(&tail) {
            return Err(AnswerError::Interrupted);
        }
        if forwarded.is_ok() {
            // A caller that disconnects now has received the complete body.
            _ = self.pending.forward_end(attempt).await;
        }
        Ok(AttemptOutcome::CompletedTooLarge)
    }
}

/// Builds the outcome of an answer that was forwarded to its end.
const fn completed(is_framed: bool, is_failure: bool) -> AttemptOutcome {
    match (is_failure, is_framed) {
        (true, _) => AttemptOutcome::ForwardedFailure,
        (false, true) => AttemptOutcome::Completed { held: None },
        (false, false) => AttemptOutcome::CompletedUnframed,
    }
}

/// Joins the parts of a body.
fn concat(mut parts: Vec<Bytes>) -> Bytes {
    match parts.len() {
        1 => parts.remove(0),
        _ => parts.concat().into(),
    }
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, AnswerError> {
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|err| if err.is_parse() { AnswerError::Unusable } else { AnswerError::Interrupted })?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads the rest of a body after its end marker, so that the upstream can finish sending it, and
/// closes the connection.
async fn drain(mut body: Incoming, connection: Connection) {
    let rest = async { while let Ok(Some(_)) = next_data(&mut body).await {} };
    // An upstream that doesn't end its body in time loses the connection before it has sent the rest.
    _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
    drop(connection);
}

/// Returns the upstream's keep-alive time-out, less the time that a request needs to arrive.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    const TRANSIT_MARGIN: Duration = Duration::from_millis(500);

    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let secs = timeout.trim().parse::<u64>().ok()?;
    Some(Duration::from_secs(secs).saturating_sub(TRANSIT_MARGIN))
}

/// Builds the outcome that passes the answer to the core for recording, in `held`.
fn completed_for_recording(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> AttemptOutcome {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let answer = RecordedAnswer {
        status: status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: body.to_vec(),
    };
    AttemptOutcome::Completed { held: Some(answer) }
}

fn has_event_stream_type(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    content_type.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case("text/event-stream")
}

/// Exceeds the length of the end marker with its field name and blank lines, in bytes.
const TAIL_LEN: usize = 64;

fn tail_of(bytes: &[u8]) -> Bytes {
    Bytes::copy_from_slice(&bytes[bytes.len().saturating_sub(TAIL_LEN)..])
}

/// Reports whether the last line is the end marker of a stream.
fn ends_with_marker(bytes: &[u8]) -> bool {
    let mut lines = bytes.trim_ascii_end().rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let last = lines.next().and_then(|line| line.strip_prefix(b"data:"));
    last.is_some_and(|data| data.trim_ascii() == skylarkshore_wire::engine::STREAM_END.as_bytes())
}
