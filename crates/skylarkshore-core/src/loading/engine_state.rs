//! State types of an engine and its models, as tracked by the owner. [`Phase`] is
//! the takeover state.

use std::time::Duration;

use derive_more::Display;

use crate::authority::HomeRequest;
use crate::collections::OrderedMap;
use crate::id::{ModelName, OrderId};
use crate::rules::ServiceOrder;
use crate::time::Time;
use crate::upstream::EngineReport;

/// Part of an overdue load's elapsed time that bounds its remaining time.
const OVERDUE_DIVISOR: u32 = 3;

/// Progress of taking an engine over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The fence is not confirmed; orders of the former owner may still be executed.
    RaisingFence {
        /// The fence order in progress.
        order: Option<OrderId>,
        /// When the fence order is retried.
        retry: Time,
    },
    /// The fence is raised; the loaded models are unknown.
    FenceRaised {
        /// When the fence was raised; only reports requested later count.
        at: Time,
    },
    /// A report has shown the loaded models.
    Surveyed,
    /// The engine has seen a higher fence: another process has taken it over.
    Superseded,
}

/// Whether an order of the former owner may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LateOrders {
    /// No such order can arrive.
    None,
    /// Such an order may arrive until this time.
    Until(Time),
    /// Until no unexpected model has been reported for the settle time.
    UntilQuiet {
        /// Start of the period without unexpected models; none before the first report.
        since: Option<Time>,
    },
}

/// A load in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadProgress {
    /// When the load was first ordered.
    pub ordered: Time,
    /// When the load started or is expected to start.
    pub begins: Time,
    /// When the load is expected to end.
    pub expected_end: Time,
    /// When the load was last checked.
    pub last_checked: Time,
    /// Whether the weights come from the weight store, so that the load has a load slot.
    pub is_from_store: bool,
}

impl LoadProgress {
    /// Returns the expected remaining time of the load.
    ///
    /// For an overdue load it is the smallest of three values. The first is a third
    /// of the elapsed time: with an estimate close to zero, callers waited for the
    /// model until they gave up. The second is the expected length, because the
    /// delay may only be a pause of this process, and a longer estimate would refuse
    /// callers without cause. The third is the time overdue, because reports show
    /// the end some tenths of a second late; callers who had waited ten seconds were
    /// refused just before the model was ready.
    pub(crate) fn remaining(&self, now: Time) -> Duration {
        if !self.expected_end.is_due(now) {
            return self.expected_end.remaining(now);
        }
        let whole = self.expected_end.since(self.begins);
        let overdue = now.since(self.expected_end);
        overdue.min(whole).min(now.since(self.ordered) / OVERDUE_DIVISOR)
    }
}

/// A load that was assumed to have ended before a report confirmed it.
#[derive(Clone, Debug)]
pub(crate) struct AssumedEnd {
    /// The model.
    pub model: ModelName,
    /// The assumed end.
    pub at: Time,
}

/// Why a model is unloaded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The policy does not keep it while idle.
    #[display("idle")]
    Idle,
    /// Its memory is needed for another model.
    #[display("memory")]
    Memory,
    /// The catalogue has another version.
    #[display("version")]
    Version,
    /// It is not in the catalogue.
    #[display("no_home")]
    NoHome,
    /// The replica is surplus, its power is needed elsewhere, or the engine is leaving.
    #[display("surplus")]
    Surplus,
}

/// A model that routers must stop using.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closing {
    /// When closing began.
    pub since: Time,
    /// Why the model is unloaded.
    pub reason: CloseReason,
    /// The service order of the load that needs the memory.
    pub for_service_order: Option<ServiceOrder>,
    /// When a load last needed the memory.
    pub last_needed: Time,
}

/// Consecutive failed loads of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failures {
    /// Number of failures in a row.
    pub count: u32,
    /// When the load is retried.
    pub retry: Time,
}

/// The last report of an engine.
#[derive(Clone, Debug)]
pub(crate) struct LastReport {
    /// When the report was requested.
    pub requested_at: Time,
    /// When the report was received.
    pub received_at: Time,
    /// The report.
    pub report: EngineReport,
}

/// How a report relates to the known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportStatus {
    /// Outdated, or from before the engine was surveyed.
    Stale,
    /// The newest report.
    Current,
    /// The newest report, from a new incarnation.
    Restarted,
}

/// Models of an engine that need another home, and since when.
#[derive(Debug, Default)]
pub(crate) struct Rehoming {
    /// Models whose replicas are saturated.
    pub saturated: OrderedMap<ModelName, Time>,
    /// Models for which no memory can be freed.
    pub memory_blocked: OrderedMap<ModelName, Time>,
    /// Requests whose cause has lasted long enough.
    pub due: Vec<HomeRequest>,
}
