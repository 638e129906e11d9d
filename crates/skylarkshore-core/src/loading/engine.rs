//! State of one engine that this process owns. Start with [`Engine`].

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
use crate::upstream::{EngineReport, EngineSpec, LoadState, OrderMode, ReportedModel, UpstreamStatus};

/// How long an accepted adapter load takes until the adapter answers requests.
/// Engines state 5 to 10 ms.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);

/// State of one owned engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub id: UpstreamId,
    pub fence: Fence,
    pub acquired_at: Time,
    pub phase: Phase,
    pub late_orders: LateOrders,
    /// Memory reserved for a late order of the former owner; recomputed at every tick.
    pub late_orders_memory: Mebibytes,
    pub spec: Option<EngineSpec>,
    pub site: Option<SiteName>,
    pub status: UpstreamStatus,
    pub pending_orders: PendingOrders,
    pub last_report: Option<LastReport>,
    /// The highest incarnation known from reports or the host list.
    pub latest_incarnation: Incarnation,
    /// The incarnation that has said in an answer that it is leaving.
    pub said_leaving: Option<Incarnation>,
    pub next_poll: Time,
    pub loads: OrderedMap<ModelName, LoadProgress>,
    pub closing: OrderedMap<ModelName, Closing>,
    pub closing_adapters: OrderedMap<(ModelName, AdapterName), Time>,
    pub failures: OrderedMap<ModelName, Failures>,
    /// When each model became ready.
    pub ready_since: OrderedMap<ModelName, Time>,
    /// Until when models loaded from the weight store are not evicted.
    pub retain_until: OrderedMap<ModelName, Time>,
    /// When each model last had a request in progress.
    pub last_busy: OrderedMap<ModelName, Time>,
    /// The power that the most urgent load lacks, and that load's service order.
    pub power_shortfall: Option<(Watts, ServiceOrder)>,
    /// Models in the last report.
    pub reported_models: OrderedSet<ModelName>,
    /// Idle models that the keep-alive policy wants to unload.
    pub unneeded: OrderedSet<ModelName>,
    /// Models that the rules keep loaded on this engine.
    pub pinned: OrderedSet<ModelName>,
    /// Models to load ahead of their next request.
    pub prewarm: OrderedSet<ModelName>,
    /// Hot models that this engine has to hold: their request rate requires more than
    /// one replica.
    pub hot: OrderedSet<ModelName>,
    /// The part of `hot` whose next replica is loaded before all else.
    pub under_replicated: OrderedSet<ModelName>,
    /// Models to load only for a copy of their weights.
    pub missing_copies: OrderedSet<ModelName>,
    /// Prewarmed models, with their last use before the prewarm.
    pub prewarmed: OrderedMap<ModelName, Time>,
    /// Whether any host subscribes to a model on this engine.
    pub has_subscribers: bool,
    /// When the oldest unanswered report request was sent.
    pub unanswered_since: Option<Time>,
    /// When the policy is evaluated next.
    pub next_review: Time,
    /// When models that wait for memory, power or the weight store are expected to be ready.
    pub planned: OrderedMap<ModelName, Time>,
    /// Models for which not enough memory can be freed.
    pub memory_blocked: OrderedSet<ModelName>,
    /// The time up to which idle time has been counted.
    pub idle_counted_until: Time,
    /// How many orders the engine has accepted. None if it does not count them, or
    /// the count is unknown.
    pub accepted_count: Option<u64>,
    /// The highest accepted count seen in this incarnation.
    pub max_accepted_count: u64,
    /// When the engine last accepted an order.
    pub last_accepted_at: Time,
    /// Reports requested before this time do not contain a valid accepted count.
    pub recount_after: Time,
    /// When a load that arrived during another order is retried.
    pub next_load_retry: Time,
    /// When the last model load was ordered.
    pub last_load_at: Time,
    /// The last load that was assumed to have ended before a report confirmed it.
    pub assumed_end: Option<AssumedEnd>,
    /// When each adapter was last requested.
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
            status: UpstreamStatus::Live,
            pending_orders: PendingOrders::default(),
            last_report: None,
            latest_incarnation: Incarnation::default(),
            said_leaving: None,
            next_poll: now,
            loads: OrderedMap::new(),
            closing: OrderedMap::new(),
            closing_adapters: OrderedMap::new(),
            failures: OrderedMap::new(),
            ready_since: OrderedMap::new(),
            retain_until: OrderedMap::new(),
            last_busy: OrderedMap::new(),
            power_shortfall: None,
            reported_models: OrderedSet::new(),
            unneeded: OrderedSet::new(),
            pinned: OrderedSet::new(),
            prewarm: OrderedSet::new(),
            hot: OrderedSet::new(),
            under_replicated: OrderedSet::new(),
            missing_copies: OrderedSet::new(),
            prewarmed: OrderedMap::new(),
            next_review: now,
            has_subscribers: false,
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

    /// Updates the state from the host list and the clock.
    pub(crate) fn refresh(&mut self, cx: &Cx<'_>) {
        if let Some(upstream) = cx.upstreams.get(&self.id) {
            self.spec = upstream.engine().cloned();
            self.status = upstream.status;
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
        // Sequential engines check the order count: a late order of the former owner
        // is refused, or the next order of this process is.
        if is_over || self.is_sequential() {
            self.late_orders = LateOrders::None;
        }
        self.late_orders_memory = self.late_orders_reserve(cx, None);
    }

    /// Reports whether the model is certainly absent: not loaded, not loading, and
    /// with no pending order.
    pub(crate) fn is_certainly_without(&self, model: &ModelName) -> bool {
        self.report().is_some()
            && self.late_orders == LateOrders::None
            && self.model(model).is_none()
            && !self.pending_orders.concerns(model)
    }

    /// Returns the power that the engine may be drawing.
    pub(crate) fn power_draw(&self) -> Watts {
        let Some(spec) = &self.spec else { return Watts(0) };
        if self.may_hold_models() { spec.active_watts } else { spec.sleep_watts }
    }

    /// Adds the time since the last call to the idle time if models are loaded and no request runs.
    pub(crate) fn count_idle(&mut self, now: Time, load_metrics: &mut LoadMetrics) {
        let since = std::mem::replace(&mut self.idle_counted_until, now);
        let Some(report) = self.report() else { return };
        if !report.models.is_empty() && report.running == 0 {
            load_metrics.idle += now.since(since);
        }
    }

    /// Reports whether the engine has a copy of the model's weights, in memory or on disk.
    pub(crate) fn has_copy(&self, model: &ModelName) -> bool {
        self.report().is_some_and(|report| report.copies.has(model))
    }

    /// Reports whether the weights are known to be in the memory of the engine's host.
    ///
    /// Only a few models fit there and each load evicts one, so a report from before
    /// the last load does not count.
    pub(crate) fn is_in_memory(&self, model: &ModelName) -> bool {
        let is_newer = |last: &LastReport| last.requested_at >= self.last_load_at.after(last.report.lag);
        let last = self.last_report.as_ref().filter(|last| self.phase == Phase::Surveyed && is_newer(last));
        last.is_some_and(|last| last.report.copies.in_memory.contains(model))
    }

    /// Reports whether an adapter answers requests.
    pub(crate) fn has_adapter(&self, now: Time, model: &ModelName, adapter: &AdapterName) -> bool {
        let base = self.model(model);
        let is_reported =
            base.is_some_and(|base| base.adapters.iter().any(|a| a.ready && a.adapter == *adapter));
        is_reported || self.assumed_adapters(now).any(|(base, name)| base == model && name == adapter)
    }

    /// Returns the adapters that should be ready by now although no report shows them yet.
    ///
    /// An adapter loads in about 10 ms. Waiting for a report takes ten times as
    /// long, which every caller would notice.
    pub(crate) fn assumed_adapters(&self, now: Time) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
        let accepted = self.pending_orders.accepted_adapters().filter(|_| self.is_sequential());
        let due = accepted.filter(move |(_, _, at)| at.after(ADAPTER_LOAD_TIME).is_due(now));
        due.map(|(model, adapter, _)| (model, adapter))
    }

    /// Reports whether the engine counts its orders and executes one at a time.
    pub(crate) fn is_sequential(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.order_mode == OrderMode::Sequential)
    }

    /// Reports whether an order for a base model would be executed at once.
    pub(crate) fn is_free_for_orders(&self) -> bool {
        if !self.is_sequential() {
            return true;
        }
        self.is_free_for_adapter_orders() && self.report().is_some_and(|report| !report.busy)
    }

    /// Reports whether an adapter order can be sent: the accepted count is known,
    /// and no other order is unanswered.
    pub(crate) fn is_free_for_adapter_orders(&self) -> bool {
        !self.is_sequential()
            || self.accepted_count.is_some()
                && !self.pending_orders.has_unanswered()
                && !self.pending_orders.has_model_order()
    }

    /// Returns the last report, once the engine has been surveyed.
    pub(crate) fn report(&self) -> Option<&EngineReport> {
        self.last_report.as_ref().filter(|_| self.phase == Phase::Surveyed).map(|last| &last.report)
    }

    /// Returns a model from the last report.
    pub(crate) fn model(&self, model: &ModelName) -> Option<&ReportedModel> {
        pending_orders::find(self.report(), model)
    }

    /// Reports whether a model accepts new requests: it is ready and not closing.
    pub(crate) fn is_ready(&self, model: &ModelName) -> bool {
        self.model(model).is_some_and(|reported| reported.state == LoadState::Ready)
            && !self.closing.contains_key(model)
    }

    /// Reports whether the engine has not answered report requests for `timeout`.
    pub(crate) fn is_silent(&self, now: Time, timeout: Duration) -> bool {
        let received_at = self.last_report.as_ref().map_or(self.acquired_at, |last| last.received_at);
        let since = self.unanswered_since.unwrap_or(now).max(received_at);
        since.after(timeout).is_due(now)
    }

    /// Reports whether the engine gets no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.status == UpstreamStatus::Leaving
            || self.said_leaving.is_some_and(|said| said >= self.latest_incarnation)
            || self.report().is_some_and(|report| report.leaving)
    }

    /// Returns how many requests the engine runs concurrently.
    pub(crate) fn concurrency(&self) -> u32 {
        self.spec.as_ref().map_or(1, |spec| spec.concurrency.max(1))
    }

    /// Returns the total memory.
    pub(crate) fn memory(&self) -> Mebibytes {
        let reported = self.report().map(|report| report.memory);
        let listed = self.spec.as_ref().map(|spec| spec.memory);
        match (reported, listed) {
            (Some(reported), Some(listed)) => reported.min(listed),
            (Some(memory), None) | (None, Some(memory)) => memory,
            (None, None) => Mebibytes(0),
        }
    }

    /// Returns the memory that is not reserved; zero before the first report.
    pub(crate) fn free_memory(&self) -> Mebibytes {
        self.unreserved_memory(None).saturating_sub(self.late_orders_memory)
    }

    /// Returns the memory not used by models or reserved for pending orders.
    ///
    /// The reserve for late orders is subtracted from this value. It must not be
    /// added back to [`free_memory`](Self::free_memory), which saturates at zero:
    /// the sum would include memory in use.
    fn unreserved_memory(&self, model: Option<&ModelName>) -> Mebibytes {
        let Some(report) = self.report() else { return Mebibytes(0) };
        let loaded: Mebibytes = report.models.iter().map(memory_of).sum();
        self.memory().saturating_sub(loaded + self.pending_orders.reserved(Some(report), model))
    }

    /// Returns the memory available for a load of the model.
    pub(crate) fn free_memory_for(&self, cx: &Cx<'_>, model: &ModelName) -> Mebibytes {
        // A late order of the former owner for the same model has no effect.
        self.unreserved_memory(Some(model)).saturating_sub(self.late_orders_reserve(cx, Some(model)))
    }

    /// Reports whether any model is or may be loaded.
    pub(crate) fn may_hold_models(&self) -> bool {
        let Some(report) = self.report() else { return true };
        !report.models.is_empty() || !self.pending_orders.is_empty() || self.late_orders_memory > Mebibytes(0)
    }

    /// Returns the memory that a late order of the former owner may take.
    ///
    /// The former owner had at most one unanswered load, of an unknown model. The
    /// reserve is the largest footprint among the models whose home is this engine.
    /// A late load of `except` is a duplicate and needs no reserve.
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

    /// Returns the incarnation in the last report.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.last_report.as_ref().map(|last| last.report.incarnation)
    }
}

/// Returns the memory of a model and its adapters.
pub(crate) fn memory_of(reported: &ReportedModel) -> Mebibytes {
    reported.memory + reported.adapters.iter().map(|a| a.memory).sum()
}
