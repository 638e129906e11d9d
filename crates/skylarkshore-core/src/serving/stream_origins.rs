//! Which software version began each stream, kept at a few hosts for as long as callers may take it up.
//!
//! A caller takes a stream up at any host, and the one where it began may be gone. Open
//! [`StreamOrigins`] first.
//!
//! The version is sent to [`KEEPERS`] hosts, which are found by hashing the stream's id, before the first
//! event is forwarded. A host where the stream is taken up asks the hosts that rank first for the id.
//! What one host keeps and sends thus depends on its streams, not on the number of hosts.

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::control::hashing::ranking;
use crate::cx::Cx;
use crate::id::{AttemptId, HostId, RequestId, StreamId};
use crate::peer::{PeerMessage, StreamMessage, StreamOrigin};
use crate::time::Time;
use crate::upstream::StatedVersion;

/// Hosts that keep the version of a stream beside the one where it began.
const KEEPERS: usize = 3;
/// Hosts that are asked for it: the keepers, the one where it began, and some more where members changed.
const ASKED: usize = 6;
/// Longest time that the first event is withheld until a host confirms that it keeps the version.
const NOTE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time that a request waits for the version of the stream that it takes up.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of streams whose versions are kept.
const MAX_STREAMS: usize = 65_536;

#[derive(Clone, Debug)]
struct Kept {
    software: StatedVersion,
    until: Time,
}

/// An attempt whose first event is withheld.
#[derive(Clone, Copy, Debug)]
struct Withheld {
    stream: StreamId,
    until: Time,
}

/// The requests that wait for the version of a stream.
#[derive(Debug)]
struct Lookup {
    requests: Vec<RequestId>,
    unanswered: OrderedSet<HostId>,
    served: Served,
    until: Time,
}

/// The versions that have served while a stream can have begun, as far as hosts know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Served {
    pub(super) versions: OrderedSet<StatedVersion>,
    /// Whether one of the hosts has missed none.
    pub(super) is_complete: bool,
}

impl Served {
    fn add(&mut self, versions: impl IntoIterator<Item = StatedVersion>, is_complete: bool) {
        self.versions.extend(versions);
        self.is_complete |= is_complete;
    }
}

/// The result of a lookup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Found {
    /// The requests that wait for it.
    pub(super) requests: Vec<RequestId>,
    /// The version that began the stream, if a host keeps it.
    pub(super) kept: Option<StatedVersion>,
    /// What the hosts asked know of the versions that have served.
    pub(super) served: Served,
}

/// A request that takes up a stream as soon as the host list is known as of its arrival.
#[derive(Clone, Debug)]
pub(super) struct Unconfirmed {
    pub(super) request: RequestId,
    pub(super) served: Served,
}

/// The versions that this host keeps, and what it waits for.
#[derive(Debug, Default)]
pub(super) struct StreamOrigins {
    kept: OrderedMap<StreamId, Kept>,
    withheld: OrderedMap<AttemptId, Withheld>,
    lookups: OrderedMap<StreamId, Lookup>,
    unconfirmed: Vec<Unconfirmed>,
}

impl StreamOrigins {
    /// Returns the version that began a stream, if it is kept here.
    pub(super) fn get(&self, stream: StreamId) -> Option<&StatedVersion> {
        self.kept.get(&stream).map(|kept| &kept.software)
    }

    /// Keeps a stream's version; reports whether there is room.
    pub(super) fn keep(
        &mut self,
        cx: &Cx<'_>,
        stream: StreamId,
        software: StatedVersion,
        until: Time,
    ) -> bool {
        if self.kept.len() >= MAX_STREAMS && !self.kept.contains_key(&stream) {
            return false;
        }
        let kept = self.kept.entry(stream).or_insert(Kept { software, until: cx.now });
        kept.until = kept.until.max(until);
        true
    }

    /// Sends a stream's version, which is kept here, to the hosts that are to keep it; returns them.
    pub(super) fn send(&self, cx: &mut Cx<'_>, stream: StreamId) -> Vec<HostId> {
        let Some(kept) = self.kept.get(&stream) else { return Vec::new() };
        let keepers = hosts_for(cx, stream, KEEPERS);
        let (software, kept) = (kept.software.clone(), kept.until.remaining(cx.now));
        let message = PeerMessage::Stream(StreamMessage::Begun { stream, software, kept });
        for host in &keepers {
            cx.send(host, message.clone());
        }
        keepers
    }

