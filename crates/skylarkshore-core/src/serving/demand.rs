//! This router's demand for models: which owners are asked to load a target, and their
//! responses.
//!
//! Open [`Demand`] first.

mod assignment;
mod owners;

use std::time::Duration;

use owners::{Ask, owners, tell};

use crate::catalogue::ModelTarget;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::event::Target;
use crate::id::{HostId, UpstreamId};
use crate::peer::{CannotLoad, PeerMessage};
use crate::rules::ServiceOrder;
use crate::serving::expected_retries::Returning;
use crate::serving::queue::Waiting;
use crate::serving::wait_estimate::Paces;
use crate::time::Time;

/// How long a target is kept after its last request.
const REMEMBERED: Duration = Duration::from_hours(24);

/// How long an owner's busy response is valid.
const BUSY_FOR: Duration = Duration::from_millis(700);

/// How long the owner of a load is treated as the target's loader after the load was last seen.
const TAKEN_ON_FOR: Duration = Duration::from_secs(2);

/// An owner's refusal to load a target.
#[derive(Clone, Debug)]
pub(super) struct Refused {
    pub(super) reason: CannotLoad,
    /// When to ask again.
    pub(super) until: Time,
    /// The latest deadline that the owner was sent.
    pub(super) patient_until: Time,
}

#[derive(Debug)]
struct Want {
    arrived: u32,
    /// Answers that began late because of the engine.
    late: u32,
    last_arrival: Time,
    told: Option<Time>,
    /// When usage was last sent to the owners.
    counted: Time,
    /// Number of owners asked to load, in the order of the homes.
    asked: usize,
    /// Since when requests have waited without a response from any owner.
    unheard_since: Option<Time>,
    /// Since when requests have waited without interruption, whatever the owners responded.
    waiting_since: Option<Time>,
    patient_until: Time,
    refused: OrderedMap<HostId, Refused>,
    /// Owners that responded that the load would take long.
    busy: OrderedMap<HostId, Busy>,
    /// The owner that is asked although it is busy, because all are and it is expected to
    /// be the fastest.
    assigned: Option<HostId>,
    /// When it should have loaded the target.
    assigned_until: Time,
    /// Requests that were told when to retry.
    returning: Returning,
    /// Owners that were asked and have not responded that they are busy.
    told_to: OrderedSet<HostId>,
}

/// An owner's response that a load would take long.
#[derive(Clone, Copy, Debug)]
struct Busy {
    ready_at: Time,
    /// Until when the response is valid.
    until: Time,
}

/// The state of supply for a target whose requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Supply {
    /// Nothing is ready or being loaded.
    Nothing,
    /// A load is in progress.
    Coming,
    /// Every ready upstream is full.
    Full,
}

/// Whether owners are asked before the usual interval has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pace {
    /// They are asked when the interval has passed.
    WhenDue,
    /// They are asked immediately, because something has changed.
    Now,
}

/// The targets that this router has recently had requests for.
#[derive(Debug, Default)]
pub(super) struct Wants {
    wants: OrderedMap<ModelTarget, Want>,
}

impl Wants {
    /// Counts a request; returns how long the target had none, if it ever had one.
    pub(super) fn count_arrival(&mut self, now: Time, target: &ModelTarget) -> Option<Duration> {
        if let Some(want) = self.wants.get_mut(target) {
            let idle = now.since(want.last_arrival);
            want.arrived = want.arrived.saturating_add(1);
            want.last_arrival = now;
            return Some(idle);
        }
        let want = Want {
            arrived: 1,
            late: 0,
            last_arrival: now,
            told: None,
            counted: Time::START,
            asked: 1,
            unheard_since: None,
            waiting_since: None,
            patient_until: now,
            refused: OrderedMap::new(),
            busy: OrderedMap::new(),
            assigned: None,
            assigned_until: Time::NEVER,
            returning: Returning::default(),
            told_to: OrderedSet::new(),
        };
        self.wants.insert(target.clone(), want);
        None
    }

