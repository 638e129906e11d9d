//! Simulated key-value service. Start with [`Store`].

use std::time::Duration;

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{LeaseId, StoreRevision};
use skylarkshore_core::store::{Expect, Key, Record, StoreAnswer, StoreCall, Versioned, Writer};
use skylarkshore_core::time::Time;

/// Availability of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Calls are answered.
    #[default]
    Up,
    /// Connections are refused.
    Refusing,
    /// Calls have no effect and get no answer.
    Hanging,
    /// Calls take effect, but get no answer.
    Mute,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires: Time,
}

#[derive(Clone, Debug)]
struct Entry {
    versioned: Versioned,
    lease: Option<LeaseId>,
}

/// Number of calls by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Reads of one or more keys.
    pub reads: u64,
    /// Writes, successful or not.
    pub writes: u64,
    /// Lease grants, renewals and revocations.
    pub leases: u64,
}

/// Changes to be sent to a watching host.
#[derive(Debug)]
pub(crate) struct WatchUpdate {
    pub(crate) host: usize,
    pub(crate) changes: Vec<Versioned>,
    pub(crate) upto: StoreRevision,
}

/// An in-memory key-value service with leases and watches.
#[derive(Debug, Default)]
pub struct Store {
    /// Current availability.
    pub mode: StoreMode,
    /// Calls so far.
    pub calls: CallCounts,
    revision: StoreRevision,
    entries: OrderedMap<Key, Entry>,
    history: Vec<Versioned>,
    leases: OrderedMap<LeaseId, Lease>,
    next_lease: u64,
    watchers: OrderedMap<usize, StoreRevision>,
}

impl Store {
    /// Returns the revision of the last change.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &Key) -> Option<&Versioned> {
        self.entries.get(key).map(|e| &e.versioned)
    }

    /// Returns the values of all keys.
    pub fn all(&self) -> impl Iterator<Item = &Versioned> {
        self.entries.values().map(|e| &e.versioned)
    }

    pub(crate) fn call(&mut self, request: StoreCall, now: Time) -> StoreAnswer {
        self.expire_leases(now);
        match request {
            StoreCall::ReadShared => {
                self.calls.reads += 1;
                let shared = self.all().filter(|v| !matches!(v.key, Key::Once(_)));
                StoreAnswer::Shared { revision: self.revision, records: shared.cloned().collect() }
            }
            StoreCall::Read(key) => {
                self.calls.reads += 1;
                StoreAnswer::One(self.read(&key))
            }
            StoreCall::Write { key, expect, record, writer, lease } => {
                self.calls.writes += 1;
                self.write(&key, expect, record, Some(writer), lease)
            }
            StoreCall::GrantLease { ttl } => {
                self.calls.leases += 1;
                self.next_lease += 1;
                let lease = LeaseId(self.next_lease);
                self.leases.insert(lease, Lease { ttl, expires: now.after(ttl) });
                StoreAnswer::Lease { lease, ttl }
            }
            StoreCall::RenewLease(lease) => {
                self.calls.leases += 1;
                self.renew(lease, now)
            }
            StoreCall::RevokeLease(lease) => {
                self.calls.leases += 1;
                self.end_lease(lease);
                StoreAnswer::LeaseGone
            }
        }
    }

    pub(crate) fn write(
        &mut self,
        key: &Key,
        expect: Expect,
        record: Option<Record>,
        writer: Option<Writer>,
        lease: Option<LeaseId>,
    ) -> StoreAnswer {
        let found = self.entries.get(key).map(|e| e.versioned.revision);
        let expected = match expect {
            Expect::Absent => None,
            Expect::At(revision) => Some(revision),
        };
        if found != expected || lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreAnswer::Conflict(self.read(key));
        }
        self.put(key, record, writer, lease);
        StoreAnswer::Written(self.revision)
    }

    fn put(&mut self, key: &Key, record: Option<Record>, writer: Option<Writer>, lease: Option<LeaseId>) {
        self.revision = self.revision.next();
        let versioned = Versioned { key: key.clone(), revision: self.revision, writer, record };
        self.history.push(versioned.clone());
        if versioned.record.is_some() {
            self.entries.insert(key.clone(), Entry { versioned, lease });
        } else {
            self.entries.remove(key);
        }
    }

    fn read(&self, key: &Key) -> Versioned {
        self.get(key).cloned().unwrap_or_else(|| Versioned {
            key: key.clone(),
            revision: self.revision,
            writer: None,
            record: None,
        })
    }

    fn renew(&mut self, lease: LeaseId, now: Time) -> StoreAnswer {
        let Some(entry) = self.leases.get_mut(&lease) else { return StoreAnswer::LeaseGone };
        entry.expires = now.after(entry.ttl);
        StoreAnswer::Lease { lease, ttl: entry.ttl }
    }

    pub(crate) fn expire_leases(&mut self, now: Time) {
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, l)| l.expires.is_due(now)).map(|(id, _)| *id).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys: Vec<Key> =
            self.entries.iter().filter(|(_, e)| e.lease == Some(lease)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.put(&key, None, None, None);
        }
    }

    pub(crate) fn watch(&mut self, host: usize, from: StoreRevision) {
        self.watchers.insert(host, from);
    }

    pub(crate) fn unwatch(&mut self, host: usize) {
        self.watchers.remove(&host);
    }

    pub(crate) fn take_watchers(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.watchers).into_keys().collect()
    }

    /// Returns the changes that each watcher hasn't received yet.
    pub(crate) fn take_updates(&mut self) -> Vec<WatchUpdate> {
        if self.mode != StoreMode::Up {
            return Vec::new();
        }
        let revision = self.revision;
        let mut updates = Vec::new();
        for (host, from) in &mut self.watchers {
            let start = self.history.partition_point(|v| v.revision < *from);
            let shared = |v: &&Versioned| !matches!(v.key, Key::Once(_));
            let changes: Vec<Versioned> = self.history[start..].iter().filter(shared).cloned().collect();
            *from = revision.next();
            if !changes.is_empty() {
                updates.push(WatchUpdate { host: *host, changes, upto: revision });
            }
        }
        updates
    }
}
