//! The latest view of each engine, as published by its owner or derived from the host list.
//!
//! Open [`PublishedViews`] first.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{ModelName, ModelVersion, UpstreamId};
use crate::serving::others_load::OthersLoad;
use crate::time::Time;
use crate::upstream::Upstream;
use crate::view::{EngineView, ModelView, Readiness, ViewVersion};

/// How long a load is still expected after it should have finished.
///
/// An owner that dies during a load leaves a view in which the model is loading. Without a limit,
/// requests would wait for it instead of for the next owner's view.
const OVERDUE_LOAD_TTL: Duration = Duration::from_secs(10);

/// Delay after which the host list reflects what an engine has loaded.
///
/// Engines register about once a second, and the list is read every two seconds.
const LISTING_DELAY: Duration = Duration::from_secs(4);

/// A view of an engine, with when and from what it was derived.
#[derive(Clone, Debug)]
pub(super) struct ReceivedView {
    pub(super) view: EngineView,
    /// When the view arrived.
    pub(super) received: Time,
    /// The load of other processes on the engine.
    pub(super) others: OthersLoad,
    /// Since when the engine has been reserved for the same host.
    reserved_since: Time,
}

/// How a view compares with the stored one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// Older than the stored one.
    Stale,
    /// The stored one again; its figures remain valid for longer.
    Unchanged,
    /// Newer than the stored one.
    Newer,
}

impl ReceivedView {
    /// Reports whether the engine has been reserved for this host, and idle, for long
    /// enough.
    ///
    /// When a reservation begins, other routers haven't received the view that shows it, and the
    /// number of running requests in it is older still. A suspect sent immediately could run
    /// next to an innocent request, or be convicted of the crash that the other one caused.
    pub(super) fn is_reserved_and_idle(&self, cx: &Cx<'_>) -> bool {
        let known_to_all_at = self.reserved_since.after(cx.cfg.timings.report_every * 2);
        self.view.reserved_for.as_ref() == Some(&cx.cfg.host)
            && self.view.running == 0
            && known_to_all_at <= self.received
    }

    /// Reports whether the view takes precedence over the host list.
    fn takes_precedence_over(&self, cx: &Cx<'_>, listed: &Upstream) -> bool {
        let incarnation = self.view.incarnation;
        if incarnation != listed.incarnation {
            return incarnation > listed.incarnation;
        }
        let from_owner = self.view.version != ViewVersion::default();
        from_owner && (!self.received.after(LISTING_DELAY).is_due(cx.now) || self.agrees_with(listed))
    }

    /// Reports whether the host list names exactly the models that are ready in the view.
    fn agrees_with(&self, listed: &Upstream) -> bool {
        let ready = self.view.models.iter().filter(|m| m.readiness == Readiness::Ready);
        let mut count = 0;
        for model in ready {
            if !listed.holds.contains(&model.model) {
                return false;
            }
            count += 1;
        }
        count == listed.holds.len()
    }

