//! A process's copy of the shared keys; see [`StoreCache`].

mod homes;

pub(crate) use homes::HomesContext;

use crate::collections::{HashSet, OrderedMap};
use crate::id::{HostId, ModelName, SiteName, StoreRevision, UpstreamId};
use crate::store::{Key, MemberRecord, OwnerRecord, PowerRecord, Record, Versioned};

/// A process's copy of the shared keys, in which the revision of a key never decreases.
///
/// Changes arrive in any order from a watch, a read or a peer. Each key keeps the change
/// of the highest revision, so a stale read or a late message can't restore an older value.
#[derive(Clone, Debug, Default)]
pub struct StoreCache {
    members: OrderedMap<HostId, Versioned>,
    owners: OrderedMap<UpstreamId, Versioned>,
    /// By the model that the key names; see [`homes`].
    homes: OrderedMap<ModelName, Versioned>,
    /// The models whose homes stand under keys that name no pool, by that key.
    unpooled_homes: OrderedMap<ModelName, ModelName>,
    others: OrderedMap<Key, Versioned>,
    latest_revision: StoreRevision,
    members_version: u64,
}

impl StoreCache {
    /// Applies a change, and reports whether it changed the key's value.
    pub fn apply(&mut self, change: Versioned) -> bool {
        let known = self.get(&change.key);
        if known.is_some_and(|known| known.revision >= change.revision) {
            return false;
        }
        let known_record = known.and_then(|known| known.record.as_ref());
        let value_changed = known_record != change.record.as_ref();
        self.latest_revision = self.latest_revision.max(change.revision);
        self.insert(change);
        value_changed
    }

    fn insert(&mut self, change: Versioned) {
        match change.key.clone() {
            Key::Member(host) => {
                self.members_version += 1;
                self.members.insert(host, change);
            }
            Key::Owner(engine) => drop(self.owners.insert(engine, change)),
            Key::Homes(model) => drop(self.homes.insert(model, change)),
            key => drop(self.others.insert(key, change)),
        }
    }

    /// Applies a read of all shared keys, and returns the keys whose values changed.
    ///
    /// A cached key that the read lacks was deleted, unless its cached revision is newer
    /// than the read.
    pub fn apply_snapshot(&mut self, revision: StoreRevision, records: Vec<Versioned>) -> Vec<Key> {
        let present: HashSet<&Key> = records.iter().map(|r| &r.key).collect();
        let deleted: Vec<Versioned> = self
            .entries()
            .filter(|known| {
                known.record.is_some() && known.revision < revision && !present.contains(&known.key)
            })
            .map(|known| Versioned { key: known.key.clone(), revision, writer: None, record: None })
            .collect();
        let mut changed = Vec::new();
        for change in records.into_iter().chain(deleted) {
            let key = change.key.clone();
            if self.apply(change) {
                changed.push(key);
            }
        }
        self.latest_revision = self.latest_revision.max(revision);
        changed
    }

    /// Returns the highest revision that has been applied.
    pub const fn latest_revision(&self) -> StoreRevision {
        self.latest_revision
    }

    /// Returns a key's last known state, including deletions.
    pub fn get(&self, key: &Key) -> Option<&Versioned> {
        match key {
            Key::Member(host) => self.members.get(host),
            Key::Owner(engine) => self.owners.get(engine),
            Key::Homes(model) => self.homes.get(model),
            key => self.others.get(key),
        }
    }

    fn entries(&self) -> impl Iterator<Item = &Versioned> {
        let typed = self.members.values().chain(self.owners.values()).chain(self.homes.values());
        self.others.values().chain(typed)
    }

    /// Returns every change after `revision`, including deletions.
    pub fn changes_after(&self, revision: StoreRevision) -> impl Iterator<Item = &Versioned> {
        self.entries().filter(move |entry| entry.revision > revision)
    }

    /// Returns a live member's record.
    pub fn member(&self, host: &HostId) -> Option<&MemberRecord> {
        member_of(self.members.get(host)?)
    }

    /// Returns a counter that rises with every change of a member key.
    pub const fn members_version(&self) -> u64 {
        self.members_version
    }

    /// Returns every live member.
    pub fn members(&self) -> impl Iterator<Item = (&HostId, &MemberRecord)> {
        self.members.iter().filter_map(|(host, entry)| Some((host, member_of(entry)?)))
    }

    /// Returns an engine's owner, with the revision of that record.
    pub fn owner(&self, engine: &UpstreamId) -> Option<(StoreRevision, &OwnerRecord)> {
        let entry = self.owners.get(engine)?;
        Some((entry.revision, owner_of(entry)?))
    }

    /// Returns every engine that has an owner.
    pub fn owners(&self) -> impl Iterator<Item = (&UpstreamId, &OwnerRecord)> {
        self.owners.iter().filter_map(|(engine, entry)| Some((engine, owner_of(entry)?)))
    }

    /// Returns a site's power grants, with the revision of that record.
    pub fn power(&self, site: &SiteName) -> Option<(StoreRevision, &PowerRecord)> {
        let entry = self.others.get(&Key::Power(site.clone()))?;
        match entry.record.as_ref()? {
            Record::Power(record) => Some((entry.revision, record)),
            _ => None,
        }
    }
}

const fn member_of(entry: &Versioned) -> Option<&MemberRecord> {
    match &entry.record {
        Some(Record::Member(record)) => Some(record),
        _ => None,
    }
}

const fn owner_of(entry: &Versioned) -> Option<&OwnerRecord> {
    match &entry.record {
        Some(Record::Owner(record)) => Some(record),
        _ => None,
    }
}
