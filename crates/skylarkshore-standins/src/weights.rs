//! The weight store: a few loads a second, and a few at once at full speed.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::lock;

/// What the weight store allows.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreLimits {
    /// Loads that begin within a second.
    pub loads_per_second: u32,
    /// Loads at once at full speed; more of them share it.
    pub full_speed_loads: u32,
    /// The full speed of one load.
    pub mib_per_second: u64,
}

impl Default for WeightStoreLimits {
    fn default() -> Self {
        Self { loads_per_second: 3, full_speed_loads: 4, mib_per_second: 16 * 1024 }
    }
}

/// How often a load's progress is worked out anew.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(10);

/// Percent of a whole.
const FULL_SPEED_PERCENT: u64 = 100;

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    limits: WeightStoreLimits,
    next_start: Mutex<Instant>,
    active: AtomicU32,
    peak: AtomicU32,
    speed_percent: AtomicU64,
}

struct ActiveLoad<'a>(&'a AtomicU32);

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl WeightStore {
    /// Makes a weight store at full speed.
    pub fn new(limits: WeightStoreLimits) -> Self {
        Self {
            limits,
            next_start: Mutex::new(Instant::now()),
            active: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            speed_percent: AtomicU64::new(FULL_SPEED_PERCENT),
        }
    }

    /// Sets how much of its full speed it reaches, in percent; 0 stops all loads.
    pub fn set_speed(&self, percent: u64) {
        self.speed_percent.store(percent, Ordering::SeqCst);
    }

    /// Returns the most loads that ran at once.
    pub fn peak_loads(&self) -> u32 {
        self.peak.load(Ordering::SeqCst)
    }

    /// Loads an amount of weights, which takes its time.
    pub async fn load(&self, mib: u64) {
        self.wait_for_start_slot().await;
        let active = self.active.fetch_add(1, Ordering::SeqCst) + 1;
        let _active = ActiveLoad(&self.active);
        self.peak.fetch_max(active, Ordering::SeqCst);
        let mut remaining = i128::from(mib) * 1_000_000;
        let mut last = Instant::now();
        while remaining > 0 {
            sleep(PROGRESS_INTERVAL).await;
            let now = Instant::now();
            let us = i128::try_from((now - last).as_micros()).unwrap_or(0);
            remaining -= us * i128::from(self.speed());
            last = now;
        }
    }

    /// Returns one load's present speed in MiB a second.
    fn speed(&self) -> u64 {
        let full =
            self.limits.mib_per_second * self.speed_percent.load(Ordering::SeqCst) / FULL_SPEED_PERCENT;
        let active = u64::from(self.active.load(Ordering::SeqCst).max(1));
        let share = u64::from(self.limits.full_speed_loads).min(active);
        full * share / active
    }

    async fn wait_for_start_slot(&self) {
        let start = {
            let mut next = lock(&self.next_start);
            let start = (*next).max(Instant::now());
            *next = start + Duration::from_secs(1) / self.limits.loads_per_second.max(1);
            start
        };
        sleep_until(start).await;
    }
}
