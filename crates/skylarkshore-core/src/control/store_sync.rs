//! Synchronisation of the shared keys: reads and watches of the key-value service, and
//! anti-entropy between peers.
//!
//! Start reading at [`StoreSync`]. [`Watchers`] selects which processes watch the service:
//!
//! - `OnePerDataCentre`, the default: one process per data centre watches and sends
//!   records to the others. Heartbeats carry each process's frontier, so that a process
//!   that lags behind or cannot reach the service asks a peer for the missing records.
//! - `All`: every process watches; heartbeats work in the same way.
//! - `Relayed`: every process has a watch, which takes the news that arrives along the
//!   relay tree. It reads the service only at the root of the tree or while no news
//!   arrives. A process that the service does not answer asks a peer for the state.

use std::time::Duration;

use super::backoff::Backoff;
use super::completeness::Completeness;
use super::hashing;
use super::peers::{Peers, data_centre_peers};
use super::relay::has_many_members;
use super::relay_tree::RelayTree;
use crate::config::Watchers;
use crate::cx::Cx;
use crate::effect::Effect;
use crate::id::{CallId, HostId, StoreRevision};
use crate::peer::{News, PeerMessage, StatePart};
use crate::store::{RecordBatch, StoreAnswer, StoreCall, StoreResult, Versioned};
use crate::time::Time;

/// Additional delay per rank before a process takes over from a silent watcher.
const WATCHER_FAILOVER_STEP: Duration = Duration::from_millis(1500);
/// How long a process must have watched before it forwards changes.
///
/// When a whole data centre starts, each process considers itself the watcher until it
/// receives heartbeats from the others. Each process also writes a member key. If all of
/// them forwarded each of these changes to all others, the number of messages would grow
/// with the cube of the hosts.
const WATCH_WARM_UP: Duration = Duration::from_secs(1);
/// Minimum interval between two requests for missing records.
const RECORDS_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// How long a peer may lag behind before it is sent the missing records unasked.
const TOLERATED_LAG: Duration = Duration::from_millis(1500);
/// How long relayed news may take to bring what a peer's heartbeat shows.
///
/// A host of the relay tree that is slow, but not silent, delays all below it.
const MAX_RELAY_LAG: Duration = Duration::from_millis(200);
/// Minimum interval between two requests for the state if the key-value service does not answer.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// How long a peer must be ahead before a process that the service leaves unanswered asks it for the state.
///
/// News that is on its way makes every peer seem ahead now and then.
const LASTING_LEAD: Duration = Duration::from_millis(500);
/// Time over which the hosts of a large cluster spread their reads in a new era, before jitter.
const NEW_ERA_SPREAD: Duration = Duration::from_secs(1);
/// Timeout of the read of all shared keys, as a multiple of `store_timeout`.
///
/// The read takes a call for each page, and each call has a timeout of its own.
const READ_TIMEOUT_FACTOR: u32 = 30;

#[derive(Clone, Copy, Debug)]
struct Read {
    call: CallId,
    sent_at: Time,
    timeout_at: Time,
}

/// A revision that a peer knows and this process doesn't.
#[derive(Clone, Copy, Debug)]
struct PeerLead {
    revision: StoreRevision,
    /// When this process reads the service itself.
    read_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    /// The revision up to which the watch is complete.
    upto: StoreRevision,
    since: Time,
}

/// The synchronisation state of this process.
#[derive(Debug, Default)]
pub(super) struct StoreSync {
    /// The revision up to which no change is missing.
    frontier: StoreRevision,
    completeness: Completeness,
    /// The revision of the first complete snapshot; deletions before it are unknown here.
    first_snapshot: Option<StoreRevision>,
    /// The value of `frontier` at the last update; peers that are below it are sent records.
    lag_limit: StoreRevision,
    next_lag_limit_update: Time,
    watch: Option<Watch>,
    read: Option<Read>,
    read_backoff: Backoff,
    is_read_pending: bool,
    /// The revision of the latest complete snapshot.
    last_snapshot: Option<StoreRevision>,
    /// When the first complete snapshot was received.
    synced_at: Time,
    next_records_request: Time,
    /// Whether the key-value service left the last watch unanswered.
    is_watch_unanswered: bool,
    next_state_request: Time,
    /// What a peer knew first of what is missing here while the service doesn't answer, and since when.
    unanswered_lead: Option<(StoreRevision, Time)>,
    peer_lead: Option<PeerLead>,
}

impl StoreSync {
    /// Returns the revision up to which no change is missing.
    pub(super) const fn frontier(&self) -> StoreRevision {
        self.frontier
    }

