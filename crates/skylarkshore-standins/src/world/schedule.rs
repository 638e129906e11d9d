//! Scheduled tasks of the simulation, ordered by time. Start with [`Schedule`].

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::event::{AttemptOutcome, Event};
use skylarkshore_core::id::{
    AttemptId, CallId, Digest, Fence, Incarnation, ModelName, OrderId, RequestId, UpstreamId,
};
use skylarkshore_core::store::StoreCall;
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::Order;

use super::callers::RequestKey;

/// One incarnation of a host's process, as the origin of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Sender {
    pub(crate) host: usize,
    pub(crate) life: u64,
}

/// A call in transit to the key-value service.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    pub(crate) from: Sender,
    pub(crate) call: CallId,
    pub(crate) request: StoreCall,
    pub(crate) answer_lost: bool,
}

/// An order in transit to an engine.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub(crate) from: Sender,
    pub(crate) engine: UpstreamId,
    pub(crate) order: OrderId,
    pub(crate) fence: Fence,
    pub(crate) action: Order,
    pub(crate) answer_lost: bool,
}

/// A request in transit to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) from: Sender,
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: UpstreamId,
    /// The incarnation on the sender's host list; any other one rejects the request.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) hold: bool,
    pub(crate) answer_lost: bool,
}

/// Identifies one run of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunId(pub(crate) u64);

#[derive(Clone, Debug)]
pub(crate) enum Task {
    Tick {
        host: usize,
        life: u64,
    },
    HostList {
        host: usize,
        life: u64,
    },
    Event {
        to: Sender,
        event: Event,
    },
    Resume {
        host: usize,
    },
    Restart {
        host: usize,
    },
    ExpireLeases,
    StoreUp,
    StoreTimeout {
        from: Sender,
        call: CallId,
    },
    Crash {
        engine: UpstreamId,
    },
    EngineUp {
        engine: UpstreamId,
    },
    ReplicaUp {
        replica: UpstreamId,
    },
    Delist {
        replica: UpstreamId,
        incarnation: Incarnation,
    },
    Store(SentCall),
    Order(SentOrder),
    ReportRequest {
        from: Sender,
        engine: UpstreamId,
        asked: Time,
    },
    StartRun(SentRequest),
    AttemptTimeout {
        from: Sender,
        attempt: AttemptId,
    },
    AttemptEnded {
        from: Sender,
        attempt: AttemptId,
        end: AttemptOutcome,
        /// The request whose caller gets the whole answer.
        forwarded: Option<RequestKey>,
    },
    AttemptFails {
        from: Sender,
        attempt: AttemptId,
        end: AttemptOutcome,
    },
    LoadDone {
        engine: UpstreamId,
        incarnation: Incarnation,
        model: ModelName,
    },
    RunStarted {
        upstream: UpstreamId,
        run: RunId,
    },
    RunDone {
        upstream: UpstreamId,
        run: RunId,
    },
    /// A replica crashes within an answer on a fatal part.
    FatalEvent {
        upstream: UpstreamId,
        run: RunId,
        part: Digest,
    },
}

impl Task {
    /// Reports whether engines must be checked afterwards: the task can change their memory or
    /// power draw, or is the periodic [`Self::ExpireLeases`].
    pub(crate) const fn touches_engines(&self) -> bool {
        matches!(
            self,
            Self::Order(_)
                | Self::LoadDone { .. }
                | Self::RunStarted { .. }
                | Self::Crash { .. }
                | Self::EngineUp { .. }
                | Self::ExpireLeases
        )
    }
}

/// Tasks by time; tasks of the same time keep the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    tasks: OrderedMap<TaskKey, Task>,
    added: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    at: Time,
    number: u64,
}

impl Schedule {
    pub(crate) fn add(&mut self, at: Time, task: Task) {
        self.added += 1;
        self.tasks.insert(TaskKey { at, number: self.added }, task);
    }

    /// Removes the next task that is due by `until` and advances the clock to its time.
    pub(crate) fn next(&mut self, until: Time, now: &mut Time) -> Option<Task> {
        let entry = self.tasks.first_entry()?;
        if entry.key().at > until {
            return None;
        }
        *now = entry.key().at.max(*now);
        Some(entry.remove())
    }
}
