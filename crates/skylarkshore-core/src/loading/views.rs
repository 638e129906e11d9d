//! What routers are told of an engine, and when.

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

/// How often changes of load alone are told at most.
const LOAD_CHANGES_EVERY: Duration = Duration::from_secs(1);
/// By how much later than told a load has to be ready for routers to hear of it.
const LATER_TOLD: Duration = Duration::from_secs(1);
/// How many such messages are sent for one engine in a second at most.
///
/// A model in use everywhere has every host as a listener; telling each of 350
/// hosts once a second would take several times what control may spend.
const LOAD_CHANGES_PER_SECOND: u32 = 20;

/// Tells every router that is interested in one of the engine's models what has changed.
pub(crate) fn tell_changes(cx: &mut Cx<'_>, engine: &mut Engine, demand: &Demand) {
    if engine.seen.is_none() {
        return;
    }
    let view = make(cx, engine);
    let hosts = match &engine.told.last {
        None => listeners(&view, &view, demand),
        Some(last) if is_later(cx.now.since(engine.told.at), last, &view) => {
            listeners_in(&view, |readiness| matches!(readiness, Readiness::Loading { .. }), demand)
        }
        Some(last) if !is_same(last, &view, false) => listeners_to_change(last, &view, demand),
        Some(last) => {
            let hosts = if is_same(last, &view, true) {
                // Whoever missed that a model is about to go would keep it busy.
                listeners_in(&view, |readiness| readiness == Readiness::Closing, demand)
            } else {
                listeners(last, &view, demand)
            };
            if hosts.is_empty() || !engine.told.at.after(load_pause(&hosts)).is_due(cx.now) {
                return;
            }
            hosts
        }
    };
    let view = remember(cx.now, engine, view);
    for host in hosts {
        engine.told.to.insert(host.clone(), cx.now);
        cx.send(&host, PeerMessage::View(view.clone()));
    }
}

/// Returns the routers that want to hear of a model that is or was on the engine.
fn listeners(last: &EngineView, view: &EngineView, demand: &Demand) -> OrderedSet<HostId> {
    listeners_to(view.models.iter().chain(&last.models), demand)
}

/// Returns the routers that want to hear of a model for which something has changed.
///
/// An engine that serves many rarely used models by turns swaps all the time.
/// Were all told of it who use any of its models, the messages would take up
/// every host of a large fleet.
fn listeners_to_change(last: &EngineView, view: &EngineView, demand: &Demand) -> OrderedSet<HostId> {
    let is_engine_same = last.leaving == view.leaving
        && last.concurrency == view.concurrency
        && last.reserved_for == view.reserved_for
        && last.incarnation == view.incarnation;
    if !is_engine_same {
        return listeners(last, view, demand);
    }
    let changed = view.models.iter().filter(|model| !has_same(last, model));
    let gone = last.models.iter().filter(|model| !has_same(view, model));
    listeners_to(changed.chain(gone), demand)
}

/// Returns the routers that want to hear of a model that stands like this.
fn listeners_in(view: &EngineView, is_it: impl Fn(Readiness) -> bool, demand: &Demand) -> OrderedSet<HostId> {
    listeners_to(view.models.iter().filter(|model| is_it(model.readiness)), demand)
}

fn listeners_to<'a>(models: impl Iterator<Item = &'a ModelView>, demand: &Demand) -> OrderedSet<HostId> {
    models.flat_map(|seen| demand.listeners(&seen.model)).cloned().collect()
}

/// Tells whether a view says of a model what is said here.
fn has_same(view: &EngineView, model: &ModelView) -> bool {
    view.models.iter().any(|seen| is_same_model(seen, model))
}

/// Returns how long to wait between two messages that tell of changed load alone.
fn load_pause(hosts: &OrderedSet<HostId>) -> Duration {
    let listeners = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
    LOAD_CHANGES_EVERY.max(LOAD_CHANGES_EVERY.saturating_mul(listeners) / LOAD_CHANGES_PER_SECOND)
}

