//! The orders of one engine whose outcome isn't known yet, and the memory they may take.

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::dump::DumpEntry;
use crate::id::{AdapterName, ModelName, OrderId, UpstreamId};
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{EngineReport, Order, OrderAnswer, ReportedModel};

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// No answer yet.
    InFlight,
    /// The engine took it.
    Accepted { at: Time },
    /// Nothing was heard of it.
    Unanswered,
}

/// An order that a report has to settle.
#[derive(Clone, Debug)]
struct PendingOrder {
    action: Order,
    sent: Time,
    /// How many orders the engine had accepted before this one, where it numbers them.
    after: Option<u64>,
    progress: Progress,
    /// When a copy of it was last given up for lost; that copy may still arrive.
    lost: Option<Time>,
    /// The life of the engine that it was meant for.
    life: Life,
}

/// Whether an order was meant for the engine's present life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Present,
    Former,
}

impl PendingOrder {
    fn unsettled(&self, id: OrderId) -> UnsettledOrder<'_> {
        let resend = self.progress == Progress::Unanswered;
        UnsettledOrder { id, action: &self.action, sent: self.sent, resend }
    }
}

/// What an answer tells about its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answered {
    /// The engine took it; reports will show what becomes of it.
    Accepted,
    /// The engine has carried it out.
    Done,
    /// The engine did nothing, and no copy of the order is on its way.
    NotDone,
    /// It may have been carried out or may still be.
    InDoubt,
}

/// An order that isn't in doubt any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Settled {
    /// The order.
    pub action: Order,
    /// Whether the report shows what it asked for.
    pub shown: bool,
}

/// The unsettled orders of one engine.
///
/// An order whose answer is lost may still be carried out. If its memory were
/// given to another model meanwhile, the engine would be overcommitted and kill
/// requests for want of memory; so every order keeps its memory here until a
/// report that was asked late enough settles it.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    orders: OrderedMap<OrderId, PendingOrder>,
}

impl Ledger {
    /// Enters an order that is about to be sent, or sent once more.
    ///
    /// Returns how many orders the engine must have accepted before it: the same
    /// number for every copy, so that at most one of them takes effect.
    pub(crate) fn begin(
        &mut self,
        order: OrderId,
        action: Order,
        after: Option<u64>,
        now: Time,
    ) -> Option<u64> {
        let earlier = self.orders.get(&order);
        let lost = earlier.and_then(|pending| pending.lost);
        let after = earlier.map_or(after, |pending| pending.after);
        self.orders.insert(
            order,
            PendingOrder {
                action,
                sent: now,
                after,
                progress: Progress::InFlight,
                lost,
                life: Life::Present,
            },
        );
        after
    }

    /// Takes an answer over; none if the order isn't known any more.
    pub(crate) fn answer(
        &mut self,
        order: OrderId,
        answer: &OrderAnswer,
        now: Time,
    ) -> Option<(Order, Answered)> {
        let pending = self.orders.get_mut(&order)?;
        if pending.life == Life::Former {
            return None;
        }
        let action = pending.action.clone();
        match answer {
            OrderAnswer::Accepted => {
                pending.progress = Progress::Accepted { at: now };
                Some((action, Answered::Accepted))
            }
            OrderAnswer::Done => {
                self.orders.remove(&order);
                Some((action, Answered::Done))
            }
            OrderAnswer::Lost => {
                pending.progress = Progress::Unanswered;
                pending.lost = Some(now);
                Some((action, Answered::InDoubt))
            }
            // An earlier copy of the same order may still be on its way.
            _ if pending.lost.is_some() => {
                pending.progress = Progress::Unanswered;
                Some((action, Answered::InDoubt))
            }
            _ => {
                self.orders.remove(&order);
                Some((action, Answered::NotDone))
            }
        }
    }

    /// Ends the numbered orders of an engine's former life.
    ///
    /// A new life counts from zero. Were they sent again, it would refuse them for
    /// their numbers, and nothing else could be loaded for as long as they are in
    /// doubt. One that no answer came to may still be on its way, though, and the
    /// new life may have the same name and reach the number that it states. Were
    /// its memory given away, that load would be one too many and end the engine
    /// with all that runs on it; so the memory stays reserved.
    pub(crate) fn begin_life(&mut self) {
        let is_over = |pending: &PendingOrder| {
            pending.after.is_some() && matches!(pending.progress, Progress::Accepted { .. })
        };
        self.orders.retain(|_, pending| !is_over(pending));
        for pending in self.orders.values_mut().filter(|pending| pending.after.is_some()) {
            pending.life = Life::Former;
            pending.progress = Progress::Unanswered;
            pending.lost = pending.lost.max(Some(pending.sent));
        }
    }

    /// Returns the orders that were meant for the engine's present life.
    fn present(&self) -> impl Iterator<Item = (&OrderId, &PendingOrder)> {
        self.orders.iter().filter(|(_, pending)| pending.life == Life::Present)
    }

