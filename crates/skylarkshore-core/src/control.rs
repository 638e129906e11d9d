//! Control plane of one process: membership, engine ownership, model homes and power grants.
//!
//! Start reading at [`Control`]. It receives events from the node and runs a periodic
//! review in which all parts decide on the same input.
//!
//! Terms:
//!
//! - **Shared keys**: the keys of the key-value service that every process caches, among
//!   them the member, owner, homes and power keys.
//! - **Member**: a process whose member key exists. The key is bound to the lease of the
//!   process and is deleted when the lease expires.
//! - **Owner**: the process named by an engine's owner record. Only the owner sends
//!   orders to the engine.
//! - **Fence**: a number that rises with every change of an engine's owner and that every
//!   order carries. An engine that checks fences ([`FenceCheck::Refuses`]) refuses orders
//!   with an older fence. For an engine that ignores them ([`FenceCheck::Ignores`]), only
//!   leases and waiting periods keep the orders of two owners apart.
//! - **Writer**: the process that wrote a record. The writer of an owner record is the
//!   owner after a take-over, and the former owner after a hand-over, until the new owner
//!   rewrites the record.
//! - **Home**: an engine on which a model may be loaded.
//! - **Site**: the engines under one power cap.
//! - **Records**: changed shared keys that one process sends to another.
//! - **News**: relayed changes, which one process reads from the key-value service and
//!   the others forward along the relay tree.
//! - **State** or **snapshot**: all shared keys that have a value, complete up to a revision.
//!
//! [`FenceCheck::Refuses`]: crate::upstream::FenceCheck::Refuses
//! [`FenceCheck::Ignores`]: crate::upstream::FenceCheck::Ignores

mod assignment;
mod backoff;
mod bootstrap;
mod completeness;
mod context;
pub(crate) mod hashing;
mod homes;
mod introductions;
mod introspection;
mod inventory;
mod membership;
mod news_pull;
mod owned_engine;
mod ownership;
mod peers;
mod placement;
mod power;
mod power_budget;
pub(crate) mod relay;
mod relay_root;
mod relay_tree;
mod state_provider;
mod store_sync;
mod vacancy;

use std::time::Duration;

use bootstrap::Bootstrap;
use context::ReviewContext;
use homes::Homes;
use introductions::Introductions;
use inventory::EngineInventory;
use membership::Membership;
use news_pull::NewsPull;
use ownership::Ownership;
use peers::{LocalStatus, Peers};
use power::Power;
use relay::Relay;
use relay_root::RelayRoot;
use state_provider::StateProvider;
use store_sync::StoreSync;

use crate::authority::{Authority, EngineUse, OwnershipChange, Permit};
use crate::collections::OrderedSet;
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::effect::Effect;
use crate::id::{CallId, HostId, Incarnation, ModelName, StoreEra, StoreRevision, UpstreamId};
use crate::peer::{News, PeerMessage};
use crate::store::{Key, Record, StoreResult, Versioned, WriteOutcome};
use crate::time::Time;
use crate::units::Watts;

/// Interval between two reviews when nothing has changed.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two reviews while changes are pending.
const REVIEW_INTERVAL_AFTER_CHANGE: Duration = Duration::from_millis(100);
/// Interval between two reviews while an engine lacks power or a model needs another home.
const REVIEW_INTERVAL_DURING_SHORTAGE: Duration = Duration::from_millis(250);

/// Membership, ownership, homes and power of one process.
#[derive(Debug)]
pub struct Control {
    cfg: NodeConfig,
    membership: Membership,
    peers: Peers,
    store_sync: StoreSync,
    bootstrap: Bootstrap,
    introductions: Introductions,
    state_provider: StateProvider,
    relay: Relay,
    relay_root: RelayRoot,
    news_pull: NewsPull,
    inventory: EngineInventory,
    ownership: Ownership,
    homes: Homes,
    power: Power,
    /// The live members that may become owners.
    eligible: Vec<HostId>,
    members_changed: bool,
    /// When `eligible` last changed.
    eligible_since: Time,
    last_review: Time,
    next_inventory_review: Time,
    /// Whether anything has changed since the last review.
    changed: bool,
}

