//! The product's own protocol between entry hosts and upstreams.

use http::header::{ACCEPT_ENCODING, AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode};
use skylarkshore_core::event::Rejection;
use skylarkshore_core::id::{HostId, Incarnation};
use skylarkshore_core::upstream::Upstream;
use skylarkshore_wire::caller::ACCOUNT_HEADER;
use skylarkshore_wire::engine::{NotRun, PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, TIMEOUT_HEADER};

use super::{Call, StreamEnd, UpstreamProtocol, Verdict, remove_hop_by_hop};

/// The product's own protocol.
///
/// Engines echo request ids, reject requests that they don't run, and can resume
/// streams; plain services guarantee nothing beyond HTTP.
#[derive(Debug)]
pub(crate) struct NativeUpstreams {
    /// The prefix that makes request ids unique across processes.
    id_prefix: String,
}

impl NativeUpstreams {
    pub(crate) fn new(host: &HostId, incarnation: Incarnation) -> Self {
        // Two starts may have the same number, as the time of day may go back.
        let start: u32 = rand::random();
        Self { id_prefix: format!("{host}-{incarnation}-{start:08x}") }
    }

    fn request_id(&self, call: &Call<'_>) -> HeaderValue {
        let id = format!("{}-{}-{}", self.id_prefix, call.dispatch.request, call.dispatch.attempt);
        HeaderValue::try_from(id).unwrap_or(HeaderValue::from_static("unnamed"))
    }
}

impl UpstreamProtocol for NativeUpstreams {
    fn write_head(&self, call: &Call<'_>, headers: &mut HeaderMap) {
        headers.insert(REQUEST_ID_HEADER, self.request_id(call));
        headers.insert(PRIORITY_HEADER, HeaderValue::from(call.dispatch.order.0));
        let remaining = u64::try_from(call.remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIMEOUT_HEADER, HeaderValue::from(remaining));
        if call.dispatch.resume {
            headers.insert(RESUME_HEADER, HeaderValue::from(call.delivered.event_count));
        }
    }

    fn read_head(&self, call: &Call<'_>, status: StatusCode, headers: &HeaderMap) -> Verdict {
        // An upstream that mixes up its connections could send one caller's answer
        // to another. The id is unique to each attempt across all hosts.
        let is_engine = call.dispatch.upstream.engine().is_some();
        let echoes_id = match headers.get(REQUEST_ID_HEADER) {
            Some(echoed) if *echoed == self.request_id(call) => true,
            Some(_) => return Verdict::Foreign,
            None if is_engine => return Verdict::Foreign,
            None => false,
        };
        let may_be_rejection = matches!(status, StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS);
        // A service that doesn't echo ids may use these statuses for something else.
        if echoes_id && may_be_rejection { Verdict::PerhapsNotRun } else { Verdict::Answer }
    }

    fn read_not_run(&self, body: &[u8]) -> Option<Rejection> {
        serde_json::from_slice::<NotRun>(body).ok().map(|not_run| not_run.error.into())
    }

    fn clean_answer(&self, headers: &mut HeaderMap) {
        headers.remove(REQUEST_ID_HEADER);
    }

    fn takes_unframed(&self) -> bool {
        // Without a length or chunks, an answer that was cut short looks complete.
        false
    }

    fn stream_end(&self, upstream: &Upstream) -> StreamEnd {
        // Plain services send no end marker; their streams end with the last chunk.
        if upstream.engine().is_some() { StreamEnd::Marker } else { StreamEnd::Body }
    }
}

/// Returns the caller's headers that are forwarded upstream.
///
/// `accept-encoding` is removed, as the events of a compressed stream can't be split.
pub(crate) fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    for name in [HOST, CONTENT_LENGTH, EXPECT, ACCEPT_ENCODING] {
        headers.remove(name);
    }
    // The account key must not reach the upstream.
    for name in [AUTHORIZATION, HeaderName::from_static(ACCOUNT_HEADER)] {
        headers.remove(name);
    }
    // The protocol sets these for each attempt.
    for name in [REQUEST_ID_HEADER, PRIORITY_HEADER, TIMEOUT_HEADER, RESUME_HEADER] {
        headers.remove(name);
    }
    headers
}