    /// Gives up for lost what was sent too long ago to be answered any more.
    pub(crate) fn expire(&mut self, now: Time, patience: Duration) -> usize {
        let mut expired = 0;
        for pending in self.orders.values_mut() {
            if pending.progress == Progress::InFlight && pending.sent.after(patience).is_due(now) {
                pending.progress = Progress::Unanswered;
                pending.lost = Some(now);
                expired += 1;
            }
        }
        expired
    }

    /// Takes out what the report, asked for at `asked`, settles.
    pub(crate) fn settle(&mut self, report: &EngineReport, asked: Time, settle: Duration) -> Vec<Settled> {
        let is_settled = |order: &OrderId, pending: &mut PendingOrder| {
            let named = report.finished_orders.contains(order);
            if let Some((accepted, after)) = report.accepted.zip(pending.after) {
                let taken = accepted > after && asked >= pending.sent && !report.busy;
                let expired = pending.lost.is_some_and(|lost| asked >= lost.after(settle));
                return taken || expired && !matches!(pending.progress, Progress::InFlight);
            }
            match (pending.progress, pending.lost) {
                (Progress::InFlight, _) => false,
                (Progress::Accepted { at }, None) => asked >= at,
                (Progress::Accepted { at }, Some(lost)) => {
                    asked >= at && (named || asked >= lost.after(settle))
                }
                (Progress::Unanswered, Some(lost)) => asked >= lost && (named || asked >= lost.after(settle)),
                (Progress::Unanswered, None) => true,
            }
        };
        self.orders
            .extract_if(.., is_settled)
            .map(|(_, pending)| Settled { shown: is_shown(report, &pending.action), action: pending.action })
            .collect()
    }

    /// Returns the memory that unsettled orders may take beside what the report shows.
    ///
    /// A load of `model` that was meant for a former life doesn't count: it would
    /// only be doubled.
    pub(crate) fn reserved(&self, report: Option<&EngineReport>, model: Option<&ModelName>) -> Mebibytes {
        let mut models: OrderedMap<&ModelName, Mebibytes> = OrderedMap::new();
        let mut adapters: OrderedMap<(&ModelName, &AdapterName), Mebibytes> = OrderedMap::new();
        for pending in self.orders.values() {
            if pending.life == Life::Former && model_of(&pending.action) == model {
                continue;
            }
            match &pending.action {
                Order::Load { model, memory, .. } => {
                    let shown = find(report, model).map_or(Mebibytes(0), |seen| seen.memory);
                    let entry = models.entry(model).or_default();
                    *entry = (*entry).max(memory.saturating_sub(shown));
                }
                Order::LoadAdapter { model, adapter, memory } if !has_adapter(report, model, adapter) => {
                    adapters.insert((model, adapter), *memory);
                }
                _ => {}
            }
        }
        models.into_values().chain(adapters.into_values()).sum()
    }

    /// Tells which orders the engine has yet to answer or to carry out.
    pub(crate) fn dump_entries(&self, engine: &UpstreamId) -> impl Iterator<Item = DumpEntry> {
        self.orders.iter().map(move |(id, pending)| {
            let progress = match pending.progress {
                Progress::InFlight => "on its way",
                Progress::Accepted { .. } => "taken",
                Progress::Unanswered => "in doubt",
            };
            let state = format!("order {id}, {progress}: {:?}", pending.action);
            DumpEntry { kind: "order", subject: engine.to_string(), state, since: Some(pending.sent) }
        })
    }

