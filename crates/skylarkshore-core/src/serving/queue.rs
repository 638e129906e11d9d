//! The requests that wait for an upstream: bounded, by order of service, fair between callers.

use std::collections::VecDeque;

use crate::collections::{OrderedMap, OrderedSet};
use crate::config::Limits;
use crate::event::Target;
use crate::id::{CallerId, RequestId};
use crate::rules::ServiceOrder;
use crate::serving::request::{Due, Request};
use crate::time::Time;

/// How urgent a waiting request is; the greatest is the first to be shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// The order of service.
    pub(super) order: ServiceOrder,
    /// Until when it may wait, and its name.
    pub(super) due: Due,
}

impl Urgency {
    /// Returns how urgent a request is.
    pub(super) fn of(id: RequestId, request: &Request) -> Self {
        Self { order: request.order, due: Due { at: request.waits_until(), request: id } }
    }
}

/// Why a request waits no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exit {
    /// It got its turn, so that its caller's next turn comes after the other callers'.
    Served,
    /// It was refused or its caller went away.
    DroppedOut,
}

/// The waiting requests of one order of service, callers taking turns.
#[derive(Debug, Default)]
struct Class {
    callers: OrderedMap<CallerId, OrderedSet<Due>>,
    turns: VecDeque<CallerId>,
}

impl Class {
    fn push(&mut self, caller: &CallerId, due: Due) {
        let waiting = self.callers.entry(caller.clone()).or_default();
        if waiting.is_empty() {
            self.turns.push_back(caller.clone());
        }
        waiting.insert(due);
    }

    fn first(&self) -> Option<Due> {
        self.callers.get(self.turns.front()?)?.first().copied()
    }

    fn remove(&mut self, caller: &CallerId, due: Due, exit: Exit) {
        let Some(waiting) = self.callers.get_mut(caller) else { return };
        waiting.remove(&due);
        let more = !waiting.is_empty();
        if !more {
            self.callers.remove(caller);
        }
        if !more || exit == Exit::Served {
            self.turns.retain(|c| c != caller);
        }
        if more && exit == Exit::Served {
            self.turns.push_back(caller.clone());
        }
    }
}

/// How many requests are looked at for one that fits the free upstream best.
const LOOK_AHEAD: usize = 16;
/// How often the request whose turn it is may be passed over for one that fits better.
const MOST_PASSED_OVER: u32 = 8;

/// The waiting requests for one model, adapter or service.
#[derive(Debug, Default)]
struct Lane {
    classes: OrderedMap<ServiceOrder, Class>,
    members: OrderedSet<Urgency>,
    deadlines: OrderedSet<Due>,
    aims: OrderedSet<Due>,
    /// How often the request whose turn it is has been passed over.
    passed_over: u32,
}

/// What waits for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waiting {
    /// How many requests.
    pub(super) count: u32,
    /// The most urgent order of service among them.
    pub(super) order: ServiceOrder,
    /// The latest deadline among them.
    pub(super) patient_until: Time,
    /// The first time, yet to come, from which on an answer to one of them loses value.
    pub(super) aim: Option<Time>,
}

impl Waiting {
    /// Adds requests that wait elsewhere than in a lane.
    pub(super) fn add(this: &mut Option<Self>, count: u32, order: ServiceOrder, until: Time) {
        let sum = this.get_or_insert(Self { count: 0, order, patient_until: until, aim: None });
        sum.count = sum.count.saturating_add(count);
        sum.order = sum.order.min(order);
        sum.patient_until = sum.patient_until.max(until);
    }
}

/// Why a request found no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overflow {
    /// Another request, which is less urgent, has to go for it.
    Shed(RequestId),
    /// It is the least urgent itself.
    Itself,
}

/// All waiting requests of a process.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lanes: OrderedMap<Target, Lane>,
    callers: OrderedMap<CallerId, OrderedSet<Urgency>>,
    all: OrderedSet<Urgency>,
}

impl Queue {
    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns how many requests wait for a target.
    pub(super) fn len_of(&self, target: &Target) -> u32 {
        self.lanes.get(target).map_or(0, |lane| u32::try_from(lane.members.len()).unwrap_or(u32::MAX))
    }

    /// Returns how many requests for the same target go before one.
    pub(super) fn ahead_of(&self, target: &Target, urgency: Urgency) -> u32 {
        let Some(lane) = self.lanes.get(target) else { return 0 };
        u32::try_from(lane.members.range(..urgency).count()).unwrap_or(u32::MAX)
    }