impl Control {
    /// Creates the state of a process that has just started.
    pub fn new(cfg: &NodeConfig) -> Self {
        Self {
            cfg: cfg.clone(),
            membership: Membership::new(),
            peers: Peers::default(),
            store_sync: StoreSync::default(),
            bootstrap: Bootstrap::default(),
            introductions: Introductions::default(),
            state_provider: StateProvider::default(),
            relay: Relay::default(),
            relay_root: RelayRoot::default(),
            news_pull: NewsPull::default(),
            inventory: EngineInventory::default(),
            ownership: Ownership::default(),
            homes: Homes::default(),
            power: Power::default(),
            eligible: Vec::new(),
            members_changed: true,
            eligible_since: Time::START,
            last_review: Time::START,
            next_inventory_review: Time::START,
            changed: false,
        }
    }

    /// Replaces the configuration.
    pub fn configure(&mut self, cfg: &NodeConfig) {
        self.cfg = cfg.clone();
    }

    /// Requests a lease and starts the first read of the shared keys.
    pub fn start(&mut self, cx: &mut Cx<'_>) {
        self.bootstrap.start(cx, &mut self.store_sync);
        self.membership.on_tick(cx);
    }

    /// Runs everything that is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>, engine_use: &dyn EngineUse) {
        self.membership.on_tick(cx);
        if self.membership.is_superseded() {
            return;
        }
        let is_on_standby = self.is_on_standby();
        if !is_on_standby {
            self.peers.on_tick(cx, self.local_status());
        }
        self.store_sync.on_tick(cx);
        self.bootstrap.on_tick(cx, &mut self.store_sync, &mut self.peers);
        if self.store_sync.is_synced() && !is_on_standby {
            self.relay.on_tick(cx, &mut self.peers);
            self.relay_root.on_tick(cx, self.relay.is_root());
            self.news_pull.on_tick(cx, self.store_sync.is_watch_unanswered());
        }
        if self.last_review.after(self.review_interval(engine_use)).is_due(cx.now) {
            self.review(cx, engine_use);
        }
    }

    fn local_status(&self) -> LocalStatus {
        LocalStatus {
            frontier: self.store_sync.frontier(),
            is_store_reachable: self.membership.is_store_reachable() && self.store_sync.has_no_pending_read(),
            is_watching: self.store_sync.watching_since().is_some(),
            is_leaving: self.membership.is_leaving(),
        }
    }

    fn review_interval(&self, engine_use: &dyn EngineUse) -> Duration {
        if self.changed {
            return REVIEW_INTERVAL_AFTER_CHANGE;
        }
        let is_underpowered =
            self.ownership.owned_engines().keys().any(|engine| engine_use.power_shortfall(engine).is_some());
        let has_shortage = is_underpowered || !engine_use.home_requests().is_empty();
        if has_shortage { REVIEW_INTERVAL_DURING_SHORTAGE } else { REVIEW_INTERVAL }
    }

    /// Forwards news that this process has read from the key-value service itself, and
    /// records that the service answers.
    pub fn on_news_read(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.store_sync.set_watch_answered(true);
        self.store_sync.on_news(cx.now, news);
        self.news_pull.on_own_read(cx.now);
        self.relay.on_own_news(cx, news);
    }

    /// Forwards changes that a complete state has brought to this process.
    pub fn on_news_skipped(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.relay.on_own_news(cx, news);
    }

    /// Reports whether another process may act under this host's name, so that this one must not.
    pub fn is_on_standby(&self) -> bool {
        self.membership.is_on_standby()
    }

    /// Reports whether another process has replaced this one for good.
    pub fn is_superseded(&self) -> bool {
        self.membership.is_superseded()
    }

    /// Reports whether this host is known to have run a process before this one.
    pub const fn has_earlier_start(&self) -> bool {
        self.membership.has_earlier_start()
    }

    /// Returns the incarnation that this process has to take before it registers, if its own isn't above those
    /// of earlier starts of this host.
    pub fn raised_incarnation(&self, own: Incarnation) -> Option<Incarnation> {
        self.membership.raised_incarnation(own)
    }

    /// Starts an orderly shutdown.
    pub fn on_shutdown(&mut self, _cx: &mut Cx<'_>) {
        self.membership.leave();
        self.on_members_changed();
    }

    /// Continues a shutdown once this process serves no more requests.
    ///
    /// Revokes the lease if no engine is left that another member could receive, or if
    /// the lease is no longer valid.
    pub fn on_drained(&mut self, cx: &mut Cx<'_>) {
        if self.ownership.has_released_all(&self.eligible) || !self.membership.is_lease_valid(cx.cfg, cx.now)
        {
            self.store_sync.stop(cx);
            self.membership.revoke_lease(cx);
        }
    }

    /// Reports whether this process is deregistered and may exit.
    pub fn has_deregistered(&self) -> bool {
        self.membership.is_deregistered()
    }

    /// Handles upstreams that were added to, changed on or removed from the host list.
    pub fn on_host_list(&mut self, cx: &mut Cx<'_>, changed_upstreams: &[UpstreamId]) {
        self.inventory.on_host_list(cx, changed_upstreams);
        self.changed = true;
    }

    /// Handles the result of a store call other than a write.
    pub fn on_store_result(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) {
        self.membership.on_store(cx, call, result);
        self.store_sync.on_store(cx, call, result);
        self.bootstrap.on_store(cx, &mut self.store_sync, call, result);
    }

    /// Handles the outcome of a write of a member, owner, homes or power key.
    pub fn on_write_outcome(&mut self, cx: &mut Cx<'_>, key: &Key, outcome: &WriteOutcome) {
        self.changed = true;
        match key {
            Key::Member(_) => self.membership.on_write(cx, outcome),
            Key::Owner(engine) => self.ownership.on_write(cx, &self.inventory, engine, outcome),
            Key::Homes(_) => self.homes.on_write(cx, &self.inventory, key, outcome),
            Key::Power(site) => self.power.on_write(cx, site, outcome),
            Key::RelayRoot(_) => self.on_root_written(cx, outcome),
            Key::Document | Key::Catalogue | Key::Once(_) => {}
        }
    }

    /// Handles a change of a shared key in the cache.
    pub fn on_key_change(&mut self, cx: &mut Cx<'_>, key: &Key) {
        self.changed = true;
        match key {
            Key::Member(host) => self.on_member(cx, host),
            Key::Owner(engine) => self.on_owner(cx, engine),
            Key::Homes(model) => self.homes.on_change(cx, &self.inventory, model),
            Key::Power(site) => self.power.on_change(cx, site),
            Key::Document | Key::Catalogue => self.homes.update_all(cx, &self.inventory),
            Key::RelayRoot(_) => self.on_relay_root(cx, key),
            Key::Once(_) => {}
        }
    }

    fn on_owner(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        if let Some((_, owner)) = cx.cache.owner(engine).filter(|(_, owner)| owner.host == cx.cfg.host) {
            self.membership.on_named(cx, owner.incarnation);
        }
        self.ownership.reconcile(cx, &self.inventory, engine);
    }

    /// Handles a change of the record of a relay root, which this process may have claimed before it registered.
    fn on_relay_root(&mut self, cx: &mut Cx<'_>, key: &Key) {
        let record = cx.cache.get(key).and_then(|entry| entry.record.as_ref());
        if let Some(Record::RelayRoot(root)) = record
            && root.host == cx.cfg.host
            && root.incarnation != cx.cfg.incarnation
        {
            self.membership.on_named(cx, root.incarnation);
        }
    }

    fn on_root_written(&mut self, cx: &mut Cx<'_>, outcome: &WriteOutcome) {
        self.bootstrap.on_write(cx, &mut self.store_sync, outcome);
        self.relay_root.on_write();
    }

    /// Records that a peer has sent the state up to `upto`.
    pub fn on_snapshot(&mut self, cx: &mut Cx<'_>, upto: StoreRevision) {
        self.store_sync.on_peer_state(cx, upto);
    }

    /// Requests the changes that are missing between two news messages from peers.
    ///
    /// In a small cluster the process reads the key-value service. In a large one it asks
    /// its parent in the relay tree, since reads by every process at once would keep the
    /// service's link busy for longer than a parent takes to answer. It asks only once it
    /// is in sync and the gap has persisted for a while, since messages may overtake each
    /// other.
    pub fn on_news_gap(&mut self, cx: &mut Cx<'_>, gap_persists: bool) {
        if gap_persists {
            self.news_pull.on_lasting_gap();
        }
        if !relay::has_many_members(cx) {
            cx.push(Effect::ReadMissedNews);
        } else if gap_persists && self.store_sync.is_synced() {
            self.relay.request_state_from_parent(cx);
        }
    }

    /// Gives up what was written or granted in earlier eras of the key-value service, and reads it again.
    pub fn on_new_era(&mut self, cx: &mut Cx<'_>, era: StoreEra) {
        self.membership.on_new_era(cx);
        self.ownership.on_new_era(cx, era);
        self.store_sync.on_new_era(cx);
        self.changed = true;
    }

    /// Records that the key-value service did not answer a watch.
    pub fn on_watch_timed_out(&mut self) {
        self.store_sync.set_watch_answered(false);
    }

    /// Records that the watch may have missed changes.
    pub fn on_watch_broken(&mut self, cx: &mut Cx<'_>) {
        self.store_sync.set_watch_answered(false);
        self.store_sync.on_watch_broken(cx);
    }

    /// Handles changes reported by the watch, which is complete up to `upto`.
    pub fn on_watched(&mut self, cx: &mut Cx<'_>, changes: Vec<Versioned>, upto: StoreRevision) {
        self.store_sync.on_watched(cx, changes, upto);
    }

    /// Records the range that a peer's batch covers, after its records were applied to the cache.
    pub fn on_records(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        after: Option<StoreRevision>,
        upto: StoreRevision,
    ) {
        self.store_sync.on_records(cx, from, after, upto);
    }

    /// Records whether an engine of this process answered a report request.
    pub fn on_report(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId, reached: bool) {
        self.inventory.on_report(cx, engine, reached);
    }

    /// Handles a peer message.
    pub fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        if self.membership.is_superseded() {
            return;
        }
        self.peers.on_peer(cx, from, message);
        self.news_pull.on_peer(cx.now, self.store_sync.frontier(), from, message);
        self.store_sync.on_peer(cx, from, message);
        self.bootstrap.on_peer(cx, from, message);
        if let PeerMessage::Heartbeat { store, .. } = message {
            self.state_provider.on_heartbeat(from, *store);
        }
        match message {
            PeerMessage::News(news) => {
                self.store_sync.on_news(cx.now, news);
                self.relay.on_news(cx, from, news);
            }
            PeerMessage::State(part) => self.store_sync.on_state_part(cx.now, part),
            // The requester regards this process as its parent and expects news from it.
            PeerMessage::StateWanted if self.state_provider.on_request(cx, &self.store_sync, from) => {
                self.relay.add_temporary_child(cx.now, from);
            }
            // A broadcast to all processes, which travels along the relay trees as news does.
            PeerMessage::Spread { .. } => self.relay.relay_spread(cx, from, message),
            _ => {}
        }
        if let PeerMessage::PowerWanted { site, watts, .. } = message {
            self.power.on_power_request(cx, site, *watts);
            self.changed = true;
        }
    }

    /// Handles a connection from a process whose certificate no known member has published.
    pub fn on_unknown_peer(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.introductions.on_unknown_peer(cx, host);
    }

    /// Records that this incarnation of a process has definitely ended.
    pub fn on_peer_connection_refused(&mut self, cx: &mut Cx<'_>, host: &HostId, incarnation: Incarnation) {
        self.peers.on_connection_refused(cx, host, incarnation);
        self.on_members_changed();
    }

    /// Returns the time of which no earlier change of a shared key is missing here.
    pub const fn complete_at(&self) -> Option<Time> {
        self.store_sync.complete_at()
    }

    /// Returns the ownership changes since the last call.
    pub fn take_changes(&mut self) -> Vec<OwnershipChange> {
        self.ownership.take_changes()
    }

    /// Returns the entries for a state dump.
    pub fn dump(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        introspection::dump_entries(self, cx)
    }

    /// Returns the gauges for the metrics.
    pub fn gauges(&self, cx: &Cx<'_>) -> Vec<Gauge> {
        introspection::gauges(self, cx)
    }

    fn on_member(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.peers.on_member(cx, host);
        if *host == cx.cfg.host {
            self.membership.on_change(cx);
        }
        if self.membership.is_superseded() {
            self.ownership.retire();
            self.store_sync.stop(cx);
        }
        self.on_members_changed();
    }

    const fn on_members_changed(&mut self) {
        self.members_changed = true;
        self.changed = true;
    }

    fn review(&mut self, cx: &mut Cx<'_>, engine_use: &dyn EngineUse) {
        let has_changed = std::mem::take(&mut self.changed);
        self.last_review = cx.now;
        self.review_members(cx);
        if !self.membership.is_deregistered() {
            self.store_sync.review(cx, &self.peers, &self.eligible);
        }
        if self.is_on_standby() {
            return;
        }
        if self.next_inventory_review.is_due(cx.now) {
            self.next_inventory_review = cx.now.after(REVIEW_INTERVAL);
            self.inventory.review(cx, &recorded_engines(cx));
        }
        let context = ReviewContext {
            membership: &self.membership,
            peers: &self.peers,
            store_sync: &self.store_sync,
            era: self.ownership.era(cx),
            inventory: &self.inventory,
            eligible: &self.eligible,
            eligible_since: self.eligible_since,
            has_changed,
        };
        self.ownership.review(cx, &context, engine_use);
        self.homes.review(cx, &context, &self.ownership, engine_use);
        self.power.review(cx, &context, &self.ownership, engine_use);
        for (host, incarnation) in self.ownership.take_probes() {
            self.peers.probe(cx, &host, incarnation);
        }
    }

    fn review_members(&mut self, cx: &Cx<'_>) {
        if !std::mem::take(&mut self.members_changed) {
            return;
        }
        let eligible = self.peers.eligible(cx, &self.membership);
        if eligible != self.eligible {
            self.eligible = eligible;
            self.eligible_since = cx.now;
        }
    }

    /// Reports whether the shared keys are known up to the revision at which the engine was acquired.
    fn is_synced_past(&self, acquired_revision: StoreRevision) -> bool {
        self.store_sync.is_synced() && self.store_sync.frontier() >= acquired_revision
    }
}

