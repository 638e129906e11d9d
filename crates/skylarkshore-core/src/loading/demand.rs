//! Who waits for which model, and who wants to hear of it.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::{OrderedMap, OrderedSet};
use crate::config::Timings;
use crate::id::{AdapterName, HostId, ModelName};
use crate::rules::ServiceOrder;
use crate::time::Time;

/// After how many intervals without a router's word its waiting requests no longer count.
const MAX_MISSED_MESSAGES: u32 = 4;

/// How long it takes routers to send what waits, once they hear that a model can be used.
const DISPATCH_TIME: Duration = Duration::from_millis(200);

/// How much later than told callers may ask again.
const RETRY_GRACE: Duration = Duration::from_secs(2);

/// The requests that wait at one router.
#[derive(Clone, Copy, Debug)]
struct HostDemand {
    count: u32,
    order: ServiceOrder,
    /// When the most patient of them gives up.
    deadline: Time,
    /// When the first answer to them loses value.
    aim: Time,
    /// When the router counts as silent.
    expires: Time,
    /// Whether the router was told to ask again, so that the load has to go on meanwhile.
    held_for_retry: bool,
}

/// What all routers together want of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ModelDemand {
    /// The most urgent order of service.
    pub order: ServiceOrder,
    /// When the most patient of those who wait gives up.
    pub deadline: Time,
    /// When the first answer to them loses value; never if all have lost it.
    pub aim: Time,
    /// How many requests wait.
    pub waiting: u32,
}

impl ModelDemand {
    fn with(self, other: &HostDemand) -> Self {
        Self {
            order: self.order.min(other.order),
            deadline: self.deadline.max(other.deadline),
            aim: self.aim.min(other.aim),
            waiting: self.waiting + other.count,
        }
    }
}

/// A router's word that requests wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitReport<'a> {
    /// The router.
    pub from: &'a HostId,
    /// The model or adapter.
    pub target: &'a ModelTarget,
    /// How many requests wait.
    pub waiting: u32,
    /// The most urgent order of service among them.
    pub order: ServiceOrder,
    /// How long the most patient of them can still wait.
    pub patience: Duration,
    /// How long the least patient of them can wait for its answer to have its full value.
    pub aim: Option<Duration>,
}

/// Who waits and who listens.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    waiting: OrderedMap<ModelTarget, OrderedMap<HostId, HostDemand>>,
    subscriptions: OrderedMap<ModelName, OrderedMap<HostId, Time>>,
}

impl Demand {
    /// Takes a router's word; it replaces the router's earlier one.
    pub(crate) fn record(&mut self, now: Time, wanted: WaitReport<'_>, timings: &Timings) {
        self.subscribe(now, wanted.from, &wanted.target.model, timings);
        if wanted.waiting == 0 {
            return self.clear_waiting(wanted.from, wanted.target);
        }
        let waiting = HostDemand {
            count: wanted.waiting,
            order: wanted.order,
            deadline: now.after(wanted.patience),
            aim: wanted.aim.map_or(Time::NEVER, |aim| now.after(aim)),
            expires: now.after(timings.wanted_every * MAX_MISSED_MESSAGES),
            held_for_retry: false,
        };
        self.waiting.entry(wanted.target.clone()).or_default().insert(wanted.from.clone(), waiting);
    }

    /// Takes note that a router wants to hear of a model.
    pub(crate) fn subscribe(&mut self, now: Time, from: &HostId, model: &ModelName, timings: &Timings) {
        let until = now.after(timings.interest);
        self.subscriptions.entry(model.clone()).or_default().insert(from.clone(), until);
    }

    /// Takes note that nothing waits at a router any more, but for callers who were told to come back.
    pub(crate) fn clear_waiting(&mut self, from: &HostId, target: &ModelTarget) {
        if let Some(routers) = self.waiting.get_mut(target) {
            routers.retain(|host, waiting| host != from || waiting.held_for_retry);
        }
    }

