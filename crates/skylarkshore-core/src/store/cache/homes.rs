//! The homes of models, and the keys under which they stand.
//!
//! The homes of a model stand under its name alone for as long as no other pool lists a model of the same
//! name; earlier versions of the system know no other form. If another pool comes to list one, the record
//! that is there remains that of the pool to which its engines belong, and the other model gets a key that
//! names its pool.

use super::StoreCache;
use crate::catalogue::Catalogue;
use crate::id::{ModelName, ServiceName, StoreRevision, UpstreamId};
use crate::store::{HomesRecord, Key, Record, Versioned};

/// What decides which model a record without a pool belongs to.
#[derive(Clone, Copy)]
pub(crate) struct HomesContext<'a> {
    pub(crate) catalogue: &'a Catalogue,
    /// Returns the pool of a listed engine.
    pub(crate) pool_of: &'a dyn Fn(&UpstreamId) -> Option<ServiceName>,
}

impl StoreCache {
    /// Returns a model's homes, with the revision of that record.
    pub fn homes(&self, model: &ModelName) -> Option<(StoreRevision, &HomesRecord)> {
        let entry = self.homes.get(&self.current_homes_key(model)?)?;
        Some((entry.revision, homes_of(entry)?))
    }

    /// Returns every model's homes.
    pub fn all_homes(&self) -> impl Iterator<Item = (&ModelName, &HomesRecord)> {
        self.homes.iter().filter_map(|(key, entry)| Some((self.model_at(key), homes_of(entry)?)))
    }

    /// Returns the key under which the homes of a model stand, or are to be written.
    pub(crate) fn homes_key(&self, catalogue: &Catalogue, model: &ModelName) -> Key {
        let current = self.current_homes_key(model);
        Key::Homes(current.unwrap_or_else(|| {
            let unpooled = model.without_pool();
            let is_free = !self.has_homes(&unpooled) && catalogue.only_namesake(model) == Some(model);
            if is_free { unpooled } else { model.clone() }
        }))
    }

    /// Returns the model whose homes stand under a key.
    pub(crate) fn model_at<'a>(&'a self, key: &'a ModelName) -> &'a ModelName {
        self.unpooled_homes.get(key).unwrap_or(key)
    }

    /// Finds out which model the records of a name belong to; returns the models whose homes may differ.
    pub(crate) fn assign_homes(&mut self, context: HomesContext<'_>, key: &ModelName) -> Vec<ModelName> {
        let unpooled = key.without_pool();
        let before = self.unpooled_homes.remove(&unpooled);
        let after = self.owner_of_unpooled(context, &unpooled);
        if let Some(model) = &after {
            self.unpooled_homes.insert(unpooled, model.clone());
        }
        let mut affected: Vec<ModelName> = [Some(key.clone()), before, after].into_iter().flatten().collect();
        affected.sort_unstable();
        affected.dedup();
        affected
    }

    /// Does the same for all records that name no pool; returns the models whose homes differ.
    pub(crate) fn assign_all_homes(&mut self, context: HomesContext<'_>) -> Vec<ModelName> {
        let keys: Vec<ModelName> = self.homes.keys().filter(|key| key.pool().is_none()).cloned().collect();
        let mut affected = Vec::new();
        for key in keys {
            let before = self.unpooled_homes.get(&key).cloned();
            let models = self.assign_homes(context, &key);
            if self.unpooled_homes.get(&key) != before.as_ref() {
                affected.extend(models);
            }
        }
        affected
    }

    /// Returns the model whose homes a record without a pool holds; `None` if it is the one that the key
    /// names, or none that is known.
    fn owner_of_unpooled(&self, context: HomesContext<'_>, key: &ModelName) -> Option<ModelName> {
        let HomesContext { catalogue, pool_of } = context;
        let record = homes_of(self.homes.get(key)?)?;
        if catalogue.models.contains_key(key) {
            return None;
        }
        let pool = record.engines.iter().find_map(pool_of);
        let owner = match &pool {
            Some(pool) => catalogue.namesakes(key).find(|model| model.pool() == Some(pool)),
            None => catalogue.only_namesake(key),
        };
        owner.filter(|model| !self.has_homes(model)).cloned()
    }

    /// Returns the key under which the homes of a model stand.
    ///
    /// A record that belongs to a model of a pool is not that of the mere name: it would be taken for the
    /// record of a removed model, and deleted.
    fn current_homes_key(&self, model: &ModelName) -> Option<ModelName> {
        if self.has_homes(model) && !self.unpooled_homes.contains_key(model) {
            return Some(model.clone());
        }
        let unpooled = model.without_pool();
        (self.unpooled_homes.get(&unpooled) == Some(model)).then_some(unpooled)
    }

    /// Reports whether there is a record under a key.
    fn has_homes(&self, key: &ModelName) -> bool {
        self.homes.get(key).is_some_and(|entry| homes_of(entry).is_some())
    }
}

const fn homes_of(entry: &Versioned) -> Option<&HomesRecord> {
    match &entry.record {
        Some(Record::Homes(record)) => Some(record),
        _ => None,
    }
}