    /// Finds who has to go, if there is no room for one more request.
    pub(super) fn overflow(&self, limits: &Limits, caller: &CallerId, urgency: Urgency) -> Option<Overflow> {
        let own = self.callers.get(caller);
        let crowded = if own.is_some_and(|own| own.len() >= limits.queue_per_caller) {
            own?
        } else if self.all.len() >= limits.queue_total {
            &self.all
        } else {
            return None;
        };
        match crowded.last() {
            Some(last) if *last > urgency => Some(Overflow::Shed(last.due.request)),
            _ => Some(Overflow::Itself),
        }
    }

    /// Adds a request.
    pub(super) fn push(&mut self, id: RequestId, request: &Request) {
        let urgency = Urgency::of(id, request);
        let caller = &request.arrival.caller;
        let lane = self.lanes.entry(request.arrival.target.clone()).or_default();
        lane.classes.entry(urgency.order).or_default().push(caller, urgency.due);
        lane.members.insert(urgency);
        lane.deadlines.insert(urgency.due);
        lane.aims.insert(Due { at: request.arrival.policy.soft_deadline, request: id });
        self.callers.entry(caller.clone()).or_default().insert(urgency);
        self.all.insert(urgency);
    }

    /// Returns the requests that may go before the one whose turn it is, if they fit better.
    ///
    /// They have the same order of service, and it isn't passed over for ever.
    pub(super) fn may_go_first(&self, target: &Target) -> Vec<RequestId> {
        let Some(lane) = self.lanes.get(target) else { return Vec::new() };
        let Some(first) = lane.members.first().filter(|_| lane.passed_over < MOST_PASSED_OVER) else {
            return Vec::new();
        };
        let alike = lane.members.iter().take_while(|member| member.order == first.order);
        alike.take(LOOK_AHEAD).map(|member| member.due.request).collect()
    }

    /// Removes a request that gets its turn.
    pub(super) fn take(&mut self, id: RequestId, request: &Request) {
        let target = &request.arrival.target;
        let is_first = self.first(target) == Some(id);
        if let Some(lane) = self.lanes.get_mut(target) {
            lane.passed_over = if is_first { 0 } else { lane.passed_over + 1 };
        }
        self.remove(id, request, Exit::Served);
    }

    /// Removes a request that waits no longer; does nothing if it doesn't wait.
    pub(super) fn drop_out(&mut self, id: RequestId, request: &Request) {
        self.remove(id, request, Exit::DroppedOut);
    }

    /// Returns the request whose turn it is.
    pub(super) fn first(&self, target: &Target) -> Option<RequestId> {
        let lane = self.lanes.get(target)?;
        lane.classes.values().find_map(Class::first).map(|due| due.request)
    }

    /// Returns the targets that requests wait for, the one with the most urgent request first.
    pub(super) fn targets(&self) -> Vec<Target> {
        let mut targets: Vec<_> = self
            .lanes
            .iter()
            .filter_map(|(target, lane)| lane.members.first().map(|first| (*first, target)))
            .collect();
        targets.sort_unstable();
        targets.into_iter().map(|(_, target)| target.clone()).collect()
    }

    /// Returns what waits for a target.
    pub(super) fn waiting(&self, now: Time, target: &Target) -> Option<Waiting> {
        let lane = self.lanes.get(target)?;
        Some(Waiting {
            count: u32::try_from(lane.members.len()).unwrap_or(u32::MAX),
            order: lane.members.first()?.order,
            patient_until: lane.deadlines.last()?.at,
            aim: lane.aims.iter().map(|due| due.at).find(|at| !at.is_due(now)),
        })
    }

    /// Returns the requests that wait for a target.
    pub(super) fn requests(&self, target: &Target) -> Vec<RequestId> {
        let lane = self.lanes.get(target);
        lane.into_iter().flat_map(|lane| lane.members.iter().map(|m| m.due.request)).collect()
    }

    fn remove(&mut self, id: RequestId, request: &Request, exit: Exit) {
        let urgency = Urgency::of(id, request);
        if !self.all.remove(&urgency) {
            return;
        }
        let caller = &request.arrival.caller;
        if let Some(own) = self.callers.get_mut(caller) {
            own.remove(&urgency);
            if own.is_empty() {
                self.callers.remove(caller);
            }
        }
        let target = &request.arrival.target;
        let Some(lane) = self.lanes.get_mut(target) else { return };
        lane.members.remove(&urgency);
        lane.deadlines.remove(&urgency.due);
        lane.aims.remove(&Due { at: request.arrival.policy.soft_deadline, request: id });
        if let Some(class) = lane.classes.get_mut(&urgency.order) {
            class.remove(caller, urgency.due, exit);
            if class.callers.is_empty() {
                lane.classes.remove(&urgency.order);
            }
        }
        if lane.members.is_empty() {
            self.lanes.remove(target);
        }
    }
}
