//! Handing engines over to newcomers, and to everybody when the process leaves.

use std::time::Duration;

use super::{Ownership, own_record};
use crate::authority::EngineUse;
use crate::control::holdings::Phase;
use crate::control::knowledge::Knowledge;
use crate::control::shares::Balance;
use crate::cx::Cx;
use crate::id::UpstreamId;
use crate::store::{Expect, OwnerRecord};
use crate::time::Time;

/// How long a hand-over waits for orders in progress before it is called off.
const SETTLE_WITHIN: Duration = Duration::from_secs(20);
/// How many engines are handed over at a time when little is to be evened out.
const FEWEST_HANDOVERS: usize = 2;
/// How many engines are handed over at a time at most.
const MOST_HANDOVERS: usize = 8;
/// How many engines beyond the mean a process has to own before it hands one over
/// that takes no orders meanwhile.
const EXCESS_WORTH_A_GAP: usize = 3;
/// How long the engines' distribution is left alone after a hand-over.
const HANDOVER_REST: Duration = Duration::from_secs(2);

impl Ownership {
    pub(super) fn begin_handovers(&mut self, cx: &mut Cx<'_>, knowledge: &Knowledge<'_>) {
        let leaving = knowledge.membership.is_leaving();
        let has_few = !cx.cfg.timings.order_gap.is_zero() && self.holdings.len() < EXCESS_WORTH_A_GAP;
        if !leaving && (has_few || !self.next_handover.is_due(cx.now)) {
            return;
        }
        let mut balance = Balance::new(cx.cache, knowledge.eligible);
        let most = if leaving { MOST_HANDOVERS } else { handovers_at_once(balance.excess(&cx.cfg.host)) };
        if !leaving && !is_worth_a_gap(cx, balance.excess(&cx.cfg.host)) {
            return;
        }
        let going = self.holdings.values().filter(|holding| !holding.is_held()).count();
        if going >= most {
            return;
        }
        let candidates: Vec<UpstreamId> = self.holdings.keys().cloned().collect();
        let mut begun = 0;
        for engine in candidates {
            if going + begun >= most {
                break;
            }
            if !self.is_free(&engine) || self.held(&engine).is_none() {
                continue;
            }
            let share = self.shares.owner(&engine);
            let Some(to) = balance.receiver(&cx.cfg.host, share, leaving).cloned() else { continue };
            balance.move_one(&cx.cfg.host, &to);
            begun += 1;
            let until = cx.now.after(SETTLE_WITHIN);
            if let Some(holding) = self.holdings.get_mut(&engine) {
                holding.phase = Phase::Settling { to, until };
            }
        }
        if begun > 0 {
            self.next_handover = cx.now.after(cx.jitter(HANDOVER_REST));
        }
    }

    /// Moves the hand-overs on that have begun.
    pub(super) fn settle_handovers(
        &mut self,
        cx: &mut Cx<'_>,
        knowledge: &Knowledge<'_>,
        engines: &dyn EngineUse,
    ) {
        let ids: Vec<UpstreamId> =
            self.holdings.iter().filter(|(_, h)| !h.is_held()).map(|(engine, _)| engine.clone()).collect();
        for engine in ids {
            if self.is_free(&engine) {
                self.settle_handover(cx, knowledge, engines, &engine);
            }
        }
    }

    fn settle_handover(
        &mut self,
        cx: &mut Cx<'_>,
        knowledge: &Knowledge<'_>,
        engines: &dyn EngineUse,
        engine: &UpstreamId,
    ) {
        let Some(holding) = self.holdings.get_mut(engine) else { return };
        let (to, based_on) = match holding.phase.clone() {
            Phase::Held => return,
            Phase::Settling { to, until } => {
                let called_off = until.is_due(cx.now) && !knowledge.membership.is_leaving();
                if called_off || !knowledge.eligible.contains(&to) {
                    holding.phase = Phase::Held;
                    return;
                }
                if !engines.has_no_open_orders(engine) {
                    return;
                }
                let based_on = holding.revision;
                holding.phase = Phase::Giving { to: to.clone(), based_on, again: Time::NEVER };
                (to, based_on)
            }
            Phase::Giving { again, .. } if !again.is_due(cx.now) => return,
            Phase::Giving { to, based_on, .. } => (to, based_on),
        };
        let fence = holding.fence.next();
        let Some(member) = cx.cache.member(&to) else {
            self.take_back(cx, engine);
            return;
        };
        let owner = OwnerRecord { host: to, incarnation: member.incarnation, fence };
        self.write(cx, engine, Expect::At(based_on), Some(owner));
    }

    /// Ends the doubt about a hand-over whose receiver is gone by writing the own record anew.
    fn take_back(&mut self, cx: &mut Cx<'_>, engine: &UpstreamId) {
        let Some(holding) = self.holdings.get_mut(engine) else { return };
        let Phase::Giving { again, based_on, .. } = &mut holding.phase else { return };
        let expect = Expect::At(*based_on);
        if *again == Time::NEVER {
            holding.phase = Phase::Held;
            return;
        }
        *again = cx.now;
        let fence = holding.fence;
        self.write(cx, engine, expect, Some(own_record(cx, fence)));
    }
}

/// Tells whether evening the numbers out is worth what it costs.
///
/// Where the orders of two owners have to lie apart, an engine that changes
/// hands takes none for that time. Hosts that restart one after the other would
/// keep every engine without orders for seconds, over and over; so a few engines
/// more than others have are kept.
fn is_worth_a_gap(cx: &Cx<'_>, excess: usize) -> bool {
    cx.cfg.timings.order_gap.is_zero() || excess >= EXCESS_WORTH_A_GAP
}

fn handovers_at_once(excess: usize) -> usize {
    (excess / 4).clamp(FEWEST_HANDOVERS, MOST_HANDOVERS)
}
