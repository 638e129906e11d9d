//! How much power each engine may draw, so that no site ever passes its cap.
//!
//! A site's grants are one value. Only an engine's owner changes its grant. It
//! raises its own use after the record shows the higher grant, and lowers its
//! own use before the record shows the lower one. So the engines never draw more
//! than the record grants, and the record never grants more than the cap.

use std::cmp::Reverse;
use std::time::Duration;

use super::budget::Budget;
use super::knowledge::Knowledge;
use super::ownership::Ownership;
use super::roster::KnownEngine;
use crate::authority::EngineUse;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{HostId, SiteName, StoreRevision, UpstreamId};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::store::{Expect, Key, PowerRecord, Record, WriteOutcome, WriteRequest};
use crate::time::Time;
use crate::units::Watts;

/// How long the write of a power record is tried.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// How long a site is left alone after a write that failed.
const REST: Duration = Duration::from_millis(500);
/// How often at most other owners are asked for power.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// How many other owners are asked at a time.
const ASKED_AT_ONCE: usize = 6;
/// How long a call for power is remembered.
const WANTED_FOR: Duration = Duration::from_secs(3);
/// How long nothing is granted ahead of need after power was short.
const SHORT_FOR: Duration = Duration::from_secs(30);
/// How long a site may be over a lowered cap before engines at work have to stop.
const OVER_FOR: Duration = Duration::from_secs(3);

/// Somebody's call for power.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    watts: Watts,
    until: Time,
}

/// One site as this process sees it.
#[derive(Clone, Debug, Default)]
struct Site {
    /// Since when this process knows the record.
    since: Time,
    revision: StoreRevision,
    record: PowerRecord,
    capped: bool,
    writing: bool,
    rest: Time,
    /// Engines whose grant this process has taken back, whatever the record says.
    lowered: OrderedSet<UpstreamId>,
    wanted: Option<Wanted>,
    short_until: Time,
    next_ask: Time,
    over_since: Option<Time>,
    /// Engines at work that have to stop, since the cap was lowered.
    excess: OrderedSet<UpstreamId>,
}

/// The power of the sites at which this process owns engines.
#[derive(Debug, Default)]
pub(super) struct Power {
    sites: OrderedMap<SiteName, Site>,
}

impl Power {
    /// Returns what an engine that this process owns since `acquired` may draw for certain.
    ///
    /// A former owner that was paused may have a write under way that lowers the
    /// grant, and another engine could be granted what this one draws. Once the
    /// record was written after the engine changed hands, that write fails.
    pub(super) fn granted(&self, id: &UpstreamId, engine: &KnownEngine, acquired: StoreRevision) -> Watts {
        let Some(site) = self.sites.get(&engine.site) else { return engine.sleep_watts };
        if !site.capped {
            return engine.active_watts;
        }
        if site.lowered.contains(id) || site.revision <= acquired {
            return engine.sleep_watts;
        }
        site.record.grants.get(id).copied().unwrap_or_default().max(engine.sleep_watts)
    }

    /// Tells whether the engine has to stop, since the cap was lowered.
    pub(super) fn has_to_stop(&self, id: &UpstreamId, engine: &KnownEngine) -> bool {
        self.sites.get(&engine.site).is_some_and(|site| site.excess.contains(id))
    }

    /// Returns the sites, with the time since when their grants are as they are.
    pub(super) fn sites(&self) -> impl Iterator<Item = (&SiteName, Time)> {
        self.sites.iter().map(|(name, site)| (name, site.since))
    }

    /// Returns the engines whose grant was taken back before the record shows it.
    pub(super) fn lowered(&self) -> impl Iterator<Item = &UpstreamId> {
        self.sites.values().flat_map(|site| &site.lowered)
    }

    /// Takes note of a change of a site's record.
    pub(super) fn on_change(&mut self, cx: &Cx<'_>, site: &SiteName) {
        self.update(cx, site);
    }

    /// Takes the outcome of a write of a site's record.
    pub(super) fn on_write(&mut self, cx: &mut Cx<'_>, name: &SiteName, outcome: &WriteOutcome) {
        let rest = cx.now.after(cx.jitter(REST));
        if let Some(site) = self.sites.get_mut(name) {
            site.writing = false;
            match outcome {
                WriteOutcome::Done(_) => {}
                // Somebody else wrote first; the next try builds on that.
                WriteOutcome::Conflict(_) => site.rest = cx.now.after(cx.jitter(REST / 8)),
                WriteOutcome::NotDone | WriteOutcome::Unknown => site.rest = rest,
            }
        }
        self.update(cx, name);
    }

