//! Streams that callers take up after they were broken off, here or at another host.
//!
//! A stream goes on only at the software version that began it. Where that isn't known, the request is
//! refused, unless one version alone has served while the stream can have begun. That conclusion rests on
//! the host list alone: this host has known it without a gap for [`MAX_STREAM_AGE`], or since the whole
//! system started, or another host has; it is known as of the request's arrival; and no host that is asked
//! knows of a second version. Nothing that a caller states is part of it.

use std::time::Duration;

use crate::control::hashing::name_hash;
use crate::cx::Cx;
use crate::effect::{Effect, RefusalReason};
use crate::event::StreamPart;
use crate::id::{AttemptId, Digest, HostId, RequestId, ServiceName, SoftwareVersion, StreamId};
use crate::peer::{PeerMessage, StreamMessage, StreamOrigin};
use crate::serving::Serving;
use crate::serving::budget::Destination;
use crate::serving::budget::destination;
use crate::serving::disposition::Disposition;
use crate::serving::request::{Run, State};
use crate::serving::served_versions::{self, MAX_STREAM_AGE};
use crate::serving::stream_origins::{Found, Unconfirmed};
use crate::serving::version_pin::VersionPin;
use crate::upstream::StatedVersion;

/// How much longer than a request's own time the version of its stream is kept, as a factor.
const KEPT_FACTOR: u32 = 2;
/// The least time for which the version of a stream is kept.
const MIN_KEPT: Duration = Duration::from_secs(30);
/// The greatest age of a host list by which other hosts are told that no version is missing.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// For how long a host must know the list by itself to go by what others know of the time before: their
/// greatest age, and the time of their answers.
const MIN_OVERLAP: Duration = Duration::from_secs(4);
/// Longest time that a request waits until the host list is known as of its arrival.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// The most versions that other hosts are told; from two on their number doesn't matter.
const MAX_TOLD: usize = 2;

impl Serving {
    /// Keeps the version of a stream that begins, and forwards its first event once another host has it.
    pub(super) fn on_stream_begun(&mut self, cx: &mut Cx<'_>, id: RequestId, run: &Run) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(StreamPart::Whole(stream)) = request.arrival.stream else { return };
        if request.passed_on {
            return;
        }
        let attempt = run.attempt;
        self.keep_origin(cx, id, stream, run.software.clone());
        let keepers = self.origins.send(cx, stream);
        if keepers.iter().any(|host| !self.suspects.is_silent(cx, host)) {
            self.origins.withhold(cx.now, attempt, stream);
        } else {
            cx.push(Effect::ForwardAnswer { request: id, attempt });
        }
    }

    fn keep_origin(&mut self, cx: &Cx<'_>, id: RequestId, stream: StreamId, software: StatedVersion) {
        let Some(request) = self.requests.get(&id) else { return };
        let kept = request.arrival.deadline.remaining(cx.now).saturating_mul(KEPT_FACTOR).max(MIN_KEPT);
        self.origins.keep(cx, stream, software, cx.now.after(kept));
    }

    /// Forwards the first events of attempts that were withheld.
    fn forward_withheld(&mut self, cx: &mut Cx<'_>, attempts: Vec<AttemptId>) {
        for attempt in attempts {
            if let Some(request) = self.attempts.get(&attempt) {
                cx.push(Effect::ForwardAnswer { request: *request, attempt });
            }
        }
    }

    /// Finds out which version began the stream that a request takes up; reports whether the request may
    /// be queued now.
    pub(super) fn find_origin(&mut self, cx: &mut Cx<'_>, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(StreamPart::Rest { stream }) = request.arrival.stream else { return true };
        if request.pin != VersionPin::Any {
            return true;
        }
        request.set_state(State::FindingOrigin, cx.now);
        let destination = destination(cx, &request.arrival.target);
        if let Some(software) = stream.and_then(|stream| self.origins.get(stream)) {
            let kept = Some(software.clone());
            self.settle_origin(cx, Found { requests: vec![id], kept, ..Found::default() });
            return false;
        }
        // An unnamed stream is of no interest to others if this host has missed no version.
        if stream.is_none() && served_versions::is_complete(cx) {
            self.settle_origin(cx, Found { requests: vec![id], ..Found::default() });
            return false;
        }
        let stream = stream.unwrap_or_else(|| stand_in(&destination));
        let wanted = StreamMessage::Wanted { stream, destination, max_age: MAX_STREAM_AGE };
        if let Some(found) = self.origins.look_up(cx, stream, id, &wanted) {
            self.settle_origin(cx, found);
        }
        false
    }

    /// Queues or refuses the requests whose stream's version was looked up.
    fn settle_origin(&mut self, cx: &mut Cx<'_>, found: Found) {
        let Found { requests, kept, served } = found;
        for request in requests {
            match &kept {
                Some(software) => self.resume_or_refuse(cx, request, Some(software.clone()), "kept"),
                None => self.settle_by_served(cx, Unconfirmed { request, served: served.clone() }),
            }
        }
    }

