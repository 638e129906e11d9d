//! Evidence of what crashes upstreams, collected from all hosts.
//!
//! Open [`Evidence`] first. Only [`SuspectPolicy::CountEnds`](crate::config::SuspectPolicy) uses it; see
//! `serving/suspect.rs` for the other policy.
//!
//! - A *suspect* is a request, by the [`Digest`] of its method, path and body, or a part of a prompt, which
//!   may be in many requests. A request with several suspects is at risk from each of them.
//! - A *loss* is an attempt that ended without a complete answer because its connection broke, or whose
//!   upstream terminated soon afterwards. All suspects of the request have a loss with that incarnation.
//! - An incarnation of an upstream has *terminated* when the host list no longer names the upstream or
//!   names a later incarnation.
//! - A suspect is *held back* after losses with [`HOLD_THRESHOLD`] incarnations that have terminated, or may
//!   have as the host list can't show it yet. Requests with it are refused, except for a *trial*: one
//!   at a time over all hosts, with a pause that grows with each trial that is lost, too.
//! - A whole answer clears all suspects of its request, as no fatal one has any: parts at all hosts, and the
//!   request at its own, as the requests of other callers may have the same digest.

mod answered_parts;
mod loss;
mod loss_reports;
mod suspect;
mod unfinished;

use crate::collections::OrderedMap;
use crate::config::SuspectPolicy;
use crate::control::relay::broadcast_via_relay;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::event::Arrival;
use crate::id::{Digest, HostId, Incarnation, UpstreamId};
use crate::peer::PeerMessage;
use crate::time::Time;
use crate::upstream_paths::Links;

use answered_parts::AnsweredParts;
use loss::{LOSS_TTL, UpstreamIncarnation};
use loss_reports::{LossReports, Reporter};
use suspect::{HOLD_THRESHOLD, Suspect, SuspectKind, TrialQuery};
use unfinished::{Ending, UnfinishedAttempts};

pub(crate) use loss::{Loss, SentTo};

/// Maximum number of suspects that are kept.
const MAX_SUSPECTS: usize = 8192;
/// Number of suspects that are removed at once, as ranking them takes long.
const EVICTED_AT_ONCE: usize = MAX_SUSPECTS / 4;
/// Maximum number of digests in a line of the log.
const MAX_LOGGED_DIGESTS: usize = 8;
/// How many losses a suspect must have for its clearing to be told to the peers by a process that has
/// reported none of them.
///
/// Parts that most requests share are lost in each crash, and cleared by each host's own answers.
const TOLD_LOSSES: usize = 2;

/// The suspects of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspects<'a> {
    request: Digest,
    parts: &'a [Digest],
}

impl<'a> From<&'a Arrival> for Suspects<'a> {
    fn from(arrival: &'a Arrival) -> Self {
        Self { request: arrival.digest, parts: &arrival.parts }
    }
}

impl Suspects<'_> {
    fn digests(&self) -> Vec<Digest> {
        std::iter::once(&self.request).chain(self.parts).copied().collect()
    }

    fn with_reach(&self) -> Vec<AnsweredSuspect> {
        let request = AnsweredSuspect { digest: self.request, reach: Reach::ThisHost };
        let parts = self.parts.iter().map(|part| AnsweredSuspect { digest: *part, reach: Reach::AllHosts });
        std::iter::once(request).chain(parts).collect()
    }
}

/// For which hosts a whole answer speaks for a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// Only here: other callers may send a request with the same method, path and body that is sound.
    ThisHost,
    AllHosts,
}

/// A suspect of a request that got a whole answer.
#[derive(Clone, Copy, Debug)]
struct AnsweredSuspect {
    digest: Digest,
    reach: Reach,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// None of its suspects is held back.
    Free,
    /// It may run as the trial of the suspects that are held back.
    Trial,
    /// It must not run now.
    HeldBack(HeldBack),
}

/// Why a request must not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldBack {
    /// The suspect that is held back for the longest time.
    pub(crate) suspect: Digest,
    /// Whether the host list shows enough terminations.
    pub(crate) is_proved: bool,
    /// When it may be tried.
    pub(crate) until: Time,
}

