//! Power grants, which keep each site below its power cap.
//!
//! All grants of a site are one record. Only an engine's owner changes its grant. It
//! raises the engine's draw after the record contains the higher grant, and lowers the
//! draw before the record contains the lower one. The engines therefore never draw more
//! than recorded, and the recorded sum never exceeds the cap. Start reading at [`Power`].

use std::cmp::Reverse;
use std::time::Duration;

use super::context::ReviewContext;
use super::inventory::KnownEngine;
use super::ownership::Ownership;
use super::power_budget::PowerBudget;
use crate::authority::EngineUse;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{HostId, SiteName, StoreRevision, UpstreamId};
use crate::peer::PeerMessage;
use crate::rules::ServiceOrder;
use crate::store::{Expect, Key, PowerRecord, Record, WriteOutcome, WriteRequest};
use crate::time::Time;
use crate::units::Watts;

/// Deadline of one write of a power record.
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// Delay before a site's record is written again after a failed write, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum interval between two requests for power to other owners, before jitter.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of other owners that receive a request.
const MAX_REQUEST_RECIPIENTS: usize = 6;
/// How long a request for power stays valid.
const REQUEST_TTL: Duration = Duration::from_secs(3);
/// How long no power is granted in advance after a shortage.
const SHORTAGE_PERIOD: Duration = Duration::from_secs(30);
/// How long a site may exceed a lowered cap before working engines must stop.
const OVER_CAP_GRACE: Duration = Duration::from_secs(3);

/// A request for power from any owner at the site.
#[derive(Clone, Copy, Debug)]
struct PowerRequest {
    watts: Watts,
    until: Time,
}

/// State of one site.
#[derive(Clone, Debug, Default)]
struct Site {
    /// When the recorded grants last changed in this process's cache.
    since: Time,
    revision: StoreRevision,
    record: PowerRecord,
    is_capped: bool,
    is_writing: bool,
    retry_at: Time,
    /// Engines whose grant this process has given up, whatever the record contains.
    revoked: OrderedSet<UpstreamId>,
    request: Option<PowerRequest>,
    /// Until when no power is granted in advance.
    shortage_until: Time,
    next_request: Time,
    /// Since when the maximum draw of the site, with all grants, has exceeded the cap.
    over_since: Option<Time>,
    /// Working engines that must stop because the cap was lowered.
    must_stop: OrderedSet<UpstreamId>,
}

/// The power grants of the sites at which this process owns engines.
#[derive(Debug, Default)]
pub(super) struct Power {
    sites: OrderedMap<SiteName, Site>,
}

impl Power {
    /// Returns the power that an engine owned since `acquired_revision` may safely draw.
    ///
    /// A paused former owner may have a write in flight that lowers the grant, and
    /// another engine could be granted the power that this one draws. That write fails
    /// once the record has been written after the engine changed owners.
    pub(super) fn granted(
        &self,
        id: &UpstreamId,
        engine: &KnownEngine,
        acquired_revision: StoreRevision,
    ) -> Watts {
        let Some(site) = self.sites.get(&engine.site) else { return engine.sleep_watts };
        if !site.is_capped {
            return engine.active_watts;
        }
        if site.revoked.contains(id) || site.revision <= acquired_revision {
            return engine.sleep_watts;
        }
        site.record.grants.get(id).copied().unwrap_or_default().max(engine.sleep_watts)
    }

    /// Reports whether the engine must stop because the cap was lowered.
    pub(super) fn has_to_stop(&self, id: &UpstreamId, engine: &KnownEngine) -> bool {
        self.sites.get(&engine.site).is_some_and(|site| site.must_stop.contains(id))
    }

    /// Returns the sites, and since when their grants have been unchanged.
    pub(super) fn sites(&self) -> impl Iterator<Item = (&SiteName, Time)> {
        self.sites.iter().map(|(name, site)| (name, site.since))
    }

    /// Returns the engines whose grant was given up before the record changes.
    pub(super) fn revoked(&self) -> impl Iterator<Item = &UpstreamId> {
        self.sites.values().flat_map(|site| &site.revoked)
    }

    /// Handles a change of a site's record.
    pub(super) fn on_change(&mut self, cx: &Cx<'_>, site: &SiteName) {
        self.update(cx, site);
    }

    /// Handles the outcome of a write of a site's record.
    pub(super) fn on_write(&mut self, cx: &mut Cx<'_>, name: &SiteName, outcome: &WriteOutcome) {
        let retry_at = cx.now.after(cx.jitter(RETRY_DELAY));
        if let Some(site) = self.sites.get_mut(name) {
            site.is_writing = false;
            match outcome {
                WriteOutcome::Done(_) => {}
                // Another process wrote first; the next attempt uses its record.
                WriteOutcome::Conflict(_) => site.retry_at = cx.now.after(cx.jitter(RETRY_DELAY / 8)),
                WriteOutcome::NotDone | WriteOutcome::Unknown => site.retry_at = retry_at,
            }
        }
        self.update(cx, name);
    }

