//! What is known of one engine that this process owns.

mod orders;
mod reports;

use std::time::Duration;

use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{AdapterName, Fence, Incarnation, ModelName, SiteName, UpstreamId};
use crate::loading::engine_state::{
    AssumedEnd, Closing, Failures, LastReport, LateOrders, LoadProgress, Phase, Rehoming,
};
use crate::loading::load_metrics::LoadMetrics;
use crate::loading::pending_orders::{self, PendingOrders};
use crate::loading::published_view::PublishedView;
use crate::loading::reservation::Reservation;
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::units::{Mebibytes, Watts};
use crate::upstream::{EngineReport, EngineSpec, LoadState, OrderMode, ReportedModel, Standing};

/// How long an adapter takes to answer after its order was accepted; engines
/// state 5 to 10 ms.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);

/// One engine that this process owns.
#[derive(Debug)]
pub(crate) struct Engine {
    pub id: UpstreamId,
    pub fence: Fence,
    pub acquired_at: Time,
    pub phase: Phase,
    pub late_orders: LateOrders,
    /// What may be taken by a late order of the former owner; worked out at every tick.
    pub late_orders_memory: Mebibytes,
    pub spec: Option<EngineSpec>,
    pub site: Option<SiteName>,
    pub standing: Standing,
    pub pending_orders: PendingOrders,
    pub last_report: Option<LastReport>,
    /// The latest life that is known of.
    pub latest_incarnation: Incarnation,
    pub next_poll: Time,
    pub loads: OrderedMap<ModelName, LoadProgress>,
    pub closing: OrderedMap<ModelName, Closing>,
    pub closing_adapters: OrderedMap<(ModelName, AdapterName), Time>,
    pub failures: OrderedMap<ModelName, Failures>,
    /// Since when each model is ready here.
    pub ready_since: OrderedMap<ModelName, Time>,
    /// Until when models that came from the weight store aren't unloaded for others.
    pub retain_until: OrderedMap<ModelName, Time>,
    /// When each model last had a request in progress here.
    pub last_busy: OrderedMap<ModelName, Time>,
    pub lacks: Option<(Watts, ServiceOrder)>,
    /// The models that the last report showed.
    pub reported_models: OrderedSet<ModelName>,
    /// Idle models that the policy would rather unload.
    pub unneeded: OrderedSet<ModelName>,
    /// Models that the rules keep loaded here.
    pub pinned: OrderedSet<ModelName>,
    /// Models that are better loaded ahead of their next request.
    pub prewarm: OrderedSet<ModelName>,
    /// Models that are asked for so often that they are to be loaded here too.
    pub hot: OrderedSet<ModelName>,
    /// Those of them whose few replicas can't keep up.
    pub under_replicated: OrderedSet<ModelName>,
    /// Models of which the engine is to keep a copy and doesn't.
    pub missing_copies: OrderedSet<ModelName>,
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
    pub memory_blocked: OrderedSet<ModelName>,
    /// Until when idle time has been counted.
    pub idle_counted_until: Time,
    /// How many orders it has accepted, where it numbers them and that is known.
    pub accepted_count: Option<u64>,
    /// The most orders that it is known to have accepted in this life.
    pub max_accepted_count: u64,
    /// When it last accepted one.
    pub last_accepted_at: Time,
    /// Reports that were asked for earlier don't tell how many orders it has accepted.
    pub recount_after: Time,
    /// When a load may be tried again that came while another order was carried out.
    pub next_load_retry: Time,
    /// When the last load of a model was ordered.
    pub last_load_at: Time,
    /// The last load that was taken to have ended before a report showed it.
    pub assumed_end: Option<AssumedEnd>,
    /// When each adapter on it was last asked for.
    pub adapter_last_used: OrderedMap<(ModelName, AdapterName), Time>,
    pub rehoming: Rehoming,
    pub reservation: Reservation,
    pub published: PublishedView,
}