    fn model(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<&ModelView> {
        let listed = cx.upstreams.get(&self.view.upstream)?;
        if listed.incarnation > self.view.incarnation {
            return None;
        }
        let catalogued = &cx.document.catalogue.models.get(&target.model)?.version;
        self.view.models.iter().find(|m| m.model == target.model && m.version == *catalogued)
    }

    fn is_ready(&self, cx: &Cx<'_>, target: &ModelTarget) -> bool {
        let Some(model) = self.model(cx, target) else { return false };
        let adapter_ready = target.adapter.as_ref().is_none_or(|a| model.adapters.contains(a));
        !self.view.leaving && model.readiness == Readiness::Ready && adapter_ready
    }

    fn ready_at(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<Time> {
        let Readiness::Loading { remaining } = self.model(cx, target)?.readiness else { return None };
        let ready_at = self.received.after(remaining);
        let still_expected = !self.view.leaving && !ready_at.after(OVERDUE_LOAD_TTL).is_due(cx.now);
        still_expected.then_some(ready_at)
    }
}

/// The latest view of each engine.
#[derive(Debug, Default)]
pub(super) struct PublishedViews {
    known: OrderedMap<UpstreamId, ReceivedView>,
    /// Index of the engines whose views contain a model.
    by_model: HashMap<ModelName, OrderedSet<UpstreamId>>,
    /// Engines whose owner's view and host list entry may differ.
    conflicting: OrderedSet<UpstreamId>,
    /// The catalogue's models and versions at the last full pass over the host list.
    catalogue: OrderedMap<ModelName, ModelVersion>,
    /// Number of views that were older than the stored ones.
    pub(super) stale: u64,
}

impl PublishedViews {
    /// Stores a view unless it is older than the stored one.
    pub(super) fn apply(&mut self, now: Time, view: EngineView, own: u32) -> Freshness {
        let known = self.known.get(&view.upstream);
        let version = known.map(|known| known.view.version);
        if version > Some(view.version) {
            self.stale += 1;
            return Freshness::Stale;
        }
        let freshness = if version == Some(view.version) { Freshness::Unchanged } else { Freshness::Newer };
        let same_reservation = known.filter(|known| known.view.reserved_for == view.reserved_for);
        let reserved_since = same_reservation.map_or(now, |known| known.reserved_since);
        // The view includes this process's own requests, whose number is known exactly.
        let reported = view.running.saturating_sub(own);
        let same_models = known.filter(|known| has_same_ready_models(&known.view, &view));
        self.conflicting.insert(view.upstream.clone());
        let others = same_models
            .map_or_else(|| OthersLoad::new(now, reported), |known| known.others.updated(now, reported));
        self.insert(ReceivedView { view, received: now, others, reserved_since });
        freshness
    }

    fn insert(&mut self, known: ReceivedView) {
        let upstream = known.view.upstream.clone();
        self.remove(&upstream);
        for model in &known.view.models {
            self.by_model.entry(model.model.clone()).or_default().insert(upstream.clone());
        }
        self.known.insert(upstream, known);
    }

    fn remove(&mut self, upstream: &UpstreamId) {
        let Some(known) = self.known.remove(upstream) else { return };
        for model in &known.view.models {
            let Some(engines) = self.by_model.get_mut(&model.model) else { continue };
            engines.remove(upstream);
            if engines.is_empty() {
                self.by_model.remove(&model.model);
            }
        }
    }

    /// Returns the views that contain a model.
    fn with_model<'a>(&'a self, model: &ModelName) -> impl Iterator<Item = &'a ReceivedView> + use<'a> {
        let engines = self.by_model.get(model).into_iter().flatten();
        engines.filter_map(|engine| self.known.get(engine))
    }

    /// Applies the host list entries of some engines.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        for id in touched {
            match cx.upstreams.get(id) {
                Some(upstream) => self.apply_listed(cx, upstream),
                None => self.remove(id),
            }
        }
    }

    /// Applies the host list again to engines whose owner's view differs from it.
    ///
    /// The owner's view takes precedence for a while, then the list.
    pub(super) fn reapply_host_list(&mut self, cx: &Cx<'_>) {
        let catalogue = cx.document.catalogue.models.iter();
        if !catalogue.clone().map(|(name, model)| (name, &model.version)).eq(self.catalogue.iter()) {
            self.catalogue = catalogue.map(|(name, model)| (name.clone(), model.version.clone())).collect();
            cx.upstreams.iter().for_each(|upstream| self.apply_listed(cx, upstream));
            return;
        }
        for id in std::mem::take(&mut self.conflicting) {
            if let Some(upstream) = cx.upstreams.get(&id) {
                self.apply_listed(cx, upstream);
            }
        }
    }

    /// Replaces the view of an engine by its host list entry, unless its owner's view takes
    /// precedence.
    ///
    /// Without this, a process that has just started would wait for each owner's view and,
    /// if an owner is down, for its successor's. Owners publish changes only to hosts that
    /// use a model, so a host that last asked long ago would keep sending requests to where
    /// the model was then.
    fn apply_listed(&mut self, cx: &Cx<'_>, upstream: &Upstream) {
        let Some(spec) = upstream.engine() else { return };
        let known = self.known.get(&upstream.id);
        if upstream.holds.is_empty() {
            if known.is_some_and(|known| known.view.version == ViewVersion::default()) {
                self.remove(&upstream.id);
            }
            return;
        }
        if let Some(known) = known.filter(|known| known.takes_precedence_over(cx, upstream)) {
            if !known.agrees_with(upstream) {
                self.conflicting.insert(upstream.id.clone());
            }
            return;
        }
        let mut view = listed_view(cx, upstream, spec.concurrency);
        if let Some(known) = known.filter(|known| known.view.incarnation == view.incarnation) {
            keep_adapters(&mut view, &known.view);
        }
        let others = OthersLoad::new(cx.now, 0);
        self.insert(ReceivedView { view, received: cx.now, others, reserved_since: cx.now });
    }

    /// Returns the latest view of an engine.
    pub(super) fn get(&self, upstream: &UpstreamId) -> Option<&ReceivedView> {
        self.known.get(upstream)
    }

    /// Returns the engines on which a target is ready.
    pub(super) fn ready<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        target: &ModelTarget,
    ) -> impl Iterator<Item = &'a ReceivedView> + use<'a> {
        let target = target.clone();
        self.with_model(&target.model).filter(move |known| known.is_ready(cx, &target))
    }

    /// Returns when each engine that is loading the target's model is expected to be ready.
    pub(super) fn loading<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        target: &ModelTarget,
    ) -> impl Iterator<Item = Time> + use<'a> {
        let target = target.clone();
        self.with_model(&target.model).filter_map(move |known| known.ready_at(cx, &target))
    }

    /// Returns the engine, of those loading the target, that is expected to be ready first.
    pub(super) fn first_loading(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<&UpstreamId> {
        let loading = self
            .with_model(&target.model)
            .filter_map(|known| Some((known.ready_at(cx, target)?, &known.view.upstream)));
        loading.min().map(|(_, engine)| engine)
    }

    /// Returns the engines whose views list a model, in any state.
    pub(super) fn listing(&self, model: &ModelName) -> impl Iterator<Item = &UpstreamId> + use<'_> {
        self.by_model.get(model).into_iter().flatten()
    }

    /// Reports whether a view lists the model on an engine, in any state.
    pub(super) fn lists_model(&self, upstream: &UpstreamId, target: &ModelTarget) -> bool {
        let known = self.known.get(upstream);
        known.is_some_and(|known| known.view.models.iter().any(|m| m.model == target.model))
    }
}

