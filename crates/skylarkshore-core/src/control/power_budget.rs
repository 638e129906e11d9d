//! Sums of a site's power grants.

use super::inventory::EngineInventory;
use crate::collections::OrderedMap;
use crate::id::{SiteName, UpstreamId};
use crate::store::PowerRecord;
use crate::units::Watts;

/// The cap, grants and sleep power of a site.
#[derive(Clone, Debug)]
pub(super) struct PowerBudget {
    cap: Watts,
    sleep: OrderedMap<UpstreamId, Watts>,
    grants: OrderedMap<UpstreamId, Watts>,
}

impl PowerBudget {
    /// Creates the budget from a site's record and the sleep power of its engines, whether recorded or not.
    pub(super) fn new(
        cap: Watts,
        site: &SiteName,
        record: &PowerRecord,
        inventory: &EngineInventory,
    ) -> Self {
        let engines_at_site = inventory.iter().filter(|(id, engine)| {
            engine.site == *site && (engine.is_listed() || record.grants.contains_key(*id))
        });
        let sleep = engines_at_site.map(|(id, engine)| (id.clone(), engine.sleep_watts)).collect();
        Self { cap, sleep, grants: record.grants.clone() }
    }

    /// Returns the maximum total draw, in which each engine counts with at least its sleep power.
    pub(super) fn total_draw(&self) -> Watts {
        let granted: Watts = self.grants.iter().map(|(id, watts)| (*watts).max(self.sleep_of(id))).sum();
        let asleep: Watts =
            self.sleep.iter().filter(|(id, _)| !self.grants.contains_key(*id)).map(|(_, watts)| *watts).sum();
        granted + asleep
    }

    pub(super) fn headroom(&self) -> Watts {
        self.cap.saturating_sub(self.total_draw())
    }

    pub(super) fn exceeds_cap(&self) -> bool {
        self.total_draw() > self.cap
    }

    /// Returns the power that an engine may draw.
    pub(super) fn grant(&self, engine: &UpstreamId) -> Watts {
        self.grants.get(engine).copied().unwrap_or_default().max(self.sleep_of(engine))
    }

    /// Raises an engine's grant if the total stays within the cap, and reports whether it did.
    pub(super) fn raise(&mut self, engine: &UpstreamId, to: Watts) -> bool {
        if to.saturating_sub(self.grant(engine)) > self.headroom() {
            return false;
        }
        self.grants.insert(engine.clone(), to);
        true
    }

    /// Reduces an engine's grant to its sleep power.
    pub(super) fn revoke(&mut self, engine: &UpstreamId) {
        self.grants.remove(engine);
    }

    /// Returns the engines that must stop to bring the total below the cap.
    ///
    /// All processes reach the same result from the same record.
    pub(super) fn engines_over_cap(&self) -> Vec<UpstreamId> {
        let mut remaining = self.clone();
        let mut engines_over_cap = Vec::new();
        for engine in self.grants.keys().rev() {
            if !remaining.exceeds_cap() {
                break;
            }
            if remaining.grant(engine) > remaining.sleep_of(engine) {
                remaining.revoke(engine);
                engines_over_cap.push(engine.clone());
            }
        }
        engines_over_cap
    }

    pub(super) fn into_record(self) -> PowerRecord {
        PowerRecord { grants: self.grants }
    }

    fn sleep_of(&self, engine: &UpstreamId) -> Watts {
        self.sleep.get(engine).copied().unwrap_or_default()
    }
}
