//! Which of a model's owners is asked to load it.

use std::time::Duration;

use super::{Supply, Want};
use crate::catalogue::ModelTarget;
use crate::cx::Cx;
use crate::id::HostId;

/// How long after the time that an assigned owner said the others are asked anew.
const ASSIGNED_GRACE: Duration = Duration::from_millis(500);

impl Want {
    /// Looks further where the owners that were asked would take long.
    ///
    /// Where all would, the one that would be ready first is asked all the same.
    ///
    /// Its word is only an estimate. Once the time it said is over, and nothing
    /// is ready, all are asked anew: what held it up may last, and the callers
    /// of a model that many ask for would wait behind it until they give up.
    pub(super) fn assign(
        &mut self,
        cx: &mut Cx<'_>,
        target: &ModelTarget,
        owners: &[HostId],
        supply: Supply,
    ) {
        let now = cx.now;
        self.busy.retain(|_, busy| !busy.until.is_due(now));
        if self.assigned.is_some() && supply == Supply::Nothing && self.assigned_until.is_due(now) {
            self.assigned = None;
            self.told_to.clear();
            self.asked = 1;
        }
        if supply != Supply::Nothing || self.assigned.is_some() {
            return;
        }
        let is_open = |owner: &HostId| !self.busy.contains_key(owner) && !self.refused.contains_key(owner);
        if owners.iter().take(self.asked).any(is_open) {
            return;
        }
        if let Some(place) = owners.iter().position(is_open) {
            self.asked = self.asked.max(place + 1);
            return;
        }
        let fastest = self.busy.iter().min_by_key(|(_, busy)| busy.ready_at);
        let Some((owner, busy)) = fastest else { return };
        let takes = busy.ready_at.remaining(now).as_millis();
        cx.log_event("load_assigned", target, format!("to={owner} takes_ms={takes} of={}", self.busy.len()));
        // It is told without an aim, so that it takes the target on.
        self.told_to.insert(owner.clone());
        self.assigned = Some(owner.clone());
        self.assigned_until = busy.ready_at.after(ASSIGNED_GRACE);
    }

    /// Tells whether other owners have taken the target on, and this one hasn't.
    ///
    /// Once all those who wait have passed their aim, an owner can't say any more
    /// that it would take too long, and takes the target on. If it were asked
    /// beside the one that loads already, a model that comes from the weight
    /// store would be loaded at each of its homes, and keep three engines from all
    /// other loads for as long.
    pub(super) fn is_taken_on_by_others(&self, owner: &HostId) -> bool {
        !self.told_to.contains(owner) && !self.told_to.is_empty() && self.assigned.as_ref() != Some(owner)
    }

    pub(super) fn widen(&mut self, cx: &Cx<'_>, owners: &[HostId], supply: Supply, due: bool) {
        if !due || self.told.is_none() || self.asked >= owners.len() {
            return;
        }
        let all_asked_refuse = owners.iter().take(self.asked).all(|o| self.refused.contains_key(o));
        let silent = supply == Supply::Nothing
            && self
                .unheard_since
                .is_some_and(|since| since.after(cx.cfg.timings.peer_timeout).is_due(cx.now));
        if supply == Supply::Full || all_asked_refuse || silent {
            self.asked += 1;
        }
    }
}
