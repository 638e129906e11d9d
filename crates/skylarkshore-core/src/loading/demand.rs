//! Waiting requests per model and router, and the routers' subscriptions to models. See [`Demand`].
//!
//! A router is a process that receives requests from callers and sends them to engines.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::{OrderedMap, OrderedSet};
use crate::config::Timings;
use crate::id::{AdapterName, HostId, ModelName};
use crate::peer::MIN_EXPECTED_RETRIES;
use crate::rules::ServiceOrder;
use crate::time::Time;

/// Intervals without a router's report after which its waiting requests are dropped.
const MAX_MISSED_MESSAGES: u32 = 4;

/// How long routers take to dispatch waiting requests once a model is ready.
const DISPATCH_TIME: Duration = Duration::from_millis(200);

/// Extra time granted to callers who were told when to retry.
const RETRY_GRACE: Duration = Duration::from_secs(2);

/// Requests that wait at one router.
#[derive(Clone, Copy, Debug)]
struct HostDemand {
    count: u32,
    service_order: ServiceOrder,
    /// The latest deadline among them.
    deadline: Time,
    /// The earliest soft deadline among them. An answer after it is worth less.
    soft_deadline: Time,
    /// When these requests are dropped unless the router reports them again.
    expires: Time,
    /// Whether the callers were told when to retry; the load goes on for them.
    held_for_retry: bool,
}

/// Requests by router.
type HostDemands = OrderedMap<HostId, HostDemand>;

/// Demand of all routers for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ModelDemand {
    /// The most urgent service order.
    pub service_order: ServiceOrder,
    /// The latest deadline of the waiting requests.
    pub deadline: Time,
    /// The earliest soft deadline of the waiting requests: an answer after it is worth
    /// less. Never if no request has one.
    pub soft_deadline: Time,
    /// Number of waiting requests.
    pub waiting: u32,
}

impl ModelDemand {
    fn with(self, other: &HostDemand) -> Self {
        Self {
            service_order: self.service_order.min(other.service_order),
            deadline: self.deadline.max(other.deadline),
            soft_deadline: self.soft_deadline.min(other.soft_deadline),
            waiting: self.waiting + other.count,
        }
    }
}

/// A router's report of waiting requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitReport<'a> {
    /// The router.
    pub from: &'a HostId,
    /// The model or adapter.
    pub target: &'a ModelTarget,
    /// Number of waiting requests.
    pub waiting: u32,
    /// The most urgent service order among them.
    pub service_order: ServiceOrder,
    /// The longest remaining wait among them.
    pub max_wait: Duration,
    /// The time until the earliest soft deadline among them.
    pub soft_deadline: Option<Duration>,
}

/// A router's report of requests that it refused and whose callers it expects to retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedCallers<'a> {
    /// The router.
    pub from: &'a HostId,
    /// The model or adapter.
    pub target: &'a ModelTarget,
    /// Number of refused requests.
    pub count: u32,
    /// The most urgent service order among them.
    pub service_order: ServiceOrder,
    /// Until when the retries are expected.
    pub until: Time,
}

/// Waiting requests and subscriptions.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    waiting: OrderedMap<ModelTarget, HostDemands>,
    /// Refused requests whose callers are expected to retry, where each router has only a few.
    refused: OrderedMap<ModelTarget, HostDemands>,
    /// The models of which all routers together have refused enough requests to count as waiting.
    refused_models: OrderedSet<ModelName>,
    subscriptions: OrderedMap<ModelName, OrderedMap<HostId, Time>>,
}

impl Demand {
    /// Records a router's report, which replaces its previous one.
    pub(crate) fn record(&mut self, now: Time, wait_report: WaitReport<'_>, timings: &Timings) {
        self.subscribe(now, wait_report.from, &wait_report.target.model, timings);
        if wait_report.waiting == 0 {
            return self.clear_waiting(wait_report.from, wait_report.target);
        }
        let waiting = HostDemand {
            count: wait_report.waiting,
            service_order: wait_report.service_order,
            deadline: now.after(wait_report.max_wait),
            soft_deadline: wait_report
                .soft_deadline
                .map_or(Time::NEVER, |soft_deadline| now.after(soft_deadline)),
            expires: now.after(timings.wanted_every * MAX_MISSED_MESSAGES),
            held_for_retry: false,
        };
        self.waiting.entry(wait_report.target.clone()).or_default().insert(wait_report.from.clone(), waiting);
    }

