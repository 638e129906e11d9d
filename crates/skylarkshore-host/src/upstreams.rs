//! Sends requests to upstreams and forwards their answers.
//!
//! Start with `Upstreams`; [`UpstreamProtocol`] is the part that differs between platforms.

mod attempt;
mod events;
mod native;

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER};
use http::header::{TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use skylarkshore_core::Time;
use skylarkshore_core::event::{AttemptOutcome, Rejection};
use skylarkshore_core::id::{AttemptId, HostId, RequestId};
use skylarkshore_core::notice::UpstreamNotice;
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::upstream::Upstream;
use slog::debug;

use crate::env::Env;
use crate::peers::Peers;
use crate::pending::{Delivered, Outgoing, PendingRequest};
use crate::pool::Pool;

use attempt::Attempt;

pub(crate) use native::{NativeUpstreams, forwardable_headers};

/// One attempt at a request.
#[expect(clippy::struct_excessive_bools, reason = "the options are independent of each other")]
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The upstream it is sent to.
    pub upstream: Upstream,
    /// When the answer has to be complete.
    pub deadline: Time,
    /// The request's priority.
    pub order: ServiceOrder,
    /// Whether to resume the stream of an earlier attempt.
    pub resume: bool,
    /// Whether to return the complete answer to the core, which records it under the request's
    /// idempotency key before the caller receives it.
    pub hold: bool,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Whether to store an answer that reports a failure of the upstream, as another attempt may follow.
    pub keep_failure: bool,
    /// Whether the first event is withheld until the core releases it.
    pub withhold: bool,
    /// The peer that relays the attempt, if this host has lost its own links to the upstreams.
    pub via: Option<HostId>,
}

/// What a protocol needs to know of an attempt to write the head of its request.
#[derive(Debug)]
pub struct Call<'a> {
    /// The attempt.
    pub dispatch: &'a Dispatch,
    /// The caller's request.
    pub outgoing: &'a Outgoing,
    /// The time left for the answer.
    pub remaining: Duration,
    /// How much of a stream the caller already has.
    pub delivered: &'a Delivered,
}

/// The meaning of an answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer to the request.
    Answer,
    /// It is the answer to the request and reports a failure of the upstream.
    Failure,
    /// It is a rejection: the upstream did not run the request.
    NotRun(Rejection),
    /// It may be a rejection; only the body tells.
    PerhapsNotRun,
    /// It answers another request, or no request: it carries the wrong request id or none.
    Foreign,
}

/// How an event stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With an end marker event.
    Marker,
    /// With the end of the body.
    Body,
}

/// The HTTP conventions between a host and its upstreams.
pub trait UpstreamProtocol: Send + Sync {
    /// Writes the headers of an attempt.
    fn write_head(&self, call: &Call<'_>, headers: &mut HeaderMap);

    /// Interprets the head of an answer.
    fn read_head(&self, call: &Call<'_>, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// Reads a rejection from a short body after [`Verdict::PerhapsNotRun`].
    fn read_not_run(&self, body: &[u8]) -> Option<Rejection>;

    /// Removes the headers of an answer that aren't meant for the caller.
    fn clean_answer(&self, headers: &mut HeaderMap);

    /// Reads what the upstream says of itself in the head of an answer.
    fn read_notice(&self, _status: StatusCode, _headers: &HeaderMap) -> UpstreamNotice {
        UpstreamNotice::default()
    }

    /// Reports whether an answer may be unframed: without a length or chunks, so that it ends with
    /// its connection.
    ///
    /// An unframed answer looks complete if the upstream closes the connection early.
    fn takes_unframed(&self) -> bool;

    /// Returns how the streams of an upstream end.
    fn stream_end(&self, upstream: &Upstream) -> StreamEnd;
}

/// Sends requests to upstreams.
#[derive(Clone)]
pub(crate) struct Upstreams {
    protocol: Arc<dyn UpstreamProtocol>,
    pool: Arc<Pool>,
    peers: Peers,
    env: Env,
    /// The largest answer that is recorded, in bytes.
    max_recorded_len: usize,
}

impl Upstreams {
    pub(crate) fn new(
        protocol: Arc<dyn UpstreamProtocol>,
        peers: Peers,
        max_recorded_len: usize,
        env: Env,
    ) -> Self {
        Self { protocol, pool: Arc::default(), peers, env, max_recorded_len }
    }

    /// Runs an attempt and returns its outcome.
    pub(crate) async fn send(&self, dispatch: Dispatch) -> AttemptOutcome {
        let Some(pending) = self.env.requests.get(dispatch.request) else { return AttemptOutcome::NotSent };
        let deadline = self.env.clock.instant(dispatch.deadline);
        let attempt = Attempt::new(self, &dispatch, &pending);
        let outcome = match tokio::time::timeout_at(deadline, attempt.run()).await {
            Ok(outcome) => outcome,
            // A missed deadline doesn't count as a failure of the upstream.
            Err(_elapsed) => AttemptOutcome::Lost { passed_on: pending.has_forwarded(), died: false },
        };
        self.env.metrics.attempt_ended(&outcome);
        debug!(self.env.log, "attempt_ended";
            "request" => %dispatch.request, "attempt" => %dispatch.attempt,
            "upstream" => %dispatch.upstream.id, "end" => outcome.label());
        outcome
    }

    fn prepare_call<'a>(
        &self,
        dispatch: &'a Dispatch,
        pending: &'a PendingRequest,
        delivered: &'a Delivered,
    ) -> Call<'a> {
        let remaining = dispatch.deadline.remaining(self.env.clock.now());
        Call { dispatch, outgoing: &pending.outgoing, remaining, delivered }
    }

    fn build_request(&self, call: &Call<'_>) -> Request<Full<bytes::Bytes>> {
        let outgoing = call.outgoing;
        let mut req = Request::new(Full::new(outgoing.body.clone()));
        *req.method_mut() = outgoing.method.clone();
        *req.uri_mut() = outgoing.path.parse().unwrap_or_default();
        *req.headers_mut() = outgoing.headers.clone();
        self.protocol.write_head(call, req.headers_mut());
        if !req.headers().contains_key(http::header::HOST)
            && let Ok(host) = HeaderValue::try_from(call.dispatch.upstream.address.to_string())
        {
            req.headers_mut().insert(http::header::HOST, host);
        }
        req
    }
}

/// Headers that belong to one connection and aren't forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers, including those named by the `connection` header.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}
