//! Learned limit on the loads that the weight store runs concurrently. See [`ConcurrencyLimit`].

use std::time::Duration;

use crate::cx::Cx;

/// Engines per concurrent load; caps the limit whatever the store sustains.
///
/// An engine cannot swap models while it loads from the store. Half of them must
/// remain available for models with copies on disk.
const ENGINES_PER_LOAD: usize = 2;
/// Ratio of measured to listed load time above which a load counts as slowed down.
const SLOWDOWN_RATIO: f64 = 1.5;
/// Ratio of measured to listed load time up to which a load counts as on time.
const ON_TIME_RATIO: f64 = 1.2;

/// Learned limit on concurrent loads from the weight store.
///
/// Beyond what the store sustains, every load takes longer in proportion, so more
/// concurrency gains nothing and occupies engines. The limit starts at the
/// configured value and doubles with each load that ends on time until one is slowed
/// down; from then on it grows by one. A slowed load decreases it.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    learned: Option<usize>,
    /// Whether a load has been slowed down, which ends the doubling.
    slowed: bool,
}

impl ConcurrencyLimit {
    /// Returns how many loads may run concurrently.
    pub(crate) fn limit(&self, cx: &Cx<'_>) -> usize {
        self.learned.unwrap_or(cx.cfg.limits.loads_at_once as usize).min(max_loads_at_once(cx))
    }

    /// Decreases the limit if a load that is still in progress is too slow; `others`
    /// loads ran when it started.
    ///
    /// Its length so far is sufficient evidence, since its end may be far away.
    pub(crate) fn record_running(
        &mut self,
        cx: &mut Cx<'_>,
        listed: Duration,
        so_far: Duration,
        others: usize,
    ) {
        let ratio = so_far.as_secs_f64() / listed.as_secs_f64().max(f64::MIN_POSITIVE);
        let previous = self.limit(cx);
        if ratio <= SLOWDOWN_RATIO || others == 0 {
            return;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a few loads at once"
        )]
        let sustained = ((others + 1) as f64 / ratio) as usize;
        self.slowed = true;
        self.learn(cx, previous, sustained.clamp(1, previous), listed, so_far);
    }

    /// Adjusts the limit by the length of a finished load; `others` loads ran when it started.
    pub(crate) fn record_end(&mut self, cx: &mut Cx<'_>, listed: Duration, took: Duration, others: usize) {
        let previous = self.limit(cx);
        let ratio = took.as_secs_f64() / listed.as_secs_f64().max(f64::MIN_POSITIVE);
        // A slow load that started alone was delayed by something other than concurrency.
        let new_limit = if ratio > SLOWDOWN_RATIO && others == 0 {
            previous
        } else if ratio > SLOWDOWN_RATIO {
            self.slowed = true;
            ((others + 1) * 2 / 3).clamp(1, previous)
        } else if ratio <= ON_TIME_RATIO && others + 1 >= previous {
            let more = if self.slowed { previous + 1 } else { previous * 2 };
            more.min(max_loads_at_once(cx))
        } else {
            previous
        };
        self.learn(cx, previous, new_limit, listed, took);
    }

    fn learn(
        &mut self,
        cx: &mut Cx<'_>,
        previous: usize,
        new_limit: usize,
        listed: Duration,
        took: Duration,
    ) {
        if new_limit == previous {
            return;
        }
        self.learned = Some(new_limit);
        let detail = format!("from={previous} took_ms={} listed_ms={}", took.as_millis(), listed.as_millis());
        cx.log_event("loads_at_once", new_limit, detail);
    }
}

/// Returns the upper bound of the limit.
fn max_loads_at_once(cx: &Cx<'_>) -> usize {
    (cx.upstreams.engines() / ENGINES_PER_LOAD).max(cx.cfg.limits.loads_at_once as usize)
}
