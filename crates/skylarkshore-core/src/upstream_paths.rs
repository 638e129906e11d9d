//! The way from this host to the upstreams: directly, or through a peer where its own links are lost.
//!
//! A host may lose its links to all upstreams, or to most, while callers, peers and the key-value
//! service still reach it. Start with [`UpstreamPaths`].

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::event::{AttemptOutcome, Event};
use crate::id::{AttemptId, HostId, UpstreamId};
use crate::peer::PeerMessage;
use crate::time::Time;
use crate::upstream::{OrderAnswer, UpstreamStatus};

/// Upstreams that must fail within one check until their links count as lost; fewer if fewer are listed.
///
/// A single one that fails has probably crashed.
const MIN_FAILED: usize = 3;
/// Connections that one round of a check opens, and its rounds.
const PROBES_PER_ROUND: usize = 2;
const MAX_ROUNDS: usize = 2;
/// Minimum interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a check may take.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the probes that find out whether lost links are back.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a host repeats to its peers that it reaches few upstreams.
const NOTICE_INTERVAL: Duration = Duration::from_secs(5);
/// How long such a notice counts.
const NOTICE_TTL: Duration = Duration::from_secs(12);
/// How long a peer that didn't relay gets nothing more to relay.
const REFUSAL_TTL: Duration = Duration::from_secs(2);

/// How long a failure makes the link to an upstream doubtful, unless it works before.
const DOUBT_TTL: Duration = Duration::from_secs(2);

/// What the host's own links say of losses and trials.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Links {
    lost: OrderedSet<UpstreamId>,
    /// Whether more than half of the links are lost.
    are_most_lost: bool,
    /// Links over which an attempt has failed lately, and until when that counts.
    doubtful: OrderedMap<UpstreamId, Time>,
    is_checking: bool,
    /// The attempt that has just ended, if it ran over a lost link while most are lost.
    blind_end: Option<AttemptId>,
}

impl Links {
    /// Reports whether a loss that was noticed over the host's own link to an upstream may be that of the link.
    pub(crate) fn explains_loss(&self, upstream: &UpstreamId) -> bool {
        self.are_most_lost && self.lost.contains(upstream)
    }

    /// Reports whether the end of an attempt may be that of its link.
    pub(crate) fn explains_end(&self, attempt: AttemptId) -> bool {
        self.blind_end == Some(attempt)
    }

    /// Reports whether nothing is known against the path to an upstream: its link, or a peer if that is lost.
    pub(crate) fn is_sound(&self, upstream: &UpstreamId) -> bool {
        self.lost.contains(upstream) || !self.is_checking && !self.doubtful.contains_key(upstream)
    }
}

/// Finds out, by new connections to a few others, whether an upstream has failed or the host's links.
#[derive(Clone, Debug)]
struct Check {
    failed: OrderedSet<UpstreamId>,
    reached: OrderedSet<UpstreamId>,
    unanswered: usize,
    rounds: usize,
    timeout_at: Time,
}

/// Links are lost or back, so that upstreams which failed may be reached now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Switched;

/// Whether and how this host reaches the upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamPaths {
    links: Links,
    check: Option<Check>,
    /// Whether an attempt has failed since the last check, so that there is to be another.
    is_check_due: bool,
    next_check: Time,
    next_probe: Time,
    next_notice: Time,
    /// The upstreams of the attempts that were sent directly.
    direct: HashMap<AttemptId, UpstreamId>,
    /// The peers through which the other attempts were sent.
    relayed: HashMap<AttemptId, HostId>,
    /// Engines whose next report comes through a peer.
    relayed_reports: OrderedSet<UpstreamId>,
    /// Peers that reach few upstreams themselves, and until when that counts.
    unusable: OrderedMap<HostId, Time>,
}

impl UpstreamPaths {
    pub(crate) fn new() -> Self {
        Self {
            links: Links::default(),
            check: None,
            is_check_due: false,
            next_check: Time::START,
            next_probe: Time::START,
            next_notice: Time::START,
            direct: HashMap::default(),
            relayed: HashMap::default(),
            relayed_reports: OrderedSet::new(),
            unusable: OrderedMap::new(),
        }
    }

