//! Attempts that ended without an answer because the caller left or the time was over.
//!
//! An upstream may fall silent under a request and end only when the request is cancelled. No connection
//! breaks before that, and afterwards nothing connects the end with the request. Open
//! [`UnfinishedAttempts`] first. Only [`SuspectPolicy::CountEnds`](crate::config::SuspectPolicy) uses it.

use std::time::Duration;

use crate::collections::{HashMap, OrderedMap};
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{Digest, Incarnation, UpstreamId};
use crate::serving::loss_reports::Loss;
use crate::serving::request::Run;
use crate::serving::suspect::LISTING_HEARTBEATS;
use crate::time::Time;

/// How long an upstream must have answered nothing to count as silent.
const SILENCE: Duration = Duration::from_secs(1);
/// Delay before a silent upstream is probed; it may end just as its request is cancelled.
const PROBE_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between two probes of an upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of attempts that are remembered.
const MAX_ATTEMPTS: usize = 1024;

/// The incarnation of an upstream that an attempt was sent to, and the request's digest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Unfinished {
    upstream: UpstreamId,
    incarnation: Incarnation,
    request: Digest,
}

impl From<Unfinished> for Loss {
    fn from(unfinished: Unfinished) -> Self {
        let Unfinished { upstream, incarnation, request } = unfinished;
        Self { upstream, incarnation: Some(incarnation), request }
    }
}

/// The unfinished attempts of the last seconds, which become losses if their upstream has ended.
#[derive(Debug, Default)]
pub(super) struct UnfinishedAttempts {
    /// When each attempt ended.
    attempts: OrderedMap<Unfinished, Time>,
    last_answers: HashMap<UpstreamId, Time>,
    /// Silent upstreams and when they are probed.
    probes: OrderedMap<UpstreamId, Time>,
    /// Upstreams that were probed, and until when they aren't probed again.
    probed: OrderedMap<UpstreamId, Time>,
}

impl UnfinishedAttempts {
    /// Records an attempt that ends now.
    pub(super) fn record(&mut self, now: Time, run: &Run, request: Digest) {
        let Some(incarnation) = run.incarnation else { return };
        self.evict_if_full();
        let unfinished = Unfinished { upstream: run.upstream.clone(), incarnation, request };
        self.attempts.insert(unfinished, now);
        let last_answer = self.last_answers.get(&run.upstream);
        let is_silent = last_answer.is_none_or(|at| *at < run.sent || at.after(SILENCE).is_due(now));
        if is_silent && !self.probed.contains_key(&run.upstream) {
            self.probes.entry(run.upstream.clone()).or_insert(now.after(PROBE_DELAY));
        }
    }

    /// Records that an upstream has answered an attempt.
    pub(super) fn on_answer(&mut self, now: Time, run: &Run) {
        self.last_answers.insert(run.upstream.clone(), now);
        self.attempts.retain(|unfinished, ended| {
            unfinished.upstream != run.upstream
                || Some(unfinished.incarnation) != run.incarnation
                || run.sent <= *ended
        });
    }

    /// Probes silent upstreams, and forgets attempts whose upstream would be shown to have ended by now.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let listed_after = cx.cfg.timings.upstream_heartbeat * LISTING_HEARTBEATS;
        self.attempts.retain(|_, ended| !ended.after(listed_after).is_due(now));
        self.last_answers.retain(|_, at| !at.after(SILENCE).is_due(now));
        self.probed.retain(|_, until| !until.is_due(now));
        let due: Vec<UpstreamId> =
            self.probes.extract_if(.., |_, at| at.is_due(now)).map(|(upstream, _)| upstream).collect();
        for upstream in due {
            self.probed.insert(upstream.clone(), now.after(PROBE_INTERVAL));
            cx.push(Effect::ProbeUpstream { upstream });
        }
    }

    /// Takes the attempts at an upstream that accepts no connections.
    pub(super) fn on_unreachable(&mut self, upstream: &UpstreamId) -> Vec<Loss> {
        self.take(|unfinished| unfinished.upstream == *upstream)
    }

    /// Takes the attempts whose upstream has ended according to the host list.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>) -> Vec<Loss> {
        self.take(|unfinished| {
            let listed = cx.upstreams.get(&unfinished.upstream);
            listed.is_none_or(|listed| unfinished.incarnation < listed.incarnation)
        })
    }

    fn take(&mut self, has_ended: impl Fn(&Unfinished) -> bool) -> Vec<Loss> {
        let ended = self.attempts.extract_if(.., |unfinished, _| has_ended(unfinished));
        ended.map(|(unfinished, _)| unfinished.into()).collect()
    }

    fn evict_if_full(&mut self) {
        if self.attempts.len() < MAX_ATTEMPTS {
            return;
        }
        let first = self.attempts.iter().min_by_key(|(_, ended)| **ended).map(|(first, _)| first.clone());
        if let Some(first) = first {
            self.attempts.remove(&first);
        }
    }
}
