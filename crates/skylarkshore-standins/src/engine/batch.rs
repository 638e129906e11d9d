//! Which requests an engine runs, and which wait inside it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::lock;

/// How many requests wait inside the engine for each that runs.
const WAITING_PER_RUNNING: u32 = 4;

/// How many load figures are remembered to be told late.
const REMEMBERED: usize = 1024;

/// Who goes first: the lower priority number, then the earlier request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u16,
    arrival: u64,
}

/// How much an engine has to do.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) waiting: u32,
}

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    waiting: BTreeMap<Place, oneshot::Sender<Slot>>,
    arrivals: u64,
    /// Which life of the engine; a slot of an earlier one counts no more.
    life: u64,
    past: VecDeque<(Instant, Load)>,
}

/// The requests of an engine.
#[derive(Debug)]
pub(super) struct Batch {
    concurrency: u32,
    inner: Mutex<Inner>,
}

/// The right to run, given back when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Arc<Batch>,
    life: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.leave(self.life);
    }
}

/// The engine takes no more.
#[derive(Clone, Copy, Debug)]
pub(super) struct Full;

impl Batch {
    pub(super) fn new(concurrency: u32) -> Self {
        Self { concurrency, inner: Mutex::default() }
    }

    /// Waits for the right to run.
    pub(super) async fn enter(self: &Arc<Self>, priority: u16) -> Result<Slot, Full> {
        let turn = {
            let mut inner = lock(&self.inner);
            if inner.running < self.concurrency {
                inner.running += 1;
                inner.note();
                return Ok(Slot { batch: Arc::clone(self), life: inner.life });
            }
            if inner.waiting.len() >= (self.concurrency * WAITING_PER_RUNNING) as usize {
                return Err(Full);
            }
            inner.arrivals += 1;
            let (tx, rx) = oneshot::channel();
            let place = Place { priority, arrival: inner.arrivals };
            inner.waiting.insert(place, tx);
            inner.note();
            rx
        };
        turn.await.map_err(|_gone| Full)
    }

    /// Forgets everything, as a crash does.
    pub(super) fn clear(&self) {
        let mut inner = lock(&self.inner);
        *inner = Inner { life: inner.life + 1, ..Inner::default() };
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn load(&self, lag: Duration) -> Load {
        let inner = lock(&self.inner);
        let seen = Instant::now().checked_sub(lag);
        let past = inner.past.iter().rev().find(|(at, _)| seen.is_some_and(|seen| *at <= seen));
        past.map(|(_, load)| *load).unwrap_or_default()
    }

    fn leave(self: &Arc<Self>, life: u64) {
        self.free(life);
        while let Some((turn, slot)) = self.next_turn() {
            // One whose caller went away drops the slot, which passes the turn on.
            drop(turn.send(slot));
        }
    }

    fn free(&self, life: u64) {
        let mut inner = lock(&self.inner);
        if inner.life == life {
            inner.running = inner.running.saturating_sub(1);
            inner.note();
        }
    }

    fn next_turn(self: &Arc<Self>) -> Option<(oneshot::Sender<Slot>, Slot)> {
        let mut inner = lock(&self.inner);
        if inner.running >= self.concurrency {
            return None;
        }
        let (_, turn) = inner.waiting.pop_first()?;
        inner.running += 1;
        inner.note();
        Some((turn, Slot { batch: Arc::clone(self), life: inner.life }))
    }
}

impl Inner {
    fn note(&mut self) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.past.push_back((Instant::now(), Load { running: self.running, waiting }));
        if self.past.len() > REMEMBERED {
            self.past.pop_front();
        }
    }
}
