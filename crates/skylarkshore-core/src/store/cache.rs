//! A process's copy of the shared keys.

use crate::collections::{OrderedMap, OrderedSet};
use crate::id::{HostId, ModelName, SiteName, StoreRevision, UpstreamId};
use crate::store::{HomesRecord, Key, MemberRecord, OwnerRecord, PowerRecord, Record, Versioned};

/// A process's copy of the shared keys, in which no key ever goes back.
///
/// Changes come in any order and from anywhere: a watch, a read, a peer. Each
/// key keeps the change of the highest revision, so that a stale read or a late
/// message can't bring an older value back into force.
#[derive(Clone, Debug, Default)]
pub struct StoreCache {
    entries: OrderedMap<Key, Versioned>,
    newest: StoreRevision,
}

impl StoreCache {
    /// Takes a change over and tells whether it was news.
    pub fn apply(&mut self, change: Versioned) -> bool {
        let known = self.entries.get(&change.key);
        if known.is_some_and(|known| known.revision >= change.revision) {
            return false;
        }
        let known_record = known.and_then(|known| known.record.as_ref());
        let news = known_record != change.record.as_ref();
        self.newest = self.newest.max(change.revision);
        self.entries.insert(change.key.clone(), change);
        news
    }

    /// Takes a read of all shared keys over and returns the keys that changed.
    ///
    /// A known key that the read lacks was deleted, unless the read is older
    /// than what is known of the key.
    pub fn apply_all(&mut self, revision: StoreRevision, records: Vec<Versioned>) -> Vec<Key> {
        let present: OrderedSet<Key> = records.iter().map(|r| r.key.clone()).collect();
        let gone: Vec<Versioned> = self
            .entries
            .values()
            .filter(|known| {
                known.record.is_some() && known.revision < revision && !present.contains(&known.key)
            })
            .map(|known| Versioned { key: known.key.clone(), revision, writer: None, record: None })
            .collect();
        let mut changed = Vec::new();
        for change in records.into_iter().chain(gone) {
            let key = change.key.clone();
            if self.apply(change) {
                changed.push(key);
            }
        }
        self.newest = self.newest.max(revision);
        changed
    }

    /// Returns the highest revision that has been seen.
    pub const fn newest(&self) -> StoreRevision {
        self.newest
    }

    /// Returns what is known of a key, deletions included.
    pub fn get(&self, key: &Key) -> Option<&Versioned> {
        self.entries.get(key)
    }

    /// Returns every change after `revision`, deletions included.
    pub fn changes_after(&self, revision: StoreRevision) -> impl Iterator<Item = &Versioned> {
        self.entries.values().filter(move |entry| entry.revision > revision)
    }

    /// Returns a live member's record.
    pub fn member(&self, host: &HostId) -> Option<&MemberRecord> {
        match self.record(&Key::Member(host.clone()))? {
            Record::Member(record) => Some(record),
            _ => None,
        }
    }

    /// Returns every live member.
    pub fn members(&self) -> impl Iterator<Item = (&HostId, &MemberRecord)> {
        self.entries.values().filter_map(|entry| match (&entry.key, &entry.record) {
            (Key::Member(host), Some(Record::Member(record))) => Some((host, record)),
            _ => None,
        })
    }

    /// Returns who owns an engine, with the revision of that record.
    pub fn owner(&self, engine: &UpstreamId) -> Option<(StoreRevision, &OwnerRecord)> {
        let entry = self.entries.get(&Key::Owner(engine.clone()))?;
        match entry.record.as_ref()? {
            Record::Owner(record) => Some((entry.revision, record)),
            _ => None,
        }
    }

    /// Returns every engine that has an owner.
    pub fn owners(&self) -> impl Iterator<Item = (&UpstreamId, &OwnerRecord)> {
        self.entries.values().filter_map(|entry| match (&entry.key, &entry.record) {
            (Key::Owner(engine), Some(Record::Owner(record))) => Some((engine, record)),
            _ => None,
        })
    }

    /// Returns a model's homes, with the revision of that record.
    pub fn homes(&self, model: &ModelName) -> Option<(StoreRevision, &HomesRecord)> {
        let entry = self.entries.get(&Key::Homes(model.clone()))?;
        match entry.record.as_ref()? {
            Record::Homes(record) => Some((entry.revision, record)),
            _ => None,
        }
    }

    /// Returns every model's homes.
    pub fn all_homes(&self) -> impl Iterator<Item = (&ModelName, &HomesRecord)> {
        self.entries.values().filter_map(|entry| match (&entry.key, &entry.record) {
            (Key::Homes(model), Some(Record::Homes(record))) => Some((model, record)),
            _ => None,
        })
    }

    /// Returns how a site's power is shared out, with the revision of that record.
    pub fn power(&self, site: &SiteName) -> Option<(StoreRevision, &PowerRecord)> {
        let entry = self.entries.get(&Key::Power(site.clone()))?;
        match entry.record.as_ref()? {
            Record::Power(record) => Some((entry.revision, record)),
            _ => None,
        }
    }

    fn record(&self, key: &Key) -> Option<&Record> {
        self.entries.get(key)?.record.as_ref()
    }
}
