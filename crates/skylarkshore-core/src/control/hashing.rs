//! Rendezvous hashing, with which all processes pick the same host for a key without coordination.
//!
//! The hash is implemented here because processes of different builds must agree on it during an upgrade.

use crate::collections::OrderedMap;
use crate::id::HostId;
use crate::store::MemberRecord;
use crate::units::Capacity;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

pub(crate) fn name_hash(name: &str) -> u64 {
    let fnv = name.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mix(fnv)
}

/// Returns the rendezvous weight of a key and a candidate.
pub(super) const fn pair_weight(key: u64, candidate: u64) -> u64 {
    mix(key ^ candidate.rotate_left(32))
}

/// The finalizer of splitmix64, which spreads every bit over the whole word.
const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the hosts by descending weight for the key.
pub(crate) fn ranking<'a>(key: &str, hosts: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let key = name_hash(key);
    let mut ranked: Vec<&HostId> = hosts.collect();
    ranked.sort_by_cached_key(|host| std::cmp::Reverse(pair_weight(key, name_hash(host.as_str()))));
    ranked
}

/// Returns the members in the order in which they should serve the key, larger hosts first.
///
/// Among equal capacities the rendezvous weight decides.
pub(crate) fn ranking_by_capacity<'a>(
    key: &str,
    members: impl Iterator<Item = (&'a HostId, &'a MemberRecord)>,
) -> Vec<&'a HostId> {
    let capacities: OrderedMap<&HostId, Capacity> =
        members.map(|(host, member)| (host, member.capacity)).collect();
    let mut ranked = ranking(key, capacities.keys().copied());
    ranked.sort_by_cached_key(|host| std::cmp::Reverse(capacities.get(host)));
    ranked
}

/// Hosts with precomputed name hashes, for lookups of many keys.
#[derive(Debug)]
pub(super) struct HashedHosts<'a> {
    hosts: Vec<(u64, &'a HostId)>,
}

impl<'a> HashedHosts<'a> {
    pub(super) fn new(hosts: &'a [HostId]) -> Self {
        Self { hosts: hosts.iter().map(|host| (name_hash(host.as_str()), host)).collect() }
    }

    /// Returns the host with the highest weight for the key.
    pub(super) fn winner(&self, key: &str) -> Option<&'a HostId> {
        let key = name_hash(key);
        self.hosts.iter().max_by_key(|(hash, _)| pair_weight(key, *hash)).map(|(_, host)| *host)
    }

    /// Returns how many hosts rank before `host` for the key.
    pub(super) fn rank(&self, key: &str, host: &HostId) -> Option<usize> {
        self.rank_excluding(key, host, None)
    }

    /// Returns the rank without counting `excluded`.
    pub(super) fn rank_excluding(
        &self,
        key: &str,
        host: &HostId,
        excluded: Option<&HostId>,
    ) -> Option<usize> {
        let key = name_hash(key);
        let (own, _) = self.hosts.iter().find(|(_, known)| *known == host)?;
        let own = pair_weight(key, *own);
        let preceding = self.hosts.iter().filter(|(hash, _)| pair_weight(key, *hash) > own);
        Some(preceding.filter(|(_, known)| Some(*known) != excluded).count())
    }
}
