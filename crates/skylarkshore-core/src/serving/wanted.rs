//! What this router asks the engines' owners for, and what they said.

mod assign;
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
use crate::serving::pace::Paces;
use crate::serving::queue::Waiting;
use crate::serving::returning::Returning;
use crate::time::Time;

/// How long a target is remembered after its last request.
const REMEMBERED: Duration = Duration::from_hours(24);

/// How long an owner's word that it would take long is believed.
const BUSY_FOR: Duration = Duration::from_millis(700);

/// How long an owner that loads is counted on after its load was last heard of.
const TAKEN_ON_FOR: Duration = Duration::from_secs(2);

/// An owner's word that it can't make a target available.
#[derive(Clone, Debug)]
pub(super) struct Refused {
    /// Why.
    pub(super) reason: CannotLoad,
    /// When to ask again.
    pub(super) until: Time,
    /// The latest deadline that the owner knew of.
    pub(super) patient_until: Time,
}

#[derive(Debug)]
struct Want {
    arrived: u32,
    /// Answers that began late for the engine's sake.
    late: u32,
    last_arrival: Time,
    told: Option<Time>,
    /// When the owners were last told how often it is asked for.
    counted: Time,
    /// How many owners have been asked to load, in the order of the homes.
    asked: usize,
    /// Since when requests have waited without a word from any owner.
    unheard_since: Option<Time>,
    /// Since when requests have waited without a break, whatever the owners said.
    waiting_since: Option<Time>,
    patient_until: Time,
    refused: OrderedMap<HostId, Refused>,
    /// Owners that would take long, and how long.
    busy: OrderedMap<HostId, Busy>,
    /// The owner that is asked because all would take long, and it the shortest.
    assigned: Option<HostId>,
    /// When it should have made the target available.
    assigned_until: Time,
    /// The requests that were told when to come back, and until when they are expected.
    returning: Returning,
    /// The owners that were asked and haven't said that they would take long.
    told_to: OrderedSet<HostId>,
}

/// An owner's word that it would take long to make a target available.
#[derive(Clone, Copy, Debug)]
struct Busy {
    ready_at: Time,
    /// Until when that is believed.
    until: Time,
}

/// How things stand for a target whose requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Supply {
    /// Nothing is ready and nothing is on its way.
    Nothing,
    /// A load is on its way.
    Coming,
    /// What is ready is full.
    Full,
}

/// Whether the owners are asked although they were asked a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pace {
    /// They are asked as soon as the usual time has passed.
    WhenDue,
    /// They are asked now: something has changed.
    Now,
}

/// The targets that this router wants to hear of.
#[derive(Debug, Default)]
pub(super) struct Wants {
    wants: OrderedMap<ModelTarget, Want>,
}

impl Wants {
    /// Counts a request; returns how long the target had none, if it ever had.
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

    /// Counts an answer that began late although its request hadn't waited here.
    pub(super) fn count_late(&mut self, target: &ModelTarget) {
        if let Some(want) = self.wants.get_mut(target) {
            want.late = want.late.saturating_add(1);
        }
    }

    /// Asks the owners for a target that requests wait for.
    ///
    /// The first home's owner is asked first, by every router, so that a burst
    /// at many routers becomes one load. Further homes are asked only once the
    /// earlier ones can't help or are full.
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
            // Whoever has taken it on keeps it; two loads of it would be one too many.
            let is_open = want.told_to.insert(owner.clone()) || !asked;
            let aim = waiting.aim.filter(|_| is_open).map(|aim| aim.remaining(cx.now));
            tell(cx, owner, target, Ask { count, order: waiting.order, patience, aim });
        }
    }

    /// Tells the owners of targets in use how much they are used, and that this router still wants to hear of them.
    ///
    /// All of a model's owners are told, whoever is asked to load it: each has to
    /// know whether its own replica is needed.
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
                cx.send(&owner, PeerMessage::Used { target, arrived, late, run_time: worked, waited_for });
            }
        }
    }

    /// Takes note that nothing waits for a target any more.
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

    /// Takes an owner's word that it would take long.
    pub(super) fn busy(&mut self, now: Time, from: &HostId, target: &ModelTarget, takes: Duration) {
        let Some(want) = self.wants.get_mut(target) else { return };
        let busy = Busy { ready_at: now.after(takes), until: now.after(BUSY_FOR) };
        want.busy.insert(from.clone(), busy);
        want.told_to.remove(from);
        want.unheard_since = None;
    }

    /// Forgets the silence of owners whom nobody waits for any more.
    ///
    /// Requests that ran into their deadline while the owner was cut off leave
    /// the queue without a word from it. If the silence were still counted from
    /// then, the next request, perhaps hours later, would be refused on arrival
    /// although the owner is back.
    pub(super) fn forget_silence(&mut self, waiting: &[ModelTarget]) {
        for (target, want) in &mut self.wants {
            if !waiting.contains(target) {
                want.unheard_since = None;
                want.waiting_since = None;
            }
        }
    }

    /// Takes note that a request was told when to come back.
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

    /// Returns the requests that are expected back.
    pub(super) fn returning(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<Returning> {
        self.wants.get(target)?.returning.at(cx.now)
    }

    /// Lists the targets for which requests are expected back.
    pub(super) fn returning_targets(&self, cx: &Cx<'_>) -> impl Iterator<Item = &ModelTarget> {
        let now = cx.now;
        let awaited = self.wants.iter().filter(move |(_, want)| want.returning.at(now).is_some());
        awaited.map(|(target, _)| target)
    }

    /// Takes note of the owner whose engine loads a target, so that it is told of those who wait.
    ///
    /// Hosts ask the owner of the first home, whichever home has taken a model on.
    /// An owner that isn't told who waits for its load gives the model's place to
    /// others as soon as it is there, and those who waited are refused.
    pub(super) fn taken_on(&mut self, cx: &Cx<'_>, target: &ModelTarget, loader: HostId) {
        let Some(want) = self.wants.get_mut(target) else { return };
        want.assigned_until = cx.now.after(TAKEN_ON_FOR);
        want.told_to.insert(loader.clone());
        want.assigned = Some(loader);
    }

    /// Takes note that an owner spoke of a target that is on its way.
    pub(super) fn heard(&mut self, target: &ModelTarget) {
        if let Some(want) = self.wants.get_mut(target) {
            want.unheard_since = None;
        }
    }

    /// Takes an owner's refusal; tells whether the next owner should be asked at once.
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

    /// Returns why no owner can make a target available, if none can.
    ///
    /// Of several refusals the one that ends first counts.
    pub(super) fn hopeless(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<&Refused> {
        let want = self.wants.get(target)?;
        let owners = owners(cx, target, &OrderedSet::new());
        let refused = |owner| want.refused.get(owner).filter(|r| !r.until.is_due(cx.now));
        if owners.iter().any(|owner| refused(owner).is_none()) {
            return None;
        }
        owners.iter().filter_map(refused).min_by_key(|refused| refused.until)
    }

    /// Tells whether requests have waited since before now.
    pub(super) fn is_waited_for(&self, target: &ModelTarget) -> bool {
        self.wants.get(target).is_some_and(|want| want.waiting_since.is_some())
    }

    /// Returns since when requests have waited without a word from any owner.
    pub(super) fn unheard_since(&self, target: &ModelTarget) -> Option<Time> {
        self.wants.get(target)?.unheard_since
    }
}
