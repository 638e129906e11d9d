//! The task that owns the core: it feeds events in and executes the effects that come out.
//!
//! Start with `Driver`; other tasks reach it through [`Inbox`].

mod effects;
mod snapshot;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::dump::Gauge;
use skylarkshore_core::id::UpstreamId;
use skylarkshore_core::{Effect, Event, Node};
use skylarkshore_wire::operator::{BeliefWire, StateDump};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::{Clock, time_of_day};
use crate::metrics::Metrics;

pub(crate) use effects::EffectExecutor;
pub use snapshot::{Member, Snapshot};

/// Inputs queued for the core before senders block.
const INBOX_CAPACITY: usize = 8192;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between snapshots that are taken even if `Snapshot::is_outdated` finds no change.
///
/// They pick up changes that don't raise `Snapshot::store_revision`.
const TICKS_PER_SNAPSHOT: u32 = 20;

/// An input of the task that owns the core.
#[derive(Debug)]
enum Input {
    Event(Box<Event>),
    Dump(oneshot::Sender<StateDump>),
    Gauges(oneshot::Sender<Vec<Gauge>>),
    RelayTarget(UpstreamId, oneshot::Sender<Option<SocketAddr>>),
}

/// The sending half of the driver's input queue.
#[derive(Clone, Debug)]
pub struct Inbox {
    tx: mpsc::Sender<Input>,
    runtime: tokio::runtime::Handle,
}

impl Inbox {
    /// Opens the queue; must be called inside the runtime of the driver.
    ///
    /// `event_later` spawns on that runtime, also when a server's thread outside it calls.
    pub(crate) fn open() -> (Self, InboxReceiver) {
        let (tx, rx) = mpsc::channel(INBOX_CAPACITY);
        (Self { tx, runtime: tokio::runtime::Handle::current() }, InboxReceiver { rx })
    }

    /// Sends an event to the core; waits while the queue is full.
    pub async fn event(&self, event: Event) {
        // Fails only if the driver has ended, which is just before the process exits.
        _ = self.tx.send(Input::Event(Box::new(event))).await;
    }

    /// Sends an event to the core without waiting, for callers that can't await.
    ///
    /// If the queue is full, a task is spawned that waits for room; later events may overtake this one.
    pub fn event_later(&self, event: Event) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.tx.try_send(Input::Event(Box::new(event))) {
            let tx = self.tx.clone();
            self.runtime.spawn(async move { tx.send(input).await });
        }
    }

    /// Waits until the driver has ended, after which no event is handled any more.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Requests the state dump; `None` if the driver has ended.
    pub(crate) async fn dump(&self) -> Option<StateDump> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Dump(tx)).await.ok()?;
        rx.await.ok()
    }

    /// Requests the address of an upstream to which this host can relay; `None` if it can't.
    pub(crate) async fn relay_target(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::RelayTarget(upstream, tx)).await.ok()?;
        rx.await.ok().flatten()
    }

    /// Requests the core's gauges; empty if the driver has ended.
    pub(crate) async fn gauges(&self) -> Vec<Gauge> {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::Gauges(tx)).await.is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }
}

/// The receiving half of the driver's input queue.
#[derive(Debug)]
pub(crate) struct InboxReceiver {
    rx: mpsc::Receiver<Input>,
}

/// Owns the core and runs its event loop.
pub(crate) struct Driver {
    node: Node,
    clock: Clock,
    executor: EffectExecutor,
    snapshot: watch::Sender<Arc<Snapshot>>,
    metrics: Arc<Metrics>,
}

/// Whether the event loop continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Continue,
    Exit,
}

impl Driver {
    pub(crate) fn new(
        node: Node,
        clock: Clock,
        executor: EffectExecutor,
        snapshot: watch::Sender<Arc<Snapshot>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { node, clock, executor, snapshot, metrics }
    }

    /// Runs the event loop until the core emits `Effect::Exit`.
    pub(crate) async fn run(mut self, mut receiver: InboxReceiver, initial_effects: Vec<Effect>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick_count = 0;
        let mut step = self.execute(initial_effects);
        while step == Step::Continue {
            step = tokio::select! {
                Some(input) = receiver.rx.recv() => self.handle_input(input),
                _ = ticks.tick() => {
                    tick_count += 1;
                    if tick_count % TICKS_PER_SNAPSHOT == 0 {
                        self.publish();
                    }
                    // The wall clock is for rules that depend on the time of day; `clock` is monotonic.
                    self.handle(Event::Tick { at: time_of_day() })
                }
            };
        }
    }

    fn handle_input(&mut self, input: Input) -> Step {
        match input {
            Input::Event(event) => self.handle(*event),
            Input::Dump(tx) => {
                // The requester may have been dropped.
                _ = tx.send(self.dump());
                Step::Continue
            }
            Input::RelayTarget(upstream, tx) => {
                _ = tx.send(self.node.relay_target(self.clock.now(), &upstream).map(|target| target.address));
                Step::Continue
            }
            Input::Gauges(tx) => {
                _ = tx.send(self.node.gauges(self.clock.now()));
                Step::Continue
            }
        }
    }

    fn handle(&mut self, event: Event) -> Step {
        self.metrics.core_event_handled();
        self.executor.before_event(&event);
        let effects = self.node.handle(self.clock.now(), event);
        if self.snapshot.borrow().is_outdated(&self.node) {
            self.publish();
        }
        self.execute(effects)
    }

    fn execute(&mut self, effects: Vec<Effect>) -> Step {
        let mut step = Step::Continue;
        for effect in effects {
            if matches!(effect, Effect::Exit) {
                step = Step::Exit;
            } else {
                self.executor.execute(effect, self.node.upstreams());
            }
        }
        step
    }

    fn publish(&self) {
        let next = Snapshot::of(&self.node, &self.snapshot.borrow());
        self.snapshot.send_replace(Arc::new(next));
    }

    /// Builds the state dump. The cache holds the latest known state of the key-value service (the store).
    fn dump(&mut self) -> StateDump {
        let now = self.clock.now();
        // A belief is an entry of the dump: what this process knows of a request, an engine and so on.
        let beliefs = self.node.dump(now).into_iter().map(|belief| BeliefWire::new(belief, now)).collect();
        StateDump {
            host: self.node.config().host.clone(),
            incarnation: self.node.config().incarnation,
            document_revision: self.node.document().revision,
            store_revision: self.node.cache().latest_revision(),
            ready: self.node.is_ready(),
            leaving: self.node.is_leaving(),
            beliefs,
        }
    }
}
