//! The upstreams of the host list, indexed by service and model; see [`UpstreamList`].

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::id::{ModelName, ServiceName, UpstreamId};
use crate::upstream::{Upstream, UpstreamStatus};

/// A change of the host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamChanges {
    /// Upstreams that were added or changed.
    pub changed: Vec<Upstream>,
    /// Upstreams that are no longer listed.
    pub gone: Vec<UpstreamId>,
}

impl UpstreamChanges {
    /// Reports whether nothing has changed.
    pub const fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.gone.is_empty()
    }
}

/// The upstreams of the host list.
///
/// Decisions need the replicas of one service or the engines of one model; the indexes
/// spare them a scan of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    all: OrderedMap<UpstreamId, Upstream>,
    engines: usize,
    replicas: HashMap<ServiceName, OrderedSet<UpstreamId>>,
    /// The live engines on which a model is loaded.
    holders: HashMap<ModelName, OrderedSet<UpstreamId>>,
    /// The live engines on which a model is loaded or that keep a copy of its weights.
    engines_with_weights: HashMap<ModelName, OrderedSet<UpstreamId>>,
}

impl UpstreamList {
    /// Returns an upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.all.get(id)
    }

    /// Reports whether an upstream is listed.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.all.contains_key(id)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.all.values()
    }

    /// Reports whether no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the number of listed engines.
    pub const fn engines(&self) -> usize {
        self.engines
    }

    /// Returns the replicas of a service.
    pub fn replicas(&self, service: &ServiceName) -> impl Iterator<Item = &Upstream> + use<'_> {
        self.lookup(self.replicas.get(service))
    }

    /// Returns the live engines on which a model is loaded.
    pub fn holders(&self, model: &ModelName) -> impl Iterator<Item = &Upstream> + use<'_> {
        self.lookup(self.holders.get(model))
    }

    /// Returns the live engines on which a model is loaded or that keep a copy of its weights.
    pub fn engines_with_weights(&self, model: &ModelName) -> impl Iterator<Item = &Upstream> + use<'_> {
        self.lookup(self.engines_with_weights.get(model))
    }

    fn lookup<'a>(&'a self, ids: Option<&'a OrderedSet<UpstreamId>>) -> impl Iterator<Item = &'a Upstream> {
        ids.into_iter().flatten().filter_map(|id| self.all.get(id))
    }

    /// Applies changes, and returns the upstreams that differ from before.
    pub fn apply(&mut self, changes: UpstreamChanges) -> Vec<UpstreamId> {
        let UpstreamChanges { changed, gone } = changes;
        let mut changed_ids = Vec::new();
        for upstream in changed {
            if self.all.get(&upstream.id) != Some(&upstream) {
                changed_ids.push(upstream.id.clone());
                self.insert(upstream);
            }
        }
        changed_ids.extend(gone.into_iter().filter(|id| self.remove(id).is_some()));
        changed_ids
    }

    /// Adds an upstream, replacing any of the same name.
    pub fn insert(&mut self, upstream: Upstream) {
        self.remove(&upstream.id);
        self.index(&upstream);
        self.all.insert(upstream.id.clone(), upstream);
    }

    /// Changes an upstream if it is listed.
    pub fn change(&mut self, id: &UpstreamId, f: impl FnOnce(&mut Upstream)) {
        if let Some(mut upstream) = self.remove(id) {
            f(&mut upstream);
            self.insert(upstream);
        }
    }

    /// Removes an upstream from the list.
    pub fn remove(&mut self, id: &UpstreamId) -> Option<Upstream> {
        let upstream = self.all.remove(id)?;
        self.engines -= usize::from(upstream.engine().is_some());
        if let Some(service) = upstream.service() {
            remove_from_index(&mut self.replicas, service, id);
        }
        for model in &upstream.holds {
            remove_from_index(&mut self.holders, model, id);
        }
        for model in models_with_weights(&upstream) {
            remove_from_index(&mut self.engines_with_weights, model, id);
        }
        Some(upstream)
    }

    fn index(&mut self, upstream: &Upstream) {
        let id = &upstream.id;
        self.engines += usize::from(upstream.engine().is_some());
        if let Some(service) = upstream.service() {
            self.replicas.entry(service.clone()).or_default().insert(id.clone());
        }
        if upstream.status != UpstreamStatus::Live {
            return;
        }
        for model in &upstream.holds {
            self.holders.entry(model.clone()).or_default().insert(id.clone());
        }
        for model in models_with_weights(upstream) {
            self.engines_with_weights.entry(model.clone()).or_default().insert(id.clone());
        }
    }
}

impl FromIterator<Upstream> for UpstreamList {
    fn from_iter<I: IntoIterator<Item = Upstream>>(iter: I) -> Self {
        let mut list = Self::default();
        iter.into_iter().for_each(|upstream| list.insert(upstream));
        list
    }
}

fn models_with_weights(upstream: &Upstream) -> impl Iterator<Item = &ModelName> {
    let copies = &upstream.copies;
    upstream.holds.iter().chain(&copies.in_memory).chain(&copies.on_disk)
}

fn remove_from_index<K: Eq + std::hash::Hash>(
    index: &mut HashMap<K, OrderedSet<UpstreamId>>,
    key: &K,
    id: &UpstreamId,
) {
    let Some(ids) = index.get_mut(key) else { return };
    ids.remove(id);
    if ids.is_empty() {
        index.remove(key);
    }
}
