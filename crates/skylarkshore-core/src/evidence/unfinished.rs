//! Attempts that may have ended their upstream although no connection broke.
//!
//! An upstream may fall silent under a request and end only when the request is cancelled. No connection
//! breaks before that, and afterwards nothing connects the end with the request. An answer that has neither
//! a length nor chunks ends with its connection, also if its upstream has crashed. Open
//! [`UnfinishedAttempts`] first.

use std::time::Duration;

use crate::collections::{HashMap, OrderedMap};
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::time::Time;

use super::loss::{Loss, SentTo, UpstreamIncarnation, listing_time};
use super::{AnsweredSuspect, Reach};

/// How long an upstream must have answered nothing to count as silent.
const SILENCE: Duration = Duration::from_secs(1);
/// Delay before a silent upstream is probed; it may end just as its request is cancelled.
const PROBE_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between two probes of an upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long after the end of an unframed answer a crash of its upstream may be noticed.
const CRASH_NOTICE: Duration = Duration::from_secs(1);
/// Maximum number of suspects that are remembered with an incarnation.
const MAX_ATTEMPTS: usize = 4096;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The caller left, or the time was over.
    WithoutAnswer,
    /// With its connection, between two events or in a body without a length.
    Unframed,
}

#[derive(Clone, Copy, Debug)]
struct Ended {
    at: Time,
    ending: Ending,
    reach: Reach,
}

/// The unfinished attempts of the last seconds, which become losses if their upstream has ended.
#[derive(Debug, Default)]
pub(super) struct UnfinishedAttempts {
    attempts: OrderedMap<Loss, Ended>,
    last_answers: HashMap<UpstreamId, Time>,
    /// Silent upstreams and when they are probed.
    probes: OrderedMap<UpstreamId, Time>,
    /// Upstreams that were probed, and until when they aren't probed again.
    probed: OrderedMap<UpstreamId, Time>,
}

impl UnfinishedAttempts {
    /// Records an attempt that ends now.
    pub(super) fn record(&mut self, now: Time, sent: &SentTo, suspects: &[AnsweredSuspect], ending: Ending) {
        if sent.incarnation.is_none() {
            return;
        }
        for AnsweredSuspect { digest, reach } in suspects {
            self.evict_if_full();
            let loss = Loss { with: sent.incarnation(), suspect: *digest };
            self.attempts.insert(loss, Ended { at: now, ending, reach: *reach });
        }
        let last_answer = self.last_answers.get(&sent.upstream);
        let is_silent = last_answer.is_none_or(|at| *at < sent.at || at.after(SILENCE).is_due(now));
        let is_probed = ending == Ending::WithoutAnswer && is_silent;
        if is_probed && !self.probed.contains_key(&sent.upstream) {
            self.probes.entry(sent.upstream.clone()).or_insert(now.after(PROBE_DELAY));
        }
    }

    /// Records that an upstream has answered an attempt; returns the suspects of unframed answers that
    /// were whole, as the upstream has lived on.
    pub(super) fn on_alive(&mut self, now: Time, sent: &SentTo) -> Vec<AnsweredSuspect> {
        self.last_answers.insert(sent.upstream.clone(), now);
        if self.attempts.is_empty() {
            return Vec::new();
        }
        let alive = sent.incarnation();
        let struck = self.attempts.extract_if(.., |loss, ended| loss.with == alive && sent.at > ended.at);
        let whole = struck.filter(|(_, ended)| ended.ending == Ending::Unframed);
        whole.map(|(loss, ended)| AnsweredSuspect { digest: loss.suspect, reach: ended.reach }).collect()
    }

    /// Returns the upstreams to be probed, and forgets attempts whose upstream would be shown to have ended.
    pub(super) fn on_tick(&mut self, cx: &Cx<'_>) -> Vec<UpstreamId> {
        let now = cx.now;
        let listed_after = listing_time(cx);
        self.attempts.retain(|_, ended| !ended.at.after(listed_after).is_due(now));
        self.last_answers.retain(|_, at| !at.after(SILENCE).is_due(now));
        self.probed.retain(|_, until| !until.is_due(now));
        let due: Vec<UpstreamId> =
            self.probes.extract_if(.., |_, at| at.is_due(now)).map(|(upstream, _)| upstream).collect();
        for upstream in &due {
            self.probed.insert(upstream.clone(), now.after(PROBE_INTERVAL));
        }
        due
    }

    /// Takes the attempts at an upstream that accepts no connections.
    pub(super) fn on_unreachable(&mut self, upstream: &UpstreamId) -> Vec<Loss> {
        self.take(|loss, _| loss.with.upstream == *upstream)
    }

    /// Takes the attempts whose unframed answer ended just before an incarnation was lost.
    pub(super) fn take_unframed(&mut self, now: Time, with: &UpstreamIncarnation) -> Vec<Loss> {
        self.take(|loss, ended| {
            let is_recent = !ended.at.after(CRASH_NOTICE).is_due(now);
            loss.with == *with && ended.ending == Ending::Unframed && is_recent
        })
    }

    /// Takes the attempts whose upstream has ended according to the host list.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>) -> Vec<Loss> {
        self.take(|loss, _| loss.with.has_terminated(cx))
    }

    fn take(&mut self, has_ended: impl Fn(&Loss, &Ended) -> bool) -> Vec<Loss> {
        self.attempts.extract_if(.., |loss, ended| has_ended(loss, ended)).map(|(loss, _)| loss).collect()
    }

    fn evict_if_full(&mut self) {
        if self.attempts.len() < MAX_ATTEMPTS {
            return;
        }
        let first = self.attempts.iter().min_by_key(|(_, ended)| ended.at).map(|(first, _)| first.clone());
        if let Some(first) = first {
            self.attempts.remove(&first);
        }
    }
}