    /// Returns the state of this host's own links.
    pub(crate) const fn links(&self) -> &Links {
        &self.links
    }

    /// Reports whether the link to an upstream isn't lost.
    pub(crate) fn reaches_directly(&self, upstream: &UpstreamId) -> bool {
        !self.lost().contains(upstream)
    }

    /// Returns the upstreams that this host doesn't reach directly.
    const fn lost(&self) -> &OrderedSet<UpstreamId> {
        &self.links.lost
    }

    /// Reports whether this host reaches no upstream, neither directly nor through a peer.
    pub(crate) fn is_stranded(&self, cx: &Cx<'_>) -> bool {
        !self.lost().is_empty()
            && live_upstreams(cx).all(|id| self.lost().contains(&id))
            && self.usable_peers(cx).is_empty()
    }

    /// Draws conclusions from an event before the other parts handle it.
    pub(crate) fn observe(&mut self, cx: &mut Cx<'_>, event: &Event) -> Option<Switched> {
        self.links.blind_end = None;
        let switched = self.conclude(cx, event);
        self.links.is_checking = self.check.is_some();
        switched
    }

    fn conclude(&mut self, cx: &mut Cx<'_>, event: &Event) -> Option<Switched> {
        match event {
            Event::AnswerStarted { attempt } => {
                if let Some(upstream) = self.direct.get(attempt) {
                    self.links.doubtful.remove(upstream);
                }
                None
            }
            Event::AttemptEnded { attempt, end } => self.on_attempt_ended(cx, *attempt, end),
            Event::Report { upstream, report, .. } => {
                let was_direct = !self.relayed_reports.remove(upstream);
                (was_direct && report.is_none()).then(|| self.on_failure(cx, upstream)).flatten()
            }
            Event::Order { upstream, answer: OrderAnswer::NotSent, .. } => self.on_failure(cx, upstream),
            Event::UpstreamProbed { upstream, reached } => self.on_probed(cx, upstream, *reached),
            Event::Tick { .. } => self.on_tick(cx),
            _ => None,
        }
    }

    /// Chooses the path of an effect that concerns an upstream.
    pub(crate) fn route(&mut self, cx: &mut Cx<'_>, effect: &mut Effect) {
        match effect {
            Effect::Send { attempt, upstream, via, .. } => {
                *via = self.choose_peer(cx, upstream);
                match via {
                    Some(peer) => _ = self.relayed.insert(*attempt, peer.clone()),
                    None => _ = self.direct.insert(*attempt, upstream.clone()),
                }
            }
            Effect::RequestReport { upstream, via } => {
                *via = self.choose_peer(cx, upstream);
                if via.is_some() {
                    self.relayed_reports.insert(upstream.clone());
                } else {
                    self.relayed_reports.remove(upstream);
                }
            }
            Effect::Cancel { attempt } => {
                self.direct.remove(attempt);
                self.relayed.remove(attempt);
            }
            _ => {}
        }
    }

    /// Records what a peer says of its own links.
    ///
    /// If half of them have none, this host's own may be lost, too. One that sends nothing to upstreams
    /// wouldn't notice nor say so, and its callers would wait for what nobody can serve.
    pub(crate) fn on_notice(&mut self, cx: &mut Cx<'_>, from: &HostId, reached: bool) -> Option<Switched> {
        if reached {
            self.unusable.remove(from);
            return None;
        }
        self.pass_over(from.clone(), cx.now.after(NOTICE_TTL));
        let usable = self.usable_peers(cx).len();
        let is_likely = self.lost().is_empty() && usable <= self.unusable.len();
        let switched = is_likely.then(|| self.begin_check(cx, OrderedSet::new())).flatten();
        self.links.is_checking = self.check.is_some();
        switched
    }