/// A suspect of a request that has losses, or had.
struct KnownSuspect<'a> {
    digest: Digest,
    kind: SuspectKind,
    suspect: &'a Suspect,
}

/// The losses of suspects that this process knows of.
#[derive(Debug)]
pub(crate) struct Evidence {
    is_kept: bool,
    suspects: OrderedMap<Digest, Suspect>,
    answered_parts: AnsweredParts,
    /// The incarnations that suspects were lost with, and when that was last noticed.
    lost_with: OrderedMap<UpstreamIncarnation, Time>,
    reports: LossReports,
    unfinished: UnfinishedAttempts,
}

impl Evidence {
    /// Creates the state of a process that knows of no losses.
    pub(crate) fn new(policy: SuspectPolicy) -> Self {
        Self {
            is_kept: policy == SuspectPolicy::CountEnds,
            suspects: OrderedMap::new(),
            answered_parts: AnsweredParts::default(),
            lost_with: OrderedMap::new(),
            reports: LossReports::default(),
            unfinished: UnfinishedAttempts::default(),
        }
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn admission(&self, cx: &Cx<'_>, suspects: Suspects<'_>) -> Admission {
        let held = self.held_back(cx, suspects);
        match held {
            None => Admission::Free,
            Some(held) if held.until.is_due(cx.now) => Admission::Trial,
            Some(held) => Admission::HeldBack(held),
        }
    }

    /// Returns the suspect of a request that is held back for the longest time.
    fn held_back(&self, cx: &Cx<'_>, suspects: Suspects<'_>) -> Option<HeldBack> {
        if self.suspects.is_empty() {
            return None;
        }
        let with_losses = self.known(cx, suspects).filter(|known| known.suspect.has_losses()).count();
        let held = self.known(cx, suspects).filter(|known| known.suspect.is_held_back(cx, known.kind));
        let held = held.map(|known| {
            let is_explained =
                known.kind == SuspectKind::Request && self.is_explained(cx, suspects, known.suspect);
            let query = TrialQuery { kind: known.kind, is_single: with_losses == 1, is_explained };
            HeldBack {
                suspect: known.digest,
                is_proved: known.suspect.terminated(cx) >= HOLD_THRESHOLD,
                until: known.suspect.trial_due(cx, query),
            }
        });
        held.max_by_key(|held| held.until)
    }

    /// Reports whether suspects of other requests that are held back were lost with the same incarnations.
    fn is_explained(&self, cx: &Cx<'_>, own: Suspects<'_>, suspect: &Suspect) -> bool {
        let is_other = |digest: &Digest| *digest != own.request && !own.parts.contains(digest);
        let held = self
            .suspects
            .iter()
            .filter(|(digest, other)| is_other(digest) && other.is_held_back(cx, SuspectKind::PromptPart));
        suspect.is_covered_by(&held.map(|(_, other)| other).collect::<Vec<_>>())
    }

    /// Returns those suspects of a request that are known.
    fn known<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        suspects: Suspects<'a>,
    ) -> impl Iterator<Item = KnownSuspect<'a>> + 'a {
        let kind_of = move |part| {
            let is_answered = self.answered_parts.contains(cx.now, part);
            if is_answered { SuspectKind::AnsweredPart } else { SuspectKind::PromptPart }
        };
        let parts = suspects.parts.iter().map(move |part| (*part, kind_of(*part)));
        let all = std::iter::once((suspects.request, SuspectKind::Request)).chain(parts);
        all.filter_map(|(digest, kind)| {
            self.suspects.get(&digest).map(|suspect| KnownSuspect { digest, kind, suspect })
        })
    }

    /// Reports whether a request that has reached an upstream must not begin there any more.
    ///
    /// For a part of its prompt, a trial must have failed: after a crash of many upstreams, requests
    /// with a part that all callers share are still answered at others, which clears it.
    pub(crate) fn is_to_be_recalled(&self, cx: &Cx<'_>, suspects: Suspects<'_>) -> bool {
        self.known(cx, suspects).any(|known| {
            let is_settled = known.kind == SuspectKind::Request || known.suspect.has_failed_trials();
            is_settled && known.suspect.is_held_back(cx, known.kind)
        })
    }

