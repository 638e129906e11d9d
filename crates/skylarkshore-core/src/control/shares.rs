//! Which process each engine should belong to.

use super::hashing::{HashedHosts, name_hash, pair_weight};
use crate::collections::{OrderedMap, OrderedSet};
use crate::id::{HostId, UpstreamId};
use crate::store::StoreCache;

/// How much less the receiver has to own for an engine to change hands; with
/// less, the engine could as well move back.
const WORTHWHILE: usize = 2;

/// Up to how many pairs of an engine and a host all engines are shared out together.
///
/// Beyond, the hosts' largest shares aren't bounded from the start; hand-overs even them out.
const FEW_PAIRS: usize = 100_000;

/// The most engines that one of `hosts` processes should own.
pub(super) fn largest_share(engines: usize, hosts: usize) -> usize {
    (engines * 5).div_ceil(hosts.max(1) * 4)
}

/// Shares the engines out by rendezvous hashing, none more than [`largest_share`] to one host.
///
/// The result depends on the two sets alone, so that processes that know the
/// same members and engines agree on it.
fn assign<'a>(
    engines: impl ExactSizeIterator<Item = &'a UpstreamId>,
    hosts: &[HostId],
) -> OrderedMap<UpstreamId, HostId> {
    let most = largest_share(engines.len(), hosts.len());
    let mut candidates: Vec<Candidate<'_>> =
        hosts.iter().map(|host| Candidate { host, hash: name_hash(host.as_str()), engines: 0 }).collect();
    let mut shares = OrderedMap::new();
    for engine in engines {
        let key = name_hash(engine.as_str());
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.engines < most)
            .max_by_key(|candidate| pair_weight(key, candidate.hash));
        if let Some(best) = best {
            best.engines += 1;
            shares.insert(engine.clone(), best.host.clone());
        }
    }
    shares
}

/// Who should own which engine, kept until members or engines change.
#[derive(Debug, Default)]
pub(super) struct Shares {
    hosts: Vec<HostId>,
    engines: OrderedSet<UpstreamId>,
    owners: OrderedMap<UpstreamId, HostId>,
}

impl Shares {
    /// Returns who should own an engine, as far as that is of interest to this process.
    pub(super) fn owner(&self, engine: &UpstreamId) -> Option<&HostId> {
        self.owners.get(engine)
    }

    /// Shares the engines out anew where members or engines have changed.
    ///
    /// Where they are many, only the engines `of_interest` are, each by itself.
    pub(super) fn update<'a>(
        &mut self,
        hosts: &[HostId],
        engines: OrderedSet<UpstreamId>,
        of_interest: impl Iterator<Item = &'a UpstreamId>,
    ) {
        let are_hosts_known = self.hosts == hosts;
        if hosts.len() * engines.len() <= FEW_PAIRS {
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
            self.owners = of_interest.filter_map(|engine| Some((engine.clone(), owner(engine)?))).collect();
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

/// How many engines each live member owns by the records.
#[derive(Debug)]
pub(super) struct Balance {
    owned: OrderedMap<HostId, usize>,
    total: usize,
}

impl Balance {
    /// Counts the records.
    pub(super) fn new(cache: &StoreCache, hosts: &[HostId]) -> Self {
        let mut owned: OrderedMap<HostId, usize> = hosts.iter().map(|host| (host.clone(), 0)).collect();
        let mut total = 0;
        for (_, owner) in cache.owners() {
            total += 1;
            if let Some(count) = owned.get_mut(&owner.host) {
                *count += 1;
            }
        }
        Self { owned, total }
    }

    /// Returns who should get an engine of `own`, if it should change hands at all.
    ///
    /// An engine only moves to a member that owns fewer by [`WORTHWHILE`], so
    /// that every move evens the numbers out and none is undone by the next.
    pub(super) fn receiver<'a>(
        &'a self,
        own: &HostId,
        share: Option<&'a HostId>,
        leaving: bool,
    ) -> Option<&'a HostId> {
        let share = share.filter(|host| *host != own && self.owned.contains_key(*host));
        if leaving {
            return share.or_else(|| self.least(own));
        }
        let mine = self.count(own);
        let hosts = self.owned.len().max(1);
        let worthwhile = |host: &&HostId| mine >= self.count(host) + WORTHWHILE;
        let uneven =
            |host: &&HostId| mine > self.total.div_ceil(hosts) || self.count(host) < self.total / hosts;
        if let Some(share) = share.filter(worthwhile).filter(uneven) {
            return Some(share);
        }
        if mine <= largest_share(self.total, hosts) {
            return None;
        }
        self.least(own).filter(worthwhile)
    }

    /// Returns how many engines a member owns beyond the mean.
    pub(super) fn excess(&self, host: &HostId) -> usize {
        self.count(host).saturating_sub(self.total.div_ceil(self.owned.len().max(1)))
    }

    /// Counts an engine as moved.
    pub(super) fn move_one(&mut self, from: &HostId, to: &HostId) {
        if let Some(count) = self.owned.get_mut(from) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.owned.get_mut(to) {
            *count += 1;
        }
    }

    fn count(&self, host: &HostId) -> usize {
        self.owned.get(host).copied().unwrap_or(0)
    }

    fn least(&self, own: &HostId) -> Option<&HostId> {
        let others = self.owned.iter().filter(|(host, _)| *host != own);
        others.min_by_key(|(_, count)| **count).map(|(host, _)| host)
    }
}
