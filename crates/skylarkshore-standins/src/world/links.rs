//! Links between hosts and upstreams that are lost, and what brittle upstreams answer.

use std::time::Duration;

use skylarkshore_core::event::{AttemptOutcome, Event, Rejection, ReportedLoad};
use skylarkshore_core::id::{AttemptId, HostId, UpstreamId};
use skylarkshore_core::notice::UpstreamNotice;

use super::execute::{REQUEST_LIMIT_FACTOR, lost_outcome};
use super::host::Host;
use super::partitions::LinkLoss;
use super::schedule::{SentRequest, Task};
use super::{LATENCY, World};

/// How long a host waits for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long sent bytes may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request doesn't leave its host, and after which time that shows.
#[derive(Clone, Debug)]
pub(crate) struct SendFailure {
    pub(crate) end: AttemptOutcome,
    pub(crate) after: Duration,
}

impl World {
    /// Reports whether a host reaches the upstreams, directly or through a peer.
    pub(crate) fn has_path(&self, h: usize, via: Option<&HostId>) -> bool {
        match via {
            None => self.hosts[h].link_loss(self.now).is_none(),
            Some(peer) => self.can_relay(h, peer),
        }
    }

    fn can_relay(&self, h: usize, peer: &HostId) -> bool {
        let is_reached = self.hosts[h].peers_unreachable_until <= self.now;
        let relays = |host: &Host| {
            host.is_up()
                && !host.is_frozen()
                && host.peers_unreachable_until <= self.now
                && host.link_loss(self.now).is_none()
        };
        is_reached && self.hosts.iter().any(|host| host.id == *peer && relays(host))
    }

    /// Returns how a request that is sent now fails, if it does.
    pub(crate) fn send_failure(&mut self, h: usize, via: Option<&HostId>) -> Option<SendFailure> {
        if let Some(peer) = via {
            let failure = SendFailure { end: AttemptOutcome::NoPath, after: LATENCY * 2 };
            return (!self.can_relay(h, peer)).then_some(failure);
        }
        let loss = self.hosts[h].send_failure(self.now)?;
        let end = match loss {
            LinkLoss::Closes => AttemptOutcome::Lost { passed_on: false, died: true },
            LinkLoss::Hangs | LinkLoss::Resets | LinkLoss::RefusesNew => AttemptOutcome::NotSent,
        };
        Some(SendFailure { end, after: connect_failure_time(loss) })
    }

    pub(crate) fn probe_upstream(&mut self, h: usize, upstream: UpstreamId) {
        let is_up = self.engines.get(&upstream).is_none_or(|engine| engine.up)
            && self.services.get(&upstream).is_none_or(|replica| replica.up);
        let loss = self.hosts[h].link_loss(self.now);
        let after = loss.map_or(LATENCY, connect_failure_time);
        let is_whole = loss.is_none() || self.hosts[h].deceives_probes(self.now);
        let event = Event::UpstreamProbed { upstream, reached: is_up && is_whole };
        let to = self.hosts[h].sender();
        self.schedule.add(self.now.after(after), Task::Event { to, event });
    }

    /// Ends the attempts of a host whose connections to upstreams are lost.
    pub(crate) fn break_attempts(&mut self, h: usize, loss: LinkLoss) {
        if loss == LinkLoss::RefusesNew {
            return;
        }
        let from = self.hosts[h].sender();
        let open: Vec<AttemptId> =
            self.attempts.keys().filter(|key| key.is_of(from)).map(|key| key.attempt).collect();
        let after = if loss == LinkLoss::Hangs { ACK_TIMEOUT } else { LATENCY };
        for attempt in open {
            let passed_on = self.stop_runs(from, attempt).iter().any(|run| run.started && !run.sent.hold);
            let end = AttemptOutcome::Lost { passed_on, died: true };
            self.schedule.add(self.now.after(after), Task::AttemptFails { from, attempt, end });
        }
    }

    /// Rejects a request for want of room at a brittle upstream, which may fall over then.
    pub(crate) fn brittle_rejection(&mut self, sent: &SentRequest) -> Option<AttemptOutcome> {
        if self.brittle.is_down(self.now, &sent.upstream) {
            return Some(AttemptOutcome::NotSent);
        }
        let (concurrency, is_strict) = self.brittle.concurrency(self.now, &sent.upstream)?;
        let runs = self.services.get(&sent.upstream).map_or(0, |service| service.runs.len());
        let room = if is_strict { concurrency } else { concurrency * REQUEST_LIMIT_FACTOR };
        if runs < room {
            return None;
        }
        if self.brittle.record_rejection(self.now, &sent.upstream) {
            let lost = self.services.get_mut(&sent.upstream).map(|service| std::mem::take(&mut service.runs));
            for run in lost.into_iter().flatten() {
                self.end_run(&run.1, lost_outcome(&run.1, true));
            }
        }
        Some(AttemptOutcome::Rejected(Rejection::Busy))
    }

    /// Tells a host what a brittle upstream says of itself in its answers: its limit and its load.
    pub(crate) fn report_brittle_state(&mut self, sent: &SentRequest) {
        let upstream = sent.upstream.clone();
        let Some(limit) = self.brittle.named_limit(&upstream) else { return };
        if self.brittle.is_down(self.now, &upstream) {
            return;
        }
        let running = self.services.get(&upstream).map_or(0, |service| service.runs.len());
        let concurrency =
            self.brittle.concurrency(self.now, &upstream).map_or(0, |(concurrency, _)| concurrency);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let load = ReportedLoad {
            running: count(running.min(concurrency)),
            waiting: count(running.saturating_sub(concurrency)),
            concurrency: count(concurrency),
        };
        let notice =
            UpstreamNotice { load: Some(load), rejection_limit: Some(limit), ..UpstreamNotice::default() };
        let incarnation = sent.incarnation.unwrap_or_default();
        self.send_event(sent.from, Event::UpstreamNoticed { upstream, incarnation, via: None, notice });
    }
}

/// Returns how long a host waits for a connection that can't be opened.
const fn connect_failure_time(loss: LinkLoss) -> Duration {
    match loss {
        LinkLoss::Hangs => CONNECT_TIMEOUT,
        LinkLoss::Resets | LinkLoss::RefusesNew | LinkLoss::Closes => LATENCY,
    }
}
