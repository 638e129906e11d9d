//! Hand-over of engines to other members, to balance their numbers or because this process is leaving.

use std::time::Duration;

use super::{Ownership, own_record};
use crate::authority::EngineUse;
use crate::control::assignment::OwnershipBalance;
use crate::control::context::ReviewContext;
use crate::control::owned_engine::Phase;
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::store::{Expect, OwnerRecord};
use crate::time::Time;

/// How long a hand-over waits for orders in progress before it is cancelled.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
const MIN_CONCURRENT_HANDOVERS: usize = 2;
const MAX_CONCURRENT_HANDOVERS: usize = 8;
/// How many engines beyond the mean a process must own before it hands one over, if the
/// engine receives no orders during the order gap.
const MIN_EXCESS_WITH_ORDER_GAP: usize = 3;
/// Interval between two rounds of hand-overs, before jitter.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(2);

impl Ownership {
    pub(super) fn begin_handovers(&mut self, cx: &mut Cx<'_>, context: &ReviewContext<'_>) {
        let leaving = context.membership.is_leaving();
        let has_few =
            !cx.cfg.timings.order_gap.is_zero() && self.owned_engines.len() < MIN_EXCESS_WITH_ORDER_GAP;
        if !leaving && (has_few || !self.next_handover.is_due(cx.now)) {
            return;
        }
        let mut balance = OwnershipBalance::new(cx.cache, context.eligible);
        let max_handovers = if leaving {
            MAX_CONCURRENT_HANDOVERS
        } else {
            max_concurrent_handovers(balance.excess(&cx.cfg.host))
        };
        if !leaving && !is_worth_order_gap(cx, balance.excess(&cx.cfg.host)) {
            return;
        }
        let in_progress = self.owned_engines.values().filter(|owned| !owned.is_held()).count();
        if in_progress >= max_handovers {
            return;
        }
        let candidates: Vec<UpstreamId> = self.owned_engines.keys().cloned().collect();
        let mut begun = 0;
        for engine in candidates {
            if in_progress + begun >= max_handovers {
                break;
            }
            if !self.can_write(&engine) || self.held(&engine).is_none() {
                continue;
            }
            let assignee = self.assignment.owner(&engine);
            let Some(to) = balance.receiver(&cx.cfg.host, assignee, leaving).cloned() else { continue };
            balance.record_move(&cx.cfg.host, &to);
            begun += 1;
            let until = cx.now.after(DRAIN_TIMEOUT);
            if let Some(owned) = self.owned_engines.get_mut(&engine) {
                owned.phase = Phase::Draining { to, until };
            }
        }
        if begun > 0 {
            self.next_handover = cx.now.after(cx.jitter(HANDOVER_INTERVAL));
        }
    }

    /// Continues the hand-overs that are in progress.
    pub(super) fn advance_handovers(
        &mut self,
        cx: &mut Cx<'_>,
        context: &ReviewContext<'_>,
        engine_use: &dyn EngineUse,
    ) {
        let ids: Vec<UpstreamId> = self
            .owned_engines
            .iter()
            .filter(|(_, owned)| !owned.is_held())
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in ids {
            if self.can_write(&engine) {
                self.advance_handover(cx, context, engine_use, &engine);
            }
        }
    }

    fn advance_handover(
        &mut self,
        cx: &mut Cx<'_>,
        context: &ReviewContext<'_>,
        engine_use: &dyn EngineUse,
        engine: &UpstreamId,
    ) {
        let Some(owned) = self.owned_engines.get_mut(engine) else { return };
        let (to, based_on) = match owned.phase.clone() {
            Phase::Held => return,
            Phase::Draining { to, until } => {
                let is_cancelled = until.is_due(cx.now) && !context.membership.is_leaving();
                if is_cancelled || !context.eligible.contains(&to) {
                    owned.phase = Phase::Held;
                    return;
                }
                if !engine_use.has_no_open_orders(engine) {
                    return;
                }
                let based_on = owned.revision;
                owned.phase = Phase::Transferring { to: to.clone(), based_on, retry_at: Time::NEVER };
                (to, based_on)
            }
            Phase::Transferring { retry_at, .. } if !retry_at.is_due(cx.now) => return,
            Phase::Transferring { to, based_on, .. } => (to, based_on),
        };
        let fence = owned.fence.next();
        let Some(member) = cx.cache.member(&to) else {
            self.cancel_transfer(cx, engine);
            return;
        };
        let next_owner = OwnerRecord { host: to, incarnation: member.incarnation, fence };
        self.write(cx, engine, Expect::At(based_on), Some(next_owner));
    }

    /// Rewrites the own record after the receiver of an unconfirmed transfer is gone,
    /// so that the transfer can no longer take effect.
    fn cancel_transfer(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        let Some(owned) = self.owned_engines.get_mut(engine) else { return };
        let Phase::Transferring { retry_at, based_on, .. } = &mut owned.phase else { return };
        let expect = Expect::At(*based_on);
        if *retry_at == Time::NEVER {
            owned.phase = Phase::Held;
            return;
        }
        *retry_at = cx.now;
        let fence = owned.fence;
        self.write(cx, engine, expect, Some(own_record(cx, fence)));
    }
}

/// Reports whether an imbalance of `excess` engines justifies a hand-over.
///
/// With a configured order gap, an engine receives no orders for that time after a
/// hand-over. A rolling restart would keep every engine without orders for seconds,
/// over and over, so a small imbalance is tolerated.
fn is_worth_order_gap(cx: &Cx<'_>, excess: usize) -> bool {
    cx.cfg.timings.order_gap.is_zero() || excess >= MIN_EXCESS_WITH_ORDER_GAP
}

fn max_concurrent_handovers(excess: usize) -> usize {
    (excess / 4).clamp(MIN_CONCURRENT_HANDOVERS, MAX_CONCURRENT_HANDOVERS)
}
