//! Assignment of engines to members by rendezvous hashing, and the balance of owned engines.
//!
//! Start reading at [`Assignment`].

use std::cmp::Reverse;

use super::hashing::{HashedHosts, name_hash, pair_weight};
use crate::collections::{OrderedMap, OrderedSet};
use crate::id::{HostId, UpstreamId};
use crate::store::StoreCache;

/// Minimum difference in owned engines for a move; with less, the engine could move straight back.
const MIN_DIFFERENCE_TO_MOVE: usize = 2;

/// Maximum number of engine-host pairs for which all engines are assigned together, with a bound per host.
///
/// Above it each engine is assigned by itself without a bound, and hand-overs balance the numbers.
const MAX_BOUNDED_PAIRS: usize = 100_000;

/// Returns the maximum number of engines that one of `hosts` processes should own: a
/// quarter more than the mean.
pub(super) fn max_owned(engines: usize, hosts: usize) -> usize {
    (engines * 5).div_ceil(hosts.max(1) * 4)
}

/// Assigns engines by rendezvous hashing, at most [`max_owned`] to each host.
///
/// The result depends only on the two sets, so processes that know the same members and
/// engines agree on it.
fn assign<'a>(
    engines: impl ExactSizeIterator<Item = &'a UpstreamId>,
    hosts: &[HostId],
) -> OrderedMap<UpstreamId, HostId> {
    let limit = max_owned(engines.len(), hosts.len());
    let mut candidates: Vec<Candidate<'_>> =
        hosts.iter().map(|host| Candidate { host, hash: name_hash(host.as_str()), engines: 0 }).collect();
    let mut assignment = OrderedMap::new();
    for engine in engines {
        let key = name_hash(engine.as_str());
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.engines < limit)
            .max_by_key(|candidate| pair_weight(key, candidate.hash));
        if let Some(best) = best {
            best.engines += 1;
            assignment.insert(engine.clone(), best.host.clone());
        }
    }
    assignment
}

/// The assigned owner of each engine, cached until members or engines change.
#[derive(Debug, Default)]
pub(super) struct Assignment {
    hosts: Vec<HostId>,
    engines: OrderedSet<UpstreamId>,
    owners: OrderedMap<UpstreamId, HostId>,
}

impl Assignment {
    /// Returns the assigned owner of an engine, if it is known here.
    pub(super) fn owner(&self, engine: &UpstreamId) -> Option<&HostId> {
        self.owners.get(engine)
    }

    /// Recomputes the assignment if members or engines have changed.
    ///
    /// In a large cluster only the `relevant` engines are assigned, each by itself.
    pub(super) fn update<'a>(
        &mut self,
        hosts: &[HostId],
        engines: OrderedSet<UpstreamId>,
        relevant: impl Iterator<Item = &'a UpstreamId>,
    ) {
        let are_hosts_known = self.hosts == hosts;
        if hosts.len() * engines.len() <= MAX_BOUNDED_PAIRS {
            if !are_hosts_known || self.engines != engines {
                self.owners = assign(engines.iter(), hosts);
            }
        } else {
            let hashed = HashedHosts::new(hosts);
            let known = if are_hosts_known { std::mem::take(&mut self.owners) } else { OrderedMap::new() };
            let owner = |engine: &UpstreamId| match known.get(engine) {
                Some(host) => Some(host.clone()),
                None => hashed.winner(engine.as_str()).cloned(),
            };
            self.owners = relevant.filter_map(|engine| Some((engine.clone(), owner(engine)?))).collect();
        }
        if !are_hosts_known {
            self.hosts = hosts.to_vec();
        }
        self.engines = engines;
    }
}

struct Candidate<'a> {
    host: &'a HostId,
    hash: u64,
    engines: usize,
}

/// How many engines each live member owns according to the records.
#[derive(Debug)]
pub(super) struct OwnershipBalance {
    owned_by_host: OrderedMap<HostId, usize>,
    total: usize,
}

impl OwnershipBalance {
    pub(super) fn new(cache: &StoreCache, hosts: &[HostId]) -> Self {
        let mut owned_by_host: OrderedMap<HostId, usize> =
            hosts.iter().map(|host| (host.clone(), 0)).collect();
        let mut total = 0;
        for (_, owner) in cache.owners() {
            total += 1;
            if let Some(count) = owned_by_host.get_mut(&owner.host) {
                *count += 1;
            }
        }
        Self { owned_by_host, total }
    }

    /// Returns the member that should receive one of the engines of `own`, if one should move.
    ///
    /// An engine moves only to a member that owns at least [`MIN_DIFFERENCE_TO_MOVE`]
    /// fewer, so that every move reduces the imbalance and the next one does not undo it.
    pub(super) fn receiver<'a>(
        &'a self,
        own: &HostId,
        assignee: Option<&'a HostId>,
        leaving: bool,
    ) -> Option<&'a HostId> {
        let assignee = assignee.filter(|host| *host != own && self.owned_by_host.contains_key(*host));
        if leaving {
            return assignee.or_else(|| self.least_loaded(own));
        }
        let own_count = self.count(own);
        let hosts = self.owned_by_host.len().max(1);
        let is_worthwhile = |host: &&HostId| own_count >= self.count(host) + MIN_DIFFERENCE_TO_MOVE;
        let evens_out =
            |host: &&HostId| own_count > self.total.div_ceil(hosts) || self.count(host) < self.total / hosts;
        if let Some(assignee) = assignee.filter(is_worthwhile).filter(evens_out) {
            return Some(assignee);
        }
        if own_count <= max_owned(self.total, hosts) {
            return None;
        }
        self.least_loaded(own).filter(is_worthwhile)
    }

    /// Returns how many engines a member owns beyond the mean.
    pub(super) fn excess(&self, host: &HostId) -> usize {
        self.count(host).saturating_sub(self.total.div_ceil(self.owned_by_host.len().max(1)))
    }

    pub(super) fn record_move(&mut self, from: &HostId, to: &HostId) {
        if let Some(count) = self.owned_by_host.get_mut(from) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.owned_by_host.get_mut(to) {
            *count += 1;
        }
    }

    fn count(&self, host: &HostId) -> usize {
        self.owned_by_host.get(host).copied().unwrap_or(0)
    }

    /// Returns one of the other members that own the fewest engines.
    ///
    /// Many members may hand engines over at the same moment, so each prefers another one.
    fn least_loaded(&self, own: &HostId) -> Option<&HostId> {
        let key = name_hash(own.as_str());
        let others = self.owned_by_host.iter().filter(|(host, _)| *host != own);
        let preference = |host: &HostId| Reverse(pair_weight(key, name_hash(host.as_str())));
        others.min_by_key(|(host, count)| (**count, preference(host))).map(|(host, _)| host)
    }
}
