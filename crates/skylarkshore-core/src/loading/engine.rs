//! What is known of one engine that this process owns.

mod contact;
mod reports;

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{AdapterName, Fence, Incarnation, ModelName, SiteName, UpstreamId};
use crate::loading::ledger::{self, Ledger};
use crate::loading::reservation::Reservation;
use crate::loading::stages::{
    Closing, Failures, LateOrders, LoadProgress, Phase, Seen, TakenForEnded, Wishes,
};
use crate::loading::tally::Tally;
use crate::loading::told::Told;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::{Mebibytes, Watts};
use crate::upstream::{EngineReport, EngineSpec, LoadState, OrderMode, ReportedModel, UpstreamStatus};

/// How long an adapter takes to answer after its order was accepted; engines
/// state 5 to 10 ms.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);

/// One engine that this process owns.
#[derive(Debug)]
pub(crate) struct Engine {
    pub id: UpstreamId,
    pub fence: Fence,
    pub acquired: Time,
    pub phase: Phase,
    pub late_orders: LateOrders,
    /// What may be taken by a late order of the former owner; worked out at every tick.
    pub late_orders_memory: Mebibytes,
    pub spec: Option<EngineSpec>,
    pub site: Option<SiteName>,
    pub status: UpstreamStatus,
    pub ledger: Ledger,
    pub seen: Option<Seen>,
    /// The latest life that is known of.
    pub life: Incarnation,
    pub next_ask: Time,
    pub loads: OrderedMap<ModelName, LoadProgress>,
    pub closing: OrderedMap<ModelName, Closing>,
    pub closing_adapters: OrderedMap<(ModelName, AdapterName), Time>,
    pub failures: OrderedMap<ModelName, Failures>,
    /// Since when each model is ready here.
    pub ready_since: OrderedMap<ModelName, Time>,
    /// Until when models that came from the weight store aren't unloaded for others.
    pub stays_until: OrderedMap<ModelName, Time>,
    /// When each model last had a request in progress here.
    pub last_busy: OrderedMap<ModelName, Time>,
    pub lacks: Option<(Watts, ServiceOrder)>,
    /// The models that the last report showed.
    pub expected: OrderedSet<ModelName>,
    /// Idle models that the policy would rather unload.
    pub unneeded: OrderedSet<ModelName>,
    /// Models that the rules keep loaded here.
    pub kept: OrderedSet<ModelName>,
    /// Models that are better loaded ahead of their next request.
    pub expected_soon: OrderedSet<ModelName>,
    /// Models that are asked for so often that they are to be loaded here too.
    pub hot: OrderedSet<ModelName>,
    /// Those of them whose few replicas can't keep up.
    pub scarce: OrderedSet<ModelName>,
    /// Models of which the engine is to keep a copy and doesn't.
    pub uncopied: OrderedSet<ModelName>,
    /// Models that were loaded ahead, with the last use before that.
    pub prewarmed: OrderedMap<ModelName, Time>,
    /// Whether any host uses or awaits what the engine holds.
    pub is_in_use: bool,
    /// Since when the engine has been asked for a report in vain.
    pub unanswered_since: Option<Time>,
    /// When the policy is to be asked again.
    pub next_review: Time,
    /// Models that wait for memory, power or the weight store, and when they should be ready.
    pub planned: OrderedMap<ModelName, Time>,
    /// Models for which no room can be made.
    pub crowded: OrderedSet<ModelName>,
    /// Until when idle time has been counted.
    pub counted: Time,
    /// How many orders it has accepted, where it numbers them and that is known.
    pub accepted: Option<u64>,
    /// The most orders that it is known to have accepted in this life.
    pub most_accepted: u64,
    /// When it last accepted one.
    pub last_accepted: Time,
    /// Reports that were asked for earlier don't tell how many orders it has accepted.
    pub recount_from: Time,
    /// When a load may be tried again that came while another order was carried out.
    pub next_try: Time,
    /// When the last load of a model was ordered.
    pub last_load: Time,
    /// The last load that was taken to have ended before a report showed it.
    pub ended: Option<TakenForEnded>,
    /// When each adapter on it was last asked for.
    pub adapter_uses: OrderedMap<(ModelName, AdapterName), Time>,
    pub wishes: Wishes,
    pub reservation: Reservation,
    pub told: Told,
}