impl Engine {
    pub(crate) fn new(id: UpstreamId, fence: Fence, late_orders_until: Time, now: Time) -> Self {
        let late_orders = match late_orders_until {
            Time::NEVER => LateOrders::UntilQuiet { since: None },
            until if until.is_due(now) => LateOrders::None,
            until => LateOrders::Until(until),
        };
        Self {
            id,
            fence,
            acquired_at: now,
            phase: Phase::RaisingFence { order: None, retry: now },
            late_orders,
            late_orders_memory: Mebibytes(0),
            spec: None,
            site: None,
            standing: Standing::Live,
            pending_orders: PendingOrders::default(),
            last_report: None,
            latest_incarnation: Incarnation::default(),
            next_poll: now,
            loads: OrderedMap::new(),
            closing: OrderedMap::new(),
            closing_adapters: OrderedMap::new(),
            failures: OrderedMap::new(),
            ready_since: OrderedMap::new(),
            retain_until: OrderedMap::new(),
            last_busy: OrderedMap::new(),
            lacks: None,
            reported_models: OrderedSet::new(),
            unneeded: OrderedSet::new(),
            pinned: OrderedSet::new(),
            prewarm: OrderedSet::new(),
            hot: OrderedSet::new(),
            under_replicated: OrderedSet::new(),
            missing_copies: OrderedSet::new(),
            prewarmed: OrderedMap::new(),
            next_review: now,
            is_in_use: false,
            unanswered_since: None,
            planned: OrderedMap::new(),
            memory_blocked: OrderedSet::new(),
            idle_counted_until: now,
            accepted_count: None,
            max_accepted_count: 0,
            last_accepted_at: Time::START,
            recount_after: now,
            next_load_retry: now,
            last_load_at: Time::START,
            assumed_end: None,
            adapter_last_used: OrderedMap::new(),
            rehoming: Rehoming::default(),
            reservation: Reservation::default(),
            published: PublishedView::default(),
        }
    }

    /// Takes the host list's word and works out what depends on the time.
    pub(crate) fn refresh(&mut self, cx: &Cx<'_>) {
        if let Some(upstream) = cx.upstreams.get(&self.id) {
            self.spec = upstream.engine().cloned();
            self.standing = upstream.standing;
            self.site = Some(upstream.site.clone());
            if self.incarnation().is_some_and(|known| known < upstream.incarnation) {
                self.on_listed_incarnation(cx.now, upstream.incarnation);
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
        if is_over || self.is_sequential() {
            self.late_orders = LateOrders::None;
        }
        self.late_orders_memory = self.late_orders_reserve(cx, None);
    }

    /// Tells whether the model is neither loaded nor loading nor possibly so.
    pub(crate) fn is_free_of(&self, model: &ModelName) -> bool {
        self.report().is_some()
            && self.late_orders == LateOrders::None
            && self.model(model).is_none()
            && !self.pending_orders.concerns(model)
    }

    /// Returns the power that the engine may be drawing now.
    pub(crate) fn drawn(&self) -> Watts {
        let Some(spec) = &self.spec else { return Watts(0) };
        if self.may_hold_models() { spec.active_watts } else { spec.sleep_watts }
    }

    /// Counts the time in which something is loaded or loading and nothing runs.
    pub(crate) fn count_idle(&mut self, now: Time, load_metrics: &mut LoadMetrics) {
        let since = std::mem::replace(&mut self.idle_counted_until, now);
        let Some(report) = self.report() else { return };
        if !report.models.is_empty() && report.running == 0 {
            load_metrics.idle += now.since(since);
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
        let is_newer = |last: &LastReport| last.requested_at >= self.last_load_at.after(last.report.lag);
        let last =
            self.last_report.as_ref().filter(|reported| self.phase == Phase::Surveyed && is_newer(reported));
        last.is_some_and(|last| last.report.copies.in_memory.contains(model))
    }

    /// Tells whether an adapter answers requests.
    pub(crate) fn has_adapter(&self, now: Time, model: &ModelName, adapter: &AdapterName) -> bool {
        let reported = self.model(model);
        let reported = reported
            .is_some_and(|reported| reported.adapters.iter().any(|a| a.ready && a.adapter == *adapter));
        reported || self.assumed_adapters(now).any(|(base, name)| base == model && name == adapter)
    }

    /// Returns the adapters that should answer by now, though no report has shown them.
    ///
    /// An adapter takes a hundredth of a second; waiting for a report that shows
    /// it would take ten times as long, and callers would feel each of them.
    pub(crate) fn assumed_adapters(&self, now: Time) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
        let accepted = self.pending_orders.accepted_adapters().filter(|_| self.is_sequential());
        let due = accepted.filter(move |(_, _, at)| at.after(ADAPTER_LOAD_TIME).is_due(now));
        due.map(|(model, adapter, _)| (model, adapter))
    }

    /// Tells whether the engine numbers its orders and carries them out one at a time.
    pub(crate) fn is_sequential(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.order_mode == OrderMode::OneByOne)
    }

    /// Tells whether an order for a base model would be carried out at once.
    pub(crate) fn is_free_for_orders(&self) -> bool {
        if !self.is_sequential() {
            return true;
        }
        self.is_free_for_adapter_orders() && self.report().is_some_and(|report| !report.busy)
    }

    /// Tells whether an order for an adapter can be sent: its number is known, and no other is unanswered.
    pub(crate) fn is_free_for_adapter_orders(&self) -> bool {
        !self.is_sequential()
            || self.accepted_count.is_some()
                && !self.pending_orders.has_unanswered()
                && !self.pending_orders.has_model_order()
    }

    /// Returns the report, once it may be relied on.
    pub(crate) fn report(&self) -> Option<&EngineReport> {
        self.last_report.as_ref().filter(|_| self.phase == Phase::Surveyed).map(|last| &last.report)
    }

    /// Finds a model in the report.
    pub(crate) fn model(&self, model: &ModelName) -> Option<&ReportedModel> {
        pending_orders::find(self.report(), model)
    }

    /// Tells whether a model answers requests and isn't about to leave.
    pub(crate) fn is_ready(&self, model: &ModelName) -> bool {
        self.model(model).is_some_and(|reported| reported.state == LoadState::Ready)
            && !self.closing.contains_key(model)
    }

    /// Tells whether the engine has left questions unanswered for too long.
    pub(crate) fn is_silent(&self, now: Time, timeout: Duration) -> bool {
        let received_at = self.last_report.as_ref().map_or(self.acquired_at, |last| last.received_at);
        let since = self.unanswered_since.unwrap_or(now).max(received_at);
        since.after(timeout).is_due(now)
    }

    /// Tells whether the engine gets no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.standing == Standing::Leaving || self.report().is_some_and(|report| report.leaving)
    }

