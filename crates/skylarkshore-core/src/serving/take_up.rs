//! Streams that callers take up after they were broken off, here or at another host.
//!
//! A stream goes on only at the software version that began it. Where that isn't known, the request is
//! refused, unless one version alone has served while the stream can have begun.

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
use crate::serving::stream_origins::Found;
use crate::serving::version_pin::VersionPin;
use crate::upstream::StatedVersion;

/// How much longer than a request's own time the version of its stream is kept, as a factor.
const KEPT_FACTOR: u32 = 2;
/// The least time for which the version of a stream is kept.
const MIN_KEPT: Duration = Duration::from_secs(30);
/// How much earlier or later hosts may read a change of the host list.
const LISTING_SKEW: Duration = Duration::from_secs(3);

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
        let Some(StreamPart::Rest { stream, max_age }) = request.arrival.stream else { return true };
        if request.pin != VersionPin::Any {
            return true;
        }
        let destination = destination(cx, &request.arrival.target);
        let Some(stream) = stream else {
            self.find_only_served(cx, id, destination, max_age);
            return false;
        };
        if let Some(software) = self.origins.get(stream) {
            let kept = Some(software.clone());
            self.settle_origin(cx, Found { requests: vec![id], kept, ..Found::default() });
            return false;
        }
        request.set_state(State::FindingOrigin, cx.now);
        let wanted = StreamMessage::Wanted { stream, destination, max_age };
        if let Some(found) = self.origins.look_up(cx, stream, id, &wanted) {
            self.settle_origin(cx, found);
        }
        false
    }

    /// Finds out for a stream that its caller doesn't name whether one version alone has served.
    ///
    /// Other hosts are asked under an id that stands for the destination and names no stream.
    fn find_only_served(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        destination: Destination,
        max_age: Duration,
    ) {
        if self.only_served(cx, &destination, max_age).is_some() {
            return self.settle_origin(cx, Found { requests: vec![id], ..Found::default() });
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.set_state(State::FindingOrigin, cx.now);
        }
        let stream = stand_in(&destination, max_age);
        let wanted = StreamMessage::Wanted { stream, destination, max_age };
        if let Some(found) = self.origins.look_up(cx, stream, id, &wanted) {
            self.settle_origin(cx, found);
        }
    }

    /// Queues or refuses the requests whose stream's version was looked up.
    fn settle_origin(&mut self, cx: &mut Cx<'_>, found: Found) {
        let Found { requests, kept, only_served } = found;
        for id in requests {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(StreamPart::Rest { max_age, .. }) = request.arrival.stream else { continue };
            let mut only_served = only_served.clone();
            let destination = destination(cx, &request.arrival.target);
            only_served.extend(self.only_served(cx, &destination, max_age + cx.now.since(request.arrived)));
            // Hosts that disagree haven't read the same host list.
            let only_one = (only_served.len() == 1).then(|| only_served.pop_first()).flatten();
            let source = if kept.is_some() { "kept" } else { "only_served" };
            self.resume_or_refuse(cx, id, kept.clone().or(only_one), source);
        }
    }

    fn resume_or_refuse(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        software: Option<StatedVersion>,
        source: &str,
    ) {
        let Some(software) = software else {
            cx.log_decision(id, "stream_unknown", "source=none".to_owned());
            let reason = RefusalReason::StreamUnknown;
            let disposition = Disposition::Refuse { reason, retry_after: None };
            return self.apply_disposition(cx, id, disposition);
        };
        let named = software.as_ref().map_or("none", SoftwareVersion::as_str);
        cx.log_decision(id, "stream_taken_up", format!("version={named} source={source}"));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.pin = VersionPin::Only(software.clone());
        if let Some(StreamPart::Rest { stream: Some(stream), .. }) = request.arrival.stream {
            self.keep_origin(cx, id, stream, software);
            self.origins.send(cx, stream);
        }
        self.admit(cx, id);
    }

    /// Returns the version that alone has served a destination since a stream can have begun.
    fn only_served(
        &self,
        cx: &Cx<'_>,
        destination: &Destination,
        max_age: Duration,
    ) -> Option<StatedVersion> {
        self.served_versions.only_one(cx.now, destination, max_age + LISTING_SKEW)
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
            StreamMessage::Wanted { stream, destination, max_age } => {
                let only_served =
                    || self.only_served(cx, destination, *max_age).map(StreamOrigin::OnlyServed);
                let kept = self.origins.get(*stream).cloned().map(StreamOrigin::Kept);
                let origin = kept.or_else(only_served).unwrap_or(StreamOrigin::Unknown);
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
    }

    /// Forgets streams that callers no longer take up, and versions that nothing has run since.
    pub(super) fn remove_expired_streams(&mut self, cx: &Cx<'_>) {
        self.origins.remove_expired(cx.now);
        self.served_versions.remove_expired(cx.now);
    }
}

/// Returns an id that stands for the streams of a service or pool and is no stream's own.
///
/// Requests whose streams can be equally old, to a second, share it.
fn stand_in(destination: &Destination, max_age: Duration) -> StreamId {
    let name = destination.as_ref().map_or("", ServiceName::as_str);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&name_hash(name).to_le_bytes());
    bytes[8..16].copy_from_slice(&max_age.as_secs().to_le_bytes());
    StreamId(Digest(bytes))
}