    /// Takes note of a call for power.
    pub(super) fn on_wanted(&mut self, cx: &Cx<'_>, name: &SiteName, watts: Watts) {
        let Some(site) = self.sites.get_mut(name) else { return };
        site.wanted = Some(Wanted { watts, until: cx.now.after(WANTED_FOR) });
        site.short_until = cx.now.after(SHORT_FOR);
    }

    /// Does what is due at every site.
    pub(super) fn review(
        &mut self,
        cx: &mut Cx<'_>,
        knowledge: &Knowledge<'_>,
        ownership: &Ownership,
        engines: &dyn EngineUse,
    ) {
        let mut own: OrderedMap<SiteName, Vec<UpstreamId>> = OrderedMap::new();
        for id in ownership.holdings().keys() {
            let Some(engine) = knowledge.roster.get(id) else { continue };
            own.entry(engine.site.clone()).or_default().push(id.clone());
        }
        self.sites.retain(|name, _| own.contains_key(name));
        for (name, ids) in own {
            self.update(cx, &name);
            let Some(cap) = cx.document.power_caps.get(&name).copied() else { continue };
            let review = Review { knowledge, ownership, engines, name: &name, ids: &ids, cap };
            if let Some(site) = self.sites.get_mut(&name) {
                site.review(cx, &review);
            }
        }
    }

    fn update(&mut self, cx: &Cx<'_>, name: &SiteName) {
        let site = self.sites.entry(name.clone()).or_default();
        site.capped = !cx.document.is_configured() || cx.document.power_caps.contains_key(name);
        if let Some((revision, record)) = cx.cache.power(name) {
            if site.record != *record {
                site.since = cx.now;
                site.record = record.clone();
            }
            site.revision = revision;
        }
        let record = &site.record;
        site.lowered.retain(|engine| record.grants.contains_key(engine));
    }
}

/// What the review of one site looks at.
#[derive(Clone, Copy)]
struct Review<'a> {
    knowledge: &'a Knowledge<'a>,
    ownership: &'a Ownership,
    engines: &'a dyn EngineUse,
    name: &'a SiteName,
    /// The engines of the site that this process owns.
    ids: &'a [UpstreamId],
    cap: Watts,
}

/// An engine that could do with more power.
struct Underpowered<'a> {
    id: &'a UpstreamId,
    engine: &'a KnownEngine,
    lacks: Option<(Watts, ServiceOrder)>,
}

impl Review<'_> {
    fn engine(&self, id: &UpstreamId) -> Option<&KnownEngine> {
        self.knowledge.roster.get(id)
    }

    /// Tells whether the engine draws no more than it does asleep.
    fn is_asleep(&self, id: &UpstreamId) -> bool {
        self.engine(id).is_some_and(|engine| self.engines.power_draw(id) <= engine.sleep_watts)
    }

    fn is_gone(&self, cx: &Cx<'_>, id: &UpstreamId) -> bool {
        let since = self.ownership.held(id).map(|holding| holding.since);
        since.is_some() && self.knowledge.roster.is_gone(cx, id, since)
    }

    /// Returns the engines with less than full power, those that need it most first.
    fn underpowered(&self, budget: &Budget) -> Vec<Underpowered<'_>> {
        let mut underpowered: Vec<Underpowered<'_>> = self
            .ids
            .iter()
            .filter(|id| self.ownership.held(id).is_some())
            .filter_map(|id| self.engine(id).map(|engine| (id, engine)))
            .filter(|(id, engine)| engine.is_live() && budget.grant(id) < engine.active_watts)
            .map(|(id, engine)| Underpowered { id, engine, lacks: self.engines.power_shortfall(id) })
            .collect();
        underpowered.sort_by_key(|underpowered| {
            (Reverse(underpowered.lacks.is_some()), underpowered.lacks.map(|(_, order)| order))
        });
        underpowered
    }
}

impl Site {
    fn review(&mut self, cx: &mut Cx<'_>, review: &Review<'_>) {
        let mut budget = Budget::new(review.cap, review.name, &self.record, review.knowledge.roster);
        self.watch_cap(cx, &budget);
        self.wanted.take_if(|wanted| wanted.until.is_due(cx.now) || budget.room() >= wanted.watts);
        self.lowered.retain(|id| review.ids.contains(id));
        // A process that lost an engine without knowing it yet must not write on the
        // new owner's record. It knows of every loss up to its frontier.
        let current = self.revision <= review.knowledge.feed.frontier();
        if self.writing || !self.rest.is_due(cx.now) || !current || !review.knowledge.may_decide(cx) {
            return;
        }
        let mut changed = review.ids.iter().any(|id| self.is_unconfirmed(review, id));
        changed |= self.take_back(cx, review, &mut budget);
        changed |= self.raise(cx, review, &mut budget);
        if changed {
            self.write(cx, review.name, budget.into_record());
        }
    }