fn listed_view(cx: &Cx<'_>, upstream: &Upstream, concurrency: u32) -> EngineView {
    let models = &cx.document.catalogue.models;
    let held = upstream.holds.iter().filter_map(|model| Some((model, models.get(model)?)));
    EngineView {
        upstream: upstream.id.clone(),
        version: ViewVersion::default(),
        incarnation: upstream.incarnation,
        models: held
            .map(|(model, known)| ModelView {
                model: model.clone(),
                version: known.version.clone(),
                readiness: Readiness::Ready,
                adapters: Vec::new(),
                running: 0,
            })
            .collect(),
        concurrency,
        running: 0,
        leaving: false,
        reserved_for: None,
    }
}

/// Copies the ready adapters of models that are still loaded.
fn keep_adapters(view: &mut EngineView, known: &EngineView) {
    for model in &mut view.models {
        let before = known.models.iter().find(|m| m.model == model.model && m.version == model.version);
        if let Some(before) = before {
            model.adapters.clone_from(&before.adapters);
        }
    }
}

/// Reports whether two views have the same models ready, so that earlier load reports still
/// apply.
fn has_same_ready_models(a: &EngineView, b: &EngineView) -> bool {
    let ready_models = |view: &EngineView| -> Vec<ModelName> {
        let ready = view.models.iter().filter(|m| m.readiness == Readiness::Ready);
        ready.map(|m| m.model.clone()).collect()
    };
    ready_models(a) == ready_models(b)
}