/// Tells one router how an engine stands, unless it was just told the same.
///
/// A router may ask again at once when it hears of an engine that doesn't help
/// it; both would then go on as fast as their messages travel.
pub(crate) fn tell_one(cx: &mut Cx<'_>, engine: &mut Engine, host: &HostId) {
    if engine.seen.is_none() {
        return;
    }
    let view = make(cx, engine);
    let view = remember(cx.now, engine, view);
    let again = cx.cfg.timings.wanted_every / 2;
    if engine.told.to.get(host).is_some_and(|told| !told.after(again).is_due(cx.now)) {
        return;
    }
    engine.told.to.insert(host.clone(), cx.now);
    cx.send(host, PeerMessage::View(view));
}

fn remember(now: Time, engine: &mut Engine, mut view: EngineView) -> EngineView {
    let ago = now.since(engine.told.at);
    let is_news = |last: &EngineView| !is_same(last, &view, true) || is_later(ago, last, &view);
    if engine.told.last.as_ref().is_none_or(is_news) {
        engine.told.number += 1;
        engine.told.at = now;
        engine.told.to.clear();
    }
    view.version = ViewVersion { fence: engine.fence, number: engine.told.number };
    engine.told.last = Some(view.clone());
    view
}

/// Tells whether a load will be ready later than was told some time ago.
///
/// The remaining time runs down by itself at the routers. If they didn't hear
/// that a load takes longer, they would have their callers wait for it in vain.
fn is_later(ago: Duration, last: &EngineView, view: &EngineView) -> bool {
    let remaining = |view: &EngineView, model: &ModelName| {
        let seen = view.models.iter().find(|seen| seen.model == *model)?;
        if let Readiness::Loading { remaining } = seen.readiness { Some(remaining) } else { None }
    };
    view.models.iter().any(|seen| {
        let now = remaining(view, &seen.model);
        let told = remaining(last, &seen.model);
        now.zip(told).is_some_and(|(now, told)| now + ago > told + LATER_TOLD)
    })
}

/// Tells whether two views say the same, `with_load` or apart from it.
fn is_same(a: &EngineView, b: &EngineView, with_load: bool) -> bool {
    let structure = a.leaving == b.leaving
        && a.concurrency == b.concurrency
        && a.reserved_for == b.reserved_for
        && a.models.len() == b.models.len()
        && a.models.iter().zip(&b.models).all(|(a, b)| is_same_model(a, b));
    if !with_load {
        return structure;
    }
    structure && a.running == b.running && a.models.iter().zip(&b.models).all(|(a, b)| a.running == b.running)
}

fn is_same_model(a: &ModelView, b: &ModelView) -> bool {
    let readiness = match (a.readiness, b.readiness) {
        // The remaining time runs down by itself.
        (Readiness::Loading { .. }, Readiness::Loading { .. }) => true,
        (a, b) => a == b,
    };
    readiness && a.model == b.model && a.version == b.version && a.adapters == b.adapters
}

fn make(cx: &Cx<'_>, engine: &Engine) -> EngineView {
    let silent = engine.is_silent(cx.now, cx.cfg.timings.engine_timeout);
    let report = engine.report().filter(|_| !silent);
    let seen = report.map_or(&[][..], |report| &report.models);
    let mut models: Vec<ModelView> = seen.iter().map(|seen| model_view(cx.now, engine, seen)).collect();
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

fn model_view(now: Time, engine: &Engine, seen: &ReportedModel) -> ModelView {
    let readiness = match seen.state {
        LoadState::Ready if engine.closing.contains_key(&seen.model) => Readiness::Closing,
        LoadState::Ready if engine.ledger.find(&seen.model, is_unload).is_some() => Readiness::Closing,
        LoadState::Ready => Readiness::Ready,
        LoadState::Unloading => Readiness::Closing,
        LoadState::Loading => {
            let remaining = engine.loads.get(&seen.model).map_or(Duration::ZERO, |load| load.remaining(now));
            Readiness::Loading { remaining }
        }
    };
    let shown = seen.adapters.iter().filter(|a| a.ready).map(|a| &a.adapter);
    let assumed = engine.assumed_adapters(now).filter(|(model, _)| **model == seen.model);
    let mut adapters: Vec<AdapterName> = shown.chain(assumed.map(|(_, adapter)| adapter)).cloned().collect();
    adapters.retain(|a| !engine.closing_adapters.contains_key(&(seen.model.clone(), a.clone())));
    adapters.sort_unstable();
    adapters.dedup();
    ModelView {
        model: seen.model.clone(),
        version: seen.version.clone(),
        readiness,
        adapters,
        running: seen.running,
    }
}