impl Engine {
    pub(crate) fn acquired(id: UpstreamId, fence: Fence, late_orders_until: Time, now: Time) -> Self {
        let late_orders = match late_orders_until {
            Time::NEVER => LateOrders::UntilQuiet { since: None },
            until if until.is_due(now) => LateOrders::None,
            until => LateOrders::Until(until),
        };
        Self {
            id,
            fence,
            acquired: now,
            phase: Phase::RaisingFence { order: None, retry: now },
            late_orders,
            late_orders_memory: Mebibytes(0),
            spec: None,
            site: None,
            status: UpstreamStatus::Live,
            ledger: Ledger::default(),
            seen: None,
            life: Incarnation::default(),
            next_ask: now,
            loads: OrderedMap::new(),
            closing: OrderedMap::new(),
            closing_adapters: OrderedMap::new(),
            failures: OrderedMap::new(),
            ready_since: OrderedMap::new(),
            stays_until: OrderedMap::new(),
            last_busy: OrderedMap::new(),
            lacks: None,
            expected: OrderedSet::new(),
            unneeded: OrderedSet::new(),
            kept: OrderedSet::new(),
            expected_soon: OrderedSet::new(),
            hot: OrderedSet::new(),
            scarce: OrderedSet::new(),
            uncopied: OrderedSet::new(),
            prewarmed: OrderedMap::new(),
            next_review: now,
            is_in_use: false,
            unanswered_since: None,
            planned: OrderedMap::new(),
            crowded: OrderedSet::new(),
            counted: now,
            accepted: None,
            most_accepted: 0,
            last_accepted: Time::START,
            recount_from: now,
            next_try: now,
            last_load: Time::START,
            ended: None,
            adapter_uses: OrderedMap::new(),
            wishes: Wishes::default(),
            reservation: Reservation::default(),
            told: Told::default(),
        }
    }

    /// Takes the host list's word and works out what depends on the time.
    pub(crate) fn refresh(&mut self, cx: &Cx<'_>) {
        if let Some(upstream) = cx.upstreams.get(&self.id) {
            self.spec = upstream.engine().cloned();
            self.status = upstream.status;
            self.site = Some(upstream.site.clone());
            if self.incarnation().is_some_and(|known| known < upstream.incarnation) {
                self.on_listed_life(cx.now, upstream.incarnation);
            }
        }
        let is_over = match self.late_orders {
            LateOrders::None => true,
            LateOrders::Until(until) => until.is_due(cx.now),
            LateOrders::UntilQuiet { since } => {
                since.is_some_and(|since| since.after(cx.cfg.timings.order_settle).is_due(cx.now))
            }
        };
        // A numbered order that comes late finds another number than it expects,
        // or else the next order of this process does and is refused.
        if is_over || self.is_one_by_one() {
            self.late_orders = LateOrders::None;
        }
        self.late_orders_memory = self.late_orders_reserve(cx, None);
    }

    /// Tells whether the model is neither loaded nor loading nor possibly so.
    pub(crate) fn is_unused_by(&self, model: &ModelName) -> bool {
        self.report().is_some()
            && self.late_orders == LateOrders::None
            && self.model(model).is_none()
            && !self.ledger.concerns(model)
    }

    /// Returns the power that the engine may be drawing now.
    pub(crate) fn power_draw(&self) -> Watts {
        let Some(spec) = &self.spec else { return Watts(0) };
        if self.may_hold_models() { spec.active_watts } else { spec.sleep_watts }
    }

    /// Counts the time in which something is loaded or loading and nothing runs.
    pub(crate) fn count_idle(&mut self, now: Time, tally: &mut Tally) {
        let since = std::mem::replace(&mut self.counted, now);
        let Some(report) = self.report() else { return };
        if !report.models.is_empty() && report.running == 0 {
            tally.idle += now.since(since);
        }
    }

    /// Tells whether the engine keeps a copy of the model's weights.
    pub(crate) fn has_copy(&self, model: &ModelName) -> bool {
        self.report().is_some_and(|report| report.copies.has(model))
    }

    /// Tells whether the host of the engine is known to keep the model's weights in memory.
    ///
    /// There is room for a few only, and each load drops one of them, so that a
    /// report from before the last load tells nothing.
    pub(crate) fn is_in_memory(&self, model: &ModelName) -> bool {
        let is_newer = |seen: &Seen| seen.asked >= self.last_load.after(seen.report.lag);
        let seen = self.seen.as_ref().filter(|seen| self.phase == Phase::Known && is_newer(seen));
        seen.is_some_and(|seen| seen.report.copies.in_memory.contains(model))
    }

    /// Tells whether an adapter answers requests.
    pub(crate) fn has_adapter(&self, now: Time, model: &ModelName, adapter: &AdapterName) -> bool {
        let seen = self.model(model);
        let reported =
            seen.is_some_and(|seen| seen.adapters.iter().any(|a| a.ready && a.adapter == *adapter));
        reported || self.assumed_adapters(now).any(|(base, name)| base == model && name == adapter)
    }

