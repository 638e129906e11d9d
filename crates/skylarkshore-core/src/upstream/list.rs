//! The upstreams that the host list names, with indexes by what they have.

use crate::collections::{HashMap, OrderedMap, OrderedSet};
use crate::id::{ModelName, ServiceName, UpstreamId};
use crate::upstream::{Upstream, UpstreamStatus};

/// What has changed on the host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamChanges {
    /// Upstreams that are new or different.
    pub changed: Vec<Upstream>,
    /// Upstreams that are no longer listed.
    pub gone: Vec<UpstreamId>,
}

impl UpstreamChanges {
    /// Tells whether nothing has changed.
    pub const fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.gone.is_empty()
    }
}

/// The upstreams of the host list.
///
/// Decisions ask for the replicas of one service or the engines of one model;
/// the indexes keep them from looking through all upstreams each time.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    all: OrderedMap<UpstreamId, Upstream>,
    engines: usize,
    replicas: HashMap<ServiceName, OrderedSet<UpstreamId>>,
    /// The live engines that hold a model.
    holders: HashMap<ModelName, OrderedSet<UpstreamId>>,
    /// The live engines that hold a model or keep a copy of its weights.
    engines_with_weights: HashMap<ModelName, OrderedSet<UpstreamId>>,
}

impl UpstreamList {
    /// Returns an upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.all.get(id)
    }

    /// Tells whether an upstream is listed.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.all.contains_key(id)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.all.values()
    }

    /// Tells whether no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns how many engines are listed.
    pub const fn engines(&self) -> usize {
        self.engines
    }

    /// Returns the replicas of a service.
    pub fn replicas(&self, service: &ServiceName) -> impl Iterator<Item = &Upstream> + use<'_> {
        self.found(self.replicas.get(service))
    }

    /// Returns the live engines that hold a model.
    pub fn holders(&self, model: &ModelName) -> impl Iterator<Item = &Upstream> + use<'_> {
        self.found(self.holders.get(model))
    }

    /// Returns the live engines that hold a model or keep a copy of its weights.
    pub fn engines_with_weights(&self, model: &ModelName) -> impl Iterator<Item = &Upstream> + use<'_> {
        self.found(self.engines_with_weights.get(model))
    }

    fn found<'a>(&'a self, ids: Option<&'a OrderedSet<UpstreamId>>) -> impl Iterator<Item = &'a Upstream> {
        ids.into_iter().flatten().filter_map(|id| self.all.get(id))
    }

    /// Takes changes over, and returns the upstreams that are different now.
    pub fn apply(&mut self, changes: UpstreamChanges) -> Vec<UpstreamId> {
        let UpstreamChanges { changed, gone } = changes;
        let mut touched = Vec::new();
        for upstream in changed {
            if self.all.get(&upstream.id) != Some(&upstream) {
                touched.push(upstream.id.clone());
                self.insert(upstream);
            }
        }
        touched.extend(gone.into_iter().filter(|id| self.remove(id).is_some()));
        touched
    }

    /// Adds an upstream in place of one of the same name.
    pub fn insert(&mut self, upstream: Upstream) {
        self.remove(&upstream.id);
        self.index(&upstream);
        self.all.insert(upstream.id.clone(), upstream);
    }

    /// Changes an upstream that is listed.
    pub fn change(&mut self, id: &UpstreamId, f: impl FnOnce(&mut Upstream)) {
        if let Some(mut upstream) = self.remove(id) {
            f(&mut upstream);
            self.insert(upstream);
        }
    }

    /// Takes an upstream off the list.
    pub fn remove(&mut self, id: &UpstreamId) -> Option<Upstream> {
        let upstream = self.all.remove(id)?;
        self.engines -= usize::from(upstream.engine().is_some());
        if let Some(service) = upstream.service() {
            drop_from(&mut self.replicas, service, id);
        }
        for model in &upstream.holds {
            drop_from(&mut self.holders, model, id);
        }
        for model in kept(&upstream) {
            drop_from(&mut self.engines_with_weights, model, id);
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
        for model in kept(upstream) {
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

fn kept(upstream: &Upstream) -> impl Iterator<Item = &ModelName> {
    let copies = &upstream.copies;
    upstream.holds.iter().chain(&copies.in_memory).chain(&copies.on_disk)
}

fn drop_from<K: Eq + std::hash::Hash>(
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
