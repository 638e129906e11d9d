//! Sends requests to upstreams and passes their answers on.

mod attempt;
mod events;

use std::net::SocketAddr;

use http::header::{
    ACCEPT_ENCODING, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Request};
use http_body_util::Full;
use skylarkshore_core::Time;
use skylarkshore_core::event::AttemptEnd;
use skylarkshore_core::id::{AttemptId, HostId, Incarnation, RequestId, UpstreamId};
use skylarkshore_core::rules::ServiceOrder;
use skylarkshore_wire::engine::{PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, TIMEOUT_HEADER};
use slog::debug;

use crate::env::Env;
use crate::http::{PooledClient, client};
use crate::pending::PendingRequest;

use attempt::Attempt;

/// What an upstream is, as far as it matters for its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamSort {
    /// It echoes request ids, says when it ran nothing, and can resume streams.
    Engine,
    /// It promises nothing beyond HTTP.
    Service,
}

/// One try at having a request answered.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) sort: UpstreamSort,
    pub(crate) deadline: Time,
    pub(crate) order: ServiceOrder,
    pub(crate) resume: bool,
    pub(crate) hold: bool,
}

/// Sends requests to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Upstreams {
    client: PooledClient,
    env: Env,
    /// The largest answer that is held back, in bytes.
    hold_limit: usize,
    /// What request ids begin with, so that no two processes use the same.
    id_prefix: String,
}

impl Upstreams {
    pub(crate) fn new(host: &HostId, incarnation: Incarnation, hold_limit: usize, env: Env) -> Self {
        let id_prefix = format!("{host}-{incarnation}");
        Self { client: client(), env, hold_limit, id_prefix }
    }

    /// Makes the try and returns how it ended.
    pub(crate) async fn send(&self, dispatch: Dispatch) -> AttemptEnd {
        let Some(pending) = self.env.requests.get(dispatch.request) else { return AttemptEnd::NotSent };
        let deadline = self.env.clock.instant(dispatch.deadline);
        let attempt = Attempt::new(self, &dispatch, &pending);
        let end = match tokio::time::timeout_at(deadline, attempt.run()).await {
            Ok(end) => end,
            // Slow isn't dead: the deadline says nothing about the upstream's health.
            Err(_elapsed) => AttemptEnd::Lost { passed_on: pending.has_passed_on(), died: false },
        };
        self.env.metrics.attempt_ended(&end);
        debug!(self.env.log, "attempt_ended";
            "request" => %dispatch.request, "attempt" => %dispatch.attempt,
            "upstream" => %dispatch.upstream, "end" => attempt::word(&end));
        end
    }

    fn request(
        &self,
        dispatch: &Dispatch,
        pending: &PendingRequest,
        id: &HeaderValue,
        delivered: u64,
    ) -> Request<Full<bytes::Bytes>> {
        let outgoing = &pending.outgoing;
        let mut req = Request::new(Full::new(outgoing.body.clone()));
        *req.method_mut() = outgoing.method.clone();
        *req.uri_mut() = format!("http://{}{}", dispatch.address, outgoing.path).parse().unwrap_or_default();
        let headers = req.headers_mut();
        *headers = outgoing.headers.clone();
        headers.insert(REQUEST_ID_HEADER, id.clone());
        headers.insert(PRIORITY_HEADER, HeaderValue::from(dispatch.order.0));
        let remaining = dispatch.deadline.remaining(self.env.clock.now()).as_millis();
        headers.insert(TIMEOUT_HEADER, HeaderValue::from(u64::try_from(remaining).unwrap_or(u64::MAX)));
        if dispatch.resume {
            headers.insert(RESUME_HEADER, HeaderValue::from(delivered));
        }
        req
    }

    fn request_id(&self, dispatch: &Dispatch) -> HeaderValue {
        let id = format!("{}-{}-{}", self.id_prefix, dispatch.request, dispatch.attempt);
        HeaderValue::try_from(id).unwrap_or(HeaderValue::from_static("unnamed"))
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
fn remove_hop_by_hop(headers: &mut HeaderMap) {
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

/// Returns the caller's headers that concern the upstream.
///
/// Compression isn't asked for, as the events of a stream have to be told apart.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    for name in [HOST, CONTENT_LENGTH, EXPECT, ACCEPT_ENCODING] {
        headers.remove(name);
    }
    // These are this system's own; the upstream gets them anew for each try.
    for name in [REQUEST_ID_HEADER, PRIORITY_HEADER, TIMEOUT_HEADER, RESUME_HEADER] {
        headers.remove(name);
    }
    headers
}
