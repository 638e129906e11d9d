//! The one task that owns the core: events in, effects out.

mod effects;
mod snapshot;

use std::sync::Arc;
use std::time::Duration;

use skylarkshore_core::dump::Gauge;
use skylarkshore_core::{Effect, Event, Node};
use skylarkshore_wire::operator::{BeliefWire, StateDump};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::{Clock, time_of_day};
use crate::metrics::Metrics;

pub(crate) use effects::Effects;
pub use snapshot::{Member, Snapshot};

/// Events that may wait for the core before their senders have to.
const INBOX_LEN: usize = 8192;
const TICK_EVERY: Duration = Duration::from_millis(50);
/// How many ticks pass between two looks at what changed without raising a revision.
const TICKS_PER_SNAPSHOT: u32 = 20;

/// Something for the task that owns the core.
#[derive(Debug)]
enum Input {
    Event(Box<Event>),
    Dump(oneshot::Sender<StateDump>),
    Gauges(oneshot::Sender<Vec<Gauge>>),
}

/// The way to the task that owns the core.
#[derive(Clone, Debug)]
pub struct Inbox {
    tx: mpsc::Sender<Input>,
    runtime: tokio::runtime::Handle,
}

impl Inbox {
    /// Makes the way; must be called inside the main runtime.
    pub(crate) fn open() -> (Self, InboxReceiver) {
        let (tx, rx) = mpsc::channel(INBOX_LEN);
        (Self { tx, runtime: tokio::runtime::Handle::current() }, InboxReceiver { rx })
    }

    /// Hands an event over; waits while the core is behind.
    pub async fn event(&self, event: Event) {
        // The core is only gone when the process is about to end.
        _ = self.tx.send(Input::Event(Box::new(event))).await;
    }

    /// Hands an event over from where nothing may wait.
    pub fn event_later(&self, event: Event) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.tx.try_send(Input::Event(Box::new(event))) {
            let tx = self.tx.clone();
            self.runtime.spawn(async move { tx.send(input).await });
        }
    }

    /// Asks what the process believes.
    pub(crate) async fn dump(&self) -> Option<StateDump> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Dump(tx)).await.ok()?;
        rx.await.ok()
    }

    /// Asks for the core's numbers.
    pub(crate) async fn gauges(&self) -> Vec<Gauge> {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::Gauges(tx)).await.is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }
}

/// What waits for the core.
#[derive(Debug)]
pub(crate) struct InboxReceiver {
    rx: mpsc::Receiver<Input>,
}

/// The task that owns the core.
pub(crate) struct Driver {
    node: Node,
    clock: Clock,
    effects: Effects,
    snapshot: watch::Sender<Arc<Snapshot>>,
    metrics: Arc<Metrics>,
}

/// Whether the process goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    GoOn,
    Exit,
}

impl Driver {
    pub(crate) fn new(
        node: Node,
        clock: Clock,
        effects: Effects,
        snapshot: watch::Sender<Arc<Snapshot>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { node, clock, effects, snapshot, metrics }
    }

    /// Runs until the core says that the process may end.
    pub(crate) async fn run(mut self, mut receiver: InboxReceiver, first: Vec<Effect>) {
        let mut ticks = interval(TICK_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticked = 0;
        let mut step = self.carry_out(first);
        while step == Step::GoOn {
            step = tokio::select! {
                Some(input) = receiver.rx.recv() => self.take(input),
                _ = ticks.tick() => {
                    ticked += 1;
                    if ticked % TICKS_PER_SNAPSHOT == 0 {
                        self.publish();
                    }
                    self.handle(Event::Tick { at: time_of_day() })
                }
            };
        }
    }

    fn take(&mut self, input: Input) -> Step {
        match input {
            Input::Event(event) => self.handle(*event),
            Input::Dump(tx) => {
                // Whoever asked may have gone away.
                _ = tx.send(self.dump());
                Step::GoOn
            }
            Input::Gauges(tx) => {
                _ = tx.send(self.node.gauges(self.clock.now()));
                Step::GoOn
            }
        }
    }

    fn handle(&mut self, event: Event) -> Step {
        self.metrics.event_taken();
        self.effects.before(&event);
        let effects = self.node.handle(self.clock.now(), event);
        if self.snapshot.borrow().is_outdated(&self.node) {
            self.publish();
        }
        self.carry_out(effects)
    }

    fn carry_out(&mut self, effects: Vec<Effect>) -> Step {
        let mut step = Step::GoOn;
        for effect in effects {
            if matches!(effect, Effect::Exit) {
                step = Step::Exit;
            } else {
                self.effects.carry_out(effect, self.node.upstreams());
            }
        }
        step
    }

    fn publish(&self) {
        let next = Snapshot::of(&self.node, &self.snapshot.borrow());
        self.snapshot.send_replace(Arc::new(next));
    }

    fn dump(&mut self) -> StateDump {
        let now = self.clock.now();
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
