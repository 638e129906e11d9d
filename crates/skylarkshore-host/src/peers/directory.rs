//! The mapping between hosts and their certificates' fingerprints. Start with [`Directory`].

use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{Digest, HostId};

use crate::driver::Member;

/// A host's peer address and certificate fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerEndpoint {
    pub(super) address: SocketAddr,
    pub(super) fingerprint: Digest,
}

/// The published certificates, by host.
///
/// Entries outlive the member key. A host that is cut off from the key-value
/// service loses its key, but must still receive new rules from its peers.
#[derive(Debug, Default)]
pub(super) struct Directory {
    hosts: RwLock<OrderedMap<HostId, PeerEndpoint>>,
}

impl Directory {
    /// Adds published certificates; a newer one replaces the host's older one.
    pub(super) fn update(&self, members: &[Member]) {
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        for member in members {
            let known = PeerEndpoint { address: member.peer_address, fingerprint: member.fingerprint };
            hosts.insert(member.host.clone(), known);
        }
    }

    pub(super) fn get(&self, host: &HostId) -> Option<PeerEndpoint> {
        self.read().get(host).copied()
    }

    /// Returns the host that published the certificate.
    pub(super) fn host_of(&self, fingerprint: Digest) -> Option<HostId> {
        let hosts = self.read();
        hosts.iter().find(|(_, known)| known.fingerprint == fingerprint).map(|(host, _)| host.clone())
    }

    fn read(&self) -> RwLockReadGuard<'_, OrderedMap<HostId, PeerEndpoint>> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner)
    }
}