    /// Returns the adapters that should answer by now, though no report has shown them.
    ///
    /// An adapter takes a hundredth of a second; waiting for a report that shows
    /// it would take ten times as long, and callers would feel each of them.
    pub(crate) fn assumed_adapters(&self, now: Time) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
        let accepted = self.ledger.accepted_adapters().filter(|_| self.is_one_by_one());
        let due = accepted.filter(move |(_, _, at)| at.after(ADAPTER_LOAD_TIME).is_due(now));
        due.map(|(model, adapter, _)| (model, adapter))
    }

    /// Tells whether the engine numbers its orders and carries them out one at a time.
    pub(crate) fn is_one_by_one(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.order_mode == OrderMode::Sequential)
    }

    /// Tells whether an order for a base model would be carried out at once.
    pub(crate) fn is_free_for_orders(&self) -> bool {
        if !self.is_one_by_one() {
            return true;
        }
        self.is_free_for_adapter_orders() && self.report().is_some_and(|report| !report.busy)
    }

    /// Tells whether an order for an adapter can be sent: its number is known, and no other is unanswered.
    pub(crate) fn is_free_for_adapter_orders(&self) -> bool {
        !self.is_one_by_one()
            || self.accepted.is_some() && !self.ledger.has_unanswered() && !self.ledger.has_model_order()
    }

    /// Returns the report, once it may be relied on.
    pub(crate) fn report(&self) -> Option<&EngineReport> {
        self.seen.as_ref().filter(|_| self.phase == Phase::Known).map(|seen| &seen.report)
    }

    /// Finds a model in the report.
    pub(crate) fn model(&self, model: &ModelName) -> Option<&ReportedModel> {
        ledger::find(self.report(), model)
    }

    /// Tells whether a model answers requests and isn't about to leave.
    pub(crate) fn is_ready(&self, model: &ModelName) -> bool {
        self.model(model).is_some_and(|seen| seen.state == LoadState::Ready)
            && !self.closing.contains_key(model)
    }

    /// Tells whether the engine has left questions unanswered for too long.
    pub(crate) fn is_silent(&self, now: Time, timeout: Duration) -> bool {
        let heard = self.seen.as_ref().map_or(self.acquired, |seen| seen.heard);
        let since = self.unanswered_since.unwrap_or(now).max(heard);
        since.after(timeout).is_due(now)
    }

    /// Tells whether the engine gets no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.status == UpstreamStatus::Leaving || self.report().is_some_and(|report| report.leaving)
    }

    /// Returns how many requests the engine runs at a time.
    pub(crate) fn concurrency(&self) -> u32 {
        self.spec.as_ref().map_or(1, |spec| spec.concurrency.max(1))
    }

    /// Returns the memory in all.
    pub(crate) fn memory(&self) -> Mebibytes {
        let told = self.report().map(|report| report.memory);
        let listed = self.spec.as_ref().map(|spec| spec.memory);
        match (told, listed) {
            (Some(told), Some(listed)) => told.min(listed),
            (Some(memory), None) | (None, Some(memory)) => memory,
            (None, None) => Mebibytes(0),
        }
    }

    /// Returns the memory that isn't spoken for; none before the first report.
    pub(crate) fn free_memory(&self) -> Mebibytes {
        self.unclaimed(None).saturating_sub(self.late_orders_memory)
    }

    /// Returns the memory that neither models nor unsettled orders take.
    ///
    /// What late orders of the former owner may take has to be subtracted from
    /// this, never added back to [`free_memory`](Self::free_memory): that stops
    /// at zero, and the sum would show memory that a loaded model uses.
    fn unclaimed(&self, model: Option<&ModelName>) -> Mebibytes {
        let Some(report) = self.report() else { return Mebibytes(0) };
        let loaded: Mebibytes = report.models.iter().map(memory_of).sum();
        self.memory().saturating_sub(loaded + self.ledger.reserved(Some(report), model))
    }

    /// Returns the memory that a load of the model may use.
    pub(crate) fn free_for(&self, cx: &Cx<'_>, model: &ModelName) -> Mebibytes {
        // A late order of the former owner for the same model would change nothing.
        self.unclaimed(Some(model)).saturating_sub(self.late_orders_reserve(cx, Some(model)))
    }

    /// Tells whether anything is or may be loaded.
    pub(crate) fn may_hold_models(&self) -> bool {
        let Some(report) = self.report() else { return true };
        !report.models.is_empty() || !self.ledger.is_empty() || self.late_orders_memory > Mebibytes(0)
    }

    /// Returns the memory that a late order of the former owner may take beside what is seen.
    ///
    /// The former owner had at most one unanswered load. Which one isn't known,
    /// so it is taken to be the largest model that may be loaded here, `except`
    /// the one whose load makes no difference as it would only be doubled.
    pub(crate) fn late_orders_reserve(&self, cx: &Cx<'_>, except: Option<&ModelName>) -> Mebibytes {
        if self.late_orders == LateOrders::None {
            return Mebibytes(0);
        }
        let homes = cx.cache.all_homes().filter(|(_, homes)| homes.engines.contains(&self.id));
        homes
            .filter(|(model, _)| Some(*model) != except && self.model(model).is_none())
            .filter_map(|(model, _)| cx.document.catalogue.models.get(model))
            .map(crate::catalogue::Model::footprint)
            .max()
            .unwrap_or_default()
    }

    /// Returns which life of the engine the last report spoke of.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.seen.as_ref().map(|seen| seen.report.incarnation)
    }
}

/// Returns the memory that a model takes with its adapters.
pub(crate) fn memory_of(seen: &ReportedModel) -> Mebibytes {
    seen.memory + seen.adapters.iter().map(|a| a.memory).sum()
}
