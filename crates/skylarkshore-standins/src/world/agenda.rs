//! What is going to happen, in order of time.

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::event::Event;
use skylarkshore_core::id::{
    AttemptId, CallId, Fence, Incarnation, ModelName, OrderId, RequestId, UpstreamId,
};
use skylarkshore_core::store::StoreCall;
use skylarkshore_core::time::Time;
use skylarkshore_core::upstream::Order;

/// One life of a host's process, as the sender of something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Sender {
    pub(crate) host: usize,
    pub(crate) life: u64,
}

/// A call on its way to the key-value service.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    pub(crate) from: Sender,
    pub(crate) call: CallId,
    pub(crate) request: StoreCall,
    pub(crate) answer_lost: bool,
}

/// An order on its way to an engine.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub(crate) from: Sender,
    pub(crate) engine: UpstreamId,
    pub(crate) order: OrderId,
    pub(crate) fence: Fence,
    pub(crate) action: Order,
    pub(crate) answer_lost: bool,
}

/// A request on its way to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) from: Sender,
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: UpstreamId,
    pub(crate) hold: bool,
    pub(crate) answer_lost: bool,
}

/// One run of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunId(pub(crate) u64);

#[derive(Clone, Debug)]
pub(crate) enum Item {
    Tick { host: usize, life: u64 },
    HostList { host: usize, life: u64 },
    Event { to: Sender, event: Event },
    Wake { host: usize },
    Restart { host: usize },
    Leases,
    StoreUp,
    StoreTimeout { from: Sender, call: CallId },
    Crash { engine: UpstreamId },
    EngineUp { engine: UpstreamId },
    Store(SentCall),
    Order(SentOrder),
    Ask { from: Sender, engine: UpstreamId, asked: Time },
    Start(SentRequest),
    AttemptTimeout { from: Sender, attempt: AttemptId },
    LoadDone { engine: UpstreamId, incarnation: Incarnation, model: ModelName },
    RunStarted { upstream: UpstreamId, run: RunId },
    RunDone { upstream: UpstreamId, run: RunId },
}

impl Item {
    /// Tells whether it can change what engines hold or draw, or is the regular look at them.
    pub(crate) const fn touches_engines(&self) -> bool {
        matches!(
            self,
            Self::Order(_)
                | Self::LoadDone { .. }
                | Self::RunStarted { .. }
                | Self::Crash { .. }
                | Self::EngineUp { .. }
                | Self::Leases
        )
    }
}

/// The items by time, those of the same time in the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    items: OrderedMap<Place, Item>,
    added: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    at: Time,
    number: u64,
}

impl Agenda {
    pub(crate) fn add(&mut self, at: Time, item: Item) {
        self.added += 1;
        self.items.insert(Place { at, number: self.added }, item);
    }

    /// Takes the next item that is due by `until` and sets the clock to its time.
    pub(crate) fn next(&mut self, until: Time, now: &mut Time) -> Option<Item> {
        let entry = self.items.first_entry()?;
        if entry.key().at > until {
            return None;
        }
        *now = entry.key().at.max(*now);
        Some(entry.remove())
    }
}
