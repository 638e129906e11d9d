//! What those who face callers and operators need to know of the core's state.

use std::net::SocketAddr;
use std::sync::Arc;

use skylarkshore_core::Node;
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::id::{DataCentre, Digest, HostId, StoreRevision};

/// A live process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host's name.
    pub host: HostId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// The SHA-256 of the certificate that its peers accept.
    pub fingerprint: Digest,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// A part of the core's state at a moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The operators' document in force.
    pub document: Arc<Document>,
    /// The highest revision of the key-value service that has been seen.
    pub store_revision: StoreRevision,
    /// The live processes.
    pub members: Arc<Vec<Member>>,
    /// Which members these are; see `StoreCache::members_version`.
    members_version: u64,
    /// Whether the process knows enough to serve.
    pub ready: bool,
    /// Whether the process is about to go.
    pub leaving: bool,
}

impl Snapshot {
    /// Takes a node's state over, given what was taken before.
    pub(crate) fn of(node: &Node, before: &Self) -> Self {
        let version = node.cache().members_version();
        let is_same = version == before.members_version;
        let members = if is_same { Arc::clone(&before.members) } else { Arc::new(members_of(node)) };
        Self {
            document: Arc::clone(node.document()),
            store_revision: node.cache().latest_revision(),
            members,
            members_version: version,
            ready: node.is_ready(),
            leaving: node.is_leaving(),
        }
    }

    /// Tells whether something that can be seen at once has changed.
    ///
    /// A late change of a single member may not show; it is taken over with the
    /// next regular look.
    pub(crate) fn is_outdated(&self, node: &Node) -> bool {
        !Arc::ptr_eq(&self.document, node.document())
            || self.store_revision != node.cache().latest_revision()
            || self.members_version != node.cache().members_version()
            || self.ready != node.is_ready()
            || self.leaving != node.is_leaving()
    }
}

fn members_of(node: &Node) -> Vec<Member> {
    let members = node.cache().members().map(|(host, record)| Member {
        host: host.clone(),
        caller_address: record.caller_address,
        peer_address: record.peer_address,
        data_centre: record.data_centre.clone(),
        fingerprint: record.fingerprint,
        leaving: record.leaving,
    });
    members.collect()
}
