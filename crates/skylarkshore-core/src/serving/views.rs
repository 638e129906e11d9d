//! The owners' accounts of their engines, as this router has them.

use std::time::Duration;

use crate::catalogue::ModelTarget;
use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::cx::Cx;
use crate::id::{ModelName, ModelVersion, UpstreamId};
use crate::serving::load::OthersLoad;
use crate::time::Time;
use crate::upstream::Upstream;
use crate::view::{EngineView, ModelView, Readiness, ViewVersion};

/// How long after its expected end a load is still counted on.
///
/// An owner that dies in the middle of a load leaves an account behind that
/// promises the model. Requests would wait for it in vain instead of for the
/// next owner's word.
const OVERDUE: Duration = Duration::from_secs(10);

/// After how long the host list shows what an engine holds.
///
/// Engines register about once a second, and the list is read every two.
const LISTED_WITHIN: Duration = Duration::from_secs(4);

/// An owner's account of an engine, with what this process had there when it came.
#[derive(Clone, Debug)]
pub(super) struct KnownView {
    /// The account.
    pub(super) view: EngineView,
    /// When it came.
    pub(super) taken: Time,
    /// What other processes have in progress there.
    pub(super) others: OthersLoad,
    /// Since when the engine has been reserved for the same host.
    reserved_since: Time,
}

/// What an account was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// It is older than what is known.
    Late,
    /// It is the known one again, so that its figures hold for longer.
    Again,
    /// It is newer.
    Newer,
}

impl KnownView {
    /// Tells whether the engine has been reserved for this host, and idle, for long enough.
    ///
    /// When the reservation begins, other routers haven't heard of it, and the
    /// engine's figures are older still. A suspect sent at once could run beside
    /// an innocent request, or be convicted for that one's crash.
    pub(super) fn is_ours_alone(&self, cx: &Cx<'_>) -> bool {
        let settled = self.reserved_since.after(cx.cfg.timings.report_every * 2);
        self.view.reserved_for.as_ref() == Some(&cx.cfg.host)
            && self.view.running == 0
            && settled <= self.taken
    }

    /// Tells whether the account says more of an engine than the host list does.
    fn outranks(&self, cx: &Cx<'_>, listed: &Upstream) -> bool {
        let life = self.view.incarnation;
        if life != listed.incarnation {
            return life > listed.incarnation;
        }
        let is_owners = self.view.version != ViewVersion::default();
        is_owners && (!self.taken.after(LISTED_WITHIN).is_due(cx.now) || self.agrees_with(listed))
    }

    /// Tells whether the host list names just the models that can be used by the account.
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
        let wanted = &cx.document.catalogue.models.get(&target.model)?.version;
        self.view.models.iter().find(|m| m.model == target.model && m.version == *wanted)
    }

    fn is_ready(&self, cx: &Cx<'_>, target: &ModelTarget) -> bool {
        let Some(model) = self.model(cx, target) else { return false };
        let adapter_ready = target.adapter.as_ref().is_none_or(|a| model.adapters.contains(a));
        !self.view.leaving && model.readiness == Readiness::Ready && adapter_ready
    }

    fn ready_at(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<Time> {
        let Readiness::Loading { remaining } = self.model(cx, target)?.readiness else { return None };
        let ready_at = self.taken.after(remaining);
        let counted_on = !self.view.leaving && !ready_at.after(OVERDUE).is_due(cx.now);
        counted_on.then_some(ready_at)
    }
}

/// The newest account of each engine.
#[derive(Debug, Default)]
pub(super) struct Views {
    known: OrderedMap<UpstreamId, KnownView>,
    /// The engines whose accounts mention a model.
    by_model: HashMap<ModelName, OrderedSet<UpstreamId>>,
    /// The engines of which the host list may say something else than their owners.
    disputed: OrderedSet<UpstreamId>,
    /// The models of the catalogue for which the host list was last read.
    catalogue: OrderedMap<ModelName, ModelVersion>,
    /// How many accounts came that were older than what was known.
    pub(super) late: u64,
}

impl Views {
    /// Takes an account over, unless it is older than what is known.
    pub(super) fn take(&mut self, now: Time, view: EngineView, own: u32) -> News {
        let known = self.known.get(&view.upstream);
        let version = known.map(|known| known.view.version);
        if version > Some(view.version) {
            self.late += 1;
            return News::Late;
        }
        let news = if version == Some(view.version) { News::Again } else { News::Newer };
        let same_holder = known.filter(|known| known.view.reserved_for == view.reserved_for);
        let reserved_since = same_holder.map_or(now, |known| known.reserved_since);
        // The account counts this process's own requests too, which are known exactly.
        let reported = view.running.saturating_sub(own);
        let same_models = known.filter(|known| holds_the_same(&known.view, &view));
        self.disputed.insert(view.upstream.clone());
        let others = same_models
            .map_or_else(|| OthersLoad::new(now, reported), |known| known.others.with(now, reported));
        self.insert(KnownView { view, taken: now, others, reserved_since });
        news
    }

