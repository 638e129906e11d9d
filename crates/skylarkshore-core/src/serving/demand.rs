//! This host's demand for models: which owners are asked to load a target, and their responses.
//!
//! Open [`Demand`] first.

mod assignment;
mod owners;

use std::time::Duration;

use owners::{DemandMessage, first_owner, owners, send_demand, send_expected_retries};

use crate::catalogue::ModelTarget;
use crate::collections::{OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::event::Target;
use crate::id::{HostId, UpstreamId};
use crate::peer::{CannotLoad, PeerMessage};
use crate::rules::ServiceOrder;
use crate::serving::expected_retries::ExpectedRetries;
use crate::serving::queue::WaitingSummary;
use crate::serving::wait_estimate::WaitEstimator;
use crate::time::Time;

/// How long a target is kept after its last request.
const TARGET_TTL: Duration = Duration::from_hours(24);

/// How long an owner's busy response is valid.
const BUSY_TTL: Duration = Duration::from_millis(700);

/// How long the owner of a load is treated as the target's loader after the load was last seen.
const LOADER_TTL: Duration = Duration::from_secs(2);

/// An owner's refusal to load a target.
#[derive(Clone, Debug)]
pub(super) struct OwnerRefusal {
    pub(super) reason: CannotLoad,
    /// When to ask again.
    pub(super) until: Time,
    /// The latest deadline that the owner was sent.
    pub(super) latest_deadline: Time,
}

#[derive(Debug)]
struct TargetDemand {
    /// Requests since usage was last sent.
    arrived: u32,
    /// Answers that began after their soft deadline because of the engine.
    late: u32,
    last_arrival: Time,
    last_asked: Option<Time>,
    /// When usage was last sent to the owners.
    usage_sent: Time,
    /// How many owners are asked to load, from the start of the list that `owners` returns.
    owners_to_ask: usize,
    /// Since when requests have waited without a response from any owner.
    silent_since: Option<Time>,
    /// Since when requests have waited without interruption, whatever the owners responded.
    waiting_since: Option<Time>,
    latest_deadline: Time,
    refused: OrderedMap<HostId, OwnerRefusal>,
    /// Owners that responded that the load would take long.
    busy: OrderedMap<HostId, OwnerBusy>,
    /// The owner that is asked although it is busy, because all are and it is expected to
    /// be the fastest.
    assigned: Option<HostId>,
    /// Until when it should have loaded the target.
    assigned_until: Time,
    /// Refused requests whose callers were told when to retry.
    expected_retries: ExpectedRetries,
    /// Owners that were asked and have not responded that they are busy, so that they are expected
    /// to load the target.
    presumed_loaders: OrderedSet<HostId>,
}

/// An owner's response that a load would take long.
#[derive(Clone, Copy, Debug)]
struct OwnerBusy {
    ready_at: Time,
    /// Until when the response is valid.
    until: Time,
}

/// The state of supply for a target whose requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Supply {
    /// Nothing is ready or being loaded.
    Unavailable,
    /// A load is in progress.
    InProgress,
    /// Every ready upstream is full.
    Saturated,
}

/// Whether owners are asked before the usual interval has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskTiming {
    /// They are asked when the interval has passed.
    WhenDue,
    /// They are asked immediately, because something has changed.
    Now,
}

/// The targets that this router has recently had requests for.
#[derive(Debug, Default)]
pub(super) struct Demand {
    targets: OrderedMap<ModelTarget, TargetDemand>,
    /// Targets for which requests were refused since refused requests were last reported.
    recently_refused: OrderedSet<ModelTarget>,
}

impl Demand {
    /// Counts a request; returns how long the target had none, if it ever had one.
    pub(super) fn count_arrival(&mut self, now: Time, target: &ModelTarget) -> Option<Duration> {
        if let Some(entry) = self.targets.get_mut(target) {
            let idle = now.since(entry.last_arrival);
            entry.arrived = entry.arrived.saturating_add(1);
            entry.last_arrival = now;
            return Some(idle);
        }
        let entry = TargetDemand {
            arrived: 1,
            late: 0,
            last_arrival: now,
            last_asked: None,
            usage_sent: Time::START,
            owners_to_ask: 1,
            silent_since: None,
            waiting_since: None,
            latest_deadline: now,
            refused: OrderedMap::new(),
            busy: OrderedMap::new(),
            assigned: None,
            assigned_until: Time::NEVER,
            expected_retries: ExpectedRetries::default(),
            presumed_loaders: OrderedSet::new(),
        };
        self.targets.insert(target.clone(), entry);
        None
    }

