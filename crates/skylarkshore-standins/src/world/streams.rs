//! Streams that are broken off and go on elsewhere, judged by the software versions that wrote them.
//!
//! Start with [`StreamLedger`].

use skylarkshore_core::collections::{OrderedMap, OrderedSet};
use skylarkshore_core::event::StreamPart;
use skylarkshore_core::id::{SoftwareVersion, StreamId, UpstreamId};
use skylarkshore_core::time::Time;

use super::World;
use super::callers::{Callers, RequestKey, RequestLog};
use super::violation::Violation;

/// How many streams may hold events of two software versions.
const MIXED: usize = 2;
/// From how many streams on that are taken up it counts how many of them go on.
const TAKEN_UP: usize = 12;
/// How many replicas of a stream's version must serve for it to count as one that could go on.
const REPLICAS: usize = 2;

/// The events of all streams, and the requests that took streams up.
#[derive(Debug, Default)]
pub(crate) struct StreamLedger {
    versions: OrderedMap<StreamId, OrderedSet<Option<SoftwareVersion>>>,
    /// When each stream came to hold events of a second version.
    mixed: Vec<Time>,
    /// The requests that took up a stream that could go on.
    taken_up: Vec<RequestKey>,
}

impl StreamLedger {
    /// Records that events of a software version reach the caller of a stream.
    pub(crate) fn record_events(&mut self, now: Time, stream: StreamId, software: Option<SoftwareVersion>) {
        let versions = self.versions.entry(stream).or_default();
        if versions.insert(software) && versions.len() == 2 {
            self.mixed.push(now);
        }
    }

    pub(crate) fn record_taken_up(&mut self, request: RequestKey) {
        self.taken_up.push(request);
    }

    /// Returns the versions that have written a stream.
    pub(crate) fn versions(&self, stream: StreamId) -> Option<&OrderedSet<Option<SoftwareVersion>>> {
        self.versions.get(&stream)
    }

    pub(crate) fn violations(&self, callers: &Callers) -> Vec<Violation> {
        [self.order(), self.lost(callers)].into_iter().flatten().collect()
    }

    fn order(&self) -> Option<Violation> {
        let at = *self.mixed.get(MIXED)?;
        let what = format!("{} streams hold events of two software versions", self.mixed.len());
        Some(Violation::new(at, what))
    }

    fn lost(&self, callers: &Callers) -> Option<Violation> {
        let is_new = |log: &&RequestLog| matches!(log.ask.stream, Some(StreamPart::Whole(_)));
        let new = Tally::of(callers.requests.values().filter(is_new));
        let taken_up = Tally::of(self.taken_up.iter().filter_map(|key| callers.requests.get(key)));
        let is_lost = 2 * taken_up.begun * new.sent < new.begun * taken_up.sent;
        let what = format!(
            "{} of {} streams that were taken up went on, {} of {} new ones began",
            taken_up.begun, taken_up.sent, new.begun, new.sent
        );
        (taken_up.sent >= TAKEN_UP && is_lost).then(|| Violation::new(Time::START, what))
    }
}

/// How many requests were sent, and how many of their answers began.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    begun: usize,
}

impl Tally {
    fn of<'a>(logs: impl Iterator<Item = &'a RequestLog>) -> Self {
        logs.fold(Self::default(), |tally, log| Self {
            sent: tally.sent + 1,
            begun: tally.begun + usize::from(log.started.is_some()),
        })
    }
}

impl World {
    /// Sets the software with which a replica starts the next time.
    pub fn set_next_software(&mut self, id: &UpstreamId, software: Option<SoftwareVersion>) {
        if let Some(replica) = self.services.get_mut(id) {
            replica.next_software = software;
        }
    }

    /// Returns how many replicas of services serve with a software version.
    pub fn serving_with(&self, software: Option<&SoftwareVersion>) -> usize {
        let serve = self.services.values().filter(|replica| replica.up && !replica.is_silent);
        serve.filter(|replica| replica.software.as_ref() == software).count()
    }

    /// Records a request that takes up a stream, if the stream could go on: its host is in touch, and
    /// replicas of its version serve.
    pub(crate) fn record_taken_up(&mut self, request: RequestKey, stream: StreamId) {
        let versions = self.streams.versions(stream);
        let Some(software) = versions.and_then(|versions| versions.first()) else { return };
        let could_go_on = self.serving_with(software.as_ref()) >= REPLICAS;
        if could_go_on && self.hosts[request.host].is_in_touch(self.now) {
            self.streams.record_taken_up(request);
        }
    }

    /// Records that a replica sends events of a request's stream.
    pub(crate) fn record_events(&mut self, upstream: &UpstreamId, request: &RequestKey) {
        let stream = self.callers.requests.get(request).and_then(|log| log.ask.stream);
        let Some(StreamPart::Whole(stream) | StreamPart::Rest { stream: Some(stream), .. }) = stream else {
            return;
        };
        let software = self.services.get(upstream).and_then(|replica| replica.software.clone());
        self.streams.record_events(self.now, stream, software);
    }
}
