//! Orders of one engine whose outcome is unknown, and the memory reserved for them.
//! See [`PendingOrders`].

use std::time::Duration;

use crate::collections::OrderedMap;
use crate::dump::DumpEntry;
use crate::id::{AdapterName, ModelName, OrderId, UpstreamId};
use crate::time::Time;
use crate::units::Mebibytes;
use crate::upstream::{EngineReport, Order, OrderAnswer, ReportedModel};

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Sent, not answered yet.
    InFlight,
    /// Accepted by the engine.
    Accepted { at: Time },
    /// The answer was lost.
    Unanswered,
}

/// An order that waits for a report to settle it.
#[derive(Clone, Debug)]
struct PendingOrder {
    action: Order,
    sent: Time,
    /// How many orders a counting engine must have accepted before this one.
    after: Option<u64>,
    progress: Progress,
    /// When a message with the order was last given up as lost; it may still arrive.
    lost: Option<Time>,
    /// The incarnation that the order was sent to.
    target: TargetIncarnation,
}

/// Whether an order was sent to the engine's current incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetIncarnation {
    Current,
    Former,
}

impl PendingOrder {
    fn order_ref(&self, id: OrderId) -> PendingOrderRef<'_> {
        let resend = self.progress == Progress::Unanswered;
        PendingOrderRef { id, action: &self.action, sent: self.sent, resend }
    }
}

/// The effect of an answer on its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answered {
    /// Accepted; reports will show the result.
    Accepted,
    /// Carried out.
    Done,
    /// Not carried out, and no earlier message with the order is in flight.
    NotDone,
    /// Possibly carried out, now or later.
    InDoubt,
}

/// An order that is no longer in doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResolvedOrder {
    /// The order.
    pub action: Order,
    /// Whether the report shows its result.
    pub shown: bool,
}

/// The pending orders of one engine.
///
/// An order whose answer is lost may still be executed. If its memory were given to
/// another model, the engine would be overcommitted and abort requests. Each order
/// therefore reserves its memory until a report requested late enough settles it.
#[derive(Debug, Default)]
pub(crate) struct PendingOrders {
    orders: OrderedMap<OrderId, PendingOrder>,
}

