//! How long a model usually stays unused, in bounded memory.

use std::time::Duration;

/// Buckets for each doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 6.0;
/// How many doublings are told apart, from one second to about 36 hours.
const OCTAVES: usize = 17;
const BUCKETS: usize = OCTAVES * 6;
/// What an observation still counts when the next one comes.
const DECAY: f32 = 0.97;
/// How much of an observation falls into the two neighbouring buckets each.
const NEIGHBOR_WEIGHT: f32 = 0.2;

/// A histogram of gaps with logarithmic buckets, in which later gaps count more.
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
    /// Takes a gap into account.
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

    /// Returns how many gaps it knows, older ones counting less.
    pub(crate) const fn weight(&self) -> f32 {
        self.total
    }
}

/// What is expected of a gap: a model's own history, filled up with that of all models.
#[derive(Clone, Debug)]
pub(crate) struct InterArrivalDistribution {
    /// The chance that the gap is longer than each bucket's lower edge.
    survival: [f64; BUCKETS + 1],
}

impl InterArrivalDistribution {
    /// Mixes a model's own gaps with `common` ones that count as `prior` gaps.
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

    /// Returns the chance that a gap lasts longer than `d`.
    pub(crate) fn survival_at(&self, d: Duration) -> f64 {
        let secs = d.as_secs_f64();
        let at = bucket(secs);
        let (from, to) = (edge(at), edge(at + 1));
        let share = ((secs - from) / (to - from)).clamp(0.0, 1.0);
        self.survival[at] + (self.survival[at + 1] - self.survival[at]) * share
    }

    /// Returns the chance that a gap which has lasted for `elapsed` lasts for `d` more.
    pub(crate) fn conditional_survival(&self, elapsed: Duration, d: Duration) -> f64 {
        let so_far = self.survival_at(elapsed);
        // A gap longer than any known one may last for ever.
        if so_far <= f64::EPSILON { 1.0 } else { self.survival_at(elapsed.saturating_add(d)) / so_far }
    }
}

/// Returns the bucket of a gap of some seconds; the first one begins at zero.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the value is clamped first")]
fn bucket(secs: f64) -> usize {
    let at = (secs.max(1.0).log2() * BUCKETS_PER_OCTAVE).floor();
    (at as usize).min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "there are about a hundred buckets")]
fn edge(bucket: usize) -> f64 {
    if bucket == 0 { 0.0 } else { (bucket as f64 / BUCKETS_PER_OCTAVE).exp2() }
}