    /// Returns the time of which no earlier change is missing; `None` while nothing is known.
    pub(super) const fn complete_at(&self) -> Option<Time> {
        self.completeness.complete_at()
    }

    /// Records the age of news, which this process has read itself or received from a peer.
    ///
    /// Its changes are applied later. Empty news confirms the revision that it follows.
    pub(super) fn on_news(&mut self, now: Time, news: &News) {
        let upto = if news.body.is_empty() { news.after } else { news.upto };
        if let Some(age) = news.age {
            self.completeness.confirm(self.frontier, upto, now.before(age));
        }
    }

    /// Records the age of the state that a peer has begun to send.
    ///
    /// The later parts are as old as the first, however long they are on their way.
    pub(super) fn on_state_part(&mut self, now: Time, part: &StatePart) {
        if let Some(age) = part.age.filter(|_| part.part == 0) {
            self.completeness.confirm(self.frontier, part.upto, now.before(age));
        }
    }

    /// Reports whether this process has received a complete snapshot of the shared keys.
    pub(super) const fn is_synced(&self) -> bool {
        self.first_snapshot.is_some()
    }

    pub(super) const fn last_snapshot(&self) -> Option<StoreRevision> {
        self.last_snapshot
    }

    /// Reports whether no read of all shared keys is in progress or waiting for its next attempt.
    pub(super) const fn has_no_pending_read(&self) -> bool {
        !self.is_read_pending
    }

    /// Reports whether the last read of all shared keys has failed and the next hasn't begun.
    pub(super) const fn has_failed_read(&self) -> bool {
        self.is_read_pending && self.read.is_none()
    }

    /// Returns since when this process has watched the key-value service.
    pub(super) fn watching_since(&self) -> Option<Time> {
        self.watch.map(|watch| watch.since)
    }

    /// Reads all shared keys from the key-value service instead of waiting for a peer to send them.
    pub(super) fn read(&mut self, cx: &mut Cx<'_>) {
        // Ends the watch that `await_peer_state` started.
        if !self.is_synced() {
            self.stop(cx);
        }
        self.is_read_pending = true;
        self.read_when_due(cx);
    }

    /// Waits for a peer to send the state, and for news after that.
    ///
    /// The watch starts at revision 0 because this process knows nothing yet; it reads nothing before
    /// the state has arrived.
    pub(super) fn await_peer_state(&mut self, cx: &mut Cx<'_>) {
        self.read = None;
        self.is_read_pending = false;
        self.watch = Some(Watch { upto: StoreRevision(0), since: cx.now });
        cx.push(Effect::Watch { from: StoreRevision(0) });
    }

    /// Records that a peer has sent the state up to `upto`.
    pub(super) fn on_peer_state(&mut self, cx: &mut Cx<'_>, upto: StoreRevision) {
        if let Some(watch) = &mut self.watch {
            watch.upto = watch.upto.max(upto);
        }
        self.is_read_pending = false;
        self.record_snapshot(cx, upto);
    }