    /// Keeps a router's word for as long as its callers were told to wait before they ask again.
    ///
    /// Callers with little patience are refused before a load has even begun. If
    /// the load were dropped with them, they would be refused for ever.
    pub(crate) fn hold_for_retry(&mut self, now: Time, wanted: &WaitReport<'_>, retry_after: Duration) {
        let routers = self.waiting.get_mut(wanted.target);
        let Some(waiting) = routers.and_then(|routers| routers.get_mut(wanted.from)) else { return };
        let until = now.after(retry_after.saturating_add(RETRY_GRACE));
        waiting.held_for_retry = true;
        waiting.deadline = waiting.deadline.max(until);
        waiting.expires = waiting.expires.max(until);
    }

    /// Takes note that a model can be used, so that those who wait for it will be served.
    ///
    /// Routers don't tell that nobody waits any more. Until the usual time has
    /// passed, a model that has served them would look needed, and couldn't make
    /// way for the next one.
    pub(crate) fn mark_served(&mut self, now: Time, model: &ModelName) {
        let until = now.after(DISPATCH_TIME);
        let first = ModelTarget { model: model.clone(), adapter: None };
        let targets = self.waiting.range_mut(first..).take_while(|(target, _)| target.model == *model);
        for waiting in targets.flat_map(|(_, routers)| routers.values_mut()) {
            waiting.expires = waiting.expires.min(until);
        }
    }

    /// Forgets those whose time has run out.
    pub(crate) fn expire(&mut self, now: Time) {
        for routers in self.waiting.values_mut() {
            routers.retain(|_, waiting| !waiting.expires.is_due(now) && !waiting.deadline.is_due(now));
        }
        self.waiting.retain(|_, routers| !routers.is_empty());
        for subscribers in self.subscriptions.values_mut() {
            subscribers.retain(|_, until| !until.is_due(now));
        }
        self.subscriptions.retain(|_, subscribers| !subscribers.is_empty());
    }

    /// Returns what is wanted of a model, on its own or under adapters.
    pub(crate) fn of_model(&self, model: &ModelName) -> Option<ModelDemand> {
        let first = ModelTarget { model: model.clone(), adapter: None };
        let targets = self.waiting.range(first..).take_while(|(target, _)| target.model == *model);
        sum(targets.flat_map(|(_, routers)| routers.values()))
    }

    /// Returns what is wanted of a model once a router's word is taken.
    pub(crate) fn combined_with(&self, now: Time, wanted: &WaitReport<'_>) -> ModelDemand {
        let reported = ModelDemand {
            order: wanted.order,
            deadline: now.after(wanted.patience),
            aim: wanted.aim.map_or(Time::NEVER, |aim| now.after(aim)),
            waiting: wanted.waiting,
        };
        let Some(others) = self.of_model(&wanted.target.model) else { return reported };
        ModelDemand {
            order: reported.order.min(others.order),
            deadline: reported.deadline.max(others.deadline),
            aim: reported.aim.min(others.aim),
            waiting: reported.waiting.saturating_add(others.waiting),
        }
    }

    /// Returns the models that requests wait for.
    pub(crate) fn models(&self) -> OrderedSet<ModelName> {
        let waiting = self.waiting.iter().filter(|(_, routers)| !routers.is_empty());
        waiting.map(|(target, _)| target.model.clone()).collect()
    }

    /// Returns the adapters of a model that requests wait for.
    pub(crate) fn adapters(&self, model: &ModelName) -> Vec<AdapterName> {
        let first = ModelTarget { model: model.clone(), adapter: None };
        let targets = self.waiting.range(first..).take_while(|(target, _)| target.model == *model);
        targets
            .filter(|(_, routers)| !routers.is_empty())
            .filter_map(|(target, _)| target.adapter.clone())
            .collect()
    }

    /// Returns the routers that want to hear of a model.
    pub(crate) fn subscribers(&self, model: &ModelName) -> impl Iterator<Item = &HostId> {
        self.subscriptions.get(model).into_iter().flat_map(OrderedMap::keys)
    }
}

fn sum<'a>(mut all: impl Iterator<Item = &'a HostDemand>) -> Option<ModelDemand> {
    let first = all.next()?;
    let need =
        ModelDemand { order: first.order, deadline: first.deadline, aim: first.aim, waiting: first.count };
    Some(all.fold(need, ModelDemand::with))
}
