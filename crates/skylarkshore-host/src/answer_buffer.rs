//! The part of an answer that its caller hasn't read yet, counted by bytes. Start with [`AnswerBuffer`].

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::byte_budget::{ByteBudget, Held};

/// How long an answer has to wait for its caller for its upstream to count as held up.
///
/// Upstreams cut off answers that nobody reads for some seconds. Such a loss is no sign of a crash.
const HELD_UP_TIME: Duration = Duration::from_secs(1);

/// Pieces of an answer, however short, that are held for its caller.
pub(crate) const MAX_PIECES: usize = 16;
/// While unread answers fill their budget, callers may read nothing for their limit divided by this.
const STALL_DIVISOR: u32 = 10;

/// The bytes of one answer that were read from an upstream and not yet written to the caller's socket;
/// cheap to clone.
#[derive(Clone, Debug)]
pub struct AnswerBuffer(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// The budget of all answers.
    budget: ByteBudget,
    /// The limit for this answer, in bytes.
    limit: usize,
    state: Mutex<State>,
    /// Notified when bytes are released, and when the answer is finished.
    changed: Notify,
}

#[derive(Debug)]
struct State {
    /// In bytes.
    held: usize,
    pieces: usize,
    /// When bytes were last written to the caller, or the first ones were added.
    progressed_at: Instant,
    /// How long the upstream had to wait for room before the next bytes were read.
    last_wait: Duration,
    /// Whether all bytes were added.
    is_finished: bool,
}

/// Bytes that are counted until the last reference to them is dropped.
struct CountedBytes {
    bytes: Bytes,
    buffer: AnswerBuffer,
    _held: Held,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        let mut state = self.buffer.lock();
        state.held -= self.bytes.len();
        state.pieces -= 1;
        state.progressed_at = Instant::now();
        drop(state);
        self.buffer.0.changed.notify_waiters();
    }
}

impl AnswerBuffer {
    /// Creates an empty buffer for at most `limit` bytes within the budget of all answers.
    pub fn new(budget: ByteBudget, limit: usize) -> Self {
        let state = State {
            held: 0,
            pieces: 0,
            progressed_at: Instant::now(),
            last_wait: Duration::ZERO,
            is_finished: false,
        };
        Self(Arc::new(Shared { budget, limit, state: Mutex::new(state), changed: Notify::new() }))
    }

    /// Returns the budget of all answers.
    pub fn budget(&self) -> &ByteBudget {
        &self.0.budget
    }

    /// Waits until there is room for more bytes, so that none are read before that.
    ///
    /// There is always room in an empty buffer. Otherwise callers who read nothing could use up the
    /// budget, and the others would get no answers.
    pub(crate) async fn until_room(&self) {
        let begun = Instant::now();
        loop {
            let changed = self.0.changed.notified();
            if self.has_room() {
                self.lock().last_wait = begun.elapsed();
                return;
            }
            changed.await;
        }
    }

    /// Adds bytes, which may exceed the limits by one piece.
    pub(crate) fn add(&self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        let held = self.0.budget.hold(bytes.len());
        let mut state = self.lock();
        if state.held == 0 {
            state.progressed_at = Instant::now();
        }
        state.held += bytes.len();
        state.pieces += 1;
        drop(state);
        Bytes::from_owner(CountedBytes { bytes, buffer: self.clone(), _held: held })
    }

    /// Records that the answer is complete, or was aborted.
    pub(crate) fn finish(&self) {
        self.lock().is_finished = true;
        self.0.changed.notify_waiters();
    }

    /// Returns how many bytes wait for the caller.
    pub(crate) fn len(&self) -> usize {
        self.lock().held
    }

    /// Reports whether the answer is complete, whether the caller has read it or not.
    pub(crate) fn is_finished(&self) -> bool {
        self.lock().is_finished
    }

    /// Reports whether the upstream had to wait long for the caller to read on.
    pub(crate) fn is_held_up(&self) -> bool {
        self.lock().last_wait >= HELD_UP_TIME
    }

    /// Waits until the answer is complete and the caller has read it.
    pub(crate) async fn until_drained(&self) {
        loop {
            let changed = self.0.changed.notified();
            let is_drained = {
                let state = self.lock();
                state.is_finished && state.held == 0
            };
            if is_drained {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the caller has read nothing for `limit` although bytes wait for it; without a
    /// limit, never returns.
    ///
    /// While the budget is full, a caller that stalls takes memory from the others, and the limit is
    /// shorter.
    pub(crate) async fn until_stalled(&self, limit: Option<Duration>) {
        let Some(limit) = limit else { return pending().await };
        let check_interval = limit / STALL_DIVISOR;
        loop {
            sleep(check_interval).await;
            let limit = if self.0.budget.is_full() { check_interval } else { limit };
            let state = self.lock();
            if state.held > 0 && state.progressed_at.elapsed() >= limit {
                return;
            }
        }
    }

    fn has_room(&self) -> bool {
        let state = self.lock();
        let is_below_limits = state.held < self.0.limit && state.pieces < MAX_PIECES;
        state.held == 0 || is_below_limits && !self.0.budget.is_full()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