    /// Returns how many requests the engine runs at a time.
    pub(crate) fn concurrency(&self) -> u32 {
        self.spec.as_ref().map_or(1, |spec| spec.concurrency.max(1))
    }

    /// Returns the memory in all.
    pub(crate) fn memory(&self) -> Mebibytes {
        let reported = self.report().map(|report| report.memory);
        let listed = self.spec.as_ref().map(|spec| spec.memory);
        match (reported, listed) {
            (Some(reported), Some(listed)) => reported.min(listed),
            (Some(memory), None) | (None, Some(memory)) => memory,
            (None, None) => Mebibytes(0),
        }
    }

    /// Returns the memory that isn't spoken for; none before the first report.
    pub(crate) fn free_memory(&self) -> Mebibytes {
        self.unreserved_memory(None).saturating_sub(self.late_orders_memory)
    }

    /// Returns the memory that neither models nor unsettled orders take.
    ///
    /// What late orders of the former owner may take has to be subtracted from
    /// this, never added back to [`free_memory`](Self::free_memory): that stops
    /// at zero, and the sum would show memory that a loaded model uses.
    fn unreserved_memory(&self, model: Option<&ModelName>) -> Mebibytes {
        let Some(report) = self.report() else { return Mebibytes(0) };
        let loaded: Mebibytes = report.models.iter().map(memory_of).sum();
        self.memory().saturating_sub(loaded + self.pending_orders.reserved(Some(report), model))
    }

    /// Returns the memory that a load of the model may use.
    pub(crate) fn free_memory_for(&self, cx: &Cx<'_>, model: &ModelName) -> Mebibytes {
        // A late order of the former owner for the same model would change nothing.
        self.unreserved_memory(Some(model)).saturating_sub(self.late_orders_reserve(cx, Some(model)))
    }

    /// Tells whether anything is or may be loaded.
    pub(crate) fn may_hold_models(&self) -> bool {
        let Some(report) = self.report() else { return true };
        !report.models.is_empty() || !self.pending_orders.is_empty() || self.late_orders_memory > Mebibytes(0)
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
        self.last_report.as_ref().map(|last| last.report.incarnation)
    }
}

/// Returns the memory that a model takes with its adapters.
pub(crate) fn memory_of(reported: &ReportedModel) -> Mebibytes {
    reported.memory + reported.adapters.iter().map(|a| a.memory).sum()
}