    /// Withholds the first event of an attempt until a host has confirmed that it keeps the version.
    pub(super) fn withhold(&mut self, now: Time, attempt: AttemptId, stream: StreamId) {
        self.withheld.insert(attempt, Withheld { stream, until: now.after(NOTE_TIMEOUT) });
    }

    /// Takes the attempts whose first events may be forwarded, as a host keeps the version.
    pub(super) fn on_noted(&mut self, stream: StreamId) -> Vec<AttemptId> {
        let noted = self.withheld.extract_if(.., |_, withheld| withheld.stream == stream);
        noted.map(|(attempt, _)| attempt).collect()
    }

    /// Takes the attempts whose first events have been withheld for long enough.
    pub(super) fn take_overdue(&mut self, now: Time) -> Vec<AttemptId> {
        let overdue = self.withheld.extract_if(.., |_, withheld| withheld.until.is_due(now));
        overdue.map(|(attempt, _)| attempt).collect()
    }

    /// Asks for the version of a stream on behalf of a request; returns the result if nobody can be asked.
    pub(super) fn look_up(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        request: RequestId,
        wanted: &StreamMessage,
    ) -> Option<Found> {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.requests.push(request);
            return None;
        }
        let asked = hosts_for(cx, stream, ASKED);
        if asked.is_empty() {
            return Some(Found { requests: vec![request], ..Found::default() });
        }
        for host in &asked {
            cx.send(host, PeerMessage::Stream(wanted.clone()));
        }
        let lookup = Lookup {
            requests: vec![request],
            unanswered: asked.into_iter().collect(),
            served: Served::default(),
            until: cx.now.after(LOOKUP_TIMEOUT),
        };
        self.lookups.insert(stream, lookup);
        None
    }

    /// Handles a host's answer; returns the result if it is settled.
    pub(super) fn on_known(
        &mut self,
        from: &HostId,
        stream: StreamId,
        origin: &StreamOrigin,
    ) -> Option<Found> {
        let lookup = self.lookups.get_mut(&stream)?;
        lookup.unanswered.remove(from);
        match origin {
            StreamOrigin::Kept(software) => {
                let lookup = self.lookups.remove(&stream)?;
                return Some(Found { kept: Some(software.clone()), ..lookup.into() });
            }
            StreamOrigin::Served { versions, is_complete } => {
                lookup.served.add(versions.iter().cloned(), *is_complete);
            }
            // A host of the version before this one may have taken an old list for the latest.
            StreamOrigin::OnlyServed(software) => lookup.served.add([software.clone()], false),
            StreamOrigin::Unknown => {}
        }
        if !lookup.unanswered.is_empty() {
            return None;
        }
        self.lookups.remove(&stream).map(Found::from)
    }

    /// Adds a request that waits for the host list to be confirmed.
    pub(super) fn await_confirmation(&mut self, unconfirmed: Unconfirmed) {
        self.unconfirmed.push(unconfirmed);
    }

    /// Takes the requests that wait for the host list to be confirmed.
    pub(super) fn take_unconfirmed(&mut self) -> Vec<Unconfirmed> {
        std::mem::take(&mut self.unconfirmed)
    }

    /// Takes the lookups whose time is over.
    pub(super) fn on_tick(&mut self, now: Time) -> Vec<Found> {
        let overdue = self.lookups.extract_if(.., |_, lookup| lookup.until.is_due(now));
        overdue.map(|(_, lookup)| lookup.into()).collect()
    }

    /// Forgets the versions of streams that callers no longer take up.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.kept.retain(|_, kept| !kept.until.is_due(now));
    }
}

impl From<Lookup> for Found {
    fn from(lookup: Lookup) -> Self {
        Self { requests: lookup.requests, kept: None, served: lookup.served }
    }
}

/// Returns the other hosts that rank first for a stream.
fn hosts_for(cx: &Cx<'_>, stream: StreamId, count: usize) -> Vec<HostId> {
    let others = cx.cache.members().filter(|(host, member)| **host != cx.cfg.host && !member.leaving);
    let ranked = ranking(&stream.to_string(), others.map(|(host, _)| host));
    ranked.into_iter().take(count).cloned().collect()
}