    /// Handles a request for power.
    pub(super) fn on_power_request(&mut self, cx: &Cx<'_>, name: &SiteName, watts: Watts) {
        let Some(site) = self.sites.get_mut(name) else { return };
        site.request = Some(PowerRequest { watts, until: cx.now.after(REQUEST_TTL) });
        site.shortage_until = cx.now.after(SHORTAGE_PERIOD);
    }

    /// Runs what is due at every site.
    pub(super) fn review(
        &mut self,
        cx: &mut Cx<'_>,
        context: &ReviewContext<'_>,
        ownership: &Ownership,
        engine_use: &dyn EngineUse,
    ) {
        let mut engines_by_site: OrderedMap<SiteName, Vec<UpstreamId>> = OrderedMap::new();
        for id in ownership.owned_engines().keys() {
            let Some(engine) = context.inventory.get(id) else { continue };
            engines_by_site.entry(engine.site.clone()).or_default().push(id.clone());
        }
        self.sites.retain(|name, _| engines_by_site.contains_key(name));
        for (name, own_engines) in engines_by_site {
            self.update(cx, &name);
            let Some(cap) = cx.document.power_caps.get(&name).copied() else { continue };
            let review =
                SiteReview { context, ownership, engine_use, name: &name, own_engines: &own_engines, cap };
            if let Some(site) = self.sites.get_mut(&name) {
                site.review(cx, &review);
            }
        }
    }

    fn update(&mut self, cx: &Cx<'_>, name: &SiteName) {
        let site = self.sites.entry(name.clone()).or_default();
        site.is_capped = !cx.document.is_configured() || cx.document.power_caps.contains_key(name);
        if let Some((revision, record)) = cx.cache.power(name) {
            if site.record != *record {
                site.since = cx.now;
                site.record = record.clone();
            }
            site.revision = revision;
        }
        let record = &site.record;
        site.revoked.retain(|engine| record.grants.contains_key(engine));
    }
}

/// Input of the review of one site.
#[derive(Clone, Copy)]
struct SiteReview<'a> {
    context: &'a ReviewContext<'a>,
    ownership: &'a Ownership,
    engine_use: &'a dyn EngineUse,
    name: &'a SiteName,
    /// The engines of the site that this process owns.
    own_engines: &'a [UpstreamId],
    cap: Watts,
}

/// An engine that is granted less than its full power.
struct Underpowered<'a> {
    id: &'a UpstreamId,
    engine: &'a KnownEngine,
    shortfall: Option<(Watts, ServiceOrder)>,
}

impl SiteReview<'_> {
    fn engine(&self, id: &UpstreamId) -> Option<&KnownEngine> {
        self.context.inventory.get(id)
    }

    /// Reports whether the engine draws no more than its sleep power.
    fn is_asleep(&self, id: &UpstreamId) -> bool {
        self.engine(id).is_some_and(|engine| self.engine_use.power_draw(id) <= engine.sleep_watts)
    }

    fn is_gone(&self, cx: &Cx<'_>, id: &UpstreamId) -> bool {
        let since = self.ownership.held(id).map(|owned| owned.since);
        since.is_some() && self.context.inventory.is_gone(cx, id, since)
    }

    /// Returns the engines with less than full power, the most urgent first.
    fn underpowered(&self, budget: &PowerBudget) -> Vec<Underpowered<'_>> {
        let mut underpowered: Vec<Underpowered<'_>> = self
            .own_engines
            .iter()
            .filter(|id| self.ownership.held(id).is_some())
            .filter_map(|id| self.engine(id).map(|engine| (id, engine)))
            .filter(|(id, engine)| engine.is_live() && budget.grant(id) < engine.active_watts)
            .map(|(id, engine)| Underpowered { id, engine, shortfall: self.engine_use.power_shortfall(id) })
            .collect();
        underpowered.sort_by_key(|underpowered| {
            (Reverse(underpowered.shortfall.is_some()), underpowered.shortfall.map(|(_, order)| order))
        });
        underpowered
    }
}

impl Site {
    fn review(&mut self, cx: &mut Cx<'_>, review: &SiteReview<'_>) {
        let mut budget = PowerBudget::new(review.cap, review.name, &self.record, review.context.inventory);
        self.check_cap(cx, &budget);
        self.request.take_if(|request| request.until.is_due(cx.now) || budget.headroom() >= request.watts);
        self.revoked.retain(|id| review.own_engines.contains(id));
        // A process that lost an engine without noticing must not overwrite the new
        // owner's record. It knows of every loss up to its frontier.
        let current = self.revision <= review.context.store_sync.frontier();
        if self.is_writing || !self.retry_at.is_due(cx.now) || !current || !review.context.may_decide(cx) {
            return;
        }
        let mut changed = review.own_engines.iter().any(|id| self.is_unconfirmed(review, id));
        changed |= self.revoke_grants(cx, review, &mut budget);
        changed |= self.raise_grants(cx, review, &mut budget);
        if changed {
            self.write(cx, review.name, budget.into_record());
        }
    }

