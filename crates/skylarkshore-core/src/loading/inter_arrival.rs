//! Histogram and distribution of the gaps between uses of a model, in bounded memory.
//!
//! [`InterArrivalHistogram`] collects the gaps, [`InterArrivalDistribution`] predicts from them.

use std::time::Duration;

/// Buckets per doubling of the gap.
const BUCKETS_PER_OCTAVE: f64 = 6.0;
/// Number of doublings covered, from one second to about 36 hours.
const OCTAVES: usize = 17;
const BUCKETS: usize = OCTAVES * 6;
/// Factor by which older observations are scaled at each new one.
const DECAY: f32 = 0.97;
/// Share of an observation counted in each of the two neighbouring buckets.
const NEIGHBOR_WEIGHT: f32 = 0.2;

/// Histogram of gaps with logarithmic buckets and exponential decay.
#[derive(Clone, Debug)]
pub(crate) struct InterArrivalHistogram {
    counts: [f32; BUCKETS],
    total: f32,
}

impl Default for InterArrivalHistogram {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], total: 0.0 }
    }
}

impl InterArrivalHistogram {
    /// Records a gap.
    pub(crate) fn add(&mut self, gap: Duration) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        let at = bucket(gap.as_secs_f64());
        self.counts[at] += 1.0 - 2.0 * NEIGHBOR_WEIGHT;
        self.counts[at.saturating_sub(1)] += NEIGHBOR_WEIGHT;
        self.counts[(at + 1).min(BUCKETS - 1)] += NEIGHBOR_WEIGHT;
        self.total = self.counts.iter().sum();
    }

    /// Returns the decayed number of recorded gaps.
    pub(crate) const fn weight(&self) -> f32 {
        self.total
    }
}

/// Survival function of a gap, estimated from a model's own gaps and those of all models.
#[derive(Clone, Debug)]
pub(crate) struct InterArrivalDistribution {
    /// Probability that the gap is longer than each bucket's lower edge.
    survival: [f64; BUCKETS + 1],
}

impl InterArrivalDistribution {
    /// Combines a model's own gaps with `common` ones, which count as `prior_weight` gaps.
    pub(crate) fn new(
        own: &InterArrivalHistogram,
        common: &InterArrivalHistogram,
        prior_weight: f32,
    ) -> Self {
        let share = if common.total > 0.0 { prior_weight / common.total } else { 0.0 };
        let total = f64::from(own.total + if common.total > 0.0 { prior_weight } else { 0.0 });
        let mut survival = [0.0; BUCKETS + 1];
        for i in (0..BUCKETS).rev() {
            let here = f64::from(own.counts[i] + share * common.counts[i]);
            survival[i] = survival[i + 1] + if total > 0.0 { here / total } else { 0.0 };
        }
        Self { survival }
    }

    /// Returns the probability that a gap lasts longer than `d`.
    pub(crate) fn survival_at(&self, d: Duration) -> f64 {
        let secs = d.as_secs_f64();
        let at = bucket(secs);
        let (from, to) = (edge(at), edge(at + 1));
        let share = ((secs - from) / (to - from)).clamp(0.0, 1.0);
        self.survival[at] + (self.survival[at + 1] - self.survival[at]) * share
    }

    /// Returns the probability that a gap that has lasted `elapsed` lasts `d` longer.
    pub(crate) fn conditional_survival(&self, elapsed: Duration, d: Duration) -> f64 {
        let so_far = self.survival_at(elapsed);
        // A gap longer than any recorded one may last forever.
        if so_far <= f64::EPSILON { 1.0 } else { self.survival_at(elapsed.saturating_add(d)) / so_far }
    }
}

/// Returns the bucket of a gap in seconds; the first bucket starts at zero.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the value is clamped first")]
fn bucket(secs: f64) -> usize {
    let at = (secs.max(1.0).log2() * BUCKETS_PER_OCTAVE).floor();
    (at as usize).min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "there are about a hundred buckets")]
fn edge(bucket: usize) -> f64 {
    if bucket == 0 { 0.0 } else { (bucket as f64 / BUCKETS_PER_OCTAVE).exp2() }
}