    /// Runs what is due.
    pub(super) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.next_lag_limit_update.is_due(cx.now) {
            self.lag_limit = self.frontier;
            self.next_lag_limit_update = cx.now.after(TOLERATED_LAG);
        }
        if self.read.take_if(|read| read.timeout_at.is_due(cx.now)).is_some() {
            self.read_backoff.record_failure(cx);
        }
        self.read_when_due(cx);
        self.read_if_relay_lags(cx);
    }

    /// Handles the result of a store call, which may belong to another part of the process.
    pub(super) fn on_store(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) {
        let Some(read) = self.read.take_if(|read| read.call == call) else {
            // Another call succeeded, so the remaining backoff of the read is skipped.
            if result.is_ok() {
                self.read_backoff.reset();
                self.read_when_due(cx);
            }
            return;
        };
        let Ok(StoreAnswer::Shared { revision, .. }) = result else {
            self.read_backoff.record_failure(cx);
            return;
        };
        self.read_backoff.reset();
        self.is_read_pending = false;
        // An answer from before the frontier comes from a service that is behind.
        if *revision >= self.frontier {
            self.completeness.confirm(self.frontier, *revision, read.sent_at);
        }
        self.record_snapshot(cx, *revision);
    }

    /// Reports whether the key-value service left the last watch unanswered.
    pub(super) const fn is_watch_unanswered(&self) -> bool {
        self.is_watch_unanswered
    }

    /// Records whether the key-value service answered a watch.
    pub(super) const fn set_watch_answered(&mut self, is_answered: bool) {
        self.is_watch_unanswered = !is_answered;
    }

    /// Advances the frontier and forwards the changes to the members of this data centre.
    pub(super) fn on_watched(&mut self, cx: &mut Cx<'_>, changes: Vec<Versioned>, upto: StoreRevision) {
        let Some(watch) = &mut self.watch else { return };
        let after = watch.upto;
        watch.upto = watch.upto.max(upto);
        let is_warmed_up =
            cx.cfg.watchers == Watchers::OnePerDataCentre && watch.since.after(WATCH_WARM_UP).is_due(cx.now);
        if self.is_synced() && upto > self.frontier {
            self.advance(upto);
        }
        if changes.is_empty() || !is_warmed_up {
            return;
        }
        let message = PeerMessage::Records(RecordBatch { after: Some(after), upto, records: changes });
        let receivers: Vec<HostId> = data_centre_peers(cx).collect();
        for host in receivers {
            cx.send(&host, message.clone());
        }
    }

    /// Ends the watch and schedules a read of all shared keys, since changes may be missing.
    pub(super) fn on_watch_broken(&mut self, cx: &mut Cx<'_>) {
        if self.watch.take().is_none() {
            return;
        }
        self.is_read_pending = true;
        self.read_backoff.record_failure(cx);
        cx.log_event("watch_broken", cx.cfg.host.clone(), "reading all shared keys again");
    }

    /// Reads all shared keys again: what changed on the way to the new era isn't in the history.
    pub(super) fn on_new_era(&mut self, cx: &mut Cx<'_>) {
        self.read = None;
        self.peer_lead = None;
        self.unanswered_lead = None;
        if self.watch.is_none() && !self.is_read_pending {
            return;
        }
        self.stop(cx);
        self.is_read_pending = true;
        self.read_backoff.reset();
        if has_many_members(cx) {
            // All hosts read now; the pages of a large deployment keep the service's link busy.
            self.read_backoff.delay_until(cx.now.after(cx.jitter(NEW_ERA_SPREAD)));
        }
        self.read_when_due(cx);
    }

    /// Records the range that a peer's batch covers.
    pub(super) fn on_records(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        after: Option<StoreRevision>,
        upto: StoreRevision,
    ) {
        let Some(after) = after else {
            self.record_snapshot(cx, upto);
            return;
        };
        if self.is_synced() && after <= self.frontier {
            self.advance(upto);
            return;
        }
        self.request_records(cx, from);
    }

    /// Sends records to a peer that lags behind, and requests them from one that is ahead.
    pub(super) fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        match message {
            PeerMessage::Heartbeat { store, .. } if cx.cfg.watchers == Watchers::Relayed => {
                self.record_peer_lead(cx.now, *store);
                self.request_state_if_cut_off(cx, from, *store);
            }
            PeerMessage::Heartbeat { store, .. } if *store > self.frontier => self.request_records(cx, from),
            PeerMessage::Heartbeat { store, .. } if *store < self.lag_limit => self.reply(cx, from, *store),
            PeerMessage::RecordsWanted { after } => self.reply(cx, from, *after),
            _ => {}
        }
    }

    /// Ends the watch.
    pub(super) fn stop(&mut self, cx: &mut Cx<'_>) {
        if self.watch.take().is_some() {
            cx.push(Effect::Unwatch);
        }
    }

    fn record_snapshot(&mut self, cx: &Cx<'_>, revision: StoreRevision) {
        self.advance(revision);
        self.last_snapshot = self.last_snapshot.max(Some(revision));
        if self.first_snapshot.is_none() {
            self.first_snapshot = Some(revision);
            self.synced_at = cx.now;
        }
    }

    fn advance(&mut self, upto: StoreRevision) {
        self.frontier = self.frontier.max(upto);
        self.completeness.on_frontier(self.frontier);
    }

    fn record_peer_lead(&mut self, now: Time, revision: StoreRevision) {
        if self.peer_lead.is_none() && revision > self.frontier {
            self.peer_lead = Some(PeerLead { revision, read_at: now.after(MAX_RELAY_LAG) });
        }
    }

    /// Reads the changes from the service if news doesn't bring what a peer knows.
    fn read_if_relay_lags(&mut self, cx: &mut Cx<'_>) {
        self.peer_lead.take_if(|lead| lead.revision <= self.frontier);
        if self.peer_lead.take_if(|lead| lead.read_at.is_due(cx.now)).is_some() && self.watch.is_some() {
            cx.push(Effect::ReadMissedNews);
        }
    }

    /// Requests the state from a peer that is ahead, if the key-value service does not answer.
    fn request_state_if_cut_off(&mut self, cx: &mut Cx<'_>, from: &HostId, store: StoreRevision) {
        if store <= self.frontier || !self.is_synced() || !self.is_watch_unanswered {
            return;
        }
        let known_lead = self.unanswered_lead.filter(|(revision, _)| *revision > self.frontier);
        let (_, since) = *self.unanswered_lead.insert(known_lead.unwrap_or((store, cx.now)));
        if since.after(LASTING_LEAD).is_due(cx.now) && self.next_state_request.is_due(cx.now) {
            self.next_state_request = cx.now.after(STATE_REQUEST_INTERVAL);
            let detail = format!("the key-value service is silent; {store} there, {} here", self.frontier);
            cx.log_event("state_requested", from, detail);
            cx.send(from, PeerMessage::StateWanted);
        }
    }

    fn request_records(&mut self, cx: &mut Cx<'_>, from: &HostId) {
        if !self.next_records_request.is_due(cx.now) {
            return;
        }
        self.next_records_request = cx.now.after(RECORDS_REQUEST_INTERVAL);
        cx.send(from, PeerMessage::RecordsWanted { after: self.frontier });
    }

    /// Sends the records that a peer is missing.
    ///
    /// A process does not know the keys that were deleted before its first snapshot. A
    /// peer that is behind that revision receives the state, since a list of
    /// changes would leave deleted members and owners in its cache.
    fn reply(&self, cx: &mut Cx<'_>, to: &HostId, after: StoreRevision) {
        let Some(first_snapshot) = self.first_snapshot.filter(|_| after < self.frontier) else { return };
        let is_full = after < first_snapshot;
        let from = if is_full { StoreRevision(0) } else { after };
        let records: Vec<Versioned> = cx
            .cache
            .changes_after(from)
            .filter(|entry| !is_full || entry.record.is_some())
            .cloned()
            .collect();
        let after = (!is_full).then_some(after);
        cx.send(to, PeerMessage::Records(RecordBatch { after, upto: self.frontier, records }));
    }

    fn read_when_due(&mut self, cx: &mut Cx<'_>) {
        if !self.is_read_pending || self.read.is_some() || !self.read_backoff.is_ready(cx.now) {
            return;
        }
        let call = cx.next_call();
        let timeout_at = cx.now.after(cx.cfg.timings.store_timeout * READ_TIMEOUT_FACTOR);
        self.read = Some(Read { call, sent_at: cx.now, timeout_at });
        cx.push(Effect::Store { call, request: StoreCall::ReadShared });
    }

    /// Starts or ends the watch.
    pub(super) fn review(&mut self, cx: &mut Cx<'_>, peers: &Peers, eligible: &[HostId]) {
        let should_watch = self.is_watcher(cx, peers, eligible);
        match self.watch {
            Some(_) if !should_watch => self.stop(cx),
            None if should_watch && self.is_synced() && !self.is_read_pending => {
                self.watch = Some(Watch { upto: self.frontier, since: cx.now });
                // Lets the watch wait for the parent in the relay tree.
                if cx.cfg.watchers == Watchers::Relayed && RelayTree::of(cx).parent.is_some() {
                    cx.push(Effect::ExtendStateWait);
                }
                cx.push(Effect::Watch { from: self.frontier.next() });
            }
            _ => {}
        }
    }

    /// Reports whether this process should watch the key-value service.
    ///
    /// With `OnePerDataCentre`, the watcher is the first process of a ranking that reaches
    /// the service. If a watcher died unnoticed, its data centre would receive no more
    /// changes, including the deletion of the watcher's own member key. The watcher
    /// therefore sends heartbeats to the whole data centre, which report whether it
    /// reaches the service, and the next process of the ranking takes over when these
    /// reports stop.
    fn is_watcher(&self, cx: &Cx<'_>, peers: &Peers, eligible: &[HostId]) -> bool {
        if cx.cfg.watchers != Watchers::OnePerDataCentre {
            return true;
        }
        let own = &cx.cfg.host;
        let in_data_centre = |host: &&HostId| {
            cx.cache.member(host).is_some_and(|member| member.data_centre == cx.cfg.data_centre)
        };
        let key = format!("watch/{}", cx.cfg.data_centre);
        let ranked = hashing::ranking(&key, eligible.iter().filter(in_data_centre));
        let Some(rank) = ranked.iter().position(|host| *host == own) else { return false };
        let before = &ranked[..rank];
        let Some(last) = before.iter().map(|host| peers.store_reached_at(host)).max() else { return true };
        let step_delay = WATCHER_FAILOVER_STEP.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let failover_delay = cx.cfg.timings.peer_timeout + step_delay;
        // A process that has just synced gives the others the full delay to report.
        last.max(self.synced_at).after(failover_delay).is_due(cx.now)
    }
}