    /// Tells whether no order is in progress or in doubt.
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns an unsettled order for the model with its number, if there is one that `wanted` accepts.
    pub(crate) fn find(&self, model: &ModelName, wanted: fn(&Order) -> bool) -> Option<UnsettledOrder<'_>> {
        self.present()
            .find(|(_, pending)| model_of(&pending.action) == Some(model) && wanted(&pending.action))
            .map(|(id, pending)| pending.unsettled(*id))
    }

    /// Returns an unsettled order that loads or unloads the adapter.
    pub(crate) fn find_adapter(
        &self,
        model: &ModelName,
        adapter: &AdapterName,
    ) -> Option<UnsettledOrder<'_>> {
        let is_it = |action: &Order| match action {
            Order::LoadAdapter { model: base, adapter: name, .. }
            | Order::UnloadAdapter { model: base, adapter: name } => base == model && name == adapter,
            _ => false,
        };
        let found = self.present().find(|(_, pending)| is_it(&pending.action));
        found.map(|(id, pending)| pending.unsettled(*id))
    }

    /// Tells whether an unsettled order concerns the model.
    pub(crate) fn concerns(&self, model: &ModelName) -> bool {
        self.present().any(|(_, pending)| model_of(&pending.action) == Some(model))
    }

    /// Tells whether an order that loads or unloads a base model isn't settled.
    pub(crate) fn has_model_order(&self) -> bool {
        self.present().any(|(_, pending)| matches!(pending.action, Order::Load { .. } | Order::Unload { .. }))
    }

    /// Returns the model whose unload the engine accepted, if that is the only order for a base model,
    /// and when it was sent.
    pub(crate) fn accepted_unload(&self) -> Option<(&ModelName, Time)> {
        let mut orders = self
            .present()
            .map(|(_, pending)| pending)
            .filter(|pending| matches!(pending.action, Order::Load { .. } | Order::Unload { .. }));
        let only = orders.next().filter(|_| orders.next().is_none())?;
        match (&only.action, only.progress) {
            (Order::Unload { model }, Progress::Accepted { .. }) => Some((model, only.sent)),
            _ => None,
        }
    }

    /// Takes out the unloads that were accepted, and returns their models and when they were sent.
    pub(crate) fn finish_unloads(&mut self) -> Vec<(ModelName, Time)> {
        let is_over = |_: &OrderId, pending: &mut PendingOrder| {
            matches!(pending.action, Order::Unload { .. })
                && matches!(pending.progress, Progress::Accepted { .. })
                && pending.life == Life::Present
        };
        let over = self.orders.extract_if(.., is_over);
        over.filter_map(|(_, pending)| Some((model_of(&pending.action)?.clone(), pending.sent))).collect()
    }

    /// Tells whether the engine accepted a load of a model.
    pub(crate) fn has_accepted_load(&self, model: &ModelName) -> bool {
        self.present().any(|(_, pending)| {
            let is_it = matches!(&pending.action, Order::Load { model: named, .. } if named == model);
            is_it && matches!(pending.progress, Progress::Accepted { .. })
        })
    }

    /// Tells whether an order to load the model or its adapters is on its way or was accepted.
    pub(crate) fn is_loading(&self, model: &ModelName) -> bool {
        self.present().any(|(_, pending)| {
            let is_load = matches!(pending.action, Order::Load { .. } | Order::LoadAdapter { .. });
            is_load && model_of(&pending.action) == Some(model) && pending.progress != Progress::Unanswered
        })
    }

    /// Takes out the load of a model that has ended; returns it.
    pub(crate) fn finish_load(&mut self, model: &ModelName) -> Option<Order> {
        let is_it = |pending: &PendingOrder| matches!(&pending.action, Order::Load { model: named, .. } if named == model);
        let id = self.present().find(|(_, pending)| is_it(pending)).map(|(id, _)| *id)?;
        self.orders.remove(&id).map(|pending| pending.action)
    }

    /// Tells whether any order hasn't been answered.
    pub(crate) fn has_unanswered(&self) -> bool {
        self.present().any(|(_, pending)| !matches!(pending.progress, Progress::Accepted { .. }))
    }

    /// Returns the adapters that unsettled orders load.
    pub(crate) fn adapters_loading(&self) -> impl Iterator<Item = (ModelName, AdapterName)> {
        self.orders.values().filter_map(|pending| match &pending.action {
            Order::LoadAdapter { model, adapter, .. } => Some((model.clone(), adapter.clone())),
            _ => None,
        })
    }

    /// Returns the adapters whose loads were accepted, and when.
    pub(crate) fn accepted_adapters(&self) -> impl Iterator<Item = (&ModelName, &AdapterName, Time)> {
        self.orders.values().filter_map(|pending| match (&pending.action, pending.progress) {
            (Order::LoadAdapter { model, adapter, .. }, Progress::Accepted { at }) => {
                Some((model, adapter, at))
            }
            _ => None,
        })
    }

    /// Tells whether an order that takes memory hasn't been answered.
    ///
    /// There is at most one at a time, so that whoever takes the engine over
    /// knows that no more than one late order can be on its way.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.present().any(|(_, pending)| {
            matches!(pending.action, Order::Load { .. } | Order::LoadAdapter { .. })
                && !matches!(pending.progress, Progress::Accepted { .. })
        })
    }
}

/// An order whose outcome isn't known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnsettledOrder<'a> {
    /// Its number.
    pub id: OrderId,
    /// What it asks for.
    pub action: &'a Order,
    /// When it was last sent.
    pub sent: Time,
    /// Whether its answer was lost, so that it may be sent again.
    pub resend: bool,
}

/// Returns the model that an order is about.
pub(crate) const fn model_of(action: &Order) -> Option<&ModelName> {
    match action {
        Order::RaiseFence => None,
        Order::Load { model, .. }
        | Order::LoadAdapter { model, .. }
        | Order::Unload { model }
        | Order::UnloadAdapter { model, .. } => Some(model),
    }
}

/// Finds a model in a report.
pub(crate) fn find<'a>(report: Option<&'a EngineReport>, model: &ModelName) -> Option<&'a ReportedModel> {
    report?.models.iter().find(|seen| seen.model == *model)
}

fn has_adapter(report: Option<&EngineReport>, model: &ModelName, adapter: &AdapterName) -> bool {
    find(report, model).is_some_and(|seen| seen.adapters.iter().any(|a| a.adapter == *adapter))
}

fn is_shown(report: &EngineReport, action: &Order) -> bool {
    let report = Some(report);
    match action {
        Order::RaiseFence => true,
        Order::Load { model, .. } => find(report, model).is_some(),
        Order::Unload { model } => find(report, model).is_none(),
        Order::LoadAdapter { model, adapter, .. } => has_adapter(report, model, adapter),
        Order::UnloadAdapter { model, adapter } => !has_adapter(report, model, adapter),
    }
}
