//! In-memory key-value data with leases and change history. Start with [`Kv`].

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use skylarkshore_wire::etcd::{
    Bytes64, Compare, CompareResult, CompareTarget, DeleteRangeRequest, Int64, KeyValue, PutRequest,
    RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse, WatchEvent,
    WatchEventKind, WriteResponse,
};
use tokio::time::Instant;

/// A lease and the keys deleted when it ends.
#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// Keys, leases and history at one revision.
#[derive(Clone, Debug)]
pub(crate) struct Kv {
    revision: u64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    history: Vec<WatchEvent>,
}

impl Default for Kv {
    fn default() -> Self {
        // etcd starts at revision 1 as well.
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 0,
            history: Vec::new(),
        }
    }
}

/// A write refers to a lease that doesn't exist or has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseNotFound;

impl Kv {
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) const fn header(&self) -> ResponseHeader {
        ResponseHeader { revision: Int64(self.revision) }
    }

    pub(crate) fn range(&self, req: &RangeRequest) -> RangeResponse {
        let found: Vec<&KeyValue> = self.keys_in(&req.key, &req.range_end);
        let limit =
            if req.limit.0 == 0 { usize::MAX } else { usize::try_from(req.limit.0).unwrap_or(usize::MAX) };
        RangeResponse {
            header: self.header(),
            kvs: found.iter().take(limit).map(|kv| (*kv).clone()).collect(),
            more: found.len() > limit,
            count: Int64(found.len() as u64),
        }
    }

    pub(crate) fn txn(&mut self, req: &TxnRequest) -> Result<TxnResponse, LeaseNotFound> {
        let succeeded = req.compare.iter().all(|compare| self.compare_holds(compare));
        let steps = if succeeded { &req.success } else { &req.failure };
        if steps.iter().any(|step| self.refers_to_missing_lease(step)) {
            return Err(LeaseNotFound);
        }
        let next = self.revision + 1;
        let mut responses = Vec::with_capacity(steps.len());
        for step in steps {
            responses.push(self.execute_op(step, next));
        }
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.next_lease += 1;
        let lease = Lease { ttl, expires: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Renews a lease and returns its time to live, or `None` if it has ended.
    pub(crate) fn keep_alive(&mut self, id: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and reports whether it existed.
    pub(crate) fn revoke(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        let next = self.revision + 1;
        for key in lease.keys {
            self.delete(&key, next);
        }
        true
    }

    /// Ends the leases that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        let due: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.expires <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.revoke(id);
        }
    }

    /// Returns the changes in a range since revision `from`, inclusive.
    pub(crate) fn changes(&self, key: &Bytes64, range_end: &Bytes64, from: u64) -> Vec<WatchEvent> {
        let start = self.history.partition_point(|event| event.kv.mod_revision.0 < from);
        let inside = |event: &&WatchEvent| in_range(&event.kv.key.0, key, range_end);
        self.history[start..].iter().filter(inside).cloned().collect()
    }

    fn keys_in(&self, key: &Bytes64, range_end: &Bytes64) -> Vec<&KeyValue> {
        if range_end.is_empty() {
            return self.keys.get(&key.0).into_iter().collect();
        }
        let from = (Bound::Included(key.0.clone()), Bound::Unbounded);
        self.keys.range(from).map(|(_, kv)| kv).take_while(|kv| in_range(&kv.key.0, key, range_end)).collect()
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key.0);
        let (found, wanted) = match compare.target {
            CompareTarget::Version => (kv.map(|kv| kv.version), compare.version),
            CompareTarget::Create => (kv.map(|kv| kv.create_revision), compare.create_revision),
            CompareTarget::Mod => (kv.map(|kv| kv.mod_revision), compare.mod_revision),
        };
        let (found, wanted) = (found.unwrap_or_default(), wanted.unwrap_or_default());
        match compare.result {
            CompareResult::Equal => found == wanted,
            CompareResult::NotEqual => found != wanted,
            CompareResult::Greater => found > wanted,
            CompareResult::Less => found < wanted,
        }
    }

    fn refers_to_missing_lease(&self, step: &RequestOp) -> bool {
        match step {
            RequestOp::Put(put) => put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0),
            RequestOp::Range(_) | RequestOp::DeleteRange(_) => false,
        }
    }

    fn execute_op(&mut self, step: &RequestOp, next: u64) -> ResponseOp {
        match step {
            RequestOp::Range(req) => ResponseOp::Range(self.range(req)),
            RequestOp::Put(req) => {
                self.put(req, next);
                ResponseOp::Put(WriteResponse { header: self.header(), deleted: Int64(0) })
            }
            RequestOp::DeleteRange(req) => {
                let deleted = self.delete_range(req, next);
                ResponseOp::DeleteRange(WriteResponse { header: self.header(), deleted: Int64(deleted) })
            }
        }
    }

    fn put(&mut self, req: &PutRequest, next: u64) {
        let known = self.keys.get(&req.key.0);
        let old_lease = known.map(|kv| kv.lease.0).unwrap_or_default();
        let kv = KeyValue {
            key: req.key.clone(),
            create_revision: known.map_or(Int64(next), |kv| kv.create_revision),
            mod_revision: Int64(next),
            version: Int64(known.map_or(0, |kv| kv.version.0) + 1),
            value: req.value.clone(),
            lease: req.lease,
        };
        if let Some(lease) = self.leases.get_mut(&old_lease) {
            lease.keys.remove(&req.key.0);
        }
        if let Some(lease) = self.leases.get_mut(&req.lease.0) {
            lease.keys.insert(req.key.0.clone());
        }
        self.revision = next;
        self.history.push(WatchEvent { kind: WatchEventKind::Put, kv: kv.clone() });
        self.keys.insert(req.key.0.clone(), kv);
    }

    fn delete_range(&mut self, req: &DeleteRangeRequest, next: u64) -> u64 {
        let found: Vec<Vec<u8>> =
            self.keys_in(&req.key, &req.range_end).iter().map(|kv| kv.key.0.clone()).collect();
        for key in &found {
            self.delete(key, next);
        }
        found.len() as u64
    }

    fn delete(&mut self, key: &[u8], next: u64) {
        let Some(kv) = self.keys.remove(key) else { return };
        if let Some(lease) = self.leases.get_mut(&kv.lease.0) {
            lease.keys.remove(key);
        }
        self.revision = next;
        let tombstone = KeyValue { key: kv.key, mod_revision: Int64(next), ..KeyValue::default() };
        self.history.push(WatchEvent { kind: WatchEventKind::Delete, kv: tombstone });
    }
}

fn in_range(candidate: &[u8], key: &Bytes64, range_end: &Bytes64) -> bool {
    if range_end.is_empty() {
        return candidate == key.0;
    }
    // A single zero byte means no upper bound.
    candidate >= key.0.as_slice() && (range_end.0 == [0] || candidate < range_end.0.as_slice())
}