    /// Reports whether one more termination would hold a suspect of the request back.
    ///
    /// The host list shows a termination only after a while. A request that is one termination
    /// short would be sent again in the meantime and crash one more upstream.
    pub(crate) fn is_one_loss_from_hold(&self, cx: &Cx<'_>, suspects: Suspects<'_>) -> bool {
        self.known(cx, suspects).any(|known| known.suspect.is_one_loss_from_hold(cx, known.kind))
    }

    /// Reports whether a request itself was lost, and has had no whole answer since.
    pub(crate) fn has_losses(&self, request: Digest) -> bool {
        self.suspects.get(&request).is_some_and(Suspect::has_losses)
    }

    /// Returns the digests of all suspects, with whether the log says that they are held back.
    pub(crate) fn all(&self) -> impl Iterator<Item = (Digest, bool)> {
        self.suspects.iter().map(|(digest, suspect)| (*digest, suspect.is_logged))
    }

    /// Returns for how many suspects requests have been refused.
    pub(crate) fn held_back_count(&self) -> usize {
        self.all().filter(|(_, is_held_back)| *is_held_back).count()
    }

    /// Logs that requests are refused for a suspect, once.
    pub(crate) fn log_held_back(&mut self, cx: &mut Cx<'_>, held: HeldBack) {
        let Some(suspect) = self.suspects.get_mut(&held.suspect).filter(|suspect| !suspect.is_logged) else {
            return;
        };
        suspect.is_logged = true;
        let detail = format!(
            "losses={} terminated={} trial_in_ms={}",
            suspect.count(cx),
            suspect.terminated(cx),
            held.until.remaining(cx.now).as_millis()
        );
        cx.log_event("suspect_held_back", held.suspect, detail);
    }

    /// Records that a request is sent as a trial, here and at the peers, so that no other runs meanwhile.
    pub(crate) fn begin_trial(&mut self, cx: &mut Cx<'_>, suspects: Suspects<'_>, upstream: &UpstreamId) {
        let held = self.known(cx, suspects).filter(|known| known.suspect.is_held_back(cx, known.kind));
        let tried: Vec<Digest> = held.map(|known| known.digest).collect();
        for digest in &tried {
            cx.log_event("suspect_tried", digest, format!("upstream={upstream}"));
        }
        self.record_trial(cx.now, &tried);
        // An incarnation that isn't known marks a trial: a loss has one.
        let message = PeerMessage::Suspects {
            upstream: upstream.clone(),
            incarnation: None,
            requests: tried,
            alone: false,
        };
        broadcast_via_relay(cx, &message);
    }

    fn record_trial(&mut self, now: Time, tried: &[Digest]) {
        for digest in tried {
            if let Some(suspect) = self.suspects.get_mut(digest) {
                suspect.record_trial(now);
            }
        }
    }

    /// Handles the end of a trial that reached no upstream.
    pub(crate) fn on_trial_unsent(&mut self, suspects: Suspects<'_>) {
        for digest in suspects.digests() {
            if let Some(suspect) = self.suspects.get_mut(&digest) {
                suspect.forget_trial();
            }
        }
    }

    /// Handles the loss of this host's own links.
    ///
    /// What was lost over them says nothing of the requests, unless the host list shows terminations.
    pub(crate) fn on_links_lost(&mut self, cx: &mut Cx<'_>, links: &Links) {
        let doubted = self
            .suspects
            .values_mut()
            .map(|suspect| suspect.doubt_own_losses(|upstream| links.explains_loss(upstream)));
        let doubted: usize = doubted.sum();
        if doubted > 0 {
            cx.log_event(
                "losses_doubted",
                cx.cfg.host.clone(),
                format!("losses={doubted} most links are lost"),
            );
        }
    }

    /// Records that a request was lost, here and at the peers.
    ///
    /// The incarnation is the one that the request was sent to. When the loss is noticed,
    /// the host list may no longer name it, or may name the next one. With either of these,
    /// no termination would ever be counted, and the request would crash more upstreams.
    pub(crate) fn on_lost(&mut self, cx: &mut Cx<'_>, suspects: Suspects<'_>, sent: &SentTo) {
        let digests = suspects.digests();
        let own = Loss::of_each(&sent.upstream, sent.incarnation, &digests);
        let unframed = self.unfinished.take_unframed(cx.now, &sent.incarnation());
        let losses: Vec<Loss> = own.chain(unframed).collect();
        self.record_losses(cx, &losses, Reporter::Own);
    }

