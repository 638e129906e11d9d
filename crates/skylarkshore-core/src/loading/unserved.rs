//! Models that callers ask for again and again and that no engine has had since.
//!
//! Each host sees few of the callers of a rarely used model, so that none of
//! them could tell that all of them are refused. The owner of the model's first
//! home is told of every request at every host, and knows from the list which
//! engines hold what.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::ModelName;
use crate::time::Time;
use crate::upstream::{Standing, Upstream};

/// How long a model has to be asked for in vain before it is told of; a load from a copy takes a second.
const TOLD_AFTER: Duration = Duration::from_secs(8);
/// How often a model is told of while that lasts.
const TOLD_EVERY: Duration = Duration::from_secs(10);
/// From how many requests on it is told of.
const ASKED_LEAST: u32 = 4;
/// How often the models are looked at; the list changes about as often.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// A time in which a model was asked for, and no engine held it.
#[derive(Clone, Copy, Debug)]
struct Spell {
    since: Time,
    asked: u32,
    next_told: Time,
}

/// The models that are asked for in vain, as far as this process looks after their first home.
#[derive(Debug, Default)]
pub(crate) struct Unserved {
    spells: OrderedMap<ModelName, Spell>,
    next_look: Time,
}

impl Unserved {
    /// Takes note of requests that arrived at a router.
    pub(crate) fn asked(&mut self, now: Time, model: &ModelName, arrived: u32) {
        if arrived == 0 {
            return;
        }
        let spell = self.spells.entry(model.clone()).or_insert(Spell {
            since: now,
            asked: 0,
            next_told: now.after(TOLD_AFTER),
        });
        spell.asked = spell.asked.saturating_add(arrived);
    }

    /// Forgets the models that an engine holds, and tells the operators of those that were asked for in vain.
    pub(crate) fn look(&mut self, cx: &mut Cx<'_>, is_own: impl Fn(&ModelName) -> bool) {
        if !self.next_look.is_due(cx.now) {
            return;
        }
        self.next_look = cx.now.after(LOOK_EVERY);
        self.spells.retain(|model, _| is_own(model) && !live(cx).any(|known| known.holds.contains(model)));
        for (model, spell) in &mut self.spells {
            if spell.asked < ASKED_LEAST || !spell.next_told.is_due(cx.now) {
                continue;
            }
            spell.next_told = cx.now.after(TOLD_EVERY);
            let copies = live(cx).filter(|known| known.copies.has(model)).count();
            let lasts = cx.now.since(spell.since).as_millis();
            cx.note("model_unserved", model, format!("asked={} for_ms={lasts} copies={copies}", spell.asked));
        }
    }

    /// Returns how many models have been asked for in vain for long enough to be told of.
    pub(crate) fn len(&self) -> usize {
        let is_told =
            |spell: &&Spell| spell.asked >= ASKED_LEAST && spell.next_told > spell.since.after(TOLD_AFTER);
        self.spells.values().filter(is_told).count()
    }
}

fn live<'a>(cx: &Cx<'a>) -> impl Iterator<Item = &'a Upstream> {
    cx.upstreams.values().filter(|known| known.standing == Standing::Live)
}