    fn pass_over(&mut self, peer: HostId, until: Time) {
        let known = self.unusable.entry(peer).or_insert(until);
        *known = until.max(*known);
    }

    fn on_attempt_ended(
        &mut self,
        cx: &mut Cx<'_>,
        attempt: AttemptId,
        end: &AttemptOutcome,
    ) -> Option<Switched> {
        if let Some(peer) = self.relayed.remove(&attempt) {
            if *end == AttemptOutcome::NoPath {
                self.pass_over(peer, cx.now.after(REFUSAL_TTL));
            }
            return None;
        }
        let upstream = self.direct.remove(&attempt)?;
        let has_failed = matches!(end, AttemptOutcome::NotSent | AttemptOutcome::Lost { died: true, .. });
        let switched = has_failed.then(|| self.on_attempt_failed(cx, &upstream)).flatten();
        if self.links.explains_loss(&upstream) {
            self.links.blind_end = Some(attempt);
        }
        switched
    }

    /// Records that an upstream couldn't be reached directly.
    fn on_failure(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) -> Option<Switched> {
        if !self.reaches_directly(upstream) {
            return None;
        }
        if let Some(check) = &mut self.check {
            check.failed.insert(upstream.clone());
            return None;
        }
        // Links that are lost already make it likely that this one is, too.
        if !self.lost().is_empty() {
            return Some(self.lose(cx, OrderedSet::from([upstream.clone()])));
        }
        self.begin_check(cx, OrderedSet::from([upstream.clone()]))
    }

    /// Records that an attempt failed over the link to an upstream.
    ///
    /// A check may have just ended, with probes that were answered although the links are lost.
    fn on_attempt_failed(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) -> Option<Switched> {
        if self.reaches_directly(upstream) {
            self.links.doubtful.insert(upstream.clone(), cx.now.after(DOUBT_TTL));
            self.is_check_due = self.check.is_none();
        }
        self.on_failure(cx, upstream)
    }

    /// Begins a check, unless one is in progress or has just ended.
    fn begin_check(&mut self, cx: &mut Cx<'_>, mut failed: OrderedSet<UpstreamId>) -> Option<Switched> {
        if self.check.is_some() || !self.next_check.is_due(cx.now) {
            return None;
        }
        self.is_check_due = false;
        self.next_check = cx.now.after(CHECK_INTERVAL);
        failed.extend(self.links.doubtful.keys().cloned());
        self.check = Some(Check {
            failed,
            reached: OrderedSet::new(),
            unanswered: 0,
            rounds: 0,
            timeout_at: cx.now.after(CHECK_TIMEOUT),
        });
        self.continue_check(cx)
    }

    fn on_probed(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, reached: bool) -> Option<Switched> {
        if !self.reaches_directly(upstream) {
            return reached.then(|| self.regain(cx, upstream));
        }
        let check = self.check.as_mut()?;
        check.unanswered = check.unanswered.saturating_sub(1);
        let results = if reached { &mut check.reached } else { &mut check.failed };
        results.insert(upstream.clone());
        self.continue_check(cx)
    }

    /// Opens the connections of the next round, or concludes the check.
    fn continue_check(&mut self, cx: &mut Cx<'_>) -> Option<Switched> {
        let check = self.check.as_mut()?;
        if check.unanswered > 0 {
            return None;
        }
        let is_untested = |id: &UpstreamId| !check.failed.contains(id) && !check.reached.contains(id);
        let untested: Vec<UpstreamId> = live_upstreams(cx).filter(is_untested).collect();
        let is_open = check.rounds == 0 || (2..MIN_FAILED).contains(&check.failed.len());
        if is_open && check.rounds < MAX_ROUNDS && !untested.is_empty() {
            let probed: Vec<UpstreamId> =
                untested.choose_multiple(cx.rng, PROBES_PER_ROUND).cloned().collect();
            check.rounds += 1;
            check.unanswered = probed.len();
            for upstream in probed {
                cx.push(Effect::ProbeUpstream { upstream });
            }
            return None;
        }
        let check = self.check.take()?;
        let is_enough = check.failed.len() >= MIN_FAILED || (untested.is_empty() && check.failed.len() > 1);
        if !is_enough {
            return None;
        }
        let lost = if check.reached.is_empty() { live_upstreams(cx).collect() } else { check.failed };
        Some(self.lose(cx, lost))
    }