    /// Records refused requests of a router, in place of those that it reported before; returns
    /// the model's total over all routers if these now count as waiting.
    pub(crate) fn record_refused(&mut self, refused: &RefusedCallers<'_>) -> Option<u32> {
        let callers = HostDemand {
            count: refused.count,
            service_order: refused.service_order,
            deadline: refused.until,
            soft_deadline: Time::NEVER,
            expires: refused.until,
            held_for_retry: true,
        };
        let routers = self.refused.entry(refused.target.clone()).or_default();
        routers.insert(refused.from.clone(), callers);
        let model = &refused.target.model;
        let total = of_model(&self.refused, model).map(|callers| callers.count).sum();
        let is_enough = total >= MIN_EXPECTED_RETRIES;
        (is_enough && self.refused_models.insert(model.clone())).then_some(total)
    }

    /// Records that a router subscribes to a model.
    pub(crate) fn subscribe(&mut self, now: Time, from: &HostId, model: &ModelName, timings: &Timings) {
        let until = now.after(timings.interest);
        self.subscriptions.entry(model.clone()).or_default().insert(from.clone(), until);
    }

    /// Removes a router's waiting requests, except those held for a retry.
    pub(crate) fn clear_waiting(&mut self, from: &HostId, target: &ModelTarget) {
        if let Some(routers) = self.waiting.get_mut(target) {
            routers.retain(|host, waiting| host != from || waiting.held_for_retry);
        }
    }

    /// Keeps a router's waiting requests until its callers have had time to retry.
    ///
    /// Callers with short timeouts are refused before the load starts. If the load
    /// were dropped with them, they would be refused forever.
    pub(crate) fn hold_for_retry(&mut self, now: Time, wait_report: &WaitReport<'_>, retry_after: Duration) {
        let routers = self.waiting.get_mut(wait_report.target);
        let Some(waiting) = routers.and_then(|routers| routers.get_mut(wait_report.from)) else { return };
        let until = now.after(retry_after.saturating_add(RETRY_GRACE));
        waiting.held_for_retry = true;
        waiting.deadline = waiting.deadline.max(until);
        waiting.expires = waiting.expires.max(until);
    }

    /// Shortens the expiry of waiting requests once a model is ready to serve them.
    ///
    /// Routers do not report that requests no longer wait. Until the usual expiry,
    /// the model would seem in demand and could not be evicted for the next one.
    pub(crate) fn mark_served(&mut self, now: Time, model: &ModelName) {
        let until = now.after(DISPATCH_TIME);
        let first = ModelTarget { model: model.clone(), adapter: None };
        for demand in [&mut self.waiting, &mut self.refused] {
            let targets = demand.range_mut(first.clone()..).take_while(|(target, _)| target.model == *model);
            for waiting in targets.flat_map(|(_, routers)| routers.values_mut()) {
                waiting.expires = waiting.expires.min(until);
            }
        }
    }

    /// Drops expired reports and subscriptions.
    pub(crate) fn expire(&mut self, now: Time) {
        for routers in self.waiting.values_mut() {
            routers.retain(|_, waiting| !waiting.expires.is_due(now) && !waiting.deadline.is_due(now));
        }
        self.waiting.retain(|_, routers| !routers.is_empty());
        self.expire_refused(now);
        for subscribers in self.subscriptions.values_mut() {
            subscribers.retain(|_, until| !until.is_due(now));
        }
        self.subscriptions.retain(|_, subscribers| !subscribers.is_empty());
    }