    /// Settles a stream of which no host keeps the version by the versions that have served.
    fn settle_by_served(&mut self, cx: &mut Cx<'_>, unconfirmed: Unconfirmed) {
        let Unconfirmed { request: id, ref served } = unconfirmed;
        let Some(request) = self.requests.get(&id) else { return };
        let destination = destination(cx, &request.arrival.target);
        let mut versions = self.served_versions.seen(cx.now, &destination);
        versions.extend(served.versions.iter().cloned());
        // What others know reaches up to when this host began to know the list by itself.
        let arrived = request.arrived;
        let overlaps = || cx.list.coverage().is_some_and(|coverage| coverage.covers(arrived, MIN_OVERLAP));
        let is_complete = served_versions::is_complete(cx) || served.is_complete && overlaps();
        if versions.len() != 1 || !is_complete {
            return self.resume_or_refuse(cx, id, None, "none");
        }
        // A version that has begun to serve since the list was last confirmed may have begun the stream.
        if cx.list.known_at().is_some_and(|known_at| known_at >= arrived) {
            return self.resume_or_refuse(cx, id, versions.pop_first(), "only_served");
        }
        if arrived.after(CONFIRMATION_TIMEOUT).is_due(cx.now) {
            return self.resume_or_refuse(cx, id, None, "unconfirmed");
        }
        self.origins.await_confirmation(unconfirmed);
    }

    fn resume_or_refuse(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        software: Option<StatedVersion>,
        source: &str,
    ) {
        let Some(software) = software else {
            cx.log_decision(id, "stream_unknown", format!("source={source}"));
            let reason = RefusalReason::StreamUnknown;
            let disposition = Disposition::Refuse { reason, retry_after: None };
            return self.apply_disposition(cx, id, disposition);
        };
        let named = software.as_ref().map_or("none", SoftwareVersion::as_str);
        cx.log_decision(id, "stream_taken_up", format!("version={named} source={source}"));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.pin = VersionPin::Only(software.clone());
        if let Some(StreamPart::Rest { stream: Some(stream) }) = request.arrival.stream {
            self.keep_origin(cx, id, stream, software);
            self.origins.send(cx, stream);
        }
        self.admit(cx, id);
    }

    /// Returns what this host tells others of the versions that have served a destination.
    fn served(&self, cx: &Cx<'_>, destination: &Destination) -> StreamOrigin {
        let versions = self.served_versions.seen(cx.now, destination).into_iter().take(MAX_TOLD).collect();
        // A host that was frozen or cut off can have missed what others know.
        let is_confirmed = cx.list.known_at().is_some_and(|at| at.after(MAX_LIST_AGE) >= cx.now);
        StreamOrigin::Served { versions, is_complete: is_confirmed && served_versions::is_complete(cx) }
    }

    /// Handles a peer's message about a stream.
    pub(super) fn on_stream_message(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &StreamMessage) {
        match message {
            StreamMessage::Begun { stream, software, kept } => {
                if self.origins.keep(cx, *stream, software.clone(), cx.now.after(*kept)) {
                    cx.send(from, PeerMessage::Stream(StreamMessage::Noted { stream: *stream }));
                }
            }
            StreamMessage::Noted { stream } => {
                let attempts = self.origins.on_noted(*stream);
                self.forward_withheld(cx, attempts);
            }
            StreamMessage::Wanted { stream, destination, .. } => {
                let kept = self.origins.get(*stream).cloned().map(StreamOrigin::Kept);
                let origin = kept.unwrap_or_else(|| self.served(cx, destination));
                cx.send(from, PeerMessage::Stream(StreamMessage::Known { stream: *stream, origin }));
            }
            StreamMessage::Known { stream, origin } => {
                if let Some(found) = self.origins.on_known(from, *stream, origin) {
                    self.settle_origin(cx, found);
                }
            }
        }
    }

    /// Ends what has waited for other hosts for long enough.
    pub(super) fn run_stream_timers(&mut self, cx: &mut Cx<'_>) {
        let attempts = self.origins.take_overdue(cx.now);
        self.forward_withheld(cx, attempts);
        for found in self.origins.on_tick(cx.now) {
            self.settle_origin(cx, found);
        }
        for unconfirmed in self.origins.take_unconfirmed() {
            self.settle_by_served(cx, unconfirmed);
        }
    }

    /// Forgets streams that callers no longer take up, and versions that nothing has run since.
    pub(super) fn remove_expired_streams(&mut self, cx: &Cx<'_>) {
        self.origins.remove_expired(cx.now);
        self.served_versions.remove_expired(cx.now);
    }
}

/// Returns an id that stands for the streams of a service or pool and is no stream's own.
fn stand_in(destination: &Destination) -> StreamId {
    let name = destination.as_ref().map_or("", ServiceName::as_str);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&name_hash(name).to_le_bytes());
    StreamId(Digest(bytes))
}
