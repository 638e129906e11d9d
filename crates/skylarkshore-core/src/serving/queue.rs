//! Requests that wait for an upstream: bounded, by order of service, fair between callers.
//!
//! Open [`Queue`] first.

use std::collections::VecDeque;

use crate::collections::{OrderedMap, OrderedSet};
use crate::config::Limits;
use crate::event::Target;
use crate::id::{CallerId, RequestId};
use crate::rules::ServiceOrder;
use crate::serving::request::{Due, Request};
use crate::time::Time;

/// The position of a waiting request: by order of service, then by its queue deadline.
///
/// The least value is the most urgent; the greatest is shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) order: ServiceOrder,
    /// Its [queue deadline](Request::queue_deadline) and its identifier.
    pub(super) due: Due,
}

impl QueuePosition {
    pub(super) fn of(id: RequestId, request: &Request) -> Self {
        Self { order: request.order, due: Due { at: request.queue_deadline(), request: id } }
    }
}

/// Why a request leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exit {
    /// It is dispatched, so its caller's next turn comes after the other callers'.
    Dispatched,
    /// It was refused or its caller disconnected.
    Withdrawn,
}

/// The waiting requests of one order of service; callers take turns.
#[derive(Debug, Default)]
struct PriorityClass {
    callers: OrderedMap<CallerId, OrderedSet<Due>>,
    round_robin: VecDeque<CallerId>,
}

impl PriorityClass {
    fn push(&mut self, caller: &CallerId, due: Due) {
        let waiting = self.callers.entry(caller.clone()).or_default();
        if waiting.is_empty() {
            self.round_robin.push_back(caller.clone());
        }
        waiting.insert(due);
    }

    fn first(&self) -> Option<Due> {
        self.callers.get(self.round_robin.front()?)?.first().copied()
    }

    fn remove(&mut self, caller: &CallerId, due: Due, exit: Exit) {
        let Some(waiting) = self.callers.get_mut(caller) else { return };
        waiting.remove(&due);
        let more = !waiting.is_empty();
        if !more {
            self.callers.remove(caller);
        }
        if !more || exit == Exit::Dispatched {
            self.round_robin.retain(|c| c != caller);
        }
        if more && exit == Exit::Dispatched {
            self.round_robin.push_back(caller.clone());
        }
    }
}

/// Number of requests that are searched for one that fits the free upstream better.
const MAX_LOOKAHEAD: usize = 16;
/// Maximum number of times that the next request may be skipped for one that fits better.
const MAX_SKIPS: u32 = 8;

/// The waiting requests for one model, adapter or service.
#[derive(Debug, Default)]
struct TargetQueue {
    classes: OrderedMap<ServiceOrder, PriorityClass>,
    entries: OrderedSet<QueuePosition>,
    deadlines: OrderedSet<Due>,
    soft_deadlines: OrderedSet<Due>,
    /// Times that the next request has been skipped for one that fits better.
    skips: u32,
}

/// A summary of the requests that wait for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WaitingSummary {
    /// Number of requests.
    pub(super) count: u32,
    /// The lowest order of service, that of the most urgent request.
    pub(super) order: ServiceOrder,
    pub(super) latest_deadline: Time,
    /// The earliest future time after which an answer to one of them has reduced value.
    pub(super) soft_deadline: Option<Time>,
}

impl WaitingSummary {
    /// Adds requests that aren't in the queue.
    pub(super) fn add(this: &mut Option<Self>, count: u32, order: ServiceOrder, until: Time) {
        let sum = this.get_or_insert(Self { count: 0, order, latest_deadline: until, soft_deadline: None });
        sum.count = sum.count.saturating_add(count);
        sum.order = sum.order.min(order);
        sum.latest_deadline = sum.latest_deadline.max(until);
    }
}

/// Which request has no room in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overflow {
    /// Another request, which is less urgent and is shed.
    Shed(RequestId),
    /// The new request, which is the least urgent.
    Rejected,
}

/// All waiting requests of a process.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_target: OrderedMap<Target, TargetQueue>,
    callers: OrderedMap<CallerId, OrderedSet<QueuePosition>>,
    all: OrderedSet<QueuePosition>,
}

impl Queue {
    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns how many requests wait for a target.
    pub(super) fn len_of(&self, target: &Target) -> u32 {
        self.by_target.get(target).map_or(0, |queue| u32::try_from(queue.entries.len()).unwrap_or(u32::MAX))
    }

    /// Returns how many requests for the same target precede one.
    pub(super) fn ahead_of(&self, target: &Target, position: QueuePosition) -> u32 {
        let Some(queue) = self.by_target.get(target) else { return 0 };
        u32::try_from(queue.entries.range(..position).count()).unwrap_or(u32::MAX)
    }

