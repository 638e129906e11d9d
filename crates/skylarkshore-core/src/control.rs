//! Which process is alive, which owns which engine, where models may be loaded, who gets the power.

mod backoff;
mod budget;
mod catch_up;
mod feed;
pub(crate) mod hashing;
mod holdings;
mod homes;
mod knowledge;
mod membership;
mod ownership;
mod peers;
mod placement;
mod power;
pub(crate) mod relay;
mod report;
mod roster;
mod shares;
mod tree;
mod vacancy;

use std::time::Duration;

use catch_up::CatchUp;
use feed::Feed;
use homes::Homes;
use knowledge::Knowledge;
use membership::Membership;
use ownership::Ownership;
use peers::{OwnState, Peers};
use power::Power;
use relay::Relay;
use roster::Roster;

use crate::authority::{Authority, EngineUse, OwnershipChange, Permit};
use crate::collections::OrderedSet;
use crate::config::NodeConfig;
use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::effect::Effect;
use crate::id::{CallId, HostId, Incarnation, ModelName, StoreRevision, UpstreamId};
use crate::peer::{News, PeerMessage};
use crate::store::{Key, StoreResult, Versioned, WriteOutcome};
use crate::time::Time;
use crate::units::Watts;

/// How often everything is looked at again.
const REVIEW_EVERY: Duration = Duration::from_secs(1);
/// How soon it is looked at again after a change.
const REVIEW_SOON: Duration = Duration::from_millis(100);
/// How often it is looked at again while an engine lacks power or a model a home.
const REVIEW_PRESSING: Duration = Duration::from_millis(250);

/// Membership, ownership, homes and power of one process.
#[derive(Debug)]
pub struct Control {
    cfg: NodeConfig,
    membership: Membership,
    peers: Peers,
    feed: Feed,
    catch_up: CatchUp,
    relay: Relay,
    roster: Roster,
    ownership: Ownership,
    homes: Homes,
    power: Power,
    /// The live members that may own something and keep it.
    eligible: Vec<HostId>,
    members_changed: bool,
    /// When the live members last changed.
    eligible_since: Time,
    last_review: Time,
    next_roster_review: Time,
    /// Whether something has changed since the last review.
    changed: bool,
}

impl Control {
    /// Makes the state of a process that has just started.
    pub fn new(cfg: &NodeConfig) -> Self {
        Self {
            cfg: cfg.clone(),
            membership: Membership::new(),
            peers: Peers::default(),
            feed: Feed::default(),
            catch_up: CatchUp::default(),
            relay: Relay::default(),
            roster: Roster::default(),
            ownership: Ownership::default(),
            homes: Homes::default(),
            power: Power::default(),
            eligible: Vec::new(),
            members_changed: true,
            eligible_since: Time::START,
            last_review: Time::START,
            next_roster_review: Time::START,
            changed: false,
        }
    }

    /// Takes new settings over.
    pub fn configure(&mut self, cfg: &NodeConfig) {
        self.cfg = cfg.clone();
    }

    /// Begins the lease and the first read of the shared keys.
    pub fn start(&mut self, cx: &mut Cx<'_>) {
        self.catch_up.start(cx, &mut self.feed);
        self.membership.on_tick(cx);
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>, engines: &dyn EngineUse) {
        self.membership.on_tick(cx);
        self.peers.on_tick(cx, self.own_state());
        self.feed.on_tick(cx);
        self.catch_up.on_tick(cx, &mut self.feed);
        self.relay.on_tick(cx);
        if self.last_review.after(self.review_every(engines)).is_due(cx.now) {
            self.review(cx, engines);
        }
    }

    fn own_state(&self) -> OwnState {
        OwnState {
            frontier: self.feed.frontier(),
            is_store_reachable: self.membership.is_store_reachable() && self.feed.is_store_reachable(),
            is_watching: self.feed.watching_since().is_some(),
            is_leaving: self.membership.is_leaving(),
        }
    }

    fn review_every(&self, engines: &dyn EngineUse) -> Duration {
        if self.changed {
            return REVIEW_SOON;
        }
        let lacking =
            self.ownership.holdings().keys().any(|engine| engines.power_shortfall(engine).is_some());
        let pressing = lacking || !engines.home_requests().is_empty();
        if pressing { REVIEW_PRESSING } else { REVIEW_EVERY }
    }

    /// Takes news that this process has read itself.
    pub fn on_news_read(&mut self, cx: &mut Cx<'_>, news: &News) {
        self.feed.note_watch(true);
        self.relay.on_read(cx, news);
    }