    /// Counts an answer that began after its soft deadline although its request spent less than half
    /// of the time waiting here.
    pub(super) fn count_late(&mut self, target: &ModelTarget) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.late = entry.late.saturating_add(1);
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
        waiting: WaitingSummary,
        supply: Supply,
        timing: AskTiming,
        loaded: &OrderedSet<UpstreamId>,
    ) {
        let owners = owners(cx, target, loaded);
        let Some(entry) = self.targets.get_mut(target) else { return };
        entry.refused.retain(|_, refused| !refused.until.is_due(cx.now));
        entry.silent_since.get_or_insert(cx.now);
        entry.waiting_since.get_or_insert(cx.now);
        let due = entry
            .last_asked
            .is_none_or(|last_asked| last_asked.after(cx.cfg.timings.wanted_every).is_due(cx.now));
        if !due && timing == AskTiming::WhenDue {
            return;
        }
        entry.ask_more_owners(cx, &owners, supply, due);
        entry.assign(cx, target, &owners, supply);
        entry.latest_deadline = entry.latest_deadline.max(waiting.latest_deadline);
        let first = entry.last_asked.replace(cx.now).is_none();
        for (i, owner) in owners.iter().enumerate() {
            let asked = i < entry.owners_to_ask && !entry.busy.contains_key(owner)
                || entry.assigned.as_ref() == Some(owner);
            if !asked && !first {
                continue;
            }
            let count = if asked { waiting.count } else { 0 };
            let max_wait = waiting.latest_deadline.remaining(cx.now);
            if asked && waiting.soft_deadline.is_none() && entry.is_assigned_elsewhere(owner) {
                continue;
            }
            // An owner that is sent a soft deadline may respond that it is busy. One that was asked
            // before and hasn't responded so has taken the target on. It is sent none, so that it
            // keeps the target; a second load would be wasted.
            let may_decline = entry.presumed_loaders.insert(owner.clone()) || !asked;
            let soft_deadline = waiting
                .soft_deadline
                .filter(|_| may_decline)
                .map(|soft_deadline| soft_deadline.remaining(cx.now));
            send_demand(
                cx,
                owner,
                target,
                DemandMessage { count, order: waiting.order, max_wait, soft_deadline },
            );
        }
    }

    /// Sends usage to the owners of targets in use, which also renews this router's
    /// interest.
    ///
    /// All owners of a model are sent it, whichever was asked to load: each has to know
    /// whether its own replica is needed.
    pub(super) fn send_usage(&mut self, cx: &mut Cx<'_>, waits: &mut WaitEstimator) {
        self.targets.retain(|_, entry| !entry.last_arrival.after(TARGET_TTL).is_due(cx.now));
        let every = cx.cfg.timings.usage_every;
        for (target, entry) in &mut self.targets {
            if !entry.usage_sent.after(every).is_due(cx.now) {
                continue;
            }
            let run_time = waits.take_run_time(cx.now, &Target::Model(target.clone()));
            if entry.arrived == 0 && run_time == Duration::ZERO {
                continue;
            }
            entry.usage_sent = cx.now;
            let arrived = std::mem::take(&mut entry.arrived);
            let late = std::mem::take(&mut entry.late);
            for owner in owners(cx, target, &OrderedSet::new()) {
                let (target, waited_for) = (target.clone(), entry.waiting_since.is_some());
                cx.send(&owner, PeerMessage::Used { target, arrived, late, run_time, waited_for });
            }
        }
    }

    /// Resets a target for which no request waits any longer.
    pub(super) fn reset(&mut self, target: &ModelTarget) {
        let Some(entry) = self.targets.get_mut(target) else { return };
        entry.owners_to_ask = 1;
        entry.silent_since = None;
        entry.waiting_since = None;
        entry.latest_deadline = Time::START;
        entry.refused.clear();
        entry.busy.clear();
        entry.assigned = None;
        entry.presumed_loaders.clear();
    }

    /// Records an owner's response that a load would take long.
    pub(super) fn record_busy(&mut self, now: Time, from: &HostId, target: &ModelTarget, takes: Duration) {
        let Some(entry) = self.targets.get_mut(target) else { return };
        let busy = OwnerBusy { ready_at: now.after(takes), until: now.after(BUSY_TTL) };
        entry.busy.insert(from.clone(), busy);
        entry.presumed_loaders.remove(from);
        entry.silent_since = None;
    }

    /// Clears the waiting times of all targets except those for which requests wait.
    ///
    /// Requests that reach their deadline while an owner is unreachable leave the queue
    /// without a response. If its silence were still counted from then, the next request,
    /// perhaps hours later, would be refused on arrival although the owner is back.
    pub(super) fn retain_waiting_times(&mut self, waiting: &[ModelTarget]) {
        for (target, entry) in &mut self.targets {
            if !waiting.contains(target) {
                entry.silent_since = None;
                entry.waiting_since = None;
            }
        }
    }

    /// Records that a refused request was told when to retry.
    pub(super) fn expect_retry(
        &mut self,
        now: Time,
        target: &ModelTarget,
        order: ServiceOrder,
        after: Duration,
    ) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.expected_retries.add(now, order, after);
            self.recently_refused.insert(target.clone());
        }
    }

    /// Takes the targets for which requests were refused since the last call.
    pub(super) fn take_recently_refused(&mut self) -> OrderedSet<ModelTarget> {
        std::mem::take(&mut self.recently_refused)
    }

    /// Reports the expected retries for a target to its loader or the owner of its first home,
    /// which adds up those of all hosts.
    ///
    /// Where there are enough of them, [`Demand::ask`] sends them with the waiting requests.
    pub(super) fn report_expected_retries(
        &self,
        cx: &mut Cx<'_>,
        target: &ModelTarget,
        loader: Option<HostId>,
    ) {
        let Some(entry) = self.targets.get(target) else { return };
        let Some(retries) = entry.expected_retries.too_few_at(cx.now) else { return };
        let Some(owner) = loader.or_else(|| first_owner(cx, &target.model)) else { return };
        send_expected_retries(cx, &owner, target, retries);
    }

    /// Returns the retries that are expected for a target.
    pub(super) fn expected_retries(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<ExpectedRetries> {
        self.targets.get(target)?.expected_retries.at(cx.now)
    }

    /// Returns the targets for which retries are expected.
    pub(super) fn targets_expecting_retries(&self, cx: &Cx<'_>) -> impl Iterator<Item = &ModelTarget> {
        let now = cx.now;
        let awaited = self.targets.iter().filter(move |(_, entry)| entry.expected_retries.at(now).is_some());
        awaited.map(|(target, _)| target)
    }

    /// Assigns a target to the owner whose engine is loading it, so that it is sent the
    /// demand.
    ///
    /// Hosts ask the owner of the first home, whichever home loads the model. An owner that
    /// doesn't know which requests wait for its load gives the model's place to others as
    /// soon as it is ready, and the waiting requests are refused.
    pub(super) fn assign_loader(&mut self, cx: &Cx<'_>, target: &ModelTarget, loader: HostId) {
        let Some(entry) = self.targets.get_mut(target) else { return };
        entry.assigned_until = cx.now.after(LOADER_TTL);
        entry.presumed_loaders.insert(loader.clone());
        entry.assigned = Some(loader);
    }

    /// Records that an owner has published a view that lists a target.
    pub(super) fn record_response(&mut self, target: &ModelTarget) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.silent_since = None;
        }
    }

    /// Records an owner's refusal; reports whether the next owner should be asked
    /// immediately.
    pub(super) fn record_refusal(
        &mut self,
        cx: &Cx<'_>,
        from: &HostId,
        target: &ModelTarget,
        reason: CannotLoad,
        retry_after: Duration,
        loaded: &OrderedSet<UpstreamId>,
    ) -> bool {
        let owners = owners(cx, target, loaded);
        let Some(entry) = self.targets.get_mut(target) else { return false };
        let until = cx.now.after(retry_after);
        let latest_deadline = entry.latest_deadline;
        entry.refused.insert(from.clone(), OwnerRefusal { reason, until, latest_deadline });
        entry.silent_since = None;
        let all_asked_refuse = owners.iter().take(entry.owners_to_ask).all(|o| entry.refused.contains_key(o));
        let more = entry.owners_to_ask < owners.len();
        if all_asked_refuse && more {
            entry.owners_to_ask += 1;
        }
        all_asked_refuse && more
    }

    /// Returns why no owner can load a target, if all refuse.
    ///
    /// Of several refusals, returns the one that expires first.
    pub(super) fn all_owners_refusal(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<&OwnerRefusal> {
        let entry = self.targets.get(target)?;
        let owners = owners(cx, target, &OrderedSet::new());
        let refused = |owner| entry.refused.get(owner).filter(|r| !r.until.is_due(cx.now));
        if owners.iter().any(|owner| refused(owner).is_none()) {
            return None;
        }
        owners.iter().filter_map(refused).min_by_key(|refused| refused.until)
    }

    /// Reports whether requests have been waiting for a target.
    pub(super) fn has_waiting_requests(&self, target: &ModelTarget) -> bool {
        self.targets.get(target).is_some_and(|entry| entry.waiting_since.is_some())
    }

    /// Returns since when requests have waited without a response from any owner.
    pub(super) fn silent_since(&self, target: &ModelTarget) -> Option<Time> {
        self.targets.get(target)?.silent_since
    }
}
