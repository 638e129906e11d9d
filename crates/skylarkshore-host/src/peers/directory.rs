//! Which certificates belong to which hosts.

use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use skylarkshore_core::collections::OrderedMap;
use skylarkshore_core::id::{Digest, HostId};

use crate::driver::Member;

/// Where and as whom a host is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) address: SocketAddr,
    pub(super) fingerprint: Digest,
}

/// The certificates that were published, by host.
///
/// A host stays known after its member key has gone. One that is cut off from
/// the key-value service loses its key there, and has to hear of new rules from
/// its peers all the same.
#[derive(Debug, Default)]
pub(super) struct Directory {
    hosts: RwLock<OrderedMap<HostId, Known>>,
}

impl Directory {
    /// Takes published certificates over; a host's newer one replaces its older one.
    pub(super) fn learn(&self, members: &[Member]) {
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        for member in members {
            let known = Known { address: member.peer_address, fingerprint: member.fingerprint };
            hosts.insert(member.host.clone(), known);
        }
    }

    pub(super) fn get(&self, host: &HostId) -> Option<Known> {
        self.read().get(host).copied()
    }

    /// Returns the host that has published the certificate.
    pub(super) fn host_of(&self, fingerprint: Digest) -> Option<HostId> {
        let hosts = self.read();
        hosts.iter().find(|(_, known)| known.fingerprint == fingerprint).map(|(host, _)| host.clone())
    }

    fn read(&self) -> RwLockReadGuard<'_, OrderedMap<HostId, Known>> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner)
    }
}
