//! Stand-in for the weight store, which limits the rate of load starts and the total bandwidth.
//! Start with [`WeightStore`].

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::lock;

/// Limits of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreLimits {
    /// Number of loads started per second.
    pub loads_per_second: u32,
    /// Number of concurrent loads at full speed; more loads share that bandwidth.
    pub full_speed_loads: u32,
    /// Full speed of one load in MiB per second.
    pub mib_per_second: u64,
}

impl Default for WeightStoreLimits {
    fn default() -> Self {
        Self { loads_per_second: 3, full_speed_loads: 4, mib_per_second: 16 * 1024 }
    }
}

/// How often the progress of a load is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(10);

/// Speed setting at which loads aren't slowed down, in percent.
const FULL_SPEED_PERCENT: u64 = 100;

/// A weight store that only simulates the time loads take.
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
    /// Creates a weight store at full speed.
    pub fn new(limits: WeightStoreLimits) -> Self {
        Self {
            limits,
            next_start: Mutex::new(Instant::now()),
            active: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            speed_percent: AtomicU64::new(FULL_SPEED_PERCENT),
        }
    }

    /// Sets the speed in percent of the full speed; 0 stalls all loads.
    pub fn set_speed(&self, percent: u64) {
        self.speed_percent.store(percent, Ordering::SeqCst);
    }

    /// Returns the highest number of concurrent loads.
    pub fn peak_loads(&self) -> u32 {
        self.peak.load(Ordering::SeqCst)
    }

    /// Waits for as long as loading `mib` of weights takes.
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

    /// Returns the current speed of one load in MiB per second.
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