    /// Begins to leave.
    pub fn on_shutdown(&mut self, _cx: &mut Cx<'_>) {
        self.membership.leave();
        self.on_members_changed();
    }

    /// Ends the lease, now that nothing is in progress any more.
    pub fn on_drained(&mut self, cx: &mut Cx<'_>) {
        if self.ownership.has_given_up(&self.eligible) || !self.membership.is_certain(cx.cfg, cx.now) {
            self.feed.stop(cx);
            self.membership.revoke(cx);
        }
    }

    /// Tells whether nothing is left to be given up.
    pub fn has_deregistered(&self) -> bool {
        self.membership.is_gone()
    }

    /// Takes note that upstreams of the host list have changed.
    pub fn on_host_list(&mut self, cx: &mut Cx<'_>, touched: &[UpstreamId]) {
        self.roster.on_host_list(cx, touched);
        self.changed = true;
    }

    /// Takes the result of a call that isn't a write.
    pub fn on_store_result(&mut self, cx: &mut Cx<'_>, call: CallId, result: &StoreResult) {
        self.membership.on_store(cx, call, result);
        self.feed.on_store(cx, call, result);
        self.catch_up.on_store(cx, &mut self.feed, call, result);
        self.catch_up.on_synced(cx, &self.feed);
    }

    /// Takes the outcome of a write of a member, owner, homes or power key.
    pub fn on_write_outcome(&mut self, cx: &mut Cx<'_>, key: &Key, outcome: &WriteOutcome) {
        self.changed = true;
        match key {
            Key::Member(_) => self.membership.on_write(cx, outcome),
            Key::Owner(engine) => self.ownership.on_write(cx, &self.roster, engine, outcome),
            Key::Homes(model) => self.homes.on_write(cx, &self.roster, model, outcome),
            Key::Power(site) => self.power.on_write(cx, site, outcome),
            Key::Document | Key::Catalogue | Key::Once(_) => {}
        }
    }

    /// Takes note that a shared key has changed in the cache.
    pub fn on_key_change(&mut self, cx: &mut Cx<'_>, key: &Key) {
        self.changed = true;
        match key {
            Key::Member(host) => self.on_member(cx, host),
            Key::Owner(engine) => self.ownership.refresh(cx, &self.roster, engine),
            Key::Homes(model) => self.homes.on_change(cx, &self.roster, model),
            Key::Power(site) => self.power.on_change(cx, site),
            Key::Document | Key::Catalogue => self.homes.update_all(cx, &self.roster),
            Key::Once(_) => {}
        }
    }

    /// Takes note that a peer has told every shared key.
    pub fn on_snapshot(&mut self, cx: &mut Cx<'_>, upto: StoreRevision) {
        self.feed.on_state(cx, upto);
        self.catch_up.on_synced(cx, &self.feed);
    }

    /// Decides where to learn what news from peers have left out.
    ///
    /// Where members are few the service is read, which takes a moment; were all
    /// of many to do so, its link would be busy for longer than a parent takes.
    pub fn on_news_gap(&self, cx: &mut Cx<'_>, lasts: bool) {
        if !relay::are_members_many(cx) {
            cx.push(Effect::ReadMissedNews);
        } else if lasts && self.feed.is_synced() {
            self.relay.ask_parent(cx);
        }
    }

    /// Takes note that the service didn't answer a watch.
    pub fn on_watch_timed_out(&mut self) {
        self.feed.note_watch(false);
    }

    /// Takes note that the watch may have missed changes.
    pub fn on_watch_broken(&mut self, cx: &mut Cx<'_>) {
        self.feed.note_watch(false);
        self.feed.on_watch_broken(cx);
    }

    /// Takes note of changes that the watch saw, and of the revision up to which it missed none.
    pub fn on_watched(&mut self, cx: &mut Cx<'_>, changes: Vec<Versioned>, upto: StoreRevision) {
        self.feed.on_watched(cx, changes, upto);
    }

    /// Takes note of what a batch from a peer covers, after its records went into the cache.
    pub fn on_records(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        after: Option<StoreRevision>,
        upto: StoreRevision,
    ) {
        self.feed.on_records(cx, from, after, upto);
    }

    /// Takes note of whether an engine of this process answered.
    pub fn on_report(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId, reached: bool) {
        self.roster.on_report(cx, engine, reached);
    }

