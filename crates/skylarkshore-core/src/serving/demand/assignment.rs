//! Selection of the owner that is asked to load a target.

use std::time::Duration;

use super::{Supply, TargetDemand};
use crate::catalogue::ModelTarget;
use crate::cx::Cx;
use crate::id::HostId;

/// How long after an assigned owner's estimate the others are asked again.
const ASSIGNED_GRACE: Duration = Duration::from_millis(500);

impl TargetDemand {
    /// Asks further owners if those asked so far are busy, and assigns the fastest if all
    /// are.
    ///
    /// The assigned owner's time is only an estimate. Once it has passed and nothing is
    /// ready, all owners are asked again: whatever delays the owner may last, and callers
    /// of a popular model would wait behind it until they time out.
    pub(super) fn assign(
        &mut self,
        cx: &mut Cx<'_>,
        target: &ModelTarget,
        owners: &[HostId],
        supply: Supply,
    ) {
        let now = cx.now;
        self.busy.retain(|_, busy| !busy.until.is_due(now));
        if self.assigned.is_some() && supply == Supply::Unavailable && self.assigned_until.is_due(now) {
            self.assigned = None;
            self.presumed_loaders.clear();
            self.owners_to_ask = 1;
        }
        if supply != Supply::Unavailable || self.assigned.is_some() {
            return;
        }
        let is_available =
            |owner: &HostId| !self.busy.contains_key(owner) && !self.refused.contains_key(owner);
        if owners.iter().take(self.owners_to_ask).any(is_available) {
            return;
        }
        if let Some(position) = owners.iter().position(is_available) {
            self.owners_to_ask = self.owners_to_ask.max(position + 1);
            return;
        }
        let fastest = self.busy.iter().min_by_key(|(_, busy)| busy.ready_at);
        let Some((owner, busy)) = fastest else { return };
        let takes = busy.ready_at.remaining(now).as_millis();
        cx.log_event("load_assigned", target, format!("to={owner} takes_ms={takes} of={}", self.busy.len()));
        // It is sent no soft deadline, so that it takes the target on.
        self.presumed_loaders.insert(owner.clone());
        self.assigned = Some(owner.clone());
        self.assigned_until = busy.ready_at.after(ASSIGNED_GRACE);
    }

    /// Reports whether other owners have taken the target on, and this one hasn't.
    ///
    /// Once all waiting requests have passed their soft deadline, an owner has no ground
    /// left to respond that it is busy, and takes the target on. If it were asked in
    /// addition to the one that is loading, a model from the weight store would be loaded
    /// at each of its homes and keep three engines from all other loads for that time.
    pub(super) fn is_assigned_elsewhere(&self, owner: &HostId) -> bool {
        !self.presumed_loaders.contains(owner)
            && !self.presumed_loaders.is_empty()
            && self.assigned.as_ref() != Some(owner)
    }

    /// Asks one more owner if those asked so far are full, refuse or don't respond.
    pub(super) fn ask_more_owners(&mut self, cx: &Cx<'_>, owners: &[HostId], supply: Supply, due: bool) {
        if !due || self.last_asked.is_none() || self.owners_to_ask >= owners.len() {
            return;
        }
        let all_asked_refuse = owners.iter().take(self.owners_to_ask).all(|o| self.refused.contains_key(o));
        let silent = supply == Supply::Unavailable
            && self.silent_since.is_some_and(|since| since.after(cx.cfg.timings.peer_timeout).is_due(cx.now));
        if supply == Supply::Saturated || all_asked_refuse || silent {
            self.owners_to_ask += 1;
        }
    }
}
