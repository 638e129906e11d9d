//! What peers tell: who waits for which model, what is used, and what the weight store's gate says.

use std::time::Duration;

use super::{Loading, answer, decide, views};
use crate::authority::Authority;
use crate::catalogue::ModelTarget;
use crate::cx::Cx;
use crate::id::{HostId, ModelName, UpstreamId};
use crate::loading::demand::Wanted;
use crate::loading::usage::Counted;
use crate::peer::{CannotLoad, PeerMessage};
use crate::time::Time;

impl Loading {
    /// Takes a peer's message, where it concerns this part.
    pub fn on_peer(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        from: &HostId,
        message: &PeerMessage,
    ) {
        self.pacing.on_peer(cx, from, message);
        match message {
            PeerMessage::Used { target, arrived, late, run_time, waited_for } => {
                self.usage.count(
                    cx.now,
                    &target.model,
                    Counted { arrived: *arrived, late: *late, run_time: *run_time },
                );
                self.unserved.asked(cx.now, target, *arrived, *run_time);
                self.note_use(cx, &target.model);
                self.note_adapter_use(cx.now, target);
                self.demand.listens(cx.now, from, &target.model, &cx.cfg.timings);
                if !*waited_for {
                    self.demand.satisfied(from, target);
                }
            }
            PeerMessage::Wanted { target, waiting, order, max_wait: patience, soft_deadline: aim } => {
                if *waiting > 0 {
                    self.history.used(cx.now, &target.model);
                }
                self.note_adapter_use(cx.now, target);
                let wanted =
                    Wanted { from, target, waiting: *waiting, order: *order, patience: *patience, aim: *aim };
                if let Some(busy) = self.busy(cx, authority, &wanted) {
                    self.demand.wanted(cx.now, Wanted { waiting: 0, ..wanted }, &cx.cfg.timings);
                    return cx.send(from, busy);
                }
                self.demand.wanted(cx.now, wanted, &cx.cfg.timings);
                self.answer_wanted(cx, authority, &wanted);
            }
            PeerMessage::PowerWanted { site, .. } => self.shortages.called(cx.now, site),
            PeerMessage::ReservationWanted { upstream, max_wait: patience } => {
                let Some(engine) = self.engines.get_mut(upstream) else { return };
                engine.reservation.wanted(cx.now, from, *patience);
                views::tell_changes(cx, engine, &self.demand);
                views::tell_one(cx, engine, from);
            }
            PeerMessage::ReservationReturned { upstream } => {
                let Some(engine) = self.engines.get_mut(upstream) else { return };
                engine.reservation.returned(from);
                views::tell_changes(cx, engine, &self.demand);
            }
            _ => {}
        }
    }

    /// Takes note that requests of a router run.
    ///
    /// Requests that don't wait are only told now and then, and are seen in the
    /// engine's reports before that, unless they are short.
    fn note_use(&mut self, cx: &Cx<'_>, model: &ModelName) {
        let told_every = cx.cfg.timings.usage_every;
        let unseen = self.history.last(model).is_none_or(|last| last.after(told_every).is_due(cx.now));
        if unseen {
            self.history.used(cx.now, model);
        }
    }

    fn note_adapter_use(&mut self, now: Time, target: &ModelTarget) {
        let Some(adapter) = &target.adapter else { return };
        for engine in self.engines.values_mut().filter(|engine| engine.is_one_by_one()) {
            engine.adapter_uses.insert((target.model.clone(), adapter.clone()), now);
        }
    }

    /// Says that a target would come later than those who wait would like, where another home may be faster.
    fn busy(
        &mut self,
        cx: &mut Cx<'_>,
        authority: &dyn Authority,
        wanted: &Wanted<'_>,
    ) -> Option<PeerMessage> {
        let aim = wanted.aim.filter(|_| wanted.waiting > 0)?;
        let model = &wanted.target.model;
        let homes = cx.cache.homes(model).map_or(0, |(_, homes)| homes.engines.len());
        let concerned = self.engines.values().filter(|engine| authority.is_home(&engine.id, model));
        let concerned: Vec<UpstreamId> = concerned.map(|engine| engine.id.clone()).collect();
        if homes < 2 || concerned.is_empty() || concerned.iter().any(|id| !self.engines[id].is_one_by_one()) {
            return None;
        }
        let own = self.demand.with(cx.now, wanted);
        let mut soonest = Duration::MAX;
        for id in &concerned {
            self.with_engine(cx, authority, id, |cx, engine, beside| {
                soonest = soonest.min(answer::price(cx, engine, beside, model, &own));
            });
        }
        let (target, retry_after) = (wanted.target.clone(), soonest);
        (soonest > aim).then_some(PeerMessage::CannotLoad { target, reason: CannotLoad::Busy, retry_after })
    }

    /// Acts on a router's word at once and tells it how matters stand.
    fn answer_wanted(&mut self, cx: &mut Cx<'_>, authority: &dyn Authority, wanted: &Wanted<'_>) {
        let model = &wanted.target.model;
        let concerned: Vec<UpstreamId> = self
            .engines
            .values()
            .filter(|engine| authority.is_home(&engine.id, model) || engine.model(model).is_some())
            .map(|engine| engine.id.clone())
            .collect();
        let mut verdicts = Vec::new();
        for id in &concerned {
            self.with_engine(cx, authority, id, |cx, engine, beside| {
                decide(cx, engine, beside);
                views::tell_changes(cx, engine, beside.demand);
                views::tell_one(cx, engine, wanted.from);
                verdicts.push(answer::assess(cx, engine, beside, wanted));
            });
        }
        let Some(refusal) = answer::refusal(&verdicts, wanted) else { return };
        if let PeerMessage::CannotLoad { reason: CannotLoad::TooSlow, retry_after, .. } = &refusal {
            self.demand.promise(cx.now, wanted, *retry_after);
        }
        cx.send(wanted.from, refusal);
    }
}