    /// Takes a peer's message, where it concerns this part.
    pub fn on_peer(&mut self, cx: &mut Cx<'_>, from: &HostId, message: &PeerMessage) {
        self.peers.on_peer(cx, from, message);
        self.feed.on_peer(cx, from, message);
        self.catch_up.on_peer(cx, &self.feed, from, message);
        match message {
            PeerMessage::News(news) => self.relay.on_news(cx, from, news),
            PeerMessage::StateWanted => self.relay.note_asked(cx.now, from),
            PeerMessage::Spread { .. } => self.relay.on_spread(cx, from, message),
            _ => {}
        }
        if let PeerMessage::PowerWanted { site, watts, .. } = message {
            self.power.on_wanted(cx, site, *watts);
            self.changed = true;
        }
    }

    /// Takes note that a process has connected whose certificate no known member has published.
    pub fn on_unknown_peer(&mut self, cx: &mut Cx<'_>) {
        self.catch_up.on_unknown_peer(cx);
    }

    /// Takes note that a process has ended for certain.
    pub fn on_peer_connection_refused(&mut self, cx: &mut Cx<'_>, host: &HostId, incarnation: Incarnation) {
        self.peers.on_refused(cx, host, incarnation);
        self.on_members_changed();
    }

    /// Returns the changes of ownership since the last call.
    pub fn take_changes(&mut self) -> Vec<OwnershipChange> {
        self.ownership.take_changes()
    }

    /// Tells what is believed.
    pub fn dump(&self, cx: &Cx<'_>) -> Vec<DumpEntry> {
        report::dump_entries(self, cx)
    }

    /// Returns the numbers for the metrics.
    pub fn gauges(&self, cx: &Cx<'_>) -> Vec<Gauge> {
        report::gauges(self, cx)
    }

    fn on_member(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.peers.on_member(cx, host);
        if *host == cx.cfg.host {
            self.membership.on_change(cx);
        }
        if self.membership.is_superseded() {
            self.ownership.retire();
            self.feed.stop(cx);
        }
        self.on_members_changed();
    }

    /// Takes note of a change of who lives.
    const fn on_members_changed(&mut self) {
        self.members_changed = true;
        self.changed = true;
    }

    fn review(&mut self, cx: &mut Cx<'_>, engines: &dyn EngineUse) {
        let has_changed = std::mem::take(&mut self.changed);
        self.last_review = cx.now;
        self.review_members(cx);
        if !self.membership.is_gone() {
            self.feed.review(cx, &self.peers, &self.eligible);
        }
        if self.next_roster_review.is_due(cx.now) {
            self.next_roster_review = cx.now.after(REVIEW_EVERY);
            self.roster.review(cx, &named_engines(cx));
        }
        let knowledge = Knowledge {
            membership: &self.membership,
            peers: &self.peers,
            feed: &self.feed,
            roster: &self.roster,
            eligible: &self.eligible,
            eligible_since: self.eligible_since,
            has_changed,
        };
        self.ownership.review(cx, &knowledge, engines);
        self.homes.review(cx, &knowledge, &self.ownership, engines);
        self.power.review(cx, &knowledge, &self.ownership, engines);
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

    /// Tells whether the shared keys are known as of when the engine was acquired.
    fn knows_engine(&self, acquired: StoreRevision) -> bool {
        self.feed.is_synced() && self.feed.frontier() >= acquired
    }
}

impl Authority for Control {
    fn permit(&self, now: Time, engine: &UpstreamId) -> Option<Permit> {
        self.ownership.permit(&self.cfg, &self.membership, &self.roster, now, engine)
    }

    fn is_home(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        let Some(holding) = self.ownership.held(engine) else { return false };
        let goes = self.roster.get(engine).is_some_and(|known| known.is_listed() && !known.is_live());
        !goes && self.homes.is_home(engine, model, holding.acquired)
    }

    fn must_unload(&self, engine: &UpstreamId, model: &ModelName) -> bool {
        let Some(holding) = self.ownership.held(engine) else { return false };
        let Some(known) = self.roster.get(engine) else { return false };
        let goes = known.is_listed() && !known.is_live();
        let excluded = self.knows_engine(holding.acquired) && self.homes.is_excluded(engine, model);
        goes || excluded || self.power.has_to_stop(engine, known)
    }

    fn granted_power(&self, engine: &UpstreamId) -> Watts {
        let holding = self.ownership.holdings().get(engine);
        let known = self.roster.get(engine);
        let Some((holding, known)) = holding.zip(known) else { return Watts(0) };
        self.power.granted(engine, known, holding.acquired)
    }
}

/// Returns every engine that a record names.
fn named_engines(cx: &Cx<'_>) -> OrderedSet<UpstreamId> {
    let owned = cx.cache.owners().map(|(engine, _)| engine);
    let homes = cx.cache.all_homes().flat_map(|(_, homes)| &homes.engines);
    owned.chain(homes).cloned().collect()
}
