//! Publishes views of an engine to the routers that subscribe to its models.
//!
//! [`publish_changes`] sends what has changed to all subscribers, [`publish_to`]
//! answers one router.

use std::time::Duration;

use crate::collections::OrderedSet;
use crate::cx::Cx;
use crate::id::{AdapterName, HostId, ModelName};
use crate::loading::demand::Demand;
use crate::loading::engine::Engine;
use crate::peer::PeerMessage;
use crate::time::Time;
use crate::upstream::{LoadState, Order, ReportedModel};
use crate::view::{EngineView, ModelView, Readiness, ViewVersion};

/// Minimum interval between updates that only change the numbers of running requests.
const RUNNING_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Increase of a model load's remaining time above which subscribers are updated.
const MIN_DELAY_INCREASE: Duration = Duration::from_secs(1);
/// Limit on such updates sent for one engine in a second.
///
/// Every host subscribes to a model that is in use everywhere. Updating each of 350
/// hosts once a second would take several times the resources planned for control
/// traffic.
const MAX_RUNNING_UPDATES_PER_SECOND: u32 = 20;

/// Sends the engine's view to the subscribers that a change concerns.
pub(crate) fn publish_changes(cx: &mut Cx<'_>, engine: &mut Engine, demand: &Demand) {
    if engine.last_report.is_none() {
        return;
    }
    let view = build_view(cx, engine);
    let hosts = match &engine.published.last {
        None => subscribers(&view, &view, demand),
        Some(last) if is_delayed(cx.now.since(engine.published.changed_at), last, &view) => {
            subscribers_in(&view, |readiness| matches!(readiness, Readiness::Loading { .. }), demand)
        }
        Some(last) if !is_same(last, &view, false) => subscribers_to_change(last, &view, demand),
        Some(last) => {
            let hosts = if is_same(last, &view, true) {
                // A router that missed a closing view would keep sending requests to the model.
                subscribers_in(&view, |readiness| readiness == Readiness::Closing, demand)
            } else {
                subscribers(last, &view, demand)
            };
            if hosts.is_empty()
                || !engine.published.changed_at.after(running_update_interval(&hosts)).is_due(cx.now)
            {
                return;
            }
            hosts
        }
    };
    let view = record_published(cx.now, engine, view);
    for host in hosts {
        engine.published.sent_to.insert(host.clone(), cx.now);
        cx.send(&host, PeerMessage::View(view.clone()));
    }
}

/// Returns the subscribers of all models in either view.
fn subscribers(last: &EngineView, view: &EngineView, demand: &Demand) -> OrderedSet<HostId> {
    subscribers_to(view.models.iter().chain(&last.models), demand)
}

/// Returns the subscribers of the models that changed.
///
/// An engine that serves many rarely used models swaps constantly. Sending each swap
/// to the subscribers of all its models would load every host of a large fleet.
fn subscribers_to_change(last: &EngineView, view: &EngineView, demand: &Demand) -> OrderedSet<HostId> {
    let is_engine_same = last.leaving == view.leaving
        && last.concurrency == view.concurrency
        && last.reserved_for == view.reserved_for
        && last.incarnation == view.incarnation;
    if !is_engine_same {
        return subscribers(last, view, demand);
    }
    let changed = view.models.iter().filter(|model| !has_same(last, model));
    let removed = last.models.iter().filter(|model| !has_same(view, model));
    subscribers_to(changed.chain(removed), demand)
}

/// Returns the subscribers of models whose readiness matches.
fn subscribers_in(
    view: &EngineView,
    matches: impl Fn(Readiness) -> bool,
    demand: &Demand,
) -> OrderedSet<HostId> {
    subscribers_to(view.models.iter().filter(|model| matches(model.readiness)), demand)
}

fn subscribers_to<'a>(models: impl Iterator<Item = &'a ModelView>, demand: &Demand) -> OrderedSet<HostId> {
    models.flat_map(|reported| demand.subscribers(&reported.model)).cloned().collect()
}

/// Reports whether the view contains the same entry for a model.
fn has_same(view: &EngineView, model: &ModelView) -> bool {
    view.models.iter().any(|reported| is_same_model(reported, model))
}

/// Returns the interval between updates that only change the numbers of running requests.
fn running_update_interval(hosts: &OrderedSet<HostId>) -> Duration {
    let subscribers = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
    RUNNING_UPDATE_INTERVAL
        .max(RUNNING_UPDATE_INTERVAL.saturating_mul(subscribers) / MAX_RUNNING_UPDATES_PER_SECOND)
}

/// Sends the engine's view to one router unless it has just received the same version.
///
/// A router may ask again as soon as it receives a view that does not help it;
/// without this limit both would exchange messages continuously.
pub(crate) fn publish_to(cx: &mut Cx<'_>, engine: &mut Engine, host: &HostId) {
    if engine.last_report.is_none() {
        return;
    }
    let view = build_view(cx, engine);
    let view = record_published(cx.now, engine, view);
    let min_interval = cx.cfg.timings.wanted_every / 2;
    if engine.published.sent_to.get(host).is_some_and(|sent| !sent.after(min_interval).is_due(cx.now)) {
        return;
    }
    engine.published.sent_to.insert(host.clone(), cx.now);
    cx.send(host, PeerMessage::View(view));
}