    /// Counts an answer that began late although its request had not waited here.
    pub(super) fn count_late(&mut self, target: &ModelTarget) {
        if let Some(want) = self.wants.get_mut(target) {
            want.late = want.late.saturating_add(1);
        }
    }

    /// Asks the owners for a target that requests wait for.
    ///
    /// Every router asks the owner of the first home first, so that a burst across routers
    /// becomes one load. Further homes are asked only once the earlier ones refuse, do not
    /// respond or are full.
    pub(super) fn ask(
        &mut self,
        cx: &mut Cx<'_>,
        target: &ModelTarget,
        waiting: Waiting,
        supply: Supply,
        pace: Pace,
        loaded: &OrderedSet<UpstreamId>,
    ) {
        let owners = owners(cx, target, loaded);
        let Some(want) = self.wants.get_mut(target) else { return };
        want.refused.retain(|_, refused| !refused.until.is_due(cx.now));
        want.unheard_since.get_or_insert(cx.now);
        want.waiting_since.get_or_insert(cx.now);
        let due = want.told.is_none_or(|told| told.after(cx.cfg.timings.wanted_every).is_due(cx.now));
        if !due && pace == Pace::WhenDue {
            return;
        }
        want.widen(cx, &owners, supply, due);
        want.assign(cx, target, &owners, supply);
        want.patient_until = want.patient_until.max(waiting.patient_until);
        let first = want.told.replace(cx.now).is_none();
        for (i, owner) in owners.iter().enumerate() {
            let asked =
                i < want.asked && !want.busy.contains_key(owner) || want.assigned.as_ref() == Some(owner);
            if !asked && !first {
                continue;
            }
            let count = if asked { waiting.count } else { 0 };
            let patience = waiting.patient_until.remaining(cx.now);
            if asked && waiting.aim.is_none() && want.is_taken_on_by_others(owner) {
                continue;
            }
            // An owner that has taken the target on keeps it; a second load would
            // be wasted.
            let is_open = want.told_to.insert(owner.clone()) || !asked;
            let aim = waiting.aim.filter(|_| is_open).map(|aim| aim.remaining(cx.now));
            tell(cx, owner, target, Ask { count, order: waiting.order, patience, aim });
        }
    }

    /// Sends usage to the owners of targets in use, which also renews this router's
    /// interest.
    ///
    /// All owners of a model are sent it, whichever was asked to load: each has to know
    /// whether its own replica is needed.
    pub(super) fn renew(&mut self, cx: &mut Cx<'_>, paces: &mut Paces) {
        self.wants.retain(|_, want| !want.last_arrival.after(REMEMBERED).is_due(cx.now));
        let every = cx.cfg.timings.usage_every;
        for (target, want) in &mut self.wants {
            if !want.counted.after(every).is_due(cx.now) {
                continue;
            }
            let worked = paces.take_worked(cx.now, &Target::Model(target.clone()));
            if want.arrived == 0 && worked == Duration::ZERO {
                continue;
            }
            want.counted = cx.now;
            let arrived = std::mem::take(&mut want.arrived);
            let late = std::mem::take(&mut want.late);
            for owner in owners(cx, target, &OrderedSet::new()) {
                let (target, waited_for) = (target.clone(), want.waiting_since.is_some());
                cx.tell(&owner, PeerMessage::Used { target, arrived, late, worked, waited_for });
            }
        }
    }

    /// Resets a target for which no request waits any longer.
    pub(super) fn satisfied(&mut self, target: &ModelTarget) {
        let Some(want) = self.wants.get_mut(target) else { return };
        want.asked = 1;
        want.unheard_since = None;
        want.waiting_since = None;
        want.patient_until = Time::START;
        want.refused.clear();
        want.busy.clear();
        want.assigned = None;
        want.told_to.clear();
    }

    /// Records an owner's response that a load would take long.
    pub(super) fn busy(&mut self, now: Time, from: &HostId, target: &ModelTarget, takes: Duration) {
        let Some(want) = self.wants.get_mut(target) else { return };
        let busy = Busy { ready_at: now.after(takes), until: now.after(BUSY_FOR) };
        want.busy.insert(from.clone(), busy);
        want.told_to.remove(from);
        want.unheard_since = None;
    }