    /// Returns the request to shed or reject if the queue has no room for one more.
    pub(super) fn overflow(
        &self,
        limits: &Limits,
        caller: &CallerId,
        position: QueuePosition,
    ) -> Option<Overflow> {
        let own = self.callers.get(caller);
        let full_set = if own.is_some_and(|own| own.len() >= limits.queue_per_caller) {
            own?
        } else if self.all.len() >= limits.queue_total {
            &self.all
        } else {
            return None;
        };
        match full_set.last() {
            Some(last) if *last > position => Some(Overflow::Shed(last.due.request)),
            _ => Some(Overflow::Rejected),
        }
    }

    /// Adds a request.
    pub(super) fn push(&mut self, id: RequestId, request: &Request) {
        let position = QueuePosition::of(id, request);
        let caller = &request.arrival.caller;
        let queue = self.by_target.entry(request.arrival.target.clone()).or_default();
        queue.classes.entry(position.order).or_default().push(caller, position.due);
        queue.entries.insert(position);
        queue.deadlines.insert(position.due);
        queue.soft_deadlines.insert(Due { at: request.arrival.policy.soft_deadline, request: id });
        self.callers.entry(caller.clone()).or_default().insert(position);
        self.all.insert(position);
    }

    /// Returns the requests that may be dispatched before the next one if they fit better.
    ///
    /// They have the same order of service, and the next one is skipped only a limited
    /// number of times.
    pub(super) fn lookahead(&self, target: &Target) -> Vec<RequestId> {
        let Some(queue) = self.by_target.get(target) else { return Vec::new() };
        let Some(first) = queue.entries.first().filter(|_| queue.skips < MAX_SKIPS) else {
            return Vec::new();
        };
        let alike = queue.entries.iter().take_while(|entry| entry.order == first.order);
        alike.take(MAX_LOOKAHEAD).map(|entry| entry.due.request).collect()
    }

    /// Removes a request that is dispatched.
    pub(super) fn take(&mut self, id: RequestId, request: &Request) {
        let target = &request.arrival.target;
        let is_first = self.first(target) == Some(id);
        if let Some(queue) = self.by_target.get_mut(target) {
            queue.skips = if is_first { 0 } else { queue.skips + 1 };
        }
        self.remove(id, request, Exit::Dispatched);
    }

    /// Removes a request that is no longer to be dispatched, if it is queued.
    pub(super) fn remove_if_queued(&mut self, id: RequestId, request: &Request) {
        self.remove(id, request, Exit::Withdrawn);
    }

    /// Returns the next request for a target.
    pub(super) fn first(&self, target: &Target) -> Option<RequestId> {
        let queue = self.by_target.get(target)?;
        queue.classes.values().find_map(PriorityClass::first).map(|due| due.request)
    }

    /// Returns the targets of waiting requests, the one with the most urgent request first.
    pub(super) fn targets(&self) -> Vec<Target> {
        let mut targets: Vec<_> = self
            .by_target
            .iter()
            .filter_map(|(target, queue)| queue.entries.first().map(|first| (*first, target)))
            .collect();
        targets.sort_unstable();
        targets.into_iter().map(|(_, target)| target.clone()).collect()
    }

    /// Summarizes the requests that wait for a target.
    pub(super) fn waiting(&self, now: Time, target: &Target) -> Option<WaitingSummary> {
        let queue = self.by_target.get(target)?;
        Some(WaitingSummary {
            count: u32::try_from(queue.entries.len()).unwrap_or(u32::MAX),
            order: queue.entries.first()?.order,
            latest_deadline: queue.deadlines.last()?.at,
            soft_deadline: queue.soft_deadlines.iter().map(|due| due.at).find(|at| !at.is_due(now)),
        })
    }

    /// Returns the requests that wait for a target.
    pub(super) fn requests(&self, target: &Target) -> Vec<RequestId> {
        let queue = self.by_target.get(target);
        queue.into_iter().flat_map(|queue| queue.entries.iter().map(|m| m.due.request)).collect()
    }

    fn remove(&mut self, id: RequestId, request: &Request, exit: Exit) {
        let position = QueuePosition::of(id, request);
        if !self.all.remove(&position) {
            return;
        }
        let caller = &request.arrival.caller;
        if let Some(own) = self.callers.get_mut(caller) {
            own.remove(&position);
            if own.is_empty() {
                self.callers.remove(caller);
            }
        }
        let target = &request.arrival.target;
        let Some(queue) = self.by_target.get_mut(target) else { return };
        queue.entries.remove(&position);
        queue.deadlines.remove(&position.due);
        queue.soft_deadlines.remove(&Due { at: request.arrival.policy.soft_deadline, request: id });
        if let Some(class) = queue.classes.get_mut(&position.order) {
            class.remove(caller, position.due, exit);
            if class.callers.is_empty() {
                queue.classes.remove(&position.order);
            }
        }
        if queue.entries.is_empty() {
            self.by_target.remove(target);
        }
    }
}