fn record_published(now: Time, engine: &mut Engine, mut view: EngineView) -> EngineView {
    let ago = now.since(engine.published.changed_at);
    let is_changed = |last: &EngineView| !is_same(last, &view, true) || is_delayed(ago, last, &view);
    if engine.published.last.as_ref().is_none_or(is_changed) {
        engine.published.number += 1;
        engine.published.changed_at = now;
        engine.published.sent_to.clear();
    }
    view.version = ViewVersion { fence: engine.fence, number: engine.published.number };
    engine.published.last = Some(view.clone());
    view
}

/// Reports whether a load will be ready noticeably later than last published, `ago` before now.
///
/// Routers count the remaining time down themselves. If a delay were not published,
/// their callers would wait in vain.
fn is_delayed(ago: Duration, last: &EngineView, view: &EngineView) -> bool {
    let remaining = |view: &EngineView, model: &ModelName| {
        let reported = view.models.iter().find(|reported| reported.model == *model)?;
        if let Readiness::Loading { remaining } = reported.readiness { Some(remaining) } else { None }
    };
    view.models.iter().any(|reported| {
        let now = remaining(view, &reported.model);
        let published = remaining(last, &reported.model);
        now.zip(published).is_some_and(|(now, published)| now + ago > published + MIN_DELAY_INCREASE)
    })
}

/// Reports whether two views are equal, with the numbers of running requests if
/// `with_running` is set.
fn is_same(a: &EngineView, b: &EngineView, with_running: bool) -> bool {
    let structure = a.leaving == b.leaving
        && a.concurrency == b.concurrency
        && a.reserved_for == b.reserved_for
        && a.models.len() == b.models.len()
        && a.models.iter().zip(&b.models).all(|(a, b)| is_same_model(a, b));
    if !with_running {
        return structure;
    }
    structure && a.running == b.running && a.models.iter().zip(&b.models).all(|(a, b)| a.running == b.running)
}

fn is_same_model(a: &ModelView, b: &ModelView) -> bool {
    let readiness = match (a.readiness, b.readiness) {
        // Routers count the remaining time down themselves.
        (Readiness::Loading { .. }, Readiness::Loading { .. }) => true,
        (a, b) => a == b,
    };
    readiness && a.model == b.model && a.version == b.version && a.adapters == b.adapters
}

fn build_view(cx: &Cx<'_>, engine: &Engine) -> EngineView {
    let silent = engine.is_silent(cx.now, cx.cfg.timings.engine_timeout);
    let report = engine.report().filter(|_| !silent);
    let reported = report.map_or(&[][..], |report| &report.models);
    let mut models: Vec<ModelView> =
        reported.iter().map(|reported| model_view(cx.now, engine, reported)).collect();
    let begun = engine.loads.iter().map(|(model, load)| (model, cx.now.after(load.remaining(cx.now))));
    let planned = engine.planned.iter().map(|(model, ready)| (model, *ready));
    for (model, ready) in begun.chain(planned).filter(|(model, _)| engine.model(model).is_none()) {
        let Some(known) = cx.document.catalogue.models.get(model) else { continue };
        models.push(ModelView {
            model: model.clone(),
            version: known.version.clone(),
            readiness: Readiness::Loading { remaining: ready.remaining(cx.now) },
            adapters: Vec::new(),
            running: 0,
        });
    }
    models.sort_by(|a, b| a.model.cmp(&b.model));
    EngineView {
        upstream: engine.id.clone(),
        version: ViewVersion::default(),
        incarnation: engine.incarnation().unwrap_or_default(),
        models,
        concurrency: engine.concurrency(),
        running: report.map_or(0, |report| report.running + report.waiting),
        leaving: engine.is_leaving(),
        reserved_for: engine.reservation.holder().cloned(),
    }
}

const fn is_unload(order: &Order) -> bool {
    matches!(order, Order::Unload { .. })
}

fn model_view(now: Time, engine: &Engine, reported: &ReportedModel) -> ModelView {
    let readiness = match reported.state {
        LoadState::Ready if engine.closing.contains_key(&reported.model) => Readiness::Closing,
        LoadState::Ready if engine.pending_orders.find(&reported.model, is_unload).is_some() => {
            Readiness::Closing
        }
        LoadState::Ready => Readiness::Ready,
        LoadState::Unloading => Readiness::Closing,
        LoadState::Loading => {
            let remaining =
                engine.loads.get(&reported.model).map_or(Duration::ZERO, |load| load.remaining(now));
            Readiness::Loading { remaining }
        }
    };
    let shown = reported.adapters.iter().filter(|a| a.ready).map(|a| &a.adapter);
    let assumed = engine.assumed_adapters(now).filter(|(model, _)| **model == reported.model);
    let mut adapters: Vec<AdapterName> = shown.chain(assumed.map(|(_, adapter)| adapter)).cloned().collect();
    adapters.retain(|a| !engine.closing_adapters.contains_key(&(reported.model.clone(), a.clone())));
    adapters.sort_unstable();
    adapters.dedup();
    ModelView {
        model: reported.model.clone(),
        version: reported.version.clone(),
        readiness,
        adapters,
        running: reported.running,
    }
}