    fn check_cap(&mut self, cx: &Cx<'_>, budget: &PowerBudget) {
        if !budget.exceeds_cap() {
            self.over_since = None;
            self.must_stop.clear();
            return;
        }
        let since = *self.over_since.get_or_insert(cx.now);
        if since.after(OVER_CAP_GRACE).is_due(cx.now) {
            self.must_stop = budget.engines_over_cap().into_iter().collect();
        }
    }

    /// Reports whether the grant was recorded before this process acquired the engine.
    fn is_unconfirmed(&self, review: &SiteReview<'_>, id: &UpstreamId) -> bool {
        let acquired_revision = review.ownership.held(id).map(|owned| owned.acquired_revision);
        self.record.grants.contains_key(id)
            && acquired_revision.is_some_and(|acquired_revision| acquired_revision > self.revision)
    }

    /// Gives up grants that other engines need, that exceed the cap or that belong to gone engines.
    fn revoke_grants(&mut self, cx: &mut Cx<'_>, review: &SiteReview<'_>, budget: &mut PowerBudget) -> bool {
        let mut changed = false;
        for id in review.own_engines {
            let recorded = budget.grant(id);
            let Some(engine) = review.engine(id) else { continue };
            if recorded <= engine.sleep_watts || review.ownership.held(id).is_none() {
                continue;
            }
            let is_already_revoked = self.revoked.contains(id);
            let is_engine_gone = review.is_gone(cx, id);
            let is_power_needed = budget.exceeds_cap() || self.is_requested(budget);
            let is_idle =
                is_power_needed && review.is_asleep(id) && review.engine_use.power_shortfall(id).is_none();
            if !(is_already_revoked || is_engine_gone || is_idle) {
                continue;
            }
            if !is_already_revoked {
                cx.log_event("power_given_up", id.clone(), format!("{recorded} at {}", review.name));
            }
            // The draw is lowered first; the record may change at any later time.
            self.revoked.insert(id.clone());
            budget.revoke(id);
            changed = true;
        }
        changed
    }

    fn is_requested(&self, budget: &PowerBudget) -> bool {
        self.request.is_some_and(|request| budget.headroom() < request.watts)
    }

    /// Raises the grants of owned engines as far as the cap allows.
    fn raise_grants(&mut self, cx: &mut Cx<'_>, review: &SiteReview<'_>, budget: &mut PowerBudget) -> bool {
        let mut changed = false;
        let is_surplus_available = self.shortage_until.is_due(cx.now);
        let before = budget.clone();
        for underpowered in review.underpowered(&before) {
            if self.revoked.contains(underpowered.id)
                || (underpowered.shortfall.is_none() && !is_surplus_available)
            {
                continue;
            }
            if budget.raise(underpowered.id, underpowered.engine.active_watts) {
                changed = true;
            } else if let Some((_, order)) = underpowered.shortfall {
                let missing = underpowered.engine.active_watts.saturating_sub(budget.grant(underpowered.id));
                self.request_power(cx, review, missing, order);
            }
        }
        changed
    }

    /// Asks owners of other engines at the site to give up power, at a limited rate.
    fn request_power(&mut self, cx: &mut Cx<'_>, review: &SiteReview<'_>, watts: Watts, order: ServiceOrder) {
        if !self.next_request.is_due(cx.now) {
            return;
        }
        self.next_request = cx.now.after(cx.jitter(REQUEST_INTERVAL));
        self.shortage_until = cx.now.after(SHORTAGE_PERIOD);
        self.request = Some(PowerRequest { watts, until: cx.now.after(REQUEST_TTL) });
        for host in self.request_recipients(cx, review) {
            cx.send(&host, PeerMessage::PowerWanted { site: review.name.clone(), watts, order });
        }
    }

    /// Returns a random selection of owners with granted power, and this process.
    fn request_recipients(&self, cx: &mut Cx<'_>, review: &SiteReview<'_>) -> Vec<HostId> {
        use rand::seq::IndexedRandom;

        let owners: OrderedSet<HostId> = self
            .record
            .grants
            .keys()
            .filter(|id| !review.own_engines.contains(id))
            .filter_map(|id| cx.cache.owner(id).map(|(_, owner)| owner.host.clone()))
            .collect();
        let owners: Vec<HostId> = owners.into_iter().collect();
        let mut recipients: Vec<HostId> =
            owners.choose_multiple(cx.rng, MAX_REQUEST_RECIPIENTS).cloned().collect();
        recipients.push(cx.cfg.host.clone());
        recipients
    }

    fn write(&mut self, cx: &mut Cx<'_>, name: &SiteName, record: PowerRecord) {
        self.is_writing = true;
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
