//! How far an engine and the models on it have come, as their owner knows it.

use std::time::Duration;

use derive_more::Display;

use crate::authority::HomeRequest;
use crate::collections::OrderedMap;
use crate::id::{ModelName, OrderId};
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::upstream::EngineReport;

/// Which part of the time that an overdue load has taken it is expected to last yet.
const OVERDUE_PART: u32 = 3;

/// How far the taking over of an engine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The fence isn't known to be raised; orders of the former owner may still be carried out.
    RaisingFence {
        /// The order in progress.
        order: Option<OrderId>,
        /// When to try again.
        retry: Time,
    },
    /// The fence stands; what is loaded isn't known yet.
    FenceRaised {
        /// Since when, so that only later reports count.
        at: Time,
    },
    /// What is loaded is known.
    Known,
    /// The engine has seen a higher fence: somebody else has taken it over.
    Superseded,
}

/// Whether an order of the former owner may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LateOrders {
    /// No such order can come any more.
    None,
    /// Until this time.
    Until(Time),
    /// Until reports have shown nothing unexpected for long enough.
    UntilQuiet {
        /// Since when nothing unexpected was seen; none before the first report.
        since: Option<Time>,
    },
}

/// A load that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadProgress {
    /// When it was ordered.
    pub started: Time,
    /// When the engine is expected to begin it, or took it.
    pub begins: Time,
    /// When it is expected to end.
    pub expected: Time,
    /// When it was last looked at.
    pub checked: Time,
    /// Whether the weights come from the weight store.
    pub is_from_store: bool,
}

impl LoadProgress {
    /// Returns how long the load is expected to last yet.
    ///
    /// One that is overdue isn't about to end: the longer it is, the longer it may
    /// take. Callers who were told that it is nearly there, again and again, waited
    /// for its model until they gave up. It isn't expected to take more than its
    /// whole time once again: what held it up may have been a pause of this
    /// process, after which callers would be refused for no reason. Nor is it taken
    /// to last for longer than it has been overdue: a report shows each end some
    /// tenths of a second late, and callers who had waited ten seconds were sent
    /// away just before the model was there.
    pub(crate) fn remaining(&self, now: Time) -> Duration {
        if !self.expected.is_due(now) {
            return self.expected.remaining(now);
        }
        let whole = self.expected.since(self.begins);
        let overdue = now.since(self.expected);
        overdue.min(whole).min(now.since(self.started) / OVERDUE_PART)
    }
}

/// A load that was taken to have ended before a report showed it.
#[derive(Clone, Debug)]
pub(crate) struct TakenForEnded {
    /// The model.
    pub model: ModelName,
    /// When it was taken to have ended.
    pub at: Time,
}

/// Why a model is to leave an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Nobody uses it.
    #[display("idle")]
    Idle,
    /// Others need its memory.
    #[display("memory")]
    Memory,
    /// The catalogue names another version.
    #[display("version")]
    Version,
    /// It isn't in the catalogue.
    #[display("no_home")]
    NoHome,
    /// Its replica or its power is needed elsewhere, or the engine is about to go.
    #[display("surplus")]
    Surplus,
}

/// A model that routers are told not to use any more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closing {
    /// Since when.
    pub since: Time,
    /// Why.
    pub reason: CloseReason,
    /// The order of service of those who need its memory.
    pub room_for: Option<ServiceOrder>,
    /// When its memory was last needed.
    pub needed: Time,
}

/// Loads that failed one after the other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failures {
    /// How many.
    pub count: u32,
    /// When to try again.
    pub retry: Time,
}

/// The last report of an engine.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// When it was asked for.
    pub asked: Time,
    /// When it came.
    pub heard: Time,
    /// What it tells.
    pub report: EngineReport,
}

/// What a report means beside its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportNews {
    /// It came too early or out of turn.
    Unusable,
    /// It is the newest.
    Usable,
    /// It is the newest, and the engine has begun a new life.
    Restarted,
}

/// Since when an engine's models have needed another home.
#[derive(Debug, Default)]
pub(crate) struct Wishes {
    /// Where the replicas are full.
    pub full: OrderedMap<ModelName, Time>,
    /// Where no room can be made.
    pub crowded: OrderedMap<ModelName, Time>,
    /// What has been wished for long enough.
    pub due: Vec<HomeRequest>,
}