    /// Clears the waiting times of targets for which no request waits.
    ///
    /// Requests that reach their deadline while an owner is unreachable leave the queue
    /// without a response. If its silence were still counted from then, the next request,
    /// perhaps hours later, would be refused on arrival although the owner is back.
    pub(super) fn forget_silence(&mut self, waiting: &[ModelTarget]) {
        for (target, want) in &mut self.wants {
            if !waiting.contains(target) {
                want.unheard_since = None;
                want.waiting_since = None;
            }
        }
    }

    /// Records that a refused request was told when to retry.
    pub(super) fn told_to_return(
        &mut self,
        now: Time,
        target: &ModelTarget,
        order: ServiceOrder,
        after: Duration,
    ) {
        if let Some(want) = self.wants.get_mut(target) {
            want.returning.add(now, order, after);
        }
    }

    /// Returns the retries that are expected for a target.
    pub(super) fn returning(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<Returning> {
        self.wants.get(target)?.returning.at(cx.now)
    }

    /// Returns the targets for which retries are expected.
    pub(super) fn returning_targets(&self, cx: &Cx<'_>) -> impl Iterator<Item = &ModelTarget> {
        let now = cx.now;
        let awaited = self.wants.iter().filter(move |(_, want)| want.returning.at(now).is_some());
        awaited.map(|(target, _)| target)
    }

    /// Assigns a target to the owner whose engine is loading it, so that it is sent the
    /// demand.
    ///
    /// Hosts ask the owner of the first home, whichever home loads the model. An owner that
    /// doesn't know which requests wait for its load gives the model's place to others as
    /// soon as it is ready, and the waiting requests are refused.
    pub(super) fn taken_on(&mut self, cx: &Cx<'_>, target: &ModelTarget, loader: HostId) {
        let Some(want) = self.wants.get_mut(target) else { return };
        want.assigned_until = cx.now.after(TAKEN_ON_FOR);
        want.told_to.insert(loader.clone());
        want.assigned = Some(loader);
    }

    /// Records that an owner has published news about a target.
    pub(super) fn heard(&mut self, target: &ModelTarget) {
        if let Some(want) = self.wants.get_mut(target) {
            want.unheard_since = None;
        }
    }

    /// Records an owner's refusal; reports whether the next owner should be asked
    /// immediately.
    pub(super) fn refused(
        &mut self,
        cx: &Cx<'_>,
        from: &HostId,
        target: &ModelTarget,
        reason: CannotLoad,
        retry_after: Duration,
        loaded: &OrderedSet<UpstreamId>,
    ) -> bool {
        let owners = owners(cx, target, loaded);
        let Some(want) = self.wants.get_mut(target) else { return false };
        let until = cx.now.after(retry_after);
        let patient_until = want.patient_until;
        want.refused.insert(from.clone(), Refused { reason, until, patient_until });
        want.unheard_since = None;
        let all_asked_refuse = owners.iter().take(want.asked).all(|o| want.refused.contains_key(o));
        let more = want.asked < owners.len();
        if all_asked_refuse && more {
            want.asked += 1;
        }
        all_asked_refuse && more
    }

    /// Returns why no owner can load a target, if all refuse.
    ///
    /// Of several refusals, returns the one that expires first.
    pub(super) fn hopeless(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<&Refused> {
        let want = self.wants.get(target)?;
        let owners = owners(cx, target, &OrderedSet::new());
        let refused = |owner| want.refused.get(owner).filter(|r| !r.until.is_due(cx.now));
        if owners.iter().any(|owner| refused(owner).is_none()) {
            return None;
        }
        owners.iter().filter_map(refused).min_by_key(|refused| refused.until)
    }

    /// Reports whether requests have been waiting for a target.
    pub(super) fn is_waited_for(&self, target: &ModelTarget) -> bool {
        self.wants.get(target).is_some_and(|want| want.waiting_since.is_some())
    }

    /// Returns since when requests have waited without a response from any owner.
    pub(super) fn unheard_since(&self, target: &ModelTarget) -> Option<Time> {
        self.wants.get(target)?.unheard_since
    }
}