impl PendingOrders {
    /// Records an order that is about to be sent or resent.
    ///
    /// Returns how many orders the engine must have accepted before it. All messages
    /// with an order carry the same number, so that at most one takes effect.
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
                target: TargetIncarnation::Current,
            },
        );
        after
    }

    /// Applies an answer; returns none if the order is unknown.
    pub(crate) fn answer(
        &mut self,
        order: OrderId,
        answer: &OrderAnswer,
        now: Time,
    ) -> Option<(Order, Answered)> {
        let pending = self.orders.get_mut(&order)?;
        if pending.target == TargetIncarnation::Former {
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
            // An earlier message with the order may still be in flight.
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

    /// Moves the counted orders to the previous incarnation.
    ///
    /// A new incarnation counts from zero. Resent orders would be refused for their
    /// numbers, and nothing else could be loaded while they are in doubt.
    ///
    /// An unanswered order may still be in flight, and the new incarnation may have
    /// the same name and reach the number in that order. If its memory were given
    /// away, that load would overcommit the engine and crash it with all its
    /// requests. Its memory therefore stays reserved.
    pub(crate) fn begin_incarnation(&mut self) {
        let is_over = |pending: &PendingOrder| {
            pending.after.is_some() && matches!(pending.progress, Progress::Accepted { .. })
        };
        self.orders.retain(|_, pending| !is_over(pending));
        for pending in self.orders.values_mut().filter(|pending| pending.after.is_some()) {
            pending.target = TargetIncarnation::Former;
            pending.progress = Progress::Unanswered;
            pending.lost = pending.lost.max(Some(pending.sent));
        }
    }

    /// Returns the orders sent to the current incarnation.
    fn current(&self) -> impl Iterator<Item = (&OrderId, &PendingOrder)> {
        self.orders.iter().filter(|(_, pending)| pending.target == TargetIncarnation::Current)
    }

    /// Marks orders as lost that were sent too long ago to be answered.
    pub(crate) fn expire(&mut self, now: Time, max_wait: Duration) -> usize {
        let mut expired = 0;
        for pending in self.orders.values_mut() {
            if pending.progress == Progress::InFlight && pending.sent.after(max_wait).is_due(now) {
                pending.progress = Progress::Unanswered;
                pending.lost = Some(now);
                expired += 1;
            }
        }
        expired
    }

    /// Removes the orders that the report, requested at `as_of`, settles.
    ///
    /// If a message with an order was lost, the order is settled when the report names
    /// or counts it, or when `grace` has passed since the loss.
    pub(crate) fn resolve(
        &mut self,
        report: &EngineReport,
        as_of: Time,
        grace: Duration,
    ) -> Vec<ResolvedOrder> {
        let is_resolved = |order: &OrderId, pending: &mut PendingOrder| {
            let named = report.finished_orders.contains(order);
            if let Some((accepted, after)) = report.accepted.zip(pending.after) {
                let counted = accepted > after && as_of >= pending.sent && !report.busy;
                let expired = pending.lost.is_some_and(|lost| as_of >= lost.after(grace));
                return counted || expired && !matches!(pending.progress, Progress::InFlight);
            }
            match (pending.progress, pending.lost) {
                (Progress::InFlight, _) => false,
                (Progress::Accepted { at }, None) => as_of >= at,
                (Progress::Accepted { at }, Some(lost)) => {
                    as_of >= at && (named || as_of >= lost.after(grace))
                }
                (Progress::Unanswered, Some(lost)) => as_of >= lost && (named || as_of >= lost.after(grace)),
                (Progress::Unanswered, None) => true,
            }
        };
        self.orders
            .extract_if(.., is_resolved)
            .map(|(_, pending)| ResolvedOrder {
                shown: is_shown(report, &pending.action),
                action: pending.action,
            })
            .collect()
    }

    /// Returns the memory that pending orders may take beyond what the report shows.
    ///
    /// A load of `model` sent to a previous incarnation is excluded, because a
    /// second load of the same model has no effect.
    pub(crate) fn reserved(&self, report: Option<&EngineReport>, model: Option<&ModelName>) -> Mebibytes {
        let mut models: OrderedMap<&ModelName, Mebibytes> = OrderedMap::new();
        let mut adapters: OrderedMap<(&ModelName, &AdapterName), Mebibytes> = OrderedMap::new();
        for pending in self.orders.values() {
            if pending.target == TargetIncarnation::Former && model_of(&pending.action) == model {
                continue;
            }
            match &pending.action {
                Order::Load { model, memory, .. } => {
                    let shown = find(report, model).map_or(Mebibytes(0), |reported| reported.memory);
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

    /// Returns the pending orders for the state dump.
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

    /// Reports whether no order is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns a pending order for the model that matches `wanted`.
    pub(crate) fn find(&self, model: &ModelName, wanted: fn(&Order) -> bool) -> Option<PendingOrderRef<'_>> {
        self.current()
            .find(|(_, pending)| model_of(&pending.action) == Some(model) && wanted(&pending.action))
            .map(|(id, pending)| pending.order_ref(*id))
    }

    /// Returns a pending order that loads or unloads the adapter.
    pub(crate) fn find_adapter(
        &self,
        model: &ModelName,
        adapter: &AdapterName,
    ) -> Option<PendingOrderRef<'_>> {
        let is_match = |action: &Order| match action {
            Order::LoadAdapter { model: base, adapter: name, .. }
            | Order::UnloadAdapter { model: base, adapter: name } => base == model && name == adapter,
            _ => false,
        };
        let found = self.current().find(|(_, pending)| is_match(&pending.action));
        found.map(|(id, pending)| pending.order_ref(*id))
    }

    /// Reports whether an order for the model is pending.
    pub(crate) fn concerns(&self, model: &ModelName) -> bool {
        self.current().any(|(_, pending)| model_of(&pending.action) == Some(model))
    }

    /// Reports whether a load or unload of a base model is pending.
    pub(crate) fn has_model_order(&self) -> bool {
        self.current().any(|(_, pending)| matches!(pending.action, Order::Load { .. } | Order::Unload { .. }))
    }

    /// Returns the model of an accepted unload and when it was sent, if no other
    /// base-model order is pending.
    pub(crate) fn accepted_unload(&self) -> Option<(&ModelName, Time)> {
        let mut orders = self
            .current()
            .map(|(_, pending)| pending)
            .filter(|pending| matches!(pending.action, Order::Load { .. } | Order::Unload { .. }));
        let only = orders.next().filter(|_| orders.next().is_none())?;
        match (&only.action, only.progress) {
            (Order::Unload { model }, Progress::Accepted { .. }) => Some((model, only.sent)),
            _ => None,
        }
    }

    /// Removes the accepted unloads; returns their models and when they were sent.
    pub(crate) fn finish_unloads(&mut self) -> Vec<(ModelName, Time)> {
        let is_over = |_: &OrderId, pending: &mut PendingOrder| {
            matches!(pending.action, Order::Unload { .. })
                && matches!(pending.progress, Progress::Accepted { .. })
                && pending.target == TargetIncarnation::Current
        };
        let over = self.orders.extract_if(.., is_over);
        over.filter_map(|(_, pending)| Some((model_of(&pending.action)?.clone(), pending.sent))).collect()
    }

    /// Reports whether the engine accepted a load of the model.
    pub(crate) fn has_accepted_load(&self, model: &ModelName) -> bool {
        self.current().any(|(_, pending)| {
            let is_match = matches!(&pending.action, Order::Load { model: named, .. } if named == model);
            is_match && matches!(pending.progress, Progress::Accepted { .. })
        })
    }

    /// Reports whether a load of the model or its adapters is in flight or accepted.
    pub(crate) fn is_loading(&self, model: &ModelName) -> bool {
        self.current().any(|(_, pending)| {
            let is_load = matches!(pending.action, Order::Load { .. } | Order::LoadAdapter { .. });
            is_load && model_of(&pending.action) == Some(model) && pending.progress != Progress::Unanswered
        })
    }

    /// Removes and returns the load of a model.
    pub(crate) fn finish_load(&mut self, model: &ModelName) -> Option<Order> {
        let is_match = |pending: &PendingOrder| matches!(&pending.action, Order::Load { model: named, .. } if named == model);
        let id = self.current().find(|(_, pending)| is_match(pending)).map(|(id, _)| *id)?;
        self.orders.remove(&id).map(|pending| pending.action)
    }

    /// Reports whether any order is unanswered.
    pub(crate) fn has_unanswered(&self) -> bool {
        self.current().any(|(_, pending)| !matches!(pending.progress, Progress::Accepted { .. }))
    }

    /// Returns the adapters that pending orders load.
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

    /// Reports whether an order that takes memory is unanswered.
    ///
    /// At most one is unanswered at a time, so that a new owner has to expect at
    /// most one late order.
    pub(crate) fn has_unanswered_load(&self) -> bool {
        self.current().any(|(_, pending)| {
            matches!(pending.action, Order::Load { .. } | Order::LoadAdapter { .. })
                && !matches!(pending.progress, Progress::Accepted { .. })
        })
    }
}

/// A pending order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingOrderRef<'a> {
    /// The order's number.
    pub id: OrderId,
    /// The requested action.
    pub action: &'a Order,
    /// When the order was last sent.
    pub sent: Time,
    /// Whether the answer was lost, so that the order may be resent.
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

/// Returns a model from a report.
pub(crate) fn find<'a>(report: Option<&'a EngineReport>, model: &ModelName) -> Option<&'a ReportedModel> {
    report?.models.iter().find(|reported| reported.model == *model)
}

fn has_adapter(report: Option<&EngineReport>, model: &ModelName, adapter: &AdapterName) -> bool {
    find(report, model).is_some_and(|reported| reported.adapters.iter().any(|a| a.adapter == *adapter))
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
