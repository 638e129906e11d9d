//! Reports of losses to the other processes, repeated until each has acknowledged them.
//!
//! Open [`LossReports`] first.
//!
//! A message to a process is dropped while there is no connection to it, and a process that has
//! just started has received none. A process that doesn't know of a loss passes the request on to
//! one more upstream.
//!
//! In a small cluster, each process reports its own losses to all others. In a large one, reports
//! travel along the relay trees, and each process repeats them to its children. A process that starts
//! later is also told what others have reported, as those may have ended.

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::control::relay::broadcast_receivers;
use crate::cx::Cx;
use crate::id::{Digest, HostId, Incarnation, UpstreamId};
use crate::peer::PeerMessage;
use crate::time::Time;

use super::loss::{LOSS_TTL, Loss};

/// Delay before the first repetition; each further one takes twice as long.
const FIRST_RESEND_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between two repetitions.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of losses that are reported at a time.
const MAX_REPORTS: usize = 4096;
/// Number of reports that are removed at once, as ranking them takes long.
const EVICTED_AT_ONCE: usize = MAX_REPORTS / 4;

/// Which process noticed a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reporter {
    /// This process.
    Own,
    /// Another one, which reported it.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    reporter: Reporter,
    at: Time,
    until: Time,
}

/// A member as it was first known.
#[derive(Clone, Copy, Debug)]
struct KnownMember {
    incarnation: Incarnation,
    since: Time,
}

/// A process that receives reports.
#[derive(Debug)]
struct Receiver {
    incarnation: Incarnation,
    /// Whether it also receives the losses that other processes have reported to this one.
    is_child: bool,
    unacknowledged: OrderedSet<Loss>,
    resend_at: Time,
    resends: u32,
    /// Until when it receives reports; limited once it is no longer a member or a child.
    until: Time,
}

impl Receiver {
    fn receives(&self, reporter: Reporter) -> bool {
        self.is_child || reporter == Reporter::Own
    }

    fn resend_delay(&self) -> Duration {
        FIRST_RESEND_DELAY.saturating_mul(1 << self.resends.min(8)).min(MAX_RESEND_DELAY)
    }
}

/// The losses that this process reports, and who has acknowledged them.
#[derive(Debug, Default)]
pub(super) struct LossReports {
    reports: OrderedMap<Loss, Report>,
    receivers: OrderedMap<HostId, Receiver>,
    /// The version of the members for which `receivers` was computed.
    members_version: Option<u64>,
    /// Since when each member has been known in its incarnation.
    known_members: OrderedMap<HostId, KnownMember>,
    known_members_version: Option<u64>,
    /// Losses that peers have reported since the last tick.
    to_acknowledge: OrderedMap<HostId, OrderedSet<Loss>>,
}

impl LossReports {
    /// Reports a loss to all receivers.
    ///
    /// The loss isn't held back until the next tick: its caller may send the request to another
    /// host as soon as it is answered.
    pub(super) fn add(&mut self, cx: &mut Cx<'_>, loss: &Loss, reporter: Reporter) {
        self.update_known_members(cx);
        self.update_receivers(cx);
        let report = Report { reporter, at: cx.now, until: cx.now.after(LOSS_TTL) };
        self.reports.insert(loss.clone(), report);
        for (host, receiver) in &mut self.receivers {
            if !receiver.receives(reporter) {
                continue;
            }
            if receiver.unacknowledged.is_empty() {
                receiver.resends = 0;
                receiver.resend_at = cx.now.after(FIRST_RESEND_DELAY);
            }
            receiver.unacknowledged.insert(loss.clone());
            send(cx, host, [loss]);
        }
    }

    /// Acknowledges the losses that a peer has reported, with the next tick.
    pub(super) fn acknowledge(&mut self, from: &HostId, losses: impl Iterator<Item = Loss>) {
        self.to_acknowledge.entry(from.clone()).or_default().extend(losses);
    }

    /// Handles a receiver's acknowledgement.
    pub(super) fn on_acknowledged(&mut self, from: &HostId, losses: impl Iterator<Item = Loss>) {
        let Some(receiver) = self.receivers.get_mut(from) else { return };
        for loss in losses {
            receiver.unacknowledged.remove(&loss);
        }
    }

