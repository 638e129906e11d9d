//! An in-memory key-value service with leases and a change log.

use std::collections::BTreeMap;

use skylarkshore_core::Time;
use skylarkshore_core::id::{LeaseId, StoreRevision};
use skylarkshore_core::store::{Expect, Key, Record, StoreAnswer, StoreCall, Versioned};

#[derive(Clone)]
pub struct Entry {
    pub versioned: Versioned,
    lease: Option<LeaseId>,
}

#[derive(Clone)]
pub struct Lease {
    pub ttl: std::time::Duration,
    pub expires_at: Time,
}

/// The service's state.
#[derive(Clone, Default)]
pub struct Store {
    pub revision: StoreRevision,
    pub entries: BTreeMap<Key, Entry>,
    pub leases: BTreeMap<LeaseId, Lease>,
    /// All changes, read by watches.
    pub log: Vec<Versioned>,
    /// The number of calls so far.
    pub calls: u64,
}

impl Store {
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    pub fn record(&self, key: &Key) -> Option<&Record> {
        self.entries.get(key).and_then(|entry| entry.versioned.record.as_ref())
    }

    /// Returns every record.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().filter_map(|entry| entry.versioned.record.as_ref())
    }

    /// Writes a record without a writer or lease, as an operator does.
    pub fn put(&mut self, key: Key, record: Record) {
        self.change(key, Some(record), None, None);
    }

    pub fn expire(&mut self, now: Time) {
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at.is_due(now)).map(|(id, _)| *id).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    pub fn call(&mut self, now: Time, call: StoreCall) -> StoreAnswer {
        self.calls += 1;
        match call {
            StoreCall::ReadShared => StoreAnswer::Shared {
                revision: self.revision,
                records: self.entries.values().map(|entry| entry.versioned.clone()).collect(),
            },
            StoreCall::Read(key) => StoreAnswer::One(self.get(&key)),
            StoreCall::Write { key, expect, record, writer, lease } => {
                let found = self.get(&key);
                let precondition_holds = match expect {
                    Expect::Absent => found.record.is_none(),
                    Expect::At(revision) => found.record.is_some() && found.revision == revision,
                };
                if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                    return StoreAnswer::LeaseGone;
                }
                if !precondition_holds {
                    return StoreAnswer::Conflict(found);
                }
                self.change(key, record, Some(writer), lease);
                StoreAnswer::Written(self.revision)
            }
            StoreCall::GrantLease { ttl } => {
                let lease = LeaseId(self.calls);
                self.leases.insert(lease, Lease { ttl, expires_at: now.after(ttl) });
                StoreAnswer::Lease { lease, ttl }
            }
            StoreCall::RenewLease(id) => match self.leases.get_mut(&id) {
                Some(lease) => {
                    lease.expires_at = now.after(lease.ttl);
                    StoreAnswer::Lease { lease: id, ttl: lease.ttl }
                }
                None => StoreAnswer::LeaseGone,
            },
            StoreCall::RevokeLease(id) => {
                self.end_lease(id);
                StoreAnswer::LeaseGone
            }
        }
    }

    fn get(&self, key: &Key) -> Versioned {
        self.entries.get(key).map_or_else(
            || Versioned { key: key.clone(), revision: self.revision, writer: None, record: None },
            |entry| entry.versioned.clone(),
        )
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let attached: Vec<Key> =
            self.entries.iter().filter(|(_, e)| e.lease == Some(lease)).map(|(key, _)| key.clone()).collect();
        for key in attached {
            self.change(key, None, None, None);
        }
    }

    fn change(
        &mut self,
        key: Key,
        record: Option<Record>,
        writer: Option<skylarkshore_core::store::Writer>,
        lease: Option<LeaseId>,
    ) {
        self.revision = self.revision.next();
        let versioned = Versioned { key: key.clone(), revision: self.revision, writer, record };
        self.log.push(versioned.clone());
        if versioned.record.is_some() {
            self.entries.insert(key, Entry { versioned, lease });
        } else {
            self.entries.remove(&key);
        }
    }
}
