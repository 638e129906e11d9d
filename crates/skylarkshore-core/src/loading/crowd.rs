//! How many loads the weight store runs at full speed.

use std::time::Duration;

use crate::cx::Cx;

/// For how many engines one load may run at once at most, however many the store carries.
///
/// An engine that loads from the store can't swap models for as long; half of
/// them have to go on serving those whose models lie on disks.
const ENGINES_PER_LOAD: usize = 2;
/// From how many times its listed length on a load counts as slowed down.
const SLOWED: f64 = 1.5;
/// Up to how many times its listed length a load counts as run at full speed.
const ON_TIME: f64 = 1.2;

/// How many loads the weight store runs at full speed, learned from how long they take.
///
/// Beyond that number each takes longer in proportion, so that more at once
/// bring nothing and keep every engine busy. The number begins as the settings
/// say, and doubles with each load that ends in time until the first doesn't.
#[derive(Debug, Default)]
pub(crate) struct Crowd {
    learned: Option<usize>,
    /// Whether a load has been slowed down.
    slowed: bool,
}

impl Crowd {
    /// Returns how many loads are let through at once.
    pub(crate) fn most(&self, cx: &Cx<'_>) -> usize {
        self.learned.unwrap_or(cx.cfg.limits.loads_at_once as usize).min(most_at_once(cx))
    }

    /// Takes note of a load that is still in progress, beside which `others` have run.
    ///
    /// What its length tells by now is enough; its end may be far away.
    pub(crate) fn lasts(&mut self, cx: &mut Cx<'_>, listed: Duration, so_far: Duration, others: usize) {
        let ratio = so_far.as_secs_f64() / listed.as_secs_f64().max(f64::MIN_POSITIVE);
        let before = self.most(cx);
        if ratio <= SLOWED || others == 0 {
            return;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a few loads at once"
        )]
        let carried = ((others + 1) as f64 / ratio) as usize;
        self.slowed = true;
        self.learn(cx, before, carried.clamp(1, before), listed, so_far);
    }

    /// Takes the length of a load beside which `others` have run.
    pub(crate) fn ended(&mut self, cx: &mut Cx<'_>, listed: Duration, took: Duration, others: usize) {
        let before = self.most(cx);
        let ratio = took.as_secs_f64() / listed.as_secs_f64().max(f64::MIN_POSITIVE);
        // One that began alone and took long was held up by something else than others.
        let now = if ratio > SLOWED && others == 0 {
            before
        } else if ratio > SLOWED {
            self.slowed = true;
            ((others + 1) * 2 / 3).clamp(1, before)
        } else if ratio <= ON_TIME && others + 1 >= before {
            let more = if self.slowed { before + 1 } else { before * 2 };
            more.min(most_at_once(cx))
        } else {
            before
        };
        self.learn(cx, before, now, listed, took);
    }

    fn learn(&mut self, cx: &mut Cx<'_>, before: usize, now: usize, listed: Duration, took: Duration) {
        if now == before {
            return;
        }
        self.learned = Some(now);
        let detail = format!("from={before} took_ms={} listed_ms={}", took.as_millis(), listed.as_millis());
        cx.log_event("loads_at_once", now, detail);
    }
}

/// Returns how many loads are let through at once where the weight store carries them.
fn most_at_once(cx: &Cx<'_>) -> usize {
    (cx.upstreams.engines() / ENGINES_PER_LOAD).max(cx.cfg.limits.loads_at_once as usize)
}