    fn insert(&mut self, known: KnownView) {
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

    /// Returns the accounts that mention a model.
    fn mentioning<'a>(&'a self, model: &ModelName) -> impl Iterator<Item = &'a KnownView> + use<'a> {
        let engines = self.by_model.get(model).into_iter().flatten();
        engines.filter_map(|engine| self.known.get(engine))
    }

    /// Takes over what the host list now tells of some engines.
    pub(super) fn on_host_list(&mut self, cx: &Cx<'_>, touched: &[UpstreamId]) {
        for id in touched {
            match cx.upstreams.get(id) {
                Some(upstream) => self.take_listed(cx, upstream),
                None => self.remove(id),
            }
        }
    }

    /// Looks again at the engines of which owner and host list say different things.
    ///
    /// An owner's account counts for a while; then the list is right.
    pub(super) fn review_listed(&mut self, cx: &Cx<'_>) {
        let catalogue = cx.document.catalogue.models.iter();
        if !catalogue.clone().map(|(name, model)| (name, &model.version)).eq(self.catalogue.iter()) {
            self.catalogue = catalogue.map(|(name, model)| (name.clone(), model.version.clone())).collect();
            cx.upstreams.iter().for_each(|upstream| self.take_listed(cx, upstream));
            return;
        }
        for id in std::mem::take(&mut self.disputed) {
            if let Some(upstream) = cx.upstreams.get(&id) {
                self.take_listed(cx, upstream);
            }
        }
    }

    /// Takes over what the host list tells of an engine of which no owner has spoken lately.
    ///
    /// A process that has just started would otherwise have to wait for each
    /// owner's word, and where an owner is away, for its successor's. Owners tell
    /// only those of changes who use a model; whoever last asked for one long ago
    /// would go on sending its requests where it was then.
    fn take_listed(&mut self, cx: &Cx<'_>, upstream: &Upstream) {
        let Some(spec) = upstream.engine() else { return };
        let known = self.known.get(&upstream.id);
        if upstream.holds.is_empty() {
            if known.is_some_and(|known| known.view.version == ViewVersion::default()) {
                self.remove(&upstream.id);
            }
            return;
        }
        if let Some(known) = known.filter(|known| known.outranks(cx, upstream)) {
            if !known.agrees_with(upstream) {
                self.disputed.insert(upstream.id.clone());
            }
            return;
        }
        let mut view = listed_view(cx, upstream, spec.concurrency);
        if let Some(known) = known.filter(|known| known.view.incarnation == view.incarnation) {
            keep_adapters(&mut view, &known.view);
        }
        let others = OthersLoad::new(cx.now, 0);
        self.insert(KnownView { view, taken: cx.now, others, reserved_since: cx.now });
    }

    /// Returns the newest account of an engine.
    pub(super) fn get(&self, upstream: &UpstreamId) -> Option<&KnownView> {
        self.known.get(upstream)
    }

    /// Returns the engines on which a target can be used.
    pub(super) fn ready<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        target: &ModelTarget,
    ) -> impl Iterator<Item = &'a KnownView> + use<'a> {
        let target = target.clone();
        self.mentioning(&target.model).filter(move |known| known.is_ready(cx, &target))
    }

    /// Returns when each engine that is loading a target's model will probably be ready.
    pub(super) fn loading<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        target: &ModelTarget,
    ) -> impl Iterator<Item = Time> + use<'a> {
        let target = target.clone();
        self.mentioning(&target.model).filter_map(move |known| known.ready_at(cx, &target))
    }

    /// Returns the engine that will probably be the first to be ready with a target, of those that load it.
    pub(super) fn first_loading(&self, cx: &Cx<'_>, target: &ModelTarget) -> Option<&UpstreamId> {
        let loading = self
            .mentioning(&target.model)
            .filter_map(|known| Some((known.ready_at(cx, target)?, &known.view.upstream)));
        loading.min().map(|(_, engine)| engine)
    }

    /// Tells whether any account mentions a model on an engine, whatever its state.
    pub(super) fn mentions(&self, upstream: &UpstreamId, target: &ModelTarget) -> bool {
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

/// Takes over which adapters can be used on models that are still there.
fn keep_adapters(view: &mut EngineView, known: &EngineView) {
    for model in &mut view.models {
        let before = known.models.iter().find(|m| m.model == model.model && m.version == model.version);
        if let Some(before) = before {
            model.adapters.clone_from(&before.adapters);
        }
    }
}

/// Tells whether the same models can be used, so that earlier loads say something of present ones.
fn holds_the_same(a: &EngineView, b: &EngineView) -> bool {
    let usable = |view: &EngineView| -> Vec<ModelName> {
        let ready = view.models.iter().filter(|m| m.readiness == Readiness::Ready);
        ready.map(|m| m.model.clone()).collect()
    };
    usable(a) == usable(b)
}