    /// Records losses, and reports those that are new; returns how many are.
    fn record_losses(&mut self, cx: &mut Cx<'_>, losses: &[Loss], reporter: Reporter) -> usize {
        let mut new = 0;
        for loss in losses {
            if !self.record_loss(cx, loss, reporter) {
                continue;
            }
            new += 1;
            let Self { suspects, reports, .. } = self;
            let count = |digest| suspects.get(&digest).map_or(0, |suspect| suspect.count(cx));
            // Peers would take a loss without an incarnation for a trial.
            if loss.with.incarnation.is_some() {
                reports.evict_if_full(count);
                reports.add(cx, loss, reporter);
            }
        }
        new
    }

    fn record_loss(&mut self, cx: &Cx<'_>, loss: &Loss, reporter: Reporter) -> bool {
        self.evict_if_full(cx);
        let suspect = self.suspects.entry(loss.suspect).or_default();
        if !suspect.record_loss(cx.now, &loss.with, reporter) {
            return false;
        }
        self.lost_with.insert(loss.with.clone(), cx.now);
        true
    }

    /// Handles the losses, or the trial, that a peer has reported.
    pub(crate) fn on_reported(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        upstream: &UpstreamId,
        incarnation: Option<Incarnation>,
        digests: &[Digest],
    ) {
        let losses: Vec<Loss> = Loss::of_each(upstream, incarnation, digests).collect();
        if incarnation.is_none() {
            return self.record_trial(cx.now, digests);
        }
        self.reports.acknowledge(from, losses.iter().cloned());
        let with = UpstreamIncarnation { upstream: upstream.clone(), incarnation };
        let unframed = self.unfinished.take_unframed(cx.now, &with);
        self.record_losses(cx, &unframed, Reporter::Own);
        let new = self.record_losses(cx, &losses, Reporter::Peer);
        log_reported_losses(cx, from, &losses, new);
    }

    /// Handles a peer's acknowledgement of losses.
    pub(crate) fn on_acknowledged(&mut self, from: &HostId, losses: impl Iterator<Item = Loss>) {
        self.reports.on_acknowledged(from, losses);
    }

    /// Records that a request has got a whole answer, which clears the request here, and the parts of its prompt
    /// at the peers, too.
    pub(crate) fn on_answered(&mut self, cx: &mut Cx<'_>, suspects: Suspects<'_>) {
        if !self.is_kept {
            return;
        }
        self.answered_parts.record(cx.now, suspects.parts);
        if !self.suspects.is_empty() {
            self.clear_all(cx, &suspects.with_reach());
        }
    }

    /// Clears suspects, and tells the peers of parts that these may hold back.
    fn clear_all(&mut self, cx: &mut Cx<'_>, answered: &[AnsweredSuspect]) {
        for AnsweredSuspect { digest, reach } in answered {
            let Some(suspect) = self.suspects.get(digest) else { continue };
            let has_told_losses = suspect.has_own_losses() || suspect.count(cx) >= TOLD_LOSSES;
            self.clear(cx, *digest);
            if *reach == Reach::ThisHost {
                continue;
            }
            self.reports.forget(*digest);
            if has_told_losses {
                broadcast_via_relay(cx, &PeerMessage::Cleared { request: *digest });
            }
        }
    }

    /// Handles a peer's message that a suspect has had a whole answer.
    pub(crate) fn on_cleared(&mut self, cx: &mut Cx<'_>, digest: Digest) {
        self.clear(cx, digest);
        self.reports.forget(digest);
    }

    fn clear(&mut self, cx: &mut Cx<'_>, digest: Digest) {
        let Some(suspect) = self.suspects.get_mut(&digest) else { return };
        if suspect.is_logged {
            cx.log_event("suspect_cleared", digest, "a request with it was answered");
        }
        suspect.clear();
    }

