//! Models and adapters that callers ask for again and again and none of whose requests has run since.
//!
//! Each host sees few of the callers of a rarely used model, so that none of
//! them could tell that all of them are refused. The owner of the model's first
//! home is told of every request at every host and of what has run, and knows
//! from the list which engines hold what.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::time::Time;

/// How long a target has to be asked for in vain before it is told of; a load from a copy takes a second.
const TOLD_AFTER: Duration = Duration::from_secs(8);
/// How often a target is told of while that lasts.
const TOLD_EVERY: Duration = Duration::from_secs(10);
/// From how many requests on it is told of.
const ASKED_LEAST: u32 = 4;
/// How often the targets are looked at; the list changes about as often.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// A time in which a target was asked for, and no request for it ran.
#[derive(Clone, Copy, Debug)]
struct Spell {
    since: Time,
    asked: u32,
    next_told: Time,
}

/// The targets that are asked for in vain, as far as this process looks after their first home.
#[derive(Debug, Default)]
pub(crate) struct Unserved {
    spells: OrderedMap<ModelTarget, Spell>,
    next_look: Time,
}

impl Unserved {
    /// Takes note of requests that arrived at a router, and of those that ran.
    pub(crate) fn asked(&mut self, now: Time, target: &ModelTarget, arrived: u32, run_time: Duration) {
        let base = ModelTarget { model: target.model.clone(), adapter: None };
        if run_time > Duration::ZERO {
            self.spells.remove(&base);
            self.spells.remove(target);
        } else if arrived > 0 {
            self.count(now, &base, arrived);
            if target.adapter.is_some() {
                self.count(now, target, arrived);
            }
        }
    }

    fn count(&mut self, now: Time, target: &ModelTarget, arrived: u32) {
        let next_told = now.after(TOLD_AFTER);
        let spell = self.spells.entry(target.clone()).or_insert(Spell { since: now, asked: 0, next_told });
        spell.asked = spell.asked.saturating_add(arrived);
    }

    /// Forgets the models that an engine holds, and tells the operators of targets that were asked for in vain.
    ///
    /// An adapter is told of only where its base is held; else the base is.
    pub(crate) fn look(&mut self, cx: &mut Cx<'_>, is_own: impl Fn(&ModelName) -> bool) {
        if !self.next_look.is_due(cx.now) {
            return;
        }
        self.next_look = cx.now.after(LOOK_EVERY);
        let upstreams = cx.upstreams;
        let is_held = |model: &ModelName| upstreams.holders(model).next().is_some();
        self.spells.retain(|target, _| {
            is_own(&target.model) && (target.adapter.is_some() || !is_held(&target.model))
        });
        for (target, spell) in &mut self.spells {
            let is_base_missing = target.adapter.is_some() && !is_held(&target.model);
            if is_base_missing || spell.asked < ASKED_LEAST || !spell.next_told.is_due(cx.now) {
                continue;
            }
            spell.next_told = cx.now.after(TOLD_EVERY);
            let copies = upstreams.engines_with_weights(&target.model).count();
            let lasts = cx.now.since(spell.since).as_millis();
            cx.log_event(
                "model_unserved",
                target,
                format!("asked={} for_ms={lasts} copies={copies}", spell.asked),
            );
        }
    }

    /// Returns how many targets have been asked for in vain for long enough to be told of.
    pub(crate) fn len(&self) -> usize {
        let is_told =
            |spell: &&Spell| spell.asked >= ASKED_LEAST && spell.next_told > spell.since.after(TOLD_AFTER);
        self.spells.values().filter(is_told).count()
    }
}