impl Authority for Control {
    fn permit(&self, now: Time, engine: &UpstreamId) -> Option<Permit> {
        self.ownership.permit(&self.cfg, &self.membership, &self.inventory, now, engine)
    }

    fn is_home(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        let Some(owned) = self.ownership.held(engine) else { return false };
        // Listed but not live: the engine has announced that it leaves.
        let is_departing =
            self.inventory.get(engine).is_some_and(|known| known.is_listed() && !known.is_live());
        !is_departing && self.homes.is_home(engine, model, owned.acquired_revision)
    }

    fn must_unload(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        let Some(owned) = self.ownership.held(engine) else { return false };
        let Some(known) = self.inventory.get(engine) else { return false };
        // Listed but not live: the engine has announced that it leaves.
        let is_departing = known.is_listed() && !known.is_live();
        let excluded = self.is_synced_past(owned.acquired_revision) && self.homes.is_excluded(engine, model);
        is_departing || excluded || self.power.has_to_stop(engine, known)
    }

    fn granted_power(&self, engine: &UpstreamId) -> Watts {
        let owned = self.ownership.owned_engines().get(engine);
        let known = self.inventory.get(engine);
        let Some((owned, known)) = owned.zip(known) else { return Watts(0) };
        self.power.granted(engine, known, owned.acquired_revision)
    }
}

/// Returns every engine named by an owner or homes record.
fn recorded_engines(cx: &Cx<'_>) -> OrderedSet<UpstreamId> {
    let owned = cx.cache.owners().map(|(engine, _)| engine);
    let homes = cx.cache.all_homes().flat_map(|(_, homes)| &homes.engines);
    owned.chain(homes).cloned().collect()
}