    fn expire_refused(&mut self, now: Time) {
        if self.refused.is_empty() {
            return;
        }
        for routers in self.refused.values_mut() {
            routers.retain(|_, callers| !callers.expires.is_due(now));
        }
        self.refused.retain(|_, routers| !routers.is_empty());
        let refused = &self.refused;
        self.refused_models.retain(|model| {
            let total: u32 = of_model(refused, model).map(|callers| callers.count).sum();
            total >= MIN_EXPECTED_RETRIES
        });
    }

    /// Returns the demand for a model, adapters included.
    ///
    /// Refused callers count together as one request, and only while none waits: they may not come
    /// back, and requests that wait for other models go first.
    pub(crate) fn of_model(&self, model: &ModelName) -> Option<ModelDemand> {
        let waiting = sum(of_model(&self.waiting, model));
        if waiting.is_some() || !self.refused_models.contains(model) {
            return waiting;
        }
        sum(of_model(&self.refused, model)).map(|refused| ModelDemand { waiting: 1, ..refused })
    }

    /// Returns the demand for a model including a router's new report.
    pub(crate) fn combined_with(&self, now: Time, wait_report: &WaitReport<'_>) -> ModelDemand {
        let reported = ModelDemand {
            service_order: wait_report.service_order,
            deadline: now.after(wait_report.max_wait),
            soft_deadline: wait_report
                .soft_deadline
                .map_or(Time::NEVER, |soft_deadline| now.after(soft_deadline)),
            waiting: wait_report.waiting,
        };
        let Some(others) = self.of_model(&wait_report.target.model) else { return reported };
        ModelDemand {
            service_order: reported.service_order.min(others.service_order),
            deadline: reported.deadline.max(others.deadline),
            soft_deadline: reported.soft_deadline.min(others.soft_deadline),
            waiting: reported.waiting.saturating_add(others.waiting),
        }
    }

    /// Returns the models that requests wait for.
    pub(crate) fn models(&self) -> OrderedSet<ModelName> {
        let waiting = self.waiting.iter().filter(|(_, routers)| !routers.is_empty());
        let waiting = waiting.map(|(target, _)| &target.model);
        waiting.chain(&self.refused_models).cloned().collect()
    }

    /// Returns the adapters of a model that requests wait for.
    pub(crate) fn adapters(&self, model: &ModelName) -> Vec<AdapterName> {
        let adapters = |demand| {
            let targets = targets_of_model(demand, model).filter(|(_, routers)| !routers.is_empty());
            targets.filter_map(|(target, _)| target.adapter.clone())
        };
        let mut found: OrderedSet<AdapterName> = adapters(&self.waiting).collect();
        if self.refused_models.contains(model) {
            found.extend(adapters(&self.refused));
        }
        found.into_iter().collect()
    }

    /// Returns the routers that subscribe to a model.
    pub(crate) fn subscribers(&self, model: &ModelName) -> impl Iterator<Item = &HostId> {
        self.subscriptions.get(model).into_iter().flat_map(OrderedMap::keys)
    }
}

fn targets_of_model<'a>(
    demand: &'a OrderedMap<ModelTarget, HostDemands>,
    model: &'a ModelName,
) -> impl Iterator<Item = (&'a ModelTarget, &'a HostDemands)> {
    let first = ModelTarget { model: model.clone(), adapter: None };
    demand.range(first..).take_while(|(target, _)| target.model == *model)
}

fn of_model<'a>(
    demand: &'a OrderedMap<ModelTarget, HostDemands>,
    model: &'a ModelName,
) -> impl Iterator<Item = &'a HostDemand> {
    targets_of_model(demand, model).flat_map(|(_, routers)| routers.values())
}

fn sum<'a>(mut all: impl Iterator<Item = &'a HostDemand>) -> Option<ModelDemand> {
    let first = all.next()?;
    let need = ModelDemand {
        service_order: first.service_order,
        deadline: first.deadline,
        soft_deadline: first.soft_deadline,
        waiting: first.count,
    };
    Some(all.fold(need, ModelDemand::with))
}