    /// Records that an incarnation has answered a request that was sent to it after its losses were
    /// noticed, so that none of them has terminated it.
    pub(crate) fn on_alive(&mut self, cx: &mut Cx<'_>, sent: &SentTo) {
        if !self.is_kept {
            return;
        }
        let answered = self.unfinished.on_alive(cx.now, sent);
        self.clear_all(cx, &answered);
        let alive = sent.incarnation();
        if self.lost_with.get(&alive).is_none_or(|noticed| sent.at <= *noticed) {
            return;
        }
        self.lost_with.remove(&alive);
        self.suspects.values_mut().for_each(|suspect| suspect.remove_loss(&alive));
    }

    /// Remembers an attempt that ended without an answer although no connection broke.
    pub(crate) fn on_unfinished(&mut self, now: Time, suspects: Suspects<'_>, sent: &SentTo) {
        self.unfinished.record(now, sent, &suspects.with_reach(), Ending::WithoutAnswer);
    }

    /// Remembers an attempt whose answer ended with its connection, which may be the end of its upstream.
    pub(crate) fn on_answered_unframed(&mut self, now: Time, suspects: Suspects<'_>, sent: &SentTo) {
        if self.is_kept {
            self.unfinished.record(now, sent, &suspects.with_reach(), Ending::Unframed);
        }
    }

    /// Handles a probe that found an upstream unreachable.
    pub(crate) fn on_unreachable(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let lost = self.unfinished.on_unreachable(upstream);
        self.record_losses(cx, &lost, Reporter::Own);
    }

    /// Handles a change of the host list.
    pub(crate) fn on_host_list(&mut self, cx: &mut Cx<'_>) {
        if !self.is_kept {
            return;
        }
        let lost = self.unfinished.on_host_list(cx);
        self.record_losses(cx, &lost, Reporter::Own);
    }

    /// Sends reports, acknowledgements and probes that are due.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        for upstream in self.unfinished.on_tick(cx) {
            cx.push(Effect::ProbeUpstream { upstream });
        }
        let Self { suspects, reports, .. } = self;
        let now = cx.now;
        let is_proved: Vec<Digest> = suspects
            .iter()
            .filter(|(_, suspect)| suspect.terminated(cx) >= HOLD_THRESHOLD)
            .map(|(digest, _)| *digest)
            .collect();
        reports.on_tick(cx, |digest| is_proved.binary_search(&digest).is_ok());
        self.lost_with.retain(|_, noticed| !noticed.after(LOSS_TTL).is_due(now));
    }

    /// Removes suspects that have expired.
    pub(crate) fn remove_expired(&mut self, cx: &Cx<'_>) {
        self.suspects.retain(|_, suspect| !suspect.expires(cx).is_due(cx.now));
        self.answered_parts.remove_expired(cx.now);
    }

    /// Removes a part of the suspects if there are too many: those with the fewest losses, and the first of
    /// these to expire.
    ///
    /// Callers choose the ids of parts, and could otherwise have a part forgotten by sending many others.
    fn evict_if_full(&mut self, cx: &Cx<'_>) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let rank = |suspect: &Suspect| (suspect.count(cx), suspect.expires(cx));
        let mut ranks: Vec<_> =
            self.suspects.iter().map(|(digest, suspect)| (rank(suspect), *digest)).collect();
        ranks.sort_unstable();
        for (_, digest) in ranks.into_iter().take(EVICTED_AT_ONCE) {
            self.suspects.remove(&digest);
        }
    }
}

/// Logs the losses that a peer has reported, if any were new, in one line for all of them.
fn log_reported_losses(cx: &mut Cx<'_>, from: &HostId, losses: &[Loss], new: usize) {
    let Some(first) = losses.first().filter(|_| new > 0) else { return };
    let incarnation = first.with.incarnation.map_or_else(|| "unknown".to_owned(), |own| own.to_string());
    let digests: Vec<String> =
        losses.iter().take(MAX_LOGGED_DIGESTS).map(|loss| loss.suspect.to_string()).collect();
    let detail = format!("from={from} incarnation={incarnation} losses={new} digests={}", digests.join(","));
    cx.log_event("losses_reported", &first.with.upstream, detail);
}