    fn lose(&mut self, cx: &mut Cx<'_>, lost: OrderedSet<UpstreamId>) -> Switched {
        if self.lost().is_empty() {
            self.next_probe = cx.now.after(PROBE_INTERVAL);
        }
        self.links.doubtful.retain(|id, _| !lost.contains(id));
        self.links.lost.extend(lost);
        let detail = format!("{} of {}; peers relay", self.lost().len(), live_upstreams(cx).count());
        cx.log_event("links_lost", cx.cfg.host.clone(), detail);
        self.announce(cx);
        Switched
    }

    fn regain(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) -> Switched {
        self.links.lost.remove(upstream);
        cx.log_event("link_regained", upstream, format!("{} are still lost", self.lost().len()));
        self.announce(cx);
        // What has brought one link back has probably brought back others.
        self.probe_lost(cx);
        Switched
    }

    /// Tells the peers when this host begins or ceases to reach few upstreams.
    fn announce(&mut self, cx: &mut Cx<'_>) {
        let reaches_few = self.lost().len() * 2 > live_upstreams(cx).count();
        if reaches_few != self.links.are_most_lost {
            self.links.are_most_lost = reaches_few;
            self.next_notice = cx.now.after(NOTICE_INTERVAL);
            broadcast_via_relay(cx, &PeerMessage::UpstreamsReached { reached: !reaches_few });
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) -> Option<Switched> {
        self.unusable.retain(|_, until| !until.is_due(cx.now));
        self.check.take_if(|check| check.timeout_at.is_due(cx.now));
        self.links.doubtful.retain(|_, until| !until.is_due(cx.now));
        if self.lost().is_empty() {
            return self.is_check_due.then(|| self.begin_check(cx, OrderedSet::new())).flatten();
        }
        self.is_check_due = false;
        self.links.lost.retain(|id| cx.upstreams.contains(id));
        self.announce(cx);
        if self.links.are_most_lost && self.next_notice.is_due(cx.now) {
            self.next_notice = cx.now.after(NOTICE_INTERVAL);
            broadcast_via_relay(cx, &PeerMessage::UpstreamsReached { reached: false });
        }
        if self.next_probe.is_due(cx.now) {
            self.next_probe = cx.now.after(PROBE_INTERVAL);
            self.probe_lost(cx);
        }
        None
    }

    fn probe_lost(&self, cx: &mut Cx<'_>) {
        let lost: Vec<&UpstreamId> = self.lost().iter().collect();
        if let Some(upstream) = lost.choose(cx.rng) {
            cx.push(Effect::ProbeUpstream { upstream: (*upstream).clone() });
        }
    }

    /// Returns the peer through which an upstream is reached; `None` if it is reached directly, or not at all.
    fn choose_peer(&self, cx: &mut Cx<'_>, upstream: &UpstreamId) -> Option<HostId> {
        if self.reaches_directly(upstream) {
            return None;
        }
        self.usable_peers(cx).choose(cx.rng).cloned()
    }

    fn usable_peers(&self, cx: &Cx<'_>) -> Vec<HostId> {
        let members = cx.cache.members();
        members
            .filter(|(host, member)| **host != cx.cfg.host && !member.leaving)
            .filter(|(host, _)| !self.unusable.contains_key(*host))
            .map(|(host, _)| host.clone())
            .collect()
    }
}

fn live_upstreams<'a>(cx: &Cx<'a>) -> impl Iterator<Item = UpstreamId> + use<'a> {
    let live = cx.upstreams.iter().filter(|upstream| upstream.status == UpstreamStatus::Live);
    live.map(|upstream| upstream.id.clone())
}