    /// Sends acknowledgements, and repeats the reports that are not acknowledged.
    ///
    /// Losses of a suspect are reported for as long as `is_proved` holds for it, so that a process that
    /// starts in the meantime holds it back, too.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>, is_proved: impl Fn(Digest) -> bool) {
        for (host, losses) in std::mem::take(&mut self.to_acknowledge) {
            send_acknowledgements(cx, &host, losses.iter());
        }
        let now = cx.now;
        self.update_known_members(cx);
        self.reports.retain(|loss, report| !report.until.is_due(now) || is_proved(loss.suspect));
        if self.reports.is_empty() {
            self.receivers.clear();
            self.members_version = None;
            return;
        }
        self.update_receivers(cx);
        for (host, receiver) in &mut self.receivers {
            receiver.unacknowledged.retain(|loss| self.reports.contains_key(loss));
            if receiver.unacknowledged.is_empty() || !receiver.resend_at.is_due(now) {
                continue;
            }
            let detail = format!("losses={} resends={}", receiver.unacknowledged.len(), receiver.resends);
            cx.log_event("loss_report_repeated", host, detail);
            receiver.resend_at = now.after(receiver.resend_delay());
            receiver.resends = receiver.resends.saturating_add(1);
            send(cx, host, &receiver.unacknowledged);
        }
    }

    /// Records since when members have been known, if they have changed.
    fn update_known_members(&mut self, cx: &Cx<'_>) {
        if self.known_members_version == Some(cx.cache.members_version()) {
            return;
        }
        self.known_members_version = Some(cx.cache.members_version());
        self.known_members.retain(|host, _| cx.cache.member(host).is_some());
        for (host, member) in cx.cache.members() {
            let known = self.known_members.get(host);
            if known.is_none_or(|known| known.incarnation != member.incarnation) {
                let known = KnownMember { incarnation: member.incarnation, since: cx.now };
                self.known_members.insert(host.clone(), known);
            }
        }
    }

    /// Updates the receivers when the members have changed.
    ///
    /// A process that has started since is told all that was reported before.
    fn update_receivers(&mut self, cx: &Cx<'_>) {
        let now = cx.now;
        self.receivers.retain(|_, receiver| !receiver.until.is_due(now));
        if self.members_version == Some(cx.cache.members_version()) {
            return;
        }
        self.members_version = Some(cx.cache.members_version());
        let current = broadcast_receivers(cx);
        for (host, receiver) in &mut self.receivers {
            let is_current = current.own.contains(host) || current.forwarded.contains(host);
            // A process that the key-value service turns away loses its member key, but still serves.
            receiver.until = if is_current { Time::NEVER } else { receiver.until.min(now.after(LOSS_TTL)) };
        }
        for host in current.own.iter().chain(&current.forwarded) {
            let Some(member) = cx.cache.member(host) else { continue };
            let is_child = current.forwarded.contains(host);
            let known = self.receivers.get(host);
            let is_known = known
                .is_some_and(|known| known.incarnation == member.incarnation && known.is_child == is_child);
            if is_known {
                continue;
            }
            let mut receiver = Receiver {
                incarnation: member.incarnation,
                is_child,
                unacknowledged: OrderedSet::new(),
                resend_at: now,
                resends: 0,
                until: Time::NEVER,
            };
            let since = self.known_members.get(host).map_or(Time::START, |known| known.since);
            let reports = self.reports.iter().filter(|(_, report)| {
                receiver.receives(report.reporter) || (current.informs_later && report.at < since)
            });
            receiver.unacknowledged = reports.map(|(loss, _)| loss.clone()).collect();
            self.receivers.insert(host.clone(), receiver);
        }
    }

    /// Forgets the losses of a suspect that is cleared.
    pub(super) fn forget(&mut self, suspect: Digest) {
        self.reports.retain(|loss, _| loss.suspect != suspect);
        for receiver in self.receivers.values_mut() {
            receiver.unacknowledged.retain(|loss| loss.suspect != suspect);
        }
    }

    /// Removes a part of the reports if there are too many: those of suspects with the fewest losses, and the
    /// oldest of these.
    pub(super) fn evict_if_full(&mut self, losses_of: impl Fn(Digest) -> usize) {
        if self.reports.len() < MAX_REPORTS {
            return;
        }
        let rank = |loss: &Loss, report: &Report| (losses_of(loss.suspect), report.until);
        let mut ranks: Vec<_> =
            self.reports.iter().map(|(loss, report)| (rank(loss, report), loss.clone())).collect();
        ranks.sort_unstable();
        for (_, loss) in ranks.into_iter().take(EVICTED_AT_ONCE) {
            self.reports.remove(&loss);
        }
    }
}

/// Sends a receiver one message for each incarnation of an upstream.
fn send<'a>(cx: &mut Cx<'_>, to: &HostId, losses: impl IntoIterator<Item = &'a Loss>) {
    for (upstream, incarnation, requests) in by_incarnation(losses) {
        cx.send(to, PeerMessage::Suspects { upstream, incarnation, requests, alone: false });
    }
}

fn send_acknowledgements<'a>(cx: &mut Cx<'_>, to: &HostId, losses: impl IntoIterator<Item = &'a Loss>) {
    for (upstream, incarnation, requests) in by_incarnation(losses) {
        cx.send(to, PeerMessage::LossesNoted { upstream, incarnation, requests });
    }
}

/// Groups losses, which are in order, by the incarnation of the upstream.
fn by_incarnation<'a>(
    losses: impl IntoIterator<Item = &'a Loss>,
) -> Vec<(UpstreamId, Option<Incarnation>, Vec<Digest>)> {
    let losses: Vec<&Loss> = losses.into_iter().collect();
    let groups = losses.chunk_by(|a, b| a.with == b.with);
    groups
        .map(|group| {
            let requests = group.iter().map(|loss| loss.suspect).collect();
            (group[0].with.upstream.clone(), group[0].with.incarnation, requests)
        })
        .collect()
}
