//! Sends requests to upstreams and passes their answers on.

mod attempt;
mod events;
mod own;

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER};
use http::header::{TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use skylarkshore_core::Time;
use skylarkshore_core::event::{AttemptOutcome, Rejection, ReportedLoad};
use skylarkshore_core::id::{AttemptId, RequestId};
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_core::upstream::Upstream;
use slog::debug;

use crate::env::Env;
use crate::pending::{Delivered, Outgoing, PendingRequest};
use crate::pool::Pool;

use attempt::Attempt;

pub(crate) use own::{OwnUpstreams, forwarded};

/// One try at having a request answered.
#[expect(clippy::struct_excessive_bools, reason = "each says one thing of the try, and all are independent")]
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The number of the try.
    pub attempt: AttemptId,
    /// Where it is sent.
    pub upstream: Upstream,
    /// By when the answer has to be complete.
    pub deadline: Time,
    /// The order of service.
    pub order: ServiceOrder,
    /// Whether to go on where an earlier attempt's stream broke off.
    pub resume: bool,
    /// Whether to hold the answer back until it is recorded.
    pub hold: bool,
    /// Whether the request may not run a second time.
    pub once: bool,
    /// Whether another upstream is asked if this one answers that it failed.
    pub keep_failure: bool,
}

/// What a protocol needs to know to write the head of a request.
#[derive(Debug)]
pub struct Call<'a> {
    /// The try.
    pub dispatch: &'a Dispatch,
    /// The caller's request.
    pub outgoing: &'a Outgoing,
    /// How long the answer may take.
    pub remaining: Duration,
    /// How much of a stream the caller has already.
    pub delivered: &'a Delivered,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer to the request.
    Answer,
    /// It is the answer to the request, and says that the upstream failed.
    Failure,
    /// It says that the upstream did nothing.
    NotRun(Rejection),
    /// Its body tells whether the upstream did nothing.
    PerhapsNotRun,
    /// It belongs to another request, or to none.
    Foreign,
}

/// How a stream of events ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With an event that says so.
    Marker,
    /// With its body.
    Body,
}

/// How requests are sent to upstreams, and what their answers mean.
pub trait UpstreamProtocol: Send + Sync {
    /// Writes the headers of one try.
    fn write_head(&self, call: &Call<'_>, headers: &mut HeaderMap);

    /// Tells what the head of an answer means.
    fn read_head(&self, call: &Call<'_>, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// Reads what a short body says, where the head left it open.
    fn read_not_run(&self, body: &[u8]) -> Option<Rejection>;

    /// Removes what doesn't concern the caller from an answer's headers.
    fn clean_answer(&self, headers: &mut HeaderMap);

    /// Reads how much the upstream has to do, where it tells.
    fn read_load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// Tells whether an answer without a length may end with its connection.
    fn takes_unframed(&self) -> bool;

    /// Tells how the streams of an upstream end.
    fn stream_end(&self, upstream: &Upstream) -> StreamEnd;
}

/// Sends requests to upstreams.
#[derive(Clone)]
pub(crate) struct Upstreams {
    protocol: Arc<dyn UpstreamProtocol>,
    pool: Arc<Pool>,
    env: Env,
    /// The largest answer that is held back, in bytes.
    hold_limit: usize,
}

impl Upstreams {
    pub(crate) fn new(protocol: Arc<dyn UpstreamProtocol>, hold_limit: usize, env: Env) -> Self {
        Self { protocol, pool: Arc::new(Pool::default()), env, hold_limit }
    }

    /// Makes the try and returns how it ended.
    pub(crate) async fn send(&self, dispatch: Dispatch) -> AttemptOutcome {
        let Some(pending) = self.env.requests.get(dispatch.request) else { return AttemptOutcome::NotSent };
        let deadline = self.env.clock.instant(dispatch.deadline);
        let attempt = Attempt::new(self, &dispatch, &pending);
        let end = match tokio::time::timeout_at(deadline, attempt.run()).await {
            Ok(end) => end,
            // Slow isn't dead: the deadline says nothing about the upstream's health.
            Err(_elapsed) => AttemptOutcome::Lost { passed_on: pending.has_passed_on(), died: false },
        };
        self.env.metrics.attempt_ended(&end);
        debug!(self.env.log, "attempt_ended";
            "request" => %dispatch.request, "attempt" => %dispatch.attempt,
            "upstream" => %dispatch.upstream.id, "end" => end.label());
        end
    }

    fn call<'a>(
        &self,
        dispatch: &'a Dispatch,
        pending: &'a PendingRequest,
        delivered: &'a Delivered,
    ) -> Call<'a> {
        let remaining = dispatch.deadline.remaining(self.env.clock.now());
        Call { dispatch, outgoing: &pending.outgoing, remaining, delivered }
    }

    fn request(&self, call: &Call<'_>) -> Request<Full<bytes::Bytes>> {
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

/// Headers that belong to one connection and aren't passed on.
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

/// Removes what belongs to one connection, also what its `connection` header names.
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