    fn watch_cap(&mut self, cx: &Cx<'_>, budget: &Budget) {
        if !budget.is_over() {
            self.over_since = None;
            self.excess.clear();
            return;
        }
        let since = *self.over_since.get_or_insert(cx.now);
        if since.after(OVER_FOR).is_due(cx.now) {
            self.excess = budget.excess().into_iter().collect();
        }
    }

    /// Tells whether the grant was recorded before the engine changed hands.
    fn is_unconfirmed(&self, review: &Review<'_>, id: &UpstreamId) -> bool {
        let acquired = review.ownership.held(id).map(|holding| holding.acquired);
        self.record.grants.contains_key(id) && acquired.is_some_and(|acquired| acquired > self.revision)
    }

    /// Takes grants back that others need or that the cap doesn't allow any more.
    fn take_back(&mut self, cx: &mut Cx<'_>, review: &Review<'_>, budget: &mut Budget) -> bool {
        let mut changed = false;
        for id in review.ids {
            let recorded = budget.grant(id);
            let Some(engine) = review.engine(id) else { continue };
            if recorded <= engine.sleep_watts || review.ownership.held(id).is_none() {
                continue;
            }
            let again = self.lowered.contains(id);
            let gone = review.is_gone(cx, id);
            let needed = budget.is_over() || self.is_wanted(budget);
            let idle = needed && review.is_asleep(id) && review.engines.power_shortfall(id).is_none();
            if !(again || gone || idle) {
                continue;
            }
            if !again {
                cx.log_event("power_given_up", id.clone(), format!("{recorded} at {}", review.name));
            }
            // The own use is lowered first; the record may show it at any later moment.
            self.lowered.insert(id.clone());
            budget.lower(id);
            changed = true;
        }
        changed
    }

    fn is_wanted(&self, budget: &Budget) -> bool {
        self.wanted.is_some_and(|wanted| budget.room() < wanted.watts)
    }

    /// Raises the grants of own engines, as far as the cap allows.
    fn raise(&mut self, cx: &mut Cx<'_>, review: &Review<'_>, budget: &mut Budget) -> bool {
        let mut changed = false;
        let plenty = self.short_until.is_due(cx.now);
        let before = budget.clone();
        for underpowered in review.underpowered(&before) {
            if self.lowered.contains(underpowered.id) || (underpowered.lacks.is_none() && !plenty) {
                continue;
            }
            if budget.raise(underpowered.id, underpowered.engine.active_watts) {
                changed = true;
            } else if let Some((_, order)) = underpowered.lacks {
                let missing = underpowered.engine.active_watts.saturating_sub(budget.grant(underpowered.id));
                self.ask(cx, review, missing, order);
            }
        }
        changed
    }

    /// Asks owners of other engines of the site to give power up, at a bounded rate.
    fn ask(&mut self, cx: &mut Cx<'_>, review: &Review<'_>, watts: Watts, order: ServiceOrder) {
        if !self.next_ask.is_due(cx.now) {
            return;
        }
        self.next_ask = cx.now.after(cx.jitter(ASK_EVERY));
        self.short_until = cx.now.after(SHORT_FOR);
        self.wanted = Some(Wanted { watts, until: cx.now.after(WANTED_FOR) });
        for host in self.givers(cx, review) {
            cx.send(&host, PeerMessage::PowerWanted { site: review.name.clone(), watts, order });
        }
    }

    /// Returns some owners of engines with grants, this process included.
    fn givers(&self, cx: &mut Cx<'_>, review: &Review<'_>) -> Vec<HostId> {
        use rand::seq::IndexedRandom;

        let owners: OrderedSet<HostId> = self
            .record
            .grants
            .keys()
            .filter(|id| !review.ids.contains(id))
            .filter_map(|id| cx.cache.owner(id).map(|(_, owner)| owner.host.clone()))
            .collect();
        let owners: Vec<HostId> = owners.into_iter().collect();
        let mut givers: Vec<HostId> = owners.choose_multiple(cx.rng, ASKED_AT_ONCE).cloned().collect();
        givers.push(cx.cfg.host.clone());
        givers
    }

    fn write(&mut self, cx: &mut Cx<'_>, name: &SiteName, record: PowerRecord) {
        self.writing = true;
        let expect =
            if self.revision == StoreRevision(0) { Expect::Absent } else { Expect::At(self.revision) };
        cx.write(WriteRequest {
            key: Key::Power(name.clone()),
            expect,
            record: Some(Record::Power(record)),
            lease: None,
            deadline: cx.now.after(WRITE_DEADLINE),
        });
    }
}
