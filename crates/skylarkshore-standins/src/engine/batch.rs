//! Admission of an engine's requests to its limited number of slots. Start with [`Batch`].

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::lock;

/// Queue limit of the engine, as a multiple of its concurrency.
const QUEUED_PER_RUNNING: u32 = 4;

/// How many load samples are kept, since reports return past load.
const MAX_LOAD_HISTORY: usize = 1024;

/// Queue order: the lower priority number first, then the earlier request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u16,
    arrival: u64,
}

/// Number of requests in an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) waiting: u32,
}

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
    arrivals: u64,
    /// Incarnation of the engine; slots of earlier ones no longer count.
    incarnation: u64,
    history: VecDeque<(Instant, Load)>,
}

/// The slots and the queue of an engine.
#[derive(Debug)]
pub(super) struct Batch {
    concurrency: u32,
    inner: Mutex<Inner>,
}

/// A slot to run one request, released when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Arc<Batch>,
    incarnation: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.release(self.incarnation);
    }
}

/// The queue of the engine is full.
#[derive(Clone, Copy, Debug)]
pub(super) struct Full;

impl Batch {
    pub(super) fn new(concurrency: u32) -> Self {
        Self { concurrency, inner: Mutex::default() }
    }

    /// Waits for a free slot, or fails if the queue is full.
    pub(super) async fn acquire(self: &Arc<Self>, priority: u16) -> Result<Slot, Full> {
        let slot = {
            let mut inner = lock(&self.inner);
            if inner.running < self.concurrency {
                inner.running += 1;
                inner.record_load();
                return Ok(Slot { batch: Arc::clone(self), incarnation: inner.incarnation });
            }
            if inner.waiting.len() >= (self.concurrency * QUEUED_PER_RUNNING) as usize {
                return Err(Full);
            }
            inner.arrivals += 1;
            let (tx, rx) = oneshot::channel();
            let key = QueueKey { priority, arrival: inner.arrivals };
            inner.waiting.insert(key, tx);
            inner.record_load();
            rx
        };
        slot.await.map_err(|_gone| Full)
    }

    /// Resets the slots and the queue, as a crash does.
    pub(super) fn clear(&self) {
        let mut inner = lock(&self.inner);
        *inner = Inner { incarnation: inner.incarnation + 1, ..Inner::default() };
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn load(&self, lag: Duration) -> Load {
        let inner = lock(&self.inner);
        let sampled_until = Instant::now().checked_sub(lag);
        let sample =
            inner.history.iter().rev().find(|(at, _)| sampled_until.is_some_and(|until| *at <= until));
        sample.map(|(_, load)| *load).unwrap_or_default()
    }

    fn release(self: &Arc<Self>, incarnation: u64) {
        self.decrement_running(incarnation);
        while let Some((waiter, slot)) = self.next_waiting() {
            // If the caller has disconnected, the slot is dropped here and goes to the next request.
            drop(waiter.send(slot));
        }
    }

    fn decrement_running(&self, incarnation: u64) {
        let mut inner = lock(&self.inner);
        if inner.incarnation == incarnation {
            inner.running = inner.running.saturating_sub(1);
            inner.record_load();
        }
    }

    fn next_waiting(self: &Arc<Self>) -> Option<(oneshot::Sender<Slot>, Slot)> {
        let mut inner = lock(&self.inner);
        if inner.running >= self.concurrency {
            return None;
        }
        let (_, waiter) = inner.waiting.pop_first()?;
        inner.running += 1;
        inner.record_load();
        Some((waiter, Slot { batch: Arc::clone(self), incarnation: inner.incarnation }))
    }
}

impl Inner {
    fn record_load(&mut self) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.history.push_back((Instant::now(), Load { running: self.running, waiting }));
        if self.history.len() > MAX_LOAD_HISTORY {
            self.history.pop_front();
        }
    }
}
