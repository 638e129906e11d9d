//! Counts bytes that are held in memory, with a limit on their sum. Start with [`ByteBudget`].

use prometheus::IntGauge;

/// The bytes that are held for one purpose; cheap to clone.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    /// The sum, which is also a metric.
    held: IntGauge,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes whose use is counted in a gauge.
    pub const fn new(limit: usize, held: IntGauge) -> Self {
        Self { limit, held }
    }

    /// Reports whether the limit is reached.
    pub fn is_full(&self) -> bool {
        !self.fits(1)
    }

    /// Counts bytes, even beyond the limit.
    pub fn hold(&self, len: usize) -> Held {
        self.held.add(to_gauge(len));
        Held { budget: self.clone(), len }
    }

    /// Bytes that are counted at the same moment may exceed the limit together, each only once.
    fn fits(&self, len: usize) -> bool {
        let held = usize::try_from(self.held.get()).unwrap_or(0);
        held.saturating_add(len) <= self.limit
    }
}

/// Bytes that count until this is dropped.
#[derive(Debug)]
pub struct Held {
    budget: ByteBudget,
    len: usize,
}

impl Held {
    /// Returns how many bytes are counted.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Reports whether no byte is counted.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Reports whether the limit on all bytes is reached.
    pub fn is_budget_full(&self) -> bool {
        self.budget.is_full()
    }

    /// Changes the number of bytes, even beyond the limit.
    pub fn resize(&mut self, len: usize) {
        self.budget.held.add(to_gauge(len) - to_gauge(self.len));
        self.len = len;
    }

    /// Counts more bytes unless they exceed the limit; reports whether they are counted.
    pub fn try_grow(&mut self, more: usize) -> bool {
        let fits = self.budget.fits(more);
        if fits {
            self.resize(self.len + more);
        }
        fits
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.held.sub(to_gauge(self.len));
    }
}

fn to_gauge(len: usize) -> i64 {
    i64::try_from(len).unwrap_or(i64::MAX)
}
